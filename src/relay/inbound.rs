//! Serves the connections of callers: reads a request, matches it against the configuration, and passes it to
//! [`super::run`].

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result};
use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Request as HttpRequest, Response, Version as HttpVersion, header, request,
};
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{
    Refusal, Relay, Wire,
    answer::AnswerBody,
    capacity::MIN_RECEIVE_BUFFER_BYTES,
    connections::{Admission, Connection, Connections},
    outcome::Outcome,
    pool,
    request::{EventNumber, Part, Request},
    routes::{Caller, CompiledRoute, Routes, Version},
    run,
};
use crate::{
    bodies::GIVE_WAY_TIME,
    error::{ErrorKind, Ran},
    logs::lines::{Level, line},
    metrics::Counter,
    schema::fleet::CallerLimits,
    util::{Instant, now},
};

pub(crate) mod auxiliary;
pub mod body;
pub mod head_timer;
mod late_head;
mod linger;

use body::BodyLimits;
use head_timer::HeadTimer;

/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Retry delay for callers that a leaving host refuses: other hosts can serve them already.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry delay for callers refused by a host that has had no configuration for a while and hears of no host that has
/// one. The store is then down as well, and a caller that retries at once uses up its only retry: of 159 requests that
/// were refused in such an outage with 50 ms, 111 are served with a second.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Retry delay for callers whose bodies find no room: bodies that make no progress have given way by then.
const NO_ROOM_RETRY_AFTER: Duration = GIVE_WAY_TIME;
/// Time since the start after which a missing configuration is no longer due to the start, which takes 20 ms.
const STARTUP_PERIOD: Duration = Duration::from_millis(300);
/// How long a request waits for a host that has just started to learn its configuration: an eighth of the tightest
/// objectives, within which waiting does no harm.
const STARTUP_WAIT: Duration = Duration::from_millis(20);
/// Interval at which a waiting request checks for the configuration.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum size of a head that is parsed, in bytes, unless the configuration allows more. A connection may have been opened
/// under a lower limit than the one in force.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum time without progress in a body; callers on unreliable links may be unreachable for seconds.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest body of a refused request that is read and dropped, so that its connection can carry another request, in bytes.
const MAX_DROPPED_BODY_BYTES: usize = 64 << 10;
/// Maximum time for that; the refusal waits for it.
const DROPPED_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// The parsed head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Identifier of the attempt.
    pub id: Arc<str>,
    /// Host name given by the caller.
    pub host: Arc<str>,
    /// API key, if given.
    pub key: Option<Arc<str>>,
    /// How long the caller waits, if given.
    pub timeout: Option<Duration>,
    /// Model that is to answer, if the caller names one.
    pub model: Arc<str>,
    /// Parts of the prompt.
    pub parts: Vec<Part>,
    /// Event after which a stream should resume.
    pub after: Option<EventNumber>,
    /// Identifier of the attempt that began the stream, if the caller names it.
    pub resumes: Option<Arc<str>>,
}

/// Accepts callers until the host stops accepting.
pub async fn accept<W: Wire>(relay: Arc<Relay<W>>, listener: TcpListener) {
    let mut closing = relay.closing.subscribe();
    let serving = accept_all(listener, "a caller", |stream, from| {
        tokio::spawn(serve(relay.clone(), stream, from));
    });
    tokio::select! {
        () = serving => {}
        _ = closing.changed() => {}
    }
}

