//! The load bound: how much work an engine may carry, as a multiple of the mean.

use std::time::Duration;

use crate::{
    catalog::Id,
    util::{Instant, Map},
};

/// Expected tokens, prompt and output.
pub type Work = u64;

/// A digest that was not renewed for this long is of a router that has gone.
const DIGEST_LIFE: Duration = Duration::from_secs(5);
/// Largest part of a digest's work by which it is projected.
const MOST_CHANGE: f64 = 0.2;
/// Digests that come closer together tell nothing of a slope.
const LEAST_PERIOD_S: f64 = 0.2;
/// Part of the room above the mean that is given out. The rest covers digests a second old, and requests of
/// other engines that end while this engine's go on.
const HEADROOM: f64 = 0.85;
/// Requests an engine up to which that part holds; beyond, it shrinks with the root of their number.
///
/// When a surge ends, the mean falls while engines near the bound drain unevenly, and nothing can be done for
/// them then. Chance makes load uneven by the root of the number of requests: with more of them an engine that
/// takes part in a surge has little use for the room, and is kept further from the bound.
const FEW: f64 = 32.0;
/// Part of that room which work without a cached context may use: none. It does as well on an engine at or
/// below the mean, and so evens the load out and leaves the room to chats that return to their cache.
const UNCACHED_HEADROOM: f64 = 0.0;

/// Load of one owner's engines in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Work of the requests in progress.
    pub work: Work,
    /// Requests in progress.
    pub running: u32,
    /// Sum of the capacities of the engines in use.
    pub capacity: u64,
}

impl Digest {
    fn add(&mut self, other: Digest) {
        self.work += other.work;
        self.running += other.running;
        self.capacity += other.capacity;
    }
}

/// Mean load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanLoad {
    /// Work a unit of capacity.
    pub per_capacity: f64,
    /// Work of one request.
    pub per_request: f64,
    /// Requests a unit of capacity.
    pub running_per_capacity: f64,
}

impl MeanLoad {
    /// Mean of a pool with this load in total.
    pub fn from_total(total: Digest) -> Self {
        Self {
            per_capacity: total.work as f64 / total.capacity.max(1) as f64,
            per_request: total.work as f64 / f64::from(total.running.max(1)),
            running_per_capacity: f64::from(total.running) / total.capacity.max(1) as f64,
        }
    }

    /// Work that an engine of `capacity` may carry once `work` is added.
    ///
    /// Under a small mean one request alone exceeds any multiple of it, and a strict bound would refuse
    /// everything while engines stand idle. One request above the mean is therefore always within the bound:
    /// some engine is at or below the mean, so that one can take the request.
    pub fn limit(&self, capacity: u32, bound: f64, work: Work, above_mean: bool) -> f64 {
        let share = self.per_capacity * f64::from(capacity);
        let running = self.running_per_capacity * f64::from(capacity);
        let kept = (FEW / running.max(FEW)).sqrt();
        let headroom = kept * if above_mean { HEADROOM } else { UNCACHED_HEADROOM };
        let aim = 1.0 + (bound - 1.0) * headroom;
        (aim * share).max(share + self.per_request.max(work as f64))
    }
}

/// Two successive digests of one source.
#[derive(Clone, Copy, Debug)]
struct Entry {
    digest: Digest,
    at: Instant,
    /// Change of work a second between the two.
    slope: f64,
}

impl Entry {
    /// The digest as it probably is by now.
    ///
    /// While a surge ends, the work falls by a tenth each second. A mean that is half a second old then stands
    /// above the true one, and would let engines through that are above the bound. The slope makes up for it.
    fn projected(&self, now: Instant) -> Digest {
        let change = self.slope * now.saturating_sub(self.at).as_secs_f64();
        let work = self.digest.work as f64;
        let most = work * MOST_CHANGE;
        Digest { work: (work + change.clamp(-most, most)) as Work, ..self.digest }
    }
}

/// Latest digests of the other owners.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    /// By pool and source.
    latest: Map<(Id, Id), Entry>,
}

impl Digests {
    /// Notes what a source says of a pool.
    pub fn record(&mut self, source: Id, pool: Id, digest: Digest, now: Instant) {
        let slope = self.latest.get(&(pool, source)).map_or(0.0, |old| {
            let seconds = now.saturating_sub(old.at).as_secs_f64();
            (digest.work as f64 - old.digest.work as f64) / seconds.max(LEAST_PERIOD_S)
        });
        self.latest.insert((pool, source), Entry { digest, at: now, slope });
    }

    /// Sum over the sources of a pool that are not out of date.
    pub fn total(&self, pool: Id, now: Instant) -> Digest {
        let mut total = Digest::default();
        for ((of, _), entry) in &self.latest {
            if *of == pool && now.saturating_sub(entry.at) < DIGEST_LIFE {
                total.add(entry.projected(now));
            }
        }
        total
    }

    /// Forgets a source that has gone: its work was cut, or goes on at new owners.
    pub fn remove(&mut self, source: Id) {
        self.latest.retain(|(_, of), _| *of != source);
    }

    /// Forgets what is out of date.
    pub fn expire(&mut self, now: Instant) {
        self.latest.retain(|_, entry| now.saturating_sub(entry.at) < DIGEST_LIFE);
    }
}

/// Sum of an owner's digest and those of the others.
pub fn total(own: Digest, others: Digest) -> Digest {
    let mut total = own;
    total.add(others);
    total
}
