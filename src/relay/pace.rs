//! Pace of backend servers: how long work currently takes there relative to usual.
//!
//! Servers share their machines, so that some are briefly several times slower. Servers that say so in a header of
//! their responses switch this module on for their service; nothing changes for others. A report is a moment's
//! value, so that the pace returns to usual within a second. A server may report that it is fast when it isn't:
//! the time that it takes to send first events counts as well, and the worse of the two is used.

use std::{sync::Arc, time::Duration};

use super::backends::Tag;
use crate::util::{Instant, Map, decay};

mod quicker;

pub use quicker::{quicker, without_slow};

/// Pace of a server that is neither fast nor slow, in percent.
pub const USUAL_PERCENT: f64 = 100.0;
/// Pace from which a server counts as slow and other hosts are told.
pub const SLOW_PERCENT: u32 = 150;
/// Range of paces, in percent; reports beyond it are bounded.
const PERCENT_RANGE: (f64, f64) = (25.0, 1_000.0);
/// Time within which a pace returns to usual.
const RETENTION: Duration = Duration::from_secs(1);
/// Half-life of the times to first events that are compared with the median.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_millis(500);
/// Time without a report after which the servers of a service no longer count as reporting their pace. A host of a
/// large fleet hears from each server only every few seconds.
const REPORTING_MEMORY: Duration = Duration::from_secs(30);
/// Maximum number of servers with a known pace.
const MAX_SERVERS: usize = 16_384;

/// Number of classes of uncached tokens; each holds twice the tokens of the one before.
const TOKEN_CLASSES: usize = 10;
/// Uncached tokens up to which the first class extends.
const FIRST_CLASS_TOKENS: u32 = 128;
/// Number of first events after which the median of a class is used.
const MIN_SAMPLES: u32 = 8;
/// Relative step by which a median follows the samples, once it has many.
const MEDIAN_STEP: f64 = 0.05;

/// Initial estimate of the uncached tokens that a server prefills in a millisecond, and the bounds of the learned one.
const INITIAL_TOKENS_PER_MS: f64 = 60.0;
const TOKENS_PER_MS_RANGE: (f64, f64) = (6.0, 600.0);
/// Uncached tokens from which a first event tells how fast servers prefill; below it other delays prevail.
const MIN_RATE_TOKENS: u32 = 2_048;
/// Quantile of the rates seen that is used: most first events also wait for other prompts or at slow servers. With the
/// median every long prompt counts as one that delays streams.
const RATE_QUANTILE: f64 = 0.9;

/// How long work takes at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Relative to usual, in percent.
    pub percent: f64,
    /// Age of what determined it; `None` if nothing is known.
    pub age: Option<Duration>,
}

impl Pace {
    /// A server of which nothing is known.
    pub const USUAL: Pace = Pace { percent: USUAL_PERCENT, age: None };

    /// A pace as it was at `at`.
    fn aged(now: Instant, percent: f64, at: Instant) -> Self {
        let age = now.saturating_sub(at);
        let kept = 1.0 - (age.as_secs_f64() / RETENTION.as_secs_f64()).min(1.0);
        Pace { percent: USUAL_PERCENT + (percent - USUAL_PERCENT) * kept, age: Some(age) }
    }

    /// Whether the server counts as slow.
    pub fn is_slow(&self) -> bool {
        self.percent >= f64::from(SLOW_PERCENT)
    }
}

/// What is known of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Server {
    /// Latest report and when it was made.
    report: Option<(f64, Instant)>,
    /// Decaying sum and weight of the times to first events relative to the median, and when the last one was added.
    ratios: f64,
    weight: f64,
    observed_at: Option<Instant>,
}

impl Server {
    fn add_ratio(&mut self, now: Instant, ratio: f64) {
        let kept = self.observed_at.map_or(0.0, |at| decay(now.saturating_sub(at), OBSERVATION_HALF_LIFE));
        self.ratios = self.ratios * kept + ratio;
        self.weight = self.weight * kept + 1.0;
        self.observed_at = Some(now);
    }

    fn reported(&self, now: Instant) -> Option<Pace> {
        self.report.map(|(percent, at)| Pace::aged(now, percent, at))
    }

    /// The pace by first events. One sample of the usual time is added, so that a single slow one counts half.
    fn observed(&self, now: Instant) -> Option<Pace> {
        let percent = USUAL_PERCENT * (1.0 + self.ratios) / (1.0 + self.weight);
        self.observed_at.map(|at| Pace::aged(now, percent.clamp(PERCENT_RANGE.0, PERCENT_RANGE.1), at))
    }

    fn is_outdated(&self, now: Instant) -> bool {
        let newest = self.report.map(|(_, at)| at).max(self.observed_at);
        newest.is_none_or(|at| at + RETENTION < now)
    }
}

/// Running estimate of a median.
#[derive(Clone, Copy, Debug, Default)]
struct Median {
    value: f64,
    samples: u32,
}

