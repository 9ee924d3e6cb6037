//! Tracks how fresh this host's view of the store is, and decides when to query the store again.
//!
//! A pending watch proves nothing: its answer may be lost, or the store may have dropped it. So each topic records the
//! moment up to which its state is confirmed to be current, either by an answer of the store or by another host that
//! has the same state and had it confirmed then. When that moment is a given fraction of the propagation bound in the
//! past, the host queries the store over a separate connection. The hosts are ordered: the first one queries and
//! reports the result in its heartbeats, and the others query only if it does not.

use std::time::Duration;

use super::revision::Revision;
use crate::{schema::fleet::Confirmed, util::Instant};

/// Fractions of the propagation bound after which the followers of the store query it: the first one in the order, and
/// the second one.
const FIRST_FOLLOWER_FRACTION: f64 = 3.0 / 8.0;
const NEXT_FOLLOWER_FRACTION: f64 = 7.0 / 16.0;
/// Added for each further follower, and the fraction after which all followers query.
const FOLLOWER_STEP_FRACTION: f64 = 1.0 / 64.0;
const LAST_FOLLOWER_FRACTION: f64 = 1.0 / 2.0;
/// The same for hosts that do not follow the store: they query when all followers have failed.
const FIRST_IDLE_FRACTION: f64 = 5.0 / 8.0;
const IDLE_STEP_FRACTION: f64 = 1.0 / 8.0;
const LAST_IDLE_FRACTION: f64 = 7.0 / 8.0;
/// Minimum interval between two queries that could confirm something, as a fraction of the bound.
const MIN_CHECK_INTERVAL_FRACTION: f64 = 3.0 / 8.0;
/// Age of a confirmation, as a fraction of the bound, above which the topic is stale.
const STALE_AGE_FRACTION: f64 = 1.0 / 2.0;
/// How much newer than the known confirmation a received one must be, as a fraction of the bound, to be forwarded at
/// once.
const MIN_ADVANCE_FRACTION: f64 = 1.0 / 8.0;
/// Cap on the age reported to other hosts; also reported for a topic that was never confirmed.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(60);

/// Time within which a change must take effect on every host if the settings give none, and its limits. The store is
/// queried several times within it.
const DEFAULT_PROPAGATION_BOUND: Duration = Duration::from_secs(2);
const PROPAGATION_BOUND_LIMITS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(60));

/// The propagation bound: the shortest of the configured limits (in milliseconds) on how long a change may take to
/// reach every host.
pub fn bound_from(bounds_ms: impl IntoIterator<Item = Option<f64>>) -> Duration {
    let shortest = bounds_ms.into_iter().flatten().filter(|ms| ms.is_finite()).reduce(f64::min);
    let (least, most) = PROPAGATION_BOUND_LIMITS;
    let within = |ms: f64| (ms / 1_000.0).clamp(least.as_secs_f64(), most.as_secs_f64());
    shortest.map_or(DEFAULT_PROPAGATION_BOUND, |ms| Duration::from_secs_f64(within(ms)))
}

/// A kind of state that is read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The configuration.
    Configuration,
    /// The backend servers.
    Backends,
    /// The evacuated data centres.
    Evacuations,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Topic; 3] = [Topic::Configuration, Topic::Backends, Topic::Evacuations];

    /// Name in logs and gauge labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Topic::Configuration => "configuration",
            Topic::Backends => "backends",
            Topic::Evacuations => "evacuations",
        }
    }
}

/// This host's position in the order in which hosts query the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckOrder {
    /// Whether this host follows the store.
    pub follows: bool,
    /// Position in the order: the number of recently heard hosts before it.
    pub position: usize,
    /// Whether any recently heard host reports that the store does not answer it.
    pub others_fail: bool,
}

