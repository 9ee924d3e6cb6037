//! Faults that the stand-in for the platform can be told to show.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{http::Reply, objects::bucket::TokenBucket, util::Instant};

/// What the stand-in shall do wrong.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Faults {
    /// Breaks every connection before a call takes effect.
    pub down: bool,
    /// Milliseconds by which every answer is late.
    pub late_ms: u64,
    /// Share of calls, in thousandths, that are lost before they take effect.
    pub loss_milli: u32,
    /// Number of writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Calls a second of all classes beyond which calls are refused; 0 for no limit.
    pub rate_limit: u32,
    /// Whether changes are sent on no open watch, though its connection lives.
    pub deaf: bool,
    /// Seed of the losses.
    pub seed: u64,
}

/// What shall become of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// Answered.
    Served,
    /// Lost before it takes effect.
    Lost,
    /// Takes effect, but its answer is lost.
    AnswerLost,
    /// Refused for the rate.
    Limited,
}

/// The faults with their random source and what is left of them.
#[derive(Debug)]
pub(super) struct Trouble {
    faults: Faults,
    rng: StdRng,
    bucket: Option<TokenBucket>,
}

impl Default for Trouble {
    fn default() -> Self {
        Self::new(Faults::default())
    }
}

impl Trouble {
    pub(super) fn new(faults: Faults) -> Self {
        let rate = f64::from(faults.rate_limit);
        let bucket = (faults.rate_limit > 0).then(|| TokenBucket::new(rate, rate));
        Self { rng: StdRng::seed_from_u64(faults.seed), bucket, faults }
    }

    pub(super) fn is_deaf(&self) -> bool {
        self.faults.deaf
    }

    pub(super) fn late(&self) -> Duration {
        Duration::from_millis(self.faults.late_ms)
    }

    pub(super) fn draw(&mut self, now: Instant, writes: bool) -> Fate {
        if self.faults.down {
            return Fate::Lost;
        }
        if self.bucket.as_mut().is_some_and(|b| b.take(now).is_err()) {
            return Fate::Limited;
        }
        if self.rng.random_range(0..1000) < self.faults.loss_milli {
            return Fate::Lost;
        }
        if writes && self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Fate::AnswerLost;
        }
        Fate::Served
    }
}

/// A reply whose connection breaks before its end.
pub(super) fn cut() -> Reply {
    let (_, rx) = crate::http::body_channel(1);
    Reply::stream(200, rx)
}
