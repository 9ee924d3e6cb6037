//! Finds an engine for a chat and holds work on it, over the routers that own the engines.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use super::{Gateway, ask::Ask, lock, read};
use crate::{
    catalog::{Catalog, EngineKey, Id, Pool},
    link::Links,
    metrics::Metrics,
    place::{
        Placer, Refusal, Request,
        bound::Digest,
        hint::{CachedCopy, Hint, HintKey},
        ledger::HoldId,
        members::Member,
        search::Search,
    },
    schema::{
        link::frame::Body,
        placement::{Release, Reserve, Reserved},
    },
    util::{Instant, Map, now},
};

/// An owner that does not answer within this time is passed by.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(250);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long ended reservations wait to be told to their owner together.
pub(crate) const RELEASE_PERIOD: Duration = Duration::from_secs(1);
const REFUSED_AT_BOUND: u32 = 0;
const REFUSED_NOT_IN_USE: u32 = 1;
const REFUSED_NOT_OWNER: u32 = 2;

/// Placement in a running router.
#[derive(Debug)]
pub(crate) struct Placement {
    me: Id,
    placer: Mutex<Placer>,
    links: Links,
    hints: HintKey,
    metrics: Arc<Metrics>,
    next: AtomicU64,
    /// Reservations held at other routers.
    held: Mutex<Map<u64, Held>>,
    /// Ended reservations by owner, not yet told.
    ended: Mutex<Map<Id, Vec<u64>>>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    owner: Id,
    req: Request,
}

/// Why no engine was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unplaced {
    /// Every engine in use carries as much as the bound allows.
    AtBound,
    /// No engine of the pool is in use.
    NoneInUse,
}

/// An engine found for a request, with work held on it until the slot is dropped.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) engine: EngineKey,
    pub(crate) slot: Slot,
    /// Hint to return with the answer.
    pub(crate) hint: String,
    /// Router that a later request of this chat does best to go to.
    pub(crate) router: Option<std::net::SocketAddr>,
}

/// Work held on an engine; dropping it ends the reservation, also when a caller goes away midway.
#[derive(Debug)]
pub(crate) struct Slot {
    placement: Arc<Placement>,
    number: u64,
    refused: bool,
}

impl Slot {
    /// Ends the work.
    #[allow(dead_code, reason = "the request path drops its slots")]
    pub(crate) fn close(self) {}

    /// Gives up a slot whose reservation was refused.
    fn refuse(mut self) {
        self.refused = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.refused {
            self.placement.end(self.number);
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
            next: AtomicU64::new(rand::random::<u64>() >> 1),
            held: Mutex::default(),
            ended: Mutex::default(),
        }
    }

    pub(crate) fn links(&self) -> &Links {
        &self.links
    }

    pub(crate) fn placer(&self) -> std::sync::MutexGuard<'_, Placer> {
        lock(&self.placer)
    }

    fn end(&self, number: u64) {
        match lock(&self.held).remove(&number) {
            Some(held) => lock(&self.ended).entry(held.owner).or_default().push(number),
            None => {
                self.placer().release(self.me, [number], now());
            }
        }
    }

    /// Reserves at the owner, which is this router or another.
    async fn reserve(&self, cat: &Catalog, req: Request, owner: Option<&Member>) -> Option<Id> {
        let Some(owner) = owner else {
            return self.placer().reserve(cat, &req, now()).ok().map(|grant| grant.engine);
        };
        let answer = self.ask(req, owner).await;
        if answer.is_none() {
            self.metrics.retry("owner_unreachable");
            self.placer().note_unreachable(owner.id, now());
        }
        answer?.ok()
    }

    async fn ask(&self, req: Request, owner: &Member) -> Option<Result<Id, Refusal>> {
        let number = req.hold.number;
        lock(&self.held).insert(number, Held { owner: owner.id, req });
        let body = Body::Reserve(to_wire(&req, false));
        match self.links.call(owner.peer, body, RESERVE_TIMEOUT).await {
            Ok(Body::Reserved(Reserved { engine: 0, refusal })) => {
                lock(&self.held).remove(&number);
                Some(Err(match refusal {
                    REFUSED_AT_BOUND => Refusal::AtBound,
                    REFUSED_NOT_IN_USE => Refusal::NotInUse,
                    _ => Refusal::NotOwner,
                }))
            }
            Ok(Body::Reserved(Reserved { engine, .. })) => Some(Ok(Id(engine))),
            // The reservation may have been made, and its answer lost: it is ended like one that was granted.
            _ => {
                self.end(number);
                None
            }
        }
    }

    /// Answers another router's reservation.
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
                    Refusal::NotInUse => REFUSED_NOT_IN_USE,
                    Refusal::NotOwner => REFUSED_NOT_OWNER,
                },
            },
        }
    }

    /// Ends reservations of another router.
    pub(crate) fn serve_release(&self, msg: &Release) {
        self.placer().release(Id(msg.router), msg.numbers.iter().copied(), now());
    }

    /// Tells owners of ended reservations; those that could not be told are told again.
    pub(crate) async fn tell_ended(&self) {
        let ended = std::mem::take(&mut *lock(&self.ended));
        for (owner, numbers) in ended {
            let peer = self.placer().members().list().iter().find(|m| m.id == owner).map(|m| m.peer);
            // An owner that has gone has forgotten its reservations.
            let Some(peer) = peer else { continue };
            let body = Body::Release(Release { router: self.me.0, numbers: numbers.clone() });
            if self.links.call(peer, body, RELEASE_TIMEOUT).await.is_err() {
                lock(&self.ended).entry(owner).or_default().extend(numbers);
            }
        }
    }

    /// Sets the routers, and makes work known to the new owners of its engines.
    pub(crate) async fn set_members(&self, cat: &Catalog, list: Vec<Member>) {
        self.placer().set_members(list, now());
        let mut moved = Vec::new();
        for (number, held) in lock(&self.held).iter_mut() {
            let Some(id) = held.req.engine else { continue };
            let Some(key) = cat.key(id) else { continue };
            let mut placer = self.placer();
            let Some(owner) = placer.owner(id, &cat.engine(key).data_centre) else { continue };
            if owner.id != held.owner {
                moved.push((*number, owner.clone(), held.req));
                held.owner = owner.id;
            }
        }
        for (_, owner, req) in moved {
            if owner.id == self.me {
                self.placer().adopt(&req, now());
                lock(&self.held).remove(&req.hold.number);
                continue;
            }
            let _ = self.links.call(owner.peer, Body::Reserve(to_wire(&req, true)), RESERVE_TIMEOUT).await;
        }
    }
}

