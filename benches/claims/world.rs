//! Seeded simulation of claims in virtual time: the routers' real decisions, with fakes of the platform, the links, a backend
//! server and callers. Faults are set by [`Faults`], weakenings of the protocol by [`Weakening`].

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
    objects::WriteOutcome,
    outcome::{DispatchFailure, NotRunProof, Undispatched},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

mod holder;
mod keeper;
mod options;
mod store;

pub use options::{ClaimStorage, Faults, Weakening};

/// Time in milliseconds.
pub type Ms = u64;

/// Number of a router's process; each restart increments it.
type Start = u32;
type ReqId = u64;

/// Messages between routers.
#[derive(Clone, Debug)]
enum Msg {
    Request {
        from: usize,
        start: Start,
        req: ReqId,
        claim_req: ClaimRequest,
        ticket: Option<(usize, Start)>,
    },
    Verdict {
        req: ReqId,
        attempt: AttemptId,
        verdict: Verdict,
    },
    Finish {
        claim_req: ClaimRequest,
        record: Record,
        ticket: Option<(usize, Start)>,
    },
    Release {
        key: KeyDigest,
        attempt: AttemptId,
        ticket: Option<(usize, Start)>,
    },
    /// The owner of a ticket forwards a record to the key's shard.
    ForwardRecord {
        claim_req: ClaimRequest,
        record: Record,
    },
    /// The owner of a ticket forwards a release to the key's shard.
    ForwardRelease {
        key: KeyDigest,
        attempt: AttemptId,
    },
}

/// Scheduled events.
#[derive(Clone, Debug)]
enum Event {
    Send { caller: usize, router: usize },
    Deliver { to: usize, start: Start, msg: Msg },
    PlatformCall { router: usize, start: Start, shard_id: u64, op: Op, send_result: bool },
    PlatformResult { router: usize, start: Start, shard_id: u64, result: OpResult },
    Wake { router: usize, start: Start, shard_id: u64 },
    RecordTimeout { router: usize, start: Start, waiter: u64 },
    Dispatch { router: usize, start: Start, req: ReqId },
    Execute { router: usize, start: Start, req: ReqId, caller: usize, attempt: AttemptId, broken: bool },
    Reply { router: usize, start: Start, req: ReqId, run: Option<u64> },
    RequestTimeout { router: usize, start: Start, req: ReqId },
    Crash { router: usize },
    Stop { router: usize },
    Pause { router: usize, ms: Ms },
    ChangeOwners,
    Outage { on: bool },
}

impl Event {
    /// The process that must be running when the event occurs, if any.
    fn process(&self) -> Option<(usize, Start)> {
        match self {
            Event::Deliver { to: router, start, .. }
            | Event::PlatformResult { router, start, .. }
            | Event::Wake { router, start, .. }
            | Event::RecordTimeout { router, start, .. }
            | Event::Dispatch { router, start, .. }
            | Event::Reply { router, start, .. }
            | Event::RequestTimeout { router, start, .. } => Some((*router, *start)),
            _ => None,
        }
    }
}

/// Stage of a request's claim.
enum Stage {
    Requested(RequestedClaim),
    Granted(GrantedClaim),
    Dispatched(DispatchedClaim),
}

/// A request at a router.
struct Req {
    caller: usize,
    received_at: Ms,
    /// Routers that were asked for the claim.
    asked_routers: Vec<usize>,
    stage: Option<Stage>,
}

/// Requester of a claim, to which the shard's verdict goes.
#[derive(Clone, Debug)]
enum Requester {
    Remote {
        router: usize,
        start: Start,
        req: ReqId,
    },
    /// The owner of a ticket, which needs the claim to be durable before it answers its own requester.
    TicketOwner {
        claim_req: ClaimRequest,
        from: usize,
        start: Start,
        req: ReqId,
    },
    /// A lookup by the router that is asked for a key of another process's ticket.
    Lookup {
        from: usize,
        start: Start,
        req: ReqId,
    },
}

