//! One chat's walk over the engines that may answer it, best first.

use std::{collections::VecDeque, sync::Arc};

use super::{hint::Hint, members::Distance, placer::Placer};
use crate::{
    catalog::{Catalog, EngineKey, Id, Pool},
    util::{Instant, Set, hash},
};

/// An engine that may answer the chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Engine.
    pub engine: EngineKey,
    /// Identifier of the engine.
    pub id: Id,
    /// Tokens of the chat believed to be cached there.
    pub cached: u32,
}

/// The walk. Data centres are ranked only when the walk reaches them.
#[derive(Clone, Debug)]
pub struct Search {
    chat: u64,
    home: Arc<str>,
    ready: VecDeque<Candidate>,
    /// Positions in the pool's list of data centres, nearest first.
    tiers: VecDeque<usize>,
    seen: Set<Id>,
    /// Engines that were scored.
    pub scored: usize,
    /// Whether some engine was in use.
    pub any_in_use: bool,
}

impl Search {
    /// Starts the walk of a chat; `exclude` are engines that failed this request already.
    pub fn new(
        placer: &Placer,
        cat: &Catalog,
        pool: &Pool,
        chat: &str,
        hint: Option<&Hint>,
        exclude: impl IntoIterator<Item = Id>,
    ) -> Self {
        let chat = hash(chat);
        let home = placer.home(hint);
        let order = |at: &usize| {
            let name = &pool.by_data_centre()[*at].0;
            (placer.members().distance(&home, name), hash((&**name, chat)))
        };
        let mut tiers: Vec<_> = (0..pool.by_data_centre().len()).collect();
        tiers.sort_by_cached_key(order);
        let copies = hint.map_or(&[][..], |h| &h.copies);
        let ready = copies.iter().filter_map(|copy| {
            let id = Id::of(&copy.engine);
            let engine = pool.member(id)?;
            let start = placer.health.start(id);
            let lost = start != 0 && start != copy.start || placer.cache.evicted(id, chat);
            (!lost && cat.engine(engine).id == id).then_some(Candidate { engine, id, cached: copy.tokens })
        });
        Self {
            chat,
            ready: ready.collect(),
            tiers: tiers.into(),
            home,
            seen: exclude.into_iter().collect(),
            scored: 0,
            any_in_use: false,
        }
    }

    /// Hash of the chat.
    pub fn chat(&self) -> u64 {
        self.chat
    }

    /// Data centre in which the chat's rank starts.
    pub fn home(&self) -> &Arc<str> {
        &self.home
    }

    /// Engines met so far.
    pub fn seen(&self) -> &Set<Id> {
        &self.seen
    }

    /// The next engine in use; `None` when the walk is over.
    pub fn next(&mut self, placer: &Placer, cat: &Catalog, pool: &Pool, now: Instant) -> Option<Candidate> {
        loop {
            while let Some(candidate) = self.ready.pop_front() {
                if !self.seen.insert(candidate.id) || !placer.health.in_use(candidate.id, now) {
                    continue;
                }
                self.any_in_use = true;
                return Some(candidate);
            }
            let (_, ranking) = &pool.by_data_centre()[self.tiers.pop_front()?];
            self.scored += ranking.len();
            let found = ranking.top(self.chat);
            let candidate = |engine| Candidate { engine, id: cat.engine(engine).id, cached: 0 };
            self.ready.extend(found.iter().map(candidate));
        }
    }

    /// Whether the walk has left the chat's own region.
    pub fn is_far(&self, placer: &Placer, data_centre: &str) -> bool {
        placer.members().distance(&self.home, data_centre) == Distance::Far
    }
}
