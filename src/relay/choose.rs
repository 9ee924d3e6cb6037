//! Which backend servers may get a request, and which of them does.
//!
//! Servers in evacuated data centres get nothing, nor do those that have asked for a pause. Cold ones get requests only where
//! no other has room, within what [`super::warmup`] allows this host.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{
    Relay, State, Wire,
    admission::{Ask, Refused, Work, come_back_late},
    backends::{Backend, BackendKey, Tag},
    health::Survey,
    place::{self, Bound, Candidate, Choice, Placer},
    request::Request,
    run::RETRY_AFTER,
    warmup::{ColdLimit, FEEDERS},
};
use crate::{
    error::ErrorKind,
    schema::fleet::Member,
    util::{Instant, hash, now},
};

/// Other hosts that must keep away from a server before this one does without trying it: one alone may be cut off.
const MANY: u32 = 2;

/// Time after a data centre was taken back in which loads are uneven: those that stood in for it hold its prompt parts.
const UNEVEN: Duration = Duration::from_secs(15);

/// Servers that may get a request of a service.
#[derive(Debug, Default)]
struct Open {
    warm: Vec<BackendKey>,
    cold: Vec<BackendKey>,
    /// Whether some servers get nothing, or little.
    is_short: bool,
}

impl<W: Wire> Relay<W> {
    /// Chooses a server for a request, none of `tried`.
    ///
    /// # Errors
    /// Why there is none.
    pub(crate) fn choose(&self, req: &Request, tried: &[BackendKey]) -> Result<Choice, ErrorKind> {
        let now = now();
        let mut state = self.state();
        let state = &mut *state;
        let limit = state.cold_limit(&req.service);
        let open = state.open(now, &req.service);
        let survey = state.health.survey(now, &open.warm);
        let untried = |keys: &[BackendKey]| keys.iter().copied().filter(|k| !tried.contains(k)).collect();
        let (warm, cold): (Vec<_>, Vec<_>) = (untried(&open.warm), untried(&open.cold));
        let mut candidates = state.candidates(now, &self.cfg.me, &warm, survey);
        if !candidates.iter().any(Candidate::has_room) {
            candidates.extend(state.fed(now, &self.cfg.me, &cold, limit));
        }
        let mut placer = Placer::default().with_bound(self.cfg.bound);
        let uneven = state.taken_back.is_some_and(|at| at + UNEVEN > now);
        if open.is_short || uneven {
            let (mean_of_all, mean_of_open) = (state.mean_load(&req.service), place::mean(&candidates));
            let bound = self.cfg.bound;
            placer = placer.with_limit(match uneven {
                true => bound.after_evacuation(mean_of_all, mean_of_open),
                false => bound.while_short(mean_of_all, mean_of_open),
            });
            keep_below(&mut candidates, Bound::MOST.at(mean_of_all))?;
        }
        let caches = state.routes.as_ref().is_some_and(|r| r.caches_prompts(&req.service));
        let (backends, health) = (&state.backends, &state.health);
        let pauses = |key| health.paused(now, key) || health.asked_pause(now, key).is_some();
        let reaches = |key| caches && backends.get(key).is_some() && !pauses(key);
        let choice = placer.choose(&candidates, &req.parts, &state.holders, reaches, &mut state.rng);
        let choice = choice.ok_or_else(|| state.why_none(now, &req.service, &open))?;
        if let Some(limit) = limit.filter(|_| cold.contains(&choice.key)) {
            state.spend_on_cold(now, choice.key, limit);
        }
        Ok(choice)
    }

    /// When a caller should come back that found no server: those that can be reached again are seen soon, while an evacuation
    /// or a cold start lasts longer than a caller may wait.
    pub(crate) fn back_after(&self, req: &Request, kind: ErrorKind) -> Duration {
        match kind {
            ErrorKind::Paused => {
                let now = now();
                let ends = self.state().pause_ends(now, &req.service);
                ends.map_or(RETRY_AFTER, |ends| ends - now)
            }
            ErrorKind::Evacuated | ErrorKind::WarmingUp | ErrorKind::Overloaded => {
                come_back_late(req.left(now()), self.draw())
            }
            _ => RETRY_AFTER,
        }
    }
}

/// Leaves out servers that hold as much as they may. While some get nothing, all others may: then the request is refused.
fn keep_below(candidates: &mut Vec<Candidate>, most: f64) -> Result<(), ErrorKind> {
    let any = !candidates.is_empty();
    candidates.retain(|c| c.load + 1.0 <= most);
    if any && candidates.is_empty() { Err(ErrorKind::Overloaded) } else { Ok(()) }
}

