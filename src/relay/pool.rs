//! Connections to backend servers, each with one request at a time. Idle connections are kept for less time than
//! the server keeps them.
//!
//! A server may send an answer once more where the next one is due. The identifier in it tells for which request it is, but
//! not for which sending of it, and an answer without an identifier may be for any. So a request never uses a connection again
//! that has carried it, and one that may run only once uses none on which the last answer named no request.
//!
//! hyper's connections are used without its pool, because the pool repeats a request on its own if a kept
//! connection turns out to be closed; whether a request may be sent again is decided in [`super::attempts`].

use std::{
    net::SocketAddr,
    os::fd::AsFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result, ensure};
use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
};

use super::{
    answer_head,
    attempts::Failure,
    backends::BackendKey,
    head_limit::{self, HeadCounter, HeadLimited},
    server_socket::{Rest, ServerSocket, SocketLabel},
};
use crate::util::{Instant, Map, lock, now};

/// Time limit for connecting: a round trip within a region takes 3 ms, and a lost first packet is retransmitted
/// only after a second.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which the kernel ends a connection to a backend server whose bytes it cannot deliver. It counts a closed
/// window too, so it exceeds the time for which a request waits for its answer. It ends connections that were closed with
/// bytes left to send; [`super::unacked`] decides about open ones.
pub(super) const UNDELIVERED_TIMEOUT: Duration = Duration::from_secs(60);
/// Idle time after which keepalive probes are sent, and time between probes; the kernel supports only whole
/// seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes that end a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// How long a connection is kept idle if the server does not say how long it keeps it.
const DEFAULT_IDLE: Duration = Duration::from_millis(900);
/// Fraction of the server's idle timeout for which a connection is kept. The margin covers requests in transit and
/// clock drift, with which the server could close the connection first.
const IDLE_FRACTION: f64 = 0.6;
/// How long a connection whose answer is complete is kept for the rest of its request, which the server reads on.
const MAX_REST_TIME: Duration = Duration::from_secs(10);
/// Maximum size of a connection's read buffer, and so of one read, in bytes.
const MAX_READ_BUFFER_BYTES: usize = head_limit::MAX_HEAD_BYTES;
/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// The head of an answer, or a failure, together with the request if no byte of it was written.
pub type SendResult = Result<Response<Incoming>, (Failure, Option<Request<Full<Bytes>>>)>;

/// Identifies a connection in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnId(u64);

impl ConnId {
    fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Conn {
    /// Identifier.
    pub id: ConnId,
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    head_counter: HeadCounter,
    /// Whether it has carried a request before.
    pub reused: bool,
    /// Whether it passes through another host. It is used for one request, since that host decides each time whether the
    /// server may get one.
    is_tunnel: bool,
    /// Whether the last answer on it named no request.
    is_last_unnamed: bool,
    /// Whether the server has yet to get a part of the request.
    rest: Rest,
}

impl Conn {
    /// Connects to a backend server with a receive buffer of this many bytes.
    ///
    /// # Errors
    /// If no connection was established, so that nothing was sent.
    pub(crate) async fn connect(
        addr: SocketAddr,
        timeout: Duration,
        label: SocketLabel,
        receive_buffer: usize,
    ) -> Result<Self, Failure> {
        let stream = connect_tcp(addr, timeout, Some(receive_buffer)).await?;
        let socket = ServerSocket::new(stream, label);
        let rest = socket.rest();
        Self::handshake(socket, rest, addr).await
    }

    /// Uses the connection to another host that has connected to a backend server.
    ///
    /// # Errors
    /// As [`Conn::connect`].
    pub(crate) async fn through(socket: ServerSocket, host: SocketAddr) -> Result<Self, Failure> {
        let rest = socket.rest();
        let mut conn = Self::handshake(socket, rest, host).await?;
        conn.is_tunnel = true;
        Ok(conn)
    }

    /// Connects with TCP keepalive, for calls that wait long for their answer.
    ///
    /// # Errors
    /// As [`Conn::connect`].
    pub async fn connect_with_keepalive(addr: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let stream = connect_with_probes(addr, timeout).await?;
        Self::handshake(stream, Rest::default(), addr).await
    }

