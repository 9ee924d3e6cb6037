//! A host is cut off from the servers and reaches them through other hosts. One of these is killed while it copies an answer
//! that has no length and ends with its connection.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Caller, Case, Host, Record, Rng, Route, ServerPath, Store, configuration, free_addresses, read_chunk,
    read_head, read_message, serve, server_spec,
};

const HOSTS: usize = 3;
const SERVERS: usize = 9;
/// Servers that host 0 does not reach in a cut (`srv_cut`, how = "some", share = 0.2 of nine, x = 0.3 of three hosts), and the
/// length of a cut.
const CUT_SERVERS: usize = 2;
const CUT_TIME: Duration = Duration::from_secs(5);
/// Time from a cut to the kill of another host (`node_kill`, count = 1), and to its start.
const KILL_AFTER: Duration = Duration::from_millis(3_500);
const DOWN: Duration = Duration::from_millis(500);
/// Time between two cuts.
const OPEN_TIME: Duration = Duration::from_secs(2);
const CUTS: usize = 12;
const EVENTS: u32 = 49;
const EVENT_GAP: Duration = Duration::from_millis(80);
/// Share of the answers that have no length and end with their connection (`garble`, how = "unframed", x = 0.05), and the
/// servers that send such (share = 0.5).
const UNFRAMED: f64 = 0.05;
const UNFRAMED_SERVERS: usize = 4;
/// Clients of each host, with one stream at a time.
const CALLERS: u32 = 200;

/// What was seen of one request.
#[derive(Clone, Debug, Default)]
struct Seen {
    is_unframed: bool,
    /// Events that servers wrote.
    written: u32,
    /// Number of the last event for the client, and how its answer ended.
    last: u32,
    end: String,
}

type Requests = Arc<Mutex<HashMap<String, Seen>>>;

struct Server {
    name: String,
    /// Whether some of its answers have no length.
    has_unframed: bool,
    rng: Mutex<Rng>,
    requests: Requests,
    record: Record,
}

