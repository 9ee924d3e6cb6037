//! HTTP server based on xitca-web: one handler for all paths, bounded request bodies, streamed replies.

use std::{
    convert::Infallible,
    future::Future,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    thread,
    time::Duration,
};

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use rustix::net::sockopt::set_tcp_nodelay;
use tokio::runtime::Handle;
use xitca_web::{
    HttpServer,
    body::{Body, BodyExt, BoxBody, Frame, RequestBody, SizeHint},
    http::RequestExt,
    service::fn_service,
};

use crate::{
    bodies::{Bodies, BodyRoom, PROGRESS_BYTES},
    error::ErrorKind,
    util::now,
};

mod body;

pub use body::{BodyReceiver, BodySender, CallerDisconnected, TruncatedBody, body_channel};

/// Body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// Complete body.
    Full(Bytes),
    /// Chunks sent as they become available; the sender's channel is closed if the caller disconnects.
    Stream(BodyReceiver),
}

/// Reply to one request.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: Response<()>,
    /// Body.
    pub body: ReplyBody,
}

impl Reply {
    /// Creates a reply with a complete body.
    pub fn full(status: u16, body: impl Into<Bytes>) -> Self {
        let mut head = Response::new(());
        *head.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self { head, body: ReplyBody::Full(body.into()) }
    }

    /// Creates a reply with a JSON body.
    pub fn json(status: u16, body: &impl serde::Serialize) -> Self {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        Self::full(status, bytes).with_header("content-type", "application/json")
    }

    /// Creates a reply with a streamed body.
    pub fn stream(status: u16, rx: BodyReceiver) -> Self {
        let mut reply = Self::full(status, Bytes::new());
        reply.body = ReplyBody::Stream(rx);
        reply
    }

    /// Adds a header, unless its value is not a valid header value.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.head.headers_mut().insert(HeaderName::from_static(name), value);
        }
        self
    }
}

/// Message for a request whose body was rejected or could not be read.
pub(crate) const UNREAD_BODY: &str = "the request body could not be read";

/// Request handler.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request whose body has been read.
    fn handle(&self, req: Request<Bytes>, peer: SocketAddr) -> impl Future<Output = Reply> + Send;

    /// Returns the reply to a request whose body was rejected or could not be read.
    fn refuse_body(&self, head: &Request<()>, kind: ErrorKind) -> Reply {
        let _ = head;
        kind.reply(UNREAD_BODY)
    }
}

/// Limits on the size and the transfer time of requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    body_bytes: usize,
    bodies_bytes: usize,
    body_timeout: Duration,
    head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            bodies_bytes: 64 << 20,
            body_timeout: Duration::from_secs(10),
            head_timeout: Duration::from_secs(5),
        }
    }
}

impl Limits {
    /// Sets the maximum size of a body in bytes.
    pub fn with_max_body_bytes(self, body_bytes: usize) -> Self {
        Self { body_bytes, ..self }
    }

    /// Sets the maximum size of all bodies in bytes, at least twice that of one.
    pub fn with_max_bodies_bytes(self, bodies_bytes: usize) -> Self {
        Self { bodies_bytes, ..self }
    }

    /// Sets the timeout for receiving a body.
    pub fn with_body_timeout(self, body_timeout: Duration) -> Self {
        Self { body_timeout, ..self }
    }

    /// Sets the timeout for receiving the head of a request.
    pub fn with_head_timeout(self, head_timeout: Duration) -> Self {
        Self { head_timeout, ..self }
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    in_progress: Arc<AtomicUsize>,
    stop: xitca_server_handle::Stop,
}

mod xitca_server_handle {
    //! Wrapper that keeps the library's handle type out of signatures.

    /// Stops the server when called.
    pub(super) struct Stop(pub(super) Box<dyn Fn() + Send + Sync>);

    impl std::fmt::Debug for Stop {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("Stop")
        }
    }
}

