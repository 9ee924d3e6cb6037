//! Prefix cache of a stand-in engine, and the events that tell of its changes.

use std::collections::VecDeque;

use crate::schema::engine::{CacheEvent, CacheEvents};

const HISTORY: usize = 4096;
const PREFIX_TOKENS: u32 = 256;

/// Workspace and name of a chat.
pub(super) type Chat = (String, String);

/// Chats whose prefixes are cached, oldest first, and what changed.
#[derive(Debug)]
pub(super) struct Cache {
    chats: VecDeque<Chat>,
    size: usize,
    last: u64,
    history: VecDeque<CacheEvent>,
}

impl Cache {
    pub(super) fn new(size: usize) -> Self {
        Self { chats: VecDeque::new(), size, last: 0, history: VecDeque::new() }
    }

    pub(super) fn holds(&self, chat: &Chat) -> bool {
        self.chats.iter().any(|c| c == chat)
    }

    /// Makes the chat the newest; tells whether it was cached.
    pub(super) fn touch(&mut self, chat: &Chat) -> bool {
        let at = self.chats.iter().position(|c| c == chat);
        if let Some(at) = at {
            self.chats.remove(at);
        } else {
            self.record(chat, false);
        }
        self.chats.push_back(chat.clone());
        if self.chats.len() > self.size
            && let Some(old) = self.chats.pop_front()
        {
            self.record(&old, true);
        }
        at.is_some()
    }

    /// Forgets all, as a crash does.
    pub(super) fn clear(&mut self) {
        *self = Self::new(self.size);
    }

    /// Events after `since`, leaving out each `gap`th.
    pub(super) fn events(&self, start: u64, since: u64, gap: u64) -> CacheEvents {
        let kept = |e: &&CacheEvent| e.seq > since && (gap == 0 || !e.seq.is_multiple_of(gap));
        CacheEvents { start, last: self.last, events: self.history.iter().filter(kept).cloned().collect() }
    }

    fn record(&mut self, chat: &Chat, evicted: bool) {
        self.last += 1;
        let event = CacheEvent {
            seq: self.last,
            workspace: chat.0.clone(),
            chat: chat.1.clone(),
            evicted,
            tokens: PREFIX_TOKENS,
        };
        self.history.push_back(event);
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }
}
