//! Weighted rendezvous hashing: the engines of one data centre in a chat's own order.
//!
//! Two routers with different lists disagree only on the chats of the engines that differ, and a chat's second
//! choice is the same everywhere.

use crate::{
    catalog::{Engine, EngineKey, Id},
    util::hash,
};

/// Places looked at for one chat in one data centre.
pub const DEPTH: usize = 8;

/// Engines grouped by capacity, so that a chat's best engines are found in one pass without a sort.
///
/// Within a group the order by score is the order by hash; only the best of each group need a logarithm.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    groups: Vec<Group>,
}

#[derive(Clone, Debug)]
struct Group {
    capacity: u32,
    engines: Vec<(Id, EngineKey)>,
}

/// A chat's best engines, the first choice first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Top {
    entries: [Option<EngineKey>; DEPTH],
}

impl Top {
    /// The engine at a position.
    pub fn get(&self, at: usize) -> Option<EngineKey> {
        self.entries.get(at).copied().flatten()
    }

    /// Engines in order.
    pub fn iter(&self) -> impl Iterator<Item = EngineKey> {
        self.entries.into_iter().flatten()
    }
}

impl Ranking {
    /// Ranking of these engines.
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

    /// Number of engines, each of which one pass scores once.
    pub fn len(&self) -> usize {
        self.groups.iter().map(|g| g.engines.len()).sum()
    }

    /// Whether there is no engine.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// The best engines of a chat.
    pub fn top(&self, chat: u64) -> Top {
        let mut best: [Option<(f64, EngineKey)>; DEPTH] = [None; DEPTH];
        for group in &self.groups {
            for &(hash, key) in group.top(chat).iter().flatten() {
                insert(&mut best, (score(hash, group.capacity), key));
            }
        }
        Top { entries: best.map(|e| e.map(|(_, key)| key)) }
    }
}

impl Group {
    fn top(&self, chat: u64) -> [Option<(u64, EngineKey)>; DEPTH] {
        let mut best = [None; DEPTH];
        let mut floor = 0;
        for &(id, key) in &self.engines {
            let hash = hash((id.0, chat));
            if hash >= floor {
                insert(&mut best, (hash, key));
                floor = best[DEPTH - 1].map_or(0, |(hash, _)| hash);
            }
        }
        best
    }
}

fn insert<S: PartialOrd + Copy>(best: &mut [Option<(S, EngineKey)>; DEPTH], entry: (S, EngineKey)) {
    let at = best.iter().position(|b| b.is_none_or(|(score, _)| entry.0 > score));
    if let Some(at) = at {
        best[at..].rotate_right(1);
        best[at] = Some(entry);
    }
}

/// Score of one engine for one chat; the share of chats that an engine wins is in proportion to its capacity.
fn score(hash: u64, capacity: u32) -> f64 {
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    f64::from(capacity) / -unit.ln()
}
