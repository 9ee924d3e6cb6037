//! Relays requests from callers to backend servers, in the order in which a request passes:
//!
//! 1. [`routes`]: host name and path to route, key to workspace; [`request`] is what the interface makes of it.
//! 2. [`admission`]: whether it is sent at all while its service is over its capacity.
//! 3. [`run`]: the attempts of one request; it asks `choose` and [`place`] for a server, [`pool`] for a connection, and
//!    [`verdict`] after a failure whether another attempt may follow.
//! 4. [`answer`] and [`stream`]: the answer on its way back.
//!
//! What is decided lies in modules without I/O: [`routes`], [`backends`], [`admission`], [`place`], [`holders`], [`health`],
//! [`budget`], [`suspects`], [`configurations`], [`confirm`], [`evacuations`], [`revision`], [`warmup`], [`datagram`], [`followers`], [`contact`], [`directory`], [`verdict`], [`peers`], [`leave`], [`events`]. The I/O is in [`inbound`],
//! [`pool`], [`run`], [`stream`], [`follow`] and [`mesh`]. [`Wire`] and [`follow::Store`] are what an adapter
//! translates. This file holds what a host knows and has in progress; `updates` changes what it knows, with a line each,
//! `stop` ends its service.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use anyhow::Result;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::{Notify, watch};

use crate::{
    logs::lines::{Line, Weight, line},
    metrics::Metrics,
    schema::fleet::{Held, Member},
    util::{Instant, lock, now, wall_ms},
};

pub mod admission;
pub mod answer;
pub mod backends;
pub mod budget;
mod choose;
pub mod configurations;
pub mod confirm;
pub mod contact;
pub mod datagram;
pub mod directory;
pub mod evacuations;
pub mod events;
pub mod follow;
pub mod followers;
pub mod health;
mod heartbeat;
pub mod holders;
pub mod inbound;
pub mod leave;
pub mod mesh;
pub mod outcome;
pub mod peers;
pub mod place;
pub mod pool;
pub mod request;
pub mod revision;
pub mod routes;
pub mod run;
mod stop;
pub mod stream;
pub mod suspects;
pub mod updates;
pub mod verdict;
pub mod warmup;
mod wire;

use admission::Admission;
use backends::{BackendKey, Backends};
use budget::{BudgetConfig, FleetBudget};
use configurations::ConfigurationHistory;
use confirm::{Confirmations, Topic};
use evacuations::Evacuations;
use followers::FollowState;
use health::Health;
use holders::Holders;
use leave::Leaving;

use peers::{Own, Peers};
use pool::{Conn, Pool};
use request::Request;
use revision::{EpochTracker, Revision};
use routes::Routes;
use suspects::Suspects;
use warmup::Warmup;
pub use wire::{AttemptContext, Refusal, ResponseHead, Wire};

/// Settings of a relaying host.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// This host as the others know it.
    pub me: Member,
    /// Where it reaches other hosts, and they reach it.
    pub peer_addr: SocketAddr,
    /// Addresses at which other hosts may be.
    pub seeds: Vec<SocketAddr>,
    /// Bounds on retries.
    pub budget: BudgetConfig,
    /// Load bound of placement.
    pub bound: place::Bound,
    /// How long a stop may take.
    pub leave: leave::LeaveConfig,
    /// Whether operators evacuate data centres, so that the store is asked which ones.
    pub evacuates: bool,
    /// Time after which a change that the store has acknowledged is in force.
    pub in_force: Duration,
}

