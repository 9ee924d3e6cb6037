//! Claims in virtual time: the routers' real decisions, with small fakes of the platform, the links, a backend
//! server and callers between them. Seeded; faults come from a [`Faults`] table, weakenings from [`Weakening`].

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use cranberrytally::{
    catalog::AnyObject,
    claim::{
        AttemptId, ClaimRequest, Clock, ContentDigest, KeyDigest, Record, StoredResponse, Verdict,
        attempt::{DispatchedClaim, GrantedClaim, RequestedClaim},
        shard::{SHARD_KIND, Shard, read_archive},
        shard_claims::{Op, OpResult, ShardClaims, ShardClaimsConfig},
        ticket_claims::{Step, TicketClaims},
    },
    client::Failure,
    objects::Write,
    outcome::{DispatchFailure, NotRunProof, Undispatched},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

mod holder;
mod keeper;
mod options;
mod store;

pub use options::{ClaimStorage, Faults, Weakening};

pub type Ms = u64;

type Start = u32;
type ReqId = u64;

#[derive(Clone, Debug)]
enum Msg {
    Ask {
        from: usize,
        start: Start,
        req: ReqId,
        ask: ClaimRequest,
        ticket: Option<(usize, Start)>,
    },
    Verdict {
        req: ReqId,
        attempt: AttemptId,
        verdict: Verdict,
    },
    Finish {
        ask: ClaimRequest,
        record: Record,
        ticket: Option<(usize, Start)>,
    },
    Release {
        key: KeyDigest,
        attempt: AttemptId,
        ticket: Option<(usize, Start)>,
    },
    /// The authority of a ticket hands a record on to the key's shard.
    Keep {
        ask: ClaimRequest,
        record: Record,
    },
    /// The authority of a ticket hands a release on to the key's shard.
    Drop {
        key: KeyDigest,
        attempt: AttemptId,
    },
}

#[derive(Clone, Debug)]
enum Event {
    Send { caller: usize, router: usize },
    Link { to: usize, start: Start, msg: Msg },
    Store { router: usize, start: Start, book: u64, op: Op, tell: bool },
    Stored { router: usize, start: Start, book: u64, done: OpResult },
    Wake { router: usize, start: Start, book: u64 },
    Recorded { router: usize, start: Start, waiter: u64 },
    Dispatch { router: usize, start: Start, req: ReqId },
    Backend { router: usize, start: Start, req: ReqId, caller: usize, attempt: AttemptId, broken: bool },
    Reply { router: usize, start: Start, req: ReqId, run: Option<u64> },
    GiveUp { router: usize, start: Start, req: ReqId },
    Crash { router: usize },
    Leave { router: usize },
    Pause { router: usize, ms: Ms },
    Views,
    Outage { on: bool },
}

impl Event {
    /// The process that must run for the event to happen.
    fn process(&self) -> Option<(usize, Start)> {
        match self {
            Event::Link { to: router, start, .. }
            | Event::Stored { router, start, .. }
            | Event::Wake { router, start, .. }
            | Event::Recorded { router, start, .. }
            | Event::Dispatch { router, start, .. }
            | Event::Reply { router, start, .. }
            | Event::GiveUp { router, start, .. } => Some((*router, *start)),
            _ => None,
        }
    }
}

enum Stage {
    Asking(RequestedClaim),
    Held(GrantedClaim),
    Running(DispatchedClaim),
}

struct Req {
    caller: usize,
    since: Ms,
    asked: Vec<usize>,
    stage: Option<Stage>,
}

/// Where a verdict of a book goes.
#[derive(Clone, Debug)]
enum Asker {
    Remote {
        router: usize,
        start: Start,
        req: ReqId,
    },
    /// The authority of a ticket, which asked for durability; it answers the asker behind it.
    Authority {
        ask: ClaimRequest,
        from: usize,
        start: Start,
        req: ReqId,
    },
    /// A look by the authority for a key whose ticket has run out.
    Look {
        from: usize,
        start: Start,
        req: ReqId,
    },
}

struct Router {
    start: Start,
    paused_until: Ms,
    books: BTreeMap<u64, ShardClaims>,
    local: TicketClaims,
    reqs: BTreeMap<ReqId, Req>,
    askers: BTreeMap<u64, (Asker, AttemptId)>,
    late: BTreeMap<AttemptId, (usize, ReqId)>,
    /// Which router this one takes for the owner of the shards.
    owner: usize,
}

/// A caller with one key.
#[derive(Clone, Debug)]
pub struct Caller {
    key: KeyDigest,
    content: ContentDigest,
    ticket: Option<(usize, Start)>,
    tries: u32,
    everywhere: bool,
    done: bool,
    first_ms: Ms,
}

/// Violations by kind; all zero when the promises hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    pub second_run: u32,
    pub false_not_run: u32,
    pub foreign_answer: u32,
}

