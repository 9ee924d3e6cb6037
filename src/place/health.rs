//! Which engines are in use: down, leaving and flapping engines are passed over.

use std::time::Duration;

use crate::{
    catalog::Id,
    util::{Instant, Map},
};

/// Time in which a second failure makes an engine a flapping one.
const WINDOW: Duration = Duration::from_secs(120);
/// Hold-down after the second failure in the window; doubles with each further one.
const HOLD_DOWN: Duration = Duration::from_secs(5);
const LONGEST_HOLD_DOWN: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, Debug, Default)]
struct State {
    down: bool,
    leaving: bool,
    failures: u32,
    last_failure: Instant,
    held_until: Instant,
    start: u64,
}

/// What this router believes about engines; one of which nothing is known is in use.
///
/// An engine that is passed over keeps its place in every chat's rank. Its chats go to the next in their rank,
/// and no other chat moves; when it returns, the same chats return.
#[derive(Clone, Debug, Default)]
pub struct Health {
    engines: Map<Id, State>,
}

impl Health {
    /// Notes that an engine can't be reached.
    pub fn mark_down(&mut self, engine: Id, now: Instant) {
        let state = self.engines.entry(engine).or_default();
        if state.down {
            return;
        }
        let recent = state.failures > 0 && now.saturating_sub(state.last_failure) < WINDOW;
        state.failures = if recent { state.failures + 1 } else { 1 };
        state.last_failure = now;
        state.down = true;
    }

    /// Notes that an engine answers again; a flapping one stays out of use for the hold-down time.
    ///
    /// Without it the chats of a flapping engine would move there and back with each flap and find neither
    /// cache warm.
    pub fn mark_up(&mut self, engine: Id, now: Instant) {
        let state = self.engines.entry(engine).or_default();
        if !state.down {
            return;
        }
        state.down = false;
        if state.failures > 1 {
            let factor = 1 << (state.failures - 2).min(16);
            state.held_until = now + (HOLD_DOWN * factor).min(LONGEST_HOLD_DOWN);
        }
    }

    /// Notes that an engine is leaving: it gets no new work, whatever else is heard of it.
    pub fn mark_leaving(&mut self, engine: Id) {
        self.engines.entry(engine).or_default().leaving = true;
    }

    /// Sets whether an engine is leaving, as all that is known of it says now.
    pub fn set_leaving(&mut self, engine: Id, leaving: bool) {
        self.engines.entry(engine).or_default().leaving = leaving;
    }

    /// Notes the number that an engine drew when it started; a new one ends an earlier leave.
    pub fn set_start(&mut self, engine: Id, start: u64) {
        let state = self.engines.entry(engine).or_default();
        if state.start != start {
            state.start = start;
            state.leaving = false;
        }
    }

    /// Number of the engine's present start; 0 when not known.
    pub fn start(&self, engine: Id) -> u64 {
        self.engines.get(&engine).map_or(0, |s| s.start)
    }

    /// Whether an engine may get new work.
    pub fn is_available(&self, engine: Id, now: Instant) -> bool {
        self.engines.get(&engine).is_none_or(|s| !s.down && !s.leaving && now >= s.held_until)
    }

    /// Whether an engine can't be reached.
    pub fn down(&self, engine: Id) -> bool {
        self.engines.get(&engine).is_some_and(|s| s.down)
    }

    /// Whether an engine is leaving.
    pub fn leaving(&self, engine: Id) -> bool {
        self.engines.get(&engine).is_some_and(|s| s.leaving)
    }

    /// Forgets engines that are no longer configured.
    pub fn retain(&mut self, mut keep: impl FnMut(Id) -> bool) {
        self.engines.retain(|&id, _| keep(id));
    }
}
