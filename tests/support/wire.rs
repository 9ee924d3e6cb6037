//! Fixtures that use the platform's wire protocol over loopback: a relay host in this process, scripted backend
//! servers, and a caller that reads raw bytes. Each test uses a part of them.

#![allow(dead_code)]

#[path = "unchanged_store.rs"]
mod unchanged_store;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cranberrytally::{
    platform::PlatformWire,
    relay::{
        Relay, RelayConfig,
        budget::BudgetConfig,
        follow::{self, BackendsUpdate},
        inbound,
    },
    schema::fleet::{
        Backend, Backends, CallerLimits, Configuration, Repeat, Route, Service, Share, Workspace,
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::timeout,
};

use crate::relay_support::{relay_config, rev};
use unchanged_store::UnchangedStore;

/// Timeout of each wait on loopback; reached only when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of one write of a server that writes without end.
const ENDLESS_WRITE_BYTES: usize = 16 << 10;

/// Reaction of a scripted server to one request.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Writes these bytes and keeps the connection open.
    Write(String),
    /// Writes these bytes and closes the connection.
    WriteAndClose(String),
    /// Writes these bytes and resets the connection.
    WriteAndReset(String),
    /// Writes these texts with pauses between them and keeps the connection open.
    WriteSlowly(Vec<String>, Duration),
    /// Writes these texts with pauses between them and resets the connection.
    WriteSlowlyAndReset(Vec<String>, Duration),
    /// Writes the first text, and then the second one again and again until the other side closes the connection.
    WriteWithoutEnd(String, &'static str),
    /// Sends nothing until the other side closes the connection.
    Hang,
    /// Resets all connections and accepts no further ones.
    Crash,
}

/// Backend server that follows a script, one step per request; the last step is repeated.
#[derive(Clone, Debug)]
pub struct Server {
    /// Identifier.
    pub id: String,
    /// Address.
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    connections: Arc<Mutex<usize>>,
    closed_connections: Arc<Mutex<usize>>,
}

impl Server {
    /// Starts a server with a script, in which `{id}` is replaced by the request's attempt identifier.
    pub async fn start(id: &str, script: impl Into<Vec<ScriptStep>>) -> Self {
        let script = script.into();
        let steps = move |_: &str, index: usize| script.get(index).or(script.last()).unwrap().clone();
        Self::reacting(id, steps).await
    }

    /// Starts a server that reacts to each request by its text and the number of requests before it.
    pub async fn reacting(
        id: &str,
        react: impl Fn(&str, usize) -> ScriptStep + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            id: id.into(),
            addr: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
            closed_connections: Arc::default(),
        };
        let (serving, react) = (server.clone(), Arc::new(react));
        tokio::spawn(async move {
            let (crash, mut crashed) = mpsc::channel(1);
            // Dropped with the server, which ends all its connections.
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    biased;
                    Some(stream) = crashed.recv() => {
                        // The listener is closed first, so that whoever sees the reset can no longer connect.
                        drop(listener);
                        reset(stream);
                        return;
                    }
                    Ok((stream, _)) = listener.accept() => {
                        *serving.connections.lock().unwrap() += 1;
                        connections.spawn(serving.clone().serve(stream, react.clone(), crash.clone()));
                    }
                }
            }
        });
        server
    }

    async fn serve(
        self,
        mut stream: TcpStream,
        react: Arc<impl Fn(&str, usize) -> ScriptStep>,
        crash: mpsc::Sender<TcpStream>,
    ) {
        while let Some(req) = read_request(&mut stream).await {
            let index = {
                let mut requests = self.requests.lock().unwrap();
                requests.push(req.clone());
                requests.len() - 1
            };
            let step = react(&req, index);
            let id = header(&req, "attempt-id").unwrap_or_default();
            let write = |text: &str| text.replace("{id}", &id).into_bytes();
            match step {
                ScriptStep::Write(text) => stream.write_all(&write(&text)).await.unwrap(),
                ScriptStep::WriteSlowly(texts, pause) => write_slowly(&mut stream, texts, pause, &id).await,
                ScriptStep::WriteSlowlyAndReset(texts, pause) => {
                    write_slowly(&mut stream, texts, pause, &id).await;
                    reset(stream);
                    return;
                }
                ScriptStep::WriteAndClose(text) => {
                    stream.write_all(&write(&text)).await.unwrap();
                    return;
                }
                ScriptStep::WriteAndReset(text) => {
                    stream.write_all(&write(&text)).await.unwrap();
                    reset(stream);
                    return;
                }
                ScriptStep::WriteWithoutEnd(text, unit) => {
                    let units = unit.repeat(ENDLESS_WRITE_BYTES.div_ceil(unit.len()));
                    let _ = stream.write_all(&write(&text)).await;
                    while stream.write_all(units.as_bytes()).await.is_ok() {}
                    *self.closed_connections.lock().unwrap() += 1;
                    return;
                }
                ScriptStep::Crash => {
                    let _ = crash.send(stream).await;
                    return;
                }
                ScriptStep::Hang => {
                    let _ = stream.read(&mut [0]).await;
                    *self.closed_connections.lock().unwrap() += 1;
                    return;
                }
            }
        }
    }

    /// Received requests, each as its head and body.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    /// Number of accepted connections.
    pub fn connections(&self) -> usize {
        *self.connections.lock().unwrap()
    }

    /// Number of connections that the other side closed during [`ScriptStep::Hang`] or [`ScriptStep::WriteWithoutEnd`].
    pub fn closed_connections(&self) -> usize {
        *self.closed_connections.lock().unwrap()
    }
}

