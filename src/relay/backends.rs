//! Backend servers that are known, each start of a server under a key of its own.
//!
//! A server keeps its identifier when it starts again; a start is named by the identifier and the time at which it began.
//! With a later start all that was believed of the one before ends: its key is not used any more. What tells of an earlier
//! start, as a host that hears late, changes nothing.
//!
//! An entry that can't be read, or that tells another service or address for the same start, was written by somebody
//! else. It names no server to use until the server has written its own again.
//!
//! A store that was restored lists servers as they were. One that was seen leaving stays leaving, one whose entry had been
//! removed takes work only once it has written again or its entry has outlasted a dead server's, and one whose entry is
//! missing has time to write it again.
//!
//! The store's list is the source; a server that leaves stays in the arena until its last request is done, so that
//! a key is never used for another server.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use slotmap::{SlotMap, new_key_type};

use super::{contact::MISSING_ENTRY_GRACE, revision::Revision};
use crate::{
    schema::fleet,
    util::{Instant, Map, Set, hash},
};

mod ended;
mod entry;
mod intake;
mod left;
mod tell;

use ended::Ended;

/// Names one start of a backend server in messages between hosts.
pub type Tag = u32;
/// When a start of a backend server began, in milliseconds since 1970; 0 where it is not told.
pub type Born = u64;

/// How long a server whose entry was removed may still be asked for prompt parts; leaving servers serve for two
/// seconds and more.
const LINGERS: Duration = Duration::from_secs(3);

/// Longest time for which an entry may tell that its server stays cold; more was written by somebody else.
const MOST_COLD: Duration = Duration::from_secs(60);

/// Changes remembered for other hosts.
const MOST_LOGGED: usize = 512;

new_key_type! {
    /// Names one start of a backend server in this process.
    pub struct BackendKey;
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving: requests in progress end, nothing new is sent.
    Leaving,
    /// Its entry can't be read or is another's; nothing new is sent until it has written its own again.
    Unreadable,
    /// Its entry is missing since the store came back; it takes work until that is settled.
    Missing {
        /// When it counts as gone.
        until: Instant,
    },
    /// Its entry had been removed and is back since the store was restored; nothing new is sent until that is settled.
    Unconfirmed {
        /// When it counts as alive.
        until: Instant,
    },
}

/// One start of a backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Identifier, which later starts keep.
    pub id: Arc<str>,
    /// When this start began, in milliseconds since 1970; 0 where it is not told.
    pub born: Born,
    /// Tag of the identifier and the start.
    pub tag: Tag,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Address.
    pub addr: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Requests of this process in progress there.
    pub in_progress: u32,
    /// When its entry was removed.
    pub gone: Option<Instant>,
    /// When it was first said to leave, by itself, the store or another host.
    left: Option<Instant>,
    /// Until when it is cold, as far as is told.
    pub cold_until: Instant,
    /// Whether its entry told last that it is cold.
    told_cold: bool,
}

impl Backend {
    /// Whether it takes new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, State::Ready | State::Missing { .. })
    }

    fn leave(&mut self, now: Instant) {
        self.state = State::Leaving;
        self.left.get_or_insert(now);
    }

    fn is_missing(&self) -> bool {
        matches!(self.state, State::Missing { .. })
    }

    /// Takes in for how long its entry tells that it is cold; returns whether that is news. An entry that tells no more of it
    /// may be older than what ends it, so that the time told before runs out by itself.
    fn hear_cold(&mut self, now: Instant, cold_ms: u32) -> bool {
        let before = std::mem::replace(&mut self.told_cold, cold_ms > 0);
        let cold = Duration::from_millis(cold_ms.into()).min(MOST_COLD);
        if cold_ms > 0 {
            self.cold_until = self.cold_until.max(now + cold);
        }
        cold_ms > 0 && !before
    }
}

/// A change of what is known of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Listed for the first time.
    Seen,
    /// Takes no new work from now on.
    Left,
    /// Its entry is missing since the store came back.
    Missing,
    /// Its entry can't be read or is another's.
    Unreadable,
    /// It has started again: what was believed of this start ends.
    Restarted,
    /// It is cold without having started.
    Cold,
    /// Its entry had been removed and is back since the store was restored.
    Unconfirmed,
}

impl Change {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Change::Seen => "seen",
            Change::Left => "leaving",
            Change::Missing => "missing",
            Change::Unreadable => "unreadable",
            Change::Restarted => "restarted",
            Change::Cold => "cold",
            Change::Unconfirmed => "unconfirmed",
        }
    }
}

/// Tag of one start of a backend server.
pub fn tag(id: &str, born: Born) -> Tag {
    hash((id, born)) as Tag
}

/// All backend servers that are known.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    arena: SlotMap<BackendKey, Backend>,
    by_id: Map<Arc<str>, BackendKey>,
    by_tag: Map<Tag, BackendKey>,
    revision: Revision,
    /// Changes that led to the revision, for hosts that lack only these; the oldest are dropped.
    log: VecDeque<(Revision, Arc<str>)>,
    /// Changes after this revision are all in the log.
    logged_from: Revision,
    digest: u32,
    ended: Ended,
    /// Identifiers whose entries could not be read and that have had their line.
    unreadable: Set<Arc<str>>,
}

impl Backends {
    /// Revision up to which the list is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes what is known for that of a copy, which any list replaces.
    pub fn forget_revision(&mut self) {
        if self.revision.is_known() {
            self.revision = Revision::STALE_READ;
            self.logged_from = self.revision;
            self.log.clear();
        }
    }

