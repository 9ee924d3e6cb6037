//! Claims in virtual time: the routers' real decisions, with small fakes of the platform, the links, a backend
//! server and callers between them. Seeded; faults come from a [`Faults`] table, weakenings from [`Weak`].

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use cranberrytally::{
    catalog::AnyObject,
    claim::{
        Answered, Ask, AttemptId, Clock, ContentDigest, KeyDigest, Record, Verdict,
        attempt::{Asking, Held, Running},
        book::{Book, BookConfig, Done, Op},
        local::{Local, Step},
        shard::{SHARD_KIND, Shard, read_archive},
    },
    client::Failure,
    outcome::{AfterDispatch, Undispatched, Unsent},
    platform::Write,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

pub type Ms = u64;

/// A step of the protocol left out or done wrong, to show that the schedules find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weak {
    /// Nothing: the decisions as they are.
    Nothing,
    /// The claim is granted before it is known to be durable.
    GrantAtOnce,
    /// The platform's writes are not conditional.
    Unconditional,
    /// A write whose answer was lost is taken for done.
    LostIsDone,
    /// A claim without a record runs out, as a lock with a lease would.
    ClaimsRunOut,
    /// A grant that comes after the router gave up is used all the same.
    LateGrant,
    /// Keys of a router's ticket are granted by any router.
    TicketAnywhere,
    /// A connection that broke is told as "not run".
    BrokenIsNotRun,
    /// An answer is matched to whoever waits, not by its identifier.
    UncheckedAnswer,
}

impl Weak {
    pub const ALL: [Weak; 8] = [
        Weak::GrantAtOnce,
        Weak::Unconditional,
        Weak::LostIsDone,
        Weak::ClaimsRunOut,
        Weak::LateGrant,
        Weak::TicketAnywhere,
        Weak::BrokenIsNotRun,
        Weak::UncheckedAnswer,
    ];
}

/// Where claims are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// This many shards; each has an owner.
    Shards(u16),
    /// A log of its own for each router.
    RouterLogs,
    /// An object for each key.
    ObjectPerKey,
}

/// Probabilities in thousandths, and delays in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub platform_ms: (Ms, Ms),
    pub lose_call: u32,
    pub lose_answer: u32,
    pub late_effect: u32,
    pub link_ms: (Ms, Ms),
    pub lose_frame: u32,
    pub repeat_frame: u32,
    pub late_frame: u32,
    pub connect_fails: u32,
    pub break_before: u32,
    pub break_after: u32,
    pub late_answer: u32,
}

impl Faults {
    /// No faults: 5 ms to the platform, 1 ms on links.
    pub fn none() -> Self {
        Self {
            platform_ms: (4, 6),
            lose_call: 0,
            lose_answer: 0,
            late_effect: 0,
            link_ms: (1, 2),
            lose_frame: 0,
            repeat_frame: 0,
            late_frame: 0,
            connect_fails: 0,
            break_before: 0,
            break_after: 0,
            late_answer: 0,
        }
    }

    /// All faults at once.
    pub fn many() -> Self {
        Self {
            platform_ms: (2, 60),
            lose_call: 60,
            lose_answer: 120,
            late_effect: 80,
            link_ms: (1, 20),
            lose_frame: 60,
            repeat_frame: 80,
            late_frame: 60,
            connect_fails: 60,
            break_before: 40,
            break_after: 80,
            late_answer: 60,
        }
    }
}

type Start = u32;
type ReqId = u64;

