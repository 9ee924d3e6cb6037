//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Delays between the attempts of one operation. They double up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    attempts: u32,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `base` and whose later delays are at most `max`.
    pub fn new(base: Duration, max: Duration) -> Self {
        Self { base, max, attempts: 0 }
    }

    /// Returns the delay before the next attempt.
    ///
    /// It is drawn between a quarter and all of the current limit, so that routers that failed at the same time do not
    /// retry at the same time.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let max_delay = self.base.saturating_mul(1 << self.attempts.min(20)).min(self.max);
        self.attempts = self.attempts.saturating_add(1);
        let min_delay = max_delay / 4;
        min_delay + (max_delay - min_delay).mul_f64(rng.random::<f64>())
    }

    /// Restarts from the first delay after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }

    /// Attempts since the last success.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }
}
