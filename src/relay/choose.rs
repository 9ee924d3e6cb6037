//! Selects the backend servers that are eligible for a request, and the one that gets it.
//!
//! Servers in evacuated data centres get no requests, nor do those that have requested a pause. Cold servers get
//! requests only while no other server has a free slot, within the rate that [`super::warmup`] allows this host.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{
    Relay, State, Wire,
    admission::{AdmissionRequest, Refused, ServiceLoad, late_retry_delay},
    backends::{Backend, BackendKey, Tag},
    health::FailureSummary,
    hot_servers,
    place::{self, Bound, Candidate, Choice, Placer},
    prefill::{Delays, Prompt},
    request::Request,
    returns::Moment,
    run::RETRY_AFTER,
    warmup::{COLD_SENDERS, ColdLimit},
};
use crate::{
    error::ErrorKind,
    schema::fleet::Member,
    util::{Instant, hash, now, wall_ms},
};

/// Number of other hosts that must avoid a server before this host avoids it without trying it first; a single host
/// may be partitioned from the server.
const MIN_AVOIDING_HOSTS: u32 = 2;

/// Time after the end of an evacuation during which loads are uneven, because the servers that stood in for the
/// data centre still hold its prompt parts.
const POST_EVACUATION_PERIOD: Duration = Duration::from_secs(15);

/// The servers of a service that are eligible for a request.
#[derive(Debug, Default)]
struct Eligible {
    warm: Vec<BackendKey>,
    cold: Vec<BackendKey>,
    /// Whether some servers of the service get no requests, or few.
    has_exclusions: bool,
}

impl<W: Wire> Relay<W> {
    /// Chooses a server for a request, other than those in `tried`; one of the given `version` if the request goes on with a
    /// stream.
    ///
    /// # Errors
    /// Why no server can be chosen.
    pub(crate) fn choose(
        &self,
        req: &Request,
        tried: &[BackendKey],
        version: Option<&str>,
    ) -> Result<Choice, ErrorKind> {
        let now = now();
        let mut state = self.state();
        let state = &mut *state;
        let limit = state.cold_limit(&req.service);
        let eligible = state.eligible(now, &req.service, version);
        let failure_summary = state.health.failure_summary(now, &eligible.warm);
        let untried = |keys: &[BackendKey]| keys.iter().copied().filter(|k| !tried.contains(k)).collect();
        let (warm, cold): (Vec<_>, Vec<_>) = (untried(&eligible.warm), untried(&eligible.cold));
        let mut candidates = state.candidates(now, &self.cfg.me, &warm, failure_summary);
        if !candidates.iter().any(Candidate::has_room) {
            candidates.extend(state.cold_candidates(now, &self.cfg.me, &cold, limit));
        }
        let mut placer = Placer::default().with_bound(self.cfg.bound).with_host(hash(self.cfg.peer_addr));
        placer = placer.with_gradual_spill(!state.peers.is_small());
        placer = placer.with_queueing(state.admission.limit_of_all(&req.service).is_some());
        state.hot_servers.set_mean(&req.service, place::mean(&candidates));
        let evacuation_ended_recently =
            state.evacuation_ended.is_some_and(|at| at + POST_EVACUATION_PERIOD > now);
        if eligible.has_exclusions || evacuation_ended_recently {
            let (mean_of_all, mean_of_eligible) = (state.mean_load(&req.service), place::mean(&candidates));
            let bound = self.cfg.bound;
            placer = placer.with_limit(match evacuation_ended_recently {
                true => bound.after_evacuation(mean_of_all, mean_of_eligible),
                false => bound.with_servers_excluded(mean_of_all, mean_of_eligible),
            });
            // While some servers are excluded, the load of the others could rise past the fleet's limit.
            let max_load = Bound::MAX.at(mean_of_all);
            retain(&mut candidates, |c| c.load + 1.0 <= max_load)?;
        }
        if state.brittle.is_brittle(now, &req.service) {
            // One that has to turn requests away falls over.
            retain(&mut candidates, Candidate::has_free_slot)?;
        }
        let caches = state.routes.as_ref().is_some_and(|r| r.caches_prompts(&req.service));
        let (backends, health) = (&state.backends, &state.health);
        let is_avoided =
            |key| health.is_backing_off(now, key) || health.requested_pause_end(now, key).is_some();
        let can_fetch_from = |key| caches && backends.get(key).is_some() && !is_avoided(key);
        if self.cfg.places_by_pace {
            let allowed_pause_ms = state.routes.as_ref().and_then(|r| r.shortest_pause_ms(&req.service));
            let prompt = Prompt { service: &req.service, parts: &req.parts, allowed_pause_ms };
            state.prefill.set_delays(now, &state.paces, &state.holders, prompt, &mut candidates);
        }
        let choice = placer.choose(&candidates, &req.parts, &state.holders, can_fetch_from, &mut state.rng);
        let choice = choice.ok_or_else(|| state.no_server_kind(now, &req.service, version, &eligible))?;
        if let Some(limit) = limit.filter(|_| cold.contains(&choice.key)) {
            state.record_cold_request(now, choice.key, limit);
        }
        Ok(choice)
    }