    async fn handshake(
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        rest: Rest,
        addr: SocketAddr,
    ) -> Result<Self, Failure> {
        let head_counter = HeadCounter::default();
        let io = TokioIo::new(HeadLimited::new(stream, head_counter.clone()));
        let handshaking = Builder::new().max_buf_size(MAX_READ_BUFFER_BYTES).handshake(io).await;
        let Ok((tx, conn)) = handshaking else { return Err(Failure::Connect) };
        let task = tokio::spawn(async move {
            if let Err(e) = conn.await {
                spdlog::debug!("connection to {addr} ended: {e}");
            }
        });
        Ok(Self {
            id: ConnId::next(),
            tx,
            task: task.abort_handle(),
            head_counter,
            reused: false,
            is_tunnel: false,
            is_last_unnamed: false,
            rest,
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`Failure::Unsent`], together with the request, only if no byte of it was written.
    pub fn send(&mut self, req: Request<Full<Bytes>>) -> impl Future<Output = SendResult> + Send + use<> {
        self.head_counter.begin();
        self.rest.begin();
        let sending = self.tx.try_send_request(req);
        let head_counter = self.head_counter.clone();
        async move {
            let sent = sending.await;
            head_counter.end();
            match sent {
                Ok(res) if answer_head::is_sound(&res) => Ok(res),
                Ok(_) => Err((Failure::Garbled, None)),
                Err(mut e) => match e.take_message() {
                    Some(req) => Err((Failure::Unsent, Some(req))),
                    None if e.error().is_parse_too_large() || head_limit::is_exceeded(e.error()) => {
                        Err((Failure::TooLong, None))
                    }
                    None if e.error().is_parse() => Err((Failure::Garbled, None)),
                    None if is_timeout(e.error()) => Err((Failure::Silent, None)),
                    None => Err((Failure::Broken, None)),
                },
            }
        }
    }

    /// Records that an answer has arrived, and whether it names its request.
    pub fn note_answer(&mut self, is_named: bool) {
        self.is_last_unnamed = !is_named;
    }

    /// Whether it can carry a request now.
    pub fn is_usable(&self) -> bool {
        self.tx.is_ready() && !self.task.is_finished() && !self.rest.is_due()
    }

    /// Closes the connection at once, so that the server stops working on its request.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether nothing listens at a server's port, while its machine is reached: its process has ended.
pub(super) async fn refuses_connections(addr: SocketAddr) -> bool {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Connects, with a receive buffer of this many bytes if one is given.
pub(super) async fn connect_tcp(
    addr: SocketAddr,
    timeout: Duration,
    receive_buffer: Option<usize>,
) -> Result<TcpStream, Failure> {
    let connecting = async {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(bytes) = receive_buffer {
            limit_receive_buffer(&socket, bytes);
        }
        socket.connect(addr).await
    };
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT.min(timeout), connecting);
    let Ok(Ok(stream)) = connecting.await else { return Err(Failure::Connect) };
    configure_socket(&stream, Some(UNDELIVERED_TIMEOUT));
    Ok(stream)
}

/// Connects with TCP keepalive.
///
/// # Errors
/// If no connection was established.
pub async fn connect_with_probes(addr: SocketAddr, timeout: Duration) -> Result<TcpStream, Failure> {
    let stream = connect_tcp(addr, timeout, None).await?;
    if let Err(e) = enable_keepalive(&stream) {
        spdlog::warn!("could not enable TCP keepalive: {e}");
    }
    Ok(stream)
}

/// Reads a body of at most `max_bytes`. It may take any time as long as no pause between two parts exceeds `stall`.
///
/// # Errors
/// If the body is too long or breaks off, or no part arrives for `stall`.
pub async fn read_body(body: Incoming, max_bytes: usize, stall: Duration) -> Result<Bytes> {
    let (mut body, mut buf) = (body, BytesMut::new());
    loop {
        let frame = tokio::time::timeout(stall, body.frame()).await.context("the body stalled")?;
        let Some(frame) = frame else { return Ok(buf.freeze()) };
        if let Ok(data) = frame.context("the body broke off")?.into_data() {
            ensure!(buf.len() + data.len() <= max_bytes, "the body is longer than {max_bytes} bytes");
            buf.extend_from_slice(&data);
        }
    }
}

/// Enables TCP keepalive, which detects connections that fail silently without a reset. Otherwise a call that waits
/// for a change would wait until its own timeout, 15 s, during which no host would learn of changes and leaving
/// servers. Probes that are not acknowledged end the connection, and the call is made again on a new one.
///
/// # Errors
/// If the socket rejects an option.
pub fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    // The kernel gives up with the first probe after this time, whatever their number.
    let all_probes = KEEPALIVE_IDLE + KEEPALIVE_INTERVAL * KEEPALIVE_PROBES;
    sockopt::set_tcp_user_timeout(stream, all_probes.as_millis() as u32)?;
    Ok(())
}

/// Whether the error is an acknowledgement timeout.
fn is_timeout(e: &hyper::Error) -> bool {
    io_error(e).is_some_and(|io| io.kind() == std::io::ErrorKind::TimedOut)
}

/// How an attempt failed whose body could not be read: a body in chunks that are none differs from one that breaks off, and so
/// does one whose path went down, which says nothing of the server's process.
pub fn body_failure(e: &hyper::Error) -> Failure {
    use std::io::ErrorKind::{InvalidData, InvalidInput, TimedOut};
    match io_error(e).map(std::io::Error::kind) {
        Some(InvalidData | InvalidInput) => Failure::Garbled,
        Some(TimedOut) => Failure::Silent,
        _ => Failure::Broken,
    }
}

pub(super) fn io_error(e: &hyper::Error) -> Option<&std::io::Error> {
    std::error::Error::source(e)?.downcast_ref()
}

/// Configures a socket: small writes are sent at once, and the connection ends if the peer acknowledges nothing, or keeps
/// its window closed, for `unacked_timeout`.
pub(crate) fn configure_socket(stream: &TcpStream, unacked_timeout: Option<Duration>) {
    if let Err(e) = stream.set_nodelay(true) {
        spdlog::warn!("could not set TCP_NODELAY on a socket: {e}");
    }
    let Some(unacked_timeout) = unacked_timeout else { return };
    if let Err(e) = sockopt::set_tcp_user_timeout(stream, unacked_timeout.as_millis() as u32) {
        spdlog::warn!("could not set TCP_USER_TIMEOUT on a socket: {e}");
    }
}

/// Limits the bytes that the kernel receives before they are read; connections inherit it from the socket that listens.
pub(crate) fn limit_receive_buffer(socket: impl AsFd, bytes: usize) {
    if let Err(e) = sockopt::set_socket_recv_buffer_size(socket, bytes) {
        spdlog::warn!("could not set SO_RCVBUF on a socket: {e}");
    }
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Instant,
}

impl Idle {
    /// Whether it may carry a request.
    fn is_free(&self, now: Instant) -> bool {
        self.until > now && self.conn.is_usable() && !self.conn.is_tunnel
    }

    /// Whether it has a use: it may carry a request later, or the server has yet to get the rest of the last one.
    fn is_kept(&self, now: Instant) -> bool {
        let until = match self.conn.rest.is_due() {
            true => self.until + MAX_REST_TIME,
            false => self.until,
        };
        let has_use = self.conn.rest.is_due() || !self.conn.is_tunnel;
        has_use && until > now && !self.conn.task.is_finished()
    }
}

/// Idle connections by backend server.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<Map<BackendKey, Vec<Idle>>>>,
}

impl Pool {
    /// Takes the most recently used idle connection on which the answer to a request can be told from an earlier one: none of
    /// `carriers`, which have carried it before.
    pub fn take(&self, key: BackendKey, repeatable: bool, carriers: &[ConnId]) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        let conns = idle.get_mut(&key)?;
        let now = now();
        let is_clear = |conn: &Conn| (repeatable || !conn.is_last_unnamed) && !carriers.contains(&conn.id);
        let free = conns.iter().rposition(|idle| idle.is_free(now) && is_clear(&idle.conn))?;
        Some(conns.remove(free).conn)
    }

