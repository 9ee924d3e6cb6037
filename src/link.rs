//! Calls between routers over TCP: authenticated frames, each answer bound to its call by number.
//!
//! A connection starts with a nonce of each side. Every frame then carries a keyed MAC over both nonces, the
//! direction, its position and its bytes, so that a frame of another connection, of a stranger, or one that
//! was duplicated or reordered ends the connection instead of being taken for an answer.

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

const MAX_FRAME: usize = 4 << 20;
const NONCE: usize = 16;
const MAC: usize = 16;
const QUEUE: usize = 256;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const KEY_CONTEXT: &str = "cranberrytally link 1";

/// Key of the links, derived from the fleet's shared key.
#[derive(Clone)]
pub struct LinkKey([u8; 32]);

impl std::fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LinkKey")
    }
}

impl LinkKey {
    /// Derives the key.
    pub fn new(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }
}

/// What answers calls of other routers.
pub trait Serve: Send + Sync + 'static {
    /// Answers one call.
    fn serve(&self, body: Body) -> impl Future<Output = Body> + Send;
}

/// Accepts links until closed.
#[derive(Debug)]
pub struct LinkServer {
    task: JoinHandle<()>,
}

impl LinkServer {
    /// Serves calls on `listener`.
    pub fn start(listener: TcpListener, key: LinkKey, serve: Arc<impl Serve>) -> Self {
        let task = tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (key, serve) = (key.clone(), serve.clone());
                tokio::spawn(async move {
                    if let Err(e) = accept(stream, key, serve).await {
                        spdlog::debug!("link ended: {e:#}");
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
    let (out, queue) = mpsc::channel(QUEUE);
    tokio::spawn(write_all(tx, queue));
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

/// Links to other routers, opened when first used.
#[derive(Debug)]
pub struct Links {
    key: LinkKey,
    open: tokio::sync::Mutex<Map<SocketAddr, Arc<Link>>>,
}

impl Links {
    /// No link is open yet.
    pub fn new(key: LinkKey) -> Self {
        Self { key, open: Default::default() }
    }

    /// Calls the router at `peer` and waits for its answer.
    ///
    /// # Errors
    /// When no answer came in `timeout`; whether the call took effect is then unknown.
    pub async fn call(&self, peer: SocketAddr, body: Body, timeout: Duration) -> Result<Body> {
        let work = async {
            let link = self.link(peer).await?;
            let answer = link.call(body).await;
            if answer.is_err() {
                self.drop_link(peer, &link).await;
            }
            answer
        };
        match tokio::time::timeout(timeout, work).await {
            Ok(answer) => answer,
            Err(_) => bail!("no answer from {peer} in time"),
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

    async fn drop_link(&self, peer: SocketAddr, link: &Arc<Link>) {
        let mut open = self.open.lock().await;
        if open.get(&peer).is_some_and(|l| Arc::ptr_eq(l, link)) {
            open.remove(&peer);
        }
    }
}

type Waiting = Arc<Mutex<Option<Map<u64, oneshot::Sender<Body>>>>>;

#[derive(Debug)]
struct Link {
    out: mpsc::Sender<Frame>,
    next: AtomicU64,
    waiting: Waiting,
}

impl Link {
    async fn open(peer: SocketAddr, key: &LinkKey) -> Result<Self> {
        let stream =
            TcpStream::connect(peer).await.with_context(|| format!("could not connect to {peer}"))?;
        let (mut rx, tx) = handshake(stream, key, Side::Opener).await?;
        let (out, queue) = mpsc::channel(QUEUE);
        tokio::spawn(write_all(tx, queue));
        let waiting: Waiting = Arc::new(Mutex::new(Some(Map::default())));
        let answers = waiting.clone();
        tokio::spawn(async move {
            while let Ok(Some(frame)) = rx.next().await {
                deliver(&answers, frame);
            }
            // Dropping the senders wakes every caller that still waits; `None` refuses later calls.
            lock(&answers).take();
        });
        Ok(Self { out, next: AtomicU64::new(0), waiting })
    }

    async fn call(&self, body: Body) -> Result<Body> {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).as_mut().context("the link is closed")?.insert(call, tx);
        let guard = Waiter { call, waiting: self.waiting.clone() };
        self.out.send(Frame { call, body: Some(body) }).await.context("the link is closed")?;
        let answer = rx.await.context("the link broke")?;
        drop(guard);
        match answer {
            Body::Refused(r) => bail!("the peer refused the call: {}", r.reason),
            answer => Ok(answer),
        }
    }
}

/// Forgets a call whose caller gave up, so that its late answer is dropped.
struct Waiter {
    call: u64,
    waiting: Waiting,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if let Some(map) = lock(&self.waiting).as_mut() {
            map.remove(&self.call);
        }
    }
}

fn deliver(waiting: &Waiting, frame: Frame) {
    let tx = lock(waiting).as_mut().and_then(|map| map.remove(&frame.call));
    match (tx, frame.body) {
        (Some(tx), Some(body)) => drop(tx.send(body)),
        _ => spdlog::debug!("a late answer to call {} was dropped", frame.call),
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
    stream.set_nodelay(true).context("could not set the socket up")?;
    let (mut rx, mut tx) = stream.into_split();
    let mine: [u8; NONCE] = rand::random();
    let mut theirs = [0; NONCE];
    let exchange = async {
        tx.write_all(&mine).await?;
        rx.read_exact(&mut theirs).await
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await.context("no handshake in time")??;
    let (opener, acceptor) = if side == Side::Opener { (mine, theirs) } else { (theirs, mine) };
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

fn mac(key: &[u8; 32], position: u64, bytes: &[u8]) -> [u8; MAC] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&position.to_le_bytes()).update(bytes);
    let mut out = [0; MAC];
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
        if len > MAX_FRAME {
            bail!("a frame of {len} bytes is too long");
        }
        let mut tag = [0; MAC];
        self.io.read_exact(&mut tag).await?;
        let mut buf = vec![0; len];
        self.io.read_exact(&mut buf).await?;
        let want = mac(&self.key, self.position, &buf);
        // `blake3::Hash` compares in constant time; a plain comparison would leak the tag byte by byte.
        if blake3::hash(&want) != blake3::hash(&tag) {
            bail!("a frame is not authentic");
        }
        self.position += 1;
        Ok(Some(postcard::from_bytes(&buf).context("could not decode a frame")?))
    }
}

impl FrameWriter {
    async fn send(&mut self, frame: &Frame) -> Result<()> {
        let bytes = postcard::to_stdvec(frame).context("could not encode a frame")?;
        if bytes.len() > MAX_FRAME {
            bail!("a frame of {} bytes is too long", bytes.len());
        }
        let tag = mac(&self.key, self.position, &bytes);
        self.position += 1;
        let mut buf = Vec::with_capacity(bytes.len() + MAC + 4);
        buf.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
        buf.extend_from_slice(&tag);
        buf.extend_from_slice(&bytes);
        self.io.write_all(&buf).await.context("could not write a frame")
    }
}

async fn write_all(mut tx: FrameWriter, mut queue: mpsc::Receiver<Frame>) {
    while let Some(frame) = queue.recv().await {
        if let Err(e) = tx.send(&frame).await {
            spdlog::debug!("link ended: {e:#}");
            return;
        }
    }
}
