//! Simulation of a service under load in virtual time: hosts with admission control that know each other's load with a
//! delay, servers that run a limited number of requests and queue more, and callers that retry once after a rejection.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cranberrytally::relay::{
    admission::{Admission, AdmissionRequest, Refused, ReportedLoad, ServiceLoad},
    measurements::{Measurements, Topic, key},
    peers::Scope,
    plain::Counts,
    returns::{Arrival, Moment, Returns},
    shares::{Requester, Shares},
};
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
    /// What is different for a plain service, whose responses count once they are complete.
    pub plain: Option<Plain>,
    /// Workspaces of the requests, if they differ.
    pub workspaces: Option<Workspaces>,
    /// Placement of prompts at servers whose pace changes; without it, servers are drawn and requests start at once.
    pub placement: Option<Placement>,
}

/// Parameters of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct Plain {
    /// Rate of new requests outside the surge, as a multiple of the servers' total capacity.
    pub usual_load: f64,
    /// Maximum number of requests that a server queues.
    pub queue: usize,
    /// Time between two messages of a host with its counts; `None` if hosts tell nothing.
    pub message_interval_ms: Option<u64>,
    /// Number of servers that respond to everything with an error at once.
    pub failing_servers: usize,
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

/// Callers with different deadlines, and hosts that tell each other what returns they have promised.
#[derive(Clone, Debug)]
pub struct Returning {
    /// Whether hosts promise returns; if not, they give the delays of admission control.
    pub is_on: bool,
    /// Times for which the callers wait, assigned in turn, in milliseconds.
    pub deadlines_ms: Vec<u64>,
    /// Interval at which hosts tell each other their promises, in milliseconds; 0 if never.
    pub interval_ms: u64,
    /// Largest error of the hosts' wall clocks, in milliseconds.
    pub clock_error_ms: u64,
    /// Fraction of refused callers that come back.
    pub returning_fraction: f64,
}

/// Statistics of one second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondStats {
    /// Number of requests sent for the first time in this second.
    pub new_requests: u32,
    /// Number of requests that started in this second and within the objective.
    pub in_time: u32,
    /// Number of responses of a plain service that were complete only after the objective.
    pub late: u32,
    /// Number of requests first sent in this second that started before their deadline.
    pub served: u32,
    /// Number of requests first sent in this second that were refused again when they returned.
    pub refused_twice: u32,
    /// Numbers of requests first sent in this second, by rank: those that started within the objective, and all.
    pub by_rank: BTreeMap<u32, (u32, u32)>,
    /// The same numbers by workspace.
    pub by_workspace: BTreeMap<usize, (u32, u32)>,
    /// With placement: first events, all events, and events after a pause longer than allowed.
    pub begun: u32,
    pub events: u32,
    pub long_pauses: u32,
    /// Milliseconds in which a server held more than twice the mean load plus three.
    pub over_bound: u32,
}

/// Who sends a request and waits for it.
#[derive(Clone, Copy, Debug)]
struct Caller {
    rank: u32,
    workspace: usize,
    deadline_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    host: usize,
    rank: u32,
    workspace: usize,
    first_sent_at: u64,
    sent_at: u64,
    deadline_ms: u64,
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
        self.run_returning(seconds, seed, None)
    }

    /// The same with callers that return as `returning` says.
    pub fn run_returning(&self, seconds: u64, seed: u64, returning: Option<&Returning>) -> Vec<SecondStats> {
        let mut run = Run::new(self, seconds, seed);
        run.returning = returning.map(|load| ReturningRun::new(load, self.hosts));
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
    /// Time of the first attempt and caller of each retry, by the time at which it is sent.
    retries: BTreeMap<u64, Vec<(u64, Caller)>>,
    returning: Option<ReturningRun<'a>>,
    /// What each host knows of the others' counts.
    measurements: Vec<Measurements>,
    /// New requests that are due, with the fraction of the next one.
    arrivals_due: f64,
    /// Number of requests sent for the first time so far.
    arrivals: usize,
    seconds: Vec<SecondStats>,
    placements: Option<Placements>,
}

const SERVICE: &str = "s";
/// Distance of the first hosts of two workspaces.
const HOST_STEP: usize = 7;
/// Maximum number of requests that a server queues, as a multiple of its slots; it rejects more.
const QUEUE_PER_SLOT: usize = 3;
/// Data centres of the hosts.
const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];
/// Time between the messages of two hosts, which spreads them over an interval, in milliseconds.
const TURN_STEP_MS: u64 = 7;
/// Time after which hosts drop the counts of silent ones again, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 250;
/// Time between two loads that are averaged, in milliseconds.
const LOAD_SAMPLE_MS: usize = 20;

