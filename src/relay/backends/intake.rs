//! Entries of backend servers as they are taken in: listed, written, removed.

use std::{sync::Arc, time::Duration};

use super::{Backend, BackendKey, Backends, Change, State, ended::Past, entry::Entry, tag};
use crate::{schema::fleet, util::Instant};

/// How long an entry that had been removed must be listed by a restored store to count without a word of its server: an
/// entry lapses after three heartbeats of one to two seconds.
const OUTLASTS: Duration = Duration::from_secs(6);

/// Unreadable entries remembered, so that each has one line; beyond that some have another one.
const MOST_UNREADABLE: usize = 1_024;

/// The state of a server whose entry had been removed, for as long as another host tells or as a dead server's entry lasts.
fn unconfirmed(now: Instant, item: &fleet::Backend) -> State {
    let told = Some(Duration::from_millis(item.unconfirmed_ms.into())).filter(|told| !told.is_zero());
    State::Unconfirmed { until: now + told.unwrap_or(OUTLASTS).min(OUTLASTS) }
}

impl Backends {
    /// Takes one entry in; a start that replaces another brings two changes. An entry that was `written` since the revision
    /// known, and is not only listed, shows that its server lives.
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
            Entry::Earlier => Vec::new(),
            Entry::Same => {
                let cold = self.arena[key].hear_cold(now, item.cold_ms).then_some((key, Change::Cold));
                self.renew(now, key, item, written).into_iter().chain(cold).collect()
            }
            Entry::Foreign => Vec::from_iter(self.distrust(key)),
            Entry::Later => {
                self.drop_entry(now, key);
                [(key, Change::Restarted)].into_iter().chain(self.add(now, item, written)).collect()
            }
        }
    }

    /// What a start tells of itself. One that has left never takes work again.
    fn renew(
        &mut self,
        now: Instant,
        key: BackendKey,
        item: &fleet::Backend,
        written: bool,
    ) -> Option<(BackendKey, Change)> {
        let known = &mut self.arena[key];
        match known.state {
            _ if item.leaving => {
                let news = known.state != State::Leaving;
                known.leave(now);
                news.then_some((key, Change::Leaving))
            }
            State::Leaving => None,
            State::Unconfirmed { .. } if item.unconfirmed_ms > 0 || !written => None,
            State::Ready if item.unconfirmed_ms == 0 => None,
            State::Ready => {
                known.state = unconfirmed(now, item);
                Some((key, Change::Unconfirmed))
            }
            State::Missing { .. } | State::Unreadable | State::Unconfirmed { .. } => {
                known.state = State::Ready;
                self.ended.forget(&item.id);
                Some((key, Change::Seen))
            }
        }
    }

    /// Sends nothing new to a server whose entry is not its own.
    fn distrust(&mut self, key: BackendKey) -> Option<(BackendKey, Change)> {
        let known = &mut self.arena[key];
        if !known.accepts_work() {
            return None;
        }
        known.state = State::Unreadable;
        Some((key, Change::Unreadable))
    }

    fn add(&mut self, now: Instant, item: &fleet::Backend, written: bool) -> Option<(BackendKey, Change)> {
        let id: Arc<str> = item.id.as_str().into();
        let past = self.ended.past(item, self.revision.epoch);
        if past == Past::Earlier {
            return None;
        }
        let Ok(addr) = item.addr.parse() else {
            self.note_unreadable(id, &item.addr);
            return None;
        };
        self.unreadable.remove(&id);
        let tag = tag(&id, item.born);
        let (state, change) = match past {
            _ if item.leaving => (State::Leaving, Change::Seen),
            Past::Left => (State::Leaving, Change::Leaving),
            _ if item.unconfirmed_ms > 0 => (unconfirmed(now, item), Change::Unconfirmed),
            Past::Removed if !written => (unconfirmed(now, item), Change::Unconfirmed),
            _ => (State::Ready, Change::Seen),
        };
        if state == State::Ready {
            self.ended.forget(&id);
        }
        let key = self.arena.insert(Backend {
            id: id.clone(),
            born: item.born,
            tag,
            service: item.service.as_str().into(),
            addr,
            data_centre: item.data_centre.as_str().into(),
            slots: item.slots,
            state,
            in_progress: 0,
            removed_at: None,
            left: (state == State::Leaving).then_some(now),
            cold_until: Instant::ZERO,
            told_cold: false,
        });
        self.arena[key].hear_cold(now, item.cold_ms);
        self.by_id.insert(id, key);
        self.by_tag.insert(tag, key);
        Some((key, change))
    }

    /// Writes a line about an entry that can't be read, one for each identifier until it can be read.
    fn note_unreadable(&mut self, id: Arc<str>, addr: &str) {
        if self.unreadable.len() >= MOST_UNREADABLE {
            self.unreadable.clear();
        }
        if self.unreadable.insert(id.clone()) {
            spdlog::warn!("the entry of backend server {id} names none to use: address {addr:?}");
        }
    }

    pub(super) fn remove(
        &mut self,
        now: Instant,
        id: &str,
        grace: Option<Duration>,
    ) -> Option<(BackendKey, Change)> {
        let key = *self.by_id.get(id)?;
        let known = &mut self.arena[key];
        match (known.state, grace) {
            (State::Ready, Some(grace)) => {
                known.state = State::Missing { until: now + grace };
                Some((key, Change::Missing))
            }
            (State::Missing { until }, _) if until > now => None,
            _ => self.drop_entry(now, key),
        }
    }

    pub(super) fn drop_entry(&mut self, now: Instant, key: BackendKey) -> Option<(BackendKey, Change)> {
        let known = &mut self.arena[key];
        let news = known.accepts_work();
        let left = known.left.is_some();
        self.ended.note(now, &known.id, known.born, left, self.revision.epoch);
        known.state = State::Leaving;
        known.removed_at = Some(now);
        let (id, tag) = (known.id.clone(), known.tag);
        self.by_id.remove(&id);
        if self.by_tag.get(&tag) == Some(&key) {
            self.by_tag.remove(&tag);
        }
        news.then_some((key, Change::Leaving))
    }

    /// Counts servers as alive whose entries have outlasted those of dead ones.
    pub(super) fn confirm(&mut self, now: Instant) -> Vec<(BackendKey, Change)> {
        let mut confirmed = Vec::new();
        for (key, b) in &mut self.arena {
            if matches!(b.state, State::Unconfirmed { until } if until <= now) {
                b.state = State::Ready;
                self.ended.forget(&b.id);
                confirmed.push((key, Change::Seen));
            }
        }
        confirmed
    }
}
