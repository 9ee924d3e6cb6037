//! Runs the attempts of one request until it has its answer or is given up.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, response};

use super::{
    Refusal, Relay, Wire,
    admission::{Refused, late_retry_delay},
    answer::AnswerBody,
    attempt::{Answered, Begun, Failed},
    attempts::{Attempts, Failure, StopReason},
    backends::BackendKey,
    choose::runs,
    crashes::{
        cause::{CauseKey, Causes},
        quarantine::{Event, Verdict},
    },
    hold::Wanted,
    outcome::Outcome,
    pool::{self, CONNECT_TIMEOUT, ConnId},
    request::Request,
    stream,
};
use crate::{
    error::{ErrorKind, Ran},
    logs::lines::Level,
    metrics::{Counter, Latency},
    util::now,
};

/// Maximum size of an answer that is buffered before it is passed on, in bytes.
pub(crate) const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Retry delay for callers for which no server was reachable: servers that join or return are seen within this time.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Pause before retrying a service all of whose servers refused the request.
pub(crate) const REFUSED_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Why there is no answer.
pub(crate) enum AttemptError {
    /// The last attempt failed.
    Failed(Failed),
    /// There is no server to send the request to.
    NoServer(ErrorKind),
}

/// A request and its attempts.
pub(crate) struct Run<W: Wire> {
    pub(crate) relay: Arc<Relay<W>>,
    pub(crate) req: Arc<Request>,
    pub(crate) tries: Attempts,
    pub(crate) tried: Vec<BackendKey>,
    /// Connections that have carried the request.
    pub(crate) carriers: Vec<ConnId>,
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
                l.ms("after_ms", took).number("attempts", self.tries.made())
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
    let (tried, carriers) = (Vec::new(), Vec::new());
    let mut run = Run { relay, req, tries, tried, carriers, trial: None, version, outcome: None };
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
            let failed = match begun {
                Ok(Begun::Stream(source, first)) => return stream::respond(self, source, first),
                Ok(Begun::Other(answered)) => match self.buffer_answer(*answered).await {
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
            if let Err(stop) = self.fail(failed).await {
                return self.give_up(error_kind(failed.failure, stop), Some(failed.failure));
            }
        }
    }

    /// Waits for the beginning of an answer; `None` if the request is refused meanwhile since it crashes servers.
    async fn begin_unless_quarantined(&mut self) -> Option<Result<Begun<W>, AttemptError>> {
        let (relay, req, trial) = (self.relay.clone(), self.req.clone(), self.trial);
        let wanted = Wanted::Answer { after: req.after };
        tokio::select! {
            begun = self.begin(&wanted) => Some(begun),
            () = relay.until_quarantined(&req, trial) => None,
        }
    }

    fn begin_trial(&mut self, cause: CauseKey) {
        self.trial = Some(cause);
        self.relay.on_trial(&self.req, cause);
    }

