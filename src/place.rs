//! Placement: which engine of a pool answers a chat, so that its context is found cached and no engine carries
//! more than a set multiple of the mean load.
//!
//! A [`search::Search`] walks over the engines of one chat: those that its hint names, then its own order of the
//! engines near its home ([`rank`]). Each engine has an owner among the routers of its data centre
//! ([`members`]), which counts the work reserved on it ([`ledger`]) and keeps the bound ([`bound`]). The
//! stream itself goes straight from the router to the engine.

pub mod bound;
pub mod cache;
pub mod health;
pub mod hint;
pub mod ledger;
pub mod members;
pub mod placer;
pub mod rank;
pub mod search;
pub mod transfer;
pub mod work;

pub use placer::{Grant, Placer, Refusal, Request};
