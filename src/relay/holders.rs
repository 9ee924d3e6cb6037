//! Tracks which backend servers have which prompt parts in their cache, as far as this host has observed or been
//! informed.

use std::time::Duration;

use super::{backends::BackendKey, request::Part};
use crate::util::{Instant, Map};

/// Maximum number of holders kept per part; more don't improve placement.
const MAX_HOLDERS: usize = 4;
/// Maximum number of parts kept. At 32 bytes an entry this limits memory to a few hundred kilobytes.
const MAX_PARTS: usize = 8_192;
/// How long an unused part is assumed to stay cached.
const UNUSED_TTL: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Entry {
    last_used: Instant,
    /// Most recent first.
    holders: Vec<BackendKey>,
}

/// Prompt parts and their holders.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    parts: Map<u64, Entry>,
}

impl Holders {
    /// Records that a server has read a part; returns whether that was unknown.
    pub fn insert(&mut self, now: Instant, part: u64, key: BackendKey) -> bool {
        if self.parts.len() >= MAX_PARTS {
            self.evict(now);
        }
        let entry = self.parts.entry(part).or_insert_with(|| Entry { last_used: now, holders: Vec::new() });
        entry.last_used = now;
        if entry.holders.contains(&key) {
            return false;
        }
        entry.holders.insert(0, key);
        entry.holders.truncate(MAX_HOLDERS);
        true
    }

    /// Number of tokens of the chain that a server has read. A server reads a part together with all parts before it,
    /// and uses them equally often, so the last part that it is known to hold implies all earlier ones. The earlier
    /// ones can't be looked up instead: only the most recent holders are kept of a part that begins most chains.
    pub fn tokens(&self, chain: &[Part], key: BackendKey) -> u32 {
        let held = |p: &Part| self.parts.get(&p.id).is_some_and(|e| e.holders.contains(&key));
        let read = chain.iter().rposition(held).map_or(0, |last| last + 1);
        chain[..read].iter().map(|p| p.tokens).sum()
    }

    /// The servers that have read any part of the chain, as far as they are known.
    pub fn of_any(&self, chain: &[Part]) -> Vec<BackendKey> {
        chain.iter().filter_map(|p| self.parts.get(&p.id)).flat_map(|e| e.holders.iter().copied()).collect()
    }

    /// The usable server that has read the most of the chain, among the holders of its last part.
    pub fn best(&self, chain: &[Part], usable: impl Fn(BackendKey) -> bool) -> Option<BackendKey> {
        let holders = &self.parts.get(&chain.last()?.id)?.holders;
        holders.iter().copied().filter(|key| usable(*key)).max_by_key(|key| self.tokens(chain, *key))
    }

    /// Up to `most` pairs of a part and a holder, the most recently used first, for a host that has just started.
    pub fn most_recent(&self, most: usize) -> Vec<(u64, BackendKey)> {
        let mut entries: Vec<_> = self.parts.iter().collect();
        entries.sort_by_key(|(_, e)| std::cmp::Reverse(e.last_used));
        let pairs = entries.into_iter().flat_map(|(part, e)| e.holders.iter().map(|key| (*part, *key)));
        pairs.take(most).collect()
    }

    /// Removes a server from all parts.
    pub fn forget(&mut self, key: BackendKey) {
        for entry in self.parts.values_mut() {
            entry.holders.retain(|k| *k != key);
        }
        self.parts.retain(|_, e| !e.holders.is_empty());
    }

    /// Evicts parts that have expired, and if that does not make room, the less recently used half.
    fn evict(&mut self, now: Instant) {
        self.parts.retain(|_, e| e.last_used + UNUSED_TTL > now);
        if self.parts.len() < MAX_PARTS {
            return;
        }
        let mut last_used: Vec<_> = self.parts.values().map(|e| e.last_used).collect();
        let middle = last_used.len() / 2;
        let (_, median, _) = last_used.select_nth_unstable(middle);
        let median = *median;
        self.parts.retain(|_, e| e.last_used > median);
    }

    /// Number of known parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
