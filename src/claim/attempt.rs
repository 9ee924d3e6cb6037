//! State machine of one attempt with an idempotency key, in the router that handles the request.
//!
//! The states are types: [`RequestedClaim`] → [`GrantedClaim`] → [`DispatchedClaim`] → a record. Only a
//! [`GrantedClaim`] can be dispatched, and only once. Only a [`GrantedClaim`] can be released, so a dispatched claim
//! must first be proven not to have run.

use super::{AttemptId, ClaimRequest, KeyDigest, Record, Verdict};
use crate::{
    error::Kind,
    outcome::{Dispatched, Undispatched, Unsent},
};

/// The attempt has requested the claim and waits for the verdict.
#[derive(Debug)]
#[must_use]
pub struct RequestedClaim {
    ask: ClaimRequest,
    token: Undispatched,
}

/// The attempt holds the claim: it may run, and no other.
#[derive(Debug)]
#[must_use]
pub struct GrantedClaim {
    ask: ClaimRequest,
    token: Undispatched,
}

/// The request was dispatched and may have run.
#[derive(Debug)]
#[must_use]
pub struct DispatchedClaim {
    ask: ClaimRequest,
    token: Dispatched,
}

/// Release of a claim by an attempt that has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Release {
    /// Key.
    pub key: KeyDigest,
    /// Attempt.
    pub attempt: AttemptId,
}

/// Result of a run, for the router that stores the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct Finish {
    /// Request for the claim.
    pub ask: ClaimRequest,
    /// Result of the run.
    pub record: Record,
}

/// An attempt to which the claim was not granted.
#[derive(Debug)]
pub struct RefusedClaim {
    /// Reason.
    pub verdict: Verdict,
    /// Token with which to refuse the request.
    pub token: Undispatched,
    /// Release to send to the routers that were asked, if the claim may have been stored nevertheless.
    pub release: Option<Release>,
}

impl RequestedClaim {
    /// Starts an attempt with the request `ask`.
    pub fn new(ask: ClaimRequest, token: Undispatched) -> Self {
        Self { ask, token }
    }

    /// Request for the claim.
    pub fn ask(&self) -> &ClaimRequest {
        &self.ask
    }

    /// Applies the verdict; on a timeout pass [`Verdict::Unavailable`].
    ///
    /// # Errors
    /// If the attempt may not run. A late verdict has no [`RequestedClaim`] left to apply to, so it can't start a run.
    pub fn decide(self, verdict: Verdict) -> Result<GrantedClaim, Box<RefusedClaim>> {
        let Self { ask, token } = self;
        if verdict == Verdict::Granted {
            return Ok(GrantedClaim { ask, token });
        }
        let release =
            (verdict == Verdict::Unavailable).then_some(Release { key: ask.key, attempt: ask.attempt });
        Err(Box::new(RefusedClaim { verdict, token, release }))
    }
}

impl GrantedClaim {
    /// Marks the request as handed to a connection.
    pub fn dispatch(self) -> DispatchedClaim {
        DispatchedClaim { ask: self.ask, token: self.token.dispatch() }
    }

    /// Releases the claim.
    pub fn release(self) -> (Undispatched, Release) {
        (self.token, Release { key: self.ask.key, attempt: self.ask.attempt })
    }
}

impl DispatchedClaim {
    /// Request for the claim.
    pub fn ask(&self) -> &ClaimRequest {
        &self.ask
    }

    /// Undoes the dispatch, given proof that the request did not run; it may be dispatched again.
    pub fn take_back(self, proof: Unsent) -> GrantedClaim {
        GrantedClaim { ask: self.ask, token: self.token.take_back(proof) }
    }

    /// Ends the run with its result.
    pub fn finish(self, record: Record) -> (Dispatched, Finish) {
        (self.token, Finish { ask: self.ask, record })
    }
}

/// Error kind that is returned to the caller for a verdict; `None` if the verdict is not a refusal.
pub fn error_kind(verdict: &Verdict) -> Option<Kind> {
    match verdict {
        Verdict::Granted | Verdict::Recorded(_) => None,
        Verdict::Pending => Some(Kind::KeyPending),
        Verdict::Unknown => Some(Kind::KeyUnknown),
        Verdict::Conflict => Some(Kind::KeyConflict),
        Verdict::Expired => Some(Kind::KeyExpired),
        Verdict::Unavailable => Some(Kind::ClaimUnavailable),
    }
}
