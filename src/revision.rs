//! Configuration in force: validated, distributed and never older than it was.
//!
//! A few routers of each data centre hold a watch on the platform ([`holder`]). The others hear versions by gossip and
//! fetch the changes from a peer ([`Follower`]). [`Store`] keeps what is in force, with the last valid state of an
//! object that is not valid, and gives peers the changes since a version.

pub mod check;
mod follower;
pub mod holder;
mod store;

pub use follower::{Action, Follower, Member, State};
pub use store::{Bad, Rejected, Store};