impl Gateway {
    /// Finds an engine for a chat and holds work on it.
    pub(super) async fn place(
        &self,
        cat: &Catalog,
        pool: &Pool,
        ask: &Ask,
        exclude: impl IntoIterator<Item = Id>,
    ) -> Result<Placed, Unplaced> {
        let place = &self.placement;
        let hint = ask.hint.as_deref().and_then(|text| place.hints.open(&ask.chat, text));
        let mut search = Search::new(&place.placer(), cat, pool, &ask.chat, hint.as_ref(), exclude);
        loop {
            let step = search.next(&mut place.placer(), cat, pool, now());
            let Some(step) = step else { break };
            // The slot exists before the owner is asked: a caller that goes away midway ends what was granted.
            let number = place.next.fetch_add(1, Ordering::Relaxed);
            let slot = Slot { placement: place.clone(), number, refused: false };
            let req = Request {
                hold: HoldId { router: place.me, number },
                engine: step.engine.map(|c| c.id),
                pool: pool.id,
                work: ask.work,
                cached: step.engine.is_some_and(|c| c.cached > 0),
            };
            let reserved = place.reserve(cat, req, step.owner.as_ref()).await;
            match reserved.and_then(|id| pool.member(id)) {
                // An owner that chooses for itself does not know which engines have failed this request. The slot
                // is dropped here, which ends the reservation.
                Some(engine) if search.excludes(cat.engine(engine).id) => {}
                Some(engine) => return Ok(self.placed(cat, ask, &search, hint, engine, slot)),
                None => slot.refuse(),
            }
        }
        if search.any_in_use() { Err(Unplaced::AtBound) } else { Err(Unplaced::NoneInUse) }
    }

    fn placed(
        &self,
        cat: &Catalog,
        ask: &Ask,
        search: &Search,
        hint: Option<Hint>,
        key: EngineKey,
        slot: Slot,
    ) -> Placed {
        let mut placer = self.placement.placer();
        let engine = cat.engine(key);
        placer.cache.note_start(engine.id, search.chat());
        let copy = CachedCopy {
            engine: engine.name.clone(),
            start: placer.health.start(engine.id),
            tokens: u32::try_from(ask.work).unwrap_or(u32::MAX),
        };
        let mut hint = hint.unwrap_or_default();
        hint.home = search.home().clone();
        let hint = self.placement.hints.seal(&ask.chat, &hint.with_copy(copy));
        let router = placer.owner(engine.id, &engine.data_centre).map(|m| m.addr);
        Placed { engine: key, slot, hint, router }
    }

    /// Notes what a router says of the load of its engines in a pool.
    pub fn note_digest(&self, source: Id, pool: Id, digest: Digest, at: Instant) {
        self.placement.placer().note_digest(source, pool, digest, at);
    }

    /// Loads of this router's engines by pool, to be told to the other routers about once a second.
    pub fn digests(&self) -> Vec<(Id, Digest)> {
        let cat = self.catalog();
        let mut placer = self.placement.placer();
        cat.pools().map(|pool| (pool.id, placer.digest(&cat, pool, now()))).collect()
    }

    /// Sets the live routers, among which the engines are shared out.
    pub async fn set_members(&self, list: Vec<Member>) {
        let cat = read(&self.catalog).clone();
        self.placement.set_members(&cat, list).await;
    }
}

fn to_wire(req: &Request, running: bool) -> Reserve {
    Reserve {
        router: req.hold.router.0,
        number: req.hold.number,
        engine: req.engine.map_or(0, |id| id.0),
        pool: req.pool.0,
        work: req.work,
        running,
        cached: u32::from(req.cached),
    }
}

fn from_wire(msg: &Reserve) -> Request {
    Request {
        hold: HoldId { router: Id(msg.router), number: msg.number },
        engine: (msg.engine != 0).then_some(Id(msg.engine)),
        pool: Id(msg.pool),
        work: msg.work,
        cached: msg.cached > 0,
    }
}
