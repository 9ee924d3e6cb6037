//! Relays requests from callers to backend servers. A request passes through these modules in order:
//!
//! 1. [`routes`] maps host name and path to a route and an API key to a workspace; [`request`] is the result.
//! 2. [`admission`] decides whether the request is sent at all while its service is overloaded.
//! 3. [`run`] makes the attempts of the request, each an `attempt`. It asks `choose` and [`place`] for a server, [`pool`]
//!    for a connection, and [`attempts`] after a failure whether another attempt may follow. [`hold`] begins another one
//!    beside an attempt whose server is silent, as [`silence`] decides.
//! 4. [`answer`] and [`stream`] pass the answer back.
//!
//! Decisions are made in modules without I/O: [`routes`], [`backends`], [`admission`], [`place`], [`holders`],
//! [`health`], [`hot_servers`], [`brittle`], [`budget`], [`buffers`], [`crashes`], [`configurations`], [`confirm`],
//! [`evacuations`], [`revision`], [`warmup`], [`datagram`], [`followers`], [`contact`], [`read_turn`], [`distribution`],
//! [`directory`], [`attempts`], [`peers`],
//! [`leave`], [`events`], [`measurements`], [`pace`], [`prefill`], [`plain`], [`shares`], [`returns`], [`origins`], [`reach`],
//! [`silence`], [`stall`], [`unacked`]. The I/O is in [`inbound`], [`pool`], [`server_socket`], [`frames`], [`head_limit`], [`tunnel`], [`run`],
//! `attempt`, `sent`, [`hold`], [`stream`], [`follow`] and [`mesh`]. [`rounds`] counts how often the background tasks wake up.
//! [`Wire`] and [`follow::Store`] are the traits that an adapter implements. This file holds the state of a host; `updates`
//! changes and logs what the host knows, and `stop` shuts the host down.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use anyhow::Result;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::{Notify, OnceCell, watch};

use crate::{
    bodies::Bodies,
    logs::lines::{Level, Line, line},
    metrics::Metrics,
    objects::bucket::TokenBucket,
    schema::fleet::{Held, Member},
    util::{Instant, lock, now, wall_ms},
};

pub mod admission;
pub mod answer;
mod answer_head;
mod attempt;
pub mod attempts;
pub mod backends;
pub mod brittle;
pub mod budget;
pub mod buffers;
pub mod capacity;
mod choose;
pub mod configurations;
pub mod confirm;
pub mod connections;
pub mod contact;
mod continuation;
pub mod crash_reports;
pub mod crashes;
pub mod cut;
pub mod datagram;
pub mod directory;
pub mod distribution;
pub mod evacuations;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod followers;
pub mod frames;
pub mod head_limit;
pub mod health;
mod heartbeat;
pub mod hold;
pub mod holders;
pub mod hot_servers;
pub mod inbound;
pub mod leave;
pub mod measurements;
pub mod mesh;
pub mod origins;
pub mod outcome;
pub mod pace;
pub mod pace_reports;
pub mod peers;
pub mod place;
pub mod plain;
pub mod pool;
pub mod prefill;
pub mod reach;
pub mod read_turn;
pub mod request;
pub mod rerouted;
pub mod returns;
pub mod revision;
pub mod rounds;
pub mod routes;
pub mod run;
mod sent;
pub mod server_socket;
pub mod shares;
pub mod silence;
pub mod stall;
mod stop;
pub mod stream;
pub mod tunnel;
pub mod unacked;
pub mod updates;
pub mod warmup;
mod wire;

use admission::Admission;
use backends::{BackendKey, Backends};
use brittle::Brittle;
use budget::{BudgetConfig, FleetBudget};
use buffers::Buffers;
use capacity::Capacity;
use configurations::ConfigurationHistory;
use confirm::{Confirmations, Topic};
use connections::Connections;
use crashes::Crashes;
use evacuations::Evacuations;
use exchange::Outbox;
use follow::{Hosts, VersionsRead};
use followers::FollowState;
use health::Health;
use holders::Holders;
use hot_servers::HotServers;
use leave::Leaving;
use measurements::Measurements;
use origins::{Origins, questions::Questions, saved::Part};
use pace::Paces;

