//! Back-off between tries: doubles up to a limit, with full jitter.

use std::time::Duration;

use rand::Rng;

/// Waits between tries of the same thing.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    tries: u32,
}

impl Backoff {
    /// First wait at most `base`, no wait longer than `max`.
    pub fn new(base: Duration, max: Duration) -> Self {
        Self { base, max, tries: 0 }
    }

    /// Wait before the next try.
    ///
    /// Drawn from the whole range, so that routers that failed together don't come back together.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let limit = self.base.saturating_mul(1 << self.tries.min(20)).min(self.max);
        self.tries = self.tries.saturating_add(1);
        let least = limit / 4;
        least + (limit - least).mul_f64(rng.random::<f64>())
    }

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }

    /// Tries since the last success.
    pub fn tries(&self) -> u32 {
        self.tries
    }
}
