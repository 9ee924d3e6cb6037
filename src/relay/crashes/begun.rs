//! When answers last began, by their possible causes of crashes: what an answer has begun on is sound since then.

use std::{collections::VecDeque, time::Duration};

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

/// Number of answers with a cause that must be expected for their lack to tell something.
const EXPECTED: u32 = 3;
/// Largest number of answers of the service that are needed for that. What is rarer is not at several crashes by chance.
const MAX_BEGUN: u32 = 8;
/// Number of times at which answers of a service began that are kept.
const MAX_TIMES: usize = 64;

/// Answers of a service that have begun here.
#[derive(Clone, Debug, Default)]
struct Service {
    first: Instant,
    count: u32,
    /// When the last of them began, in the order in which that became known.
    times: VecDeque<Instant>,
}

/// Answers with a cause.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    last: Instant,
    /// Number of those that have begun here.
    count: u32,
}

/// Causes in two generations, as long as crashes are remembered and up to twice as long.
#[derive(Clone, Debug, Default)]
pub struct Begun {
    current: Map<CauseKey, Entry>,
    previous: Map<CauseKey, Entry>,
    rotated: Instant,
    services: Map<u32, Service>,
}

impl Begun {
    /// Records that an answer has begun here at some time.
    pub fn record(&mut self, at: Instant, causes: &Causes) {
        let service =
            self.services.entry(causes.service).or_insert(Service { first: at, ..Service::default() });
        service.count = service.count.saturating_add(1);
        if service.times.len() >= MAX_TIMES {
            service.times.pop_front();
        }
        service.times.push_back(at);
        causes.iter().for_each(|key| self.add(at, key, 1));
    }

    /// Records that an answer with this cause began at some time, here or at another host.
    pub fn hear(&mut self, at: Instant, key: CauseKey) {
        self.add(at, key, 0);
    }

    fn add(&mut self, at: Instant, key: CauseKey, count: u32) {
        let known = self.get(key).unwrap_or_default();
        if self.current.len() >= MAX_CAUSES && !self.current.contains_key(&key) {
            self.previous = std::mem::take(&mut self.current);
        }
        let entry = Entry { last: known.last.max(at), count: known.count.saturating_add(count) };
        self.current.insert(key, entry);
    }

    /// When an answer with this cause last began, if one did within the time for which this is remembered.
    pub fn last(&self, key: CauseKey) -> Option<Instant> {
        self.get(key).map(|entry| entry.last)
    }

    fn get(&self, key: CauseKey) -> Option<Entry> {
        self.current.get(&key).or_else(|| self.previous.get(&key)).copied()
    }

    /// Whether an answer with this cause has begun later than `at`.
    pub fn is_since(&self, at: Instant, key: CauseKey) -> bool {
        self.last(key).is_some_and(|last| last > at)
    }

    /// Whether so many answers of a service have begun here later than `at` that some of them should have had a cause, by its
    /// share of those before.
    pub fn lacks(&self, at: Instant, key: CauseKey, service: u32) -> bool {
        let Some(service) = self.services.get(&service) else { return false };
        let needed = match self.get(key).map_or(0, |entry| entry.count) {
            0 => 1,
            count => (EXPECTED.saturating_mul(service.count) / count).clamp(EXPECTED, MAX_BEGUN),
        };
        service.times.iter().filter(|time| **time > at).count() >= needed as usize
    }

    /// Whether no answer with this cause began before `at`, though answers of its service have begun here for long enough.
    pub fn is_new(&self, at: Instant, key: CauseKey, service: u32) -> bool {
        let observed = self.services.get(&service).is_some_and(|s| s.first + OBSERVATION_PERIOD <= at);
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
