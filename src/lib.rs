//! Fleet of routers between callers and model engines or backend servers, for large numbers of returning chats.
//!
//! The decision modules (such as `entry`, `place` and `catalog`) perform no I/O: they receive time, randomness and
//! input as arguments and return actions. The I/O modules (such as `http`, `client`, `platform`, `gateway` and `serve`)
//! call them and perform the actions.

pub mod admit;
pub mod bodies;
pub mod catalog;
pub mod claim;
pub mod client;
pub mod cmd;
pub mod config;
pub mod engine;
pub mod entry;
pub mod error;
pub mod follow;
pub mod gateway;
pub mod gossip;
pub mod http;
pub mod lease;
pub mod lifecycle;
pub mod link;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod objects;
pub mod operate;
pub mod order;
pub mod outcome;
pub mod place;
pub mod platform;
pub mod probe;
pub mod relay;
pub mod retry;
pub mod revision;
pub mod schema;
pub mod serve;
pub mod standin;
pub mod stream;
pub mod suspect;
pub mod util;
