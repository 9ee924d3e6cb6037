//! How sure this host is that what it knows from the store is the newest, and when it asks again.
//!
//! A call that waits at the store for a change proves nothing while it waits: its answer may be lost, or the store may have
//! forgotten it. So each topic has the moment as of which it was last confirmed: by an answer of the store, or by another host that
//! knows the same and was sure then. Once that is a part of the bound ago, a host asks the store over a connection of its own.
//! Hosts take turns: the first asks and tells the others in its beats, the next ones ask only where it does not.

use std::time::Duration;

use super::revision::Revision;
use crate::{schema::fleet::Confirmed, util::Instant};

/// Parts of the bound after which the first of the hosts that follow the store asks it, and the next ones.
const FIRST: f64 = 3.0 / 8.0;
const NEXT: f64 = 7.0 / 16.0;
/// Part of the bound for each host more in the order, and the part by which all of them ask.
const STEP: f64 = 1.0 / 64.0;
const LAST: f64 = 1.0 / 2.0;
/// The same for hosts that leave the store to others: they ask where all of those fail.
const IDLE: f64 = 5.0 / 8.0;
const IDLE_STEP: f64 = 1.0 / 8.0;
const IDLE_LAST: f64 = 7.0 / 8.0;
/// Part of the bound between two calls that could confirm something.
const PAUSE: f64 = 3.0 / 8.0;
/// Part of the bound after which what is known counts as old.
const OLD: f64 = 1.0 / 2.0;
/// Part of the bound by which a confirmation must be later than the one known to be told on at once.
const NEWS: f64 = 1.0 / 8.0;
/// Age that is told of what is older, and of what was never confirmed.
const MOST_TOLD: Duration = Duration::from_secs(60);

/// Time within which changes are in force where the settings name none, and its limits: the store is asked several times within
/// it.
const IN_FORCE: Duration = Duration::from_secs(2);
const IN_FORCE_LIMITS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(60));

/// The shortest of the times within which changes must be in force, in milliseconds.
pub fn propagation_bound(bounds_ms: impl IntoIterator<Item = Option<f64>>) -> Duration {
    let shortest = bounds_ms.into_iter().flatten().filter(|ms| ms.is_finite()).reduce(f64::min);
    let (least, most) = IN_FORCE_LIMITS;
    let within = |ms: f64| (ms / 1_000.0).clamp(least.as_secs_f64(), most.as_secs_f64());
    shortest.map_or(IN_FORCE, |ms| Duration::from_secs_f64(within(ms)))
}

/// What is followed at the store.
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

    /// Name in logs and gauges.
    pub fn as_str(self) -> &'static str {
        match self {
            Topic::Configuration => "configuration",
            Topic::Backends => "backends",
            Topic::Evacuations => "evacuations",
        }
    }
}

/// This host's place among those that could ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckOrder {
    /// Whether it follows the store.
    pub follows: bool,
    /// Hosts that were heard lately and come before it.
    pub before: usize,
    /// Whether hosts that were heard lately say that the store does not answer them.
    pub others_fail: bool,
}