impl Server {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while let Some(request) = read_message(&mut reader, false)? {
            let id = request.header("attempt-id").to_owned();
            if request.header("expected-instance") != self.name {
                let refusal =
                    "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                writer.write_all(refusal.as_bytes())?;
                continue;
            }
            let is_unframed = self.has_unframed && self.rng.lock().unwrap().draw() < UNFRAMED;
            self.requests.lock().unwrap().entry(id.clone()).or_default().is_unframed = is_unframed;
            self.record.line(&format!(
                "server {} {id} runs{}",
                self.name,
                if is_unframed { ", without a length" } else { "" }
            ));
            let framing = if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            for n in 1..=EVENTS {
                thread::sleep(EVENT_GAP);
                let event = format!("id: {n}\ndata: piece {n}\n\n");
                let bytes = if is_unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
                if let Err(e) = writer.write_all(bytes.as_bytes()) {
                    self.record.line(&format!("server {} {id} ends after {} events: {e}", self.name, n - 1));
                    return Ok(());
                }
                self.requests.lock().unwrap().entry(id.clone()).or_default().written = n;
            }
            self.record.line(&format!("server {} {id} complete", self.name));
            if is_unframed {
                return Ok(());
            }
            writer.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

/// Reads a stream; returns its last event and how it ended.
fn read_stream(caller: &mut Caller) -> std::io::Result<(u32, String)> {
    let reader = caller.reader();
    let Some(head) = read_head(reader)? else { return Ok((0, "closed".into())) };
    if head.second() != "200" {
        let length = head.header("content-length").parse().unwrap_or(0);
        std::io::Read::read_exact(reader, &mut vec![0; length])?;
        return Ok((0, format!("status {}", head.second())));
    }
    let mut text = String::new();
    let end = loop {
        match read_chunk(reader) {
            Ok(Some(chunk)) => text += &String::from_utf8_lossy(&chunk),
            Ok(None) => break "complete",
            Err(_) => break "broken off",
        }
    };
    let mut ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    Ok((ids.next_back().unwrap_or(0), end.into()))
}

fn call(name: &str, host: SocketAddr, until: Instant, requests: &Requests, record: &Record) {
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("{name}-{number}");
        let text = format!(
            "POST /translate/{number} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nKey: key-1\r\n\
             Request-Deadline: 12000\r\nContent-Length: 2\r\n\r\nok"
        );
        record.line(&format!("client {id} sent"));
        let exchange = || -> std::io::Result<(u32, String)> {
            let Ok(mut caller) = Caller::connect(host) else {
                thread::sleep(Duration::from_millis(300));
                return Ok((0, "not connected".into()));
            };
            caller.send(text.as_bytes())?;
            read_stream(&mut caller)
        };
        let (last, end) = exchange().unwrap_or_else(|e| (0, e.to_string()));
        record.line(&format!("client {id} got {last} events, {end}"));
        let mut requests = requests.lock().unwrap();
        let seen = requests.entry(id).or_default();
        (seen.last, seen.end) = (last, end);
        drop(requests);
        thread::sleep(Duration::from_millis(50));
    }
}

fn run() -> std::io::Result<Option<bool>> {
    let case = Case::from_env()?;
    let is_cut_only = std::env::var("TROUBLE").is_ok_and(|value| value == "cut");
    let (store, store_addr) = Store::start();
    let requests = Requests::default();
    let (mut paths, mut replaced) = (Vec::new(), Vec::new());
    for n in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (name, addr) = (format!("i-{n}"), listener.local_addr()?);
        store.put("servers", &name, &server_spec("llm-tally", addr, 64, "ready"));
        let server = Server {
            name,
            has_unframed: n < UNFRAMED_SERVERS,
            rng: Mutex::new(Rng::new(7 + n as u64)),
            requests: requests.clone(),
            record: case.record.clone(),
        };
        serve(listener, move |stream| drop(server.serve(stream)));
        if n < CUT_SERVERS {
            let (path, path_addr) = ServerPath::start(addr);
            paths.push(path);
            replaced.push((addr, path_addr));
        }
    }
    let route = Route {
        prefix: "/translate/",
        kind: "stream",
        service: "llm-tally",
        timeout_ms: 12_000,
        objective_ms: 400,
        attempts: 1,
        resumes: false,
    };
    store.put("config", "main", &configuration(1, &[route], &[("llm-tally", 370)]));
    // Host 0 has a path of its own to the servers that it will not reach.
    let own_addr = store.also_at(replaced);
    let ips = free_addresses(HOSTS);
    let store_of = |n| if n == 0 { own_addr } else { store_addr };
    let hosts = (0..HOSTS).map(|n| Host::start(&case.program, &case.dir, ips[n], n, &ips, store_of(n)));
    let mut hosts: Vec<_> = hosts.collect();
    if !hosts.iter().all(Host::await_ready) {
        case.record.line("the hosts did not become ready");
        return Ok(None);
    }
    thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + (CUT_TIME + OPEN_TIME) * CUTS as u32;
    let callers = (0..CALLERS * HOSTS as u32).map(|n| {
        let host = n as usize % HOSTS;
        let (requests, record, addr) = (requests.clone(), case.record.clone(), hosts[host].callers());
        let name = format!("h{host}-c{n}");
        thread::sleep(Duration::from_millis(5));
        thread::spawn(move || call(&name, addr, until, &requests, &record))
    });
    let callers: Vec<_> = callers.collect();
    for n in 0..CUTS {
        thread::sleep(OPEN_TIME);
        if !case.trouble {
            thread::sleep(CUT_TIME);
            continue;
        }
        case.record.line(&format!("host 0 is cut off from {CUT_SERVERS} servers"));
        paths.iter().for_each(|path| path.set_cut(true));
        thread::sleep(KILL_AFTER);
        let victim = 1 + n % 2;
        if !is_cut_only {
            case.record.line(&format!("host {victim} killed"));
            hosts[victim].kill();
        }
        thread::sleep(DOWN);
        if !is_cut_only {
            hosts[victim].start_again();
        }
        thread::sleep(CUT_TIME.saturating_sub(KILL_AFTER + DOWN));
        case.record.line("the cut ends");
        paths.iter().for_each(|path| path.set_cut(false));
    }
    for caller in callers {
        let _ = caller.join();
    }
    if hosts[0].has_ended() {
        case.record.line("the host of the clients ended by itself");
        return Ok(None);
    }
    let through = hosts[0].log_text().matches("\"reached_through\"").count();
    let requests = requests.lock().unwrap();
    let is_short = |seen: &Seen| seen.end == "complete" && seen.last < EVENTS;
    let broken: Vec<_> = requests.iter().filter(|(_, seen)| is_short(seen)).collect();
    let whole = requests.values().filter(|seen| seen.end == "complete" && seen.last == EVENTS).count();
    let text = format!(
        "requests {}, complete {whole}, connections through other hosts {through}, rules broken {}",
        requests.len(),
        broken.len()
    );
    case.record.line(&text);
    println!("{text}");
    for (id, seen) in &broken {
        let text = format!(
            "ORDER {id}: ended as complete after event {} of {EVENTS}; the server had written {}, without a length: {}",
            seen.last, seen.written, seen.is_unframed
        );
        case.record.line(&text);
        println!("{text}");
    }
    Ok(Some(broken.is_empty()))
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
