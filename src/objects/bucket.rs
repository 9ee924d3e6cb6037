//! Token bucket: limits a rate while allowing short bursts.

use std::time::Duration;

use crate::util::Instant;

/// Token bucket that is refilled at `rate` tokens per second up to `burst`.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
    paused_until: Instant,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` is in tokens per second, `burst` is in tokens and at least 1.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self { rate, burst, tokens: burst, refilled_at: None, paused_until: Instant::ZERO }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until a token is available.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if now < self.paused_until {
            return Err(self.paused_until - now);
        }
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Takes `n` tokens if the bucket has that many; returns whether it did.
    pub fn take_many(&mut self, now: Instant, n: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= n && now >= self.paused_until;
        if enough {
            self.tokens -= n;
        }
        enough
    }

    /// Changes the rate and the burst; tokens above the new burst are discarded.
    pub fn set_rate(&mut self, now: Instant, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Gives out no tokens for the time `wait`, as the server requested.
    pub fn pause(&mut self, now: Instant, wait: Duration) {
        self.paused_until = self.paused_until.max(now + wait);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_sub(self.refilled_at.unwrap_or(now));
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.burst);
    }
}
