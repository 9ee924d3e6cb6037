//! Admission control: refuses part of the requests to a service whose backend servers are overloaded.
//!
//! Under overload, such as several times the servers' capacity for some seconds while some servers are lost, a
//! service that accepts everything answers everything late: requests queue for longer than their callers wait, and
//! running ones are preempted for lack of memory. Therefore part of the requests is refused at once, with a
//! guarantee that they did not run, and the rest is answered in time.
//!
//! The refused fraction follows from the occupancy, that is the requests at the servers divided by their slots,
//! and from a learned limit on it. The limit rises while answers begin well within their objectives and falls once
//! too many do not. Requests queue only at the servers, and only as far as the limit allows. The refused fraction
//! rises gradually with the occupancy because each host learns of the others' load with a delay: with a fixed
//! threshold all hosts would start and stop refusing together. Requests of a less urgent rank are refused
//! earlier, and so are those whose objective has already passed, since the requests they would displace can still
//! be in time.

use std::{sync::Arc, time::Duration};

use super::plain::{self, PlainService};
use crate::util::{Instant, Map, decay};

/// Occupancy, as a fraction of the limit, above which requests of the most urgent rank are refused.
const REFUSAL_START: f64 = 0.95;
/// Decrease of that fraction for each further rank of the workspace. Smaller than the step of routes, since most
/// workspaces share a rank and the route's then tells requests apart.
const RANK_REFUSAL_STEP: f64 = 0.06;
/// Decrease of that fraction for each further rank of the route.
const ROUTE_RANK_REFUSAL_STEP: f64 = 0.08;
/// Higher ranks are treated as this one.
pub(super) const MAX_RANK: u32 = 3;
/// Decrease of that fraction for requests whose objective has passed: the requests they would displace can still be
/// in time.
const OVERDUE_REFUSAL_STEP: f64 = 0.15;
/// Increase of that fraction from the first refused request of a rank until all of them are refused.
const REFUSAL_RANGE: f64 = 0.3;

/// Half-life of current measurements; a host under load sees several requests within it.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(100);
/// Half-life of this host's share of the load, which changes with the set of callers rather than with the load.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight below which a mean is discarded as out of date.
const MIN_WEIGHT: f64 = 0.5;
/// Mean number of this host's requests in progress from which the load of all hosts is extrapolated.
const MIN_OWN_REQUESTS: f64 = 1.0;

/// Initial limit where servers report their load: all slots taken.
const INITIAL_LIMIT_REPORTED: f64 = 1.0;
/// Initial limit where servers report no load. Requests to such services are short: three times as many as there
/// are slots can queue without being late, and servers refuse what they cannot queue.
const INITIAL_LIMIT_UNREPORTED: f64 = 4.0;
/// Range of the limit. Below it slots would stay empty; above it the queue would exceed what servers hold.
const LIMIT_RANGE: (f64, f64) = (0.4, 4.0);
/// Results needed before the limit is adjusted.
const MIN_RESULTS: u32 = 8;
/// Minimum time between two adjustments. With a longer objective that is the minimum, since an adjustment takes
/// that long to show an effect.
const MIN_WINDOW: Duration = Duration::from_millis(200);
/// Fraction of the objective within which an answer must begin to count as on time.
const ON_TIME_FRACTION: f64 = 0.7;
/// Fractions of late results above which the limit falls and below which it rises.
const LATE_THRESHOLDS: (f64, f64) = (0.2, 0.08);
/// Factors by which the limit falls and rises.
const LIMIT_FACTORS: (f64, f64) = (0.85, 1.1);
/// Fraction of the limit that must have been reached for the limit to rise: an idle service says nothing about it.
const MIN_UTILIZATION: f64 = 0.7;

/// Maximum retry delay as a fraction of the time until the deadline; callers wait no longer.
const MAX_RETRY_DELAY_FRACTION: f64 = 1.0 / 3.0;
/// Minimum of a late retry delay as a fraction of its maximum. The delay is drawn from this range so that callers
/// that were refused together do not come back together.
const MIN_LATE_DELAY_FRACTION: f64 = 0.5;
/// Chance of refusal up to which callers are asked to retry within the objective. Above it the retry would
/// probably be refused as well, and a caller has only one, so that it is asked to come back late.
pub(crate) const MAX_EARLY_RETRY_CHANCE: f64 = 0.6;
/// Range of early retry delays as fractions of the objective, which leaves the retry time to be answered on time.
const EARLY_RETRY_FRACTIONS: (f64, f64) = (0.25, 0.6);

