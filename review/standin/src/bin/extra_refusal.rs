//! A server refuses a request, marked as not executed, and the refusal comes a second time where the next answer on the
//! connection is due. The host sends the request once more on that connection.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::ExitCode,
    sync::{
        Arc, Condvar, Mutex,
        mpsc::{Receiver, channel},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Caller, Case, Host, Record, Rng, Route, Store, configuration, free_addresses, read_message, serve,
    server_spec,
};

/// Requests that the server of the service processes at once, and those that it queues.
const SLOTS: u32 = 6;
const QUEUE: u32 = 4;
/// Share of its answers that it sends a second time (`garble`, how = "extra late", x = 0.03), for how long it does, and the time
/// from one beginning to the next.
const EXTRA: f64 = 0.03;
const GARBLE_TIME_MS: u128 = 5_000;
const GARBLE_PERIOD_MS: u128 = 6_000;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);
/// Requests per second, all of a kind that may run once at most.
const PER_S: f64 = 80.0;
/// Requests that come at once.
const CLUMP: u32 = 3;
const CALLERS: u32 = 64;
/// Hosts, among which the callers are divided.
const HOSTS: usize = 8;
const RUN_TIME: Duration = Duration::from_secs(90);

/// What was seen of one request.
#[derive(Clone, Debug, Default)]
struct Seen {
    /// Answers of the servers, in order.
    at_servers: Vec<String>,
    runs: u32,
    /// Status for the client.
    status: String,
}

type Requests = Arc<Mutex<HashMap<String, Seen>>>;

struct Server {
    name: String,
    garbles: bool,
    rng: Mutex<Rng>,
    /// Requests that run, and those that wait.
    load: Mutex<(u32, u32)>,
    freed: Condvar,
    requests: Requests,
    record: Record,
}

impl Server {
    /// Takes a slot, after a wait in the queue if all are taken; false if the queue is full too.
    fn begin(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= SLOTS {
            if load.1 >= QUEUE {
                return false;
            }
            load.1 += 1;
            while load.0 >= SLOTS {
                load = self.freed.wait(load).unwrap();
            }
            load.1 -= 1;
        }
        load.0 += 1;
        true
    }

    fn end(&self) {
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        // The copy of an answer that is to come where the next one is due.
        let mut extra: Option<(String, String)> = None;
        while let Some(request) = read_message(&mut reader, false)? {
            let id = request.header("attempt-id").to_owned();
            if let Some((of, copy)) = extra.take() {
                self.record.line(&format!(
                    "server {} sends the answer to {of} a second time, {id} is waiting",
                    self.name
                ));
                writer.write_all(copy.as_bytes())?;
            }
            let (answer, what) = if request.header("expected-instance") != self.name {
                (refusal("421 Misdirected Request", &id), "421")
            } else if !self.begin() {
                (refusal("503 Service Unavailable", &id), "503 not executed")
            } else {
                self.requests.lock().unwrap().entry(id.clone()).or_default().runs += 1;
                self.record.line(&format!("server {} {id} runs", self.name));
                thread::sleep(WORK);
                self.end();
                (answer(&id), "200")
            };
            self.record.line(&format!("server {} {id} {what}", self.name));
            self.requests.lock().unwrap().entry(id.clone()).or_default().at_servers.push(what.to_owned());
            writer.write_all(answer.as_bytes())?;
            let is_time = self.record.ms() % GARBLE_PERIOD_MS < GARBLE_TIME_MS;
            if self.garbles && is_time && self.rng.lock().unwrap().draw() < EXTRA {
                extra = Some((id, answer));
            }
        }
        Ok(())
    }
}

fn refusal(status: &str, id: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nKeep-Alive: timeout=20\r\nContent-Length: 0\r\n\r\n"
    )
}

fn answer(id: &str) -> String {
    let seal = format!("Response-Seal: s.{id}\r\nKeep-Alive: timeout=20\r\n");
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n{seal}Content-Length: 5\r\n\r\nsaved")
}

