//! Runs the attempts of one request until it has its answer or is given up.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::{
    AttemptContext, InFlightRequest, Refusal, Relay, ResponseHead, Wire,
    admission::{Refused, late_retry_delay},
    answer::AnswerBody,
    attempts::{Attempts, Failure, StopReason},
    backends::BackendKey,
    choose::runs,
    crashes::{
        begun::BEGINNING,
        cause::{CauseKey, Causes},
        quarantine::{Event, Verdict},
    },
    outcome::Outcome,
    pace_reports::Prefilling,
    place::{Choice, shared},
    pool::{self, Conn},
    request::{EventNumber, Request},
    stream,
};
use crate::{
    error::{ErrorKind, Ran},
    logs::lines::Level,
    metrics::{Counter, Latency},
    util::{Instant, now},
};

/// Maximum size of an answer that is buffered before it is passed on, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Multiple of the latency objective after which a silent server is given up, for a request that may be repeated.
const SILENCE_OBJECTIVE_FACTOR: u32 = 2;
/// Lower and upper limit of that time: a shorter one would repeat requests whose answers are merely slow, and after a
/// longer one the caller has left.
const SILENCE_TIMEOUT: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(1_300));
/// Maximum number of pooled connections that may turn out closed before the request is written; then a new one is
/// opened.
const MAX_STALE_CONNECTIONS: usize = 3;
/// Retry delay for callers for which no server was reachable: servers that join or return are seen within this time.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Pause before retrying a service all of whose servers refused the request.
const REFUSED_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// The head and body of an answer, with the connection and the work item that belong to it.
pub(crate) struct Answered<W: Wire> {
    pub(crate) head: response::Parts,
    pub(crate) parsed: ResponseHead,
    pub(crate) body: Incoming,
    pub(crate) conn: Conn,
    pub(crate) work: InFlightRequest<W>,
}

/// An answer that has begun.
enum Begun<W: Wire> {
    /// A stream, with its first events; none if it is empty.
    Stream { head: response::Parts, first: Option<Bytes>, events: Box<stream::Events<W>> },
    /// Any other answer, of which the head has arrived.
    Other(Answered<W>),
}

/// Why an attempt has no answer.
pub(crate) enum AttemptError {
    /// The attempt failed.
    Failed((Failure, BackendKey)),
    /// There is no server to send the request to.
    NoServer(ErrorKind),
}

/// A request and its attempts.
pub(crate) struct Run<W: Wire> {
    pub(crate) relay: Arc<Relay<W>>,
    pub(crate) req: Arc<Request>,
    pub(crate) tries: Attempts,
    pub(crate) tried: Vec<BackendKey>,
    /// Start of the current attempt.
    pub(crate) sent: Instant,
    /// Number of attempts started, including the current one.
    pub(crate) attempts_started: u32,
    /// When the server of the current attempt sent the first event.
    first_event: Option<Instant>,
    /// The prompt that is being prefilled, until the first event of the current attempt.
    prefill: Option<Prefilling<W>>,
    /// Whether the current attempt has begun its answer for good.
    has_begun: bool,
    /// Cause of crashes that the request is a trial for.
    trial: Option<CauseKey>,
    /// Version that began the stream, once the caller has an event of it: no other may go on with it.
    pub(crate) version: Option<Arc<str>>,
    /// The outcome of the request, once it is settled.
    pub(crate) outcome: Option<Outcome>,
}

/// Records the outcome of the request. If it is dropped before it is settled, the caller has left: the HTTP library
/// drops the future of a connection that was closed.
impl<W: Wire> Drop for Run<W> {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(Outcome::CallerLeft);
        let took = now() - self.req.arrived;
        if outcome == Outcome::CallerLeft {
            self.relay.log_request(Level::Notable, "caller_left", &self.req, |l| {
                l.ms("after_ms", took).number("attempts", self.attempts_started)
            });
        }
        let metrics = &self.relay.metrics;
        metrics.add(Counter::RelayRequests, outcome.as_str(), 1);
        metrics.record(Latency::WholeAnswer, outcome.label(self.req.route.stream), took);
    }
}

