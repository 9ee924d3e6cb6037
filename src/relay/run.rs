//! The attempts of one request, until it has its answer or is given up.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::{
    InFlightRequest, Read, Refusal, Relay, Sending, Wire,
    admission::{Refused, late_retry_delay},
    answer::AnswerBody,
    attempts::{Attempts, Failure, StopReason},
    backends::BackendKey,
    outcome::Outcome,
    place::{Choice, shared},
    pool::Conn,
    request::{EventNumber, Request},
    stream,
};
use crate::{
    error::{Kind, Ran},
    logs::lines::Weight,
    metrics::{Counter, Latency},
    util::{Instant, now},
};

/// Largest answer that is read whole before it is passed on, in bytes.
const MOST_WHOLE: usize = 4 << 20;
/// Multiple of the objective after which a silent server is given up for a request that may be repeated.
const PATIENCE_FACTOR: u32 = 2;
/// Bounds on that time: below, slow answers would be repeated; above, the caller has left.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(1_300));
/// Kept connections that turn out closed before the request is written; then a new one is made.
const MOST_STALE: usize = 3;
/// When a caller should come back that found no server to reach: engines that join or come back are seen within this time.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Wait before a refused service is tried again while nothing else can be done.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// The head of an answer, its body and what it holds.
pub(crate) struct Answered<W: Wire> {
    pub(crate) head: response::Parts,
    pub(crate) read: Read,
    pub(crate) body: Incoming,
    pub(crate) conn: Conn,
    pub(crate) work: InFlightRequest<W>,
}

/// An attempt without an answer.
pub(crate) enum Gone {
    /// It was made and failed.
    Failed((Failure, BackendKey)),
    /// There is no server to send it to.
    NoServer(Kind),
}

/// A request with the attempts it has made.
pub(crate) struct Run<W: Wire> {
    pub(crate) relay: Arc<Relay<W>>,
    pub(crate) req: Arc<Request>,
    pub(crate) tries: Attempts,
    pub(crate) tried: Vec<BackendKey>,
    /// When the attempt in progress was begun.
    pub(crate) sent: Instant,
    /// Attempts that were begun, the one in progress included.
    pub(crate) begun: u32,
    /// What became of the request, once that is settled.
    pub(crate) outcome: Option<Outcome>,
}

/// Counts what became of the request. One that is dropped before that is settled has lost its caller: the library drops
/// the work for a connection that was closed.
impl<W: Wire> Drop for Run<W> {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(Outcome::CallerLeft);
        let took = now() - self.req.arrived;
        if outcome == Outcome::CallerLeft {
            self.relay.log_request(Weight::Notable, "caller_left", &self.req, |l| {
                l.ms("after_ms", took).number("attempts", self.begun)
            });
        }
        let metrics = &self.relay.metrics;
        metrics.add(Counter::RelayRequests, outcome.as_str(), 1);
        metrics.record(Latency::WholeAnswer, outcome.label(self.req.route.stream), took);
    }
}

/// Runs a request to its answer.
pub async fn run<W: Wire>(relay: Arc<Relay<W>>, req: Request) -> Response<AnswerBody> {
    let req = Arc::new(req);
    let tries = Attempts::new(req.route.repeatable, req.route.route.attempts, req.deadline);
    let mut run = Run { relay, req, tries, tried: Vec::new(), sent: now(), begun: 0, outcome: None };
    if run.relay.is_quarantined(&run.req) {
        return run.give_up(Kind::Quarantined, None);
    }
    run.relay.state().budget.record_request(now(), &run.req.service);
    if let Err(refused) = run.relay.admit(&run.req) {
        return run.turn_away(refused);
    }
    run.answer().await
}

impl<W: Wire> Run<W> {
    async fn answer(mut self) -> Response<AnswerBody> {
        loop {
            let (failure, key) = match self.attempt(self.req.after).await {
                Ok(answered) if is_stream(&self.req, &answered.head) => {
                    match stream::start(&mut self, answered).await {
                        Ok((head, first, run)) => return stream::respond(self, head, first, run),
                        Err(failed) => failed,
                    }
                }
                Ok(answered) => match self.whole(answered).await {
                    Ok(response) => return response,
                    Err(failed) => failed,
                },
                Err(Gone::Failed(failed)) => failed,
                Err(Gone::NoServer(kind)) => return self.give_up(kind, None),
            };
            if let Err(stop) = self.fail(failure, key).await {
                return self.give_up(kind(failure, stop), Some(failure));
            }
        }
    }

