//! Cache evictions, tracked from the cache events that engines publish.
//!
//! Events arrive late and with gaps, so they can only invalidate a cached copy that a hint names, never add one.
//! A missed event costs one lookup in a cold cache; a false eviction costs the cache reuse of one chat.

use std::collections::VecDeque;

use crate::{
    catalog::Id,
    util::{Map, Set},
};

/// Maximum number of tracked evictions per engine.
const MAX_EVICTIONS: usize = 4096;

/// Cache event published by an engine; chats are identified by hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The chat's context was stored in the cache.
    Stored(u64),
    /// The chat's context was evicted.
    Evicted(u64),
    /// All cached contexts were dropped.
    Cleared,
}

#[derive(Clone, Debug, Default)]
struct EngineEvictions {
    /// Sequence number of the last event.
    sequence: u64,
    /// Chats in the order of their eviction.
    order: VecDeque<u64>,
    chats: Set<u64>,
}

impl EngineEvictions {
    fn clear(&mut self) {
        self.order.clear();
        self.chats.clear();
    }

    fn insert(&mut self, chat: u64) {
        if self.chats.insert(chat) {
            self.order.push_back(chat);
        }
        if self.order.len() > MAX_EVICTIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.chats.remove(&oldest);
        }
    }
}

/// Tracks recent evictions of the engines that this router owns.
#[derive(Clone, Debug, Default)]
pub struct EvictionTracker {
    engines: Map<Id, EngineEvictions>,
}

impl EvictionTracker {
    /// Records the event with this sequence number from an engine.
    ///
    /// A gap in the sequence may hide that an evicted chat was stored again, and the old eviction would then route
    /// the chat away from a warm cache. All evictions of the engine are therefore dropped after a gap.
    pub fn record(&mut self, engine: Id, sequence: u64, event: CacheEvent) {
        let evictions = self.engines.entry(engine).or_default();
        if sequence <= evictions.sequence {
            return;
        }
        if sequence > evictions.sequence + 1 {
            evictions.clear();
        }
        evictions.sequence = sequence;
        match event {
            CacheEvent::Stored(chat) => drop(evictions.chats.remove(&chat)),
            CacheEvent::Evicted(chat) => evictions.insert(chat),
            CacheEvent::Cleared => evictions.clear(),
        }
    }

    /// Marks a chat as cached when its request starts on the engine, before the event for it arrives.
    pub fn mark_cached(&mut self, engine: Id, chat: u64) {
        if let Some(evictions) = self.engines.get_mut(&engine) {
            evictions.chats.remove(&chat);
        }
    }

    /// Whether the engine has evicted the chat, as far as known.
    pub fn has_evicted(&self, engine: Id, chat: u64) -> bool {
        self.engines.get(&engine).is_some_and(|e| e.chats.contains(&chat))
    }

    /// Removes an engine that restarted or is no longer configured.
    pub fn remove(&mut self, engine: Id) {
        self.engines.remove(&engine);
    }
}
