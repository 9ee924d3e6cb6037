//! Carries out what the configuration's follower decides: calls to the platform and to peers, and the catalog.

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

const TICK: Duration = Duration::from_millis(100);
const PAGE: usize = 1 << 20;

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub name: Arc<str>,
    /// Data centre in which it stands.
    pub data_centre: Arc<str>,
    /// Where callers and operators reach it, if that is known.
    pub addr: Option<SocketAddr>,
    /// Where routers reach it.
    pub peer_addr: SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// The configuration of a running router.
#[derive(Debug)]
pub struct Follow {
    shared: Arc<FollowHandle>,
    task: JoinHandle<()>,
}

/// What the tasks of one follower share; the handle for other modules.
#[derive(Debug)]
pub struct FollowHandle {
    me: Member,
    state: Mutex<Decisions>,
    watch: Mutex<Option<JoinHandle<()>>>,
    platform: Platform,
    links: Arc<Links>,
    gateway: Arc<Gateway>,
    wake: Notify,
}

#[derive(Debug)]
struct Decisions {
    follower: Follower,
    rng: StdRng,
    peers: Map<Arc<str>, Peer>,
    /// Whether the peers come from the membership rather than from the seeds.
    has_members: bool,
    enforced: Version,
    behind_before: bool,
}

impl Follow {
    /// Starts to follow; `own_peer_addr` is left out of the seeds.
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
        let state = Decisions {
            follower,
            rng,
            peers: Map::default(),
            has_members: false,
            enforced: 0,
            behind_before: false,
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
        let (seeking, running) = (shared.clone(), shared.clone());
        let task = tokio::spawn(async move {
            tokio::join!(seeds::ask(seeking, seeds), run(running));
        });
        Self { shared, task }
    }

    /// Handle for other modules.
    pub fn shared(&self) -> &Arc<FollowHandle> {
        &self.shared
    }

    /// Stops following.
    pub fn close(self) {
        self.task.abort();
        self.shared.stop_watch();
    }
}

async fn run(shared: Arc<FollowHandle>) {
    loop {
        let actions = {
            let mut state = shared.state();
            let Decisions { follower, rng, .. } = &mut *state;
            follower.tick(now(), rng)
        };
        shared.perform(actions);
        shared.enforce().await;
        let _ = tokio::time::timeout(TICK, shared.wake.notified()).await;
    }
}

impl FollowHandle {
    /// Sets the other live routers, as the membership sees them.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        let mut state = self.state();
        state.has_members = true;
        self.take_peers(&mut state, peers);
    }

    fn take_peers(&self, state: &mut Decisions, peers: Vec<Peer>) {
        let member = |p: &Peer| Member { name: p.name.clone(), data_centre: p.data_centre.clone() };
        let staying = peers.iter().filter(|p| !p.leaving).map(member);
        let members: Vec<_> = std::iter::once(self.me.clone()).chain(staying).collect();
        self.platform.set_rates(Rates::share(members.len()));
        state.follower.set_members(members);
        state.peers = peers.into_iter().map(|p| (p.name.clone(), p)).collect();
    }

    /// Notes the version that a peer has in force.
    pub fn record_peer_version(&self, peer: &Arc<str>, version: Version) {
        self.state().follower.record_peer_version(now(), peer, version);
        self.wake.notify_one();
    }

    /// Notes a version that some router is known to have, as told by a third one.
    pub fn record_newest_version(&self, version: Version) {
        self.state().follower.record_newest_version(now(), version);
    }

    /// Version that serves, for gossip; 0 before the router may serve.
    pub fn version(&self) -> Version {
        self.state().follower.advertised_version()
    }

    /// What `status` shows.
    pub fn status(&self) -> (State, Vec<Bad>) {
        let state = self.state();
        (state.follower.state(), state.follower.store().bad())
    }

    /// The other routers.
    pub fn peers(&self) -> Vec<Peer> {
        let mut peers: Vec<_> = self.state().peers.values().cloned().collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        peers
    }

    /// The compiled configuration.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.gateway.catalog()
    }

    /// Objects in force.
    pub fn objects(&self) -> Vec<Arc<AnyObject>> {
        self.state().follower.store().in_force()
    }

    /// Answers a peer's fetch; version 0 as long as this router may not serve itself.
    pub async fn serve_fetch(self: &Arc<Self>, fetch: Fetch) -> Delta {
        let shared = self.clone();
        // A page of a megabyte takes milliseconds to encode.
        let answer = move || {
            let state = shared.state();
            if state.follower.advertised_version() == 0 {
                return Delta::default();
            }
            state.follower.store().delta(fetch.since, fetch.cursor, fetch.whole, PAGE)
        };
        tokio::task::spawn_blocking(answer).await.unwrap_or_default()
    }

    /// Lets the follower take an input and carries out what it decides.
    fn with(self: &Arc<Self>, input: impl FnOnce(&mut Follower, Instant, &mut StdRng) -> Vec<Action>) {
        let actions = {
            let mut state = self.state();
            let Decisions { follower, rng, .. } = &mut *state;
            input(follower, now(), rng)
        };
        self.perform(actions);
        self.wake.notify_one();
    }

    /// Lets the follower take an input that decides nothing at once.
    fn note(self: &Arc<Self>, input: impl FnOnce(&mut Follower, Instant, &mut StdRng)) {
        self.with(|f, now, rng| {
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
                // Changes that come close together are compiled together, by `enforce`.
                Action::Install { .. } => {}
            }
        }
    }

    /// Puts the objects in force once the router has at least the fleet's version.
    async fn enforce(&self) {
        let (version, objects) = {
            let mut state = self.state();
            self.report(&mut state);
            let version = state.follower.version();
            if !state.follower.is_ready() || version <= state.enforced {
                return;
            }
            state.enforced = version;
            (version, state.follower.store().in_force())
        };
        // Compiling takes tens of milliseconds in a large fleet, in which no answer may stand still.
        let compile = tokio::task::spawn_blocking(move || Catalog::compile(version, &objects));
        let Ok((cat, faults)) = compile.await else { return };
        for fault in faults {
            spdlog::error!("configuration object left out: {fault}");
        }
        self.gateway.set_catalog(cat);
        spdlog::info!("configuration version {version} is in force");
    }

    fn report(&self, state: &mut Decisions) {
        let behind = state.follower.state().platform_behind;
        if behind && !state.behind_before {
            spdlog::warn!("the platform answers with data older than what is in force");
        }
        state.behind_before = behind;
    }

    fn stop_watch(&self) {
        if let Some(task) = self.watch_task().take() {
            task.abort();
        }
    }

    fn watch_task(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        lock(&self.watch)
    }

    fn state(&self) -> MutexGuard<'_, Decisions> {
        lock(&self.state)
    }
}
