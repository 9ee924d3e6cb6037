//! Relays an event stream of an engine: checks each event's identifier, resumes after a broken connection, and
//! cancels when the caller goes away.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use sse_stream::Sse;

use crate::{
    client::Failure,
    engine::{
        EngineClient, REQUEST_ID,
        answer::{AnswerError, AnswerStream},
    },
    gateway::ask::header,
    http::{BodySender, CallerDisconnected},
    metrics::{Counter, Metrics},
    stream::{EventAction, StreamTracker},
};

/// Events that wait for a slow caller before the engine's stream is held back.
pub(in crate::gateway) const STREAM_DEPTH: usize = 8;
/// Longest time between two events, the first included, before the connection is given up.
const STALL: Duration = Duration::from_secs(20);
/// How often a caller who waits gets a comment. A server learns that a caller has gone only when it writes to them,
/// so that an engine which is slow to answer would go on for nobody.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
const COMMENT: &[u8] = b": waiting\n\n";
/// Connections without any new event before the stream is given up.
const MOST_FRUITLESS: u32 = 3;
const PAUSE: Duration = Duration::from_millis(100);
const CANCEL_TRIES: u32 = 3;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Ended {
    /// With the final marker, all of it passed on.
    Complete,
    /// The caller went away; the engine was told.
    Cancelled,
    /// It could not be resumed; the caller's connection was cut.
    Cut,
}

impl Ended {
    fn as_str(self) -> &'static str {
        match self {
            Ended::Complete => "complete",
            Ended::Cancelled => "cancelled",
            Ended::Cut => "cut",
        }
    }
}

/// One stream between an engine and a caller.
pub(in crate::gateway) struct Stream {
    pub(in crate::gateway) engine: EngineClient,
    pub(in crate::gateway) request: Arc<str>,
    pub(in crate::gateway) tracker: StreamTracker,
    pub(in crate::gateway) tx: BodySender,
    pub(in crate::gateway) metrics: Arc<Metrics>,
}

/// Why reading a connection stopped.
enum Stop {
    Ended(Ended),
    Reconnect,
}

impl Stream {
    /// Passes the stream on to its end. A stream that can't be completed cuts the caller's connection: without
    /// the final marker and without an ordinary end it never looks complete.
    pub(in crate::gateway) async fn run(mut self, first: Response<Incoming>) -> Ended {
        let ended = self.pass_all(first).await;
        self.count(ended.as_str());
        match ended {
            Ended::Complete => self.tx.finish().await,
            Ended::Cancelled => self.cancel().await,
            Ended::Cut => drop(self.tx),
        }
        ended
    }

    async fn pass_all(&mut self, first: Response<Incoming>) -> Ended {
        let mut fruitless = 0;
        let mut next = Some(first);
        loop {
            let before = self.tracker.next();
            if let Some(res) = next.take()
                && let Stop::Ended(ended) = self.pass(res).await
            {
                return ended;
            }
            fruitless = if self.tracker.next() > before { 0 } else { fruitless + 1 };
            if fruitless >= MOST_FRUITLESS {
                return Ended::Cut;
            }
            if fruitless > 0 {
                tokio::time::sleep(PAUSE * fruitless).await;
            }
            match self.reconnect().await {
                Ok(res) => next = res,
                Err(ended) => return ended,
            }
        }
    }

    /// Opens the stream again at the offset reached; `Ok(None)` when another try makes sense.
    async fn reconnect(&self) -> Result<Option<Response<Incoming>>, Ended> {
        if self.tx.is_closed() {
            return Err(Ended::Cancelled);
        }
        self.count("resumed");
        match self.engine.resume(&self.request, self.tracker.next()).await {
            Ok(res) if res.status() == 200 => Ok(Some(res)),
            // The engine has lost the stream, as after a crash.
            Ok(_) => Err(Ended::Cut),
            Err(Failure::Connect | Failure::Broken) => Ok(None),
        }
    }

    async fn pass(&mut self, res: Response<Incoming>) -> Stop {
        if header(res.headers(), REQUEST_ID).is_some_and(|id| id != &*self.request) {
            // The answer to another request came over this connection.
            self.count("crossed");
            return Stop::Reconnect;
        }
        let mut answer = AnswerStream::new(res.into_body(), STALL);
        loop {
            let Some(event) = self.next(&mut answer).await else { return Stop::Ended(Ended::Cancelled) };
            let event = match event {
                Ok(event) => event,
                Err(broken) => {
                    self.count(label(broken));
                    return Stop::Reconnect;
                }
            };
            match self.tracker.on_event(event.id.as_deref(), event.data.as_deref().unwrap_or("")) {
                EventAction::Pass => {
                    if self.send(event).await.is_err() {
                        return Stop::Ended(Ended::Cancelled);
                    }
                }
                EventAction::Complete => {
                    let sent = self.send(event).await;
                    return Stop::Ended(if sent.is_ok() { Ended::Complete } else { Ended::Cancelled });
                }
                EventAction::Drop(dropped) => self.count(dropped.as_str()),
                EventAction::Refetch => {
                    self.count("refetch");
                    return Stop::Reconnect;
                }
            }
        }
    }

    /// Next event; `None` when the caller has gone away.
    async fn next(&self, answer: &mut AnswerStream) -> Option<Result<Sse, AnswerError>> {
        let mut next = std::pin::pin!(answer.next());
        loop {
            tokio::select! {
                event = &mut next => return Some(event),
                () = self.tx.closed() => return None,
                () = tokio::time::sleep(KEEP_ALIVE) => {
                    // A full channel means that the caller has events to read.
                    let _ = self.tx.try_send(Bytes::from_static(COMMENT));
                }
            }
        }
    }

    /// Waits for a slow caller, which holds the engine's connection back.
    async fn send(&self, event: Sse) -> Result<(), CallerDisconnected> {
        let bytes: Bytes = event.encode().map_err(|_| CallerDisconnected)?;
        self.tx.send(bytes).await
    }

    async fn cancel(&self) {
        for _ in 0..CANCEL_TRIES {
            if self.engine.cancel(&self.request).await.is_ok() {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn count(&self, event: &'static str) {
        self.metrics.add(Counter::Streams, event, 1);
    }
}

/// Labels apart from those of a stream's end.
fn label(broken: AnswerError) -> &'static str {
    match broken {
        AnswerError::Disconnected => "broken",
        AnswerError::Stalled => "stalled",
        AnswerError::Garbled => "garbled",
    }
}
