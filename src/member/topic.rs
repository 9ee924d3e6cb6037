//! Bounded bytes carried for other modules.

use std::{sync::Arc, time::Duration};

use super::{budget::Priority, record::NAME_BYTES};
use crate::{
    schema::membership as raw,
    util::{Instant, Map},
};

/// How long a note that is not renewed is kept.
pub(super) const KEEP: Duration = Duration::from_secs(300);

/// What a note is about; each topic has a priority and a size bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// Engines of a data centre that are not up, by its reporter.
    Engines,
    /// Load of a router's engines by pool, for placement; told to each router of the data centre, not sent on.
    Load,
    /// Content that crashed backend servers, for quarantine.
    Suspects,
}

impl Topic {
    /// All topics, most important first.
    pub const ALL: [Topic; 3] = [Topic::Engines, Topic::Load, Topic::Suspects];

    /// Largest payload, in bytes.
    pub fn bound(self) -> usize {
        match self {
            Topic::Engines => 480,
            Topic::Load | Topic::Suspects => 256,
        }
    }

    /// Class in the byte budget.
    pub fn priority(self) -> Priority {
        match self {
            Topic::Engines | Topic::Load => Priority::Engines,
            Topic::Suspects => Priority::Other,
        }
    }

    /// Whether a note goes from its origin to each router of the data centre instead of from one to the next. A
    /// load is old by the time it has made the round, and every copy would cost its bytes again.
    pub(super) fn direct(self) -> bool {
        self == Topic::Load
    }

    pub(super) fn from_raw(n: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|t| *t as u32 == n)
    }
}

/// A payload exceeds its topic's bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong {
    /// Largest payload of the topic, in bytes.
    pub bound: usize,
}

#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) note: raw::Note,
    pub(super) sends: u32,
    seen: Instant,
}

/// Newest note of each origin and topic.
#[derive(Clone, Debug, Default)]
pub(super) struct Notes {
    held: Map<(Topic, Arc<str>), Held>,
}

impl Notes {
    /// Takes a note in if it is the origin's newest; returns its topic.
    pub(super) fn merge(&mut self, now: Instant, note: &raw::Note, sends: u32) -> Option<Topic> {
        let topic = Topic::from_raw(note.topic)?;
        if note.payload.len() > topic.bound() || note.origin.len() > NAME_BYTES {
            return None;
        }
        let key = (topic, note.origin.as_str().into());
        let newer = |h: &Held| (note.incarnation, note.seq) > (h.note.incarnation, h.note.seq);
        if !self.held.get(&key).is_none_or(newer) {
            return None;
        }
        let sends = if topic.direct() { 0 } else { sends };
        self.held.insert(key, Held { note: note.clone(), sends, seen: now });
        Some(topic)
    }

    /// Notes of a topic that are to be sent on, the least often sent first.
    pub(super) fn pending(&mut self, topic: Topic) -> Vec<&mut Held> {
        let mut list: Vec<_> =
            self.held.iter_mut().filter(|(k, h)| k.0 == topic && h.sends > 0).map(|(_, h)| h).collect();
        list.sort_by_key(|h| (std::cmp::Reverse(h.sends), h.note.origin.clone()));
        list
    }

    /// The newest note of one origin.
    pub(super) fn get(&self, topic: Topic, origin: &Arc<str>) -> Option<&raw::Note> {
        self.held.get(&(topic, origin.clone())).map(|h| &h.note)
    }

    /// Drops notes that have not been renewed since `oldest`.
    pub(super) fn forget(&mut self, oldest: Instant) {
        self.held.retain(|_, h| h.seen >= oldest);
    }
}
