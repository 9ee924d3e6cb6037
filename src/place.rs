//! Placement: selects the engine of a pool that answers a chat. Chats return to the engine that caches their
//! context, and no engine exceeds a configured multiple of the mean load (bounded-load consistent hashing).
//!
//! A [`search::Search`] yields the candidate engines of one chat: first those named by its placement hint, then
//! the engines near its home data centre in rendezvous order ([`rank`]). Each engine is owned by one router of
//! its data centre ([`members`]), which counts the work reserved on it ([`ledger`]) and enforces the load bound
//! ([`bound`]). Answer streams go directly between router and engine, not through the owner.

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

pub use placer::{Grant, Placer, Refusal, ReservationRequest};
