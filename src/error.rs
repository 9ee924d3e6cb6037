//! Error kinds of requests and the HTTP answer for each kind.

use std::time::Duration;

use crate::http::Reply;

/// Whether a failed request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The request did not run.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Yes,
}

impl Ran {
    /// Value of the `x-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "not-run",
            Ran::Unknown => "unknown",
            Ran::Yes => "ran",
        }
    }
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The head exceeds the limit.
    HeadTooLarge,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The request has no `content-length`.
    LengthRequired,
    /// The path does not exist.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The request is reserved for operators.
    Forbidden,
    /// The workspace is not configured.
    UnknownWorkspace,
    /// The service is not configured.
    UnknownService,
    /// No routing policy matches.
    NoPolicy,
    /// No eligible engine is up.
    NoEngine,
    /// Every data centre with an eligible engine is evacuated.
    Evacuated,
    /// Every eligible engine has just started and can't take more requests until it has warmed up.
    WarmingUp,
    /// Every eligible engine has asked routers to pause new requests.
    Paused,
    /// There is no room for the request's body.
    NoRoom,
    /// The router has no configuration yet.
    NotReady,
    /// The router is shutting down and accepts no new requests.
    Leaving,
    /// The deadline would pass before an engine is free.
    DeadlineUnmeetable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// Too many requests are waiting.
    QueueFull,
    /// The service has as much work as it can finish in time.
    Overloaded,
    /// The workspace has reached its limit of requests in progress.
    WorkspaceLimit,
    /// The workspace group has reached its limit of requests in progress.
    GroupLimit,
    /// A retry would exceed the retry budget.
    RetryBudget,
    /// The maximum number of attempts has been made.
    AttemptLimit,
    /// The content is quarantined because it has crashed backend servers.
    Quarantined,
    /// The content is suspected of crashing backend servers and has no permit to run yet.
    SuspectBusy,
    /// No connection to a backend server could be made.
    ConnectFailed,
    /// The connection to the backend server failed after the request may have reached it.
    EngineFailed,
    /// The backend server refused the request before running it.
    EngineRefused,
    /// A non-idempotent request of this service needs an idempotency key.
    KeyRequired,
    /// The idempotency key was used with other content.
    KeyConflict,
    /// A request with this idempotency key is in progress.
    KeyPending,
    /// A request with this idempotency key may have run; its outcome is not known.
    KeyUnknown,
    /// The idempotency key is older than the retention period of keys.
    KeyExpired,
    /// A request with this idempotency key ran; its answer was too large to keep.
    KeyAnswered,
    /// The claim on the idempotency key could not be recorded.
    ClaimUnavailable,
    /// The resume token is not valid.
    ResumeUnknown,
    /// The stream can no longer be resumed.
    ResumeGone,
    /// Nobody knows which version of the service's software began the stream, and more than one may have.
    StreamVersionUnknown,
    /// No backend server of the version that began the stream accepts requests.
    StreamVersionGone,
    /// Internal error of the router.
    Internal,
}

/// HTTP answer for an error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorAnswer {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable code.
    pub code: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// Seconds after which the caller should retry; `None` if a retry can't succeed.
    pub retry_after_s: Option<u32>,
    /// Description for the caller.
    pub about: &'static str,
}

impl ErrorKind {
    /// All kinds.
    pub const ALL: [ErrorKind; 44] = [
        ErrorKind::BadRequest,
        ErrorKind::HeadTooLarge,
        ErrorKind::BodyTooLarge,
        ErrorKind::HeadTimeout,
        ErrorKind::BodyTimeout,
        ErrorKind::LengthRequired,
        ErrorKind::NotFound,
        ErrorKind::MethodNotAllowed,
        ErrorKind::Forbidden,
        ErrorKind::UnknownWorkspace,
        ErrorKind::UnknownService,
        ErrorKind::NoPolicy,
        ErrorKind::NoEngine,
        ErrorKind::Evacuated,
        ErrorKind::WarmingUp,
        ErrorKind::Paused,
        ErrorKind::NoRoom,
        ErrorKind::NotReady,
        ErrorKind::Leaving,
        ErrorKind::DeadlineUnmeetable,
        ErrorKind::DeadlinePassed,
        ErrorKind::QueueFull,
        ErrorKind::Overloaded,
        ErrorKind::WorkspaceLimit,
        ErrorKind::GroupLimit,
        ErrorKind::RetryBudget,
        ErrorKind::AttemptLimit,
        ErrorKind::Quarantined,
        ErrorKind::SuspectBusy,
        ErrorKind::ConnectFailed,
        ErrorKind::EngineFailed,
        ErrorKind::EngineRefused,
        ErrorKind::KeyRequired,
        ErrorKind::KeyConflict,
        ErrorKind::KeyPending,
        ErrorKind::KeyUnknown,
        ErrorKind::KeyExpired,
        ErrorKind::KeyAnswered,
        ErrorKind::ClaimUnavailable,
        ErrorKind::ResumeUnknown,
        ErrorKind::ResumeGone,
        ErrorKind::StreamVersionUnknown,
        ErrorKind::StreamVersionGone,
        ErrorKind::Internal,
    ];

