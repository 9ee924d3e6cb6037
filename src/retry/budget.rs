//! The budget of retries: a share of fresh requests.

const MILLI: u64 = 1000;

/// Tokens that fresh requests earn and retries spend.
///
/// When a third of the fleet fails, every request would be tried again, and the retries would load the rest
/// until it fails too. Extra attempts stay below `ratio` times the fresh requests plus the burst.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    milli: u64,
    ratio_milli: u64,
    burst_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(0.1, 10)
    }
}

impl Budget {
    /// Budget that starts with `burst` retries, the most it ever holds, and earns `ratio` a fresh request.
    pub fn new(ratio: f64, burst: u32) -> Self {
        let burst_milli = u64::from(burst) * MILLI;
        Self { milli: burst_milli, ratio_milli: (ratio * MILLI as f64) as u64, burst_milli }
    }

    /// Notes a fresh request.
    pub fn earn(&mut self) {
        self.milli = (self.milli + self.ratio_milli).min(self.burst_milli);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let left = self.milli.checked_sub(MILLI);
        self.milli = left.unwrap_or(self.milli);
        left.is_some()
    }
}