    /// Delay after which a caller that found no server should retry. Servers that become reachable again are
    /// noticed soon, whereas an evacuation, a cold start or a start of all hosts lasts longer than callers wait.
    pub(crate) fn retry_after(&self, req: &Request, kind: ErrorKind) -> Duration {
        match kind {
            ErrorKind::Paused => {
                let now = now();
                let end = self.state().first_pause_end(now, &req.service);
                end.map_or(RETRY_AFTER, |end| end - now)
            }
            _ if self.may_outlast_callers(kind) => late_retry_delay(req.time_left(now()), self.draw()),
            _ => RETRY_AFTER,
        }
    }

    /// Whether the condition behind a refusal may last longer than callers wait.
    fn may_outlast_callers(&self, kind: ErrorKind) -> bool {
        match kind {
            ErrorKind::Evacuated | ErrorKind::WarmingUp | ErrorKind::Overloaded => true,
            // Another server of the version may start, or a host may be reached again that knows the version.
            ErrorKind::StreamVersionGone | ErrorKind::StreamVersionUnknown => true,
            // The whole fleet is starting: a caller that retries at once meets another host that can't serve it.
            ErrorKind::NoEngine => self.lacks_servers_like_all_others(),
            _ => false,
        }
    }

    /// Whether this host has no list of backend servers and knows of no other host that callers may be sent to.
    fn lacks_servers_like_all_others(&self) -> bool {
        let state = self.state();
        !state.backends_listed && state.peers.ready_members(now()).next().is_none()
    }
}

/// Drops servers for which `may_get` is false. If that drops all of them, the service is overloaded.
fn retain(candidates: &mut Vec<Candidate>, may_get: impl Fn(&Candidate) -> bool) -> Result<(), ErrorKind> {
    let had_candidates = !candidates.is_empty();
    candidates.retain(may_get);
    if had_candidates && candidates.is_empty() { Err(ErrorKind::Overloaded) } else { Ok(()) }
}

/// Whether a server runs the given version, if any is given.
pub(super) fn runs(b: &Backend, version: Option<&str>) -> bool {
    version.is_none_or(|version| &*b.version == version)
}

