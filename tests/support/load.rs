//! Simulation of a service under load in virtual time: hosts with admission control that know each other's load with a
//! delay, servers that run a limited number of requests and queue more, and callers that retry once after a rejection.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use cranberrytally::relay::admission::{Admission, AdmissionRequest, ReportedLoad, ServiceLoad};
use rand::{Rng, SeedableRng, rngs::SmallRng};

mod placement;

pub use placement::Placement;
use placement::{EVENT_WORK_MS, Placed, Placements, SPEED_DURING_PREFILL, TOKENS_PER_MS};

/// Parameters of a simulation; times in milliseconds.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of servers, and of requests that each runs concurrently.
    pub servers: usize,
    pub slots_per_server: usize,
    /// Mean service time of a request that runs alone, and the fraction of it that each concurrent request adds.
    pub service_time_ms: f64,
    pub slowdown: f64,
    /// Time within which a request must start, and time for which callers wait.
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// Age of the requests in progress that hosts know of each other.
    pub state_lag_ms: u64,
    /// Whether servers report their running and queued requests.
    pub reports_load: bool,
    /// Whether admission control rejects requests; if not, all are admitted.
    pub uses_admission: bool,
    /// Surge of new requests: rate as a multiple of the servers' total capacity, start and end.
    pub surge: (f64, u64, u64),
    /// Number of servers lost during the surge, and the time of the loss.
    pub lost_servers: (usize, u64),
    /// Ranks that are assigned to the requests in turn.
    pub ranks: Vec<u32>,
    /// Placement of prompts at servers whose pace changes; without it, servers are drawn and requests start at once.
    pub placement: Option<Placement>,
}

/// Statistics of one second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondStats {
    /// Number of requests sent for the first time in this second.
    pub new_requests: u32,
    /// Number of requests that started in this second and within the objective.
    pub in_time: u32,
    /// Numbers of requests first sent in this second, by rank: those that started within the objective, and all.
    pub by_rank: BTreeMap<u32, (u32, u32)>,
    /// With placement: first events, all events, and events after a pause longer than allowed.
    pub begun: u32,
    pub events: u32,
    pub long_pauses: u32,
    /// Milliseconds in which a server held more than twice the mean load plus three.
    pub over_bound: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    host: usize,
    rank: u32,
    first_sent_at: u64,
    sent_at: u64,
    remaining_ms: f64,
    placed: Placed,
    /// When its latest event was sent, and the work until the next one.
    last_event_at: Option<u64>,
    to_event_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: Vec<Request>,
    queue: VecDeque<Request>,
}

impl Server {
    /// Number of running and queued requests of a host.
    fn requests_of(&self, host: usize) -> usize {
        self.running.iter().chain(&self.queue).filter(|request| request.host == host).count()
    }
}

impl Simulation {
    /// Requests per second that the servers finish with all slots in use, after the loss of `lost_servers`.
    pub fn capacity(&self, lost_servers: usize) -> f64 {
        let time_at_full_load =
            self.service_time_ms * (1.0 + self.slowdown * (self.slots_per_server - 1) as f64);
        ((self.servers - lost_servers) * self.slots_per_server) as f64 / time_at_full_load * 1_000.0
    }

    /// Simulates `seconds` seconds in steps of 1 ms.
    pub fn run(&self, seconds: u64, seed: u64) -> Vec<SecondStats> {
        let mut run = Run::new(self, seconds, seed);
        for now in 0..seconds * 1_000 {
            run.tick(now);
        }
        run.seconds
    }
}

/// State of a running simulation.
struct Run<'a> {
    config: &'a Simulation,
    rng: SmallRng,
    hosts: Vec<Admission>,
    servers: Vec<Server>,
    /// Requests in progress at each server in the last `state_lag_ms`, oldest first; hosts know the oldest entry.
    load_history: VecDeque<Vec<usize>>,
    /// Time of the first attempt and rank of each retry, by the time at which it is sent.
    retries: BTreeMap<u64, Vec<(u64, u32)>>,
    /// New requests that are due, with the fraction of the next one.
    arrivals_due: f64,
    /// Number of requests sent for the first time so far.
    arrivals: usize,
    seconds: Vec<SecondStats>,
    placements: Option<Placements>,
}

