//! An engine's prefix cache: least recently used contexts go first, within a limit of tokens.

use std::collections::VecDeque;

use cranberrytally::util::Map;

#[derive(Clone, Debug, Default)]
pub struct Cache {
    entries: Map<u64, (u32, u64)>,
    order: VecDeque<(u64, u64)>,
    tokens: u64,
    limit: u64,
    stamp: u64,
}

impl Cache {
    pub fn new(limit: u64) -> Self {
        Self { limit, ..Self::default() }
    }

    pub fn tokens(&self, chat: u64) -> u32 {
        self.entries.get(&chat).map_or(0, |e| e.0)
    }

    /// Stores a context; returns the chats evicted for it.
    pub fn store(&mut self, chat: u64, tokens: u32) -> Vec<u64> {
        self.stamp += 1;
        let old = self.entries.insert(chat, (tokens, self.stamp)).map_or(0, |e| e.0);
        self.tokens = self.tokens - u64::from(old) + u64::from(tokens);
        self.order.push_back((chat, self.stamp));
        let mut evicted = Vec::new();
        while self.tokens > self.limit {
            let Some((oldest, stamp)) = self.order.pop_front() else { break };
            if self.entries.get(&oldest).is_some_and(|e| e.1 == stamp) {
                let (size, _) = self.entries.remove(&oldest).unwrap_or_default();
                self.tokens -= u64::from(size);
                evicted.push(oldest);
            }
        }
        evicted
    }

    pub fn clear(&mut self) {
        *self = Self::new(self.limit);
    }
}
