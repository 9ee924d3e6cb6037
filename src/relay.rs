//! Relays requests from callers to backend servers, in the order in which a request passes:
//!
//! 1. [`routes`]: host name and path to route, key to workspace; [`request`] is what the interface makes of it.
//! 2. [`run`]: the attempts of one request; it asks [`place`] for a server, [`pool`] for a connection, and
//!    [`verdict`] after a failure whether another attempt may follow.
//! 3. [`answer`] and [`stream`]: the answer on its way back.
//!
//! What is decided lies in modules without I/O: [`routes`], [`backends`], [`place`], [`holders`], [`health`],
//! [`budget`], [`suspects`], [`contact`], [`verdict`], [`peers`], [`leave`], [`events`]. The I/O is in [`inbound`],
//! [`pool`], [`run`], [`stream`], [`follow`] and [`mesh`]. [`Wire`] and [`follow::Store`] are what an adapter
//! translates.

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
    schema::fleet::{Configuration, Held, Member},
    util::{Instant, lock, now, wall_ms},
};

pub mod answer;
pub mod backends;
pub mod budget;
pub mod contact;

pub mod events;
pub mod follow;
pub mod health;
pub mod holders;
pub mod inbound;
pub mod leave;
pub mod mesh;
pub mod outcome;
pub mod peers;
pub mod place;
pub mod pool;
pub mod request;
pub mod routes;
pub mod run;
pub mod stream;
pub mod suspects;
mod tell;
pub mod verdict;
mod wire;

use backends::{BackendKey, Backends, Change, Revision};
use budget::{BudgetConfig, FleetBudget};
use health::Health;
use holders::Holders;
use leave::Leaving;
use peers::{Own, Peers};
use place::{Candidate, Choice, Placer};
use pool::{Conn, Pool};
use request::Request;
use routes::Routes;
use suspects::Suspects;
pub use wire::{Read, Refusal, Sending, Wire};

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
}

/// What a host knows and has in progress, under one lock: each decision reads several parts at once.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) routes: Option<Arc<Routes>>,
    pub(crate) backends: Backends,
    pub(crate) health: Health,
    pub(crate) holders: Holders,
    pub(crate) budget: FleetBudget,
    pub(crate) peers: Peers,
    pub(crate) suspects: Suspects,
    pub(crate) leaving: Option<Leaving>,
    /// Whether this host follows the store itself.
    pub(crate) follows: bool,
    /// Since when the store has not answered.
    pub(crate) store_lost: Option<Instant>,
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
    /// Wakes the fetching of what another host has had for long enough.
    pub(crate) behind: Notify,
    /// Wakes the followers of the store after the host was suspended.
    pub(crate) woken: Notify,
    /// Set once no request is taken any more.
    pub(crate) closing: watch::Sender<bool>,
    /// When the process started, by the wall clock, in milliseconds since 1970.
    start: u64,
    started: Instant,
    state: Mutex<State>,
}

/// Other hosts that must keep away from a server before this one does without trying it: one alone may be cut off.
const MANY: u32 = 2;