/// Passes every accepted connection to `serve` until the task is cancelled. `peer_kind` names the kind of peer in log
/// lines.
pub(crate) async fn accept_all(
    listener: TcpListener,
    peer_kind: &str,
    mut serve: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => serve(stream, from),
            Err(e) => {
                line(Level::Notable, "accept_failed", |l| {
                    l.text("of", peer_kind).text("why", &e.to_string())
                });
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Binds a listening socket.
///
/// # Errors
/// When the address can't be bound.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).await.with_context(|| format!("could not listen on {addr}"))?;
    pool::limit_receive_buffer(&listener, MIN_RECEIVE_BUFFER_BYTES);
    Ok(listener)
}

impl<W: Wire> Relay<W> {
    /// The limits of callers' requests and connections in force.
    fn caller_limits(&self) -> CallerLimits {
        self.routes().map(|r| r.limits()).unwrap_or_else(|| Routes::default().limits())
    }
}

/// Records how a connection to a port was admitted. `peer_kind` names the kind of peer in log lines.
fn record_admission<W: Wire>(
    relay: &Relay<W>,
    connections: &Connections,
    peer_kind: &str,
    admission: Admission,
) {
    let closed = match admission {
        Admission::Free => return,
        Admission::InPlaceOf(rest) => rest.as_str(),
        Admission::Refused => "refused",
    };
    relay.metrics.add(Counter::RelayConnections, closed, 1);
    line(Level::Notable, "connections_full", |l| {
        l.text("of", peer_kind).text("closed", closed).number("open", connections.count() as u64)
    });
}

/// Admits a connection to a port if there is room for it.
pub(crate) fn admit<W: Wire>(
    relay: &Relay<W>,
    connections: &Connections,
    peer_kind: &str,
    timer: &HeadTimer,
) -> Option<Connection> {
    let (admission, connection) = connections.admit(timer.wait().clone(), now());
    record_admission(relay, connections, peer_kind, admission);
    connection
}

/// How serving a connection ends.
enum End {
    /// With this result of the HTTP library.
    Served(hyper::Result<()>),
    /// Since a new connection takes its place.
    GivenWay,
}

/// Serves one connection of a caller.
async fn serve<W: Wire>(relay: Arc<Relay<W>>, stream: TcpStream, from: SocketAddr) {
    let timer = HeadTimer::new({
        let relay = relay.clone();
        move || relay.caller_limits()
    });
    let (admission, admitted) = relay.callers.admit_soon(timer.wait()).await;
    record_admission(&relay, &relay.callers, "a caller", admission);
    let Some(admitted) = admitted else { return };
    // Callers on unreliable links may be unreachable for seconds and still get their answer, so no timeout is set.
    pool::configure_socket(&stream, None);
    pool::limit_receive_buffer(&stream, relay.cfg.capacity.receive_buffer(relay.callers.count()));
    let limits = relay.caller_limits();
    let accepts_chunks = AtomicBool::new(true);
    let service = service_fn(|req: HttpRequest<Incoming>| {
        accepts_chunks.store(req.version() >= HttpVersion::HTTP_11, Ordering::Relaxed);
        let (relay, timer) = (relay.clone(), timer.clone());
        async move { Ok::<_, Infallible>(answer(relay, req, &timer).await) }
    });
    let mut conn = http1::Builder::new()
        .timer(timer.clone())
        .header_read_timeout(Duration::from_millis(limits.idle_ms.into()))
        .max_header_size(MAX_HEAD_BYTES.max(limits.head_bytes as usize))
        .max_buf_size(MAX_HEAD_BYTES.max(limits.head_bytes as usize))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(timer.observe(stream)), service);
    let mut closing = relay.closing.subscribe();
    let counted = relay.track_connection();
    let mut given_way = std::pin::pin!(admitted.given_way(timer.wait()));
    let mut is_closing = false;
    let end = loop {
        tokio::select! {
            result = &mut conn => break End::Served(result),
            () = &mut given_way => break End::GivenWay,
            // The guard must be dropped: it would hold the lock of the channel while the connection closes.
            () = async { drop(closing.wait_for(|closing| *closing).await) }, if !is_closing => {}
        }
        is_closing = true;
        Pin::new(&mut conn).graceful_shutdown();
    };
    if let End::Served(Err(e)) = &end {
        spdlog::debug!("connection of {from} ended: {e}");
    }
    let last_steps = LastSteps::after(&end, &timer, accepts_chunks.load(Ordering::Relaxed));
    let mut stream = conn.into_parts().io.into_inner().into_inner();
    if let Err(e) = last_steps.take(&relay, &mut stream).await {
        spdlog::debug!("could not end the connection of {from} as intended: {e}");
    }
    drop(counted);
    if last_steps.may_read_answer {
        timer.close();
        let max_bytes = MAX_DROPPED_BODY_BYTES + relay.caller_limits().body_bytes as usize;
        tokio::select! {
            () = linger::close(stream, max_bytes) => {}
            () = given_way => {}
        }
    }
}

/// What is left to do on a connection that is no longer served.
struct LastSteps {
    /// Why the request that was being received is refused, if it has no answer yet.
    refusal: Option<ErrorKind>,
    /// Whether the connection is reset, since only that tells its caller that the answer is incomplete.
    resets: bool,
    /// Whether the caller may yet read its last answer.
    may_read_answer: bool,
}

