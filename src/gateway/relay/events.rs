//! Relays an event stream of an engine: checks the ID of each event, resumes the stream after a connection failure, and
//! cancels it when the caller disconnects.

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
    gateway::request::header,
    http::{BodySender, CallerDisconnected},
    metrics::{Counter, Metrics},
    stream::{EventAction, StreamTracker},
};

/// Number of events buffered for a slow caller before backpressure stops the engine's stream.
pub(in crate::gateway) const EVENT_CHANNEL_CAPACITY: usize = 8;
/// Maximum time until the first event and between two events; after that the connection is treated as failed.
const EVENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a waiting caller is sent a comment. A server notices that a caller has disconnected only when it
/// writes, so without comments a slow engine would continue to work for an absent caller.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";
/// Number of consecutive connections without a new event after which the stream is cut.
const MAX_EMPTY_CONNECTIONS: u32 = 3;
/// Delay between two cancellations, and before a reconnection for each connection without a new event.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of attempts to cancel a stream on the engine.
const CANCEL_ATTEMPTS: u32 = 3;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum StreamEnd {
    /// All events were forwarded, including the final marker.
    Complete,
    /// The caller disconnected, and the stream was cancelled on the engine.
    Cancelled,
    /// The stream could not be resumed, and the caller's connection was cut.
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

/// Event stream that is relayed from an engine to a caller.
pub(in crate::gateway) struct RelayedStream {
    pub(in crate::gateway) engine: EngineClient,
    pub(in crate::gateway) attempt_id: Arc<str>,
    pub(in crate::gateway) tracker: StreamTracker,
    pub(in crate::gateway) tx: BodySender,
    pub(in crate::gateway) metrics: Arc<Metrics>,
}

/// Why reading from a connection stopped.
enum ConnectionEnd {
    Finished(StreamEnd),
    Reconnect,
}

impl RelayedStream {
    /// Relays the stream to its end. If the stream can't be completed, the caller's connection is cut: without the
    /// final marker and a regular end of the body, the caller can't mistake the stream for a complete one.
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

    /// Relays the stream over as many connections as needed.
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

    /// Resumes the stream at the next expected offset; `Ok(None)` if the engine is unreachable and may be tried again.
    async fn reconnect(&self) -> Result<Option<Response<Incoming>>, StreamEnd> {
        if self.tx.is_closed() {
            return Err(StreamEnd::Cancelled);
        }
        self.count("resumed");
        match self.engine.resume(&self.attempt_id, self.tracker.next()).await {
            Ok(res) if res.status() == 200 => Ok(Some(res)),
            // The engine no longer has the stream, for example after a crash.
            Ok(_) => Err(StreamEnd::Cut),
            Err(Failure::Connect | Failure::Broken) => Ok(None),
        }
    }

    /// Relays events from one connection.
    async fn relay_connection(&mut self, res: Response<Incoming>) -> ConnectionEnd {
        if header(res.headers(), REQUEST_ID).is_some_and(|id| id != &*self.attempt_id) {
            // The connection delivered the response to another request.
            self.count("crossed");
            return ConnectionEnd::Reconnect;
        }
        let mut answer = AnswerStream::new(res.into_body(), EVENT_IDLE_TIMEOUT);
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

    /// Waits for the next event while sending keep-alive comments; `None` if the caller has disconnected.
    async fn next(&self, answer: &mut AnswerStream) -> Option<Result<Sse, AnswerError>> {
        let mut next = std::pin::pin!(answer.next());
        loop {
            tokio::select! {
                event = &mut next => return Some(event),
                () = self.tx.closed() => return None,
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => {
                    // If the channel is full, the caller has events to read and needs no comment.
                    let _ = self.tx.try_send(Bytes::from_static(KEEP_ALIVE_COMMENT));
                }
            }
        }
    }

    /// Forwards an event. Waits while the caller is slow, which applies backpressure to the engine.
    async fn send(&self, event: Sse) -> Result<(), CallerDisconnected> {
        let bytes: Bytes = event.encode().map_err(|_| CallerDisconnected)?;
        self.tx.send(bytes).await
    }

    /// Cancels the stream on the engine.
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

/// Label value of a broken answer, distinct from those of [`StreamEnd`].
fn broken_label(broken: AnswerError) -> &'static str {
    match broken {
        AnswerError::Disconnected => "broken",
        AnswerError::Stalled => "stalled",
        AnswerError::Garbled => "garbled",
    }
}
