//! The decision logic of several routers under virtual time: a table of arrivals and engine changes, and what
//! came of them. Not a simulator of hosts or links: a message arrives when it is sent, views are late by table.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use cranberrytally::{
    catalog::{AnyObject, Catalog, Id, Object},
    place::{
        Placer, ReservationRequest,
        cache::CacheEvent,
        hint::{CachedCopy, Hint},
        ledger::ReservationId,
        members::Member,
        search::Search,
        transfer::TransferCosts,
    },
    schema::object::Meta,
    util::{Instant, Map, hash},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

mod cache;
mod policy;
mod setup;

use cache::Cache;
pub use setup::{Policy, Setup};

type Micros = u64;

const SECOND: Micros = 1_000_000;
const REPORT_LAG: Micros = 2 * SECOND;
/// One of this many cache events is lost.
const EVENTS_PER_LOSS: u64 = 50;
const REPORT_PERIOD: Micros = SECOND / 2;
/// Routers learn of a change at different times, up to this much apart.
const LIST_LAG: f64 = 5.0;
const RELEASE_PERIOD: Micros = SECOND / 4;
const DIGEST_PERIOD: Micros = SECOND;
const TOKEN_S: f64 = 0.034;
const MEAN_OUTPUT: f64 = 282.0;
const SYSTEM_PROMPT: u32 = 500;
const USER_PROMPT: u32 = 60;
/// A chat ends after this many turns, on average.
const TURNS: f64 = 6.0;
const MEAN_CONTEXT: f64 = 1_900.0;

/// What a run gave.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    pub requests: u64,
    /// Tokens of returning chats' contexts that were found cached, over all such tokens.
    pub reuse: f64,
    /// The same with contexts that were moved from another engine.
    pub reuse_moved: f64,
    /// Busiest engine over the mean: the worst sample.
    pub worst: f64,
    /// Busiest engine over the mean: the mean over samples.
    pub usual: f64,
    /// Samples in which an engine stood above the bound.
    pub over: u64,
    pub samples: u64,
    /// The worst sample and the samples above the bound, over engines in use only: without those held down.
    pub worst_in_use: f64,
    pub over_in_use: u64,
    /// Messages between routers for each request: reservations and their answers, releases.
    pub messages: f64,
    /// Reservations asked for each request, this router's own included.
    pub asks: f64,
    /// Engines scored for each request.
    pub scored: f64,
    /// Attempts at an engine that was not there, for each request.
    pub failed: f64,
    /// Share of the requests for which every engine asked stood at the bound.
    pub refused: f64,
}

struct Engine {
    id: Id,
    name: Arc<str>,
    data_centre: String,
    cache: Cache,
    alive: bool,
    listed: bool,
    leaving: bool,
    start: u64,
    work: u64,
    running: u32,
    /// Number of the latest cache event.
    event: u64,
}

#[derive(Clone, Default)]
struct Chat {
    generation: u32,
    turn: u32,
    context: u32,
    busy: bool,
    router: u16,
    hint: Option<Box<Hint>>,
}

struct Running {
    chat: u32,
    engine: usize,
    router: usize,
    router_id: Id,
    owner: usize,
    number: u64,
    work: u64,
}