impl Violations {
    pub fn total(&self) -> u32 {
        self.second_run + self.false_not_run + self.foreign_answer
    }

    pub fn add(&mut self, other: Violations) {
        self.second_run += other.second_run;
        self.false_not_run += other.false_not_run;
        self.foreign_answer += other.foreign_answer;
    }
}

/// What a run of the world came to.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub writes: u64,
    pub reads: u64,
    pub frames: u64,
    pub largest_bytes: usize,
    pub granted_ms: Vec<Ms>,
    /// Waits of attempts that were told "not run".
    pub refused_ms: Vec<Ms>,
    pub answered: u64,
    pub repeated: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub runs: u64,
    /// Whether each caller's first attempt was answered.
    pub first_told: BTreeMap<usize, bool>,
}

pub struct World {
    rng: ChaCha8Rng,
    now: Ms,
    seq: u64,
    queue: BinaryHeap<Reverse<(Ms, u64)>>,
    events: BTreeMap<u64, Event>,
    weakening: Weakening,
    way: ClaimStorage,
    faults: Faults,
    cfg: ShardClaimsConfig,
    outage: bool,
    closed: BTreeSet<(usize, Start)>,
    objects: BTreeMap<(String, String), AnyObject>,
    version: u64,
    routers: Vec<Router>,
    pub callers: Vec<Caller>,
    runs: Vec<(usize, AttemptId)>,
    not_run: Vec<AttemptId>,
    foreign: u32,
    next: u64,
    pub stats: Stats,
}

const WALL: Ms = 1_700_000_000_000;
const ASK_MS: Ms = 1800;
const RECORD_MS: Ms = 500;
const RUN_MS: Ms = 1000;
const SERVE_MS: Ms = 5;
const RUN_OUT_MS: Ms = 1500;

