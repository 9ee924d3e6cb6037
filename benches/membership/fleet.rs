//! A fleet of members in one process: the real decision logic, virtual time for messages, real time for CPU.
//!
//! Small on purpose: a queue of datagrams with delay and loss, and engines that answer probes.

#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant as Clock},
};

use cranberrytally::{
    member::{Event, GossipKey, IP_UDP_HEADER_BYTES, MemberConfig, Membership, Output, Record, Status},
    probe::{EngineSpec, Probe, ProbeConfig, ProbeResult, State},
    util::Instant,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from hearing of a version to having it in force, besides the way to the peer and back.
const FETCH: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);

/// Size and shape.
#[derive(Clone, Debug)]
pub struct Shape {
    pub routers: usize,
    pub centres: usize,
    pub regions: usize,
    pub engines: usize,
    pub loss: f64,
    pub member: MemberConfig,
    pub probe: ProbeConfig,
    pub seeds: usize,
    pub seed: u64,
}

impl Shape {
    pub fn new(routers: usize, centres: usize, regions: usize, engines: usize) -> Self {
        Self {
            routers,
            centres,
            regions,
            engines,
            loss: 0.05,
            member: MemberConfig::default(),
            probe: ProbeConfig::default(),
            seeds: (routers / 40).clamp(3, 8),
            seed: 7,
        }
    }
}

#[derive(Debug)]
pub struct Node {
    pub m: Option<Membership>,
    pub record: Record,
    pub paused: bool,
    pub cpu: Duration,
    pub received: u64,
    pub received_bytes: u64,
    pub probes: u64,
    ticks: u64,
    pub rejected: BTreeMap<&'static str, u64>,
    /// Bytes sent in each second of virtual time.
    pub per_second: Vec<usize>,
    window: VecDeque<(Instant, usize)>,
    /// Most bytes sent within any one second.
    pub worst_window: usize,
}

#[derive(Clone, Debug)]
pub struct EngineModel {
    pub spec: EngineSpec,
    pub up: bool,
    pub leaving: bool,
    pub start: u64,
    /// Routers that can't reach it.
    pub hidden_from: Vec<usize>,
}

#[derive(Debug)]
enum Act {
    Tick(usize),
    Deliver(usize, SocketAddr, Vec<u8>),
    Probed(usize, usize, ProbeResult),
    InForce(usize, u64),
}

/// Whether a datagram from one node may pass to another.
pub type Path = Box<dyn Fn(usize, usize) -> bool>;

pub struct Fleet {
    pub shape: Shape,
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub engines: Vec<EngineModel>,
    pub path: Path,
    pub auto_fetch: bool,
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    acts: Vec<Option<Act>>,
    free: Vec<usize>,
    count: u64,
    by_addr: BTreeMap<SocketAddr, usize>,
    by_engine: BTreeMap<Arc<str>, usize>,
    rng: ChaCha8Rng,
    pub events: Vec<(Instant, usize, Event)>,
}

pub const KEY: &str = "a key for tests";