    /// Records that the last attempt in progress failed, and decides whether another may follow.
    pub(crate) async fn fail(&mut self, failed: Failed) -> Result<(), StopReason> {
        self.record_failure(&failed);
        if failed.failure == Failure::Broken {
            self.examine_break(failed).await;
        }
        self.decide_retry(&failed)?;
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

    /// Records that an attempt failed while another one is in progress.
    pub(crate) fn set_aside(&mut self, failed: Failed) {
        self.record_failure(&failed);
        if failed.failure == Failure::Broken {
            self.spawn_examination(failed);
        }
        self.log_failed(&failed, "in progress elsewhere");
    }

    /// Finds out whether the server has crashed, before another attempt may follow. A caller whose deadline has passed is not kept
    /// waiting for that.
    async fn examine_break(&self, failed: Failed) {
        if self.req.time_left(now()).is_zero() {
            self.spawn_examination(failed);
        } else {
            examine_break(&self.relay, &self.req, failed).await;
        }
    }

    fn spawn_examination(&self, failed: Failed) {
        let (relay, req) = (self.relay.clone(), self.req.clone());
        tokio::spawn(async move { examine_break(&relay, &req, failed).await });
    }

    /// The servers that may get the request.
    fn placeable(&self) -> Vec<BackendKey> {
        let state = self.relay.state();
        let accepting = state.accepting(now(), &self.req.service);
        accepting.filter(|(_, b)| runs(b, self.version.as_deref())).map(|(key, _)| key).collect()
    }

    /// Whether a server that was neither out of reach nor silent a moment ago may get the request: one that was not tried and is
    /// not among `others`.
    pub(crate) fn has_responsive_server(&self, others: &[BackendKey]) -> bool {
        let (state, now) = (self.relay.state(), now());
        state.accepting(now, &self.req.service).any(|(key, b)| {
            runs(b, self.version.as_deref())
                && !self.tried.contains(&key)
                && !others.contains(&key)
                && !state.health.is_backing_off(now, key)
        })
    }

    /// Decides whether another attempt may follow a failed one, counts the decision and logs it.
    fn decide_retry(&mut self, failed: &Failed) -> Result<(), StopReason> {
        let (relay, req) = (&self.relay, &self.req);
        let next = self.tries.may_follow(now(), failed.failure, || relay.spend_retry(req));
        self.log_failed(failed, next.map_or_else(StopReason::as_str, |()| "once more"));
        match next {
            Ok(()) => relay.metrics.add(Counter::RelayRetries, failed.failure.as_str(), 1),
            Err(stop) => relay.metrics.add(Counter::RelayStops, stop.as_str(), 1),
        }
        next
    }

    fn log_failed(&self, failed: &Failed, next: &str) {
        let backend = self.relay.backend_id(failed.key);
        self.relay.log_request(Level::Notable, "attempt_failed", &self.req, |l| {
            let l = l.text("failure", failed.failure.as_str());
            let l = l.text("backend", backend.as_deref().unwrap_or("gone"));
            let l = l.number("attempt", self.tries.made()).ms("after_ms", now() - self.req.arrived);
            l.text("next", next)
        });
    }

    /// Counts a failed attempt and updates the health of its server.
    fn record_failure(&mut self, failed: &Failed) {
        let Failed { failure, key, sent, carrier, .. } = *failed;
        self.tries.record_failure(failure);
        self.tried.push(key);
        self.carriers.extend(carrier);
        let now = now();
        match failure {
            Failure::Moved => self.relay.mark_backend_gone(key, "another server answers at its address"),
            Failure::Connect | Failure::Silent => {
                if failure == Failure::Silent {
                    self.relay.record_wait(&self.req, sent);
                }
                self.relay.avoid_backend(key, failure.as_str());
                self.relay.pool.clear(key);
            }
            Failure::Unsent => {}
            Failure::Late => self.relay.record_wait(&self.req, sent),
            Failure::Refused => self.relay.record_refusal(&self.req, key),
            Failure::Broken | Failure::Garbled | Failure::TooLong | Failure::Errored => {
                self.relay.state().health.record_failure(now, key);
            }
        }
    }

    /// Buffers an answer and passes it on.
    async fn buffer_answer(&mut self, answered: Answered<W>) -> Result<Response<AnswerBody>, Failed> {
        let Answered { head, parsed, body, conn, mut attempt } = answered;
        let key = attempt.key;
        let reading = attempt.buffer(body);
        let bytes = match tokio::time::timeout(self.req.time_left(now()), reading).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(failure)) => return Err(attempt.failed(failure)),
            Err(_) => return Err(attempt.failed(Failure::Late)),
        };
        if !parsed.closes {
            self.relay.return_connection(key, conn, parsed.keep_alive);
        }
        if head.status.is_success() {
            attempt.note_begun();
        }
        let failed = attempt.failed(Failure::Errored);
        drop(attempt);
        if !head.status.is_success() {
            self.relay.record_error(&self.req, failed.sent);
        }
        if head.status.is_server_error() && self.may_retry_error() {
            self.record_failure(&failed);
            if self.relay.may_repeat_error(&self.req) && self.decide_retry(&failed).is_ok() {
                let repeat = self.begin(&Wanted::Answer { after: None }).await;
                let is_helpful = |a: &Answered<W>| !a.head.status.is_server_error();
                let helped = matches!(&repeat, Ok(Begun::Other(answered)) if is_helpful(answered));
                self.relay.record_repeat(&self.req, helped);
                return match repeat {
                    Ok(Begun::Other(answered)) => Box::pin(self.buffer_answer(*answered))
                        .await
                        .or_else(|_| Ok(self.deliver(head, bytes))),
                    _ => Ok(self.deliver(head, bytes)),
                };
            }
        } else if head.status.is_success() {
            self.relay.record_wait(&self.req, failed.sent);
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
            l.ms("after_ms", now() - self.req.arrived).number("attempts", self.tries.made())
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

/// After a broken connection, finds out with a new one whether the server has crashed, and records that the request was there.
pub(crate) async fn examine_break<W: Wire>(relay: &Arc<Relay<W>>, req: &Request, failed: Failed) {
    let key = failed.key;
    let Some(addr) = relay.state().backends.get(key).map(|b| b.addr) else { return };
    if failed.may_have_crashed {
        log_suspected(relay, req, &failed);
        if relay.record_break(req, key) {
            return;
        }
    }
    if let Ok(conn) = relay.connect(key, addr, CONNECT_TIMEOUT).await {
        return relay.return_connection(key, conn, None);
    }
    relay.record_crash(key);
    if pool::refuses_connections(addr).await {
        relay.confirm_crash(key);
    }
}

fn log_suspected<W: Wire>(relay: &Relay<W>, req: &Request, failed: &Failed) {
    let backend = relay.backend_id(failed.key);
    let parts = Causes::named_parts(req).map(|(part, cause)| format!("{:x}={cause}", part.id));
    let parts: Vec<_> = parts.collect();
    relay.log_request(Level::Notable, "suspected", req, |l| {
        let l = l.text("backend", backend.as_deref().unwrap_or("gone"));
        let l = l.text("content", &format!("{:016x}", req.fingerprint()));
        l.flag("first_event", failed.has_event).text("parts", &parts.join(","))
    });
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
