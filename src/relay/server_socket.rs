//! Connections to backend servers, of which this host knows whether what it has written is acknowledged.
//!
//! While written bytes may not be acknowledged, the state of the socket is read from time to time. How a connection ends
//! whose bytes were not acknowledged is logged and counted.

use std::{
    io,
    net::SocketAddr,
    os::fd::AsFd,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use tcp_state::{SendState, send_state};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::{
    logs::lines::{Level, line},
    metrics::{Counter, Metrics},
    util::{Instant, now},
};

/// Time between two looks at a socket whose bytes are not acknowledged.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What was not acknowledged when a connection ended by a timeout; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnackedCause {
    /// Bytes had been sent: the path, the machine or its kernel is down.
    InFlight,
    /// The window was closed, so that bytes waited here: the server does not read.
    ClosedWindow,
    /// The state of the socket was not read, or everything was acknowledged then.
    Unknown,
}

impl UnackedCause {
    /// Every cause.
    pub const ALL: [UnackedCause; 3] =
        [UnackedCause::InFlight, UnackedCause::ClosedWindow, UnackedCause::Unknown];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            UnackedCause::InFlight => "in_flight",
            UnackedCause::ClosedWindow => "closed_window",
            UnackedCause::Unknown => "unknown",
        }
    }

    fn of(state: Option<SendState>) -> Self {
        match state {
            Some(SendState { unacked_bytes: 0, .. }) | None => UnackedCause::Unknown,
            Some(SendState { unacked_packets: 0, .. }) => UnackedCause::ClosedWindow,
            Some(_) => UnackedCause::InFlight,
        }
    }
}

/// What a socket connects to, and where its end is counted.
#[derive(Clone, Debug)]
pub(crate) struct SocketLabel {
    pub(crate) metrics: Arc<Metrics>,
    /// Identifier of the backend server.
    pub(crate) backend: Arc<str>,
    /// The host at the other end, if the connection passes through one.
    pub(crate) peer: Option<SocketAddr>,
}

/// Bytes that may not be acknowledged.
#[derive(Debug)]
struct Outstanding {
    /// When the first of them was written, or more of them was last found to be acknowledged.
    since: Instant,
    /// Number of bytes found unacknowledged at the last look.
    state: Option<SendState>,
    timer: Pin<Box<Sleep>>,
}

/// A connection to a backend server, possibly through another host.
#[derive(Debug)]
pub(crate) struct ServerSocket {
    stream: TcpStream,
    label: SocketLabel,
    outstanding: Option<Outstanding>,
}

impl ServerSocket {
    pub(crate) fn new(stream: TcpStream, label: SocketLabel) -> Self {
        Self { stream, label, outstanding: None }
    }

    pub(crate) fn label(&self) -> &SocketLabel {
        &self.label
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Looks at the socket if it is time to.
    fn poll_look(&mut self, cx: &mut Context<'_>) {
        while let Some(outstanding) = &mut self.outstanding {
            if outstanding.timer.as_mut().poll(cx).is_pending() {
                return;
            }
            match send_state(self.stream.as_fd()) {
                Ok(SendState { unacked_bytes: 0, .. }) => self.outstanding = None,
                Ok(state) => {
                    let before = outstanding.state.replace(state);
                    if before.is_some_and(|before| state.unacked_bytes < before.unacked_bytes) {
                        outstanding.since = now();
                    }
                    outstanding.timer = Box::pin(sleep(LOOK_INTERVAL));
                }
                Err(e) => {
                    spdlog::debug!("could not read the state of a socket: {e}");
                    self.outstanding = None;
                }
            }
        }
    }

    /// Reports an end of the connection by a timeout for unacknowledged bytes.
    fn report_end(&mut self, e: &io::Error) {
        if e.kind() != io::ErrorKind::TimedOut {
            return;
        }
        let outstanding = self.outstanding.take();
        let state = outstanding.as_ref().and_then(|o| o.state);
        let cause = UnackedCause::of(state);
        self.label.metrics.add(Counter::RelayUnacked, cause.as_str(), 1);
        line(Level::Notable, "unacked", |l| {
            let l = l.text("backend", &self.label.backend);
            let l = l.text("peer", &self.label.peer.map_or(String::new(), |peer| peer.to_string()));
            let l = l.text("cause", cause.as_str()).number("bytes", state.map_or(0, |s| s.unacked_bytes));
            let l = l.number("probes", state.map_or(0, |s| s.unanswered_probes));
            l.ms("unacked_ms", outstanding.map_or(Duration::ZERO, |o| now().saturating_sub(o.since)))
        });
    }

    fn note_result<T>(&mut self, result: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(e)) = result {
            self.report_end(e);
        }
    }
}

impl AsyncRead for ServerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_look(cx);
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.note_result(&result);
        result
    }
}

impl AsyncWrite for ServerSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(cx, &result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_write(cx, &result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ServerSocket {
    fn note_write(&mut self, cx: &mut Context<'_>, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(_))) && self.outstanding.is_none() {
            let timer = Box::pin(sleep(LOOK_INTERVAL));
            self.outstanding = Some(Outstanding { since: now(), state: None, timer });
        }
        self.poll_look(cx);
        self.note_result(result);
    }
}
