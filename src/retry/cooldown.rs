//! Engines that could not be reached lately.

use std::time::Duration;

use crate::{
    catalog::Id,
    util::{Instant, Map},
};

const FIRST: Duration = Duration::from_secs(1);
const MOST: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct Failed {
    until: Instant,
    pause: Duration,
}

/// Engines that one router keeps away from for a moment, other engines being in use.
///
/// Until the probes of a failed engine have agreed, each request that prefers it would spend an attempt on it and
/// a retry of the budget, and soon every request that meets it would be refused.
#[derive(Clone, Debug, Default)]
pub struct Cooldowns {
    engines: Map<Id, Failed>,
}

impl Cooldowns {
    /// Notes that an engine could not be reached; the pause doubles with each further failure.
    pub fn record_failure(&mut self, now: Instant, engine: Id) {
        let pause = match self.engines.get(&engine) {
            // Requests that were under way at the same time are one failure.
            Some(failed) if failed.until > now => return,
            Some(failed) => (failed.pause * 2).min(MOST),
            None => FIRST,
        };
        self.engines.insert(engine, Failed { until: now + pause, pause });
    }

    /// Notes that an engine answered.
    pub fn record_success(&mut self, engine: Id) {
        self.engines.remove(&engine);
    }

    /// Engines to keep away from.
    pub fn active(&self, now: Instant) -> Vec<Id> {
        self.engines.iter().filter(|(_, f)| f.until > now).map(|(id, _)| *id).collect()
    }

    /// Forgets engines that are no longer configured, so that its size follows the configuration.
    pub fn retain(&mut self, known: impl Fn(Id) -> bool) {
        self.engines.retain(|id, _| known(*id));
    }
}