impl<'a> Run<'a> {
    fn new(config: &'a Simulation, seconds: u64, seed: u64) -> Self {
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            hosts: vec![Admission::default(); config.hosts],
            shares: vec![Default::default(); config.hosts],
            servers: vec![Server::default(); config.servers],
            load_history: VecDeque::new(),
            measurements: vec![Measurements::default(); config.hosts],
            retries: BTreeMap::new(),
            returning: None,
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
        self.record_loads();
        if let Some(placements) = &mut self.placements {
            placements.tick(now);
        }
        if let Some(returning) = &mut self.returning {
            returning.exchange(now);
        }
        self.tell_counts(now);
        for (first_sent_at, caller) in self.retries.remove(&now).unwrap_or_default() {
            self.send_request(now, first_sent_at, caller);
        }
        self.tell_measurements(now);
        let (load_factor, from, until) = self.config.surge;
        let usual_load = self.config.plain.map_or(0.4, |plain| plain.usual_load);
        let load_factor = if (from..until).contains(&now) { load_factor } else { usual_load };
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
            let deadlines = self.returning.as_ref().map_or(&[][..], |r| &r.load.deadlines_ms);
            let deadline_ms = deadlines.get(self.arrivals % deadlines.len().max(1)).copied();
            let deadline_ms = deadline_ms.unwrap_or(self.config.deadline_ms);
            self.send_request(now, now, Caller { rank, workspace, deadline_ms });
        }
        for server_index in 0..self.servers.len() {
            self.serve(now, server_index);
            if self.placements.is_some() {
                self.stream(now, server_index);
            }
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

    fn send_request(&mut self, now: u64, first_sent_at: u64, caller: Caller) {
        let Caller { rank, workspace, deadline_ms } = caller;
        let first_host = workspace * HOST_STEP;
        let hosts_each = self.config.workspaces.as_ref().map_or(self.hosts.len(), |w| w.hosts_each);
        let host = (first_host + self.rng.random_range(0..hosts_each)) % self.hosts.len();
        let others = self.load_of_others();
        let own = self.servers.iter().map(|s| s.requests_of(host)).sum::<usize>();
        let admission_request = AdmissionRequest {
            route: u64::from(rank) + 10 * deadline_ms,
            rank,
            route_rank: rank,
            objective: ms(self.config.objective_ms),
            time_left: ms((first_sent_at + deadline_ms).saturating_sub(now)),
            load: ServiceLoad {
                own: own as u32,
                all: others as u32,
                slots: (self.servers.len() * self.config.slots_per_server) as u32,
            },
        };
        let mut draws = [self.rng.random(), self.rng.random()];
        let service: Arc<str> = SERVICE.into();
        if self.config.plain.is_some() {
            let of_others = |topic| self.measurements[host].of_others(topic, key(SERVICE, ()));
            let (arrivals, results) = (of_others(Topic::Arrivals), of_others(Topic::Results));
            let others = Counts { arrivals, results, late: of_others(Topic::LateResults) };
            let hosts = self.measurements[host].host_count();
            self.hosts[host].adjust_plain(ms(now), &service, others, hosts);
        }
        let name = format!("w{workspace}");
        let from = Requester { service: &service, workspace: &name, rank, route_rank: rank };
        let arrival = self.returning.as_mut().map(|r| r.arrive(now, host, &admission_request, draws[1]));
        draws[0] += arrival.map_or(0.0, |arrival| arrival.advantage);
        let shares = &mut self.shares[host].0;
        let share = |chance| shares.chance(ms(now), from, chance);
        let mut decision =
            self.hosts[host].admit_by_share(ms(now), &service, admission_request, draws, share);
        if let (Some(returning), Some(arrival)) = (&mut self.returning, arrival) {
            decision = returning.settle(now, host, &admission_request, arrival, decision, draws[1]);
        }
        if let Err(refused) = decision
            && self.config.uses_admission
        {
            if first_sent_at != now {
                self.seconds[first_sent_at as usize / 1_000].refused_twice += 1;
            } else if self.returning.as_ref().is_none_or(|r| self.rng.random_bool(r.load.returning_fraction))
            {
                let retry_at = now + 1 + refused.retry_after.as_millis() as u64;
                self.retries.entry(retry_at).or_default().push((first_sent_at, caller));
            }
            return;
        }
        shares.record_admitted(ms(now), from);
        let placed = match &mut self.placements {
            Some(p) => {
                let loads = &self.load_history[0];
                p.place(now, host, loads, self.config.slots_per_server as u32, &mut self.rng)
            }
            None => Placed { server: self.rng.random_range(0..self.servers.len()), ..Placed::default() },
        };
        let server_index = placed.server;
        let service_time_ms = self.config.service_time_ms * self.rng.random_range(0.5..1.5);
        let max_queue =
            self.config.plain.map_or(QUEUE_PER_SLOT * self.config.slots_per_server, |plain| plain.queue);
        if self.config.plain.is_some_and(|plain| server_index < plain.failing_servers) {
            self.hosts[host].record_error(ms(now), &service, ms(self.config.objective_ms), ms(1));
            return;
        }
        if self.servers[server_index].queue.len() >= max_queue {
            return;
        }
        self.servers[server_index].queue.push_back(Request {
            host,
            rank,
            workspace,
            first_sent_at,
            sent_at: now,
            deadline_ms,
            remaining_ms: service_time_ms,
            placed,
            last_event_at: None,
            to_event_ms: EVENT_WORK_MS,
        });
    }

    fn serve(&mut self, now: u64, server_index: usize) {
        let (config, service): (_, Arc<str>) = (self.config, SERVICE.into());
        let server = &mut self.servers[server_index];
        server.queue.retain(|request| request.first_sent_at + request.deadline_ms > now);
        while server.running.len() < config.slots_per_server {
            let Some(request) = server.queue.pop_front() else { break };
            server.running.push(request);
            let host = &mut self.hosts[request.host];
            if config.plain.is_none() {
                host.record_wait(ms(now), &service, ms(config.objective_ms), ms(now - request.sent_at));
            }
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
            self.seconds[request.first_sent_at as usize / 1_000].served += 1;
            if now <= request.first_sent_at + config.objective_ms {
                self.seconds[now as usize / 1_000].in_time += u32::from(config.plain.is_none());
                let second = &mut self.seconds[request.first_sent_at as usize / 1_000];
                second.by_rank.entry(request.rank).or_default().0 += 1;
                second.by_workspace.entry(request.workspace).or_default().0 += 1;
            }
        }
        if self.placements.is_some() {
            return;
        }
        let speed = 1.0 / (1.0 + config.slowdown * server.running.len().saturating_sub(1) as f64);
        server.running.iter_mut().for_each(|request| request.remaining_ms -= speed);
        let done: Vec<_> = server.running.extract_if(.., |request| request.remaining_ms <= 0.0).collect();
        if config.plain.is_some() {
            done.iter().for_each(|request| self.complete(now, request));
        }
    }
}

impl Run<'_> {
    /// Records the present loads, and drops those that are too old to be known to any host.
    fn record_loads(&mut self) {
        self.load_history.push_back(self.servers.iter().map(|s| s.running.len() + s.queue.len()).collect());
        if self.load_history.len() > self.max_load_age() as usize {
            self.load_history.pop_front();
        }
    }

