//! Chooses a quicker server than the present rules of [`super::super::place`] do, within the load bound.

use crate::relay::{
    holders::Holders,
    place::{Candidate, Choice, has_room_below, rendezvous, top_ranked},
    request::Part,
};

/// A server is chosen instead of the usual one if its delay is below this fraction of the other's, less
/// [`MIN_GAIN_MS`]. Prompt parts would otherwise move between servers over differences that are noise.
const GAIN_FACTOR: f64 = 0.8;
const MIN_GAIN_MS: f64 = 5.0;
/// Fraction of the servers that must remain if the slow ones are left out: hosts with the same counts would fill up fewer
/// before they learn of it.
const MIN_QUICK_FRACTION: f64 = 1.0 / 3.0;

/// The candidate that should get a request with these shared parts instead of the usual choice, if any. The holders
/// of all parts and the few servers to which they spill are compared by their expected delays. A prompt whose prefill
/// would hold up streams goes to another server below the bound, the same one on all hosts if possible.
pub fn quicker<'a>(
    candidates: &'a [Candidate],
    shared: &[Part],
    holders: &Holders,
    bound: f64,
    usual: &Choice,
) -> Option<&'a Candidate> {
    let current = candidates.iter().find(|c| c.key == usual.key)?;
    if current.delays.avoidable_ms <= MIN_GAIN_MS && !current.delays.delays_streams {
        return None;
    }
    let last = shared.last()?;
    let total: u32 = shared.iter().map(|p| p.tokens).sum();
    let rank = |c: &&Candidate| rendezvous(*last, c);
    let may_get = |c: &&Candidate| has_room_below(c, bound);
    let holds_all = |c: &&Candidate| holders.tokens(shared, c.key) == total;
    let near = top_ranked(candidates, rank).into_iter();
    let near = near.chain(candidates.iter().filter(may_get).filter(holds_all)).filter(may_get);
    let best = near.min_by(|a, b| order(a).partial_cmp(&order(b)).unwrap_or(std::cmp::Ordering::Equal));
    let best = best.filter(|c| is_quicker(c, current)).unwrap_or(current);
    if !best.delays.delays_streams {
        return (best.key != current.key).then_some(best);
    }
    let harmless = candidates.iter().filter(may_get).filter(|c| !c.delays.delays_streams).max_by_key(rank);
    let least = || {
        candidates
            .iter()
            .filter(may_get)
            .min_by(|a, b| a.delays.first_event_ms.total_cmp(&b.delays.first_event_ms))
    };
    let other = harmless
        .or_else(|| least().filter(|c| c.delays.first_event_ms < best.delays.first_event_ms))
        .unwrap_or(best);
    (other.key != current.key).then_some(other)
}

/// Servers at which a prompt delays streams come last, the quickest first.
fn order(c: &Candidate) -> (bool, f64) {
    (c.delays.delays_streams, c.delays.first_event_ms)
}

/// Whether a candidate is better by more than noise.
fn is_quicker(c: &Candidate, current: &Candidate) -> bool {
    match (c.delays.delays_streams, current.delays.delays_streams) {
        (false, true) => true,
        (true, false) => false,
        _ => c.delays.first_event_ms < current.delays.first_event_ms * GAIN_FACTOR - MIN_GAIN_MS,
    }
}

/// The candidates without those that are slow, for requests that any server may get. All remain if too few of the
/// others have room below the bound.
pub fn without_slow(candidates: &[Candidate], bound: f64) -> Option<Vec<Candidate>> {
    if !candidates.iter().any(|c| c.delays.slow) {
        return None;
    }
    let quick: Vec<_> =
        candidates.iter().filter(|c| !c.delays.slow && has_room_below(c, bound)).copied().collect();
    (quick.len() as f64 >= candidates.len() as f64 * MIN_QUICK_FRACTION).then_some(quick)
}
