//! Placement state of one router: what it knows of engines and routers, and the work reserved on its engines.

use std::{sync::Arc, time::Duration};

use super::{
    bound::{Digest, Digests, MeanLoad, Work, total},
    cache::{CacheEvent, EvictionTracker as CacheNews},
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

/// How long a computed mean serves.
const MEAN_LIFE: Duration = Duration::from_millis(50);
/// How long a new owner without a report takes an engine to carry the mean. Reports come well within it; an
/// engine that reports nothing must not stay half empty for ever.
const UNSURE: Duration = Duration::from_secs(6);
/// How long a router that did not answer is not asked again.
const UNREACHABLE: Duration = Duration::from_secs(2);

/// A wish to reserve work on one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Reservation.
    pub reservation: ReservationId,
    /// Engine; `None` for any engine of the owner with room.
    pub engine: Option<Id>,
    /// Pool whose bound applies.
    pub pool: Id,
    /// Expected tokens.
    pub work: Work,
    /// Whether the room between the mean and the bound may be used: by a chat that returns to its cache, and by
    /// one that found no other engine.
    pub above_mean: bool,
}

/// A granted reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Engine.
    pub engine: Id,
}

/// Why an engine was not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It carries as much as the bound allows.
    AtBound,
    /// It is down, leaving, held down or not in the pool.
    Unavailable,
    /// The router that was asked does not take itself for the owner: the lists of routers differ.
    NotOwner,
}

/// Engines of one pool that this router owns, as of one version of the configuration.
#[derive(Clone, Debug)]
struct Owned {
    version: u64,
    engines: Arc<[(Id, u32)]>,
}

/// Placement state of one router.
#[derive(Clone, Debug)]
pub struct Placer {
    me: Id,
    data_centre: Arc<str>,
    members: Members,
    digests: Digests,
    means: Map<Id, (Digest, Instant)>,
    owned: Map<Id, Owned>,
    /// Engines that this router owned before the list of routers changed.
    sure: Set<Id>,
    unsure_until: Instant,
    unreachable: Map<Id, Instant>,
    /// Health of engines.
    pub health: Health,
    /// Reservations granted by this router.
    pub ledger: Ledger,
    /// Cache events of engines.
    pub cache: CacheNews,
}

impl Placer {
    /// State of a router that knows nothing yet.
    pub fn new(me: Id, data_centre: impl Into<Arc<str>>) -> Self {
        Self {
            me,
            data_centre: data_centre.into(),
            members: Members::default(),
            digests: Digests::default(),
            means: Map::default(),
            owned: Map::default(),
            sure: Set::default(),
            unsure_until: Instant::ZERO,
            unreachable: Map::default(),
            health: Health::default(),
            ledger: Ledger::default(),
            cache: CacheNews::default(),
        }
    }

    /// Identifier of this router.
    pub fn me(&self) -> Id {
        self.me
    }

    /// The routers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Sets the live routers; reservations of those that have gone end.
    pub fn set_members(&mut self, list: Vec<Member>, now: Instant) {
        let live: Set<Id> = list.iter().map(|m| m.id).collect();
        for member in self.members.list().to_vec() {
            if !live.contains(&member.id) && member.id != self.me {
                self.ledger.drop_router(member.id, now);
                self.digests.remove(member.id);
            }
        }
        self.take_over(list.len(), now);
        self.members = Members::new(list);
        self.owned.clear();
    }

    fn take_over(&mut self, members: usize, now: Instant) {
        let alone = self.members.list().is_empty() && members == 1;
        if alone {
            return;
        }
        let unsure = now < self.unsure_until;
        let before: Set<Id> = self.members.known_of(self.me).collect();
        self.sure = before.into_iter().filter(|id| !unsure || self.sure.contains(id)).collect();
        self.unsure_until = now + UNSURE;
        let sure = &self.sure;
        self.ledger.forget_reports(|id| !sure.contains(&id));
    }

    /// Engines that this router has come to own and whose load it does not know yet, or which then ran work that
    /// this router had not granted: that ends, and the next report says when.
    pub fn engines_without_load(&mut self, cat: &Catalog, now: Instant) -> Vec<EngineKey> {
        if now >= self.unsure_until {
            return Vec::new();
        }
        let owned = |(key, engine): (EngineKey, &Engine)| {
            let owner = self.members.owner(engine.id, &engine.data_centre).map(|m| m.id);
            let known = self.sure.contains(&engine.id)
                || self.ledger.account(engine.id).is_some_and(|a| a.foreign == Some(0));
            (owner == Some(self.me) && !known).then_some(key)
        };
        cat.engines().filter_map(owned).collect()
    }

    /// Notes that a router did not answer in time.
    pub fn mark_unreachable(&mut self, router: Id, now: Instant) {
        self.unreachable.insert(router, now + UNREACHABLE);
    }

    /// Whether a router may be asked.
    pub fn reachable(&self, router: Id, now: Instant) -> bool {
        self.unreachable.get(&router).is_none_or(|until| now >= *until)
    }

    /// The router that owns an engine.
    pub fn owner(&mut self, engine: Id, data_centre: &str) -> Option<&Member> {
        self.members.owner(engine, data_centre)
    }

    /// Notes what another router says of a pool.
    pub fn record_digest(&mut self, source: Id, pool: Id, digest: Digest, now: Instant) {
        if source != self.me {
            self.digests.record(source, pool, digest, now);
        }
    }