use peers::{LocalVersions, Peers};
use plain::{hooks::PlainEvent, repeats::Repeats};
use pool::{Conn, Pool};
use prefill::Prefill;
use reach::Reach;
use request::Request;
use rerouted::Rerouted;
use returns::Returns;
use revision::{EpochTracker, Revision};
use rounds::{Rounds, Task};
use routes::Routes;
use shares::Shares;
use stall::Stall;
use warmup::Warmup;
pub use wire::{AttemptContext, PaceReport, Refusal, ResponseHead, Wire};

/// Settings of a relaying host.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// This host as described to the others.
    pub me: Member,
    /// Address at which it communicates with other hosts.
    pub peer_addr: SocketAddr,
    /// Initial addresses of other hosts.
    pub seeds: Vec<SocketAddr>,
    /// Limits on retries.
    pub budget: BudgetConfig,
    /// Load bound for placement.
    pub bound: place::Bound,
    /// Time limits of a shutdown.
    pub leave: leave::LeaveConfig,
    /// Whether operators may evacuate data centres, so that the store is asked for evacuations.
    pub evacuates: bool,
    /// Time within which a change acknowledged by the store must be in force.
    pub in_force: Duration,
    /// Maximum number of fetches of other hosts answered concurrently. Hosts that are turned away ask hosts that have
    /// been answered meanwhile, so new state spreads faster than from one host alone.
    pub concurrent_fetches: usize,
    /// Maximum number of bytes of servers' answers that are buffered at a time.
    pub buffer_bytes: usize,
    /// What this host may hold for its callers.
    pub capacity: Capacity,
    /// Whether hosts learn the limits of services whose servers report no load together, rather than each alone.
    pub limits_plain_together: bool,
    /// Whether the pace that servers report decides where requests go.
    pub places_by_pace: bool,
}

impl RelayConfig {
    /// Smallest and largest number of concurrent fetches.
    const CONCURRENT_FETCHES: RangeInclusive<usize> = 1..=24;
    /// Capacity of a host's link for each concurrent fetch, in Mbit/s.
    const LINK_MBPS_PER_FETCH: f64 = 20.0;

    /// Number of fetches that a host with a link of this capacity answers concurrently.
    pub fn concurrent_fetches(link_mbps: f64) -> usize {
        let (min, max) = Self::CONCURRENT_FETCHES.into_inner();
        ((link_mbps / Self::LINK_MBPS_PER_FETCH) as usize).clamp(min, max)
    }
}

/// State of a host, under one lock because most decisions read several parts of it at once.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) routes: Option<Arc<Routes>>,
    pub(crate) configurations: ConfigurationHistory,
    /// When the configuration last changed.
    pub(crate) configured_at: Instant,
    pub(crate) backends: Backends,
    pub(crate) health: Health,
    pub(crate) brittle: Brittle,
    pub(crate) reach: Reach,
    pub(crate) holders: Holders,
    pub(crate) budget: FleetBudget,
    pub(crate) peers: Peers,
    /// What this host and the others measure.
    pub(crate) measurements: Measurements,
    /// Servers close to the load bound that other hosts are to be told of.
    pub(crate) hot_servers: HotServers,
    pub(crate) paces: Paces,
    pub(crate) prefill: Prefill,
    pub(crate) crashes: Crashes,
    /// The decision on crashes that the sender of messages waits for.
    awaited_decision: Option<Instant>,
    pub(crate) evacuations: Evacuations,
    pub(crate) epochs: EpochTracker,
    pub(crate) confirmations: Confirmations,
    /// When the evacuation of a data centre last ended.
    pub(crate) evacuation_ended: Option<Instant>,
    pub(crate) warmup: Warmup,
    pub(crate) admission: Admission,
    /// What became of the latest repeats after errors of servers.
    pub(crate) repeats: Repeats,
    pub(crate) shares: Shares,
    pub(crate) returns: Returns,
    pub(crate) origins: Origins,
    pub(crate) rerouted: Rerouted,
    /// Questions to other hosts about streams.
    pub(crate) questions: Questions,
    pub(crate) outbox: Outbox,
    /// The host that saves this one's streams in the store.
    pub(crate) saver: SocketAddr,
    /// The part of them that is saved next, if this host does.
    pub(crate) saved_part: Part,
    /// When this host last read what all hosts have saved.
    pub(crate) saved_read_at: Option<Instant>,
    /// Whether it has read the registration of hosts since it started, other than from a copy.
    pub(crate) registration_read: bool,
    /// Until when entries of servers may be missing that live, since they lapsed while the store did not answer.
    pub(crate) entries_missing_until: Instant,
    /// When it last read which versions have servers.
    pub(crate) versions_read: VersionsRead,
    /// Hosts that are to be told of all causes of crashes.
    newcomers: Vec<SocketAddr>,
    /// What may be spent on telling of requests that were at crashes, in bytes.
    report_bytes: TokenBucket,
    pub(crate) leaving: Option<Leaving>,
    /// This host's contact to the store.
    pub(crate) contact: FollowState,
    /// Whether it has read the configuration from a copy of the store, which may be seconds old.
    pub(crate) has_read_copy: bool,
    pub(crate) backends_listed: bool,
    /// When this host last logged that it is not ready.
    not_ready_reported: Option<Instant>,
    /// When this host last logged the use of the retry budget.
    budget_reported: Instant,
    /// When this host last logged its promises to refused callers.
    returns_reported: Instant,
    /// Prompt parts that were read at servers where the other hosts do not expect them, to be reported in the next
    /// heartbeats.
    new_holders: Vec<Held>,
    /// When this host last stood still.
    pub(crate) stall: Stall,
    in_progress: usize,
    connections: usize,
    rng: SmallRng,
}