/// Writes texts with a pause after each. The other side may close the connection meanwhile.
async fn write_slowly(stream: &mut TcpStream, texts: Vec<String>, pause: Duration, id: &str) {
    for text in texts {
        if stream.write_all(text.replace("{id}", id).as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    stream.set_zero_linger().unwrap();
}

/// Value of a header in a raw message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let line = head.lines().skip(1).find(|l| l.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// Reads a request with a `Content-Length` body; `None` if the connection ends first.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(&text, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if header(&text, "transfer-encoding").is_none() && body.len() >= length {
                return Some(format!("{head}\r\n\r\n{body}"));
            }
        }
        match stream.read_buf(&mut buf).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

/// Raw answer of a backend server with status 200.
pub fn ok(body: &str) -> String {
    answer("200 OK", body)
}

/// Raw answer of a backend server with the given status.
pub fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nResponse-Seal: s1\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Raw rejection that proves that the request did not run.
pub fn not_run() -> String {
    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        .into()
}

/// Head of an event stream.
pub fn stream_head() -> String {
    let head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s1\r\nContent-Type: text/event-stream\r\n";
    format!("{head}Transfer-Encoding: chunked\r\n\r\n")
}

/// Chunk of a chunked body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Event with default data.
pub fn event(number: u32) -> String {
    event_with_data(number, &format!("e{number}"))
}

/// Event with the given data.
pub fn event_with_data(number: u32, data: &str) -> String {
    format!("id: {number}\ndata: {data}\n\n")
}

/// Configuration with the routes `/safe/`, `/unsafe/`, `/stream/` (resumable) and `/once/` (a stream that is not
/// resumable), all to the service `app`.
pub fn configuration() -> Configuration {
    let route = |prefix: &str, repeat: Repeat, resumable| Route {
        name: prefix.trim_matches('/').into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        repeat: repeat.into(),
        timeout_ms: 4_000,
        objective_ms: 1_000,
        rank: 1,
        shares: vec![Share { service: "app".into(), weight: 1 }],
        attempts: 2,
        open: false,
        resumable,
        prompts: false,
        max_pause_ms: 0,
    };
    Configuration {
        version: 1,
        routes: vec![
            route("/safe/", Repeat::Idempotent, false),
            route("/unsafe/", Repeat::Never, false),
            route("/stream/", Repeat::Stream, true),
            route("/once/", Repeat::Stream, false),
        ],
        services: vec![Service {
            name: "app".into(),
            connections: 100,
            caches_prompts: false,
            ..Service::default()
        }],
        limits: Some(CallerLimits { head_bytes: 8_192, body_bytes: 1_000, head_ms: 3_000, idle_ms: 15_000 }),
        workspaces: vec![Workspace { name: "travel".into(), keys: vec!["k1".into()], rank: None }],
    }
}

/// Backend server of the service `app` with six slots, as the store lists it.
pub fn backend(id: &str, addr: SocketAddr) -> Backend {
    Backend {
        id: id.into(),
        service: "app".into(),
        addr: addr.to_string(),
        data_centre: "a".into(),
        slots: 6,
        ..Backend::default()
    }
}

/// Relay host that serves callers in this process.
pub struct Host {
    /// The relay.
    pub relay: Arc<Relay<PlatformWire>>,
    /// Address for callers.
    pub addr: SocketAddr,
}