    /// Load of this router's engines in a pool, to be told to the others.
    pub fn digest(&mut self, cat: &Catalog, pool: &Pool, now: Instant) -> Digest {
        let mut digest = Digest::default();
        for (id, account) in self.ledger.accounts() {
            if pool.member(id).is_some() {
                digest.work += account.work;
                digest.running += account.running;
            }
        }
        for &(id, capacity) in self.owned(cat, pool).iter() {
            if self.health.is_available(id, now) {
                digest.capacity += u64::from(capacity);
            }
        }
        digest
    }

    /// Mean load of a pool over all owners.
    pub fn mean(&mut self, cat: &Catalog, pool: &Pool, now: Instant) -> MeanLoad {
        if let Some((load, at)) = self.means.get(&pool.id)
            && now.saturating_sub(*at) < MEAN_LIFE
        {
            return MeanLoad::from_total(*load);
        }
        let load = total(self.digest(cat, pool, now), self.digests.total(pool.id, now));
        self.means.insert(pool.id, (load, now));
        MeanLoad::from_total(load)
    }

    /// Whether a pool's engines run as many requests as they run well at once.
    ///
    /// The bound keeps engines near the mean, however high that is: a surge would raise the mean, and every
    /// request would run slowly on engines that all are too full. Requests wait in fair queues instead.
    pub fn is_full(&mut self, cat: &Catalog, pool: &Pool, now: Instant) -> bool {
        let all = total(self.digest(cat, pool, now), self.digests.total(pool.id, now));
        all.capacity > 0 && u64::from(all.running) >= all.capacity
    }

    /// Reserves work on an engine as its owner; a repeat of a granted request is granted again, counted once.
    ///
    /// # Errors
    /// When the engine is at the bound, not in use or not owned by this router. Were a former owner to go on
    /// granting for routers with an old list, two owners would fill the engine for as long as the lists differ.
    pub fn reserve(&mut self, cat: &Catalog, req: &Request, now: Instant) -> Result<Grant, Refusal> {
        if let Some(engine) = self.ledger.held(req.reservation) {
            return Ok(Grant { engine });
        }
        let pool = cat.pool_by_id(req.pool).ok_or(Refusal::Unavailable)?;
        let mean = self.mean(cat, pool, now);
        let engine = match req.engine {
            Some(id) => id,
            None => self.roomiest(cat, pool, now).ok_or(Refusal::Unavailable)?,
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
        // Without this, a burst on idle engines meets a mean of before the burst, and all but one request an engine
        // are refused until the mean is computed anew.
        if let Some((load, _)) = self.means.get_mut(&req.pool) {
            load.work += req.work;
            load.running += 1;
        }
        Ok(Grant { engine })
    }

    /// Counts work that already runs on an engine which this router now owns. It is never refused.
    pub fn adopt(&mut self, req: &Request, now: Instant) {
        if let Some(engine) = req.engine {
            self.ledger.adopt(req.reservation, engine, req.work, now);
        }
    }

    /// Ends reservations.
    pub fn release(&mut self, router: Id, numbers: impl IntoIterator<Item = u64>, now: Instant) {
        for number in numbers {
            self.ledger.release(ReservationId { router, number }, now);
        }
    }

    /// Notes an engine's load report, which also says that it lives.
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

    /// Notes an engine's cache events; those of an earlier start are of a cache that is gone.
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

    /// Forgets what is out of date or no longer configured.
    pub fn expire(&mut self, cat: &Catalog, now: Instant) {
        self.digests.expire(now);
        self.unreachable.retain(|_, until| now < *until);
        self.health.retain(|id| cat.key(id).is_some());
        self.ledger.expire(now, |id| cat.key(id).is_some());
    }

    /// Data centre in which a chat's rank starts: its first one if that is in this region, else this one.
    pub fn home(&self, hint: Option<&Hint>) -> Arc<str> {
        match hint {
            Some(h) if self.members.distance(&h.home, &self.data_centre) != Distance::Far => h.home.clone(),
            _ => self.data_centre.clone(),
        }
    }

    fn owned(&mut self, cat: &Catalog, pool: &Pool) -> Arc<[(Id, u32)]> {
        if let Some(owned) = self.owned.get(&pool.id)
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
        self.owned.insert(pool.id, Owned { version: cat.version, engines: engines.clone() });
        engines
    }

    /// Load of an engine: what is reserved here, and what it reports beyond that.
    ///
    /// A new owner doesn't know yet what the former one granted, and would fill an engine that is full. Until
    /// the first report it takes the engine to carry the mean, beside what it reserves itself. While a former
    /// owner still grants up to the bound `b`, the new one thus adds at most `b - 1`: together `2b - 1` means.
    fn load(&self, engine: Id, capacity: u32, mean: MeanLoad, now: Instant) -> f64 {
        let account = self.ledger.account(engine);
        let (work, adopted) = account.map_or((0, 0), |a| (a.work, a.adopted));
        let foreign = account.and_then(|a| a.foreign);
        if foreign.is_none() && now < self.unsure_until && !self.sure.contains(&engine) {
            let former = (mean.per_capacity * f64::from(capacity)).max(adopted as f64);
            return former + (work - adopted) as f64;
        }
        work as f64 + f64::from(foreign.unwrap_or(0)) * mean.per_request
    }

    fn roomiest(&mut self, cat: &Catalog, pool: &Pool, now: Instant) -> Option<Id> {
        let mean = self.mean(cat, pool, now);
        let mut best: Option<(f64, Id)> = None;
        for &(id, capacity) in self.owned(cat, pool).iter() {
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