    /// HTTP answer for this kind.
    pub fn answer(self) -> ErrorAnswer {
        let row =
            |status, code, ran, retry_after_s, about| ErrorAnswer { status, code, ran, retry_after_s, about };
        match self {
            ErrorKind::BadRequest => {
                row(400, "bad_request", Ran::No, None, "The request can't be understood")
            }
            ErrorKind::HeadTooLarge => {
                row(431, "head_too_large", Ran::No, None, "The head exceeds the limit")
            }
            ErrorKind::BodyTooLarge => {
                row(413, "body_too_large", Ran::No, None, "The body exceeds the limit")
            }
            ErrorKind::HeadTimeout => {
                row(408, "head_timeout", Ran::No, Some(0), "The head did not arrive in time")
            }
            ErrorKind::BodyTimeout => {
                row(408, "body_timeout", Ran::No, Some(0), "The body did not arrive in time")
            }
            ErrorKind::LengthRequired => {
                row(411, "length_required", Ran::No, None, "The body's length is not stated in the head")
            }
            ErrorKind::NotFound => row(404, "not_found", Ran::No, None, "Nothing is at this path"),
            ErrorKind::MethodNotAllowed => {
                row(405, "method_not_allowed", Ran::No, None, "The path does not take this method")
            }
            ErrorKind::Forbidden => row(403, "forbidden", Ran::No, None, "Only operators may ask this"),
            ErrorKind::UnknownWorkspace => {
                row(403, "unknown_workspace", Ran::No, None, "The workspace is not configured")
            }
            ErrorKind::UnknownService => {
                row(404, "unknown_service", Ran::No, None, "The service is not configured")
            }
            ErrorKind::NoPolicy => row(403, "no_policy", Ran::No, None, "No routing policy matches"),
            ErrorKind::NoEngine => row(503, "no_engine", Ran::No, Some(2), "No eligible engine is live"),
            ErrorKind::Evacuated => row(
                503,
                "evacuated",
                Ran::No,
                Some(5),
                "Every data centre with an eligible engine is evacuated",
            ),
            ErrorKind::Paused => {
                row(503, "paused", Ran::No, Some(1), "Every eligible engine has asked for a pause")
            }
            ErrorKind::WarmingUp => row(
                503,
                "warming_up",
                Ran::No,
                Some(1),
                "Every eligible engine has just started and bears no more requests",
            ),
            ErrorKind::NoRoom => {
                row(503, "no_room", Ran::No, Some(1), "Too many bytes of other requests are held")
            }
            ErrorKind::NotReady => {
                row(503, "not_ready", Ran::No, Some(1), "The router has no configuration yet")
            }
            ErrorKind::Leaving => {
                row(503, "leaving", Ran::No, Some(0), "The router is shutting down and takes no new request")
            }
            ErrorKind::DeadlineUnmeetable => row(
                503,
                "deadline_unmeetable",
                Ran::No,
                Some(1),
                "The deadline would pass before an engine is free",
            ),
            ErrorKind::DeadlinePassed => {
                row(504, "deadline_passed", Ran::No, None, "The deadline passed while the request waited")
            }
            ErrorKind::Overloaded => row(
                503,
                "overloaded",
                Ran::No,
                Some(1),
                "The service has as much work as it can finish in time",
            ),
            ErrorKind::QueueFull => {
                row(503, "queue_full", Ran::No, Some(1), "Too many requests wait already")
            }
            ErrorKind::WorkspaceLimit => row(
                429,
                "workspace_limit",
                Ran::No,
                Some(1),
                "The workspace has as many requests in progress as it may have",
            ),
            ErrorKind::GroupLimit => row(
                429,
                "group_limit",
                Ran::No,
                Some(1),
                "The workspace group has as many requests in progress as it may have",
            ),
            ErrorKind::RetryBudget => {
                row(503, "retry_budget", Ran::No, Some(2), "A retry would exceed the budget of retries")
            }
            ErrorKind::AttemptLimit => {
                row(503, "attempt_limit", Ran::No, Some(2), "Every attempt that is allowed has been made")
            }
            ErrorKind::Quarantined => {
                row(422, "quarantined", Ran::No, None, "The same content has crashed backend servers")
            }
            ErrorKind::SuspectBusy => row(
                503,
                "suspect_busy",
                Ran::No,
                Some(2),
                "Content that may have crashed a backend server waits for another such run",
            ),
            ErrorKind::ConnectFailed => row(
                502,
                "connect_failed",
                Ran::No,
                Some(1),
                "No connection to a backend server could be made",
            ),
            ErrorKind::EngineFailed => row(
                502,
                "engine_failed",
                Ran::Unknown,
                None,
                "The backend server broke off after the request may have reached it",
            ),
            ErrorKind::EngineRefused => row(
                503,
                "engine_refused",
                Ran::No,
                Some(1),
                "The backend server refused the request before running it",
            ),
            ErrorKind::KeyRequired => row(
                400,
                "key_required",
                Ran::No,
                None,
                "A non-idempotent request of this service needs an idempotency key",
            ),
            ErrorKind::KeyConflict => {
                row(409, "key_conflict", Ran::No, None, "The idempotency key was used with other content")
            }
            ErrorKind::KeyPending => row(
                409,
                "key_pending",
                Ran::Unknown,
                Some(1),
                "A request with this idempotency key is in progress",
            ),
            ErrorKind::KeyUnknown => row(
                409,
                "key_unknown",
                Ran::Unknown,
                None,
                "A request with this idempotency key may have run; its outcome is not known",
            ),
            ErrorKind::KeyExpired => {
                row(410, "key_expired", Ran::Unknown, None, "The idempotency key is older than the horizon")
            }
            ErrorKind::KeyAnswered => row(
                409,
                "key_answered",
                Ran::Yes,
                None,
                "A request with this idempotency key ran; its answer was too large to keep",
            ),
            ErrorKind::ClaimUnavailable => row(
                503,
                "claim_unavailable",
                Ran::No,
                Some(2),
                "The claim on the idempotency key could not be recorded",
            ),
            ErrorKind::ResumeUnknown => {
                row(400, "resume_unknown", Ran::No, None, "The resume token is not valid")
            }
            ErrorKind::ResumeGone => {
                row(410, "resume_gone", Ran::Unknown, None, "The stream can no longer be resumed")
            }
            ErrorKind::StreamVersionUnknown => row(
                503,
                "stream_version_unknown",
                Ran::No,
                Some(1),
                "Several versions of the service may have begun the stream, and it is not known which did",
            ),
            ErrorKind::StreamVersionGone => row(
                503,
                "stream_version_gone",
                Ran::No,
                Some(1),
                "No server of the version that began the stream takes requests",
            ),
            ErrorKind::Internal => row(500, "internal", Ran::Unknown, None, "The router failed inside"),
        }
    }

