//! Expected work of a request: its prompt and the output that like requests had.

use super::bound::Work;
use crate::util::{Map, hash};

const BYTES_PER_TOKEN: u64 = 4;
const FIRST_GUESS: f64 = 256.0;
/// Weight of the newest request in the moving mean.
const WEIGHT: f64 = 0.05;
/// Pairs of workspace and model remembered; beyond them the first guess serves.
const MOST: usize = 16_384;

/// Moving means of output tokens, by workspace and model.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    output: Map<u64, f64>,
}

impl Estimator {
    /// Expected tokens of a request with a body of `bytes`, whose answer is limited to `max_tokens`.
    pub fn estimate(&self, workspace: &str, model: &str, bytes: usize, max_tokens: Option<u32>) -> Work {
        let output = self.output.get(&hash((workspace, model))).copied().unwrap_or(FIRST_GUESS);
        let most = max_tokens.map_or(f64::INFINITY, f64::from);
        prompt_tokens(bytes) + output.min(most) as Work
    }

    /// Notes how many tokens an answer had.
    pub fn record(&mut self, workspace: &str, model: &str, tokens: u32) {
        let key = hash((workspace, model));
        if self.output.len() >= MOST && !self.output.contains_key(&key) {
            return;
        }
        let mean = self.output.entry(key).or_insert(FIRST_GUESS);
        *mean += (f64::from(tokens) - *mean) * WEIGHT;
    }
}

/// Tokens of a prompt of this many bytes, roughly.
pub fn prompt_tokens(bytes: usize) -> Work {
    bytes as u64 / BYTES_PER_TOKEN + 1
}
