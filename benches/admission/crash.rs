//! One content crashes each engine that runs it and is sent again and again to different routers.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use cranberrytally::{
    schema::suspect::Digest,
    suspect::{
        CrashId, EngineHash, Fingerprint, Permits, RunKey, RunningContents, Standing, SuspectTable, Verdict,
    },
    util::Instant,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LENGTH: Duration = Duration::from_secs(60);
const RESTART: Duration = Duration::from_secs(10);
const KILL: Duration = Duration::from_millis(200);
const RUN: Duration = Duration::from_secs(2);
const GOSSIP: Duration = Duration::from_secs(1);
const FANOUT: usize = 3;
const DIGEST: usize = 256;
const NEWS: usize = 4096;
const PAUSE: Duration = Duration::from_millis(50);
const ONE_WAY: Duration = Duration::from_millis(2);
const FLAP: Duration = Duration::from_secs(3);
const FLAP_RESTART: Duration = Duration::from_secs(1);
const FIRST: Duration = Duration::from_secs(5);

/// What guards the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    /// Every crash is retried on another engine, up to three attempts.
    None,
    /// Each router for itself: suspects, its own permits, no news.
    Local,
    /// News by gossip only, its own permits.
    Gossip,
    /// News at once and by gossip, its own permits.
    News,
    /// News at once and by gossip, permits from one router.
    Full,
}

/// One scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// What guards the engines.
    pub guard: Protection,
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Innocent requests a second over the fleet.
    pub normal_per_s: f64,
    /// Callers that send the crashing content at the same time, each waiting for its answer before the next.
    pub senders: usize,
    /// Time from an answer to the same caller's next try.
    pub resend_delay: Duration,
    /// Share of the messages with news that are lost.
    pub lost: f64,
    /// Routers that give permits, each believed in by a part of the others: more than one while member lists
    /// differ.
    pub arbiters: usize,
    /// Engines that crash by themselves every few seconds.
    pub flapping: usize,
    /// Whether suspects keep away from engines that crashed lately.
    pub steady_only: bool,
    /// Whether the router itself tries again what an engine's crash broke.
    pub retry: bool,
}

impl Scenario {
    /// A data centre of today with one caller.
    pub fn new(guard: Protection) -> Self {
        Self {
            guard,
            routers: 8,
            engines: 9,
            normal_per_s: 20.0,
            senders: 1,
            resend_delay: Duration::from_millis(100),
            lost: 0.0,
            arbiters: 1,
            flapping: 0,
            steady_only: true,
            retry: true,
        }
    }
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Engines that crashed.
    pub crashes: u32,
    /// Crashes of engines by themselves.
    pub flaps: u32,
    /// Times that the crashing content was sent.
    pub sent: u32,
    /// Innocent requests.
    pub normal_requests: u32,
    /// Of these, answered.
    pub answered: u32,
    /// Innocent requests whose engine crashed under them.
    pub interrupted: u32,
    /// Innocent contents quarantined at some router at the end.
    pub falsely_quarantined: u32,
    /// Longest time of an innocent request to its answer.
    pub max_time: Duration,
    /// Bytes of news, all routers.
    pub bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Innocent,
    Send(usize),
    Try(usize),
    Finish(usize, u32),
    Kill(usize, u32),
    Restart(usize),
    Gossip,
    Flap(usize),
    News(usize, usize),
}

#[derive(Clone, Debug)]
struct Request {
    content: Fingerprint,
    guilty: bool,
    sender: usize,
    router: usize,
    since: Instant,
    attempt: u32,
    engine: Option<(usize, RunKey)>,
    permit: bool,
    waits: u32,
    done: bool,
}

#[derive(Default)]
struct Router {
    table: SuspectTable,
    running: RunningContents,
    permits: Permits,
}

struct World {
    cfg: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    seq: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    requests: Vec<Request>,
    routers: Vec<Router>,
    names: Vec<Arc<str>>,
    up: Vec<bool>,
    starts: Vec<u32>,
    digests: Vec<Digest>,
    figures: Figures,
}

/// Sums over several seeds; crashes and the worst time are those of the worst seed.
pub fn run_seeds(cfg: Scenario, seeds: std::ops::Range<u64>) -> Figures {
    let mut all = Figures::default();
    for f in seeds.map(|seed| run(cfg, seed)) {
        all.crashes = all.crashes.max(f.crashes);
        all.flaps += f.flaps;
        all.sent += f.sent;
        all.normal_requests += f.normal_requests;
        all.answered += f.answered;
        all.interrupted += f.interrupted;
        all.falsely_quarantined += f.falsely_quarantined;
        all.max_time = all.max_time.max(f.max_time);
        all.bytes += f.bytes;
    }
    all
}

