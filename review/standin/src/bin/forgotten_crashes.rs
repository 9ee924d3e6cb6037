//! A request crashes each server that begins to run it and comes again and again. The hosts have found it out and refuse it; then
//! all of them are killed at the same moment, and find it out anew.

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
/// Path of the request that crashes servers; it has no body.
const HARMFUL: &str = "/card/harmful";
/// Time from one coming of that request to the next.
const HARMFUL_GAP: Duration = Duration::from_secs(4);
/// Comings before the first kill of all hosts, from one kill to the next, and in all.
const BEFORE_KILL: u32 = 4;
const KILL_EVERY: u32 = 4;
const COMINGS: u32 = 13;
/// Time from a coming to the kill of all hosts, and from there to their start: the next coming is 3.3 s after the start.
const KILL_AFTER: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(500);
/// Time after which a crashed server is back, and after which its entry lapses (three heartbeats of 1.2 s).
const BACK_AFTER: Duration = Duration::from_secs(3);
const LAPSE: Duration = Duration::from_millis(3_600);
/// `contactMs`.
const CONTACT_MS: u128 = 3_000;
/// Retries that the rule allows.
const ALLOWED: usize = 3;
const WORK: Duration = Duration::from_millis(30);
/// Clients that send other requests, and the pause between two of one client.
const CALLERS: u32 = 9;
const PAUSE: Duration = Duration::from_millis(300);

/// What is shared by all servers.
struct World {
    store: Store,
    record: Record,
    started: AtomicU32,
    /// Arrivals of the harmful request at servers, with their times.
    harmful: Mutex<Vec<u128>>,
    /// Other requests that a server ran when it crashed.
    lost: AtomicU32,
}

/// One start of a server.
struct Server {
    name: String,
    world: Arc<World>,
    is_down: AtomicBool,
    /// `None` once it has crashed.
    listener: Mutex<Option<TcpListener>>,
    streams: Mutex<Vec<TcpStream>>,
    running: AtomicU32,
}

impl Server {
    fn start(world: &Arc<World>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let name = format!("i-{}", world.started.fetch_add(1, Ordering::Relaxed));
        world.store.put("servers", &name, &server_spec("app-api", addr, 6, "ready"));
        listener.set_nonblocking(true).expect("a mode");
        let server = Arc::new(Self {
            name,
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
                self.world.record.line(&format!("server {} runs {id}, harmful, and crashes", self.name));
                thread::sleep(Duration::from_millis(5));
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
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\nKeep-Alive: timeout=20\r\n"
            );
            writer.write_all(format!("{head}Content-Length: 4\r\n\r\ncard").as_bytes())?;
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
        let (world, name) = (self.world.clone(), self.name.clone());
        thread::spawn(move || {
            thread::sleep(BACK_AFTER);
            Self::start(&world);
            thread::sleep(LAPSE - BACK_AFTER);
            world.store.remove("servers", &name);
        });
    }
}

/// Sends a request on a new connection; returns the status.
fn call(host: SocketAddr, path: &str, id: &str) -> String {
    let exchange = || -> std::io::Result<Option<String>> {
        let mut caller = Caller::connect(host)?;
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nKey: key-1\r\nRequest-Deadline: 1000\r\n\r\n"
        );
        caller.send(text.as_bytes())?;
        Ok(caller.read()?.map(|response| response.second().to_owned()))
    };
    exchange().ok().flatten().unwrap_or_else(|| "closed".into())
}

fn run() -> std::io::Result<Option<bool>> {
    let case = Case::from_env()?;
    let (store, store_addr) = Store::start();
    let world = Arc::new(World {
        store: store.clone(),
        record: case.record.clone(),
        started: AtomicU32::new(0),
        harmful: Mutex::default(),
        lost: AtomicU32::new(0),
    });
    for _ in 0..SERVERS {
        Server::start(&world);
    }
    let route = Route {
        prefix: "/card/",
        kind: "idempotent",
        service: "app-api",
        timeout_ms: 1_000,
        objective_ms: 150,
        attempts: 2,
        resumes: false,
    };
    store.put("config", "main", &configuration(1, &[route], &[("app-api", 110)]));
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
                let status = call(addr, &format!("/card/{n}-{number}"), &format!("c{n}-{number}"));
                *served.lock().unwrap().entry(status).or_default() += 1;
                thread::sleep(PAUSE);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut rng = Rng::new(3);
    // When each coming was sent, and since when the hosts run undisturbed.
    let mut in_touch_from = 0;
    let mut spans = Vec::new();
    let began = Instant::now();
    for n in 0..COMINGS {
        thread::sleep((HARMFUL_GAP * n).saturating_sub(began.elapsed()));
        let host = (rng.draw() * HOSTS as f64) as usize;
        let sent = case.record.ms();
        let status = call(addrs[host], HARMFUL, &format!("harmful-{n}"));
        case.record.line(&format!("client harmful-{n} sent to host {host} at {sent} answered {status}"));
        if sent >= in_touch_from {
            spans.push((sent, case.record.ms()));
        }
        if case.trouble && n >= BEFORE_KILL && (n - BEFORE_KILL).is_multiple_of(KILL_EVERY) && n + 1 < COMINGS
        {
            thread::sleep(KILL_AFTER);
            case.record.line("all hosts killed");
            hosts.iter_mut().for_each(Host::kill);
            thread::sleep(DOWN);
            hosts.iter_mut().for_each(Host::start_again);
            case.record.line("all hosts started");
            in_touch_from = case.record.ms() + CONTACT_MS;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    if hosts.iter_mut().any(Host::has_ended) {
        case.record.line("a host ended by itself");
        return Ok(None);
    }
    let harmful = world.harmful.lock().unwrap();
    let Some(third) = harmful.get(2) else {
        case.record.line("fewer than three servers crashed");
        return Ok(None);
    };
    let late = harmful.iter().filter(|at| **at > third + CONTACT_MS);
    // Only what hosts sent that had run undisturbed for `contactMs`.
    let counted =
        late.filter(|at| spans.iter().any(|(sent, answered)| (sent..=answered).contains(at))).count();
    let text = format!(
        "servers crashed {}, the third at {third} ms; sent by hosts in touch later than {CONTACT_MS} ms after it: {counted}, \
         allowed {ALLOWED}; other requests that crashed servers ran: {}; other requests by status: {:?}",
        harmful.len(),
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
