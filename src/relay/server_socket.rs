//! Connections to backend servers, of which this host knows whether what it has written is acknowledged.
//!
//! While written bytes may not be acknowledged, the state of the socket is read from time to time. Once [`super::unacked`]
//! takes the path for down, the connection ends with [`io::ErrorKind::TimedOut`], after what has arrived on it was read.
//! Such ends are logged and counted.

use std::{
    io,
    net::SocketAddr,
    os::fd::{AsFd, BorrowedFd},
    pin::Pin,
    sync::{
        Arc, Once,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use rustix::net::sockopt;
use tcp_state::{SendState, send_state};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant as Deadline, Sleep, sleep},
};

use super::{
    frames::{EndedByHost, Frames},
    tunnel::TunnelOutcome,
    unacked::{UNACKED_TIMEOUT, Unacked, Verdict},
};
use crate::{
    logs::lines::{Level, line},
    metrics::{Counter, Metrics},
    util::now,
};

/// What was not acknowledged when a connection ended by a timeout; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnackedCause {
    /// Bytes had been sent: the path, the machine or its kernel is down.
    InFlight,
    /// The window was closed and probes of it were not answered: the same.
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
pub struct SocketLabel {
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Identifier of the backend server.
    pub backend: Arc<str>,
    /// The host at the other end, if the connection passes through one.
    pub peer: Option<SocketAddr>,
}

/// Number of bytes written since the last look at a socket above which it is looked at when an answer arrives: an answer proves
/// only that the server has got what fits into its window. The smallest receive buffer by default of Linux (`tcp_rmem`) is
/// 4 KiB, half of which may be the kernel's own overhead.
const MAX_UNCHECKED_BYTES: u64 = 2 << 10;

/// Time after which the kernel ends a connection whose state cannot be read. A dead path has to be noticed by the kernel alone
/// then. It counts a closed window too, so this is twice [`UNACKED_TIMEOUT`]: servers that read late are cut off after it.
pub const UNREADABLE_TIMEOUT: Duration = UNACKED_TIMEOUT.saturating_mul(2);

/// Logs once that the state of sockets cannot be read.
static UNREADABLE_LOGGED: Once = Once::new();

/// Whether a server has yet to get a part of what was written to its connection, and whether it has begun to answer.
#[derive(Clone, Debug, Default)]
pub struct Rest(Arc<Progress>);

#[derive(Debug, Default)]
struct Progress {
    is_due: AtomicBool,
    /// Whether bytes have arrived since the last request began.
    is_answered: AtomicBool,
}

impl Rest {
    /// Records that a request is about to be sent, which nothing has answered yet.
    pub fn begin(&self) {
        self.0.is_answered.store(false, Ordering::Relaxed);
    }

    /// Whether bytes are known to wait.
    pub fn is_due(&self) -> bool {
        self.0.is_due.load(Ordering::Relaxed)
    }

    fn set(&self, is_due: bool) {
        self.0.is_due.store(is_due, Ordering::Relaxed);
    }

    fn is_answered(&self) -> bool {
        self.0.is_answered.load(Ordering::Relaxed)
    }

    fn note_answered(&self) {
        self.0.is_answered.store(true, Ordering::Relaxed);
    }
}