impl State {
    /// Servers of a service that take work, but for those in evacuated data centres.
    fn in_force(&self, service: &str) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.backends.of(service).filter(|(_, b)| !self.evacuations.covers(&b.data_centre))
    }

    /// Servers of a service that may get something new: none in an evacuated data centre, and none that has asked for a pause.
    pub(crate) fn placeable(
        &self,
        now: Instant,
        service: &str,
    ) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.in_force(service).filter(move |(key, _)| self.health.asked_pause(now, *key).is_none())
    }

    /// When the first of a service's servers that have asked for a pause may get requests again.
    fn pause_ends(&self, now: Instant, service: &str) -> Option<Instant> {
        self.in_force(service).filter_map(|(key, _)| self.health.asked_pause(now, key)).min()
    }

    fn open(&self, now: Instant, service: &str) -> Open {
        let limited = self.cold_limit(service).is_some();
        let mut open = Open::default();
        for (key, b) in self.placeable(now, service) {
            let keys = if limited && self.is_cold(now, b) { &mut open.cold } else { &mut open.warm };
            keys.push(key);
        }
        open.is_short = open.warm.len() < self.backends.of(service).count();
        open
    }

    /// Mean load of the servers of a service, those that get nothing new included.
    fn mean_load(&self, service: &str) -> f64 {
        let loads = self.backends.of(service).map(|(_, b)| self.load(b));
        let (sum, servers) = loads.fold((0, 0), |(sum, n), load| (sum + load, n + 1));
        f64::from(sum) / f64::from(servers.max(1))
    }

    /// Requests in progress at a server, of all hosts, as far as known.
    fn load(&self, b: &Backend) -> u32 {
        b.in_progress + self.peers.load(b.tag)
    }

    fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        self.routes.as_ref()?.cold(service)
    }

    fn is_cold(&self, now: Instant, b: &Backend) -> bool {
        b.cold_until > now || self.warmup.is_doubted(now, b.tag)
    }

    /// Notes that a server may start without a word: it can't be reached, or answers again.
    pub(crate) fn doubt(&mut self, now: Instant, key: BackendKey) {
        let Some((service, tag)) = self.backends.get(key).map(|b| (b.service.clone(), b.tag)) else { return };
        if let Some(limit) = self.cold_limit(&service) {
            self.warmup.doubt(now, tag, limit);
        }
    }

    /// Counts servers as cold from which many hosts keep away: where they have started again, their entries may be late.
    pub(crate) fn doubt_avoided(&mut self, now: Instant, avoided: &[Tag]) {
        for tag in avoided {
            if let Some(key) = self.backends.by_tag(*tag).filter(|_| self.many_avoid(*tag)) {
                self.doubt(now, key);
            }
        }
    }

    fn candidates(&self, now: Instant, me: &Member, keys: &[BackendKey], survey: Survey) -> Vec<Candidate> {
        let candidate = |key: &BackendKey| {
            let b = self.backends.get(*key)?;
            let near = *b.data_centre == *me.data_centre;
            let load = f64::from(self.load(b));
            let unsound = self.many_avoid(b.tag) || self.health.unsound(now, *key, survey);
            Some(Candidate { key: *key, tag: b.tag, near, load, slots: b.slots, unsound })
        };
        keys.iter().filter_map(candidate).collect()
    }

    /// The cold servers to which this host may send a request now.
    fn fed(
        &mut self,
        now: Instant,
        me: &Member,
        cold: &[BackendKey],
        limit: Option<ColdLimit>,
    ) -> Vec<Candidate> {
        let Some(limit) = limit.filter(|_| self.peers.is_settled()) else { return Vec::new() };
        let (backends, peers, warmup) = (&self.backends, &self.peers, &mut self.warmup);
        let may = |key: &BackendKey| {
            let tag = backends.get(*key)?.tag;
            warmup.may_send(now, tag, limit, || peers.is_among_first(tag, FEEDERS)).then_some(*key)
        };
        let fed: Vec<_> = cold.iter().filter_map(may).collect();
        let survey = self.health.survey(now, &fed);
        let candidates = self.candidates(now, me, &fed, survey);
        candidates.into_iter().filter(|c| !c.unsound).collect()
    }

    fn spend_on_cold(&mut self, now: Instant, key: BackendKey, limit: ColdLimit) {
        if let Some(tag) = self.backends.get(key).map(|b| b.tag) {
            self.warmup.sent(now, tag, limit);
        }
    }

    /// Why no server may get a request.
    fn why_none(&self, now: Instant, service: &str, open: &Open) -> ErrorKind {
        let listed = self.backends.of(service).next().is_some();
        match open {
            Open { warm, cold, .. }
                if warm.is_empty() && cold.is_empty() && self.pause_ends(now, service).is_some() =>
            {
                ErrorKind::Paused
            }
            Open { warm, cold, .. } if warm.is_empty() && !cold.is_empty() => ErrorKind::WarmingUp,
            Open { warm, cold, .. } if warm.is_empty() && cold.is_empty() && listed => ErrorKind::Evacuated,
            _ => ErrorKind::NoEngine,
        }
    }

    /// Whether enough other hosts keep away from a server for this one to do so without trying it.
    pub(crate) fn many_avoid(&self, tag: Tag) -> bool {
        self.peers.avoiding(tag) >= MANY
    }

    /// What is in progress at the servers of a service that are not left alone. Lost and cold ones have no places to offer;
    /// where all are cold, theirs are the only ones.
    pub(crate) fn work(&self, now: Instant, service: &Arc<str>) -> Work {
        let open = self.open(now, service);
        let keys = if open.warm.is_empty() { open.cold } else { open.warm };
        let mut work = Work::default();
        for (key, b) in keys.iter().filter_map(|key| Some((*key, self.backends.get(*key)?))) {
            if self.health.paused(now, key) || self.many_avoid(b.tag) {
                continue;
            }
            work.own += b.in_progress;
            work.all += self.load(b);
            work.places += b.slots;
        }
        work
    }

    /// Decides whether a request is sent to its service at all.
    ///
    /// # Errors
    /// When it is not; the caller should come back.
    pub(crate) fn admit(&mut self, now: Instant, req: &Request) -> Result<(), Refused> {
        let ask = Ask {
            route: hash((&req.route.route.name, req.route.route.timeout_ms)),
            rank: req.rank(),
            route_rank: req.route.route.rank,
            objective: req.objective(),
            left: req.left(now),
            work: self.work(now, &req.service),
        };
        let draws = [self.rng.random(), self.rng.random()];
        self.admission.ask(now, &req.service, ask, draws)
    }
}
