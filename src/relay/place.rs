//! Chooses a backend server for one request.
//!
//! Requests with prompt parts go where the longest chain of their shared parts has been read, as long as the load
//! there stays under the bound; without a known holder, to the part's place by rendezvous, the same on every host.
//! All others go to the least loaded server, preferring the own data centre.

use std::cmp::Reverse;

use rand::Rng;

use super::{
    backends::{BackendKey, Tag},
    holders::Holders,
    request::Part,
};
use crate::util::hash;

/// Load bound as a multiple of the mean load and a constant, in requests in progress.
///
/// The fleet's limit is twice the mean and three more. A tighter bound moves prompts more often, a looser one comes near the
/// limit while views lag.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Multiple of the mean.
    pub factor: f64,
    /// Constant.
    pub extra: f64,
}

impl Bound {
    /// The most that an engine may hold of the mean of all, with room for views that lag.
    pub const MAX: Bound = Bound { factor: 2.0, extra: 2.5 };

    /// The bound where some servers get nothing new, as in an evacuated data centre: the mean of all falls with theirs while
    /// the others' loads rise towards what it allows. With half as much again at the others it is halfway between these loads
    /// and that: requests still spread, and what hosts send at once on the same old view stays below the limit.
    pub fn with_servers_excluded(self, mean_of_all: f64, mean_of_open: f64) -> f64 {
        let common = self.at(mean_of_all);
        let excess = mean_of_open / mean_of_all.max(f64::MIN_POSITIVE) - 1.0;
        let part = (excess / SHORT_EXCESS).clamp(0.0, 1.0);
        common.min(common + (halfway(mean_of_all, mean_of_open) - common) * part)
    }

    /// The bound for a while after a data centre was taken back: those that stood in for it hold most parts and stay near the
    /// bound, many at a time, until others have read them too.
    pub fn after_evacuation(self, mean_of_all: f64, mean_of_open: f64) -> f64 {
        self.at(mean_of_all).min(halfway(mean_of_all, mean_of_open))
    }

    /// Requests in progress at this mean load.
    pub fn at(self, mean: f64) -> f64 {
        self.factor * mean + self.extra
    }
}

/// Halfway between the loads of the open servers and the most that the mean of all allows.
fn halfway(mean_of_all: f64, mean_of_open: f64) -> f64 {
    (mean_of_open + Bound::MAX.at(mean_of_all)) / 2.0
}

impl Default for Bound {
    fn default() -> Self {
        Self { factor: 1.8, extra: 2.5 }
    }
}

/// Load of the open servers above the mean of all, as a part of it, from which the bound keeps away from the limit in full.
const SHORT_EXCESS: f64 = 0.5;
/// Load in requests that a server in another data centre must be below one in the own to be preferred.
const CROSS_PENALTY: f64 = 0.7;
/// Part of a server's places up to which it counts as mostly free; no request waits there.
const MOSTLY_FREE: f64 = 0.34;
/// Free places that a full server counts as having: it may have some again before a request arrives.
const LEAST_WEIGHT: f64 = 0.5;
/// Servers at which a part is read before it is read elsewhere: past the capacity each copy takes the place of another part.
const MOST_COPIES: usize = 3;
/// Load against places from which a part is read at further servers.
const CROWDED: f64 = 1.25;
/// Load in requests that an unsound server counts as having more.
const UNSOUND_PENALTY: f64 = 1_000.0;

/// A backend server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: BackendKey,
    /// Its tag, on which rendezvous hashing works.
    pub tag: Tag,
    /// Whether it stands in the own data centre.
    pub local: bool,
    /// Requests in progress there, of all hosts, as far as known.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it fails lately and is left alone if others can do the work.
    pub unhealthy: bool,
}

impl Candidate {
    /// Whether it takes one more request without letting it wait.
    pub fn has_room(&self) -> bool {
        !self.unhealthy && self.load + 1.0 <= f64::from(self.slots)
    }

    /// Load against places.
    fn fullness(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }
}

/// Why a server was chosen; a label in logs and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It holds shared parts of the prompt.
    Holder,
    /// It is the parts' place by rendezvous.
    Home,
    /// The holders and the home are at the load bound, or unsound.
    Spilled,
    /// It has the least load.
    LeastLoad,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; 4] = [Reason::Holder, Reason::Home, Reason::Spilled, Reason::LeastLoad];

    /// Name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Holder => "holder",
            Reason::Home => "home",
            Reason::Spilled => "spilled",
            Reason::LeastLoad => "least_load",
        }
    }
}

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub key: BackendKey,
    /// Why.
    pub reason: Reason,
    /// Its load when it was chosen, in requests in progress.
    pub load: f64,
    /// The bound that held, in requests in progress.
    pub bound: f64,
    /// Tokens of shared parts that it has read.
    pub cached_tokens: u32,
    /// Server from which it can fetch shared parts that it has not read.
    pub fetch_from: Option<BackendKey>,
}

/// Places requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placer {
    bound: Bound,
    limit: Option<f64>,
}

impl Placer {
    /// Sets the load bound.
    pub fn with_bound(self, bound: Bound) -> Self {
        Self { bound, ..self }
    }

    /// Sets the load up to which servers are used, in requests in progress, in place of the bound on the candidates' mean.
    pub fn with_limit(self, limit: f64) -> Self {
        Self { limit: Some(limit), ..self }
    }

