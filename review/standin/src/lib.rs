//! Stand-ins for the cases of the review: the platform's store, hosts as processes, and HTTP helpers. Standard library only.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const CALLER_PORT: u16 = 8_227;
pub const READY_PORT: u16 = 8_220;
pub const CONTROL_PORT: u16 = 8_229;
pub const DIRECTORY_PORT: u16 = 8_224;
pub const PEER_PORT: u16 = 7_340;
const METRICS_PORT: u16 = 9_464;

/// Generator of pseudo-random numbers with a fixed seed.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        let mut rng = Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        for _ in 0..20 {
            rng.draw();
        }
        rng
    }

    /// A number in `0..1`.
    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The record of a run: lines with milliseconds since its start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn ms(&self) -> u128 {
        self.0.0.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let at = self.ms();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:>7} {text}");
    }
}

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Second word of the first line: the target of a request, the status of a response.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let text = line.trim_end();
        if message.first.is_empty() {
            message.first = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a message with a length or in chunks, or up to the end of the connection if `to_end` is set.
pub fn read_message(from: &mut impl BufRead, to_end: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else { return Ok(None) };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = read_chunk(from)? {
            message.body.extend(chunk);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
    } else if to_end {
        from.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads a chunk; `None` after the last one.
pub fn read_chunk(from: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length + 2];
    from.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Accepts connections on a listener, each in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                handle(stream);
            });
        }
    });
}

#[derive(Default)]
struct Objects {
    /// Whether calls get no answer and are not done.
    is_down: bool,
    revision: u64,
    specs: BTreeMap<(String, String), (u64, String)>,
    /// Kind, name, revision and spec of each change; no spec for a removal.
    log: Vec<(String, String, u64, Option<String>)>,
}

/// Stand-in for the platform's store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Objects>, Condvar)>);

