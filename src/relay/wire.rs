//! What an adapter translates between the pipeline and an interface of callers and backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response, request, response};
use http_body_util::Full;

use super::{
    admission::ReportedLoad,
    answer::AnswerBody,
    inbound::RequestHead,
    request::{EventNumber, Request},
    verdict::Failure,
};
use crate::error::{ErrorKind, Ran};

/// What an attempt tells its backend server beside the request itself.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// Identifier of the server that is meant.
    pub backend: &'a str,
    /// Time that is left.
    pub left: Duration,
    /// Event after which a stream goes on.
    pub after: Option<EventNumber>,
    /// Server from which shared parts of the prompt can be fetched.
    pub fetch_from: Option<SocketAddr>,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead {
    /// Why it is not the answer, if it isn't.
    pub failure: Option<Failure>,
    /// How long it keeps an idle connection, if it tells.
    pub keep_alive: Option<Duration>,
    /// Whether it closes the connection after this answer.
    pub closes: bool,
    /// The work at the server, if it tells.
    pub load: Option<ReportedLoad>,
    /// Whether the server says that it leaves.
    pub leaving: bool,
    /// For how long it wants nothing from this host, if it has turned the request away and tells so.
    pub pause: Option<Duration>,
}

/// A request that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// Whether it may have run.
    pub ran: Ran,
    /// When the caller should come back, if that makes sense.
    pub retry_after: Option<Duration>,
}

/// Translates between the pipeline and one interface.
pub trait Wire: Send + Sync + 'static {
    /// Reads the head of a request.
    fn parse_request(&self, head: &request::Parts) -> RequestHead;

    /// The headers of a request that are passed on.
    fn forwarded_headers(&self, headers: HeaderMap) -> HeaderMap;

    /// The request as a backend server takes it.
    fn backend_request(&self, req: &Request, sending: &AttemptContext<'_>) -> http::Request<Full<Bytes>>;

    /// Reads the head of a backend server's answer.
    fn parse_response(&self, req: &Request, head: &response::Parts) -> ResponseHead;

    /// Head and body of an answer with headers that only concern one connection taken out.
    fn caller_response(&self, head: response::Parts, body: AnswerBody) -> Response<AnswerBody>;

    /// The answer to a request that is given up.
    fn refuse(&self, refusal: &Refusal) -> Response<AnswerBody>;
}
