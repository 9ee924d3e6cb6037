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
    bodies::{self, GIVE_WAY_TIME},
    schema::fleet::CallerLimits,
    util::{Instant, lock, now},
};

/// Largest read, in bytes. hyper doubles its buffer of 8 KiB when a read fills it.
const MAX_READ_BYTES: u64 = (8 << 10) - 1;

/// How a connection rests that may give way to a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rest {
    /// It carries no request.
    Idle,
    /// Its caller neither sends nor reads in the middle of a request or an answer.
    Stalled,
    /// Its caller has been sending a body for a while.
    Receiving,
}

impl Rest {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Rest::Idle => "idle",
            Rest::Stalled => "stalled",
            Rest::Receiving => "receiving",
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A head is awaited.
    Head,
    /// A body is received; when it last made progress, and the bytes since.
    Body { began: Instant, progressed_at: Instant, bytes: usize },
    /// A request is in progress, or its answer is being written.
    Busy,
    /// The last answer is written.
    Closing,
}

/// The waits of a connection for its caller, above all for a head.
#[derive(Clone, Copy, Debug)]
pub struct HeadWait {
    phase: Phase,
    since: Instant,
    first_byte: Option<Instant>,
    /// Since when the caller has not read what was to be written.
    unread_since: Option<Instant>,
    idle_limit: Duration,
    head_limit: Duration,
}

impl HeadWait {
    /// Begins the first wait of a connection.
    pub fn new(now: Instant, limits: CallerLimits) -> Self {
        let mut wait = Self {
            phase: Phase::Head,
            since: now,
            first_byte: None,
            unread_since: None,
            idle_limit: Duration::ZERO,
            head_limit: Duration::ZERO,
        };
        wait.extend(limits);
        wait
    }

    /// Begins the next wait.
    pub fn begin(&mut self, now: Instant) {
        (self.phase, self.since, self.first_byte) = (Phase::Head, now, None);
    }

    /// Ends the wait, since the head has arrived.
    pub fn end(&mut self) {
        self.phase = Phase::Busy;
    }

    /// Begins the wait for a body.
    pub fn begin_body(&mut self, now: Instant) {
        self.phase = Phase::Body { began: now, progressed_at: now, bytes: 0 };
    }

    /// Records that the last answer is written.
    pub fn close(&mut self, now: Instant) {
        (self.phase, self.since) = (Phase::Closing, now);
    }

    /// Records that bytes have arrived.
    pub fn hear(&mut self, now: Instant, received: usize) {
        self.first_byte.get_or_insert(now);
        if let Phase::Body { progressed_at, bytes, .. } = &mut self.phase {
            *bytes += received;
            if *bytes >= bodies::PROGRESS_BYTES {
                (*progressed_at, *bytes) = (now, 0);
            }
        }
    }

    /// Records whether the caller reads what is written.
    pub fn note_written(&mut self, now: Instant, is_read: bool) {
        self.unread_since = if is_read { None } else { Some(self.unread_since.unwrap_or(now)) };
    }

    /// How the connection rests and since when, if it may give way to a new one.
    pub fn rest(&self, now: Instant) -> Option<(Rest, Instant)> {
        let is_long = |since: &Instant| now.saturating_sub(*since) >= GIVE_WAY_TIME;
        let (stalled_since, receiving_since) = match (self.phase, self.first_byte) {
            (Phase::Closing, _) => return Some((Rest::Idle, self.since)),
            // The next head is awaited before the last answer has been read.
            (Phase::Head | Phase::Busy, _) if self.unread_since.is_some() => (self.unread_since, None),
            (Phase::Head, None) => return Some((Rest::Idle, self.since)),
            (Phase::Head, first) => (first, None),
            (Phase::Body { progressed_at, began, .. }, _) => (Some(progressed_at), Some(began)),
            (Phase::Busy, _) => return None,
        };
        let stalled = stalled_since.filter(is_long).map(|since| (Rest::Stalled, since));
        stalled.or_else(|| receiving_since.filter(is_long).map(|since| (Rest::Receiving, since)))
    }

    /// Whether a head is awaited now.
    fn is_waiting(&self) -> bool {
        self.phase == Phase::Head
    }

    /// Whether a part of a head or a body has arrived that is not complete.
    fn is_receiving(&self) -> bool {
        match self.phase {
            Phase::Head => self.first_byte.is_some(),
            Phase::Body { .. } => true,
            Phase::Busy | Phase::Closing => false,
        }
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
pub(crate) struct HeadTimer {
    wait: Arc<Mutex<HeadWait>>,
    limits: Limits,
}

impl fmt::Debug for HeadTimer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeadTimer").field("wait", &self.wait).finish_non_exhaustive()
    }
}

impl HeadTimer {
    pub(crate) fn new(limits: impl Fn() -> CallerLimits + Send + Sync + 'static) -> Self {
        let wait = Arc::new(Mutex::new(HeadWait::new(now(), limits())));
        Self { wait, limits: Arc::new(limits) }
    }

    /// Lets the timer see when bytes arrive on the connection.
    pub(crate) fn observe(&self, stream: TcpStream) -> ObservedStream {
        ObservedStream { stream: stream.take(MAX_READ_BYTES), wait: self.wait.clone(), is_unread: false }
    }

    /// The waits of the connection.
    pub(crate) fn wait(&self) -> &Arc<Mutex<HeadWait>> {
        &self.wait
    }

    /// Whether a part of a head has arrived in the current wait.
    pub(super) fn has_begun(&self) -> bool {
        lock(&self.wait).first_byte.is_some()
    }

    /// Whether the answer to a request is being written and its caller does not read it.
    pub(super) fn is_writing(&self) -> bool {
        lock(&self.wait).unread_since.is_some()
    }

    /// Begins the wait for a body.
    pub(super) fn begin_body(&self) {
        lock(&self.wait).begin_body(now());
    }

    /// Ends the wait for a head or a body.
    pub(crate) fn end(&self) {
        lock(&self.wait).end();
    }

    /// Records that the last answer is written.
    pub(super) fn close(&self) {
        lock(&self.wait).close(now());
    }

    /// Whether a part of a request has arrived that is not complete.
    pub(super) fn is_receiving(&self) -> bool {
        lock(&self.wait).is_receiving()
    }

    /// Whether a head is awaited, rather than that a request is in progress or the last answer has been written.
    pub(super) fn is_waiting(&self) -> bool {
        lock(&self.wait).is_waiting()
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
pub(crate) struct ObservedStream {
    stream: Take<TcpStream>,
    wait: Arc<Mutex<HeadWait>>,
    /// Whether the last write found no room.
    is_unread: bool,
}

impl ObservedStream {
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }

    /// Records the outcome of a write.
    fn note_written(&mut self, written: &Poll<std::io::Result<usize>>) {
        let is_unread = written.is_pending();
        if is_unread || self.is_unread {
            lock(&self.wait).note_written(now(), !is_unread);
        }
        self.is_unread = is_unread;
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
        let received = buf.filled().len() - before;
        if received > 0 {
            lock(&self.wait).hear(now(), received);
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
        let written = Pin::new(self.stream.get_mut()).poll_write(cx, buf);
        self.note_written(&written);
        written
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
        let written = Pin::new(self.stream.get_mut()).poll_write_vectored(cx, bufs);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}
