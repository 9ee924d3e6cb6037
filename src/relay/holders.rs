//! Which backend servers have read which prompt parts, as far as this host has seen or heard.

use std::time::Duration;

use super::{backends::BackendKey, request::Part};
use crate::util::{Instant, Map};

/// Holders remembered a part; more copies than this don't help placement.
const MOST_HOLDERS: usize = 4;
/// Parts remembered. At 32 bytes an entry this bounds the memory to a few hundred kilobytes.
const MOST_PARTS: usize = 8_192;
/// How long a part that nobody used is still believed to be cached.
const KEEP: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Entry {
    used: Instant,
    /// Latest first.
    holders: Vec<BackendKey>,
}

/// Prompt parts and their holders.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    parts: Map<u64, Entry>,
}

impl Holders {
    /// Notes that a server has read a part; returns whether that is news.
    pub fn note(&mut self, now: Instant, part: u64, key: BackendKey) -> bool {
        if self.parts.len() >= MOST_PARTS {
            self.shrink(now);
        }
        let entry = self.parts.entry(part).or_insert_with(|| Entry { used: now, holders: Vec::new() });
        entry.used = now;
        if entry.holders.contains(&key) {
            return false;
        }
        entry.holders.insert(0, key);
        entry.holders.truncate(MOST_HOLDERS);
        true
    }

    /// Tokens of the chain that a server has read. A server reads a part together with all parts before it, and uses them
    /// as often, so that the last part it is known for tells of all before: of a part that begins most chains only the
    /// latest holders are remembered.
    pub fn tokens(&self, chain: &[Part], key: BackendKey) -> u32 {
        let held = |p: &Part| self.parts.get(&p.id).is_some_and(|e| e.holders.contains(&key));
        let read = chain.iter().rposition(held).map_or(0, |last| last + 1);
        chain[..read].iter().map(|p| p.tokens).sum()
    }

    /// The usable server that has read most of the chain, if any has read its last part.
    pub fn best(&self, chain: &[Part], usable: impl Fn(BackendKey) -> bool) -> Option<BackendKey> {
        let holders = &self.parts.get(&chain.last()?.id)?.holders;
        holders.iter().copied().filter(|key| usable(*key)).max_by_key(|key| self.tokens(chain, *key))
    }

    /// Parts with their holders, the ones used last first, for a host that has just started.
    pub fn newest(&self, most: usize) -> Vec<(u64, BackendKey)> {
        let mut entries: Vec<_> = self.parts.iter().collect();
        entries.sort_by_key(|(_, e)| std::cmp::Reverse(e.used));
        let pairs = entries.into_iter().flat_map(|(part, e)| e.holders.iter().map(|key| (*part, *key)));
        pairs.take(most).collect()
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, key: BackendKey) {
        for entry in self.parts.values_mut() {
            entry.holders.retain(|k| *k != key);
        }
        self.parts.retain(|_, e| !e.holders.is_empty());
    }

    fn shrink(&mut self, now: Instant) {
        self.parts.retain(|_, e| e.used + KEEP > now);
        if self.parts.len() < MOST_PARTS {
            return;
        }
        let mut used: Vec<_> = self.parts.values().map(|e| e.used).collect();
        let middle = used.len() / 2;
        let (_, median, _) = used.select_nth_unstable(middle);
        let median = *median;
        self.parts.retain(|_, e| e.used > median);
    }

    /// Parts remembered.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