impl State {
    /// Servers of a service that accept work and are not in an evacuated data centre.
    fn not_evacuated(&self, service: &str) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.backends.available(service).filter(|(_, b)| !self.evacuations.contains(&b.data_centre))
    }

    /// Servers of a service that may get new requests: not in an evacuated data centre and not in a pause that they
    /// requested.
    pub(crate) fn accepting(
        &self,
        now: Instant,
        service: &str,
    ) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.not_evacuated(service)
            .filter(move |(key, _)| self.health.requested_pause_end(now, *key).is_none())
    }

    /// Earliest end of the pauses requested by servers of a service.
    fn first_pause_end(&self, now: Instant, service: &str) -> Option<Instant> {
        self.not_evacuated(service).filter_map(|(key, _)| self.health.requested_pause_end(now, key)).min()
    }

    /// The servers of a service that are eligible for a request, warm and cold ones apart; only those of the given `version`,
    /// if any.
    fn eligible(&self, now: Instant, service: &str, version: Option<&str>) -> Eligible {
        let limited = self.cold_limit(service).is_some();
        let mut eligible = Eligible::default();
        for (key, b) in self.accepting(now, service).filter(|(_, b)| runs(b, version)) {
            if version.is_some() && self.may_run_another_version(now, b) {
                continue;
            }
            let keys = if limited && self.is_cold(now, b) { &mut eligible.cold } else { &mut eligible.warm };
            keys.push(key);
        }
        eligible.has_exclusions = eligible.warm.len() < self.backends.available(service).count();
        eligible
    }

    /// Mean load of all servers of a service, including those that are not eligible.
    fn mean_load(&self, service: &str) -> f64 {
        let loads = self.backends.available(service).map(|(_, b)| self.load(b));
        let (sum, servers) = loads.fold((0, 0), |(sum, n), load| (sum + load, n + 1));
        f64::from(sum) / f64::from(servers.max(1))
    }

    /// Requests in progress at a server, of this host and of the others as last reported.
    fn load(&self, b: &Backend) -> u32 {
        b.in_progress + self.peers.remote_load(b.tag)
    }

    /// The same, or what the server has reported lately if that is more.
    fn load_for_placement(&self, now: Instant, b: &Backend) -> u32 {
        hot_servers::load(now, self.load(b), self.measurements.report(now, b.tag))
    }

    /// Whether a server may have started again with another version of several. A host that is cut off from servers cannot
    /// tell a start from its own fault.
    fn may_run_another_version(&self, now: Instant, b: &Backend) -> bool {
        b.may_have_restarted(now) && self.origins.is_mixed(&b.service) && !self.reach.is_cut_off(now)
    }

    fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        self.routes.as_ref()?.cold_limit(service)
    }

    fn is_cold(&self, now: Instant, b: &Backend) -> bool {
        b.cold_until > now || self.warmup.may_have_restarted(now, b.tag)
    }

    /// Treats a server as possibly restarted, and therefore cold: it is unreachable, or answers again after it was.
    pub(crate) fn note_possible_restart(&mut self, now: Instant, key: BackendKey) {
        let Some((service, tag)) = self.backends.get(key).map(|b| (b.service.clone(), b.tag)) else { return };
        self.backends.suspect_restart(now, key);
        if let Some(limit) = self.cold_limit(&service) {
            self.warmup.note_possible_restart(now, tag, limit);
        }
    }

    /// Treats servers that several hosts avoid as cold: if they have restarted, their entries in the store may
    /// arrive late.
    pub(crate) fn treat_avoided_as_cold(&mut self, now: Instant, avoided: &[Tag]) {
        for tag in avoided {
            if let Some(key) = self.backends.by_tag(*tag).filter(|_| self.is_widely_avoided(*tag)) {
                self.note_possible_restart(now, key);
            }
        }
    }

    fn candidates(
        &self,
        now: Instant,
        me: &Member,
        keys: &[BackendKey],
        failure_summary: FailureSummary,
    ) -> Vec<Candidate> {
        let candidate = |key: &BackendKey| {
            let b = self.backends.get(*key)?;
            let local = *b.data_centre == *me.data_centre;
            let load = f64::from(self.load_for_placement(now, b));
            let unhealthy =
                self.is_widely_avoided(b.tag) || self.health.is_unhealthy(now, *key, failure_summary);
            let delays = Delays::default();
            Some(Candidate { key: *key, tag: b.tag, local, load, slots: b.slots, unhealthy, delays })
        };
        keys.iter().filter_map(candidate).collect()
    }

    /// Cold servers to which this host may send a request now.
    fn cold_candidates(
        &mut self,
        now: Instant,
        me: &Member,
        cold: &[BackendKey],
        limit: Option<ColdLimit>,
    ) -> Vec<Candidate> {
        let Some(limit) = limit.filter(|_| self.peers.knows_fleet()) else { return Vec::new() };
        let (backends, peers, warmup) = (&self.backends, &self.peers, &mut self.warmup);
        let allowed = |key: &BackendKey| {
            let tag = backends.get(*key)?.tag;
            warmup.may_send(now, tag, limit, || peers.is_top_ranked(tag, COLD_SENDERS)).then_some(*key)
        };
        let cold_candidates: Vec<_> = cold.iter().filter_map(allowed).collect();
        let failure_summary = self.health.failure_summary(now, &cold_candidates);
        let candidates = self.candidates(now, me, &cold_candidates, failure_summary);
        candidates.into_iter().filter(|c| !c.unhealthy).collect()
    }

    fn record_cold_request(&mut self, now: Instant, key: BackendKey, limit: ColdLimit) {
        if let Some(tag) = self.backends.get(key).map(|b| b.tag) {
            self.warmup.record_send(now, tag, limit);
        }
    }

    /// The error for a request for which no server could be chosen.
    fn no_server_kind(
        &self,
        now: Instant,
        service: &str,
        version: Option<&str>,
        eligible: &Eligible,
    ) -> ErrorKind {
        let mut of_version = self.backends.available(service).filter(|(_, b)| runs(b, version));
        if version.is_some() && of_version.all(|(_, b)| self.may_run_another_version(now, b)) {
            return ErrorKind::StreamVersionGone;
        }
        let listed = self.backends.available(service).next().is_some();
        match eligible {
            Eligible { warm, cold, .. }
                if warm.is_empty() && cold.is_empty() && self.first_pause_end(now, service).is_some() =>
            {
                ErrorKind::Paused
            }
            Eligible { warm, cold, .. } if warm.is_empty() && !cold.is_empty() => ErrorKind::WarmingUp,
            Eligible { warm, cold, .. } if warm.is_empty() && cold.is_empty() && listed => {
                ErrorKind::Evacuated
            }
            _ => ErrorKind::NoEngine,
        }
    }

    /// Whether enough other hosts avoid a server for this host to avoid it without trying.
    pub(crate) fn is_widely_avoided(&self, tag: Tag) -> bool {
        self.peers.avoiding_hosts(tag) >= MIN_AVOIDING_HOSTS
    }

    /// Requests in progress at the usable servers of a service. Unreachable and cold servers have no slots to
    /// offer; if all are cold, their slots are the only ones.
    pub(crate) fn service_load(&self, now: Instant, service: &Arc<str>) -> ServiceLoad {
        let eligible = self.eligible(now, service, None);
        let keys = if eligible.warm.is_empty() { eligible.cold } else { eligible.warm };
        let mut total = ServiceLoad::default();
        for (key, b) in keys.iter().filter_map(|key| Some((*key, self.backends.get(*key)?))) {
            if self.health.is_backing_off(now, key) || self.is_widely_avoided(b.tag) {
                continue;
            }
            total.own += b.in_progress;
            total.all += self.load(b);
            total.slots = total.slots.saturating_add(b.slots);
        }
        total
    }

    /// Decides whether a request is admitted to its service.
    ///
    /// # Errors
    /// If it is refused; the caller should retry.
    pub(crate) fn admit(&mut self, now: Instant, req: &Request) -> Result<(), Refused> {
        let admission_req = AdmissionRequest {
            route: hash((&req.route.route.name, req.route.route.timeout_ms)),
            rank: req.rank(),
            route_rank: req.route.route.rank,
            objective: req.objective(),
            time_left: req.time_left(now),
            load: self.service_load(now, &req.service),
        };
        if !self.admission.reports_load(&req.service) {
            // The limit of such a service follows few results of short requests. Refusing by workspace or return instead of
            // by what this host has just admitted makes it swing.
            let draws = [self.rng.random(), self.rng.random()];
            return self.admission.admit(now, &req.service, admission_req, draws);
        }
        let at = Moment { now, wall_ms: wall_ms(), hosts: self.budget.hosts() };
        let (returns, measurements) = (&mut self.returns, &mut self.measurements);
        let arrival = returns.arrive(at, &req.service, &admission_req, measurements, self.rng.random());
        let draws = [self.rng.random::<f64>() + arrival.advantage, self.rng.random()];
        let from = req.requester();
        let share = |chance| self.shares.chance(now, from, chance);
        let decision = self.admission.admit_by_share(now, &req.service, admission_req, draws, share);
        if decision.is_ok() {
            self.shares.record_admitted(now, from);
        }
        let draw = self.rng.random();
        returns.settle(at, &req.service, &admission_req, arrival, decision, (measurements, draw))
    }
}