impl Store {
    /// Starts a store; returns it with its address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 1;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let served = store.clone();
        serve(listener, move |stream| drop(served.answer_calls(stream, &[])));
        (store, addr)
    }

    /// Another address of the store, for hosts on another path: they see other addresses of the servers, which stand for that
    /// path. Each pair is an address and what replaces it.
    pub fn also_at(&self, replaced: Vec<(SocketAddr, SocketAddr)>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let served = self.clone();
        serve(listener, move |stream| drop(served.answer_calls(stream, &replaced)));
        addr
    }

    /// Sets whether the store is silent: calls are neither done nor answered, and watches that wait go on waiting.
    pub fn set_down(&self, is_down: bool) {
        self.0.0.lock().unwrap().is_down = is_down;
        self.0.1.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.0.0.lock().unwrap().is_down
    }

    pub fn contains(&self, kind: &str, name: &str) -> bool {
        self.0.0.lock().unwrap().specs.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write(kind, name, Some(spec.to_owned()));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.write(kind, name, None);
    }

    fn write(&self, kind: &str, name: &str, spec: Option<String>) {
        let mut objects = self.0.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_owned(), name.to_owned());
        match &spec {
            Some(spec) => drop(objects.specs.insert(key, (revision, spec.clone()))),
            None => drop(objects.specs.remove(&key)),
        }
        objects.log.push((kind.to_owned(), name.to_owned(), revision, spec));
        self.0.1.notify_all();
    }

    fn answer_calls(&self, stream: TcpStream, replaced: &[(SocketAddr, SocketAddr)]) -> io::Result<()> {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while let Some(call) = read_message(&mut reader, false)? {
            if self.is_down() {
                while self.is_down() {
                    thread::sleep(Duration::from_millis(5));
                }
                return Ok(());
            }
            let (status, mut body) = self.answer(&call);
            for (addr, other) in replaced {
                body = body.replace(&format!("\"{addr}\""), &format!("\"{other}\""));
            }
            let head = format!("HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n");
            writer.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.second().split_once('?').unwrap_or((call.second(), ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let number = |key: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        if call.first.starts_with("GET ") {
            return match number("watch") {
                Some(after) => (200, self.watch(kind, after, number("waitMs").unwrap_or(0))),
                None => (200, self.list(kind)),
            };
        }
        // Hosts write entries of their own kind: the spec is kept as it is.
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let named = body.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let name = if name.is_empty() { named.unwrap_or("") } else { name }.to_owned();
        let exists = self.0.0.lock().unwrap().specs.contains_key(&(kind.to_owned(), name.clone()));
        match (call.first.starts_with("PUT "), exists) {
            (true, false) => return (404, "{}".into()),
            (false, true) => return (409, "{}".into()),
            _ => {}
        }
        let spec = body.split_once("\"spec\":").map(|(_, rest)| rest[..rest.len() - 1].to_owned());
        self.write(kind, &name, spec.or(Some("{}".into())));
        (200, "{}".into())
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.0.0.lock().unwrap();
        let of_kind = objects.specs.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<_> = of_kind.map(|((_, name), (rev, spec))| object(name, *rev, spec)).collect();
        format!("{{\"items\":[{}],\"hasMore\":false,\"currentRev\":{}}}", items.join(","), objects.revision)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.0.0.lock().unwrap();
        loop {
            let news = objects.log.iter().filter(|(k, _, revision, _)| k == kind && *revision > after);
            let events: Vec<_> = news
                .map(|(_, name, rev, spec)| {
                    let object = object(name, *rev, spec.as_deref().unwrap_or("{}"));
                    format!("{{\"object\":{object},\"deleted\":{}}}", spec.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !objects.is_down && (!events.is_empty() || left.is_zero()) {
                return format!("{{\"events\":[{}],\"currentRev\":{}}}", events.join(","), objects.revision);
            }
            let wait = left.max(Duration::from_millis(5));
            objects = self.0.1.wait_timeout(objects, wait).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deletionPending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Spec of a server's entry.
pub fn server_spec(service: &str, addr: SocketAddr, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"poa-a\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1}}"
    )
}

/// A route of the configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub objective_ms: u32,
    pub attempts: u32,
    pub resumes: bool,
}

/// Spec of a configuration with one tenant, whose key is `key-1`.
pub fn configuration(version: u64, routes: &[Route<'_>], services: &[(&str, u32)]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"site.example\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"timeoutMs\":{},\
                 \"targetLatencyMs\":{},\"priority\":1,\"service\":\"{}\",\"maxAttempts\":{},\"authExempt\":false,\
                 \"sessionAffinity\":false,\"streamResume\":{},\"targetGapMs\":300}}",
                r.prefix.trim_matches('/'),
                r.prefix,
                r.kind,
                r.timeout_ms,
                r.objective_ms,
                r.service,
                r.attempts,
                r.resumes
            )
        })
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|(name, connections)| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":{connections}}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":10000}},\
         \"tenants\":[{{\"name\":\"t1\",\"apiKeys\":[\"key-1\"]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// A path to a server that can be cut: open connections stand still and new ones are refused until the cut ends, when what was
/// held up goes on.
#[derive(Clone)]
pub struct ServerPath(Arc<(Mutex<bool>, Condvar)>);

impl ServerPath {
    /// Starts a path to a server; returns it with its address.
    pub fn start(server: SocketAddr) -> (Self, SocketAddr) {
        let path = Self(Arc::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let served = path.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if served.is_cut() {
                    listener = None;
                    served.await_open();
                }
                if listener.is_none() {
                    listener = TcpListener::bind(addr).ok();
                }
                let Some(open) = &listener else { continue };
                let _ = open.set_nonblocking(true);
                match open.accept() {
                    Ok((stream, _)) => served.forward(stream, server),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        (path, addr)
    }

    pub fn set_cut(&self, is_cut: bool) {
        *self.0.0.lock().unwrap() = is_cut;
        self.0.1.notify_all();
    }

    fn is_cut(&self) -> bool {
        *self.0.0.lock().unwrap()
    }

    fn await_open(&self) {
        let mut is_cut = self.0.0.lock().unwrap();
        while *is_cut {
            is_cut = self.0.1.wait(is_cut).unwrap();
        }
    }

    fn forward(&self, stream: TcpStream, server: SocketAddr) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let Ok(to) = TcpStream::connect_timeout(&server, Duration::from_secs(1)) else { return };
        let _ = to.set_nodelay(true);
        let (Ok(stream2), Ok(to2)) = (stream.try_clone(), to.try_clone()) else { return };
        let (path, path2) = (self.clone(), self.clone());
        thread::spawn(move || path.copy(stream, to));
        thread::spawn(move || path2.copy(to2, stream2));
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 4096];
        while let Ok(n) = from.read(&mut buf) {
            self.await_open();
            if n == 0 || to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}

/// Identifiers of the processes that run, so that they can be ended when a case takes too long.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a case that takes longer than it may, with all its processes.
fn watch_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
        }
        std::process::exit(2);
    });
}

/// A host of the system as a process. It ends when this is dropped.
pub struct Host {
    pub ip: Ipv4Addr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Starts a host with the command of the deploy file; seeds are the first three addresses of `net`.
    pub fn start(
        program: &Path,
        dir: &Path,
        ip: Ipv4Addr,
        n: usize,
        hosts: &[Ipv4Addr],
        store: SocketAddr,
    ) -> Self {
        let at = |port: u16| format!("{ip}:{port}");
        let seeds: Vec<_> = hosts.iter().take(3).map(|seed| format!("\"{seed}:{CONTROL_PORT}\"")).collect();
        let text = format!(
            "{{\"node\":\"front-{n}\",\"role\":\"relay\",\"machineClass\":\"front\",\"serves\":[\"front\",\"control\",\
             \"directory\"],\"ip\":\"{ip}\",\"zone\":\"poa-a\",\"region\":\"poa\",\"zones\":{{\"poa-a\":\"poa\"}},\
             \"listen\":{{\"front\":\"{}\",\"ready\":\"{}\",\"control\":\"{}\",\"directory\":\"{}\"}},\
             \"internalPortRange\":[{PEER_PORT},{}],\"seeds\":[{}],\"bootstrap\":true,\"faultDomainMember\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"directory\",\"heartbeatMs\":1200,\
             \"bounds\":{{\"seedLagS\":3,\"addrReuseS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\
             \"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,\
             \"strictRevocation\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\
             \"retryBudgetExtra\":56,\"recoveryS\":12,\"passMs\":120,\"reuseWindowS\":10,\"capFactor\":2,\"ttl_max_s\":5}},\
             \"platformConfig\":{{\"address\":\"{store}\",\"form\":\"objects\",\"writesPerS\":400,\"readsPerS\":2000,\
             \"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}}}",
            at(CALLER_PORT),
            at(READY_PORT),
            at(CONTROL_PORT),
            at(DIRECTORY_PORT),
            PEER_PORT + 15,
            seeds.join(",")
        );
        let (settings, log) = (dir.join(format!("host-{n}.json")), dir.join(format!("host-{n}.log")));
        std::fs::write(&settings, text).expect("settings are written");
        let mut host = Self { ip, program: program.to_owned(), settings, log, child: None };
        host.start_again();
        host
    }

    /// Starts the process, after it was ended.
    pub fn start_again(&mut self) {
        let out = File::options().create(true).append(true).open(&self.log).expect("a log");
        self.child = Command::new(&self.program)
            .arg("relay")
            .env("CRANBERRYTALLY_NODE_FILE", &self.settings)
            .stdout(Stdio::from(out.try_clone().expect("a log")))
            .stderr(Stdio::from(out))
            .spawn()
            .ok();
        RUNNING.lock().unwrap().extend(self.pid());
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLER_PORT))
    }

    /// Identifier of the process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let ready = || -> io::Result<bool> {
            let addr = SocketAddr::from((self.ip, READY_PORT));
            let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.is_some_and(|m| m.second() == "200"))
        };
        ready().unwrap_or(false)
    }

    /// Waits until the host says that it is ready, ten seconds at most.
    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        let _ = (std::fs::remove_file(&self.settings), std::fs::remove_file(&self.log));
    }
}

