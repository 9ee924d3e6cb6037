//! What one router found out about one engine.

use crate::util::Instant;

/// State of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Up,
    /// It does not answer.
    Down,
    /// It takes no new work.
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

/// One router's newest finding about one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// State.
    pub state: State,
    /// Identifies the engine's start; 0 when not known.
    pub start: u64,
    /// Requests in progress.
    pub running: u32,
    /// When this router learnt it.
    pub at: Instant,
    /// Number of the finding at its origin.
    pub seq: u64,
}

/// Whether a change of load is worth its bytes: an eighth, or any change of a small load.
pub(super) fn load_differs(old: u32, new: u32) -> bool {
    old.abs_diff(new) * 8 > old.max(new)
}
