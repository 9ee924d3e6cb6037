//! Stand-in for a plain service that counts runs by idempotency key and injects faults.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use http::Request;

use crate::{
    engine::OUTCOME,
    http::{Handler, Reply, body_channel},
    util::lock,
};

/// Faults to inject; none by default.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay of each answer, in milliseconds.
    pub late_ms: u64,
    /// Number of next runs that end with a cut connection instead of an answer.
    pub cut_answers: u32,
    /// Rejects each request with a proof that it did not run.
    pub refuse: bool,
    /// Number of bytes added to each answer.
    pub padding: usize,
}

/// Plain service that counts how often each idempotency key ran.
#[derive(Debug, Default)]
pub struct ServiceStandin {
    runs: Mutex<BTreeMap<String, u32>>,
    faults: Mutex<Faults>,
}

impl ServiceStandin {
    /// Number of runs by idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.runs).clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Counts a run of the request's key; returns the number of runs of all keys.
    fn record_run(&self, req: &Request<Bytes>) -> u32 {
        let key = req.headers().get("idempotency-key").and_then(|v| v.to_str().ok()).unwrap_or("");
        let mut runs = lock(&self.runs);
        *runs.entry(key.to_owned()).or_default() += 1;
        runs.values().sum()
    }

    /// Faults of the next request; one fewer of the next answers will be cut.
    fn next_faults(&self) -> Faults {
        let mut faults = lock(&self.faults);
        let current = faults.clone();
        faults.cut_answers = faults.cut_answers.saturating_sub(1);
        current
    }
}

impl Handler for ServiceStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        // Probes of routers don't count as runs.
        if req.uri().path() == "/load" {
            return Reply::full(404, "");
        }
        let faults = self.next_faults();
        if faults.refuse {
            return Reply::full(503, "").with_header(OUTCOME, "not-run");
        }
        let run = self.record_run(&req);
        tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
        if faults.cut_answers > 0 {
            let (_, rx) = body_channel(1);
            return Reply::stream(200, rx);
        }
        let padding = "-".repeat(faults.padding);
        Reply::json(200, &serde_json::json!({ "done": req.uri().path(), "run": run, "padding": padding }))
    }
}
