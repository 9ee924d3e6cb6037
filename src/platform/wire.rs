//! Requests and responses in the format of the platform's callers and backend servers.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request as HttpRequest, Response, StatusCode, Version, header,
    request, response,
};
use http_body_util::Full;

use super::names;
use crate::{
    error::{ErrorKind, Ran},
    relay::{
        AttemptContext, PaceReport, Refusal, ResponseHead, Wire,
        admission::ReportedLoad,
        answer::AnswerBody,
        attempts::Failure,
        inbound::RequestHead,
        request::{Part, Request},
    },
};

/// Maximum rank that backend servers accept; 0 is the most urgent.
const MAX_RANK: u32 = 9;

/// The platform's wire format.
#[derive(Clone, Copy, Debug)]
pub struct PlatformWire;

impl Wire for PlatformWire {
    fn parse_request(&self, head: &request::Parts) -> RequestHead {
        let headers = &head.headers;
        let host = text(headers, &header::HOST).or_else(|| head.uri.host());
        RequestHead {
            id: text(headers, &names::ATTEMPT_ID).unwrap_or_default().into(),
            host: host.unwrap_or_default().into(),
            key: text(headers, &names::API_KEY).map(Into::into),
            timeout: number(headers, &names::DEADLINE).map(Duration::from_millis),
            model: text(headers, &names::MODEL).unwrap_or_default().into(),
            parts: text(headers, &names::PREFIX_HASH).map(parse_parts).unwrap_or_default(),
            after: number(headers, &names::LAST_EVENT_ID),
            resumes: text(headers, &names::RESUMES).map(Into::into),
        }
    }

    fn forwarded_headers(&self, mut headers: HeaderMap) -> HeaderMap {
        remove_hop_headers(&mut headers);
        names::RESERVED.iter().for_each(|name| remove_all(&mut headers, name));
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        headers
    }

    fn backend_request(&self, req: &Request, sending: &AttemptContext<'_>) -> HttpRequest<Full<Bytes>> {
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
            set(names::LAST_EVENT_ID, after.to_string());
        }
        if let Some(from) = sending.fetch_from {
            set(names::KV_FETCH, from.to_string());
        }
        if req.route.route.prompts {
            set(names::PRIORITY, req.rank().min(MAX_RANK).to_string());
        }
        out
    }

    fn parse_response(&self, req: &Request, head: &response::Parts) -> ResponseHead {
        let headers = &head.headers;
        let named = text(headers, &names::ATTEMPT_ID);
        if named.is_some_and(|id| id != &*req.id) {
            // It tells nothing about this request, and what it tells of the server may be out of date.
            return ResponseHead { failure: Some(Failure::Garbled), closes: true, ..Default::default() };
        }
        ResponseHead {
            failure: failure(head, named.is_some()),
            is_named: named.is_some(),
            keep_alive: text(headers, &names::KEEP_ALIVE).and_then(keep_alive_timeout),
            closes: text(headers, &header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close")),
            load: text(headers, &names::SERVER_LOAD).and_then(parse_load),
            pace: PaceReport::parse(text(headers, &names::SERVER_LOAD).and_then(|v| v.split(',').nth(3))),
            leaving: is_leaving(head),
            pause: requested_pause(head),
            brittle: number(headers, &names::SERVER_BRITTLE).and_then(|n| n.try_into().ok()),
        }
    }

    fn caller_response(&self, mut head: response::Parts, body: AnswerBody) -> Response<AnswerBody> {
        remove_hop_headers(&mut head.headers);
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

/// Status of a refusal, by its kind and by whether the request ran. 408, 429 and 503 guarantee that it has not run.
fn status(kind: ErrorKind, ran: Ran) -> StatusCode {
    match (ran, kind) {
        (Ran::No, ErrorKind::NotFound) => StatusCode::NOT_FOUND,
        (Ran::No, ErrorKind::UnknownWorkspace) => StatusCode::UNAUTHORIZED,
        (Ran::No, ErrorKind::BadRequest) => StatusCode::BAD_REQUEST,
        (Ran::No, ErrorKind::HeadTooLarge) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        (Ran::No, ErrorKind::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (Ran::No, ErrorKind::HeadTimeout | ErrorKind::BodyTimeout) => StatusCode::REQUEST_TIMEOUT,
        (Ran::No, ErrorKind::WorkspaceLimit | ErrorKind::GroupLimit) => StatusCode::TOO_MANY_REQUESTS,
        (Ran::No, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, ErrorKind::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Why a response that names no other request must not be passed on, if so. One without the server's seal was not written by
/// the server.
fn failure(head: &response::Parts, is_named: bool) -> Option<Failure> {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Failure::Moved);
    }
    if head.headers.contains_key(names::NOT_EXECUTED) {
        return Some(Failure::Refused);
    }
    let sealed = head.headers.contains_key(names::RESPONSE_SEAL) && is_named;
    let encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    (head.status.is_success() && (!sealed || encoded)).then_some(Failure::Garbled)
}

/// Whether the response says that its server is leaving. A misdirected response comes from another server and does not count.
fn is_leaving(head: &response::Parts) -> bool {
    let announced = text(&head.headers, &names::SERVER_LEAVING).is_some_and(|value| value.trim() == "1");
    announced && head.status != StatusCode::MISDIRECTED_REQUEST
}

/// Pause that a server requests with a refusal, in seconds, possibly fractional; other values, such as dates, are ignored.
fn requested_pause(head: &response::Parts) -> Option<Duration> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = text(&head.headers, &header::RETRY_AFTER)?;
    let seconds = value.trim().parse().ok().filter(|seconds: &f64| *seconds > 0.0);
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if pause.is_none() {
        spdlog::debug!("invalid retry-after header of a server: {value:?}");
    }
    pause
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Parses prompt parts: `ID:TOKENS` with the ID in hexadecimal, separated by commas.
fn parse_parts(value: &str) -> Vec<Part> {
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(Part { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    value.split(',').map_while(part).collect()
}

/// Parses a server's load: running requests, waiting requests and slots, separated by commas.
fn parse_load(value: &str) -> Option<ReportedLoad> {
    let mut numbers = value.split(',').map(|n| n.trim().parse().ok());
    Some(ReportedLoad { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? })
}

fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Removes hop-by-hop headers, including those that the `connection` header lists; a server's signature is none.
fn remove_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .filter(|name| *name != names::RESPONSE_SEAL)
        .collect();
    names::HOP_BY_HOP.iter().chain(&listed).for_each(|name| remove_all(headers, name));
}

fn remove_all(headers: &mut HeaderMap, name: &HeaderName) {
    while headers.remove(name).is_some() {}
}
