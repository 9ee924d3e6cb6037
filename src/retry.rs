//! Retries: whether a failed attempt may be made again, and after how long.
//!
//! One count of attempts goes with a request over all hops. The caller sends back the `x-attempt` header of
//! the last answer, which tells how many attempts have been made so far, through whichever router.

use std::time::Duration;

use rand::Rng;

use crate::{
    error::{Kind, Ran},
    util::Instant,
};

pub mod budget;
pub mod cooldown;

pub use budget::Budget;
pub use cooldown::Cooldowns;

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No connection could be made.
    ConnectFailed,
    /// The backend server refused before running the request.
    EngineRefused,
    /// The connection broke after the request may have arrived.
    EngineFailed,
    /// The caller came back after an attempt through this or another router.
    Caller,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; 4] =
        [Reason::ConnectFailed, Reason::EngineRefused, Reason::EngineFailed, Reason::Caller];

    /// Label of the counter.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::ConnectFailed => "connect_failed",
            Reason::EngineRefused => "engine_refused",
            Reason::EngineFailed => "engine_failed",
            Reason::Caller => "caller",
        }
    }

    /// What is known about the run of the attempt.
    pub fn ran(self) -> Ran {
        match self {
            Reason::ConnectFailed | Reason::EngineRefused => Ran::No,
            Reason::EngineFailed | Reason::Caller => Ran::Unknown,
        }
    }

    fn kind(self) -> Kind {
        match self {
            Reason::ConnectFailed => Kind::ConnectFailed,
            Reason::EngineRefused => Kind::EngineRefused,
            Reason::EngineFailed | Reason::Caller => Kind::EngineFailed,
        }
    }
}

/// Bounds on retries.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    attempts: u32,
    base: Duration,
    most: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self { attempts: 3, base: Duration::from_millis(10), most: Duration::from_millis(500) }
    }
}

impl Policy {
    /// Sets the attempts in all, over all hops.
    pub fn with_attempts(self, attempts: u32) -> Self {
        Self { attempts, ..self }
    }

    /// Sets the longest back-off before the first retry and before any.
    pub fn with_backoff(self, base: Duration, most: Duration) -> Self {
        Self { base, most, ..self }
    }
}

/// A retry that is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Why there is no further attempt; counted.
    pub reason: Kind,
    /// What the caller is told. Differs from the reason where an earlier attempt may have run, since the
    /// answers of most reasons say "not run".
    pub answer: Kind,
}

/// Attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    made: u32,
    idempotent: bool,
    deadline: Instant,
    touched: bool,
}

impl Attempts {
    /// A request that arrives after `made` attempts elsewhere.
    ///
    /// # Errors
    /// When the caller's retry exceeds the attempt limit or the budget.
    pub fn begin(
        policy: &Policy,
        budget: &mut Budget,
        made: u32,
        idempotent: bool,
        deadline: Instant,
    ) -> Result<Self, Kind> {
        if made == 0 {
            budget.earn();
        } else if made >= policy.attempts {
            return Err(Kind::AttemptLimit);
        } else if !budget.spend() {
            return Err(Kind::RetryBudget);
        }
        Ok(Self { made, idempotent, deadline, touched: false })
    }

    /// Attempts made so far, the value of the answer's `x-attempt` header.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Counts an attempt that starts.
    pub fn record_start(&mut self) {
        self.made += 1;
    }

    /// Decides after a failed attempt: the back-off before the next one, or why there is none.
    ///
    /// # Errors
    /// When the attempt may have run and the request is not idempotent, or a bound is reached.
    pub fn record_failure(
        &mut self,
        policy: &Policy,
        budget: &mut Budget,
        now: Instant,
        reason: Reason,
        rng: &mut impl Rng,
    ) -> Result<Duration, Denied> {
        self.touched |= reason.ran() != Ran::No;
        if self.touched && !self.idempotent {
            return Err(Denied { reason: reason.kind(), answer: Kind::EngineFailed });
        }
        if self.made >= policy.attempts {
            return Err(self.denied(Kind::AttemptLimit));
        }
        let pause = backoff(policy, self.made, rng);
        if now + pause >= self.deadline {
            return Err(self.denied(Kind::DeadlinePassed));
        }
        if !budget.spend() {
            return Err(self.denied(Kind::RetryBudget));
        }
        Ok(pause)
    }

    /// The answer for a request that ends with a refusal of this kind.
    pub fn denied(&self, reason: Kind) -> Denied {
        Denied { reason, answer: if self.touched { Kind::EngineFailed } else { reason } }
    }
}

/// Random pause, its range doubling with each attempt: routers that failed together don't retry together.
fn backoff(policy: &Policy, made: u32, rng: &mut impl Rng) -> Duration {
    let doubled = policy.base.saturating_mul(1 << made.saturating_sub(1).min(16));
    jitter(doubled.min(policy.most), rng)
}

/// Random part of `most`, at least half of it.
pub fn jitter(most: Duration, rng: &mut impl Rng) -> Duration {
    most.mul_f64(rng.random_range(0.5..=1.0))
}
