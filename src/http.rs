//! HTTP in, by xitca-web: one handler for all paths, bounded request bodies, streamed replies.

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
use bytes::{Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use rustix::net::sockopt::set_tcp_nodelay;
use tokio::runtime::Handle;
use xitca_web::{
    HttpServer,
    body::{Body, BodyExt, BoxBody, Frame, RequestBody, SizeHint},
    http::RequestExt,
    service::fn_service,
};

use crate::error::ErrorKind;

mod body;

pub use body::{BodyReceiver, BodySender, Cut, Gone, body_channel};

/// Body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// Whole body.
    Full(Bytes),
    /// Chunks as they come; the sender sees a closed channel when the caller goes away.
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
    /// Reply with a whole body.
    pub fn full(status: u16, body: impl Into<Bytes>) -> Self {
        let mut head = Response::new(());
        *head.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self { head, body: ReplyBody::Full(body.into()) }
    }

    /// Reply with a JSON body.
    pub fn json(status: u16, body: &impl serde::Serialize) -> Self {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        Self::full(status, bytes).with_header("content-type", "application/json")
    }

    /// Reply with a streamed body.
    pub fn stream(status: u16, rx: BodyReceiver) -> Self {
        let mut reply = Self::full(status, Bytes::new());
        reply.body = ReplyBody::Stream(rx);
        reply
    }

    /// Adds a header; a value that is no header value is left out.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.head.headers_mut().insert(HeaderName::from_static(name), value);
        }
        self
    }
}

/// Message for a request whose body was not taken.
pub(crate) const UNREAD_BODY: &str = "the request body could not be read";

/// What answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request whose body has been read.
    fn handle(&self, req: Request<Bytes>, peer: SocketAddr) -> impl Future<Output = Reply> + Send;

    /// Answers a request with this head whose body was not taken.
    fn refuse_body(&self, head: &Request<()>, kind: ErrorKind) -> Reply {
        let _ = head;
        kind.reply(UNREAD_BODY)
    }
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    bytes: usize,
    time: Duration,
    head_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { bytes: 1 << 20, time: Duration::from_secs(10), head_time: Duration::from_secs(5) }
    }
}

impl Limits {
    /// Sets the largest body, in bytes.
    pub fn with_bytes(self, bytes: usize) -> Self {
        Self { bytes, ..self }
    }

    /// Sets the longest time for a body to arrive.
    pub fn with_time(self, time: Duration) -> Self {
        Self { time, ..self }
    }

    /// Sets the longest time for a request's head to arrive.
    pub fn with_head_time(self, head_time: Duration) -> Self {
        Self { head_time, ..self }
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    running: Arc<AtomicUsize>,
    stop: xitca_server_handle::Stop,
}

mod xitca_server_handle {
    //! Keeps the library's handle type out of signatures.

    /// Stops the server when called.
    pub(super) struct Stop(pub(super) Box<dyn Fn() + Send + Sync>);

    impl std::fmt::Debug for Stop {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("Stop")
        }
    }
}

impl Server {
    /// Serves `listener` with `threads` workers; handlers run on the current runtime.
    ///
    /// # Errors
    /// When the listener can't be served.
    pub fn start(
        listener: TcpListener,
        threads: usize,
        limits: Limits,
        handler: Arc<impl Handler>,
    ) -> Result<Self> {
        let addr = listener.local_addr().context("could not read the address")?;
        // Accepted connections inherit this. Without it each token waits for the acknowledgement of the one before,
        // which the caller's host delays by 40 ms.
        set_tcp_nodelay(&listener, true).context("could not set the socket up")?;
        let rt = Handle::current();
        let running = Arc::new(AtomicUsize::new(0));
        let counter = running.clone();
        let service = fn_service(async move |req: Request<RequestExt<RequestBody>>| {
            let count = Count::new(&counter);
            Ok::<_, Infallible>(answer(req, limits, handler.clone(), &rt, count).await)
        });
        let mut server = HttpServer::serve(service)
            .disable_signal()
            .worker_threads(threads)
            .request_head_timeout(limits.head_time)
            .listen(listener)
            .context("could not listen")?
            .run();
        let handle = server.handle().context("could not start the server")?;
        thread::Builder::new()
            .name("http".into())
            .spawn(move || server.wait())
            .context("could not start a thread")?;
        Ok(Self { addr, running, stop: xitca_server_handle::Stop(Box::new(move || handle.stop(true))) })
    }

    /// Address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Requests whose answer has not been handed to the connection whole.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Stops accepting connections. Streams still open go on for the library's limit of 30 s.
    pub fn close(self) {
        (self.stop.0)();
    }
}

/// One request in progress, until its answer has been handed to the connection or the connection is gone.
struct Count(Arc<AtomicUsize>);

impl Count {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(counter.clone())
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn answer(
    req: Request<RequestExt<RequestBody>>,
    limits: Limits,
    handler: Arc<impl Handler>,
    rt: &Handle,
    count: Count,
) -> Response<BoxBody> {
    let (head, ext) = req.into_parts();
    let peer = *ext.socket_addr();
    let (_, body) = ext.replace_body(());
    let body = match read(body, limits).await {
        Ok(body) => body,
        Err(kind) => return respond(handler.refuse_body(&Request::from_parts(head, ()), kind), count),
    };
    let req = Request::from_parts(head, body);
    let task = rt.spawn(async move { handler.handle(req, peer).await });
    match task.await {
        Ok(reply) => respond(reply, count),
        Err(_) => respond(ErrorKind::Internal.reply("the request failed inside the router"), count),
    }
}

async fn read(body: RequestBody, limits: Limits) -> Result<Bytes, ErrorKind> {
    match tokio::time::timeout(limits.time, collect(body, limits.bytes)).await {
        Ok(result) => result,
        Err(_) => Err(ErrorKind::BodyTimeout),
    }
}

/// Collects a body of stated length.
///
/// When a connection closes early, the library ends the body as if it were complete, so that half a save would
/// run. The stated length tells the two apart; a chunked body states none and is refused.
async fn collect(body: RequestBody, max: usize) -> Result<Bytes, ErrorKind> {
    let stated = match body.size_hint() {
        SizeHint::Exact(len) => len,
        SizeHint::None => 0,
        SizeHint::Unknown => return Err(ErrorKind::LengthRequired),
    };
    if stated > max as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(frame) = body.as_mut().frame().await {
        let Ok(Frame::Data(data)) = frame else { return Err(ErrorKind::BadRequest) };
        buf.extend_from_slice(&data);
    }
    if buf.len() as u64 != stated { Err(ErrorKind::BadRequest) } else { Ok(buf.freeze()) }
}

fn respond(reply: Reply, count: Count) -> Response<BoxBody> {
    let (parts, ()) = reply.head.into_parts();
    let body = match reply.body {
        ReplyBody::Full(bytes) => BoxBody::new(xitca_web::body::Full::new(bytes)),
        ReplyBody::Stream(rx) => BoxBody::new(CountedBody { body: rx, _count: count }),
    };
    Response::from_parts(parts, body)
}

struct CountedBody {
    body: BodyReceiver,
    _count: Count,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }
}
