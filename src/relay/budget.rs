//! The fleet's budget of retries, by service, over a sliding window.
//!
//! The fleet may send `ratio` times the callers' requests again, plus a fixed extra. Each host keeps to the ratio of
//! its own requests and to an equal part of the extra, so that the sum holds also while hosts don't hear each other.
//!
//! A host that has just started does not know what it spent before, nor for the first moments how many share the extra: its
//! part grows from nothing over the length of the window, slowly at first. Its first retry comes out of the part of the
//! allowance that is otherwise left unused, so that a single failure in the first seconds does not end a request.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use crate::util::{Instant, Map};

/// Part of the allowance that is used: hosts join, and requests cross the edge of the window on their way.
const SAFETY: f64 = 0.85;
/// Buckets of the window; what is counted ages in these steps.
const BUCKETS: u32 = 20;

/// Bounds on retries, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries a request.
    pub ratio: f64,
    /// Retries in a window beside the ratio, for the whole fleet.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self { ratio: 0.1, extra: 10.0, window: Duration::from_secs(10) }
    }
}

#[derive(Clone, Debug, Default)]
struct Window {
    /// Start of each bucket with its requests and retries.
    buckets: VecDeque<(Instant, u32, u32)>,
}

impl Window {
    fn bucket(&mut self, now: Instant, window: Duration) -> &mut (Instant, u32, u32) {
        while self.buckets.front().is_some_and(|(start, ..)| *start + window < now) {
            self.buckets.pop_front();
        }
        let step = window / BUCKETS;
        if self.buckets.back().is_none_or(|(start, ..)| *start + step <= now) {
            self.buckets.push_back((now, 0, 0));
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }

    fn sums(&self) -> (u32, u32) {
        self.buckets.iter().fold((0, 0), |(req, again), (_, r, a)| (req + r, again + a))
    }
}

/// Requests and retries of this host.
#[derive(Clone, Debug)]
pub struct FleetBudget {
    cfg: BudgetConfig,
    hosts: usize,
    started: Option<Instant>,
    services: Map<Arc<str>, Window>,
}

impl FleetBudget {
    /// Budget of a fleet of one host, until more are known.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self { cfg, hosts: 1, started: None, services: Map::default() }
    }

    /// Sets when the host started, so that retries of its last start may still count. Against a fleet that is killed while a
    /// service refuses: every host would spend its part of the extra once more within the window.
    pub fn with_start(self, started: Instant) -> Self {
        Self { started: Some(started), ..self }
    }

    /// Sets how many hosts share the extra.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Notes the request of a caller.
    pub fn request(&mut self, now: Instant, service: &Arc<str>) {
        let length = self.cfg.window;
        self.window(service).bucket(now, length).1 += 1;
    }

    /// Takes one retry, if the budget holds one.
    pub fn spend(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let (cfg, grown, share) = (self.cfg, self.grown(now), self.cfg.extra / self.hosts as f64);
        let window = self.window(service);
        window.bucket(now, cfg.window);
        let (requests, retries) = window.sums();
        let from_requests = cfg.ratio * f64::from(requests);
        let allowed = SAFETY * (from_requests + grown * grown * share);
        // Every host of a fleet that was killed may take this one, as long as the reserve of all holds them together.
        let reserve = (1.0 - SAFETY) * (from_requests + share);
        let first = grown < 1.0 && retries == 0 && reserve >= 1.0;
        if f64::from(retries) + 1.0 > allowed && !first {
            return false;
        }
        window.bucket(now, cfg.window).2 += 1;
        true
    }

    /// Part of the window since this host started, 1 once that is over.
    fn grown(&self, now: Instant) -> f64 {
        let age =
            |started: Instant| now.saturating_sub(started).as_secs_f64() / self.cfg.window.as_secs_f64();
        self.started.map_or(1.0, |started| age(started).min(1.0))
    }

    fn window(&mut self, service: &Arc<str>) -> &mut Window {
        self.services.entry(service.clone()).or_default()
    }
}
