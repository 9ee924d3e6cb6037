//! Many followers in virtual time, with a fake platform and given delays of gossip and links.
//!
//! The followers are the real decision logic. Gossip is an input: each router tells its version to a few random
//! others once a period, and a share of these messages is lost.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::{Duration, Instant as Clock},
};

use cranberrytally::{
    catalog::{AnyObject, Object},
    objects::{Event, List, Version},
    revision::{Action, Follower, Member},
    schema::{
        configuration::{Delta, Fetch},
        link::{Frame, frame::Body},
        object::Meta,
    },
    util::Instant,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const TICK: Duration = Duration::from_millis(100);
const PAGE: usize = 1 << 20;
/// Length and authentication of a frame.
const FRAME_EXTRA: u64 = 20;
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(40);
const PLATFORM: Duration = Duration::from_millis(10);
/// Time in which other routers see that one has died.
const DETECTION: Duration = Duration::from_secs(3);

/// Size and gossip of a fleet.
#[derive(Clone, Copy)]
pub struct Setup {
    pub routers: usize,
    pub centres: usize,
    pub gossip_period: Duration,
    pub fanout: usize,
    pub loss: f64,
    pub seed: u64,
}

impl Setup {
    pub fn of(routers: usize) -> Self {
        let centres = (routers / 22).clamp(3, 15);
        let gossip_period = Duration::from_millis(500);
        Self { routers, centres, gossip_period, fanout: 3, loss: 0.05, seed: 1 }
    }
}

#[derive(Clone)]
enum Input {
    Tick,
    Gossip,
    Version { peer: usize, version: Version },
    Listed(Option<List>),
    WatchOpened { from: Version },
    Event(Event),
    WatchEnded,
    Fetch { peer: usize, fetch: Fetch },
    Fetched { peer: usize, delta: Option<Delta> },
    Members(Vec<usize>),
}

struct Due {
    at: Instant,
    seq: u64,
    to: usize,
    life: u32,
    input: Input,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// One router of the model.
pub struct Node {
    pub name: Arc<str>,
    pub centre: Arc<str>,
    pub follower: Option<Follower>,
    life: u32,
    /// Highest version with which it served.
    pub served: Version,
    pub watching: bool,
    /// Cut off from the platform and from all routers that are not cut off.
    pub cut_off: bool,
    pub bytes_in: u64,
    /// Versions in force with the time since when.
    installed: BTreeMap<Version, Instant>,
}

/// Calls that the platform saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    pub lists: u64,
    pub watches: u64,
    /// Most calls in one second.
    pub peak: u64,
}

/// The platform: its objects, history and faults.
#[derive(Default)]
pub struct FakePlatform {
    pub version: Version,
    objects: BTreeMap<(String, String), AnyObject>,
    log: Vec<Event>,
    pub down: bool,
    old: Option<List>,
    pub calls: Calls,
    second: (u64, u64),
}

impl FakePlatform {
    fn list(&self) -> List {
        List { version: self.version, items: self.objects.values().cloned().collect() }
    }

    fn count(&mut self, now: Instant) {
        if self.second.0 != now.as_secs() {
            self.second = (now.as_secs(), 0);
        }
        self.second.1 += 1;
        self.calls.peak = self.calls.peak.max(self.second.1);
    }
}

/// The fleet and its platform.
pub struct Model {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub platform: FakePlatform,
    setup: Setup,
    rng: StdRng,
    due: BinaryHeap<Reverse<Due>>,
    seq: u64,
    /// When each version was written.
    written: BTreeMap<Version, Instant>,
    /// Seconds from the write until in force, by version.
    pub delays: BTreeMap<Version, Vec<f64>>,
    /// Real time spent in followers.
    pub cpu: Duration,
    pub inputs: u64,
    /// What must never happen, as it happened.
    pub faults: Vec<String>,
}

impl Model {
    /// Fleet whose routers all start at once.
    pub fn new(setup: Setup) -> Self {
        let node = |i: usize| Node {
            name: format!("router-{i}").into(),
            centre: format!("centre-{}", i % setup.centres).into(),
            follower: None,
            life: 0,
            served: 0,
            watching: false,
            cut_off: false,
            bytes_in: 0,
            installed: BTreeMap::new(),
        };
        let mut model = Self {
            now: Duration::from_secs(1000),
            nodes: (0..setup.routers).map(node).collect(),
            platform: FakePlatform::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
            due: BinaryHeap::new(),
            seq: 0,
            written: BTreeMap::new(),
            delays: BTreeMap::new(),
            cpu: Duration::ZERO,
            inputs: 0,
            faults: Vec::new(),
        };
        for i in 0..setup.routers {
            model.start(i);
        }
        model
    }

    /// Starts a router with empty memory.
    pub fn start(&mut self, i: usize) {
        let me = Member { name: self.nodes[i].name.clone(), data_centre: self.nodes[i].centre.clone() };
        let follower = Follower::new(me, true, self.now, &mut self.rng);
        let node = &mut self.nodes[i];
        node.life += 1;
        node.follower = Some(follower);
        node.watching = false;
        self.send(i, TICK.mul_f64(0.1), Input::Tick);
        let phase = self.setup.gossip_period.mul_f64(self.rng.random());
        self.send(i, phase, Input::Gossip);
        let live = self.live();
        self.send(i, Duration::from_millis(200), Input::Members(live.clone()));
        for other in live {
            let list = self.live();
            self.send(other, Duration::from_millis(300), Input::Members(list));
        }
    }

    /// Ends a router at once; the others see it later.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].follower = None;
        self.nodes[i].life += 1;
        self.nodes[i].watching = false;
        for other in self.live() {
            let list = self.live();
            self.send(other, DETECTION, Input::Members(list));
        }
    }

    /// Routers that run.
    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&i| self.nodes[i].follower.is_some()).collect()
    }

    /// Writes an object into the platform.
    pub fn write(&mut self, kind: &str, name: &str, spec: serde_json::Value) -> Version {
        let platform = &mut self.platform;
        platform.version += 1;
        let version = platform.version;
        let metadata = Meta { name: name.into(), resource_version: version.to_string(), ..Meta::default() };
        let object = Object { kind: kind.into(), metadata, spec };
        platform.objects.insert((kind.into(), name.into()), object.clone());
        self.publish(Event { version, deleted: false, object });
        version
    }

    /// Deletes an object from the platform.
    pub fn delete(&mut self, kind: &str, name: &str) -> Version {
        let object = self.platform.objects.remove(&(kind.into(), name.into())).expect("an object");
        self.platform.version += 1;
        let version = self.platform.version;
        self.publish(Event { version, deleted: true, object });
        version
    }

    /// The change that was written last.
    pub fn last_event(&self) -> Event {
        self.platform.log.last().expect("something was written").clone()
    }

    fn publish(&mut self, event: Event) {
        self.written.insert(event.version, self.now);
        self.platform.log.push(event.clone());
        if self.platform.down || self.platform.old.is_some() {
            return;
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].watching {
                self.send(i, PLATFORM, Input::Event(event.clone()));
            }
        }
    }

    /// Takes the platform down or up; open watches end.
    pub fn set_down(&mut self, down: bool) {
        self.platform.down = down;
        self.end_watches();
    }

    /// The platform's list as it is now.
    pub fn snapshot(&self) -> List {
        self.platform.list()
    }

    /// Lets the platform answer with old data, or with the real data again; open watches end.
    pub fn answer_old(&mut self, old: Option<List>) {
        self.platform.old = old;
        self.end_watches();
    }

    /// Cuts routers off from the platform and from the others, or joins them again.
    pub fn set_cut_off(&mut self, routers: impl IntoIterator<Item = usize>, cut_off: bool) {
        for i in routers {
            self.nodes[i].cut_off = cut_off;
            if std::mem::take(&mut self.nodes[i].watching) {
                self.send(i, PLATFORM, Input::WatchEnded);
            }
        }
        for i in self.live() {
            let seen = self.live().into_iter().filter(|&j| self.meet(i, j)).collect();
            self.send(i, DETECTION, Input::Members(seen));
        }
    }

    /// Whether messages between two routers arrive.
    fn meet(&self, a: usize, b: usize) -> bool {
        self.nodes[a].cut_off == self.nodes[b].cut_off
    }

    fn end_watches(&mut self) {
        for i in 0..self.nodes.len() {
            if std::mem::take(&mut self.nodes[i].watching) {
                self.send(i, PLATFORM, Input::WatchEnded);
            }
        }
    }

    /// Runs for a span of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.due.peek().is_some_and(|d| d.0.at <= end) {
            let Some(Reverse(due)) = self.due.pop() else { break };
            self.now = due.at;
            if self.nodes[due.to].life == due.life {
                self.handle(due.to, due.input);
            }
        }
        self.now = end;
    }

    /// Runs until all live routers are ready with the platform's version; `None` when that takes longer than `most`.
    pub fn settle(&mut self, most: Duration) -> Option<Duration> {
        let start = self.now;
        while !self.agreed() {
            if self.now >= start + most {
                return None;
            }
            self.run(TICK);
        }
        Some(self.now - start)
    }

    /// Whether all live routers are ready and have the platform's version.
    pub fn agreed(&self) -> bool {
        let version = self.platform.version;
        let has = |f: &Follower| f.is_ready() && f.version() == version;
        self.nodes.iter().filter_map(|n| n.follower.as_ref()).all(has)
    }

    /// Seconds from a version's write until all live routers had it or a later one in force.
    pub fn everywhere(&self, version: Version) -> Option<f64> {
        let written = *self.written.get(&version)?;
        let since = |n: &Node| n.installed.range(version..).map(|(_, at)| *at).min();
        let live = self.nodes.iter().filter(|n| n.follower.is_some());
        let last = live.map(since).collect::<Option<Vec<_>>>()?.into_iter().max()?;
        Some((last - written).as_secs_f64())
    }

    /// Routers that hold a watch.
    pub fn watching(&self) -> usize {
        self.nodes.iter().filter(|n| n.watching).count()
    }

    fn send(&mut self, to: usize, after: Duration, input: Input) {
        self.seq += 1;
        let life = self.nodes[to].life;
        self.due.push(Reverse(Due { at: self.now + after, seq: self.seq, to, life, input }));
    }

    fn latency(&self, a: usize, b: usize) -> Duration {
        if self.nodes[a].centre == self.nodes[b].centre { NEAR } else { FAR }
    }

    fn handle(&mut self, i: usize, input: Input) {
        match input {
            Input::Gossip => return self.gossip(i),
            Input::Fetch { peer, fetch } => return self.serve(i, peer, &fetch),
            Input::Tick => self.send(i, TICK, Input::Tick),
            Input::WatchOpened { from } if !self.open_watch(i, from) => return,
            _ => {}
        }
        let Some(mut follower) = self.nodes[i].follower.take() else { return };
        let clock = Clock::now();
        let actions = self.step(i, &mut follower, input);
        self.cpu += clock.elapsed();
        self.inputs += 1;
        self.check(i, &follower);
        self.nodes[i].follower = Some(follower);
        for action in actions {
            self.act(i, action);
        }
    }

    fn step(&mut self, i: usize, follower: &mut Follower, input: Input) -> Vec<Action> {
        let (now, rng) = (self.now, &mut self.rng);
        match input {
            Input::Version { peer, version } => {
                follower.record_peer_version(now, &self.nodes[peer].name, version);
                Vec::new()
            }
            Input::Listed(list) => follower.listed(now, list, rng),
            Input::Event(event) => follower.watch_event(now, event),
            Input::WatchEnded => {
                follower.watch_ended(now, rng);
                Vec::new()
            }
            Input::WatchOpened { .. } => {
                follower.watch_opened(now);
                Vec::new()
            }
            Input::Fetched { peer, delta } => {
                if let Some(delta) = &delta {
                    self.nodes[i].bytes_in += frame_bytes(Body::Delta(delta.clone()));
                }
                let peer = self.nodes[peer].name.clone();
                follower.fetched(now, &peer, delta, rng)
            }
            Input::Members(list) => {
                let member = |&i: &usize| Member {
                    name: self.nodes[i].name.clone(),
                    data_centre: self.nodes[i].centre.clone(),
                };
                follower.set_members(list.iter().map(member).collect());
                Vec::new()
            }
            _ => follower.tick(now, rng),
        }
    }

    /// The promise: the version that a router serves never goes back, over its restarts too.
    fn check(&mut self, i: usize, follower: &Follower) {
        let node = &mut self.nodes[i];
        if !follower.is_ready() {
            return;
        }
        if follower.version() < node.served {
            let fault = format!("{} went from {} back to {}", node.name, node.served, follower.version());
            self.faults.push(fault);
        }
        node.served = follower.version();
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::List => {
                self.platform.count(self.now);
                self.platform.calls.lists += 1;
                let list = self.platform.old.clone().unwrap_or_else(|| self.platform.list());
                let answer = self.reaches_platform(i).then_some(list);
                self.send(i, PLATFORM * 2, Input::Listed(answer));
            }
            Action::Watch { from } => {
                self.platform.count(self.now);
                self.platform.calls.watches += 1;
                if !self.reaches_platform(i) {
                    self.send(i, PLATFORM, Input::WatchEnded);
                } else {
                    self.send(i, PLATFORM, Input::WatchOpened { from });
                }
            }
            Action::CloseWatch => self.nodes[i].watching = false,
            Action::Fetch { peer, fetch } => self.fetch(i, &peer, fetch),
            Action::Install { version } => {
                let written = self.written.range(..=version).next_back().map(|(_, at)| *at);
                let delay = self.now.saturating_sub(written.unwrap_or(self.now));
                self.delays.entry(version).or_default().push(delay.as_secs_f64());
                self.nodes[i].installed.insert(version, self.now);
            }
        }
    }

    fn reaches_platform(&self, i: usize) -> bool {
        !self.platform.down && !self.nodes[i].cut_off
    }

    fn open_watch(&mut self, i: usize, from: Version) -> bool {
        if !self.reaches_platform(i) {
            self.send(i, PLATFORM, Input::WatchEnded);
            return false;
        }
        self.nodes[i].watching = true;
        if self.platform.old.is_none() {
            let missed: Vec<_> = self.platform.log.iter().filter(|e| e.version > from).cloned().collect();
            for event in missed {
                self.send(i, PLATFORM, Input::Event(event));
            }
        }
        true
    }

    fn fetch(&mut self, i: usize, peer: &str, fetch: Fetch) {
        self.nodes[i].bytes_in += frame_bytes(Body::Fetch(fetch));
        let to = self.nodes.iter().position(|n| &*n.name == peer).expect("a router");
        let delay = self.latency(i, to);
        if self.nodes[to].follower.is_some() && self.meet(i, to) {
            self.send(to, delay, Input::Fetch { peer: i, fetch });
        }
    }

    fn serve(&mut self, i: usize, peer: usize, fetch: &Fetch) {
        let Some(follower) = &self.nodes[i].follower else { return };
        let clock = Clock::now();
        if follower.advertised_version() == 0 {
            return;
        }
        let delta = follower.store().delta(fetch.since, fetch.cursor, fetch.whole, PAGE);
        self.cpu += clock.elapsed();
        let delay = self.latency(i, peer);
        self.send(peer, delay, Input::Fetched { peer: i, delta: Some(delta) });
    }

    fn gossip(&mut self, i: usize) {
        self.send(i, self.setup.gossip_period, Input::Gossip);
        let version = self.nodes[i].follower.as_ref().map_or(0, Follower::advertised_version);
        for _ in 0..self.setup.fanout {
            let to = self.rng.random_range(0..self.nodes.len());
            let lost = self.rng.random_bool(self.setup.loss);
            if to != i && !lost && self.meet(i, to) && self.nodes[to].follower.is_some() {
                let delay = self.latency(i, to);
                self.send(to, delay, Input::Version { peer: i, version });
            }
        }
    }
}

fn frame_bytes(body: Body) -> u64 {
    let frame = Frame { call: 1 << 20, body: Some(body) };
    postcard::to_stdvec(&frame).map_or(0, |b| b.len() as u64) + FRAME_EXTRA
}

/// Spec of a valid engine pool, different for each `n`.
pub fn pool(n: u64) -> serde_json::Value {
    serde_json::json!({
        "engines": { "matchLabels": { "role": format!("r{n}") } },
        "loadBoundMilli": 1250,
        "models": [format!("model-{n}")],
    })
}
