//! Ledger of the work that is reserved on engines, kept by their owner.

use std::{collections::VecDeque, time::Duration};

use super::bound::Work;
use crate::{
    catalog::Id,
    util::{Instant, Map, Set},
};

/// Reservations older than this are ended as leaked; no request runs this long.
const MAX_RESERVATION_AGE: Duration = Duration::from_secs(900);
/// Possible age of an engine's load report on arrival; reservations are compared over this span of the past.
const REPORT_AGE_RANGE: std::ops::Range<Duration> = Duration::from_secs(1)..Duration::from_secs(4);
/// Resolution of the history of running requests.
const HISTORY_STEP: Duration = Duration::from_millis(250);
/// Maximum number of remembered releases that arrived before their reservation.
const MAX_EARLY_RELEASES: usize = 1024;

/// Identifies a reservation: the router that holds it and that router's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReservationId {
    /// Router that holds the reservation.
    pub router: Id,
    /// Number chosen by that router; the upper bits are its generation, which changes with each restart.
    pub number: u64,
}

/// Number of low bits that count reservations within one generation; the generation is above them.
const GENERATION_SHIFT: u32 = 30;
/// Resolution of generations: restarts at least this far apart get different ones.
const GENERATION_MS: u64 = 250;

impl ReservationId {
    /// First number of the generation that starts at this wall clock time, in milliseconds.
    pub fn first_number(wall_ms: u64) -> u64 {
        (wall_ms / GENERATION_MS) << GENERATION_SHIFT
    }

    fn generation(self) -> u64 {
        self.number >> GENERATION_SHIFT
    }
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    engine: Id,
    work: Work,
    adopted: bool,
    since: Instant,
}

/// Load of one engine, as reserved and as reported.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Work reserved at this router.
    pub work: Work,
    /// Part of `work` that was already running when this router became the owner.
    pub adopted: Work,
    /// Requests reserved at this router.
    pub running: u32,
    /// Requests that the engine reports beyond those reserved at this router; `None` before the first report.
    pub foreign: Option<u32>,
    history: RunningHistory,
}

/// Numbers of reserved requests over the last seconds.
#[derive(Clone, Debug, Default)]
struct RunningHistory {
    steps: VecDeque<(Instant, u32)>,
}

impl RunningHistory {
    fn record(&mut self, running: u32, now: Instant) {
        match self.steps.back_mut() {
            Some((at, max)) if now.saturating_sub(*at) < HISTORY_STEP => *max = running.max(*max),
            _ => self.steps.push_back((now, running)),
        }
        // The last step before the span is kept: it holds the number at the start of the span.
        while self.steps.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) > REPORT_AGE_RANGE.end) {
            self.steps.pop_front();
        }
    }

    /// Maximum number of requests over the span that a report arriving now may describe.
    fn max(&self, now: Instant) -> u32 {
        let is_old = |(at, _): &&(Instant, u32)| now.saturating_sub(*at) >= REPORT_AGE_RANGE.start;
        self.steps.iter().filter(is_old).map(|(_, max)| *max).max().unwrap_or(0)
    }
}

/// Reservations granted by this router.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: Map<Id, Account>,
    reservations: Map<ReservationId, Reservation>,
    early_releases: VecDeque<ReservationId>,
    early_release_set: Set<ReservationId>,
    /// Latest generation of each router.
    generations: Map<Id, u64>,
}

impl Ledger {
    /// Load of an engine.
    pub fn account(&self, engine: Id) -> Option<&Account> {
        self.accounts.get(&engine)
    }

    /// All engines with their load.
    pub fn accounts(&self) -> impl Iterator<Item = (Id, &Account)> {
        self.accounts.iter().map(|(&id, a)| (id, a))
    }

    /// Number of reservations.
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Memory in bytes per engine and per reservation, excluding the spare capacity of the tables.
    pub fn memory_bytes(&self) -> (usize, usize) {
        let history = self.accounts.values().map(|a| a.history.steps.len()).max().unwrap_or(0);
        let account = size_of::<(Id, Account)>() + history * size_of::<(Instant, u32)>();
        (account, size_of::<(ReservationId, Reservation)>())
    }

    /// Engine on which this reservation was made, if it exists.
    pub fn reserved_engine(&self, id: ReservationId) -> Option<Id> {
        self.reservations.get(&id).map(|h| h.engine)
    }

