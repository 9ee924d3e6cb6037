//! Hosts, servers and callers in virtual time: servers crash by prompt parts and for other reasons, messages between hosts are
//! late or lost, hosts are killed and cut off from each other. The hosts decide by the product's own modules.

#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

use cranberrytally::{
    relay::crashes::{
        Crashes,
        begun::BEGINNING,
        cause::{CauseKey, Causes},
        quarantine::Verdict,
    },
    schema::fleet::{CrashReport, Quarantine},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Time after which a host counts as being in touch with the others again, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Key of the content of the request with this number, and of prompt parts.
const CONTENT_KEYS: u64 = 1 << 40;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: usize,
    pub servers: usize,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Sound and bad requests per second.
    pub sound_per_s: f64,
    pub bad_per_s: f64,
    /// When bad requests begin to come, in milliseconds.
    pub bad_from_ms: u64,
    /// Parts that crash servers, each from this time on; before, requests with it are sound.
    pub bad_parts: Vec<(u64, u64)>,
    /// Whether bad requests have a first part of their own, no other part than the bad one, or all bad parts at once.
    pub bad_first_part: bool,
    pub all_at_once: bool,
    /// Crashes for other reasons per second, and times at which half of the servers crash at once.
    pub other_crashes_per_s: f64,
    pub mass_crashes: Vec<u64>,
    /// Share of messages between hosts that are lost.
    pub loss: f64,
    /// Hosts killed per second.
    pub kills_per_s: f64,
    /// Times from and until which the first half of the hosts hears nothing of the others, nor they of it.
    pub partition: Option<(u64, u64)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: 6,
            servers: 9,
            length_ms: 40_000,
            sound_per_s: 60.0,
            bad_per_s: 4.0,
            bad_from_ms: 8_000,
            bad_parts: vec![(900, 0)],
            bad_first_part: false,
            all_at_once: false,
            other_crashes_per_s: 0.0,
            mass_crashes: Vec::new(),
            loss: 0.01,
            kills_per_s: 0.0,
            partition: None,
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By bad part: crashes, requests that reached servers later than the bound after the fifth crash from hosts in touch.
    pub crashes: BTreeMap<u64, usize>,
    pub late_arrivals: BTreeMap<u64, usize>,
    /// Sound requests that began at the first attempt, of those that came while bad ones were refused.
    pub sound: usize,
    pub sound_begun: usize,
    /// Sound requests that were refused as if they crashed servers.
    pub sound_refused: usize,
    /// Bad requests in the last quarter of the run that were sent, and all of them.
    pub bad_sent_at_end: usize,
    pub bad_at_end: usize,
    /// Bytes of all messages about crashes.
    pub bytes: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival { bad: bool },
    Begin { run: u64 },
    Settled { run: u64 },
    End { run: u64 },
    Broken { host: usize, run: Run },
    Restart { server: usize },
    OtherCrash,
    MassCrash,
    Kill,
    Report { to: usize, report: CrashReport },
    Told { to: usize, told: Quarantine },
    Tick,
}

#[derive(Clone, Debug)]
struct Run {
    id: u64,
    host: usize,
    incarnation: u64,
    server: usize,
    tag: u32,
    causes: Causes,
    bad: Option<u64>,
    first: bool,
    begun: Option<u64>,
}

struct Host {
    crashes: Crashes,
    started: u64,
    /// When it last was killed or cut off.
    disturbed: Option<u64>,
}

#[derive(Clone, Copy)]
struct Server {
    tag: u32,
    up: bool,
}

/// Plays a plan with a seed.
pub fn play(plan: &Plan, seed: u64) -> Outcome {
    let mut model = Model::new(plan, seed);
    model.run();
    model.outcome
}

struct Model<'a> {
    plan: &'a Plan,
    rng: SmallRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    runs: HashMap<u64, Run>,
    next_id: u64,
    next_tag: u32,
    fifth_crash: BTreeMap<u64, u64>,
    outcome: Outcome,
}

