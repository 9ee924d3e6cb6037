//! Which requests are sent to a service whose backend servers have as much work as they can finish in time.
//!
//! The load that it answers: callers ask for several times what the servers can do, for seconds, while some of the servers
//! are lost. A service that takes everything then answers everything late: requests wait behind each other for longer than
//! their callers want, and those that were begun lose their memory to others. So a part of the requests is refused at once,
//! provably not run, and the rest is answered as usual.
//!
//! How many are refused follows from the work at the servers against their places, and from a limit on it that is learned:
//! it rises while answers begin well within their objectives and falls once many don't. Requests wait within the servers,
//! for as long as that limit allows, and nowhere else. The part that is refused rises gradually with the work, since each
//! host sees the work of the others late: with a fixed edge all of them would open and close together. Less urgent requests
//! are refused earlier, and so are those whose objective has passed: what they displace would still be in time.

use std::{sync::Arc, time::Duration};

use crate::util::{Instant, Map, decay};

/// Work against the limit from which the most urgent requests are refused.
const FIRST_REFUSED: f64 = 0.95;
/// How much earlier requests of each further rank are refused. Workspaces mostly share a rank, so that the route's
/// decides between kinds.
const RANK_STEP: f64 = 0.06;
/// The same for each further rank of the route.
const ROUTE_RANK_STEP: f64 = 0.08;
/// Ranks beyond this are refused no earlier.
const MOST_RANK: u32 = 3;
/// How much earlier requests are refused whose objective has passed: what they displace would still be in time.
const OVERDUE_STEP: f64 = 0.15;
/// Work against the limit from the first refused request of a rank until all of them are.
const SLOPE: f64 = 0.3;

/// Time in which what is seen now loses half of its weight; some requests come within it at each host under load.
const NOW: Duration = Duration::from_millis(100);
/// The same for the part of the work that is this host's, which changes with the callers and not with the load.
const LONG: Duration = Duration::from_secs(2);
/// Weight below which a mean says nothing: the last request is long ago.
const LEAST_WEIGHT: f64 = 0.5;
/// Own requests in progress, on average, from which they tell of all.
const LEAST_OWN: f64 = 1.0;

/// Work against places that is taken for the limit at first where servers tell what waits at them: all places taken.
const FIRST_LIMIT: f64 = 1.0;
/// The same where they don't. Such requests are short: three times as many may wait without being late, and what servers
/// can't queue they refuse themselves.
const UNTOLD_LIMIT: f64 = 4.0;
/// Bounds of the limit: below, places would stand empty; above, a queue is longer than servers keep.
const LIMITS: (f64, f64) = (0.4, 4.0);
/// Results from which the limit moves.
const FEW_RESULTS: u32 = 8;
/// Least time between two moves. Where the objective is longer it is that, since the effect of a move shows no sooner.
const LEAST_WINDOW: Duration = Duration::from_millis(200);
/// Part of the objective within which an answer begins well.
const WELL: f64 = 0.7;
/// Part of late results above which the limit falls, and below which it rises.
const LATE: (f64, f64) = (0.2, 0.08);
/// Factors of the limit in one move, down and up.
const MOVES: (f64, f64) = (0.85, 1.1);
/// Part of the limit that must have been used for it to rise: results of a service at rest say nothing of its limit.
const USED: f64 = 0.7;

/// Part of its time after which a caller returns at the latest; callers wait no longer.
const LATEST_RETURN: f64 = 1.0 / 3.0;
/// Part of that time after which those who come late return at the earliest: callers that are refused together come back
/// apart.
const SPREAD: f64 = 0.5;
/// Chance to be refused up to which a caller is asked back within its objective. Above that it would find the same again
/// and has used its only retry up, so that it comes back as late as it may.
const WORTH_A_SECOND_TRY: f64 = 0.6;
/// Parts of the objective after which it comes back then: time for a second try to be in time.
const SOON: (f64, f64) = (0.25, 0.6);

