//! Work reserved on engines, as their owner counts it.

use std::{collections::VecDeque, time::Duration};

use super::bound::Work;
use crate::{
    catalog::Id,
    util::{Instant, Map, Set},
};

/// A reservation that nobody ended; no request runs this long.
const LONGEST_HOLD: Duration = Duration::from_secs(900);
/// Age that an engine's report may have; the load at that time is looked up in this span of the past.
const REPORT_AGE: std::ops::Range<Duration> = Duration::from_secs(1)..Duration::from_secs(4);
/// Time between two remembered loads.
const PAST_STEP: Duration = Duration::from_millis(250);
/// Releases remembered against reservations that arrive after them.
const EARLY_RELEASES: usize = 1024;

/// One reservation: the router that holds it and the router's own number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReservationId {
    /// Router.
    pub router: Id,
    /// Number; the upper bits tell the runs of a router that restarts apart.
    pub number: u64,
}

/// Bits of a number that count within one run.
const RUN_SHIFT: u32 = 30;
/// Part of a second that tells two runs apart.
const RUN_MS: u64 = 250;

impl ReservationId {
    /// First number of a run that starts at this wall clock time, in milliseconds.
    pub fn first_number(wall_ms: u64) -> u64 {
        (wall_ms / RUN_MS) << RUN_SHIFT
    }

    fn run(self) -> u64 {
        self.number >> RUN_SHIFT
    }
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    engine: Id,
    work: Work,
    adopted: bool,
    since: Instant,
}

/// Load of one engine.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Work reserved here.
    pub work: Work,
    /// Part of it that was already running when this router became the owner.
    pub adopted: Work,
    /// Requests reserved here.
    pub running: u32,
    /// Requests that the engine reports beyond those reserved here; `None` before the first report.
    pub foreign: Option<u32>,
    past: Past,
}

/// Requests reserved over the last seconds.
#[derive(Clone, Debug, Default)]
struct Past {
    steps: VecDeque<(Instant, u32)>,
}

impl Past {
    fn record(&mut self, running: u32, now: Instant) {
        match self.steps.back_mut() {
            Some((at, most)) if now.saturating_sub(*at) < PAST_STEP => *most = running.max(*most),
            _ => self.steps.push_back((now, running)),
        }
        // The last step before the span says what was reserved at its start.
        while self.steps.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) > REPORT_AGE.end) {
            self.steps.pop_front();
        }
    }

    /// Most requests at any time that a report of now may speak of.
    fn most(&self, now: Instant) -> u32 {
        let old = |(at, _): &&(Instant, u32)| now.saturating_sub(*at) >= REPORT_AGE.start;
        self.steps.iter().filter(old).map(|(_, most)| *most).max().unwrap_or(0)
    }
}

/// All reservations that this router granted.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: Map<Id, Account>,
    reservations: Map<ReservationId, Reservation>,
    early: VecDeque<ReservationId>,
    early_set: Set<ReservationId>,
    /// Latest run of each router.
    runs: Map<Id, u64>,
}

impl Ledger {
    /// Load of an engine.
    pub fn account(&self, engine: Id) -> Option<&Account> {
        self.accounts.get(&engine)
    }

    /// Engines with their load.
    pub fn accounts(&self) -> impl Iterator<Item = (Id, &Account)> {
        self.accounts.iter().map(|(&id, a)| (id, a))
    }

    /// Number of reservations.
    pub fn reservations(&self) -> usize {
        self.reservations.len()
    }

    /// Bytes of state for each engine and for each reservation, without the tables' spare room.
    pub fn bytes(&self) -> (usize, usize) {
        let past = self.accounts.values().map(|a| a.past.steps.len()).max().unwrap_or(0);
        let account = size_of::<(Id, Account)>() + past * size_of::<(Instant, u32)>();
        (account, size_of::<(ReservationId, Reservation)>())
    }

    /// The engine that this reservation is already on.
    pub fn held(&self, id: ReservationId) -> Option<Id> {
        self.reservations.get(&id).map(|h| h.engine)
    }

