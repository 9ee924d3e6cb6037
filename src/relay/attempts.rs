//! How an attempt at a backend server failed, and whether the request may be sent again.

use crate::{error::Ran, util::Instant};

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection was established.
    Connect,
    /// The connection was closed before the request was written.
    Unsent,
    /// The backend server states that it did not run the request.
    Refused,
    /// A different backend server answers at the address.
    Moved,
    /// The connection broke after the request was written.
    Broken,
    /// The answer belongs to another request or violates the protocol.
    Garbled,
    /// The answer, its head or an event of it is longer than a host accepts.
    TooLong,
    /// Bytes sent to the backend server were not acknowledged: its machine or the path to it is down.
    Silent,
    /// The deadline of the request passed first, which says nothing about the backend server.
    Late,
    /// The backend server itself answered with an error.
    Errored,
}

impl Failure {
    /// All failures.
    pub const ALL: [Failure; 10] = [
        Failure::Connect,
        Failure::Unsent,
        Failure::Refused,
        Failure::Moved,
        Failure::Broken,
        Failure::Garbled,
        Failure::TooLong,
        Failure::Silent,
        Failure::Late,
        Failure::Errored,
    ];

    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::Connect => "connect",
            Failure::Unsent => "unsent",
            Failure::Refused => "refused",
            Failure::Moved => "moved",
            Failure::Broken => "broken",
            Failure::Garbled => "garbled",
            Failure::TooLong => "too_long",
            Failure::Silent => "silent",
            Failure::Late => "late",
            Failure::Errored => "errored",
        }
    }

    /// Whether the request has run. It provably has not if it was not written, or if a backend server says so.
    pub fn ran(self) -> Ran {
        match self {
            Failure::Connect | Failure::Unsent | Failure::Refused | Failure::Moved => Ran::No,
            Failure::Broken | Failure::Garbled | Failure::TooLong | Failure::Silent | Failure::Late => {
                Ran::Unknown
            }
            Failure::Errored => Ran::Yes,
        }
    }

    /// Whether the request reached a backend server, so that sending it again counts against the retry budget.
    pub fn reached_server(self) -> bool {
        !matches!(self, Failure::Connect | Failure::Unsent)
    }
}

/// Maximum number of attempts of a request that failed before the request ran.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 4;

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// It may have run and is not idempotent.
    NotRepeatable,
    /// It has used up its attempts.
    Attempts,
    /// The fleet's retry budget is exhausted.
    Budget,
    /// Its deadline has passed.
    Deadline,
    /// Its content, or a part of its prompt, crashes backend servers.
    Suspect,
}

impl StopReason {
    /// All reasons.
    pub const ALL: [StopReason; 5] = [
        StopReason::NotRepeatable,
        StopReason::Attempts,
        StopReason::Budget,
        StopReason::Deadline,
        StopReason::Suspect,
    ];

    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StopReason::NotRepeatable => "not_repeatable",
            StopReason::Attempts => "attempts",
            StopReason::Budget => "budget",
            StopReason::Deadline => "deadline",
            StopReason::Suspect => "suspect",
        }
    }
}

/// The attempts of a request so far, those in progress included.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    repeatable: bool,
    max_runs: u32,
    deadline: Instant,
    may_have_run: u32,
    unexecuted: u32,
}

impl Attempts {
    /// No attempts yet; at most `max_runs` may end with the request possibly run.
    pub fn new(repeatable: bool, max_runs: u32, deadline: Instant) -> Self {
        Self { repeatable, max_runs: max_runs.max(1), deadline, may_have_run: 0, unexecuted: 0 }
    }

    /// Whether no attempt so far can have run the request.
    pub fn cannot_have_run(&self) -> bool {
        self.may_have_run == 0
    }

    /// Number of attempts that have begun.
    pub fn made(&self) -> u32 {
        self.may_have_run + self.unexecuted
    }

    /// Counts an attempt that begins. It may run the request until it has failed in a way that proves otherwise.
    pub fn begin(&mut self) {
        self.may_have_run += 1;
    }

    /// Records that an attempt failed.
    pub fn record_failure(&mut self, failure: Failure) {
        if failure.ran() == Ran::No {
            self.may_have_run = self.may_have_run.saturating_sub(1);
            self.unexecuted += 1;
        }
    }

    /// Decides whether an attempt may follow one that failed, while no other is in progress. `spend` takes a retry from the
    /// budget.
    ///
    /// # Errors
    /// Why none may follow.
    pub fn may_follow(
        &self,
        now: Instant,
        failure: Failure,
        spend: impl FnOnce() -> bool,
    ) -> Result<(), StopReason> {
        if self.may_have_run > 0 && !self.repeatable {
            return Err(StopReason::NotRepeatable);
        }
        self.may_begin(now)?;
        if failure.reached_server() && !spend() {
            return Err(StopReason::Budget);
        }
        Ok(())
    }

    /// Decides whether an attempt may begin beside others that are in progress, as far as the retry budget allows it.
    ///
    /// # Errors
    /// Why none may begin.
    pub fn may_begin_beside(&self, now: Instant) -> Result<(), StopReason> {
        if !self.repeatable {
            return Err(StopReason::NotRepeatable);
        }
        self.may_begin(now)
    }

    fn may_begin(&self, now: Instant) -> Result<(), StopReason> {
        if self.may_have_run >= self.max_runs || self.unexecuted >= MAX_UNEXECUTED_ATTEMPTS {
            return Err(StopReason::Attempts);
        }
        if now >= self.deadline {
            return Err(StopReason::Deadline);
        }
        Ok(())
    }
}
