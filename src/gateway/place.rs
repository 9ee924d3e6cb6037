//! Placement: finds an engine for a chat and reserves work on it with the router that owns the engine.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::{StreamExt, future::join_all};

use super::{Gateway, lock, read, request::RequestInfo};
use crate::{
    catalog::{Catalog, Engine, EngineKey, Id, Pool},
    client::Client,
    engine::{ChatId, EngineClient},
    link::Links,
    metrics::{Counter, Metrics},
    place::{
        Placer, Refusal, ReservationRequest,
        bound::LoadDigest,
        hint::{CachedCopy, Hint, HintKey},
        ledger::ReservationId,
        members::Member,
        search::{Candidate, Search},
        transfer::TransferCosts,
    },
    schema::{
        engine::{CacheEvents, Load},
        link::frame::Body,
        placement::{Release, Reserve, Reserved},
    },
    util::{Instant, Map, now, wall_ms},
};

/// An owner that does not answer within this time is marked as unreachable, and the search goes on.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of engines whose load is fetched concurrently.
const MAX_CONCURRENT_LOAD_FETCHES: usize = 16;
/// Time between two fetches from engines whose load is not known yet.
const LOAD_FETCH_INTERVAL: Duration = Duration::from_secs(1);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which ended reservations are released at their owners, in one batch per owner.
pub(crate) const RELEASE_INTERVAL: Duration = Duration::from_millis(250);
const REFUSED_AT_BOUND: u32 = 0;
const REFUSED_UNAVAILABLE: u32 = 1;
const REFUSED_NOT_OWNER: u32 = 2;

/// Placement state of a running router, with the reservations that it holds.
#[derive(Debug)]
pub(crate) struct Placement {
    me: Id,
    placer: Mutex<Placer>,
    links: Links,
    hints: HintKey,
    metrics: Arc<Metrics>,
    next_number: AtomicU64,
    /// Reservations that this router holds, by number, at itself and at other owners.
    reservations: Mutex<Map<u64, HeldReservation>>,
    /// Numbers of ended reservations that have not been released at their owners yet, by owner.
    pending_releases: Mutex<Map<Id, Vec<u64>>>,
}

/// A reservation and the router that granted it.
#[derive(Clone, Copy, Debug)]
struct HeldReservation {
    owner: Id,
    req: ReservationRequest,
}

/// Why a chat could not be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// Every available engine is at its load bound.
    AtBound,
    /// No engine of the pool is available.
    NoneAvailable,
}

/// A chat placed on an engine, with work reserved there until the guard is dropped.
#[derive(Debug)]
pub(crate) struct PlacedChat {
    pub(crate) engine: EngineKey,
    pub(crate) guard: ReservationGuard,
    /// Placement hint to return with the answer.
    pub(crate) hint: String,
    /// Router to which the caller should send the chat's next request.
    pub(crate) next_router: Option<std::net::SocketAddr>,
}

/// Guard of a reservation; dropping it ends the reservation, including when the caller disconnects.
#[derive(Debug)]
pub(crate) struct ReservationGuard {
    placement: Arc<Placement>,
    number: u64,
    disarmed: bool,
}

impl ReservationGuard {
    /// Ends the reservation.
    #[allow(dead_code, reason = "the request path drops its guards")]
    pub(crate) fn close(self) {}

    /// Drops the guard of a reservation that was refused, so that there is nothing to end.
    fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if !self.disarmed {
            self.placement.end_reservation(self.number);
        }
    }
}

