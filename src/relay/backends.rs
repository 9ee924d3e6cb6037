//! The backend servers that this host knows, with each incarnation of a server under its own key.
//!
//! A server keeps its identifier when it restarts; an incarnation is identified by the identifier and its start
//! time. A new incarnation replaces the previous one and everything recorded about it, and the old key is no longer
//! used. Information about an earlier incarnation, such as a late message from another host, is ignored.
//!
//! An entry that cannot be read, or that has a different service or address for the same incarnation, was written
//! by another party. The server gets no new requests until it has written its own entry again.
//!
//! A store restored from a backup lists servers as they were. A server that was seen leaving stays leaving. A
//! server whose entry had been removed gets requests only once it has written its entry again, or once the entry
//! has outlived that of a dead server. A server whose entry is missing gets a grace period to write it again.
//!
//! The store's list is authoritative. A server that leaves stays in the arena until its last request is done, so
//! that a key never refers to a different server.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use slotmap::{SlotMap, new_key_type};

use super::{contact::MISSING_ENTRY_GRACE, revision::Revision};
use crate::{
    schema::fleet,
    util::{Instant, Map, Set, hash},
};

mod apply;
mod ended;
pub(super) mod entry;
mod leaving;
pub mod packed;
mod snapshot;
pub mod versions;

use ended::Ended;
use entry::MAX_NAME_BYTES;

/// Identifies an incarnation of a backend server in messages between hosts.
pub type Tag = u32;
/// Start time of an incarnation in milliseconds since 1970; 0 if unknown.
pub type StartMs = u64;

/// How long a server whose entry was removed can still be asked for prompt parts; leaving servers keep serving for
/// at least two seconds.
const REMOVED_RETENTION: Duration = Duration::from_secs(3);

/// Maximum time for which an entry can declare its server cold; a longer one was written by another party.
const MAX_COLD: Duration = Duration::from_secs(60);

/// How long after a start a server may be listed with its earlier entry: it writes its own within two heartbeats of one to
/// two seconds.
const RESTART_ENTRY_DELAY: Duration = Duration::from_secs(4);

/// Maximum number of changes kept for other hosts.
const MAX_LOG_ENTRIES: usize = 512;

new_key_type! {
    /// Identifies an incarnation of a backend server in this process.
    pub struct BackendKey;
}

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It is leaving: requests in progress finish, no new ones are sent.
    Leaving,
    /// Its entry cannot be read or was written by another party; no new requests are sent until it has written its
    /// own entry again.
    Unreadable,
    /// Its entry has been missing since the store became reachable again; it accepts requests until the grace
    /// period ends.
    Missing {
        /// When it counts as removed.
        until: Instant,
    },
    /// Its entry had been removed and is listed again since the store was restored; no new requests are sent until
    /// it is known to be alive.
    Unconfirmed {
        /// When it counts as alive.
        until: Instant,
    },
}

/// An incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Identifier, the same for all incarnations of the server.
    pub id: Arc<str>,
    /// Start time of this incarnation in milliseconds since 1970; 0 if unknown.
    pub born: StartMs,
    /// Hash of the identifier and the start time.
    pub tag: Tag,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Version of its software; empty if unknown.
    pub version: Arc<str>,
    /// Address.
    pub addr: SocketAddr,
    /// Data centre in which it is located.
    pub data_centre: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// State, which decides whether it gets new requests.
    pub state: State,
    /// Requests of this process in progress at the server.
    pub in_progress: u32,
    /// When its entry was removed.
    pub removed_at: Option<Instant>,
    /// When it was first reported to be leaving, by itself, the store or another host.
    leaving_since: Option<Instant>,
    /// Until when it counts as cold.
    pub cold_until: Instant,
    /// Whether its latest entry declared it cold.
    reported_cold: bool,
    /// When it last may have started again without its entry telling so.
    restart_suspected: Option<Instant>,
    /// Whether its start time may have been added by another party: the server had none in its entries before.
    start_is_doubtful: bool,
}