    /// Notes a failed attempt and decides whether another may follow.
    pub(crate) async fn fail(&mut self, failure: Failure, key: BackendKey) -> Result<(), StopReason> {
        self.note_failure(failure, key);
        if failure == Failure::Broken {
            self.note_if_crashed(key).await;
        }
        self.decide(failure, key)?;
        let (relay, req) = (&self.relay, &self.req);
        if relay.is_quarantined(req) {
            return Err(StopReason::Suspect);
        }
        let may: Vec<_> = relay.state().accepting(now(), &req.service).map(|(key, _)| key).collect();
        if !may.is_empty() && may.iter().all(|key| self.tried.contains(key)) {
            // Nobody else can run it: those that refused may have room again in a moment.
            self.tried.clear();
            tokio::time::sleep(REFUSED_PAUSE.min(self.req.time_left(now()))).await;
        }
        Ok(())
    }

    /// Decides whether another attempt may follow a failed one, counts it and writes its line.
    fn decide(&mut self, failure: Failure, key: BackendKey) -> Result<(), StopReason> {
        let (relay, req) = (self.relay.clone(), self.req.clone());
        let next = self.tries.record_failure(now(), failure, || relay.spend_retry(&req));
        match next {
            Ok(()) => relay.metrics.add(Counter::RelayRetries, failure.as_str(), 1),
            Err(stop) => relay.metrics.add(Counter::RelayStops, stop.as_str(), 1),
        }
        let backend = relay.id_of(key);
        relay.log_request(Weight::Notable, "attempt_failed", &req, |l| {
            let l = l.text("failure", failure.as_str()).text("backend", backend.as_deref().unwrap_or("gone"));
            let l = l.number("attempt", self.tries.made()).ms("after_ms", now() - req.arrived);
            l.text("next", next.as_ref().err().map_or("once more", |stop| stop.as_str()))
        });
        next
    }

    fn note_failure(&mut self, failure: Failure, key: BackendKey) {
        self.tried.push(key);
        let now = now();
        match failure {
            Failure::Moved => self.relay.lose(key, "another server answers at its address"),
            Failure::Connect | Failure::Silent => {
                if failure == Failure::Silent {
                    self.relay.record_wait(&self.req, self.sent);
                }
                self.relay.avoid(key, failure.as_str());
                self.relay.pool.clear(key);
            }
            Failure::Unsent => {}
            Failure::Late => self.relay.record_wait(&self.req, self.sent),
            Failure::Refused | Failure::Broken | Failure::Garbled | Failure::Errored => {
                self.relay.state().health.record_failure(now, key);
            }
        }
    }

    /// After a broken connection, finds out by a new one whether the server has crashed, and if so suspects the content.
    async fn note_if_crashed(&self, key: BackendKey) {
        let Some(addr) = self.relay.state().backends.get(key).map(|b| b.addr) else { return };
        match Conn::connect(addr, self.req.time_left(now())).await {
            Ok(conn) => self.relay.return_connection(key, conn, None),
            Err(_) => {
                self.relay.note_crash(key);
                let crashes = self.relay.state().suspects.record_crash(now(), self.req.fingerprint());
                self.relay
                    .log_request(Weight::Notable, "suspected", &self.req, |l| l.number("crashes", crashes));
            }
        }
    }

    /// Makes one attempt, up to the head of the answer.
    pub(crate) async fn attempt(&mut self, after: Option<EventNumber>) -> Result<Answered<W>, Gone> {
        let choice = self.relay.choose(&self.req, &self.tried).map_err(Gone::NoServer)?;
        let key = choice.key;
        self.begun += 1;
        self.sent = now();
        let work = InFlightRequest::start(&self.relay, key);
        let (mut conn, result) = self.send(&choice, after).await.map_err(|f| Gone::Failed((f, key)))?;
        let (head, body) = match result {
            Ok(response) => response.into_parts(),
            Err(failure) => {
                conn.close();
                return Err(Gone::Failed((failure, key)));
            }
        };
        let read = self.relay.wire.read(&self.req, &head);
        if let Some(told) = read.told {
            self.relay.record_load(&self.req.service, told);
        }
        self.relay.hear_backend(&self.req, key, &read);
        if let Some(failure) = read.failure {
            if matches!(failure, Failure::Refused | Failure::Moved) && !read.closes {
                self.recycle(body, conn, key, read.keeps).await;
            }
            return Err(Gone::Failed((failure, key)));
        }
        conn.reused = true;
        self.relay.note_read(&self.req, key);
        Ok(Answered { head, read, body, conn, work })
    }

