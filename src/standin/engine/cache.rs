//! Prefix cache of a stand-in engine, and the log of its changes.

use std::collections::VecDeque;

use crate::schema::engine::{CacheEvent, CacheEvents};

/// Maximum number of cache events kept.
const MAX_HISTORY_EVENTS: usize = 4096;
/// Prefix length reported in every cache event.
const PREFIX_TOKENS: u32 = 256;

/// Workspace and name of a chat.
pub(super) type ChatKey = (String, String);

/// LRU cache of chat prefixes, least recently used first, with a bounded log of changes.
#[derive(Debug)]
pub(super) struct Cache {
    chats: VecDeque<ChatKey>,
    capacity: usize,
    last_seq: u64,
    history: VecDeque<CacheEvent>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { chats: VecDeque::new(), capacity, last_seq: 0, history: VecDeque::new() }
    }

    pub(super) fn contains(&self, chat: &ChatKey) -> bool {
        self.chats.iter().any(|c| c == chat)
    }

    /// Marks a chat as most recently used, inserting it if it is missing; returns whether it was cached.
    pub(super) fn touch(&mut self, chat: &ChatKey) -> bool {
        let position = self.chats.iter().position(|c| c == chat);
        if let Some(position) = position {
            self.chats.remove(position);
        } else {
            self.record(chat, false);
        }
        self.chats.push_back(chat.clone());
        if self.chats.len() > self.capacity
            && let Some(oldest) = self.chats.pop_front()
        {
            self.record(&oldest, true);
        }
        position.is_some()
    }

    /// Empties the cache and its log, as a crash does.
    pub(super) fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Cache events after `since`, without every `gap`th event; a `gap` of 0 leaves out none.
    pub(super) fn events(&self, start: u64, since: u64, gap: u64) -> CacheEvents {
        let is_included = |e: &&CacheEvent| e.seq > since && (gap == 0 || !e.seq.is_multiple_of(gap));
        CacheEvents {
            start,
            last: self.last_seq,
            events: self.history.iter().filter(is_included).cloned().collect(),
        }
    }

    fn record(&mut self, chat: &ChatKey, evicted: bool) {
        self.last_seq += 1;
        let event = CacheEvent {
            seq: self.last_seq,
            workspace: chat.0.clone(),
            chat: chat.1.clone(),
            evicted,
            tokens: PREFIX_TOKENS,
        };
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY_EVENTS {
            self.history.pop_front();
        }
    }
}
