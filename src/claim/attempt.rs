//! State machine of one attempt with an idempotency key, in the router that handles the request.
//!
//! The states are types: [`RequestedClaim`] → [`GrantedClaim`] → [`DispatchedClaim`] → a record. Only a
//! [`GrantedClaim`] can be dispatched, and only once. Only a [`GrantedClaim`] can be released, so a dispatched claim
//! must first be proven not to have run.

use super::{AttemptId, ClaimRequest, KeyDigest, Record, Verdict};
use crate::{
    error::ErrorKind,
    outcome::{Dispatched, NotRunProof, Undispatched},
};

/// The attempt has requested the claim and waits for the verdict.
#[derive(Debug)]
#[must_use]
pub struct RequestedClaim {
    request: ClaimRequest,
    token: Undispatched,
}

/// The attempt holds the claim: it may run, and no other.
#[derive(Debug)]
#[must_use]
pub struct GrantedClaim {
    request: ClaimRequest,
    token: Undispatched,
}

/// The request was dispatched and may have run.
#[derive(Debug)]
#[must_use]
pub struct DispatchedClaim {
    request: ClaimRequest,
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
    pub request: ClaimRequest,
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
    /// Starts an attempt that asks for a claim.
    pub fn new(request: ClaimRequest, token: Undispatched) -> Self {
        Self { request, token }
    }

    /// Request for the claim.
    pub fn request(&self) -> &ClaimRequest {
        &self.request
    }

    /// Applies the verdict; on a timeout pass [`Verdict::Unavailable`].
    ///
    /// # Errors
    /// If the attempt may not run. A late verdict has no [`RequestedClaim`] left to apply to, so it can't start a run.
    pub fn decide(self, verdict: Verdict) -> Result<GrantedClaim, Box<RefusedClaim>> {
        let Self { request, token } = self;
        if verdict == Verdict::Granted {
            return Ok(GrantedClaim { request, token });
        }
        let release = (verdict == Verdict::Unavailable)
            .then_some(Release { key: request.key, attempt: request.attempt });
        Err(Box::new(RefusedClaim { verdict, token, release }))
    }
}

impl GrantedClaim {
    /// Marks the request as handed to a connection.
    pub fn dispatch(self) -> DispatchedClaim {
        DispatchedClaim { request: self.request, token: self.token.dispatch() }
    }

    /// Releases the claim.
    pub fn release(self) -> (Undispatched, Release) {
        (self.token, Release { key: self.request.key, attempt: self.request.attempt })
    }
}

impl DispatchedClaim {
    /// Request for the claim.
    pub fn request(&self) -> &ClaimRequest {
        &self.request
    }

    /// Undoes the dispatch, given proof that the request did not run; it may be dispatched again.
    pub fn take_back(self, proof: NotRunProof) -> GrantedClaim {
        GrantedClaim { request: self.request, token: self.token.revert_dispatch(proof) }
    }

    /// Ends the run with its result.
    pub fn finish(self, record: Record) -> (Dispatched, Finish) {
        (self.token, Finish { request: self.request, record })
    }
}

/// Error kind that is returned to the caller for a verdict; `None` if the verdict is not a refusal.
pub fn error_kind(verdict: &Verdict) -> Option<ErrorKind> {
    match verdict {
        Verdict::Granted | Verdict::Recorded(_) => None,
        Verdict::Pending => Some(ErrorKind::KeyPending),
        Verdict::Unknown => Some(ErrorKind::KeyUnknown),
        Verdict::Conflict => Some(ErrorKind::KeyConflict),
        Verdict::Expired => Some(ErrorKind::KeyExpired),
        Verdict::Unavailable => Some(ErrorKind::ClaimUnavailable),
    }
}
