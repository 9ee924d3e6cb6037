//! Stand-in for a plain service that records every run by idempotency key, and fails as told.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use http::Request;

use crate::{
    engine::OUTCOME,
    http::{Handler, Reply, body_channel},
    util::lock,
};

/// What a service can be told to do wrong; the default does nothing wrong.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Milliseconds before it answers.
    pub late_ms: u64,
    /// Runs that end with the connection cut instead of an answer.
    pub cut_answers: u32,
    /// Refuses with a proof that the request did not run.
    pub refuse: bool,
    /// Bytes added to each answer.
    pub padding: usize,
}

/// A plain service; its record tells how often each key ran.
#[derive(Debug, Default)]
pub struct ServiceStandin {
    runs: Mutex<BTreeMap<String, u32>>,
    faults: Mutex<Faults>,
}

impl ServiceStandin {
    /// Runs by idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.runs).clone()
    }

    /// Sets what the service does wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    fn run(&self, req: &Request<Bytes>) -> u32 {
        let key = req.headers().get("idempotency-key").and_then(|v| v.to_str().ok()).unwrap_or("");
        let mut runs = lock(&self.runs);
        *runs.entry(key.to_owned()).or_default() += 1;
        runs.values().sum()
    }

    fn take_faults(&self) -> Faults {
        let mut faults = lock(&self.faults);
        let now = faults.clone();
        faults.cut_answers = faults.cut_answers.saturating_sub(1);
        now
    }
}

impl Handler for ServiceStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        // A router's probe is no run.
        if req.uri().path() == "/load" {
            return Reply::full(404, "");
        }
        let faults = self.take_faults();
        if faults.refuse {
            return Reply::full(503, "").with_header(OUTCOME, "not-run");
        }
        let run = self.run(&req);
        tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
        if faults.cut_answers > 0 {
            let (_, rx) = body_channel(1);
            return Reply::stream(200, rx);
        }
        let padding = "-".repeat(faults.padding);
        Reply::json(200, &serde_json::json!({ "done": req.uri().path(), "run": run, "padding": padding }))
    }
}
