//! Cool-down of engines that could not be reached.

use std::time::Duration;

use crate::{
    catalog::Id,
    util::{Instant, Map},
};

/// Cool-down after the first failure.
const BASE_COOLDOWN: Duration = Duration::from_secs(1);
const MAX_COOLDOWN: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct Cooldown {
    until: Instant,
    duration: Duration,
}

/// Cool-downs of engines that this router failed to reach; other engines are preferred meanwhile.
///
/// Until the probes agree that an engine is down, each request that prefers it would waste an attempt and a retry
/// of the budget. Once the budget is used up, every request placed on that engine would be refused.
#[derive(Clone, Debug, Default)]
pub struct Cooldowns {
    engines: Map<Id, Cooldown>,
}

impl Cooldowns {
    /// Records a failure to reach an engine; the cool-down doubles with each further failure.
    pub fn record_failure(&mut self, now: Instant, engine: Id) {
        let duration = match self.engines.get(&engine) {
            // Failures of concurrent requests count as one.
            Some(cooldown) if cooldown.until > now => return,
            Some(cooldown) => (cooldown.duration * 2).min(MAX_COOLDOWN),
            None => BASE_COOLDOWN,
        };
        self.engines.insert(engine, Cooldown { until: now + duration, duration });
    }

    /// Records an answer of an engine, which resets its cool-down.
    pub fn record_success(&mut self, engine: Id) {
        self.engines.remove(&engine);
    }

    /// Engines in cool-down.
    pub fn active(&self, now: Instant) -> Vec<Id> {
        self.engines.iter().filter(|(_, f)| f.until > now).map(|(id, _)| *id).collect()
    }

    /// Removes engines that are no longer configured, which bounds the memory.
    pub fn retain(&mut self, known: impl Fn(Id) -> bool) {
        self.engines.retain(|id, _| known(*id));
    }
}
