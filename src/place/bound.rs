//! Load bound: the maximum work of an engine, as a multiple of its pool's mean load.

use std::time::Duration;

use crate::{
    catalog::Id,
    util::{Instant, Map},
};

/// Work in expected tokens, prompt plus output.
pub type Work = u64;

/// Digests older than this are ignored: their router is down.
const DIGEST_TTL: Duration = Duration::from_secs(5);
/// Maximum change by extrapolation, as a fraction of the work in the digest.
const MAX_EXTRAPOLATED_FRACTION: f64 = 0.2;
/// Minimum period over which a rate of change is computed; a shorter one would only amplify noise.
const MIN_SLOPE_PERIOD_S: f64 = 0.2;
/// Fraction of the room between mean and bound that is granted. The rest absorbs digests that are up to a second
/// old, and the fall of the mean when requests end on other engines first.
const HEADROOM_FRACTION: f64 = 0.85;
/// Mean number of requests per engine up to which the full headroom is granted; above it, the headroom shrinks
/// with the square root of that number.
///
/// When a surge ends, the mean falls while engines near the bound drain unevenly, which can't be corrected then.
/// Random imbalance grows only with the square root of the number of requests, so at high load an engine needs
/// less headroom and is kept further below the bound.
const FULL_HEADROOM_REQUESTS: f64 = 32.0;
/// Fraction of the headroom for work without a cached context: none. Such work runs equally well on an engine at
/// or below the mean, which balances the load and reserves the headroom for chats that return to their cache.
const UNCACHED_HEADROOM_FRACTION: f64 = 0.0;

/// Summary of the load that one owner's engines carry in one pool, sent to the other routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadDigest {
    /// Work of the requests in progress.
    pub work: Work,
    /// Requests in progress.
    pub running: u32,
    /// Sum of the capacities of the available engines.
    pub capacity: u64,
}

impl LoadDigest {
    fn add(&mut self, other: LoadDigest) {
        self.work += other.work;
        self.running += other.running;
        self.capacity += other.capacity;
    }
}

/// Mean load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanLoad {
    /// Work per unit of capacity.
    pub work_per_capacity: f64,
    /// Work per request.
    pub work_per_request: f64,
    /// Requests per unit of capacity.
    pub requests_per_capacity: f64,
}

impl MeanLoad {
    /// Computes the mean from the total load of a pool.
    pub fn from_total(total: LoadDigest) -> Self {
        Self {
            work_per_capacity: total.work as f64 / total.capacity.max(1) as f64,
            work_per_request: total.work as f64 / f64::from(total.running.max(1)),
            requests_per_capacity: f64::from(total.running) / total.capacity.max(1) as f64,
        }
    }

    /// Maximum work of an engine of `capacity`, including the `work` to be added.
    ///
    /// When the mean is small, a single request exceeds any multiple of it, and a strict bound would refuse every
    /// request while engines are idle. One request above the mean is therefore always allowed: some engine is at
    /// or below the mean and can accept it.
    pub fn limit(&self, capacity: u32, bound: f64, work: Work, above_mean: bool) -> f64 {
        let share = self.work_per_capacity * f64::from(capacity);
        let running = self.requests_per_capacity * f64::from(capacity);
        let fraction = (FULL_HEADROOM_REQUESTS / running.max(FULL_HEADROOM_REQUESTS)).sqrt();
        let headroom = fraction * if above_mean { HEADROOM_FRACTION } else { UNCACHED_HEADROOM_FRACTION };
        let factor = 1.0 + (bound - 1.0) * headroom;
        (factor * share).max(share + self.work_per_request.max(work as f64))
    }
}

/// Latest digest of one source, with its rate of change.
#[derive(Clone, Copy, Debug)]
struct Entry {
    digest: LoadDigest,
    at: Instant,
    /// Change of the work per second since the previous digest.
    work_per_s: f64,
}

impl Entry {
    /// Extrapolates the digest to `now`.
    ///
    /// At the end of a surge the work falls by a tenth per second. A mean that is half a second old is then too
    /// high and would admit requests to engines above the bound; extrapolation corrects for this.
    fn extrapolate(&self, now: Instant) -> LoadDigest {
        let change = self.work_per_s * now.saturating_sub(self.at).as_secs_f64();
        let work = self.digest.work as f64;
        let max_change = work * MAX_EXTRAPOLATED_FRACTION;
        LoadDigest { work: (work + change.clamp(-max_change, max_change)) as Work, ..self.digest }
    }
}

/// Latest load digests of the other owners.
#[derive(Clone, Debug, Default)]
pub struct LoadDigests {
    /// Keyed by pool and source.
    latest: Map<(Id, Id), Entry>,
}

impl LoadDigests {
    /// Records the digest of `source` for a pool.
    pub fn record(&mut self, source: Id, pool: Id, digest: LoadDigest, now: Instant) {
        let work_per_s = self.latest.get(&(pool, source)).map_or(0.0, |old| {
            let seconds = now.saturating_sub(old.at).as_secs_f64();
            (digest.work as f64 - old.digest.work as f64) / seconds.max(MIN_SLOPE_PERIOD_S)
        });
        self.latest.insert((pool, source), Entry { digest, at: now, work_per_s });
    }

    /// Sums the unexpired digests of a pool.
    pub fn total(&self, pool: Id, now: Instant) -> LoadDigest {
        let mut total = LoadDigest::default();
        for ((of, _), entry) in &self.latest {
            if *of == pool && now.saturating_sub(entry.at) < DIGEST_TTL {
                total.add(entry.extrapolate(now));
            }
        }
        total
    }

    /// Removes the digests of a router that left: its work was aborted or continues under new owners.
    pub fn remove(&mut self, source: Id) {
        self.latest.retain(|(_, of), _| *of != source);
    }

    /// Removes expired digests.
    pub fn expire(&mut self, now: Instant) {
        self.latest.retain(|_, entry| now.saturating_sub(entry.at) < DIGEST_TTL);
    }
}

/// Adds the own digest and the sum of the others.
pub fn total(own: LoadDigest, others: LoadDigest) -> LoadDigest {
    let mut total = own;
    total.add(others);
    total
}
