//! Simulation of a content that crashes each engine that executes it and is sent repeatedly to different routers.

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

/// Duration of a run.
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time that a crashed engine takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(10);
/// Time from the start of the crashing content until its engine crashes.
const CRASH_DELAY: Duration = Duration::from_millis(200);
/// Execution time of a normal request.
const EXECUTION_TIME: Duration = Duration::from_secs(2);
/// Time between two gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Number of routers to which each router gossips per round.
const GOSSIP_FANOUT: usize = 3;
/// Size limit of a gossiped digest.
const MAX_DIGEST_BYTES: usize = 256;
/// Size limit of a broadcast digest.
const MAX_BROADCAST_BYTES: usize = 4096;
/// Time until a request without an engine or a permit is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// One-way delay between routers.
const LINK_DELAY: Duration = Duration::from_millis(2);
/// Mean time between two crashes of a flapping engine.
const FLAP_INTERVAL: Duration = Duration::from_secs(3);
/// Time that a flapping engine takes to restart.
const FLAP_RESTART_TIME: Duration = Duration::from_secs(1);
/// Time at which the crashing content is first sent.
const FIRST_CRASHING_SEND: Duration = Duration::from_secs(5);

/// Protection of the engines against crashing contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    /// None: requests whose engine crashes are retried on another engine, up to three attempts.
    None,
    /// Each router has its own suspects and permits, and nothing is shared.
    Local,
    /// Suspects are shared by gossip only; each router has its own permits.
    Gossip,
    /// Suspects are broadcast immediately and gossiped; each router has its own permits.
    Broadcast,
    /// Suspects are broadcast immediately and gossiped; one router grants the permits.
    Full,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Protection of the engines.
    pub protection: Protection,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Normal requests per second, in the whole fleet.
    pub normal_per_s: f64,
    /// Number of callers that send the crashing content concurrently, each waiting for an answer before it sends again.
    pub senders: usize,
    /// Time from an answer until the same caller sends again.
    pub resend_delay: Duration,
    /// Share of the messages with suspects that are lost.
    pub loss_rate: f64,
    /// Number of routers that grant permits, each to a part of the others; more than one while member lists differ.
    pub arbiters: usize,
    /// Number of engines that crash every few seconds without a crashing content.
    pub flapping: usize,
    /// Whether suspects avoid engines that crashed recently.
    pub stable_engines_only: bool,
    /// Whether the router retries crashing requests after an engine's crash.
    pub retry: bool,
}

impl Scenario {
    /// A data centre of 8 routers and 9 engines, with one caller of the crashing content.
    pub fn new(protection: Protection) -> Self {
        Self {
            protection,
            routers: 8,
            engines: 9,
            normal_per_s: 20.0,
            senders: 1,
            resend_delay: Duration::from_millis(100),
            loss_rate: 0.0,
            arbiters: 1,
            flapping: 0,
            stable_engines_only: true,
            retry: true,
        }
    }
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Crashes of engines by the crashing content.
    pub crashes: u32,
    /// Crashes of flapping engines.
    pub flaps: u32,
    /// Number of times that the crashing content was sent.
    pub sent: u32,
    /// Number of normal requests.
    pub normal_requests: u32,
    /// Number of normal requests that were answered.
    pub answered: u32,
    /// Number of executions of normal requests that a crash interrupted.
    pub interrupted: u32,
    /// Number of contents of normal requests that some router has quarantined at the end.
    pub falsely_quarantined: u32,
    /// Longest time from a normal request's arrival to its answer.
    pub max_time: Duration,
    /// Bytes of digests sent by all routers.
    pub bytes: usize,
}

/// Scheduled events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    NormalRequest,
    Send(usize),
    Attempt(usize),
    Finish(usize, u32),
    Crash(usize, u32),
    Restart(usize),
    Gossip,
    Flap(usize),
    UpdateReceived(usize, usize),
}

/// A request and its current attempt.
#[derive(Clone, Debug)]
struct Request {
    content: Fingerprint,
    crashing: bool,
    sender: usize,
    router: usize,
    arrived_at: Instant,
    attempt: u32,
    engine: Option<(usize, RunKey)>,
    permit: bool,
    wait_count: u32,
    done: bool,
}

#[derive(Default)]
struct Router {
    table: SuspectTable,
    running: RunningContents,
    permits: Permits,
}