    /// Counts a reservation; a repeat counts once.
    ///
    /// A release can overtake its reservation when the caller gave up waiting for the answer. Counting the
    /// late reservation would load the engine until [`LONGEST_HOLD`] with work that never comes.
    pub fn add(&mut self, id: ReservationId, engine: Id, work: Work, now: Instant) {
        self.insert(id, Reservation { engine, work, adopted: false, since: now }, now);
    }

    /// Counts work that was already running when this router became the engine's owner.
    pub fn adopt(&mut self, id: ReservationId, engine: Id, work: Work, now: Instant) {
        self.insert(id, Reservation { engine, work, adopted: true, since: now }, now);
    }

    fn insert(&mut self, id: ReservationId, reservation: Reservation, now: Instant) {
        if self.early_set.contains(&id) || self.reservations.contains_key(&id) {
            return;
        }
        self.end_former_run(id, now);
        self.reservations.insert(id, reservation);
        let account = self.accounts.entry(reservation.engine).or_default();
        account.work += reservation.work;
        account.adopted += if reservation.adopted { reservation.work } else { 0 };
        account.running += 1;
        account.past.record(account.running, now);
    }

    /// A router that crashes and is back before any list lacks it never ends what it held. Its engines would
    /// seem full for as long as [`LONGEST_HOLD`]; a number of a later run shows that the former one is over.
    fn end_former_run(&mut self, id: ReservationId, now: Instant) {
        let latest = self.runs.entry(id.router).or_insert(id.run());
        if id.run() > *latest {
            *latest = id.run();
            self.end(now, |old, _| old.router == id.router && old.run() < id.run());
        }
    }

    /// Ends a reservation.
    pub fn release(&mut self, id: ReservationId, now: Instant) {
        match self.reservations.remove(&id) {
            Some(reservation) => self.subtract(reservation, now),
            None => self.remember(id),
        }
    }

    fn subtract(&mut self, reservation: Reservation, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&reservation.engine) {
            account.work = account.work.saturating_sub(reservation.work);
            account.adopted =
                account.adopted.saturating_sub(if reservation.adopted { reservation.work } else { 0 });
            account.running = account.running.saturating_sub(1);
            account.past.record(account.running, now);
        }
    }

    fn remember(&mut self, id: ReservationId) {
        if !self.early_set.insert(id) {
            return;
        }
        self.early.push_back(id);
        if self.early.len() > EARLY_RELEASES
            && let Some(oldest) = self.early.pop_front()
        {
            self.early_set.remove(&oldest);
        }
    }

    /// Forgets the reports of engines that another router owned until now.
    pub fn forget_reports(&mut self, which: impl Fn(Id) -> bool) {
        for (_, account) in self.accounts.iter_mut().filter(|(id, _)| which(**id)) {
            account.foreign = None;
        }
    }

    /// Ends all reservations of a router that has gone.
    pub fn drop_router(&mut self, router: Id, now: Instant) {
        self.end(now, |id, _| id.router == router);
        self.runs.remove(&router);
    }

    /// Ends reservations that outlived every request, and forgets engines that are no longer configured.
    pub fn expire(&mut self, now: Instant, keep: impl Fn(Id) -> bool) {
        self.end(now, |_, reservation| now.saturating_sub(reservation.since) > LONGEST_HOLD);
        self.accounts.retain(|&id, account| account.running > 0 || keep(id));
    }

    fn end(&mut self, now: Instant, over: impl Fn(&ReservationId, &Reservation) -> bool) {
        let gone: Vec<_> = self
            .reservations
            .iter()
            .filter(|(id, reservation)| over(id, reservation))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.release(id, now);
        }
    }

    /// Notes how many requests an engine says it runs, a few seconds ago.
    ///
    /// Two routers that both take themselves for the owner don't see each other's reservations. What the
    /// engine reports beyond the most that was reserved here at that time is the other's, and counts against
    /// the bound. So is the work of a former owner, until its holders made it known here.
    pub fn record_report(&mut self, engine: Id, running: u32, now: Instant) {
        let account = self.accounts.entry(engine).or_default();
        account.past.record(account.running, now);
        account.foreign = Some(running.saturating_sub(account.past.most(now)));
    }
}