struct Router {
    id: Id,
    data_centre: String,
    placer: Placer,
    cat: Arc<Catalog>,
    next: u64,
    /// For the ways that count their own dispatches: work sent since the latest report.
    since: Vec<i64>,
    log: VecDeque<(Micros, usize, i64)>,
    /// Engines that this router believes down.
    down: Vec<bool>,
    turn: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(usize, u32),
    Down(usize, bool),
    Up(usize),
    Leave(usize),
    Remove(usize),
    Join,
    Learn(usize, usize, News),
    LearnCatalog(usize, usize),
    LearnMembers(usize),
    Restart(usize),
    Report,
    Digest(usize),
    Sample,
    Release(usize),
    Surge(bool),
    /// An engine's cache event of an eviction reaches its owner.
    Evicted(usize, u64, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum News {
    Down,
    Up(u64),
    Leaving,
}

struct World {
    setup: Setup,
    policy: Policy,
    now: Micros,
    rng: StdRng,
    engines: Vec<Engine>,
    by_id: Map<Id, usize>,
    routers: Vec<Router>,
    catalogs: Vec<Arc<Catalog>>,
    chats: Vec<Chat>,
    running: Vec<Option<Running>>,
    /// Which run of a slot is on, so that the end of a request that was cut is passed over.
    run_of: Vec<u32>,
    free: Vec<usize>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    /// Reports on their way, and the latest that arrived: requests and work of each engine.
    reports: VecDeque<(Micros, Vec<(u32, u64)>)>,
    report: Vec<(u32, u64)>,
    /// Releases not yet told, by router and owner.
    ended: Vec<Vec<Vec<(Id, u64)>>>,
    cumulative: Vec<f64>,
    first_chat: Vec<u32>,
    tally: Tally,
}

#[derive(Default)]
struct Tally {
    requests: u64,
    context: u64,
    found: u64,
    moved: u64,
    messages: u64,
    asks: u64,
    scored: u64,
    failed: u64,
    refused: u64,
    worst: f64,
    sum: f64,
    over: u64,
    worst_in_use: f64,
    over_in_use: u64,
    samples: u64,
}

/// Runs `policy` under `setup`.
pub fn run(setup: &Setup, policy: Policy) -> Outcome {
    let mut world = World::new(setup.clone(), policy);
    world.script();
    world.go();
    let t = &world.tally;
    let per_request = |n: u64| n as f64 / t.requests.max(1) as f64;
    Outcome {
        requests: t.requests,
        reuse: t.found as f64 / t.context.max(1) as f64,
        reuse_moved: (t.found + t.moved) as f64 / t.context.max(1) as f64,
        worst: t.worst,
        usual: t.sum / t.samples.max(1) as f64,
        over: t.over,
        samples: t.samples,
        worst_in_use: t.worst_in_use,
        over_in_use: t.over_in_use,
        messages: per_request(t.messages),
        asks: per_request(t.asks),
        scored: per_request(t.scored),
        failed: per_request(t.failed),
        refused: per_request(t.refused),
    }
}

impl World {
    fn new(setup: Setup, policy: Policy) -> Self {
        let weights = setup.weights();
        let total: f64 = weights.iter().sum();
        let mut first_chat = vec![0];
        let mut sum = 0.0;
        for w in &weights {
            sum += w / total;
            first_chat.push((sum * f64::from(setup.chats)).round() as u32);
        }
        let mut world = Self {
            rng: StdRng::seed_from_u64(setup.seed),
            now: 0,
            engines: Vec::new(),
            by_id: Map::default(),
            routers: Vec::new(),
            catalogs: Vec::new(),
            chats: vec![Chat::default(); setup.chats as usize],
            running: Vec::new(),
            run_of: Vec::new(),
            free: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            reports: VecDeque::new(),
            report: Vec::new(),
            ended: vec![vec![Vec::new(); setup.routers]; setup.routers],
            cumulative: Vec::new(),
            first_chat,
            tally: Tally::default(),
            setup,
            policy,
        };
        for _ in 0..world.setup.engines {
            world.add_engine();
        }
        world.publish();
        for r in 0..world.setup.routers {
            let router = world.new_router(r, 0);
            world.routers.push(router);
        }
        for r in 0..world.setup.routers {
            world.learn_members(r);
        }
        world.set_surge(false);
        world
    }

    fn instant(&self) -> Instant {
        Duration::from_micros(self.now)
    }

    fn at(&mut self, time: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn add_engine(&mut self) -> usize {
        let at = self.engines.len();
        let name: Arc<str> = format!("engine-{at}").into();
        let share = f64::from(self.setup.chats) / self.setup.engines as f64 * MEAN_CONTEXT;
        let id = Id::of(&name);
        self.engines.push(Engine {
            id,
            name,
            data_centre: format!("dc-{}", at % self.setup.data_centres),
            cache: Cache::new((share * self.setup.memory) as u64),
            alive: true,
            listed: true,
            leaving: false,
            start: 1,
            work: 0,
            running: 0,
            event: 0,
        });
        self.by_id.insert(id, at);
        self.report.push((0, 0));
        for r in &mut self.routers {
            r.since.push(0);
            r.down.push(false);
        }
        at
    }

    fn publish(&mut self) {
        let mut objects: Vec<AnyObject> = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, e)| e.listed)
            .map(|(at, e)| {
                let port = 1_024 + at;
                let address = format!("127.0.0.1:{port}");
                let spec =
                    serde_json::json!({ "address": address, "dataCentre": e.data_centre, "capacity": 32 });
                object("Engine", &e.name, spec)
            })
            .collect();
        let bound = self.setup.bound_milli;
        objects.push(object("EnginePool", "pool", serde_json::json!({ "loadBoundMilli": bound })));
        objects.push(object("RoutingPolicy", "all", serde_json::json!({ "pool": "pool" })));
        objects.push(object("Workspace", "workspace", serde_json::json!({})));
        let version = self.catalogs.len() as u64 + 1;
        let (cat, faults) = Catalog::compile(version, &objects);
        assert!(faults.is_empty(), "{faults:?}");
        self.catalogs.push(Arc::new(cat));
    }

    fn new_router(&self, r: usize, run: u32) -> Router {
        let id = Id::of(&format!("router-{r}-{run}"));
        let data_centre = format!("dc-{}", r % self.setup.data_centres);
        let mut placer = Placer::new(id, data_centre.as_str());
        for e in self.engines.iter().filter(|e| e.alive) {
            placer.health.set_start(e.id, e.start);
        }
        Router {
            id,
            data_centre,
            placer,
            cat: self.catalogs[self.catalogs.len() - 1].clone(),
            next: 0,
            since: vec![0; self.engines.len()],
            log: VecDeque::new(),
            down: vec![false; self.engines.len()],
            turn: r * 7,
        }
    }

    fn member(&self, r: usize) -> Member {
        let router = &self.routers[r];
        Member {
            id: router.id,
            data_centre: router.data_centre.as_str().into(),
            region: "region".into(),
            peer: ([127, 0, 0, 1], 1 + r as u16).into(),
            addr: ([127, 0, 0, 1], 1 + r as u16).into(),
        }
    }

    /// Takes over the list of routers as it is now; work held at a former owner is made known to the new one.
    fn learn_members(&mut self, r: usize) {
        let list = match self.policy {
            Policy::Shares => vec![self.member(r)],
            _ => (0..self.routers.len()).map(|r| self.member(r)).collect(),
        };
        let now = self.instant();
        self.routers[r].placer.set_members(list, now);
        if self.policy != Policy::Owners {
            return;
        }
        for slot in 0..self.running.len() {
            let Some(run) = self.running[slot].as_ref().filter(|run| run.router == r) else { continue };
            let (id, number, work, old) = (self.engines[run.engine].id, run.number, run.work, run.owner);
            let owner = self.owner(r, run.engine);
            if owner == old {
                continue;
            }
            let reservation = ReservationId { router: self.routers[r].id, number };
            let pool = self.pool_id();
            let req = ReservationRequest { reservation, engine: Some(id), pool, work, above_mean: false };
            self.routers[owner].placer.adopt(&req, now);
            self.ended[r][old].push((reservation.router, number));
            self.tally.messages += 2;
            if let Some(run) = self.running[slot].as_mut() {
                run.owner = owner;
            }
        }
    }

    fn pool_id(&self) -> Id {
        Id::of("pool")
    }

    fn owner(&mut self, r: usize, engine: usize) -> usize {
        let e = &self.engines[engine];
        let member = self.routers[r].placer.owner(e.id, &e.data_centre);
        member.map_or(r, |m| usize::from(m.peer.port()) - 1)
    }

    /// The table of changes: engines flap, engines are replaced, a router is replaced, workspaces surge.
    fn script(&mut self) {
        let (from, to) = (self.setup.warm, self.setup.seconds);
        let count = |share: f64| (share * self.setup.engines as f64).round() as usize;
        let (flapping, replaced) = (count(self.setup.flapping), count(self.setup.replaced));
        let micros = |s: f64| (s * SECOND as f64) as Micros;
        for i in 0..flapping {
            let mut t = from + 5.0 + (to - from) * 0.3 * i as f64 / flapping as f64;
            for flap in 0..4 {
                let engine = i * self.setup.engines / flapping;
                self.at(micros(t), Event::Down(engine, flap % 2 == 0));
                let gone = self.rng.random_range(2.0..8.0);
                self.at(micros(t + gone), Event::Up(engine));
                t += gone + self.rng.random_range(10.0..40.0);
            }
        }
        for i in 0..replaced {
            let t = from + (to - from) * (i as f64 + 0.5) / replaced as f64;
            let engine = (i * self.setup.engines / replaced + 1) % self.setup.engines;
            self.at(micros(t), if i % 2 == 0 { Event::Leave(engine) } else { Event::Down(engine, true) });
            self.at(micros(t + 30.0), Event::Remove(engine));
            self.at(micros(t + 5.0), Event::Join);
        }
        if self.setup.restart {
            self.at(micros((from + to) / 2.0), Event::Restart(1));
        }
        if let Some(surge) = self.setup.surge {
            self.at(micros(surge.from), Event::Surge(true));
            self.at(micros(surge.to), Event::Surge(false));
        }
        self.at(REPORT_PERIOD, Event::Report);
        self.at(SECOND, Event::Sample);
        for r in 0..self.setup.routers {
            let phase = DIGEST_PERIOD * r as u64 / self.setup.routers as u64;
            self.at(phase, Event::Digest(r));
            self.at(phase, Event::Release(r));
        }
    }

    fn set_surge(&mut self, on: bool) {
        let mut weights = self.setup.weights();
        let total: f64 = weights.iter().sum();
        if on {
            self.setup.surging().iter().for_each(|&w| weights[w] *= 10.0);
        }
        let mut sum = 0.0;
        self.cumulative = weights
            .iter()
            .map(|w| {
                sum += w / total;
                sum
            })
            .collect();
    }

    fn go(&mut self) {
        let end = (self.setup.seconds * SECOND as f64) as Micros;
        let mut arrival = 0;
        while self.now < end {
            match self.events.peek() {
                Some(Reverse((time, _, event))) if *time <= arrival => {
                    self.now = *time;
                    let event = *event;
                    self.events.pop();
                    self.handle(event);
                }
                _ => {
                    self.now = arrival;
                    self.arrive();
                    let scale = self.cumulative[self.cumulative.len() - 1];
                    let rate = self.setup.rate * self.setup.engines as f64 * scale;
                    let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
                    arrival = self.now + (gap * SECOND as f64) as Micros + 1;
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Finish(slot, run) if self.run_of[slot] == run => self.finish(slot),
            Event::Finish(..) => {}
            Event::Down(engine, crash) => self.down(engine, crash),
            Event::Up(engine) => {
                self.engines[engine].alive = true;
                self.tell(engine, News::Up(self.engines[engine].start));
            }
            Event::Leave(engine) => {
                self.engines[engine].leaving = true;
                self.tell(engine, News::Leaving);
            }
            Event::Remove(engine) => {
                self.engines[engine].listed = false;
                self.engines[engine].alive = false;
                self.spread_catalog();
            }
            Event::Join => {
                self.add_engine();
                self.spread_catalog();
            }
            Event::Learn(r, engine, news) => self.learn(r, engine, news),
            Event::LearnCatalog(r, version) => {
                let cat = self.catalogs[version].clone();
                if cat.version > self.routers[r].cat.version {
                    let now = self.instant();
                    self.routers[r].placer.expire(&cat, now);
                    self.routers[r].cat = cat;
                }
            }
            Event::LearnMembers(r) => self.learn_members(r),
            Event::Restart(r) => self.restart(r),
            Event::Report => self.take_reports(),
            Event::Digest(r) => self.send_digest(r),
            Event::Sample => self.sample(),
            Event::Release(r) => self.release(r),
            Event::Surge(on) => self.set_surge(on),
            Event::Evicted(engine, event, chat) => {
                let owner = self.owner(0, engine);
                let (id, chat) = (self.engines[engine].id, hash(chat.to_string().as_str()));
                self.routers[owner].placer.cache.record(id, event, CacheEvent::Evicted(chat));
            }
        }
    }

    /// Each router learns of a change at its own time.
    fn spread(&mut self, event: impl Fn(usize) -> Event) {
        for r in 0..self.routers.len() {
            let lag = (self.rng.random_range(0.0..LIST_LAG) * SECOND as f64) as Micros;
            self.at(self.now + lag, event(r));
        }
    }

    fn tell(&mut self, engine: usize, news: News) {
        self.spread(|r| Event::Learn(r, engine, news));
    }

    fn spread_catalog(&mut self) {
        self.publish();
        let version = self.catalogs.len() - 1;
        self.spread(|r| Event::LearnCatalog(r, version));
    }

    fn learn(&mut self, r: usize, engine: usize, news: News) {
        let (id, now) = (self.engines[engine].id, self.instant());
        let router = &mut self.routers[r];
        router.down[engine] = !matches!(news, News::Up(_));
        let health = &mut router.placer.health;
        match news {
            News::Down => health.mark_down(id, now),
            News::Up(start) => {
                health.set_start(id, start);
                health.mark_up(id, now);
            }
            News::Leaving => health.mark_leaving(id),
        }
    }

    fn down(&mut self, engine: usize, crash: bool) {
        let e = &mut self.engines[engine];
        e.alive = false;
        if crash {
            e.cache.clear();
            e.start += 1;
        }
        self.end_where(|run| run.engine == engine);
        self.tell(engine, News::Down);
    }

    fn restart(&mut self, r: usize) {
        self.end_where(|run| run.router == r);
        self.routers[r] = self.new_router(r, 1);
        self.learn_members(r);
        self.spread(Event::LearnMembers);
    }

    fn end_where(&mut self, over: impl Fn(&Running) -> bool) {
        for slot in 0..self.running.len() {
            if self.running[slot].as_ref().is_some_and(&over) {
                self.finish(slot);
            }
        }
    }

    fn finish(&mut self, slot: usize) {
        let Some(run) = self.running[slot].take() else { return };
        self.run_of[slot] += 1;
        self.free.push(slot);
        self.chats[run.chat as usize].busy = false;
        let e = &mut self.engines[run.engine];
        e.work -= run.work;
        e.running -= 1;
        self.note_sent(run.router, run.engine, -(run.work as i64));
        if matches!(self.policy, Policy::Owners | Policy::Shares) {
            self.ended[run.router][run.owner].push((run.router_id, run.number));
            if run.owner == run.router {
                self.release_to(run.router, run.owner);
            }
        }
    }

    fn release(&mut self, r: usize) {
        for owner in 0..self.routers.len() {
            if owner != r && !self.ended[r][owner].is_empty() {
                self.tally.messages += if self.counting() { 2 } else { 0 };
                self.release_to(r, owner);
            }
        }
        self.at(self.now + RELEASE_PERIOD, Event::Release(r));
    }

    fn release_to(&mut self, r: usize, owner: usize) {
        let now = self.instant();
        for (router, number) in std::mem::take(&mut self.ended[r][owner]) {
            self.routers[owner].placer.release(router, [number], now);
        }
    }

    fn take_reports(&mut self) {
        let sample = self.engines.iter().map(|e| (e.running, e.work)).collect();
        self.reports.push_back((self.now, sample));
        self.at(self.now + REPORT_PERIOD, Event::Report);
        while self.reports.front().is_some_and(|(at, _)| at + REPORT_LAG <= self.now) {
            let Some((_, sample)) = self.reports.pop_front() else { break };
            self.report[..sample.len()].copy_from_slice(&sample);
        }
        let horizon = self.now.saturating_sub(REPORT_LAG);
        for router in &mut self.routers {
            while router.log.front().is_some_and(|(at, _, _)| *at < horizon) {
                let Some((_, engine, work)) = router.log.pop_front() else { break };
                router.since[engine] -= work;
            }
        }
        if self.policy == Policy::Owners {
            for engine in 0..self.engines.len() {
                if !self.engines[engine].listed {
                    continue;
                }
                let owner = self.owner(engine % self.routers.len(), engine);
                let (id, running, now) = (self.engines[engine].id, self.report[engine].0, self.instant());
                self.routers[owner].placer.ledger.record_report(id, running, now);
            }
        }
    }

    fn send_digest(&mut self, r: usize) {
        self.at(self.now + DIGEST_PERIOD, Event::Digest(r));
        if self.policy != Policy::Owners {
            return;
        }
        let (now, cat, id) = (self.instant(), self.routers[r].cat.clone(), self.routers[r].id);
        let Some(pool) = cat.pool_by_id(self.pool_id()) else { return };
        let digest = self.routers[r].placer.digest(&cat, pool, now);
        for other in &mut self.routers {
            other.placer.record_digest(id, pool.id, digest, now);
        }
    }

    fn sample(&mut self) {
        self.at(self.now + SECOND, Event::Sample);
        if !self.counting() {
            return;
        }
        let ratio = self.skew(|_| true);
        let in_use: Vec<_> = (0..self.engines.len()).map(|e| self.in_use(e)).collect();
        let ratio_in_use = self.skew(|e| in_use[e]);
        let t = &mut self.tally;
        t.worst_in_use = t.worst_in_use.max(ratio_in_use);
        t.over_in_use += u64::from(ratio_in_use > f64::from(self.setup.bound_milli) / 1_000.0);
        t.samples += 1;
        t.sum += ratio;
        t.worst = t.worst.max(ratio);
        t.over += u64::from(ratio > f64::from(self.setup.bound_milli) / 1_000.0);
    }

    fn counting(&self) -> bool {
        self.now as f64 >= self.setup.warm * SECOND as f64
    }

    /// Whether the engine's owner gives it work; a flapping engine is held down for a while.
    fn in_use(&mut self, engine: usize) -> bool {
        if self.policy != Policy::Owners {
            return true;
        }
        let owner = self.owner(0, engine);
        self.routers[owner].placer.health.is_available(self.engines[engine].id, self.instant())
    }

    /// Busiest over mean of the live engines that `count` takes in.
    fn skew(&self, count: impl Fn(usize) -> bool) -> f64 {
        let live = |at: &usize| {
            let e = &self.engines[*at];
            e.alive && e.listed && !e.leaving && count(*at)
        };
        let works = (0..self.engines.len()).filter(live).map(|e| self.engines[e].work);
        let (n, sum, busiest) = works.fold((0u64, 0, 0), |(n, sum, max), w| (n + 1, sum + w, w.max(max)));
        busiest as f64 * n as f64 / sum.max(1) as f64
    }

    fn arrive(&mut self) {
        let Some(chat) = self.pick_chat() else { return };
        let c = &mut self.chats[chat as usize];
        if c.turn > 0 && self.rng.random_bool(1.0 / TURNS) {
            *c = Chat { generation: c.generation + 1, ..Chat::default() };
        }
        let output = -MEAN_OUTPUT * self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
        let output = output.clamp(8.0, 2_000.0) as u32;
        let named = c.turn > 0 && self.rng.random_bool(self.setup.named);
        let (first, chosen) = (c.turn == 0, usize::from(c.router));
        let mut router = if named { chosen } else { self.rng.random_range(0..self.routers.len()) };
        if first && self.setup.entered > 0.0 && self.rng.random_bool(self.setup.entered) {
            router = self.entry(router, chat);
        }
        let c = &self.chats[chat as usize];
        let prompt = if c.turn == 0 { SYSTEM_PROMPT + USER_PROMPT } else { c.context + USER_PROMPT };
        let (context, returning) = (c.context, c.turn > 0);
        let work = u64::from(prompt) + MEAN_OUTPUT as u64;
        let counted = self.counting();
        let t = &self.tally;
        let before = (t.messages, t.asks, t.scored, t.failed, t.refused);
        let placed = self.place(router, chat, work);
        if !counted {
            let t = &mut self.tally;
            (t.messages, t.asks, t.scored, t.failed, t.refused) = before;
        }
        self.tally.requests += u64::from(counted);
        let Some((engine, owner, number)) = placed else { return };
        let key = self.chat_key(chat);
        let found = self.engines[engine].cache.tokens(key).min(context);
        let moved = if found < context { self.movable(chat, engine, context) } else { found };
        if counted && returning {
            self.tally.context += u64::from(context);
            self.tally.found += u64::from(found);
            self.tally.moved += u64::from(moved.max(found) - found);
        }
        self.start(chat, router, engine, owner, number, work, prompt + output, output);
    }

    #[allow(clippy::too_many_arguments)]
    fn start(
        &mut self,
        chat: u32,
        router: usize,
        engine: usize,
        owner: usize,
        number: u64,
        work: u64,
        context: u32,
        output: u32,
    ) {
        let key = self.chat_key(chat);
        let e = &mut self.engines[engine];
        e.work += work;
        e.running += 1;
        let evicted = e.cache.store(key, context);
        let copy = CachedCopy { engine: e.name.clone(), start: e.start, tokens: context };
        self.note_sent(router, engine, work as i64);
        self.publish_evictions(engine, &evicted);
        let chat_hash = hash(key.to_string().as_str());
        self.routers[router].placer.cache.mark_cached(self.engines[engine].id, chat_hash);
        let named = self.owner(router, engine);
        let home: Arc<str> = self.routers[router].data_centre.as_str().into();
        let c = &mut self.chats[chat as usize];
        let hint = c.hint.take().map_or(Hint { home, copies: Vec::new() }, |h| *h);
        c.hint = Some(Box::new(hint.with_copy(copy)));
        (c.turn, c.context, c.busy, c.router) = (c.turn + 1, context, true, named as u16);
        let run = Running { chat, engine, router, router_id: self.routers[router].id, owner, number, work };
        let slot = self.free.pop().unwrap_or_else(|| {
            self.running.push(None);
            self.run_of.push(0);
            self.running.len() - 1
        });
        self.running[slot] = Some(run);
        let end = self.now + (f64::from(output) * TOKEN_S * SECOND as f64) as Micros;
        self.at(end, Event::Finish(slot, self.run_of[slot]));
    }

    fn publish_evictions(&mut self, engine: usize, evicted: &[u64]) {
        if !self.setup.cache_events || self.policy != Policy::Owners {
            return;
        }
        for &chat in evicted {
            self.engines[engine].event += 1;
            let event = self.engines[engine].event;
            if !hash((engine, event)).is_multiple_of(EVENTS_PER_LOSS) {
                self.at(self.now + REPORT_LAG, Event::Evicted(engine, event, chat));
            }
        }
    }

    fn pick_chat(&mut self) -> Option<u32> {
        let scale = self.cumulative[self.cumulative.len() - 1];
        let point = self.rng.random_range(0.0..scale);
        let workspace = self.cumulative.partition_point(|&sum| sum <= point);
        let (from, to) = (self.first_chat[workspace], self.first_chat[workspace + 1]);
        let mut draw = || (from < to).then(|| self.rng.random_range(from..to));
        (0..4).find_map(|_| draw().filter(|&c| !self.chats[c as usize].busy))
    }

    fn chat_key(&self, chat: u32) -> u64 {
        hash((chat, self.chats[chat as usize].generation))
    }

    /// Tokens of a context that an export from another live engine brings, where that is quicker.
    fn movable(&self, chat: u32, to: usize, context: u32) -> u32 {
        let Some(hint) = &self.chats[chat as usize].hint else { return 0 };
        let key = self.chat_key(chat);
        let from = hint.copies.iter().filter_map(|c| self.by_id.get(&Id::of(&c.engine)));
        let tokens = from
            .filter(|&&e| e != to && self.engines[e].alive)
            .map(|&e| self.engines[e].cache.tokens(key).min(context))
            .max()
            .unwrap_or(0);
        if TransferCosts::default().is_transfer_faster(tokens) { tokens } else { 0 }
    }
}

/// An object of the configuration without labels.
pub fn object(kind: &str, name: &str, spec: serde_json::Value) -> AnyObject {
    Object { kind: kind.into(), metadata: Meta { name: name.into(), ..Meta::default() }, spec }
}
