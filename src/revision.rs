//! Validates, distributes and stores the configuration; the version in force never goes backwards.
//!
//! A few routers of each data centre hold a watch on the platform ([`holder`]). The others learn of new versions by
//! gossip and fetch the changes from a peer ([`Follower`]). [`Store`] holds the objects in force, falls back to the
//! last valid state of an object that is invalid, and serves peers the changes since a given version.

pub mod check;
mod follower;
pub mod holder;
mod store;

pub use follower::{Action, Follower, Member, State};
pub use store::{Bad, Rejected, Store};
