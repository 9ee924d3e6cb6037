//! Model of a start of all hosts of a fleet at once, in virtual time: each host lacks the list of backend servers, which it
//! reads from the store or fetches from a host that has it. The store's link and the links of the hosts are shared equally by
//! the transfers on them.

#![allow(dead_code)]

use std::time::Duration;

use cranberrytally::relay::read_turn::ReadTurn;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Virtual time after which the model gives up.
const MAX_TIME: Duration = Duration::from_secs(120);
/// Bytes per second of the store's link and of a host's link: 1 Gbit/s and 20 Mbit/s.
const STORE_LINK: f64 = 125e6;
const HOST_LINK: f64 = 2.5e6;
/// Size of an entry in the store, and number of entries in a page of its list.
const ENTRY_BYTES: f64 = 300.0;
const PAGE_ENTRIES: f64 = 500.0;
/// Time within which all hosts start, and until a host hears of one that has the list.
const START_SPREAD: Duration = Duration::from_millis(300);
const HEARD_AFTER: Duration = Duration::from_millis(100);
/// Pause after a host was busy.
const BUSY_PAUSE_MS: std::ops::Range<u64> = 50..200;

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
    /// Number of fetches that a host answers at once, and of those that wait for their turn there.
    pub slots: usize,
    pub queue: usize,
    pub seed: u64,
}

/// Time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

/// What came of a start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// When the first host, half of the hosts and all hosts had the list; `None` if some never had it.
    pub first: Option<Duration>,
    pub half: Option<Duration>,
    pub all: Option<Duration>,
    /// Bytes read from the store.
    pub store_bytes: f64,
}

#[derive(Clone, Debug)]
struct Reading {
    /// Pages of which the answer has not begun, and the time until the next one does.
    pages_left: f64,
    answer_in: Duration,
    page_bytes_left: f64,
}

#[derive(Clone, Debug)]
struct Host {
    starts_at: Duration,
    turn: ReadTurn,
    /// End of the random wait, for a policy with a window.
    window_end: Duration,
    reading: Option<Reading>,
    fetching: Option<(usize, f64)>,
    /// Hosts that fetch from it, in order.
    fetchers: Vec<usize>,
    ask_at: Duration,
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
            slots: 1,
            queue: 2,
            seed: 1,
        }
    }

    fn list_bytes(&self) -> f64 {
        self.servers as f64 * ENTRY_BYTES
    }

    /// Plays the start.
    pub fn run(self) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut hosts: Vec<_> = (0..self.hosts).map(|_| self.host(&mut rng)).collect();
        let mut outcome = Outcome::default();
        let mut now = Duration::ZERO;
        while now < MAX_TIME && hosts.iter().any(|h| h.ready_at.is_none()) {
            now += STEP;
            self.begin_reads(now, &mut hosts);
            outcome.store_bytes += self.read(now, &mut hosts);
            self.ask_peers(now, &mut hosts, &mut rng);
            self.transfer(now, &mut hosts);
        }
        let mut ready: Vec<_> = hosts.iter().filter_map(|h| h.ready_at).collect();
        ready.sort_unstable();
        outcome.first = ready.first().copied();
        outcome.half = ready.get(self.hosts / 2).copied();
        outcome.all = ready.last().copied().filter(|_| ready.len() == self.hosts);
        outcome
    }

    fn host(&self, rng: &mut SmallRng) -> Host {
        let starts_at = START_SPREAD.mul_f64(rng.random());
        let window = match self.policy {
            Policy::Window(min, max) => min + (max - min).mul_f64(rng.random()),
            Policy::Turn => Duration::ZERO,
        };
        Host {
            starts_at,
            turn: ReadTurn::new(starts_at, self.list_bytes() as u64, rng.random()),
            window_end: starts_at + window,
            reading: None,
            fetching: None,
            fetchers: Vec::new(),
            ask_at: starts_at + HEARD_AFTER,
            ready_at: None,
        }
    }

    fn begin_reads(&self, now: Duration, hosts: &mut [Host]) {
        let count = hosts.len();
        let answer = self.answer_time(now);
        for (n, host) in hosts.iter_mut().enumerate() {
            if host.ready_at.is_some() || host.reading.is_some() || now < host.starts_at {
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

    /// Lets each host that lacks the list ask a host that has it.
    fn ask_peers(&self, now: Duration, hosts: &mut [Host], rng: &mut SmallRng) {
        let knows = |h: &Host| h.ready_at.is_some_and(|at| at + HEARD_AFTER <= now);
        let sources: Vec<_> = (0..hosts.len()).filter(|n| knows(&hosts[*n])).collect();
        if sources.is_empty() {
            return;
        }
        let bytes = self.servers as f64 * self.policy.entry_bytes();
        for n in 0..hosts.len() {
            let host = &hosts[n];
            if host.ready_at.is_some() || host.fetching.is_some() || now < host.ask_at {
                continue;
            }
            let source = sources[rng.random_range(0..sources.len())];
            if hosts[source].fetchers.len() < self.slots + self.queue {
                hosts[source].fetchers.push(n);
                hosts[n].fetching = Some((source, bytes));
            } else {
                hosts[n].ask_at = now + Duration::from_millis(rng.random_range(BUSY_PAUSE_MS));
            }
        }
    }

    /// Moves the transfers between hosts on.
    fn transfer(&self, now: Duration, hosts: &mut [Host]) {
        for source in 0..hosts.len() {
            let served: Vec<_> = hosts[source].fetchers.iter().copied().take(self.slots).collect();
            let share = HOST_LINK / served.len().max(1) as f64 * STEP.as_secs_f64();
            for n in served {
                let Some((_, left)) = &mut hosts[n].fetching else { continue };
                *left -= share;
                if *left <= 0.0 {
                    hosts[n].fetching = None;
                    hosts[n].ready_at = Some(now);
                    hosts[n].reading = None;
                    hosts[source].fetchers.retain(|fetcher| *fetcher != n);
                }
            }
        }
    }
}
