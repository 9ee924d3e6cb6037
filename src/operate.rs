//! Operators' endpoints of a router, before those of callers: `GET /v1/status` and `POST /v1/drain`.

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

/// Token that operators send, derived from the fleet's shared key.
pub fn token(shared_key: &str) -> String {
    blake3::Hash::from(blake3::derive_key(TOKEN_CONTEXT, shared_key.as_bytes())).to_hex().to_string()
}

/// Answers operators and hands all else on.
#[derive(Debug)]
pub struct Operate {
    me: Router,
    token: blake3::Hash,
    follow: Arc<follow::FollowHandle>,
    gateway: Arc<Gateway>,
    leaving: AtomicBool,
    drained: Notify,
}

impl Operate {
    /// Endpoints of the router `me`.
    pub fn new(
        me: Router,
        shared_key: &str,
        follow: Arc<follow::FollowHandle>,
        gateway: Arc<Gateway>,
    ) -> Self {
        let token = blake3::Hash::from(blake3::derive_key(TOKEN_CONTEXT, shared_key.as_bytes()));
        Self { me, token, follow, gateway, leaving: AtomicBool::new(false), drained: Notify::new() }
    }

    /// Waits until an operator drains this router.
    pub async fn drained(&self) {
        while !self.leaving.load(Ordering::Acquire) {
            self.drained.notified().await;
        }
    }

    /// Notes that the router is shutting down.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
        self.drained.notify_one();
    }

    fn status(&self) -> Reply {
        let leaving = self.leaving.load(Ordering::Acquire);
        Reply::json(200, &Status::of(&self.me, leaving, &self.follow))
    }

    fn drain(&self, req: &Request<Bytes>) -> Reply {
        let given = req.headers().get("authorization").and_then(|v| v.to_str().ok()?.strip_prefix("Bearer "));
        // `blake3::Hash` compares in constant time; a plain comparison would leak the token byte by byte.
        if given.and_then(|hex| blake3::Hash::from_hex(hex).ok()) != Some(self.token) {
            return RequestError::new(ErrorKind::Forbidden, "the operator's token is missing or wrong")
                .reply();
        }
        self.set_leaving();
        spdlog::info!("an operator drains this router");
        Reply::json(202, &serde_json::json!({ "leaving": true }))
    }
}

impl Handler for Operate {
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
