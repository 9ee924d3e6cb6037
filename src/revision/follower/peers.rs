//! Fetches configuration changes from peers.

use std::{sync::Arc, time::Duration};

use rand::{Rng, seq::IndexedRandom};

use super::{Action, COMPARE_INTERVAL, Fetching, Follower, Member};
use crate::{
    revision::store::Rejected,
    schema::configuration::{Delta, Fetch},
    util::Instant,
};

const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a peer is skipped after a fetch from it failed.
const PEER_AVOID_TIME: Duration = Duration::from_secs(5);

impl Follower {
    /// Starts a fetch if a peer is ahead or a comparison is due.
    pub(super) fn tick_peers(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.fetching.as_ref().is_some_and(|f| now >= f.deadline) {
            self.fetch_failed(now, rng);
        }
        let compare_due = now >= self.next_compare_at && self.version() > 0;
        let wanted = self.newest > self.version() || compare_due;
        if !wanted || self.fetching.is_some() || now < self.next_fetch_at {
            return;
        }
        let Some(peer) = self.choose_peer(now, rng) else { return };
        if compare_due {
            self.next_compare_at = now + COMPARE_INTERVAL.mul_f64(0.5 + rng.random::<f64>());
        }
        let since = self.version();
        let fetch = Fetch { since, cursor: since, whole: false };
        let deadline = now + FETCH_TIMEOUT;
        self.fetching = Some(Fetching { peer: peer.clone(), deadline, received: Delta::default() });
        actions.push(Action::Fetch { peer, fetch });
    }

    /// Chooses a random peer to fetch from, preferably in the local data centre. It must be ahead if a newer version is
    /// known, otherwise it must not be behind.
    fn choose_peer(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Arc<str>> {
        self.avoided_until.retain(|_, until| now < *until);
        let min_version = if self.newest > self.version() { self.version() + 1 } else { self.version() };
        let is_candidate = |m: &&Member| {
            self.peer_versions.get(&m.name).is_some_and(|v| *v >= min_version)
                && !self.avoided_until.contains_key(&m.name)
        };
        let candidates: Vec<_> = self.members.iter().filter(is_candidate).collect();
        let local: Vec<_> =
            candidates.iter().copied().filter(|m| m.data_centre == self.me.data_centre).collect();
        let from = if local.is_empty() { &candidates } else { &local };
        from.choose(rng).map(|m| m.name.clone())
    }

    /// Handles one page of a peer's response; `None` if the fetch failed.
    pub fn fetched(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        delta: Option<Delta>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        // Drops the late response of a fetch that has already timed out.
        let Some(mut fetching) = self.fetching.take().filter(|f| f.peer == *peer) else { return Vec::new() };
        let first = fetching.received.version == 0;
        let Some(delta) = delta.filter(|d| first || d.whole == fetching.received.whole) else {
            self.fetching = Some(fetching);
            self.fetch_failed(now, rng);
            return Vec::new();
        };
        let more = delta.more;
        append_page(&mut fetching.received, delta);
        if more {
            fetching.deadline = now + FETCH_TIMEOUT;
            let cursor = fetching.received.items.last().map_or(0, |i| i.version);
            let whole = fetching.received.whole;
            let fetch = Fetch { since: fetching.received.since, cursor, whole };
            self.fetching = Some(fetching);
            return vec![Action::Fetch { peer: peer.clone(), fetch }];
        }
        self.apply(now, peer, fetching.received, rng)
    }

    /// Applies the changes of a completed fetch.
    fn apply(&mut self, now: Instant, peer: &Arc<str>, delta: Delta, rng: &mut impl Rng) -> Vec<Action> {
        let before = self.version();
        match self.store.apply_delta(delta) {
            Ok(()) => {}
            Err(Rejected::Mismatch) => {
                self.mismatches += 1;
                self.has_mismatch = true;
            }
            Err(e @ (Rejected::Old | Rejected::Gap | Rejected::Malformed)) => {
                self.rejected_old += u64::from(e == Rejected::Old);
                self.avoided_until.insert(peer.clone(), now + PEER_AVOID_TIME);
                self.next_fetch_at = now + self.fetch_backoff.next_delay(rng);
            }
        }
        if self.version() == before {
            return Vec::new();
        }
        self.fetch_backoff.reset();
        self.next_fetch_at = now;
        self.install(now)
    }

    fn fetch_failed(&mut self, now: Instant, rng: &mut impl Rng) {
        let Some(fetching) = self.fetching.take() else { return };
        self.avoided_until.insert(fetching.peer, now + PEER_AVOID_TIME);
        self.next_fetch_at = now + self.fetch_backoff.next_delay(rng);
    }
}

/// Appends a page to the pages received before it.
fn append_page(received: &mut Delta, page: Delta) {
    let mut items = std::mem::take(&mut received.items);
    let since = if items.is_empty() { page.since } else { received.since };
    let Delta { version, whole, digest, .. } = page;
    items.extend(page.items);
    *received = Delta { since, version, whole, items, digest, more: false };
}