impl Backend {
    /// Whether it accepts new requests.
    pub fn accepts_work(&self) -> bool {
        matches!(self.state, State::Ready | State::Missing { .. })
    }

    /// Whether it may have started again, with another version, without its entry telling so yet.
    pub fn may_have_restarted(&self, now: Instant) -> bool {
        self.restart_suspected.is_some_and(|at| at + RESTART_ENTRY_DELAY > now)
    }

    /// Whether an entry tells another version than is known.
    fn has_other_version(&self, version: &str) -> bool {
        !version.is_empty() && !self.version.is_empty() && versions::bounded(version) != self.version
    }

    fn set_leaving(&mut self, now: Instant) {
        self.state = State::Leaving;
        self.leaving_since.get_or_insert(now);
    }

    fn is_missing(&self) -> bool {
        matches!(self.state, State::Missing { .. })
    }

    /// Updates the cold period from an entry; returns whether the server has turned cold. An entry that no longer
    /// declares the server cold may be older than one that did, so that the period is left to expire.
    fn update_cold(&mut self, now: Instant, cold_ms: u32) -> bool {
        let was_cold = std::mem::replace(&mut self.reported_cold, cold_ms > 0);
        let cold = Duration::from_millis(cold_ms.into()).min(MAX_COLD);
        if cold_ms > 0 {
            self.cold_until = self.cold_until.max(now + cold);
        }
        cold_ms > 0 && !was_cold
    }
}

/// A change in what is known about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was listed for the first time, or accepts requests again.
    Seen,
    /// It no longer accepts new requests.
    Leaving,
    /// Its entry is missing since the store became reachable again.
    Missing,
    /// Its entry cannot be read or was written by another party.
    Unreadable,
    /// It has restarted; what was recorded about this incarnation is obsolete.
    Restarted,
    /// It is cold without having restarted.
    Cold,
    /// Its entry had been removed and is listed again since the store was restored.
    Unconfirmed,
}

impl Change {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Change::Seen => "seen",
            Change::Leaving => "leaving",
            Change::Missing => "missing",
            Change::Unreadable => "unreadable",
            Change::Restarted => "restarted",
            Change::Cold => "cold",
            Change::Unconfirmed => "unconfirmed",
        }
    }
}

/// An event of a server's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// The entry was written.
    Written(fleet::Backend),
    /// The entry of the server with this identifier was removed.
    Removed(String),
}

impl BackendEvent {
    /// Identifier of the server.
    pub fn id(&self) -> &str {
        match self {
            BackendEvent::Written(item) => &item.id,
            BackendEvent::Removed(id) => id,
        }
    }

    /// The entry, if it was written.
    pub fn written(&self) -> Option<&fleet::Backend> {
        match self {
            BackendEvent::Written(item) => Some(item),
            BackendEvent::Removed(_) => None,
        }
    }

    /// The entry, if it was written.
    pub fn written_mut(&mut self) -> Option<&mut fleet::Backend> {
        match self {
            BackendEvent::Written(item) => Some(item),
            BackendEvent::Removed(_) => None,
        }
    }
}

/// Tag of an incarnation of a backend server.
pub fn tag(id: &str, born: StartMs) -> Tag {
    hash((id, born)) as Tag
}

/// The known backend servers.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    arena: SlotMap<BackendKey, Backend>,
    by_id: Map<Arc<str>, BackendKey>,
    by_tag: Map<Tag, BackendKey>,
    revision: Revision,
    /// Changes up to the revision, for hosts that lack only these; the oldest are dropped.
    log: VecDeque<(Revision, Arc<str>)>,
    /// The log contains all changes after this revision.
    logged_from: Revision,
    digest: u32,
    ended: Ended,
    /// Identifiers whose unreadable entries have already been logged.
    unreadable: Set<Arc<str>>,
}