impl Placement {
    pub(crate) fn new(
        me: Id,
        data_centre: &Arc<str>,
        links: Links,
        hints: HintKey,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            me,
            placer: Mutex::new(Placer::new(me, data_centre.clone())),
            links,
            hints,
            metrics,
            next_number: AtomicU64::new(ReservationId::first_number(wall_ms())),
            reservations: Mutex::default(),
            pending_releases: Mutex::default(),
        }
    }

    pub(crate) fn links(&self) -> &Links {
        &self.links
    }

    pub(crate) fn placer(&self) -> std::sync::MutexGuard<'_, Placer> {
        lock(&self.placer)
    }

    /// Ends a reservation: at once if this router is the owner, otherwise with the next batch of releases.
    fn end_reservation(&self, number: u64) {
        let Some(held) = lock(&self.reservations).remove(&number) else { return };
        if held.owner == self.me {
            self.placer().release(self.me, [number], now());
        } else {
            lock(&self.pending_releases).entry(held.owner).or_default().push(number);
        }
    }

    fn insert_reservation(&self, owner: Id, req: ReservationRequest) {
        lock(&self.reservations).insert(req.reservation.number, HeldReservation { owner, req });
    }

    /// Reserves work on an engine; `owner` is `None` for this router. Returns the engine if granted.
    async fn reserve(&self, cat: &Catalog, req: ReservationRequest, owner: Option<&Member>) -> Option<Id> {
        let Some(owner) = owner else {
            let grant = self.placer().reserve(cat, &req, now()).ok()?;
            self.insert_reservation(self.me, ReservationRequest { engine: Some(grant.engine), ..req });
            return Some(grant.engine);
        };
        let answer = self.reserve_remotely(req, owner).await;
        if answer.is_none() {
            self.metrics.retry("owner_unreachable");
            self.placer().mark_unreachable(owner.id, now());
        }
        answer?.ok()
    }

    /// Reserves work at another router; `None` if it does not answer.
    async fn reserve_remotely(&self, req: ReservationRequest, owner: &Member) -> Option<Result<Id, Refusal>> {
        let number = req.reservation.number;
        self.insert_reservation(owner.id, req);
        let body = Body::Reserve(to_wire(&req, false));
        match self.links.call(owner.peer, body, RESERVE_TIMEOUT).await {
            Ok(Body::Reserved(Reserved { engine: 0, refusal })) => {
                lock(&self.reservations).remove(&number);
                Some(Err(match refusal {
                    REFUSED_AT_BOUND => Refusal::AtBound,
                    REFUSED_UNAVAILABLE => Refusal::Unavailable,
                    _ => Refusal::NotOwner,
                }))
            }
            Ok(Body::Reserved(Reserved { engine, .. })) => {
                self.insert_reservation(owner.id, ReservationRequest { engine: Some(Id(engine)), ..req });
                Some(Ok(Id(engine)))
            }
            // The owner may have granted the reservation although its answer was lost, so it is released like a granted
            // one.
            _ => {
                self.end_reservation(number);
                None
            }
        }
    }

    /// Answers another router's reservation request.
    pub(crate) fn serve_reserve(&self, cat: &Catalog, msg: &Reserve) -> Reserved {
        let req = from_wire(msg);
        let mut placer = self.placer();
        if msg.running {
            placer.adopt(&req, now());
            return Reserved { engine: msg.engine, refusal: 0 };
        }
        match placer.reserve(cat, &req, now()) {
            Ok(grant) => Reserved { engine: grant.engine.0, refusal: 0 },
            Err(refusal) => Reserved {
                engine: 0,
                refusal: match refusal {
                    Refusal::AtBound => REFUSED_AT_BOUND,
                    Refusal::Unavailable => REFUSED_UNAVAILABLE,
                    Refusal::NotOwner => REFUSED_NOT_OWNER,
                },
            },
        }
    }

    /// Releases reservations of another router.
    pub(crate) fn serve_release(&self, msg: &Release) {
        self.placer().release(Id(msg.router), msg.numbers.iter().copied(), now());
    }

    /// Releases ended reservations at their owners; failed releases are retried on the next call.
    pub(crate) async fn send_releases(&self) {
        let ended = std::mem::take(&mut *lock(&self.pending_releases));
        for (owner, numbers) in ended {
            let peer = self.placer().members().list().iter().find(|m| m.id == owner).map(|m| m.peer);
            // An owner that left the membership has lost its reservations, so there is nothing to release.
            let Some(peer) = peer else { continue };
            let body = Body::Release(Release { router: self.me.0, numbers: numbers.clone() });
            if self.links.call(peer, body, RELEASE_TIMEOUT).await.is_err() {
                lock(&self.pending_releases).entry(owner).or_default().extend(numbers);
            }
        }
    }

    /// Fetches and records the load reports of engines.
    async fn fetch_loads(&self, client: &Client, engines: impl Iterator<Item = &Engine>) {
        let fetches: Vec<_> = engines
            .map(|engine| {
                let (id, engine) = (engine.id, EngineClient::new(client.clone(), engine.addr));
                async move { (id, engine.load().await) }
            })
            .collect();
        let mut answers = futures_util::stream::iter(fetches).buffer_unordered(MAX_CONCURRENT_LOAD_FETCHES);
        while let Some((id, load)) = answers.next().await {
            if let Ok(load) = load {
                self.placer().record_load(id, &load, now());
            }
        }
    }

    /// Sets the live routers, and moves this router's reservations to the new owners of their engines.
    pub(crate) async fn set_members(&self, cat: &Catalog, list: Vec<Member>) {
        self.placer().set_members(list, now());
        let moved = self.reassign_reservations(cat);
        let notifications = moved.into_iter().map(|(owner, req)| async move {
            if owner.id == self.me {
                self.placer().adopt(&req, now());
                return;
            }
            let body = Body::Reserve(to_wire(&req, true));
            if self.links.call(owner.peer, body, RESERVE_TIMEOUT).await.is_err() {
                spdlog::debug!("the new owner of an engine could not be notified of a running request");
            }
        });
        join_all(notifications).await;
    }

    /// Assigns reservations to the new owners of their engines, and returns those that changed owner. They are released
    /// at the former owner, which would otherwise count them forever.
    fn reassign_reservations(&self, cat: &Catalog) -> Vec<(Member, ReservationRequest)> {
        let mut moved = Vec::new();
        let mut held = lock(&self.reservations);
        let mut placer = self.placer();
        for held in held.values_mut() {
            let Some((id, key)) = held.req.engine.and_then(|id| Some((id, cat.engine_key(id)?))) else {
                continue;
            };
            let Some(owner) = placer.owner(id, &cat.engine(key).data_centre).cloned() else { continue };
            if owner.id == held.owner {
                continue;
            }
            let number = held.req.reservation.number;
            if held.owner == self.me {
                placer.release(self.me, [number], now());
            } else {
                lock(&self.pending_releases).entry(held.owner).or_default().push(number);
            }
            held.owner = owner.id;
            moved.push((owner, held.req));
        }
        moved
    }

    /// Removes expired placement state.
    pub(crate) fn expire(&self, cat: &Catalog) {
        self.placer().expire(cat, now());
    }
}

