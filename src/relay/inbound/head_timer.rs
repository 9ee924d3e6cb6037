//! Time limits of the wait for the next request on a caller's connection: how long the connection may be idle, and how
//! long a head may take from its first byte on.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::rt::{Sleep, Timer};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take},
    net::TcpStream,
};

use crate::{
    schema::fleet::CallerLimits,
    util::{Instant, lock, now},
};

/// Largest read, in bytes. hyper doubles its buffer of 8 KiB when a read fills it.
const MAX_READ_BYTES: u64 = (8 << 10) - 1;

/// The wait for a head.
#[derive(Clone, Copy, Debug)]
pub struct HeadWait {
    /// Whether a head is awaited now.
    is_waiting: bool,
    since: Instant,
    first_byte: Option<Instant>,
    idle_limit: Duration,
    head_limit: Duration,
}

impl HeadWait {
    /// Begins the first wait of a connection.
    pub fn new(now: Instant, limits: CallerLimits) -> Self {
        let mut wait = Self {
            is_waiting: true,
            since: now,
            first_byte: None,
            idle_limit: Duration::ZERO,
            head_limit: Duration::ZERO,
        };
        wait.extend(limits);
        wait
    }

    /// Begins the next wait.
    pub fn begin(&mut self, now: Instant) {
        (self.is_waiting, self.since, self.first_byte) = (true, now, None);
    }

    /// Ends the wait, since the head has arrived.
    pub fn end(&mut self) {
        self.is_waiting = false;
    }

    /// Records that bytes have arrived.
    pub fn hear(&mut self, now: Instant) {
        self.first_byte.get_or_insert(now);
    }

    /// Records the limits in force. The longest that were in force since the connection was opened apply, because its
    /// caller may not have seen the effect of the newest configuration yet.
    pub fn extend(&mut self, limits: CallerLimits) {
        self.idle_limit = self.idle_limit.max(Duration::from_millis(limits.idle_ms.into()));
        self.head_limit = self.head_limit.max(Duration::from_millis(limits.head_ms.into()));
    }

    /// When the wait ends.
    pub fn deadline(&self) -> Instant {
        self.first_byte.map_or(self.since + self.idle_limit, |first| first + self.head_limit)
    }
}

/// Source of the limits in force.
type Limits = Arc<dyn Fn() -> CallerLimits + Send + Sync>;

/// Timer for the heads on one connection.
#[derive(Clone)]
pub(super) struct HeadTimer {
    wait: Arc<Mutex<HeadWait>>,
    limits: Limits,
}

impl fmt::Debug for HeadTimer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeadTimer").field("wait", &self.wait).finish_non_exhaustive()
    }
}

impl HeadTimer {
    pub(super) fn new(limits: impl Fn() -> CallerLimits + Send + Sync + 'static) -> Self {
        let wait = Arc::new(Mutex::new(HeadWait::new(now(), limits())));
        Self { wait, limits: Arc::new(limits) }
    }

    /// Lets the timer see when bytes arrive on the connection.
    pub(super) fn observe(&self, stream: TcpStream) -> ObservedStream {
        ObservedStream { stream: stream.take(MAX_READ_BYTES), wait: self.wait.clone() }
    }

    /// Whether a part of a head has arrived in the current wait.
    pub(super) fn has_begun(&self) -> bool {
        lock(&self.wait).first_byte.is_some()
    }

    /// Whether a head is awaited, rather than that a request is in progress or the last answer has been written.
    pub(super) fn is_waiting(&self) -> bool {
        lock(&self.wait).is_waiting
    }
}

/// hyper uses the timer of a connection only to limit the wait for a head, asks for a new sleep when the wait begins, and drops it
/// when the head has arrived. The durations that it passes are not used.
impl Timer for HeadTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        lock(&self.wait).begin(now());
        Box::pin(HeadSleep { timer: self.clone(), sleep: None })
    }

    fn sleep_until(&self, _: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(Duration::ZERO)
    }
}

/// Sleeps until the wait for a head has taken too long.
struct HeadSleep {
    timer: HeadTimer,
    /// The sleep up to the deadline as it was last known, with that deadline.
    sleep: Option<(Instant, Pin<Box<tokio::time::Sleep>>)>,
}

impl Sleep for HeadSleep {}

impl Drop for HeadSleep {
    fn drop(&mut self) {
        lock(&self.timer.wait).end();
    }
}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        loop {
            let deadline = lock(&this.timer.wait).deadline();
            let sleep = match &mut this.sleep {
                Some((until, sleep)) if *until == deadline => sleep,
                sleep => {
                    let new = Box::pin(tokio::time::sleep(deadline.saturating_sub(now())));
                    &mut sleep.insert((deadline, new)).1
                }
            };
            ready!(sleep.as_mut().poll(cx));
            let limits = (this.timer.limits)();
            let mut wait = lock(&this.timer.wait);
            wait.extend(limits);
            if wait.deadline() == deadline {
                return Poll::Ready(());
            }
        }
    }
}

/// A caller's connection that tells its timer when bytes arrive.
#[derive(Debug)]
pub(super) struct ObservedStream {
    stream: Take<TcpStream>,
    wait: Arc<Mutex<HeadWait>>,
}

impl ObservedStream {
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        self.stream.set_limit(MAX_READ_BYTES);
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            lock(&self.wait).hear(now());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}
