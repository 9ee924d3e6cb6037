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

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    helped: f64,
    made: f64,
    at: Instant,
}

impl Outcomes {
    fn decay(&mut self, now: Instant) {
        let kept = decay(now.saturating_sub(self.at), HALF_LIFE);
        (self.helped, self.made, self.at) = (self.helped * kept, self.made * kept, now);
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
        outcomes.helped += f64::from(u8::from(helped));
    }

    /// Decides whether a request is repeated; `draw` is a random number in `0..1`.
    pub fn decide(&mut self, now: Instant, route: &str, draw: f64) -> Repeat {
        let Some(outcomes) = self.routes.get_mut(route) else { return Repeat::Useful };
        outcomes.decay(now);
        if outcomes.made < MIN_WEIGHT || outcomes.helped >= MIN_SUCCESS * outcomes.made {
            return Repeat::Useful;
        }
        if draw < PROBED_FRACTION { Repeat::Probe } else { Repeat::Useless }
    }
}