impl Fleet {
    pub fn new(shape: Shape) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1000),
            nodes: Vec::new(),
            engines: Vec::new(),
            path: Box::new(|_, _| true),
            auto_fetch: true,
            queue: BinaryHeap::new(),
            acts: Vec::new(),
            free: Vec::new(),
            count: 0,
            by_addr: BTreeMap::new(),
            by_engine: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(shape.seed),
            events: Vec::new(),
            shape,
        };
        for i in 0..fleet.shape.engines {
            let spec = fleet.engine_spec(i);
            fleet.by_engine.insert(spec.name.clone(), i);
            let start = 1_000_000_000 + i as u64;
            fleet.engines.push(EngineModel {
                spec,
                up: true,
                leaving: false,
                start,
                hidden_from: Vec::new(),
            });
        }
        for i in 0..fleet.shape.routers {
            let record = fleet.record(i);
            fleet.add(record);
        }
        fleet
    }

    pub fn centre(&self, i: usize) -> usize {
        i % self.shape.centres
    }

    pub fn region(&self, i: usize) -> usize {
        self.centre(i) % self.shape.regions
    }

    fn record(&self, i: usize) -> Record {
        let n = i as u32;
        Record {
            name: format!("router-{i:03}").into(),
            data_centre: format!("dc-{:02}", self.centre(i)).into(),
            region: format!("region-{}", self.region(i)).into(),
            http: SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 8080)),
            peer: SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 7946)),
            incarnation: 1_750_000_000_000 + self.now.as_millis() as u64,
            status: Status::Alive,
            ready: false,
        }
    }

    fn engine_spec(&self, i: usize) -> EngineSpec {
        let n = i as u32;
        EngineSpec {
            name: format!("engine-{i:05}").into(),
            addr: SocketAddr::from(([10, 2, (n >> 8) as u8, n as u8], 9000)),
            data_centre: format!("dc-{:02}", i % self.shape.centres).into(),
            leaving: false,
        }
    }

    /// Starts a router; returns its number.
    pub fn add(&mut self, record: Record) -> usize {
        let i = self.nodes.len();
        self.nodes.push(Node {
            m: None,
            record: record.clone(),
            paused: false,
            cpu: Duration::ZERO,
            received: 0,
            received_bytes: 0,
            probes: 0,
            ticks: 0,
            rejected: BTreeMap::new(),
            per_second: Vec::new(),
            window: VecDeque::new(),
            worst_window: 0,
        });
        self.by_addr.insert(record.peer, i);
        self.start(i);
        let phase = self.rng.random_range(0..self.shape.member.tick_interval.as_micros() as u64);
        self.push(self.now + Duration::from_micros(phase), Act::Tick(i));
        i
    }

    /// Starts the process of node `i` anew, with the present time as its incarnation.
    pub fn start(&mut self, i: usize) {
        let mut record = self.nodes[i].record.clone();
        record.incarnation = 1_750_000_000_000 + self.now.as_millis() as u64;
        let first = (0..self.shape.seeds).filter(|s| *s != i).map(|s| self.record(s).peer).collect();
        let cfg = self.shape.member.clone().with_seeds(first);
        let seed = self.shape.seed * 1000 + i as u64;
        let mut m = Membership::new(cfg, self.shape.probe, GossipKey::new(KEY), record, self.now, seed);
        m.engines.set_engines(self.now, self.engines.iter().map(|e| e.spec.clone()));
        self.by_addr.insert(m.me().peer, i);
        self.nodes[i].m = Some(m);
        // The budget is one process's; here a new one starts in the same instant in which the old one ended.
        self.nodes[i].window.clear();
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].m = None;
    }

    pub fn m(&mut self, i: usize) -> &mut Membership {
        self.nodes[i].m.as_mut().expect("the node runs")
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes.iter().enumerate().filter_map(|(i, n)| Some((i, n.m.as_ref()?)))
    }

    /// Puts a version in force at one node.
    pub fn put_in_force(&mut self, i: usize, version: u64) {
        let now = self.now;
        self.m(i).set_in_force(now, version);
    }

    /// Puts a version in force at all nodes, as after a start.
    pub fn put_in_force_everywhere(&mut self, version: u64) {
        let now = self.now;
        for n in &mut self.nodes {
            if let Some(m) = &mut n.m {
                m.set_in_force(now, version);
            }
        }
    }

    pub fn send_all(&mut self, from: usize, out: Output) {
        let now = self.now;
        for event in out.events {
            if let (Event::NewerVersion(v), true) = (&event, self.auto_fetch) {
                let way = self.delay(from, (from + self.shape.centres) % self.nodes.len());
                self.push(now + way * 3 + FETCH, Act::InForce(from, *v));
            }
            self.events.push((now, from, event));
        }
        for o in out.send {
            self.account(from, o.bytes.len() + IP_UDP_HEADER_BYTES);
            let Some(&to) = self.by_addr.get(&o.to) else { continue };
            if !(self.path)(from, to) || self.rng.random_bool(self.shape.loss) {
                continue;
            }
            let at = now + self.delay(from, to);
            let addr = self.nodes[from].record.peer;
            self.push(at, Act::Deliver(to, addr, o.bytes));
        }
    }

    fn account(&mut self, from: usize, bytes: usize) {
        let now = self.now;
        let n = &mut self.nodes[from];
        let second = now.as_secs() as usize;
        if n.per_second.len() <= second {
            n.per_second.resize(second + 1, 0);
        }
        n.per_second[second] += bytes;
        n.window.push_back((now, bytes));
        while n.window.front().is_some_and(|(at, _)| *at + SECOND <= now) {
            n.window.pop_front();
        }
        n.worst_window = n.worst_window.max(n.window.iter().map(|(_, b)| b).sum());
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let base = match (self.centre(a) == self.centre(b), self.region(a) == self.region(b)) {
            (true, _) => 250,
            (_, true) => 1_500,
            _ => 60_000,
        };
        Duration::from_micros(base + self.rng.random_range(0..=base / 4))
    }

    fn push(&mut self, at: Instant, act: Act) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.acts.push(None);
            self.acts.len() - 1
        });
        self.acts[slot] = Some(act);
        self.count += 1;
        self.queue.push(Reverse((at, self.count, slot)));
    }

    /// Delivers bytes to a node as if they came from `from`.
    pub fn inject(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        self.push(self.now, Act::Deliver(to, from, bytes));
    }

    /// Runs for a while of virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
        self.now = end;
    }

    /// Runs until `done` holds, checked every 50 ms, or `limit` has passed; returns the time it took.
    pub fn wait(&mut self, limit: Duration, done: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(50));
        }
        None
    }

    fn run_until(&mut self, end: Instant, stop: impl Fn(&Fleet) -> bool) {
        while let Some(&Reverse((at, _, slot))) = self.queue.peek() {
            if at > end || stop(self) {
                return;
            }
            self.queue.pop();
            self.now = at;
            self.free.push(slot);
            if let Some(act) = self.acts[slot].take() {
                self.step(act);
            }
        }
    }

    fn step(&mut self, act: Act) {
        let now = self.now;
        match act {
            Act::Tick(i) => {
                self.push(now + self.shape.member.tick_interval, Act::Tick(i));
                self.tick(i);
            }
            Act::Deliver(to, from, bytes) => self.deliver(to, from, &bytes),
            Act::Probed(i, engine, seen) => {
                let name = self.engines[engine].spec.name.clone();
                self.timed(i, |m| m.engines.on_probe_result(now, &name, seen));
            }
            Act::InForce(i, version) => {
                self.timed(i, |m| m.set_in_force(now, version));
            }
        }
    }

    fn timed<T>(&mut self, i: usize, f: impl FnOnce(&mut Membership) -> T) -> Option<T> {
        let n = &mut self.nodes[i];
        let m = n.m.as_mut().filter(|_| !n.paused)?;
        let start = Clock::now();
        let out = f(m);
        n.cpu += start.elapsed();
        Some(out)
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        self.nodes[i].ticks += 1;
        // The shell asks for changed engines once a second, over all engines; its cost belongs to the CPU figure.
        let refresh = self.nodes[i].ticks.is_multiple_of(4);
        let step = |m: &mut Membership| {
            if refresh {
                m.engines.take_changed(now);
            }
            (m.tick(now), m.engines.due_probes(now))
        };
        let Some((out, probes)) = self.timed(i, step) else { return };
        self.send_all(i, out);
        for probe in probes {
            self.probe(i, &probe);
        }
    }

    fn probe(&mut self, i: usize, probe: &Probe) {
        self.nodes[i].probes += 1;
        let engine = self.by_engine[&probe.engine];
        let e = &self.engines[engine];
        let (time, seen) = if e.up && !e.hidden_from.contains(&i) {
            let (start, leaving) = (e.start, e.leaving);
            let running = self.rng.random_range(20..60);
            (Duration::from_millis(1), ProbeResult::Answer { start, running, leaving })
        } else {
            (PROBE_TIMEOUT, ProbeResult::Unreachable)
        };
        self.push(self.now + time, Act::Probed(i, engine, seen));
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let Some(result) = self.timed(to, |m| m.receive(now, from, bytes)) else { return };
        let n = &mut self.nodes[to];
        n.received += 1;
        n.received_bytes += (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        match result {
            Ok(out) => self.send_all(to, out),
            Err(e) => *n.rejected.entry(e.as_str()).or_default() += 1,
        }
    }

    /// Whether the state of member `name` passes `test` at every running node that knows it.
    pub fn all_hold(&self, name: &str, test: impl Fn(&Record) -> bool) -> bool {
        self.running().all(|(_, m)| {
            *m.me().name == *name || m.table().get(name).is_none_or(|member| test(&member.record))
        })
    }

    /// Whether every running node knows every other as alive and no more.
    pub fn agrees(&self) -> bool {
        let live = self.running().count();
        let alive = |m: &Membership| m.table().iter().filter(|x| x.record.status <= Status::Leaving).count();
        self.running().all(|(_, m)| alive(m) == live && m.table().live_count() == live)
    }

    /// What keeps the nodes from agreeing, for the message of a failed test.
    pub fn disagreements(&self) -> Vec<String> {
        let mut list = Vec::new();
        for (_, m) in self.running() {
            let in_force = m.table().get(&m.me().name).map(|x| x.in_force);
            list.push(format!("{} has {in_force:?} in force, {} live", m.me().name, m.table().live_count()));
            for (_, other) in self.running() {
                let held = m.table().get(&other.me().name).map(|x| &x.record);
                if held.is_none_or(|r| {
                    r != other.me() && !(r.status <= Status::Leaving && r.same_for_remote(other.me()))
                }) {
                    let held = held.map(|r| (r.incarnation, r.status, r.ready));
                    list.push(format!("{} holds {held:?} of {:?}", m.me().name, other.me()));
                }
            }
        }
        list
    }

    /// Whether every running node has `version` in force or newer.
    pub fn all_in_force(&self, version: u64) -> bool {
        self.running().all(|(_, m)| m.table().get(&m.me().name).is_some_and(|x| x.in_force >= version))
    }

    /// Whether every running node sees engine `i` in `state`.
    pub fn all_see(&self, i: usize, state: State) -> bool {
        let name = &self.engines[i].spec.name;
        self.running().all(|(_, m)| m.engines.view(self.now, name).is_some_and(|v| v.state == state))
    }

    /// Whether every node of the engine's own data centre sees engine `i` in `state`.
    pub fn near_see(&self, i: usize, state: State) -> bool {
        let spec = &self.engines[i].spec;
        let near = |m: &Membership| m.me().data_centre == spec.data_centre;
        self.running()
            .filter(|(_, m)| near(m))
            .all(|(_, m)| m.engines.view(self.now, &spec.name).is_some_and(|v| v.state == state))
    }
}
