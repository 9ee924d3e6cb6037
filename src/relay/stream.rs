//! A stream of events from a backend server to a caller: complete events are passed on as they arrive, and a broken
//! stream is resumed on another server if its route allows that.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream::unfold;
use http::Response;
use http_body_util::BodyExt;

use super::{
    Wire,
    answer::{AnswerBody, Truncated},
    attempt::{Answered, Begun, Failed},
    attempts::Failure,
    backends::BackendKey,
    cut::Cut,
    events::{CompleteEvents, Splitter},
    hold::{Wanted, Watched, Won},
    origins::Continuation,
    outcome::Outcome,
    request::EventNumber,
    run::{AttemptError, Run},
    silence::{Awaited, Obstacle},
};
use crate::{
    logs::lines::Level,
    metrics::{Counter, Latency},
    objects::bucket::TokenBucket,
    util::{Instant, now},
};

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

/// Maximum rate at which complete events of one stream are read; events that arrive together count once. Servers send some
/// dozens a second.
pub const READS_PER_SECOND: f64 = 1_000.0;
/// Number of such reads at any rate, for a server that repeats what it has sent before.
pub const READ_BURST: f64 = 1_000.0;

/// Time after a request's deadline for which events that have arrived are passed on.
const LATE_EVENTS_TIME: Duration = Duration::from_millis(200);

/// A stream that one server sends.
pub(crate) struct Source<W: Wire> {
    answered: Answered<W>,
    splitter: Splitter,
    /// Number of the last event that it has sent.
    last: Option<EventNumber>,
    reads: TokenBucket,
}

impl<W: Wire> Source<W> {
    pub(crate) fn new(answered: Answered<W>) -> Self {
        let reads = TokenBucket::new(READS_PER_SECOND, READ_BURST);
        Self { answered, splitter: Splitter::default(), last: None, reads }
    }

    /// Reads until there is at least one complete event, at most until the deadline; `None` at the end of the stream. The first
    /// event of a stream that goes on must directly follow the event `follows`, and numbers must increase; otherwise the caller
    /// would miss events or get some twice.
    pub(crate) async fn read(
        &mut self,
        follows: Option<EventNumber>,
    ) -> Result<Option<CompleteEvents>, Failure> {
        let Answered { body, attempt, .. } = &mut self.answered;
        let deadline = tokio::time::Instant::now() + attempt.time_left();
        if attempt.is_over_for(LATE_EVENTS_TIME) {
            return Err(Failure::Late);
        }
        while let Err(wait) = self.reads.take(now()) {
            tokio::time::sleep(wait).await;
        }
        loop {
            let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Err(attempt.body_failure(&e)),
                Ok(None) if self.splitter.is_empty() => return Ok(None),
                Ok(None) => return Err(Failure::Broken),
                Err(_) => return Err(Failure::Late),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Some(mut events) = self.splitter.push(data) {
                attempt.note_event();
                events.bytes = attempt.hold(events.bytes);
                if !events.follow(follows) || !events.increase(self.last) {
                    return Err(Failure::Garbled);
                }
                self.last = events.last.or(self.last);
                return Ok(Some(events));
            }
            if self.splitter.is_too_long() {
                return Err(attempt.too_long(self.splitter.buffered_bytes()));
            }
            attempt.make_room(self.splitter.buffered_bytes()).await?;
        }
    }

    /// Describes how the attempt failed.
    pub(crate) fn failed(&self, failure: Failure) -> Failed {
        self.answered.attempt.failed(failure)
    }

    fn key(&self) -> BackendKey {
        self.answered.attempt.key
    }
}

/// A stream whose answer has begun.
struct Events<W: Wire> {
    /// Where it comes from, until its end.
    source: Option<Box<Source<W>>>,
    last: Option<EventNumber>,
    /// When the last event was passed on.
    last_event: Instant,
    /// Service and version that began it.
    origin: Option<Continuation>,
}

