//! Callers, which look up addresses of hosts, send each request over a new connection and record its outcome.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{
    Scenario, THINK_TIME_MS,
    checks::{History, Kind, Observation, Outcome, REQUEST_DEADLINE, STREAM_EVENTS},
    engine::HARMFUL_PART,
    hosts::Hosts,
    look_up_addresses,
};
use crate::wire::{events, header, is_complete, status};

/// API key that stays valid.
pub const KEY: &str = "k1";
/// API key that the final configuration revokes.
pub const KEY_TO_REVOKE: &str = "k2";
/// Number of bytes of an answer after which a caller drops those that follow.
const MAX_ANSWER_SIZE: usize = 16 * 1_024;
/// Additional time after the deadline until a caller gives up.
const DEADLINE_SLACK: Duration = Duration::from_secs(2);
/// Timeout for connecting and for short calls, and interval between lookups of addresses.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of times that a caller takes up a broken stream.
const MAX_TAKE_UPS: usize = 3;
/// Time without any answer after which callers look for another host where hosts are cut off or stand still.
const PATIENCE: Duration = Duration::from_millis(300);
/// Number of times that a caller looks for a host which takes connections.
const MAX_REFUSED_CONNECTIONS: usize = 16;
/// In runs with requests that crash servers, one in this many does.
const HARMFUL_ONE_IN: u32 = 12;
/// While servers read late, one in this many requests has a long body, and one in this many goes to another host.
const LONG_BODY_ONE_IN: u32 = 2;
const MOVE_ONE_IN: u32 = 8;
/// Sizes of bodies in bytes.
const SHORT_BODY: usize = 200;
const LONG_BODY: usize = 60_000;
/// In runs with several versions, one in this many streams is left by its caller in the middle.
const LEAVE_ONE_IN: u32 = 3;

/// The stream that a request takes up.
#[derive(Clone, Debug)]
pub struct TakenUp {
    /// Identifier of the attempt that began it.
    pub first: String,
    /// Target of that attempt, since the request stays the same.
    pub target: String,
    /// Number of its events that the caller has.
    pub after: u32,
}

/// Counter for unique request identifiers.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// Sends requests of all kinds until the task is aborted.
pub async fn send_requests(
    n: usize,
    hosts: Arc<Hosts>,
    history: Arc<History>,
    scenario: Scenario,
    mut rng: StdRng,
) {
    let mut host_addrs = hosts.addresses();
    let mut resolved_at = Instant::now();
    let mut kept = None;
    loop {
        if resolved_at.elapsed() >= SHORT_TIMEOUT {
            host_addrs = look_up_addresses(&hosts, &mut rng).await;
            resolved_at = Instant::now();
        }
        let addr = host_addrs[rng.random_range(0..host_addrs.len())];
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let kind =
            if matches!(scenario, Scenario::Crashes | Scenario::Cuts) { Kind::ResumableStream } else { kind };
        let key = if n.is_multiple_of(2) { KEY } else { KEY_TO_REVOKE };
        match scenario {
            Scenario::Versions | Scenario::Cuts if kind == Kind::ResumableStream => {
                let patience =
                    if scenario == Scenario::Cuts { PATIENCE } else { REQUEST_DEADLINE + DEADLINE_SLACK };
                call_until_complete(&host_addrs, key, patience, &history, &mut rng).await;
            }
            Scenario::Crashes => {
                let is_harmful = rng.random_ratio(1, HARMFUL_ONE_IN);
                let topic = rng.random_range(0x50..0x58);
                let prompt = if is_harmful { HARMFUL_PART.to_owned() } else { format!("{topic:x}") };
                let prompt = Some(format!("f1:100,{prompt}:50"));
                send(Request { prompt, ..Request::new(addr, kind, key, kind.path()) }, &history).await;
            }
            Scenario::LateReaders | Scenario::EndlessBytes(_) => {
                let is_long = scenario == Scenario::LateReaders && rng.random_ratio(1, LONG_BODY_ONE_IN);
                let body_size = if is_long { LONG_BODY } else { SHORT_BODY };
                let moves = rng.random_ratio(1, MOVE_ONE_IN);
                let addr = kept.as_ref().map_or(addr, |(at, _)| if moves { addr } else { *at });
                let request = Request::new(addr, kind, key, kind.path());
                send(Request { body_size, kept: Some(&mut kept), ..request }, &history).await;
            }
            _ => {
                call(addr, kind, key, kind.path(), &history).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(THINK_TIME_MS))).await;
    }
}

