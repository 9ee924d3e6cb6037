//! `POST /v1/chat/completions`: admits, places and sends a chat, and relays its answer.

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;

use super::{
    Gateway,
    ask::Ask,
    attempt::{Backends, Found, Queued, Unfound},
    place::Unplaced,
    relay::relay_events,
    resume::RESUME_TOKEN,
};
use crate::{
    catalog::{Catalog, Engine, Id, NoPool, Pool},
    client::Failure,
    engine::{ChatCall, EngineClient},
    error::{ErrorKind, RequestError},
    http::Reply,
    util::now,
};

impl Gateway {
    pub(super) async fn chat(&self, req: Request<Bytes>, id: &str) -> Result<Reply, RequestError> {
        let ask = Ask::chat(id, req.headers(), req.body(), now())?;
        let cat = self.catalog();
        let pool = cat.pool(&ask.workspace, &ask.model).map_err(|e| no_pool(e, &ask))?;
        let entered = self.enter(&cat, &ask)?;
        let queue = self.admission.queue(&pool.name);
        let engines = Engines { gateway: self, cat: &cat, pool, ask: &ask, body: req.body() };
        let started = self.attempt(&cat, &ask, &queue, &engines).await?;
        let hint = started.found.hint.clone().unwrap_or_default();
        let addr = cat.engine(started.found.engine).addr;
        let token = self.resume_token(&started.request, addr, &ask.workspace);
        let engine = EngineClient::new(self.client.clone(), addr);
        let router = started.found.router.map(|addr| addr.to_string()).unwrap_or_default();
        Ok(relay_events(started, entered, engine, &self.metrics)
            .with_header("x-chat", &ask.chat)
            .with_header("x-next-router", &router)
            .with_header("x-placement-hint", &hint)
            .with_header(RESUME_TOKEN, &token))
    }
}

/// The engines of a pool, for one chat.
struct Engines<'a> {
    gateway: &'a Gateway,
    cat: &'a Catalog,
    pool: &'a Pool,
    ask: &'a Ask,
    body: &'a Bytes,
}

impl Backends for Engines<'_> {
    async fn find(&self, exclude: &[Id], queue: Queued) -> Result<Found, Unfound> {
        if queue == Queued::Yes && self.gateway.placement.placer().is_full(self.cat, self.pool, now()) {
            return Err(Unfound::AtBound);
        }
        let placed = self.gateway.place(self.cat, self.pool, self.ask, exclude.iter().copied()).await;
        match placed {
            Ok(p) => Ok(Found { engine: p.engine, slot: Some(p.slot), hint: Some(p.hint), router: p.router }),
            Err(Unplaced::AtBound) => Err(Unfound::AtBound),
            Err(Unplaced::NoneInUse) => Err(Unfound::NoneInUse),
        }
    }

    async fn send(&self, engine: &Engine, request: &str) -> Result<Response<Incoming>, Failure> {
        let call = ChatCall {
            request,
            chat: &self.ask.chat,
            workspace: &self.ask.workspace,
            priority: self.ask.priority as u16,
            body: self.body.clone(),
        };
        EngineClient::new(self.gateway.client.clone(), engine.addr).chat(&call).await
    }

    /// A model engine keeps nothing of a chat but its cache: an answer of which nothing was passed on may be
    /// made again.
    fn idempotent(&self) -> bool {
        true
    }
}

fn no_pool(e: NoPool, ask: &Ask) -> RequestError {
    let (workspace, model) = (&ask.workspace, &ask.model);
    match e {
        NoPool::UnknownWorkspace => {
            RequestError::new(ErrorKind::UnknownWorkspace, format!("no workspace {workspace:?}"))
        }
        NoPool::NoPolicy => RequestError::new(
            ErrorKind::NoPolicy,
            format!("no policy routes {workspace:?} with model {model:?}"),
        ),
        NoPool::UnknownPool => {
            RequestError::new(ErrorKind::NoPolicy, format!("the pool for {workspace:?} is not configured"))
        }
        NoPool::EmptyPool => {
            RequestError::new(ErrorKind::NoEngine, format!("no engine is eligible for {workspace:?}"))
        }
    }
}
