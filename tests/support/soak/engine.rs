//! Stand-ins for backend servers, each behind a gate: they take some milliseconds for each request and record it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cranberrytally::standin::gate::{FaultProxy, Mode};
use rand::{Rng, rngs::StdRng};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    task::JoinHandle,
};

use super::{
    Scenario,
    checks::{History, Observation, STORE, STREAM_EVENTS, ServerEvent},
    conduct::{self, Conduct},
    record_fault,
    store::{Store, server_of_version},
};
use crate::wire::{chunk, event_with_data, header, read_request};

/// Number of servers at any time, without those that are draining.
const SERVER_COUNT: usize = 4;
/// The same if some of the servers read late or send bytes without end.
const CONDUCT_SERVER_COUNT: usize = 9;
/// Prompt part that crashes each server which begins an answer to a request with it.
pub const HARMFUL_PART: &str = "bad";
/// One in this many streams has neither a length nor chunks and ends with its connection.
const UNFRAMED_ONE_IN: u64 = 3;
/// Unit of a request's execution time, which is 0 to 7 units by the hash of its identifier.
const WORK_STEP_MS: u64 = 4;
/// Time between two events of a stream.
pub const EVENT_GAP: Duration = Duration::from_millis(6);
/// While servers request pauses, one in this many requests is refused with a pause.
const PAUSE_ONE_IN: u64 = 7;
/// Pause that servers request.
const PAUSE: Duration = Duration::from_millis(2_500);
/// While answers are lost, one in this many is lost.
const LOSE_ONE_IN: u64 = 4;
/// Shortest and longest time for which servers write nothing: longer than a host waits before it looks for another one, and
/// shorter than callers wait.
const MIN_SILENCE: Duration = Duration::from_millis(1_400);
const MAX_SILENCE: Duration = Duration::from_millis(1_900);
/// Time after a silence before the next one, so that two of them are not one that outlasts requests.
const SILENCE_GAP: Duration = Duration::from_millis(1_000);
/// Number of servers of a new version that join together.
const RELEASED_COUNT: usize = 2;
/// Time between two resets of their connections.
const RESET_GAP_MS: std::ops::Range<u64> = 50..400;
/// One in this many new versions goes again.
const WITHDRAW_ONE_IN: u32 = 3;
/// Time for which a draining server keeps serving, so that requests wrongly sent to it are observed.
const DRAIN_LINGER: Duration = Duration::from_millis(8_000);

/// Faults shared by all servers.
#[derive(Debug, Default)]
struct Faults {
    /// Refuse all requests, marked as not executed.
    refuse_all: AtomicBool,
    /// Refuse some requests, marked as not executed, and ask the host for a pause.
    request_pauses: AtomicBool,
    /// Execute all requests but close the connection instead of answering some of them.
    lose_answers: AtomicBool,
}

/// A running server.
struct Engine {
    id: String,
    version: String,
    draining: Arc<AtomicBool>,
    gate: FaultProxy,
    task: JoinHandle<()>,
    crash: watch::Sender<u64>,
    /// Whether it writes nothing.
    silent: Arc<watch::Sender<bool>>,
}

/// All backend servers of a run.
pub struct Engines {
    store: Store,
    history: Arc<History>,
    faults: Arc<Faults>,
    started: AtomicU64,
    /// Version of new servers, where not several serve side by side all the time.
    version: AtomicU64,
    scenario: Scenario,
    running: Mutex<Vec<Arc<Engine>>>,
    /// Servers that crash by a request.
    crashing: mpsc::UnboundedSender<String>,
}

