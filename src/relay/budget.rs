//! The fleet's retry budget: limits retries per service over a sliding window.
//!
//! The fleet may retry `ratio` times the number of callers' requests, plus a constant extra. Each host applies the
//! ratio to its own requests and takes an equal share of the extra, so that the sum stays within the budget even
//! while hosts are partitioned.
//!
//! A retry costs a token. Requests earn tokens, and so does time, out of the host's share of the extra. A host that
//! has been running saves tokens for a burst of failures, up to a part of what a window allows; one that has just
//! started has none. Whatever it had spent before, the tokens of a burst and those earned in a window are together
//! less than the window allows, however often and whenever hosts restart.
//!
//! The first retry after a start may come out of the reserve, which is the part of the extra otherwise left unused,
//! so that a single failure in the first seconds does not fail a request.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use crate::util::{Instant, Map};

/// Tokens that a request earns, as a fraction of the ratio.
const EARNED_FRACTION: f64 = 0.5;
/// Tokens that may be saved for a burst, as a fraction of what the requests of a window allow. What is left covers
/// attempts that arrive later than they are decided on.
const SAVED_FRACTION: f64 = 0.35;
/// Tokens that time earns in a window, as a fraction of the host's share of the extra.
const EXTRA_EARNED_FRACTION: f64 = 0.25;
/// Additional tokens that may be saved, as a fraction of the host's share of the extra.
const EXTRA_SAVED_FRACTION: f64 = 0.4;
/// Starts of a host within a window that its reserve must cover.
const STARTS_IN_WINDOW: f64 = 2.0;
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
    /// Number of hosts among which the extra is divided; 0 if not known.
    pub hosts: usize,
}

/// A host's share of the extra, divided by its use.
#[derive(Clone, Copy, Debug, Default)]
struct Extra {
    /// Tokens that may be saved.
    saved: f64,
    /// Tokens that time earns in a window.
    earned: f64,
    /// Tokens that only first retries after a start use.
    reserve: f64,
}

impl Extra {
    fn new(share: f64) -> Self {
        let used = share * (EXTRA_SAVED_FRACTION + EXTRA_EARNED_FRACTION);
        // A host of a large fleet with a small share could otherwise never save a whole token.
        let saved = (share * EXTRA_SAVED_FRACTION).max(used.min(1.0));
        Self { saved, earned: used - saved, reserve: share - used }
    }
}

/// The budget of one service.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Start of each bucket of the window with its number of requests.
    buckets: VecDeque<(Instant, u32)>,
    tokens: f64,
    /// When time last earned tokens.
    updated: Instant,
    /// Whether a retry was made since the start.
    has_retried: bool,
    /// Retries taken and refused since the last report.
    taken: u32,
    refused: u32,
}

impl Account {
    fn count_request(&mut self, now: Instant, cfg: BudgetConfig) {
        let step = cfg.window / WINDOW_BUCKETS;
        if self.buckets.back().is_none_or(|(start, _)| *start + step <= now) {
            self.buckets.push_back((now, 0));
        }
        self.buckets.back_mut().expect("a bucket was just added").1 += 1;
        self.tokens += cfg.ratio * EARNED_FRACTION;
    }

    /// Adds the tokens that time has earned, and drops those that may not be saved.
    fn update(&mut self, now: Instant, cfg: BudgetConfig, extra: Extra) {
        while self.buckets.front().is_some_and(|(start, _)| *start + cfg.window < now) {
            self.buckets.pop_front();
        }
        let windows = now.saturating_sub(self.updated).as_secs_f64() / cfg.window.as_secs_f64();
        self.updated = now;
        let max = SAVED_FRACTION * cfg.ratio * f64::from(self.requests()) + extra.saved;
        self.tokens = (self.tokens + extra.earned * windows).min(max);
    }

    fn requests(&self) -> u32 {
        self.buckets.iter().map(|(_, requests)| requests).sum()
    }
}

/// The retry budget as seen by this host.
#[derive(Clone, Debug)]
pub struct FleetBudget {
    cfg: BudgetConfig,
    /// Number of hosts that share the extra, if known.
    hosts: Option<usize>,
    started: Option<Instant>,
    services: Map<Arc<str>, Account>,
}

impl FleetBudget {
    /// Budget of a host that has been running for long. It takes no share of the extra until
    /// [`FleetBudget::set_hosts`] is called.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self { cfg, hosts: None, started: None, services: Map::default() }
    }

    /// Sets when the host started; what it spent before is not known.
    pub fn with_start(self, started: Instant) -> Self {
        Self { started: Some(started), ..self }
    }

    /// Number of hosts that share the extra; 1 if not known.
    pub fn hosts(&self) -> usize {
        self.hosts.unwrap_or(1)
    }

    /// Sets the number of hosts that share the extra.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = Some(hosts.max(1));
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant, service: &Arc<str>) {
        let (cfg, extra) = (self.cfg, self.extra());
        let account = self.account(service);
        account.count_request(now, cfg);
        account.update(now, cfg, extra);
    }

    /// Takes a retry from the budget; returns false if it is exhausted.
    pub fn spend(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let allows = self.allows(now, service);
        let account = self.account(service);
        if !allows {
            account.refused += 1;
            return false;
        }
        // The first retry after a start comes out of the reserve and leaves the tokens.
        if account.tokens >= 1.0 {
            account.tokens -= 1.0;
        }
        account.has_retried = true;
        account.taken += 1;
        true
    }

    /// Whether a retry can be taken from the budget.
    pub fn allows(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let (cfg, extra, has_started) = (self.cfg, self.extra(), self.started.is_some());
        let account = self.account(service);
        account.update(now, cfg, extra);
        let is_first = has_started && !account.has_retried && extra.reserve >= STARTS_IN_WINDOW;
        account.tokens >= 1.0 || is_first
    }

    /// Use of the budget since the last call, for the services for which a retry was requested.
    pub fn take_use(&mut self, now: Instant) -> Vec<BudgetUse> {
        let (cfg, extra, hosts) = (self.cfg, self.extra(), self.hosts.unwrap_or(0));
        let used = self.services.iter_mut().filter(|(_, account)| account.taken + account.refused > 0);
        let report = |(service, account): (&Arc<str>, &mut Account)| {
            account.update(now, cfg, extra);
            let (taken, refused) = (std::mem::take(&mut account.taken), std::mem::take(&mut account.refused));
            BudgetUse { service: service.clone(), taken, refused, requests: account.requests(), hosts }
        };
        used.map(report).collect()
    }

    /// This host's share of the extra; nothing until it knows among how many hosts it is divided.
    fn extra(&self) -> Extra {
        self.hosts.map_or_else(Extra::default, |hosts| Extra::new(self.cfg.extra / hosts as f64))
    }

    fn account(&mut self, service: &Arc<str>) -> &mut Account {
        // A host that has been running for long has saved as much as it may.
        let (tokens, updated) = match self.started {
            Some(started) => (0.0, started),
            None => (f64::INFINITY, Instant::ZERO),
        };
        self.services.entry(service.clone()).or_insert_with(|| Account {
            tokens,
            updated,
            ..Account::default()
        })
    }
}
