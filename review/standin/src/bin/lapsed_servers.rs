//! The store is silent for a moment, in which servers miss two heartbeats. Their entries lapse just before the third, which writes
//! them again, so that hosts read the removal and the writing of an entry in one answer of the store.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Caller, Case, Host, Record, Rng, Route, Store, configuration, free_addresses, read_message, serve,
    server_spec,
};

const HOSTS: usize = 3;
const MODEL_SERVERS: u32 = 9;
const PLAIN_SERVERS: u32 = 3;
const WORK: Duration = Duration::from_millis(20);
/// `heartbeatMs`, and three of them, after which an entry lapses.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time that the store takes for an answer, which a server awaits before it sleeps until its next heartbeat.
const STORE_ANSWER: Duration = Duration::from_millis(4);
/// Length of an outage of the store (`platform_down`, how = "silent"), and the time from one to the next.
const OUTAGE: Duration = Duration::from_millis(2_500);
const PERIOD: Duration = Duration::from_secs(18);
const OUTAGES: u32 = 4;
/// Time after the end of an outage from which on nothing is disturbed any more (`contactMs`, and two seconds in which entries are
/// back).
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Requests on the later route that the rule asks for at least.
const MIN_REQUESTS: usize = 20;
/// Clients of each route, and the pause between two requests of one.
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(200);

/// A server's entry and when it was last written.
struct Entry {
    name: String,
    spec: String,
    written: Mutex<Instant>,
}

/// Starts a server that writes its entry again and again.
fn start_server(store: &Store, record: &Record, name: String, service: &str, rng: &mut Rng) -> Arc<Entry> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let spec = server_spec(service, listener.local_addr().expect("its address"), 64, "ready");
    store.put("servers", &name, &spec);
    let served = name.clone();
    serve(listener, move |stream| drop(answer(&served, stream)));
    let entry = Arc::new(Entry { name, spec, written: Mutex::new(Instant::now()) });
    let (store, record, beating) = (store.clone(), record.clone(), entry.clone());
    let first = HEARTBEAT.mul_f64(rng.draw());
    thread::spawn(move || {
        thread::sleep(first);
        loop {
            if !store.is_down() {
                *beating.written.lock().unwrap() = Instant::now();
                // A writing that changes nothing is no event.
                if !store.contains("servers", &beating.name) {
                    store.put("servers", &beating.name, &beating.spec);
                    record.line(&format!("entry of {} is written again", beating.name));
                }
            }
            thread::sleep(STORE_ANSWER + HEARTBEAT);
        }
    });
    entry
}

fn answer(name: &str, stream: TcpStream) -> std::io::Result<()> {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
    while let Some(request) = read_message(&mut reader, false)? {
        let id = request.header("attempt-id");
        let text = if request.header("expected-instance") == name {
            thread::sleep(WORK);
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\nKeep-Alive: timeout=20\r\n"
            );
            format!("{head}Content-Length: 4\r\n\r\ndone")
        } else {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        };
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}

/// A request: its route, when it was sent, and the status.
type Sent = (bool, Instant, String);

fn call(host: SocketAddr, path: &str, id: &str) -> String {
    let exchange = || -> std::io::Result<Option<String>> {
        let mut caller = Caller::connect(host)?;
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nKey: key-1\r\nRequest-Deadline: 1000\r\n\
             Content-Length: 2\r\n\r\nok"
        );
        caller.send(text.as_bytes())?;
        Ok(caller.read()?.map(|response| response.second().to_owned()))
    };
    exchange().ok().flatten().unwrap_or_else(|| "closed".into())
}

fn run() -> std::io::Result<Option<bool>> {
    let case = Case::from_env()?;
    let (store, store_addr) = Store::start();
    let mut rng = Rng::new(11);
    let mut entries = Vec::new();
    for n in 0..MODEL_SERVERS {
        entries.push(start_server(&store, &case.record, format!("i-m{n}"), "llm-tally", &mut rng));
    }
    for n in 0..PLAIN_SERVERS {
        entries.push(start_server(&store, &case.record, format!("i-p{n}"), "app-api", &mut rng));
    }
    let (lapsing, record) = (store.clone(), case.record.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(2));
            for entry in &entries {
                let is_silent = entry.written.lock().unwrap().elapsed() > LAPSE;
                if is_silent && lapsing.contains("servers", &entry.name) {
                    lapsing.remove("servers", &entry.name);
                    record.line(&format!("entry of {} lapses", entry.name));
                }
            }
        }
    });
    let route = |prefix, service| Route {
        prefix,
        kind: "non_idempotent",
        service,
        timeout_ms: 1_000,
        objective_ms: 150,
        attempts: 1,
        resumes: false,
    };
    let services = [("llm-tally", 370), ("app-api", 110)];
    store.put("config", "main", &configuration(1, &[route("/first/", "llm-tally")], &services));
    let ips = free_addresses(HOSTS);
    let hosts = (0..HOSTS).map(|n| Host::start(&case.program, &case.dir, ips[n], n, &ips, store_addr));
    let mut hosts: Vec<_> = hosts.collect();
    if !hosts.iter().all(Host::await_ready) {
        case.record.line("the hosts did not become ready");
        return Ok(None);
    }
    thread::sleep(Duration::from_secs(2));
    let routes = [route("/first/", "llm-tally"), route("/later/", "app-api")];
    store.put("config", "main", &configuration(2, &routes, &services));
    case.record.line("configuration 2 adds the route /later/");
    thread::sleep(Duration::from_secs(4));
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::<Sent>::new())));
    let callers = (0..2 * CALLERS).map(|n| {
        let is_later = n % 2 == 1;
        let (stop, sent, record) = (stop.clone(), sent.clone(), case.record.clone());
        let addr = hosts[n / 2 % HOSTS].callers();
        let prefix = if is_later { "later" } else { "first" };
        thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let (at, id) = (Instant::now(), format!("{prefix}-{n}-{number}"));
                let status = call(addr, &format!("/{prefix}/{number}"), &id);
                record.line(&format!("client {id} answered {status}"));
                sent.lock().unwrap().push((is_later, at, status));
                thread::sleep(PAUSE);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut broken = 0;
    for n in 0..OUTAGES {
        if case.trouble {
            case.record.line("the store is silent");
            store.set_down(true);
        }
        thread::sleep(OUTAGE);
        if case.trouble {
            case.record.line("the store is back");
            store.set_down(false);
        }
        thread::sleep(SETTLED_AFTER);
        let from = Instant::now();
        thread::sleep(PERIOD - OUTAGE - SETTLED_AFTER);
        let sent = sent.lock().unwrap();
        let share = |is_later: bool| {
            let of_route = sent.iter().filter(|(later, at, _)| *later == is_later && *at >= from);
            let statuses: Vec<_> = of_route.map(|(.., status)| status == "200").collect();
            let served = statuses.iter().filter(|is_served| **is_served).count();
            (served, statuses.len())
        };
        let (first, later) = (share(false), share(true));
        let is_broken = later.1 >= MIN_REQUESTS && later.0 * first.1 * 4 < first.0 * later.1;
        broken += u32::from(is_broken);
        let text = format!(
            "after outage {n}: first route {} of {} served, later route {} of {}{}",
            first.0,
            first.1,
            later.0,
            later.1,
            if is_broken { ": CONFIG" } else { "" }
        );
        case.record.line(&text);
        println!("{text}");
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    if hosts.iter_mut().any(Host::has_ended) {
        case.record.line("a host ended by itself");
        return Ok(None);
    }
    Ok(Some(broken == 0))
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
