//! Connections to backend servers: one request at a time on each, kept while idle for less than the server does.
//!
//! hyper's connection is used without its pool, since a pool sends a request again by itself when a kept connection
//! turns out to be closed; whether a request may be sent again is decided in [`super::verdict`].

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::{net::TcpStream, task::AbortHandle};

use super::{backends::BackendKey, verdict::Failure};
use crate::util::{Instant, Map, lock, now};

/// Time to connect: a round trip within a region takes 3 ms, and a lost first packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Unacknowledged bytes end a connection to a backend server after this time, so that one without power shows before
/// the objective of most requests is over. A lost packet is sent again and acknowledged within 250 ms.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle time after which a connection is probed, and time between probes; the system takes whole seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end it.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle time of a connection whose server does not say how long it keeps it.
const DEFAULT_IDLE: Duration = Duration::from_millis(900);
/// Part of the server's idle time after which a connection is not used any more: requests on their way and clocks
/// that run apart would meet the server's close.
const IDLE_FRACTION: f64 = 0.6;
/// Idle connections kept to one server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// A connection that serves one request.
#[derive(Debug)]
pub struct Conn {
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it has served a request before.
    pub reused: bool,
}

impl Conn {
    /// Connects to a backend server.
    ///
    /// # Errors
    /// When no connection was made, so that nothing was sent.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        Self::handshake(connect_tcp(addr, timeout).await?, addr).await
    }

    /// Connects for calls that wait long for their answer: the connection is probed meanwhile.
    ///
    /// # Errors
    /// As [`Conn::connect`].
    pub async fn connect_with_keepalive(addr: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let stream = connect_tcp(addr, timeout).await?;
        if let Err(e) = enable_keepalive(&stream) {
            spdlog::warn!("could not have a connection probed: {e}");
        }
        Self::handshake(stream, addr).await
    }

    async fn handshake(stream: TcpStream, addr: SocketAddr) -> Result<Self, Failure> {
        let handshaking = Builder::new().handshake(TokioIo::new(stream)).await;
        let Ok((tx, conn)) = handshaking else { return Err(Failure::Connect) };
        let task = tokio::spawn(async move {
            if let Err(e) = conn.await {
                spdlog::debug!("connection to {addr} ended: {e}");
            }
        });
        Ok(Self { tx, task: task.abort_handle(), reused: false })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`Failure::Unsent`] with the request only where no byte of it was written.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, (Failure, Option<Request<Full<Bytes>>>)> {
        match self.tx.try_send_request(req).await {
            Ok(res) => Ok(res),
            Err(mut e) => match e.take_message() {
                Some(req) => Err((Failure::Unsent, Some(req))),
                None if e.error().is_parse() => Err((Failure::Garbled, None)),
                None if is_timeout(e.error()) => Err((Failure::Silent, None)),
                None => Err((Failure::Broken, None)),
            },
        }
    }

    /// Whether it can take a request now.
    pub fn is_usable(&self) -> bool {
        self.tx.is_ready() && !self.task.is_finished()
    }

    /// Ends the connection at once, so that the server stops working on its request.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect_tcp(addr: SocketAddr, timeout: Duration) -> Result<TcpStream, Failure> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT.min(timeout), TcpStream::connect(addr));
    let Ok(Ok(stream)) = connecting.await else { return Err(Failure::Connect) };
    configure_socket(&stream, Some(UNACKED_TIMEOUT));
    Ok(stream)
}

/// Has a connection probed while nothing is sent on it. Against connections that go silent without a reset: a call that
/// waits for a change would wait on to its end, 15 s, while changes and leaving servers go unheard at all hosts at once.
/// A probe that is not acknowledged ends the connection, and the call is made over a new one.
///
/// # Errors
/// When the socket takes no such option.
pub fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}

/// Whether bytes were not acknowledged in time.
fn is_timeout(e: &hyper::Error) -> bool {
    let source = std::error::Error::source(e).and_then(|s| s.downcast_ref::<std::io::Error>());
    source.is_some_and(|io| io.kind() == std::io::ErrorKind::TimedOut)
}

/// Sets a socket up: small writes go out at once, and a peer that acknowledges nothing for `unacked_timeout` ends it.
pub(crate) fn configure_socket(stream: &TcpStream, unacked_timeout: Option<Duration>) {
    if let Err(e) = stream.set_nodelay(true) {
        spdlog::warn!("could not set a socket to send at once: {e}");
    }
    let Some(unacked_timeout) = unacked_timeout else { return };
    if let Err(e) = sockopt::set_tcp_user_timeout(stream, unacked_timeout.as_millis() as u32) {
        spdlog::warn!("could not set a socket's time limit: {e}");
    }
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Instant,
}

/// Idle connections by backend server.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<Map<BackendKey, Vec<Idle>>>>,
}

impl Pool {
    /// Takes the connection that was used last.
    pub fn take(&self, key: BackendKey) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        let conns = idle.get_mut(&key)?;
        let now = now();
        while let Some(idle) = conns.pop() {
            if idle.until > now && idle.conn.is_usable() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read whole, for a part of the time that its server keeps it, and as long as
    /// no more than `timeout` are idle.
    pub fn put(&self, key: BackendKey, mut conn: Conn, server_keeps: Option<Duration>, max_idle: usize) {
        conn.reused = true;
        let keep = server_keeps.map_or(DEFAULT_IDLE, |period| period.mul_f64(IDLE_FRACTION));
        let mut idle = lock(&self.idle);
        let conns = idle.entry(key).or_default();
        if conns.len() < max_idle.min(MAX_IDLE_PER_SERVER) {
            conns.push(Idle { conn, until: now() + keep });
        }
    }

    /// Idle connections that are still open.
    pub fn open(&self) -> usize {
        lock(&self.idle).values().flatten().filter(|idle| !idle.conn.task.is_finished()).count()
    }

    /// Closes the idle connections to a server that fell silent: the next attempt shows by connecting whether it is
    /// back, without a request that may have run.
    pub fn clear(&self, key: BackendKey) {
        lock(&self.idle).remove(&key);
    }

    /// Closes connections that were idle for too long, and those to servers that are not `is_kept` any more.
    pub fn evict(&self, is_kept: impl Fn(BackendKey) -> bool) {
        let now = now();
        lock(&self.idle).retain(|key, conns| {
            conns.retain(|idle| idle.until > now && !idle.conn.task.is_finished());
            !conns.is_empty() && is_kept(*key)
        });
    }
}
