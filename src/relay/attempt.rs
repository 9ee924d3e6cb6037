//! One attempt at a backend server: sends the request and reads up to the beginning of the answer.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header::CONTENT_TYPE, response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::{
    AttemptContext, InFlightRequest, Relay, ResponseHead, Wire,
    attempts::Failure,
    backends::BackendKey,
    buffers::Room,
    crashes::begun::BEGINNING,
    events::{CompleteEvents, piece_cost},
    hold::Wanted,
    pace_reports::Prefilling,
    place::{Choice, shared},
    pool::{self, Conn, ConnId},
    request::{EventNumber, Request},
    run::{MAX_BUFFERED_BYTES, REFUSED_RETRY_PAUSE},
    sent::Sent,
    stream::Source,
};
use crate::{
    logs::lines::Level,
    metrics::{Counter, Latency},
    util::{Instant, now},
};

/// Maximum number of pooled connections that may turn out closed before the request is written; then a new one is
/// opened.
const MAX_STALE_CONNECTIONS: usize = 3;

/// Maximum size of the body of a refusal after which the connection is used again, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// How long an answer without a stated length waits for room in the buffers before it is given up.
const ROOM_TIMEOUT: Duration = Duration::from_millis(100);

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failed {
    pub(crate) failure: Failure,
    /// The server.
    pub(crate) key: BackendKey,
    /// When the attempt began.
    pub(crate) sent: Instant,
    /// The connection that carried the request last, if any did.
    pub(crate) carrier: Option<ConnId>,
    /// Whether the request may have crashed the server: its answer was not more than beginning.
    pub(crate) may_have_crashed: bool,
    /// Whether the server sent an event.
    pub(crate) has_event: bool,
}

/// What an attempt is to send.
struct Beginning {
    choice: Choice,
    /// Number of attempts before it.
    number: u32,
    /// Connections that have carried the request before.
    carriers: Vec<ConnId>,
    /// Event after which the server is to go on.
    after: Option<EventNumber>,
    /// Whether the answer goes on with a stream whose caller has events already, so that nothing else will do.
    continues: bool,
}

/// An attempt at a server, whose answer has not begun or is being passed on.
pub(crate) struct Attempt<W: Wire> {
    relay: Arc<Relay<W>>,
    req: Arc<Request>,
    pub(crate) key: BackendKey,
    pub(crate) sent: Instant,
    /// The connection that carries the request, once one does.
    carrier: Option<ConnId>,
    /// When the server sent the first event.
    first_event: Option<Instant>,
    /// The prompt that is being prefilled, until the first event.
    prefill: Option<Prefilling<W>>,
    /// Whether the answer has begun for good.
    has_begun: bool,
    /// Room for what is buffered of the answer.
    room: Room,
    /// Counts the request at the server.
    _work: InFlightRequest<W>,
}

/// The head and the body of an answer, with the attempt and the connection that they belong to.
pub(crate) struct Answered<W: Wire> {
    pub(crate) head: response::Parts,
    pub(crate) parsed: ResponseHead,
    pub(crate) body: Incoming,
    pub(crate) conn: Conn,
    pub(crate) attempt: Attempt<W>,
}

/// An answer that has begun.
pub(crate) enum Begun<W: Wire> {
    /// A stream, with its first events; none if it is empty.
    Stream(Box<Source<W>>, Option<CompleteEvents>),
    /// Any other answer, of which the head has arrived.
    Other(Box<Answered<W>>),
}

/// When something was last heard in an attempt, which its owner can look at while it is in progress.
#[derive(Debug, Default)]
pub(crate) struct Heard(AtomicU64);

impl Heard {
    fn record(&self, at: Instant) {
        self.0.store(at.as_micros() as u64, Ordering::Relaxed);
    }

