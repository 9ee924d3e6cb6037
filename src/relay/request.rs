//! A request as the pipeline sees it, whichever interface it came by.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use super::routes::{Caller, CompiledRoute, Version};
use crate::{
    suspect::Fingerprint,
    util::{Instant, hash},
};

/// Number of an event in a stream; rises within the stream.
pub type EventNumber = u64;

/// A part of a prompt that backend servers may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Identifier of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier that the caller gave.
    pub id: Arc<str>,
    /// Route that it takes.
    pub route: Arc<CompiledRoute>,
    /// Version of the configuration that has the route.
    pub version: Version,
    /// Service that was drawn for it.
    pub service: Arc<str>,
    /// Who sends it, if the route needs a key.
    pub caller: Option<Arc<Caller>>,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Event after which the caller wants a stream to go on.
    pub after: Option<EventNumber>,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
}

impl Request {
    /// Time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Time within which its answer has its full worth.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.route.route.objective_ms.into())
    }

    /// Fingerprint of the content, the same when a caller sends it again.
    pub fn fingerprint(&self) -> u64 {
        let workspace = self.caller.as_ref().map_or("", |c| &*c.workspace);
        Fingerprint::call(self.target.path(), &self.body).0 ^ hash(workspace)
    }

    /// Rank for backend servers: the workspace's before the route's; 0 is the most urgent.
    pub fn rank(&self) -> u32 {
        self.caller.as_ref().and_then(|c| c.rank).unwrap_or(self.route.route.rank)
    }
}
