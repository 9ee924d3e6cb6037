//! A stream of events from a backend server to a caller: complete events are passed on as they arrive, and a broken
//! stream is resumed on another server if its route allows that.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::{Response, response};
use http_body_util::BodyExt;

use super::{
    Wire,
    answer::{AnswerBody, Truncated},
    attempts::Failure,
    backends::BackendKey,
    cut::Cut,
    events::{CompleteEvents, Splitter},
    outcome::Outcome,
    request::EventNumber,
    run::{Answered, AttemptError, Run},
};
use crate::{
    logs::lines::Level,
    metrics::{Counter, Latency},
    util::{Instant, now},
};

/// Time without an event after which a server counts as unresponsive, if the stream can be resumed elsewhere.
/// Callers abandon a stream after two seconds without an event; a preempted request continues within a second.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_200);

/// How a broken stream continued; a label in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamBreak {
    /// It was resumed on another server.
    Resumed,
    /// It was truncated for the caller.
    Cut,
}

impl StreamBreak {
    /// All values.
    pub const ALL: [StreamBreak; 2] = [StreamBreak::Resumed, StreamBreak::Cut];

    /// Label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StreamBreak::Resumed => "resumed",
            StreamBreak::Cut => "cut",
        }
    }
}

/// A stream whose answer has begun.
pub(crate) struct Events<W: Wire> {
    answered: Option<Answered<W>>,
    splitter: Splitter,
    last: Option<EventNumber>,
    /// When the last event was passed on.
    last_event: Instant,
    /// Whether the stream has just been resumed, so that the next event must directly follow the last one.
    resumed: bool,
    ended: bool,
}

/// Result of reading from the stream.
enum Next {
    Events(Bytes),
    End,
}

/// Reads up to the first event, so that the request can still be sent to another server if this one fails before.
pub(crate) async fn start<W: Wire>(
    run: &mut Run<W>,
    answered: Answered<W>,
) -> Result<(response::Parts, Option<Bytes>, Events<W>), (Failure, BackendKey)> {
    let key = answered.work.key;
    let head = answered.head.clone();
    let mut events = Events {
        answered: Some(answered),
        splitter: Splitter::default(),
        last: run.req.after,
        last_event: now(),
        resumed: false,
        ended: false,
    };
    let limit = run.wait_limit(run.silence_timeout());
    match events.read(run, limit).await {
        Ok(Next::Events(bytes)) => {
            run.relay.metrics.record(Latency::FirstEvent, "stream", now() - run.req.arrived);
            run.relay.record_wait(&run.req, run.sent);
            run.relay.begin_stream(&run.req, key);
            run.relay.log_request(Level::Routine, "first_event", &run.req, |l| {
                l.ms("after_ms", now() - run.req.arrived)
            });
            Ok((head, Some(bytes), events))
        }
        Ok(Next::End) => Ok((head, None, events)),
        Err(failure) => Err((failure, key)),
    }
}

/// The response whose body continues with the stream.
pub(crate) fn respond<W: Wire>(
    run: Run<W>,
    head: response::Parts,
    first: Option<Bytes>,
    events: Events<W>,
) -> Response<AnswerBody> {
    let relay = run.relay.clone();
    let guard = relay.track_request();
    let body = unfold((run, events, first, guard), |(mut run, mut events, first, guard)| async move {
        if let Some(bytes) = first {
            return Some((Ok(bytes), (run, events, None, guard)));
        }
        let item = events.next(&mut run).await?;
        Some((item, (run, events, None, guard)))
    });
    relay.wire.caller_response(head, AnswerBody::Events(Box::pin(body)))
}

impl<W: Wire> Events<W> {
    /// Returns the next events, from another server if this one fails.
    async fn next(&mut self, run: &mut Run<W>) -> Option<Result<Bytes, Truncated>> {
        if self.ended {
            return None;
        }
        let (waiting_since, attempts) = (now(), run.attempts_started);
        loop {
            let max_gap = run.req.route.repeatable.then_some(MAX_EVENT_GAP);
            let limit = run.wait_limit(max_gap);
            let failure = match self.read(run, limit).await {
                Ok(Next::Events(bytes)) => {
                    if let Some(answered) = &self.answered {
                        let is_resumed = run.attempts_started > attempts;
                        run.relay.record_pause(&run.req, answered.work.key, waiting_since, is_resumed);
                    }
                    return Some(Ok(bytes));
                }
                Ok(Next::End) => return None,
                Err(failure) => failure,
            };
            if let Err(cut) = self.resume(run, failure).await {
                self.ended = true;
                run.outcome = Some(Outcome::Cut);
                run.relay.metrics.add(Counter::RelayStreams, StreamBreak::Cut.as_str(), 1);
                run.relay.record_cut(&run.req, &cut);
                return Some(Err(Truncated));
            }
        }
    }

