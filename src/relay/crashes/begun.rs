//! When answers last began, by their possible causes of crashes: what an answer has begun on is sound since then.

use std::time::Duration;

use super::{
    EVIDENCE_RETENTION,
    cause::{CauseKey, Causes},
};
use crate::util::{Instant, Map};

/// Maximum number of causes in a generation. With more, causes are remembered for a shorter time.
const MAX_CAUSES: usize = 65_536;
/// How long answers of a service must have begun here until a cause that none of them had counts as new. It covers the causes
/// of most requests.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(5);
/// Time after the first event until which a crash still counts as one during the beginning of the answer: a server may
/// pass on its first bytes right before it crashes.
pub const BEGINNING: Duration = Duration::from_millis(100);

/// Causes in two generations, as long as crashes are remembered and up to twice as long.
#[derive(Clone, Debug, Default)]
pub struct Begun {
    current: Map<CauseKey, Instant>,
    previous: Map<CauseKey, Instant>,
    rotated: Instant,
    /// When the first and the last answer of each service began.
    services: Map<u32, (Instant, Instant)>,
}

impl Begun {
    /// Records that an answer has begun here at some time.
    pub fn record(&mut self, at: Instant, causes: &Causes) {
        let (_, last) = self.services.entry(causes.service).or_insert((at, at));
        *last = at.max(*last);
        causes.iter().for_each(|key| self.hear(at, key));
    }

    /// Records that an answer with this cause began at some time, here or at another host.
    pub fn hear(&mut self, at: Instant, key: CauseKey) {
        let known = self.last(key);
        if known.is_some_and(|known| known >= at) {
            return;
        }
        if self.current.len() >= MAX_CAUSES {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key, at);
    }

    /// When an answer with this cause last began, if one did within the time for which this is remembered.
    pub fn last(&self, key: CauseKey) -> Option<Instant> {
        self.current.get(&key).or_else(|| self.previous.get(&key)).copied()
    }

    /// Whether an answer with this cause has begun later than `at`.
    pub fn is_since(&self, at: Instant, key: CauseKey) -> bool {
        self.last(key).is_some_and(|last| last > at)
    }

    /// Whether any answer of a service has begun here later than `at`.
    pub fn any_since(&self, at: Instant, service: u32) -> bool {
        self.services.get(&service).is_some_and(|(_, last)| *last > at)
    }

    /// Whether no answer with this cause began before `at`, though answers of its service have begun here for long enough.
    pub fn is_new(&self, at: Instant, key: CauseKey, service: u32) -> bool {
        let observed =
            self.services.get(&service).is_some_and(|(first, _)| *first + OBSERVATION_PERIOD <= at);
        observed && self.last(key).is_none()
    }

    /// Drops what is older than the crashes that are remembered.
    pub fn expire(&mut self, now: Instant) {
        if self.rotated + EVIDENCE_RETENTION <= now {
            self.rotated = now;
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Number of causes remembered.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no cause is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
