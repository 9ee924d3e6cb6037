//! Fixtures that speak the platform's wire over loopback: a host in this process, scripted backend servers, and a caller
//! that reads raw bytes. Each test uses a part of them.

#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cranberrytally::{
    platform::PlatformWire,
    relay::{Relay, follow::BackendsUpdate, inbound},
    schema::fleet::{
        Backend, Backends, CallerLimits, Configuration, Repeat, Route, Service, Share, Workspace,
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};

use crate::relay_support::{relay_config, rev};

/// Longest wait for anything on loopback; reached only when a test fails.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a scripted server does with one request.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Writes these bytes and keeps the connection.
    Write(String),
    /// Writes these bytes and closes.
    WriteAndClose(String),
    /// Writes these bytes and resets the connection.
    WriteAndReset(String),
    /// Says nothing until the caller closes.
    Hang,
    /// Resets the connection and takes no more.
    Crash,
}

/// A backend server that follows a script, one act a request; the last act goes on.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its identifier.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    closed: Arc<Mutex<usize>>,
}

impl Server {
    /// Starts a server with a script; `{id}` in it stands for the request's identifier.
    pub async fn start(id: &str, script: impl Into<Vec<ScriptStep>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            id: id.into(),
            addr: listener.local_addr().unwrap(),
            seen: Arc::default(),
            closed: Arc::default(),
        };
        let (copy, script) = (server.clone(), Arc::new(script.into()));
        tokio::spawn(async move {
            let (crash, mut crashed) = mpsc::channel(1);
            loop {
                tokio::select! {
                    biased;
                    Some(stream) = crashed.recv() => {
                        // The listener goes first, so that whoever sees the reset finds nobody there.
                        drop(listener);
                        reset(stream);
                        return;
                    }
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(copy.clone().serve(stream, script.clone(), crash.clone()));
                    }
                }
            }
        });
        server
    }

    async fn serve(
        self,
        mut stream: TcpStream,
        script: Arc<Vec<ScriptStep>>,
        crash: mpsc::Sender<TcpStream>,
    ) {
        while let Some(req) = read_request(&mut stream).await {
            let at = {
                let mut seen = self.seen.lock().unwrap();
                seen.push(req.clone());
                seen.len() - 1
            };
            let act = script.get(at).or(script.last()).unwrap().clone();
            let id = header(&req, "attempt-id").unwrap_or_default();
            let write = |text: &str| text.replace("{id}", &id).into_bytes();
            match act {
                ScriptStep::Write(text) => stream.write_all(&write(&text)).await.unwrap(),
                ScriptStep::WriteAndClose(text) => {
                    stream.write_all(&write(&text)).await.unwrap();
                    return;
                }
                ScriptStep::WriteAndReset(text) => {
                    stream.write_all(&write(&text)).await.unwrap();
                    reset(stream);
                    return;
                }
                ScriptStep::Crash => {
                    let _ = crash.send(stream).await;
                    return;
                }
                ScriptStep::Hang => {
                    let _ = stream.read(&mut [0]).await;
                    *self.closed.lock().unwrap() += 1;
                    return;
                }
            }
        }
    }

    /// Requests that have arrived, each as its head and body.
    pub fn requests(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    /// Connections that the other side closed while this server said nothing.
    pub fn closed_connections(&self) -> usize {
        *self.closed.lock().unwrap()
    }
}

/// Ends a connection by a reset.
fn reset(stream: TcpStream) {
    stream.set_zero_linger().unwrap();
}

/// Value of a header in a raw message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let line = head.lines().skip(1).find(|l| l.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// Reads a request with a length; `None` where the connection ends first.
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

/// A whole answer of a backend server.
pub fn ok(body: &str) -> String {
    answer("200 OK", body)
}

/// An answer of a backend server with a status.
pub fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nResponse-Seal: s1\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// A refusal that proves that the request did not run.
pub fn not_run() -> String {
    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        .into()
}

/// Head of a stream of events.
pub fn stream_head() -> String {
    let head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s1\r\nContent-Type: text/event-stream\r\n";
    format!("{head}Transfer-Encoding: chunked\r\n\r\n")
}

