//! The ways to place a chat: the server's own, and those it is compared with.

use cranberrytally::{
    place::search::{Step, first_owner},
    util::hash,
};
use rand::Rng;

use super::{News, Policy, ReservationId, ReservationRequest, Search, World};

/// Engine, owner of the reservation and its number.
pub(super) type Place = (usize, usize, u64);

impl World {
    pub(super) fn place(&mut self, r: usize, chat: u32, work: u64) -> Option<Place> {
        if matches!(self.policy, Policy::Owners | Policy::Shares) {
            return self.search(r, chat, work);
        }
        for _ in 0..3 {
            let engine = self.choose(r, chat, work)?;
            if self.engines[engine].alive {
                return Some((engine, r, 0));
            }
            self.fail(r, engine);
        }
        self.tally.refused += 1;
        None
    }

    /// A connection that is refused tells this router at once.
    fn fail(&mut self, r: usize, engine: usize) {
        self.tally.failed += 1;
        self.learn(r, engine, News::Down);
    }

    /// Router that the entry answer of `r` names first for a chat.
    pub(super) fn entry(&mut self, r: usize, chat: u32) -> usize {
        let cat = self.routers[r].cat.clone();
        let Ok(pool) = cat.pool("workspace", "model") else { return r };
        let (name, now) = (self.chat_key(chat).to_string(), self.instant());
        let owner = first_owner(&mut self.routers[r].placer, &cat, pool, hash(&*name), now);
        owner.map_or(r, |m| usize::from(m.peer.port()) - 1)
    }

    fn search(&mut self, r: usize, chat: u32, work: u64) -> Option<Place> {
        let cat = self.routers[r].cat.clone();
        let pool = cat.pool("workspace", "model").ok()?;
        let hint = self.chats[chat as usize].hint.take();
        let name = self.chat_key(chat).to_string();
        let now = self.instant();
        let mut search = Search::new(&self.routers[r].placer, &cat, pool, hash(&*name), hint.as_deref(), []);
        self.chats[chat as usize].hint = hint;
        let mut found = None;
        while let Some(step) = search.next(&mut self.routers[r].placer, &cat, pool, now) {
            let Some(place) = self.reserve(r, &step, pool.id, work) else { continue };
            if self.engines[place.0].alive {
                found = Some(place);
                break;
            }
            self.fail(r, place.0);
            self.ended[r][place.1].push((self.routers[r].id, place.2));
            self.release_to(r, place.1);
        }
        self.tally.scored += search.scored() as u64;
        self.tally.refused += u64::from(found.is_none());
        found
    }

    fn reserve(&mut self, r: usize, step: &Step, pool: super::Id, work: u64) -> Option<Place> {
        let owner = step.owner.as_ref().map_or(r, |m| usize::from(m.peer.port()) - 1);
        let router = &mut self.routers[r];
        let number = router.next;
        router.next += 1;
        let reservation = ReservationId { router: router.id, number };
        let req = ReservationRequest {
            reservation,
            engine: step.engine.map(|c| c.id),
            pool,
            work,
            above_mean: step.above_mean,
        };
        self.tally.asks += 1;
        self.tally.messages += if owner == r { 0 } else { 2 };
        let (cat, now) = (self.routers[owner].cat.clone(), self.instant());
        let grant = self.routers[owner].placer.reserve(&cat, &req, now).ok()?;
        Some((self.by_id[&grant.engine], owner, number))
    }

    /// Work of an engine as router `r` sees it: the last report and its own dispatches since.
    fn seen(&self, r: usize, engine: usize, scale: f64) -> f64 {
        (self.report[engine].1 as f64 + self.routers[r].since[engine] as f64 * scale).max(0.0)
    }

    pub(super) fn note_sent(&mut self, r: usize, engine: usize, work: i64) {
        let now = self.now;
        let router = &mut self.routers[r];
        router.since[engine] += work;
        router.log.push_back((now, engine, work));
    }

    /// Engines that router `r` believes in use.
    fn usable(&self, r: usize) -> Vec<usize> {
        let router = &self.routers[r];
        let keys = router.cat.engines().map(|(_, e)| self.by_id[&e.id]);
        keys.filter(|&e| !router.down[e]).collect()
    }

    fn choose(&mut self, r: usize, chat: u32, work: u64) -> Option<usize> {
        let usable = self.usable(r);
        if usable.is_empty() {
            return None;
        }
        match self.policy {
            Policy::RoundRobin => {
                self.routers[r].turn += 1;
                Some(usable[self.routers[r].turn % usable.len()])
            }
            Policy::LeastLoaded => self.least(r, &usable, 1.0),
            Policy::TwoChoices => {
                let pair = [0, 1].map(|_| usable[self.rng.random_range(0..usable.len())]);
                self.least(r, &pair, 1.0)
            }
            Policy::Rendezvous => self.rendezvous(&usable, chat),
            Policy::AllKnowing => self.all_knowing(chat),
            Policy::Scaled => self.scaled(r, &usable, chat, work),
            Policy::Shares | Policy::Owners => None,
        }
    }

    fn least(&self, r: usize, engines: &[usize], scale: f64) -> Option<usize> {
        let key = |&e: &usize| self.seen(r, e, scale);
        engines.iter().copied().min_by(|a, b| key(a).total_cmp(&key(b)))
    }

    fn rendezvous(&self, usable: &[usize], chat: u32) -> Option<usize> {
        let key = self.chat_key(chat);
        usable.iter().copied().max_by_key(|&e| hash((self.engines[e].id.0, key)))
    }

    fn all_knowing(&self, chat: u32) -> Option<usize> {
        let key = self.chat_key(chat);
        let live = |e: &usize| self.engines[*e].alive && self.engines[*e].listed && !self.engines[*e].leaving;
        let copies = self.chats[chat as usize].hint.iter().flat_map(|h| &h.copies);
        let cached = copies
            .map(|c| self.by_id[&cranberrytally::catalog::Id::of(&c.engine)])
            .filter(live)
            .map(|e| (self.engines[e].cache.tokens(key), e))
            .max()
            .filter(|(tokens, _)| *tokens > 0);
        cached
            .map(|(_, e)| e)
            .or_else(|| (0..self.engines.len()).filter(live).min_by_key(|&e| self.engines[e].work))
    }

    /// The bound on own counts: what this router sent since the report stands for what the others sent.
    fn scaled(&mut self, r: usize, usable: &[usize], chat: u32, work: u64) -> Option<usize> {
        let scale = self.routers.len() as f64;
        let total: f64 = usable.iter().map(|&e| self.seen(r, e, scale)).sum();
        let mean = total / usable.len() as f64;
        let bound = f64::from(self.setup.bound_milli) / 1_000.0;
        let limit = (bound * mean).max(mean + work as f64);
        let hinted = self.chats[chat as usize].hint.iter().flat_map(|h| &h.copies);
        let hinted: Vec<_> =
            hinted.map(|c| self.by_id[&cranberrytally::catalog::Id::of(&c.engine)]).collect();
        let first = hinted.into_iter().filter(|e| usable.contains(e)).chain(self.rendezvous(usable, chat));
        let within = |e: &usize| self.seen(r, *e, scale) + work as f64 <= limit;
        first.into_iter().find(within).or_else(|| {
            let pair = [0, 1].map(|_| usable[self.rng.random_range(0..usable.len())]);
            self.least(r, &pair, scale)
        })
    }
}
