//! Notes: payloads of limited size that gossip carries for other modules.

use std::{sync::Arc, time::Duration};

use super::{budget::Priority, record::MAX_NAME_BYTES};
use crate::{
    schema::membership as raw,
    util::{Instant, Map},
};

/// How long a note is kept without being renewed.
pub(super) const NOTE_TTL: Duration = Duration::from_secs(300);

/// Topic of a note; each topic has a priority and a maximum payload size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// Engines of a data centre that are not up, published by its reporter.
    Engines,
    /// Load of a router's engines by pool, for placement; sent to each router of the data centre, not forwarded.
    Load,
    /// Fingerprints of content that crashed backend servers, for quarantine.
    Suspects,
}

impl Topic {
    /// All topics, most important first.
    pub const ALL: [Topic; 3] = [Topic::Engines, Topic::Load, Topic::Suspects];

    /// Maximum size of a payload.
    pub fn max_payload_bytes(self) -> usize {
        match self {
            Topic::Engines => 480,
            Topic::Load | Topic::Suspects => 256,
        }
    }

    /// Priority class in the byte budget.
    pub fn priority(self) -> Priority {
        match self {
            Topic::Engines | Topic::Load => Priority::Engines,
            Topic::Suspects => Priority::Other,
        }
    }

    /// Whether the origin sends a note to each router of the data centre itself, instead of routers forwarding it. A
    /// forwarded load would be outdated on arrival, and each copy would cost its bytes again.
    pub(super) fn is_direct(self) -> bool {
        self == Topic::Load
    }

    pub(super) fn from_raw(n: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|t| *t as u32 == n)
    }
}

/// Error: a payload exceeds the maximum of its topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong {
    /// Maximum payload of the topic.
    pub max_payload_bytes: usize,
}

#[derive(Clone, Debug)]
pub(super) struct StoredNote {
    pub(super) note: raw::Note,
    pub(super) sends: u32,
    received_at: Instant,
}

/// Newest note of each origin and topic.
#[derive(Clone, Debug, Default)]
pub(super) struct Notes {
    notes: Map<(Topic, Arc<str>), StoredNote>,
}

impl Notes {
    /// Merges a note if it is the origin's newest of its topic; returns the topic.
    pub(super) fn merge(&mut self, now: Instant, note: &raw::Note, sends: u32) -> Option<Topic> {
        let topic = Topic::from_raw(note.topic)?;
        if note.payload.len() > topic.max_payload_bytes() || note.origin.len() > MAX_NAME_BYTES {
            return None;
        }
        let key = (topic, note.origin.as_str().into());
        let newer =
            |stored: &StoredNote| (note.incarnation, note.seq) > (stored.note.incarnation, stored.note.seq);
        if !self.notes.get(&key).is_none_or(newer) {
            return None;
        }
        let sends = if topic.is_direct() { 0 } else { sends };
        self.notes.insert(key, StoredNote { note: note.clone(), sends, received_at: now });
        Some(topic)
    }

    /// Notes of a topic that are still to be sent, those with the most sends left first.
    pub(super) fn pending(&mut self, topic: Topic) -> Vec<&mut StoredNote> {
        let mut list: Vec<_> = self
            .notes
            .iter_mut()
            .filter(|(k, stored)| k.0 == topic && stored.sends > 0)
            .map(|(_, stored)| stored)
            .collect();
        list.sort_by_key(|stored| (std::cmp::Reverse(stored.sends), stored.note.origin.clone()));
        list
    }

    /// Returns the newest note of one origin.
    pub(super) fn get(&self, topic: Topic, origin: &Arc<str>) -> Option<&raw::Note> {
        self.notes.get(&(topic, origin.clone())).map(|stored| &stored.note)
    }

    /// Removes notes that have not been renewed since `oldest`.
    pub(super) fn purge_expired(&mut self, oldest: Instant) {
        self.notes.retain(|_, stored| stored.received_at >= oldest);
    }
}