impl Engines {
    /// Starts the servers of a scenario and registers them in the store.
    pub async fn start(scenario: Scenario, store: Store, history: Arc<History>) -> Arc<Self> {
        let (crashing, mut crashed) = mpsc::unbounded_channel::<String>();
        let engines = Arc::new(Self {
            store,
            history,
            faults: Arc::default(),
            started: AtomicU64::new(0),
            version: AtomicU64::new(1),
            scenario,
            running: Mutex::default(),
            crashing,
        });
        let count = match scenario {
            Scenario::LateReaders | Scenario::EndlessBytes(_) => CONDUCT_SERVER_COUNT,
            _ => SERVER_COUNT,
        };
        for _ in 0..count {
            engines.add().await;
        }
        let crasher = Arc::downgrade(&engines);
        tokio::spawn(async move {
            while let (Some(id), Some(engines)) = (crashed.recv().await, crasher.upgrade()) {
                let position = engines.running.lock().unwrap().iter().position(|engine| engine.id == id);
                if let Some(n) = position {
                    tokio::spawn(async move { engines.crash(n).await });
                }
            }
        });
        engines
    }

    /// Starts one more server and registers it in the store.
    pub async fn add(&self) {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let version = match self.scenario {
            Scenario::Versions => number % 2 + 1,
            _ => self.version.load(Ordering::Relaxed),
        };
        self.add_of_version(number, version).await;
    }

    /// Starts a server of a version and registers it in the store.
    async fn add_of_version(&self, number: u64, version: u64) -> Arc<Engine> {
        let (id, version) = (format!("i-{number}"), format!("v{version}"));
        let conduct = Conduct::of(self.scenario, number);
        let listener = conduct.listen();
        let own_addr = listener.local_addr().unwrap();
        let crash = watch::Sender::new(0);
        let gate = FaultProxy::start(own_addr, Some(crash.subscribe())).await.unwrap();
        let (draining, silent) = (Arc::<AtomicBool>::default(), Arc::new(watch::Sender::new(false)));
        let handler = Handler {
            id: id.clone(),
            version: version.clone(),
            draining: draining.clone(),
            history: self.history.clone(),
            faults: self.faults.clone(),
            crashing: self.crashing.clone(),
            silent: silent.subscribe(),
            conduct,
        };
        if conduct == Conduct::ReadsLate {
            tokio::spawn(conduct::stand_still_at_times(Arc::downgrade(&silent), number));
        }
        // The gate would read what the server doesn't.
        let addr = if conduct == Conduct::Usual { gate.addr() } else { own_addr };
        let task = tokio::spawn(accept(listener, handler, crash.subscribe()));
        self.store.put("servers", &id, server_of_version(addr, "ready", &version));
        let engine = Engine { id, version, draining, gate, task, crash, silent };
        let engine = Arc::new(engine);
        self.running.lock().unwrap().push(engine.clone());
        engine
    }

    /// Servers of a new version join, and their connections are reset again and again. After that they replace the oldest
    /// servers, or go without having done so.
    pub async fn release(&self, duration: Duration, mut rng: StdRng) {
        let (from, version) = (Instant::now(), self.started.load(Ordering::Relaxed));
        let mut joined = Vec::new();
        for _ in 0..RELEASED_COUNT {
            let number = self.started.fetch_add(1, Ordering::Relaxed);
            joined.push(self.add_of_version(number, version).await);
        }
        while from.elapsed() < duration {
            tokio::time::sleep(Duration::from_millis(rng.random_range(RESET_GAP_MS))).await;
            joined.iter().for_each(|engine| engine.gate.cut_connections());
        }
        joined.iter().for_each(|engine| record_fault(&self.history, &engine.id, from));
        if rng.random_ratio(1, WITHDRAW_ONE_IN) {
            for engine in joined {
                self.running.lock().unwrap().retain(|other| other.id != engine.id);
                self.end(&engine).await;
                self.store.remove("servers", &engine.id);
            }
            return;
        }
        self.version.store(version, Ordering::Relaxed);
        (0..RELEASED_COUNT).for_each(|_| self.retire(self.remove(0)));
    }

