//! Changes in what is refused, for logs and counters.

use crate::relay::crashes::cause::CauseKey;

/// Who found out a change in the standing of a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This host, by what it knows.
    Own,
    /// Another host.
    Told,
}

impl Source {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Told => "told",
        }
    }
}

/// What became of a cause; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Its requests are to be refused, unless a host objects.
    Proposed,
    /// Its requests are refused from now on.
    Imposed,
    /// More of its requests are refused: they need no longer have all of the others.
    Widened,
    /// Its requests are not refused, since a host knows better.
    Objected,
    /// Its requests are not refused: an answer with it has begun, or another host objects.
    Cleared,
    /// Another server crashed under one of its requests.
    CrashedAgain,
    /// A server crashed under a request that was let through to see whether it still does.
    TrialFailed,
    /// A request was let through to see whether it still crashes servers.
    Tried,
    /// A request at a server was ended before its answer began.
    Cancelled,
    /// It was forgotten, since no request had it.
    Expired,
    /// Its requests are not refused, since too many causes are.
    Dropped,
}

impl Event {
    /// Every event.
    pub const ALL: [Event; 11] = [
        Event::Proposed,
        Event::Imposed,
        Event::Widened,
        Event::Objected,
        Event::Cleared,
        Event::CrashedAgain,
        Event::TrialFailed,
        Event::Tried,
        Event::Cancelled,
        Event::Expired,
        Event::Dropped,
    ];

    /// Label in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Event::Proposed => "proposed",
            Event::Imposed => "imposed",
            Event::Widened => "widened",
            Event::Objected => "objected",
            Event::Cleared => "cleared",
            Event::CrashedAgain => "crashed_again",
            Event::TrialFailed => "trial_failed",
            Event::Tried => "tried",
            Event::Cancelled => "cancelled",
            Event::Expired => "expired",
            Event::Dropped => "dropped",
        }
    }
}

/// A change in the standing of a cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The cause.
    pub cause: CauseKey,
    /// What became of it.
    pub event: Event,
    /// What else a request must have to be refused.
    pub others: Vec<CauseKey>,
    /// Number of crashes that it is refused for.
    pub crashes: u32,
    /// Who found it out.
    pub source: Source,
}

impl Change {
    /// A change of a cause of which nothing is kept.
    pub(super) fn new(cause: CauseKey, event: Event, source: Source) -> Self {
        Self { cause, event, others: Vec::new(), crashes: 0, source }
    }
}