/// Reads the state of a socket.
pub type ReadState = fn(BorrowedFd<'_>) -> io::Result<SendState>;

/// A connection to a backend server, possibly through another host.
#[derive(Debug)]
pub struct ServerSocket {
    stream: TcpStream,
    label: SocketLabel,
    read_state: ReadState,
    /// Number of bytes written.
    written: u64,
    /// Number of bytes written before the last look, or before those that may not be acknowledged.
    checked: u64,
    rest: Rest,
    /// Set while written bytes may not be acknowledged.
    unacked: Option<Unacked>,
    /// Fires when it is time to look at the socket; created with the first bytes.
    timer: Option<Pin<Box<Sleep>>>,
    /// What the last look showed.
    last_state: Option<SendState>,
    /// Whether answers are written to it rather than requests.
    carries_answers: bool,
    /// How the server's bytes are read if they pass through another host.
    frames: Option<Frames>,
    is_down: bool,
    /// Whether its state cannot be read, so that it is not looked at again.
    is_unreadable: bool,
}

impl ServerSocket {
    /// Takes over a connection.
    pub fn new(stream: TcpStream, label: SocketLabel) -> Self {
        Self {
            stream,
            label,
            read_state: send_state,
            written: 0,
            checked: 0,
            rest: Rest::default(),
            unacked: None,
            timer: None,
            last_state: None,
            carries_answers: false,
            frames: None,
            is_down: false,
            is_unreadable: false,
        }
    }

    /// Takes over a connection to a host that asked for one to a server, to which answers are written. They arrive whole
    /// though the connection is closed before they are acknowledged.
    pub fn with_answers(stream: TcpStream, label: SocketLabel) -> Self {
        let mut socket = Self::new(stream, label);
        socket.carries_answers = true;
        socket
    }

    /// Takes over a connection to a host that has connected to a server, whose bytes it passes on in `frames`.
    pub fn with_frames(stream: TcpStream, label: SocketLabel, frames: Frames) -> Self {
        let mut socket = Self::new(stream, label);
        socket.frames = Some(frames);
        socket
    }

    /// Replaces the way in which the state of the socket is read.
    pub fn with_read_state(mut self, read_state: ReadState) -> Self {
        self.read_state = read_state;
        self
    }

    /// Whether the server has yet to get a part of what was written, for those who do not hold the socket.
    pub fn rest(&self) -> Rest {
        self.rest.clone()
    }

    pub(crate) fn label(&self) -> &SocketLabel {
        &self.label
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Looks at the socket if it is time to.
    ///
    /// # Errors
    /// If the path is down.
    fn poll_look(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while let Some(look_at) = self.unacked.map(|unacked| unacked.look_at()) {
            let left = look_at.saturating_sub(now());
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(left)));
            if timer.as_mut().poll(cx).is_pending() {
                break;
            }
            match look_at.saturating_sub(now()) {
                Duration::ZERO => self.look(),
                left => timer.as_mut().reset(Deadline::now() + left),
            }
        }
        if self.is_down { Err(io::ErrorKind::TimedOut.into()) } else { Ok(()) }
    }

    fn look(&mut self) {
        let Some(unacked) = &mut self.unacked else { return };
        let state = match (self.read_state)(self.stream.as_fd()) {
            Ok(state) => state,
            Err(e) => return self.note_unreadable(&e),
        };
        (self.last_state, self.checked) = (Some(state), self.written);
        self.rest.set(state.unacked_bytes > 0);
        match unacked.look(now(), &state, self.written) {
            Verdict::Acknowledged => self.unacked = None,
            Verdict::Wait => {}
            Verdict::Down { lasted } => {
                self.report_end(lasted);
                (self.is_down, self.unacked) = (true, None);
                self.reset_when_closed();
            }
        }
    }

    /// Leaves it to the kernel to notice that the path is down.
    fn note_unreadable(&mut self, e: &io::Error) {
        UNREADABLE_LOGGED.call_once(|| spdlog::warn!("could not read the state of a socket: {e}"));
        (self.unacked, self.is_unreadable) = (None, true);
        self.rest.set(false);
        let timeout_ms = UNREADABLE_TIMEOUT.as_millis() as u32;
        if let Err(e) = sockopt::set_tcp_user_timeout(&self.stream, timeout_ms) {
            spdlog::warn!("could not set TCP_USER_TIMEOUT on a socket: {e}");
        }
    }

    /// Has the connection reset when it is closed, so that the kernel does not go on sending what was written.
    fn reset_when_closed(&self) {
        if let Err(e) = self.stream.set_zero_linger() {
            spdlog::debug!("could not set SO_LINGER on a socket: {e}");
        }
    }

    fn report_end(&self, lasted: Duration) {
        let state = self.last_state;
        let cause = UnackedCause::of(state);
        self.label.metrics.add(Counter::RelayUnacked, cause.as_str(), 1);
        line(Level::Notable, "unacked", |l| {
            let l = l.text("backend", &self.label.backend);
            let l = l.text("peer", &self.label.peer.map_or(String::new(), |peer| peer.to_string()));
            let l = l.text("cause", cause.as_str()).number("bytes", state.map_or(0, |s| s.unacked_bytes));
            let l = l.number("probes", state.map_or(0, |s| s.unanswered_probes));
            l.ms("unacked_ms", lasted)
        });
    }

    /// Reports an end by the kernel's own timeout, or by the other host.
    fn note_error(&mut self, e: &io::Error) {
        if EndedByHost::is(e) {
            self.label.metrics.add(Counter::RelayTunnels, TunnelOutcome::Ended.as_str(), 1);
            line(Level::Notable, "ended_by_host", |l| {
                let peer = self.label.peer.map_or(String::new(), |peer| peer.to_string());
                l.text("backend", &self.label.backend).text("peer", &peer)
            });
        }
        if e.kind() == io::ErrorKind::TimedOut && !self.is_down {
            let lasted = self.unacked.take().map_or(Duration::ZERO, |unacked| unacked.lasted(now()));
            self.report_end(lasted);
        }
    }

    fn note_read(&mut self) {
        self.rest.note_answered();
        if let Some(unacked) = &mut self.unacked {
            unacked.hear(now());
            if self.written - self.checked > MAX_UNCHECKED_BYTES {
                self.look();
            }
        }
    }

    fn note_written(&mut self, bytes: usize) {
        if self.unacked.is_none() && !self.is_unreadable {
            self.unacked = Some(Unacked::new(now(), self.written));
            (self.last_state, self.checked) = (None, self.written);
        }
        self.written += bytes as u64;
    }

    /// Completes a write, which `result` tells of.
    fn after_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(bytes)) => self.note_written(*bytes),
            Poll::Ready(Err(e)) => self.note_error(e),
            Poll::Pending => self.rest.set(!self.is_unreadable),
        }
        match self.poll_look(cx) {
            Err(e) => Poll::Ready(Err(e)),
            Ok(()) => result,
        }
    }
}

impl AsyncRead for ServerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let Self { stream, frames, .. } = &mut *self;
        let read = match frames {
            Some(frames) => frames.poll_read(stream, cx, buf),
            None => Pin::new(stream).poll_read(cx, buf),
        };
        match read {
            Poll::Ready(Ok(())) => {
                if buf.filled().len() > filled {
                    self.note_read();
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(e)) => {
                self.note_error(&e);
                Poll::Ready(Err(e))
            }
            Poll::Pending => match self.poll_look(cx) {
                Err(e) => Poll::Ready(Err(e)),
                Ok(()) => Poll::Pending,
            },
        }
    }
}

impl AsyncWrite for ServerSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.after_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.after_write(cx, result)
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

impl Drop for ServerSocket {
    /// Takes back a request that did not arrive whole and that nobody waits for any more.
    fn drop(&mut self) {
        let is_unanswered = self.unacked.is_some() && !self.rest.is_answered() && !self.carries_answers;
        if is_unanswered && (self.read_state)(self.stream.as_fd()).is_ok_and(|state| state.unacked_bytes > 0)
        {
            self.reset_when_closed();
        }
    }
}