/// State of a run.
struct Simulation {
    cfg: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    event_seq: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    requests: Vec<Request>,
    routers: Vec<Router>,
    engine_names: Vec<Arc<str>>,
    is_up: Vec<bool>,
    engine_starts: Vec<u32>,
    sent_digests: Vec<Digest>,
    figures: Figures,
}

/// Runs a scenario with several seeds; returns the sums of the figures, but the maximum of crashes and time.
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

/// Runs a scenario with one seed.
pub fn run(cfg: Scenario, seed: u64) -> Figures {
    let mut simulation = Simulation {
        cfg,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Duration::ZERO,
        event_seq: 0,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        routers: (0..cfg.routers).map(|_| Router::default()).collect(),
        engine_names: (0..cfg.engines).map(|i| format!("engine-{i}").into()).collect(),
        is_up: vec![true; cfg.engines],
        engine_starts: vec![0; cfg.engines],
        sent_digests: Vec::new(),
        figures: Figures::default(),
    };
    simulation.schedule(Duration::ZERO, Event::NormalRequest);
    simulation.schedule(Duration::ZERO, Event::Gossip);
    for engine in 0..cfg.flapping {
        simulation.schedule(FLAP_INTERVAL * (engine as u32 + 1) / 2, Event::Flap(engine));
    }
    for sender in 0..cfg.senders {
        simulation.schedule(FIRST_CRASHING_SEND, Event::Send(sender));
    }
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.figures.falsely_quarantined = simulation.falsely_quarantined();
    simulation.figures
}

/// The content that crashes engines.
fn crashing_content() -> Fingerprint {
    Fingerprint::call("/guilty", b"")
}

