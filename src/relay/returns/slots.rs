//! Time slots of one service: what its hosts drain in a slot, what they have promised, and which slot a caller gets.

use std::{collections::BTreeMap, time::Duration};

use super::SLOT_MS;
use crate::{
    relay::{
        admission::{AdmissionRequest, MAX_EARLY_RETRY_CHANCE, Refused},
        measurements::{Measurements, Topic, key},
    },
    util::{Instant, decay, hash},
};

/// Number of slots ahead of the current one in which returns are promised: a third of the longest deadline of 12 s.
const SLOTS_AHEAD: u64 = 8;
/// Maximum delay as a fraction of the time until the deadline; callers wait no longer.
const REACH: f64 = 1.0 / 3.0;
/// Half-life of the rate of admitted requests from which the drain is estimated.
const DRAIN_HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of the rates that show the end of a surge, before the promised callers have returned.
const SURGE_HALF_LIFE: Duration = Duration::from_millis(250);
/// New requests as a fraction of admitted ones below which a surge is over.
const END_OF_SURGE: f64 = 0.8;
/// Fraction of the drain that is reserved for promised returns.
const RESERVED_FRACTION: f64 = 0.5;

/// When a request is decided on.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Monotonic time.
    pub now: Instant,
    /// Time by the wall clock in milliseconds since 1970.
    pub wall_ms: u64,
    /// Number of hosts.
    pub hosts: usize,
}

/// The latest promise for a service, with the inputs that determined it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// When it was made.
    pub at: Instant,
    /// Number of the time slot, in units of its length since 1970.
    pub slot: u64,
    /// Delay after which the caller should return.
    pub delay: Duration,
    /// Estimated promises of all hosts in that slot, including this one.
    pub promised: f64,
    /// Estimated number of requests that all hosts admit in a slot.
    pub drained: f64,
    /// Number of hosts.
    pub hosts: usize,
}

/// Rate of events with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
struct Rate {
    half_life: Duration,
    sum: f64,
    at: Instant,
}

impl Rate {
    fn new(half_life: Duration) -> Self {
        Self { half_life, sum: 0.0, at: Instant::ZERO }
    }

    fn record(&mut self, now: Instant) {
        self.sum = self.decayed(now) + 1.0;
        self.at = now;
    }

    fn decayed(&self, now: Instant) -> f64 {
        self.sum * decay(now.saturating_sub(self.at), self.half_life)
    }

    fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }
}

/// Rates and promises of this host for one service.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    /// Requests that this host has admitted.
    admitted: Rate,
    /// The same, over a shorter time.
    recently_admitted: Rate,
    /// Requests that have arrived at this host for the first time.
    recently_new: Rate,
    /// This host's promises by slot.
    promised: BTreeMap<u64, u32>,
    /// The latest promise that was not logged.
    pub(super) last: Option<Promise>,
}

impl Slots {
    pub(super) fn new() -> Self {
        Self {
            admitted: Rate::new(DRAIN_HALF_LIFE),
            recently_admitted: Rate::new(SURGE_HALF_LIFE),
            recently_new: Rate::new(SURGE_HALF_LIFE),
            promised: BTreeMap::new(),
            last: None,
        }
    }

    pub(super) fn record_new(&mut self, now: Instant) {
        self.recently_new.record(now);
    }

    pub(super) fn record_admitted(&mut self, now: Instant) {
        self.admitted.record(now);
        self.recently_admitted.record(now);
    }

    /// Drops slots that are past or too far ahead.
    pub(super) fn expire(&mut self, service: &str, wall_ms: u64, measurements: &mut Measurements) {
        let slots = wall_ms / SLOT_MS..=wall_ms / SLOT_MS + SLOTS_AHEAD;
        self.promised.retain(|slot, _| {
            let is_kept = slots.contains(slot);
            if !is_kept {
                measurements.set(Topic::PromisedReturns, key(service, *slot), 0);
            }
            is_kept
        });
    }

    /// Estimated number of requests that all hosts admit in a slot.
    fn drained(&self, now: Instant, hosts: usize) -> f64 {
        self.admitted.per_second(now) * hosts as f64 * SLOT_MS as f64 / 1_000.0
    }

    pub(super) fn is_surge_over(&self, now: Instant) -> bool {
        self.recently_new.per_second(now) < self.recently_admitted.per_second(now) * END_OF_SURGE
    }

    /// Estimated promises of all hosts in a slot: what they have told, or this host's own, extrapolated, while fewer
    /// than half of them are heard.
    fn promised(&self, service: &str, slot: u64, hosts: usize, measurements: &Measurements) -> f64 {
        let own = f64::from(self.promised.get(&slot).copied().unwrap_or(0));
        let told = f64::from(measurements.of_others(Topic::PromisedReturns, key(service, slot)));
        if measurements.host_count() as usize * 2 < hosts {
            return own * hosts as f64;
        }
        own + told
    }

    /// Chance that reserved capacity is for a request that returns now: more may have been promised than is reserved.
    pub(super) fn reserved_chance(&self, at: Moment, service: &str, measurements: &Measurements) -> f64 {
        let due = measurements.total(Topic::PromisedReturns, key(service, at.wall_ms / SLOT_MS));
        if due == 0 {
            return 0.0;
        }
        self.drained(at.now, at.hosts) * RESERVED_FRACTION / f64::from(due)
    }

    /// Chooses the slot in which a refused caller returns, and records it.
    pub(super) fn promise(
        &mut self,
        at: Moment,
        service: &str,
        req: &AdmissionRequest,
        refused: Refused,
        measurements: &mut Measurements,
        draw: f64,
    ) -> Promise {
        let reach_ms = req.time_left.mul_f64(REACH).as_millis() as u64;
        let first = at.wall_ms / SLOT_MS + 1;
        let last = ((at.wall_ms + reach_ms) / SLOT_MS).min(first + SLOTS_AHEAD - 1);
        let has_fair_chance = refused.chance < MAX_EARLY_RETRY_CHANCE;
        let count = |slot: &u64| self.promised(service, *slot, at.hosts, measurements);
        let leveled = (first..=last)
            .filter(|_| !has_fair_chance)
            .min_by(|a, b| count(a).total_cmp(&count(b)).then(tie(a, draw).cmp(&tie(b, draw))));
        let delay = match leveled {
            Some(slot) => within_slot(slot, at.wall_ms, reach_ms, draw),
            None => refused.retry_after,
        };
        let slot = (at.wall_ms + delay.as_millis() as u64) / SLOT_MS;
        let own = self.promised.entry(slot).or_default();
        *own += 1;
        measurements.set(Topic::PromisedReturns, key(service, slot), *own);
        let promised = self.promised(service, slot, at.hosts, measurements);
        let (drained, hosts) = (self.drained(at.now, at.hosts), at.hosts);
        let promise = Promise { at: at.now, slot, delay, promised, drained, hosts };
        self.last = Some(promise);
        promise
    }
}

/// Order of slots with equal numbers of promises, which differs from request to request.
fn tie(slot: &u64, draw: f64) -> u64 {
    hash((draw.to_bits(), slot))
}

/// Delay until a moment within a slot and within reach, spread by `draw`.
fn within_slot(slot: u64, wall_ms: u64, reach_ms: u64, draw: f64) -> Duration {
    let start = slot * SLOT_MS - wall_ms;
    let length = SLOT_MS.min(reach_ms.saturating_sub(start));
    Duration::from_millis(start + (length as f64 * draw) as u64)
}