impl Backends {
    /// Revision of the list.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Marks the list as read from a copy of the store, so that any list replaces it.
    pub fn forget_revision(&mut self) {
        if self.revision.is_known() {
            self.revision = Revision::STALE_READ;
            self.logged_from = self.revision;
            self.log.clear();
        }
    }

    /// Applies a full list; from one with an older revision than the known one, only leaving servers are taken.
    ///
    /// `grace` is set for some time after the store became reachable again. Entries that expired during the outage
    /// return only when their servers have written them again, so that a missing entry counts as removed only after
    /// this period.
    pub fn apply_list(
        &mut self,
        now: Instant,
        list: &fleet::Backends,
        grace: Option<Duration>,
    ) -> Vec<(BackendKey, Change)> {
        if list.as_of() < self.revision {
            return self.apply_leaving_entries(now, list.items.iter());
        }
        let has_store_list = self.revision.is_known() && self.revision != Revision::STALE_READ;
        let restored = has_store_list && list.epoch > self.revision.epoch;
        let grace = if restored { grace.max(Some(MISSING_ENTRY_GRACE)) } else { grace };
        self.revision = list.as_of();
        self.log.clear();
        self.logged_from = self.revision;
        let mut changes: Vec<_> = list.items.iter().flat_map(|item| self.put(now, item, false)).collect();
        let listed: Set<&str> = list.items.iter().map(|i| i.id.as_str()).collect();
        let missing: Vec<_> = self.by_id.keys().filter(|id| !listed.contains(&***id)).cloned().collect();
        changes.extend(missing.iter().filter_map(|id| self.remove(now, id, grace)));
        self.update_digest();
        changes
    }

    /// Applies changes that lead to `revision`, as another host tells them: each server is either in `puts` or in `removed`.
    pub fn apply_changes(
        &mut self,
        now: Instant,
        revision: Revision,
        puts: &[fleet::Backend],
        removed: &[String],
        grace: Option<Duration>,
    ) -> Vec<(BackendKey, Change)> {
        let removed = removed.iter().cloned().map(BackendEvent::Removed);
        let events: Vec<_> = removed.chain(puts.iter().cloned().map(BackendEvent::Written)).collect();
        self.apply_events(now, revision, &events, grace)
    }

    /// Applies events that lead to `revision`, in their order; from events with an older revision than the known one, only
    /// leaving servers are taken.
    pub fn apply_events(
        &mut self,
        now: Instant,
        revision: Revision,
        events: &[BackendEvent],
        grace: Option<Duration>,
    ) -> Vec<(BackendKey, Change)> {
        if revision < self.revision {
            return self.apply_leaving_entries(now, events.iter().filter_map(BackendEvent::written));
        }
        self.revision = revision;
        // Servers with longer identifiers are unknown to all hosts, and their names would fill the answers to other hosts.
        let usable = events.iter().filter(|event| event.id().len() <= MAX_NAME_BYTES);
        self.log.extend(usable.map(|event| (revision, event.id().into())));
        while self.log.len() > MAX_LOG_ENTRIES {
            self.logged_from = self.log.pop_front().map_or(revision, |(dropped, _)| dropped);
        }
        let written_next = written_next(events);
        let mut changes = Vec::new();
        for (event, written_next) in events.iter().zip(written_next) {
            match event {
                BackendEvent::Written(item) => changes.extend(self.put(now, item, true)),
                BackendEvent::Removed(_) if written_next.is_some_and(|item| self.is_used_as(item)) => {}
                BackendEvent::Removed(id) => changes.extend(self.remove(now, id, grace)),
            }
        }
        self.update_digest();
        changes
    }

    /// Marks the backend servers of a data centre as cold for a period that depends on the service; returns those
    /// that are.
    pub fn mark_cold(
        &mut self,
        now: Instant,
        data_centre: &str,
        cold_period: impl Fn(&str) -> Duration,
    ) -> Vec<BackendKey> {
        let mut cold = Vec::new();
        for (key, b) in self.arena.iter_mut().filter(|(_, b)| &*b.data_centre == data_centre) {
            b.cold_until = b.cold_until.max(now + cold_period(&b.service));
            if b.cold_until > now {
                cold.push(key);
            }
        }
        cold
    }