#[derive(Clone, Debug)]
enum Msg {
    Ask {
        from: usize,
        start: Start,
        req: ReqId,
        ask: Ask,
        ticket: Option<(usize, Start)>,
    },
    Verdict {
        req: ReqId,
        attempt: AttemptId,
        verdict: Verdict,
    },
    Finish {
        ask: Ask,
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
        ask: Ask,
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
    Stored { router: usize, start: Start, book: u64, done: Done },
    Wake { router: usize, start: Start, book: u64 },
    Recorded { router: usize, start: Start, waiter: u64 },
    Dispatch { router: usize, start: Start, req: ReqId },
    Backend { router: usize, start: Start, req: ReqId, caller: usize, attempt: AttemptId, broken: bool },
    Reply { router: usize, start: Start, req: ReqId, run: Option<u64> },
    GiveUp { router: usize, start: Start, req: ReqId },
    Crash { router: usize },
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
    Asking(Asking),
    Held(Held),
    Running(Running),
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
        ask: Ask,
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
    books: BTreeMap<u64, Book>,
    local: Local,
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
    pub largest: usize,
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
    weak: Weak,
    way: Way,
    faults: Faults,
    cfg: BookConfig,
    outage: bool,
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
const RECORD_MS: Ms = 150;
const RUN_MS: Ms = 1000;
const SERVE_MS: Ms = 5;
const RUN_OUT_MS: Ms = 1500;

impl World {
    pub fn new(seed: u64, routers: usize, way: Way, faults: Faults, weak: Weak) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            weak,
            way,
            faults,
            cfg: BookConfig::default(),
            outage: false,
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

    pub fn with_config(mut self, cfg: BookConfig) -> Self {
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
                Shard::read(Some(obj)).map(|s| s.entries)
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
            local: Local::default(),
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
                let verdicts = b.done(clock, done);
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

    // Callers.

    fn send(&mut self, caller: usize, router: usize) {
        if self.callers[caller].done || self.callers[caller].tries == 0 {
            return;
        }
        self.callers[caller].tries -= 1;
        if std::mem::take(&mut self.callers[caller].everywhere) {
            let others = (0..self.routers.len()).filter(|r| *r != router).collect::<Vec<_>>();
            for other in others {
                self.after(0, Event::Send { caller, router: other });
            }
        }
        let (key, content) = (self.callers[caller].key, self.callers[caller].content);
        let ask = Ask { key, content, attempt: self.attempt_id(), look: false };
        let req = self.id();
        let since = self.now;
        let stage = Some(Stage::Asking(Asking::new(ask, Undispatched::new())));
        let asked = Vec::new();
        self.routers[router].reqs.insert(req, Req { caller, since, asked, stage });
        self.ask(router, req, ask);
        let start = self.routers[router].start;
        let until = self.routers[router].paused_until.max(self.now);
        self.at(until + ASK_MS, Event::GiveUp { router, start, req });
    }

    fn again(&mut self, caller: usize) {
        let router = self.rng.random_range(0..self.routers.len());
        let wait = self.rng.random_range(1..800);
        self.after(wait, Event::Send { caller, router });
    }

    fn told_ran(&mut self, caller: usize, run: u64, replayed: bool) {
        if self.runs.get(run as usize).is_none_or(|(c, _)| *c != caller) {
            self.foreign += 1;
        }
        self.stats.answered += 1;
        self.stats.repeated += u64::from(replayed);
        self.stats.first_told.entry(caller).or_insert(true);
        self.callers[caller].done = true;
    }

    fn told_not_run(&mut self, caller: usize, attempt: AttemptId) {
        self.not_run.push(attempt);
        self.stats.not_run += 1;
        self.stats.first_told.entry(caller).or_insert(false);
        self.again(caller);
    }

    fn told_unknown(&mut self, caller: usize) {
        self.stats.unknown += 1;
        self.stats.first_told.entry(caller).or_insert(false);
        self.again(caller);
    }

    // The router that holds the request.

    fn ask(&mut self, router: usize, req: ReqId, ask: Ask) {
        let caller = self.routers[router].reqs[&req].caller;
        let ticket = self.callers[caller].ticket;
        let start = self.routers[router].start;
        let owner = match ticket {
            // Asking one's own router for another's ticket is what the guard in `receive` must refuse.
            Some(_) if self.weak == Weak::TicketAnywhere => router,
            Some((named, _)) => named,
            None => self.owner(router, ask.key),
        };
        if let Some(r) = self.routers[router].reqs.get_mut(&req) {
            r.asked.push(owner);
        }
        self.frame(router, owner, Msg::Ask { from: router, start, req, ask, ticket });
    }

    /// Which router this one takes for the owner of the key's shard.
    fn owner(&self, router: usize, key: KeyDigest) -> usize {
        match self.way {
            Way::Shards(n) if n > 1 => usize::from(key.shard() % n) % self.routers.len(),
            Way::Shards(_) => self.routers[router].owner,
            _ => router,
        }
    }

    fn verdict(&mut self, router: usize, req: ReqId, attempt: AttemptId, verdict: Verdict) {
        if let Some((asker, attempt)) = self.routers[router].askers.remove(&req) {
            return self.tell(router, asker, attempt, verdict);
        }
        let Some(r) = self.routers[router].reqs.get_mut(&req) else {
            return self.late_grant(router, attempt, &verdict);
        };
        let Some(Stage::Asking(asking)) = r.stage.take_if(|s| matches!(s, Stage::Asking(_))) else { return };
        let (caller, since) = (r.caller, r.since);
        match asking.decide(verdict) {
            Ok(held) => {
                r.stage = Some(Stage::Held(held));
                self.stats.granted_ms.push(self.now - since);
                let start = self.routers[router].start;
                let wait = if self.faults.late_frame > 0 { self.rng.random_range(0..50) } else { 0 };
                self.after(wait, Event::Dispatch { router, start, req });
            }
            Err(refused) => {
                self.routers[router].reqs.remove(&req);
                match refused.verdict {
                    Verdict::Recorded(answered) => {
                        let run = answered.body.as_deref().and_then(|b| b.try_into().ok());
                        self.told_ran(caller, run.map_or(u64::MAX, u64::from_le_bytes), true);
                    }
                    Verdict::Unavailable | Verdict::Conflict => {
                        self.stats.refused_ms.push(self.now - since);
                        self.told_not_run(caller, attempt);
                    }
                    _ => self.told_unknown(caller),
                }
            }
        }
    }

    fn late_grant(&mut self, router: usize, attempt: AttemptId, verdict: &Verdict) {
        if self.weak == Weak::LateGrant
            && *verdict == Verdict::Granted
            && let Some((caller, req)) = self.routers[router].late.remove(&attempt)
        {
            let start = self.routers[router].start;
            self.after(1, Event::Backend { router, start, req, caller, attempt, broken: false });
        }
    }

    fn give_up(&mut self, router: usize, req: ReqId) {
        let Some(r) = self.routers[router].reqs.remove(&req) else { return };
        let ticket = self.callers[r.caller].ticket;
        match r.stage {
            Some(Stage::Asking(asking)) => {
                let attempt = asking.ask().attempt;
                self.routers[router].late.insert(attempt, (r.caller, req));
                if let Err(refused) = asking.decide(Verdict::Unavailable)
                    && let Some(release) = refused.release
                {
                    self.release(router, &r.asked, release.key, release.attempt, ticket);
                }
                self.told_not_run(r.caller, attempt);
            }
            Some(Stage::Running(running)) => {
                let (token, finish) = running.finish(Record::Unknown);
                let _ = token.fail::<()>(AfterDispatch::Broken, "no answer in time");
                self.finish(router, &r.asked, finish.ask, finish.record, ticket);
                self.told_unknown(r.caller);
            }
            Some(Stage::Held(held)) => {
                let (_, release) = held.release();
                self.release(router, &r.asked, release.key, release.attempt, ticket);
                self.told_not_run(r.caller, release.attempt);
            }
            None => {}
        }
    }

    fn dispatch(&mut self, router: usize, req: ReqId) {
        let connect_fails = self.chance(self.faults.connect_fails);
        let broken_before = self.chance(self.faults.break_before);
        let broken_after = self.chance(self.faults.break_after);
        let start = self.routers[router].start;
        let Some(r) = self.routers[router].reqs.get_mut(&req) else { return };
        let Some(Stage::Held(held)) = r.stage.take_if(|s| matches!(s, Stage::Held(_))) else { return };
        let (caller, asked) = (r.caller, r.asked.clone());
        let ticket = self.callers[caller].ticket;
        let running = held.dispatch();
        if connect_fails {
            let Some(proof) = Unsent::from_failure(Failure::Connect) else { return };
            let (_, release) = running.take_back(proof).release();
            self.routers[router].reqs.remove(&req);
            self.release(router, &asked, release.key, release.attempt, ticket);
            return self.told_not_run(caller, release.attempt);
        }
        let attempt = running.ask().attempt;
        if let Some(r) = self.routers[router].reqs.get_mut(&req) {
            r.stage = Some(Stage::Running(running));
        }
        if broken_before {
            self.after(1, Event::Reply { router, start, req, run: None });
        } else {
            let broken = broken_after;
            self.after(1, Event::Backend { router, start, req, caller, attempt, broken });
        }
        self.after(RUN_MS, Event::GiveUp { router, start, req });
    }

    fn reply(&mut self, router: usize, req: ReqId, run: Option<u64>) {
        let mut req = req;
        if self.weak == Weak::UncheckedAnswer && !self.routers[router].reqs.contains_key(&req) {
            let waits = |(_, r): &(&ReqId, &Req)| matches!(r.stage, Some(Stage::Running(_)));
            let Some((id, _)) = self.routers[router].reqs.iter().find(waits) else { return };
            req = *id;
        }
        // An answer that comes after the router gave up finds no request and is dropped.
        let Some(r) = self.routers[router].reqs.remove(&req) else { return };
        let ticket = self.callers[r.caller].ticket;
        let Some(Stage::Running(running)) = r.stage else { return };
        let attempt = running.ask().attempt;
        match run {
            Some(run) => {
                let body = Some(run.to_le_bytes().to_vec());
                let answered = Answered { status: 200, content_type: "application/json".into(), body };
                let (_, finish) = running.finish(Record::Ran(answered));
                self.finish(router, &r.asked, finish.ask, finish.record, ticket);
                self.told_ran(r.caller, run, false);
            }
            None if self.weak == Weak::BrokenIsNotRun => {
                self.release(router, &r.asked, running.ask().key, attempt, ticket);
                self.told_not_run(r.caller, attempt);
            }
            None => {
                let (_, finish) = running.finish(Record::Unknown);
                self.finish(router, &r.asked, finish.ask, finish.record, ticket);
                self.told_unknown(r.caller);
            }
        }
    }

    fn release(
        &mut self,
        from: usize,
        asked: &[usize],
        key: KeyDigest,
        attempt: AttemptId,
        ticket: Option<(usize, Start)>,
    ) {
        for to in asked {
            self.frame(from, *to, Msg::Release { key, attempt, ticket });
        }
    }

    fn finish(
        &mut self,
        from: usize,
        asked: &[usize],
        ask: Ask,
        record: Record,
        ticket: Option<(usize, Start)>,
    ) {
        if let Some(to) = asked.last() {
            self.frame(from, *to, Msg::Finish { ask, record, ticket });
        }
    }

    // Links.

    fn frame(&mut self, from: usize, to: usize, msg: Msg) {
        let start = self.routers[to].start;
        if from == to {
            return self.after(0, Event::Link { to, start, msg });
        }
        self.stats.frames += 1;
        if self.chance(self.faults.lose_frame) {
            return;
        }
        let (least, most) = self.faults.link_ms;
        let copies = 1 + u32::from(self.chance(self.faults.repeat_frame));
        for _ in 0..copies {
            let late = if self.chance(self.faults.late_frame) { 2500 } else { 0 };
            let ms = self.rng.random_range(least..=most) + late;
            self.after(ms, Event::Link { to, start, msg: msg.clone() });
        }
    }

    fn receive(&mut self, to: usize, msg: Msg) {
        let clock = self.clock();
        match msg {
            Msg::Ask { from, start, req, ask, ticket } => {
                let mine = ticket.is_some_and(|(r, s)| r == to && s == self.routers[to].start);
                match ticket {
                    Some(_) if mine => {
                        self.ask_local(to, ask, from, start, req);
                    }
                    Some(_) if self.weak != Weak::TicketAnywhere => {
                        let ask = Ask { look: true, ..ask };
                        self.ask_book(to, ask, Asker::Look { from, start, req });
                    }
                    _ => self.ask_book(to, ask, Asker::Remote { router: from, start, req }),
                }
            }
            Msg::Verdict { req, attempt, verdict } => self.verdict(to, req, attempt, verdict),
            Msg::Finish { ask, record, ticket } => {
                if ticket.is_none() {
                    return self.keep(to, ask, record, false);
                }
                self.routers[to].local.finish(ask.key, ask.attempt, record.clone());
                self.frame(to, self.owner(to, ask.key), Msg::Keep { ask, record });
            }
            Msg::Release { key, attempt, ticket } => {
                if ticket.is_none() {
                    return self.drop_claim(to, key, attempt);
                }
                self.routers[to].local.release(clock, key, attempt);
                self.frame(to, self.owner(to, key), Msg::Drop { key, attempt });
            }
            Msg::Keep { ask, record } => self.keep(to, ask, record, true),
            Msg::Drop { key, attempt } => self.drop_claim(to, key, attempt),
        }
    }

    fn keep(&mut self, router: usize, ask: Ask, record: Record, authority: bool) {
        let clock = self.clock();
        let id = self.book_id(router, ask.key);
        self.book(router, id).finish(clock, &ask, record, authority);
        self.drive(router, id);
    }

    fn drop_claim(&mut self, router: usize, key: KeyDigest, attempt: AttemptId) {
        let clock = self.clock();
        let id = self.book_id(router, key);
        self.book(router, id).release(clock, key, attempt);
        self.drive(router, id);
    }

    // The router that keeps the claim.

    fn ask_local(&mut self, router: usize, ask: Ask, from: usize, start: Start, req: ReqId) {
        let clock = self.clock();
        let step = self.routers[router].local.ask(clock, &ask, true);
        match step {
            Step::Answer(verdict) => {
                self.frame(router, from, Msg::Verdict { req, attempt: ask.attempt, verdict });
            }
            Step::Record | Step::Look => {
                let waiter = self.id();
                let asker = Asker::Authority { ask, from, start, req };
                self.routers[router].askers.insert(waiter, (asker, ask.attempt));
                let start = self.routers[router].start;
                self.after(RECORD_MS, Event::Recorded { router, start, waiter });
                let to = self.owner(router, ask.key);
                self.frame(router, to, Msg::Ask { from: router, start, req: waiter, ask, ticket: None });
            }
        }
    }

    fn ask_book(&mut self, router: usize, ask: Ask, asker: Asker) {
        let clock = self.clock();
        let id = self.book_id(router, ask.key);
        let waiter = self.id();
        let verdict = self.book(router, id).ask(clock, ask, waiter);
        let verdict = match verdict {
            None if self.weak == Weak::GrantAtOnce && !ask.look => Some(Verdict::Granted),
            verdict => verdict,
        };
        match verdict {
            Some(verdict) => self.tell(router, asker, ask.attempt, verdict),
            None => {
                self.routers[router].askers.insert(waiter, (asker, ask.attempt));
            }
        }
        self.drive(router, id);
    }

    fn tell(&mut self, router: usize, asker: Asker, attempt: AttemptId, verdict: Verdict) {
        let (to, start, req, verdict) = match asker {
            Asker::Remote { router: to, start, req } => (to, start, req, verdict),
            Asker::Authority { ask, from, start, req } => {
                (from, start, req, self.routers[router].local.recorded(&ask))
            }
            Asker::Look { from, start, req } => {
                let verdict = if verdict == Verdict::Expired { Verdict::Unknown } else { verdict };
                (from, start, req, verdict)
            }
        };
        if self.routers[to].start == start {
            self.frame(router, to, Msg::Verdict { req, attempt, verdict });
        }
    }

    fn settle(&mut self, router: usize, verdicts: Vec<(u64, Verdict)>) {
        for (waiter, verdict) in verdicts {
            if let Some((asker, attempt)) = self.routers[router].askers.remove(&waiter) {
                self.tell(router, asker, attempt, verdict);
            }
        }
    }

    fn book_id(&self, router: usize, key: KeyDigest) -> u64 {
        match self.way {
            Way::Shards(n) => u64::from(key.shard() % n),
            Way::RouterLogs => router as u64,
            Way::ObjectPerKey => u64::from_le_bytes(key.0[..8].try_into().unwrap_or_default()),
        }
    }

    fn book(&mut self, router: usize, id: u64) -> &mut Book {
        let cfg = self.cfg;
        let start = self.routers[router].start;
        let new = || Book::new(format!("claims-{id}"), format!("r{router}-{start}"), cfg);
        self.routers[router].books.entry(id).or_insert_with(new)
    }

    fn drive(&mut self, router: usize, id: u64) {
        let clock = self.clock();
        let late = self.book(router, id).expire(clock);
        self.settle(router, late);
        let start = self.routers[router].start;
        if let Some(op) = self.book(router, id).next_op(clock) {
            self.call_platform(router, start, id, op);
        }
        let wake = self.book(router, id).wake_at();
        if let Some(at) = wake {
            let at = (at.as_millis() as Ms).max(self.now + 1);
            self.at(at, Event::Wake { router, start, book: id });
        }
        if self.way == Way::ObjectPerKey && self.book(router, id).is_idle() {
            self.routers[router].books.remove(&id);
        }
    }

    // The platform.

    fn call_platform(&mut self, router: usize, start: Start, book: u64, op: Op) {
        let (least, most) = self.faults.platform_ms;
        let ms = self.rng.random_range(least..=most) / 2;
        let unanswered = |op: &Op| match op {
            Op::Write(_) | Op::Delete(_) => Done::Write(Write::Unknown),
            _ => Done::Failed,
        };
        if self.outage || self.chance(self.faults.lose_call) {
            let done = unanswered(&op);
            return self.after(2 * ms + 50, Event::Stored { router, start, book, done });
        }
        if self.chance(self.faults.late_effect) {
            let done = unanswered(&op);
            self.after(2 * ms + 50, Event::Stored { router, start, book, done });
            let late = self.rng.random_range(20..1500);
            return self.after(late, Event::Store { router, start, book, op, tell: false });
        }
        self.after(ms, Event::Store { router, start, book, op, tell: true });
    }

    fn store(&mut self, router: usize, start: Start, book: u64, op: Op, tell: bool) {
        let written = matches!(op, Op::Write(_));
        let shown = op.clone();
        let mut done = match op {
            Op::Read => self.read(SHARD_KIND, &format!("claims-{book}")),
            Op::ReadArchive(name) => self.read("ClaimArchive", &name),
            Op::Write(obj) => self.write(obj),
            Op::Delete(obj) => {
                self.stats.writes += 1;
                self.objects.remove(&(obj.kind, obj.metadata.name));
                Done::Write(Write::Conflict(None))
            }
        };
        if !tell {
            return;
        }
        if written && self.chance(self.faults.lose_answer) {
            done = Done::Write(Write::Unknown);
        }
        if self.weak == Weak::LostIsDone
            && done == Done::Write(Write::Unknown)
            && let Op::Write(obj) = shown
        {
            done = Done::Write(Write::Done(obj));
        }
        let (least, most) = self.faults.platform_ms;
        let ms = self.rng.random_range(least..=most) / 2;
        self.after(ms, Event::Stored { router, start, book, done });
    }

    fn read(&mut self, kind: &str, name: &str) -> Done {
        self.stats.reads += 1;
        let mut obj = self.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if self.weak == Weak::ClaimsRunOut
            && kind == SHARD_KIND
            && let Some(o) = &mut obj
            && let Ok(mut shard) = Shard::read(Some(o))
        {
            let oldest = WALL + self.now.saturating_sub(RUN_OUT_MS);
            shard.entries.retain(|(_, e)| e.record.is_some() || e.at_ms > oldest);
            *o = shard.object(name, "");
        }
        Done::Read(obj)
    }

    fn write(&mut self, mut obj: AnyObject) -> Done {
        self.stats.writes += 1;
        let size = serde_json::to_vec(&obj).map_or(0, |b| b.len());
        self.stats.largest = self.stats.largest.max(size);
        let key = (obj.kind.clone(), obj.metadata.name.clone());
        let current = self.objects.get(&key);
        let version = current.map_or("", |o| o.metadata.resource_version.as_str());
        if version != obj.metadata.resource_version && self.weak != Weak::Unconditional {
            return Done::Write(Write::Conflict(current.cloned()));
        }
        self.version += 1;
        obj.metadata.resource_version = self.version.to_string();
        self.objects.insert(key, obj.clone());
        Done::Write(Write::Done(obj))
    }

    // Crashes.

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
pub fn schedule(seed: u64, weak: Weak) -> World {
    let mut world = World::new(seed, 3, Way::Shards(1), Faults::many(), weak).with_config(BookConfig {
        hot_bytes: 2048,
        record_delay: Duration::from_millis(300),
        interval: Duration::from_millis(40),
        ..BookConfig::default()
    });
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
