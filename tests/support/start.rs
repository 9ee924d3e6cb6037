//! Model of a start of all hosts of a fleet at once, in virtual time: each host lacks the list of backend servers, which it
//! reads from the store or fetches from a host that has it. The store's link and the links of the hosts are shared equally by
//! the transfers on them. What the hosts decide is decided by the code of the relay.

#![allow(dead_code)]

use std::time::Duration;

use cranberrytally::{
    relay::{
        HOUSEKEEPING_INTERVAL, RelayConfig,
        distribution::{
            Capacity, MIN_PASSED_ON_BYTES, QUEUE_TIMEOUT, QUEUED_FETCHES, RETRY_PAUSE, Receivers, Referrals,
        },
        mesh::{FETCH_TIMEOUT, STALL_TIMEOUT},
        read_turn::ReadTurn,
    },
    schema::fleet::Fetch,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Virtual time after which the model gives up.
const MAX_TIME: Duration = Duration::from_secs(120);
/// Bytes per second of the store's link, 1 Gbit/s.
const STORE_LINK: f64 = 125e6;
/// Rate of a host's link in megabits per second, and in bytes per second.
const HOST_LINK_MBPS: f64 = 20.0;
const HOST_LINK: f64 = HOST_LINK_MBPS * 125_000.0;
/// Size of an entry in the store, and number of entries in a page of its list.
const ENTRY_BYTES: f64 = 300.0;
const PAGE_ENTRIES: f64 = 500.0;
/// Time within which all hosts start, and until a host hears of one that has the list.
const START_SPREAD: Duration = Duration::from_millis(300);
const HEARD_AFTER: Duration = Duration::from_millis(100);
/// Time from the decision to ask a host until it decides on its answer: a connection and a request over 25 ms each way.
const ASK_TIME: Duration = Duration::from_millis(50);

/// How hosts decide when to read the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// By [`ReadTurn`], in the packed form between hosts.
    Turn,
    /// The first page at once, and the rest at a random time within this range.
    Window(Duration, Duration),
}

impl Policy {
    /// Bytes of an entry between hosts.
    fn entry_bytes(self) -> f64 {
        match self {
            Policy::Turn => 30.0,
            Policy::Window(..) => 56.0,
        }
    }
}

/// How a host answers those that ask it for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// By [`Capacity`] and [`Receivers`]; hosts pass the list on while they receive it.
    PassedOn,
    /// Only hosts that have all of the list answer, `slots` hosts at once while `queue` hosts wait.
    Whole { slots: usize, queue: usize },
}

/// The fleet and what happens to its store.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub hosts: usize,
    pub servers: usize,
    /// Hosts that read at once, as all others hear of them first.
    pub seeds: usize,
    /// Until when the store is silent, counted from the start.
    pub silent_until: Duration,
    /// Until when each of its answers takes `slow_answer`; afterwards `ANSWER`.
    pub slow_until: Duration,
    pub slow_answer: Duration,
    pub policy: Policy,
    pub answers: Answers,
    /// One in this many hosts is of the version before, which passes on nothing before it has all; 0 for none.
    pub old_one_in: usize,
    /// One in this many hosts is killed at `killed_at` and stays away; 0 for none.
    pub killed_one_in: usize,
    pub killed_at: Duration,
    pub seed: u64,
}

/// Time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

/// What came of a start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// When the first host, half of the hosts and all hosts that are not killed had the list; `None` if some never had it.
    pub first: Option<Duration>,
    pub half: Option<Duration>,
    pub all: Option<Duration>,
    /// Bytes read from the store.
    pub store_bytes: f64,
    /// Mean number of times that a host asked another one.
    pub asked: f64,
}

#[derive(Clone, Debug)]
struct Reading {
    /// Pages of which the answer has not begun, and the time until the next one does.
    pages_left: f64,
    answer_in: Duration,
    page_bytes_left: f64,
}

#[derive(Clone, Copy, Debug)]
struct Fetching {
    source: usize,
    received: f64,
    since: Duration,
    /// Whether it has begun, and does not wait any more.
    has_begun: bool,
    /// When bytes last arrived.
    progress: Duration,
}

