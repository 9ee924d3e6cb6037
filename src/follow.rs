//! Keeps the configuration of a running router current: performs the actions of [`Follower`], which are calls to the
//! platform and to peers, and compiles the catalog.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::{SeedableRng, rngs::StdRng};
use tokio::{sync::Notify, task::JoinHandle};

use crate::{
    catalog::{AnyObject, Catalog},
    config::Settings,
    gateway::Gateway,
    link::Links,
    objects::{Platform, Version, calls::Rates},
    revision::{Action, Bad, Follower, Member, State},
    schema::configuration::{Delta, Fetch},
    util::{Instant, Map, lock, now},
};

mod seeds;
mod tasks;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Another router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub name: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Address for callers and operators, if it is known.
    pub addr: Option<SocketAddr>,
    /// Address for other routers.
    pub peer_addr: SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Task that keeps the configuration of a running router current.
#[derive(Debug)]
pub struct FollowTask {
    shared: Arc<FollowHandle>,
    task: JoinHandle<()>,
}

/// State shared by the tasks of [`FollowTask`], and the handle to it for other modules.
#[derive(Debug)]
pub struct FollowHandle {
    me: Member,
    state: Mutex<FollowState>,
    watch: Mutex<Option<JoinHandle<()>>>,
    platform: Platform,
    links: Arc<Links>,
    gateway: Arc<Gateway>,
    wake: Notify,
}

#[derive(Debug)]
struct FollowState {
    follower: Follower,
    rng: StdRng,
    peers: Map<Arc<str>, Peer>,
    /// Whether `peers` comes from the membership rather than from the seeds.
    has_members: bool,
    applied_version: Version,
    platform_was_behind: bool,
}

impl FollowTask {
    /// Starts the task; `own_peer_addr` is left out of the seeds.
    pub fn start(
        cfg: &Settings,
        own_peer_addr: SocketAddr,
        platform: Platform,
        links: Arc<Links>,
        gateway: Arc<Gateway>,
    ) -> Self {
        let me = Member { name: cfg.name.clone(), data_centre: cfg.data_centre.clone() };
        let seeds: Vec<_> = cfg.seeds.iter().copied().filter(|s| *s != own_peer_addr).collect();
        let mut rng = StdRng::from_os_rng();
        let follower = Follower::new(me.clone(), !seeds.is_empty(), now(), &mut rng);
        let state = FollowState {
            follower,
            rng,
            peers: Map::default(),
            has_members: false,
            applied_version: 0,
            platform_was_behind: false,
        };
        let shared = Arc::new(FollowHandle {
            me,
            state: Mutex::new(state),
            watch: Mutex::default(),
            platform,
            links,
            gateway,
            wake: Notify::new(),
        });
        let (handle, running) = (shared.clone(), shared.clone());
        let task = tokio::spawn(async move {
            tokio::join!(seeds::poll(handle, seeds), run(running));
        });
        Self { shared, task }
    }

    /// Handle for other modules.
    pub fn handle(&self) -> &Arc<FollowHandle> {
        &self.shared
    }

    /// Stops the task and closes the watch.
    pub fn close(self) {
        self.task.abort();
        self.shared.stop_watch();
    }
}

async fn run(shared: Arc<FollowHandle>) {
    loop {
        let actions = {
            let mut state = shared.state();
            let FollowState { follower, rng, .. } = &mut *state;
            follower.tick(now(), rng)
        };
        shared.perform(actions);
        shared.apply_latest().await;
        let _ = tokio::time::timeout(TICK_INTERVAL, shared.wake.notified()).await;
    }
}