    /// Keeps the connection of a refusal once its body is read.
    async fn recycle(&self, body: Incoming, conn: Conn, key: BackendKey, keeps: Option<Duration>) {
        let read = Limited::new(body, MOST_WHOLE).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(REFUSED_PAUSE, read).await {
            self.relay.return_connection(key, conn, keeps);
        }
    }

    async fn send(
        &mut self,
        choice: &Choice,
        after: Option<EventNumber>,
    ) -> Result<(Conn, Result<Response<Incoming>, Failure>), Failure> {
        for stale in 0.. {
            let (id, addr, from) = {
                let state = self.relay.state();
                let Some(b) = state.backends.get(choice.key) else { return Err(Failure::Connect) };
                let from = choice.fetch_from.and_then(|key| state.backends.get(key)).map(|b| b.addr);
                (b.id.clone(), b.addr, from)
            };
            let kept = if stale < MOST_STALE { self.relay.pool.take(choice.key) } else { None };
            let mut conn = match kept {
                Some(conn) => conn,
                None => Conn::connect(addr, self.req.time_left(now())).await?,
            };
            let left = self.req.time_left(now());
            if left.is_zero() {
                return Err(Failure::Unsent);
            }
            let sending = Sending { backend: &id, left, after, fetch_from: from };
            let req = self.relay.wire.attempt(&self.req, &sending);
            self.note_sent(choice, &id, stale);
            let reused = conn.reused;
            let result = self.wait(&mut conn, req).await;
            if reused && matches!(result, Err(Failure::Unsent)) {
                continue;
            }
            return Ok((conn, result));
        }
        unreachable!("a new connection ends the loop")
    }

    fn note_sent(&self, choice: &Choice, id: &str, stale: usize) {
        self.relay.metrics.add(Counter::RelayPlacements, choice.reason.as_str(), 1);
        let from = choice.fetch_from.and_then(|key| Some(self.relay.state().backends.get(key)?.id.clone()));
        self.relay.log_request(Weight::Routine, "sent", &self.req, |l| {
            let l = l.text("backend", id).text("why", choice.reason.as_str());
            let l = l.decimal("load", choice.load).decimal("bound", choice.bound);
            let l = l.text("fetches", from.as_deref().unwrap_or("")).number("stale", stale as u64);
            let l = l.number("version", self.req.version).ms("confirmed_ms", self.relay.configuration_age());
            let l = match shared(&self.req.parts).last() {
                Some(part) => l.text("part", &format!("{:x}", part.id)).number("held", choice.cached_tokens),
                None => l,
            };
            l.ms("after_ms", now() - self.req.arrived).number("attempt", self.tries.made())
        });
    }

    /// Waits for the head of the answer: until the deadline, or where the request may be repeated and another server
    /// could run it, for a few times its objective.
    async fn wait(
        &mut self,
        conn: &mut Conn,
        req: http::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        let head = conn.send(req);
        tokio::pin!(head);
        let (limit, over) = self.limit(self.patience());
        let started = now();
        let result = match tokio::time::timeout(limit, &mut head).await {
            Ok(result) => result.map_err(|(failure, _)| failure),
            Err(_) => Err(over),
        };
        let label = result.as_ref().err().map_or("answered", |failure| failure.as_str());
        self.relay.metrics.record(Latency::Attempt, label, now() - started);
        result
    }

    /// How long to wait with this patience, and what has happened when that time is over.
    pub(crate) fn limit(&self, patience: Option<Duration>) -> (Duration, Failure) {
        let left = self.req.time_left(now());
        match patience {
            Some(patience) if patience < left => (patience, Failure::Silent),
            _ => (left, Failure::Late),
        }
    }

    /// How long to wait for a server that says nothing; `None`: until the deadline.
    pub(crate) fn patience(&self) -> Option<Duration> {
        let others = self.relay.state().accepting(now(), &self.req.service).count() > self.tried.len() + 1;
        let may =
            self.req.route.repeatable && others && self.tries.made() + 1 < self.req.route.route.attempts;
        may.then(|| (self.req.objective() * PATIENCE_FACTOR).clamp(PATIENCE.0, PATIENCE.1))
    }

