//! Retry policy: whether a failed request is attempted again, and after which backoff.
//!
//! Attempts are counted per request over all hops: a caller that retries sends back the `x-attempt` header of the
//! last answer, which holds the number of attempts made so far through any router.

use std::time::Duration;

use rand::Rng;

use crate::{
    error::{ErrorKind, Ran},
    util::Instant,
};

pub mod budget;
pub mod cooldown;

pub use budget::RetryBudget;
pub use cooldown::Cooldowns;

/// Why a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// No connection could be made.
    ConnectFailed,
    /// The backend server refused before running the request.
    EngineRefused,
    /// The connection broke after the request may have arrived.
    EngineFailed,
    /// The caller came back after an attempt through this or another router.
    Caller,
}

impl RetryReason {
    /// All reasons.
    pub const ALL: [RetryReason; 4] = [
        RetryReason::ConnectFailed,
        RetryReason::EngineRefused,
        RetryReason::EngineFailed,
        RetryReason::Caller,
    ];

    /// Label value in the retry counter.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::EngineRefused => "engine_refused",
            RetryReason::EngineFailed => "engine_failed",
            RetryReason::Caller => "caller",
        }
    }

    /// Whether the attempt may have run.
    pub fn ran(self) -> Ran {
        match self {
            RetryReason::ConnectFailed | RetryReason::EngineRefused => Ran::No,
            RetryReason::EngineFailed | RetryReason::Caller => Ran::Unknown,
        }
    }

    fn kind(self) -> ErrorKind {
        match self {
            RetryReason::ConnectFailed => ErrorKind::ConnectFailed,
            RetryReason::EngineRefused => ErrorKind::EngineRefused,
            RetryReason::EngineFailed | RetryReason::Caller => ErrorKind::EngineFailed,
        }
    }
}

/// Limits on attempts and backoff.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    max_attempts: u32,
    base_delay: Duration,
    max_delay: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { max_attempts: 3, base_delay: Duration::from_millis(10), max_delay: Duration::from_millis(500) }
    }
}

impl RetryPolicy {
    /// Sets the maximum number of attempts over all hops.
    pub fn with_attempts(self, max_attempts: u32) -> Self {
        Self { max_attempts, ..self }
    }

    /// Sets the maximum backoff before the first retry and before any later one.
    pub fn with_backoff(self, base_delay: Duration, max_delay: Duration) -> Self {
        Self { base_delay, max_delay, ..self }
    }
}

/// Denial of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDenied {
    /// Reason for the denial, as counted in the metrics.
    pub reason: ErrorKind,
    /// Error sent to the caller. It differs from the reason if an earlier attempt may have run, because the answers
    /// for most reasons state that the request did not run.
    pub answer: ErrorKind,
}

/// Attempt counter of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    made: u32,
    idempotent: bool,
    deadline: Instant,
    may_have_run: bool,
}

impl Attempts {
    /// Starts counting for a request that arrives after `made` attempts elsewhere.
    ///
    /// # Errors
    /// When the request is a caller's retry that exceeds the attempt limit or the retry budget.
    pub fn begin(
        policy: &RetryPolicy,
        budget: &mut RetryBudget,
        made: u32,
        idempotent: bool,
        deadline: Instant,
    ) -> Result<Self, ErrorKind> {
        if made == 0 {
            budget.earn();
        } else if made >= policy.max_attempts {
            return Err(ErrorKind::AttemptLimit);
        } else if !budget.spend() {
            return Err(ErrorKind::RetryBudget);
        }
        Ok(Self { made, idempotent, deadline, may_have_run: false })
    }

    /// Number of attempts so far, sent in the `x-attempt` header of the answer.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Counts an attempt at its start.
    pub fn record_start(&mut self) {
        self.made += 1;
    }

    /// Records a failed attempt and returns the backoff before the next one.
    ///
    /// # Errors
    /// When no retry is allowed: some attempt may have run and the request is not idempotent, or the attempt limit,
    /// the deadline or the retry budget is reached.
    pub fn record_failure(
        &mut self,
        policy: &RetryPolicy,
        budget: &mut RetryBudget,
        now: Instant,
        reason: RetryReason,
        rng: &mut impl Rng,
    ) -> Result<Duration, RetryDenied> {
        self.may_have_run |= reason.ran() != Ran::No;
        if self.may_have_run && !self.idempotent {
            return Err(RetryDenied { reason: reason.kind(), answer: ErrorKind::EngineFailed });
        }
        if self.made >= policy.max_attempts {
            return Err(self.denied(ErrorKind::AttemptLimit));
        }
        let delay = backoff(policy, self.made, rng);
        if now + delay >= self.deadline {
            return Err(self.denied(ErrorKind::DeadlinePassed));
        }
        if !budget.spend() {
            return Err(self.denied(ErrorKind::RetryBudget));
        }
        Ok(delay)
    }

    /// Denial for a request that ends with this error, adjusted for earlier attempts that may have run.
    pub fn denied(&self, reason: ErrorKind) -> RetryDenied {
        RetryDenied { reason, answer: if self.may_have_run { ErrorKind::EngineFailed } else { reason } }
    }
}

/// Exponential backoff with jitter, which keeps routers that failed at the same time from retrying in step.
fn backoff(policy: &RetryPolicy, made: u32, rng: &mut impl Rng) -> Duration {
    let max = policy.base_delay.saturating_mul(1 << made.saturating_sub(1).min(16));
    jitter(max.min(policy.max_delay), rng)
}

/// Applies jitter: a random duration between half of `max` and `max`.
pub fn jitter(max: Duration, rng: &mut impl Rng) -> Duration {
    max.mul_f64(rng.random_range(0.5..=1.0))
}
