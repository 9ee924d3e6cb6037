//! Chooses a backend server for a request.
//!
//! A request with shared prompt parts goes to a server that has the longest chain of them cached, provided that its
//! load is below a bound. If no server is known to have them, it goes to their home server, which rendezvous
//! hashing gives and which is the same on every host. Other requests go to the least loaded server, preferably in
//! the local data centre.

use std::cmp::Reverse;

use rand::Rng;

use super::{
    backends::{BackendKey, Tag},
    holders::Holders,
    pace,
    prefill::Delays,
    request::Part,
};
use crate::util::hash;

mod spill;

use spill::Spill;

/// Upper bound on a server's load, in requests in progress: a multiple of the mean load plus a constant.
///
/// The limit for the whole fleet is twice the mean plus three. A tighter bound moves prompts to other servers more
/// often; a looser one comes close to the limit while load reports are out of date.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Multiple of the mean load.
    pub factor: f64,
    /// Constant that is added, in requests.
    pub extra: f64,
}

impl Bound {
    /// The highest load of a server relative to the mean of all; leaves a margin to the fleet's limit for load
    /// reports that are out of date.
    pub const MAX: Bound = Bound { factor: 2.0, extra: 2.5 };

    /// The bound while some servers are excluded, as in an evacuated data centre. The mean of all servers then
    /// falls, while the loads of the eligible ones rise towards the limit derived from it. The bound is tightened
    /// with the excess of the eligible servers' mean; from half as much again it lies midway between that mean and
    /// [`Bound::MAX`]. Requests then still spread, and what hosts send at the same time based on the same old
    /// reports stays below the limit.
    pub fn with_servers_excluded(self, mean_of_all: f64, mean_of_eligible: f64) -> f64 {
        let common = self.at(mean_of_all);
        let excess = mean_of_eligible / mean_of_all.max(f64::MIN_POSITIVE) - 1.0;
        let part = (excess / FULL_TIGHTENING_EXCESS).clamp(0.0, 1.0);
        common.min(common + (midpoint_to_max(mean_of_all, mean_of_eligible) - common) * part)
    }

    /// The bound for some time after the end of an evacuation. The servers that stood in for the data centre hold
    /// most prompt parts, so that many of them stay near the bound at once until other servers have cached the
    /// parts too.
    pub fn after_evacuation(self, mean_of_all: f64, mean_of_eligible: f64) -> f64 {
        self.at(mean_of_all).min(midpoint_to_max(mean_of_all, mean_of_eligible))
    }

    /// The bound for a mean load, in requests in progress.
    pub fn at(self, mean: f64) -> f64 {
        self.factor * mean + self.extra
    }
}

/// Midpoint between the mean load of the eligible servers and the maximum derived from the mean of all.
fn midpoint_to_max(mean_of_all: f64, mean_of_eligible: f64) -> f64 {
    (mean_of_eligible + Bound::MAX.at(mean_of_all)) / 2.0
}

impl Default for Bound {
    fn default() -> Self {
        Self { factor: 1.8, extra: 2.5 }
    }
}

/// Excess of the eligible servers' mean load over the mean of all, as a fraction of the latter, at which the bound
/// is fully tightened.
const FULL_TIGHTENING_EXCESS: f64 = 0.5;
/// Load in requests that is added to servers in other data centres when servers are compared.
const REMOTE_PENALTY: f64 = 0.7;
/// Fraction of a server's slots up to which it counts as lightly loaded; no request queues there.
const LIGHT_LOAD_FRACTION: f64 = 0.34;
/// Minimum weight, in free slots, of a server in a weighted draw: a full server may have a free slot before the
/// request arrives.
const MIN_WEIGHT: f64 = 0.5;
/// Requests that a server runs and queues, as a multiple of its slots, while its service is past its capacity.
const QUEUE_FACTOR: f64 = 4.0;
/// Number of servers on which a prompt part is cached before others are used. Once caches are full, each copy
/// evicts another part.
const MAX_COPIES: usize = 3;
/// Occupancy above which requests are spilled to further servers rather than queued.
const MAX_QUEUEING_OCCUPANCY: f64 = 1.25;
/// Number of servers among which a host draws when several are equally loaded. Few keep their connections in use; with
/// more than one, each server is preferred by some host.
const PREFERRED_SERVERS: usize = 2;
/// Load in requests that is added to unhealthy servers when servers are compared.
const UNHEALTHY_PENALTY: f64 = 1_000.0;

