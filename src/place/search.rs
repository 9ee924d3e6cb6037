//! Search for an engine for one chat, in order of preference.

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

/// Reservations tried on named engines before any engine owned by this router at or below the mean is accepted.
const NAMED_TRIES_BEFORE_LOCAL: u32 = 2;
/// Reservations tried on named engines before any engine within the bound is accepted.
const MAX_NAMED_TRIES: u32 = 6;
/// Owners that are asked for any of their engines within the bound.
const MAX_ANY_TRIES: u32 = 3;

/// Engine that may answer a chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Key of the engine.
    pub engine: EngineKey,
    /// Identifier of the engine.
    pub id: Id,
    /// Tokens of the chat that are probably cached on the engine.
    pub cached: u32,
}

/// Reservation to try next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Router to ask; `None` for this router.
    pub owner: Option<Member>,
    /// Engine to reserve; `None` for any engine of the owner.
    pub engine: Option<Candidate>,
    /// Whether the engine may exceed the mean, up to the bound.
    pub above_mean: bool,
}

/// Owner of the first-choice engine of a new chat, if it is another router. A caller that connects to that router
/// saves the message to the owner.
pub fn first_owner(
    placer: &mut Placer,
    cat: &Catalog,
    pool: &Pool,
    chat: u64,
    now: Instant,
) -> Option<Member> {
    Search::new(placer, cat, pool, chat, None, []).next(placer, cat, pool, now)?.owner
}

/// Search state of one request. Engines of a data centre are ranked only when the search reaches it.
#[derive(Clone, Debug)]
pub struct Search {
    chat: u64,
    home: Arc<str>,
    /// Engine and token count of each cached copy in the hint that is not known to be lost.
    copies: Vec<(Id, u32)>,
    candidates: VecDeque<Candidate>,
    /// Data centres not searched yet, as positions in the pool's list, nearest first.
    data_centres: VecDeque<usize>,
    seen: Set<Id>,
    excluded: Vec<Id>,
    named_tries: u32,
    local_tried: bool,
    any_tries: u32,
    scored: usize,
    any_available: bool,
}

