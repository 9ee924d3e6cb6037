//! Whether to move a chat's cached context to the engine that it must move to.

use std::time::Duration;

/// What recomputing and moving cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferCosts {
    /// Prompt tokens that an engine computes a second.
    pub prefill_tokens_per_s: f64,
    /// Bytes of cached context a token.
    pub bytes_per_token: f64,
    /// Bytes that one export moves a second.
    pub bytes_per_s: f64,
    /// Time that an export and an import take whatever their size.
    pub setup: Duration,
}

impl Default for TransferCosts {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 8_000.0,
            bytes_per_token: 160_000.0,
            bytes_per_s: 2.5e9,
            setup: Duration::from_millis(20),
        }
    }
}

impl TransferCosts {
    /// Time to recompute a context.
    pub fn recompute_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_s)
    }

    /// Time to move a context.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        self.setup + Duration::from_secs_f64(f64::from(tokens) * self.bytes_per_token / self.bytes_per_s)
    }

    /// Whether moving `tokens` is quicker than computing them again.
    pub fn is_transfer_faster(&self, tokens: u32) -> bool {
        self.transfer_time(tokens) < self.recompute_time(tokens)
    }
}