impl Median {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        // Larger steps at first, so that the first sample does not matter for long.
        let step = (1.0 / f64::from(self.samples)).clamp(MEDIAN_STEP, 0.5);
        self.value = match self.samples {
            1 => sample,
            _ if sample > self.value => self.value * (1.0 + step),
            _ => self.value / (1.0 + step),
        };
    }

    fn get(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.value)
    }
}

/// What is known of the servers of a service together.
#[derive(Clone, Copy, Debug)]
struct Service {
    reported_at: Instant,
    /// Time to first event in milliseconds, by class of uncached tokens.
    first_event_ms: [Median; TOKEN_CLASSES],
    tokens_per_ms: f64,
}

/// Paces of the servers that report them.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    servers: Map<Tag, Server>,
    services: Map<Arc<str>, Service>,
    /// When an invalid report was last logged.
    invalid_logged: Option<Instant>,
}

impl Paces {
    /// Records what a server reported at `at`, to this host or to another one. Older reports than the known one are
    /// ignored.
    pub fn record_report(&mut self, now: Instant, service: &Arc<str>, tag: Tag, percent: u32, at: Instant) {
        let at = at.min(now);
        if percent == 0 || at + RETENTION < now {
            return;
        }
        let known = self.services.entry(service.clone()).or_insert_with(|| Service {
            reported_at: at,
            first_event_ms: Default::default(),
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
        });
        known.reported_at = known.reported_at.max(at);
        let percent = f64::from(percent).clamp(PERCENT_RANGE.0, PERCENT_RANGE.1);
        if let Some(server) = self.server(tag)
            && server.report.is_none_or(|(_, known_at)| known_at <= at)
        {
            server.report = Some((percent, at));
        }
    }

    /// Records the time from sending a request with this many uncached tokens to its first event; ignored for services
    /// whose servers do not report their pace.
    pub fn record_first_event(
        &mut self,
        now: Instant,
        service: &str,
        tag: Tag,
        uncached: u32,
        waited: Duration,
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        let waited_ms = waited.as_secs_f64() * 1_000.0;
        if uncached >= MIN_RATE_TOKENS && waited_ms > 0.0 {
            let is_faster = f64::from(uncached) / waited_ms > service.tokens_per_ms;
            let step = if is_faster { RATE_QUANTILE } else { RATE_QUANTILE - 1.0 } * MEDIAN_STEP;
            let (min, max) = TOKENS_PER_MS_RANGE;
            service.tokens_per_ms = (service.tokens_per_ms * step.exp()).clamp(min, max);
        }
        let median = &mut service.first_event_ms[token_class(uncached)];
        let usual = median.get().filter(|ms| *ms > 0.0);
        median.add(waited_ms);
        if let (Some(usual), Some(server)) = (usual, self.server(tag)) {
            server.add_ratio(now, waited_ms / usual);
        }
    }

    /// Whether servers of a service have recently reported their pace.
    pub fn are_reported(&self, now: Instant, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| s.reported_at + REPORTING_MEMORY >= now)
    }

    /// The pace of a server: the worse of its report and of what was observed.
    pub fn pace(&self, now: Instant, tag: Tag) -> Pace {
        let Some(server) = self.servers.get(&tag) else { return Pace::USUAL };
        match (server.reported(now), server.observed(now)) {
            (Some(reported), Some(observed)) if observed.percent > reported.percent => observed,
            (Some(reported), _) => reported,
            (None, observed) => observed.unwrap_or(Pace::USUAL),
        }
    }

    /// The pace of a server by the times to first events alone.
    pub fn observed_pace(&self, now: Instant, tag: Tag) -> Option<Pace> {
        self.servers.get(&tag)?.observed(now)
    }

    /// Time in milliseconds in which a server of usual pace prefills this many tokens.
    pub fn prefill_ms(&self, service: &str, tokens: f64) -> f64 {
        tokens / self.services.get(service).map_or(INITIAL_TOKENS_PER_MS, |s| s.tokens_per_ms)
    }

    /// Whether an invalid report may be logged; it may once in a second.
    pub fn may_log_invalid(&mut self, now: Instant) -> bool {
        if self.invalid_logged.is_some_and(|at| at + Duration::from_secs(1) > now) {
            return false;
        }
        self.invalid_logged = Some(now);
        true
    }

    /// Forgets a server, which has restarted or is gone.
    pub fn forget(&mut self, tag: Tag) {
        self.servers.remove(&tag);
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, server| !server.is_outdated(now));
        self.services.retain(|_, service| service.reported_at + REPORTING_MEMORY >= now);
    }

    fn server(&mut self, tag: Tag) -> Option<&mut Server> {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&tag) {
            return None;
        }
        Some(self.servers.entry(tag).or_default())
    }
}

/// Class of prompts by their uncached tokens.
fn token_class(uncached: u32) -> usize {
    let doublings = (uncached / FIRST_CLASS_TOKENS).checked_ilog2().map_or(0, |n| n as usize + 1);
    doublings.min(TOKEN_CLASSES - 1)
}