/// A topic whose last confirmation has grown old, or has been renewed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The last confirmation is so long ago that what is known may be old.
    Old(Topic, Duration),
    /// It was confirmed again, after so long.
    Renewed(Topic, Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Confirmation {
    /// Moment up to which all changes are known; `None` before anything was confirmed.
    at: Option<Instant>,
    /// Revision of the store's last answer, unless nothing leads on from there.
    as_of: Option<Revision>,
    /// Revision after which a call waits for a change.
    waits: Option<Revision>,
    /// Since when it counts as old.
    old: Option<Instant>,
}

/// Up to which moment all changes of each topic are known.
#[derive(Clone, Debug)]
pub struct Confirmations {
    bound: Duration,
    started: Instant,
    asked: Option<Instant>,
    topics: [Confirmation; 3],
    evacuates: bool,
}

impl Confirmations {
    /// Of a host that starts and knows nothing; `bound` is the time after which a change is in force.
    pub fn new(started: Instant, bound: Duration, evacuates: bool) -> Self {
        Self { bound, started, asked: None, topics: Default::default(), evacuates }
    }

    /// The topics that this host follows.
    pub fn topics(&self) -> impl Iterator<Item = Topic> + use<> {
        let evacuates = self.evacuates;
        Topic::ALL.into_iter().filter(move |topic| *topic != Topic::Evacuations || evacuates)
    }

    /// Notes that all changes of a topic up to a moment are known.
    pub fn confirm(&mut self, topic: Topic, at: Instant) {
        let known = &mut self.topics[topic as usize].at;
        *known = (*known).max(Some(at));
    }

    /// Notes the revision of an answer of the store, from which a call can go on; `None` once nothing does.
    pub fn note_answer(&mut self, topic: Topic, as_of: Option<Revision>) {
        self.topics[topic as usize].as_of = as_of;
    }

    /// Revision of the store's last answer.
    pub fn as_of(&self, topic: Topic) -> Option<Revision> {
        self.topics[topic as usize].as_of
    }

    /// Notes that a call waits for a change after a revision, or that none does any more.
    pub fn note_wait(&mut self, topic: Topic, after: Option<Revision>) {
        self.topics[topic as usize].waits = after;
    }

    /// Whether a call waits that should have brought the changes up to a revision.
    pub fn waits_in_vain(&self, topic: Topic, changed: Revision) -> bool {
        self.topics[topic as usize].waits.is_some_and(|after| after < changed)
    }

    /// Notes that the store was asked for something that would be answered at once.
    pub fn note_asked(&mut self, now: Instant) {
        self.asked = Some(now);
    }

    /// Time since all changes of a topic were known; since the start where they never were.
    pub fn age(&self, now: Instant, topic: Topic) -> Duration {
        now.saturating_sub(self.at(topic))
    }

    fn at(&self, topic: Topic) -> Instant {
        self.topics[topic as usize].at.unwrap_or(self.started)
    }

    /// Whether a call waits for a change of a topic.
    pub fn waits(&self, topic: Topic) -> bool {
        self.topics[topic as usize].waits.is_some()
    }

    /// Whether a change that must be in force may be unknown here.
    pub fn is_old(&self, now: Instant, topic: Topic) -> bool {
        self.age(now, topic) > self.part(OLD)
    }

    /// When this host asks the store, unless something is confirmed before.
    pub fn asks_at(&self, turn: CheckOrder) -> Instant {
        let oldest = self.topics().map(|topic| self.at(topic)).min().unwrap_or_default();
        let due = oldest + self.patience(turn);
        self.asked.map_or(due, |asked| due.max(asked + self.part(PAUSE)))
    }

    fn patience(&self, turn: CheckOrder) -> Duration {
        let before = turn.before as f64;
        self.part(match turn {
            CheckOrder { follows: true, before: 0, .. } => FIRST,
            CheckOrder { follows: true, .. } => (NEXT + STEP * (before - 1.0)).min(LAST),
            // Where the store does not answer the others, all would ask in vain.
            CheckOrder { others_fail: true, .. } => IDLE + IDLE_STEP * before,
            _ => (IDLE + IDLE_STEP * before).min(IDLE_LAST),
        })
    }

    fn part(&self, part: f64) -> Duration {
        self.bound.mul_f64(part)
    }

    /// What the others are told.
    pub fn told(&self, now: Instant) -> Confirmed {
        // What was never confirmed, as what was read in a copy, confirms nothing at others.
        let age =
            |topic: Topic| self.topics[topic as usize].at.map_or(MOST_TOLD, |at| now.saturating_sub(at));
        let ms = |topic| age(topic).min(MOST_TOLD).as_millis() as u32;
        Confirmed {
            configuration_ms: ms(Topic::Configuration),
            backends_ms: ms(Topic::Backends),
            evacuations_ms: ms(Topic::Evacuations),
            sent_ms: now.saturating_sub(self.started).as_millis() as u64,
        }
    }

    /// Takes in what another host told at a moment of a topic of which it knows nothing that is newer. Returns whether that is
    /// news worth telling on.
    pub fn hear(&mut self, sent: Instant, topic: Topic, told: &Confirmed) -> bool {
        let ms = match topic {
            Topic::Configuration => told.configuration_ms,
            Topic::Backends => told.backends_ms,
            Topic::Evacuations => told.evacuations_ms,
        };
        let age = Duration::from_millis(ms.into());
        if age >= MOST_TOLD {
            return false;
        }
        let (at, before) = (sent.saturating_sub(age), self.at(topic));
        self.confirm(topic, at);
        at > before + self.part(NEWS)
    }

    /// Topics that have grown old or were renewed since the last call.
    pub fn changes(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for topic in self.topics() {
            let is_old = self.is_old(now, topic);
            let (age, known) = (self.age(now, topic), &mut self.topics[topic as usize]);
            match known.old {
                None if is_old => {
                    known.old = Some(now.saturating_sub(age));
                    changes.push(Change::Old(topic, age));
                }
                Some(since) if !is_old => {
                    known.old = None;
                    changes.push(Change::Renewed(topic, now.saturating_sub(since)));
                }
                _ => {}
            }
        }
        changes
    }
}
