//! Where callers connect: reads a request, checks it against the configuration, and hands it to [`super::run`].

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use bytes::Bytes;
use http::{HeaderValue, Request as HttpRequest, Response, header, request};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::{
    Refusal, Relay, Wire,
    answer::AnswerBody,
    outcome::Outcome,
    pool,
    request::{EventNumber, Part, Request},
    routes::{Caller, CompiledRoute, Routes, Version},
    run,
};
use crate::{
    error::{ErrorKind, Ran},
    logs::lines::{Weight, line},
    metrics::Counter,
    schema::fleet::CallerLimits,
    util::now,
};

/// Pause after a failed accept, as when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When a caller should come back who is refused by a host that leaves: others serve already.
const ELSEWHERE: Duration = Duration::from_millis(50);
/// When a caller should come back who is refused by a host that has known no configuration for a while and hears of no
/// host that does. The store is away as well then, and a caller who comes back at once has used its only retry up: of 159
/// requests that were refused in such an outage with 50 ms, 111 are served with a second.
const KNOWS_NOTHING: Duration = Duration::from_millis(1_000);
/// After this time without configuration a start is no longer the reason; it takes 20 ms.
const START: Duration = Duration::from_millis(300);
/// How long a request waits for a host that has just started to learn its configuration: an eighth of the tightest
/// objectives, within which waiting costs nothing.
const WAITS_FOR_START: Duration = Duration::from_millis(20);
/// Time between two looks while it waits.
const LOOK: Duration = Duration::from_millis(4);
/// Longest time for a body to arrive; callers on weak links need some seconds.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// What the head of a request says, as an adapter reads it.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Identifier of the attempt.
    pub id: Arc<str>,
    /// Host name that the caller gives.
    pub host: Arc<str>,
    /// Key, if it gives one.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Parts of the prompt.
    pub parts: Vec<Part>,
    /// Event after which a stream shall go on.
    pub after: Option<EventNumber>,
}

/// Accepts callers until the host closes.
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