/// A relaying host.
#[derive(Debug)]
pub struct Relay<W> {
    pub(crate) cfg: RelayConfig,
    pub(crate) wire: W,
    pub(crate) pool: Pool,
    pub(crate) buffers: Buffers,
    pub(crate) bodies: Bodies,
    /// Connections of callers.
    pub(crate) callers: Connections,
    /// Connections to the ports for addresses, readiness and metrics.
    pub(crate) auxiliary: Connections,
    /// Connections of other hosts.
    pub(crate) peer_connections: Connections,
    pub(crate) metrics: Arc<Metrics>,
    /// Wakes the heartbeat sender to send to all targets at once.
    pub(crate) beat_due: Notify,
    /// Wakes the heartbeat sender to send to a few hosts at once.
    pub(crate) gossip_due: Notify,
    /// Wakes the sender of messages about streams and crashes.
    pub(crate) messages_due: Notify,
    /// Wakes the sender of reports about servers close to the load bound.
    pub(crate) reports_due: Notify,
    /// Wakes requests that wait for what other hosts say about their streams.
    pub(crate) origin_heard: Notify,
    /// Wakes the task that saves streams in the store.
    pub(crate) unsaved: Notify,
    /// Wakes the reader of the streams that are saved in the store.
    pub(crate) saved_wanted: Notify,
    /// Wakes the reader of the versions that have servers.
    pub(crate) versions_wanted: Notify,
    /// Wakes requests that wait for their answers when a cause of crashes is refused.
    pub(crate) quarantine_changed: Notify,
    /// Wakes the fetcher when another host has been ahead for long enough.
    pub(crate) fetch_due: Notify,
    /// Wakes the followers of the store after this host was suspended.
    pub(crate) suspend_ended: Notify,
    /// Wakes the followers of the store after it was restored.
    pub(crate) store_restored: Notify,
    /// Cancels watches that miss changes, by topic.
    pub(crate) cancel_watch: [Notify; Topic::ALL.len()],
    /// Set once no more requests are accepted.
    pub(crate) closing: watch::Sender<bool>,
    /// The hosts that were registered in the store when this host started.
    pub(crate) registered: OnceCell<Hosts>,
    /// The answer of another host that this one is receiving.
    pub(crate) incoming: mesh::IncomingAnswer,
    /// How often the background tasks woke up.
    pub(crate) rounds: Rounds,
    /// Start time of the process by the wall clock, in milliseconds since 1970.
    start: u64,
    started: Instant,
    state: Mutex<State>,
}