impl LastSteps {
    fn after(end: &End, timer: &HeadTimer, accepts_chunks: bool) -> Self {
        match end {
            End::Served(result) => {
                let is_late = result.as_ref().is_err_and(hyper::Error::is_timeout) && timer.has_begun();
                Self {
                    refusal: is_late.then_some(ErrorKind::HeadTimeout),
                    resets: result.as_ref().is_err_and(hyper::Error::is_user) && !accepts_chunks,
                    // A request that arrives at a connection that was idle is left unread, so that its caller knows that it
                    // did not run.
                    may_read_answer: is_late || (result.is_ok() && !timer.is_waiting()),
                }
            }
            End::GivenWay => Self {
                // A refusal in the middle of an answer would be taken for a part of it.
                refusal: (timer.is_receiving() && !timer.is_writing()).then_some(ErrorKind::NoRoom),
                resets: timer.is_writing() && !accepts_chunks,
                may_read_answer: false,
            },
        }
    }

    async fn take<W: Wire>(&self, relay: &Relay<W>, stream: &mut TcpStream) -> io::Result<()> {
        if let Some(kind) = self.refusal {
            late_head::refuse(stream, refuse(relay, "", kind)).await?;
        }
        if self.resets { stream.set_zero_linger() } else { Ok(()) }
    }
}

