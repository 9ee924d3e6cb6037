//! Streamed bodies of replies: the end is said, not inferred.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use tokio::sync::mpsc::{self, error::TrySendError};
use xitca_web::body::{Body, Frame};

/// The body ended before its end.
#[derive(Clone, Copy, Debug)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("body was cut")
    }
}

impl std::error::Error for Cut {}

/// The caller has gone away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

#[derive(Debug)]
enum Part {
    Data(Bytes),
    End,
}

/// Sends the body of a reply.
///
/// The task that holds it may be dropped or panic, as when a router is stopped a second time. A chunked body that
/// then ended in the ordinary way would make a part look like the whole, so only [`BodySender::finish`] ends the
/// body; a sender that is dropped cuts the caller's connection.
#[derive(Debug)]
pub struct BodySender(mpsc::Sender<Part>);

/// What the connection reads of a [`BodySender`]'s body.
#[derive(Debug)]
pub struct BodyReceiver {
    rx: mpsc::Receiver<Part>,
    ended: bool,
}

/// Channel for a body, in which at most `depth` chunks wait for a slow caller.
pub fn body_channel(depth: usize) -> (BodySender, BodyReceiver) {
    let (tx, rx) = mpsc::channel(depth);
    (BodySender(tx), BodyReceiver { rx, ended: false })
}

impl BodySender {
    /// Sends a chunk; waits while the channel is full.
    ///
    /// # Errors
    /// When the caller has gone away.
    pub async fn send(&self, bytes: Bytes) -> Result<(), Gone> {
        self.0.send(Part::Data(bytes)).await.map_err(|_| Gone)
    }

    /// Sends a chunk unless the channel is full; tells whether it was sent.
    ///
    /// # Errors
    /// When the caller has gone away.
    pub fn try_send(&self, bytes: Bytes) -> Result<bool, Gone> {
        match self.0.try_send(Part::Data(bytes)) {
            Ok(()) => Ok(true),
            Err(TrySendError::Full(_)) => Ok(false),
            Err(TrySendError::Closed(_)) => Err(Gone),
        }
    }

    /// Waits until the caller has gone away.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Whether the caller has gone away.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Ends the body: what was sent is the whole of it.
    pub async fn finish(self) {
        let _ = self.0.send(Part::End).await;
    }
}

impl Body for BodyReceiver {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.rx.poll_recv(cx).map(|part| match part {
            Some(Part::Data(bytes)) => Some(Ok(Frame::Data(bytes))),
            Some(Part::End) => {
                self.ended = true;
                None
            }
            None => {
                self.ended = true;
                Some(Err(Cut))
            }
        })
    }
}
