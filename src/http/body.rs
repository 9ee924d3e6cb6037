//! Streamed reply bodies that must be ended explicitly.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use tokio::sync::mpsc::{self, error::TrySendError};
use xitca_web::body::{Body, Frame};

/// Error: the sender was dropped before the end of the body.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedBody;

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body was truncated")
    }
}

impl std::error::Error for TruncatedBody {}

/// Error: the caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

#[derive(Debug)]
enum Part {
    Data(Bytes),
    End,
}

/// Sender of a streamed reply body.
///
/// The task that owns it may be dropped or panic, for example when a router is stopped a second time. If the chunked
/// body then ended normally, the caller would take an incomplete body for a complete one. Therefore only
/// [`BodySender::finish`] ends the body; dropping the sender aborts the caller's connection.
#[derive(Debug)]
pub struct BodySender(mpsc::Sender<Part>);

/// Receiver of a streamed reply body, read by the connection.
#[derive(Debug)]
pub struct BodyReceiver {
    rx: mpsc::Receiver<Part>,
    ended: bool,
}

/// Creates a channel for a streamed body that buffers at most `depth` chunks for a slow caller.
pub fn body_channel(depth: usize) -> (BodySender, BodyReceiver) {
    let (tx, rx) = mpsc::channel(depth);
    (BodySender(tx), BodyReceiver { rx, ended: false })
}

impl BodySender {
    /// Sends a chunk; waits while the channel is full.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        self.0.send(Part::Data(bytes)).await.map_err(|_| CallerDisconnected)
    }

    /// Sends a chunk unless the channel is full; returns whether it was sent.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub fn try_send(&self, bytes: Bytes) -> Result<bool, CallerDisconnected> {
        match self.0.try_send(Part::Data(bytes)) {
            Ok(()) => Ok(true),
            Err(TrySendError::Full(_)) => Ok(false),
            Err(TrySendError::Closed(_)) => Err(CallerDisconnected),
        }
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Ends the body, which marks it as complete.
    pub async fn finish(self) {
        let _ = self.0.send(Part::End).await;
    }
}

impl Body for BodyReceiver {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
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
                Some(Err(TruncatedBody))
            }
        })
    }
}
