//! Moves requests from the holders of their prompt parts to other servers before the holders are at the load bound.
//!
//! This answers a workspace that surges: a few prompt parts get most requests, and what hosts know of the load is older
//! than the load takes to double. Hosts that see the same loads and decide alike all stay with a server until each knows
//! that it is at the bound, and then move on to the same next one. Here each request draws whether it moves, the more
//! likely the closer the holder is to the bound, and groups of hosts move on to different servers.

use rand::Rng;

use super::super::{backends::Tag, request::Part};
use crate::util::hash;

/// Position of a server's load between the mean and the bound from which requests move to other servers.
const START: f64 = 0.6;
/// Range below the bound in which requests regard a server as full, as a fraction of the mean load.
const BOUND_RANGE: f64 = 0.25;
/// Number of groups of hosts that move requests for the same part to different servers.
const GROUPS: u64 = 4;

/// How one request leaves servers that are close to the bound.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spill {
    draw: f64,
    bound_draw: f64,
    group: u64,
}

impl Spill {
    /// Draws for one request of a host.
    pub(super) fn draw(host: u64, rng: &mut impl Rng) -> Self {
        Self { draw: rng.random(), bound_draw: rng.random(), group: host % GROUPS }
    }

    /// The bound that this request applies.
    pub(super) fn bound(&self, bound: f64, mean: f64) -> f64 {
        bound - BOUND_RANGE * mean * self.bound_draw
    }

    /// Whether the request moves from a server with this load to a less loaded one.
    pub(super) fn leaves(&self, load: f64, mean: f64, bound: f64) -> bool {
        let position = (load - mean) / (bound - mean).max(1.0);
        self.draw < (position - START) / (1.0 - START)
    }

    /// Rank of a server for a part whose usual servers are all at the bound; the highest gets it.
    pub(super) fn overflow_rank(&self, part: Part, tag: Tag) -> u64 {
        hash((part.id, tag, self.group))
    }
}
