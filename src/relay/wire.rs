//! What an adapter translates between the pipeline and an interface of callers and backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response, request, response};
use http_body_util::Full;

use super::{
    admission::ReportedLoad,
    answer::AnswerBody,
    attempts::Failure,
    inbound::Ask,
    request::{EventNumber, Request},
};
use crate::error::{Kind, Ran};

/// What an attempt tells its backend server beside the request itself.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
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
pub struct Read {
    /// Why it is not the answer, if it isn't.
    pub failure: Option<Failure>,
    /// How long it keeps an idle connection, if it tells.
    pub keeps: Option<Duration>,
    /// Whether it closes the connection after this answer.
    pub closes: bool,
    /// The work at the server, if it tells.
    pub told: Option<ReportedLoad>,
    /// Whether the server says that it leaves.
    pub leaves: bool,
    /// For how long it wants nothing from this host, if it has turned the request away and tells so.
    pub pause: Option<Duration>,
}

/// A request that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// Whether it may have run.
    pub ran: Ran,
    /// When the caller should come back, if that makes sense.
    pub retry_after: Option<Duration>,
}

/// Translates between the pipeline and one interface.
pub trait Wire: Send + Sync + 'static {
    /// Reads the head of a request.
    fn ask(&self, head: &request::Parts) -> Ask;

    /// The headers of a request that are passed on.
    fn forwarded(&self, headers: HeaderMap) -> HeaderMap;

    /// The request as a backend server takes it.
    fn attempt(&self, req: &Request, sending: &Sending<'_>) -> http::Request<Full<Bytes>>;

    /// Reads the head of a backend server's answer.
    fn read(&self, req: &Request, head: &response::Parts) -> Read;

    /// Head and body of an answer with headers that only concern one connection taken out.
    fn pass(&self, head: response::Parts, body: AnswerBody) -> Response<AnswerBody>;

    /// The answer to a request that is given up.
    fn refuse(&self, refusal: &Refusal) -> Response<AnswerBody>;
}