const SERVICE: &str = "s";
/// Maximum number of requests that a server queues, as a multiple of its slots; it rejects more.
const QUEUE_PER_SLOT: usize = 3;

impl<'a> Run<'a> {
    fn new(config: &'a Simulation, seconds: u64, seed: u64) -> Self {
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            hosts: vec![Admission::default(); config.hosts],
            servers: vec![Server::default(); config.servers],
            load_history: VecDeque::new(),
            retries: BTreeMap::new(),
            arrivals_due: 0.0,
            arrivals: 0,
            seconds: vec![SecondStats::default(); seconds as usize],
            placements: config.placement.map(|p| Placements::new(p, config.hosts, config.servers, seed)),
        }
    }

    fn tick(&mut self, now: u64) {
        if now == self.config.lost_servers.1 {
            self.servers.truncate(self.config.servers - self.config.lost_servers.0);
        }
        self.load_history.push_back(self.servers.iter().map(|s| s.running.len() + s.queue.len()).collect());
        if self.load_history.len() as u64 > self.config.state_lag_ms {
            self.load_history.pop_front();
        }
        if let Some(placements) = &mut self.placements {
            placements.tick(now);
        }
        for (first_sent_at, rank) in self.retries.remove(&now).unwrap_or_default() {
            self.send_request(now, first_sent_at, rank);
        }
        let (load_factor, from, until) = self.config.surge;
        let load_factor = if (from..until).contains(&now) { load_factor } else { 0.4 };
        self.arrivals_due += load_factor * self.config.capacity(0) / 1_000.0;
        while self.arrivals_due >= 1.0 {
            self.arrivals_due -= 1.0;
            let rank = self.config.ranks[self.arrivals % self.config.ranks.len()];
            self.arrivals += 1;
            let second = &mut self.seconds[now as usize / 1_000];
            second.new_requests += 1;
            second.by_rank.entry(rank).or_default().1 += 1;
            self.send_request(now, now, rank);
        }
        for server_index in 0..self.servers.len() {
            self.serve(now, server_index);
            if self.placements.is_some() {
                self.stream(now, server_index);
            }
        }
    }

    fn send_request(&mut self, now: u64, first_sent_at: u64, rank: u32) {
        let host = self.rng.random_range(0..self.hosts.len());
        let reported_loads = &self.load_history[0];
        let others: usize = reported_loads.iter().take(self.servers.len()).sum();
        let own = self.servers.iter().map(|s| s.requests_of(host)).sum::<usize>();
        let admission_request = AdmissionRequest {
            route: u64::from(rank),
            rank,
            route_rank: rank,
            objective: ms(self.config.objective_ms),
            time_left: ms((first_sent_at + self.config.deadline_ms).saturating_sub(now)),
            load: ServiceLoad {
                own: own as u32,
                all: others as u32,
                slots: (self.servers.len() * self.config.slots_per_server) as u32,
            },
        };
        let draws = [self.rng.random(), self.rng.random()];
        let service: Arc<str> = SERVICE.into();
        let refused = self.hosts[host]
            .admit(ms(now), &service, admission_request, draws)
            .err()
            .filter(|_| self.config.uses_admission);
        if let Some(refused) = refused {
            if first_sent_at == now {
                let retry_at = now + 1 + refused.retry_after.as_millis() as u64;
                self.retries.entry(retry_at).or_default().push((first_sent_at, rank));
            }
            return;
        }
        let placed = match &mut self.placements {
            Some(p) => p.place(now, host, reported_loads, self.config.slots_per_server as u32, &mut self.rng),
            None => Placed { server: self.rng.random_range(0..self.servers.len()), ..Placed::default() },
        };
        let server_index = placed.server;
        let service_time_ms = self.config.service_time_ms * self.rng.random_range(0.5..1.5);
        if self.servers[server_index].queue.len() >= QUEUE_PER_SLOT * self.config.slots_per_server {
            return;
        }
        self.servers[server_index].queue.push_back(Request {
            host,
            rank,
            first_sent_at,
            sent_at: now,
            remaining_ms: service_time_ms,
            placed,
            last_event_at: None,
            to_event_ms: EVENT_WORK_MS,
        });
    }

    fn serve(&mut self, now: u64, server_index: usize) {
        let (config, service): (_, Arc<str>) = (self.config, SERVICE.into());
        let server = &mut self.servers[server_index];
        server.queue.retain(|request| request.first_sent_at + config.deadline_ms > now);
        while server.running.len() < config.slots_per_server {
            let Some(request) = server.queue.pop_front() else { break };
            server.running.push(request);
            let host = &mut self.hosts[request.host];
            host.record_wait(ms(now), &service, ms(config.objective_ms), ms(now - request.sent_at));
            if config.reports_load {
                let (running, waiting) = (server.running.len() as u32, server.queue.len() as u32);
                host.record_load(
                    ms(now),
                    &service,
                    ReportedLoad { running, waiting, slots: config.slots_per_server as u32 },
                );
            }
            if let Some(placements) = &mut self.placements {
                placements.report(now, request.host, server_index, &mut self.rng);
                continue;
            }
            if now <= request.first_sent_at + config.objective_ms {
                self.seconds[now as usize / 1_000].in_time += 1;
                self.seconds[request.first_sent_at as usize / 1_000]
                    .by_rank
                    .entry(request.rank)
                    .or_default()
                    .0 += 1;
            }
        }
        if self.placements.is_some() {
            return;
        }
        let speed = 1.0 / (1.0 + config.slowdown * server.running.len().saturating_sub(1) as f64);
        server.running.iter_mut().for_each(|request| request.remaining_ms -= speed);
        server.running.retain(|request| request.remaining_ms > 0.0);
    }
}

