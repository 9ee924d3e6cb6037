//! A request crashes each server that begins to run it and comes again and again, from a caller that does not wait for its
//! answer. Servers that do not look for the end of a connection begin to run it all the same.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Caller, Case, Host, Record, Rng, Route, Store, configuration, free_addresses, read_message, server_spec,
};

const HOSTS: usize = 3;
const SERVERS: u32 = 9;
/// One server in this many runs requests whose connection is closed; the others drop them.
const GOES_ON_ONE_IN: u32 = 3;
/// Path of the request that crashes servers.
const HARMFUL: &str = "/tag/harmful";
/// Time from one coming of that request to the next, and how often it comes.
const HARMFUL_GAP: Duration = Duration::from_millis(1_500);
const COMINGS: u32 = 50;
/// Time after which its caller leaves (`give_up`: half of the objective), and the deadline of those who stay.
const LEAVES_AFTER: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time in which servers read its prompt; then they begin to run it.
const PREFILL: Duration = Duration::from_millis(300);
/// Time after which a crashed server is back, and after which its entry lapses (three heartbeats of 1.2 s).
const BACK_AFTER: Duration = Duration::from_secs(3);
const LAPSE: Duration = Duration::from_millis(3_600);
/// `contactMs`.
const CONTACT_MS: u128 = 3_000;
/// Retries that the rule allows.
const ALLOWED: usize = 3;
const WORK: Duration = Duration::from_millis(60);
/// Clients that send other requests, and the pause between two of one client.
const CALLERS: u32 = 18;
const PAUSE: Duration = Duration::from_millis(100);

/// What is shared by all servers.
struct World {
    store: Store,
    record: Record,
    started: AtomicU32,
    /// Times at which the harmful request reached servers, and at which servers crashed.
    harmful: Mutex<Vec<u128>>,
    crashes: Mutex<Vec<u128>>,
    /// Other requests that a server ran when it crashed.
    lost: AtomicU32,
}

/// One start of a server.
struct Server {
    name: String,
    /// Whether it runs a request whose connection is closed.
    goes_on: bool,
    world: Arc<World>,
    is_down: AtomicBool,
    /// `None` once it has crashed.
    listener: Mutex<Option<TcpListener>>,
    streams: Mutex<Vec<TcpStream>>,
    running: AtomicU32,
}

