//! The path of one request: entry, admit, place, dispatch, answer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{
    catalog::{Catalog, Engine, EngineKey, NoPool},
    client::{Client, Failure},
    entry::{self, Query, Router},
    error::Kind,
    http::{Cut, Handler, Reply},
    metrics::Metrics,
    place::Loads,
    util::{Set, random_id},
};

const ATTEMPTS: usize = 3;
const ENTRY_KEEP_S: u32 = 30;
const ENTRY_MOST: usize = 8;
/// Chunks that wait for a slow caller before the engine's stream is held back.
const STREAM_DEPTH: usize = 8;

/// State that all requests of one router share.
#[derive(Debug)]
pub struct Gateway {
    me: Router,
    routers: RwLock<Vec<Router>>,
    catalog: RwLock<Arc<Catalog>>,
    loads: Arc<Mutex<Loads>>,
    client: Client,
    metrics: Arc<Metrics>,
}

impl Gateway {
    /// Gateway of the router `me`.
    pub fn new(me: Router, metrics: Arc<Metrics>) -> Self {
        Self {
            routers: RwLock::new(vec![me.clone()]),
            me,
            catalog: RwLock::default(),
            loads: Arc::default(),
            client: Client::default(),
            metrics,
        }
    }

    /// Puts a catalog in force unless a newer one already is.
    pub fn set_catalog(&self, cat: Catalog) {
        let mut current = self.catalog.write().unwrap_or_else(|e| e.into_inner());
        if cat.version >= current.version {
            *current = Arc::new(cat);
        }
    }

    /// Sets the routers that may be handed out.
    pub fn set_routers(&self, routers: Vec<Router>) {
        *self.routers.write().unwrap_or_else(|e| e.into_inner()) = routers;
    }

    /// The catalog in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.read().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn ready(&self) -> bool {
        self.catalog().version > 0
    }

    async fn route(&self, req: Request<Bytes>) -> Result<Reply, (Kind, String)> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => Ok(Reply::full(200, "ok\n")),
            (&Method::GET, "/readyz") if self.ready() => Ok(Reply::full(200, "ready\n")),
            (&Method::GET, "/metrics") => self.show_metrics(),
            _ if !self.ready() => Err((Kind::NotReady, "no configuration yet".into())),
            (&Method::GET, "/v1/entry") => Ok(self.entry(req.uri().query().unwrap_or(""))),
            (&Method::POST, "/v1/chat/completions") => self.chat(req).await,
            (_, "/v1/entry" | "/v1/chat/completions" | "/healthz" | "/readyz" | "/metrics") => {
                Err((Kind::MethodNotAllowed, format!("{} is not for {path}", req.method())))
            }
            (_, p) if p.starts_with("/services/") => self.service(req).await,
            _ => Err((Kind::NotFound, format!("there is nothing at {path}"))),
        }
    }

    fn show_metrics(&self) -> Result<Reply, (Kind, String)> {
        let text = self.metrics.text().map_err(|e| (Kind::NotReady, format!("{e:#}")))?;
        Ok(Reply::full(200, text).with_header("content-type", "text/plain; version=0.0.4"))
    }

    fn entry(&self, text: &str) -> Reply {
        let field = |name: &str| text.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        let query = Query {
            data_centre: field("data_centre").map_or(self.me.data_centre.clone(), Into::into),
            region: field("region").map_or(self.me.region.clone(), Into::into),
            key: field("key").map(Into::into),
            salt: rand::random(),
        };
        let routers = self.routers.read().unwrap_or_else(|e| e.into_inner());
        let list = entry::order(&routers, &query, ENTRY_MOST);
        let addresses: Vec<_> = list.iter().map(|r| r.addr.to_string()).collect();
        Reply::json(200, &serde_json::json!({ "addresses": addresses, "keep_s": ENTRY_KEEP_S }))
    }

    async fn chat(&self, req: Request<Bytes>) -> Result<Reply, (Kind, String)> {
        let body: serde_json::Value =
            serde_json::from_slice(req.body()).map_err(|e| (Kind::BadRequest, format!("no JSON: {e}")))?;
        let model = body.get("model").and_then(|m| m.as_str()).unwrap_or("").to_owned();
        let workspace = header(req.headers(), "x-workspace").unwrap_or("").to_owned();
        let chat = header(req.headers(), "x-chat").map_or_else(random_id, str::to_owned);
        let hint = header(req.headers(), "x-placement-hint").map(str::to_owned);
        let cat = self.catalog();
        let pool = cat.pool(&workspace, &model).map_err(|e| no_pool(e, &workspace, &model))?;
        let mut tried = Set::default();
        for _ in 0..ATTEMPTS {
            let key = {
                let mut loads = lock(&self.loads);
                let key = loads.choose(&cat, pool, &chat, hint.as_deref(), &tried);
                if let Some(key) = key {
                    loads.start(&cat.engine(key).name);
                }
                key
            };
            let Some(key) = key else { break };
            let slot = Slot { loads: self.loads.clone(), name: cat.engine(key).name.clone() };
            match self.send(&cat, key, "/v1/chat/completions", &req, &chat).await {
                Ok(res) => return Ok(stream(res, slot, &chat, cat.engine(key))),
                Err(Failure::Connect) => {
                    self.metrics.retry("connect_failed");
                    tried.insert(cat.engine(key).name.clone());
                }
                Err(Failure::Broken) => return Err((Kind::EngineFailed, "the engine broke off".into())),
            }
        }
        Err((Kind::NoEngine, format!("no engine of pool {} can take the request", pool.name)))
    }

    async fn service(&self, req: Request<Bytes>) -> Result<Reply, (Kind, String)> {
        let rest = req.uri().path().trim_start_matches("/services/").to_owned();
        let (name, tail) = rest.split_once('/').unwrap_or((&rest, ""));
        let cat = self.catalog();
        let service =
            cat.service(name).ok_or_else(|| (Kind::UnknownService, format!("no service {name:?}")))?;
        let ranked = crate::place::rank(&cat, &service.engines, &random_id());
        for key in ranked.into_iter().take(ATTEMPTS) {
            let slot = Slot { loads: self.loads.clone(), name: cat.engine(key).name.clone() };
            lock(&self.loads).start(&slot.name);
            match self.send(&cat, key, &format!("/{tail}"), &req, "").await {
                Ok(res) => return Ok(stream(res, slot, "", cat.engine(key))),
                Err(Failure::Connect) => self.metrics.retry("connect_failed"),
                Err(Failure::Broken) => {
                    return Err((Kind::EngineFailed, "the backend server broke off".into()));
                }
            }
        }
        Err((Kind::NoEngine, format!("no backend server of {name} can take the request")))
    }

    async fn send(
        &self,
        cat: &Catalog,
        key: EngineKey,
        path: &str,
        req: &Request<Bytes>,
        chat: &str,
    ) -> Result<http::Response<Incoming>, Failure> {
        let url = format!("http://{}{path}", cat.engine(key).addr);
        let mut builder = Request::builder().method(req.method()).uri(url).header("x-chat", chat);
        for name in ["content-type", "x-workspace", "idempotency-key"] {
            if let Some(value) = req.headers().get(name) {
                builder = builder.header(name, value);
            }
        }
        let out = builder.body(Full::new(req.body().clone())).map_err(|_| Failure::Connect)?;
        self.client.send(out).await
    }
}

