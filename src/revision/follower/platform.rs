//! The part of a follower that lists and watches the platform.

use std::time::Duration;

use rand::Rng;

use super::{Action, Follower, RETRY_MAX, Watch};
use crate::{
    objects::{Event, List},
    revision::holder,
    util::Instant,
};

/// A router without a watch lists on its own after this time without any configuration, plus as much jitter.
const FALLBACK: Duration = Duration::from_secs(6);
/// A router that knows of a newer version, but gets it from no peer for so long, lists on its own.
const STUCK: Duration = Duration::from_secs(6);
/// A watch stays this long after its router is no longer among the holders, so that a flapping member moves nothing.
const LINGER: Duration = Duration::from_secs(10);
/// Shortest time between two lists that a difference from a peer calls for.
const RESOLVE: Duration = Duration::from_secs(60);

impl Follower {
    pub(super) fn follow_platform(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
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
        match self.store.apply_list(list) {
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

    /// Notes that the watch was closed since nothing came for long; that is no failure, and it is opened anew at once.
    pub fn watch_silent(&mut self, now: Instant) {
        self.watch_backoff.reset();
        self.watch = Watch::Closed;
        self.watch_at = now;
    }

    /// Takes a change seen by the watch.
    pub fn event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.watch_backoff.reset();
        self.newest = self.newest.max(event.version);
        if self.store.apply_event(event).is_err() {
            self.rejected_old += 1;
            return Vec::new();
        }
        if !std::mem::take(&mut self.platform_behind) {
            return self.installed(now);
        }
        // What was written under the versions that it gave out again before this one is in no event to come.
        self.watch_too_old(now);
        let mut actions = vec![Action::CloseWatch];
        actions.extend(self.installed(now));
        actions
    }
}
