//! Applies entries of backend servers that were listed, written or removed.

use std::{sync::Arc, time::Duration};

use super::{
    Backend, BackendKey, Backends, Change, State,
    ended::History,
    entry::{Comparison, MAX_NAME_BYTES, Unusable, usable_addr},
    tag, versions,
};
use crate::{schema::fleet, util::Instant};

/// How long an entry that had been removed must be listed by a restored store before its server counts as alive
/// without having written it: entries expire after three missed heartbeats of one to two seconds.
const UNCONFIRMED_PERIOD: Duration = Duration::from_secs(6);

/// Maximum number of unreadable entries remembered so that each is logged once; beyond it some are logged again.
const MAX_UNREADABLE: usize = 1_024;

/// State of a server whose entry had been removed. It ends after the time that another host reports, at most after
/// the lifetime of a dead server's entry.
fn unconfirmed_state(now: Instant, item: &fleet::Backend) -> State {
    let reported =
        Some(Duration::from_millis(item.unconfirmed_ms.into())).filter(|reported| !reported.is_zero());
    State::Unconfirmed { until: now + reported.unwrap_or(UNCONFIRMED_PERIOD).min(UNCONFIRMED_PERIOD) }
}

/// The beginning of another writer's text, for a log line.
fn shortened(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_NAME_BYTES)]
}

impl Backends {
    /// Applies an entry; a restart produces two changes. An entry that was `written` since the known revision,
    /// rather than only listed, proves that its server is alive.
    pub(super) fn put(
        &mut self,
        now: Instant,
        item: &fleet::Backend,
        written: bool,
    ) -> Vec<(BackendKey, Change)> {
        let Some(&key) = self.by_id.get(item.id.as_str()) else {
            return Vec::from_iter(self.add(now, item, written));
        };
        match self.arena[key].compare(item) {
            Comparison::Earlier => Vec::new(),
            Comparison::Same if self.arena[key].has_other_version(&item.version) => {
                self.replace_version(now, key, item, written)
            }
            Comparison::Same => {
                let cold = self.arena[key].update_cold(now, item.cold_ms).then_some((key, Change::Cold));
                self.refresh(now, key, item, written).into_iter().chain(cold).collect()
            }
            Comparison::Foreign => Vec::from_iter(self.mark_unreadable(key)),
            Comparison::Later => {
                let had_start = self.arena[key].born > 0 && !self.arena[key].start_is_doubtful;
                self.drop_entry(now, key);
                let added = self.add(now, item, written);
                if let Some((new, _)) = added {
                    self.arena[new].start_is_doubtful = !had_start;
                }
                [(key, Change::Restarted)].into_iter().chain(added).collect()
            }
        }
    }

    /// Applies an entry that tells another version: the server has started again under its identifier, and has no start time
    /// or had not told its version yet. A list may be from before that, so that the server has to write the entry first.
    fn replace_version(
        &mut self,
        now: Instant,
        key: BackendKey,
        item: &fleet::Backend,
        written: bool,
    ) -> Vec<(BackendKey, Change)> {
        self.drop_entry(now, key);
        self.ended.remove(&item.id);
        let mut added = self.add(now, item, written);
        if let Some((new, change)) = &mut added
            && !written
            && self.arena[*new].state == State::Ready
        {
            self.arena[*new].state = unconfirmed_state(now, item);
            *change = Change::Unconfirmed;
        }
        [(key, Change::Restarted)].into_iter().chain(added).collect()
    }

    /// Applies an entry of the known incarnation. One that has left never gets requests again.
    fn refresh(
        &mut self,
        now: Instant,
        key: BackendKey,
        item: &fleet::Backend,
        written: bool,
    ) -> Option<(BackendKey, Change)> {
        let backend = &mut self.arena[key];
        if !item.version.is_empty() {
            backend.version = versions::bounded(&item.version);
        }
        backend.slots = item.slots;
        if *backend.data_centre != *item.data_centre {
            backend.data_centre = item.data_centre.as_str().into();
        }
        if written {
            backend.restart_suspected = None;
        }
        match backend.state {
            _ if item.leaving => {
                let changed = backend.state != State::Leaving;
                backend.set_leaving(now);
                changed.then_some((key, Change::Leaving))
            }
            State::Leaving => None,
            State::Unconfirmed { .. } if item.unconfirmed_ms > 0 || !written => None,
            State::Ready if item.unconfirmed_ms == 0 => None,
            State::Ready => {
                backend.state = unconfirmed_state(now, item);
                Some((key, Change::Unconfirmed))
            }
            State::Missing { .. } | State::Unreadable | State::Unconfirmed { .. } => {
                backend.state = State::Ready;
                self.ended.remove(&item.id);
                Some((key, Change::Seen))
            }
        }
    }