impl<'a> Model<'a> {
    fn new(plan: &'a Plan, seed: u64) -> Self {
        let host = |_| Host { crashes: Crashes::default(), started: 0, disturbed: None };
        let mut model = Self {
            plan,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            hosts: (0..plan.hosts).map(host).collect(),
            servers: (0..plan.servers).map(|n| Server { tag: n as u32 + 1, up: true }).collect(),
            runs: HashMap::new(),
            next_id: 1,
            next_tag: 1_000,
            fifth_crash: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        model.schedule_next(Event::Arrival { bad: false }, plan.sound_per_s);
        model.schedule_next(Event::Arrival { bad: true }, plan.bad_per_s);
        model.schedule_next(Event::OtherCrash, plan.other_crashes_per_s);
        model.schedule_next(Event::Kill, plan.kills_per_s);
        for at in &plan.mass_crashes {
            model.schedule(*at, Event::MassCrash);
        }
        model.schedule(50, Event::Tick);
        model
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Schedules the next event of a series with this rate.
    fn schedule_next(&mut self, event: Event, per_second: f64) {
        if per_second > 0.0 {
            let pause = -self.rng.random::<f64>().max(1e-9).ln() / per_second * 1_000.0;
            self.schedule(self.now + pause as u64 + 1, event);
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > self.plan.length_ms {
                break;
            }
            self.now = at;
            let event = self.events.remove(&id).unwrap();
            self.process(event);
        }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Arrival { bad } => {
                self.schedule_next(event, if bad { self.plan.bad_per_s } else { self.plan.sound_per_s });
                if !bad || self.now >= self.plan.bad_from_ms {
                    self.arrive(bad);
                }
            }
            Event::Begin { run } => self.begin(run),
            Event::Settled { run } => {
                if let Some(run) = self.runs.get(&run).cloned()
                    && self.hosts[run.host].started == run.incarnation
                {
                    let at = ms(run.begun.unwrap_or(self.now));
                    self.hosts[run.host].crashes.record_begun(ms(self.now), at, &run.causes);
                    self.exchange(run.host);
                }
            }
            Event::End { run } => {
                self.runs.remove(&run);
            }
            Event::Broken { host, run } => self.broken(host, run),
            Event::Restart { server } => {
                self.next_tag += 1;
                self.servers[server] = Server { tag: self.next_tag, up: true };
            }
            Event::OtherCrash => {
                self.schedule_next(event, self.plan.other_crashes_per_s);
                let server = self.rng.random_range(0..self.servers.len());
                self.crash(server, None);
            }
            Event::MassCrash => {
                for server in 0..self.servers.len() / 2 {
                    self.crash(server, None);
                }
            }
            Event::Kill => {
                self.schedule_next(event, self.plan.kills_per_s);
                self.kill();
            }
            Event::Report { to, report } => {
                self.hosts[to].crashes.hear_crash(ms(self.now), &report);
                self.exchange(to);
            }
            Event::Told { to, told } => {
                self.hosts[to].crashes.hear_quarantine(ms(self.now), &told);
                self.exchange(to);
            }
            Event::Tick => {
                for host in 0..self.hosts.len() {
                    self.hosts[host].crashes.settle(ms(self.now));
                    self.hosts[host].crashes.expire(ms(self.now));
                    self.exchange(host);
                }
                self.schedule(self.now + 10, Event::Tick);
            }
        }
    }

    /// A request with the parts of its route, of a topic and, if it is bad, a part that crashes servers.
    fn arrive(&mut self, bad: bool) {
        let route = self.rng.random_range(0..3u64);
        // Topics are asked for with very different frequencies.
        let topic = (self.rng.random::<f64>().powi(4) * 40.0) as u64;
        let mut parts = vec![CauseKey(1 + route), CauseKey(100 + route * 50 + topic)];
        let mut part = None;
        if bad {
            let key = self.plan.bad_parts[self.rng.random_range(0..self.plan.bad_parts.len())].0;
            part = Some(key);
            if self.plan.bad_first_part {
                parts = vec![CauseKey(key)];
            } else if self.plan.all_at_once {
                parts.extend(self.plan.bad_parts.iter().map(|(key, _)| CauseKey(*key)));
            } else {
                parts.push(CauseKey(key));
            }
        }
        self.next_id += 1;
        let causes =
            Causes { content: Some(CauseKey(CONTENT_KEYS + self.next_id)), parts, service: 1, scope: route };
        let host = self.rng.random_range(0..self.hosts.len());
        self.send(host, causes, part, true);
    }

    fn send(&mut self, host: usize, causes: Causes, bad: Option<u64>, first: bool) {
        let hosts = self.hosts.len();
        let now = ms(self.now);
        let may_try = |cause: CauseKey| (cause.0 as usize).is_multiple_of(hosts) == (host == 0);
        let verdict = match first {
            true => self.hosts[host].crashes.check(now, &causes, may_try),
            false if self.hosts[host].crashes.is_refused(&causes, None) => {
                Verdict::Refuse { cause: CauseKey(0), retry_after: ms(1) }
            }
            false => Verdict::Send,
        };
        let at_end = self.now > self.plan.length_ms / 4 * 3;
        let counts_sound = bad.is_none() && first && self.now > self.plan.length_ms / 2;
        self.outcome.sound += usize::from(counts_sound);
        self.outcome.bad_at_end += usize::from(bad.is_some() && first && at_end);
        if matches!(verdict, Verdict::Refuse { .. }) {
            self.outcome.sound_refused += usize::from(bad.is_none());
            return;
        }
        self.outcome.bad_sent_at_end += usize::from(bad.is_some() && at_end);
        let up: Vec<_> = (0..self.servers.len()).filter(|n| self.servers[*n].up).collect();
        if up.is_empty() {
            return;
        }
        if let Some(part) = bad {
            self.count_late(part, host);
        }
        let server = up[self.rng.random_range(0..up.len())];
        self.next_id += 1;
        let (tag, incarnation) = (self.servers[server].tag, self.hosts[host].started);
        let id = self.next_id;
        let run = Run { id, host, incarnation, server, tag, causes, bad, first, begun: None };
        self.runs.insert(id, run);
        let wait = self.rng.random_range(100..900);
        self.schedule(self.now + wait, Event::Begin { run: id });
    }

    /// Counts a bad request that reaches a server too late after the fifth crash by its part.
    fn count_late(&mut self, part: u64, host: usize) {
        let in_touch = |host: &Host| host.disturbed.is_none_or(|at| at + CONTACT_MS < self.now);
        let is_late = self.fifth_crash.get(&part).is_some_and(|at| at + CONTACT_MS < self.now);
        if is_late && in_touch(&self.hosts[host]) && !self.is_partitioned(CONTACT_MS) {
            *self.outcome.late_arrivals.entry(part).or_default() += 1;
        }
    }

    fn begin(&mut self, id: u64) {
        let Some(run) = self.runs.get(&id).cloned() else { return };
        // The host ends a request that has been found out meanwhile.
        if self.hosts[run.host].started == run.incarnation
            && self.hosts[run.host].crashes.is_refused(&run.causes, None)
        {
            self.runs.remove(&id);
            self.outcome.sound_refused += usize::from(run.bad.is_none());
            return;
        }
        if let Some(part) = run.bad
            && self.is_bad(part)
        {
            self.crash(run.server, Some(part));
            return;
        }
        let counts = run.first && self.now > self.plan.length_ms / 2;
        self.outcome.sound_begun += usize::from(counts);
        self.runs.get_mut(&id).unwrap().begun = Some(self.now);
        self.schedule(self.now + 1 + BEGINNING.as_millis() as u64, Event::Settled { run: id });
        let length = self.rng.random_range(150..2_000);
        self.schedule(self.now + length, Event::End { run: id });
    }

    fn is_bad(&self, part: u64) -> bool {
        self.plan.bad_parts.iter().any(|(key, from)| *key == part && self.now >= *from)
    }

    /// Ends a server and all requests there, which come back later.
    fn crash(&mut self, server: usize, part: Option<u64>) {
        if !self.servers[server].up {
            return;
        }
        self.servers[server].up = false;
        let restart = self.now + self.rng.random_range(1_000..4_000);
        self.schedule(restart, Event::Restart { server });
        if let Some(part) = part {
            let crashes = self.outcome.crashes.entry(part).or_default();
            *crashes += 1;
            if *crashes == 5 {
                self.fifth_crash.insert(part, self.now);
            }
        }
        let mut broken: Vec<u64> =
            self.runs.values().filter(|run| run.server == server).map(|run| run.id).collect();
        broken.sort_unstable();
        for id in broken {
            let run = self.runs.remove(&id).unwrap();
            let seen = self.now + self.rng.random_range(1..30);
            self.schedule(seen, Event::Broken { host: run.host, run });
        }
    }

    fn broken(&mut self, host: usize, run: Run) {
        if self.hosts[host].started != run.incarnation {
            return;
        }
        let crashes = &mut self.hosts[host].crashes;
        if run.begun.is_none_or(|at| ms(at) + BEGINNING > ms(self.now)) {
            crashes.record_broken(ms(self.now), run.tag, run.causes.clone());
            crashes.confirm(ms(self.now), run.tag);
        }
        self.exchange(host);
        if run.first && run.begun.is_none() {
            self.send(host, run.causes, run.bad, false);
        }
    }

    fn kill(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        self.runs.retain(|_, run| run.host != host);
        self.hosts[host] = Host { crashes: Crashes::default(), started: self.now, disturbed: Some(self.now) };
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            for told in self.hosts[other].crashes.quarantines(ms(self.now)) {
                self.deliver(other, host, 300, |to| Event::Told { to, told: told.clone() });
            }
        }
    }

    fn is_partitioned(&self, margin: u64) -> bool {
        self.plan.partition.is_some_and(|(from, until)| (from..until + margin).contains(&self.now))
    }

    /// Sends what a host has to tell.
    fn exchange(&mut self, from: usize) {
        let reports = self.hosts[from].crashes.take_reports(ms(self.now));
        let due = self.hosts[from].crashes.take_due(ms(self.now));
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            for (_, report) in &reports {
                self.deliver(from, to, 20, |to| Event::Report { to, report: report.clone() });
            }
            for told in &due {
                self.deliver(from, to, 5, |to| Event::Told { to, told: told.clone() });
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, delay: u64, event: impl FnOnce(usize) -> Event) {
        let half = self.hosts.len() / 2;
        if self.is_partitioned(0) && (from < half) != (to < half) || self.rng.random_bool(self.plan.loss) {
            return;
        }
        let at = self.now + delay + self.rng.random_range(1..10);
        self.schedule(at, event(to));
    }
}
