//! The fleet's retry budget: limits retries per service over a sliding window.
//!
//! The fleet may retry `ratio` times the number of callers' requests, plus a constant extra. Each host applies the
//! ratio to its own requests and takes an equal share of the extra, so that the sum stays within the budget even
//! while hosts are partitioned.
//!
//! A host that has just started knows neither what it spent before nor, for a moment, how many hosts share the
//! extra. Its share therefore grows from zero over the length of the window, slowly at first. Its first retry may
//! come out of the reserve, which is the part of the allowance otherwise left unused, so that a single failure in
//! the first seconds does not fail a request.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use crate::util::{Instant, Map};

/// Fraction of the allowance that is used. The reserve covers hosts that join and requests that cross the edge of
/// the window on their way.
const USED_FRACTION: f64 = 0.85;
/// Number of buckets in the window; counts expire one bucket at a time.
const WINDOW_BUCKETS: u32 = 20;

/// Limits on retries, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries per request of a caller.
    pub ratio: f64,
    /// Additional retries of the whole fleet in a window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self { ratio: 0.1, extra: 10.0, window: Duration::from_secs(10) }
    }
}

/// Use of the budget of one service since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetUse {
    /// The service.
    pub service: Arc<str>,
    /// Retries that were taken from the budget.
    pub taken: u32,
    /// Retries for which it was exhausted.
    pub refused: u32,
    /// Requests of callers in the window.
    pub requests: u32,
    /// Number of hosts among which the extra is divided.
    pub hosts: usize,
}

#[derive(Clone, Debug, Default)]
struct Window {
    /// Start of each bucket with its number of requests and retries.
    buckets: VecDeque<(Instant, u32, u32)>,
    /// Retries taken and refused since the last report.
    taken: u32,
    refused: u32,
}

impl Window {
    fn bucket(&mut self, now: Instant, window: Duration) -> &mut (Instant, u32, u32) {
        while self.buckets.front().is_some_and(|(start, ..)| *start + window < now) {
            self.buckets.pop_front();
        }
        let step = window / WINDOW_BUCKETS;
        if self.buckets.back().is_none_or(|(start, ..)| *start + step <= now) {
            self.buckets.push_back((now, 0, 0));
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }

    fn sums(&self) -> (u32, u32) {
        self.buckets.iter().fold((0, 0), |(req, retries), (_, r, a)| (req + r, retries + a))
    }
}

/// The retry budget as seen by this host.
#[derive(Clone, Debug)]
pub struct FleetBudget {
    cfg: BudgetConfig,
    hosts: usize,
    started: Option<Instant>,
    services: Map<Arc<str>, Window>,
}

impl FleetBudget {
    /// Budget of a fleet with one host, until [`FleetBudget::set_hosts`] is called.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self { cfg, hosts: 1, started: None, services: Map::default() }
    }

    /// Sets when the host started, so that the budget ramps up from then. Otherwise each host of a fleet that is
    /// killed while a service refuses requests would spend its share of the extra again within the same window.
    pub fn with_start(self, started: Instant) -> Self {
        Self { started: Some(started), ..self }
    }

    /// Sets the number of hosts that share the extra.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant, service: &Arc<str>) {
        let length = self.cfg.window;
        self.window(service).bucket(now, length).1 += 1;
    }

    /// Takes a retry from the budget; returns false if it is exhausted.
    pub fn spend(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let (cfg, ramp, share) = (self.cfg, self.ramp(now), self.cfg.extra / self.hosts as f64);
        let window = self.window(service);
        window.bucket(now, cfg.window);
        let (requests, retries) = window.sums();
        let from_requests = cfg.ratio * f64::from(requests);
        let allowed = USED_FRACTION * (from_requests + ramp * ramp * share);
        // Every host of a fleet that was killed may take this retry, as long as the reserves of all hosts together
        // cover it.
        let reserve = (1.0 - USED_FRACTION) * (from_requests + share);
        let is_first_retry = ramp < 1.0 && retries == 0 && reserve >= 1.0;
        if f64::from(retries) + 1.0 > allowed && !is_first_retry {
            window.refused += 1;
            return false;
        }
        window.bucket(now, cfg.window).2 += 1;
        window.taken += 1;
        true
    }

    /// Use of the budget since the last call, for the services for which a retry was requested.
    pub fn take_use(&mut self, now: Instant) -> Vec<BudgetUse> {
        let (length, hosts) = (self.cfg.window, self.hosts);
        let used = self.services.iter_mut().filter(|(_, window)| window.taken + window.refused > 0);
        let report = |(service, window): (&Arc<str>, &mut Window)| {
            window.bucket(now, length);
            let (taken, refused) = (std::mem::take(&mut window.taken), std::mem::take(&mut window.refused));
            BudgetUse { service: service.clone(), taken, refused, requests: window.sums().0, hosts }
        };
        used.map(report).collect()
    }

    /// Time since the start of this host as a fraction of the window, at most 1.
    fn ramp(&self, now: Instant) -> f64 {
        let age =
            |started: Instant| now.saturating_sub(started).as_secs_f64() / self.cfg.window.as_secs_f64();
        self.started.map_or(1.0, |started| age(started).min(1.0))
    }

    fn window(&mut self, service: &Arc<str>) -> &mut Window {
        self.services.entry(service.clone()).or_default()
    }
}
