//! Hosts that are cut off from backend servers which other hosts reach.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;

use std::{sync::Arc, time::Duration};

use cranberrytally::standin::gate::{FaultProxy, Mode};

use soak::{
    caller::{KEY, call},
    checks::{History, Kind, Outcome},
    engine::Engines,
    hosts::Hosts,
    store::{self, Store},
};

/// Timeout for hosts to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of requests of each kind.
const REQUESTS: usize = 5;

/// Two hosts, of which the first reaches the servers through gates of its own.
struct Fleet {
    history: Arc<History>,
    hosts: Hosts,
    gates: Vec<FaultProxy>,
    _engines: Engines,
}

impl Fleet {
    async fn start() -> Self {
        let history = Arc::new(History::default());
        let (gated, direct) = (Store::start().await, Store::start().await);
        let engines = Engines::start(direct.clone(), history.clone()).await;
        let mut gates = Vec::new();
        for (id, addr) in engines.addresses() {
            let gate = FaultProxy::start(addr, None).await.unwrap();
            gated.put("servers", &id, store::server(gate.addr(), "ready"));
            gates.push(gate);
        }
        for store in [&gated, &direct] {
            store.put("config", "main", store::configuration(1, false));
        }
        let hosts = Hosts::start_with_stores(&[gated.addr(), direct.addr()], history.clone());
        hosts.wait_until_ready(START_TIMEOUT).await;
        Self { history, hosts, gates, _engines: engines }
    }

    async fn set_gates(&self, mode: Mode) {
        for gate in &self.gates {
            gate.set_mode(mode).await.unwrap();
        }
    }

    /// Sends requests of all kinds to a host; returns the outcomes other than success.
    async fn failures(&self, host: usize) -> Vec<Outcome> {
        let addr = self.hosts.addresses()[host];
        let mut failures = Vec::new();
        for kind in Kind::ALL.repeat(REQUESTS) {
            let outcome = call(addr, kind, KEY, kind.path(), &self.history).await;
            if !matches!(outcome, Outcome::Complete { status: 200, .. }) {
                failures.push(outcome);
            }
        }
        failures
    }
}

/// Guards against a host that refuses requests which another host could serve, because it is cut off from all servers.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_all_servers_serves_through_another() {
    let fleet = Fleet::start().await;
    let before = fleet.failures(0).await;
    fleet.set_gates(Mode::Refuse).await;

    let during = fleet.failures(0).await;

    assert_eq!((before, during), (vec![], vec![]));
    assert_eq!(fleet.history.violations(), Vec::<String>::new());
}