impl Server {
    /// Starts a server on `listener` with `threads` worker threads; handlers run on the current runtime.
    ///
    /// # Errors
    /// If the server can't be started.
    pub fn start(
        listener: TcpListener,
        threads: usize,
        limits: Limits,
        handler: Arc<impl Handler>,
    ) -> Result<Self> {
        let addr = listener.local_addr().context("could not read the address")?;
        // Accepted connections inherit TCP_NODELAY. Without it, each token would wait for the ACK of the previous one,
        // which the caller's host delays by 40 ms.
        set_tcp_nodelay(&listener, true).context("could not set up the socket")?;
        let rt = Handle::current();
        let in_progress = Arc::new(AtomicUsize::new(0));
        let counter = in_progress.clone();
        // A single body of the largest size has room.
        let longest = limits.body_bytes.saturating_mul(2);
        let bodies = Bodies::new(limits.bodies_bytes.max(longest));
        let service = fn_service(async move |req: Request<RequestExt<RequestBody>>| {
            let guard = InProgressGuard::new(&counter);
            Ok::<_, Infallible>(handle_request(req, limits, &bodies, handler.clone(), &rt, guard).await)
        });
        let mut server = HttpServer::serve(service)
            .disable_signal()
            .worker_threads(threads)
            .request_head_timeout(limits.head_timeout)
            .listen(listener)
            .context("could not listen")?
            .run();
        let handle = server.handle().context("could not start the server")?;
        thread::Builder::new()
            .name("http".into())
            .spawn(move || server.wait())
            .context("could not start a thread")?;
        Ok(Self { addr, in_progress, stop: xitca_server_handle::Stop(Box::new(move || handle.stop(true))) })
    }

    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of requests whose reply has not been passed to the connection completely.
    pub fn running(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Stops accepting connections. Open streams continue for up to 30 s, the library's limit.
    pub fn close(self) {
        (self.stop.0)();
    }
}

/// Guard that counts a request as in progress until its reply has been passed to the connection or the connection has
/// closed.
struct InProgressGuard(Arc<AtomicUsize>);

impl InProgressGuard {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(counter.clone())
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn handle_request(
    req: Request<RequestExt<RequestBody>>,
    limits: Limits,
    bodies: &Bodies,
    handler: Arc<impl Handler>,
    rt: &Handle,
    guard: InProgressGuard,
) -> Response<BoxBody> {
    let (head, ext) = req.into_parts();
    let peer = *ext.socket_addr();
    let (_, body) = ext.replace_body(());
    let body = match read_body(body, limits, bodies).await {
        Ok(body) => body,
        Err(kind) => return into_response(handler.refuse_body(&Request::from_parts(head, ()), kind), guard),
    };
    let req = Request::from_parts(head, body);
    let task = rt.spawn(async move { handler.handle(req, peer).await });
    match task.await {
        Ok(reply) => into_response(reply, guard),
        Err(_) => into_response(ErrorKind::Internal.reply("the request failed inside the router"), guard),
    }
}

async fn read_body(body: RequestBody, limits: Limits, bodies: &Bodies) -> Result<Bytes, ErrorKind> {
    let room = bodies.room(now());
    let collecting = collect_body(body, limits.body_bytes, room);
    match tokio::time::timeout(limits.body_timeout, collecting).await {
        Ok(result) => result,
        Err(_) => Err(ErrorKind::BodyTimeout),
    }
}

/// Reads a body with a `Content-Length`.
///
/// If a connection closes early, the library ends the body as if it were complete, so that an incomplete request would
/// be executed. Only the declared length reveals the missing part; a chunked body declares none and is rejected.
async fn collect_body(body: RequestBody, max_bytes: usize, mut room: BodyRoom) -> Result<Bytes, ErrorKind> {
    let declared_len = match body.size_hint() {
        SizeHint::Exact(len) => len,
        SizeHint::None => 0,
        SizeHint::Unknown => return Err(ErrorKind::LengthRequired),
    };
    if declared_len > max_bytes as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut body = std::pin::pin!(body);
    if !room.extend_to(declared_len as usize, now()) {
        return Err(ErrorKind::NoRoom);
    }
    let mut buf = Vec::with_capacity(declared_len as usize);
    let mut next_progress = PROGRESS_BYTES;
    loop {
        let mut body = body.as_mut();
        let frame = tokio::select! {
            biased;
            () = room.given_way() => return Err(ErrorKind::NoRoom),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let Ok(Frame::Data(data)) = frame else { return Err(ErrorKind::BadRequest) };
        buf.extend_from_slice(&data);
        if buf.len() >= next_progress {
            next_progress = buf.len() + PROGRESS_BYTES;
            room.progress(now());
        }
    }
    if buf.len() as u64 != declared_len {
        return Err(ErrorKind::BadRequest);
    }
    room.hold(buf).ok_or(ErrorKind::NoRoom)
}

fn into_response(reply: Reply, guard: InProgressGuard) -> Response<BoxBody> {
    let (parts, ()) = reply.head.into_parts();
    let body = match reply.body {
        ReplyBody::Full(bytes) => BoxBody::new(xitca_web::body::Full::new(bytes)),
        ReplyBody::Stream(rx) => BoxBody::new(CountedBody { body: rx, _guard: guard }),
    };
    Response::from_parts(parts, body)
}

struct CountedBody {
    body: BodyReceiver,
    _guard: InProgressGuard,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }
}