/// Runs a request until it is answered or given up.
pub async fn run<W: Wire>(relay: Arc<Relay<W>>, mut req: Request) -> Response<AnswerBody> {
    let continuation = match req.after {
        Some(_) => relay.find_continuation(&req).await.map(Some),
        None => Ok(None),
    };
    let version = match &continuation {
        Ok(Some(at)) => {
            req.service = at.service.clone();
            Some(at.version.clone())
        }
        _ => None,
    };
    let req = Arc::new(req);
    let tries = Attempts::new(req.route.repeatable, req.route.route.attempts, req.deadline);
    let (tried, sent) = (Vec::new(), now());
    let mut run = Run {
        relay,
        req,
        tries,
        tried,
        sent,
        attempts_started: 0,
        first_event: None,
        prefill: None,
        has_begun: false,
        trial: None,
        version,
        outcome: None,
    };
    match run.relay.check_quarantine(&run.req) {
        Verdict::Send => {}
        Verdict::Try(cause) => run.begin_trial(cause),
        Verdict::Refuse { cause, retry_after } => return run.refuse_quarantined(cause, retry_after),
    }
    run.relay.state().budget.record_request(now(), &run.req.service);
    if let Err(kind) = continuation {
        return run.give_up(kind, None);
    }
    if let Err(refused) = run.relay.admit(&run.req) {
        return run.reject_overloaded(refused);
    }
    run.answer().await
}

impl<W: Wire> Run<W> {
    /// Makes attempts until one is answered or none may follow.
    async fn answer(mut self) -> Response<AnswerBody> {
        loop {
            let Some(begun) = self.begin_unless_quarantined().await else { return self.cancel() };
            let (failure, key) = match begun {
                Ok(Begun::Stream { head, first, events }) => {
                    return stream::respond(self, head, first, *events);
                }
                Ok(Begun::Other(answered)) => match self.buffer_answer(answered).await {
                    Ok(response) => return response,
                    Err(failed) => failed,
                },
                Err(AttemptError::Failed(failed)) => failed,
                Err(AttemptError::NoServer(kind)) => {
                    if self.version.is_some() {
                        self.relay.record_no_server(&self.req, kind);
                    }
                    return self.give_up(kind, None);
                }
            };
            if let Err(stop) = self.fail(failure, key).await {
                return self.give_up(error_kind(failure, stop), Some(failure));
            }
        }
    }

    /// Makes one attempt, up to the first event of a stream; `None` if the request is refused meanwhile since it crashes
    /// servers.
    async fn begin_unless_quarantined(&mut self) -> Option<Result<Begun<W>, AttemptError>> {
        let (relay, req, trial) = (self.relay.clone(), self.req.clone(), self.trial);
        tokio::select! {
            begun = self.begin() => Some(begun),
            () = relay.until_quarantined(&req, trial) => None,
        }
    }

    async fn begin(&mut self) -> Result<Begun<W>, AttemptError> {
        let answered = self.attempt(self.req.after).await?;
        if !is_stream(&self.req, &answered.head) {
            return Ok(Begun::Other(answered));
        }
        let (head, first, events) = stream::start(self, answered).await.map_err(AttemptError::Failed)?;
        Ok(Begun::Stream { head, first, events: Box::new(events) })
    }

    fn begin_trial(&mut self, cause: CauseKey) {
        self.trial = Some(cause);
        self.relay.on_trial(&self.req, cause);
    }

    /// Records that the server of the current attempt has sent an event.
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

