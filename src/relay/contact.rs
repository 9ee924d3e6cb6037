//! Retry state of one follower of the store: call timeouts, backoff, and the grace period for missing entries after an
//! outage.

use std::time::Duration;

use rand::Rng;

use crate::{objects::backoff::Backoff, util::Instant};

/// Shortest and longest backoff after a failed call. Even a refused call has a cost; one second is well within the time
/// in which a change must take effect.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_000));
/// Shortest and longest call timeout, excluding the time for which the store holds a watch open. A healthy store
/// answers in a few milliseconds, a slow one in a few hundred. The first timeout is short because a host that starts
/// during an outage has to wait it out.
const CALL_TIMEOUT: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(2_000));
/// How long entries that are missing after an outage or a restore of the store remain valid. Live servers rewrite their
/// entries within two seconds, and a server that left must get no new work two seconds after the store reported it.
pub(super) const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(1_700);
/// Longest outage in which no entry can expire.
const MAX_HARMLESS_OUTAGE: Duration = Duration::from_millis(500);

/// A failed call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// Whether it is the first failure since the last answer.
    pub first: bool,
    /// Backoff before the next call.
    pub wait: Duration,
}

/// Retry state of one follower.
#[derive(Clone, Debug)]
pub struct StoreRetry {
    topic: &'static str,
    failing_since: Option<Instant>,
    recovered_at: Option<Instant>,
    backoff: Backoff,
    timeout: Duration,
}

impl StoreRetry {
    /// Creates the state of a follower of `topic` that has not called yet.
    pub fn new(topic: &'static str) -> Self {
        let backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        Self { topic, failing_since: None, recovered_at: None, backoff, timeout: CALL_TIMEOUT.0 }
    }

    /// The topic that is followed.
    pub fn topic(&self) -> &'static str {
        self.topic
    }

    /// Timeout of the next call, excluding the time for which the store holds a watch open.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Records an answer. Returns the length of the outage that it ends, if any, and the rest of the grace period
    /// during which entries that are missing after an outage remain valid.
    pub fn record_answer(&mut self, now: Instant) -> (Option<Duration>, Option<Duration>) {
        let outage = self.failing_since.take().map(|lost| now.saturating_sub(lost));
        if outage.is_some_and(|outage| outage > MAX_HARMLESS_OUTAGE) {
            self.recovered_at = Some(now);
        }
        self.backoff.reset();
        let elapsed = self.recovered_at.map(|back| now.saturating_sub(back));
        let grace = elapsed
            .and_then(|elapsed| MISSING_ENTRY_GRACE.checked_sub(elapsed))
            .filter(|left| !left.is_zero());
        (outage, grace)
    }

    /// Records a failed call. After a timeout the next timeout is doubled, since the store may only be slow.
    pub fn record_failure(&mut self, now: Instant, timed_out: bool, rng: &mut impl Rng) -> FailedCall {
        if timed_out {
            self.timeout = (self.timeout * 2).min(CALL_TIMEOUT.1);
        }
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        FailedCall { first, wait: self.backoff.next_delay(rng) }
    }
}
