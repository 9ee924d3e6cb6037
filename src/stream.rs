//! One answer stream: which events belong to it, which are new, and when it is complete.
//!
//! Each event of an engine carries an identifier made of the request and the event's offset. An event of
//! another request, or one that was passed on already, is dropped; a hole ends the connection, so that the
//! rest is fetched again from the offset reached. Only the final marker under the right identifier completes
//! the stream.

use std::{fmt, str::FromStr, sync::Arc};

pub mod token;

/// Position of an event in its stream, from 0.
pub type Offset = u64;

/// Data of the event that completes a stream.
pub const DONE: &str = "[DONE]";

/// Identifier of one event: its request and its offset, written `request/offset`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Request to which the event belongs.
    pub request: Arc<str>,
    /// Offset of the event.
    pub offset: Offset,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.offset)
    }
}

/// The text is no event identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadEventId;

impl FromStr for EventId {
    type Err = BadEventId;

    fn from_str(text: &str) -> Result<Self, BadEventId> {
        let (request, offset) = text.rsplit_once('/').ok_or(BadEventId)?;
        let offset = offset.parse().map_err(|_| BadEventId)?;
        Ok(Self { request: request.into(), offset })
    }
}

/// Why an event is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dropped {
    /// It carries no identifier.
    Unnamed,
    /// It belongs to another request.
    Crossed,
    /// It was passed on already.
    Repeated,
}

impl Dropped {
    /// Label for counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Dropped::Unnamed => "unnamed",
            Dropped::Crossed => "crossed",
            Dropped::Repeated => "repeated",
        }
    }
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass it on.
    Pass,
    /// Pass it on; the stream is complete.
    Complete,
    /// Leave it out.
    Drop(Dropped),
    /// Events are missing before it: fetch again from the offset reached.
    Refetch,
}

/// What has been passed on of one stream.
#[derive(Clone, Debug)]
pub struct Tracker {
    request: Arc<str>,
    next: Offset,
    complete: bool,
}

impl Tracker {
    /// Tracks the stream of `request` from `next` on.
    pub fn new(request: impl Into<Arc<str>>, next: Offset) -> Self {
        Self { request: request.into(), next, complete: false }
    }

    /// Offset of the first event that has not been passed on.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Whether the final marker has been passed on.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Decides on an event with the identifier `id`.
    ///
    /// Guards against an engine or a reused connection that delivers another request's events, which a
    /// caller would read as part of their own answer: only the exact next offset of this request passes.
    pub fn step(&mut self, id: Option<&str>, data: &str) -> Step {
        let Some(Ok(id)) = id.map(EventId::from_str) else { return Step::Drop(Dropped::Unnamed) };
        if id.request != self.request {
            return Step::Drop(Dropped::Crossed);
        }
        if self.complete || id.offset < self.next {
            return Step::Drop(Dropped::Repeated);
        }
        if id.offset > self.next {
            return Step::Refetch;
        }
        self.next += 1;
        self.complete = data == DONE;
        if self.complete { Step::Complete } else { Step::Pass }
    }
}