impl Gateway {
    /// Finds an engine for a chat and reserves work on it; `exclude` lists engines that must not be used.
    pub(super) async fn place(
        &self,
        cat: &Catalog,
        pool: &Pool,
        info: &RequestInfo,
        exclude: impl IntoIterator<Item = Id>,
    ) -> Result<PlacedChat, PlacementError> {
        let placement = &self.placement;
        let hint = info.hint.as_deref().and_then(|text| placement.hints.verify(info.chat_id(), text));
        let mut search =
            Search::new(&placement.placer(), cat, pool, info.chat_id().hash(), hint.as_ref(), exclude);
        loop {
            let step = search.next(&mut placement.placer(), cat, pool, now());
            let Some(step) = step else { break };
            // The guard is created before the request to the owner: if the caller disconnects meanwhile, a reservation
            // that was granted is released.
            let number = placement.next_number.fetch_add(1, Ordering::Relaxed);
            let guard = ReservationGuard { placement: placement.clone(), number, disarmed: false };
            let req = ReservationRequest {
                reservation: ReservationId { router: placement.me, number },
                engine: step.engine.map(|c| c.id),
                pool: pool.id,
                work: info.work,
                above_mean: step.above_mean,
            };
            let Some(granted) = placement.reserve(cat, req, step.owner.as_ref()).await else {
                if step.engine.is_some_and(|c| c.cached > 0) {
                    self.metrics.add(Counter::Placements, "cached_refused", 1);
                }
                guard.disarm();
                continue;
            };
            // An owner that chooses the engine itself does not know on which engines this request has failed, and its
            // configuration may have a newer version of the pool. In that case the guard is dropped, which ends the
            // reservation.
            let Some(engine) = pool.member(granted).filter(|_| !search.excludes(granted)) else { continue };
            self.metrics.add(Counter::Placements, placement_label(step.engine), 1);
            let placed = self.placed_chat(cat, info, &search, hint, engine, guard);
            let transfer_source = search.transfer_source(&placement.placer(), pool, engine);
            if let Some((from, tokens)) = transfer_source {
                self.transfer_cache(cat, info.chat_id(), from, engine, tokens).await;
            }
            return Ok(placed);
        }
        if search.any_available() { Err(PlacementError::AtBound) } else { Err(PlacementError::NoneAvailable) }
    }

    /// Records that the chat will be cached on the engine, and signs the new placement hint.
    fn placed_chat(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        search: &Search,
        hint: Option<Hint>,
        key: EngineKey,
        guard: ReservationGuard,
    ) -> PlacedChat {
        let mut placer = self.placement.placer();
        let engine = cat.engine(key);
        placer.cache.mark_cached(engine.id, search.chat());
        let copy = CachedCopy {
            engine: engine.name.clone(),
            start: placer.health.start(engine.id),
            tokens: u32::try_from(info.work).unwrap_or(u32::MAX),
        };
        let mut hint = hint.unwrap_or_default();
        hint.home = search.home().clone();
        let hint = self.placement.hints.sign(info.chat_id(), &hint.with_copy(copy));
        let next_router = placer.owner(engine.id, &engine.data_centre).map(|m| m.addr);
        PlacedChat { engine: key, guard, hint, next_router }
    }