/// A router's process.
struct Router {
    start: Start,
    paused_until: Ms,
    /// Claims of the shards that this router keeps, by identifier.
    shards: BTreeMap<u64, ShardClaims>,
    ticket_claims: TicketClaims,
    reqs: BTreeMap<ReqId, Req>,
    /// Requesters that wait for a verdict of a shard.
    requesters: BTreeMap<u64, (Requester, AttemptId)>,
    /// Requests whose claim timed out, for the weakening that uses late grants.
    timed_out: BTreeMap<AttemptId, (usize, ReqId)>,
    /// The router that this one considers the owner of the shards.
    owner: usize,
}

/// A caller with one key.
#[derive(Clone, Debug)]
pub struct Caller {
    key: KeyDigest,
    content: ContentDigest,
    ticket: Option<(usize, Start)>,
    attempts_left: u32,
    to_all_routers: bool,
    done: bool,
    first_ms: Ms,
}

/// Number of violations by kind; all zero if the guarantees hold.
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

/// Figures of a run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub writes: u64,
    pub reads: u64,
    /// Messages between routers.
    pub frames: u64,
    /// Size of the largest object written.
    pub largest_bytes: usize,
    pub granted_ms: Vec<Ms>,
    /// Waiting times of attempts that were answered "not run".
    pub refused_ms: Vec<Ms>,
    pub answered: u64,
    pub repeated: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub runs: u64,
    /// Whether each caller's first attempt received an answer.
    pub first_answered: BTreeMap<usize, bool>,
}

/// State of a simulation.
pub struct World {
    rng: ChaCha8Rng,
    now: Ms,
    seq: u64,
    queue: BinaryHeap<Reverse<(Ms, u64)>>,
    events: BTreeMap<u64, Event>,
    weakening: Weakening,
    storage: ClaimStorage,
    faults: Faults,
    cfg: ShardClaimsConfig,
    outage: bool,
    /// Processes that have handed over the keys of their tickets.
    closed_tickets: BTreeSet<(usize, Start)>,
    objects: BTreeMap<(String, String), AnyObject>,
    version: u64,
    routers: Vec<Router>,
    pub callers: Vec<Caller>,
    runs: Vec<(usize, AttemptId)>,
    not_run: Vec<AttemptId>,
    foreign_answers: u32,
    next: u64,
    pub stats: Stats,
}

/// Wall-clock time at the start of a run.
const WALL_CLOCK_START_MS: Ms = 1_700_000_000_000;
/// Timeout of a router for a claim.
const CLAIM_TIMEOUT_MS: Ms = 1800;
/// Timeout of a ticket's owner for the shard to record a claim.
const RECORD_TIMEOUT_MS: Ms = 500;
/// Timeout of a router for the backend server's answer.
const EXECUTION_TIMEOUT_MS: Ms = 1000;
/// Time that the backend server takes for a request.
const EXECUTION_MS: Ms = 5;
/// Time until a claim expires in the weakened protocol.
const CLAIM_TTL_MS: Ms = 1500;