/// Load of a backend server, as reported with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
}

/// What admission needs to know about a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Hash of the route's name and timeout; callers of another route or timeout have different deadlines.
    pub route: u64,
    /// Rank of the workspace, or of the route if the workspace has none; 0 is the most urgent.
    pub rank: u32,
    /// Rank of the route.
    pub route_rank: u32,
    /// Time within which the answer should begin.
    pub objective: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Requests in progress at the servers of the service.
    pub load: ServiceLoad,
}

/// Requests in progress at the usable servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests of this host.
    pub own: u32,
    /// Requests of all hosts; those of the others are as old as their last heartbeats.
    pub all: u32,
    /// Requests that the servers run concurrently.
    pub slots: u32,
}

impl ServiceLoad {
    fn occupancy(self, requests: f64) -> f64 {
        requests / f64::from(self.slots.max(1))
    }
}

/// Why a request was refused, and when its caller should retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
    /// Requests in progress divided by slots.
    pub occupancy: f64,
    /// Limit on the occupancy.
    pub limit: f64,
    /// Probability with which the request was refused.
    pub chance: f64,
}

/// A mean with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingMean {
    sum: f64,
    weight: f64,
    at: Instant,
}

impl DecayingMean {
    fn decay(&mut self, now: Instant, half_life: Duration) {
        let kept = decay(now.saturating_sub(self.at), half_life);
        self.sum *= kept;
        self.weight *= kept;
        self.at = now;
    }

    fn add(&mut self, now: Instant, half_life: Duration, value: f64) {
        self.decay(now, half_life);
        self.sum += value;
        self.weight += 1.0;
    }

    fn mean(&mut self, now: Instant, half_life: Duration) -> Option<f64> {
        self.decay(now, half_life);
        (self.weight >= MIN_WEIGHT).then(|| self.sum / self.weight)
    }
}

/// The learned occupancy limit of a service.
#[derive(Clone, Copy, Debug)]
struct Limit {
    value: f64,
    /// When the current measurement window began.
    window_start: Instant,
    results: u32,
    late: u32,
    /// Highest occupancy in the window.
    peak_occupancy: f64,
    /// Longest objective among the results of the window.
    objective: Duration,
}

impl Limit {
    fn new(now: Instant) -> Self {
        Self {
            value: INITIAL_LIMIT_UNREPORTED,
            window_start: now,
            results: 0,
            late: 0,
            peak_occupancy: 0.0,
            objective: Duration::ZERO,
        }
    }

    /// Counts a result, and adjusts the limit at the end of a measurement window.
    fn record_result(&mut self, now: Instant, objective: Duration, late: bool) {
        self.results += 1;
        self.late += u32::from(late);
        self.objective = self.objective.max(objective);
        if self.results >= MIN_RESULTS && now >= self.window_start + self.objective.max(MIN_WINDOW) {
            self.adapt();
            *self = Self { value: self.value, ..Self::new(now) };
        }
    }

    /// Lowers or raises the limit according to the fraction of late results.
    fn adapt(&mut self) {
        let late = f64::from(self.late) / f64::from(self.results);
        let moved = match late {
            // An idle service can be late for other reasons, such as a server that has just started.
            _ if late > LATE_THRESHOLDS.0 && self.peak_occupancy > LIMIT_RANGE.0 => {
                self.value * LIMIT_FACTORS.0
            }
            _ if late < LATE_THRESHOLDS.1 && self.peak_occupancy > self.value * MIN_UTILIZATION => {
                self.value * LIMIT_FACTORS.1
            }
            _ => self.value,
        };
        self.value = moved.clamp(LIMIT_RANGE.0, LIMIT_RANGE.1);
    }
}

/// Estimates the load of all hosts from this host's current load and its recent share of the total. What is known
/// of the other hosts is up to half a second old. In a surge that is long enough to queue more than the servers can
/// finish, after which all hosts would refuse everything until the queue is empty. Since load reaches all hosts
/// alike, this host's own load shows a surge at once.
#[derive(Clone, Copy, Debug, Default)]
struct LoadEstimate {
    recent: DecayingMean,
    own: DecayingMean,
    all: DecayingMean,
}