/// Work at a backend server, as it tells with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// A request that asks to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Hash of its route's name and longest time: with another one callers have other times left.
    pub route: u64,
    /// Rank of the workspace, or of the route where it has none; 0 is the most urgent.
    pub rank: u32,
    /// Rank of the route.
    pub route_rank: u32,
    /// Time within which its answer has its full worth.
    pub objective: Duration,
    /// Time that is left until its deadline.
    pub left: Duration,
    /// What is in progress at the servers of the service.
    pub work: Work,
}

/// Requests in progress at the servers of a service that are not left alone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Of this host.
    pub own: u32,
    /// Of all hosts, as far as this one knows; the others' are as old as their last beats.
    pub all: u32,
    /// Requests that the servers run at once.
    pub places: u32,
}

impl Work {
    fn against_places(self, requests: f64) -> f64 {
        requests / f64::from(self.places.max(1))
    }
}

/// Why a request is not sent, and when its caller should come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// When the caller should come back.
    pub after: Duration,
    /// Work against places.
    pub occupancy: f64,
    /// The limit on it.
    pub limit: f64,
    /// Chance with which the request was refused.
    pub chance: f64,
}

/// A mean over the last moments.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    sum: f64,
    weight: f64,
    at: Instant,
}

impl Recent {
    fn age(&mut self, now: Instant, half_life: Duration) {
        let kept = decay(now.saturating_sub(self.at), half_life);
        self.sum *= kept;
        self.weight *= kept;
        self.at = now;
    }

    fn add(&mut self, now: Instant, half_life: Duration, value: f64) {
        self.age(now, half_life);
        self.sum += value;
        self.weight += 1.0;
    }

    fn mean(&mut self, now: Instant, half_life: Duration) -> Option<f64> {
        self.age(now, half_life);
        (self.weight >= LEAST_WEIGHT).then(|| self.sum / self.weight)
    }
}

/// The learned limit on the work of one service.
#[derive(Clone, Copy, Debug)]
struct Limit {
    work: f64,
    /// Since when results are counted.
    since: Instant,
    results: u32,
    late: u32,
    /// Most work against places since then.
    busiest: f64,
    /// Longest objective among the results.
    objective: Duration,
}

impl Limit {
    fn new(now: Instant) -> Self {
        Self { work: UNTOLD_LIMIT, since: now, results: 0, late: 0, busiest: 0.0, objective: Duration::ZERO }
    }

    fn note(&mut self, now: Instant, objective: Duration, late: bool) {
        self.results += 1;
        self.late += u32::from(late);
        self.objective = self.objective.max(objective);
        if self.results >= FEW_RESULTS && now >= self.since + self.objective.max(LEAST_WINDOW) {
            self.adapt();
            *self = Self { work: self.work, ..Self::new(now) };
        }
    }

    fn adapt(&mut self) {
        let late = f64::from(self.late) / f64::from(self.results);
        let moved = match late {
            // A service at rest is late for other reasons, such as a server that has just started.
            _ if late > LATE.0 && self.busiest > LIMITS.0 => self.work * MOVES.0,
            _ if late < LATE.1 && self.busiest > self.work * USED => self.work * MOVES.1,
            _ => self.work,
        };
        self.work = moved.clamp(LIMITS.0, LIMITS.1);
    }
}

/// The work of all hosts, from this host's own and the part that it was of all lately. What is known of the others is half
/// a second old; in that time a surge queues more than the servers finish, after which all hosts would refuse everything
/// until the queue is gone. The load reaches all hosts alike, so that the own work tells of it at once.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    now: Recent,
    own: Recent,
    all: Recent,
}