    /// Identifiers and addresses of the servers.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.running.lock().unwrap().iter().map(|engine| (engine.id.clone(), engine.gate.addr())).collect()
    }

    /// The server at an index, taken modulo the number of servers.
    fn nth(&self, n: usize) -> Arc<Engine> {
        let running = self.running.lock().unwrap();
        running[n % running.len()].clone()
    }

    /// Removes the server at an index, taken modulo the number of servers, from the running ones.
    fn remove(&self, n: usize) -> Arc<Engine> {
        let mut running = self.running.lock().unwrap();
        let n = n % running.len();
        running.remove(n)
    }

    /// Crashes a server with all its requests. Another one replaces it at once; its entry is removed a second later.
    pub async fn crash(&self, n: usize) {
        let engine = self.remove(n);
        self.end(&engine).await;
        self.add().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.store.remove("servers", &engine.id);
    }

    /// Ends a server with all its requests.
    async fn end(&self, engine: &Engine) {
        let from = Instant::now();
        engine.gate.set_mode(Mode::Refuse).await.unwrap();
        engine.crash.send_modify(|n| *n += 1);
        engine.task.abort();
        record_fault(&self.history, &engine.id, from);
    }

    /// Makes a server accept new connections without passing any bytes on them.
    pub async fn stall(&self, n: usize, duration: Duration) {
        let (engine, from) = (self.nth(n), Instant::now());
        engine.gate.set_mode(Mode::Stall).await.unwrap();
        tokio::time::sleep(duration).await;
        engine.gate.set_mode(Mode::Open).await.unwrap();
        record_fault(&self.history, &engine.id, from);
    }

    /// Makes all servers write nothing for a while, after which they go on with all of their requests. That is no fault.
    pub async fn silence_all(&self, duration: Duration) {
        let silent: Vec<_> = self.running.lock().unwrap().clone();
        let set_silent =
            |is_silent| silent.iter().for_each(|engine| engine.silent.send_modify(|s| *s = is_silent));
        let from = Instant::now();
        set_silent(true);
        tokio::time::sleep(duration.clamp(MIN_SILENCE, MAX_SILENCE)).await;
        set_silent(false);
        self.history.record(Observation::Silence { from, to: Instant::now() });
        tokio::time::sleep(SILENCE_GAP).await;
    }

    /// Drains a server, which keeps serving for a while before it ends. Another one replaces it at once.
    pub async fn drain(&self, n: usize) {
        let engine = self.remove(n);
        self.add().await;
        self.retire(engine);
    }

    /// Lets a server drain.
    fn retire(&self, engine: Arc<Engine>) {
        engine.draining.store(true, Ordering::Relaxed);
        let entry = server_of_version(engine.gate.addr(), "draining", &engine.version);
        self.store.put("servers", &engine.id, entry);
        self.history.record(Observation::DrainAnnounced { engine: engine.id.clone(), at: Instant::now() });
        let (store, history) = (self.store.clone(), self.history.clone());
        tokio::spawn(async move {
            tokio::time::sleep(DRAIN_LINGER).await;
            store.remove("servers", &engine.id);
            let from = Instant::now();
            engine.gate.set_mode(Mode::Refuse).await.unwrap();
            engine.task.abort();
            record_fault(&history, &engine.id, from);
        });
    }

    /// Records a fault of the store that began at a time and ends now.
    pub fn record_store_fault(&self, from: Instant) {
        record_fault(&self.history, STORE, from);
    }

    /// Makes all servers refuse all requests for a while.
    pub async fn refuse_all(&self, duration: Duration) {
        self.faults.refuse_all.store(true, Ordering::Relaxed);
        tokio::time::sleep(duration).await;
        self.faults.refuse_all.store(false, Ordering::Relaxed);
    }

    /// Makes all servers refuse some requests for a while and ask for pauses.
    pub async fn request_pauses(&self, duration: Duration) {
        self.faults.request_pauses.store(true, Ordering::Relaxed);
        tokio::time::sleep(duration).await;
        self.faults.request_pauses.store(false, Ordering::Relaxed);
    }

    /// Makes all servers lose some answers for a while after executing the requests.
    pub async fn lose_answers(&self, duration: Duration) {
        self.faults.lose_answers.store(true, Ordering::Relaxed);
        tokio::time::sleep(duration).await;
        self.faults.lose_answers.store(false, Ordering::Relaxed);
    }
}