/// The response whose body continues with the stream.
pub(crate) fn respond<W: Wire>(
    mut run: Run<W>,
    source: Box<Source<W>>,
    first: Option<CompleteEvents>,
) -> Response<AnswerBody> {
    let relay = run.relay.clone();
    let head = source.answered.head.clone();
    let mut events = Events {
        source: None,
        last: run.req.after,
        last_event: now(),
        origin: relay.origin_of(source.key()),
    };
    let first = match first {
        Some(first) => {
            record_first_event(&run, &source);
            events.source = Some(source);
            Some(events.accept(first))
        }
        None => {
            events.end(&mut run, *source);
            None
        }
    };
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

fn record_first_event<W: Wire>(run: &Run<W>, source: &Source<W>) {
    let (relay, req, attempt) = (&run.relay, &run.req, &source.answered.attempt);
    relay.metrics.record(Latency::FirstEvent, "stream", now() - req.arrived);
    relay.record_wait(req, attempt.sent);
    relay.begin_stream(req, attempt.key);
    relay.log_request(Level::Routine, "first_event", req, |l| l.ms("after_ms", now() - req.arrived));
}

impl<W: Wire> Events<W> {
    /// Returns the next events, from another server if this one fails, or begins later than that one while it is silent.
    async fn next(&mut self, run: &mut Run<W>) -> Option<Result<Bytes, Truncated>> {
        let mut source = self.source.take()?;
        let waiting_since = now();
        let (key, sent) = (source.key(), source.answered.attempt.sent);
        let watched = Watched { key, sent, since: waiting_since, heard: Arc::default() };
        let wanted = self.rest();
        let reading = async { source.read(None).await.map_err(|failure| source.failed(failure)) };
        let (source, events) = match run.hold(watched, Awaited::NextEvent, reading, &wanted).await {
            Ok(Won::Held(events)) => (source, events),
            Ok(Won::Beside(begun)) => {
                drop(source);
                self.go_on(run, begun)
            }
            Err(failed) => {
                drop(source);
                match self.resume(run, failed, &wanted).await {
                    Ok(resumed) => resumed,
                    Err(cut) => return Some(Err(self.cut(run, &cut))),
                }
            }
        };
        let Some(events) = events else {
            self.end(run, *source);
            return None;
        };
        let is_resumed = source.answered.attempt.sent != sent;
        run.relay.record_pause(&run.req, source.key(), waiting_since, is_resumed);
        self.source = Some(source);
        Some(Ok(self.accept(events)))
    }

    /// What another server would have to send.
    fn rest(&self) -> Wanted {
        Wanted::Rest { after: self.last, origin: self.origin.clone() }
    }

    /// Resumes the stream on another server after its last one failed.
    ///
    /// # Errors
    /// Why none goes on with it.
    async fn resume(
        &mut self,
        run: &mut Run<W>,
        mut failed: Failed,
        wanted: &Wanted,
    ) -> Result<Resumed<W>, Cut> {
        // Before the failure is weighed, which depends on the servers that may go on with the stream.
        let may_go_on = run.require_version(wanted);
        loop {
            run.fail(failed).await.map_err(|stop| self.cut_by(failed, stop.as_str()))?;
            if let Err(obstacle) = may_go_on {
                if let Obstacle::Discontinued(reason) = obstacle {
                    run.relay.record_discontinued(&run.req, reason);
                }
                return Err(self.cut_by(failed, obstacle.as_str()));
            }
            failed = match run.begin(wanted).await {
                Ok(begun) => return Ok(self.go_on(run, begun)),
                Err(AttemptError::Failed(failed)) => failed,
                Err(AttemptError::NoServer(kind)) => {
                    run.relay.record_no_server(&run.req, kind);
                    return Err(self.cut_by(failed, kind.answer().code));
                }
            };
        }
    }

    /// Records that another server goes on with the stream.
    fn go_on(&self, run: &Run<W>, begun: Begun<W>) -> Resumed<W> {
        let Begun::Stream(source, events) = begun else {
            unreachable!("an attempt that continues a stream fails with any other answer")
        };
        run.relay.metrics.add(Counter::RelayStreams, StreamBreak::Resumed.as_str(), 1);
        run.relay.log_request(Level::Notable, "stream_resumed", &run.req, |l| {
            let l = l.text("server_version", run.version.as_deref().unwrap_or_default());
            l.number("events", self.last.unwrap_or(0)).ms("after_ms", now() - run.req.arrived)
        });
        (source, events)
    }

    fn cut_by(&self, failed: Failed, next: &'static str) -> Cut {
        let Failed { key, failure, .. } = failed;
        Cut { key, failure, next, last: self.last, last_event: self.last_event }
    }

    /// Closes the stream before its end.
    fn cut(&self, run: &mut Run<W>, cut: &Cut) -> Truncated {
        run.outcome = Some(Outcome::Cut);
        run.relay.metrics.add(Counter::RelayStreams, StreamBreak::Cut.as_str(), 1);
        run.relay.record_cut(&run.req, cut);
        Truncated
    }

    fn accept(&mut self, events: CompleteEvents) -> Bytes {
        self.last = events.last.or(self.last);
        self.last_event = now();
        events.bytes
    }

    /// Ends the stream after its last event.
    fn end(&mut self, run: &mut Run<W>, source: Source<W>) {
        let Answered { mut attempt, conn, parsed, .. } = source.answered;
        attempt.note_begun();
        run.relay.end_stream(&run.req);
        run.outcome = Some(Outcome::Answered);
        run.relay.record_backend_success(attempt.key);
        if !parsed.closes {
            run.relay.return_connection(attempt.key, conn, parsed.keep_alive);
        }
        run.relay.log_request(Level::Routine, "answered", &run.req, |l| {
            let l = l.number("events", self.last.unwrap_or(0)).number("attempts", run.tries.made());
            l.ms("after_ms", now() - run.req.arrived)
        });
    }
}

/// The server that goes on with a stream, and its first events; none if the stream is over.
type Resumed<W> = (Box<Source<W>>, Option<CompleteEvents>);
