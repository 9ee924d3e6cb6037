//! Placement state of one router: engines, routers, and the reservations on the engines that it owns.

use std::{sync::Arc, time::Duration};

use super::{
    bound::{LoadDigest, LoadDigests, MeanLoad, Work, total},
    cache::{CacheEvent, EvictionTracker},
    health::Health,
    hint::Hint,
    ledger::{Ledger, ReservationId},
    members::{Distance, Member, Members},
};
use crate::{
    catalog::{Catalog, Engine, EngineKey, Id, Pool},
    engine::ChatId,
    schema::engine::{CacheEvents, Load},
    util::{Instant, Map, Set},
};

/// How long a computed mean load is cached.
const MEAN_TTL: Duration = Duration::from_millis(50);
/// How long a new owner assumes the mean load for an engine without a report. Reports normally arrive well within
/// this time; the limit keeps an engine that never reports from staying half empty forever.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(6);
/// How long a router that did not answer is not contacted again.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(2);

/// Request to reserve work on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Identifies the reservation.
    pub reservation: ReservationId,
    /// Engine to reserve; `None` for the least loaded engine of the owner.
    pub engine: Option<Id>,
    /// Pool whose bound applies.
    pub pool: Id,
    /// Expected work.
    pub work: Work,
    /// Whether the engine may exceed the mean up to the bound: for a chat that returns to its cache, and as a last
    /// resort when no other engine accepted the request.
    pub above_mean: bool,
}

/// A granted reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Engine on which the work was reserved.
    pub engine: Id,
}

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The engine's load would exceed the bound.
    AtBound,
    /// The engine is down, leaving, held down or not in the pool.
    Unavailable,
    /// The router that was asked does not own the engine by its member list, which differs from the sender's.
    NotOwner,
}

/// Engines of one pool that this router owns, cached for one version of the configuration.
#[derive(Clone, Debug)]
struct OwnedEngines {
    version: u64,
    engines: Arc<[(Id, u32)]>,
}

/// Placement state of one router.
#[derive(Clone, Debug)]
pub struct Placer {
    me: Id,
    data_centre: Arc<str>,
    members: Members,
    digests: LoadDigests,
    /// Cached total load of each pool, with the time of its computation.
    pool_loads: Map<Id, (LoadDigest, Instant)>,
    owned_engines: Map<Id, OwnedEngines>,
    /// Engines that this router already owned before the latest change of the member list.
    settled: Set<Id>,
    /// End of the period in which engines that are not settled are assumed to carry the mean load.
    takeover_until: Instant,
    /// Unreachable routers, with the end of their backoff.
    unreachable: Map<Id, Instant>,
    /// Health of engines.
    pub health: Health,
    /// Reservations granted by this router.
    pub ledger: Ledger,
    /// Recent cache evictions of engines.
    pub cache: EvictionTracker,
}

impl Placer {
    /// Creates the state of a router without members, reports or reservations.
    pub fn new(me: Id, data_centre: impl Into<Arc<str>>) -> Self {
        Self {
            me,
            data_centre: data_centre.into(),
            members: Members::default(),
            digests: LoadDigests::default(),
            pool_loads: Map::default(),
            owned_engines: Map::default(),
            settled: Set::default(),
            takeover_until: Instant::ZERO,
            unreachable: Map::default(),
            health: Health::default(),
            ledger: Ledger::default(),
            cache: EvictionTracker::default(),
        }
    }

    /// Identifier of this router.
    pub fn me(&self) -> Id {
        self.me
    }

    /// Live routers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Sets the live routers and ends the reservations of routers that left.
    pub fn set_members(&mut self, list: Vec<Member>, now: Instant) {
        let live: Set<Id> = list.iter().map(|m| m.id).collect();
        for member in self.members.list().to_vec() {
            if !live.contains(&member.id) && member.id != self.me {
                self.ledger.remove_router(member.id, now);
                self.digests.remove(member.id);
            }
        }
        self.begin_takeover(list.len(), now);
        self.members = Members::new(list);
        self.owned_engines.clear();
    }

    /// Starts a takeover period after a change of the member list, except when the first list contains only one
    /// member: without other routers there is no former owner.
    fn begin_takeover(&mut self, members: usize, now: Instant) {
        let alone = self.members.list().is_empty() && members == 1;
        if alone {
            return;
        }
        let in_takeover = now < self.takeover_until;
        let before: Set<Id> = self.members.known_engines_of(self.me).collect();
        self.settled = before.into_iter().filter(|id| !in_takeover || self.settled.contains(id)).collect();
        self.takeover_until = now + TAKEOVER_PERIOD;
        let settled = &self.settled;
        self.ledger.clear_reports(|id| !settled.contains(&id));
    }

