//! Decides whether a request is repeated after an error of the server itself.
//!
//! The load that this answers: some requests fail at every server, because of what they ask for or because all
//! servers lack the same thing. Repeating them only takes capacity and retry budget from others. Repeats are
//! therefore made only where the latest ones on the route have helped, and once in a while to find out.

use std::{sync::Arc, time::Duration};

use crate::util::{Instant, Map, decay};

/// Half-life of what is known of repeats; servers that were broken are often back within it.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight of the repeats from which on their success rate says something.
const MIN_WEIGHT: f64 = 2.0;
/// Fraction of the latest repeats that must have helped.
const MIN_SUCCESS: f64 = 0.5;
/// Fraction of errors that are repeated where repeats don't help, so that a change is noticed.
const PROBED_FRACTION: f64 = 0.1;
/// Maximum number of routes; what is known of the others is forgotten.
const MAX_ROUTES: usize = 1_024;

/// Decision on a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Repeats help, or little is known of them.
    Useful,
    /// Repeats don't help; this one is made to find out whether they do again.
    Probe,
    /// Repeats don't help.
    Useless,
}

/// Decaying numbers of repeats, in units of a [`Tally::SCALE`]th.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Repeats that were made.
    pub made: u32,
    /// Those whose response was an error as well, or that had none.
    pub failed: u32,
}

impl Tally {
    /// Units of a repeat.
    pub const SCALE: f64 = 16.0;
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    made: f64,
    failed: f64,
    at: Instant,
}

impl Outcomes {
    fn decay(&mut self, now: Instant) {
        let kept = decay(now.saturating_sub(self.at), HALF_LIFE);
        (self.made, self.failed, self.at) = (self.made * kept, self.failed * kept, now);
    }

    fn tally(self) -> Tally {
        let units = |n: f64| (n * Tally::SCALE) as u32;
        Tally { made: units(self.made), failed: units(self.failed) }
    }
}

/// What became of the latest repeats, by route.
#[derive(Clone, Debug, Default)]
pub struct Repeats {
    routes: Map<Arc<str>, Outcomes>,
}

impl Repeats {
    /// Records whether a repeat after an error had an answer other than an error.
    pub fn record(&mut self, now: Instant, route: &str, helped: bool) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let outcomes = self.routes.entry(route.into()).or_default();
        outcomes.decay(now);
        outcomes.made += 1.0;
        outcomes.failed += f64::from(u8::from(!helped));
    }

    /// Repeats of this host, by route. Those of routes without recent ones are zero, and no longer returned after.
    pub fn tallies(&mut self, now: Instant) -> Vec<(Arc<str>, Tally)> {
        self.routes.values_mut().for_each(|outcomes| outcomes.decay(now));
        let tallies = self.routes.iter().map(|(route, outcomes)| (route.clone(), outcomes.tally())).collect();
        self.routes.retain(|_, outcomes| outcomes.tally().made > 0);
        tallies
    }

    /// Decides whether a request is repeated, by the repeats of this host and of the others; `draw` is a random number
    /// in `0..1`.
    pub fn decide(&mut self, now: Instant, route: &str, others: Tally, draw: f64) -> Repeat {
        let mut own = self.routes.get(route).copied().unwrap_or_default();
        own.decay(now);
        let others = Tally { failed: others.failed.min(others.made), ..others };
        let made = own.made + f64::from(others.made) / Tally::SCALE;
        let failed = own.failed + f64::from(others.failed) / Tally::SCALE;
        if made < MIN_WEIGHT || failed <= (1.0 - MIN_SUCCESS) * made {
            return Repeat::Useful;
        }
        if draw < PROBED_FRACTION { Repeat::Probe } else { Repeat::Useless }
    }
}
