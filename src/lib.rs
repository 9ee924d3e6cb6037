//! A router fleet for very many returning chats.
//!
//! Decision modules (`entry`, `place`, `catalog`) take time, randomness and input as arguments and return what
//! to do. The shell (`http`, `client`, `platform`, `gateway`, `serve`) turns I/O into inputs and outputs into I/O.

pub mod catalog;
pub mod client;
pub mod cmd;
pub mod config;
pub mod entry;
pub mod error;
pub mod gateway;
pub mod http;
pub mod link;
pub mod member;
pub mod metrics;
pub mod place;
pub mod platform;
pub mod probe;
pub mod schema;
pub mod serve;
pub mod standin;
pub mod util;
