//! Stand-in for a model engine: streams tokens, remembers which chats' prefixes it has cached, and fails as told.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request};
use tokio::sync::watch;

use crate::{
    engine::{CHAT, FENCING, Fencing, OUTCOME, REQUEST_ID, WORKSPACE},
    http::{Handler, Reply, body_channel},
    schema::engine::{Load, Order},
    util::{lock, random_id},
};

mod answers;
mod cache;
mod faults;

pub use faults::Faults;

use answers::Answer;
use cache::{Cache, Chat};

/// A model engine with a bounded prefix cache.
#[derive(Debug)]
pub struct EngineStandin {
    tokens: usize,
    token_time: Duration,
    state: Mutex<State>,
    crashes: watch::Sender<u64>,
    running: Arc<AtomicU32>,
    hits: AtomicU64,
    returns: AtomicU64,
    requests: AtomicU64,
    cancels: AtomicU64,
    sent: Arc<AtomicU64>,
}

#[derive(Debug)]
struct State {
    start: u64,
    cache: Cache,
    faults: Faults,
    answers: BTreeMap<String, Running>,
    runs: BTreeMap<String, u32>,
    fencing: Fencing,
    orders: Vec<(Fencing, Order)>,
    wanted: Order,
}

#[derive(Debug)]
struct Running {
    answer: Answer,
    task: tokio::task::AbortHandle,
}

/// Counts a running request; dropping it ends the count, also when the request is aborted.
struct Count(Arc<AtomicU32>);

impl Count {
    fn start(running: &Arc<AtomicU32>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running.clone())
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EngineStandin {
    /// Engine that answers `tokens` tokens, one every `token_time`, and caches `cache_size` chats.
    pub fn new(tokens: usize, token_time: Duration, cache_size: usize) -> Self {
        let state = State {
            start: rand::random(),
            cache: Cache::new(cache_size),
            faults: Faults::default(),
            answers: BTreeMap::new(),
            runs: BTreeMap::new(),
            fencing: 0,
            orders: Vec::new(),
            wanted: Order::default(),
        };
        Self {
            tokens,
            token_time,
            state: Mutex::new(state),
            crashes: watch::Sender::new(0),
            running: Arc::default(),
            hits: AtomicU64::new(0),
            returns: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            cancels: AtomicU64::new(0),
            sent: Arc::default(),
        }
    }

    /// Sets what the engine does wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Requests, returning requests, and returning requests that found their prefix cached.
    pub fn request_counts(&self) -> (u64, u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (load(&self.requests), load(&self.returns), load(&self.hits))
    }

    /// Runs by request identifier.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Cancels that met a running request.
    pub fn cancels(&self) -> u64 {
        self.cancels.load(Ordering::Relaxed)
    }

    /// Events handed to connections.
    pub fn events_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Orders that were taken, in their order.
    pub fn orders(&self) -> Vec<(Fencing, Order)> {
        self.lock().orders.clone()
    }

    /// Number of crashes; connections in front of the engine end when it changes.
    pub fn subscribe_crashes(&self) -> watch::Receiver<u64> {
        self.crashes.subscribe()
    }

    /// Crashes the engine: what ran and what was cached is lost, connections are cut, the start changes.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.start = rand::random();
        state.cache.clear();
        for (_, running) in std::mem::take(&mut state.answers) {
            running.task.abort();
        }
        drop(state);
        self.crashes.send_modify(|n| *n += 1);
    }

    fn chat(&self, req: &Request<Bytes>) -> Result<Reply, Crashed> {
        let chat = chat_of(req);
        let request = Some(header(req, REQUEST_ID)).filter(|id| !id.is_empty());
        let request = request.map_or_else(random_id, str::to_owned);
        let Ok(body) = serde_json::from_slice::<serde_json::Value>(req.body()) else {
            return Ok(Reply::full(400, "").with_header(OUTCOME, "not-run"));
        };
        let mut state = self.lock();
        let faults = state.faults.for_connection();
        if faults.refuse {
            return Ok(Reply::full(503, "").with_header(OUTCOME, "not-run"));
        }
        *state.runs.entry(request.clone()).or_default() += 1;
        if faults.crash_on.as_ref().is_some_and(|text| body.to_string().contains(text.as_str())) {
            drop(state);
            self.crash();
            return Err(Crashed);
        }
        let turns = body.get("messages").and_then(|m| m.as_array()).map_or(0, Vec::len);
        self.requests.fetch_add(1, Ordering::Relaxed);
        let cached = state.cache.touch(&chat);
        if turns > 1 {
            self.returns.fetch_add(1, Ordering::Relaxed);
            self.hits.fetch_add(u64::from(cached), Ordering::Relaxed);
        }
        let (answer, maker) = Answer::start(&request, &chat.1, self.tokens);
        let rx = answer.connect(0, faults.clone(), self.crashes.subscribe(), self.sent.clone());
        let (pause, count) = (self.token_time, Count::start(&self.running));
        let task = tokio::spawn(async move {
            maker.run(faults.late(), pause).await;
            drop(count);
            // The answer is kept for connections that resume it.
            std::future::pending::<()>().await;
            drop(maker);
        });
        state.answers.insert(request.clone(), Running { answer, task: task.abort_handle() });
        let reply = Reply::stream(200, rx).with_header("content-type", "text/event-stream");
        Ok(reply.with_header(REQUEST_ID, &request))
    }

