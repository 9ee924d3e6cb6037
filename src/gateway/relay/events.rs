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
        answer::{Answer, Broken},
    },
    gateway::request::header,
    http::{BodySender, Gone},
    metrics::{Counter, Metrics},
    stream::{EventAction, StreamTracker},
};

/// Events that wait for a slow caller before the engine's stream is held back.
pub(in crate::gateway) const EVENT_CHANNEL_CAPACITY: usize = 8;
/// Longest time between two events, the first included, before the connection is given up.
const EVENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a caller who waits gets a comment. A server learns that a caller has gone only when it writes to them,
/// so that an engine which is slow to answer would go on for nobody.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";
/// Connections without any new event before the stream is given up.
const MAX_EMPTY_CONNECTIONS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(100);
const CANCEL_ATTEMPTS: u32 = 3;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum StreamEnd {
    /// With the final marker, all of it passed on.
    Complete,
    /// The caller went away; the engine was told.
    Cancelled,
    /// It could not be resumed; the caller's connection was cut.
    Cut,
}

impl StreamEnd {
    fn as_str(self) -> &'static str {
        match self {
            StreamEnd::Complete => "complete",
            StreamEnd::Cancelled => "cancelled",
            StreamEnd::Cut => "cut",
        }
    }
}

/// One stream between an engine and a caller.
pub(in crate::gateway) struct RelayedStream {
    pub(in crate::gateway) engine: EngineClient,
    pub(in crate::gateway) attempt_id: Arc<str>,
    pub(in crate::gateway) tracker: StreamTracker,
    pub(in crate::gateway) tx: BodySender,
    pub(in crate::gateway) metrics: Arc<Metrics>,
}

/// Why reading a connection stopped.
enum ConnectionEnd {
    Finished(StreamEnd),
    Reconnect,
}

impl RelayedStream {
    /// Passes the stream on to its end. A stream that can't be completed cuts the caller's connection: without
    /// the final marker and without an ordinary end it never looks complete.
    pub(in crate::gateway) async fn run(mut self, first: Response<Incoming>) -> StreamEnd {
        let ended = self.relay_all(first).await;
        self.count(ended.as_str());
        match ended {
            StreamEnd::Complete => self.tx.finish().await,
            StreamEnd::Cancelled => self.cancel().await,
            StreamEnd::Cut => drop(self.tx),
        }
        ended
    }

    async fn relay_all(&mut self, first: Response<Incoming>) -> StreamEnd {
        let mut empty_connections = 0;
        let mut next = Some(first);
        loop {
            let before = self.tracker.next();
            if let Some(res) = next.take()
                && let ConnectionEnd::Finished(ended) = self.relay_connection(res).await
            {
                return ended;
            }
            empty_connections = if self.tracker.next() > before { 0 } else { empty_connections + 1 };
            if empty_connections >= MAX_EMPTY_CONNECTIONS {
                return StreamEnd::Cut;
            }
            if empty_connections > 0 {
                tokio::time::sleep(RETRY_DELAY * empty_connections).await;
            }
            match self.reconnect().await {
                Ok(res) => next = res,
                Err(ended) => return ended,
            }
        }
    }

    /// Opens the stream again at the offset reached; `Ok(None)` when another try makes sense.
    async fn reconnect(&self) -> Result<Option<Response<Incoming>>, StreamEnd> {
        if self.tx.is_closed() {
            return Err(StreamEnd::Cancelled);
        }
        self.count("resumed");
        match self.engine.resume(&self.attempt_id, self.tracker.next()).await {
            Ok(res) if res.status() == 200 => Ok(Some(res)),
            // The engine has lost the stream, as after a crash.
            Ok(_) => Err(StreamEnd::Cut),
            Err(Failure::Connect | Failure::Broken) => Ok(None),
        }
    }

    async fn relay_connection(&mut self, res: Response<Incoming>) -> ConnectionEnd {
        if header(res.headers(), REQUEST_ID).is_some_and(|id| id != &*self.attempt_id) {
            // The answer to another request came over this connection.
            self.count("crossed");
            return ConnectionEnd::Reconnect;
        }
        let mut answer = Answer::new(res.into_body(), EVENT_IDLE_TIMEOUT);
        loop {
            let Some(event) = self.next(&mut answer).await else {
                return ConnectionEnd::Finished(StreamEnd::Cancelled);
            };
            let event = match event {
                Ok(event) => event,
                Err(broken) => {
                    self.count(broken_label(broken));
                    return ConnectionEnd::Reconnect;
                }
            };
            match self.tracker.on_event(event.id.as_deref(), event.data.as_deref().unwrap_or("")) {
                EventAction::Pass => {
                    if self.send(event).await.is_err() {
                        return ConnectionEnd::Finished(StreamEnd::Cancelled);
                    }
                }
                EventAction::Complete => {
                    let sent = self.send(event).await;
                    return ConnectionEnd::Finished(if sent.is_ok() {
                        StreamEnd::Complete
                    } else {
                        StreamEnd::Cancelled
                    });
                }
                EventAction::Drop(dropped) => self.count(dropped.as_str()),
                EventAction::Refetch => {
                    self.count("refetch");
                    return ConnectionEnd::Reconnect;
                }
            }
        }
    }

    /// Next event; `None` when the caller has gone away.
    async fn next(&self, answer: &mut Answer) -> Option<Result<Sse, Broken>> {
        let mut next = std::pin::pin!(answer.next());
        loop {
            tokio::select! {
                event = &mut next => return Some(event),
                () = self.tx.closed() => return None,
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => {
                    // A full channel means that the caller has events to read.
                    let _ = self.tx.try_send(Bytes::from_static(KEEP_ALIVE_COMMENT));
                }
            }
        }
    }

    /// Waits for a slow caller, which holds the engine's connection back.
    async fn send(&self, event: Sse) -> Result<(), Gone> {
        let bytes: Bytes = event.encode().map_err(|_| Gone)?;
        self.tx.send(bytes).await
    }

    async fn cancel(&self) {
        for _ in 0..CANCEL_ATTEMPTS {
            if self.engine.cancel(&self.attempt_id).await.is_ok() {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn count(&self, event: &'static str) {
        self.metrics.add(Counter::Streams, event, 1);
    }
}

/// Labels apart from those of a stream's end.
fn broken_label(broken: Broken) -> &'static str {
    match broken {
        Broken::Cut => "broken",
        Broken::Stalled => "stalled",
        Broken::Garbled => "garbled",
    }
}