/// Handles the connections of one server.
#[derive(Clone)]
pub struct Handler {
    pub id: String,
    version: String,
    draining: Arc<AtomicBool>,
    pub history: Arc<History>,
    faults: Arc<Faults>,
    crashing: mpsc::UnboundedSender<String>,
    silent: watch::Receiver<bool>,
    conduct: Conduct,
}

/// Serves connections until the task is aborted; a crash ends those that are open.
async fn accept(listener: TcpListener, handler: Handler, crash: watch::Receiver<u64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (handler, mut crash) = (handler.clone(), crash.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = handler.serve(stream) => {}
                _ = crash.changed() => {}
            }
        });
    }
}

impl Handler {
    /// Serves the requests of one connection.
    async fn serve(self, mut stream: TcpStream) {
        if self.conduct == Conduct::ReadsLate {
            return self.serve_late(stream).await;
        }
        while let Some(req) = read_request(&mut stream).await {
            let id = header(&req, "attempt-id").unwrap_or_default();
            let is_draining = self.draining.load(Ordering::Relaxed);
            let extra_headers = if is_draining { "Server-Leaving: 1\r\n" } else { "" };
            let head = format!("Attempt-Id: {id}\r\nResponse-Seal: s1\r\n{extra_headers}");
            let record_event = |event| self.record_event(&id, event);
            record_event(ServerEvent::Arrived(Instant::now()));
            if is_draining {
                record_event(ServerEvent::AnnouncedDrain);
            }
            if header(&req, "expected-instance").as_deref() != Some(&self.id) {
                return refuse(&mut stream, "421 Misdirected Request", &id, "").await;
            }
            if self.faults.refuse_all.load(Ordering::Relaxed) {
                return refuse(&mut stream, "503 Service Unavailable", &id, extra_headers).await;
            }
            let id_hash = hash(&id);
            if self.faults.request_pauses.load(Ordering::Relaxed) && id_hash.is_multiple_of(PAUSE_ONE_IN) {
                record_event(ServerEvent::RequestedPause(Instant::now(), PAUSE));
                let extra_headers = format!("{extra_headers}Retry-After: {}\r\n", PAUSE.as_secs_f64());
                return refuse(&mut stream, "503 Service Unavailable", &id, &extra_headers).await;
            }
            self.record_execution(&id, &req);
            tokio::time::sleep(Duration::from_millis(id_hash % 8 * WORK_STEP_MS)).await;
            if has_part(&req, HARMFUL_PART) {
                self.history.record(Observation::CrashedBy { id, at: Instant::now() });
                let _ = self.crashing.send(self.id.clone());
                return std::future::pending().await;
            }
            if self.faults.lose_answers.load(Ordering::Relaxed) && id_hash.is_multiple_of(LOSE_ONE_IN) {
                record_event(ServerEvent::BrokeOff);
                return;
            }
            if let Some(bytes) = self.conduct.endless(&id, is_stream(&req)) {
                record_event(ServerEvent::Treated(conduct::ENDLESS_TEXT));
                return bytes.write(&mut stream, &head).await;
            }
            self.end_of_silence().await;
            if is_stream(&req) && id_hash.is_multiple_of(UNFRAMED_ONE_IN) {
                return self.write_unframed(stream, &head, &id, events_before(&req)).await;
            }
            let written = self.write_answer(&mut stream, &req, &head, &id, EVENT_GAP).await;
            if written.is_err() {
                return;
            }
            self.history.record(Observation::AnswerWritten { id, engine: self.id.clone() });
        }
    }
}

