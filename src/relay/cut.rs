//! Counts and logs streams that this host closes before their end.

use super::{
    Relay, Wire,
    attempts::Failure,
    backends::BackendKey,
    request::{EventNumber, Request},
};
use crate::{
    logs::lines::Level,
    metrics::Counter,
    util::{Instant, now},
};

/// What this host knew of the server when it closed a stream before its end; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutCause {
    /// The path to the server, or its machine, was down.
    PathDown,
    /// The server broke off or sent bytes that are no part of the stream.
    Broken,
    /// The request's time was over.
    Deadline,
}

impl CutCause {
    /// Every cause.
    pub const ALL: [CutCause; 3] = [CutCause::PathDown, CutCause::Broken, CutCause::Deadline];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            CutCause::PathDown => "path_down",
            CutCause::Broken => "broken",
            CutCause::Deadline => "deadline",
        }
    }

    /// The cause that follows from how the last attempt failed.
    pub fn of(failure: Failure) -> Self {
        match failure {
            Failure::Late => CutCause::Deadline,
            Failure::Silent => CutCause::PathDown,
            _ => CutCause::Broken,
        }
    }
}

/// A stream that is closed before its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut {
    /// Server of the last attempt.
    pub(crate) key: BackendKey,
    /// How the last attempt failed.
    pub(crate) failure: Failure,
    /// Why no attempt follows.
    pub(crate) next: &'static str,
    /// Number of the last event that was passed on.
    pub(crate) last: Option<EventNumber>,
    /// When it was passed on.
    pub(crate) last_event: Instant,
}

impl<W: Wire> Relay<W> {
    /// Counts and logs a stream that this host closes before its end.
    pub(crate) fn record_cut(&self, req: &Request, cut: &Cut) {
        let now = now();
        let cause = CutCause::of(cut.failure);
        let state = self.state();
        let backend = state.backends.get(cut.key).map(|b| b.id.clone());
        let stalled = state.stall.since(cut.last_event);
        let version = state.routes.as_ref().map_or(0, |r| r.version());
        let changed = now.saturating_sub(state.configured_at);
        drop(state);
        self.metrics.add(Counter::RelayStreamsCut, cause.as_str(), 1);
        self.log_request(Level::Notable, "stream_cut", req, |l| {
            let l =
                l.text("failure", cut.failure.as_str()).text("next", cut.next).text("cause", cause.as_str());
            let l = l
                .text("backend", backend.as_deref().unwrap_or("gone"))
                .number("events", cut.last.unwrap_or(0));
            let l = l.ms("silent_ms", now.saturating_sub(cut.last_event)).ms("stalled_ms", stalled);
            let l = l.number("routed_by", req.version).number("version", version).ms("changed_ms", changed);
            l.ms("after_ms", now - req.arrived)
        });
    }
}