    /// Newly owned engines that should report their load: those without a report, and those that last reported
    /// requests which this router did not grant, until a report shows that these have ended.
    pub fn engines_without_load(&mut self, cat: &Catalog, now: Instant) -> Vec<EngineKey> {
        if now >= self.takeover_until {
            return Vec::new();
        }
        let unknown_load = |(key, engine): (EngineKey, &Engine)| {
            let owner = self.members.owner(engine.id, &engine.data_centre).map(|m| m.id);
            let load_known = self.settled.contains(&engine.id)
                || self.ledger.account(engine.id).is_some_and(|a| a.foreign == Some(0));
            (owner == Some(self.me) && !load_known).then_some(key)
        };
        cat.engines().filter_map(unknown_load).collect()
    }

    /// Marks a router that did not answer in time.
    pub fn mark_unreachable(&mut self, router: Id, now: Instant) {
        self.unreachable.insert(router, now + UNREACHABLE_BACKOFF);
    }

    /// Whether a router may be contacted.
    pub fn is_reachable(&self, router: Id, now: Instant) -> bool {
        self.unreachable.get(&router).is_none_or(|until| now >= *until)
    }

    /// The router that owns an engine.
    pub fn owner(&mut self, engine: Id, data_centre: &str) -> Option<&Member> {
        self.members.owner(engine, data_centre)
    }

    /// Records another router's load digest for a pool.
    pub fn record_digest(&mut self, source: Id, pool: Id, digest: LoadDigest, now: Instant) {
        if source != self.me {
            self.digests.record(source, pool, digest, now);
        }
    }

    /// Load digest of this router's engines in a pool, to be sent to the other routers.
    pub fn digest(&mut self, cat: &Catalog, pool: &Pool, now: Instant) -> LoadDigest {
        let mut digest = LoadDigest::default();
        for (id, account) in self.ledger.accounts() {
            if pool.member(id).is_some() {
                digest.work += account.work;
                digest.running += account.running;
            }
        }
        for &(id, capacity) in self.owned_engines(cat, pool).iter() {
            if self.health.is_available(id, now) {
                digest.capacity += u64::from(capacity);
            }
        }
        digest
    }

    /// Mean load of a pool over all owners.
    pub fn mean(&mut self, cat: &Catalog, pool: &Pool, now: Instant) -> MeanLoad {
        if let Some((load, at)) = self.pool_loads.get(&pool.id)
            && now.saturating_sub(*at) < MEAN_TTL
        {
            return MeanLoad::from_total(*load);
        }
        let load = total(self.digest(cat, pool, now), self.digests.total(pool.id, now));
        self.pool_loads.insert(pool.id, (load, now));
        MeanLoad::from_total(load)
    }

    /// Whether the requests running on a pool's engines reach the pool's total capacity.
    ///
    /// The load bound is relative to the mean, so in a surge it rises with the load and all engines would slow down
    /// together. Requests wait in fair queues instead once the pool is full.
    pub fn is_full(&mut self, cat: &Catalog, pool: &Pool, now: Instant) -> bool {
        let all = total(self.digest(cat, pool, now), self.digests.total(pool.id, now));
        all.capacity > 0 && u64::from(all.running) >= all.capacity
    }

    /// Reserves work on an engine as its owner. Idempotent: a repeated request gets the same grant.
    ///
    /// # Errors
    /// When the engine is at the bound, unavailable or not owned by this router. A former owner must not grant to
    /// routers with an outdated member list, or two owners would fill the engine until the lists converge.
    pub fn reserve(
        &mut self,
        cat: &Catalog,
        req: &ReservationRequest,
        now: Instant,
    ) -> Result<Grant, Refusal> {
        if let Some(engine) = self.ledger.reserved_engine(req.reservation) {
            return Ok(Grant { engine });
        }
        let pool = cat.pool_by_id(req.pool).ok_or(Refusal::Unavailable)?;
        let mean = self.mean(cat, pool, now);
        let engine = match req.engine {
            Some(id) => id,
            None => self.least_loaded(cat, pool, now).ok_or(Refusal::Unavailable)?,
        };
        let key = pool.member(engine).ok_or(Refusal::Unavailable)?;
        if !self.health.is_available(engine, now) {
            return Err(Refusal::Unavailable);
        }
        let engine_of = cat.engine(key);
        let owner = self.members.owner(engine, &engine_of.data_centre);
        if owner.is_some_and(|m| m.id != self.me) {
            return Err(Refusal::NotOwner);
        }
        let capacity = engine_of.capacity;
        let limit = mean.limit(capacity, pool.load_bound, req.work, req.above_mean);
        if self.load(engine, capacity, mean, now) + req.work as f64 > limit {
            return Err(Refusal::AtBound);
        }
        self.ledger.add(req.reservation, engine, req.work, now);
        // Update the cached mean: with the value from before a burst, idle engines would refuse all but one request
        // each until the mean is recomputed.
        if let Some((load, _)) = self.pool_loads.get_mut(&req.pool) {
            load.work += req.work;
            load.running += 1;
        }
        Ok(Grant { engine })
    }