/// Loopback addresses on which the ports of a host are free.
pub fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    let first = 20 + (std::process::id() % 200) as u8;
    let nets = (0..200u8).map(|n| 20 + (first - 20 + n) % 200);
    for net in nets {
        let ips: Vec<_> = (1..=count as u8).map(|n| Ipv4Addr::new(127, net, 77, n)).collect();
        let ports = [CALLER_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT, METRICS_PORT];
        if ips.iter().all(|ip| ports.iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())) {
            return ips;
        }
    }
    panic!("no free loopback addresses")
}

/// Environment of a case: the program, the folder of the case, and a temporary folder that is removed at the end.
pub struct Case {
    pub program: PathBuf,
    pub dir: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

impl Case {
    /// Reads `PROGRAM` and `RECORD` (paths) and `TROUBLE` (0: without the disruption) from the environment.
    pub fn from_env() -> io::Result<Self> {
        let path = |name: &str| std::env::var_os(name).map(PathBuf::from).ok_or(io::ErrorKind::NotFound);
        let program = path("PROGRAM")?;
        if !program.is_file() {
            return Err(io::ErrorKind::NotFound.into());
        }
        watch_time(Duration::from_secs(116));
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        Ok(Self { program, dir, record: Record::create(&path("RECORD")?)?, trouble })
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A client's connection.
pub struct Caller {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Caller {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self { reader: BufReader::new(writer.try_clone()?), writer })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    pub fn read(&mut self) -> io::Result<Option<Message>> {
        read_message(&mut self.reader, false)
    }

    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }
}
