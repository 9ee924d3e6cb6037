//! Remote calls between routers over TCP, with authenticated frames and responses matched to calls by number.
//!
//! Each side starts a connection by sending a nonce. Every frame then carries a keyed MAC over both nonces, the
//! direction, the frame's position and its bytes. A frame that is unauthenticated, from another connection, duplicated
//! or reordered therefore ends the connection instead of being accepted as a response.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result, bail};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, oneshot},
    task::JoinHandle,
};

use crate::{
    schema::link::{Frame, Refused, frame::Body},
    util::{Map, lock},
};

const MAX_FRAME_BYTES: usize = 4 << 20;
const NONCE_BYTES: usize = 16;
const MAC_BYTES: usize = 16;
const SEND_QUEUE_FRAMES: usize = 256;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const KEY_CONTEXT: &str = "cranberrytally link 1";

/// MAC key of the links, derived from the fleet's shared key.
#[derive(Clone)]
pub struct LinkKey([u8; 32]);

impl std::fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LinkKey")
    }
}

impl LinkKey {
    /// Derives the key from the fleet's shared key.
    pub fn new(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }
}

/// Handler for the calls of other routers.
pub trait Serve: Send + Sync + 'static {
    /// Handles one call and returns the response.
    fn serve(&self, body: Body) -> impl Future<Output = Body> + Send;
}

/// Accepts links from other routers and serves their calls until closed.
#[derive(Debug)]
pub struct LinkServer {
    task: JoinHandle<()>,
}

impl LinkServer {
    /// Starts to accept links on `listener`.
    pub fn start(listener: TcpListener, key: LinkKey, serve: Arc<impl Serve>) -> Self {
        let task = tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (key, serve) = (key.clone(), serve.clone());
                tokio::spawn(async move {
                    if let Err(e) = accept(stream, key, serve).await {
                        spdlog::debug!("incoming link closed: {e:#}");
                    }
                });
            }
        });
        Self { task }
    }

    /// Stops accepting links.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(stream: TcpStream, key: LinkKey, serve: Arc<impl Serve>) -> Result<()> {
    let (mut rx, tx) = handshake(stream, &key, Side::Acceptor).await?;
    let (out, queue) = mpsc::channel(SEND_QUEUE_FRAMES);
    tokio::spawn(write_frames(tx, queue));
    while let Some(frame) = rx.next().await? {
        let (out, serve) = (out.clone(), serve.clone());
        tokio::spawn(async move {
            let body = match frame.body {
                Some(body) => serve.serve(body).await,
                None => Body::Refused(Refused { reason: "empty frame".into() }),
            };
            let _ = out.send(Frame { call: frame.call, body: Some(body) }).await;
        });
    }
    Ok(())
}

/// Pool of links to other routers, each opened on first use.
#[derive(Debug)]
pub struct Links {
    key: LinkKey,
    open: tokio::sync::Mutex<Map<SocketAddr, Arc<Link>>>,
}

impl Links {
    /// Creates an empty pool.
    pub fn new(key: LinkKey) -> Self {
        Self { key, open: Default::default() }
    }

    /// Calls the router at `peer` and waits for its response.
    ///
    /// # Errors
    /// When the call failed or no response arrived within `timeout`; the call may have taken effect nevertheless.
    pub async fn call(&self, peer: SocketAddr, body: Body, timeout: Duration) -> Result<Body> {
        let attempt = async {
            let link = self.link(peer).await?;
            let answer = link.call(body).await;
            if answer.is_err() {
                self.remove_link(peer, &link).await;
            }
            answer
        };
        match tokio::time::timeout(timeout, attempt).await {
            Ok(answer) => answer,
            Err(_) => bail!("no response from {peer} in time"),
        }
    }

    async fn link(&self, peer: SocketAddr) -> Result<Arc<Link>> {
        if let Some(link) = self.open.lock().await.get(&peer) {
            return Ok(link.clone());
        }
        let link = Arc::new(Link::open(peer, &self.key).await?);
        self.open.lock().await.insert(peer, link.clone());
        Ok(link)
    }

    async fn remove_link(&self, peer: SocketAddr, link: &Arc<Link>) {
        let mut open = self.open.lock().await;
        if open.get(&peer).is_some_and(|l| Arc::ptr_eq(l, link)) {
            open.remove(&peer);
        }
    }
}

type PendingCalls = Arc<Mutex<Option<Map<u64, oneshot::Sender<Body>>>>>;

#[derive(Debug)]
struct Link {
    out: mpsc::Sender<Frame>,
    next_call: AtomicU64,
    pending: PendingCalls,
}

impl Link {
    async fn open(peer: SocketAddr, key: &LinkKey) -> Result<Self> {
        let stream =
            TcpStream::connect(peer).await.with_context(|| format!("could not connect to {peer}"))?;
        let (mut rx, tx) = handshake(stream, key, Side::Opener).await?;
        let (out, queue) = mpsc::channel(SEND_QUEUE_FRAMES);
        tokio::spawn(write_frames(tx, queue));
        let pending: PendingCalls = Arc::new(Mutex::new(Some(Map::default())));
        let answers = pending.clone();
        tokio::spawn(async move {
            while let Ok(Some(frame)) = rx.next().await {
                deliver(&answers, frame);
            }
            // Dropping the senders wakes all callers that still wait; `None` makes later calls fail.
            lock(&answers).take();
        });
        Ok(Self { out, next_call: AtomicU64::new(0), pending })
    }

