//! Retry budget: limits retries to a fraction of first attempts.

/// Cost of one retry, in thousandths of a retry.
const MILLI_PER_RETRY: u64 = 1000;

/// Token bucket that new requests fill and retries drain.
///
/// Without it, the failure of a third of the fleet would cause retries of every request and overload the remaining
/// engines until they fail too. Retries stay below `ratio` times the new requests, plus the burst.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens_milli: u64,
    ratio_milli: u64,
    burst_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 10)
    }
}

impl RetryBudget {
    /// Creates a budget that starts at its maximum of `burst` retries and earns `ratio` retries per new request.
    pub fn new(ratio: f64, burst: u32) -> Self {
        let burst_milli = u64::from(burst) * MILLI_PER_RETRY;
        Self { tokens_milli: burst_milli, ratio_milli: (ratio * MILLI_PER_RETRY as f64) as u64, burst_milli }
    }

    /// Records a new request.
    pub fn earn(&mut self) {
        self.tokens_milli = (self.tokens_milli + self.ratio_milli).min(self.burst_milli);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let left = self.tokens_milli.checked_sub(MILLI_PER_RETRY);
        self.tokens_milli = left.unwrap_or(self.tokens_milli);
        left.is_some()
    }
}