    /// When something was last heard; the start of time if nothing was.
    pub(crate) fn at(&self) -> Instant {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}

/// An attempt that is to begin its answer. Dropping it ends the attempt and closes its connection.
pub(crate) struct InProgress<W: Wire> {
    pub(crate) key: BackendKey,
    pub(crate) sent: Instant,
    pub(crate) heard: Arc<Heard>,
    pub(crate) begun: Pin<Box<dyn Future<Output = Result<Begun<W>, Failed>> + Send>>,
}

impl<W: Wire> InProgress<W> {
    /// Starts an attempt at the server that was chosen.
    pub(crate) fn start(
        relay: &Arc<Relay<W>>,
        req: &Arc<Request>,
        choice: Choice,
        wanted: &Wanted,
        number: u32,
        carriers: Vec<ConnId>,
    ) -> Self {
        let (after, continues) = (wanted.after(), wanted.continues());
        let beginning = Beginning { choice, number, carriers, after, continues };
        let attempt = Attempt::start(relay, req, &beginning.choice);
        let (key, sent, heard) = (attempt.key, attempt.sent, Arc::<Heard>::default());
        let begun = Box::pin(attempt.begin(beginning, heard.clone()));
        Self { key, sent, heard, begun }
    }
}

impl<W: Wire> Attempt<W> {
    fn start(relay: &Arc<Relay<W>>, req: &Arc<Request>, choice: &Choice) -> Self {
        Self {
            relay: relay.clone(),
            req: req.clone(),
            key: choice.key,
            sent: now(),
            carrier: None,
            first_event: None,
            prefill: Prefilling::start(relay, req, choice),
            has_begun: false,
            room: relay.buffers.room(),
            _work: InFlightRequest::start(relay, choice.key),
        }
    }

    /// Makes the attempt up to the head of its answer, or the first event of a stream.
    async fn begin(self, beginning: Beginning, heard: Arc<Heard>) -> Result<Begun<W>, Failed> {
        let answered = self.await_answer(&beginning).await?;
        heard.record(now());
        let is_stream = answered.attempt.req.route.stream && answered.head.status.is_success();
        if !is_stream && beginning.continues {
            return Err(answered.attempt.failed(Failure::Errored));
        }
        if !is_stream {
            return Ok(Begun::Other(Box::new(answered)));
        }
        let may_be_empty = beginning.after.is_none() || is_event_stream(&answered.head);
        let mut source = Box::new(Source::new(answered));
        match source.read(beginning.after).await {
            Ok(None) if !may_be_empty => Err(source.failed(Failure::Garbled)),
            Ok(first) => Ok(Begun::Stream(source, first)),
            Err(failure) => Err(source.failed(failure)),
        }
    }

    /// Sends the request and waits for the head of the answer.
    async fn await_answer(mut self, beginning: &Beginning) -> Result<Answered<W>, Failed> {
        let (mut conn, result) = self.send(beginning).await.map_err(|failure| self.failed(failure))?;
        let (head, body) = match result {
            Ok(response) => response.into_parts(),
            Err(failure) => {
                conn.close();
                return Err(self.failed(failure));
            }
        };
        let (relay, req, key) = (&self.relay, &self.req, self.key);
        let parsed = relay.wire.parse_response(req, &head);
        if let Some(load) = parsed.load {
            relay.record_load(&req.service, load);
        }
        relay.record_pace(req, key, &parsed);
        relay.apply_server_notices(req, key, &parsed);
        conn.note_answer(parsed.is_named);
        if let Some(failure) = parsed.failure {
            if matches!(failure, Failure::Refused | Failure::Moved) && !parsed.closes {
                reuse_after_refusal(relay, body, conn, key, parsed.keep_alive).await;
            }
            return Err(self.failed(failure));
        }
        conn.reused = true;
        relay.record_prompt_parts(req, key);
        Ok(Answered { head, parsed, body, conn, attempt: self })
    }

