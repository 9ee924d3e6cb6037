//! Plain services, whose servers report no load: a limit that all hosts learn together, and repeats after errors.
//!
//! The load that this answers: a few servers with few slots and short queues are behind many hosts, and demand is
//! several times their capacity while one of them is lost. A host sends them a few requests a second, so that what
//! it sees alone says little, and what it knows of the requests in progress elsewhere is older than the time in
//! which a queue fills. Limits on requests in progress then make all hosts stop and start together.
//!
//! Therefore the limit is a rate. While too many results of all hosts are late, the servers are busy without a
//! pause, so that the results per second are their capacity. Hosts admit about that many requests per second
//! together, a little less while results are late. Each host admits its part by its part of the arrivals. The limit
//! is a multiple of what was measured rather than of the previous limit, so that a late result that is seen several
//! times lowers it no further.

use std::time::Duration;

use crate::util::{Instant, decay};

pub mod hooks;
pub mod repeats;

/// Smallest fleet in which the limit is learned from the results of all hosts. In smaller ones each host sees
/// enough results itself.
pub const MIN_HOSTS: u32 = 16;
/// Time over which hosts sum arrivals and results.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Number of buckets of the window; counts expire one bucket at a time.
const BUCKETS: usize = 10;
const BUCKET: Duration = Duration::from_millis(WINDOW.as_millis() as u64 / BUCKETS as u64);

/// Results of all hosts in a window from which on the fraction of late ones says something.
const MIN_RESULTS: u32 = 32;
/// Time without so many results after which the limit is dropped.
const MAX_MEASUREMENT_AGE: Duration = Duration::from_secs(3);
/// Minimum time between two adjustments.
const ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that counts between two adjustments, so that a host without requests for long changes no more than
/// the others.
const MAX_ADJUSTMENT_STEP: Duration = Duration::from_millis(500);
/// Fraction of late results above which the servers have no pause, so that their results are their capacity.
const SATURATED_LATE_FRACTION: f64 = 0.2;
/// Fraction of late results below which the servers may have more capacity than was measured.
const UNSATURATED_LATE_FRACTION: f64 = 0.08;
/// Half-life with which the capacity follows the results of saturated servers. It smooths the counts of a window.
const CAPACITY_HALF_LIFE: Duration = Duration::from_millis(400);
/// Growth of the capacity per second while few results are late, relative to the capacity.
const CAPACITY_GROWTH: f64 = 0.01;
/// Limits relative to the capacity with few late results and with many; with less for many, slots stay empty while
/// the sums of other hosts arrive.
const LIMIT_FACTORS: (f64, f64) = (1.05, 0.95);
/// Fractions of late results between which the limit goes from the first factor to the second.
const LATE_RANGE: (f64, f64) = (0.05, 0.25);
/// Limit relative to the arrivals from which on it is dropped, since it would refuse nothing.
const UNNEEDED_LIMIT: f64 = 1.5;
/// Fraction of the arrivals that is admitted at least, so that forged counts can't stop a service.
const MIN_ADMITTED_FRACTION: f64 = 0.02;
/// Half-life of this host's rate of arrivals; a longer one leaves the limit unused for seconds after a surge began.
const ARRIVALS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Requests that a host admits beyond its rate while its backlog goes from nothing to the limit.
const BACKLOG_DEPTH: f64 = 4.0;
/// Part of the refusal range by which requests whose objective has passed are refused earlier, so that they get only
/// what those leave that can still be in time.
pub(crate) const OVERDUE_STEP: f64 = 0.45;
/// Change of the limit that is logged.
const LOGGED_CHANGE: f64 = 0.05;
/// Minimum time between two log lines of a change.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Arrivals and results of a service within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived, including those that were refused.
    pub arrivals: u32,
    /// Results of requests that were sent to servers.
    pub results: u32,
    /// Those that were late.
    pub late: u32,
}

impl Counts {
    /// Sum of two counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            arrivals: self.arrivals.saturating_add(other.arrivals),
            results: self.results.saturating_add(other.results),
            late: self.late.saturating_add(other.late),
        }
    }

    fn late_fraction(self) -> f64 {
        (f64::from(self.late) / f64::from(self.results.max(1))).min(1.0)
    }
}

/// Counts of this host in the last [`WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    buckets: [Counts; BUCKETS],
    /// Number of the newest bucket since the start of the clock.
    newest: u64,
}

impl Window {
    fn advance(&mut self, now: Instant) -> &mut Counts {
        let current = (now.as_millis() / BUCKET.as_millis()) as u64;
        let expired = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for number in (0..expired).map(|back| current - back) {
            self.buckets[number as usize % BUCKETS] = Counts::default();
        }
        self.newest = self.newest.max(current);
        &mut self.buckets[self.newest as usize % BUCKETS]
    }

    fn total(&mut self, now: Instant) -> Counts {
        self.advance(now);
        self.buckets.iter().fold(Counts::default(), |sum, counts| sum.plus(*counts))
    }
}

/// A change of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Previous limit in requests per second; `None` if there was none.
    pub old: Option<f64>,
    /// New limit; `None` if there is none any more.
    pub new: Option<f64>,
    /// Counts of all hosts from which it was derived.
    pub counts: Counts,
    /// Number of these hosts.
    pub hosts: u32,
}

/// What this host knows of a plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainService {
    own: Window,
    /// Whether enough hosts tell what they measure.
    has_many_hosts: bool,
    /// Requests per second that the servers finish; known once they were saturated.
    capacity: Option<f64>,
    /// Requests per second that all hosts admit together.
    limit: Option<f64>,
    /// Arrivals per second at all hosts.
    arrivals: f64,
    /// Decaying number of arrivals at this host.
    own_arrivals: f64,
    own_arrivals_at: Instant,
    /// Requests admitted by this host beyond its rate.
    backlog: f64,
    backlog_at: Instant,
    adjusted_at: Instant,
    /// When all hosts together last had enough results.
    measured_at: Option<Instant>,
    logged: Option<f64>,
    logged_at: Instant,
}