async fn answer<W: Wire>(
    relay: Arc<Relay<W>>,
    req: HttpRequest<Incoming>,
    timer: &HeadTimer,
) -> Response<AnswerBody> {
    let (mut response, is_last) = match read_request(&relay, req, timer).await {
        Ok(req) => {
            let _entered = relay.track_request();
            (run::run(relay.clone(), req).await, false)
        }
        Err(refused) => (refuse(&relay, &refused.id, refused.kind), refused.is_unread),
    };
    if is_last || relay.is_leaving() || relay.callers.is_awaited() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Refuses a request before an attempt.
fn refuse<W: Wire>(relay: &Relay<W>, id: &str, kind: ErrorKind) -> Response<AnswerBody> {
    line(Level::Notable, "refused", |l| {
        let l = l.text("request", id).text("kind", kind.answer().code);
        let l = l.number("version", relay.routes().map_or(0, |r| r.version()));
        let l = l.ms("confirmed_ms", relay.configuration_age());
        match kind {
            ErrorKind::NoRoom => l.number("bodies", relay.bodies.used() as u64),
            _ => l,
        }
    });
    relay.metrics.add(Counter::RelayRequests, Outcome::Refused.as_str(), 1);
    relay.metrics.add(Counter::RelayRefusals, kind.answer().code, 1);
    let retry_after = kind.answer().retry_after_s.is_some().then(|| retry_after_for(relay, kind));
    relay.wire.refuse(&Refusal { kind, ran: Ran::No, retry_after })
}

/// The retry delay for a caller that is refused before an attempt.
fn retry_after_for<W: Wire>(relay: &Relay<W>, kind: ErrorKind) -> Duration {
    if kind == ErrorKind::NoRoom {
        return NO_ROOM_RETRY_AFTER;
    }
    if kind == ErrorKind::NotReady && relay.is_alone_without_configuration(STARTUP_PERIOD) {
        return NO_CONFIGURATION_RETRY_AFTER;
    }
    LEAVING_RETRY_AFTER
}

/// Waits briefly for the configuration of a host that has just started: the first answer of the store takes a few
/// milliseconds.
async fn wait_for_configuration<W: Wire>(relay: &Relay<W>) {
    let until = now() + STARTUP_WAIT;
    while relay.routes().is_none() && now() < until {
        tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// A request that is refused before an attempt.
struct Refused {
    id: Arc<str>,
    kind: ErrorKind,
    /// Whether a part of the body has not been read.
    is_unread: bool,
}

/// Reads a request and decides whether this host accepts it.
async fn read_request<W: Wire>(
    relay: &Relay<W>,
    req: HttpRequest<Incoming>,
    timer: &HeadTimer,
) -> Result<Request, Refused> {
    let arrived = now();
    let (head, body) = req.into_parts();
    let parsed = relay.wire.parse_request(&head);
    let id = parsed.id.clone();
    if !relay.has_run_for(STARTUP_PERIOD) {
        wait_for_configuration(relay).await;
    }
    let limits = relay.caller_limits();
    let matched = check_size(&head, limits).and_then(|()| accept_head(relay, &parsed, &head, arrived));
    let Accepted { matched: Matched { version, route, caller }, service, deadline } = match matched {
        Ok(accepted) => accepted,
        Err(kind) => {
            let is_unread = !drop_body(body, &head).await;
            return Err(Refused { id, kind, is_unread });
        }
    };
    timer.begin_body();
    let body = read_body(relay, body, &head, deadline).await;
    timer.end();
    let body = match body {
        Ok(body) => body,
        Err(kind) => return Err(Refused { id, kind, is_unread: true }),
    };
    if !relay.accepts(deadline) {
        return Err(Refused { id, kind: ErrorKind::Leaving, is_unread: false });
    }
    let request = Request {
        id,
        service,
        caller,
        method: head.method.clone(),
        target: head.uri.clone(),
        headers: relay.wire.forwarded_headers(head.headers),
        body,
        model: parsed.model,
        parts: if route.route.prompts { parsed.parts } else { Vec::new() },
        after: if route.stream { parsed.after } else { None },
        resumes: parsed.resumes,
        route,
        version,
        arrived,
        deadline,
    };
    Ok(request)
}

/// Checks the size of a head, about as it was sent.
fn check_size(head: &request::Parts, limits: CallerLimits) -> Result<(), ErrorKind> {
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let first_line = head.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    let line =
        |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + ": \r\n".len();
    let bytes = first_line + head.headers.iter().map(line).sum::<usize>() + "\r\n".len();
    if bytes > limits.head_bytes as usize { Err(ErrorKind::HeadTooLarge) } else { Ok(()) }
}

/// The route and the caller of a request.
struct Matched {
    version: Version,
    route: Arc<CompiledRoute>,
    caller: Option<Arc<Caller>>,
}

/// What the head of an accepted request determines.
struct Accepted {
    matched: Matched,
    service: Arc<str>,
    deadline: Instant,
}

/// Decides by its head whether this host accepts a request.
fn accept_head<W: Wire>(
    relay: &Relay<W>,
    parsed: &RequestHead,
    head: &request::Parts,
    arrived: Instant,
) -> Result<Accepted, ErrorKind> {
    let matched = find_route(relay, parsed, head)?;
    let timeout = Duration::from_millis(matched.route.route.timeout_ms.into());
    let deadline = arrived + parsed.timeout.map_or(timeout, |waits| waits.min(timeout));
    let service = matched.route.service(relay.draw()).ok_or(ErrorKind::NoEngine)?.into();
    match relay.accepts(deadline) {
        true => Ok(Accepted { matched, service, deadline }),
        false => Err(ErrorKind::Leaving),
    }
}

/// Finds the route and the caller. A host that may have missed a configuration change does not claim that an unknown
/// route or key does not exist; it refuses the request, which has provably not run.
fn find_route<W: Wire>(
    relay: &Relay<W>,
    parsed: &RequestHead,
    head: &request::Parts,
) -> Result<Matched, ErrorKind> {
    let Some(routes) = relay.routes() else { return Err(ErrorKind::NotReady) };
    let version = routes.version();
    let unless_stale = |kind| if relay.is_stale() { ErrorKind::NotReady } else { kind };
    let Some(route) = routes.find(&parsed.host, head.uri.path()) else {
        return Err(unless_stale(ErrorKind::NotFound));
    };
    if route.route.open || !routes.requires_keys() {
        return Ok(Matched { version, route: route.clone(), caller: None });
    }
    let caller = parsed.key.as_deref().and_then(|key| routes.caller(key));
    match caller {
        Some(caller) => Ok(Matched { version, route: route.clone(), caller: Some(caller.clone()) }),
        None => Err(unless_stale(ErrorKind::UnknownWorkspace)),
    }
}

/// Reads the body of a request whose time ends at `until`.
async fn read_body<W: Wire>(
    relay: &Relay<W>,
    body: Incoming,
    head: &request::Parts,
    until: Instant,
) -> Result<Bytes, ErrorKind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max_bytes = relay.caller_limits().body_bytes as usize;
    let length = stated_length(head);
    if length.is_some_and(|n| n > max_bytes) {
        return Err(ErrorKind::BodyTooLarge);
    }
    let time = until.saturating_sub(now());
    let limits = BodyLimits { max_bytes, time, stall: BODY_STALL_TIMEOUT };
    body::read(body, length, limits, relay.bodies.room(now())).await
}

/// Reads the body of a refused request and drops it, unless it is long or its caller waits for leave to send it. Returns
/// whether it was complete.
async fn drop_body(body: Incoming, head: &request::Parts) -> bool {
    let is_long = stated_length(head).is_some_and(|bytes| bytes > MAX_DROPPED_BODY_BYTES);
    if is_long || head.headers.contains_key(header::EXPECT) {
        return body.is_end_stream();
    }
    body::drop_rest(body, MAX_DROPPED_BODY_BYTES, DROPPED_BODY_TIMEOUT).await
}

/// The length of a body, if its head states it.
fn stated_length(head: &request::Parts) -> Option<usize> {
    head.headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
