//! The closed list of error kinds and the table from kind to answer.

use crate::http::Reply;

/// What is known about the run of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// No byte of the request reached a backend server.
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
pub enum Kind {
    /// The request can't be understood.
    BadRequest,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// Nothing is at this path.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The workspace is not configured.
    UnknownWorkspace,
    /// The service is not configured.
    UnknownService,
    /// No routing policy matches.
    NoPolicy,
    /// No eligible engine can take the request.
    NoEngine,
    /// The router has no configuration yet.
    NotReady,
    /// No connection to the backend server could be made.
    Connect,
    /// The backend server broke off.
    EngineFailed,
}

/// How a kind is told to the caller.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable code.
    pub code: &'static str,
    /// What is known about the run.
    pub ran: Ran,
    /// Seconds after which a retry makes sense; `None` where it does not.
    pub retry_s: Option<u32>,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 12] = [
        Kind::BadRequest,
        Kind::BodyTooLarge,
        Kind::BodyTimeout,
        Kind::NotFound,
        Kind::MethodNotAllowed,
        Kind::UnknownWorkspace,
        Kind::UnknownService,
        Kind::NoPolicy,
        Kind::NoEngine,
        Kind::NotReady,
        Kind::Connect,
        Kind::EngineFailed,
    ];

    /// The table from kind to answer.
    pub fn answer(self) -> Answer {
        let row = |status, code, ran, retry_s| Answer { status, code, ran, retry_s };
        match self {
            Kind::BadRequest => row(400, "bad_request", Ran::No, None),
            Kind::BodyTooLarge => row(413, "body_too_large", Ran::No, None),
            Kind::BodyTimeout => row(408, "body_timeout", Ran::No, Some(0)),
            Kind::NotFound => row(404, "not_found", Ran::No, None),
            Kind::MethodNotAllowed => row(405, "method_not_allowed", Ran::No, None),
            Kind::UnknownWorkspace => row(403, "unknown_workspace", Ran::No, None),
            Kind::UnknownService => row(404, "unknown_service", Ran::No, None),
            Kind::NoPolicy => row(403, "no_policy", Ran::No, None),
            Kind::NoEngine => row(503, "no_engine", Ran::No, Some(2)),
            Kind::NotReady => row(503, "not_ready", Ran::No, Some(1)),
            Kind::Connect => row(502, "connect_failed", Ran::No, Some(1)),
            Kind::EngineFailed => row(502, "engine_failed", Ran::Unknown, None),
        }
    }

    /// The reply for this kind.
    pub fn reply(self, message: impl std::fmt::Display) -> Reply {
        let a = self.answer();
        let body = serde_json::json!({
            "error": { "code": a.code, "message": message.to_string(), "outcome": a.ran.as_str() }
        });
        let mut reply = Reply::json(a.status, &body).with_header("x-outcome", a.ran.as_str());
        if let Some(s) = a.retry_s {
            reply = reply.with_header("retry-after", &s.to_string());
        }
        reply
    }
}
