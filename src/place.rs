//! Placement: which engine of a pool answers a chat.

use std::sync::Arc;

use crate::{
    catalog::{Catalog, EngineKey, Pool},
    util::{Map, Set, hash},
};

/// Engines of a pool for one chat, best first, by weighted rendezvous hashing.
///
/// Two routers with different lists disagree only on the chats of the engines that differ.
pub fn rank(cat: &Catalog, engines: &[EngineKey], chat: &str) -> Vec<EngineKey> {
    let mut scored: Vec<_> = engines.iter().map(|&key| (score(cat, key, chat), key)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().map(|(_, key)| key).collect()
}

fn score(cat: &Catalog, key: EngineKey, chat: &str) -> f64 {
    let engine = cat.engine(key);
    let unit = ((hash((&*engine.name, chat)) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    f64::from(engine.capacity) / -unit.ln()
}

/// Requests in progress at each engine, as this router knows them.
#[derive(Debug, Default)]
pub struct Loads {
    running: Map<Arc<str>, u32>,
}

impl Loads {
    /// Chooses an engine: the hinted one, else the first in rank whose load is within the pool's bound.
    pub fn choose(
        &self,
        cat: &Catalog,
        pool: &Pool,
        chat: &str,
        hint: Option<&str>,
        down: &Set<Arc<str>>,
    ) -> Option<EngineKey> {
        let mut ranked = rank(cat, &pool.engines, chat);
        ranked.retain(|&k| !down.contains(&cat.engine(k).name));
        if let Some(at) = ranked.iter().position(|&k| Some(&*cat.engine(k).name) == hint) {
            ranked[..=at].rotate_right(1);
        }
        let total: u32 = ranked.iter().map(|&k| self.load(cat, k)).sum();
        let mean = f64::from(total + 1) / ranked.len().max(1) as f64;
        let limit = (pool.load_bound * mean).ceil().max(mean + 1.0);
        ranked.iter().copied().find(|&k| f64::from(self.load(cat, k) + 1) <= limit)
    }

    /// Notes a request that starts at an engine.
    pub fn start(&mut self, name: &Arc<str>) {
        *self.running.entry(name.clone()).or_default() += 1;
    }

    /// Notes a request that has ended at an engine.
    pub fn finish(&mut self, name: &Arc<str>) {
        if let Some(n) = self.running.get_mut(name) {
            *n = n.saturating_sub(1);
        }
    }

    fn load(&self, cat: &Catalog, key: EngineKey) -> u32 {
        self.running.get(&cat.engine(key).name).copied().unwrap_or(0)
    }
}
