//! Work reserved on engines, as their owner counts it.

use std::{collections::VecDeque, time::Duration};

use super::bound::Work;
use crate::{
    catalog::Id,
    util::{Instant, Map, Set},
};

/// A reservation that nobody ended; no request runs this long.
const LONGEST_HOLD: Duration = Duration::from_secs(900);
/// Two buckets of this length span the lag of an engine's report.
const PEAK_BUCKET: Duration = Duration::from_secs(3);
/// Releases remembered against reservations that arrive after them.
const EARLY_RELEASES: usize = 1024;

/// One reservation: the router that holds it and the router's own number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HoldId {
    /// Router.
    pub router: Id,
    /// Number, unique for the router's run.
    pub number: u64,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    engine: Id,
    work: Work,
    since: Instant,
}

/// Load of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// Work reserved here.
    pub work: Work,
    /// Requests reserved here.
    pub running: u32,
    /// Requests that the engine reports beyond those reserved here.
    pub foreign: u32,
    peak: Peak,
}

/// Most requests over the last one to two buckets of time.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    since: Instant,
    current: u32,
    previous: u32,
}

impl Peak {
    fn note(&mut self, running: u32, now: Instant) {
        if now.saturating_sub(self.since) >= PEAK_BUCKET {
            let fresh = now.saturating_sub(self.since) < 2 * PEAK_BUCKET;
            self.previous = if fresh { self.current } else { running };
            self.current = running;
            self.since = now;
        }
        self.current = self.current.max(running);
    }

    fn most(&self) -> u32 {
        self.current.max(self.previous)
    }
}

/// All reservations that this router granted.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: Map<Id, Account>,
    holds: Map<HoldId, Hold>,
    early: VecDeque<HoldId>,
    early_set: Set<HoldId>,
}

impl Ledger {
    /// Load of an engine.
    pub fn account(&self, engine: Id) -> Account {
        self.accounts.get(&engine).copied().unwrap_or_default()
    }

    /// Engines with their load.
    pub fn accounts(&self) -> impl Iterator<Item = (Id, &Account)> {
        self.accounts.iter().map(|(&id, a)| (id, a))
    }

    /// The engine that this reservation is already on.
    pub fn held(&self, id: HoldId) -> Option<Id> {
        self.holds.get(&id).map(|h| h.engine)
    }

    /// Counts a reservation; a repeat counts once.
    ///
    /// A release can overtake its reservation when the caller gave up waiting for the answer. Counting the
    /// late reservation would load the engine until [`LONGEST_HOLD`] with work that never comes.
    pub fn add(&mut self, id: HoldId, engine: Id, work: Work, now: Instant) {
        if self.early_set.contains(&id) || self.holds.contains_key(&id) {
            return;
        }
        self.holds.insert(id, Hold { engine, work, since: now });
        let account = self.accounts.entry(engine).or_default();
        account.work += work;
        account.running += 1;
        account.peak.note(account.running, now);
    }

    /// Ends a reservation.
    pub fn release(&mut self, id: HoldId, now: Instant) {
        match self.holds.remove(&id) {
            Some(hold) => self.subtract(hold, now),
            None => self.remember(id),
        }
    }

    fn subtract(&mut self, hold: Hold, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&hold.engine) {
            account.peak.note(account.running, now);
            account.work = account.work.saturating_sub(hold.work);
            account.running = account.running.saturating_sub(1);
        }
    }

    fn remember(&mut self, id: HoldId) {
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

    /// Ends all reservations of a router that has gone.
    pub fn drop_router(&mut self, router: Id, now: Instant) {
        self.end(now, |id, _| id.router == router);
    }

    /// Ends reservations that outlived every request, and forgets engines that are no longer configured.
    pub fn expire(&mut self, now: Instant, keep: impl Fn(Id) -> bool) {
        self.end(now, |_, hold| now.saturating_sub(hold.since) > LONGEST_HOLD);
        self.accounts.retain(|&id, account| account.running > 0 || keep(id));
    }

    fn end(&mut self, now: Instant, over: impl Fn(&HoldId, &Hold) -> bool) {
        let gone: Vec<_> = self.holds.iter().filter(|(id, hold)| over(id, hold)).map(|(id, _)| *id).collect();
        for id in gone {
            self.release(id, now);
        }
    }

    /// Notes how many requests an engine says it runs, a few seconds ago.
    ///
    /// Two routers that both take themselves for the owner don't see each other's reservations. What the
    /// engine reports beyond the most that was reserved here in that time is the other's, and counts against
    /// the bound. So is the work of a former owner, until its holders made it known here.
    pub fn note_report(&mut self, engine: Id, running: u32, now: Instant) {
        let account = self.accounts.entry(engine).or_default();
        account.peak.note(account.running, now);
        account.foreign = running.saturating_sub(account.peak.most());
    }
}