/// What a host knows and has in progress, under one lock: each decision reads several parts at once.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) routes: Option<Arc<Routes>>,
    pub(crate) configurations: ConfigurationHistory,
    pub(crate) backends: Backends,
    pub(crate) health: Health,
    pub(crate) holders: Holders,
    pub(crate) budget: FleetBudget,
    pub(crate) peers: Peers,
    pub(crate) suspects: Suspects,
    pub(crate) evacuations: Evacuations,
    pub(crate) epochs: EpochTracker,
    pub(crate) confirmations: Confirmations,
    /// When a data centre was taken back last.
    pub(crate) taken_back: Option<Instant>,
    pub(crate) warmup: Warmup,
    pub(crate) admission: Admission,
    pub(crate) leaving: Option<Leaving>,
    /// What this host has to do with the store.
    pub(crate) contact: FollowState,
    /// Whether it has read a copy of the configuration, which may be seconds old.
    pub(crate) copied: bool,
    pub(crate) listed: bool,
    /// Parts read at servers where the other hosts don't expect them, for the next beats.
    news: Vec<Held>,
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
    pub(crate) metrics: Metrics,
    /// Wakes the sender of beats when something must be told at once.
    pub(crate) tell: Notify,
    /// Wakes the sender of beats when a few others must be told.
    pub(crate) tell_few: Notify,
    /// Wakes the fetching of what another host has had for long enough.
    pub(crate) behind: Notify,
    /// Wakes the followers of the store after the host was suspended.
    pub(crate) woken: Notify,
    /// Wakes the followers of the store after it was restored.
    pub(crate) restored: Notify,
    /// Ends calls that wait in vain, by topic.
    pub(crate) deaf: [Notify; Topic::ALL.len()],
    /// Set once no request is taken any more.
    pub(crate) closing: watch::Sender<bool>,
    /// When the process started, by the wall clock, in milliseconds since 1970.
    start: u64,
    started: Instant,
    state: Mutex<State>,
}