impl Estimate {
    /// Takes one look at the work and returns what is in progress at all hosts.
    fn look(&mut self, now: Instant, work: Work) -> f64 {
        self.now.add(now, NOW, work.own.into());
        self.own.add(now, LONG, work.own.into());
        self.all.add(now, LONG, work.all.into());
        let means = (self.now.mean(now, NOW), self.own.mean(now, LONG), self.all.mean(now, LONG));
        match means {
            (Some(recent), Some(own), Some(all)) if own >= LEAST_OWN => recent * all / own,
            _ => work.all.into(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Service {
    limit: Limit,
    work: Estimate,
    told: Recent,
    /// Whether its servers tell what waits at them.
    tells: bool,
}

impl Service {
    fn new(now: Instant) -> Self {
        Self { limit: Limit::new(now), work: Estimate::default(), told: Recent::default(), tells: false }
    }
}

/// Admission to the services.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: Map<Arc<str>, Service>,
    /// Longest time that callers of a route gave: those who give less have waited before.
    longest: Map<u64, Duration>,
}

impl Admission {
    /// Notes what a server of the service told of its work.
    pub fn hear(&mut self, now: Instant, service: &Arc<str>, told: Told) {
        let work = f64::from(told.running + told.waiting) / f64::from(told.slots.max(1));
        let service = self.service(now, service);
        if !std::mem::replace(&mut service.tells, true) {
            service.limit.work = service.limit.work.min(FIRST_LIMIT);
        }
        service.told.add(now, NOW, work);
    }

    /// Notes how long a request waited at a server for the first of its answer. What a server refuses at once is not
    /// noted: it delays nobody, and the server knows its queue better than any host.
    pub fn note(&mut self, now: Instant, service: &Arc<str>, objective: Duration, waited: Duration) {
        let late = waited > objective.mul_f64(WELL);
        self.service(now, service).limit.note(now, objective, late);
    }

    /// Work against places up to which requests are sent to a service.
    pub fn limit(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(|s| s.limit.work)
    }

    /// Decides with two draws in `0..1` whether a request is sent.
    ///
    /// # Errors
    /// When it is not; the caller should come back.
    pub fn ask(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        ask: Ask,
        draws: [f64; 2],
    ) -> Result<(), Refused> {
        let overdue = self.is_overdue(ask);
        let service = self.service(now, service);
        let occupancy = ask.work.against_places(service.work.look(now, ask.work));
        // What servers tell counts requests that wait there for hosts that are gone, the work servers that say nothing.
        let occupancy = service.told.mean(now, NOW).map_or(occupancy, |told| told.max(occupancy));
        service.limit.busiest = service.limit.busiest.max(occupancy);
        let limit = service.limit.work;
        let chance = (occupancy / limit - first_refused(ask, overdue)) / SLOPE;
        if draws[0] >= chance {
            return Ok(());
        }
        Err(Refused { after: come_back(ask, chance, draws[1]), occupancy, limit, chance })
    }

    /// Whether a request came too late for its objective: its caller has waited for that long before.
    fn is_overdue(&mut self, ask: Ask) -> bool {
        let longest = self.longest.entry(ask.route).or_default();
        *longest = ask.left.max(*longest);
        ask.left + ask.objective < *longest
    }

    fn service(&mut self, now: Instant, service: &Arc<str>) -> &mut Service {
        self.services.entry(service.clone()).or_insert_with(|| Service::new(now))
    }
}

/// Work against the limit from which such requests are refused.
fn first_refused(ask: Ask, overdue: bool) -> f64 {
    let rank = |rank: u32| f64::from(rank.min(MOST_RANK));
    let overdue = if overdue { OVERDUE_STEP } else { 0.0 };
    FIRST_REFUSED - RANK_STEP * rank(ask.rank) - ROUTE_RANK_STEP * rank(ask.route_rank) - overdue
}

/// When a caller should come back that was refused with this chance.
fn come_back(ask: Ask, chance: f64, draw: f64) -> Duration {
    if chance < WORTH_A_SECOND_TRY {
        let soon = ask.objective.mul_f64(SOON.0 + (SOON.1 - SOON.0) * draw);
        return soon.min(ask.left.mul_f64(LATEST_RETURN));
    }
    come_back_late(ask.left, draw)
}

/// When a caller with so much time left should come back that found the servers full: as late as it may, and apart from
/// the others by a draw in `0..1`.
pub fn come_back_late(left: Duration, draw: f64) -> Duration {
    left.mul_f64(LATEST_RETURN * (SPREAD + (1.0 - SPREAD) * draw))
}
