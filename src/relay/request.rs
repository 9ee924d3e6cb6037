//! A caller's request, independent of the interface that it was received on.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use super::{
    routes::{Caller, CompiledRoute, Version},
    shares::Requester,
};
use crate::{
    suspect::Fingerprint,
    util::{Instant, hash},
};

/// Number of an event in a stream; increases within the stream.
pub type EventNumber = u64;

/// A part of a prompt, the unit in which backend servers cache prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Identifier of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Tokens of a prompt.
pub fn prompt_tokens(parts: &[Part]) -> u32 {
    parts.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
}

/// A caller's request, which may lead to several attempts at backend servers.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier given by the caller.
    pub id: Arc<str>,
    /// Route that it matches.
    pub route: Arc<CompiledRoute>,
    /// Version of the configuration that the route is from.
    pub version: Version,
    /// Service that was chosen for it.
    pub service: Arc<str>,
    /// Who sends it, if the route requires an API key.
    pub caller: Option<Arc<Caller>>,
    /// HTTP method.
    pub method: Method,
    /// Path and query as sent by the caller.
    pub target: Uri,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Model that is to answer, if the caller names one.
    pub model: Arc<str>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Event after which the caller wants to resume a stream.
    pub after: Option<EventNumber>,
    /// Identifier of the attempt that began that stream, if the caller names it.
    pub resumes: Option<Arc<str>>,
    /// When it was received.
    pub arrived: Instant,
    /// When its answer must be complete.
    pub deadline: Instant,
}

impl Request {
    /// Time until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        prompt_tokens(&self.parts)
    }

    /// Identifier of the attempt that began the stream which this request begins or goes on with; empty if the caller
    /// goes on with a stream and does not name it.
    pub fn stream_id(&self) -> &str {
        match self.after {
            Some(_) => self.resumes.as_deref().unwrap_or_default(),
            None => &self.id,
        }
    }

    /// Time within which the answer should begin.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.route.route.objective_ms.into())
    }

    /// Fingerprint of the content, which stays the same when a caller sends it again.
    pub fn fingerprint(&self) -> u64 {
        let workspace = self.caller.as_ref().map_or("", |c| &*c.workspace);
        Fingerprint::call(self.target.path(), &self.body).0 ^ hash(workspace)
    }

    /// Who sends it, for the shares of workspaces.
    pub(crate) fn requester(&self) -> Requester<'_> {
        let workspace = self.caller.as_ref().map_or("", |c| &*c.workspace);
        Requester { service: &self.service, workspace, rank: self.rank(), route_rank: self.route.route.rank }
    }

    /// Rank for backend servers, the workspace's if it has one, otherwise the route's; 0 is the most urgent.
    pub fn rank(&self) -> u32 {
        self.caller.as_ref().and_then(|c| c.rank).unwrap_or(self.route.route.rank)
    }
}
