//! What became of one attempt at a backend server, and whether the request may be sent once more.

use crate::{error::Ran, util::Instant};

/// Why an attempt did not give the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection could be made.
    Connect,
    /// The connection was closed before the request was written.
    Unsent,
    /// The backend server says that it did not run the request.
    Refused,
    /// Another backend server stands at the address.
    Moved,
    /// The connection broke after the request was written.
    Broken,
    /// The answer belongs to another request or is not in the protocol.
    Garbled,
    /// Nothing came for so long that the server is taken for silent.
    Silent,
    /// The request's time was over first; that says nothing about the server.
    Late,
    /// The backend server answered with an error of its own.
    Errored,
}

impl Failure {
    /// Every failure.
    pub const ALL: [Failure; 9] = [
        Failure::Connect,
        Failure::Unsent,
        Failure::Refused,
        Failure::Moved,
        Failure::Broken,
        Failure::Garbled,
        Failure::Silent,
        Failure::Late,
        Failure::Errored,
    ];

    /// Name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::Connect => "connect",
            Failure::Unsent => "unsent",
            Failure::Refused => "refused",
            Failure::Moved => "moved",
            Failure::Broken => "broken",
            Failure::Garbled => "garbled",
            Failure::Silent => "silent",
            Failure::Late => "late",
            Failure::Errored => "errored",
        }
    }

    /// What is known about the run: only a request that was not written, and a backend server's own word, prove that
    /// it did not run.
    pub fn ran(self) -> Ran {
        match self {
            Failure::Connect | Failure::Unsent | Failure::Refused | Failure::Moved => Ran::No,
            Failure::Broken | Failure::Garbled | Failure::Silent | Failure::Late => Ran::Unknown,
            Failure::Errored => Ran::Yes,
        }
    }

    /// Whether the request reached a backend server, so that sending it again counts against the budget.
    pub fn arrived(self) -> bool {
        !matches!(self, Failure::Connect | Failure::Unsent)
    }
}

/// Sends to backend servers that refused or could not be reached, for one attempt of a caller.
const MOST_UNRUN: u32 = 4;

/// Why a request is not sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stop {
    /// It may have run and must not run twice.
    NotRepeatable,
    /// It was at as many backend servers as it may.
    Attempts,
    /// The fleet's budget of retries is spent.
    Budget,
    /// Its time is over.
    Deadline,
    /// Its content has crashed servers.
    Suspect,
}

impl Stop {
    /// Every reason.
    pub const ALL: [Stop; 5] =
        [Stop::NotRepeatable, Stop::Attempts, Stop::Budget, Stop::Deadline, Stop::Suspect];

    /// Name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Stop::NotRepeatable => "not_repeatable",
            Stop::Attempts => "attempts",
            Stop::Budget => "budget",
            Stop::Deadline => "deadline",
            Stop::Suspect => "suspect",
        }
    }
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    repeatable: bool,
    most: u32,
    deadline: Instant,
    may_have_run: u32,
    unrun: u32,
}

impl Attempts {
    /// No attempt so far, of `most` that may run.
    pub fn new(repeatable: bool, most: u32, deadline: Instant) -> Self {
        Self { repeatable, most: most.max(1), deadline, may_have_run: 0, unrun: 0 }
    }

    /// Whether no attempt so far can have run.
    pub fn cannot_have_run(&self) -> bool {
        self.may_have_run == 0
    }

    /// Attempts so far.
    pub fn made(&self) -> u32 {
        self.may_have_run + self.unrun
    }

    /// Notes a failed attempt and decides whether another one may follow. `spend` takes a retry from the budget.
    ///
    /// # Errors
    /// Why no further attempt may follow.
    pub fn record_failure(
        &mut self,
        now: Instant,
        failure: Failure,
        spend: impl FnOnce() -> bool,
    ) -> Result<(), Stop> {
        match failure.ran() {
            Ran::No => self.unrun += 1,
            Ran::Unknown | Ran::Yes => self.may_have_run += 1,
        }
        if self.may_have_run > 0 && !self.repeatable {
            return Err(Stop::NotRepeatable);
        }
        if self.may_have_run >= self.most || self.unrun >= MOST_UNRUN {
            return Err(Stop::Attempts);
        }
        if now >= self.deadline {
            return Err(Stop::Deadline);
        }
        if failure.arrived() && !spend() {
            return Err(Stop::Budget);
        }
        Ok(())
    }
}
