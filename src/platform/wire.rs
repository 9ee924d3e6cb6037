//! Requests and answers as the platform's callers and backend servers write them.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request as HttpRequest, Response, StatusCode, Version, header,
    request, response,
};
use http_body_util::Full;

use super::names;
use crate::{
    error::{Kind, Ran},
    relay::{
        Read, Refusal, Sending, Wire,
        admission::ReportedLoad,
        answer::AnswerBody,
        attempts::Failure,
        inbound::Ask,
        request::{Part, Request},
    },
};

/// Highest number that a rank may have at a backend server; 0 is the most urgent.
const MOST_RANK: u32 = 9;

/// The platform's wire form.
#[derive(Clone, Copy, Debug)]
pub struct PlatformWire;

impl Wire for PlatformWire {
    fn ask(&self, head: &request::Parts) -> Ask {
        let headers = &head.headers;
        let host = text(headers, &header::HOST).or_else(|| head.uri.host());
        Ask {
            id: text(headers, &names::ATTEMPT_ID).unwrap_or_default().into(),
            host: host.unwrap_or_default().into(),
            key: text(headers, &names::KEY).map(Into::into),
            waits: number(headers, &names::DEADLINE).map(Duration::from_millis),
            parts: text(headers, &names::PREFIX).map(parts).unwrap_or_default(),
            after: number(headers, &names::LAST_EVENT),
        }
    }

    fn forwarded(&self, mut headers: HeaderMap) -> HeaderMap {
        strip(&mut headers);
        names::OWN.iter().for_each(|name| while_removed(&mut headers, name));
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        headers
    }

    fn attempt(&self, req: &Request, sending: &Sending<'_>) -> HttpRequest<Full<Bytes>> {
        let mut out = HttpRequest::new(Full::new(req.body.clone()));
        *out.method_mut() = req.method.clone();
        *out.uri_mut() = req.target.clone();
        *out.version_mut() = Version::HTTP_11;
        let headers = out.headers_mut();
        headers.clone_from(&req.headers);
        let mut set = |name: HeaderName, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        };
        set(names::DEADLINE, sending.left.as_millis().to_string());
        set(names::EXPECTED_INSTANCE, sending.backend.to_owned());
        if let Some(caller) = &req.caller {
            set(names::TENANT, caller.workspace.to_string());
        }
        if let Some(after) = sending.after {
            set(names::LAST_EVENT, after.to_string());
        }
        if let Some(from) = sending.fetch_from {
            set(names::KV_FETCH, from.to_string());
        }
        if req.route.route.prompts {
            set(names::PRIORITY, req.rank().min(MOST_RANK).to_string());
        }
        out
    }

    fn read(&self, req: &Request, head: &response::Parts) -> Read {
        let headers = &head.headers;
        Read {
            failure: failure(req, head),
            keeps: text(headers, &names::KEEP_ALIVE).and_then(keeps),
            closes: text(headers, &header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close")),
            told: text(headers, &names::LOAD).and_then(told),
            leaves: leaves(head),
            pause: pause(head),
        }
    }

    fn pass(&self, mut head: response::Parts, body: AnswerBody) -> Response<AnswerBody> {
        strip(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        head.version = Version::HTTP_11;
        head.extensions.clear();
        Response::from_parts(head, body)
    }

    fn refuse(&self, refusal: &Refusal) -> Response<AnswerBody> {
        let body = format!("{{\"error\":\"{}\"}}", refusal.kind.answer().code);
        let mut res = Response::new(AnswerBody::Buffered(body.into()));
        *res.status_mut() = status(refusal.kind, refusal.ran);
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let after = refusal.retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
        if let Some(Ok(after)) = after.map(|after| HeaderValue::from_str(&after)) {
            headers.insert(header::RETRY_AFTER, after);
        }
        res
    }
}

/// The table from kind and what ran to status. 408, 429 and 503 promise that the request has not run.
fn status(kind: Kind, ran: Ran) -> StatusCode {
    match (ran, kind) {
        (Ran::No, Kind::NotFound) => StatusCode::NOT_FOUND,
        (Ran::No, Kind::UnknownWorkspace) => StatusCode::UNAUTHORIZED,
        (Ran::No, Kind::BadRequest) => StatusCode::BAD_REQUEST,
        (Ran::No, Kind::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (Ran::No, Kind::BodyTimeout) => StatusCode::REQUEST_TIMEOUT,
        (Ran::No, Kind::WorkspaceLimit | Kind::GroupLimit) => StatusCode::TOO_MANY_REQUESTS,
        (Ran::No, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Kind::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Why an answer is not the one to pass on. An answer without the server's signature is none of its own, and one with
/// another identifier belongs to a request that was sent before on the same connection.
fn failure(req: &Request, head: &response::Parts) -> Option<Failure> {
    let echoed = text(&head.headers, &names::ATTEMPT_ID);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Failure::Moved);
    }
    if echoed.is_some_and(|id| id != &*req.id) {
        return Some(Failure::Garbled);
    }
    if head.headers.contains_key(names::NOT_EXECUTED) {
        return Some(Failure::Refused);
    }
    let whole = head.headers.contains_key(names::SEAL) && echoed.is_some();
    let encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    (head.status.is_success() && (!whole || encoded)).then_some(Failure::Garbled)
}

/// Whether an answer says that its server leaves. A server that stands where another one was meant speaks for itself.
fn leaves(head: &response::Parts) -> bool {
    let says = text(&head.headers, &names::LEAVING).is_some_and(|value| value.trim() == "1");
    says && head.status != StatusCode::MISDIRECTED_REQUEST
}

/// For how long a server that has turned a request away wants nothing, in seconds that may have fractions. Anything else, a
/// date included, asks for nothing.
fn pause(head: &response::Parts) -> Option<Duration> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let told = text(&head.headers, &header::RETRY_AFTER)?;
    let seconds = told.trim().parse().ok().filter(|seconds: &f64| *seconds > 0.0);
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if pause.is_none() {
        spdlog::debug!("a server asks for a pause that is none: {told:?}");
    }
    pause
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Parts as `ID:TOKENS` with the ID in hexadecimal, separated by commas.
fn parts(value: &str) -> Vec<Part> {
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(Part { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    value.split(',').map_while(part).collect()
}

/// Running and waiting requests and places, separated by commas.
fn told(value: &str) -> Option<ReportedLoad> {
    let mut numbers = value.split(',').map(|n| n.trim().parse().ok());
    Some(ReportedLoad { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? })
}

fn keeps(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Takes headers out that only concern one connection, those included that the connection header names.
fn strip(headers: &mut HeaderMap) {
    let listed: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    names::HOP.iter().chain(&listed).for_each(|name| while_removed(headers, name));
}

fn while_removed(headers: &mut HeaderMap, name: &HeaderName) {
    while headers.remove(name).is_some() {}
}
