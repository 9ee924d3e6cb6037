//! Availability of engines: engines that are down, leaving or flapping get no new work.

use std::time::Duration;

use crate::{
    catalog::Id,
    util::{Instant, Map},
};

/// A failure within this time of the previous one marks an engine as flapping.
const FLAP_WINDOW: Duration = Duration::from_secs(120);
/// Hold-down time after the second failure within the window; doubles with each further failure.
const BASE_HOLD_DOWN: Duration = Duration::from_secs(5);
const MAX_HOLD_DOWN: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, Debug, Default)]
struct EngineState {
    down: bool,
    leaving: bool,
    /// Consecutive failures, each within [`FLAP_WINDOW`] of the previous one.
    failures: u32,
    last_failure: Instant,
    /// End of the hold-down.
    held_until: Instant,
    /// Start number of the engine's process; 0 if unknown.
    start: u64,
}

/// Health of engines as this router sees it; an engine without an entry is available.
///
/// An unavailable engine keeps its position in the rendezvous order of every chat: only its own chats move, each
/// to its next choice, and the same chats return once it is available again.
#[derive(Clone, Debug, Default)]
pub struct Health {
    engines: Map<Id, EngineState>,
}

impl Health {
    /// Marks an engine as unreachable.
    pub fn mark_down(&mut self, engine: Id, now: Instant) {
        let state = self.engines.entry(engine).or_default();
        if state.down {
            return;
        }
        let recent = state.failures > 0 && now.saturating_sub(state.last_failure) < FLAP_WINDOW;
        state.failures = if recent { state.failures + 1 } else { 1 };
        state.last_failure = now;
        state.down = true;
    }

    /// Marks an engine as reachable; a flapping engine stays unavailable for the hold-down time.
    ///
    /// Without the hold-down, the chats of a flapping engine would move back and forth and find a cold cache each
    /// time.
    pub fn mark_up(&mut self, engine: Id, now: Instant) {
        let state = self.engines.entry(engine).or_default();
        if !state.down {
            return;
        }
        state.down = false;
        if state.failures > 1 {
            let factor = 1 << (state.failures - 2).min(16);
            state.held_until = now + (BASE_HOLD_DOWN * factor).min(MAX_HOLD_DOWN);
        }
    }

    /// Marks an engine as leaving: it gets no new work until it restarts, whatever probes report.
    pub fn mark_leaving(&mut self, engine: Id) {
        self.engines.entry(engine).or_default().leaving = true;
    }

    /// Sets whether an engine is leaving, from the merged state of all reports.
    pub fn set_leaving(&mut self, engine: Id, leaving: bool) {
        self.engines.entry(engine).or_default().leaving = leaving;
    }

    /// Sets the random start number of an engine's process; a new number means a restart and resets `leaving`.
    pub fn set_start(&mut self, engine: Id, start: u64) {
        let state = self.engines.entry(engine).or_default();
        if state.start != start {
            state.start = start;
            state.leaving = false;
        }
    }

    /// Start number of the engine's current process; 0 if unknown.
    pub fn start(&self, engine: Id) -> u64 {
        self.engines.get(&engine).map_or(0, |s| s.start)
    }

    /// Whether an engine may get new work.
    pub fn is_available(&self, engine: Id, now: Instant) -> bool {
        self.engines.get(&engine).is_none_or(|s| !s.down && !s.leaving && now >= s.held_until)
    }

    /// Whether an engine can't be reached.
    pub fn is_down(&self, engine: Id) -> bool {
        self.engines.get(&engine).is_some_and(|s| s.down)
    }

    /// Whether an engine is leaving.
    pub fn is_leaving(&self, engine: Id) -> bool {
        self.engines.get(&engine).is_some_and(|s| s.leaving)
    }

    /// Removes engines that are no longer configured, for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(Id) -> bool) {
        self.engines.retain(|&id, _| keep(id));
    }
}
