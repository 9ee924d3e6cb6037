//! The body of an answer to a caller.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};

/// The answer ends before it is complete. The caller's connection is aborted so that the caller notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("answer truncated before its end")
    }
}

impl std::error::Error for Truncated {}

/// Events of a stream, passed on as they arrive.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, Truncated>> + Send>>;

/// Body of an answer.
pub enum AnswerBody {
    /// The complete body.
    Buffered(Bytes),
    /// A stream of events, passed on as they arrive.
    Events(EventStream),
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerBody::Buffered(bytes) => write!(f, "Buffered({} bytes)", bytes.len()),
            AnswerBody::Events(_) => f.write_str("Events"),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            AnswerBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Events(events) => {
                events.as_mut().poll_next(cx).map(|next| next.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Events(_) => SizeHint::default(),
        }
    }
}
