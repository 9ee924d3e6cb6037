//! The path of one request: entry, admit, place, dispatch, answer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard},
};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    catalog::{Catalog, Engine, Id},
    client::{Client, Failure},
    entry::Router,
    error::{Fault, Kind},
    http::{Handler, Reply},
    link::{LinkKey, Links},
    metrics::Metrics,
    place::hint::HintKey,
    util::random_id,
};

use place::Placement;

mod ask;
mod chat;
mod entry;
mod place;
mod relay;
mod service;

const ATTEMPTS: usize = 3;

/// State that all requests of one router share.
#[derive(Debug)]
pub struct Gateway {
    me: Router,
    routers: RwLock<Vec<Router>>,
    catalog: RwLock<Arc<Catalog>>,
    placement: Arc<Placement>,
    client: Client,
    metrics: Arc<Metrics>,
}

impl Gateway {
    /// Gateway of the router `me` in the fleet of `shared_key`.
    pub fn new(me: Router, shared_key: &str, metrics: Arc<Metrics>) -> Self {
        let links = Links::new(LinkKey::new(shared_key));
        let hints = HintKey::new(shared_key);
        let placement = Placement::new(Id::of(&me.name), &me.data_centre, links, hints, metrics.clone());
        Self {
            routers: RwLock::new(vec![me.clone()]),
            me,
            catalog: RwLock::default(),
            placement: Arc::new(placement),
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
        read(&self.catalog).clone()
    }

    fn ready(&self) -> bool {
        self.catalog().version > 0
    }

    async fn route(&self, req: Request<Bytes>) -> Result<Reply, Fault> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => Ok(Reply::full(200, "ok\n")),
            (&Method::GET, "/readyz") if self.ready() => Ok(Reply::full(200, "ready\n")),
            (&Method::GET, "/metrics") => self.show_metrics(),
            _ if !self.ready() => Err(Fault::new(Kind::NotReady, "no configuration yet")),
            (&Method::GET, "/v1/entry") => Ok(self.entry(req.uri().query().unwrap_or(""))),
            (&Method::POST, "/v1/chat/completions") => self.chat(req).await,
            (method, "/v1/entry" | "/v1/chat/completions" | "/healthz" | "/readyz" | "/metrics") => {
                Err(Fault::new(Kind::MethodNotAllowed, format!("{method} is not for {path}")))
            }
            (_, p) if p.starts_with("/services/") => self.service(req).await,
            _ => Err(Fault::new(Kind::NotFound, format!("there is nothing at {path}"))),
        }
    }

    fn show_metrics(&self) -> Result<Reply, Fault> {
        let text = self.metrics.text().map_err(|e| Fault::new(Kind::Internal, format!("{e:#}")))?;
        Ok(Reply::full(200, text).with_header("content-type", "text/plain; version=0.0.4"))
    }

    async fn send(
        &self,
        engine: &Engine,
        path: &str,
        req: &Request<Bytes>,
        chat: &str,
    ) -> Result<http::Response<Incoming>, Failure> {
        let url = format!("http://{}{path}", engine.addr);
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
            Err(fault) => {
                self.metrics.request("refused");
                self.metrics.refuse(fault.kind.answer().code);
                fault.reply()
            }
        };
        reply.with_header("x-request-id", &id)
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn read<T>(m: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    m.read().unwrap_or_else(|e| e.into_inner())
}