    /// Ends grace periods that are over, and drops removed servers without requests in progress. A removed server
    /// is kept for a while because others can still fetch prompt parts from it. Returns the changes and the dropped
    /// keys.
    pub fn expire(&mut self, now: Instant) -> (Vec<(BackendKey, Change)>, Vec<BackendKey>) {
        let grace_expired = |b: &Backend| matches!(b.state, State::Missing { until } if until <= now);
        let grace_expired: Vec<_> =
            self.arena.iter().filter(|(_, b)| grace_expired(b)).map(|(key, _)| key).collect();
        let mut changes: Vec<_> =
            grace_expired.into_iter().filter_map(|key| self.drop_entry(now, key)).collect();
        changes.extend(self.confirm_due(now));
        if !changes.is_empty() {
            self.update_digest();
        }
        self.ended.expire(now);
        let done =
            |b: &Backend| b.in_progress == 0 && b.removed_at.is_some_and(|at| at + REMOVED_RETENTION <= now);
        let done: Vec<_> = self.arena.iter().filter(|(_, b)| done(b)).map(|(key, _)| key).collect();
        for key in &done {
            self.arena.remove(*key);
        }
        (changes, done)
    }

    /// A backend server, unless it has been dropped.
    pub fn get(&self, key: BackendKey) -> Option<&Backend> {
        self.arena.get(key)
    }

    /// The key of the backend server with this tag.
    pub fn by_tag(&self, tag: Tag) -> Option<BackendKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Counts a request in progress at a backend server.
    pub fn begin_request(&mut self, key: BackendKey) {
        if let Some(b) = self.arena.get_mut(key) {
            b.in_progress += 1;
        }
    }

    /// Ends a request in progress at a backend server.
    pub fn end_request(&mut self, key: BackendKey) {
        if let Some(b) = self.arena.get_mut(key) {
            b.in_progress = b.in_progress.saturating_sub(1);
        }
    }

    /// Notes that a server may have started again without its entry telling so.
    pub fn suspect_restart(&mut self, now: Instant, key: BackendKey) {
        if let Some(backend) = self.arena.get_mut(key) {
            backend.restart_suspected = Some(now);
        }
    }

    /// Number of all backend servers, including those that are leaving.
    pub fn count(&self) -> usize {
        self.arena.len()
    }

    /// All backend servers, including those that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.arena.iter()
    }

    /// Backend servers of a service that accept new requests.
    pub fn available(&self, service: &str) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.arena.iter().filter(move |(_, b)| &*b.service == service && b.accepts_work())
    }

    /// Digest of the list, equal on hosts with the same list.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Recomputed on each change rather than on use, since every heartbeat that is sent or received needs it. A known
    /// version counts: a host that lacks it has to fetch the list.
    fn update_digest(&mut self) {
        let listed = self.arena.iter().filter(|(key, b)| self.by_id.get(&b.id) == Some(key));
        let entry = |b: &Backend| match &*b.version {
            "" => hash((&*b.id, b.born, b.accepts_work(), b.reported_cold)),
            version => hash((&*b.id, b.born, b.accepts_work(), b.reported_cold, version)),
        };
        self.digest = listed.fold(0, |sum, (_, b)| sum ^ entry(b) as u32);
    }
}

/// For each event the next writing of the same entry, if one follows.
fn written_next(events: &[BackendEvent]) -> Vec<Option<&fleet::Backend>> {
    let mut next: Map<&str, &fleet::Backend> = Map::default();
    let mut written_next = vec![None; events.len()];
    for (at, event) in events.iter().enumerate().rev() {
        written_next[at] = next.get(event.id()).copied();
        if let Some(item) = event.written() {
            next.insert(&item.id, item);
        }
    }
    written_next
}
