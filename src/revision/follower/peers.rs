//! The part of a follower that fetches changes from peers.

use std::{sync::Arc, time::Duration};

use rand::{Rng, seq::IndexedRandom};

use super::{Action, COMPARE, Fetching, Follower, Member};
use crate::{
    revision::store::Rejected,
    schema::configuration::{Delta, Fetch},
    util::Instant,
};

const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a peer that did not answer a fetch is left out.
const AVOID: Duration = Duration::from_secs(5);

impl Follower {
    pub(super) fn follow_peers(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
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
        match self.store.apply_delta(delta) {
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
}

/// Adds a page to the pages before it.
fn join(parts: &mut Delta, page: Delta) {
    let mut items = std::mem::take(&mut parts.items);
    let since = if items.is_empty() { page.since } else { parts.since };
    let Delta { version, whole, digest, .. } = page;
    items.extend(page.items);
    *parts = Delta { since, version, whole, items, digest, more: false };
}