/// Sends the requests that it is given, on a kept connection while the host keeps it.
fn call(host: SocketAddr, due: &Mutex<Receiver<u32>>, requests: &Requests, record: &Record) {
    let mut kept = None;
    loop {
        let Ok(number) = due.lock().unwrap().recv() else { return };
        let id = format!("r{number}");
        let text = format!(
            "POST /save/{number} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nKey: key-1\r\n\
             Request-Deadline: 1500\r\nContent-Length: 2\r\n\r\nok"
        );
        record.line(&format!("client {id} sent"));
        let mut exchange = || -> std::io::Result<Option<String>> {
            let mut caller: Caller = match kept.take() {
                Some(caller) => caller,
                None => Caller::connect(host)?,
            };
            caller.send(text.as_bytes())?;
            let Some(response) = caller.read()? else { return Ok(None) };
            if !response.header("connection").eq_ignore_ascii_case("close") {
                kept = Some(caller);
            }
            Ok(Some(response.second().to_owned()))
        };
        let status = exchange().ok().flatten().unwrap_or_else(|| "closed".into());
        record.line(&format!("client {id} answered {status}"));
        requests.lock().unwrap().entry(id).or_default().status = status;
    }
}

fn run() -> std::io::Result<Option<bool>> {
    let case = Case::from_env()?;
    let (store, store_addr) = Store::start();
    let requests = Requests::default();
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let name = "i-0".to_owned();
    store.put("servers", &name, &server_spec("app-api", listener.local_addr()?, SLOTS, "ready"));
    let server = Server {
        name,
        garbles: case.trouble,
        rng: Mutex::new(Rng::new(7)),
        load: Mutex::default(),
        freed: Condvar::new(),
        requests: requests.clone(),
        record: case.record.clone(),
    };
    serve(listener, move |stream| drop(server.serve(stream)));
    let route = Route {
        prefix: "/save/",
        kind: "non_idempotent",
        service: "app-api",
        timeout_ms: 1_500,
        objective_ms: 300,
        attempts: 1,
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
    thread::sleep(Duration::from_secs(2));
    let (send, due) = channel();
    let due = Arc::new(Mutex::new(due));
    let callers = (0..CALLERS).map(|n| {
        let addr = hosts[n as usize % HOSTS].callers();
        let (requests, record, due) = (requests.clone(), case.record.clone(), due.clone());
        thread::spawn(move || call(addr, &due, &requests, &record))
    });
    let callers: Vec<_> = callers.collect();
    let (began, mut rng, mut at) = (Instant::now(), Rng::new(100), 0.0);
    let mut number = 0;
    while at < RUN_TIME.as_secs_f64() {
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(began.elapsed()));
        for _ in 0..CLUMP {
            let _ = send.send(number);
            number += 1;
        }
        at += -(1.0 - rng.draw()).ln() * f64::from(CLUMP) / PER_S;
    }
    drop(send);
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_secs(1));
    if hosts.iter_mut().any(Host::has_ended) {
        case.record.line("a host ended by itself");
        return Ok(None);
    }
    let requests = requests.lock().unwrap();
    let mut broken = Vec::new();
    for (id, seen) in &*requests {
        let promised = matches!(seen.status.as_str(), "408" | "421" | "429" | "503");
        if seen.runs > 1 {
            broken.push(format!(
                "TWICE {id}: ran {} times, answered {}: {:?}",
                seen.runs, seen.status, seen.at_servers
            ));
        }
        if promised && seen.runs > 0 {
            broken.push(format!("REFUSED {id}: answered {}, but ran: {:?}", seen.status, seen.at_servers));
        }
    }
    let served = requests.values().filter(|seen| seen.status == "200").count();
    case.record.line(&format!("requests {}, served {served}, rules broken {}", requests.len(), broken.len()));
    broken.iter().for_each(|text| case.record.line(text));
    println!("requests {}, served {served}, rules broken {}", requests.len(), broken.len());
    broken.iter().for_each(|text| println!("{text}"));
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