impl<W: Wire> Relay<W> {
    /// A host that knows nothing yet.
    ///
    /// # Errors
    /// When the counters can't be set up.
    pub fn new(cfg: RelayConfig, wire: W) -> Result<Self> {
        let state = State {
            routes: None,
            backends: Backends::default(),
            health: Health::default(),
            holders: Holders::default(),
            budget: FleetBudget::new(cfg.budget),
            peers: Peers::new(cfg.peer_addr, &cfg.me.data_centre, &cfg.seeds),
            suspects: Suspects::default(),
            leaving: None,
            follows: true,
            store_lost: None,
            listed: false,
            news: Vec::new(),
            in_progress: 0,
            connections: 0,
            rng: SmallRng::from_os_rng(),
        };
        let (pool, tell, behind) = (Pool::default(), Notify::new(), Notify::new());
        let closing = watch::Sender::new(false);
        let metrics = Metrics::new()?;
        Ok(Self {
            cfg,
            wire,
            pool,
            metrics,
            tell,
            behind,
            woken: Notify::new(),
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

    /// Whether what is known may be old: the store does not answer.
    pub fn is_stale(&self) -> bool {
        let (now, state) = (now(), self.state());
        let follows = state.peers.should_follow(now) || state.peers.some_follow_store(now);
        state.store_lost.is_some() || !follows
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

    /// Addresses that callers are told: this host and all others that are ready, in one order for all.
    pub fn addresses(&self) -> Vec<String> {
        let state = self.state();
        let own = state.is_ready().then_some(&self.cfg.me);
        let mut all: Vec<_> =
            own.into_iter().chain(state.peers.ready(now())).map(|m| m.callers.clone()).collect();
        if all.is_empty() && state.leaving.is_none() {
            all.push(self.cfg.me.callers.clone());
        }
        all.sort();
        all
    }

    /// Puts a configuration in force, if it is newer than the one known. Returns whether it was.
    pub fn set_configuration(&self, cfg: Configuration, from: &str) -> bool {
        let mut state = self.state();
        if state.routes.as_ref().is_some_and(|r| r.version() >= cfg.version) {
            return false;
        }
        line(Weight::Notable, "configuration", |l| {
            let l = l.number("version", cfg.version).text("from", from);
            l.number("routes", cfg.routes.len() as u64).number("workspaces", cfg.workspaces.len() as u64)
        });
        state.routes = Some(Arc::new(Routes::new(Arc::new(cfg))));
        self.tell_news(&state);
        true
    }

    /// Takes in changes of the backend servers.
    pub(crate) fn note_changes(&self, state: &mut State, changes: &[(BackendKey, Change)], from: &str) {
        for (key, change) in changes {
            let Some(backend) = state.backends.get(*key) else { continue };
            line(Weight::Notable, "backend", |l| {
                let l = l.text("backend", &backend.id).text("change", change.as_str()).text("from", from);
                let l = l.text("service", &backend.service).number("revision", state.backends.revision());
                l.text("address", &backend.addr.to_string())
            });
        }
        if !changes.is_empty() {
            self.tell_news(state);
        }
    }

    /// Sends a beat at once that tells of something newer. Hosts that have it from a follower of the store don't, since
    /// the others have heard that follower as well: with a hundred hosts each change would cost ten thousand beats.
    fn tell_news(&self, state: &State) {
        if state.follows {
            self.tell.notify_one();
        }
    }

    /// Chooses a server for a request, none of `tried`.
    pub(crate) fn choose(&self, req: &Request, tried: &[BackendKey]) -> Option<Choice> {
        let now = now();
        let mut state = self.state();
        let state = &mut *state;
        let service: Vec<_> = state.backends.of(&req.service).map(|(key, _)| key).collect();
        let survey = state.health.survey(now, &service);
        let candidates = service.iter().filter(|key| !tried.contains(key));
        let candidates: Vec<_> = candidates
            .filter_map(|key| {
                let b = state.backends.get(*key)?;
                let near = *b.data_centre == *self.cfg.me.data_centre;
                let load = f64::from(b.in_progress + state.peers.load(b.tag));
                let told = state.peers.avoiding(b.tag) >= MANY;
                let unsound = told || state.health.unsound(now, *key, survey);
                Some(Candidate { key: *key, tag: b.tag, near, load, slots: b.slots, unsound })
            })
            .collect();
        let placer = Placer::default().with_bound(self.cfg.bound);
        let caches = state.routes.as_ref().is_some_and(|r| r.caches_prompts(&req.service));
        let (backends, health) = (&state.backends, &state.health);
        let reaches = |key| caches && backends.get(key).is_some() && !health.paused(now, key);
        placer.choose(&candidates, &req.parts, &state.holders, reaches, &mut state.rng)
    }

    /// Notes that a server has read a request's prompt.
    pub(crate) fn note_read(&self, req: &Request, key: BackendKey) {
        let now = now();
        let mut state = self.state();
        let Some(tag) = state.backends.get(key).map(|b| b.tag) else { return };
        for part in place::shared(&req.parts) {
            if state.holders.note(now, part.id, key) {
                state.news.push(Held { part: part.id, backend: tag });
            }
        }
    }

    /// Housekeeping: expires peers and servers, closes idle connections.
    pub(crate) fn tick(&self) {
        let now = now();
        let mut state = self.state();
        for lost in state.peers.expire(now) {
            line(Weight::Notable, "peer", |l| l.text("peer", &lost.to_string()).text("change", "lost"));
        }
        let (changes, forgotten) = state.backends.expire(now);
        self.note_changes(&mut state, &changes, "grace over");
        for key in forgotten {
            state.health.forget(key);
            state.holders.forget(key);
        }
        self.pool.sweep(|key| state.backends.get(key).is_some_and(|b| b.takes_work()));
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

    /// Leaves a server alone for a while that could not be reached or fell silent.
    pub(crate) fn avoid(&self, key: BackendKey, why: &str) {
        let mut state = self.state();
        let Some(pause) = state.health.lose(now(), key) else { return };
        let Some(id) = state.backends.get(key).map(|b| b.id.clone()) else { return };
        drop(state);
        line(Weight::Notable, "avoided", |l| l.text("backend", &id).text("why", why).ms("for_ms", pause));
        self.tell.notify_one();
    }

    /// Notes a whole answer of a server, which ends a pause.
    pub(crate) fn trust(&self, key: BackendKey) {
        let mut state = self.state();
        if !state.health.succeed(now(), key) {
            return;
        }
        let Some(id) = state.backends.get(key).map(|b| b.id.clone()) else { return };
        drop(state);
        line(Weight::Notable, "taken_back", |l| l.text("backend", &id));
    }

    /// Counts a server as gone, as when another one answers at its address.
    pub(crate) fn lose(&self, key: BackendKey, why: &str) {
        let mut state = self.state();
        if let Some(change) = state.backends.lose(key) {
            self.note_changes(&mut state, &[change], why);
        }
    }

    /// Lists everything at the store again, as after the host was suspended: what it knows may be old, and the connections
    /// on which it waits may have gone silent.
    pub fn wake(&self, slept: Duration) {
        line(Weight::Notable, "woken", |l| l.ms("slept_ms", slept));
        self.state().store_lost.get_or_insert_with(now);
        self.woken.notify_waiters();
    }

    /// Whether no other host is heard.
    pub fn is_alone(&self) -> bool {
        self.state().peers.is_alone(now())
    }

    /// Seeks hosts of which the store tells.
    pub fn learn(&self, hosts: &[Member]) {
        let mut state = self.state();
        hosts.iter().filter_map(|m| m.peers.parse().ok()).for_each(|addr| state.peers.learn(addr));
    }

    /// Starts to leave: no new callers are sent here.
    pub fn leave(&self) {
        let mut state = self.state();
        if state.leaving.is_none() {
            state.leaving = Some(Leaving::new(now(), self.cfg.leave));
            let in_progress = state.in_progress as u64;
            line(Weight::Notable, "leaving", |l| l.number("in_progress", in_progress));
        }
        drop(state);
        self.tell.notify_one();
    }

    /// Whether a request that ends at `deadline` can still be taken.
    pub fn takes(&self, deadline: Instant) -> bool {
        let open = !*self.closing.borrow();
        open && self.state().leaving.is_none_or(|l| l.takes(now(), deadline))
    }

    /// Takes no more requests and closes the connections of callers as they become idle. From here on a request that
    /// still arrives is refused, provably not run, so that none is cut by the end of the process.
    pub fn stop_accepting(&self) {
        self.closing.send_replace(true);
    }

    /// Connections of callers that are still open.
    pub fn connections(&self) -> usize {
        self.state().connections
    }

    /// Backend servers of a service that take new work.
    pub fn servers(&self, service: &str) -> usize {
        self.state().backends.of(service).count()
    }

    /// Idle connections to backend servers.
    pub fn idle_connections(&self) -> usize {
        self.pool.open()
    }

    pub(crate) fn count_connection(&self, opened: bool) {
        let connections = &mut self.state().connections;
        *connections = if opened { *connections + 1 } else { connections.saturating_sub(1) };
    }

    /// Whether this host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.state().leaving.is_some()
    }

    /// Whether a leaving host may stop now.
    pub fn may_stop(&self) -> bool {
        let state = self.state();
        state.leaving.is_some_and(|l| l.may_stop(now(), state.in_progress))
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Entered<W> {
        self.state().in_progress += 1;
        Entered(self.clone())
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
        let backends: Revision = if self.listed { self.backends.revision() } else { 0 };
        Own { configuration, backends, digest: self.backends.digest() }
    }
}

/// A request in progress at this host.
#[derive(Debug)]
pub struct Entered<W: Wire>(Arc<Relay<W>>);

impl<W: Wire> Drop for Entered<W> {
    fn drop(&mut self) {
        self.0.state().in_progress -= 1;
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