impl Handler for Gateway {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        let id = random_id();
        let reply = match self.route(req).await {
            Ok(reply) => {
                self.metrics.request("answered");
                reply
            }
            Err((kind, message)) => {
                self.metrics.request("refused");
                self.metrics.refuse(kind.answer().code);
                kind.reply(message)
            }
        };
        reply.with_header("x-request-id", &id)
    }
}

/// One request in progress at an engine; dropping it ends the count.
struct Slot {
    loads: Arc<Mutex<Loads>>,
    name: Arc<str>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.loads).finish(&self.name);
    }
}

fn stream(res: http::Response<Incoming>, slot: Slot, chat: &str, engine: &Engine) -> Reply {
    let (tx, rx) = mpsc::channel(STREAM_DEPTH);
    let status = res.status().as_u16();
    let content = header(res.headers(), "content-type").unwrap_or("application/octet-stream").to_owned();
    tokio::spawn(async move {
        let _slot = slot;
        let mut body = res.into_body();
        while let Some(frame) = body.frame().await {
            let chunk = frame.map_err(|_| Cut).map(|f| f.into_data().unwrap_or_default());
            let cut = chunk.is_err();
            if tx.send(chunk).await.is_err() || cut {
                return;
            }
        }
    });
    Reply::stream(status, rx)
        .with_header("content-type", &content)
        .with_header("x-outcome", "ran")
        .with_header("x-chat", chat)
        .with_header("x-placement-hint", &engine.name)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn no_pool(e: NoPool, workspace: &str, model: &str) -> (Kind, String) {
    match e {
        NoPool::UnknownWorkspace => (Kind::UnknownWorkspace, format!("no workspace {workspace:?}")),
        NoPool::NoPolicy => (Kind::NoPolicy, format!("no policy routes {workspace:?} with model {model:?}")),
        NoPool::EmptyPool => (Kind::NoEngine, format!("no engine is eligible for {workspace:?}")),
    }
}