impl Simulation {
    /// Schedules an event after a delay.
    fn schedule(&mut self, pause: Duration, event: Event) {
        self.event_seq += 1;
        self.events.push(Reverse((self.now + pause, self.event_seq, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NormalRequest => self.start_normal_request(),
            Event::Send(sender) => self.send(sender),
            Event::Attempt(id) => self.attempt(id),
            Event::Finish(id, attempt) => self.finish(id, attempt),
            Event::Crash(id, attempt) => self.crash_attempt(id, attempt),
            Event::Restart(engine) => self.is_up[engine] = true,
            Event::Gossip => self.gossip(),
            Event::Flap(engine) => self.flap(engine),
            Event::UpdateReceived(to, digest) => {
                self.routers[to].table.merge(self.now, &self.sent_digests[digest])
            }
        }
    }

    /// Sends a normal request to a random router, and schedules the next one.
    fn start_normal_request(&mut self) {
        if self.now >= RUN_TIME {
            return;
        }
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / self.cfg.normal_per_s;
        self.schedule(Duration::from_secs_f64(pause), Event::NormalRequest);
        self.figures.normal_requests += 1;
        let content = Fingerprint::call("/innocent", &self.figures.normal_requests.to_le_bytes());
        let router = self.rng.random_range(0..self.cfg.routers);
        self.request(content, false, 0, router);
    }

    /// Sends the crashing content to the next router.
    fn send(&mut self, sender: usize) {
        if self.now >= RUN_TIME {
            return;
        }
        let router = (sender + self.figures.sent as usize) % self.cfg.routers;
        self.figures.sent += 1;
        self.request(crashing_content(), true, sender, router);
    }

    fn request(&mut self, content: Fingerprint, crashing: bool, sender: usize, router: usize) {
        self.requests.push(Request {
            content,
            crashing,
            sender,
            router,
            arrived_at: self.now,
            attempt: 0,
            engine: None,
            permit: false,
            wait_count: 0,
            done: false,
        });
        self.schedule(Duration::ZERO, Event::Attempt(self.requests.len() - 1));
    }

    /// Starts an attempt of a request, if its content's standing and the engines allow it.
    fn attempt(&mut self, id: usize) {
        let (content, router) = (self.requests[id].content, self.requests[id].router);
        let standing = match self.cfg.protection {
            Protection::None => Standing::Cleared,
            _ => self.routers[router].table.standing(self.now, content),
        };
        let up: Vec<_> = (0..self.cfg.engines).filter(|&e| self.is_up[e]).collect();
        if standing == Standing::Quarantined || self.requests[id].wait_count > 400 {
            return self.complete_request(id, false);
        }
        if up.is_empty() {
            return self.retry_later(id);
        }
        let stable_engines = self.stable_engines(router, up.clone());
        let up =
            if standing == Standing::Suspect && !stable_engines.is_empty() { stable_engines } else { up };
        let first = self.rng.random_range(0..up.len());
        if standing == Standing::Cleared {
            return self.start(id, up[first], false);
        }
        for i in 0..up.len() {
            let engine = up[(first + i) % up.len()];
            match self.acquire_permit(router, content, engine) {
                Verdict::Granted => return self.start(id, engine, true),
                Verdict::EngineTaken => continue,
                _ => break,
            }
        }
        self.retry_later(id);
    }

    /// The engines that have not crashed recently, as far as a router knows.
    fn stable_engines(&self, router: usize, mut engines: Vec<usize>) -> Vec<usize> {
        if self.cfg.stable_engines_only {
            let unstable = self.routers[router].table.unstable_engines(self.now);
            engines.retain(|&e| !unstable.contains(&EngineHash::new(&self.engine_names[e])));
        }
        engines
    }

    /// Crashes a flapping engine, and schedules its next crash.
    fn flap(&mut self, engine: usize) {
        if self.now >= RUN_TIME {
            return;
        }
        let pause = FLAP_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(pause, Event::Flap(engine));
        if self.is_up[engine] {
            self.figures.flaps += 1;
            self.crash(engine, FLAP_RESTART_TIME);
        }
    }

    fn retry_later(&mut self, id: usize) {
        self.requests[id].wait_count += 1;
        self.schedule(RETRY_PAUSE, Event::Attempt(id));
    }

    /// The router that grants permits to a router.
    fn arbiter(&self, router: usize) -> usize {
        if self.cfg.protection == Protection::Full { router % self.cfg.arbiters } else { router }
    }

    /// Requests a permit from the router's arbiter.
    fn acquire_permit(&mut self, router: usize, content: Fingerprint, engine: usize) -> Verdict {
        let arbiter = self.arbiter(router);
        let name = self.engine_names[engine].clone();
        self.routers[arbiter].permits.acquire(self.now, content, name, Duration::from_secs(30))
    }

    fn start(&mut self, id: usize, engine: usize, permit: bool) {
        let r = &mut self.requests[id];
        r.attempt += 1;
        let run = self.routers[r.router].running.start(&self.engine_names[engine], r.content);
        (r.engine, r.permit) = (Some((engine, run)), permit);
        let (attempt, crashing) = (r.attempt, r.crashing);
        if crashing {
            self.schedule(CRASH_DELAY, Event::Crash(id, attempt));
        } else {
            self.schedule(EXECUTION_TIME, Event::Finish(id, attempt));
        }
    }

    /// Ends an attempt's execution on its engine; returns the engine and whether the attempt had a permit.
    fn end_run(&mut self, id: usize) -> Option<(usize, bool)> {
        let r = &mut self.requests[id];
        let (engine, run) = r.engine.take()?;
        let (router, permit, content) = (r.router, std::mem::take(&mut r.permit), r.content);
        self.routers[router].running.finish(&self.engine_names[engine], run);
        if permit {
            let arbiter = self.arbiter(router);
            self.routers[arbiter].permits.release(content, &self.engine_names[engine]);
        }
        Some((engine, permit))
    }

    fn finish(&mut self, id: usize, attempt: u32) {
        if self.requests[id].attempt != attempt || self.end_run(id).is_none() {
            return;
        }
        let (router, content) = (self.requests[id].router, self.requests[id].content);
        self.routers[router].table.clear(self.now, content);
        self.complete_request(id, true);
    }

    /// Crashes the engine of an attempt with the crashing content.
    fn crash_attempt(&mut self, id: usize, attempt: u32) {
        let Some((engine, _)) = self.requests[id].engine else { return };
        if self.requests[id].attempt != attempt {
            return;
        }
        self.figures.crashes += 1;
        self.crash(engine, RESTART_TIME);
    }

    /// Crashes an engine, which interrupts all attempts on it.
    fn crash(&mut self, engine: usize, restart: Duration) {
        let crash = CrashId::new(&self.engine_names[engine], &self.engine_starts[engine].to_string());
        self.engine_starts[engine] += 1;
        self.is_up[engine] = false;
        self.schedule(restart, Event::Restart(engine));
        let victims: Vec<_> = (0..self.requests.len())
            .filter(|&v| self.requests[v].engine.is_some_and(|(e, _)| e == engine))
            .collect();
        self.record_crash(&victims, engine, crash);
        for victim in victims {
            self.end_run(victim);
            self.fail_attempt(victim);
        }
    }

    /// Records a crash at each router that had requests on the engine, and broadcasts the resulting suspects.
    fn record_crash(&mut self, victims: &[usize], engine: usize, crash: CrashId) {
        if self.cfg.protection == Protection::None {
            return;
        }
        let mut routers: Vec<_> = victims.iter().map(|&v| self.requests[v].router).collect();
        routers.sort_unstable();
        routers.dedup();
        for router in routers {
            let isolated =
                victims.iter().map(|&v| &self.requests[v]).find(|r| r.router == router && r.permit);
            let contents = self.routers[router].running.contents_on(&self.engine_names[engine]);
            match isolated {
                Some(r) => {
                    self.routers[router].table.record_isolated_crash(self.now, r.content, &contents, crash);
                }
                None => {
                    self.routers[router].table.mark_suspects(self.now, &contents, crash);
                }
            }
            if matches!(self.cfg.protection, Protection::Broadcast | Protection::Full) {
                let all = (0..self.cfg.routers).filter(|&r| r != router).collect::<Vec<_>>();
                let update = self.routers[router].table.unsent(self.now, MAX_BROADCAST_BYTES);
                self.send_digest(update, &all);
            }
        }
    }

    /// Sends a digest to some routers.
    fn send_digest(&mut self, digest: Digest, to: &[usize]) {
        if digest.entries.is_empty() {
            return;
        }
        let size = postcard::to_stdvec(&digest).map_or(0, |b| b.len());
        self.sent_digests.push(digest);
        let index = self.sent_digests.len() - 1;
        for &router in to {
            self.figures.bytes += size;
            if !self.rng.random_bool(self.cfg.loss_rate) {
                self.schedule(LINK_DELAY, Event::UpdateReceived(router, index));
            }
        }
    }

    /// Runs a gossip round.
    fn gossip(&mut self) {
        if self.now >= RUN_TIME {
            return;
        }
        self.schedule(GOSSIP_INTERVAL, Event::Gossip);
        if matches!(self.cfg.protection, Protection::None | Protection::Local) {
            return;
        }
        for from in 0..self.cfg.routers {
            let to: Vec<_> = (0..GOSSIP_FANOUT).map(|_| self.rng.random_range(0..self.cfg.routers)).collect();
            let digest = self.routers[from].table.digest(self.now, MAX_DIGEST_BYTES);
            self.send_digest(digest, &to);
        }
    }

    /// Handles an attempt that a crash interrupted: retries the request, or fails it.
    fn fail_attempt(&mut self, id: usize) {
        let r = &self.requests[id];
        self.figures.interrupted += u32::from(!r.crashing);
        if (self.cfg.retry || !r.crashing) && r.attempt < 3 {
            self.schedule(Duration::from_millis(10), Event::Attempt(id));
        } else {
            self.complete_request(id, false);
        }
    }

    /// Completes a request with an answer or a refusal; callers of the crashing content send again.
    fn complete_request(&mut self, id: usize, is_answered: bool) {
        let r = &mut self.requests[id];
        if std::mem::replace(&mut r.done, true) {
            return;
        }
        let (crashing, sender, time) = (r.crashing, r.sender, self.now - r.arrived_at);
        if crashing {
            return self.schedule(self.cfg.resend_delay, Event::Send(sender));
        }
        if is_answered {
            self.figures.answered += 1;
            self.figures.max_time = self.figures.max_time.max(time);
        }
    }

    /// Number of contents of normal requests that some router has quarantined.
    fn falsely_quarantined(&self) -> u32 {
        let quarantined = |content| {
            self.routers.iter().any(|r| r.table.standing(self.now, content) == Standing::Quarantined)
        };
        let start_normal_request = self.requests.iter().filter(|r| !r.crashing);
        start_normal_request.filter(|r| quarantined(r.content)).count() as u32
    }
}
