//! Decides how one router follows the configuration: by its own watch, or from peers that are ahead.

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

const RETRY: Duration = Duration::from_millis(500);
const RETRY_MAX: Duration = Duration::from_secs(15);
const FETCH_RETRY: Duration = Duration::from_millis(100);
const FETCH_RETRY_MAX: Duration = Duration::from_secs(2);
/// A holder gives peers this long to tell the fleet's version before it lists.
const FIRST_LIST: Duration = Duration::from_millis(500);
/// A router that hears no peer for so long serves what the platform gave.
const ALONE: Duration = Duration::from_secs(5);
/// With at least one peer heard, this long is enough to have heard of a newer version by gossip.
const SETTLE: Duration = Duration::from_secs(2);
/// As many informed peers are believed at once.
const QUORUM: usize = 3;
/// Mean time between comparisons with a random peer, against a change that a watch dropped unseen.
const COMPARE: Duration = Duration::from_secs(90);

/// A live router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Data centre in which it stands.
    pub data_centre: Arc<str>,
}

/// What the shell shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// List the configuration; answer with [`Follower::listed`].
    List,
    /// Open a watch; answer with [`Follower::watch_opened`], [`Follower::event`] and [`Follower::watch_ended`].
    Watch {
        /// Version after which changes are wanted.
        from: Version,
    },
    /// Close the watch.
    CloseWatch,
    /// Fetch changes from a peer; answer with [`Follower::fetched`].
    Fetch {
        /// Peer to ask.
        peer: Arc<str>,
        /// What to ask.
        fetch: Fetch,
    },
    /// Put the store's objects in force.
    Install {
        /// Their version.
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
    parts: Delta,
}

/// What a follower shows of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Version in force.
    pub version: Version,
    /// Newest version heard of.
    pub newest: Version,
    /// Whether it may serve.
    pub ready: bool,
    /// Whether it holds a watch.
    pub holds_watch: bool,
    /// Whether the platform last answered with data older than what is in force.
    pub platform_behind: bool,
    /// Lists and changes that were not taken since they were old.
    pub rejected_old: u64,
    /// Times that the objects differed from a peer's of the same version.
    pub mismatches: u64,
}

/// Configuration of one router.
#[derive(Clone, Debug)]
pub struct Follower {
    me: Member,
    store: Store,
    started: Instant,
    members: Vec<Member>,
    expects_peers: bool,
    heard: Map<Arc<str>, Version>,
    avoid: Map<Arc<str>, Instant>,
    newest: Version,
    watch: Watch,
    watch_at: Instant,
    watch_backoff: Backoff,
    watch_opened_at: Instant,
    must_list: bool,
    list_at: Option<Instant>,
    compare_at: Instant,
    differs: bool,
    resolve_at: Instant,
    holder_until: Instant,
    platform_behind: bool,
    fetching: Option<Fetching>,
    fetch_at: Instant,
    fetch_backoff: Backoff,
    behind_since: Option<Instant>,
    ready: bool,
    rejected_old: u64,
    mismatches: u64,
}

impl Follower {
    /// Follower of the router `me`, started now; `expects_peers` when its settings name other routers.
    pub fn new(me: Member, expects_peers: bool, now: Instant, rng: &mut impl Rng) -> Self {
        Self {
            members: vec![me.clone()],
            me,
            store: Store::default(),
            started: now,
            expects_peers,
            heard: Map::default(),
            avoid: Map::default(),
            newest: 0,
            watch: Watch::Closed,
            watch_at: if expects_peers { now + FIRST_LIST.mul_f64(0.5 + rng.random::<f64>()) } else { now },
            watch_backoff: Backoff::new(RETRY, RETRY_MAX),
            watch_opened_at: now,
            must_list: false,
            list_at: None,
            compare_at: now + COMPARE,
            differs: false,
            resolve_at: now,
            holder_until: now,
            platform_behind: false,
            fetching: None,
            fetch_at: now,
            fetch_backoff: Backoff::new(FETCH_RETRY, FETCH_RETRY_MAX),
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

    /// Version that serves, for gossip; 0 before the router may serve.
    ///
    /// Routers that restart together while the platform answers with old data would otherwise confirm each other.
    pub fn advertised_version(&self) -> Version {
        if self.ready { self.version() } else { 0 }
    }

    /// Whether the router may serve: it has at least the fleet's version.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// What `status` shows.
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
        self.heard.retain(|name, _| live.contains(name));
    }

    /// Notes the version that a peer has in force; 0 when it has none yet.
    pub fn note_version(&mut self, now: Instant, peer: &Arc<str>, version: Version) {
        if *peer == self.me.name {
            return;
        }
        self.heard.insert(peer.clone(), version);
        self.note_newest(now, version);
    }

    /// Notes a version that some router is known to have, as told by a third one.
    pub fn note_newest(&mut self, now: Instant, version: Version) {
        self.newest = self.newest.max(version);
        if self.newest > self.version() {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Does what time and the inputs so far call for.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follow_platform(now, rng, &mut actions);
        self.follow_peers(now, rng, &mut actions);
        self.check_ready(now);
        actions
    }

    fn installed(&mut self, now: Instant) -> Vec<Action> {
        if self.version() >= self.newest {
            self.behind_since = None;
        }
        self.check_ready(now);
        vec![Action::Install { version: self.version() }]
    }

    /// Guards against a restarted router that serves an older version than it served before: it waits until enough
    /// peers have told their versions and it has the newest of them.
    fn check_ready(&mut self, now: Instant) {
        if self.ready || self.version() == 0 || self.version() < self.newest {
            return;
        }
        let informed = self.heard.values().filter(|v| **v > 0).count();
        let others = self.members.len() - 1;
        let all_heard = others > 0 && self.heard.len() >= others;
        let waited = now.saturating_sub(self.started);
        self.ready = informed >= QUORUM
            || all_heard
            || (informed > 0 && waited >= SETTLE)
            || (!self.expects_peers && others == 0)
            || waited >= ALONE;
    }
}
