//! Decides how one router follows the configuration: by its own watch, or from peers that are ahead.

use std::{sync::Arc, time::Duration};

use rand::{Rng, seq::IndexedRandom};

use super::{
    holder,
    store::{Rejected, Store},
};
use crate::{
    platform::{Event, List, Version, backoff::Backoff},
    schema::configuration::{Delta, Fetch},
    util::{Instant, Map},
};

const RETRY: Duration = Duration::from_millis(500);
const RETRY_MAX: Duration = Duration::from_secs(15);
const FETCH_RETRY: Duration = Duration::from_millis(100);
const FETCH_RETRY_MAX: Duration = Duration::from_secs(2);
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a peer that did not answer a fetch is left out.
const AVOID: Duration = Duration::from_secs(5);
/// A holder gives peers this long to tell the fleet's version before it lists.
const FIRST_LIST: Duration = Duration::from_millis(500);
/// A router without a watch lists on its own after this time without any configuration, plus as much jitter.
const FALLBACK: Duration = Duration::from_secs(6);
/// A router that knows of a newer version, but gets it from no peer for so long, lists on its own.
const STUCK: Duration = Duration::from_secs(6);
/// A watch stays this long after its router is no longer among the holders, so that a flapping member moves nothing.
const LINGER: Duration = Duration::from_secs(10);
/// A router that hears no peer for so long serves what the platform gave.
const ALONE: Duration = Duration::from_secs(5);
/// With at least one peer heard, this long is enough to have heard of a newer version by gossip.
const SETTLE: Duration = Duration::from_secs(2);
/// As many informed peers are believed at once.
const QUORUM: usize = 3;
/// Mean time between comparisons with a random peer, against a change that a watch dropped unseen.
const COMPARE: Duration = Duration::from_secs(90);
/// Shortest time between two lists that a difference from a peer calls for.
const RESOLVE: Duration = Duration::from_secs(60);

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
    pub fn serving(&self) -> Version {
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

    fn follow_platform(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let holds = self.holds(now);
        let resolves = self.differs && now >= self.resolve_at;
        if (!holds || resolves) && self.watch == Watch::Open {
            self.watch = Watch::Closed;
            actions.push(Action::CloseWatch);
        }
        if self.watch != Watch::Closed {
            return;
        }
        if resolves {
            self.resolve_at = now + RESOLVE.mul_f64(1.0 + rng.random::<f64>());
            return self.list(actions);
        }
        if holds && now >= self.watch_at && !self.waits_for_peers(now) {
            if self.version() == 0 || self.must_list {
                return self.list(actions);
            }
            self.watch = Watch::Opening;
            return actions.push(Action::Watch { from: self.version() });
        }
        if !holds && self.is_stranded(now, rng) {
            self.list(actions);
        }
    }

    fn list(&mut self, actions: &mut Vec<Action>) {
        self.watch = Watch::Listing;
        actions.push(Action::List);
    }

    /// Whether this router shall hold a watch now.
    fn holds(&mut self, now: Instant) -> bool {
        // Right after the start no member is known yet, and every router would take itself for the only one.
        if self.expects_peers && self.members.len() == 1 && now < self.started + FALLBACK {
            return false;
        }
        let names = self.members.iter().filter(|m| m.data_centre == self.me.data_centre).map(|m| &*m.name);
        if holder::holds(&self.me.name, names) {
            self.holder_until = now + LINGER;
            return true;
        }
        self.watch == Watch::Open && now < self.holder_until
    }

    /// A peer that has the configuration is cheaper to ask than the platform.
    fn waits_for_peers(&self, now: Instant) -> bool {
        self.version() == 0 && self.newest > 0 && !self.is_stuck(now)
    }

    fn is_stuck(&self, now: Instant) -> bool {
        self.behind_since.is_some_and(|since| now >= since + STUCK)
    }

    /// Whether a router without a watch must ask the platform itself; all that are stranded together spread out.
    fn is_stranded(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let empty = self.version() == 0 && self.newest == 0 && now >= self.started + FALLBACK;
        if !empty && !self.is_stuck(now) {
            self.list_at = None;
            return false;
        }
        let at = *self.list_at.get_or_insert_with(|| now + FALLBACK.mul_f64(rng.random::<f64>()));
        now >= at
    }

    /// Takes the answer to [`Action::List`]; `None` when none came.
    pub fn listed(&mut self, now: Instant, list: Option<List>, rng: &mut impl Rng) -> Vec<Action> {
        self.watch = Watch::Closed;
        let Some(list) = list else {
            self.retry_platform(now, rng);
            return Vec::new();
        };
        self.platform_behind = list.version < self.version().max(self.newest);
        self.newest = self.newest.max(list.version);
        match self.store.take_list(list) {
            Ok(()) => {
                self.must_list = false;
                self.differs = false;
            }
            // The platform answered with old data. Taking it would take back changes that are in force.
            Err(_) => {
                self.rejected_old += 1;
                self.retry_platform(now, rng);
                return Vec::new();
            }
        }
        self.watch_backoff.reset();
        self.watch_at = now;
        self.list_at = None;
        self.installed(now)
    }

    fn retry_platform(&mut self, now: Instant, rng: &mut impl Rng) {
        self.watch_at = now + self.watch_backoff.wait(rng);
        self.list_at = Some(self.watch_at);
    }

    /// Notes that the watch is open.
    pub fn watch_opened(&mut self, now: Instant) {
        self.watch = Watch::Open;
        self.watch_opened_at = now;
    }

    /// Notes that the platform no longer has the changes since the version asked for.
    pub fn watch_too_old(&mut self, now: Instant) {
        self.watch = Watch::Closed;
        self.must_list = true;
        self.watch_at = now;
    }

    /// Notes that the watch ended or could not be opened.
    pub fn watch_ended(&mut self, now: Instant, rng: &mut impl Rng) {
        if self.watch != Watch::Listing {
            // A watch that lasted for a while is no failure.
            if self.watch == Watch::Open && now >= self.watch_opened_at + RETRY_MAX {
                self.watch_backoff.reset();
            }
            self.watch = Watch::Closed;
            self.watch_at = now + self.watch_backoff.wait(rng);
        }
    }

    /// Takes a change seen by the watch.
    pub fn event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.watch_backoff.reset();
        self.newest = self.newest.max(event.version);
        if self.store.take_event(event).is_err() {
            self.rejected_old += 1;
            return Vec::new();
        }
        self.platform_behind = false;
        self.installed(now)
    }

    fn follow_peers(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.fetching.as_ref().is_some_and(|f| now >= f.deadline) {
            self.fetch_failed(now, rng);
        }
        let compares = now >= self.compare_at && self.version() > 0;
        let wanted = self.newest > self.version() || compares;
        if !wanted || self.fetching.is_some() || now < self.fetch_at {
            return;
        }
        let Some(peer) = self.choose_peer(now, rng) else { return };
        if compares {
            self.compare_at = now + COMPARE.mul_f64(0.5 + rng.random::<f64>());
        }
        let since = self.version();
        let fetch = Fetch { since, cursor: since, whole: false };
        let deadline = now + FETCH_TIMEOUT;
        self.fetching = Some(Fetching { peer: peer.clone(), deadline, parts: Delta::default() });
        actions.push(Action::Fetch { peer, fetch });
    }

    /// A peer that is ahead, or, to compare with, at least not behind; one of the own data centre if there is one.
    fn choose_peer(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Arc<str>> {
        self.avoid.retain(|_, until| now < *until);
        let least = if self.newest > self.version() { self.version() + 1 } else { self.version() };
        let able = |m: &&Member| {
            self.heard.get(&m.name).is_some_and(|v| *v >= least) && !self.avoid.contains_key(&m.name)
        };
        let able: Vec<_> = self.members.iter().filter(able).collect();
        let near: Vec<_> = able.iter().copied().filter(|m| m.data_centre == self.me.data_centre).collect();
        let from = if near.is_empty() { &able } else { &near };
        from.choose(rng).map(|m| m.name.clone())
    }

    /// Takes one page of a peer's answer; `None` when none came.
    pub fn fetched(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        delta: Option<Delta>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        // A late answer of a peer that was given up is dropped.
        let Some(mut fetching) = self.fetching.take().filter(|f| f.peer == *peer) else { return Vec::new() };
        let first = fetching.parts.version == 0;
        let Some(delta) = delta.filter(|d| first || d.whole == fetching.parts.whole) else {
            self.fetching = Some(fetching);
            self.fetch_failed(now, rng);
            return Vec::new();
        };
        let more = delta.more;
        join(&mut fetching.parts, delta);
        if more {
            fetching.deadline = now + FETCH_TIMEOUT;
            let cursor = fetching.parts.items.last().map_or(0, |i| i.version);
            let whole = fetching.parts.whole;
            let fetch = Fetch { since: fetching.parts.since, cursor, whole };
            self.fetching = Some(fetching);
            return vec![Action::Fetch { peer: peer.clone(), fetch }];
        }
        self.take(now, peer, fetching.parts, rng)
    }

    fn take(&mut self, now: Instant, peer: &Arc<str>, delta: Delta, rng: &mut impl Rng) -> Vec<Action> {
        let before = self.version();
        match self.store.take_delta(delta) {
            Ok(()) => {}
            Err(Rejected::Mismatch) => {
                self.mismatches += 1;
                self.differs = true;
            }
            Err(e @ (Rejected::Old | Rejected::Gap | Rejected::Malformed)) => {
                self.rejected_old += u64::from(e == Rejected::Old);
                self.avoid.insert(peer.clone(), now + AVOID);
                self.fetch_at = now + self.fetch_backoff.wait(rng);
            }
        }
        if self.version() == before {
            return Vec::new();
        }
        self.fetch_backoff.reset();
        self.fetch_at = now;
        self.installed(now)
    }

    fn fetch_failed(&mut self, now: Instant, rng: &mut impl Rng) {
        let Some(fetching) = self.fetching.take() else { return };
        self.avoid.insert(fetching.peer, now + AVOID);
        self.fetch_at = now + self.fetch_backoff.wait(rng);
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

/// Adds a page to the pages before it.
fn join(parts: &mut Delta, page: Delta) {
    let mut items = std::mem::take(&mut parts.items);
    let since = if items.is_empty() { page.since } else { parts.since };
    let Delta { version, whole, digest, .. } = page;
    items.extend(page.items);
    *parts = Delta { since, version, whole, items, digest, more: false };
}