impl Run<'_> {
    /// Prefills the oldest prompt of a server, and lets its other requests send events.
    fn stream(&mut self, now: u64, server_index: usize) {
        let Some(placements) = &mut self.placements else { return };
        let (config, stats) = (self.config, &mut self.seconds[now as usize / 1_000]);
        let mean = self.servers.iter().map(|s| s.running.len() + s.queue.len()).sum::<usize>() as f64
            / self.servers.len() as f64;
        let server = &mut self.servers[server_index];
        let load = (server.running.len() + server.queue.len()) as f64;
        stats.over_bound += u32::from(load > 2.0 * mean + 3.0);
        let mut speed = 1.0 / placements.slowness(server_index);
        if let Some(prompt) = server.running.iter_mut().find(|request| request.placed.to_prefill > 0.0) {
            let tokens = prompt.placed.to_prefill.min(TOKENS_PER_MS * speed);
            prompt.placed.to_prefill -= tokens;
            speed *= SPEED_DURING_PREFILL;
        }
        speed /= 1.0 + config.slowdown * server.running.len().saturating_sub(1) as f64;
        let allowed_pause = config.placement.map_or(0, |p| u64::from(p.allowed_pause_ms));
        for request in server.running.iter_mut().filter(|request| request.placed.to_prefill <= 0.0) {
            request.remaining_ms -= speed;
            request.to_event_ms -= speed;
            if request.to_event_ms > 0.0 && request.remaining_ms > 0.0 {
                continue;
            }
            request.to_event_ms = EVENT_WORK_MS;
            stats.events += 1;
            match request.last_event_at.replace(now) {
                Some(last) => stats.long_pauses += u32::from(now - last > allowed_pause),
                None => {
                    placements.begin_stream(now, request.host, request.placed, ms(now - request.sent_at));
                    stats.begun += 1;
                    stats.in_time += u32::from(now <= request.first_sent_at + config.objective_ms);
                }
            }
        }
        server.running.retain(|request| request.remaining_ms > 0.0);
    }
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