impl World {
    pub fn new(seed: u64, routers: usize, way: ClaimStorage, faults: Faults, weakening: Weakening) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            weakening,
            way,
            faults,
            cfg: ShardClaimsConfig::default(),
            outage: false,
            closed: BTreeSet::new(),
            objects: BTreeMap::new(),
            version: 0,
            routers: Vec::new(),
            callers: Vec::new(),
            runs: Vec::new(),
            not_run: Vec::new(),
            foreign: 0,
            next: 1,
            stats: Stats::default(),
        };
        for i in 0..routers {
            let router = world.boot(0, i);
            world.routers.push(router);
        }
        world
    }

    pub fn with_config(mut self, cfg: ShardClaimsConfig) -> Self {
        self.cfg = cfg;
        self
    }

    /// A caller that sends its request to `router` at `at`. With `ticket`, its key names that router.
    pub fn call(&mut self, at: Ms, router: usize, ticket: bool, tries: u32, everywhere: bool) -> usize {
        let id = self.callers.len();
        let start = self.routers[router].start;
        self.callers.push(Caller {
            key: KeyDigest::new("workspace", "lessons", &id.to_string()),
            content: ContentDigest::new("POST", "/progress", id.to_string().as_bytes()),
            ticket: ticket.then_some((router, start)),
            tries,
            everywhere,
            done: false,
            first_ms: at,
        });
        self.at(at, Event::Send { caller: id, router });
        id
    }

    /// The caller sends the request again, to `router`, without waiting for an answer.
    pub fn send_at(&mut self, at: Ms, caller: usize, router: usize) {
        self.at(at, Event::Send { caller, router });
    }

    pub fn outage(&mut self, from: Ms, to: Ms) {
        self.at(from, Event::Outage { on: true });
        self.at(to, Event::Outage { on: false });
    }

    pub fn crash_at(&mut self, at: Ms, router: usize) {
        self.at(at, Event::Crash { router });
    }

    /// A planned stop, `ms` after which the process ends.
    pub fn leave_at(&mut self, at: Ms, router: usize, ms: Ms) {
        self.at(at, Event::Leave { router });
        self.at(at + ms, Event::Crash { router });
    }

    pub fn pause_at(&mut self, at: Ms, router: usize, ms: Ms) {
        self.at(at, Event::Pause { router, ms });
    }

    /// Crashes, pauses and changes of the owner in everybody's view, at random times until `until`.
    pub fn disturb(&mut self, until: Ms) {
        for _ in 0..3 {
            let (at, router) = self.pick(until);
            self.at(at, Event::Crash { router });
            let (at, router) = self.pick(until);
            let ms = self.rng.random_range(50..3000);
            self.at(at, Event::Pause { router, ms });
            let (at, _) = self.pick(until);
            self.at(at, Event::Views);
        }
        let (at, router) = self.pick(until);
        self.leave_at(at, router, 400);
        if self.rng.random_bool(0.5) {
            let (from, _) = self.pick(until);
            let ms = self.rng.random_range(200..4000);
            self.outage(from, from + ms);
        }
    }

    fn pick(&mut self, until: Ms) -> (Ms, usize) {
        let router = self.rng.random_range(0..self.routers.len());
        (self.rng.random_range(0..until), router)
    }

    /// Runs until nothing is left to do or `until`.
    pub fn run(&mut self, until: Ms) {
        while let Some(Reverse((at, seq))) = self.queue.pop() {
            if at > until {
                return;
            }
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&seq) {
                self.step(event);
            }
        }
    }

    pub fn violations(&self) -> Violations {
        let mut by_caller: BTreeMap<usize, u32> = BTreeMap::new();
        for (caller, _) in &self.runs {
            *by_caller.entry(*caller).or_default() += 1;
        }
        let second_run = by_caller.values().filter(|n| **n > 1).count() as u32;
        let ran = |a: &&AttemptId| self.runs.iter().any(|(_, r)| r == *a);
        let false_not_run = self.not_run.iter().filter(ran).count() as u32;
        Violations { second_run, false_not_run, foreign_answer: self.foreign }
    }

    /// Runs whose records the platform holds.
    pub fn recorded(&self) -> usize {
        let mut keys = BTreeMap::new();
        for ((kind, _), obj) in &self.objects {
            let entries = if kind == SHARD_KIND {
                Shard::from_object(Some(obj)).map(|s| s.entries)
            } else {
                read_archive(obj)
            };
            let ran = entries.unwrap_or_default().into_iter().filter(|(_, e)| e.record.is_some());
            keys.extend(ran.map(|(key, _)| (key, ())));
        }
        keys.len()
    }

    fn boot(&mut self, start: Start, index: usize) -> Router {
        Router {
            start,
            paused_until: 0,
            books: BTreeMap::new(),
            local: TicketClaims::default(),
            reqs: BTreeMap::new(),
            askers: BTreeMap::new(),
            late: BTreeMap::new(),
            owner: index,
        }
    }

    fn clock(&self) -> Clock {
        Clock { now: Duration::from_millis(self.now), wall_ms: WALL + self.now }
    }

    fn at(&mut self, at: Ms, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn after(&mut self, ms: Ms, event: Event) {
        self.at(self.now + ms, event);
    }

    fn chance(&mut self, milli: u32) -> bool {
        milli > 0 && self.rng.random_range(0..1000) < milli
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn attempt_id(&mut self) -> AttemptId {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.id().to_le_bytes());
        AttemptId(bytes)
    }

    /// Whether the event is for a process that runs now; one for a paused process comes when it wakes up.
    fn alive(&mut self, router: usize, start: Start, event: &Event) -> bool {
        if self.routers[router].start != start {
            return false;
        }
        let until = self.routers[router].paused_until;
        if until > self.now {
            self.at(until, event.clone());
            return false;
        }
        true
    }

    fn step(&mut self, event: Event) {
        if let Some((router, start)) = event.process()
            && !self.alive(router, start, &event)
        {
            return;
        }
        match event {
            Event::Send { caller, router } => self.send(caller, router),
            Event::Link { to, msg, .. } => self.receive(to, msg),
            Event::Store { router, start, book, op, tell } => self.store(router, start, book, op, tell),
            Event::Stored { router, book, done, .. } => {
                let clock = self.clock();
                let Some(b) = self.routers[router].books.get_mut(&book) else { return };
                let verdicts = b.handle_result(clock, done);
                self.settle(router, verdicts);
                self.drive(router, book);
            }
            Event::Wake { router, book, .. } => self.drive(router, book),
            Event::Recorded { router, waiter, .. } => {
                if let Some((asker, attempt)) = self.routers[router].askers.remove(&waiter) {
                    self.tell(router, asker, attempt, Verdict::Unavailable);
                }
            }
            Event::Dispatch { router, req, .. } => self.dispatch(router, req),
            Event::Backend { router, start, req, caller, attempt, broken } => {
                let run = self.runs.len() as u64;
                self.runs.push((caller, attempt));
                self.stats.runs += 1;
                let late = if self.chance(self.faults.late_answer) { 3 * RUN_MS } else { SERVE_MS };
                let run = (!broken).then_some(run);
                self.after(late, Event::Reply { router, start, req, run });
            }
            Event::Reply { router, req, run, .. } => self.reply(router, req, run),
            Event::GiveUp { router, req, .. } => self.give_up(router, req),
            Event::Crash { router } => self.crash(router),
            Event::Leave { router } => self.leave(router),
            Event::Pause { router, ms } => {
                let until = self.now + ms;
                self.routers[router].paused_until = until;
            }
            Event::Views => {
                for i in 0..self.routers.len() {
                    self.routers[i].owner = self.rng.random_range(0..self.routers.len());
                }
            }
            Event::Outage { on } => self.outage = on,
        }
    }

    /// The process grants nothing from memory any more, and hands the keys of its tickets over if it never did.
    fn leave(&mut self, router: usize) {
        let clean = self.routers[router].local.close();
        if clean || self.weakening == Weakening::HandOverAnyway {
            self.closed.insert((router, self.routers[router].start));
        }
    }

    /// The process is gone with all that it knew; callers see their connections cut and send again.
    fn crash(&mut self, router: usize) {
        let start = self.routers[router].start + 1;
        let fresh = self.boot(start, self.routers[router].owner);
        let old = std::mem::replace(&mut self.routers[router], fresh);
        for req in old.reqs.into_values() {
            self.stats.first_told.entry(req.caller).or_insert(false);
            self.again(req.caller);
        }
    }
}

/// One seeded schedule of all faults over three routers and one shard.
pub fn schedule(seed: u64, weakening: Weakening) -> World {
    let mut world = World::new(seed, 3, ClaimStorage::Shards(1), Faults::many(), weakening).with_config(
        ShardClaimsConfig {
            max_shard_bytes: 2048,
            record_delay: Duration::from_millis(300),
            write_interval: Duration::from_millis(40),
            ..ShardClaimsConfig::default()
        },
    );
    const SPAN: Ms = 6_000;
    for _ in 0..24 {
        let at = world.rng.random_range(0..SPAN);
        let router = *[0, 1, 2].choose(&mut world.rng).unwrap_or(&0);
        let (ticket, everywhere) = (world.rng.random_bool(0.4), world.rng.random_bool(0.3));
        world.call(at, router, ticket, 5, everywhere);
    }
    world.disturb(SPAN);
    world.run(120_000);
    world
}
