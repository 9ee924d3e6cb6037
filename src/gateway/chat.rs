//! `POST /v1/chat/completions`: admits, places and sends a chat, and relays the response.

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;

use super::{
    Gateway,
    attempt::{Backends, ChosenBackend, FindError, MayQueue},
    place::PlacementError,
    relay::relay_events,
    request::RequestInfo,
    resume::RESUME_TOKEN_HEADER,
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
    /// Handles a chat request.
    pub(super) async fn chat(&self, req: Request<Bytes>, id: &str) -> Result<Reply, RequestError> {
        let info = RequestInfo::chat(id, req.headers(), req.body(), now())?;
        let cat = self.catalog();
        let pool = cat.pool(&info.workspace, &info.model).map_err(|e| no_pool(e, &info))?;
        let in_flight = self.acquire_in_flight(&cat, &info)?;
        let queue = self.admission.queue(&pool.name);
        let backends = PoolBackends { gateway: self, cat: &cat, pool, info: &info, body: req.body() };
        let started = self.run_attempts(&cat, &info, &queue, &backends).await?;
        let hint = started.chosen.hint.clone().unwrap_or_default();
        let addr = cat.engine(started.chosen.engine).addr;
        let token = self.resume_token(&started.attempt_id, addr, &info.workspace);
        let engine = EngineClient::new(self.client.clone(), addr);
        let router = started.chosen.next_router.map(|addr| addr.to_string()).unwrap_or_default();
        Ok(relay_events(started, in_flight, engine, &self.metrics)
            .with_header("x-chat", &info.chat)
            .with_header("x-next-router", &router)
            .with_header("x-placement-hint", &hint)
            .with_header(RESUME_TOKEN_HEADER, &token))
    }
}

/// Engines of a pool, for one chat.
struct PoolBackends<'a> {
    gateway: &'a Gateway,
    cat: &'a Catalog,
    pool: &'a Pool,
    info: &'a RequestInfo,
    body: &'a Bytes,
}

impl Backends for PoolBackends<'_> {
    async fn find(&self, exclude: &[Id], may_queue: MayQueue) -> Result<ChosenBackend, FindError> {
        if may_queue == MayQueue::Yes && self.gateway.placement.placer().is_full(self.cat, self.pool, now()) {
            return Err(FindError::AtBound);
        }
        let placed = self.gateway.place(self.cat, self.pool, self.info, exclude.iter().copied()).await;
        match placed {
            Ok(p) => Ok(ChosenBackend {
                engine: p.engine,
                guard: Some(p.guard),
                hint: Some(p.hint),
                next_router: p.next_router,
            }),
            Err(PlacementError::AtBound) => Err(FindError::AtBound),
            Err(PlacementError::NoneAvailable) => Err(FindError::NoneAvailable),
        }
    }

    async fn send(&self, engine: &Engine, request: &str) -> Result<Response<Incoming>, Failure> {
        let call = ChatCall {
            request,
            chat: &self.info.chat,
            workspace: &self.info.workspace,
            priority: self.info.priority as u16,
            body: self.body.clone(),
        };
        EngineClient::new(self.gateway.client.clone(), engine.addr).chat(&call).await
    }

    /// A model engine keeps no state of a chat except its cache, so a chat may run again as long as no part of its
    /// answer has been forwarded.
    fn idempotent(&self) -> bool {
        true
    }
}

/// Error for a request that no pool serves.
fn no_pool(e: NoPool, info: &RequestInfo) -> RequestError {
    let (workspace, model) = (&info.workspace, &info.model);
    match e {
        NoPool::UnknownWorkspace => RequestError::new(
            ErrorKind::UnknownWorkspace,
            format!("workspace {workspace:?} is not configured"),
        ),
        NoPool::NoPolicy => RequestError::new(
            ErrorKind::NoPolicy,
            format!("no routing policy matches workspace {workspace:?} and model {model:?}"),
        ),
        NoPool::UnknownPool => RequestError::new(
            ErrorKind::NoPolicy,
            format!("the pool of workspace {workspace:?} is not configured"),
        ),
        NoPool::EmptyPool => RequestError::new(
            ErrorKind::NoEngine,
            format!("no engine is eligible for workspace {workspace:?}"),
        ),
    }
}