    /// Transfers a chat's KV cache to the engine that answers next, unless recomputing it is faster.
    async fn transfer_cache(
        &self,
        cat: &Catalog,
        chat: ChatId<'_>,
        from: EngineKey,
        to: EngineKey,
        tokens: u32,
    ) {
        let costs = TransferCosts::default();
        if !costs.is_transfer_faster(tokens) {
            return;
        }
        let client = |key| EngineClient::new(self.client.clone(), cat.engine(key).addr);
        let transfer = async {
            let Some(kv) = client(from).export_kv(chat).await? else { return Ok(false) };
            client(to).import_kv(chat, kv).await?;
            anyhow::Ok(true)
        };
        // A transfer that takes longer than recomputing gains nothing; the request then continues without it.
        let label = match tokio::time::timeout(costs.recompute_time(tokens), transfer).await {
            Ok(Ok(true)) => "kv_moved",
            Ok(Ok(false)) => "kv_gone",
            Ok(Err(_)) => "kv_failed",
            Err(_) => "kv_late",
        };
        self.metrics.add(Counter::Placements, label, 1);
    }

    /// Marks an engine as unreachable.
    pub fn mark_engine_down(&self, engine: &str) {
        self.placement.placer().health.mark_down(Id::of(engine), now());
    }

    /// Marks an engine as leaving; it gets no new work until it restarts.
    pub fn mark_engine_leaving(&self, engine: &str) {
        self.placement.placer().health.mark_leaving(Id::of(engine));
    }

    /// Records an engine's load report, which also marks the engine as reachable.
    pub fn record_engine_load(&self, engine: &str, load: &Load) {
        self.placement.placer().record_load(Id::of(engine), load, now());
    }

    /// Records an engine's cache events.
    pub fn record_cache_events(&self, engine: &str, events: &CacheEvents) {
        self.placement.placer().record_cache_events(Id::of(engine), events);
    }

    /// Records another router's load digest for a pool.
    pub fn record_load_digest(&self, source: Id, pool: Id, digest: LoadDigest, at: Instant) {
        self.placement.placer().record_digest(source, pool, digest, at);
    }

    /// Load digests of this router's engines by pool, gossiped to the other routers about once a second.
    pub fn load_digests(&self) -> Vec<(Id, LoadDigest)> {
        let cat = self.catalog();
        let mut placer = self.placement.placer();
        cat.pools().map(|pool| (pool.id, placer.digest(&cat, pool, now()))).collect()
    }

    /// Sets the live routers, among which the engines are distributed.
    pub async fn set_members(&self, list: Vec<Member>) {
        let cat = read(&self.catalog).clone();
        self.placement.set_members(&cat, list).await;
        self.start_load_fetch(&cat);
    }

    /// Starts a background task that fetches the load of engines that this router newly owns.
    ///
    /// Until an engine has reported its load, its new owner assumes the mean load. Probes run only every few seconds;
    /// after a start of the whole fleet, one request would fill each engine up to its bound until the first probe.
    fn start_load_fetch(&self, cat: &Arc<Catalog>) {
        let mut task = lock(&self.load_fetch_task);
        if task.as_ref().is_some_and(|running| !running.is_finished()) {
            return;
        }
        let (placement, client, cat) = (self.placement.clone(), self.client.clone(), cat.clone());
        *task = Some(tokio::spawn(async move {
            loop {
                let keys = placement.placer().engines_without_load(&cat, now());
                if keys.is_empty() {
                    return;
                }
                placement.fetch_loads(&client, keys.iter().map(|&key| cat.engine(key))).await;
                tokio::time::sleep(LOAD_FETCH_INTERVAL).await;
            }
        }));
    }
}

/// Metric label of a placement: on an engine that probably has the chat cached, by rank, or on any with room.
fn placement_label(engine: Option<Candidate>) -> &'static str {
    match engine {
        Some(candidate) if candidate.cached > 0 => "cached",
        Some(_) => "ranked",
        None => "any",
    }
}

fn to_wire(req: &ReservationRequest, running: bool) -> Reserve {
    Reserve {
        router: req.reservation.router.0,
        number: req.reservation.number,
        engine: req.engine.map_or(0, |id| id.0),
        pool: req.pool.0,
        work: req.work,
        running,
        above_mean: req.above_mean,
    }
}

fn from_wire(msg: &Reserve) -> ReservationRequest {
    ReservationRequest {
        reservation: ReservationId { router: Id(msg.router), number: msg.number },
        engine: (msg.engine != 0).then_some(Id(msg.engine)),
        pool: Id(msg.pool),
        work: msg.work,
        above_mean: msg.above_mean,
    }
}