impl<W: Wire> Relay<W> {
    /// A host that knows nothing yet.
    ///
    /// # Errors
    /// When the counters can't be set up.
    pub fn new(cfg: RelayConfig, wire: W) -> Result<Self> {
        let state = State {
            routes: None,
            configurations: ConfigurationHistory::default(),
            backends: Backends::default(),
            health: Health::default(),
            holders: Holders::default(),
            budget: FleetBudget::new(cfg.budget).with_start(now()),
            peers: Peers::new(cfg.peer_addr, &cfg.me.data_centre, &cfg.seeds).with_start(now()),
            suspects: Suspects::default(),
            evacuations: Evacuations::default(),
            epochs: EpochTracker::default(),
            confirmations: Confirmations::new(now(), cfg.in_force, cfg.evacuates),
            taken_back: None,
            warmup: Warmup::default().with_start(now()),
            admission: Admission::default(),
            leaving: None,
            contact: FollowState::Idle,
            copied: false,
            listed: false,
            news: Vec::new(),
            in_progress: 0,
            connections: 0,
            rng: SmallRng::from_os_rng(),
        };
        let (pool, tell, behind) = (Pool::default(), Notify::new(), Notify::new());
        let tell_few = Notify::new();
        let closing = watch::Sender::new(false);
        let metrics = Metrics::new()?;
        Ok(Self {
            cfg,
            wire,
            pool,
            metrics,
            tell,
            tell_few,
            behind,
            woken: Notify::new(),
            restored: Notify::new(),
            deaf: Default::default(),
            closing,
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

    /// Whether this host has run for so long.
    pub(crate) fn has_run_for(&self, time: Duration) -> bool {
        now() >= self.started + time
    }

    /// Whether this host has known no configuration for so long and hears of no host that callers may be sent to.
    pub(crate) fn is_alone_without_configuration(&self, time: Duration) -> bool {
        let state = self.state();
        state.routes.is_none() && self.has_run_for(time) && state.peers.ready(now()).next().is_none()
    }

    /// The counters and histograms.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.state().is_ready()
    }

    /// A number in `0..1` for a draw by weight.
    pub fn draw(&self) -> f64 {
        self.state().rng.random()
    }

    /// Addresses that callers are told, at most so many: this host's and those of others that are ready.
    pub fn addresses(&self, most: usize) -> Vec<String> {
        let state = self.state();
        let own = state.is_ready().then_some(&self.cfg.me);
        let mut all: Vec<_> =
            own.into_iter().chain(state.peers.ready(now())).map(|m| m.callers.clone()).collect();
        if all.is_empty() && state.leaving.is_none() {
            all.push(self.cfg.me.callers.clone());
        }
        directory::choose(all, self.cfg.peer_addr, most)
    }

    /// Decides whether a request is sent to its service at all. One that takes up a stream again always is: a part of its
    /// work is done, and refused it would be done in vain.
    ///
    /// # Errors
    /// When it is not; the caller should come back.
    pub(crate) fn admit(&self, req: &Request) -> Result<(), admission::Refused> {
        if req.after.is_some() {
            return Ok(());
        }
        self.state().admit(now(), req)
    }

    /// Notes how long a request waited at a server for the first of its answer.
    pub(crate) fn note_waited(&self, req: &Request, sent: Instant) {
        let now = now();
        self.state().admission.note(now, &req.service, req.objective(), now - sent);
    }

    /// Notes what a server told of its work.
    pub(crate) fn note_told(&self, service: &Arc<str>, told: admission::Told) {
        self.state().admission.hear(now(), service, told);
    }

    /// Keeps a connection whose answer has been read. A server accepts so many connections from all hosts and resets those
    /// beyond, so that each host keeps at most half of its equal part idle.
    pub(crate) fn keep(&self, key: BackendKey, conn: Conn, keeps: Option<Duration>) {
        let state = self.state();
        let service = state.backends.get(key).map(|b| b.service.clone());
        let limit = service.and_then(|service| state.routes.as_ref()?.connections(&service));
        let most = limit.map_or(usize::MAX, |limit| limit as usize / (2 * state.peers.hosts()));
        drop(state);
        self.pool.put(key, conn, keeps, most.max(1));
    }

    /// Whether no other host is heard.
    pub fn is_alone(&self) -> bool {
        self.state().peers.is_alone(now())
    }

    /// Backend servers of a service that take new work.
    pub fn servers(&self, service: &str) -> usize {
        self.state().backends.of(service).count()
    }

    /// Idle connections to backend servers.
    pub fn idle_connections(&self) -> usize {
        self.pool.open()
    }

    /// Writes a line about one request.
    pub(crate) fn note(&self, weight: Weight, event: &str, req: &Request, fill: impl FnOnce(Line) -> Line) {
        line(weight, event, |l| fill(l.text("request", &req.id).text("route", &req.route.route.name)));
    }

    /// Whether a request's content is refused because it crashes servers.
    pub(crate) fn refuses(&self, req: &Request) -> bool {
        let state = self.state();
        !state.suspects.is_empty() && state.suspects.refuses(now(), req.fingerprint())
    }

    /// Takes one retry from the budget, if it holds one.
    pub(crate) fn spend(&self, req: &Request) -> bool {
        self.state().budget.spend(now(), &req.service)
    }
}

impl State {
    fn is_ready(&self) -> bool {
        self.leaving.is_none() && self.routes.is_some() && self.listed
    }

    pub(crate) fn own(&self) -> Own {
        let configuration = self.routes.as_ref().map_or(0, |r| r.version());
        let backends = if self.listed { self.backends.revision() } else { Revision::default() };
        Own { configuration, backends, digest: self.backends.digest() }
    }
}

/// A request in progress at a backend server.
#[derive(Debug)]
pub(crate) struct Work<W: Wire> {
    relay: Arc<Relay<W>>,
    pub(crate) key: BackendKey,
}

impl<W: Wire> Work<W> {
    pub(crate) fn start(relay: &Arc<Relay<W>>, key: BackendKey) -> Self {
        relay.state().backends.start(key);
        Self { relay: relay.clone(), key }
    }
}

impl<W: Wire> Drop for Work<W> {
    fn drop(&mut self) {
        self.relay.state().backends.end(self.key);
    }
}

/// Time between two runs of the housekeeping.
pub(crate) const TICK: Duration = Duration::from_millis(250);