impl<W: Wire> Relay<W> {
    /// Creates a host that knows nothing yet.
    ///
    /// # Errors
    /// If the metrics cannot be set up.
    pub fn new(cfg: RelayConfig, wire: W) -> Result<Self> {
        let state = State {
            routes: None,
            configurations: ConfigurationHistory::default(),
            configured_at: now(),
            backends: Backends::default(),
            health: Health::default(),
            brittle: Brittle::default(),
            reach: Reach::default(),
            holders: Holders::default(),
            budget: FleetBudget::new(cfg.budget).with_start(now()),
            peers: Peers::new(cfg.peer_addr, &cfg.me.data_centre, &cfg.seeds).with_start(now()),
            measurements: Measurements::default(),
            hot_servers: HotServers::default(),
            paces: Paces::default(),
            prefill: Prefill::default(),
            crashes: Crashes::default(),
            awaited_decision: None,
            evacuations: Evacuations::default(),
            epochs: EpochTracker::default(),
            confirmations: Confirmations::new(now(), cfg.in_force, cfg.evacuates),
            evacuation_ended: None,
            warmup: Warmup::default().with_start(now()),
            admission: Admission::default(),
            repeats: Repeats::default(),
            shares: Shares::default(),
            returns: Returns::default(),
            origins: Origins::new(now()),
            rerouted: Rerouted::default(),
            questions: Questions::default(),
            outbox: Outbox::default(),
            saver: cfg.peer_addr,
            saved_part: Part::default(),
            saved_read_at: None,
            registration_read: false,
            entries_missing_until: now(),
            versions_read: VersionsRead::default(),
            newcomers: Vec::new(),
            report_bytes: TokenBucket::new(
                crash_reports::REPORT_BYTES_PER_SECOND,
                crash_reports::MAX_SAVED_BYTES,
            ),
            leaving: None,
            contact: FollowState::Idle,
            has_read_copy: false,
            backends_listed: false,
            not_ready_reported: None,
            budget_reported: now(),
            returns_reported: now(),
            new_holders: Vec::new(),
            stall: Stall::default(),
            in_progress: 0,
            connections: 0,
            rng: SmallRng::from_os_rng(),
        };
        let buffers = Buffers::new(cfg.buffer_bytes);
        let capacity = cfg.capacity;
        let (pool, beat_due, fetch_due) = (Pool::default(), Notify::new(), Notify::new());
        let gossip_due = Notify::new();
        let closing = watch::Sender::new(false);
        let metrics = Arc::new(Metrics::new()?);
        Ok(Self {
            cfg,
            wire,
            pool,
            buffers,
            bodies: Bodies::new(capacity.body_bytes),
            callers: Connections::new(capacity.caller_connections),
            auxiliary: Connections::new(capacity.auxiliary_connections),
            peer_connections: Connections::new(capacity.peer_connections),
            metrics,
            beat_due,
            gossip_due,
            fetch_due,
            messages_due: Notify::new(),
            reports_due: Notify::new(),
            origin_heard: Notify::new(),
            unsaved: Notify::new(),
            saved_wanted: Notify::new(),
            versions_wanted: Notify::new(),
            quarantine_changed: Notify::new(),
            suspend_ended: Notify::new(),
            store_restored: Notify::new(),
            cancel_watch: Default::default(),
            closing,
            registered: OnceCell::new(),
            incoming: mesh::IncomingAnswer::default(),
            rounds: Rounds::default(),
            start: wall_ms(),
            started: now(),
            state: Mutex::new(state),
        })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The configuration in force, if one is known.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.state().routes.clone()
    }

    /// Whether this host has been running for this long.
    pub(crate) fn has_run_for(&self, time: Duration) -> bool {
        now() >= self.started + time
    }

