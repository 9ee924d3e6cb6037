//! One router's observation of one engine.

use crate::util::Instant;

/// State of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The engine responds.
    Up,
    /// The engine does not respond.
    Down,
    /// The engine accepts no new requests.
    Leaving,
}

impl State {
    pub(super) fn from_raw(n: u32) -> Option<Self> {
        Some(match n {
            0 => State::Up,
            1 => State::Down,
            2 => State::Leaving,
            _ => return None,
        })
    }
}

/// One router's newest observation of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// State.
    pub state: State,
    /// Start ID of the engine process; 0 if unknown.
    pub start: u64,
    /// Requests in progress.
    pub running: u32,
    /// Time at which this router received the observation.
    pub at: Instant,
    /// Sequence number of the observation at its origin.
    pub seq: u64,
}

/// Whether a load change is large enough to report: more than an eighth, which for a small load is any change.
pub(super) fn load_differs(old: u32, new: u32) -> bool {
    old.abs_diff(new) * 8 > old.max(new)
}
