//! Stand-in for a model engine: streams tokens, simulates a prefix cache and injects faults.

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
use cache::{Cache, ChatKey};

/// Model engine with a bounded prefix cache.
#[derive(Debug)]
pub struct EngineStandin {
    tokens: usize,
    token_interval: Duration,
    state: Mutex<State>,
    crashes: watch::Sender<u64>,
    running: Arc<AtomicU32>,
    cache_hits: AtomicU64,
    follow_ups: AtomicU64,
    requests: AtomicU64,
    cancels: AtomicU64,
    events_sent: Arc<AtomicU64>,
}

#[derive(Debug)]
struct State {
    start: u64,
    cache: Cache,
    faults: Faults,
    answers: BTreeMap<String, StoredAnswer>,
    runs: BTreeMap<String, u32>,
    highest_fencing: Fencing,
    orders: Vec<(Fencing, Order)>,
    desired: Order,
}

#[derive(Debug)]
struct StoredAnswer {
    answer: Answer,
    task: tokio::task::AbortHandle,
}

/// Counts a running request until it is dropped, which also happens when the request's task is aborted.
struct RunningGuard(Arc<AtomicU32>);

impl RunningGuard {
    fn start(running: &Arc<AtomicU32>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EngineStandin {
    /// Engine that answers with `tokens` tokens, one every `token_interval`, and caches `cache_size` chats.
    pub fn new(tokens: usize, token_interval: Duration, cache_size: usize) -> Self {
        let state = State {
            start: rand::random(),
            cache: Cache::new(cache_size),
            faults: Faults::default(),
            answers: BTreeMap::new(),
            runs: BTreeMap::new(),
            highest_fencing: 0,
            orders: Vec::new(),
            desired: Order::default(),
        };
        Self {
            tokens,
            token_interval,
            state: Mutex::new(state),
            crashes: watch::Sender::new(0),
            running: Arc::default(),
            cache_hits: AtomicU64::new(0),
            follow_ups: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            cancels: AtomicU64::new(0),
            events_sent: Arc::default(),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Numbers of requests, of follow-up requests in a chat, and of follow-up requests with a cache hit.
    pub fn request_counts(&self) -> (u64, u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (load(&self.requests), load(&self.follow_ups), load(&self.cache_hits))
    }

    /// Number of runs by request identifier.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Number of cancels that found their request.
    pub fn cancels(&self) -> u64 {
        self.cancels.load(Ordering::Relaxed)
    }

    /// Number of events sent on all connections.
    pub fn events_sent(&self) -> u64 {
        self.events_sent.load(Ordering::Relaxed)
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Accepted orders with their fencing tokens, in order of arrival.
    pub fn orders(&self) -> Vec<(Fencing, Order)> {
        self.lock().orders.clone()
    }

    /// Receiver of the number of crashes; the proxy in front of the engine cuts its connections at each change.
    pub fn subscribe_crashes(&self) -> watch::Receiver<u64> {
        self.crashes.subscribe()
    }

    /// Simulates a crash and restart: running requests and the cache are lost, connections are cut, the start changes.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.start = rand::random();
        state.cache.clear();
        for (_, stored) in std::mem::take(&mut state.answers) {
            stored.task.abort();
        }
        drop(state);
        self.crashes.send_modify(|n| *n += 1);
    }

    fn start_chat(&self, req: &Request<Bytes>) -> Result<Reply, Crashed> {
        let chat = chat_key(req);
        let request = Some(header(req, REQUEST_ID)).filter(|id| !id.is_empty());
        let request = request.map_or_else(random_id, str::to_owned);
        let Ok(body) = serde_json::from_slice::<serde_json::Value>(req.body()) else {
            return Ok(Reply::full(400, "").with_header(OUTCOME, "not-run"));
        };
        let mut state = self.lock();
        let faults = state.faults.take_for_connection();
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
            self.follow_ups.fetch_add(1, Ordering::Relaxed);
            self.cache_hits.fetch_add(u64::from(cached), Ordering::Relaxed);
        }
        let (answer, producer) = Answer::start(&request, &chat.1, self.tokens);
        let rx = answer.connect(0, faults.clone(), self.crashes.subscribe(), self.events_sent.clone());
        let (interval, guard) = (self.token_interval, RunningGuard::start(&self.running));
        let task = tokio::spawn(async move {
            producer.run(faults.delay(), interval).await;
            drop(guard);
            // The producer stays alive, so that connections can still resume the answer.
            std::future::pending::<()>().await;
            drop(producer);
        });
        state.answers.insert(request.clone(), StoredAnswer { answer, task: task.abort_handle() });
        let reply = Reply::stream(200, rx).with_header("content-type", "text/event-stream");
        Ok(reply.with_header(REQUEST_ID, &request))
    }

    fn resume(&self, request: &str, query: &str) -> Reply {
        let Some(Ok(from)) = query.strip_prefix("from=").map(str::parse) else { return Reply::full(400, "") };
        let mut state = self.lock();
        let faults = state.faults.take_for_connection();
        let Some(stored) = state.answers.get(request) else { return Reply::full(404, "") };
        let rx = stored.answer.connect(from, faults, self.crashes.subscribe(), self.events_sent.clone());
        Reply::stream(200, rx)
            .with_header("content-type", "text/event-stream")
            .with_header(REQUEST_ID, request)
    }

    fn cancel(&self, request: &str) -> Reply {
        let Some(stored) = self.lock().answers.remove(request) else { return Reply::full(404, "") };
        stored.task.abort();
        self.cancels.fetch_add(1, Ordering::Relaxed);
        Reply::full(204, "")
    }

    fn load_report(&self) -> Reply {
        let state = self.lock();
        let running = self.running();
        let load = Load {
            start: state.start,
            running,
            waiting: 0,
            tokens: u64::from(running) * self.tokens as u64,
            leaving: state.faults.leaving,
            models: state.desired.models.clone(),
            adapters: state.desired.adapters.clone(),
            role: state.desired.role.clone(),
        };
        Reply::json(200, &load)
    }

    fn cache_events(&self, query: &str) -> Reply {
        let Some(Ok(since)) = query.strip_prefix("since=").map(str::parse) else {
            return Reply::full(400, "");
        };
        let state = self.lock();
        Reply::json(200, &state.cache.events(state.start, since, state.faults.event_gap))
    }

    fn export_kv(&self, chat: &ChatKey) -> Reply {
        if self.lock().cache.contains(chat) { Reply::full(200, kv_data(chat)) } else { Reply::full(404, "") }
    }

    fn import_kv(&self, chat: &ChatKey, kv: &Bytes) -> Reply {
        if *kv != kv_data(chat) {
            return Reply::full(400, "");
        }
        self.lock().cache.touch(chat);
        Reply::full(204, "")
    }

    fn handle_order(&self, req: &Request<Bytes>) -> Reply {
        let (Ok(fencing), Ok(order)) =
            (header(req, FENCING).parse::<Fencing>(), serde_json::from_slice::<Order>(req.body()))
        else {
            return Reply::full(400, "");
        };
        let mut state = self.lock();
        if state.faults.checks_fencing && fencing < state.highest_fencing {
            return Reply::full(409, "");
        }
        state.highest_fencing = state.highest_fencing.max(fencing);
        state.desired = order.clone();
        state.orders.push((fencing, order));
        Reply::full(202, "")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn chat_key(req: &Request<Bytes>) -> ChatKey {
    (header(req, WORKSPACE).to_owned(), header(req, CHAT).to_owned())
}

fn kv_data((workspace, chat): &ChatKey) -> String {
    format!("kv of {chat} in {workspace}")
}

fn header<'a>(req: &'a Request<Bytes>, name: &str) -> &'a str {
    req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// The engine crashed on a request, which therefore gets no answer.
struct Crashed;

/// Time for the proxy in front of the engine to cut the connections. On a busy machine, a response head written earlier
/// could still reach the caller, who would see a truncated answer instead of none.
const PROXY_CUT_WAIT: Duration = Duration::from_secs(1);

/// Reply that never reaches the caller, since the proxy cuts the connection first.
async fn cut_connection() -> Reply {
    tokio::time::sleep(PROXY_CUT_WAIT).await;
    let (_, rx) = body_channel(1);
    Reply::stream(200, rx)
}

impl Handler for EngineStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        let path = req.uri().path().trim_start_matches('/');
        let query = req.uri().query().unwrap_or("");
        let parts: Vec<_> = path.split('/').collect();
        match (req.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => match self.start_chat(&req) {
                Ok(reply) => reply,
                Err(Crashed) => cut_connection().await,
            },
            (&Method::GET, ["v1", "streams", id]) => self.resume(id, query),
            (&Method::DELETE, ["v1", "streams", id]) => self.cancel(id),
            (&Method::GET, ["load"]) => self.load_report(),
            (&Method::GET, ["events"]) => self.cache_events(query),
            (&Method::GET, ["kv"]) => self.export_kv(&chat_key(&req)),
            (&Method::PUT, ["kv"]) => self.import_kv(&chat_key(&req), req.body()),
            (&Method::POST, ["orders"]) => self.handle_order(&req),
            _ => Reply::full(404, ""),
        }
    }
}