/// A backend server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the server.
    pub key: BackendKey,
    /// Tag of the server, which is the input to rendezvous hashing.
    pub tag: Tag,
    /// Whether the server is in this host's data centre.
    pub local: bool,
    /// Requests in progress at the server, of this host and of the others as last reported.
    pub load: f64,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server has failed recently and is avoided while healthy servers are available.
    pub unhealthy: bool,
    /// Delays to expect there; none if the service's servers do not report their pace.
    pub delays: Delays,
}

impl Candidate {
    /// Whether it has a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.load + 1.0 <= f64::from(self.slots)
    }

    /// Whether it is healthy and has a free slot.
    pub fn has_room(&self) -> bool {
        !self.unhealthy && self.has_free_slot()
    }

    /// Requests in progress divided by slots.
    fn occupancy(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }
}

/// Why a server was chosen; a label in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It has shared parts of the prompt cached.
    Holder,
    /// It is the home of the parts by rendezvous hashing.
    Home,
    /// The holders and the home are at the load bound or unhealthy.
    Spilled,
    /// It was chosen by load.
    LeastLoad,
    /// Its first event is expected sooner than that of the server that would be chosen otherwise, or the prompt delays
    /// no streams there.
    Quicker,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; 5] =
        [Reason::Holder, Reason::Home, Reason::Spilled, Reason::LeastLoad, Reason::Quicker];

    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Holder => "holder",
            Reason::Home => "home",
            Reason::Spilled => "spilled",
            Reason::LeastLoad => "least_load",
            Reason::Quicker => "quicker",
        }
    }
}

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Key of the server.
    pub key: BackendKey,
    /// Why it was chosen.
    pub reason: Reason,
    /// Its load when it was chosen, in requests in progress.
    pub load: f64,
    /// The load bound that was applied, in requests in progress.
    pub bound: f64,
    /// Tokens of shared parts that it has cached.
    pub cached_tokens: u32,
    /// Server from which it can fetch shared parts that it has not cached.
    pub fetch_from: Option<BackendKey>,
}

/// Places requests on servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placer {
    bound: Bound,
    limit: Option<f64>,
    host: u64,
    spills_gradually: bool,
    queues: bool,
}

impl Placer {
    /// Sets the identity of this host, on which its preference among equally loaded servers depends.
    pub fn with_host(self, host: u64) -> Self {
        Self { host, ..self }
    }

    /// Sets the load bound relative to the candidates' mean load.
    pub fn with_bound(self, bound: Bound) -> Self {
        Self { bound, ..self }
    }

    /// Sets an absolute load limit, in requests in progress, which replaces the bound.
    pub fn with_limit(self, limit: f64) -> Self {
        Self { limit: Some(limit), ..self }
    }

    /// Sets whether requests leave servers gradually as these get close to the bound, for fleets whose hosts know old loads
    /// of each other.
    pub fn with_gradual_spill(self, spills_gradually: bool) -> Self {
        Self { spills_gradually, ..self }
    }

    /// Sets whether requests may queue at any server, so that those chosen by load are spread over the servers by what is
    /// left of their queues. While a service is past its capacity, known loads are older than a queue takes to fill, and
    /// all hosts would send to the server that last had a free slot.
    pub fn with_queueing(self, queues: bool) -> Self {
        Self { queues, ..self }
    }

    /// Chooses among the candidates; `None` if there are none.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        parts: &[Part],
        holders: &Holders,
        usable: impl Fn(BackendKey) -> bool,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let mean = mean(candidates);
        let bound = self.limit.unwrap_or_else(|| self.bound.at(mean));
        let shared = shared(parts);
        match shared.last() {
            Some(_) => {
                let spill = self.spills_gradually.then(|| Spill::draw(self.host, rng));
                let bound = spill.map_or(bound, |spill| spill.bound(bound, mean));
                let load = Load { mean, bound, spill };
                let usual = choose_by_parts(candidates, shared, holders, &usable, load)?;
                let quicker = pace::quicker(candidates, shared, holders, bound, &usual);
                let quicker = quicker.and_then(|c| {
                    let choice = choose_by_parts(std::slice::from_ref(c), shared, holders, &usable, load)?;
                    let fetch_from = choice.fetch_from.or(usual.fetch_from).filter(|s| *s != c.key);
                    Some(Choice { reason: Reason::Quicker, fetch_from, ..choice })
                });
                Some(quicker.unwrap_or(usual))
            }
            None => {
                let quick = pace::without_slow(candidates, bound);
                let candidates = quick.as_deref().unwrap_or(candidates);
                if self.queues {
                    return draw_by_weight(
                        candidates,
                        bound,
                        |c| f64::from(c.slots) * QUEUE_FACTOR - c.load,
                        rng,
                    );
                }
                choose_by_load(candidates, bound, self.host, rng)
            }
        }
    }
}