    /// Adds work that already runs on an engine that this router now owns; never refused.
    pub fn adopt(&mut self, req: &ReservationRequest, now: Instant) {
        if let Some(engine) = req.engine {
            self.ledger.adopt(req.reservation, engine, req.work, now);
        }
    }

    /// Releases reservations of a router.
    pub fn release(&mut self, router: Id, numbers: impl IntoIterator<Item = u64>, now: Instant) {
        for number in numbers {
            self.ledger.release(ReservationId { router, number }, now);
        }
    }

    /// Records an engine's load report, which also marks the engine as reachable.
    pub fn record_load(&mut self, engine: Id, load: &Load, now: Instant) {
        if self.health.start(engine) != load.start {
            self.cache.remove(engine);
        }
        self.health.set_start(engine, load.start);
        self.health.mark_up(engine, now);
        if load.leaving {
            self.health.mark_leaving(engine);
        }
        self.ledger.record_report(engine, load.running + load.waiting, now);
    }

    /// Records an engine's cache events; events from before its restart are ignored.
    pub fn record_cache_events(&mut self, engine: Id, events: &CacheEvents) {
        if events.start != self.health.start(engine) {
            return;
        }
        for event in &events.events {
            let chat = ChatId { workspace: &event.workspace, chat: &event.chat }.hash();
            let what = if event.evicted { CacheEvent::Evicted(chat) } else { CacheEvent::Stored(chat) };
            self.cache.record(engine, event.seq, what);
        }
    }

    /// Removes expired state and engines that are no longer configured.
    pub fn expire(&mut self, cat: &Catalog, now: Instant) {
        self.digests.expire(now);
        self.unreachable.retain(|_, until| now < *until);
        self.health.retain(|id| cat.engine_key(id).is_some());
        self.ledger.expire(now, |id| cat.engine_key(id).is_some());
    }

    /// Home data centre of a chat: the one in its hint if it is in this region, otherwise this router's.
    pub fn home(&self, hint: Option<&Hint>) -> Arc<str> {
        match hint {
            Some(h) if self.members.distance(&h.home, &self.data_centre) != Distance::OtherRegion => {
                h.home.clone()
            }
            _ => self.data_centre.clone(),
        }
    }

    /// Engines of a pool that this router owns, with their capacities.
    fn owned_engines(&mut self, cat: &Catalog, pool: &Pool) -> Arc<[(Id, u32)]> {
        if let Some(owned) = self.owned_engines.get(&pool.id)
            && owned.version == cat.version
        {
            return owned.engines.clone();
        }
        let mut engines = Vec::new();
        for &key in &pool.engines {
            let engine = cat.engine(key);
            let owner = self.members.owner(engine.id, &engine.data_centre);
            if owner.is_some_and(|m| m.id == self.me) {
                engines.push((engine.id, engine.capacity));
            }
        }
        let engines: Arc<[_]> = engines.into();
        self.owned_engines.insert(pool.id, OwnedEngines { version: cat.version, engines: engines.clone() });
        engines
    }

    /// Load of an engine: the work reserved here plus an estimate for requests reported beyond the reservations.
    ///
    /// A new owner does not know what the former owner granted and would overfill a full engine. Until the first
    /// report it assumes the mean load in addition to its own reservations. While the former owner still grants up
    /// to the bound `b`, the new one thus adds at most `b - 1`, which limits the engine to `2b - 1` times the mean.
    fn load(&self, engine: Id, capacity: u32, mean: MeanLoad, now: Instant) -> f64 {
        let account = self.ledger.account(engine);
        let (work, adopted) = account.map_or((0, 0), |a| (a.work, a.adopted));
        let foreign = account.and_then(|a| a.foreign);
        if foreign.is_none() && now < self.takeover_until && !self.settled.contains(&engine) {
            let former = (mean.work_per_capacity * f64::from(capacity)).max(adopted as f64);
            return former + (work - adopted) as f64;
        }
        work as f64 + f64::from(foreign.unwrap_or(0)) * mean.work_per_request
    }

    /// Available engine of this router in a pool with the lowest load per capacity.
    fn least_loaded(&mut self, cat: &Catalog, pool: &Pool, now: Instant) -> Option<Id> {
        let mean = self.mean(cat, pool, now);
        let mut best: Option<(f64, Id)> = None;
        for &(id, capacity) in self.owned_engines(cat, pool).iter() {
            if !self.health.is_available(id, now) {
                continue;
            }
            let load = self.load(id, capacity, mean, now) / f64::from(capacity);
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, id));
            }
        }
        best.map(|(_, id)| id)
    }
}
