//! The interface of protocol adapters, which translate between the pipeline and the protocol of callers and backend
//! servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response, request, response};
use http_body_util::Full;

use super::{
    admission::ReportedLoad,
    answer::AnswerBody,
    attempts::Failure,
    inbound::RequestHead,
    request::{EventNumber, Request},
};
use crate::error::{ErrorKind, Ran};

/// What an attempt sends to its backend server in addition to the request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// Identifier of the intended server.
    pub backend: &'a str,
    /// Time left until the deadline.
    pub left: Duration,
    /// Event after which a stream resumes.
    pub after: Option<EventNumber>,
    /// Server from which shared parts of the prompt can be fetched.
    pub fetch_from: Option<SocketAddr>,
}

/// How long work currently takes at a server relative to usual, as it says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PaceReport {
    /// It does not say.
    #[default]
    None,
    /// In percent.
    Percent(u32),
    /// Something else than a whole percentage.
    Invalid,
}

impl PaceReport {
    /// Parses a whole percentage above 0; `None` if the server does not send one.
    pub fn parse(percent: Option<&str>) -> Self {
        match percent.map(|n| n.trim().parse()) {
            None => PaceReport::None,
            Some(Ok(percent)) if percent > 0 => PaceReport::Percent(percent),
            Some(_) => PaceReport::Invalid,
        }
    }
}

/// The parsed head of a backend server's response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Why the response must not be passed on, if so.
    pub failure: Option<Failure>,
    /// Whether the response names the request that it answers.
    pub is_named: bool,
    /// How long the server keeps an idle connection, if it says so.
    pub keep_alive: Option<Duration>,
    /// Whether the server closes the connection after this response.
    pub closes: bool,
    /// The load of the server, if it reports it.
    pub load: Option<ReportedLoad>,
    /// How long work takes at the server, if it reports it.
    pub pace: PaceReport,
    /// Whether the server says that it is leaving.
    pub leaving: bool,
    /// How long the server wants no requests from this host, if it refused the request and says so.
    pub pause: Option<Duration>,
    /// Number of requests that the server may turn away in a second without falling over, if it is brittle.
    pub brittle: Option<u32>,
}

/// The refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When the caller should retry, if that makes sense.
    pub retry_after: Option<Duration>,
}

/// A protocol adapter.
pub trait Wire: Send + Sync + 'static {
    /// Parses the head of a request.
    fn parse_request(&self, head: &request::Parts) -> RequestHead;

    /// The headers of a request that are forwarded.
    fn forwarded_headers(&self, headers: HeaderMap) -> HeaderMap;

    /// Builds the request for a backend server.
    fn backend_request(&self, req: &Request, context: &AttemptContext<'_>) -> http::Request<Full<Bytes>>;

    /// Parses the head of a backend server's response.
    fn parse_response(&self, req: &Request, head: &response::Parts) -> ResponseHead;

    /// Builds the response for the caller, without hop-by-hop headers.
    fn caller_response(&self, head: response::Parts, body: AnswerBody) -> Response<AnswerBody>;

    /// Builds the response that refuses a request.
    fn refuse(&self, refusal: &Refusal) -> Response<AnswerBody>;
}