    /// Sends the request over a pooled or new connection, and waits for the head of the answer.
    async fn send(
        &mut self,
        beginning: &Beginning,
    ) -> Result<(Conn, Result<Response<Incoming>, Failure>), Failure> {
        let (relay, req, choice) = (self.relay.clone(), self.req.clone(), &beginning.choice);
        for stale_conns in 0.. {
            let (id, version, addr, from) = {
                let state = relay.state();
                let Some(b) = state.backends.get(choice.key) else { return Err(Failure::Connect) };
                let from = choice.fetch_from.and_then(|key| state.backends.get(key)).map(|b| b.addr);
                (b.id.clone(), b.version.clone(), b.addr, from)
            };
            let may_keep = stale_conns < MAX_STALE_CONNECTIONS;
            let taken = may_keep
                .then(|| relay.pool.take(choice.key, req.route.repeatable, &beginning.carriers))
                .flatten();
            let conn = match taken {
                Some(conn) => conn,
                None => relay.connect(choice.key, addr, req.time_left(now())).await?,
            };
            let left = req.time_left(now());
            if left.is_zero() {
                return Err(Failure::Unsent);
            }
            let context = AttemptContext { backend: &id, left, after: beginning.after, fetch_from: from };
            let message = relay.wire.backend_request(&req, &context);
            self.log_sent(beginning, &id, &version, stale_conns);
            let reused = conn.reused;
            self.carrier = Some(conn.id);
            let (conn, result) = self.await_head(conn, message).await;
            if reused && matches!(result, Err(Failure::Unsent)) {
                continue;
            }
            return Ok((conn, result));
        }
        unreachable!("the loop ends with the first new connection")
    }

    fn log_sent(&self, beginning: &Beginning, id: &str, server_version: &str, stale_conns: usize) {
        let (relay, choice) = (&self.relay, &beginning.choice);
        relay.metrics.add(Counter::RelayPlacements, choice.reason.as_str(), 1);
        let from = choice.fetch_from.and_then(|key| Some(relay.state().backends.get(key)?.id.clone()));
        relay.log_request(Level::Routine, "sent", &self.req, |l| {
            let l = l.text("backend", id).text("why", choice.reason.as_str());
            let l = l.decimal("load", choice.load).decimal("bound", choice.bound);
            let l = l.text("fetches", from.as_deref().unwrap_or("")).number("stale", stale_conns as u64);
            let l = l.number("version", self.req.version).ms("confirmed_ms", relay.configuration_age());
            let l = match shared(&self.req.parts).last() {
                Some(part) => l.text("part", &format!("{:x}", part.id)).number("held", choice.cached_tokens),
                None => l,
            };
            let l = l.text("server_version", server_version);
            let l = match beginning.after {
                Some(after) => l.number("resumes_after", after).text("first_attempt", self.req.stream_id()),
                None => l,
            };
            l.ms("after_ms", now() - self.req.arrived).number("attempt", beginning.number)
        });
    }

    /// Sends the request, and waits for the head of the answer until the deadline.
    async fn await_head(
        &self,
        conn: Conn,
        message: http::Request<http_body_util::Full<Bytes>>,
    ) -> (Conn, Result<Response<Incoming>, Failure>) {
        let started = now();
        let sent = Sent::new(&self.relay, &self.req, self.key, self.sent, conn, message);
        let (conn, result) = sent.head(self.time_left()).await;
        let label = result.as_ref().err().map_or("answered", |failure| failure.as_str());
        self.relay.metrics.record(Latency::Attempt, label, now() - started);
        (conn, result)
    }