/// Requests a stream and takes it up at any host when it breaks off; sometimes leaves it in the middle to do so.
async fn call_until_complete(
    addrs: &[SocketAddr],
    key: &str,
    patience: Duration,
    history: &History,
    rng: &mut StdRng,
) {
    let (mut taken_up, mut attempts, mut refused): (Option<TakenUp>, _, _) = (None, 0, 0);
    while attempts <= MAX_TAKE_UPS && refused <= MAX_REFUSED_CONNECTIONS {
        let after = taken_up.as_ref().map_or(0, |taken_up| taken_up.after);
        let leaves = taken_up.is_none() && rng.random_ratio(1, LEAVE_ONE_IN);
        let leave_at = leaves.then(|| rng.random_range(1..STREAM_EVENTS));
        let addr = addrs[rng.random_range(0..addrs.len())];
        let kind = Kind::ResumableStream;
        let request = Request {
            taken_up: taken_up.clone(),
            leave_at,
            patience,
            ..Request::new(addr, kind, key, kind.path())
        };
        let (id, target, outcome) = send(request, history).await;
        match outcome {
            Outcome::ConnectFailed => refused += 1,
            _ => attempts += 1,
        }
        let events = match outcome {
            Outcome::ConnectFailed if taken_up.is_some() => 0,
            Outcome::Disconnected(data) | Outcome::Left(data) => data.len() as u32,
            Outcome::Complete { status: 503, .. } => 0,
            _ => return,
        };
        let has_begun = taken_up.is_some() || events > 0;
        let first = taken_up.map_or((id, target), |taken_up| (taken_up.first, taken_up.target));
        taken_up = has_begun.then(|| TakenUp { first: first.0, target: first.1, after: after + events });
    }
}

/// What a caller sends.
struct Request<'a> {
    addr: SocketAddr,
    kind: Kind,
    key: &'a str,
    path: &'a str,
    taken_up: Option<TakenUp>,
    /// Number of events after which the caller leaves.
    leave_at: Option<u32>,
    /// Time without any answer after which the caller leaves.
    patience: Duration,
    /// Shared parts of the prompt; a part of the request's own follows.
    prompt: Option<String>,
    /// Size of the body in bytes.
    body_size: usize,
    /// Connection that is used if it leads to the address, and kept open after a complete answer.
    kept: Option<&'a mut Option<(SocketAddr, TcpStream)>>,
}

impl<'a> Request<'a> {
    /// A request with a short body over a new connection.
    fn new(addr: SocketAddr, kind: Kind, key: &'a str, path: &'a str) -> Self {
        let (taken_up, leave_at, prompt, kept) = (None, None, None, None);
        let patience = REQUEST_DEADLINE + DEADLINE_SLACK;
        Self { addr, kind, key, path, taken_up, leave_at, patience, prompt, body_size: SHORT_BODY, kept }
    }
}

/// Body of a request, which begins with its identifier.
pub fn request_body(id: &str, size: usize) -> String {
    format!("{id:x<size$}")
}

/// Sends one request and records its outcome.
pub async fn call(addr: SocketAddr, kind: Kind, key: &str, path: &str, history: &History) -> Outcome {
    let (_, _, outcome) = send(Request::new(addr, kind, key, path), history).await;
    outcome
}

/// Sends one request and records its outcome; returns its identifier and its target with it.
async fn send(request: Request<'_>, history: &History) -> (String, String, Outcome) {
    let Request { addr, kind, key, path, taken_up, leave_at, patience, prompt, body_size, kept } = request;
    let id = format!("r{:06}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let target = taken_up.as_ref().map_or_else(|| format!("{path}{id}"), |taken_up| taken_up.target.clone());
    let resumes = taken_up.as_ref().map_or_else(String::new, |taken_up| {
        format!("Resumes: {}\r\nLast-Event-Id: {}\r\n", taken_up.first, taken_up.after)
    });
    if let Some(TakenUp { first, after, .. }) = taken_up {
        history.record(Observation::TakenUp { id: id.clone(), first, after });
    }
    let host = addr.ip().to_string();
    let always_allowed = key == KEY && path == kind.path();
    history.record(Observation::Sent {
        id: id.clone(),
        kind,
        target: target.clone(),
        always_allowed,
        host,
        at: Instant::now(),
    });
    if prompt.as_ref().is_some_and(|prompt| prompt.contains(HARMFUL_PART)) {
        history.record(Observation::Harmful { id: id.clone() });
    }
    let number = id.trim_start_matches('r');
    let prompt = prompt.map(|shared| format!("Model: m\r\nPrefix-Hash: {shared},{number}:20\r\n"));
    let prompt = prompt.unwrap_or_default();
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n{resumes}{prompt}Key: {key}\r\n"
    );
    let body = request_body(&id, body_size);
    let req = format!(
        "{head}Request-Deadline: {}\r\nContent-Length: {}\r\n\r\n{body}",
        REQUEST_DEADLINE.as_millis(),
        body.len()
    );
    let mut discarded = None;
    let exchange =
        exchange(addr, &req, kind, &id, (leave_at, patience), kept.unwrap_or(&mut discarded), history);
    let outcome = timeout(REQUEST_DEADLINE + DEADLINE_SLACK, exchange).await.unwrap_or(Outcome::TimedOut);
    history.record(Observation::Finished { id: id.clone(), outcome: outcome.clone(), at: Instant::now() });
    (id, target, outcome)
}

