//! Cache events of engines: which chats' contexts an engine has evicted.
//!
//! Events come late and with gaps, so they only ever take a copy off the list, never add one. A missed event
//! costs one lookup in a cold cache; a wrong one costs the reuse of one chat.

use std::collections::VecDeque;

use crate::{
    catalog::Id,
    util::{Map, Set},
};

/// Evictions remembered for each engine.
const DEPTH: usize = 4096;

/// What an engine published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The chat's context is cached.
    Stored(u64),
    /// The chat's context was evicted.
    Evicted(u64),
    /// The whole cache was emptied.
    Cleared,
}

#[derive(Clone, Debug, Default)]
struct Evictions {
    sequence: u64,
    order: VecDeque<u64>,
    chats: Set<u64>,
}

impl Evictions {
    fn forget(&mut self) {
        self.order.clear();
        self.chats.clear();
    }

    fn evict(&mut self, chat: u64) {
        if self.chats.insert(chat) {
            self.order.push_back(chat);
        }
        if self.order.len() > DEPTH
            && let Some(oldest) = self.order.pop_front()
        {
            self.chats.remove(&oldest);
        }
    }
}

/// Recent evictions of the engines that this router owns.
#[derive(Clone, Debug, Default)]
pub struct EvictionTracker {
    engines: Map<Id, Evictions>,
}

impl EvictionTracker {
    /// Notes event number `sequence` of an engine.
    ///
    /// After a gap a chat that was evicted may have been stored again unseen. Trusting the old evictions would
    /// send it away from a warm cache, so a gap forgets them.
    pub fn record(&mut self, engine: Id, sequence: u64, event: CacheEvent) {
        let evictions = self.engines.entry(engine).or_default();
        if sequence <= evictions.sequence {
            return;
        }
        if sequence > evictions.sequence + 1 {
            evictions.forget();
        }
        evictions.sequence = sequence;
        match event {
            CacheEvent::Stored(chat) => drop(evictions.chats.remove(&chat)),
            CacheEvent::Evicted(chat) => evictions.evict(chat),
            CacheEvent::Cleared => evictions.forget(),
        }
    }

    /// Notes that a request of the chat starts on the engine, whose cache will hold it before any event tells.
    pub fn mark_cached(&mut self, engine: Id, chat: u64) {
        if let Some(evictions) = self.engines.get_mut(&engine) {
            evictions.chats.remove(&chat);
        }
    }

    /// Whether the engine is known to have evicted the chat.
    pub fn evicted(&self, engine: Id, chat: u64) -> bool {
        self.engines.get(&engine).is_some_and(|e| e.chats.contains(&chat))
    }

    /// Forgets an engine that restarted or is no longer configured.
    pub fn remove(&mut self, engine: Id) {
        self.engines.remove(&engine);
    }
}
