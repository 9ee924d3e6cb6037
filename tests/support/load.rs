//! A service under load in virtual time: hosts that admit by what they know, servers that run some requests at once and
//! queue the rest, callers that come back once.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use cranberrytally::relay::admission::{Admission, AdmissionRequest, ReportedLoad, ServiceLoad};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// What is played; times in milliseconds.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Hosts.
    pub hosts: usize,
    /// Servers, and requests that each runs at once.
    pub servers: usize,
    pub slots_per_server: usize,
    /// Time of a request that runs alone, and the part of it that each other request adds.
    pub service_time_ms: f64,
    pub slowdown: f64,
    /// Time within which an answer must begin, and which callers wait.
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// Age of what hosts know of each other's requests.
    pub state_lag_ms: u64,
    /// Whether servers tell what waits at them.
    pub reports_load: bool,
    /// Whether requests are admitted by the decision that is tested, or all.
    pub uses_admission: bool,
    /// Requests a second at most at all servers, as often as which callers ask, from and until when.
    pub surge: (f64, u64, u64),
    /// Servers that are lost while the surge goes on, and when.
    pub lost_servers: (usize, u64),
    /// Ranks of the requests, by turns.
    pub ranks: Vec<u32>,
}

/// What became of the requests that were asked in one second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondStats {
    /// Asked for the first time.
    pub asked: u32,
    /// Begun in time, in the second in which they began.
    pub in_time: u32,
    /// In time and asked, by rank.
    pub by_rank: BTreeMap<u32, (u32, u32)>,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    host: usize,
    rank: u32,
    asked: u64,
    sent: u64,
    left: f64,
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: Vec<Job>,
    queue: VecDeque<Job>,
}

impl Server {
    /// Requests of a host in progress.
    fn of(&self, host: usize) -> usize {
        self.running.iter().chain(&self.queue).filter(|job| job.host == host).count()
    }
}

impl Simulation {
    /// Requests a second that all servers finish when all places are taken, `lost_servers` of them not counted.
    pub fn capacity(&self, lost_servers: usize) -> f64 {
        let together = self.service_time_ms * (1.0 + self.slowdown * (self.slots_per_server - 1) as f64);
        ((self.servers - lost_servers) * self.slots_per_server) as f64 / together * 1_000.0
    }

    /// Plays so many seconds.
    pub fn run(&self, seconds: u64, seed: u64) -> Vec<SecondStats> {
        let mut run = Play::new(self, seconds, seed);
        for now in 0..seconds * 1_000 {
            run.tick(now);
        }
        run.seconds
    }
}

struct Play<'a> {
    load: &'a Simulation,
    rng: SmallRng,
    hosts: Vec<Admission>,
    servers: Vec<Server>,
    /// Requests in progress at each server, by the moment at which hosts hear of them.
    told: VecDeque<Vec<usize>>,
    returns: BTreeMap<u64, Vec<(u64, u32)>>,
    due: f64,
    asked: usize,
    seconds: Vec<SecondStats>,
}

const SERVICE: &str = "s";
/// Requests that a server queues, as a multiple of its places; it refuses more.
const QUEUE: usize = 3;

impl<'a> Play<'a> {
    fn new(load: &'a Simulation, seconds: u64, seed: u64) -> Self {
        Self {
            load,
            rng: SmallRng::seed_from_u64(seed),
            hosts: vec![Admission::default(); load.hosts],
            servers: vec![Server::default(); load.servers],
            told: VecDeque::new(),
            returns: BTreeMap::new(),
            due: 0.0,
            asked: 0,
            seconds: vec![SecondStats::default(); seconds as usize],
        }
    }

    fn tick(&mut self, now: u64) {
        if now == self.load.lost_servers.1 {
            self.servers.truncate(self.load.servers - self.load.lost_servers.0);
        }
        self.told.push_back(self.servers.iter().map(|s| s.running.len() + s.queue.len()).collect());
        if self.told.len() as u64 > self.load.state_lag_ms {
            self.told.pop_front();
        }
        for (asked, rank) in self.returns.remove(&now).unwrap_or_default() {
            self.ask(now, asked, rank);
        }
        let (times, from, until) = self.load.surge;
        let times = if (from..until).contains(&now) { times } else { 0.4 };
        self.due += times * self.load.capacity(0) / 1_000.0;
        while self.due >= 1.0 {
            self.due -= 1.0;
            let rank = self.load.ranks[self.asked % self.load.ranks.len()];
            self.asked += 1;
            let second = &mut self.seconds[now as usize / 1_000];
            second.asked += 1;
            second.by_rank.entry(rank).or_default().1 += 1;
            self.ask(now, now, rank);
        }
        for at in 0..self.servers.len() {
            self.serve(now, at);
        }
    }

    fn ask(&mut self, now: u64, asked: u64, rank: u32) {
        let host = self.rng.random_range(0..self.hosts.len());
        let known = &self.told[0];
        let others: usize = known.iter().take(self.servers.len()).sum();
        let own = self.servers.iter().map(|s| s.of(host)).sum::<usize>();
        let ask = AdmissionRequest {
            route: u64::from(rank),
            rank,
            route_rank: rank,
            objective: ms(self.load.objective_ms),
            left: ms((asked + self.load.deadline_ms).saturating_sub(now)),
            load: ServiceLoad {
                own: own as u32,
                all: others as u32,
                slots: (self.servers.len() * self.load.slots_per_server) as u32,
            },
        };
        let draws = [self.rng.random(), self.rng.random()];
        let service: Arc<str> = SERVICE.into();
        let refused =
            self.hosts[host].admit(ms(now), &service, ask, draws).err().filter(|_| self.load.uses_admission);
        if let Some(refused) = refused {
            if asked == now {
                let back = now + 1 + refused.after.as_millis() as u64;
                self.returns.entry(back).or_default().push((asked, rank));
            }
            return;
        }
        let at = self.rng.random_range(0..self.servers.len());
        let service_time_ms = self.load.service_time_ms * self.rng.random_range(0.5..1.5);
        if self.servers[at].queue.len() >= QUEUE * self.load.slots_per_server {
            return;
        }
        self.servers[at].queue.push_back(Job { host, rank, asked, sent: now, left: service_time_ms });
    }

    fn serve(&mut self, now: u64, at: usize) {
        let (load, service): (_, Arc<str>) = (self.load, SERVICE.into());
        let server = &mut self.servers[at];
        server.queue.retain(|job| job.asked + load.deadline_ms > now);
        while server.running.len() < load.slots_per_server {
            let Some(job) = server.queue.pop_front() else { break };
            server.running.push(job);
            let host = &mut self.hosts[job.host];
            host.record_wait(ms(now), &service, ms(load.objective_ms), ms(now - job.sent));
            if load.reports_load {
                let (running, waiting) = (server.running.len() as u32, server.queue.len() as u32);
                host.record_load(
                    ms(now),
                    &service,
                    ReportedLoad { running, waiting, slots: load.slots_per_server as u32 },
                );
            }
            if now <= job.asked + load.objective_ms {
                self.seconds[now as usize / 1_000].in_time += 1;
                self.seconds[job.asked as usize / 1_000].by_rank.entry(job.rank).or_default().0 += 1;
            }
        }
        let speed = 1.0 / (1.0 + load.slowdown * server.running.len().saturating_sub(1) as f64);
        server.running.iter_mut().for_each(|job| job.left -= speed);
        server.running.retain(|job| job.left > 0.0);
    }
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