    fn resume(&self, request: &str, query: &str) -> Reply {
        let Some(Ok(from)) = query.strip_prefix("from=").map(str::parse) else { return Reply::full(400, "") };
        let mut state = self.lock();
        let faults = state.faults.for_connection();
        let Some(running) = state.answers.get(request) else { return Reply::full(404, "") };
        let rx = running.answer.connect(from, faults, self.crashes.subscribe(), self.sent.clone());
        Reply::stream(200, rx)
            .with_header("content-type", "text/event-stream")
            .with_header(REQUEST_ID, request)
    }

    fn cancel(&self, request: &str) -> Reply {
        let Some(running) = self.lock().answers.remove(request) else { return Reply::full(404, "") };
        running.task.abort();
        self.cancels.fetch_add(1, Ordering::Relaxed);
        Reply::full(204, "")
    }

    fn load(&self) -> Reply {
        let state = self.lock();
        let running = self.running();
        let load = Load {
            start: state.start,
            running,
            waiting: 0,
            tokens: u64::from(running) * self.tokens as u64,
            leaving: state.faults.leaving,
            models: state.wanted.models.clone(),
            adapters: state.wanted.adapters.clone(),
            role: state.wanted.role.clone(),
        };
        Reply::json(200, &load)
    }

    fn events(&self, query: &str) -> Reply {
        let Some(Ok(since)) = query.strip_prefix("since=").map(str::parse) else {
            return Reply::full(400, "");
        };
        let state = self.lock();
        Reply::json(200, &state.cache.events(state.start, since, state.faults.event_gap))
    }

    fn export(&self, chat: &Chat) -> Reply {
        if self.lock().cache.holds(chat) { Reply::full(200, kv_of(chat)) } else { Reply::full(404, "") }
    }

    fn import(&self, chat: &Chat, kv: &Bytes) -> Reply {
        if *kv != kv_of(chat) {
            return Reply::full(400, "");
        }
        self.lock().cache.touch(chat);
        Reply::full(204, "")
    }

    fn order(&self, req: &Request<Bytes>) -> Reply {
        let (Ok(fencing), Ok(order)) =
            (header(req, FENCING).parse::<Fencing>(), serde_json::from_slice::<Order>(req.body()))
        else {
            return Reply::full(400, "");
        };
        let mut state = self.lock();
        if state.faults.checks_fencing && fencing < state.fencing {
            return Reply::full(409, "");
        }
        state.fencing = state.fencing.max(fencing);
        state.wanted = order.clone();
        state.orders.push((fencing, order));
        Reply::full(202, "")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn chat_of(req: &Request<Bytes>) -> Chat {
    (header(req, WORKSPACE).to_owned(), header(req, CHAT).to_owned())
}

fn kv_of((workspace, chat): &Chat) -> String {
    format!("kv of {chat} in {workspace}")
}

fn header<'a>(req: &'a Request<Bytes>, name: &str) -> &'a str {
    req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// The engine has crashed on a request, and answers nothing any more.
struct Crashed;

/// Time for the gate in front of the engine to cut the connections. A head that is written before that reaches the caller
/// first on a busy machine, who then sees an answer that breaks off instead of none.
const GATE_CUTS: Duration = Duration::from_secs(1);

/// Reply whose connection is cut.
async fn cut() -> Reply {
    tokio::time::sleep(GATE_CUTS).await;
    let (_, rx) = body_channel(1);
    Reply::stream(200, rx)
}

impl Handler for EngineStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        let path = req.uri().path().trim_start_matches('/');
        let query = req.uri().query().unwrap_or("");
        let parts: Vec<_> = path.split('/').collect();
        match (req.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => match self.chat(&req) {
                Ok(reply) => reply,
                Err(Crashed) => cut().await,
            },
            (&Method::GET, ["v1", "streams", id]) => self.resume(id, query),
            (&Method::DELETE, ["v1", "streams", id]) => self.cancel(id),
            (&Method::GET, ["load"]) => self.load(),
            (&Method::GET, ["events"]) => self.events(query),
            (&Method::GET, ["kv"]) => self.export(&chat_of(&req)),
            (&Method::PUT, ["kv"]) => self.import(&chat_of(&req), req.body()),
            (&Method::POST, ["orders"]) => self.order(&req),
            _ => Reply::full(404, ""),
        }
    }
}
