//! `POST /v1/chat/completions`: places a chat and relays its answer.

use bytes::Bytes;
use http::Request;

use super::{ATTEMPTS, Gateway, ask::Ask, relay::relay};
use crate::{
    catalog::NoPool,
    client::Failure,
    error::{Fault, Kind},
    http::Reply,
};

impl Gateway {
    pub(super) async fn chat(&self, req: Request<Bytes>) -> Result<Reply, Fault> {
        let ask = Ask::chat(req.headers(), req.body())?;
        let cat = self.catalog();
        let pool = cat.pool(&ask.workspace, &ask.model).map_err(|e| no_pool(e, &ask))?;
        let mut tried = Vec::new();
        for _ in 0..ATTEMPTS {
            let placed = self.place(&cat, pool, &ask, tried.iter().copied()).await;
            let Ok(placed) = placed else { break };
            let engine = cat.engine(placed.engine);
            match self.send(engine, "/v1/chat/completions", &req, &ask.chat).await {
                Ok(res) => {
                    let reply = relay(res, Some(placed.slot)).with_header("x-chat", &ask.chat);
                    return Ok(reply.with_header("x-placement-hint", &placed.hint));
                }
                Err(Failure::Connect) => {
                    self.metrics.retry("connect_failed");
                    tried.push(engine.id);
                }
                Err(Failure::Broken) => return Err(Fault::new(Kind::EngineFailed, "the engine broke off")),
            }
        }
        Err(Fault::new(Kind::NoEngine, format!("no engine of pool {} can take the request", pool.name)))
    }
}

fn no_pool(e: NoPool, ask: &Ask) -> Fault {
    let (workspace, model) = (&ask.workspace, &ask.model);
    match e {
        NoPool::UnknownWorkspace => Fault::new(Kind::UnknownWorkspace, format!("no workspace {workspace:?}")),
        NoPool::NoPolicy => {
            Fault::new(Kind::NoPolicy, format!("no policy routes {workspace:?} with model {model:?}"))
        }
        NoPool::UnknownPool => {
            Fault::new(Kind::NoPolicy, format!("the pool for {workspace:?} is not configured"))
        }
        NoPool::EmptyPool => Fault::new(Kind::NoEngine, format!("no engine is eligible for {workspace:?}")),
    }
}