    /// Reads a whole body.
    pub(crate) async fn buffer(&mut self, mut body: Incoming) -> Result<Bytes, Failure> {
        let stated = body.size_hint().exact();
        if let Some(bytes) = stated.filter(|bytes| *bytes > MAX_BUFFERED_BYTES as u64) {
            return Err(self.too_long(bytes as usize));
        }
        if let Some(bytes) = stated {
            self.reserve(bytes as usize).await?;
        }
        let mut buf = BytesMut::new();
        let mut cost = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| self.body_failure(&e))?;
            let Ok(data) = frame.into_data() else { continue };
            cost += piece_cost(data.len());
            if cost > MAX_BUFFERED_BYTES {
                return Err(self.too_long(buf.len() + data.len()));
            }
            if stated.is_none() {
                self.make_room(buf.len() + data.len()).await?;
            }
            buf.extend_from_slice(&data);
        }
        Ok(self.hold(buf.freeze()))
    }

    /// Makes room for an answer of a stated length. The server waits meanwhile, which bounds what it can send.
    ///
    /// # Errors
    /// If there is no room until the deadline, or never can be.
    async fn reserve(&mut self, bytes: usize) -> Result<(), Failure> {
        let (relay, time_left) = (&self.relay, self.req.time_left(now()));
        if !relay.buffers.can_hold(bytes) {
            return Err(self.too_long(bytes));
        }
        if self.room.await_resize(bytes, time_left).await {
            return Ok(());
        }
        let backend = relay.backend_id(self.key);
        relay.log_request(Level::Notable, "no_room", &self.req, |l| {
            let l = l.text("backend", backend.as_deref().unwrap_or("gone")).number("bytes", bytes as u64);
            l.number("buffered", relay.buffers.used() as u64).number("limit", relay.cfg.buffer_bytes as u64)
        });
        Err(Failure::Late)
    }

    /// Makes room for this many bytes of an answer that may have no end.
    ///
    /// # Errors
    /// If other answers take up so much that there is no room.
    pub(crate) async fn make_room(&mut self, bytes: usize) -> Result<(), Failure> {
        // Buffers grow by doubling.
        if self.room.await_resize(bytes.next_power_of_two(), ROOM_TIMEOUT).await {
            Ok(())
        } else {
            Err(self.too_long(bytes))
        }
    }

    /// Bytes that take up the room of the attempt until they are passed on.
    pub(crate) fn hold(&mut self, bytes: Bytes) -> Bytes {
        self.room.take().hold(bytes)
    }

    /// Logs that the answer, or an event of it, is too long to be buffered.
    pub(crate) fn too_long(&self, bytes: usize) -> Failure {
        let (relay, backend) = (&self.relay, self.relay.backend_id(self.key));
        relay.log_request(Level::Notable, "answer_too_long", &self.req, |l| {
            let l = l.text("backend", backend.as_deref().unwrap_or("gone")).number("bytes", bytes as u64);
            l.number("buffered", relay.buffers.used() as u64).number("limit", relay.cfg.buffer_bytes as u64)
        });
        Failure::TooLong
    }

    /// How the attempt failed whose body could not be read.
    pub(crate) fn body_failure(&self, e: &hyper::Error) -> Failure {
        spdlog::debug!("could not read the answer to {}: {e}", self.req.id);
        pool::body_failure(e)
    }

    /// Time until the request's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.req.time_left(now())
    }

    /// Whether the request's deadline passed this long ago.
    pub(crate) fn is_over_for(&self, time: Duration) -> bool {
        now() >= self.req.deadline + time
    }

    /// Records that the server has sent an event.
    pub(crate) fn note_event(&mut self) {
        let now = now();
        let first = *self.first_event.get_or_insert(now);
        if let Some(prefill) = self.prefill.take() {
            self.relay.record_first_event(&self.req, prefill.key, prefill.uncached, now - self.sent);
        }
        if now >= first + BEGINNING {
            self.note_begun();
        }
    }

    /// Records that the answer has begun for good, or is complete.
    pub(crate) fn note_begun(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.relay.record_begun(&self.req, self.first_event.unwrap_or_else(now));
        }
    }

    /// Describes how the attempt failed.
    pub(crate) fn failed(&self, failure: Failure) -> Failed {
        Failed {
            failure,
            key: self.key,
            sent: self.sent,
            carrier: self.carrier,
            may_have_crashed: self.first_event.is_none_or(|first| now() < first + BEGINNING),
            has_event: self.first_event.is_some(),
        }
    }
}

/// Whether an answer says that it is a stream of events.
fn is_event_stream(head: &response::Parts) -> bool {
    let media_type = head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let essence = media_type.and_then(|v| v.split(';').next()).map(str::trim);
    head.status == StatusCode::OK && essence.is_some_and(|v| v.eq_ignore_ascii_case(EVENT_STREAM))
}

/// Returns the connection of a refusal to the pool once the body is read.
async fn reuse_after_refusal<W: Wire>(
    relay: &Relay<W>,
    body: Incoming,
    conn: Conn,
    key: BackendKey,
    keep_alive: Option<Duration>,
) {
    if let Ok(true) = tokio::time::timeout(REFUSED_RETRY_PAUSE, is_soon_over(body)).await {
        relay.return_connection(key, conn, keep_alive);
    }
}

/// Reads the body of a refusal without buffering it; returns whether it is complete and not too long.
async fn is_soon_over(mut body: Incoming) -> bool {
    let mut cost = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        cost += frame.data_ref().map_or(0, |data| piece_cost(data.len()));
        if cost > MAX_REFUSAL_BYTES {
            return false;
        }
    }
    true
}