    /// Resumes the stream on another server after the last complete event.
    ///
    /// # Errors
    /// Why none went on with it.
    async fn resume(&mut self, run: &mut Run<W>, mut failure: Failure) -> Result<(), Cut> {
        let mut key = match self.answered.take() {
            Some(answered) => answered.work.key,
            None => return Err(self.cut(BackendKey::default(), failure, "ended")),
        };
        let version = run.relay.version_to_continue(key);
        run.version = version.as_ref().ok().cloned();
        self.splitter.clear();
        loop {
            if let Err(stop) = run.fail(failure, key).await {
                return Err(self.cut(key, failure, stop.as_str()));
            }
            let version = match &version {
                Ok(version) => version,
                Err(reason) => {
                    run.relay.record_discontinued(&run.req, *reason);
                    return Err(self.cut(key, failure, reason.as_str()));
                }
            };
            match run.attempt(self.last).await {
                Ok(answered) if answered.head.status.is_success() => {
                    run.relay.metrics.add(Counter::RelayStreams, StreamBreak::Resumed.as_str(), 1);
                    run.relay.log_request(Level::Notable, "stream_resumed", &run.req, |l| {
                        let l = l.text("server_version", version);
                        l.number("events", self.last.unwrap_or(0)).ms("after_ms", now() - run.req.arrived)
                    });
                    self.answered = Some(answered);
                    self.resumed = true;
                    return Ok(());
                }
                Ok(answered) => (failure, key) = (Failure::Errored, answered.work.key),
                Err(AttemptError::Failed(failed)) => (failure, key) = failed,
                Err(AttemptError::NoServer(kind)) => {
                    run.relay.record_no_server(&run.req, kind);
                    return Err(self.cut(key, failure, kind.answer().code));
                }
            }
        }
    }

    fn cut(&self, key: BackendKey, failure: Failure, next: &'static str) -> Cut {
        Cut { key, failure, next, last: self.last, last_event: self.last_event }
    }

    /// Reads until there is at least one complete event, for at most `limit`.
    async fn read(
        &mut self,
        run: &mut Run<W>,
        (limit, timeout_failure): (Duration, Failure),
    ) -> Result<Next, Failure> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let Some(answered) = &mut self.answered else { return Err(Failure::Broken) };
            let frame = match tokio::time::timeout_at(deadline, answered.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => {
                    spdlog::debug!("stream of request {} broke: {e}", run.req.id);
                    return Err(Failure::Broken);
                }
                Ok(None) => return self.end(run),
                Err(_) => return Err(timeout_failure),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Some(events) = self.splitter.push(data) {
                run.note_event();
                return self.accept(events).map(Next::Events);
            }
            if self.splitter.is_too_long() {
                return Err(Failure::Garbled);
            }
        }
    }

    /// Checks that a server resumes the stream at the right event; otherwise the caller would miss events or get
    /// some twice.
    fn accept(&mut self, events: CompleteEvents) -> Result<Bytes, Failure> {
        if std::mem::take(&mut self.resumed)
            && self.last.is_some()
            && events.first != self.last.map(|n| n + 1)
        {
            return Err(Failure::Garbled);
        }
        self.last = events.last.or(self.last);
        self.last_event = now();
        Ok(events.bytes)
    }

    /// Ends the stream after its last event.
    fn end(&mut self, run: &mut Run<W>) -> Result<Next, Failure> {
        if !self.splitter.is_empty() {
            return Err(Failure::Broken);
        }
        self.ended = true;
        run.note_begun();
        run.relay.end_stream(&run.req);
        run.outcome = Some(Outcome::Answered);
        if let Some(answered) = self.answered.take() {
            let key = answered.work.key;
            run.relay.record_backend_success(key);
            if !answered.parsed.closes {
                run.relay.return_connection(key, answered.conn, answered.parsed.keep_alive);
            }
        }
        run.relay.log_request(Level::Routine, "answered", &run.req, |l| {
            let l = l.number("events", self.last.unwrap_or(0)).number("attempts", run.attempts_started);
            l.ms("after_ms", now() - run.req.arrived)
        });
        Ok(Next::End)
    }
}
