//! Reads the events of an answer stream, with limits on the size of an event and the time between two.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sse_stream::{Sse, SseByteStream};

const MAX_EVENT_BYTES: usize = 1 << 20;

/// Failure of an answer stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The connection ended or broke.
    Disconnected,
    /// No event was received before the timeout.
    Stalled,
    /// The engine sent an invalid or oversized event.
    Garbled,
}

impl AnswerError {
    /// Label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AnswerError::Disconnected => "cut",
            AnswerError::Stalled => "stalled",
            AnswerError::Garbled => "garbled",
        }
    }
}

type Decoder = SseByteStream<Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>> + Send>>>;

/// Answer stream of one connection to an engine.
pub struct AnswerStream {
    events: Decoder,
    unparsed_bytes: Arc<AtomicUsize>,
    stall_timeout: Duration,
}

impl std::fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer").field("stall", &self.stall_timeout).finish_non_exhaustive()
    }
}

impl AnswerStream {
    /// Reads events from `body`; `stall_timeout` is the maximum time between two events.
    pub fn new(body: Incoming, stall_timeout: Duration) -> Self {
        let unparsed_bytes = Arc::new(AtomicUsize::new(0));
        let bytes = limited_chunks(body, unparsed_bytes.clone());
        Self { events: SseByteStream::new(bytes), unparsed_bytes, stall_timeout }
    }

    /// Returns the next event with its identifier and data.
    ///
    /// # Errors
    /// If the stream fails. The end of the connection is always an error, since a complete answer ends with a marker.
    pub async fn next(&mut self) -> Result<Sse, AnswerError> {
        match tokio::time::timeout(self.stall_timeout, self.events.next()).await {
            Err(_) => Err(AnswerError::Stalled),
            Ok(None) => Err(AnswerError::Disconnected),
            Ok(Some(Err(sse_stream::Error::Body(_))))
                if self.unparsed_bytes.load(Ordering::Relaxed) <= MAX_EVENT_BYTES =>
            {
                Err(AnswerError::Disconnected)
            }
            Ok(Some(Err(_))) => Err(AnswerError::Garbled),
            Ok(Some(Ok(event))) => {
                self.unparsed_bytes.store(0, Ordering::Relaxed);
                Ok(event)
            }
        }
    }
}

/// Returns the chunks of the body, and an error once an event exceeds the size limit. `unparsed_bytes` counts the bytes
/// since the last complete event; without this limit an event that never ends would grow the decoder's buffer without
/// bound.
fn limited_chunks(
    body: Incoming,
    unparsed_bytes: Arc<AtomicUsize>,
) -> Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>> + Send>> {
    let stream = body.into_data_stream().map(move |chunk| {
        let chunk = chunk.map_err(std::io::Error::other)?;
        if unparsed_bytes.fetch_add(chunk.len(), Ordering::Relaxed) + chunk.len() > MAX_EVENT_BYTES {
            return Err(std::io::Error::other("event exceeds the size limit"));
        }
        Ok(chunk)
    });
    Box::pin(stream)
}
