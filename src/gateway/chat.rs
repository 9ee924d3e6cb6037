//! `POST /v1/chat/completions`: places a chat and relays its answer.

use bytes::Bytes;
use http::Request;

use super::{
    ATTEMPTS, Gateway,
    ask::Ask,
    lock,
    relay::{Slot, relay},
};
use crate::{
    catalog::{Catalog, EngineKey, NoPool, Pool},
    client::Failure,
    error::{Fault, Kind},
    http::Reply,
    util::Set,
};

impl Gateway {
    pub(super) async fn chat(&self, req: Request<Bytes>) -> Result<Reply, Fault> {
        let ask = Ask::chat(req.headers(), req.body())?;
        let cat = self.catalog();
        let pool = cat.pool(&ask.workspace, &ask.model).map_err(|e| no_pool(e, &ask))?;
        let mut tried = Set::default();
        for _ in 0..ATTEMPTS {
            let Some(key) = self.start(&cat, pool, &ask, &tried) else { break };
            let engine = cat.engine(key);
            let slot = Slot::adopt(&self.loads, &engine.name);
            match self.send(engine, "/v1/chat/completions", &req, &ask.chat).await {
                Ok(res) => return Ok(relay(res, slot, engine).with_header("x-chat", &ask.chat)),
                Err(Failure::Connect) => {
                    self.metrics.retry("connect_failed");
                    tried.insert(engine.name.clone());
                }
                Err(Failure::Broken) => return Err(Fault::new(Kind::EngineFailed, "the engine broke off")),
            }
        }
        Err(Fault::new(Kind::NoEngine, format!("no engine of pool {} can take the request", pool.name)))
    }

    fn start(
        &self,
        cat: &Catalog,
        pool: &Pool,
        ask: &Ask,
        tried: &Set<std::sync::Arc<str>>,
    ) -> Option<EngineKey> {
        let mut loads = lock(&self.loads);
        let key = loads.choose(cat, pool, &ask.chat, ask.hint.as_deref(), tried)?;
        loads.start(&cat.engine(key).name);
        Some(key)
    }
}

fn no_pool(e: NoPool, ask: &Ask) -> Fault {
    let (workspace, model) = (&ask.workspace, &ask.model);
    match e {
        NoPool::UnknownWorkspace => Fault::new(Kind::UnknownWorkspace, format!("no workspace {workspace:?}")),
        NoPool::NoPolicy => {
            Fault::new(Kind::NoPolicy, format!("no policy routes {workspace:?} with model {model:?}"))
        }
        NoPool::EmptyPool => Fault::new(Kind::NoEngine, format!("no engine is eligible for {workspace:?}")),
    }
}
