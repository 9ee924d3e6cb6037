//! Outcome of a request, in types that prevent a false "not run" outcome.
//!
//! A request starts with an [`Undispatched`] token. Only this token can create a "not run" outcome, and handing the
//! request to a connection consumes it. The resulting [`Dispatched`] token creates "unknown" outcomes. It can be
//! converted back only with a [`NotRunProof`].

use http::Response;

use crate::{
    client::Failure,
    engine::OUTCOME,
    error::{ErrorKind, Ran, RequestError},
};

/// Outcome of a request.
#[derive(Debug)]
pub enum Outcome<A> {
    /// The request ran, with this answer.
    Ran(A),
    /// The request did not run: no byte of it reached a backend server, or the backend server stated so.
    NotRun(RequestError),
    /// The request may have run.
    Unknown(RequestError),
}

impl<A> Outcome<A> {
    /// Returns the answer, or the error for the caller.
    ///
    /// # Errors
    /// When the request did not run or may have run.
    pub fn into_result(self) -> Result<A, RequestError> {
        match self {
            Outcome::Ran(answer) => Ok(answer),
            Outcome::NotRun(error) | Outcome::Unknown(error) => Err(error),
        }
    }

    /// Whether the request ran.
    pub fn ran(&self) -> Ran {
        match self {
            Outcome::Ran(_) => Ran::Yes,
            Outcome::NotRun(_) => Ran::No,
            Outcome::Unknown(_) => Ran::Unknown,
        }
    }
}

/// Proof that a dispatched request did not run.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Proof from a failure to connect: no byte was sent.
    pub fn from_failure(failure: Failure) -> Option<Self> {
        (failure == Failure::Connect).then_some(Self(()))
    }

    /// Proof from the error of the retry loop, which is "not run" only if every attempt was proven not to have run.
    pub(crate) fn from_attempts(error: &RequestError) -> Option<Self> {
        (error.kind.answer().ran == Ran::No).then_some(Self(()))
    }

    /// Proof from a backend server's refusal with a header that states that the request did not run.
    pub fn from_head<B>(head: &Response<B>) -> Option<Self> {
        let stated = head.headers().get(OUTCOME).is_some_and(|v| v == Ran::No.as_str());
        (stated && head.status().is_server_error()).then_some(Self(()))
    }
}

/// Token of a request of which no byte has been handed to a connection. Each request has exactly one token; it can't
/// be cloned.
#[derive(Debug)]
#[must_use]
pub struct Undispatched(());

impl Undispatched {
    /// Creates the token of a request that has just been received.
    #[expect(clippy::new_without_default, reason = "tokens are created explicitly, one per request")]
    pub fn new() -> Self {
        Self(())
    }

    /// Hands the request to a connection; from here on it may have run.
    pub fn dispatch(self) -> Dispatched {
        Dispatched(())
    }

    /// Refuses the request.
    pub fn refuse<A>(self, kind: ErrorKind, message: impl Into<String>) -> Outcome<A> {
        let error = RequestError::new(kind, message);
        match kind.answer().ran {
            Ran::No => Outcome::NotRun(error),
            // This attempt did not run, but the error is about an earlier attempt with the same idempotency key.
            Ran::Unknown | Ran::Yes => Outcome::Unknown(error),
        }
    }
}

/// Why a request failed after dispatch; none of these is reported as "not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchFailure {
    /// The connection failed, or no answer arrived in time.
    Broken,
    /// Internal error of the router.
    Internal,
}

impl DispatchFailure {
    /// All reasons.
    pub const ALL: [DispatchFailure; 2] = [DispatchFailure::Broken, DispatchFailure::Internal];

    /// Kind of the error that the caller gets.
    pub fn kind(self) -> ErrorKind {
        match self {
            DispatchFailure::Broken => ErrorKind::EngineFailed,
            DispatchFailure::Internal => ErrorKind::Internal,
        }
    }
}

/// Token of a request that may have run.
#[derive(Debug)]
#[must_use]
pub struct Dispatched(());

impl Dispatched {
    /// Converts the token back, given proof that the request did not run.
    pub fn revert_dispatch(self, _proof: NotRunProof) -> Undispatched {
        Undispatched(())
    }

    /// Ends the request with the backend server's answer.
    pub fn ran<A>(self, answer: A) -> Outcome<A> {
        Outcome::Ran(answer)
    }

    /// Ends the request as failed; it may have run.
    pub fn fail<A>(self, reason: DispatchFailure, message: impl Into<String>) -> Outcome<A> {
        Outcome::Unknown(RequestError::new(reason.kind(), message))
    }
}