impl Host {
    /// Starts a host without configuration.
    pub async fn without_configuration() -> Self {
        // High enough that every retry is allowed, also right after the start and without other hosts.
        Self::with_retry_ratio(1e9).await
    }

    /// Starts a host without configuration that may retry this many times per request of a caller.
    pub async fn with_retry_ratio(ratio: f64) -> Self {
        let cfg = relay_config("host-1");
        let budget = BudgetConfig { ratio, extra: 0.0, ..cfg.budget };
        Self::with_settings(RelayConfig { budget, ..cfg }).await
    }

    /// Starts a host without configuration that buffers this many bytes of answers.
    pub async fn with_buffer_bytes(buffer_bytes: usize) -> Self {
        Self::with_settings(RelayConfig { buffer_bytes, ..relay_config("host-1") }).await
    }

    async fn with_settings(cfg: RelayConfig) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let relay = Arc::new(Relay::new(cfg, PlatformWire).unwrap());
        tokio::spawn(inbound::accept(relay.clone(), listener));
        tokio::spawn(follow::read_versions(relay.clone(), UnchangedStore));
        Self { relay, addr }
    }

    /// Starts a host with the fixture's configuration and these servers; the first one is preferred.
    pub async fn with_servers(servers: &[&Server]) -> Self {
        let host = Self::without_configuration().await;
        host.relay.set_configuration(configuration(), "test");
        host.set_servers(servers);
        host
    }

    /// Sets the list of backend servers. Only the first one is in the host's data centre and therefore preferred.
    pub fn set_servers(&self, servers: &[&Server]) {
        self.set_servers_at(1, servers);
    }

    /// Sets the list of backend servers as of a revision of the store.
    pub fn set_servers_at(&self, revision: u64, servers: &[&Server]) {
        let items = servers.iter().enumerate().map(|(i, s)| Backend {
            id: s.id.clone(),
            service: "app".into(),
            addr: s.addr.to_string(),
            data_centre: if i == 0 { "a".into() } else { "b".into() },
            slots: 6,
            ..Backend::default()
        });
        let list = Backends { revision, items: items.collect(), ..Backends::default() };
        self.relay.update_backends(BackendsUpdate::List(list), None, "test");
    }

    /// Adds a server in the host's data centre to the list.
    pub fn add_server(&self, server: &Server) {
        let put = backend(&server.id, server.addr);
        let update = BackendsUpdate::Changes { revision: rev(2), puts: vec![put], removed: Vec::new() };
        self.relay.update_backends(update, None, "test");
    }

    /// Connects as a caller.
    pub async fn connect(&self) -> Caller {
        Caller::connect(self.addr).await
    }

    /// Sends a request on a new connection and reads the complete answer.
    pub async fn call(&self, request: &str) -> String {
        let mut caller = self.connect().await;
        caller.send(request).await;
        caller.answer().await
    }
}

/// Connection of a caller.
pub struct Caller(TcpStream);

impl Caller {
    /// Connects to a host.
    pub async fn connect(addr: SocketAddr) -> Self {
        Self(TcpStream::connect(addr).await.unwrap())
    }

    /// Sends raw bytes.
    pub async fn send(&mut self, bytes: &str) {
        self.0.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Reads one answer up to the end of its body or of the connection.
    pub async fn answer(&mut self) -> String {
        read_answer(&mut self.0).await
    }
}

/// Reads one answer up to the end of its body or of the connection.
pub async fn read_answer(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let reading = async {
        loop {
            let text = String::from_utf8_lossy(&buf).into_owned();
            if is_complete(&text) || !matches!(stream.read_buf(&mut buf).await, Ok(n) if n > 0) {
                return text;
            }
        }
    };
    timeout(WAIT_TIMEOUT, reading).await.expect("no answer arrived")
}

/// Whether a raw answer is complete.
pub fn is_complete(text: &str) -> bool {
    let Some((_, body)) = text.split_once("\r\n\r\n") else { return false };
    match header(text, "content-length") {
        Some(length) => body.len() >= length.parse().unwrap(),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Data of the events in a raw answer.
pub fn events(text: &str) -> Vec<&str> {
    text.lines().filter_map(|l| l.strip_prefix("data: ")).collect()
}

/// Status of a raw answer.
pub fn status(text: &str) -> u16 {
    text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Raw request for a path, with the fixture's API key.
pub fn request(path: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r1\r\nKey: k1\r\n");
    format!("{head}Request-Deadline: 3000\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Waits until the condition holds; fails with `what` after a timeout.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}