#[derive(Debug)]
struct Host {
    is_old: bool,
    killed_at: Option<Duration>,
    starts_at: Duration,
    turn: ReadTurn,
    /// End of the random wait, for a policy with a window.
    window_end: Duration,
    reading: Option<Reading>,
    fetching: Option<Fetching>,
    /// Hosts that fetch from it, in order; those behind the ones that it answers wait.
    fetchers: Vec<usize>,
    receivers: Receivers<usize>,
    referrals: Referrals,
    /// The host that gets its question at `ask_at`.
    asking: Option<usize>,
    ask_at: Duration,
    asked: usize,
    ready_at: Option<Duration>,
}

impl Start {
    /// A fleet with ten servers a host and a healthy store.
    pub fn of(hosts: usize) -> Self {
        Self {
            hosts,
            servers: 10 * hosts,
            seeds: 3,
            silent_until: Duration::ZERO,
            slow_until: Duration::ZERO,
            slow_answer: ANSWER,
            policy: Policy::Turn,
            answers: Answers::PassedOn,
            old_one_in: 0,
            killed_one_in: 0,
            killed_at: Duration::ZERO,
            seed: 1,
        }
    }

    fn list_bytes(&self) -> f64 {
        self.servers as f64 * ENTRY_BYTES
    }

    /// Plays the start.
    pub fn run(self) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut hosts: Vec<_> = (0..self.hosts).map(|n| self.host(n, &mut rng)).collect();
        let mut outcome = Outcome::default();
        let mut now = Duration::ZERO;
        while now < MAX_TIME && hosts.iter().any(|h| h.ready_at.is_none() && h.killed_at.is_none()) {
            now += STEP;
            self.begin_reads(now, &mut hosts);
            outcome.store_bytes += self.read(now, &mut hosts);
            self.kill(now, &mut hosts);
            self.end_waits(now, &mut hosts, &mut rng);
            self.ask_peers(now, &mut hosts, &mut rng);
            self.transfer(now, &mut hosts);
        }
        let alive: Vec<_> = hosts.iter().filter(|h| h.killed_at.is_none()).collect();
        let mut ready: Vec<_> = alive.iter().filter_map(|h| h.ready_at).collect();
        ready.sort_unstable();
        outcome.asked = hosts.iter().map(|h| h.asked as f64).sum::<f64>() / self.hosts as f64;
        outcome.first = ready.first().copied();
        outcome.half = ready.get(alive.len() / 2).copied();
        outcome.all = ready.last().copied().filter(|_| ready.len() == alive.len());
        outcome
    }

    fn host(&self, n: usize, rng: &mut SmallRng) -> Host {
        let starts_at = START_SPREAD.mul_f64(rng.random());
        let window = match self.policy {
            Policy::Window(min, max) => min + (max - min).mul_f64(rng.random()),
            Policy::Turn => Duration::ZERO,
        };
        Host {
            is_old: self.is_one_in(self.old_one_in, n),
            killed_at: None,
            starts_at,
            turn: ReadTurn::new(starts_at, self.list_bytes() as u64, rng.random()),
            window_end: starts_at + window,
            reading: None,
            fetching: None,
            fetchers: Vec::new(),
            receivers: Receivers::default(),
            referrals: Referrals::default(),
            asking: None,
            asked: 0,
            ask_at: starts_at + HEARD_AFTER,
            ready_at: None,
        }
    }

    fn begin_reads(&self, now: Duration, hosts: &mut [Host]) {
        let count = hosts.len();
        let answer = self.answer_time(now);
        for (n, host) in hosts.iter_mut().enumerate() {
            let is_done = host.ready_at.is_some() || host.killed_at.is_some();
            if is_done || host.reading.is_some() || now < host.starts_at {
                continue;
            }
            let due = match self.policy {
                _ if n < self.seeds => true,
                Policy::Turn => host.turn.is_due(now, count, false),
                Policy::Window(..) => now >= host.window_end,
            };
            if due {
                let pages_left = (self.servers as f64 / PAGE_ENTRIES).ceil();
                host.reading = Some(Reading { pages_left, answer_in: answer, page_bytes_left: 0.0 });
            }
        }
    }

    fn answer_time(&self, now: Duration) -> Duration {
        if now < self.slow_until { self.slow_answer } else { ANSWER }
    }

    /// Moves the reads from the store on; returns the bytes that were read.
    fn read(&self, now: Duration, hosts: &mut [Host]) -> f64 {
        if now < self.silent_until {
            return 0.0;
        }
        let is_receiving = |h: &Host| h.reading.as_ref().is_some_and(|r| r.page_bytes_left > 0.0);
        let readers = hosts.iter().filter(|h| is_receiving(h)).count();
        let share = HOST_LINK.min(STORE_LINK / readers.max(1) as f64) * STEP.as_secs_f64();
        let mut total = 0.0;
        for host in hosts {
            let Some(reading) = &mut host.reading else { continue };
            if reading.page_bytes_left > 0.0 {
                total += share.min(reading.page_bytes_left);
                reading.page_bytes_left -= share;
            } else if reading.pages_left <= 0.0 {
                host.ready_at = Some(now);
                host.reading = None;
            } else if reading.answer_in > STEP {
                reading.answer_in -= STEP;
            } else {
                reading.pages_left -= 1.0;
                reading.page_bytes_left = PAGE_ENTRIES * ENTRY_BYTES;
                reading.answer_in = self.answer_time(now);
            }
        }
        total
    }

    /// Bytes of the list between hosts.
    fn packed_bytes(&self) -> f64 {
        self.servers as f64 * self.policy.entry_bytes()
    }

    fn passes_on(&self) -> bool {
        self.answers == Answers::PassedOn && self.packed_bytes() >= MIN_PASSED_ON_BYTES as f64
    }

    /// Whether host `n` belongs to the hosts of which there is one in so many. Seeds don't.
    fn is_one_in(&self, many: usize, n: usize) -> bool {
        many > 0 && n >= self.seeds && n.is_multiple_of(many)
    }

    /// Kills hosts without a word to those that they answer.
    fn kill(&self, now: Duration, hosts: &mut [Host]) {
        if now < self.killed_at || now >= self.killed_at + STEP {
            return;
        }
        for n in (0..hosts.len()).filter(|n| self.is_one_in(self.killed_one_in, *n)) {
            hosts[n].killed_at = Some(now);
            hosts[n].reading = None;
            self.end_fetch(n, hosts);
        }
    }

    /// Ends the fetch of host `n`.
    fn end_fetch(&self, n: usize, hosts: &mut [Host]) {
        if let Some(Fetching { source, .. }) = hosts[n].fetching.take() {
            hosts[source].fetchers.retain(|fetcher| *fetcher != n);
            hosts[source].receivers.remove(&n);
        }
    }

    /// Units of capacity of a host, and how many an answer to host `to` takes.
    fn units(&self, source: &Host, to: &Host) -> (usize, usize) {
        match self.answers {
            Answers::Whole { slots, .. } => (slots, 1),
            Answers::PassedOn => {
                let capacity = Capacity::of(RelayConfig::concurrent_fetches(HOST_LINK_MBPS));
                let passes_on = !source.is_old && !to.is_old;
                (capacity.units(), capacity.units_per_answer(passes_on))
            }
        }
    }

    /// Maximum number of hosts that a host answers or lets wait.
    fn admitted(&self) -> usize {
        match self.answers {
            Answers::PassedOn => RelayConfig::concurrent_fetches(HOST_LINK_MBPS) + QUEUED_FETCHES,
            Answers::Whole { slots, queue } => slots + queue,
        }
    }

    /// Hosts that a host answers now; the others wait.
    fn answered(&self, source: usize, hosts: &[Host]) -> Vec<usize> {
        let host = &hosts[source];
        let mut taken = 0;
        let fits = |n: &usize| {
            let (units, needed) = self.units(host, &hosts[*n]);
            taken += needed;
            taken <= units
        };
        host.fetchers.iter().copied().take_while(fits).collect()
    }

    /// The host that `source` refers host `n` to.
    fn refer(&self, n: usize, source: usize, hosts: &[Host], rng: &mut SmallRng) -> Option<usize> {
        let may_be = !hosts[n].is_old && !hosts[source].is_old;
        hosts[source].receivers.refer(&Fetch::default(), &n, rng).filter(|_| may_be)
    }

    /// Turns away the hosts that have waited for too long, and ends transfers without progress.
    fn end_waits(&self, now: Duration, hosts: &mut [Host], rng: &mut SmallRng) {
        for n in 0..hosts.len() {
            let Some(fetching) = hosts[n].fetching else { continue };
            let Fetching { source, since, has_begun, progress, .. } = fetching;
            if !has_begun && since + QUEUE_TIMEOUT <= now {
                self.end_fetch(n, hosts);
                self.turn_away(now, n, source, hosts, rng);
            } else if has_begun && progress + STALL_TIMEOUT <= now {
                self.end_fetch(n, hosts);
                hosts[n].referrals = Referrals::default();
                hosts[n].ask_at = now + rng.random_range(RETRY_PAUSE);
            }
        }
    }

    /// Lets each host that lacks the list ask a host that has it, or one that it was referred to.
    fn ask_peers(&self, now: Duration, hosts: &mut [Host], rng: &mut SmallRng) {
        let knows = |h: &Host| h.ready_at.is_some_and(|at| at + HEARD_AFTER <= now);
        let sources: Vec<_> = (0..hosts.len()).filter(|n| knows(&hosts[*n])).collect();
        if sources.is_empty() {
            return;
        }
        for n in 0..hosts.len() {
            let host = &mut hosts[n];
            let is_done = host.ready_at.is_some() || host.killed_at.is_some();
            if is_done || host.fetching.is_some() || now < host.ask_at {
                continue;
            }
            if let Some(source) = host.asking.take() {
                host.asked += 1;
                self.answer(now, n, source, hosts, rng);
            } else {
                host.asking = Some(sources[rng.random_range(0..sources.len())]);
                host.ask_at = now + ASK_TIME;
            }
        }
    }

    /// Decides on the answer of `source` to host `n`.
    fn answer(&self, now: Duration, n: usize, source: usize, hosts: &mut [Host], rng: &mut SmallRng) {
        let host = &hosts[source];
        if host.killed_at.is_some() {
            hosts[n].referrals = Referrals::default();
            hosts[n].ask_at = now + FETCH_TIMEOUT + rng.random_range(RETRY_PAUSE);
            return;
        }
        let receives = self.passes_on() && !host.is_old && host.fetching.is_some_and(|f| f.received > 0.0);
        if host.ready_at.is_none() && !receives {
            // It has nothing yet, and says so.
            hosts[n].referrals = Referrals::default();
            hosts[n].ask_at = now + HOUSEKEEPING_INTERVAL;
            return;
        }
        hosts[source].fetchers.push(n);
        let is_admitted = hosts[source].fetchers.len() <= self.admitted();
        let is_answered = self.answered(source, hosts).contains(&n);
        if is_admitted && (is_answered || self.refer(n, source, hosts, rng).is_none()) {
            let fetching = Fetching { source, received: 0.0, since: now, has_begun: false, progress: now };
            hosts[n].fetching = Some(fetching);
        } else {
            hosts[source].fetchers.pop();
            self.turn_away(now, n, source, hosts, rng);
        }
    }

    /// Lets host `n` ask the host that `source` refers it to, or any host after a pause.
    fn turn_away(&self, now: Duration, n: usize, source: usize, hosts: &mut [Host], rng: &mut SmallRng) {
        let referral = self.refer(n, source, hosts, rng);
        let host = &mut hosts[n];
        host.asking = host.referrals.follow(referral);
        let pause = if host.asking.is_some() { ASK_TIME } else { rng.random_range(RETRY_PAUSE) };
        host.ask_at = now + pause;
    }

    /// Bytes of the list that a host can send to others.
    fn held(&self, host: &Host) -> f64 {
        match host.fetching {
            _ if host.ready_at.is_some() => self.packed_bytes(),
            Some(fetching) if !host.is_old => fetching.received,
            _ => 0.0,
        }
    }

    /// Moves the transfers between hosts on.
    fn transfer(&self, now: Duration, hosts: &mut [Host]) {
        let bytes = self.packed_bytes();
        let held: Vec<_> = hosts.iter().map(|h| self.held(h)).collect();
        for (source, held) in held.into_iter().enumerate() {
            if hosts[source].killed_at.is_some() {
                continue;
            }
            let answered = self.answered(source, hosts);
            let share = HOST_LINK / answered.len().max(1) as f64 * STEP.as_secs_f64();
            for n in answered {
                let Some(fetching) = &mut hosts[n].fetching else { continue };
                let received = held.min(fetching.received + share);
                if received > fetching.received {
                    (fetching.received, fetching.progress) = (received, now);
                }
                let begins = !std::mem::replace(&mut fetching.has_begun, true);
                if begins && self.passes_on() && !hosts[n].is_old && !hosts[source].is_old {
                    hosts[source].receivers.add(&Fetch::default(), n);
                }
                if received >= bytes {
                    self.end_fetch(n, hosts);
                    hosts[n].ready_at.get_or_insert(now);
                    hosts[n].reading = None;
                }
            }
        }
    }
}
