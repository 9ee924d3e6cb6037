//! Cost model for the transfer of a cached context between engines.

use std::time::Duration;

/// Costs of transferring a cached context and of recomputing it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferCosts {
    /// Prompt tokens that an engine computes per second.
    pub prefill_tokens_per_s: f64,
    /// Bytes of cached context per token.
    pub bytes_per_token: f64,
    /// Throughput of one transfer in bytes per second.
    pub bytes_per_s: f64,
    /// Fixed time of an export and an import, regardless of size.
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
    /// Time to recompute a context of this many tokens.
    pub fn recompute_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_s)
    }

    /// Time to transfer a context of this many tokens.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        self.setup + Duration::from_secs_f64(f64::from(tokens) * self.bytes_per_token / self.bytes_per_s)
    }

    /// Whether transferring a context of this many tokens takes less time than recomputing it.
    pub fn is_transfer_faster(&self, tokens: u32) -> bool {
        self.transfer_time(tokens) < self.recompute_time(tokens)
    }
}
