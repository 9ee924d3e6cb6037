//! Calls to the platform: counted by class and outcome, limited by class.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use super::bucket::TokenBucket;
use crate::{
    claim::SHARD_COUNT,
    metrics::{Counter, Metrics},
    util::{Instant, lock},
};

/// Classes of call that the platform limits separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Get and list.
    Read,
    /// Create, conditional update and delete, but for claims.
    Write,
    /// Writes of claim shards, whose owners are few and need more than an equal share.
    Claim,
    /// Opening a watch; while it waits it is one call.
    Watch,
}

impl Class {
    /// Class of a write of an object of this kind.
    pub fn of_write(kind: &str) -> Self {
        if kind.starts_with("Claim") { Class::Claim } else { Class::Write }
    }

    /// Label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Read => "read",
            Class::Write => "write",
            Class::Claim => "claim",
            Class::Watch => "watch",
        }
    }
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Answered, refusals of the content included.
    Answered,
    /// Another write came first.
    Conflict,
    /// No answer, or a server error.
    Failed,
    /// The platform refused it for its rate.
    LimitedByServer,
    /// Not sent, because our own limit would have been exceeded.
    LimitedByClient,
}

/// Limits of one class.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Calls a second.
    pub rate: f64,
    /// Calls at once after a quiet time.
    pub burst: f64,
}

/// Limits of one process, by class.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    read: Rate,
    write: Rate,
    claim: Rate,
    watch: Rate,
}

/// What the whole fleet may spend, in calls a second; under the platform's own limits of 2,000 and some hundreds.
const FLEET_READS: f64 = 1_200.0;
const FLEET_WRITES: f64 = 80.0;
/// Claims: a few writes a second for each shard, however large the fleet.
const SHARD_WRITES: f64 = 10.0;
const FLEET_WATCHES: f64 = 60.0;
const DEFAULT_MEMBERS: usize = 8;
const MAX_BURST: f64 = 40.0;

impl Default for Rates {
    fn default() -> Self {
        Self::share(DEFAULT_MEMBERS)
    }
}

impl Rates {
    /// One router's share in a fleet of `members`; bursts of all at once stay within one second's rate.
    ///
    /// Claims are limited by the shards that a router may own, one more than its share.
    pub fn share(members: usize) -> Self {
        let n = members.max(1) as f64;
        let rate = |total: f64| Rate { rate: total / n, burst: (total / n).clamp(1.0, MAX_BURST) };
        let shards = (f64::from(SHARD_COUNT) / n).ceil() + 1.0;
        let claim = Rate { rate: SHARD_WRITES * shards, burst: SHARD_WRITES * shards };
        Self { read: rate(FLEET_READS), write: rate(FLEET_WRITES), claim, watch: rate(FLEET_WATCHES) }
    }

    /// Sets the limit of reads.
    pub fn with_reads(self, read: Rate) -> Self {
        Self { read, ..self }
    }

    /// Sets the limit of writes.
    pub fn with_writes(self, write: Rate) -> Self {
        Self { write, ..self }
    }

    /// Sets the limit of opened watches.
    pub fn with_watches(self, watch: Rate) -> Self {
        Self { watch, ..self }
    }

    fn of(&self, class: Class) -> Rate {
        match class {
            Class::Read => self.read,
            Class::Write => self.write,
            Class::Claim => self.claim,
            Class::Watch => self.watch,
        }
    }
}

/// Buckets by class.
#[derive(Debug)]
pub struct Limiter {
    buckets: [(Class, TokenBucket); 4],
}

impl Limiter {
    /// Full buckets.
    pub fn new(rates: Rates) -> Self {
        let bucket = |class| {
            let Rate { rate, burst } = rates.of(class);
            (class, TokenBucket::new(rate, burst))
        };
        Self { buckets: [Class::Read, Class::Write, Class::Claim, Class::Watch].map(bucket) }
    }

    /// Takes leave for one call.
    ///
    /// # Errors
    /// How long to wait first.
    pub fn take(&mut self, now: Instant, class: Class) -> Result<(), Duration> {
        self.bucket(class).take(now)
    }

    /// Holds a class back after the platform refused a call for its rate.
    pub fn pause(&mut self, now: Instant, class: Class, wait: Duration) {
        self.bucket(class).pause(now, wait);
    }

    /// Changes the limits, as when the fleet has grown.
    pub fn set_rates(&mut self, now: Instant, rates: Rates) {
        for (class, bucket) in &mut self.buckets {
            let Rate { rate, burst } = rates.of(*class);
            bucket.set_rate(now, rate, burst);
        }
    }

    fn bucket(&mut self, class: Class) -> &mut TokenBucket {
        &mut self.buckets[class as usize].1
    }
}

/// Label of a call in metrics.
fn label(class: Class, outcome: Outcome) -> &'static str {
    match (class, outcome) {
        (_, Outcome::Answered) => class.as_str(),
        (Class::Claim, Outcome::Conflict) => "claim_conflict",
        (_, Outcome::Conflict) => "write_conflict",
        (Class::Read, Outcome::Failed) => "read_failed",
        (Class::Read, Outcome::LimitedByServer) => "read_limited",
        (Class::Read, Outcome::LimitedByClient) => "read_held",
        (Class::Write, Outcome::Failed) => "write_failed",
        (Class::Write, Outcome::LimitedByServer) => "write_limited",
        (Class::Write, Outcome::LimitedByClient) => "write_held",
        (Class::Claim, Outcome::Failed) => "claim_failed",
        (Class::Claim, Outcome::LimitedByServer) => "claim_limited",
        (Class::Claim, Outcome::LimitedByClient) => "claim_held",
        (Class::Watch, Outcome::Failed) => "watch_failed",
        (Class::Watch, Outcome::LimitedByServer) => "watch_limited",
        (Class::Watch, Outcome::LimitedByClient) => "watch_held",
    }
}

/// Calls by class and outcome.
#[derive(Debug, Default)]
pub struct Counts {
    calls: Mutex<BTreeMap<(Class, Outcome), u64>>,
    metrics: Option<Arc<Metrics>>,
}

impl Counts {
    /// Counts that are shown among a router's metrics too.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { calls: Mutex::default(), metrics: Some(metrics) }
    }

    /// Counts one call.
    pub fn add(&self, class: Class, outcome: Outcome) {
        *self.lock().entry((class, outcome)).or_default() += 1;
        if let Some(metrics) = &self.metrics {
            metrics.add(Counter::PlatformCalls, label(class, outcome), 1);
        }
    }

    /// All counts.
    pub fn all(&self) -> BTreeMap<(Class, Outcome), u64> {
        self.lock().clone()
    }

    /// Calls of a class that left this process.
    pub fn sent(&self, class: Class) -> u64 {
        self.lock()
            .iter()
            .filter(|((c, o), _)| *c == class && *o != Outcome::LimitedByClient)
            .map(|(_, n)| n)
            .sum()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(Class, Outcome), u64>> {
        lock(&self.calls)
    }
}
