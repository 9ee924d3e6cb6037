//! Endpoints for operators: `GET /v1/status` and `POST /v1/drain`. They take precedence over those for callers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use http::{Method, Request};
use tokio::sync::Notify;

use crate::{
    entry::Router,
    error::{ErrorKind, RequestError},
    follow,
    gateway::Gateway,
    http::{Handler, Reply},
};

mod status;

pub use status::{RouterStatus, Status};

const TOKEN_CONTEXT: &str = "cranberrytally operator 1";

/// Returns the operators' bearer token in hex, derived from the fleet's shared key.
pub fn token(shared_key: &str) -> String {
    blake3::Hash::from(blake3::derive_key(TOKEN_CONTEXT, shared_key.as_bytes())).to_hex().to_string()
}

/// Request handler that serves the operators' endpoints and passes other requests to the gateway.
#[derive(Debug)]
pub struct OperatorHandler {
    me: Router,
    token: blake3::Hash,
    follow: Arc<follow::FollowHandle>,
    gateway: Arc<Gateway>,
    leaving: AtomicBool,
    drained: Notify,
}

impl OperatorHandler {
    /// Creates the handler of the router `me`.
    pub fn new(
        me: Router,
        shared_key: &str,
        follow: Arc<follow::FollowHandle>,
        gateway: Arc<Gateway>,
    ) -> Self {
        let token = blake3::Hash::from(blake3::derive_key(TOKEN_CONTEXT, shared_key.as_bytes()));
        Self { me, token, follow, gateway, leaving: AtomicBool::new(false), drained: Notify::new() }
    }

    /// Waits until an operator requests that this router drain.
    pub async fn drained(&self) {
        while !self.leaving.load(Ordering::Acquire) {
            self.drained.notified().await;
        }
    }

    /// Marks the router as leaving and wakes the task that waits in `drained`.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
        self.drained.notify_one();
    }

    fn status(&self) -> Reply {
        let leaving = self.leaving.load(Ordering::Acquire);
        Reply::json(200, &Status::new(&self.me, leaving, &self.follow))
    }

    fn drain(&self, req: &Request<Bytes>) -> Reply {
        let presented =
            req.headers().get("authorization").and_then(|v| v.to_str().ok()?.strip_prefix("Bearer "));
        // `blake3::Hash` compares in constant time; an ordinary comparison would leak the token through its timing.
        if presented.and_then(|hex| blake3::Hash::from_hex(hex).ok()) != Some(self.token) {
            return RequestError::new(ErrorKind::Forbidden, "the operator's token is missing or wrong")
                .reply();
        }
        self.set_leaving();
        spdlog::info!("draining at an operator's request");
        Reply::json(202, &serde_json::json!({ "leaving": true }))
    }
}

impl Handler for OperatorHandler {
    async fn handle(&self, req: Request<Bytes>, peer: SocketAddr) -> Reply {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/v1/status") => self.status(),
            (&Method::POST, "/v1/drain") => self.drain(&req),
            (method, path @ ("/v1/status" | "/v1/drain")) => {
                RequestError::new(ErrorKind::MethodNotAllowed, format!("{method} is not for {path}")).reply()
            }
            _ => self.gateway.handle(req, peer).await,
        }
    }

    fn refuse_body(&self, head: &Request<()>, kind: ErrorKind) -> Reply {
        self.gateway.refuse_body(head, kind)
    }
}
