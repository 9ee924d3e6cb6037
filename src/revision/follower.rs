//! Keeps the configuration of one router up to date, by its own watch on the platform or by fetches from peers.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::store::Store;
use crate::{
    objects::{Version, backoff::Backoff},
    schema::configuration::{Delta, Fetch},
    util::{Instant, Map},
};

mod peers;
mod platform;

const WATCH_BACKOFF_BASE: Duration = Duration::from_millis(500);
const WATCH_BACKOFF_MAX: Duration = Duration::from_secs(15);
const FETCH_BACKOFF_BASE: Duration = Duration::from_millis(100);
const FETCH_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Mean delay before the first list, in which peers can report the fleet's version.
const INITIAL_LIST_DELAY: Duration = Duration::from_millis(500);
/// Time since the start after which a router is ready without a report from any peer.
const NO_PEER_READY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time since the start after which the report of a single peer is enough to be ready: gossip has spread the fleet's
/// newest version by then.
const GOSSIP_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Number of peers with a version that is enough to be ready without waiting.
const READY_QUORUM: usize = 3;
/// Mean time between comparisons with a random peer; they detect a change that the watch silently dropped.
const COMPARE_INTERVAL: Duration = Duration::from_secs(90);

/// A live router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// An I/O operation that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// List the configuration; report the result with [`Follower::listed`].
    List,
    /// Open a watch; report its progress with [`Follower::watch_opened`], [`Follower::watch_event`] and
    /// [`Follower::watch_ended`].
    Watch {
        /// Version after which the changes start.
        from: Version,
    },
    /// Close the watch.
    CloseWatch,
    /// Fetch changes from a peer; report the result with [`Follower::fetched`].
    Fetch {
        /// Name of the peer.
        peer: Arc<str>,
        /// Request to send.
        fetch: Fetch,
    },
    /// Put the objects of the store in force.
    Install {
        /// Version of the objects.
        version: Version,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watch {
    Closed,
    Listing,
    Opening,
    Open,
}

#[derive(Clone, Debug)]
struct Fetching {
    peer: Arc<str>,
    deadline: Instant,
    received: Delta,
}

/// Status of a follower.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Version in force.
    pub version: Version,
    /// Newest version known to exist in the fleet.
    pub newest: Version,
    /// Whether the router is ready to serve.
    pub ready: bool,
    /// Whether the router holds a watch on the platform.
    pub holds_watch: bool,
    /// Whether the last list of the platform was older than the newest known version.
    pub platform_behind: bool,
    /// Number of lists and changes rejected because they were out of date.
    pub rejected_old: u64,
    /// Number of times the objects differed from a peer's at the same version.
    pub mismatches: u64,
}

/// Follows the configuration for one router.
#[derive(Clone, Debug)]
pub struct Follower {
    me: Member,
    store: Store,
    started: Instant,
    members: Vec<Member>,
    expects_peers: bool,
    peer_versions: Map<Arc<str>, Version>,
    avoided_until: Map<Arc<str>, Instant>,
    newest: Version,
    watch: Watch,
    next_watch_at: Instant,
    watch_backoff: Backoff,
    watch_opened_at: Instant,
    needs_list: bool,
    list_at: Option<Instant>,
    next_compare_at: Instant,
    has_mismatch: bool,
    resolve_not_before: Instant,
    hold_until: Instant,
    platform_behind: bool,
    fetching: Option<Fetching>,
    next_fetch_at: Instant,
    fetch_backoff: Backoff,
    behind_since: Option<Instant>,
    ready: bool,
    rejected_old: u64,
    mismatches: u64,
}

impl Follower {
    /// Creates the follower of the router `me` at its start; `expects_peers` if the settings name other routers.
    pub fn new(me: Member, expects_peers: bool, now: Instant, rng: &mut impl Rng) -> Self {
        Self {
            members: vec![me.clone()],
            me,
            store: Store::default(),
            started: now,
            expects_peers,
            peer_versions: Map::default(),
            avoided_until: Map::default(),
            newest: 0,
            watch: Watch::Closed,
            next_watch_at: if expects_peers {
                now + INITIAL_LIST_DELAY.mul_f64(0.5 + rng.random::<f64>())
            } else {
                now
            },
            watch_backoff: Backoff::new(WATCH_BACKOFF_BASE, WATCH_BACKOFF_MAX),
            watch_opened_at: now,
            needs_list: false,
            list_at: None,
            next_compare_at: now + COMPARE_INTERVAL,
            has_mismatch: false,
            resolve_not_before: now,
            hold_until: now,
            platform_behind: false,
            fetching: None,
            next_fetch_at: now,
            fetch_backoff: Backoff::new(FETCH_BACKOFF_BASE, FETCH_BACKOFF_MAX),
            behind_since: None,
            ready: false,
            rejected_old: 0,
            mismatches: 0,
        }
    }

    /// Configuration in force.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Version of the store.
    pub fn version(&self) -> Version {
        self.store.version()
    }

    /// Version to advertise by gossip; 0 until the router is ready.
    ///
    /// If routers advertised versions earlier, routers that restart together while the platform returns stale data
    /// would confirm the stale version to each other.
    pub fn advertised_version(&self) -> Version {
        if self.ready { self.version() } else { 0 }
    }

    /// Whether the router is ready to serve: it has at least the newest version that its peers reported.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Status as the `status` command shows it.
    pub fn state(&self) -> State {
        State {
            version: self.version(),
            newest: self.newest.max(self.version()),
            ready: self.ready,
            holds_watch: self.watch == Watch::Open,
            platform_behind: self.platform_behind,
            rejected_old: self.rejected_old,
            mismatches: self.mismatches,
        }
    }

    /// Sets the live routers, this one included.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.members = members;
        let live: crate::util::Set<_> = self.members.iter().map(|m| m.name.clone()).collect();
        self.peer_versions.retain(|name, _| live.contains(name));
    }

    /// Records the version that a peer has in force; 0 if it has none yet.
    pub fn record_peer_version(&mut self, now: Instant, peer: &Arc<str>, version: Version) {
        if *peer == self.me.name {
            return;
        }
        self.peer_versions.insert(peer.clone(), version);
        self.record_newest_version(now, version);
    }

    /// Records a version that some router of the fleet has, learned from another peer.
    pub fn record_newest_version(&mut self, now: Instant, version: Version) {
        self.newest = self.newest.max(version);
        if self.newest > self.version() {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Advances timers and returns the operations that are due.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.tick_platform(now, rng, &mut actions);
        self.tick_peers(now, rng, &mut actions);
        self.check_ready(now);
        actions
    }

    /// Returns the action that puts the current version in force.
    fn install(&mut self, now: Instant) -> Vec<Action> {
        if self.version() >= self.newest {
            self.behind_since = None;
        }
        self.check_ready(now);
        vec![Action::Install { version: self.version() }]
    }

    /// Becomes ready once enough peers have reported their versions and this router has the newest of them, so that a
    /// restarted router never serves an older version than before.
    fn check_ready(&mut self, now: Instant) {
        if self.ready || self.version() == 0 || self.version() < self.newest {
            return;
        }
        let reporting = self.peer_versions.values().filter(|v| **v > 0).count();
        let others = self.members.len() - 1;
        let all_reported = others > 0 && self.peer_versions.len() >= others;
        let waited = now.saturating_sub(self.started);
        self.ready = reporting >= READY_QUORUM
            || all_reported
            || (reporting > 0 && waited >= GOSSIP_SETTLE_TIME)
            || (!self.expects_peers && others == 0)
            || waited >= NO_PEER_READY_TIMEOUT;
    }
}
