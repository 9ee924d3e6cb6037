//! Lists and watches the configuration on the platform.

use std::time::Duration;

use rand::Rng;

use super::{Action, Follower, WATCH_BACKOFF_MAX, Watch};
use crate::{
    objects::{Event, List},
    revision::holder,
    util::Instant,
};

/// Time without any configuration after which a router without a watch lists by itself, plus up to as much jitter.
const FALLBACK_LIST_DELAY: Duration = Duration::from_secs(6);
/// Time after which a router lists by itself if it could not fetch a known newer version from any peer.
const STALLED_FETCH_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a router keeps its watch after it is no longer a holder, so that a flapping member does not move watches.
const WATCH_LINGER_TIME: Duration = Duration::from_secs(10);
/// Minimum time between two lists caused by a mismatch with a peer.
const MISMATCH_LIST_INTERVAL: Duration = Duration::from_secs(60);

impl Follower {
    /// Opens or closes the watch, or starts a list, as needed.
    pub(super) fn tick_platform(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let should_watch = self.should_watch(now);
        let resolve_mismatch = self.has_mismatch && now >= self.resolve_not_before;
        if (!should_watch || resolve_mismatch) && self.watch == Watch::Open {
            self.watch = Watch::Closed;
            actions.push(Action::CloseWatch);
        }
        if self.watch != Watch::Closed {
            return;
        }
        if resolve_mismatch {
            self.resolve_not_before = now + MISMATCH_LIST_INTERVAL.mul_f64(1.0 + rng.random::<f64>());
            return self.list(actions);
        }
        if should_watch && now >= self.next_watch_at && !self.should_wait_for_peers(now) {
            if self.version() == 0 || self.needs_list {
                return self.list(actions);
            }
            self.watch = Watch::Opening;
            return actions.push(Action::Watch { from: self.version() });
        }
        if !should_watch && self.is_fallback_list_due(now, rng) {
            self.list(actions);
        }
    }

    fn list(&mut self, actions: &mut Vec<Action>) {
        self.watch = Watch::Listing;
        actions.push(Action::List);
    }

    /// Whether this router should hold a watch now.
    fn should_watch(&mut self, now: Instant) -> bool {
        // Right after the start no other member is known, so every router would choose itself as a holder.
        if self.expects_peers && self.members.len() == 1 && now < self.started + FALLBACK_LIST_DELAY {
            return false;
        }
        let names = self.members.iter().filter(|m| m.data_centre == self.me.data_centre).map(|m| &*m.name);
        if holder::holds(&self.me.name, names) {
            self.hold_until = now + WATCH_LINGER_TIME;
            return true;
        }
        self.watch == Watch::Open && now < self.hold_until
    }

    /// Whether to wait for a fetch from a peer, which is cheaper than a list of the platform.
    fn should_wait_for_peers(&self, now: Instant) -> bool {
        self.version() == 0 && self.newest > 0 && !self.is_fetch_stalled(now)
    }

    fn is_fetch_stalled(&self, now: Instant) -> bool {
        self.behind_since.is_some_and(|since| now >= since + STALLED_FETCH_TIMEOUT)
    }

    /// Whether a router without a watch must list now because peers do not supply the configuration. A random delay
    /// spreads the lists of routers in the same situation.
    fn is_fallback_list_due(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let empty = self.version() == 0 && self.newest == 0 && now >= self.started + FALLBACK_LIST_DELAY;
        if !empty && !self.is_fetch_stalled(now) {
            self.list_at = None;
            return false;
        }
        let at = *self.list_at.get_or_insert_with(|| now + FALLBACK_LIST_DELAY.mul_f64(rng.random::<f64>()));
        now >= at
    }

    /// Handles the result of [`Action::List`]; `None` if it failed.
    pub fn listed(&mut self, now: Instant, list: Option<List>, rng: &mut impl Rng) -> Vec<Action> {
        self.watch = Watch::Closed;
        let Some(list) = list else {
            self.back_off_platform(now, rng);
            return Vec::new();
        };
        self.platform_behind = list.version < self.version().max(self.newest);
        self.newest = self.newest.max(list.version);
        match self.store.apply_list(list) {
            Ok(()) => {
                self.needs_list = false;
                self.has_mismatch = false;
            }
            // The platform returned stale data; applying it would revert changes that are in force.
            Err(_) => {
                self.rejected_old += 1;
                self.back_off_platform(now, rng);
                return Vec::new();
            }
        }
        self.watch_backoff.reset();
        self.next_watch_at = now;
        self.list_at = None;
        self.install(now)
    }

    fn back_off_platform(&mut self, now: Instant, rng: &mut impl Rng) {
        self.next_watch_at = now + self.watch_backoff.next_delay(rng);
        self.list_at = Some(self.next_watch_at);
    }

    /// Records that the watch is open.
    pub fn watch_opened(&mut self, now: Instant) {
        self.watch = Watch::Open;
        self.watch_opened_at = now;
    }

    /// Handles a watch that failed because the platform no longer has the changes since the requested version; lists
    /// again.
    pub fn watch_expired(&mut self, now: Instant) {
        self.watch = Watch::Closed;
        self.needs_list = true;
        self.next_watch_at = now;
    }

    /// Handles a watch that ended or could not be opened; retries after a backoff.
    pub fn watch_ended(&mut self, now: Instant, rng: &mut impl Rng) {
        if self.watch != Watch::Listing {
            // A watch that stayed open for a while does not count as a failure.
            if self.watch == Watch::Open && now >= self.watch_opened_at + WATCH_BACKOFF_MAX {
                self.watch_backoff.reset();
            }
            self.watch = Watch::Closed;
            self.next_watch_at = now + self.watch_backoff.next_delay(rng);
        }
    }

    /// Handles a watch that was closed after a long time without events. This is not a failure, so it is reopened at
    /// once.
    pub fn watch_idle(&mut self, now: Instant) {
        self.watch_backoff.reset();
        self.watch = Watch::Closed;
        self.next_watch_at = now;
    }

    /// Handles a change received by the watch.
    pub fn watch_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.watch_backoff.reset();
        self.newest = self.newest.max(event.version);
        if self.store.apply_event(event).is_err() {
            self.rejected_old += 1;
            return Vec::new();
        }
        if !std::mem::take(&mut self.platform_behind) {
            return self.install(now);
        }
        // The platform has reused version numbers. Changes it made under reused numbers up to this one will not be
        // delivered as events, so a new list is needed.
        self.watch_expired(now);
        let mut actions = vec![Action::CloseWatch];
        actions.extend(self.install(now));
        actions
    }
}
