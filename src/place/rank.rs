//! Weighted rendezvous hashing: orders the engines of one data centre for a chat.
//!
//! Routers with different engine lists disagree only on the chats of the engines that differ, and all agree on a
//! chat's next choice when its first one fails.

use crate::{
    catalog::{Engine, EngineKey, Id},
    util::hash,
};

/// Maximum number of engines ranked for one chat in one data centre.
pub const MAX_RANKED: usize = 8;

/// Engines grouped by capacity, so that a chat's top engines are found in one pass without sorting.
///
/// Within a group the order by score equals the order by hash, so the logarithm of the score is only computed for
/// the top engines of each group.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    groups: Vec<Group>,
}

#[derive(Clone, Debug)]
struct Group {
    capacity: u32,
    engines: Vec<(Id, EngineKey)>,
}

/// Top engines of a chat, best first.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankedEngines {
    entries: [Option<EngineKey>; MAX_RANKED],
}

impl RankedEngines {
    /// Engine at a position, from 0.
    pub fn get(&self, at: usize) -> Option<EngineKey> {
        self.entries.get(at).copied().flatten()
    }

    /// Iterates over the engines, best first.
    pub fn iter(&self) -> impl Iterator<Item = EngineKey> {
        self.entries.into_iter().flatten()
    }
}

impl Ranking {
    /// Groups these engines.
    pub fn new<'a>(engines: impl Iterator<Item = (EngineKey, &'a Engine)>) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        for (key, engine) in engines {
            match groups.iter_mut().find(|g| g.capacity == engine.capacity) {
                Some(group) => group.engines.push((engine.id, key)),
                None => {
                    groups.push(Group { capacity: engine.capacity, engines: vec![(engine.id, key)] });
                }
            }
        }
        Self { groups }
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.groups.iter().map(|g| g.engines.len()).sum()
    }

    /// Whether there is no engine.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Computes the top engines for a chat, given by its hash.
    pub fn top(&self, chat: u64) -> RankedEngines {
        let mut best: [Option<(f64, EngineKey)>; MAX_RANKED] = [None; MAX_RANKED];
        for group in &self.groups {
            for &(hash, key) in group.top(chat).iter().flatten() {
                insert(&mut best, (score(hash, group.capacity), key));
            }
        }
        RankedEngines { entries: best.map(|e| e.map(|(_, key)| key)) }
    }
}

impl Group {
    /// Top engines of the group by hash.
    fn top(&self, chat: u64) -> [Option<(u64, EngineKey)>; MAX_RANKED] {
        let mut best = [None; MAX_RANKED];
        let mut floor = 0;
        for &(id, key) in &self.engines {
            let hash = hash((id.0, chat));
            if hash >= floor {
                insert(&mut best, (hash, key));
                floor = best[MAX_RANKED - 1].map_or(0, |(hash, _)| hash);
            }
        }
        best
    }
}

/// Inserts an entry into a list sorted by descending score, dropping the last one.
fn insert<S: PartialOrd + Copy>(best: &mut [Option<(S, EngineKey)>; MAX_RANKED], entry: (S, EngineKey)) {
    let at = best.iter().position(|b| b.is_none_or(|(score, _)| entry.0 > score));
    if let Some(at) = at {
        best[at..].rotate_right(1);
        best[at] = Some(entry);
    }
}

/// Weighted rendezvous score: each engine wins a share of chats proportional to its capacity.
fn score(hash: u64, capacity: u32) -> f64 {
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    f64::from(capacity) / -unit.ln()
}