impl LoadEstimate {
    /// Adds a measurement and returns the estimated number of requests in progress at all hosts.
    fn update(&mut self, now: Instant, load: ServiceLoad) -> f64 {
        self.recent.add(now, RECENT_HALF_LIFE, load.own.into());
        self.own.add(now, SHARE_HALF_LIFE, load.own.into());
        self.all.add(now, SHARE_HALF_LIFE, load.all.into());
        let means = (
            self.recent.mean(now, RECENT_HALF_LIFE),
            self.own.mean(now, SHARE_HALF_LIFE),
            self.all.mean(now, SHARE_HALF_LIFE),
        );
        match means {
            (Some(recent), Some(own), Some(all)) if own >= MIN_OWN_REQUESTS => recent * all / own,
            _ => load.all.into(),
        }
    }
}

/// Limit and load of a service.
#[derive(Clone, Copy, Debug)]
struct ServiceState {
    limit: Limit,
    estimate: LoadEstimate,
    reported: DecayingMean,
    /// Whether its servers report their load.
    reports_load: bool,
    /// What is learned with the other hosts while its servers report no load.
    plain: PlainService,
}

impl ServiceState {
    fn new(now: Instant) -> Self {
        Self {
            limit: Limit::new(now),
            estimate: LoadEstimate::default(),
            reported: DecayingMean::default(),
            reports_load: false,
            plain: PlainService::default(),
        }
    }
}

impl ServiceState {
    /// The occupancy relative to the limit, and the limit.
    fn pressure(&mut self, now: Instant, occupancy: f64) -> (f64, f64) {
        if self.reports_load {
            return (occupancy / self.limit.value, self.limit.value);
        }
        self.plain.record_arrival(now);
        match self.plain.pressure(now) {
            Some(pressure) => (pressure, occupancy / pressure.max(f64::MIN_POSITIVE)),
            None if self.plain.replaces_own_limit() => {
                (occupancy / INITIAL_LIMIT_UNREPORTED, INITIAL_LIMIT_UNREPORTED)
            }
            None => (occupancy / self.limit.value, self.limit.value),
        }
    }

    /// Additional decrease of the refusal start for requests whose objective has passed.
    fn overdue_step(&self, overdue: bool) -> f64 {
        let is_limited = !self.reports_load && self.plain.limit().is_some();
        if overdue && is_limited { plain::OVERDUE_STEP } else { 0.0 }
    }
}

/// Admission control for all services.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: Map<Arc<str>, ServiceState>,
    /// Longest time until the deadline seen on each route; a request with less has already waited or is a retry.
    longest: Map<u64, Duration>,
}

impl Admission {
    /// Records the load reported by a server of a service.
    pub fn record_load(&mut self, now: Instant, service: &Arc<str>, report: ReportedLoad) {
        let load = (f64::from(report.running) + f64::from(report.waiting)) / f64::from(report.slots.max(1));
        let service = self.service(now, service);
        if !std::mem::replace(&mut service.reports_load, true) {
            service.limit.value = service.limit.value.min(INITIAL_LIMIT_REPORTED);
        }
        service.reported.add(now, RECENT_HALF_LIFE, load);
    }

    /// Records how long a request waited for the beginning of its answer. Requests that a server refuses at once
    /// are not recorded: they delay nobody, and the server knows its queue better than any host does.
    pub fn record_wait(&mut self, now: Instant, service: &Arc<str>, objective: Duration, waited: Duration) {
        let late = is_late(objective, waited);
        let service = self.service(now, service);
        service.limit.record_result(now, objective, late);
        service.plain.record_result(now, late);
    }

    /// Records how long a request waited for a response with an error. Errors take a part of what is admitted, but
    /// say little about the load of the servers.
    pub fn record_error(&mut self, now: Instant, service: &Arc<str>, objective: Duration, waited: Duration) {
        self.service(now, service).plain.record_result(now, is_late(objective, waited));
    }

    /// The current limit on the occupancy of a service.
    pub fn limit(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(|s| s.limit.value)
    }

    /// Decides whether a request is admitted, with two random numbers in `0..1`: one for the decision, one for the
    /// retry delay.
    ///
    /// # Errors
    /// If it is refused; the caller should retry after the given delay.
    pub fn admit(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        req: AdmissionRequest,
        draws: [f64; 2],
    ) -> Result<(), Refused> {
        self.admit_by_share(now, service, req, draws, |chance| chance)
    }

