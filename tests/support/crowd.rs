//! A relay host as a process with small limits, beside a crowd of callers that keep what they sent open.

use std::{
    collections::HashSet,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, LazyLock,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::{Instant, timeout},
};

use crate::store::Store;

/// Memory of the host's machine, in MiB.
pub const MEMORY_MB: usize = 64;
/// Descriptors of the host's process, and those of them that are reserved for files.
pub const MAX_FDS: usize = 700;
const RESERVED_FDS: usize = 200;
/// Limits of a caller's request.
pub const MAX_BODY_BYTES: usize = 4 << 20;
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Size of a long answer of the backend server.
const LONG_ANSWER_BYTES: usize = 1 << 20;
/// How long a crowd stays after it has sent what it sends at most.
const STAY: Duration = Duration::from_millis(1_200);
/// Longest time for a crowd to send, which a host that reads slowly may not reach.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval between two looks at the process.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of each wait, reached only when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
/// Bytes that crowds send.
static FILL: LazyLock<Vec<u8>> = LazyLock::new(|| vec![b'x'; MAX_BODY_BYTES]);

/// What was seen of the process at its worst.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident bytes and those that its sockets have received and it has not read.
    pub memory: usize,
    /// The part of them that was not read.
    pub unread: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// A host with a store and a backend server in this process.
pub struct Host {
    child: Child,
    ip: IpAddr,
    settings: PathBuf,
    _server: JoinSet<()>,
    _guard: MutexGuard<'static, ()>,
}

impl Host {
    /// Starts a host and waits until it serves.
    pub async fn start() -> Self {
        let guard = ONE_AT_A_TIME.lock().await;
        let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 210, (std::process::id() % 250) as u8, number).into();
        let store = Store::start().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        store.put("config", "main", configuration());
        store.put("servers", "server-1", crate::store::server(listener.local_addr().unwrap(), "ready"));
        let mut server = JoinSet::new();
        server.spawn(serve_answers(listener));
        let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{ip}.json"));
        fs::write(&settings, settings_json(ip, store.addr()).to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_cranberrytally"))
            .args(["relay", "-c"])
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let host = Self { child, ip, settings, _server: server, _guard: guard };
        host.wait_until_served().await;
        host
    }

    async fn wait_until_served(&self) {
        let serving = async {
            while self.call("/safe/x", 10).await != Some(200) {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, serving).await.expect("the host did not serve");
    }

    /// Address of one of its ports.
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Sends one whole request with a body of this size; returns the status.
    pub async fn call(&self, path: &str, body: usize) -> Option<u16> {
        let call = async {
            let mut stream = TcpStream::connect(self.at(CALLERS)).await.ok()?;
            stream.write_all(head(path, &format!("Content-Length: {body}")).as_bytes()).await.ok()?;
            stream.write_all(&FILL[..body]).await.ok()?;
            read_status(&mut stream).await
        };
        timeout(WAIT_TIMEOUT, call).await.ok().flatten()
    }

    /// Lets a crowd of this many connections to a port send, and looks at the process meanwhile. Fails if it ends, if it
    /// exceeds its machine's memory or its descriptors, or if it does not answer an ordinary request while the crowd
    /// stays or afterwards. Returns the answers that the crowd had.
    pub async fn bear(&mut self, count: usize, port: u16, script: &Script) -> Vec<Option<u16>> {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicUsize::new(0));
        let mut crowd = JoinSet::new();
        for _ in 0..count {
            crowd.spawn(play(self.at(port), script.clone(), sent.clone(), stop.clone()));
        }
        let (mut peak, began) = (Peak::default(), Instant::now());
        while sent.load(Ordering::Relaxed) < count && began.elapsed() < SEND_TIMEOUT {
            self.look(&mut peak).await;
        }
        let stays = Instant::now();
        while stays.elapsed() < STAY {
            self.look(&mut peak).await;
        }
        let beside = self.call("/safe/x", 100).await;
        self.look(&mut peak).await;
        stop.store(true, Ordering::Relaxed);
        let answers = crowd.join_all().await;
        let afterwards = self.call("/safe/x", 100).await;

        println!("{peak:?}, {:?}", tally(&answers));
        assert!(self.child.try_wait().unwrap().is_none(), "the process ended");
        assert!(peak.memory <= MEMORY_MB << 20, "{} MiB: {peak:?}", peak.memory >> 20);
        assert!(peak.descriptors <= MAX_FDS - RESERVED_FDS, "{peak:?}");
        assert_eq!((beside, afterwards), (Some(200), Some(200)), "ordinary requests");
        answers
    }

