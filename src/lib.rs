//! A router fleet for very many returning chats.
//!
//! Decision modules (`entry`, `place`, `catalog`) take time, randomness and input as arguments and return what
//! to do. The shell (`http`, `client`, `platform`, `gateway`, `serve`) turns I/O into inputs and outputs into I/O.

pub mod admit;
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
