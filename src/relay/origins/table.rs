//! The versions that began streams, kept for a limited time and number of streams.

use std::time::Duration;

use super::{StreamKey, VersionTag};
use crate::util::{Instant, Map};

/// Maximum number of streams in a generation: several times those that a host begins and is told of in the longest lifetime.
const MAX_STREAMS: usize = 65_536;

/// What is known of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// This version began it.
    Version(VersionTag),
    /// Different versions were reported for it.
    Conflicting,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    known: Known,
    /// Whether this host passes the stream on, and its caller does not have all of it yet.
    here: bool,
}

/// Streams in two generations. A generation lasts for the lifetime of a stream or until it is full, then it replaces the one
/// before, so that a stream is remembered for one to two lifetimes.
#[derive(Clone, Debug)]
pub struct Table {
    current: Map<StreamKey, Entry>,
    previous: Map<StreamKey, Entry>,
    rotated: Instant,
}

impl Table {
    /// An empty table.
    pub fn new(now: Instant) -> Self {
        Self { current: Map::default(), previous: Map::default(), rotated: now }
    }

    /// Adds a stream, or begins the time for which it is remembered anew. `here` says that this host passes it on.
    pub fn insert(&mut self, stream: StreamKey, version: VersionTag, here: bool) {
        let known = Known::Version(version);
        let old = self.entry(stream);
        let known = if old.is_some_and(|old| old.known != known) { Known::Conflicting } else { known };
        if self.current.len() >= MAX_STREAMS {
            self.rotate();
        }
        let here = here || old.is_some_and(|old| old.here);
        self.current.insert(stream, Entry { known, here });
    }

    /// Records that the caller of a stream has all of it.
    pub fn end(&mut self, stream: StreamKey) {
        for generation in [&mut self.current, &mut self.previous] {
            if let Some(entry) = generation.get_mut(&stream) {
                entry.here = false;
            }
        }
    }

    /// What is known of a stream.
    pub fn get(&self, stream: StreamKey) -> Option<Known> {
        self.entry(stream).map(|entry| entry.known)
    }

    /// Streams that this host passes on, or that broke off here, with their versions.
    pub fn here(&self) -> impl Iterator<Item = (StreamKey, VersionTag)> {
        let all = self.current.iter().chain(&self.previous).filter(|(_, entry)| entry.here);
        all.filter_map(|(stream, entry)| match entry.known {
            Known::Version(version) => Some((*stream, version)),
            Known::Conflicting => None,
        })
    }

    /// Drops the previous generation once the current one is as old as a stream may get.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        if self.rotated + lifetime <= now {
            self.rotated = now;
            self.rotate();
        }
    }

    /// Number of streams remembered.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn entry(&self, stream: StreamKey) -> Option<Entry> {
        self.current.get(&stream).or_else(|| self.previous.get(&stream)).copied()
    }

    fn rotate(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }
}