    async fn look(&mut self, peak: &mut Peak) {
        assert!(self.child.try_wait().unwrap().is_none(), "the process ended");
        let (sockets, descriptors) = self.descriptors();
        let (resident, unread) = (self.resident(), unread(&sockets));
        peak.memory = peak.memory.max(resident + unread);
        peak.unread = peak.unread.max(unread);
        peak.descriptors = peak.descriptors.max(descriptors);
        tokio::time::sleep(LOOK_INTERVAL).await;
    }

    fn resident(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()?.parse::<usize>().ok()).unwrap_or(0) << 10
    }

    /// The sockets of the process by their inode, and the number of its descriptors.
    fn descriptors(&self) -> (HashSet<String>, usize) {
        let links = fs::read_dir(format!("/proc/{}/fd", self.child.id())).into_iter().flatten().flatten();
        let targets: Vec<_> = links.map(|l| fs::read_link(l.path()).unwrap_or_default()).collect();
        let socket =
            |t: &PathBuf| Some(t.to_str()?.strip_prefix("socket:[")?.trim_end_matches(']').to_owned());
        (targets.iter().filter_map(socket).collect(), targets.len())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Bytes that sockets have received and their process has not read.
pub fn unread(sockets: &HashSet<String>) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let (queues, state, inode) = (fields.get(4)?, fields.get(3)?, *fields.get(9)?);
        // The queue of a listening socket counts connections.
        if *state == "0A" || !sockets.contains(inode) {
            return None;
        }
        usize::from_str_radix(queues.split_once(':')?.1, 16).ok()
    };
    table.lines().skip(1).filter_map(queued).sum()
}

/// Numbers of answers by status.
fn tally(answers: &[Option<u16>]) -> std::collections::BTreeMap<Option<u16>, usize> {
    answers.iter().fold(Default::default(), |mut all, status| {
        *all.entry(*status).or_insert(0) += 1;
        all
    })
}

/// What each connection of a crowd sends.
#[derive(Clone, Debug)]
pub struct Script {
    /// Bytes sent first.
    pub head: String,
    /// What follows them, again and again.
    pub unit: Arc<[u8]>,
    /// How often, at most.
    pub times: usize,
    /// Pause after each.
    pub pause: Duration,
}

impl Script {
    /// Sends these bytes once.
    pub fn once(head: impl Into<String>) -> Self {
        Self { head: head.into(), unit: Arc::new([]), times: 0, pause: Duration::ZERO }
    }

    /// Sends a body in units after a head.
    pub fn body(path: &str, field: &str, unit: impl Into<Arc<[u8]>>, times: usize) -> Self {
        Self { head: head(path, field), unit: unit.into(), times, pause: Duration::ZERO }
    }

    /// Sends all but the last byte of a body of a stated length.
    pub fn short_of_end(path: &str, bytes: usize) -> Self {
        Self::body(path, &format!("Content-Length: {bytes}"), &FILL[1..bytes], 1)
    }
}

/// A chunk of this many bytes.
pub fn chunk(bytes: usize) -> Vec<u8> {
    [format!("{bytes:x}\r\n").as_bytes(), &FILL[..bytes], b"\r\n"].concat()
}