/// Sends a raw request over the connection that was kept, or a new one, and reads the answer.
async fn exchange(
    addr: SocketAddr,
    req: &str,
    kind: Kind,
    id: &str,
    (leave_at, patience): (Option<u32>, Duration),
    kept: &mut Option<(SocketAddr, TcpStream)>,
    history: &History,
) -> Outcome {
    let mut stream = match kept.take() {
        Some((at, stream)) if at == addr => stream,
        _ => match timeout(SHORT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            _ => return Outcome::ConnectFailed,
        },
    };
    if stream.write_all(req.as_bytes()).await.is_err() {
        return Outcome::Disconnected(Vec::new());
    }
    let (mut buf, mut got) = (Vec::new(), 0);
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        let whole_events = text.rsplit_once("\n\n").map_or(0, |(whole, _)| events(whole).len() as u32);
        if kind.is_stream() && whole_events > got {
            got = whole_events;
            history.record(Observation::GotEvents { id: id.to_owned(), count: got, at: Instant::now() });
        }
        if is_complete(&text) {
            if matches!(status(&text), 429 | 503) && header(&text, "retry-after").is_none() {
                history.record(Observation::RefusedWithoutTime { id: id.to_owned() });
            }
            if header(&text, "connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
                *kept = Some((addr, stream));
            }
            return Outcome::Complete { status: status(&text), data: answer_data(&text, kind, id) };
        }
        if buf.len() > MAX_ANSWER_SIZE {
            // The connection may also end with an error.
            let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
            return Outcome::Disconnected(answer_data(&text, kind, id));
        }
        // An event of which a part has arrived does not count.
        let (whole, _) = text.rsplit_once("\n\n").unwrap_or_default();
        if leave_at.is_some_and(|count| events(whole).len() >= count as usize) {
            return Outcome::Left(answer_data(whole, kind, id));
        }
        let waits = if buf.is_empty() { patience } else { REQUEST_DEADLINE + DEADLINE_SLACK };
        match timeout(waits, stream.read_buf(&mut buf)).await {
            Err(_) => return Outcome::Left(answer_data(whole, kind, id)),
            Ok(Ok(n)) if n > 0 => {}
            _ => {
                return Outcome::Disconnected(if kind.is_stream() {
                    answer_data(&text, kind, id)
                } else {
                    Vec::new()
                });
            }
        }
    }
}

/// Data of an answer without the request's own identifier, so that only an identifier of another request remains.
fn answer_data(text: &str, kind: Kind, id: &str) -> Vec<String> {
    let own = |answer_data: &str| {
        answer_data.strip_suffix(id).map_or_else(|| answer_data.to_owned(), |d| d.trim_end().to_owned())
    };
    // A connection that ends before the head of an answer has no events.
    let is_error = text.contains("\r\n\r\n") && status(text) != 200;
    match kind.is_stream() && !is_error {
        true => events(text).into_iter().map(own).collect(),
        false => vec![own(text.split_once("\r\n\r\n").map_or("", |(_, body)| body))],
    }
}

/// Asks a host's directory for the addresses to which callers may connect.
pub async fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let parse = |text: String| {
        let body: serde_json::Value = serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()?;
        let listed = body["addresses"].as_array()?;
        Some(listed.iter().filter_map(|a| a.as_str()?.parse().ok()).collect())
    };
    get(directory, "/resolve?name=shop.example&zone=a").await.and_then(parse).unwrap_or_default()
}

/// Sends a GET request; returns `None` unless the complete answer arrives within the timeout.
pub async fn get(addr: SocketAddr, target: &str) -> Option<String> {
    let response = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let req = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(req.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    timeout(SHORT_TIMEOUT, response).await.ok().flatten()
}