/// Hands every connection on until the task is ended. `whose` says in lines what could not be accepted.
pub(crate) async fn accept_all(
    listener: TcpListener,
    whose: &str,
    mut serve: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => serve(stream, from),
            Err(e) => {
                line(Weight::Notable, "accept_failed", |l| l.text("of", whose).text("why", &e.to_string()));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Binds an address of this host.
///
/// # Errors
/// When it can't be bound.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("could not listen on {addr}"))
}

async fn serve<W: Wire>(relay: Arc<Relay<W>>, stream: TcpStream, from: SocketAddr) {
    // Callers on weak links may be out of reach for seconds and still get their answer.
    pool::configure_socket(&stream, None);
    let limits = relay.routes().map(|r| r.limits()).unwrap_or_else(|| Routes::default().limits());
    let service = service_fn(|req| {
        let relay = relay.clone();
        async move { Ok::<_, Infallible>(answer(relay, req, limits).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms.into()))
        .max_header_size(limits.head_bytes as usize)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let mut closing = relay.closing.subscribe();
    relay.count_connection(true);
    let ended = tokio::select! {
        result = conn.as_mut() => Some(result),
        // The value's guard must not live on: it would hold its lock while the connection closes.
        () = async { drop(closing.wait_for(|closing| *closing).await) } => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    relay.count_connection(false);
    if let Err(e) = result {
        spdlog::debug!("connection of {from} ended: {e}");
    }
}

async fn answer<W: Wire>(
    relay: Arc<Relay<W>>,
    req: HttpRequest<Incoming>,
    limits: CallerLimits,
) -> Response<AnswerBody> {
    let mut response = match admit(&relay, req, limits).await {
        Ok(req) => {
            let _entered = relay.track_request();
            run::run(relay.clone(), req).await
        }
        Err((id, kind)) => {
            line(Weight::Notable, "refused", |l| {
                let l = l.text("request", &id).text("kind", kind.answer().code);
                let l = l.number("version", relay.routes().map_or(0, |r| r.version()));
                l.ms("confirmed_ms", relay.configuration_age())
            });
            relay.metrics.add(Counter::RelayRequests, Outcome::Refused.as_str(), 1);
            relay.metrics.add(Counter::RelayRefusals, kind.answer().code, 1);
            let retry_after = kind.answer().retry_after_s.is_some().then(|| come_back(&relay, kind));
            relay.wire.refuse(&Refusal { kind, ran: Ran::No, retry_after })
        }
    };
    if relay.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn come_back<W: Wire>(relay: &Relay<W>, kind: ErrorKind) -> Duration {
    if kind == ErrorKind::NotReady && relay.is_alone_without_configuration(START) {
        return KNOWS_NOTHING;
    }
    ELSEWHERE
}

/// Gives a host that has just started the few milliseconds that its first answer from the store takes.
async fn wait_for_start<W: Wire>(relay: &Relay<W>) {
    let until = now() + WAITS_FOR_START;
    while relay.routes().is_none() && now() < until {
        tokio::time::sleep(LOOK).await;
    }
}

/// Reads and checks a request.
async fn admit<W: Wire>(
    relay: &Relay<W>,
    req: HttpRequest<Incoming>,
    limits: CallerLimits,
) -> Result<Request, (Arc<str>, ErrorKind)> {
    let arrived = now();
    let (head, body) = req.into_parts();
    let ask = relay.wire.parse_request(&head);
    let id = ask.id.clone();
    if !relay.has_run_for(START) {
        wait_for_start(relay).await;
    }
    let checked = check(relay, &ask, &head);
    let body = read_body(body, &head, limits).await.map_err(|kind| (id.clone(), kind))?;
    let Checked { version, route, caller } = checked.map_err(|kind| (id.clone(), kind))?;
    let Some(service) = route.service(relay.draw()) else { return Err((id, ErrorKind::NoEngine)) };
    let timeout = Duration::from_millis(route.route.timeout_ms.into());
    let deadline = arrived + ask.timeout.map_or(timeout, |waits| waits.min(timeout));
    if !relay.accepts(deadline) {
        return Err((id, ErrorKind::Leaving));
    }
    let request = Request {
        id,
        service: service.into(),
        caller,
        method: head.method.clone(),
        target: head.uri.clone(),
        headers: relay.wire.forwarded_headers(head.headers),
        body,
        parts: if route.route.prompts { ask.parts } else { Vec::new() },
        after: if route.stream { ask.after } else { None },
        route,
        version,
        arrived,
        deadline,
    };
    Ok(request)
}

/// What the configuration says of a request.
struct Checked {
    version: Version,
    route: Arc<CompiledRoute>,
    caller: Option<Arc<Caller>>,
}

/// Finds the route and the caller. A host that may have missed a change refuses, provably not run, what it does not
/// know, rather than telling a caller that it does not exist.
fn check<W: Wire>(relay: &Relay<W>, ask: &RequestHead, head: &request::Parts) -> Result<Checked, ErrorKind> {
    let Some(routes) = relay.routes() else { return Err(ErrorKind::NotReady) };
    let version = routes.version();
    let or_stale = |kind| if relay.is_stale() { ErrorKind::NotReady } else { kind };
    let Some(route) = routes.find(&ask.host, head.uri.path()) else {
        return Err(or_stale(ErrorKind::NotFound));
    };
    if route.route.open || !routes.requires_keys() {
        return Ok(Checked { version, route: route.clone(), caller: None });
    }
    let caller = ask.key.as_deref().and_then(|key| routes.caller(key));
    match caller {
        Some(caller) => Ok(Checked { version, route: route.clone(), caller: Some(caller.clone()) }),
        None => Err(or_stale(ErrorKind::UnknownWorkspace)),
    }
}

async fn read_body(body: Incoming, head: &request::Parts, limits: CallerLimits) -> Result<Bytes, ErrorKind> {
    let most = limits.body_bytes as usize;
    let length =
        head.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|n| n > most) {
        return Err(ErrorKind::BodyTooLarge);
    }
    match tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Ok(Err(_)) => Err(ErrorKind::BadRequest),
        Err(_) => Err(ErrorKind::BodyTimeout),
    }
}
