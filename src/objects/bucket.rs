//! Token bucket: holds calls to a rate without refusing short bursts.

use std::time::Duration;

use crate::util::Instant;

/// Bucket that fills at `rate` tokens a second up to `burst`.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    seen: Option<Instant>,
    closed_until: Instant,
}

impl TokenBucket {
    /// Full bucket; `rate` in tokens a second, `burst` in tokens, at least one.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self { rate, burst, tokens: burst, seen: None, closed_until: Instant::ZERO }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// How long to wait before the next try.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        if now < self.closed_until {
            return Err(self.closed_until - now);
        }
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Takes `n` tokens if there are as many.
    pub fn take_many(&mut self, now: Instant, n: f64) -> bool {
        self.fill(now);
        let enough = self.tokens >= n && now >= self.closed_until;
        if enough {
            self.tokens -= n;
        }
        enough
    }

    /// Changes the rate and the burst; tokens beyond the new burst are lost.
    pub fn set_rate(&mut self, now: Instant, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Gives out nothing until `wait` has passed, as the other side asked.
    pub fn pause(&mut self, now: Instant, wait: Duration) {
        self.closed_until = self.closed_until.max(now + wait);
    }

    fn fill(&mut self, now: Instant) {
        let since = now.saturating_sub(self.seen.unwrap_or(now));
        self.seen = Some(now);
        self.tokens = (self.tokens + self.rate * since.as_secs_f64()).min(self.burst);
    }
}
