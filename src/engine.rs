//! Client of the model engines' API: streamed answers, load, cache events, resume, cancel, KV cache export and import,
//! and orders.

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

/// Fencing token, which increases with each change of the holder of a pool's lease.
pub type Fencing = u64;

/// Header with the identifier of the request that an answer belongs to.
pub const REQUEST_ID: &str = "x-request-id";
/// Header in which a backend server states that it did not run a request.
pub const OUTCOME: &str = "x-outcome";
/// Header with the name of a chat.
pub const CHAT: &str = "x-chat";
/// Header with the workspace of a chat.
pub const WORKSPACE: &str = "x-workspace";
/// Header with the fencing token of an order.
pub const FENCING: &str = "x-fencing";

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const KV_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_KV_CACHE_BYTES: usize = 64 << 20;

/// Identity of a chat. Callers choose the names of their chats, so two workspaces may use the same name; cached context
/// belongs to the pair of workspace and name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChatId<'a> {
    /// Workspace that the chat belongs to.
    pub workspace: &'a str,
    /// Name chosen by the caller.
    pub chat: &'a str,
}

impl ChatId<'_> {
    /// Hash for placement, the same on all routers.
    pub fn hash(&self) -> u64 {
        hash((self.workspace, self.chat))
    }
}

/// Chat request to a model engine.
#[derive(Clone, Debug)]
pub struct ChatCall<'a> {
    /// Identifier that every event of the answer carries; unique for each attempt.
    pub request: &'a str,
    /// Name of the chat, whose prefix the engine may have cached.
    pub chat: &'a str,
    /// Workspace of the chat.
    pub workspace: &'a str,
    /// Priority class; the engine runs lower numbers first.
    pub priority: u16,
    /// JSON body in the format of OpenAI's API.
    pub body: Bytes,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted it.
    Accepted,
    /// The engine rejected it because it has seen a higher fencing token.
    Stale,
}

/// Client of one model engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: Client,
    base: String,
}

impl EngineClient {
    /// Creates a client of the engine at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, base: format!("http://{addr}") }
    }

    /// Sends a chat request and waits for the head of the response.
    ///
    /// # Errors
    /// [`Failure::Connect`] only if no byte can have been sent.
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

    /// Reopens the stream of a running or finished request at offset `from`.
    ///
    /// # Errors
    /// If no connection could be established or it broke.
    pub async fn resume(&self, request: &str, from: Offset) -> Result<Response<Incoming>, Failure> {
        let url = format!("{}/v1/streams/{request}?from={from}", self.base);
        let req = Request::get(url)
            .header(REQUEST_ID, request)
            .body(Full::default())
            .map_err(|_| Failure::Connect)?;
        self.client.send(req).await
    }

    /// Cancels a request. Succeeds also if the engine does not know the request.
    ///
    /// # Errors
    /// If the engine does not respond or rejects the call.
    pub async fn cancel(&self, request: &str) -> Result<()> {
        let url = format!("{}/v1/streams/{request}", self.base);
        match self.call_json(Method::DELETE, &url).await? {
            (200 | 204 | 404, _) => Ok(()),
            (status, _) => bail!("the engine responded to a cancel with status {status}"),
        }
    }

    /// Fetches the load report.
    ///
    /// # Errors
    /// If the engine does not respond in time or the report is invalid.
    pub async fn load(&self) -> Result<Load> {
        match self.call_json(Method::GET, &format!("{}/load", self.base)).await? {
            (200, body) => serde_json::from_value(body).context("could not parse the load report"),
            (status, _) => bail!("the engine responded to a load request with status {status}"),
        }
    }

    /// Fetches the cache events after position `since`.
    ///
    /// # Errors
    /// If the engine does not respond in time or the events are invalid.
    pub async fn events(&self, since: u64) -> Result<CacheEvents> {
        match self.call_json(Method::GET, &format!("{}/events?since={since}", self.base)).await? {
            (200, body) => serde_json::from_value(body).context("could not parse the cache events"),
            (status, _) => bail!("the engine responded to a request for events with status {status}"),
        }
    }

    /// Exports the KV cache of a chat; `None` if the engine has none.
    ///
    /// # Errors
    /// If the engine does not respond in time or the cache is too large to transfer.
    pub async fn export_kv(&self, chat: ChatId<'_>) -> Result<Option<Bytes>> {
        let req = self.kv_request(Method::GET, chat).body(Full::default())?;
        match self.send_and_collect(req).await? {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => bail!("the engine responded to an export with status {status}"),
        }
    }

    /// Imports the KV cache of a chat.
    ///
    /// # Errors
    /// If the engine does not respond in time or rejects the cache.
    pub async fn import_kv(&self, chat: ChatId<'_>, kv: Bytes) -> Result<()> {
        let req = self.kv_request(Method::PUT, chat).body(Full::new(kv))?;
        match self.send_and_collect(req).await? {
            (200 | 201 | 204, _) => Ok(()),
            (status, _) => bail!("the engine responded to an import with status {status}"),
        }
    }

    /// Sends an order with a fencing token.
    ///
    /// # Errors
    /// If the engine does not respond, in which case the order may have taken effect, or responds with another status.
    pub async fn order(&self, order: &Order, fencing: Fencing, timeout: Duration) -> Result<OrderOutcome> {
        let req = Request::post(format!("{}/orders", self.base))
            .header("content-type", "application/json")
            .header(FENCING, fencing)
            .body(Full::new(Bytes::from(serde_json::to_vec(order)?)))?;
        let answer = tokio::time::timeout(timeout, self.client.send(req)).await;
        let res = answer.context("the engine did not respond to an order before the timeout")?;
        let res = res.map_err(|e| anyhow::anyhow!("could not send an order: {e:?}"))?;
        match res.status().as_u16() {
            200 | 202 => Ok(OrderOutcome::Accepted),
            409 => Ok(OrderOutcome::Stale),
            status => bail!("the engine responded to an order with status {status}"),
        }
    }

    /// Returns a request for the KV cache of a chat, identified by headers. Chat names come from callers and may
    /// contain slashes and dots; in the path they could address another endpoint of the engine or another chat's cache.
    fn kv_request(&self, method: Method, chat: ChatId<'_>) -> http::request::Builder {
        let builder = Request::builder().method(method).uri(format!("{}/kv", self.base));
        builder.header(WORKSPACE, chat.workspace).header(CHAT, chat.chat)
    }

    async fn call_json(&self, method: Method, url: &str) -> Result<(u16, serde_json::Value)> {
        self.client.json(method, url, None, CALL_TIMEOUT).await
    }

    async fn send_and_collect(&self, req: Request<Full<Bytes>>) -> Result<(u16, Bytes)> {
        let work = async {
            let res = self.client.send(req).await.map_err(|e| anyhow::anyhow!("no response: {e:?}"))?;
            let status = res.status().as_u16();
            let body = Limited::new(res.into_body(), MAX_KV_CACHE_BYTES).collect().await;
            let body = body.map_err(|e| anyhow::anyhow!("could not read the KV cache: {e}"))?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(KV_TIMEOUT, work).await.context("the KV cache transfer timed out")?
    }
}
