//! Probes engines over HTTP.

use std::{sync::Arc, time::Duration};

use http::Method;

use super::Shared;
use crate::{
    catalog::Engine,
    probe::{EngineSpec, Probe, ProbeResult},
    schema::engine::Load,
};

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probes one engine for its load and records the result.
pub(super) async fn probe(shared: Arc<Shared>, probe: Probe) {
    let url = format!("http://{}/load", probe.addr);
    let seen = match shared.client.json(Method::GET, &url, None, PROBE_TIMEOUT).await {
        Ok((status, _)) if status >= 500 => ProbeResult::Unreachable,
        Ok((200, body)) => match serde_json::from_value::<Load>(body) {
            Ok(load) => {
                shared.gateway.record_engine_load(&probe.engine, &load);
                ProbeResult::Answer { start: load.start, running: load.running, leaving: load.leaving }
            }
            Err(_) => ANSWER_WITHOUT_LOAD,
        },
        Ok(_) => ANSWER_WITHOUT_LOAD,
        Err(_) => ProbeResult::Unreachable,
    };
    shared.probed(&probe, seen);
}

/// Result for a backend server that responds without a load report, as those of plain services do.
const ANSWER_WITHOUT_LOAD: ProbeResult = ProbeResult::Answer { start: 0, running: 0, leaving: false };

impl From<&Engine> for EngineSpec {
    fn from(e: &Engine) -> Self {
        Self {
            name: e.name.clone(),
            addr: e.addr,
            data_centre: e.data_centre.clone(),
            leaving: e.has_leaving_label(),
        }
    }
}
