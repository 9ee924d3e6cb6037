//! Bounds what a server may send before the head of its answer: informational answers and header lines.
//!
//! hyper's client skips informational answers, however many there are.

use std::{
    fmt, io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::pool;

/// Maximum number of bytes that are read for the head of an answer, those of informational answers included.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// The server sent more than [`MAX_HEAD_BYTES`] before the end of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadTooLong;

impl fmt::Display for HeadTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no head within {MAX_HEAD_BYTES} bytes")
    }
}

impl std::error::Error for HeadTooLong {}

/// Whether a connection ended with [`HeadTooLong`].
pub(super) fn is_exceeded(e: &hyper::Error) -> bool {
    pool::io_error(e).and_then(io::Error::get_ref).is_some_and(|inner| inner.is::<HeadTooLong>())
}

/// Counts the bytes of a connection that are read while the head of an answer is awaited.
#[derive(Clone, Debug, Default)]
pub struct HeadCounter(Arc<Counted>);

#[derive(Debug, Default)]
struct Counted {
    is_awaited: AtomicBool,
    bytes: AtomicUsize,
}

impl HeadCounter {
    /// Starts to count, since a request is about to be sent.
    pub fn begin(&self) {
        self.0.bytes.store(0, Ordering::Relaxed);
        self.0.is_awaited.store(true, Ordering::Release);
    }

    /// Ends the limit, since the head has arrived.
    pub fn end(&self) {
        self.0.is_awaited.store(false, Ordering::Release);
    }

    fn is_exhausted(&self) -> bool {
        self.0.is_awaited.load(Ordering::Acquire) && self.0.bytes.load(Ordering::Relaxed) >= MAX_HEAD_BYTES
    }

    fn count(&self, bytes: usize) {
        self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A connection whose reads fail with [`HeadTooLong`] once the limit is reached.
#[derive(Debug)]
pub struct HeadLimited<S> {
    io: S,
    counter: HeadCounter,
}

impl<S> HeadLimited<S> {
    /// Wraps a connection.
    pub fn new(io: S, counter: HeadCounter) -> Self {
        Self { io, counter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.counter.is_exhausted() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, HeadTooLong)));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.counter.count(buf.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
