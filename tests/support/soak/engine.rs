//! Stand-ins of backend servers: they run each request for some milliseconds and note it, behind a gate each.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cranberrytally::standin::gate::{Gate, Mode};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

use super::{
    checks::{EVENTS, History, Met, STORE, Seen},
    disturbed,
    store::{Store, server},
};
use crate::wire::{chunk, event_of, header, read_request};

/// Servers at any time.
pub const SERVERS: usize = 4;
/// Work of a request, in milliseconds for each eighth of its identifier's hash.
const WORK_MS: u64 = 4;
/// Pause between two events of a stream.
const GAP: Duration = Duration::from_millis(6);
/// One request of so many is refused with a pause while servers ask for pauses.
const PAUSES_ONE_OF: u64 = 7;
/// The pause.
const PAUSE: Duration = Duration::from_millis(2_500);
/// One answer of so many is lost while answers are lost.
const LOSES_ONE_OF: u64 = 4;
/// A leaving server serves for this long after the store has heard of it, so that work which it should not get shows.
const SERVES_ON: Duration = Duration::from_millis(8_000);

/// How the servers misbehave.
#[derive(Debug, Default)]
struct Faults {
    /// They refuse everything, provably not run.
    full: AtomicBool,
    /// They refuse some requests, provably not run, and ask the host for a pause.
    pause: AtomicBool,
    /// They run requests and reset the connection instead of answering some of them.
    lose: AtomicBool,
}

/// One start of a server.
struct Engine {
    id: String,
    leaving: Arc<AtomicBool>,
    gate: Gate,
    task: JoinHandle<()>,
    crash: watch::Sender<u64>,
}

/// The servers.
pub struct Engines {
    store: Store,
    history: Arc<History>,
    faults: Arc<Faults>,
    started: AtomicU64,
    running: Mutex<Vec<Arc<Engine>>>,
}

impl Engines {
    /// Starts the servers and lists them in the store.
    pub async fn start(store: Store, history: Arc<History>) -> Self {
        let engines = Self {
            store,
            history,
            faults: Arc::default(),
            started: AtomicU64::new(0),
            running: Mutex::default(),
        };
        for _ in 0..SERVERS {
            engines.add().await;
        }
        engines
    }

    /// Starts one more server.
    pub async fn add(&self) {
        let id = format!("i-{}", self.started.fetch_add(1, Ordering::Relaxed));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let crash = watch::Sender::new(0);
        let gate = Gate::start(listener.local_addr().unwrap(), Some(crash.subscribe())).await.unwrap();
        let leaving = Arc::<AtomicBool>::default();
        let serving = Serving {
            id: id.clone(),
            leaving: leaving.clone(),
            history: self.history.clone(),
            faults: self.faults.clone(),
        };
        let task = tokio::spawn(accept(listener, serving, crash.subscribe()));
        self.store.put("servers", &id, server(gate.addr(), "ready"));
        self.running.lock().unwrap().push(Arc::new(Engine { id, leaving, gate, task, crash }));
    }

    fn nth(&self, n: usize) -> Arc<Engine> {
        let running = self.running.lock().unwrap();
        running[n % running.len()].clone()
    }

    fn take(&self, n: usize) -> Arc<Engine> {
        let mut running = self.running.lock().unwrap();
        let n = n % running.len();
        running.remove(n)
    }

    /// A server dies with all that it runs; another one takes its place, and its entry lapses later.
    pub async fn crash(&self, n: usize) {
        let (engine, from) = (self.take(n), Instant::now());
        engine.gate.set(Mode::Refuse).await.unwrap();
        engine.crash.send_modify(|n| *n += 1);
        engine.task.abort();
        disturbed(&self.history, &engine.id, from);
        self.add().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.store.remove("servers", &engine.id);
    }

    /// A server accepts connections and passes no byte on new ones.
    pub async fn stall(&self, n: usize, time: Duration) {
        let (engine, from) = (self.nth(n), Instant::now());
        engine.gate.set(Mode::Stall).await.unwrap();
        tokio::time::sleep(time).await;
        engine.gate.set(Mode::Open).await.unwrap();
        disturbed(&self.history, &engine.id, from);
    }

    /// A server says that it leaves, serves on, and is gone.
    pub async fn leave(&self, n: usize) {
        let engine = self.take(n);
        self.add().await;
        engine.leaving.store(true, Ordering::Relaxed);
        self.store.put("servers", &engine.id, server(engine.gate.addr(), "draining"));
        self.history.record(Seen::Left { engine: engine.id.clone(), at: Instant::now() });
        let (store, history) = (self.store.clone(), self.history.clone());
        tokio::spawn(async move {
            tokio::time::sleep(SERVES_ON).await;
            store.remove("servers", &engine.id);
            let from = Instant::now();
            engine.gate.set(Mode::Refuse).await.unwrap();
            engine.task.abort();
            disturbed(&history, &engine.id, from);
        });
    }