/// Hash of a request's identifier.
pub fn hash(id: &str) -> u64 {
    id.bytes().fold(7u64, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()))
}

/// Target of a request.
fn target(req: &str) -> &str {
    req.split(' ').nth(1).unwrap_or_default()
}

/// Whether a request is for a stream.
fn is_stream(req: &str) -> bool {
    target(req).starts_with("/stream/") || target(req).starts_with("/once/")
}

/// Number of the events of a stream that the caller has.
fn events_before(req: &str) -> u32 {
    header(req, "last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Whether a request's prompt has a part.
fn has_part(req: &str, part: &str) -> bool {
    let parts = header(req, "prefix-hash").unwrap_or_default();
    parts.split(',').any(|entry| entry.split(':').next() == Some(part))
}

/// Refuses a request, marked as not executed.
async fn refuse(stream: &mut TcpStream, status: &str, id: &str, extra_headers: &str) {
    let answer = format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{extra_headers}Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    // The host may have closed the connection already.
    let _ = stream.write_all(answer.as_bytes()).await;
}

impl Handler {
    /// Records an event of a request.
    pub fn record_event(&self, id: &str, event: ServerEvent) {
        self.history.record(Observation::AtServer { id: id.to_owned(), engine: self.id.clone(), event });
    }

    /// Records that the server executes a request.
    pub fn record_execution(&self, id: &str, req: &str) {
        self.history.record(Observation::Executed {
            id: id.to_owned(),
            target: target(req).to_owned(),
            workspace: header(req, "tenant").unwrap_or_default(),
            with_key: header(req, "key").is_some(),
            engine: self.id.clone(),
            at: Instant::now(),
        });
    }

    /// Writes a complete answer, a stream with a time between its events.
    pub async fn write_answer(
        &self,
        stream: &mut TcpStream,
        req: &str,
        head: &str,
        id: &str,
        event_gap: Duration,
    ) -> std::io::Result<()> {
        if is_stream(req) {
            return self.write_events(stream, head, id, events_before(req), event_gap).await;
        }
        let answer = format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\nown {id}", id.len() + 4);
        stream.write_all(answer.as_bytes()).await
    }

    /// Waits while the server writes nothing.
    pub async fn end_of_silence(&self) {
        // The server is gone if its sender is.
        let _ = self.silent.clone().wait_for(|silent| !*silent).await;
    }

    /// Writes a stream that ends with its connection. It pauses inside its events, so that a crash leaves a part of one.
    async fn write_unframed(&self, mut stream: TcpStream, head: &str, id: &str, after: u32) {
        let head = format!("HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\r\n");
        let mut text = head;
        for n in after + 1..=STREAM_EVENTS {
            let event = event_with_data(n, &format!("own {n} {} {id}", self.version));
            let (begin, end) = event.split_at(event.len() / 2);
            self.end_of_silence().await;
            if stream.write_all((text + begin).as_bytes()).await.is_err() {
                return;
            }
            tokio::time::sleep(EVENT_GAP).await;
            self.record_event(id, ServerEvent::WroteEvent(n, Instant::now()));
            text = end.to_owned();
        }
        if stream.write_all(text.as_bytes()).await.is_ok() {
            self.history.record(Observation::AnswerWritten { id: id.to_owned(), engine: self.id.clone() });
        }
    }

    /// Writes a stream's events that follow the given number, each with the version of the server.
    async fn write_events(
        &self,
        stream: &mut TcpStream,
        head: &str,
        id: &str,
        after: u32,
        event_gap: Duration,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for n in after + 1..=STREAM_EVENTS {
            let data = format!("own {n} {} {id}", self.version);
            self.end_of_silence().await;
            self.record_event(id, ServerEvent::WroteEvent(n, Instant::now()));
            stream.write_all(chunk(&event_with_data(n, &data)).as_bytes()).await?;
            tokio::time::sleep(event_gap).await;
        }
        stream.write_all(b"0\r\n\r\n").await
    }
}
