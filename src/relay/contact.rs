//! Contact of one follower with the store: when to call again, and what an outage means for entries that lapse.

use std::time::Duration;

use rand::Rng;

use crate::{objects::backoff::Backoff, util::Instant};

/// First and longest wait after a failed call. A call costs, also one that is refused; a second is well within the
/// time in which a change must be in force.
const WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_000));
/// First and longest time for an answer, beside the wait of a watch. A calm store answers in a few milliseconds, a slow one
/// in some hundred. A host that starts while the store is silent waits its first call out, so that this one is short.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(2_000));
/// How long entries that are missing after the store's return, or its restore, still count: live servers write again within two
/// seconds, and a server that left must get no new work two seconds after the store said so.
pub(super) const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(1_700);
/// An outage shorter than this lets no entry lapse.
const SHORT_OUTAGE: Duration = Duration::from_millis(500);

/// A failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    /// Whether it is the first since the last answer.
    pub first: bool,
    /// Wait before the next call.
    pub wait: Duration,
}

/// Contact of one follower.
#[derive(Clone, Debug)]
pub struct StoreRetry {
    what: &'static str,
    lost: Option<Instant>,
    back: Option<Instant>,
    backoff: Backoff,
    timeout: Duration,
}

impl StoreRetry {
    /// A follower of `what` that has not called yet.
    pub fn new(what: &'static str) -> Self {
        let backoff = Backoff::new(WAITS.0, WAITS.1);
        Self { what, lost: None, back: None, backoff, timeout: PATIENCE.0 }
    }

    /// What is followed.
    pub fn what(&self) -> &'static str {
        self.what
    }

    /// How long to wait for the next answer, beside the wait of a watch.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Notes an answer; returns how long the store was away, and while entries that lapsed in an outage may come
    /// back, how long they still count.
    pub fn answered(&mut self, now: Instant) -> (Option<Duration>, Option<Duration>) {
        let away = self.lost.take().map(|lost| now.saturating_sub(lost));
        if away.is_some_and(|away| away > SHORT_OUTAGE) {
            self.back = Some(now);
        }
        self.backoff.reset();
        let over = self.back.map(|back| now.saturating_sub(back));
        let grace =
            over.and_then(|over| MISSING_ENTRY_GRACE.checked_sub(over)).filter(|left| !left.is_zero());
        (away, grace)
    }

    /// Notes a call without an answer. One that has timed out may have met a slow store, so that the next one is given
    /// twice the time.
    pub fn failed(&mut self, now: Instant, timed_out: bool, rng: &mut impl Rng) -> Lost {
        if timed_out {
            self.timeout = (self.timeout * 2).min(PATIENCE.1);
        }
        let first = self.lost.is_none();
        self.lost.get_or_insert(now);
        Lost { first, wait: self.backoff.wait(rng) }
    }
}