impl PlainService {
    /// Counts a request that asks to be admitted.
    pub fn record_arrival(&mut self, now: Instant) {
        let bucket = self.own.advance(now);
        bucket.arrivals = bucket.arrivals.saturating_add(1);
        self.own_arrivals *= decay(now.saturating_sub(self.own_arrivals_at), ARRIVALS_HALF_LIFE);
        self.own_arrivals += 1.0;
        self.own_arrivals_at = now;
    }

    /// Counts a result.
    pub fn record_result(&mut self, now: Instant, late: bool) {
        let bucket = self.own.advance(now);
        bucket.results = bucket.results.saturating_add(1);
        bucket.late = bucket.late.saturating_add(u32::from(late));
    }

    /// Counts of this host in the last [`WINDOW`].
    pub fn own_counts(&mut self, now: Instant) -> Counts {
        self.own.total(now)
    }

    /// Adjusts the limit to the counts of the others, on `hosts` hosts including this one. Returns a change that is
    /// to be logged.
    pub fn adjust(&mut self, now: Instant, others: Counts, hosts: u32) -> Option<Change> {
        self.has_many_hosts = hosts >= MIN_HOSTS;
        let elapsed = now.saturating_sub(self.adjusted_at);
        if elapsed < ADJUSTMENT_INTERVAL {
            return None;
        }
        self.adjusted_at = now;
        let counts = self.own.total(now).plus(others);
        self.arrivals = f64::from(counts.arrivals) / WINDOW.as_secs_f64();
        self.measured_at = self.measured_at.filter(|at| now <= *at + MAX_MEASUREMENT_AGE);
        if self.has_many_hosts && counts.results >= MIN_RESULTS {
            self.measured_at = Some(now);
            self.measure(elapsed.min(MAX_ADJUSTMENT_STEP), counts);
        }
        if !self.replaces_own_limit() {
            self.capacity = None;
        }
        self.set_limit(now, counts.late_fraction());
        self.change(now, counts, hosts)
    }

    /// Adjusts the capacity.
    fn measure(&mut self, elapsed: Duration, counts: Counts) {
        let rate = f64::from(counts.results) / WINDOW.as_secs_f64();
        let late = counts.late_fraction();
        let Some(capacity) = self.capacity else {
            self.capacity = (late > SATURATED_LATE_FRACTION).then_some(rate);
            return;
        };
        if late > SATURATED_LATE_FRACTION {
            let kept = decay(elapsed, CAPACITY_HALF_LIFE);
            self.capacity = Some(rate + (capacity - rate) * kept);
        } else if late < UNSATURATED_LATE_FRACTION {
            let grown = capacity * (1.0 + CAPACITY_GROWTH * elapsed.as_secs_f64());
            self.capacity = Some(grown.max(rate));
        }
    }

    fn set_limit(&mut self, now: Instant, late: f64) {
        let excess = ((late - LATE_RANGE.0) / (LATE_RANGE.1 - LATE_RANGE.0)).clamp(0.0, 1.0);
        let factor = LIMIT_FACTORS.0 + (LIMIT_FACTORS.1 - LIMIT_FACTORS.0) * excess;
        let limit = self.capacity.map(|capacity| capacity * factor);
        let limit = limit.filter(|limit| *limit <= self.arrivals * UNNEEDED_LIMIT);
        if limit.is_none() {
            self.capacity = None;
        } else if self.limit.is_none() {
            (self.backlog, self.backlog_at) = (BACKLOG_DEPTH, now);
        }
        self.limit = limit;
    }

    fn change(&mut self, now: Instant, counts: Counts, hosts: u32) -> Option<Change> {
        let (old, new) = (self.logged, self.limit);
        let is_logged = match (old, new) {
            (Some(old), Some(new)) => (new / old - 1.0).abs() >= LOGGED_CHANGE,
            _ => old.is_some() != new.is_some(),
        };
        if !is_logged || (self.logged_at + LOG_INTERVAL > now && self.logged_at > Instant::ZERO) {
            return None;
        }
        (self.logged, self.logged_at) = (new, now);
        Some(Change { old, new, counts, hosts })
    }

    /// Requests per second that all hosts admit together; `None` while nothing is limited.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Whether this host knows what enough others measure.
    pub(crate) fn has_many_hosts(&self) -> bool {
        self.has_many_hosts
    }

    /// Whether the limit on requests in progress that this host learns alone is replaced.
    pub(crate) fn replaces_own_limit(&self) -> bool {
        self.has_many_hosts && self.measured_at.is_some()
    }

    /// How much of what this host may admit is taken, where 1 is all; `None` while nothing is limited.
    pub(crate) fn pressure(&mut self, now: Instant) -> Option<f64> {
        let limit = self.limit?;
        // An arrival was just counted; half of it stands for the time since the one before.
        let own = (self.own_arrivals - 0.5) * std::f64::consts::LN_2 / ARRIVALS_HALF_LIFE.as_secs_f64();
        let part = (limit / self.arrivals.max(own)).max(MIN_ADMITTED_FRACTION);
        let rate = own.max(0.0) * part;
        let drained = rate * now.saturating_sub(self.backlog_at).as_secs_f64();
        self.backlog = (self.backlog - drained).max(0.0);
        self.backlog_at = now;
        Some(self.backlog / BACKLOG_DEPTH)
    }

    /// Counts a request that was admitted.
    pub(crate) fn record_admitted(&mut self) {
        if self.limit.is_some() {
            self.backlog += 1.0;
        }
    }
}
