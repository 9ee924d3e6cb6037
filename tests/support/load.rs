//! Simulation of a service under load in virtual time: hosts with admission control that know each other's load with a
//! delay, servers that run a limited number of requests and queue more, and callers that retry once after a rejection.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cranberrytally::relay::{
    admission::{Admission, AdmissionRequest, ReportedLoad, ServiceLoad},
    measurements::Measurements,
    peers::Scope,
    shares::{Requester, Shares},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

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
    /// Workspaces of the requests, if they differ.
    pub workspaces: Option<Workspaces>,
}

/// Workspaces and what hosts tell each other of them.
#[derive(Clone, Debug)]
pub struct Workspaces {
    /// Usual rates of new requests, relative to each other.
    pub rates: Vec<f64>,
    /// Factor of the first workspace's rate during the surge.
    pub first_factor: f64,
    /// Number of hosts that the callers of a workspace use.
    pub hosts_each: usize,
    /// Number of data centres, over which the hosts are spread.
    pub data_centres: usize,
    /// Interval of each host's messages; 0 if hosts tell each other nothing.
    pub message_interval_ms: u64,
    /// Whether shares apply.
    pub uses_shares: bool,
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
    /// The same numbers by workspace.
    pub by_workspace: BTreeMap<usize, (u32, u32)>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    host: usize,
    rank: u32,
    workspace: usize,
    first_sent_at: u64,
    sent_at: u64,
    remaining_ms: f64,
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
    /// Shares and measurements of each host.
    shares: Vec<(Shares, Measurements)>,
    /// Time of the first attempt, rank and workspace of each retry, by the time at which it is sent.
    retries: BTreeMap<u64, Vec<(u64, u32, usize)>>,
    /// New requests that are due, with the fraction of the next one.
    arrivals_due: f64,
    /// Number of requests sent for the first time so far.
    arrivals: usize,
    seconds: Vec<SecondStats>,
}

const SERVICE: &str = "s";
/// Distance of the first hosts of two workspaces.
const HOST_STEP: usize = 7;
/// Maximum number of requests that a server queues, as a multiple of its slots; it rejects more.
const QUEUE_PER_SLOT: usize = 3;

impl<'a> Run<'a> {
    fn new(config: &'a Simulation, seconds: u64, seed: u64) -> Self {
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            hosts: vec![Admission::default(); config.hosts],
            shares: vec![Default::default(); config.hosts],
            servers: vec![Server::default(); config.servers],
            load_history: VecDeque::new(),
            retries: BTreeMap::new(),
            arrivals_due: 0.0,
            arrivals: 0,
            seconds: vec![SecondStats::default(); seconds as usize],
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
        for (first_sent_at, rank, workspace) in self.retries.remove(&now).unwrap_or_default() {
            self.send_request(now, first_sent_at, rank, workspace);
        }
        self.tell_measurements(now);
        let (load_factor, from, until) = self.config.surge;
        let load_factor = if (from..until).contains(&now) { load_factor } else { 0.4 };
        self.arrivals_due += load_factor * self.config.capacity(0) / 1_000.0;
        while self.arrivals_due >= 1.0 {
            self.arrivals_due -= 1.0;
            let rank = self.config.ranks[self.arrivals % self.config.ranks.len()];
            self.arrivals += 1;
            let workspace = self.draw_workspace((from..until).contains(&now));
            let second = &mut self.seconds[now as usize / 1_000];
            second.new_requests += 1;
            second.by_rank.entry(rank).or_default().1 += 1;
            second.by_workspace.entry(workspace).or_default().1 += 1;
            self.send_request(now, now, rank, workspace);
        }
        for server_index in 0..self.servers.len() {
            self.serve(now, server_index);
        }
    }

    fn draw_workspace(&mut self, in_surge: bool) -> usize {
        let Some(config) = &self.config.workspaces else { return 0 };
        let factor = |i| if i == 0 && in_surge { config.first_factor } else { 1.0 };
        let rates: Vec<_> = config.rates.iter().enumerate().map(|(i, rate)| rate * factor(i)).collect();
        let mut left = self.rng.random::<f64>() * rates.iter().sum::<f64>();
        let is_drawn = |rate: &f64| {
            left -= rate;
            left <= 0.0
        };
        rates.iter().position(is_drawn).unwrap_or(0)
    }