/// A transition of a topic between confirmed and stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The topic became stale; holds the age of its last confirmation.
    Stale(Topic, Duration),
    /// The topic was confirmed again; holds the time since its last confirmation before it became stale.
    Renewed(Topic, Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Confirmation {
    /// Moment up to which all changes are known; `None` before the first confirmation.
    at: Option<Instant>,
    /// Revision of the store's last answer, unless no watch can continue from it.
    revision: Option<Revision>,
    /// Revision after which a pending watch waits for changes.
    watch_after: Option<Revision>,
    /// Time of the last confirmation, set while the topic is stale.
    stale_since: Option<Instant>,
}

/// Per topic, the moment up to which all changes are known.
#[derive(Clone, Debug)]
pub struct Confirmations {
    bound: Duration,
    started: Instant,
    last_check: Option<Instant>,
    topics: [Confirmation; 3],
    evacuates: bool,
}

impl Confirmations {
    /// Creates the state of a host that has just started; `bound` is the time within which a change must take effect.
    pub fn new(started: Instant, bound: Duration, evacuates: bool) -> Self {
        Self { bound, started, last_check: None, topics: Default::default(), evacuates }
    }

    /// The topics that this host tracks.
    pub fn topics(&self) -> impl Iterator<Item = Topic> + use<> {
        let evacuates = self.evacuates;
        Topic::ALL.into_iter().filter(move |topic| *topic != Topic::Evacuations || evacuates)
    }

    /// Records that all changes of a topic up to a moment are known.
    pub fn confirm(&mut self, topic: Topic, at: Instant) {
        let known = &mut self.topics[topic as usize].at;
        *known = (*known).max(Some(at));
    }

    /// Records the revision of the store's last answer, from which the next query can continue; `None` if it can't.
    pub fn record_revision(&mut self, topic: Topic, revision: Option<Revision>) {
        self.topics[topic as usize].revision = revision;
    }

    /// Revision of the store's last answer about a topic.
    pub fn last_revision(&self, topic: Topic) -> Option<Revision> {
        self.topics[topic as usize].revision
    }

    /// Records the revision after which a watch is pending, or `None` when the watch has ended.
    pub fn record_watch(&mut self, topic: Topic, after: Option<Revision>) {
        self.topics[topic as usize].watch_after = after;
    }

    /// Whether a pending watch should already have returned the changes up to `changed`.
    pub fn is_watch_behind(&self, topic: Topic, changed: Revision) -> bool {
        self.topics[topic as usize].watch_after.is_some_and(|after| after < changed)
    }

    /// Records that a query was sent that the store answers without waiting for a change.
    pub fn record_check(&mut self, now: Instant) {
        self.last_check = Some(now);
    }

    /// Time since the last confirmation of a topic, or since the start if it was never confirmed.
    pub fn age(&self, now: Instant, topic: Topic) -> Duration {
        now.saturating_sub(self.at(topic))
    }

    fn at(&self, topic: Topic) -> Instant {
        self.topics[topic as usize].at.unwrap_or(self.started)
    }

    /// Whether a watch is pending for a topic.
    pub fn is_watching(&self, topic: Topic) -> bool {
        self.topics[topic as usize].watch_after.is_some()
    }

    /// Whether this host may have missed a change of the topic for longer than is allowed.
    pub fn is_stale(&self, now: Instant, topic: Topic) -> bool {
        self.age(now, topic) > self.fraction(STALE_AGE_FRACTION)
    }

    /// When this host queries the store next, unless a confirmation arrives earlier.
    pub fn next_check_at(&self, order: CheckOrder) -> Instant {
        let oldest = self.topics().map(|topic| self.at(topic)).min().unwrap_or_default();
        let due = oldest + self.check_delay(order);
        self.last_check
            .map_or(due, |last_check| due.max(last_check + self.fraction(MIN_CHECK_INTERVAL_FRACTION)))
    }

    /// Age of the oldest confirmation at which a host at this position queries the store.
    fn check_delay(&self, order: CheckOrder) -> Duration {
        let position = order.position as f64;
        self.fraction(match order {
            CheckOrder { follows: true, position: 0, .. } => FIRST_FOLLOWER_FRACTION,
            CheckOrder { follows: true, .. } => (NEXT_FOLLOWER_FRACTION
                + FOLLOWER_STEP_FRACTION * (position - 1.0))
                .min(LAST_FOLLOWER_FRACTION),
            // While the store does not answer other hosts, this host would query in vain, so its delay is not capped.
            CheckOrder { others_fail: true, .. } => FIRST_IDLE_FRACTION + IDLE_STEP_FRACTION * position,
            _ => (FIRST_IDLE_FRACTION + IDLE_STEP_FRACTION * position).min(LAST_IDLE_FRACTION),
        })
    }

    /// A fraction of the propagation bound.
    fn fraction(&self, fraction: f64) -> Duration {
        self.bound.mul_f64(fraction)
    }

    /// The confirmation ages that are sent to other hosts.
    pub fn report(&self, now: Instant) -> Confirmed {
        // A topic that was never confirmed, such as one read from a stale copy, must not confirm anything on other
        // hosts.
        let age = |topic: Topic| {
            self.topics[topic as usize].at.map_or(MAX_REPORTED_AGE, |at| now.saturating_sub(at))
        };
        let ms = |topic| age(topic).min(MAX_REPORTED_AGE).as_millis() as u32;
        Confirmed {
            configuration_ms: ms(Topic::Configuration),
            backends_ms: ms(Topic::Backends),
            evacuations_ms: ms(Topic::Evacuations),
            sent_ms: now.saturating_sub(self.started).as_millis() as u64,
        }
    }

    /// Merges a report that another host sent at `sent` about a topic of which it has nothing newer than this host.
    /// Returns whether the confirmation advanced enough to be forwarded.
    pub fn merge(&mut self, sent: Instant, topic: Topic, report: &Confirmed) -> bool {
        let ms = match topic {
            Topic::Configuration => report.configuration_ms,
            Topic::Backends => report.backends_ms,
            Topic::Evacuations => report.evacuations_ms,
        };
        let age = Duration::from_millis(ms.into());
        if age >= MAX_REPORTED_AGE {
            return false;
        }
        let (at, before) = (sent.saturating_sub(age), self.at(topic));
        self.confirm(topic, at);
        at > before + self.fraction(MIN_ADVANCE_FRACTION)
    }

    /// Topics that became stale or were confirmed again since the last call.
    pub fn changes(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for topic in self.topics() {
            let is_stale = self.is_stale(now, topic);
            let (age, confirmation) = (self.age(now, topic), &mut self.topics[topic as usize]);
            match confirmation.stale_since {
                None if is_stale => {
                    confirmation.stale_since = Some(now.saturating_sub(age));
                    changes.push(Change::Stale(topic, age));
                }
                Some(since) if !is_stale => {
                    confirmation.stale_since = None;
                    changes.push(Change::Renewed(topic, now.saturating_sub(since)));
                }
                _ => {}
            }
        }
        changes
    }
}
