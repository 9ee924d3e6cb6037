//! One attempt of a request with an idempotency key, as the router that holds the request sees it.
//!
//! The types follow its life: [`Asking`] → [`Held`] → [`Running`] → a record. Only a [`Held`] claim can be
//! dispatched, each of them once, and a claim can be given back only while it has not been dispatched.

use super::{Ask, AttemptId, KeyDigest, Record, Verdict};
use crate::{
    error::ErrorKind,
    outcome::{Dispatched, NotRunProof, Undispatched},
};

/// The attempt has asked and waits for the verdict.
#[derive(Debug)]
#[must_use]
pub struct Asking {
    ask: Ask,
    token: Undispatched,
}

/// The attempt, and no other, may run.
#[derive(Debug)]
#[must_use]
pub struct Held {
    ask: Ask,
    token: Undispatched,
}

/// The attempt may have run.
#[derive(Debug)]
#[must_use]
pub struct Running {
    ask: Ask,
    token: Dispatched,
}

/// The right to run is given back: this attempt has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Release {
    /// Key.
    pub key: KeyDigest,
    /// Attempt.
    pub attempt: AttemptId,
}

/// What became of a run, for the router that keeps the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct Finish {
    /// What was asked.
    pub ask: Ask,
    /// What became of it.
    pub record: Record,
}

/// An attempt that was not granted.
#[derive(Debug)]
pub struct Refused {
    /// Why.
    pub verdict: Verdict,
    /// Token to refuse the request with.
    pub token: Undispatched,
    /// To be told to the routers that were asked, when the claim may have been recorded all the same.
    pub release: Option<Release>,
}

impl Asking {
    /// Starts an attempt.
    pub fn new(ask: Ask, token: Undispatched) -> Self {
        Self { ask, token }
    }

    /// What is asked.
    pub fn ask(&self) -> &Ask {
        &self.ask
    }

    /// Takes the verdict in; no verdict in time counts as [`Verdict::Unavailable`].
    ///
    /// # Errors
    /// When the attempt may not run. A verdict that comes later finds no [`Asking`] and can start no run.
    pub fn decide(self, verdict: Verdict) -> Result<Held, Box<Refused>> {
        let Self { ask, token } = self;
        if verdict == Verdict::Granted {
            return Ok(Held { ask, token });
        }
        let release =
            (verdict == Verdict::Unavailable).then_some(Release { key: ask.key, attempt: ask.attempt });
        Err(Box::new(Refused { verdict, token, release }))
    }
}

impl Held {
    /// The request is handed to a connection.
    pub fn dispatch(self) -> Running {
        Running { ask: self.ask, token: self.token.dispatch() }
    }

    /// Gives the claim back.
    pub fn release(self) -> (Undispatched, Release) {
        (self.token, Release { key: self.ask.key, attempt: self.ask.attempt })
    }
}

impl Running {
    /// What was asked.
    pub fn ask(&self) -> &Ask {
        &self.ask
    }

    /// Takes the request back against a proof that it did not run; it may be dispatched again.
    pub fn take_back(self, proof: NotRunProof) -> Held {
        Held { ask: self.ask, token: self.token.revert_dispatch(proof) }
    }

    /// Ends the run.
    pub fn finish(self, record: Record) -> (Dispatched, Finish) {
        (self.token, Finish { ask: self.ask, record })
    }
}

/// Kind under which a caller is told of a verdict; `None` for those that are no refusal.
pub fn refusal(verdict: &Verdict) -> Option<ErrorKind> {
    match verdict {
        Verdict::Granted | Verdict::Recorded(_) => None,
        Verdict::Pending => Some(ErrorKind::KeyPending),
        Verdict::Unknown => Some(ErrorKind::KeyUnknown),
        Verdict::Conflict => Some(ErrorKind::KeyConflict),
        Verdict::Expired => Some(ErrorKind::KeyExpired),
        Verdict::Unavailable => Some(ErrorKind::ClaimUnavailable),
    }
}