/// One chunk of a body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// One event.
pub fn event(number: u32) -> String {
    event_with_data(number, &format!("e{number}"))
}

/// One event with data of its own.
pub fn event_with_data(number: u32, data: &str) -> String {
    format!("id: {number}\ndata: {data}\n\n")
}

/// Routes `/safe/`, `/unsafe/`, `/stream/` (resumable) and `/once/` (a stream that is not), all to the service `app`.
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

/// A host that serves callers in this process.
pub struct Host {
    /// The relay.
    pub relay: Arc<Relay<PlatformWire>>,
    /// Where callers connect.
    pub addr: SocketAddr,
}

impl Host {
    /// A host without configuration.
    pub async fn without_configuration() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let mut cfg = relay_config("host-1");
        // So many that the part of a host that has just started suffices.
        cfg.budget.extra = 1e9;
        let relay = Arc::new(Relay::new(cfg, PlatformWire).unwrap());
        tokio::spawn(inbound::accept(relay.clone(), listener));
        Self { relay, addr }
    }

    /// A host with the fixture's configuration and these servers; the first one is asked first.
    pub async fn with_servers(servers: &[&Server]) -> Self {
        let host = Self::without_configuration().await;
        host.relay.set_configuration(configuration(), "test");
        host.set_servers(servers);
        host
    }

    /// Lists the backend servers. Only the first one stands in the host's data centre and is preferred.
    pub fn set_servers(&self, servers: &[&Server]) {
        let items = servers.iter().enumerate().map(|(i, s)| Backend {
            id: s.id.clone(),
            service: "app".into(),
            addr: s.addr.to_string(),
            data_centre: if i == 0 { "a".into() } else { "b".into() },
            slots: 6,
            ..Backend::default()
        });
        let list = Backends { revision: 1, items: items.collect(), ..Backends::default() };
        self.relay.update_backends(BackendsUpdate::List(list), None, "test");
    }

    /// Lists one more server, which stands in the host's data centre.
    pub fn add_server(&self, server: &Server) {
        let put = Backend {
            id: server.id.clone(),
            service: "app".into(),
            addr: server.addr.to_string(),
            data_centre: "a".into(),
            slots: 6,
            ..Backend::default()
        };
        let update = BackendsUpdate::Changes { revision: rev(2), puts: vec![put], removed: Vec::new() };
        self.relay.update_backends(update, None, "test");
    }

    /// Connects as a caller.
    pub async fn connect(&self) -> Caller {
        Caller(TcpStream::connect(self.addr).await.unwrap())
    }

    /// Sends one request on a connection of its own and reads the answer to its end.
    pub async fn call(&self, request: &str) -> String {
        let mut caller = self.connect().await;
        caller.send(request).await;
        caller.answer().await
    }
}

/// A caller's connection.
pub struct Caller(TcpStream);

impl Caller {
    /// Sends raw bytes.
    pub async fn send(&mut self, bytes: &str) {
        self.0.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Reads one answer: to the end of its body, or to the end of the connection.
    pub async fn answer(&mut self) -> String {
        let mut buf = Vec::new();
        let reading = async {
            loop {
                let text = String::from_utf8_lossy(&buf).into_owned();
                if is_complete(&text) || !matches!(self.0.read_buf(&mut buf).await, Ok(n) if n > 0) {
                    return text;
                }
            }
        };
        timeout(PATIENCE, reading).await.expect("an answer comes")
    }
}

/// Whether a raw answer is complete.
pub fn is_complete(text: &str) -> bool {
    let Some((_, body)) = text.split_once("\r\n\r\n") else { return false };
    match header(text, "content-length") {
        Some(length) => body.len() >= length.parse().unwrap(),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// The events' data in a raw answer.
pub fn events(text: &str) -> Vec<&str> {
    text.lines().filter_map(|l| l.strip_prefix("data: ")).collect()
}

/// Status of a raw answer.
pub fn status(text: &str) -> u16 {
    text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// A request under a path with the fixture's key.
pub fn request(path: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r1\r\nKey: k1\r\n");
    format!("{head}Request-Deadline: 3000\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Waits until something holds.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, waiting).await.unwrap_or_else(|_| panic!("{what} did not come about"));
}
