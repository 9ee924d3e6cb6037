//! Estimates the work of a request from its size and the output lengths of similar requests.

use super::bound::Work;
use crate::util::{Map, hash};

const BYTES_PER_TOKEN: u64 = 4;
/// Expected output of a workspace and model without recorded answers.
const DEFAULT_OUTPUT_TOKENS: f64 = 256.0;
/// Weight of the newest answer in the exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.05;
/// Maximum number of tracked pairs of workspace and model; others get [`DEFAULT_OUTPUT_TOKENS`].
const MAX_ENTRIES: usize = 16_384;

/// Moving averages of output tokens, by workspace and model.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    output_means: Map<u64, f64>,
}

impl Estimator {
    /// Estimates the work of a request with a body of `bytes` and an answer of at most `max_tokens`.
    pub fn estimate(&self, workspace: &str, model: &str, bytes: usize, max_tokens: Option<u32>) -> Work {
        let output =
            self.output_means.get(&hash((workspace, model))).copied().unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let limit = max_tokens.map_or(f64::INFINITY, f64::from);
        prompt_tokens(bytes) + output.min(limit) as Work
    }

    /// Records the number of tokens of an answer.
    pub fn record(&mut self, workspace: &str, model: &str, tokens: u32) {
        let key = hash((workspace, model));
        if self.output_means.len() >= MAX_ENTRIES && !self.output_means.contains_key(&key) {
            return;
        }
        let mean = self.output_means.entry(key).or_insert(DEFAULT_OUTPUT_TOKENS);
        *mean += (f64::from(tokens) - *mean) * EWMA_WEIGHT;
    }
}

/// Approximate number of tokens in a prompt of this many bytes.
pub fn prompt_tokens(bytes: usize) -> Work {
    bytes as u64 / BYTES_PER_TOKEN + 1
}