    /// Age of the oldest load that a host knows. Behind a plain service the ages of what hosts told spread evenly
    /// around their mean.
    fn max_load_age(&self) -> u64 {
        self.config.state_lag_ms * if self.config.plain.is_some() { 2 } else { 1 }
    }

    /// Requests in progress at the present servers, as known to a host.
    fn load_of_others(&self) -> usize {
        let total = |loads: &Vec<usize>| loads.iter().take(self.servers.len()).sum::<usize>();
        match self.config.plain {
            Some(_) => {
                let sampled = self.load_history.iter().step_by(LOAD_SAMPLE_MS);
                sampled.clone().map(total).sum::<usize>() / sampled.count()
            }
            None => total(&self.load_history[0]),
        }
    }

    /// Lets the hosts whose turn it is tell their counts to their data centre, and its sum to a host of each other one.
    fn tell_counts(&mut self, now: u64) {
        let Some(interval) = self.config.plain.and_then(|plain| plain.message_interval_ms) else { return };
        let is_due = |host: &usize| (now + *host as u64 * TURN_STEP_MS).is_multiple_of(interval);
        if now.is_multiple_of(EXPIRY_INTERVAL_MS) {
            self.measurements.iter_mut().for_each(|measured| measured.expire(ms(now)));
        }
        for from in (0..self.config.hosts).filter(is_due) {
            let counts = self.hosts[from].plain_counts(ms(now)).pop().map_or(Counts::default(), |(_, c)| c);
            let (measured, key) = (&mut self.measurements[from], key(SERVICE, ()));
            measured.set(Topic::Arrivals, key, counts.arrivals);
            measured.set(Topic::Results, key, counts.results);
            measured.set(Topic::LateResults, key, counts.late);
            self.send_measurements(now, from, Scope::Host);
            self.send_measurements(now, from, Scope::DataCentre);
        }
    }