/// Head of a request.
pub fn head(path: &str, field: &str) -> String {
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r1\r\nKey: {}\r\n", crate::KEY);
    format!("{head}Request-Deadline: 20000\r\n{field}\r\n\r\n")
}

/// Plays one connection of a crowd; returns the status of the answer if there was one.
async fn play(at: SocketAddr, script: Script, sent: Arc<AtomicUsize>, stop: Arc<AtomicBool>) -> Option<u16> {
    let mut stream = match timeout(WAIT_TIMEOUT, TcpStream::connect(at)).await {
        Ok(Ok(stream)) => stream,
        _ => {
            sent.fetch_add(1, Ordering::Relaxed);
            return None;
        }
    };
    let is_stopped = async || {
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    };
    let sending = async {
        stream.write_all(script.head.as_bytes()).await?;
        for _ in 0..script.times {
            stream.write_all(&script.unit).await?;
            if script.pause > Duration::ZERO {
                tokio::time::sleep(script.pause).await;
            }
        }
        Ok::<_, std::io::Error>(())
    };
    tokio::select! {
        _ = sending => {}
        () = is_stopped() => {}
    }
    sent.fetch_add(1, Ordering::Relaxed);
    is_stopped().await;
    timeout(LOOK_INTERVAL, read_status(&mut stream)).await.ok().flatten()
}

async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut buf = Vec::new();
    while !buf.windows(4).any(|w| w == b"\r\n\r\n") {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    String::from_utf8_lossy(&buf).split(' ').nth(1)?.parse().ok()
}

/// Ports of a host.
pub const CALLERS: u16 = 8_227;
pub const READINESS: u16 = 8_220;
pub const DIRECTORY: u16 = 8_224;
pub const METRICS: u16 = 9_464;
pub const PEERS: u16 = 7_340;

fn settings_json(ip: IpAddr, store: SocketAddr) -> Value {
    let at = |port: u16| SocketAddr::new(ip, port).to_string();
    json!({ "node": "host-1", "zone": "a", "internalPortRange": [PEERS, PEERS + 15], "seeds": [],
        "listen": { "front": at(CALLERS), "ready": at(READINESS), "directory": at(DIRECTORY) },
        "limits": { "memoryMb": MEMORY_MB, "maxFds": MAX_FDS },
        "bounds": { "graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 56 },
        "platformConfig": { "address": store.to_string() } })
}

fn configuration() -> Value {
    let mut configuration = crate::store::configuration(1, false);
    configuration["limits"] = json!({ "maxHeaderBytes": MAX_HEAD_BYTES, "maxBodyBytes": MAX_BODY_BYTES,
        "headerTimeoutMs": 10_000, "idleTimeoutMs": 15_000 });
    configuration["services"][0]["maxConnections"] = 1_000.into();
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = 20_000.into();
    }
    configuration
}

/// Serves requests as a sound backend server; those for a path with `long` get a long answer.
async fn serve_answers(listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(async move {
            let mut stream = stream;
            while let Some((path, id)) = read_request(&mut stream).await {
                let bytes = if path.contains("long") { LONG_ANSWER_BYTES } else { 2 };
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s1\r\nContent-Length: {bytes}\r\n\r\n"
                );
                if stream.write_all(head.as_bytes()).await.is_err() || stream.write_all(&FILL[..bytes]).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Reads a request and drops its body; returns its path and identifier.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let field = |name: &str| {
        let line = head.lines().find(|l| l.to_ascii_lowercase().starts_with(name))?;
        Some(line.split_once(':')?.1.trim().to_owned())
    };
    let length: usize = field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut left = length.saturating_sub(buf.len() - end) as u64;
    let mut dropped = vec![0; 64 << 10];
    while left > 0 {
        let read = stream.take(left).read(&mut dropped).await.ok()?;
        if read == 0 {
            return None;
        }
        left -= read as u64;
    }
    Some((head.split(' ').nth(1)?.to_owned(), field("attempt-id").unwrap_or_default()))
}
