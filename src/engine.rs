//! Client of the interface that model engines offer: streaming answers, load, cache events, resume, cancel,
//! KV cache export and import, and orders.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::{
    client::{Client, Failure},
    schema::engine::{CacheEvents, Load, Order},
    stream::Offset,
    util::hash,
};

pub mod answer;

/// Number that orders the holders of a pool's lease.
pub type Fencing = u64;

/// Header that binds an answer to its request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header by which a backend server proves that it did not run a request.
pub const OUTCOME: &str = "x-outcome";
/// Header with the name of a chat.
pub const CHAT: &str = "x-chat";
/// Header with the workspace of a chat.
pub const WORKSPACE: &str = "x-workspace";
/// Header with the fencing token of an order.
pub const FENCING: &str = "x-fencing";

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const KV_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_KV: usize = 64 << 20;

/// Identity of a chat. Callers name their chats freely, so that two workspaces may use the same name; cached
/// context belongs to the pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChatId<'a> {
    /// Workspace whose chat it is.
    pub workspace: &'a str,
    /// Name that the caller gave it.
    pub chat: &'a str,
}

impl ChatId<'_> {
    /// Hash by which the chat is placed, the same on every router.
    pub fn hash(&self) -> u64 {
        hash((self.workspace, self.chat))
    }
}

/// A request to a model engine.
#[derive(Clone, Debug)]
pub struct ChatCall<'a> {
    /// Identifier that every event of the answer carries; unique for each attempt.
    pub request: &'a str,
    /// Chat whose prefix the engine may have cached.
    pub chat: &'a str,
    /// Workspace that asks.
    pub workspace: &'a str,
    /// Priority class; the engine runs lower numbers first.
    pub priority: u16,
    /// JSON body in the OpenAI style.
    pub body: Bytes,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// The engine took it.
    Taken,
    /// The engine has seen a higher fencing token.
    Stale,
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: Client,
    base: String,
}

impl EngineClient {
    /// Client of the engine at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, base: format!("http://{addr}") }
    }

    /// Sends a chat request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`Failure::Connect`] only where no byte can have been sent.
    pub async fn chat(&self, call: &ChatCall<'_>) -> Result<Response<Incoming>, Failure> {
        let req = Request::post(format!("{}/v1/chat/completions", self.base))
            .header("content-type", "application/json")
            .header(REQUEST_ID, call.request)
            .header(CHAT, call.chat)
            .header(WORKSPACE, call.workspace)
            .header("x-priority", call.priority)
            .body(Full::new(call.body.clone()))
            .map_err(|_| Failure::Connect)?;
        self.client.send(req).await
    }

    /// Opens the stream of a running or finished request again from `from` on.
    ///
    /// # Errors
    /// When no connection could be made or it broke.
    pub async fn resume(&self, request: &str, from: Offset) -> Result<Response<Incoming>, Failure> {
        let url = format!("{}/v1/streams/{request}?from={from}", self.base);
        let req = Request::get(url)
            .header(REQUEST_ID, request)
            .body(Full::default())
            .map_err(|_| Failure::Connect)?;
        self.client.send(req).await
    }

    /// Stops a request; one that the engine does not know counts as stopped.
    ///
    /// # Errors
    /// When no answer came.
    pub async fn cancel(&self, request: &str) -> Result<()> {
        let url = format!("{}/v1/streams/{request}", self.base);
        match self.call(Method::DELETE, &url).await? {
            (200 | 204 | 404, _) => Ok(()),
            (status, _) => bail!("the engine answered {status} to a cancel"),
        }
    }

    /// Reads the load report.
    ///
    /// # Errors
    /// When no report came in time.
    pub async fn load(&self) -> Result<Load> {
        match self.call(Method::GET, &format!("{}/load", self.base)).await? {
            (200, body) => serde_json::from_value(body).context("could not parse the load report"),
            (status, _) => bail!("the engine answered {status} to a load request"),
        }
    }

    /// Reads the cache events after position `since`.
    ///
    /// # Errors
    /// When no answer came in time.
    pub async fn events(&self, since: u64) -> Result<CacheEvents> {
        match self.call(Method::GET, &format!("{}/events?since={since}", self.base)).await? {
            (200, body) => serde_json::from_value(body).context("could not parse the cache events"),
            (status, _) => bail!("the engine answered {status} to a request for events"),
        }
    }

    /// Exports the KV cache of a chat; `None` when the engine has none.
    ///
    /// # Errors
    /// When no answer came in time or the cache is too large to move.
    pub async fn export_kv(&self, chat: ChatId<'_>) -> Result<Option<Bytes>> {
        let req = self.kv(Method::GET, chat).body(Full::default())?;
        match self.bytes(req).await? {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => bail!("the engine answered {status} to an export"),
        }
    }

    /// Imports the KV cache of a chat.
    ///
    /// # Errors
    /// When the engine did not take it.
    pub async fn import_kv(&self, chat: ChatId<'_>, kv: Bytes) -> Result<()> {
        let req = self.kv(Method::PUT, chat).body(Full::new(kv))?;
        match self.bytes(req).await? {
            (200 | 201 | 204, _) => Ok(()),
            (status, _) => bail!("the engine answered {status} to an import"),
        }
    }

    /// Gives an order under a fencing token.
    ///
    /// # Errors
    /// When no answer came; the order may then have been taken.
    pub async fn order(&self, order: &Order, fencing: Fencing, timeout: Duration) -> Result<Ordered> {
        let req = Request::post(format!("{}/orders", self.base))
            .header("content-type", "application/json")
            .header(FENCING, fencing)
            .body(Full::new(Bytes::from(serde_json::to_vec(order)?)))?;
        let answer = tokio::time::timeout(timeout, self.client.send(req)).await;
        let res = answer.context("no answer to an order in time")?;
        let res = res.map_err(|e| anyhow::anyhow!("could not give an order: {e:?}"))?;
        match res.status().as_u16() {
            200 | 202 => Ok(Ordered::Taken),
            409 => Ok(Ordered::Stale),
            status => bail!("the engine answered {status} to an order"),
        }
    }

    /// A caller's name of a chat may hold slashes and dots. In the path it could reach anything else that the engine
    /// serves, or another chat's context; a header's value can't.
    fn kv(&self, method: Method, chat: ChatId<'_>) -> http::request::Builder {
        let builder = Request::builder().method(method).uri(format!("{}/kv", self.base));
        builder.header(WORKSPACE, chat.workspace).header(CHAT, chat.chat)
    }

    async fn call(&self, method: Method, url: &str) -> Result<(u16, serde_json::Value)> {
        self.client.json(method, url, None, CALL_TIMEOUT).await
    }

    async fn bytes(&self, req: Request<Full<Bytes>>) -> Result<(u16, Bytes)> {
        let work = async {
            let res = self.client.send(req).await.map_err(|e| anyhow::anyhow!("no answer: {e:?}"))?;
            let status = res.status().as_u16();
            let body = Limited::new(res.into_body(), MAX_KV).collect().await;
            let body = body.map_err(|e| anyhow::anyhow!("could not read the KV cache: {e}"))?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(KV_TIMEOUT, work).await.context("the KV cache did not move in time")?
    }
}
