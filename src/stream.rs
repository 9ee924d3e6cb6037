//! Tracking of answer streams: filters foreign and duplicate events, and detects gaps and completion.
//!
//! Each event of an engine carries an identifier that consists of the request and the event's offset. Events of
//! another request and duplicates are dropped. At a gap the connection is closed and the stream fetched again from
//! the next expected offset. Only the final marker with the expected identifier completes the stream.

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

/// Error of parsing an [`EventId`].
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

/// Why an event is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The event has no valid identifier.
    MissingId,
    /// The event belongs to another request.
    OtherRequest,
    /// The event was forwarded before.
    Duplicate,
}

impl DropReason {
    /// Label value in the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::MissingId => "unnamed",
            DropReason::OtherRequest => "crossed",
            DropReason::Duplicate => "repeated",
        }
    }
}

/// Action to take on an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// Forward the event.
    Pass,
    /// Forward the event, which completes the stream.
    Complete,
    /// Drop the event.
    Drop(DropReason),
    /// Events are missing before this one: fetch the stream again from the next expected offset.
    Refetch,
}

/// Progress of one stream.
#[derive(Clone, Debug)]
pub struct StreamTracker {
    request: Arc<str>,
    next: Offset,
    complete: bool,
}

impl StreamTracker {
    /// Tracks the stream of `request`, of which the events before offset `next` have been forwarded.
    pub fn new(request: impl Into<Arc<str>>, next: Offset) -> Self {
        Self { request: request.into(), next, complete: false }
    }

    /// Next expected offset: that of the first event that has not been forwarded.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Whether the final marker has been forwarded.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Decides what to do with an event and advances the stream if it is forwarded.
    ///
    /// Only an event of this request at exactly the next expected offset is forwarded. This protects callers from an
    /// engine or a reused connection that delivers events of another request, which they would take for their own.
    pub fn on_event(&mut self, id: Option<&str>, data: &str) -> EventAction {
        let Some(Ok(id)) = id.map(EventId::from_str) else { return EventAction::Drop(DropReason::MissingId) };
        if id.request != self.request {
            return EventAction::Drop(DropReason::OtherRequest);
        }
        if self.complete || id.offset < self.next {
            return EventAction::Drop(DropReason::Duplicate);
        }
        if id.offset > self.next {
            return EventAction::Refetch;
        }
        self.next += 1;
        self.complete = data == DONE;
        if self.complete { EventAction::Complete } else { EventAction::Pass }
    }
}