    /// Notes that the store was disturbed since a time.
    pub fn note_store(&self, from: Instant) {
        disturbed(&self.history, STORE, from);
    }

    /// All servers refuse everything for a while.
    pub async fn be_full(&self, time: Duration) {
        self.faults.full.store(true, Ordering::Relaxed);
        tokio::time::sleep(time).await;
        self.faults.full.store(false, Ordering::Relaxed);
    }

    /// All servers refuse some requests for a while and ask for pauses.
    pub async fn ask_pauses(&self, time: Duration) {
        self.faults.pause.store(true, Ordering::Relaxed);
        tokio::time::sleep(time).await;
        self.faults.pause.store(false, Ordering::Relaxed);
    }

    /// Some answers are lost for a while, though their requests have run.
    pub async fn lose_answers(&self, time: Duration) {
        self.faults.lose.store(true, Ordering::Relaxed);
        tokio::time::sleep(time).await;
        self.faults.lose.store(false, Ordering::Relaxed);
    }
}

#[derive(Clone)]
struct Serving {
    id: String,
    leaving: Arc<AtomicBool>,
    history: Arc<History>,
    faults: Arc<Faults>,
}

async fn accept(listener: TcpListener, serving: Serving, crash: watch::Receiver<u64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (serving, mut crash) = (serving.clone(), crash.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serving.serve(stream) => {}
                _ = crash.changed() => {}
            }
        });
    }
}

impl Serving {
    async fn serve(self, mut stream: TcpStream) {
        while let Some(req) = read_request(&mut stream).await {
            let id = header(&req, "attempt-id").unwrap_or_default();
            let leaves = self.leaving.load(Ordering::Relaxed);
            let word = if leaves { "Server-Leaving: 1\r\n" } else { "" };
            let head = format!("Attempt-Id: {id}\r\nResponse-Seal: s1\r\n{word}");
            let record =
                |what| self.history.record(Seen::Met { id: id.clone(), engine: self.id.clone(), what });
            record(Met::Reached(Instant::now()));
            if leaves {
                record(Met::SaysLeaving);
            }
            if header(&req, "expected-instance").as_deref() != Some(&self.id) {
                return refuse(&mut stream, "421 Misdirected Request", &id, "").await;
            }
            if self.faults.full.load(Ordering::Relaxed) {
                return refuse(&mut stream, "503 Service Unavailable", &id, word).await;
            }
            let luck = id.bytes().fold(7u64, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()));
            if self.faults.pause.load(Ordering::Relaxed) && luck.is_multiple_of(PAUSES_ONE_OF) {
                record(Met::AsksPause(Instant::now(), PAUSE));
                let word = format!("{word}Retry-After: {}\r\n", PAUSE.as_secs_f64());
                return refuse(&mut stream, "503 Service Unavailable", &id, &word).await;
            }
            let target = req.split(' ').nth(1).unwrap_or_default().to_owned();
            self.history.record(Seen::Ran {
                id: id.clone(),
                target: target.clone(),
                workspace: header(&req, "tenant").unwrap_or_default(),
                with_key: header(&req, "key").is_some(),
                engine: self.id.clone(),
                at: Instant::now(),
            });
            tokio::time::sleep(Duration::from_millis(luck % 8 * WORK_MS)).await;
            if self.faults.lose.load(Ordering::Relaxed) && luck.is_multiple_of(LOSES_ONE_OF) {
                return;
            }
            let after = header(&req, "last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
            let written = match target.starts_with("/stream/") || target.starts_with("/once/") {
                true => write_events(&mut stream, &head, &id, after).await,
                false => {
                    let answer =
                        format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\nown {id}", id.len() + 4);
                    stream.write_all(answer.as_bytes()).await
                }
            };
            if written.is_err() {
                return;
            }
            self.history.record(Seen::Served { id, engine: self.id.clone() });
        }
    }
}

async fn refuse(stream: &mut TcpStream, status: &str, id: &str, word: &str) {
    let answer = format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{word}Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    // The caller of a refusal may be gone already.
    let _ = stream.write_all(answer.as_bytes()).await;
}

async fn write_events(stream: &mut TcpStream, head: &str, id: &str, after: u32) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for n in after + 1..=EVENTS {
        stream.write_all(chunk(&event_of(n, &format!("own {n} {id}"))).as_bytes()).await?;
        tokio::time::sleep(GAP).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}
