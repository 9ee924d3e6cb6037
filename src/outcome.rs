//! What became of a request, in types that make a false "not run" hard to write.
//!
//! A request starts with an [`Undispatched`] token. Only that token makes a "not run" answer, and handing the
//! request to a connection consumes it. Afterwards there is a [`Dispatched`] token, which makes "unknown"
//! answers; it turns back only against an [`Unsent`] proof.

use http::Response;

use crate::{
    client::Failure,
    engine::OUTCOME,
    error::{ErrorKind, Ran, RequestError},
};

/// What is known at the end of a request.
#[derive(Debug)]
pub enum Outcome<A> {
    /// It ran, and this is the answer.
    Ran(A),
    /// No byte of it reached a backend server, or the backend server proved that it did not run.
    NotRun(RequestError),
    /// It may have run.
    Unknown(RequestError),
}

impl<A> Outcome<A> {
    /// The answer, or the fault that the caller is told.
    ///
    /// # Errors
    /// The fault of a request that did not run or may have run.
    pub fn into_result(self) -> Result<A, RequestError> {
        match self {
            Outcome::Ran(answer) => Ok(answer),
            Outcome::NotRun(fault) | Outcome::Unknown(fault) => Err(fault),
        }
    }

    /// What is known about the run.
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
pub struct Unsent(());

impl Unsent {
    /// A connection that was never made carried no byte.
    pub fn from_failure(failure: Failure) -> Option<Self> {
        (failure == Failure::Connect).then_some(Self(()))
    }

    /// The loop of attempts ends in a "not run" only if each attempt was proven not to have run.
    pub(crate) fn from_attempts(fault: &RequestError) -> Option<Self> {
        (fault.kind.answer().ran == Ran::No).then_some(Self(()))
    }

    /// A backend server states in a header of its refusal that it did not run the request.
    pub fn from_head<B>(head: &Response<B>) -> Option<Self> {
        let stated = head.headers().get(OUTCOME).is_some_and(|v| v == Ran::No.as_str());
        (stated && head.status().is_server_error()).then_some(Self(()))
    }
}

/// Token of a request of which no byte has been handed to a connection. There is one for each request: it can be
/// neither copied nor made anew.
#[derive(Debug)]
#[must_use]
pub struct Undispatched(());

impl Undispatched {
    /// Token of a request that has just been read.
    #[expect(clippy::new_without_default, reason = "a token is made on purpose, once for each request")]
    pub fn new() -> Self {
        Self(())
    }

    /// The request is handed to a connection: from here on it may have run.
    pub fn dispatch(self) -> Dispatched {
        Dispatched(())
    }

    /// Ends the request with a refusal.
    pub fn refuse<A>(self, kind: ErrorKind, message: impl Into<String>) -> Outcome<A> {
        let fault = RequestError::new(kind, message);
        match kind.answer().ran {
            Ran::No => Outcome::NotRun(fault),
            // This attempt did not run, but the kind speaks of an earlier attempt with the same key.
            Ran::Unknown | Ran::Yes => Outcome::Unknown(fault),
        }
    }
}

/// Why a request failed after it was dispatched. None of these is told as "not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterDispatch {
    /// The connection broke, or nothing came in time.
    Broken,
    /// The router failed inside.
    Internal,
}

impl AfterDispatch {
    /// Every reason.
    pub const ALL: [AfterDispatch; 2] = [AfterDispatch::Broken, AfterDispatch::Internal];

    /// The kind under which the caller is told.
    pub fn kind(self) -> ErrorKind {
        match self {
            AfterDispatch::Broken => ErrorKind::EngineFailed,
            AfterDispatch::Internal => ErrorKind::Internal,
        }
    }
}

/// Token of a request that may have run.
#[derive(Debug)]
#[must_use]
pub struct Dispatched(());

impl Dispatched {
    /// Takes the request back against a proof that it did not run.
    pub fn take_back(self, _proof: Unsent) -> Undispatched {
        Undispatched(())
    }

    /// The backend server answered.
    pub fn ran<A>(self, answer: A) -> Outcome<A> {
        Outcome::Ran(answer)
    }

    /// Nobody knows whether it ran.
    pub fn fail<A>(self, reason: AfterDispatch, message: impl Into<String>) -> Outcome<A> {
        Outcome::Unknown(RequestError::new(reason.kind(), message))
    }
}