    /// Decides as [`Admission::admit`] does, but with the chance of refusal that `share` makes of the one for all
    /// workspaces.
    ///
    /// # Errors
    /// As for [`Admission::admit`].
    pub fn admit_by_share(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        req: AdmissionRequest,
        draws: [f64; 2],
        share: impl FnOnce(f64) -> f64,
    ) -> Result<(), Refused> {
        let overdue = self.is_overdue(req);
        let service = self.service(now, service);
        let occupancy = req.load.occupancy(service.estimate.update(now, req.load));
        // The reports count requests queued by hosts that have failed; the hosts' own counts include servers that
        // report nothing. The higher one is used.
        let occupancy =
            service.reported.mean(now, RECENT_HALF_LIFE).map_or(occupancy, |report| report.max(occupancy));
        service.limit.peak_occupancy = service.limit.peak_occupancy.max(occupancy);
        let (pressure, limit) = service.pressure(now, occupancy);
        let start = refusal_start(req, overdue) - service.overdue_step(overdue);
        let chance = (pressure - start) / REFUSAL_RANGE;
        let chance = share(chance);
        if draws[0] >= chance {
            service.plain.record_admitted();
            return Ok(());
        }
        Err(Refused { retry_after: retry_delay(req, chance, draws[1]), occupancy, limit, chance })
    }

    /// Counts of this host for each service whose servers report no load.
    pub fn plain_counts(&mut self, now: Instant) -> Vec<(Arc<str>, plain::Counts)> {
        let plain = self.services.iter_mut().filter(|(_, s)| !s.reports_load);
        plain.map(|(service, s)| (service.clone(), s.plain.own_counts(now))).collect()
    }

    /// Adjusts the limit of a service whose servers report no load to the counts of the other hosts. Returns a change
    /// that is to be logged.
    pub fn adjust_plain(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        others: plain::Counts,
        hosts: u32,
    ) -> Option<plain::Change> {
        let service = self.service(now, service);
        if service.reports_load { None } else { service.plain.adjust(now, others, hosts) }
    }

    /// Whether the servers of a service have reported their load.
    pub fn reports_load(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| s.reports_load)
    }

    /// Requests per second that all hosts admit to a service together, if that is limited.
    pub fn limit_of_all(&self, service: &str) -> Option<f64> {
        self.services.get(service).filter(|s| !s.reports_load).and_then(|s| s.plain.limit())
    }

    /// Whether decisions on a service use what many other hosts measure.
    pub(crate) fn is_shared(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| !s.reports_load && s.plain.has_many_hosts())
    }

    /// Whether the objective of a request has already passed, since its caller has waited or retried before.
    fn is_overdue(&mut self, req: AdmissionRequest) -> bool {
        let longest = self.longest.entry(req.route).or_default();
        *longest = req.time_left.max(*longest);
        req.time_left + req.objective < *longest
    }

    fn service(&mut self, now: Instant, service: &Arc<str>) -> &mut ServiceState {
        self.services.entry(service.clone()).or_insert_with(|| ServiceState::new(now))
    }
}

/// Whether an answer that began after this time counts as late.
fn is_late(objective: Duration, waited: Duration) -> bool {
    waited > objective.mul_f64(ON_TIME_FRACTION)
}

/// Occupancy, as a fraction of the limit, above which such requests are refused.
fn refusal_start(req: AdmissionRequest, overdue: bool) -> f64 {
    let rank = |rank: u32| f64::from(rank.min(MAX_RANK));
    let overdue = if overdue { OVERDUE_REFUSAL_STEP } else { 0.0 };
    REFUSAL_START
        - RANK_REFUSAL_STEP * rank(req.rank)
        - ROUTE_RANK_REFUSAL_STEP * rank(req.route_rank)
        - overdue
}

/// Delay after which a caller that was refused with this probability should retry.
fn retry_delay(req: AdmissionRequest, chance: f64, draw: f64) -> Duration {
    if chance < MAX_EARLY_RETRY_CHANCE {
        let delay = req
            .objective
            .mul_f64(EARLY_RETRY_FRACTIONS.0 + (EARLY_RETRY_FRACTIONS.1 - EARLY_RETRY_FRACTIONS.0) * draw);
        return delay.min(req.time_left.mul_f64(MAX_RETRY_DELAY_FRACTION));
    }
    late_retry_delay(req.time_left, draw)
}

/// Delay for callers that should retry as late as their remaining time allows, spread by `draw` in `0..1`.
pub fn late_retry_delay(time_left: Duration, draw: f64) -> Duration {
    time_left.mul_f64(
        MAX_RETRY_DELAY_FRACTION * (MIN_LATE_DELAY_FRACTION + (1.0 - MIN_LATE_DELAY_FRACTION) * draw),
    )
}
