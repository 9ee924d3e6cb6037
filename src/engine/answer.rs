//! Reads the events of an answer, bounded in size and in time between events.

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

const MAX_EVENT: usize = 1 << 20;

/// Why no event came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The connection ended or broke.
    Cut,
    /// Nothing came for the time limit.
    Stalled,
    /// The engine sent what is no event, or an event that is too long.
    Garbled,
}

impl Broken {
    /// Label for counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Broken::Cut => "cut",
            Broken::Stalled => "stalled",
            Broken::Garbled => "garbled",
        }
    }
}

type Decoder = SseByteStream<Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>> + Send>>>;

/// Events of one connection to an engine.
pub struct Answer {
    events: Decoder,
    unread: Arc<AtomicUsize>,
    stall: Duration,
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer").field("stall", &self.stall).finish_non_exhaustive()
    }
}

impl Answer {
    /// Reads `body`; an event must come at least every `stall`.
    pub fn new(body: Incoming, stall: Duration) -> Self {
        let unread = Arc::new(AtomicUsize::new(0));
        let bytes = chunks(body, unread.clone());
        Self { events: SseByteStream::new(bytes), unread, stall }
    }

    /// Next event with its identifier and data.
    ///
    /// # Errors
    /// When the connection ended; an end without the final marker is never an ordinary end.
    pub async fn next(&mut self) -> Result<Sse, Broken> {
        match tokio::time::timeout(self.stall, self.events.next()).await {
            Err(_) => Err(Broken::Stalled),
            Ok(None) => Err(Broken::Cut),
            Ok(Some(Err(sse_stream::Error::Body(_)))) if self.unread.load(Ordering::Relaxed) <= MAX_EVENT => {
                Err(Broken::Cut)
            }
            Ok(Some(Err(_))) => Err(Broken::Garbled),
            Ok(Some(Ok(event))) => {
                self.unread.store(0, Ordering::Relaxed);
                Ok(event)
            }
        }
    }
}

/// Chunks of the body. An engine that never ends an event would fill the decoder's buffer; the count of bytes
/// since the last whole event ends the connection before that.
fn chunks(
    body: Incoming,
    unread: Arc<AtomicUsize>,
) -> Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>> + Send>> {
    let stream = body.into_data_stream().map(move |chunk| {
        let chunk = chunk.map_err(std::io::Error::other)?;
        if unread.fetch_add(chunk.len(), Ordering::Relaxed) + chunk.len() > MAX_EVENT {
            return Err(std::io::Error::other("an event is too long"));
        }
        Ok(chunk)
    });
    Box::pin(stream)
}