    /// Reads an answer whole and passes it on.
    async fn whole(&mut self, answered: Answered<W>) -> Result<Response<AnswerBody>, (Failure, BackendKey)> {
        let Answered { head, read, body, conn, work } = answered;
        let key = work.key;
        let reading = Limited::new(body, MOST_WHOLE).collect();
        let bytes = match tokio::time::timeout(self.req.time_left(now()), reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(e)) => {
                spdlog::debug!("answer to {} broke off: {e}", self.req.id);
                return Err((Failure::Broken, key));
            }
            Err(_) => return Err((Failure::Late, key)),
        };
        if !read.closes {
            self.relay.return_connection(key, conn, read.keeps);
        }
        drop(work);
        if head.status.is_server_error() && self.may_repeat_error() {
            self.note_failure(Failure::Errored, key);
            if self.decide(Failure::Errored, key).is_ok() {
                return match Box::pin(self.attempt(self.req.after)).await {
                    Ok(answered) => {
                        Box::pin(self.whole(answered)).await.or_else(|_| Ok(self.deliver(head, bytes)))
                    }
                    Err(_) => Ok(self.deliver(head, bytes)),
                };
            }
        } else if head.status.is_success() {
            self.relay.record_wait(&self.req, self.sent);
            self.relay.trust(key);
        }
        Ok(self.deliver(head, bytes))
    }

    fn may_repeat_error(&self) -> bool {
        self.req.route.repeatable && !self.req.route.stream
    }

    fn deliver(&mut self, head: response::Parts, bytes: Bytes) -> Response<AnswerBody> {
        self.outcome = Some(Outcome::Answered);
        self.relay.log_request(Weight::Routine, "answered", &self.req, |l| {
            let l = l.number("status", head.status.as_u16()).number("bytes", bytes.len() as u64);
            l.ms("after_ms", now() - self.req.arrived).number("attempts", self.begun)
        });
        self.relay.wire.pass(head, AnswerBody::Buffered(bytes))
    }

    /// The answer to a request that is not sent, since its service has as much work as it can finish in time.
    fn turn_away(&mut self, refused: Refused) -> Response<AnswerBody> {
        self.outcome = Some(Outcome::Refused);
        let kind = Kind::Overloaded;
        self.relay.metrics.add(Counter::RelayRefusals, kind.answer().code, 1);
        self.relay.log_request(Weight::Notable, "turned_away", &self.req, |l| {
            let l = l.number("rank", self.req.rank()).decimal("occupancy", refused.occupancy);
            let l = l.decimal("limit", refused.limit).decimal("chance", refused.chance.min(1.0));
            l.ms("retry_after_ms", refused.retry_after).ms("after_ms", now() - self.req.arrived)
        });
        self.relay.wire.refuse(&Refusal { kind, ran: Ran::No, retry_after: Some(refused.retry_after) })
    }

    /// The final answer to a request that is given up.
    pub(crate) fn give_up(&mut self, kind: Kind, last: Option<Failure>) -> Response<AnswerBody> {
        let ran = if self.tries.cannot_have_run() { Ran::No } else { Ran::Unknown };
        self.outcome = Some(if ran == Ran::No { Outcome::Refused } else { Outcome::Failed });
        self.relay.metrics.add(Counter::RelayRefusals, kind.answer().code, 1);
        let comes_back = ran == Ran::No && kind != Kind::Quarantined;
        let retry_after = comes_back.then(|| match last {
            Some(Failure::Refused) => late_retry_delay(self.req.time_left(now()), self.relay.draw()),
            _ => self.relay.retry_after(&self.req, kind),
        });
        let refusal = Refusal { kind, ran, retry_after };
        self.relay.log_request(Weight::Notable, "given_up", &self.req, |l| {
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

fn kind(failure: Failure, stop: StopReason) -> Kind {
    match (stop, failure) {
        (StopReason::Deadline, _) | (_, Failure::Late) => Kind::DeadlinePassed,
        (StopReason::Budget, _) => Kind::RetryBudget,
        (StopReason::Suspect, _) => Kind::Quarantined,
        (StopReason::Attempts, Failure::Connect | Failure::Unsent) => Kind::ConnectFailed,
        (StopReason::Attempts, Failure::Refused | Failure::Moved) => Kind::EngineRefused,
        (StopReason::Attempts | StopReason::NotRepeatable, _) => Kind::EngineFailed,
    }
}