impl Server {
    fn start(world: &Arc<World>, goes_on: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let name = format!("i-{}", world.started.fetch_add(1, Ordering::Relaxed));
        world.store.put("servers", &name, &server_spec("llm-tally", addr, 6, "ready"));
        listener.set_nonblocking(true).expect("a mode");
        let server = Arc::new(Self {
            name,
            goes_on,
            world: world.clone(),
            is_down: AtomicBool::new(false),
            listener: Mutex::new(Some(listener)),
            streams: Mutex::default(),
            running: AtomicU32::new(0),
        });
        thread::spawn(move || {
            loop {
                let accepted = match &*server.listener.lock().unwrap() {
                    Some(listener) => listener.accept(),
                    None => return,
                };
                match accepted {
                    Ok((stream, _)) => server.clone().take(stream),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn take(self: Arc<Self>, stream: TcpStream) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        if let Ok(copy) = stream.try_clone() {
            self.streams.lock().unwrap().push(copy);
        }
        thread::spawn(move || drop(self.serve(stream)));
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while let Some(request) = read_message(&mut reader, false)? {
            let id = request.header("attempt-id").to_owned();
            if self.is_down.load(Ordering::Relaxed) {
                return Ok(());
            }
            if request.header("expected-instance") != self.name {
                let head = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n";
                writer
                    .write_all(format!("{head}Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
                continue;
            }
            if request.second() == HARMFUL {
                self.world.harmful.lock().unwrap().push(self.world.record.ms());
                self.world.record.line(&format!("server {} has {id}, harmful", self.name));
                if !self.goes_on && is_closed_within(&writer, PREFILL) {
                    self.world.record.line(&format!("server {} drops {id}", self.name));
                    return Ok(());
                }
                if self.goes_on {
                    thread::sleep(PREFILL);
                }
                self.world.record.line(&format!("server {} begins to run {id} and crashes", self.name));
                self.world.crashes.lock().unwrap().push(self.world.record.ms());
                self.crash();
                return Ok(());
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            thread::sleep(WORK);
            self.running.fetch_sub(1, Ordering::Relaxed);
            if self.is_down.load(Ordering::Relaxed) {
                return Ok(());
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\nKeep-Alive: timeout=20\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let event = "id: 1\ndata: tag\n\n";
            let body = format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
            writer.write_all(format!("{head}{body}").as_bytes())?;
        }
        Ok(())
    }

    /// Ends with all connections; another start takes its place some seconds later.
    fn crash(&self) {
        if self.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.world.lost.fetch_add(self.running.load(Ordering::Relaxed), Ordering::Relaxed);
        // As at the end of a process, nothing listens any more when the connections end.
        drop(self.listener.lock().unwrap().take());
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (world, name, goes_on) = (self.world.clone(), self.name.clone(), self.goes_on);
        thread::spawn(move || {
            thread::sleep(BACK_AFTER);
            Self::start(&world, goes_on);
            thread::sleep(LAPSE - BACK_AFTER);
            world.store.remove("servers", &name);
        });
    }
}

/// Whether a connection is closed within a time.
fn is_closed_within(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let _ = stream.set_nonblocking(true);
    let mut is_closed = false;
    while !is_closed && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
        is_closed = match stream.peek(&mut [0]) {
            Ok(bytes) => bytes == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        };
    }
    let _ = stream.set_nonblocking(false);
    is_closed
}

/// Sends a request on a new connection, and waits for its answer for a time at most; returns the status.
fn call(host: SocketAddr, path: &str, id: &str, wait: Duration) -> String {
    let exchange = || -> std::io::Result<Option<String>> {
        let mut caller = Caller::connect(host)?;
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nKey: key-1\r\nRequest-Deadline: {}\r\n\
             Content-Length: 3\r\n\r\ntag",
            DEADLINE.as_millis()
        );
        caller.reader().get_ref().set_read_timeout(Some(wait))?;
        caller.send(text.as_bytes())?;
        Ok(caller.read()?.map(|response| response.second().to_owned()))
    };
    match exchange() {
        Ok(status) => status.unwrap_or_else(|| "closed".into()),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => "left".into(),
        Err(e) => e.to_string(),
    }
}

fn run() -> std::io::Result<Option<bool>> {
    let case = Case::from_env()?;
    let (store, store_addr) = Store::start();
    let world = Arc::new(World {
        store: store.clone(),
        record: case.record.clone(),
        started: AtomicU32::new(0),
        harmful: Mutex::default(),
        crashes: Mutex::default(),
        lost: AtomicU32::new(0),
    });
    for n in 0..SERVERS {
        Server::start(&world, n.is_multiple_of(GOES_ON_ONE_IN));
    }
    let route = Route {
        prefix: "/tag/",
        kind: "stream",
        service: "llm-tally",
        timeout_ms: 3_000,
        objective_ms: 400,
        attempts: 2,
        resumes: true,
    };
    store.put("config", "main", &configuration(1, &[route], &[("llm-tally", 370)]));
    let ips = free_addresses(HOSTS);
    let hosts = (0..HOSTS).map(|n| Host::start(&case.program, &case.dir, ips[n], n, &ips, store_addr));
    let mut hosts: Vec<_> = hosts.collect();
    if !hosts.iter().all(Host::await_ready) {
        case.record.line("the hosts did not become ready");
        return Ok(None);
    }
    thread::sleep(Duration::from_secs(4));
    let addrs: Vec<_> = hosts.iter().map(Host::callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
    let callers = (0..CALLERS).map(|n| {
        let (stop, served, addr) = (stop.clone(), served.clone(), addrs[n as usize % HOSTS]);
        thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let status = call(addr, &format!("/tag/{n}-{number}"), &format!("c{n}-{number}"), DEADLINE);
                *served.lock().unwrap().entry(status).or_default() += 1;
                thread::sleep(PAUSE);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut rng = Rng::new(3);
    let wait = if case.trouble { LEAVES_AFTER } else { DEADLINE };
    let began = Instant::now();
    for n in 0..COMINGS {
        thread::sleep((HARMFUL_GAP * n).saturating_sub(began.elapsed()));
        let host = (rng.draw() * HOSTS as f64) as usize;
        case.record.line(&format!("client harmful-{n} sent to host {host}"));
        let status = call(addrs[host], HARMFUL, &format!("harmful-{n}"), wait);
        case.record.line(&format!("client harmful-{n} {status}"));
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    if hosts.iter_mut().any(Host::has_ended) {
        case.record.line("a host ended by itself");
        return Ok(None);
    }
    let (harmful, crashes) = (world.harmful.lock().unwrap(), world.crashes.lock().unwrap());
    let Some(third) = crashes.get(2) else {
        case.record.line("fewer than three servers crashed");
        return Ok(None);
    };
    // The hosts are in touch all the while.
    let counted = harmful.iter().filter(|at| **at > third + CONTACT_MS).count();
    let text = format!(
        "servers crashed {}, the third at {third} ms; reached servers later than {CONTACT_MS} ms after it: {counted}, allowed \
         {ALLOWED}; other requests that crashed servers ran: {}; other requests by status: {:?}",
        crashes.len(),
        world.lost.load(Ordering::Relaxed),
        served.lock().unwrap()
    );
    case.record.line(&text);
    println!("{text}");
    Ok(Some(counted <= ALLOWED))
}

fn main() -> ExitCode {
    match run() {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(1),
        Ok(None) => ExitCode::from(2),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