    /// Whether this host has been running for this long without a configuration and knows no other host that
    /// callers may be sent to.
    pub(crate) fn is_alone_without_configuration(&self, time: Duration) -> bool {
        let state = self.state();
        state.routes.is_none() && self.has_run_for(time) && state.peers.ready_members(now()).next().is_none()
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Whether callers may be sent to this host.
    pub fn is_ready(&self) -> bool {
        self.state().is_ready()
    }

    /// A random number in `0..1`.
    pub fn draw(&self) -> f64 {
        self.state().rng.random()
    }

    /// Addresses to hand out to callers, at most `max`: this host's and those of other ready hosts.
    pub fn addresses(&self, max: usize) -> Vec<String> {
        let state = self.state();
        let own = state.is_ready().then_some(&self.cfg.me);
        let mut all: Vec<_> =
            own.into_iter().chain(state.peers.ready_members(now())).map(|m| m.callers.clone()).collect();
        if all.is_empty() && state.leaving.is_none() {
            all.push(self.cfg.me.callers.clone());
        }
        directory::choose(all, self.cfg.peer_addr, max)
    }

    /// Decides whether a request is admitted to its service. One that resumes a stream always is: part of its work
    /// is done, and a refusal would waste that.
    ///
    /// # Errors
    /// If it is refused; the caller should retry.
    pub(crate) fn admit(&self, req: &Request) -> Result<(), admission::Refused> {
        if req.after.is_some() {
            return Ok(());
        }
        let (now, mut state) = (now(), self.state());
        if self.cfg.limits_plain_together {
            state.adjust_plain(now, &req.service);
        }
        let decision = state.admit(now, req);
        if decision.is_err() && state.admission.limit_of_all(&req.service).is_some() {
            self.count_plain(PlainEvent::LimitRefused);
        }
        decision
    }

    /// Records how long a request waited for the beginning of its answer.
    pub(crate) fn record_wait(&self, req: &Request, sent: Instant) {
        let now = now();
        self.state().admission.record_wait(now, &req.service, req.objective(), now - sent);
    }

    /// Records the load that a server reported.
    pub(crate) fn record_load(&self, service: &Arc<str>, report: admission::ReportedLoad) {
        self.state().admission.record_load(now(), service, report);
    }

    /// Returns a connection to the pool after its answer was read. A server accepts a limited number of connections
    /// from all hosts together and resets others, so that each host keeps at most half of its equal share idle.
    pub(crate) fn return_connection(&self, key: BackendKey, conn: Conn, server_keeps: Option<Duration>) {
        let state = self.state();
        let service = state.backends.get(key).map(|b| b.service.clone());
        let limit = service.and_then(|service| state.routes.as_ref()?.max_connections(&service));
        let max_idle = limit.map_or(usize::MAX, |limit| limit as usize / (2 * state.peers.host_count()));
        drop(state);
        self.pool.put(key, conn, server_keeps, max_idle.max(1));
    }

    /// Whether no other host is known to be alive.
    pub fn is_alone(&self) -> bool {
        self.state().peers.is_alone(now())
    }

    /// Number of hosts that are registered or known from heartbeats, whichever is more.
    pub(crate) fn known_hosts(&self, state: &State) -> usize {
        let registered = self.registered.get().map_or(0, |hosts| hosts.count);
        registered.max(state.peers.host_count())
    }

    /// Number of backend servers of a service that accept new requests.
    pub fn server_count(&self, service: &str) -> usize {
        self.state().backends.available(service).count()
    }

    /// Number of idle connections to backend servers.
    pub fn idle_connections(&self) -> usize {
        self.pool.open_count()
    }

    /// Logs an event of a request.
    pub(crate) fn log_request(
        &self,
        level: Level,
        event: &str,
        req: &Request,
        add_fields: impl FnOnce(Line) -> Line,
    ) {
        line(level, event, |l| add_fields(l.text("request", &req.id).text("route", &req.route.route.name)));
    }

    /// Number of bytes of servers' answers that are buffered now.
    pub fn buffered_bytes(&self) -> usize {
        self.buffers.used()
    }

    /// How often a background task has woken up since the start.
    pub fn rounds(&self, task: Task) -> u64 {
        self.rounds.of(task)
    }

    /// Takes a retry from the budget; returns false if it is exhausted.
    pub(crate) fn spend_retry(&self, req: &Request) -> bool {
        self.state().budget.spend(now(), &req.service)
    }
}

impl State {
    fn is_ready(&self) -> bool {
        self.leaving.is_none() && self.routes.is_some() && self.backends_listed
    }

    pub(crate) fn local_versions(&self) -> LocalVersions {
        let configuration = self.routes.as_ref().map_or(0, |r| r.version());
        let backends = if self.backends_listed { self.backends.revision() } else { Revision::default() };
        LocalVersions { configuration, backends, digest: self.backends.digest() }
    }
}

/// A request in progress at a backend server, counted there until dropped.
#[derive(Debug)]
pub(crate) struct InFlightRequest<W: Wire> {
    relay: Arc<Relay<W>>,
    pub(crate) key: BackendKey,
}

impl<W: Wire> InFlightRequest<W> {
    pub(crate) fn start(relay: &Arc<Relay<W>>, key: BackendKey) -> Self {
        let mut state = relay.state();
        state.backends.begin_request(key);
        if let Some(tag) = state.backends.get(key).map(|b| b.tag) {
            state.measurements.record_send(tag);
        }
        drop(state);
        Self { relay: relay.clone(), key }
    }
}

impl<W: Wire> Drop for InFlightRequest<W> {
    fn drop(&mut self) {
        self.relay.state().backends.end_request(self.key);
    }
}

/// Time between two runs of the housekeeping.
pub const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