    /// Keeps an idle connection after its answer was read completely, for a fraction of the time that the server
    /// keeps it, if there are fewer than `max_idle`. One whose request the server has yet to read carries no other one before.
    pub fn put(&self, key: BackendKey, mut conn: Conn, server_keeps: Option<Duration>, max_idle: usize) {
        let has_rest = conn.rest.is_due();
        if conn.is_tunnel && !has_rest {
            return conn.close();
        }
        conn.reused = true;
        let max_idle_time = server_keeps.map_or(DEFAULT_IDLE, |period| period.mul_f64(IDLE_FRACTION));
        let now = now();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(key).or_default();
        conns.retain(|idle| idle.is_kept(now));
        let max_idle = if has_rest { MAX_IDLE_PER_SERVER } else { max_idle.min(MAX_IDLE_PER_SERVER) };
        if conns.len() < max_idle {
            conns.push(Idle { conn, until: now + max_idle_time });
        }
    }

    /// Number of idle connections that are still open.
    pub fn open_count(&self) -> usize {
        lock(&self.idle).values().flatten().filter(|idle| !idle.conn.task.is_finished()).count()
    }

    /// Closes the idle connections to a server that became unresponsive. The next attempt then finds out by
    /// connecting whether the server is back, without sending a request that may run.
    pub fn clear(&self, key: BackendKey) {
        lock(&self.idle).remove(&key);
    }

    /// Closes all idle connections.
    pub fn clear_all(&self) {
        lock(&self.idle).clear();
    }

    /// Closes connections that have been idle for too long, and those to servers for which `is_kept` is false.
    pub fn evict(&self, is_kept: impl Fn(BackendKey) -> bool) {
        let now = now();
        lock(&self.idle).retain(|key, conns| {
            conns.retain(|idle| idle.is_kept(now));
            !conns.is_empty() && is_kept(*key)
        });
    }
}
