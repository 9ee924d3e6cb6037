//! Rate limits and counters of calls to the platform, by class of call.

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

/// Class of call; the platform limits the rate of each separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Get and list.
    Read,
    /// Create, conditional update and delete, except for claims.
    Write,
    /// Writes of claim shards. Few routers own shards, and these need more than an equal share of the fleet's rate.
    Claim,
    /// Opening a watch; an open watch counts as one call.
    Watch,
}

impl Class {
    /// Returns the class for writing an object of this kind.
    pub fn of_write(kind: &str) -> Self {
        if kind.starts_with("Claim") { Class::Claim } else { Class::Write }
    }

    /// Label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Read => "read",
            Class::Write => "write",
            Class::Claim => "claim",
            Class::Watch => "watch",
        }
    }
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A response was received, possibly one that rejects the content.
    Answered,
    /// Another write came first.
    Conflict,
    /// No response, or a server error.
    Failed,
    /// The platform rejected it because its rate limit was exceeded.
    LimitedByServer,
    /// Not sent, because it would have exceeded this client's rate limit.
    LimitedByClient,
}

/// Rate limit of one class.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Calls per second.
    pub rate: f64,
    /// Maximum number of calls at once after an idle period.
    pub burst: f64,
}

/// Rate limits of one process, by class.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    read: Rate,
    write: Rate,
    claim: Rate,
    watch: Rate,
}

/// Rate limit of the entire fleet, below the platform's own limits of 2,000 reads and some hundreds of writes per
/// second.
const FLEET_READS_PER_SECOND: f64 = 1_200.0;
const FLEET_WRITES_PER_SECOND: f64 = 80.0;
/// Rate limit of claim writes for each shard, independent of the size of the fleet.
const SHARD_CLAIM_WRITES_PER_SECOND: f64 = 10.0;
const FLEET_WATCH_OPENS_PER_SECOND: f64 = 60.0;
const DEFAULT_FLEET_SIZE: usize = 8;
const MAX_BURST_CALLS: f64 = 40.0;

impl Default for Rates {
    fn default() -> Self {
        Self::per_router(DEFAULT_FLEET_SIZE)
    }
}

impl Rates {
    /// Returns the limits of each router in a fleet of `routers`; simultaneous bursts of all routers together stay
    /// within the fleet's calls of one second.
    ///
    /// The limit of claim writes depends on the number of shards that a router may own, one more than its equal share.
    pub fn per_router(routers: usize) -> Self {
        let n = routers.max(1) as f64;
        let rate = |total: f64| Rate { rate: total / n, burst: (total / n).clamp(1.0, MAX_BURST_CALLS) };
        let shards = (f64::from(SHARD_COUNT) / n).ceil() + 1.0;
        let claim = Rate {
            rate: SHARD_CLAIM_WRITES_PER_SECOND * shards,
            burst: SHARD_CLAIM_WRITES_PER_SECOND * shards,
        };
        Self {
            read: rate(FLEET_READS_PER_SECOND),
            write: rate(FLEET_WRITES_PER_SECOND),
            claim,
            watch: rate(FLEET_WATCH_OPENS_PER_SECOND),
        }
    }

    /// Sets the limit of reads.
    pub fn with_reads(self, read: Rate) -> Self {
        Self { read, ..self }
    }

    /// Sets the limit of writes.
    pub fn with_writes(self, write: Rate) -> Self {
        Self { write, ..self }
    }

    /// Sets the limit of watch openings.
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

/// Rate limiter with a token bucket for each class.
#[derive(Debug)]
pub struct Limiter {
    buckets: [(Class, TokenBucket); 4],
}

impl Limiter {
    /// Creates a limiter with full buckets.
    pub fn new(rates: Rates) -> Self {
        let bucket = |class| {
            let Rate { rate, burst } = rates.of(class);
            (class, TokenBucket::new(rate, burst))
        };
        Self { buckets: [Class::Read, Class::Write, Class::Claim, Class::Watch].map(bucket) }
    }

    /// Takes a token for one call.
    ///
    /// # Errors
    /// The time until a token is available.
    pub fn take(&mut self, now: Instant, class: Class) -> Result<(), Duration> {
        self.bucket(class).take(now)
    }

    /// Blocks a class for the time `wait` after the platform rejected a call with status 429.
    pub fn pause(&mut self, now: Instant, class: Class, wait: Duration) {
        self.bucket(class).pause(now, wait);
    }

    /// Changes the rate limits, for example when the size of the fleet changes.
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

/// Label value of a call in metrics.
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

/// Number of calls by class and outcome.
#[derive(Debug, Default)]
pub struct Counts {
    calls: Mutex<BTreeMap<(Class, Outcome), u64>>,
    metrics: Option<Arc<Metrics>>,
}

impl Counts {
    /// Creates counters that also update `metrics`.
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

    /// Returns all counts.
    pub fn all(&self) -> BTreeMap<(Class, Outcome), u64> {
        self.lock().clone()
    }

    /// Number of calls of a class that were sent.
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