    /// Records that the answer of the current attempt has begun for good, or is complete.
    pub(crate) fn note_begun(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.relay.record_begun(&self.req, self.first_event.unwrap_or_else(now));
        }
    }

    /// Whether the current attempt may have crashed its server: its answer was not more than beginning.
    fn may_have_crashed_server(&self) -> bool {
        self.first_event.is_none_or(|first| now() < first + BEGINNING)
    }

    /// Records a failed attempt and decides whether another may follow.
    pub(crate) async fn fail(&mut self, failure: Failure, key: BackendKey) -> Result<(), StopReason> {
        self.record_failure(failure, key);
        if failure == Failure::Broken {
            self.examine_break(key).await;
        }
        self.decide_retry(failure, key)?;
        let (relay, req) = (&self.relay, &self.req);
        if relay.is_quarantined(req, None) {
            return Err(StopReason::Suspect);
        }
        let placeable = self.placeable();
        if !placeable.is_empty() && placeable.iter().all(|key| self.tried.contains(key)) {
            // No other server can run the request; those that refused it may have capacity again in a moment.
            self.tried.clear();
            tokio::time::sleep(REFUSED_RETRY_PAUSE.min(self.req.time_left(now()))).await;
        }
        Ok(())
    }

    /// The servers that may get the request.
    fn placeable(&self) -> Vec<BackendKey> {
        let state = self.relay.state();
        let accepting = state.accepting(now(), &self.req.service);
        accepting.filter(|(_, b)| runs(b, self.version.as_deref())).map(|(key, _)| key).collect()
    }

    /// Decides whether another attempt may follow a failed one, counts the decision and logs it.
    fn decide_retry(&mut self, failure: Failure, key: BackendKey) -> Result<(), StopReason> {
        let (relay, req) = (self.relay.clone(), self.req.clone());
        let next = self.tries.record_failure(now(), failure, || relay.spend_retry(&req));
        match next {
            Ok(()) => relay.metrics.add(Counter::RelayRetries, failure.as_str(), 1),
            Err(stop) => relay.metrics.add(Counter::RelayStops, stop.as_str(), 1),
        }
        let backend = relay.backend_id(key);
        relay.log_request(Level::Notable, "attempt_failed", &req, |l| {
            let l = l.text("failure", failure.as_str()).text("backend", backend.as_deref().unwrap_or("gone"));
            let l = l.number("attempt", self.tries.made()).ms("after_ms", now() - req.arrived);
            l.text("next", next.as_ref().err().map_or("once more", |stop| stop.as_str()))
        });
        next
    }

    /// Updates the health of a server after a failed attempt.
    fn record_failure(&mut self, failure: Failure, key: BackendKey) {
        self.tried.push(key);
        self.prefill = None;
        let now = now();
        match failure {
            Failure::Moved => self.relay.mark_backend_gone(key, "another server answers at its address"),
            Failure::Connect | Failure::Silent => {
                if failure == Failure::Silent {
                    self.relay.record_wait(&self.req, self.sent);
                }
                self.relay.avoid_backend(key, failure.as_str());
                self.relay.pool.clear(key);
            }
            Failure::Unsent => {}
            Failure::Late => self.relay.record_wait(&self.req, self.sent),
            Failure::Refused => self.relay.record_refusal(&self.req, key),
            Failure::Broken | Failure::Garbled | Failure::Errored => {
                self.relay.state().health.record_failure(now, key);
            }
        }
    }

    /// After a broken connection, finds out with a new one whether the server has crashed, and records that the request was
    /// there.
    async fn examine_break(&self, key: BackendKey) {
        let Some(addr) = self.relay.state().backends.get(key).map(|b| b.addr) else { return };
        if self.may_have_crashed_server() {
            self.log_suspected(key);
            if self.relay.record_break(&self.req, key) {
                return;
            }
        }
        if let Ok(conn) = self.relay.connect(key, addr, self.req.time_left(now())).await {
            return self.relay.return_connection(key, conn, None);
        }
        self.relay.record_crash(key);
        if pool::refuses_connections(addr).await {
            self.relay.confirm_crash(key);
        }
    }

    fn log_suspected(&self, key: BackendKey) {
        let backend = self.relay.backend_id(key);
        let parts = Causes::named_parts(&self.req).map(|(part, cause)| format!("{:x}={cause}", part.id));
        let parts: Vec<_> = parts.collect();
        self.relay.log_request(Level::Notable, "suspected", &self.req, |l| {
            let l = l.text("backend", backend.as_deref().unwrap_or("gone"));
            let l = l.text("content", &format!("{:016x}", self.req.fingerprint()));
            l.flag("first_event", self.first_event.is_some()).text("parts", &parts.join(","))
        });
    }

    /// Makes one attempt, up to the head of the answer.
    pub(crate) async fn attempt(&mut self, after: Option<EventNumber>) -> Result<Answered<W>, AttemptError> {
        let version = self.version.as_deref();
        let choice = self.relay.choose(&self.req, &self.tried, version).map_err(AttemptError::NoServer)?;
        let key = choice.key;
        self.attempts_started += 1;
        (self.sent, self.first_event, self.has_begun) = (now(), None, false);
        let work = InFlightRequest::start(&self.relay, key);
        self.prefill = Prefilling::start(&self.relay, &self.req, &choice);
        let (mut conn, result) =
            self.send(&choice, after).await.map_err(|f| AttemptError::Failed((f, key)))?;
        let (head, body) = match result {
            Ok(response) => response.into_parts(),
            Err(failure) => {
                conn.close();
                return Err(AttemptError::Failed((failure, key)));
            }
        };
        let parsed = self.relay.wire.parse_response(&self.req, &head);
        if let Some(load) = parsed.load {
            self.relay.record_load(&self.req.service, load);
        }
        self.relay.record_pace(&self.req, key, &parsed);
        self.relay.apply_server_notices(&self.req, key, &parsed);
        if let Some(failure) = parsed.failure {
            if matches!(failure, Failure::Refused | Failure::Moved) && !parsed.closes {
                self.reuse_after_refusal(body, conn, key, parsed.keep_alive).await;
            }
            return Err(AttemptError::Failed((failure, key)));
        }
        conn.reused = true;
        self.relay.record_prompt_parts(&self.req, key);
        Ok(Answered { head, parsed, body, conn, work })
    }

    /// Returns the connection of a refusal to the pool once the body is read.
    async fn reuse_after_refusal(
        &self,
        body: Incoming,
        conn: Conn,
        key: BackendKey,
        keep_alive: Option<Duration>,
    ) {
        let reading = Limited::new(body, MAX_BUFFERED_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(REFUSED_RETRY_PAUSE, reading).await {
            self.relay.return_connection(key, conn, keep_alive);
        }
    }

    /// Sends the request over a pooled or new connection, and waits for the head of the answer.
    async fn send(
        &mut self,
        choice: &Choice,
        after: Option<EventNumber>,
    ) -> Result<(Conn, Result<Response<Incoming>, Failure>), Failure> {
        for stale_conns in 0.. {
            let (id, version, addr, from) = {
                let state = self.relay.state();
                let Some(b) = state.backends.get(choice.key) else { return Err(Failure::Connect) };
                let from = choice.fetch_from.and_then(|key| state.backends.get(key)).map(|b| b.addr);
                (b.id.clone(), b.version.clone(), b.addr, from)
            };
            let kept =
                if stale_conns < MAX_STALE_CONNECTIONS { self.relay.pool.take(choice.key) } else { None };
            let mut conn = match kept {
                Some(conn) => conn,
                None => self.relay.connect(choice.key, addr, self.req.time_left(now())).await?,
            };
            let left = self.req.time_left(now());
            if left.is_zero() {
                return Err(Failure::Unsent);
            }
            let context = AttemptContext { backend: &id, left, after, fetch_from: from };
            let req = self.relay.wire.backend_request(&self.req, &context);
            self.log_sent(choice, &id, &version, after, stale_conns);
            let reused = conn.reused;
            let result = self.await_head(&mut conn, req).await;
            if reused && matches!(result, Err(Failure::Unsent)) {
                continue;
            }
            return Ok((conn, result));
        }
        unreachable!("the loop ends with the first new connection")
    }

    fn log_sent(
        &self,
        choice: &Choice,
        id: &str,
        server_version: &str,
        after: Option<EventNumber>,
        stale_conns: usize,
    ) {
        self.relay.metrics.add(Counter::RelayPlacements, choice.reason.as_str(), 1);
        let from = choice.fetch_from.and_then(|key| Some(self.relay.state().backends.get(key)?.id.clone()));
        self.relay.log_request(Level::Routine, "sent", &self.req, |l| {
            let l = l.text("backend", id).text("why", choice.reason.as_str());
            let l = l.decimal("load", choice.load).decimal("bound", choice.bound);
            let l = l.text("fetches", from.as_deref().unwrap_or("")).number("stale", stale_conns as u64);
            let l = l.number("version", self.req.version).ms("confirmed_ms", self.relay.configuration_age());
            let l = match shared(&self.req.parts).last() {
                Some(part) => l.text("part", &format!("{:x}", part.id)).number("held", choice.cached_tokens),
                None => l,
            };
            let l = l.text("server_version", server_version);
            let l = match after {
                Some(after) => l.number("resumes_after", after).text("first_attempt", self.req.stream_id()),
                None => l,
            };
            l.ms("after_ms", now() - self.req.arrived).number("attempt", self.tries.made())
        });
    }

    /// Waits for the head of the answer: until the deadline, or until the silence timeout if the request may be
    /// repeated at another server.
    async fn await_head(
        &mut self,
        conn: &mut Conn,
        req: http::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        let head = conn.send(req);
        tokio::pin!(head);
        let (limit, timeout_failure) = self.wait_limit(self.silence_timeout());
        let started = now();
        let result = match tokio::time::timeout(limit, &mut head).await {
            Ok(result) => result.map_err(|(failure, _)| failure),
            Err(_) => Err(timeout_failure),
        };
        let label = result.as_ref().err().map_or("answered", |failure| failure.as_str());
        self.relay.metrics.record(Latency::Attempt, label, now() - started);
        result
    }

    /// How long to wait given the silence timeout, and the failure to report when that time is over.
    pub(crate) fn wait_limit(&self, silence_timeout: Option<Duration>) -> (Duration, Failure) {
        let left = self.req.time_left(now());
        match silence_timeout {
            Some(silence_timeout) if silence_timeout < left => (silence_timeout, Failure::Silent),
            _ => (left, Failure::Late),
        }
    }

    /// How long a server may be silent; `None` means until the deadline.
    pub(crate) fn silence_timeout(&self) -> Option<Duration> {
        let has_alternatives = self.placeable().len() > self.tried.len() + 1;
        let may_repeat = self.req.route.repeatable
            && has_alternatives
            && self.tries.made() + 1 < self.req.route.route.attempts;
        may_repeat.then(|| {
            (self.req.objective() * SILENCE_OBJECTIVE_FACTOR).clamp(SILENCE_TIMEOUT.0, SILENCE_TIMEOUT.1)
        })
    }

    /// Buffers an answer and passes it on.
    async fn buffer_answer(
        &mut self,
        answered: Answered<W>,
    ) -> Result<Response<AnswerBody>, (Failure, BackendKey)> {
        let Answered { head, parsed, body, conn, work } = answered;
        let key = work.key;
        let reading = Limited::new(body, MAX_BUFFERED_BYTES).collect();
        let bytes = match tokio::time::timeout(self.req.time_left(now()), reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(e)) => {
                spdlog::debug!("could not read the answer to {}: {e}", self.req.id);
                return Err((Failure::Broken, key));
            }
            Err(_) => return Err((Failure::Late, key)),
        };
        if !parsed.closes {
            self.relay.return_connection(key, conn, parsed.keep_alive);
        }
        drop(work);
        if !head.status.is_success() {
            self.relay.record_error(&self.req, self.sent);
        }
        if head.status.is_server_error() && self.may_retry_error() {
            self.record_failure(Failure::Errored, key);
            if self.relay.may_repeat_error(&self.req) && self.decide_retry(Failure::Errored, key).is_ok() {
                let repeat = Box::pin(self.attempt(self.req.after)).await;
                let helped = repeat.as_ref().is_ok_and(|a| !a.head.status.is_server_error());
                self.relay.record_repeat(&self.req, helped);
                return match repeat {
                    Ok(answered) => Box::pin(self.buffer_answer(answered))
                        .await
                        .or_else(|_| Ok(self.deliver(head, bytes))),
                    Err(_) => Ok(self.deliver(head, bytes)),
                };
            }
        } else if head.status.is_success() {
            self.note_begun();
            self.relay.record_wait(&self.req, self.sent);
            self.relay.record_backend_success(key);
        }
        Ok(self.deliver(head, bytes))
    }

    fn may_retry_error(&self) -> bool {
        self.req.route.repeatable && !self.req.route.stream
    }

    fn deliver(&mut self, head: response::Parts, bytes: Bytes) -> Response<AnswerBody> {
        self.outcome = Some(Outcome::Answered);
        self.relay.log_request(Level::Routine, "answered", &self.req, |l| {
            let l = l.number("status", head.status.as_u16()).number("bytes", bytes.len() as u64);
            l.ms("after_ms", now() - self.req.arrived).number("attempts", self.attempts_started)
        });
        self.relay.wire.caller_response(head, AnswerBody::Buffered(bytes))
    }

    /// Rejects a request that is not sent, because its service has as much work as it can finish in time.
    fn reject_overloaded(&mut self, refused: Refused) -> Response<AnswerBody> {
        self.outcome = Some(Outcome::Refused);
        let kind = ErrorKind::Overloaded;
        self.relay.metrics.add(Counter::RelayRefusals, kind.answer().code, 1);
        self.relay.log_request(Level::Notable, "turned_away", &self.req, |l| {
            let l = l.number("rank", self.req.rank()).decimal("occupancy", refused.occupancy);
            let l = l.decimal("limit", refused.limit).decimal("chance", refused.chance.min(1.0));
            l.ms("retry_after_ms", refused.retry_after).ms("after_ms", now() - self.req.arrived)
        });
        self.relay.wire.refuse(&Refusal { kind, ran: Ran::No, retry_after: Some(refused.retry_after) })
    }

    /// Ends a request at its server since it is found out to crash servers.
    fn cancel(&mut self) -> Response<AnswerBody> {
        self.tries.record_cancelled();
        self.relay.metrics.add(Counter::RelayQuarantine, Event::Cancelled.as_str(), 1);
        self.give_up(ErrorKind::Quarantined, None)
    }

    /// Refuses a request that is not sent since it crashes servers. A caller may come back when it is tried again.
    fn refuse_quarantined(&mut self, cause: CauseKey, retry_after: Duration) -> Response<AnswerBody> {
        self.outcome = Some(Outcome::Refused);
        let kind = ErrorKind::Quarantined;
        self.relay.metrics.add(Counter::RelayRefusals, kind.answer().code, 1);
        self.relay.log_quarantined(&self.req, cause);
        self.relay.wire.refuse(&Refusal { kind, ran: Ran::No, retry_after: Some(retry_after) })
    }

    /// Refuses a request that is given up.
    pub(crate) fn give_up(&mut self, kind: ErrorKind, last: Option<Failure>) -> Response<AnswerBody> {
        let ran = if self.tries.cannot_have_run() { Ran::No } else { Ran::Unknown };
        self.outcome = Some(if ran == Ran::No { Outcome::Refused } else { Outcome::Failed });
        self.relay.metrics.add(Counter::RelayRefusals, kind.answer().code, 1);
        let may_retry = ran == Ran::No && kind != ErrorKind::Quarantined;
        let retry_after = may_retry.then(|| match last {
            Some(Failure::Refused) => late_retry_delay(self.req.time_left(now()), self.relay.draw()),
            _ => self.relay.retry_after(&self.req, kind),
        });
        let refusal = Refusal { kind, ran, retry_after };
        self.relay.log_request(Level::Notable, "given_up", &self.req, |l| {
            let l = l.text("kind", kind.answer().code).text("ran", ran.as_str());
            let l = l.text("last", last.map_or("none", Failure::as_str));
            l.ms("after_ms", now() - self.req.arrived).number("attempts", self.tries.made())
        });
        self.relay.wire.refuse(&refusal)
    }
}

fn is_stream(req: &Request, head: &response::Parts) -> bool {
    req.route.stream && head.status.is_success()
}

/// The kind of error that the caller gets after the last failure.
fn error_kind(failure: Failure, stop: StopReason) -> ErrorKind {
    match (stop, failure) {
        (StopReason::Deadline, _) | (_, Failure::Late) => ErrorKind::DeadlinePassed,
        (StopReason::Budget, _) => ErrorKind::RetryBudget,
        (StopReason::Suspect, _) => ErrorKind::Quarantined,
        (StopReason::Attempts, Failure::Connect | Failure::Unsent) => ErrorKind::ConnectFailed,
        (StopReason::Attempts, Failure::Refused | Failure::Moved) => ErrorKind::EngineRefused,
        (StopReason::Attempts | StopReason::NotRepeatable, _) => ErrorKind::EngineFailed,
    }
}