    async fn call(&self, body: Body) -> Result<Body> {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.pending).as_mut().context("the link is closed")?.insert(call, tx);
        let guard = PendingCallGuard { call, pending: self.pending.clone() };
        self.out.send(Frame { call, body: Some(body) }).await.context("the link is closed")?;
        let answer = rx.await.context("the link closed before the response arrived")?;
        drop(guard);
        match answer {
            Body::Refused(r) => bail!("the peer refused the call: {}", r.reason),
            answer => Ok(answer),
        }
    }
}

/// Removes a pending call when its caller stops waiting, so that a late response is dropped.
struct PendingCallGuard {
    call: u64,
    pending: PendingCalls,
}

impl Drop for PendingCallGuard {
    fn drop(&mut self) {
        if let Some(map) = lock(&self.pending).as_mut() {
            map.remove(&self.call);
        }
    }
}

fn deliver(pending: &PendingCalls, frame: Frame) {
    let tx = lock(pending).as_mut().and_then(|map| map.remove(&frame.call));
    match (tx, frame.body) {
        (Some(tx), Some(body)) => drop(tx.send(body)),
        _ => spdlog::debug!("dropped a late response to call {}", frame.call),
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Side {
    Opener,
    Acceptor,
}

#[derive(Debug)]
struct FrameReader {
    io: OwnedReadHalf,
    key: [u8; 32],
    position: u64,
}

#[derive(Debug)]
struct FrameWriter {
    io: OwnedWriteHalf,
    key: [u8; 32],
    position: u64,
}

async fn handshake(stream: TcpStream, key: &LinkKey, side: Side) -> Result<(FrameReader, FrameWriter)> {
    stream.set_nodelay(true).context("could not set TCP_NODELAY")?;
    let (mut rx, mut tx) = stream.into_split();
    let own_nonce: [u8; NONCE_BYTES] = rand::random();
    let mut peer_nonce = [0; NONCE_BYTES];
    let exchange = async {
        tx.write_all(&own_nonce).await?;
        rx.read_exact(&mut peer_nonce).await
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await.context("handshake timed out")??;
    let (opener, acceptor) =
        if side == Side::Opener { (own_nonce, peer_nonce) } else { (peer_nonce, own_nonce) };
    let session = |direction: u8| {
        let mut hasher = blake3::Hasher::new_keyed(&key.0);
        hasher.update(&opener).update(&acceptor).update(&[direction]);
        *hasher.finalize().as_bytes()
    };
    let (from_opener, from_acceptor) = (session(0), session(1));
    let (read, write) =
        if side == Side::Opener { (from_acceptor, from_opener) } else { (from_opener, from_acceptor) };
    Ok((FrameReader { io: rx, key: read, position: 0 }, FrameWriter { io: tx, key: write, position: 0 }))
}

fn mac(key: &[u8; 32], position: u64, bytes: &[u8]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&position.to_le_bytes()).update(bytes);
    let mut out = [0; MAC_BYTES];
    hasher.finalize_xof().fill(&mut out);
    out
}

impl FrameReader {
    async fn next(&mut self) -> Result<Option<Frame>> {
        let len = match self.io.read_u32_le().await {
            Ok(len) => len as usize,
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(e) => return Err(e.into()),
        };
        if len > MAX_FRAME_BYTES {
            bail!("received a frame of {len} bytes, which is too long");
        }
        let mut tag = [0; MAC_BYTES];
        self.io.read_exact(&mut tag).await?;
        let mut buf = vec![0; len];
        self.io.read_exact(&mut buf).await?;
        let expected = mac(&self.key, self.position, &buf);
        // `blake3::Hash` compares in constant time; a plain comparison would leak the expected tag byte by byte.
        if blake3::hash(&expected) != blake3::hash(&tag) {
            bail!("received a frame with an invalid MAC");
        }
        self.position += 1;
        Ok(Some(postcard::from_bytes(&buf).context("could not decode a frame")?))
    }
}

impl FrameWriter {
    async fn send(&mut self, frame: &Frame) -> Result<()> {
        let bytes = postcard::to_stdvec(frame).context("could not encode a frame")?;
        if bytes.len() > MAX_FRAME_BYTES {
            bail!("could not send a frame of {} bytes, which is too long", bytes.len());
        }
        let tag = mac(&self.key, self.position, &bytes);
        self.position += 1;
        let mut buf = Vec::with_capacity(bytes.len() + MAC_BYTES + 4);
        buf.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
        buf.extend_from_slice(&tag);
        buf.extend_from_slice(&bytes);
        self.io.write_all(&buf).await.context("could not write a frame")
    }
}

async fn write_frames(mut tx: FrameWriter, mut queue: mpsc::Receiver<Frame>) {
    while let Some(frame) = queue.recv().await {
        if let Err(e) = tx.send(&frame).await {
            spdlog::debug!("could not write to a link: {e:#}");
            return;
        }
    }
}
