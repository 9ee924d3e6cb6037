//! Injected faults of the stand-in for the platform.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{http::Reply, objects::bucket::TokenBucket, util::Instant};

/// Faults to inject; none by default.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Faults {
    /// Breaks the connection of every call before the call takes effect.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub late_ms: u64,
    /// Fraction of calls that are lost before they take effect, in thousandths.
    pub loss_milli: u32,
    /// Number of next writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Limit of calls per second, over all classes of calls; further calls are rejected; 0 for no limit.
    pub rate_limit: u32,
    /// Whether open watches stay connected but receive no events.
    pub deaf: bool,
    /// Seed of the random losses.
    pub seed: u64,
}

/// Simulated outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// The call is processed and answered.
    Answered,
    /// The call is lost before it takes effect.
    Lost,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is rejected by the rate limit.
    RateLimited,
}

/// Configured faults with the remaining counts, the rate limiter and the random generator.
#[derive(Debug)]
pub(super) struct FaultState {
    faults: Faults,
    rng: StdRng,
    bucket: Option<TokenBucket>,
}

impl Default for FaultState {
    fn default() -> Self {
        Self::new(Faults::default())
    }
}

impl FaultState {
    pub(super) fn new(faults: Faults) -> Self {
        let rate = f64::from(faults.rate_limit);
        let bucket = (faults.rate_limit > 0).then(|| TokenBucket::new(rate, rate));
        Self { rng: StdRng::seed_from_u64(faults.seed), bucket, faults }
    }

    pub(super) fn drops_events(&self) -> bool {
        self.faults.deaf
    }

    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.late_ms)
    }

    /// Decides the outcome of a call.
    pub(super) fn decide(&mut self, now: Instant, writes: bool) -> CallOutcome {
        if self.faults.down {
            return CallOutcome::Lost;
        }
        if self.bucket.as_mut().is_some_and(|b| b.take(now).is_err()) {
            return CallOutcome::RateLimited;
        }
        if self.rng.random_range(0..1000) < self.faults.loss_milli {
            return CallOutcome::Lost;
        }
        if writes && self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return CallOutcome::AnswerLost;
        }
        CallOutcome::Answered
    }
}

/// Reply whose connection breaks before the end of the body.
pub(super) fn broken_reply() -> Reply {
    let (_, rx) = crate::http::body_channel(1);
    Reply::stream(200, rx)
}