    fn send_measurements(&mut self, now: u64, from: usize, scope: Scope) {
        let Some(message) = self.measurements[from].message(ms(now), 1, scope) else { return };
        let (hosts, addr) = (self.config.hosts, SocketAddr::from(([10, 0, 0, 1], from as u16)));
        let data_centre = |host: usize| DATA_CENTRES[host * DATA_CENTRES.len() / hosts];
        let own = data_centre(from);
        for centre in DATA_CENTRES.iter().filter(|c| (**c == own) == (scope == Scope::Host)) {
            let members = (0..hosts).filter(|to| *to != from && data_centre(*to) == *centre);
            let (skipped, taken) = match scope {
                Scope::Host => (0, hosts),
                Scope::DataCentre => ((now as usize + from) % members.clone().count(), 1),
            };
            for to in members.skip(skipped).take(taken) {
                self.measurements[to].receive(ms(now), addr, Some(own), centre, &message);
            }
        }
    }

    /// Counts a complete response of a plain service.
    fn complete(&mut self, now: u64, request: &Request) {
        let (objective, waited) = (ms(self.config.objective_ms), ms(now - request.sent_at));
        self.hosts[request.host].record_wait(ms(now), &SERVICE.into(), objective, waited);
        let second = &mut self.seconds[now as usize / 1_000];
        if now <= request.first_sent_at + self.config.objective_ms {
            second.in_time += 1;
        } else {
            second.late += 1;
        }
    }
}

/// What the hosts know of promised returns.
struct ReturningRun<'a> {
    load: &'a Returning,
    hosts: Vec<Returns>,
    measurements: Vec<Measurements>,
}

impl<'a> ReturningRun<'a> {
    fn new(load: &'a Returning, hosts: usize) -> Self {
        Self {
            load,
            hosts: vec![Returns::default(); hosts],
            measurements: vec![Measurements::default(); hosts],
        }
    }

    /// The moment by a host's clocks; the wall clocks of neighbours differ.
    fn moment(&self, now: u64, host: usize) -> Moment {
        let wall_ms = EPOCH_MS + now + self.load.clock_error_ms * (host % 3) as u64 / 2;
        Moment { now: ms(now), wall_ms, hosts: if self.load.is_on { self.hosts.len() } else { 1 } }
    }

    fn exchange(&mut self, now: u64) {
        if now.is_multiple_of(HOUSEKEEPING_INTERVAL_MS) {
            for host in 0..self.hosts.len() {
                let wall_ms = self.moment(now, host).wall_ms;
                self.hosts[host].expire(wall_ms, &mut self.measurements[host]);
            }
        }
        if self.load.interval_ms == 0 || !now.is_multiple_of(self.load.interval_ms) {
            return;
        }
        let messages: Vec<_> =
            self.measurements.iter_mut().map(|m| m.message(ms(now), 1, Scope::Host)).collect();
        for (to, measurements) in self.measurements.iter_mut().enumerate() {
            for (from, message) in messages.iter().enumerate().filter(|(from, _)| *from != to) {
                let addr = ([10, 0, 0, from as u8], 7_000).into();
                if let Some(message) = message {
                    measurements.receive(ms(now), addr, Some("a"), "a", message);
                }
            }
            measurements.expire(ms(now));
        }
    }

    fn arrive(&mut self, now: u64, host: usize, req: &AdmissionRequest, draw: f64) -> Arrival {
        let at = self.moment(now, host);
        self.hosts[host].arrive(at, &SERVICE.into(), req, &self.measurements[host], draw)
    }

    fn settle(
        &mut self,
        now: u64,
        host: usize,
        req: &AdmissionRequest,
        arrival: Arrival,
        decision: Result<(), Refused>,
        draw: f64,
    ) -> Result<(), Refused> {
        let at = self.moment(now, host);
        let measurements = &mut self.measurements[host];
        self.hosts[host].settle(at, &SERVICE.into(), req, arrival, decision, (measurements, draw))
    }
}

/// Wall-clock time at the start of a simulation.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Interval at which hosts drop what has expired.
const HOUSEKEEPING_INTERVAL_MS: u64 = 250;

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