    /// Updates the shares of each host four times per second, and sends its measurements to its data centre and the sum
    /// of the data centre to one host of each other one.
    fn tell_measurements(&mut self, now: u64) {
        let Some(config) = self.config.workspaces.as_ref().filter(|w| w.uses_shares) else { return };
        let addr = |host: usize| SocketAddr::from(([10, 0, 0, 0], host as u16));
        for host in 0..self.shares.len() {
            let offset = host as u64 * 7;
            let (shares, measurements) = &mut self.shares[host];
            if (now + offset).is_multiple_of(250) {
                measurements.expire(ms(now));
                shares.update(ms(now), self.config.hosts, measurements);
            }
            if config.message_interval_ms == 0 || !(now + offset).is_multiple_of(config.message_interval_ms) {
                continue;
            }
            let own = measurements.message(ms(now), 1, Scope::Host);
            let sum = measurements.message(ms(now), 1, Scope::DataCentre);
            let centre = host % config.data_centres;
            let mut targets: Vec<_> =
                (0..self.config.hosts).filter(|h| h % config.data_centres == centre).collect();
            targets.retain(|target| *target != host);
            let per_centre = self.config.hosts / config.data_centres;
            let others = (0..config.data_centres).filter(|other| *other != centre);
            targets.extend(others.map(|c| c + config.data_centres * self.rng.random_range(0..per_centre)));
            for target in targets {
                let is_own = target % config.data_centres == centre;
                let Some(message) = (if is_own { &own } else { &sum }) else { continue };
                let names = [format!("{centre}"), format!("{}", target % config.data_centres)];
                let known = &mut self.shares[target].1;
                known.receive(ms(now), addr(host), Some(&names[0]), &names[1], message);
            }
        }
    }

    fn send_request(&mut self, now: u64, first_sent_at: u64, rank: u32, workspace: usize) {
        let first_host = workspace * HOST_STEP;
        let hosts_each = self.config.workspaces.as_ref().map_or(self.hosts.len(), |w| w.hosts_each);
        let host = (first_host + self.rng.random_range(0..hosts_each)) % self.hosts.len();
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
        let name = format!("w{workspace}");
        let from = Requester { service: &service, workspace: &name, rank, route_rank: rank };
        let shares = &mut self.shares[host].0;
        let refused = self.hosts[host]
            .admit_by_share(ms(now), &service, admission_request, draws, |c| shares.chance(ms(now), from, c))
            .err()
            .filter(|_| self.config.uses_admission);
        if let Some(refused) = refused {
            if first_sent_at == now {
                let retry_at = now + 1 + refused.retry_after.as_millis() as u64;
                self.retries.entry(retry_at).or_default().push((first_sent_at, rank, workspace));
            }
            return;
        }
        shares.record_admitted(ms(now), from);
        let server_index = self.rng.random_range(0..self.servers.len());
        let service_time_ms = self.config.service_time_ms * self.rng.random_range(0.5..1.5);
        if self.servers[server_index].queue.len() >= QUEUE_PER_SLOT * self.config.slots_per_server {
            return;
        }
        self.servers[server_index].queue.push_back(Request {
            host,
            rank,
            workspace,
            first_sent_at,
            sent_at: now,
            remaining_ms: service_time_ms,
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
            if now <= request.first_sent_at + config.objective_ms {
                self.seconds[now as usize / 1_000].in_time += 1;
                let second = &mut self.seconds[request.first_sent_at as usize / 1_000];
                second.by_rank.entry(request.rank).or_default().0 += 1;
                second.by_workspace.entry(request.workspace).or_default().0 += 1;
            }
        }
        let speed = 1.0 / (1.0 + config.slowdown * server.running.len().saturating_sub(1) as f64);
        server.running.iter_mut().for_each(|request| request.remaining_ms -= speed);
        server.running.retain(|request| request.remaining_ms > 0.0);
    }
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