impl Search {
    /// Starts a search for the chat with this hash; `exclude` lists engines on which this request already failed.
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
        let mut data_centres: Vec<_> = (0..pool.by_data_centre().len()).collect();
        data_centres.sort_by_cached_key(order);
        let copies = hint.map_or(&[][..], |h| &h.copies);
        let candidates = copies.iter().filter_map(|copy| {
            let id = Id::of(&copy.engine);
            let engine = pool.member(id)?;
            let start = placer.health.start(id);
            let lost = start != 0 && start != copy.start || placer.cache.has_evicted(id, chat);
            (!lost && cat.engine(engine).id == id).then_some(Candidate { engine, id, cached: copy.tokens })
        });
        let candidates: VecDeque<Candidate> = candidates.collect();
        Self {
            chat,
            copies: candidates.iter().map(|c| (c.id, c.cached)).collect(),
            candidates,
            data_centres: data_centres.into(),
            home,
            seen: excluded.iter().copied().collect(),
            excluded,
            named_tries: 0,
            local_tried: false,
            any_tries: 0,
            scored: 0,
            any_available: false,
        }
    }

    /// Hash of the chat.
    pub fn chat(&self) -> u64 {
        self.chat
    }

    /// Home data centre of the chat, where the search starts.
    pub fn home(&self) -> &Arc<str> {
        &self.home
    }

    /// Whether an engine is excluded because this request already failed on it.
    pub fn excludes(&self, id: Id) -> bool {
        self.excluded.contains(&id)
    }

    /// Number of engines scored so far.
    pub fn scored(&self) -> usize {
        self.scored
    }

    /// Whether the search has found any available engine so far.
    pub fn any_available(&self) -> bool {
        self.any_available
    }

    /// Engine from which to transfer the chat's context to engine `to`, and its number of cached tokens.
    ///
    /// This is the engine with the most cached tokens. Engines that are leaving or at their bound can still export
    /// a context, engines that are down can't.
    pub fn transfer_source(&self, placer: &Placer, pool: &Pool, to: EngineKey) -> Option<(EngineKey, u32)> {
        let (id, tokens) = self.copies.iter().copied().max_by_key(|(_, tokens)| *tokens)?;
        let from = pool.member(id)?;
        (from != to && !placer.health.is_down(id)).then_some((from, tokens))
    }

    /// Returns the reservation to try next; `None` when the search is exhausted.
    ///
    /// A chat whose first choices are all at the bound can't use its cache anyway. An engine owned by this router
    /// at or below the mean then costs no message and balances the load. In a small pool there may be none; the
    /// search then continues and finally accepts any engine within the bound.
    ///
    /// Engines whose owner is unreachable are skipped. If each router counted their load on its own, the routers
    /// together would overload them; their chats lose their cache until the member lists converge.
    pub fn next(&mut self, placer: &mut Placer, cat: &Catalog, pool: &Pool, now: Instant) -> Option<Step> {
        if self.named_tries >= NAMED_TRIES_BEFORE_LOCAL && !self.local_tried {
            self.local_tried = true;
            return Some(Step { owner: None, engine: None, above_mean: false });
        }
        if let Some(step) = self.next_named(placer, cat, pool, now) {
            return Some(step);
        }
        if !self.any_available || self.any_tries >= MAX_ANY_TRIES {
            return None;
        }
        self.any_tries += 1;
        let owner = match self.any_tries {
            1 => None,
            n => Some(self.next_other_owner(placer, n, now)?),
        };
        Some(Step { owner, engine: None, above_mean: true })
    }

    /// Returns the next named engine whose owner is reachable.
    fn next_named(&mut self, placer: &mut Placer, cat: &Catalog, pool: &Pool, now: Instant) -> Option<Step> {
        while self.named_tries < MAX_NAMED_TRIES {
            let candidate = self.next_candidate(placer, cat, pool, now)?;
            let data_centre = &cat.engine(candidate.engine).data_centre;
            let me = placer.me();
            let owner = placer.owner(candidate.id, data_centre).filter(|m| m.id != me).cloned();
            if owner.as_ref().is_some_and(|m| !placer.is_reachable(m.id, now)) {
                continue;
            }
            self.named_tries += 1;
            return Some(Step { owner, engine: Some(candidate), above_mean: candidate.cached > 0 });
        }
        None
    }

    /// Returns the next available engine, first from the hint, then from the ranking of the nearest data centre.
    fn next_candidate(
        &mut self,
        placer: &Placer,
        cat: &Catalog,
        pool: &Pool,
        now: Instant,
    ) -> Option<Candidate> {
        loop {
            while let Some(candidate) = self.candidates.pop_front() {
                if self.seen.insert(candidate.id) && placer.health.is_available(candidate.id, now) {
                    self.any_available = true;
                    return Some(candidate);
                }
            }
            let (_, ranking) = &pool.by_data_centre()[self.data_centres.pop_front()?];
            self.scored += ranking.len();
            let found = ranking.top(self.chat);
            let candidate = |engine| Candidate { engine, id: cat.engine(engine).id, cached: 0 };
            self.candidates.extend(found.iter().map(candidate));
        }
    }

    /// Selects another reachable router of the home region, a different one for each `n`, by rendezvous hashing.
    fn next_other_owner(&self, placer: &Placer, n: u32, now: Instant) -> Option<Member> {
        let members = placer.members();
        let in_region = |m: &&Member| {
            m.id != placer.me()
                && placer.is_reachable(m.id, now)
                && members.distance(&self.home, &m.data_centre) != Distance::OtherRegion
        };
        members.list().iter().filter(in_region).min_by_key(|m| hash((m.id.0, self.chat, n))).cloned()
    }
}