/// Runs one scenario.
pub fn run(cfg: Scenario, seed: u64) -> Figures {
    let mut world = World {
        cfg,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Duration::ZERO,
        seq: 0,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        routers: (0..cfg.routers).map(|_| Router::default()).collect(),
        names: (0..cfg.engines).map(|i| format!("engine-{i}").into()).collect(),
        up: vec![true; cfg.engines],
        starts: vec![0; cfg.engines],
        digests: Vec::new(),
        figures: Figures::default(),
    };
    world.after(Duration::ZERO, Event::Innocent);
    world.after(Duration::ZERO, Event::Gossip);
    for engine in 0..cfg.flapping {
        world.after(FLAP * (engine as u32 + 1) / 2, Event::Flap(engine));
    }
    for sender in 0..cfg.senders {
        world.after(FIRST, Event::Send(sender));
    }
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.handle(event);
    }
    world.figures.falsely_quarantined = world.falsely_quarantined();
    world.figures
}

fn guilty() -> Fingerprint {
    Fingerprint::call("/guilty", b"")
}

impl World {
    fn after(&mut self, pause: Duration, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + pause, self.seq, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Innocent => self.innocent(),
            Event::Send(sender) => self.send(sender),
            Event::Try(id) => self.attempt(id),
            Event::Finish(id, attempt) => self.finish(id, attempt),
            Event::Kill(id, attempt) => self.kill(id, attempt),
            Event::Restart(engine) => self.up[engine] = true,
            Event::Gossip => self.gossip(),
            Event::Flap(engine) => self.flap(engine),
            Event::News(to, digest) => self.routers[to].table.merge(self.now, &self.digests[digest]),
        }
    }

    fn innocent(&mut self) {
        if self.now >= LENGTH {
            return;
        }
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / self.cfg.normal_per_s;
        self.after(Duration::from_secs_f64(pause), Event::Innocent);
        self.figures.normal_requests += 1;
        let content = Fingerprint::call("/innocent", &self.figures.normal_requests.to_le_bytes());
        let router = self.rng.random_range(0..self.cfg.routers);
        self.request(content, false, 0, router);
    }

    fn send(&mut self, sender: usize) {
        if self.now >= LENGTH {
            return;
        }
        let router = (sender + self.figures.sent as usize) % self.cfg.routers;
        self.figures.sent += 1;
        self.request(guilty(), true, sender, router);
    }

    fn request(&mut self, content: Fingerprint, guilty: bool, sender: usize, router: usize) {
        self.requests.push(Request {
            content,
            guilty,
            sender,
            router,
            since: self.now,
            attempt: 0,
            engine: None,
            permit: false,
            waits: 0,
            done: false,
        });
        self.after(Duration::ZERO, Event::Try(self.requests.len() - 1));
    }

    fn attempt(&mut self, id: usize) {
        let (content, router) = (self.requests[id].content, self.requests[id].router);
        let standing = match self.cfg.guard {
            Protection::None => Standing::Cleared,
            _ => self.routers[router].table.standing(self.now, content),
        };
        let up: Vec<_> = (0..self.cfg.engines).filter(|&e| self.up[e]).collect();
        if standing == Standing::Quarantined || self.requests[id].waits > 400 {
            return self.answer(id, false);
        }
        if up.is_empty() {
            return self.wait(id);
        }
        let steady = self.steady(router, up.clone());
        let up = if standing == Standing::Suspect && !steady.is_empty() { steady } else { up };
        let first = self.rng.random_range(0..up.len());
        if standing == Standing::Cleared {
            return self.start(id, up[first], false);
        }
        for i in 0..up.len() {
            let engine = up[(first + i) % up.len()];
            match self.ask(router, content, engine) {
                Verdict::Granted => return self.start(id, engine, true),
                Verdict::EngineTaken => continue,
                _ => break,
            }
        }
        self.wait(id);
    }

    fn steady(&self, router: usize, mut engines: Vec<usize>) -> Vec<usize> {
        if self.cfg.steady_only {
            let unsteady = self.routers[router].table.unstable_engines(self.now);
            engines.retain(|&e| !unsteady.contains(&EngineHash::new(&self.names[e])));
        }
        engines
    }

    fn flap(&mut self, engine: usize) {
        if self.now >= LENGTH {
            return;
        }
        let pause = FLAP.mul_f64(self.rng.random_range(0.5..1.5));
        self.after(pause, Event::Flap(engine));
        if self.up[engine] {
            self.figures.flaps += 1;
            self.crash(engine, FLAP_RESTART);
        }
    }

    fn wait(&mut self, id: usize) {
        self.requests[id].waits += 1;
        self.after(PAUSE, Event::Try(id));
    }

    fn arbiter(&self, router: usize) -> usize {
        if self.cfg.guard == Protection::Full { router % self.cfg.arbiters } else { router }
    }

    fn ask(&mut self, router: usize, content: Fingerprint, engine: usize) -> Verdict {
        let arbiter = self.arbiter(router);
        let name = self.names[engine].clone();
        self.routers[arbiter].permits.acquire(self.now, content, name, Duration::from_secs(30))
    }

    fn start(&mut self, id: usize, engine: usize, permit: bool) {
        let r = &mut self.requests[id];
        r.attempt += 1;
        let run = self.routers[r.router].running.start(&self.names[engine], r.content);
        (r.engine, r.permit) = (Some((engine, run)), permit);
        let (attempt, guilty) = (r.attempt, r.guilty);
        if guilty {
            self.after(KILL, Event::Kill(id, attempt));
        } else {
            self.after(RUN, Event::Finish(id, attempt));
        }
    }

    /// Ends the attempt's run at its engine; returns the engine and whether the attempt had a permit.
    fn end(&mut self, id: usize) -> Option<(usize, bool)> {
        let r = &mut self.requests[id];
        let (engine, run) = r.engine.take()?;
        let (router, permit, content) = (r.router, std::mem::take(&mut r.permit), r.content);
        self.routers[router].running.finish(&self.names[engine], run);
        if permit {
            let arbiter = self.arbiter(router);
            self.routers[arbiter].permits.release(content, &self.names[engine]);
        }
        Some((engine, permit))
    }

    fn finish(&mut self, id: usize, attempt: u32) {
        if self.requests[id].attempt != attempt || self.end(id).is_none() {
            return;
        }
        let (router, content) = (self.requests[id].router, self.requests[id].content);
        self.routers[router].table.clear(self.now, content);
        self.answer(id, true);
    }

    fn kill(&mut self, id: usize, attempt: u32) {
        let Some((engine, _)) = self.requests[id].engine else { return };
        if self.requests[id].attempt != attempt {
            return;
        }
        self.figures.crashes += 1;
        self.crash(engine, RESTART);
    }

    fn crash(&mut self, engine: usize, restart: Duration) {
        let crash = CrashId::new(&self.names[engine], &self.starts[engine].to_string());
        self.starts[engine] += 1;
        self.up[engine] = false;
        self.after(restart, Event::Restart(engine));
        let victims: Vec<_> = (0..self.requests.len())
            .filter(|&v| self.requests[v].engine.is_some_and(|(e, _)| e == engine))
            .collect();
        self.judge(&victims, engine, crash);
        for victim in victims {
            self.end(victim);
            self.broken(victim);
        }
    }

    /// What each router that had requests on the engine makes of the crash.
    fn judge(&mut self, victims: &[usize], engine: usize, crash: CrashId) {
        if self.cfg.guard == Protection::None {
            return;
        }
        let mut routers: Vec<_> = victims.iter().map(|&v| self.requests[v].router).collect();
        routers.sort_unstable();
        routers.dedup();
        for router in routers {
            let alone = victims.iter().map(|&v| &self.requests[v]).find(|r| r.router == router && r.permit);
            let contents = self.routers[router].running.contents_on(&self.names[engine]);
            match alone {
                Some(r) => {
                    self.routers[router].table.record_isolated_crash(self.now, r.content, &contents, crash);
                }
                None => {
                    self.routers[router].table.mark_suspects(self.now, &contents, crash);
                }
            }
            if matches!(self.cfg.guard, Protection::News | Protection::Full) {
                let all = (0..self.cfg.routers).filter(|&r| r != router).collect::<Vec<_>>();
                let news = self.routers[router].table.unsent(self.now, NEWS);
                self.tell(news, &all);
            }
        }
    }

    fn tell(&mut self, digest: Digest, to: &[usize]) {
        if digest.entries.is_empty() {
            return;
        }
        let size = postcard::to_stdvec(&digest).map_or(0, |b| b.len());
        self.digests.push(digest);
        let index = self.digests.len() - 1;
        for &router in to {
            self.figures.bytes += size;
            if !self.rng.random_bool(self.cfg.lost) {
                self.after(ONE_WAY, Event::News(router, index));
            }
        }
    }

    fn gossip(&mut self) {
        if self.now >= LENGTH {
            return;
        }
        self.after(GOSSIP, Event::Gossip);
        if matches!(self.cfg.guard, Protection::None | Protection::Local) {
            return;
        }
        for from in 0..self.cfg.routers {
            let to: Vec<_> = (0..FANOUT).map(|_| self.rng.random_range(0..self.cfg.routers)).collect();
            let digest = self.routers[from].table.digest(self.now, DIGEST);
            self.tell(digest, &to);
        }
    }

    fn broken(&mut self, id: usize) {
        let r = &self.requests[id];
        self.figures.interrupted += u32::from(!r.guilty);
        if (self.cfg.retry || !r.guilty) && r.attempt < 3 {
            self.after(Duration::from_millis(10), Event::Try(id));
        } else {
            self.answer(id, false);
        }
    }

    fn answer(&mut self, id: usize, whole: bool) {
        let r = &mut self.requests[id];
        if std::mem::replace(&mut r.done, true) {
            return;
        }
        let (guilty, sender, took) = (r.guilty, r.sender, self.now - r.since);
        if guilty {
            return self.after(self.cfg.resend_delay, Event::Send(sender));
        }
        if whole {
            self.figures.answered += 1;
            self.figures.max_time = self.figures.max_time.max(took);
        }
    }

    fn falsely_quarantined(&self) -> u32 {
        let quarantined = |content| {
            self.routers.iter().any(|r| r.table.standing(self.now, content) == Standing::Quarantined)
        };
        let innocent = self.requests.iter().filter(|r| !r.guilty);
        innocent.filter(|r| quarantined(r.content)).count() as u32
    }
}