    /// Adds a reservation; idempotent.
    ///
    /// A release can overtake its reservation when the requesting router timed out. Adding the late reservation
    /// would load the engine with work that never arrives, until [`MAX_RESERVATION_AGE`]; it is ignored instead.
    pub fn add(&mut self, id: ReservationId, engine: Id, work: Work, now: Instant) {
        self.insert(id, Reservation { engine, work, adopted: false, since: now }, now);
    }

    /// Adds work that was already running when this router became the engine's owner.
    pub fn adopt(&mut self, id: ReservationId, engine: Id, work: Work, now: Instant) {
        self.insert(id, Reservation { engine, work, adopted: true, since: now }, now);
    }

    fn insert(&mut self, id: ReservationId, reservation: Reservation, now: Instant) {
        if self.early_release_set.contains(&id) || self.reservations.contains_key(&id) {
            return;
        }
        self.end_former_generation(id, now);
        self.reservations.insert(id, reservation);
        let account = self.accounts.entry(reservation.engine).or_default();
        account.work += reservation.work;
        account.adopted += if reservation.adopted { reservation.work } else { 0 };
        account.running += 1;
        account.history.record(account.running, now);
    }

    /// Ends the reservations of a router's earlier generations when `id` belongs to a newer one.
    ///
    /// A router that crashes and restarts before the membership notices never releases its reservations, and its
    /// engines would seem full until [`MAX_RESERVATION_AGE`].
    fn end_former_generation(&mut self, id: ReservationId, now: Instant) {
        let latest = self.generations.entry(id.router).or_insert(id.generation());
        if id.generation() > *latest {
            *latest = id.generation();
            self.end_matching(now, |old, _| old.router == id.router && old.generation() < id.generation());
        }
    }

    /// Releases a reservation.
    pub fn release(&mut self, id: ReservationId, now: Instant) {
        match self.reservations.remove(&id) {
            Some(reservation) => self.subtract(reservation, now),
            None => self.remember_release(id),
        }
    }

    fn subtract(&mut self, reservation: Reservation, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&reservation.engine) {
            account.work = account.work.saturating_sub(reservation.work);
            account.adopted =
                account.adopted.saturating_sub(if reservation.adopted { reservation.work } else { 0 });
            account.running = account.running.saturating_sub(1);
            account.history.record(account.running, now);
        }
    }

    /// Remembers a release without a reservation, so that the reservation is ignored if it arrives later.
    fn remember_release(&mut self, id: ReservationId) {
        if !self.early_release_set.insert(id) {
            return;
        }
        self.early_releases.push_back(id);
        if self.early_releases.len() > MAX_EARLY_RELEASES
            && let Some(oldest) = self.early_releases.pop_front()
        {
            self.early_release_set.remove(&oldest);
        }
    }

    /// Discards the load reports of engines that another router owned until now, those selected by `which`.
    pub fn clear_reports(&mut self, which: impl Fn(Id) -> bool) {
        for (_, account) in self.accounts.iter_mut().filter(|(id, _)| which(**id)) {
            account.foreign = None;
        }
    }

    /// Ends all reservations of a router that left the membership.
    pub fn remove_router(&mut self, router: Id, now: Instant) {
        self.end_matching(now, |id, _| id.router == router);
        self.generations.remove(&router);
    }

    /// Ends leaked reservations, older than any request runs, and removes idle engines that are no longer configured.
    pub fn expire(&mut self, now: Instant, keep: impl Fn(Id) -> bool) {
        self.end_matching(now, |_, reservation| now.saturating_sub(reservation.since) > MAX_RESERVATION_AGE);
        self.accounts.retain(|&id, account| account.running > 0 || keep(id));
    }

    /// Releases all reservations that match.
    fn end_matching(&mut self, now: Instant, matches: impl Fn(&ReservationId, &Reservation) -> bool) {
        let ids: Vec<_> = self
            .reservations
            .iter()
            .filter(|(id, reservation)| matches(id, reservation))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.release(id, now);
        }
    }

    /// Records the number of requests in an engine's load report, which may be a few seconds old.
    ///
    /// Two routers that both consider themselves the owner don't see each other's reservations. Requests reported
    /// beyond the maximum reserved here at that time belong to the other router and count against the bound. The
    /// same holds for work granted by a former owner, until the routers that hold it report it here.
    pub fn record_report(&mut self, engine: Id, running: u32, now: Instant) {
        let account = self.accounts.entry(engine).or_default();
        account.history.record(account.running, now);
        account.foreign = Some(running.saturating_sub(account.history.max(now)));
    }
}