    /// HTTP reply for this kind, with a message for the caller.
    pub fn reply(self, message: impl std::fmt::Display) -> Reply {
        self.reply_as(self.answer().ran, message)
    }

    /// HTTP reply for this kind with `ran` in place of the kind's own value.
    fn reply_as(self, ran: Ran, message: impl std::fmt::Display) -> Reply {
        let a = self.answer();
        let body = serde_json::json!({
            "error": { "code": a.code, "message": message.to_string(), "outcome": ran.as_str() }
        });
        let mut reply = Reply::json(a.status, &body).with_header("x-outcome", ran.as_str());
        if let Some(s) = a.retry_after_s {
            reply = reply.with_header("retry-after", &s.to_string());
        }
        reply
    }
}

/// Refusal or failure of a request, with a message for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Message for the caller.
    pub message: String,
    /// Time after which the caller should retry; `None` for the default of the kind.
    pub retry_after: Option<Duration>,
    /// Number of attempts at backend servers so far, over all hops.
    pub attempts: Option<u32>,
}

impl RequestError {
    /// Creates an error.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after: None, attempts: None }
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(self, time: Duration) -> Self {
        Self { retry_after: Some(time), ..self }
    }

    /// Sets the number of attempts so far.
    pub fn with_attempts(self, attempts: u32) -> Self {
        Self { attempts: Some(attempts), ..self }
    }

    /// HTTP reply for this error.
    pub fn reply(&self) -> Reply {
        self.finish_reply(self.kind.reply(&self.message))
    }

    /// HTTP reply for a request that may be a repeat of its idempotency key. This attempt did not run, but the caller
    /// would take "not run" for the outcome of the key, so the outcome is "unknown" instead.
    pub fn reply_to_repeat(&self) -> Reply {
        let ran = match (self.kind, self.kind.answer().ran) {
            // No request with this content can have run under the key.
            (ErrorKind::KeyConflict, ran) => ran,
            (_, Ran::No) => Ran::Unknown,
            (_, ran) => ran,
        };
        self.finish_reply(self.kind.reply_as(ran, &self.message))
    }

    fn finish_reply(&self, reply: Reply) -> Reply {
        let mut reply = reply;
        if let Some(time) = self.retry_after {
            let seconds = time.as_millis().div_ceil(1000);
            reply = reply.with_header("retry-after", &seconds.to_string());
        }
        match self.attempts {
            Some(n) => reply.with_header("x-attempt", &n.to_string()),
            None => reply,
        }
    }
}