/// Mean load of the candidates.
pub fn mean(candidates: &[Candidate]) -> f64 {
    candidates.iter().map(|c| c.load).sum::<f64>() / candidates.len().max(1) as f64
}

/// What a choice knows of the load of all candidates.
#[derive(Clone, Copy, Debug)]
struct Load {
    mean: f64,
    bound: f64,
    spill: Option<Spill>,
}

/// Chooses in this order: a server that has all shared parts cached, the home, one of the few servers that the
/// parts spill to, any server with a free slot, the least loaded one.
fn choose_by_parts(
    candidates: &[Candidate],
    shared: &[Part],
    holders: &Holders,
    usable: impl Fn(BackendKey) -> bool,
    load: Load,
) -> Option<Choice> {
    let last = *shared.last()?;
    let Load { mean, bound, spill: gradual } = load;
    let rank = |c: &&Candidate| hash((last.id, c.tag));
    let home = candidates.iter().max_by_key(rank)?;
    let cached_tokens = |c: &Candidate| holders.tokens(shared, c.key);
    let below_bound = |c: &Candidate| !c.unhealthy && c.load + 1.0 <= bound;
    let has_free_slot = |c: &&Candidate| below_bound(c) && c.has_free_slot();
    let best_holder = holders.best(shared, &usable);
    // If no holder is known, as after a start, the second server in rendezvous order may be the previous home: the
    // server that joined last took its parts over. Asking a server that has nothing cached costs nothing.
    let previous_home = || candidates.iter().filter(|c| c.key != home.key && usable(c.key)).max_by_key(rank);
    let source = best_holder.or_else(|| previous_home().map(|c| c.key));
    let total_tokens: u32 = shared.iter().map(|p| p.tokens).sum();
    let choice = |c: &Candidate, reason| {
        let other = source.filter(|s| *s != c.key).or(Some(home.key)).filter(|s| *s != c.key);
        let fetch_from = other.filter(|s| cached_tokens(c) < total_tokens && usable(*s));
        Choice { key: c.key, reason, load: c.load, bound, cached_tokens: cached_tokens(c), fetch_from }
    };
    let holder = candidates.iter().filter(has_free_slot).filter(|c| cached_tokens(c) == total_tokens);
    if let Some(best) = holder.min_by(|a, b| cost(a).total_cmp(&cost(b))) {
        if gradual.is_some_and(|g| g.leaves(best.load, mean, bound)) {
            let others = top_ranked(candidates, rank).into_iter().filter(|c| cached_tokens(c) < total_tokens);
            let next = others.filter(has_free_slot).min_by(|a, b| cost(a).total_cmp(&cost(b)));
            if let Some(next) = next.filter(|c| c.load < best.load) {
                return Some(choice(next, Reason::Spilled));
            }
        }
        return Some(choice(best, Reason::Holder));
    }
    if has_free_slot(&home) && best_holder.is_none() {
        return Some(choice(home, Reason::Home));
    }
    // Every host spills a part to the same few servers in the same order, so that few servers cache it. If these
    // are full, a short wait there costs less than a further copy, which would evict other parts.
    let copies = top_ranked(candidates, rank);
    let readers =
        copies.iter().copied().chain(candidates.iter().filter(|c| cached_tokens(c) == total_tokens));
    let least_occupied = || {
        let least = readers.filter(|c| below_bound(c)).min_by(|a, b| a.occupancy().total_cmp(&b.occupancy()));
        least.filter(|c| c.occupancy() <= MAX_QUEUEING_OCCUPANCY)
    };
    let spill = copies.iter().copied().find(has_free_slot).or_else(least_occupied);
    let overflow_rank = |c: &&Candidate| gradual.map_or_else(|| rank(c), |g| g.overflow_rank(last, c.tag));
    let spill = spill.or_else(|| candidates.iter().filter(has_free_slot).max_by_key(overflow_rank));
    let least_loaded = || candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
    let chosen = spill.or_else(least_loaded)?;
    let reason = if chosen.key == home.key { Reason::Home } else { Reason::Spilled };
    Some(choice(chosen, reason))
}