    /// Whether an entry describes an incarnation that gets new requests: its entry had lapsed, and the server is alive.
    pub(super) fn is_used_as(&self, item: &fleet::Backend) -> bool {
        let backend = self.by_id.get(item.id.as_str()).map(|key| &self.arena[*key]);
        backend.is_some_and(|b| b.accepts_work() && b.compare(item) == Comparison::Same)
    }

    /// Stops sending new requests to a server whose entry was written by another party.
    fn mark_unreadable(&mut self, key: BackendKey) -> Option<(BackendKey, Change)> {
        let backend = &mut self.arena[key];
        if !backend.accepts_work() {
            return None;
        }
        backend.state = State::Unreadable;
        Some((key, Change::Unreadable))
    }

    /// Adds a server whose identifier is not listed.
    fn add(&mut self, now: Instant, item: &fleet::Backend, written: bool) -> Option<(BackendKey, Change)> {
        let id: Arc<str> = item.id.as_str().into();
        let history = self.ended.history(item, self.revision.epoch);
        if history == History::Earlier {
            return None;
        }
        let addr = match usable_addr(item) {
            Ok(addr) => addr,
            Err(why) => {
                self.log_unusable(id, &item.addr, why);
                return None;
            }
        };
        self.unreadable.remove(&id);
        let tag = tag(&id, item.born);
        let (state, change) = match history {
            _ if item.leaving => (State::Leaving, Change::Seen),
            History::SeenLeaving => (State::Leaving, Change::Leaving),
            _ if item.unconfirmed_ms > 0 => (unconfirmed_state(now, item), Change::Unconfirmed),
            History::Removed if !written => (unconfirmed_state(now, item), Change::Unconfirmed),
            _ => (State::Ready, Change::Seen),
        };
        if state == State::Ready {
            self.ended.remove(&id);
        }
        let key = self.arena.insert(Backend {
            id: id.clone(),
            born: item.born,
            tag,
            service: item.service.as_str().into(),
            version: versions::bounded(&item.version),
            addr,
            data_centre: item.data_centre.as_str().into(),
            slots: item.slots,
            state,
            in_progress: 0,
            removed_at: None,
            leaving_since: (state == State::Leaving).then_some(now),
            cold_until: Instant::ZERO,
            reported_cold: false,
            restart_suspected: None,
            start_is_doubtful: false,
        });
        self.arena[key].update_cold(now, item.cold_ms);
        self.by_id.insert(id, key);
        self.by_tag.insert(tag, key);
        Some((key, change))
    }

    /// Logs an entry that cannot be used, once per identifier until it can be used.
    fn log_unusable(&mut self, id: Arc<str>, addr: &str, why: Unusable) {
        if self.unreadable.len() >= MAX_UNREADABLE {
            self.unreadable.clear();
        }
        if self.unreadable.insert(id.clone()) {
            let (id, addr) = (shortened(&id), shortened(addr));
            spdlog::warn!("entry of backend server {id} is unusable: {}, address {addr:?}", why.as_str());
        }
    }

    /// Applies the removal of an entry: within `grace` the server counts as missing, otherwise as removed.
    pub(super) fn remove(
        &mut self,
        now: Instant,
        id: &str,
        grace: Option<Duration>,
    ) -> Option<(BackendKey, Change)> {
        let key = *self.by_id.get(id)?;
        let backend = &mut self.arena[key];
        match (backend.state, grace) {
            (State::Ready, Some(grace)) => {
                backend.state = State::Missing { until: now + grace };
                Some((key, Change::Missing))
            }
            (State::Missing { until }, _) if until > now => None,
            _ => self.drop_entry(now, key),
        }
    }

    /// Ends an incarnation: its key stays valid for requests in progress, but its identifier and tag no longer lead
    /// to it.
    pub(super) fn drop_entry(&mut self, now: Instant, key: BackendKey) -> Option<(BackendKey, Change)> {
        let backend = &mut self.arena[key];
        let changed = backend.accepts_work();
        let seen_leaving = backend.leaving_since.is_some();
        self.ended.record(now, &backend.id, backend.born, seen_leaving, self.revision.epoch);
        backend.state = State::Leaving;
        backend.removed_at = Some(now);
        let (id, tag) = (backend.id.clone(), backend.tag);
        self.by_id.remove(&id);
        if self.by_tag.get(&tag) == Some(&key) {
            self.by_tag.remove(&tag);
        }
        changed.then_some((key, Change::Leaving))
    }

    /// Marks unconfirmed servers as alive whose entries have outlived those of dead servers.
    pub(super) fn confirm_due(&mut self, now: Instant) -> Vec<(BackendKey, Change)> {
        let mut confirmed = Vec::new();
        for (key, b) in &mut self.arena {
            if matches!(b.state, State::Unconfirmed { until } if until <= now) {
                b.state = State::Ready;
                self.ended.remove(&b.id);
                confirmed.push((key, Change::Seen));
            }
        }
        confirmed
    }
}