    /// Chooses among the candidates; `None` where there are none.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        parts: &[Part],
        holders: &Holders,
        usable: impl Fn(BackendKey) -> bool,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let bound = self.limit.unwrap_or_else(|| self.bound.at(mean(candidates)));
        let shared = shared(parts);
        match shared.last() {
            Some(last) => by_parts(candidates, shared, *last, holders, usable, bound),
            None => least_load(candidates, bound, rng),
        }
    }
}

/// Mean load of some servers.
pub fn mean(candidates: &[Candidate]) -> f64 {
    candidates.iter().map(|c| c.load).sum::<f64>() / candidates.len().max(1) as f64
}

fn by_parts(
    candidates: &[Candidate],
    shared: &[Part],
    last: Part,
    holders: &Holders,
    usable: impl Fn(BackendKey) -> bool,
    bound: f64,
) -> Option<Choice> {
    let rank = |c: &&Candidate| hash((last.id, c.tag));
    let home = candidates.iter().max_by_key(rank)?;
    let held = |c: &Candidate| holders.tokens(shared, c.key);
    let bounded = |c: &Candidate| !c.unhealthy && c.load + 1.0 <= bound;
    let open = |c: &&Candidate| bounded(c) && c.load + 1.0 <= f64::from(c.slots);
    let known = holders.best(shared, &usable);
    // Where no holder is known, as after a start, the next place by rendezvous may be the home of before: the last
    // server to join took over its parts. Asking a server that holds nothing costs nothing.
    let before = || candidates.iter().filter(|c| c.key != home.key && usable(c.key)).max_by_key(rank);
    let source = known.or_else(|| before().map(|c| c.key));
    let whole: u32 = shared.iter().map(|p| p.tokens).sum();
    let choice = |c: &Candidate, reason| {
        let other = source.filter(|s| *s != c.key).or(Some(home.key)).filter(|s| *s != c.key);
        let fetch_from = other.filter(|s| held(c) < whole && usable(*s));
        Choice { key: c.key, reason, load: c.load, bound, cached_tokens: held(c), fetch_from }
    };
    let holder = candidates.iter().filter(open).filter(|c| held(c) == whole);
    if let Some(best) = holder.min_by(|a, b| cost(a).total_cmp(&cost(b))) {
        return Some(choice(best, Reason::Holder));
    }
    if open(&home) && known.is_none() {
        return Some(choice(home, Reason::Home));
    }
    // Every host spills a part to the same few servers in the same order, so that it is read at few of them. Where these
    // are full, a short wait there costs less than one more copy, which takes the place of others.
    let copies = first_by(candidates, rank);
    let readers = copies.iter().copied().chain(candidates.iter().filter(|c| held(c) == whole));
    let crowded = || {
        let emptiest = readers.filter(|c| bounded(c)).min_by(|a, b| a.fullness().total_cmp(&b.fullness()));
        emptiest.filter(|c| c.fullness() <= CROWDED)
    };
    let spill = copies.iter().copied().find(open).or_else(crowded);
    let spill = spill.or_else(|| candidates.iter().filter(open).max_by_key(rank));
    let least = || candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
    let chosen = spill.or_else(least)?;
    let reason = if chosen.key == home.key { Reason::Home } else { Reason::Spilled };
    Some(choice(chosen, reason))
}

/// The sound servers at which a part may be read, in the order of their rank.
fn first_by(candidates: &[Candidate], rank: impl Fn(&&Candidate) -> u64) -> Vec<&Candidate> {
    let mut sound: Vec<_> = candidates.iter().filter(|c| !c.unhealthy).collect();
    if sound.len() > MOST_COPIES {
        sound.select_nth_unstable_by_key(MOST_COPIES, |c| Reverse(rank(c)));
        sound.truncate(MOST_COPIES);
    }
    sound.sort_unstable_by_key(|c| Reverse(rank(c)));
    sound
}

/// Parts that other requests share: all but the last, which is the request's or its session's own.
pub fn shared(parts: &[Part]) -> &[Part] {
    match parts {
        [] => &[],
        [one] => std::slice::from_ref(one),
        [shared @ .., _] => shared,
    }
}

fn cost(c: &Candidate) -> f64 {
    let far = if c.local { 0.0 } else { CROSS_PENALTY };
    let unhealthy = if c.unhealthy { UNSOUND_PENALTY } else { 0.0 };
    c.load + far + unhealthy
}

/// The least loaded server of the own data centre while it is mostly free, else one drawn by free places: all hosts see
/// the same loads, some of them old, and would otherwise send to the same server until the next beats.
fn least_load(candidates: &[Candidate], bound: f64, rng: &mut impl Rng) -> Option<Choice> {
    let choice = |c: &Candidate| Choice {
        key: c.key,
        reason: Reason::LeastLoad,
        load: c.load,
        bound,
        cached_tokens: 0,
        fetch_from: None,
    };
    let free = |c: &&Candidate| !c.unhealthy && c.load <= f64::from(c.slots) * MOSTLY_FREE;
    let local = candidates.iter().filter(|c| c.local).filter(free);
    if let Some(local) = local.min_by(|a, b| a.load.total_cmp(&b.load)) {
        return Some(choice(local));
    }
    let sound = candidates.iter().any(|c| !c.unhealthy);
    let drawn = candidates.iter().filter(|c| !sound || !c.unhealthy);
    let weight = |c: &Candidate| (f64::from(c.slots) - c.load).max(LEAST_WEIGHT);
    // The lowest of exponential draws, each at the rate of its weight, falls to each with a chance by weight.
    let drawn = drawn.map(|c| (-rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / weight(c), c));
    drawn.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, c)| choice(c))
}