/// Position of a server among those of a part: the one with the highest value is the home.
pub(super) fn rendezvous(last: Part, c: &Candidate) -> u64 {
    hash((last.id, c.tag))
}

/// Whether a server is healthy, has a free slot and stays below the load bound with another request.
pub(super) fn has_room_below(c: &Candidate, bound: f64) -> bool {
    c.has_room() && c.load + 1.0 <= bound
}

/// The healthy servers on which a part may be cached, in rendezvous order.
pub(super) fn top_ranked(candidates: &[Candidate], rank: impl Fn(&&Candidate) -> u64) -> Vec<&Candidate> {
    let mut healthy: Vec<_> = candidates.iter().filter(|c| !c.unhealthy).collect();
    if healthy.len() > MAX_COPIES {
        healthy.select_nth_unstable_by_key(MAX_COPIES, |c| Reverse(rank(c)));
        healthy.truncate(MAX_COPIES);
    }
    healthy.sort_unstable_by_key(|c| Reverse(rank(c)));
    healthy
}

/// Prompt parts that other requests share: all but the last, which belongs to the request or its session. A single
/// part counts as shared.
pub fn shared(parts: &[Part]) -> &[Part] {
    match parts {
        [] => &[],
        [one] => std::slice::from_ref(one),
        [shared @ .., _] => shared,
    }
}

/// Load of a server with the penalties that apply to it.
fn cost(c: &Candidate) -> f64 {
    let remote = if c.local { 0.0 } else { REMOTE_PENALTY };
    let unhealthy = if c.unhealthy { UNHEALTHY_PENALTY } else { 0.0 };
    c.load + remote + unhealthy
}

/// Chooses one of the least loaded servers of the local data centre that are lightly loaded; otherwise one at random,
/// weighted by free slots. All hosts see the same, partly outdated loads and would otherwise send to the same
/// server until the next heartbeats.
fn choose_by_load(candidates: &[Candidate], bound: f64, host: u64, rng: &mut impl Rng) -> Option<Choice> {
    let lightly_loaded = |c: &&Candidate| !c.unhealthy && c.load <= f64::from(c.slots) * LIGHT_LOAD_FRACTION;
    let local = candidates.iter().filter(|c| c.local).filter(lightly_loaded);
    if let Some(preferred) = preferred_of_least_loaded(local, host, rng) {
        return Some(chosen_by_load(preferred, bound));
    }
    draw_by_weight(candidates, bound, |c| f64::from(c.slots) - c.load, rng)
}

fn chosen_by_load(c: &Candidate, bound: f64) -> Choice {
    let reason = Reason::LeastLoad;
    Choice { key: c.key, reason, load: c.load, bound, cached_tokens: 0, fetch_from: None }
}

/// Draws one of the healthy servers, or of all if none is healthy, with a probability proportional to its weight.
fn draw_by_weight(
    candidates: &[Candidate],
    bound: f64,
    weight: impl Fn(&Candidate) -> f64,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let any_healthy = candidates.iter().any(|c| !c.unhealthy);
    let drawn = candidates.iter().filter(|c| !any_healthy || !c.unhealthy);
    // The minimum of exponential draws with the weights as rates selects each server with a probability
    // proportional to its weight.
    let drawn =
        drawn.map(|c| (-rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / weight(c).max(MIN_WEIGHT), c));
    drawn.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, c)| chosen_by_load(c, bound))
}

/// One of the few servers that this host prefers among the least loaded ones. The preference is a rendezvous hash, so
/// that each host uses few servers again and again, and all hosts together use all of them.
fn preferred_of_least_loaded<'a>(
    candidates: impl Iterator<Item = &'a Candidate> + Clone,
    host: u64,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let least = candidates.clone().map(|c| c.load).min_by(f64::total_cmp)?;
    let mut preferred: [Option<(u64, &Candidate)>; PREFERRED_SERVERS] = [None; PREFERRED_SERVERS];
    for c in candidates.filter(|c| c.load <= least) {
        let mut next = Some((hash((host, c.tag)), c));
        for place in &mut preferred {
            if place.map(|(rank, _)| rank) < next.map(|(rank, _)| rank) {
                std::mem::swap(place, &mut next);
            }
        }
    }
    let count = preferred.iter().flatten().count();
    preferred[rng.random_range(0..count.max(1))].map(|(_, c)| c)
}
