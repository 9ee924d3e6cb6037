//! Stand-in for a plain service that records every run by idempotency key.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex};

use bytes::Bytes;
use http::Request;

use crate::http::{Handler, Reply};

/// A plain service; its record tells how often each key ran.
#[derive(Debug, Default)]
pub struct ServiceStandin {
    runs: Mutex<BTreeMap<String, u32>>,
}

impl ServiceStandin {
    /// Runs by idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

impl Handler for ServiceStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        let key = req.headers().get("idempotency-key").and_then(|v| v.to_str().ok()).unwrap_or("");
        *self.runs.lock().unwrap_or_else(|e| e.into_inner()).entry(key.to_owned()).or_default() += 1;
        Reply::json(200, &serde_json::json!({ "done": req.uri().path() }))
    }
}