impl World {
    pub fn new(
        seed: u64,
        routers: usize,
        storage: ClaimStorage,
        faults: Faults,
        weakening: Weakening,
    ) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            weakening,
            storage,
            faults,
            cfg: ShardClaimsConfig::default(),
            outage: false,
            closed_tickets: BTreeSet::new(),
            objects: BTreeMap::new(),
            version: 0,
            routers: Vec::new(),
            callers: Vec::new(),
            runs: Vec::new(),
            not_run: Vec::new(),
            foreign_answers: 0,
            next: 1,
            stats: Stats::default(),
        };
        for i in 0..routers {
            let router = world.new_router(0, i);
            world.routers.push(router);
        }
        world
    }

    pub fn with_config(mut self, cfg: ShardClaimsConfig) -> Self {
        self.cfg = cfg;
        self
    }

    /// Adds a caller that sends its request to `router` at the time `at`. With `ticket`, that router owns its key's ticket.
    pub fn call(
        &mut self,
        at: Ms,
        router: usize,
        ticket: bool,
        attempts_left: u32,
        to_all_routers: bool,
    ) -> usize {
        let id = self.callers.len();
        let start = self.routers[router].start;
        self.callers.push(Caller {
            key: KeyDigest::new("workspace", "lessons", &id.to_string()),
            content: ContentDigest::new("POST", "/progress", id.to_string().as_bytes()),
            ticket: ticket.then_some((router, start)),
            attempts_left,
            to_all_routers,
            done: false,
            first_ms: at,
        });
        self.schedule_at(at, Event::Send { caller: id, router });
        id
    }

    /// Makes a caller send its request again to `router`, without waiting for an answer.
    pub fn send_at(&mut self, at: Ms, caller: usize, router: usize) {
        self.schedule_at(at, Event::Send { caller, router });
    }

    /// Schedules an outage of the platform.
    pub fn outage(&mut self, from: Ms, to: Ms) {
        self.schedule_at(from, Event::Outage { on: true });
        self.schedule_at(to, Event::Outage { on: false });
    }

    pub fn crash_at(&mut self, at: Ms, router: usize) {
        self.schedule_at(at, Event::Crash { router });
    }

    /// Stops a router gracefully; its process ends `ms` later.
    pub fn leave_at(&mut self, at: Ms, router: usize, ms: Ms) {
        self.schedule_at(at, Event::Stop { router });
        self.schedule_at(at + ms, Event::Crash { router });
    }

    pub fn pause_at(&mut self, at: Ms, router: usize, ms: Ms) {
        self.schedule_at(at, Event::Pause { router, ms });
    }

    /// Schedules crashes, pauses, a stop, changes of the owners that routers assume, and possibly an outage, at random times
    /// before `until`.
    pub fn inject_faults(&mut self, until: Ms) {
        for _ in 0..3 {
            let (at, router) = self.pick_time_and_router(until);
            self.schedule_at(at, Event::Crash { router });
            let (at, router) = self.pick_time_and_router(until);
            let ms = self.rng.random_range(50..3000);
            self.schedule_at(at, Event::Pause { router, ms });
            let (at, _) = self.pick_time_and_router(until);
            self.schedule_at(at, Event::ChangeOwners);
        }
        let (at, router) = self.pick_time_and_router(until);
        self.leave_at(at, router, 400);
        if self.rng.random_bool(0.5) {
            let (from, _) = self.pick_time_and_router(until);
            let ms = self.rng.random_range(200..4000);
            self.outage(from, from + ms);
        }
    }

    fn pick_time_and_router(&mut self, until: Ms) -> (Ms, usize) {
        let router = self.rng.random_range(0..self.routers.len());
        (self.rng.random_range(0..until), router)
    }

    /// Runs until `until`, or until there are no more events.
    pub fn run(&mut self, until: Ms) {
        while let Some(Reverse((at, seq))) = self.queue.pop() {
            if at > until {
                return;
            }
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&seq) {
                self.handle(event);
            }
        }
    }

    /// Counts the violations so far.
    pub fn violations(&self) -> Violations {
        let mut by_caller: BTreeMap<usize, u32> = BTreeMap::new();
        for (caller, _) in &self.runs {
            *by_caller.entry(*caller).or_default() += 1;
        }
        let second_run = by_caller.values().filter(|n| **n > 1).count() as u32;
        let ran = |a: &&AttemptId| self.runs.iter().any(|(_, r)| r == *a);
        let false_not_run = self.not_run.iter().filter(ran).count() as u32;
        Violations { second_run, false_not_run, foreign_answer: self.foreign_answers }
    }

    /// Number of keys with a record on the platform.
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

    fn new_router(&mut self, start: Start, index: usize) -> Router {
        Router {
            start,
            paused_until: 0,
            shards: BTreeMap::new(),
            ticket_claims: TicketClaims::default(),
            reqs: BTreeMap::new(),
            requesters: BTreeMap::new(),
            timed_out: BTreeMap::new(),
            owner: index,
        }
    }

    fn clock(&self) -> Clock {
        Clock { now: Duration::from_millis(self.now), wall_ms: WALL_CLOCK_START_MS + self.now }
    }

    fn schedule_at(&mut self, at: Ms, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn schedule_after(&mut self, ms: Ms, event: Event) {
        self.schedule_at(self.now + ms, event);
    }

    /// Draws whether an event with a probability in thousandths occurs.
    fn draw(&mut self, milli: u32) -> bool {
        milli > 0 && self.rng.random_range(0..1000) < milli
    }

    fn new_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn attempt_id(&mut self) -> AttemptId {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.new_id().to_le_bytes());
        AttemptId(bytes)
    }

    /// Whether an event's process is running; an event of a paused process is rescheduled to the end of the pause.
    fn is_deliverable(&mut self, router: usize, start: Start, event: &Event) -> bool {
        if self.routers[router].start != start {
            return false;
        }
        let until = self.routers[router].paused_until;
        if until > self.now {
            self.schedule_at(until, event.clone());
            return false;
        }
        true
    }

    fn handle(&mut self, event: Event) {
        if let Some((router, start)) = event.process()
            && !self.is_deliverable(router, start, &event)
        {
            return;
        }
        match event {
            Event::Send { caller, router } => self.send(caller, router),
            Event::Deliver { to, msg, .. } => self.handle_msg(to, msg),
            Event::PlatformCall { router, start, shard_id, op, send_result } => {
                self.execute_op(router, start, shard_id, op, send_result)
            }
            Event::PlatformResult { router, shard_id, result, .. } => {
                let clock = self.clock();
                let Some(b) = self.routers[router].shards.get_mut(&shard_id) else { return };
                let verdicts = b.handle_result(clock, result);
                self.send_verdicts(router, verdicts);
                self.drive_shard(router, shard_id);
            }
            Event::Wake { router, shard_id, .. } => self.drive_shard(router, shard_id),
            Event::RecordTimeout { router, waiter, .. } => {
                if let Some((requester, attempt)) = self.routers[router].requesters.remove(&waiter) {
                    self.send_verdict(router, requester, attempt, Verdict::Unavailable);
                }
            }
            Event::Dispatch { router, req, .. } => self.dispatch(router, req),
            Event::Execute { router, start, req, caller, attempt, broken } => {
                let run = self.runs.len() as u64;
                self.runs.push((caller, attempt));
                self.stats.runs += 1;
                let delay =
                    if self.draw(self.faults.late_answer) { 3 * EXECUTION_TIMEOUT_MS } else { EXECUTION_MS };
                let run = (!broken).then_some(run);
                self.schedule_after(delay, Event::Reply { router, start, req, run });
            }
            Event::Reply { router, req, run, .. } => self.handle_reply(router, req, run),
            Event::RequestTimeout { router, req, .. } => self.handle_timeout(router, req),
            Event::Crash { router } => self.crash(router),
            Event::Stop { router } => self.stop(router),
            Event::Pause { router, ms } => {
                let until = self.now + ms;
                self.routers[router].paused_until = until;
            }
            Event::ChangeOwners => {
                for i in 0..self.routers.len() {
                    self.routers[i].owner = self.rng.random_range(0..self.routers.len());
                }
            }
            Event::Outage { on } => self.outage = on,
        }
    }

    /// Stops granting claims from memory, and hands over the keys of the tickets if no claim was granted from memory before.
    fn stop(&mut self, router: usize) {
        let clean = self.routers[router].ticket_claims.close();
        if clean || self.weakening == Weakening::HandOverAnyway {
            self.closed_tickets.insert((router, self.routers[router].start));
        }
    }

    /// Restarts a router's process without its state; callers lose their connections and send again.
    fn crash(&mut self, router: usize) {
        let start = self.routers[router].start + 1;
        let fresh = self.new_router(start, self.routers[router].owner);
        let old = std::mem::replace(&mut self.routers[router], fresh);
        for req in old.reqs.into_values() {
            self.stats.first_answered.entry(req.caller).or_insert(false);
            self.resend(req.caller);
        }
    }
}

/// Runs one seeded schedule of all faults with three routers and one shard.
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
        let (ticket, to_all_routers) = (world.rng.random_bool(0.4), world.rng.random_bool(0.3));
        world.call(at, router, ticket, 5, to_all_routers);
    }
    world.inject_faults(SPAN);
    world.run(120_000);
    world
}
