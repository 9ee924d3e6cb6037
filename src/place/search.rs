//! One chat's walk over the engines that may answer it, best first.

use std::{collections::VecDeque, sync::Arc};

use super::{
    hint::Hint,
    members::{Distance, Member},
    placer::Placer,
};
use crate::{
    catalog::{Catalog, EngineKey, Id, Pool},
    util::{Instant, Set, hash},
};

/// Engines asked for by name before an engine of this router's own that is at or below the mean will do.
const FIRST_ASKS: u32 = 2;
/// Engines asked for by name before any engine within the bound will do.
const NAMED_ASKS: u32 = 6;
/// Owners asked for any of their engines within the bound.
const ANY_ASKS: u32 = 3;

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

/// The next thing to try for a chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Router to ask; `None` for this one.
    pub owner: Option<Member>,
    /// Engine to reserve; `None` for any of the owner's.
    pub engine: Option<Candidate>,
    /// Whether the room between the mean and the bound may be used.
    pub above_mean: bool,
}

/// Owner of the engine on which a new chat starts, where it is another router: who goes there spares it a message.
pub fn first_owner(
    placer: &mut Placer,
    cat: &Catalog,
    pool: &Pool,
    chat: u64,
    now: Instant,
) -> Option<Member> {
    Search::new(placer, cat, pool, chat, None, []).next(placer, cat, pool, now)?.owner
}

/// The walk. Data centres are ranked only when the walk reaches them.
#[derive(Clone, Debug)]
pub struct Search {
    chat: u64,
    home: Arc<str>,
    /// Copies that the hint names and that are not known to be lost.
    copies: Vec<(Id, u32)>,
    ready: VecDeque<Candidate>,
    /// Positions in the pool's list of data centres, nearest first.
    tiers: VecDeque<usize>,
    seen: Set<Id>,
    excluded: Vec<Id>,
    asked: u32,
    own_tried: bool,
    any: u32,
    scored: usize,
    any_available: bool,
}

impl Search {
    /// Starts the walk of the chat with this hash; `exclude` are engines that failed this request already.
    pub fn new(
        placer: &Placer,
        cat: &Catalog,
        pool: &Pool,
        chat: u64,
        hint: Option<&Hint>,
        exclude: impl IntoIterator<Item = Id>,
    ) -> Self {
        let excluded: Vec<_> = exclude.into_iter().collect();
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
        let ready: VecDeque<Candidate> = ready.collect();
        Self {
            chat,
            copies: ready.iter().map(|c| (c.id, c.cached)).collect(),
            ready,
            tiers: tiers.into(),
            home,
            seen: excluded.iter().copied().collect(),
            excluded,
            asked: 0,
            own_tried: false,
            any: 0,
            scored: 0,
            any_available: false,
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

    /// Whether an engine failed this request already.
    pub fn excludes(&self, id: Id) -> bool {
        self.excluded.contains(&id)
    }

    /// Engines that were scored so far.
    pub fn scored(&self) -> usize {
        self.scored
    }

    /// Whether some engine met so far was in use.
    pub fn any_available(&self) -> bool {
        self.any_available
    }

    /// Engine with the fullest copy of the chat, and its tokens, if the chat is placed on another one.
    ///
    /// A leaving engine and one at its bound still export; one that is down does not.
    pub fn transfer_source(&self, placer: &Placer, pool: &Pool, to: EngineKey) -> Option<(EngineKey, u32)> {
        let (id, tokens) = self.copies.iter().copied().max_by_key(|(_, tokens)| *tokens)?;
        let from = pool.member(id)?;
        (from != to && !placer.health.down(id)).then_some((from, tokens))
    }

    /// The next thing to try; `None` when the walk is over.
    ///
    /// A chat whose first engines all stand at the bound has lost its cache already. An engine of this router's
    /// own that is at or below the mean then costs no message and evens the load out. In a small pool there may
    /// be none, and the walk goes on; at its end any engine within the bound will do.
    ///
    /// An engine whose owner does not answer is passed by. Were every router to count for itself meanwhile, they
    /// would together fill it many times over; so its chats lose their cache until the lists agree.
    pub fn next(&mut self, placer: &mut Placer, cat: &Catalog, pool: &Pool, now: Instant) -> Option<Step> {
        if self.asked >= FIRST_ASKS && !self.own_tried {
            self.own_tried = true;
            return Some(Step { owner: None, engine: None, above_mean: false });
        }
        if let Some(step) = self.named(placer, cat, pool, now) {
            return Some(step);
        }
        if !self.any_available || self.any >= ANY_ASKS {
            return None;
        }
        self.any += 1;
        let owner = match self.any {
            1 => None,
            n => Some(self.other_owner(placer, n, now)?),
        };
        Some(Step { owner, engine: None, above_mean: true })
    }

    fn named(&mut self, placer: &mut Placer, cat: &Catalog, pool: &Pool, now: Instant) -> Option<Step> {
        while self.asked < NAMED_ASKS {
            let candidate = self.candidate(placer, cat, pool, now)?;
            let data_centre = &cat.engine(candidate.engine).data_centre;
            let me = placer.me();
            let owner = placer.owner(candidate.id, data_centre).filter(|m| m.id != me).cloned();
            if owner.as_ref().is_some_and(|m| !placer.reachable(m.id, now)) {
                continue;
            }
            self.asked += 1;
            return Some(Step { owner, engine: Some(candidate), above_mean: candidate.cached > 0 });
        }
        None
    }

    fn candidate(&mut self, placer: &Placer, cat: &Catalog, pool: &Pool, now: Instant) -> Option<Candidate> {
        loop {
            while let Some(candidate) = self.ready.pop_front() {
                if self.seen.insert(candidate.id) && placer.health.is_available(candidate.id, now) {
                    self.any_available = true;
                    return Some(candidate);
                }
            }
            let (_, ranking) = &pool.by_data_centre()[self.tiers.pop_front()?];
            self.scored += ranking.len();
            let found = ranking.top(self.chat);
            let candidate = |engine| Candidate { engine, id: cat.engine(engine).id, cached: 0 };
            self.ready.extend(found.iter().map(candidate));
        }
    }

    /// Another router of the region, a different one for each `n`, in the chat's own order.
    fn other_owner(&self, placer: &Placer, n: u32, now: Instant) -> Option<Member> {
        let members = placer.members();
        let near = |m: &&Member| {
            m.id != placer.me()
                && placer.reachable(m.id, now)
                && members.distance(&self.home, &m.data_centre) != Distance::Far
        };
        members.list().iter().filter(near).min_by_key(|m| hash((m.id.0, self.chat, n))).cloned()
    }
}