impl FollowHandle {
    /// Replaces the list of the other live routers with the one from the membership.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        let mut state = self.state();
        state.has_members = true;
        self.replace_peers(&mut state, peers);
    }

    fn replace_peers(&self, state: &mut FollowState, peers: Vec<Peer>) {
        let member = |p: &Peer| Member { name: p.name.clone(), data_centre: p.data_centre.clone() };
        let staying = peers.iter().filter(|p| !p.leaving).map(member);
        let members: Vec<_> = std::iter::once(self.me.clone()).chain(staying).collect();
        self.platform.set_rates(Rates::per_router(members.len()));
        state.follower.set_members(members);
        state.peers = peers.into_iter().map(|p| (p.name.clone(), p)).collect();
    }

    /// Records the version that a peer has in force.
    pub fn record_peer_version(&self, peer: &Arc<str>, version: Version) {
        self.state().follower.record_peer_version(now(), peer, version);
        self.wake.notify_one();
    }

    /// Records the version of some router as reported by another one.
    pub fn record_newest_version(&self, version: Version) {
        self.state().follower.record_newest_version(now(), version);
    }

    /// Returns the version in force to advertise in gossip; 0 until the router is ready.
    pub fn version(&self) -> Version {
        self.state().follower.advertised_version()
    }

    /// Returns the state and the invalid objects for the `status` command.
    pub fn status(&self) -> (State, Vec<Bad>) {
        let state = self.state();
        (state.follower.state(), state.follower.store().bad())
    }

    /// Returns the other routers, sorted by name.
    pub fn peers(&self) -> Vec<Peer> {
        let mut peers: Vec<_> = self.state().peers.values().cloned().collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        peers
    }

    /// Returns the compiled configuration.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.gateway.catalog()
    }

    /// Returns the objects in force.
    pub fn objects(&self) -> Vec<Arc<AnyObject>> {
        self.state().follower.store().in_force()
    }

    /// Returns one page of the objects that a peer fetches; an empty page of version 0 until this router is ready.
    pub async fn serve_fetch(self: &Arc<Self>, fetch: Fetch) -> Delta {
        let shared = self.clone();
        // Encoding a page of 1 MiB takes milliseconds, which would block an async worker thread.
        let answer = move || {
            let state = shared.state();
            if state.follower.advertised_version() == 0 {
                return Delta::default();
            }
            state.follower.store().delta(fetch.since, fetch.cursor, fetch.whole, MAX_PAGE_BYTES)
        };
        tokio::task::spawn_blocking(answer).await.unwrap_or_default()
    }

    /// Passes an input to the follower and performs the actions that it returns.
    fn process_input(
        self: &Arc<Self>,
        input: impl FnOnce(&mut Follower, Instant, &mut StdRng) -> Vec<Action>,
    ) {
        let actions = {
            let mut state = self.state();
            let FollowState { follower, rng, .. } = &mut *state;
            input(follower, now(), rng)
        };
        self.perform(actions);
        self.wake.notify_one();
    }

    /// Passes the follower an input that returns no actions.
    fn process_update(self: &Arc<Self>, input: impl FnOnce(&mut Follower, Instant, &mut StdRng)) {
        self.process_input(|f, now, rng| {
            input(f, now, rng);
            Vec::new()
        });
    }

    fn perform(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::List => drop(tokio::spawn(tasks::list(self.clone()))),
                Action::Watch { from } => {
                    self.stop_watch();
                    *self.watch_task() = Some(tokio::spawn(tasks::watch(self.clone(), from)));
                }
                Action::CloseWatch => self.stop_watch(),
                Action::Fetch { peer, fetch } => {
                    drop(tokio::spawn(tasks::fetch_from(self.clone(), peer, fetch)))
                }
                // `run` installs changes on its next iteration, so that changes in quick succession are compiled once.
                Action::Install { .. } => {}
            }
        }
    }

    /// Compiles the objects and puts them in force if they are newer, once the router has caught up with the fleet.
    async fn apply_latest(&self) {
        let (version, objects) = {
            let mut state = self.state();
            self.warn_if_platform_behind(&mut state);
            let version = state.follower.version();
            if !state.follower.is_ready() || version <= state.applied_version {
                return;
            }
            state.applied_version = version;
            (version, state.follower.store().in_force())
        };
        // Compiling takes tens of milliseconds in a large fleet; on an async worker thread it would delay responses.
        let compile = tokio::task::spawn_blocking(move || Catalog::compile(version, &objects));
        let Ok((cat, errors)) = compile.await else { return };
        for error in errors {
            spdlog::error!("skipped an invalid configuration object: {error}");
        }
        self.gateway.set_catalog(cat);
        spdlog::info!("configuration version {version} is in force");
    }

    fn warn_if_platform_behind(&self, state: &mut FollowState) {
        let behind = state.follower.state().platform_behind;
        if behind && !state.platform_was_behind {
            spdlog::warn!("the platform returns an older configuration than the one in force");
        }
        state.platform_was_behind = behind;
    }

    fn stop_watch(&self) {
        if let Some(task) = self.watch_task().take() {
            task.abort();
        }
    }

    fn watch_task(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        lock(&self.watch)
    }

    fn state(&self) -> MutexGuard<'_, FollowState> {
        lock(&self.state)
    }
}