    /// Takes a whole list as of `revision`; an older one than known tells only who leaves.
    ///
    /// `grace` is set for a while after the store's return: entries that lapsed while it was away come back only
    /// when their servers have written again, so that a missing one counts as gone only then.
    pub fn list(
        &mut self,
        now: Instant,
        list: &fleet::Backends,
        grace: Option<Duration>,
    ) -> Vec<(BackendKey, Change)> {
        if list.as_of() < self.revision {
            return self.hear_leaving(now, &list.items);
        }
        let knows = self.revision.is_known() && self.revision != Revision::STALE_READ;
        let restored = knows && list.epoch > self.revision.epoch;
        let grace = if restored { grace.max(Some(MISSING_ENTRY_GRACE)) } else { grace };
        self.revision = list.as_of();
        self.log.clear();
        self.logged_from = self.revision;
        let mut changes: Vec<_> = list.items.iter().flat_map(|item| self.put(now, item, false)).collect();
        let listed: Set<&str> = list.items.iter().map(|i| i.id.as_str()).collect();
        let missing: Vec<_> = self.by_id.keys().filter(|id| !listed.contains(&***id)).cloned().collect();
        changes.extend(missing.iter().filter_map(|id| self.remove(now, id, grace)));
        self.renew_digest();
        changes
    }

    /// Takes changes that lead to `revision`; those of an older revision than known tell only who leaves.
    pub fn change(
        &mut self,
        now: Instant,
        revision: Revision,
        puts: &[fleet::Backend],
        removed: &[String],
        grace: Option<Duration>,
    ) -> Vec<(BackendKey, Change)> {
        if revision < self.revision {
            return self.hear_leaving(now, puts);
        }
        self.revision = revision;
        let ids = puts.iter().map(|p| &p.id).chain(removed);
        self.log.extend(ids.map(|id| (revision, id.as_str().into())));
        while self.log.len() > MOST_LOGGED {
            self.logged_from = self.log.pop_front().map_or(revision, |(dropped, _)| dropped);
        }
        let mut changes: Vec<_> = puts.iter().flat_map(|item| self.put(now, item, true)).collect();
        changes.extend(removed.iter().filter_map(|id| self.remove(now, id, grace)));
        self.renew_digest();
        changes
    }

    /// Counts the backend servers of a data centre as cold for a while, by service; returns those that are.
    pub fn cool(
        &mut self,
        now: Instant,
        data_centre: &str,
        lasts: impl Fn(&str) -> Duration,
    ) -> Vec<BackendKey> {
        let mut cold = Vec::new();
        for (key, b) in self.arena.iter_mut().filter(|(_, b)| &*b.data_centre == data_centre) {
            b.cold_until = b.cold_until.max(now + lasts(&b.service));
            if b.cold_until > now {
                cold.push(key);
            }
        }
        cold
    }

    /// Settles entries whose grace is over, and forgets servers that are gone and have no request in progress. A server
    /// that is gone still serves for a while, so that others can fetch prompt parts from it. Returns the changes and
    /// the keys that are forgotten.
    pub fn expire(&mut self, now: Instant) -> (Vec<(BackendKey, Change)>, Vec<BackendKey>) {
        let over = |b: &Backend| matches!(b.state, State::Missing { until } if until <= now);
        let over: Vec<_> = self.arena.iter().filter(|(_, b)| over(b)).map(|(key, _)| key).collect();
        let mut changes: Vec<_> = over.into_iter().filter_map(|key| self.drop_entry(now, key)).collect();
        changes.extend(self.confirm(now));
        if !changes.is_empty() {
            self.renew_digest();
        }
        self.ended.expire(now);
        let done = |b: &Backend| b.in_progress == 0 && b.gone.is_some_and(|gone| gone + LINGERS <= now);
        let done: Vec<_> = self.arena.iter().filter(|(_, b)| done(b)).map(|(key, _)| key).collect();
        for key in &done {
            self.arena.remove(*key);
        }
        (changes, done)
    }

    /// One backend server, unless it is gone and forgotten.
    pub fn get(&self, key: BackendKey) -> Option<&Backend> {
        self.arena.get(key)
    }

    /// The backend server with a tag.
    pub fn by_tag(&self, tag: Tag) -> Option<BackendKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Counts a request that starts at a backend server.
    pub fn start(&mut self, key: BackendKey) {
        if let Some(b) = self.arena.get_mut(key) {
            b.in_progress += 1;
        }
    }

    /// Counts a request that ends at a backend server.
    pub fn end(&mut self, key: BackendKey) {
        if let Some(b) = self.arena.get_mut(key) {
            b.in_progress = b.in_progress.saturating_sub(1);
        }
    }

    /// All backend servers, those that leave included.
    pub fn iter(&self) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.arena.iter()
    }

    /// Backend servers of a service that take new work.
    pub fn of(&self, service: &str) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.arena.iter().filter(move |(_, b)| &*b.service == service && b.takes_work())
    }

    /// Digest of the list; the same at hosts that know the same.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Kept with each change, since every beat that is sent or heard asks for it.
    fn renew_digest(&mut self) {
        let listed = self.arena.iter().filter(|(key, b)| self.by_id.get(&b.id) == Some(key));
        self.digest =
            listed.fold(0, |sum, (_, b)| sum ^ hash((&*b.id, b.born, b.takes_work(), b.told_cold)) as u32);
    }
}
