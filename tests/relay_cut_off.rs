//! Hosts that are cut off from backend servers which other hosts reach.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;

use std::{sync::Arc, time::Duration};

use cranberrytally::{
    schema::fleet::{Connected, Fetch, Fetched},
    standin::gate::{FaultProxy, Mode},
};
use tokio::sync::{Mutex, MutexGuard};

use soak::{
    caller::{KEY, call},
    checks::{History, Kind, Outcome},
    engine::Engines,
    hosts::Hosts,
    store::{self, Store},
};

/// Timeout for hosts to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the other host is down, several times that of the requests.
const OTHER_HOST_DOWN: Duration = Duration::from_secs(6);
/// Number of requests of each kind.
const REQUESTS: usize = 5;

/// Held by each fleet, since fleets use the same addresses.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());

/// Two hosts, of which the first reaches the servers through gates of its own.
struct Fleet {
    history: Arc<History>,
    hosts: Hosts,
    gates: Vec<FaultProxy>,
    _engines: Arc<Engines>,
    _guard: MutexGuard<'static, ()>,
}

impl Fleet {
    async fn start() -> Self {
        let guard = FLEET_LOCK.lock().await;
        let history = Arc::new(History::default());
        let (gated, direct) = (Store::start().await, Store::start().await);
        let engines = Engines::start(soak::Scenario::Failures, direct.clone(), history.clone()).await;
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
        Self { history, hosts, gates, _engines: engines, _guard: guard }
    }

    /// Starts two hosts with the gates in this mode after the first host was used.
    async fn cut_off(mode: Mode) -> Self {
        let fleet = Self::start().await;
        assert_eq!(fleet.failures(0).await, vec![], "before the cut");
        fleet.set_gates(mode).await;
        fleet
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
    let fleet = Fleet::cut_off(Mode::Refuse).await;

    let during = fleet.failures(0).await;

    assert_eq!(during, vec![]);
    assert_eq!(fleet.history.violations(), Vec::<String>::new());
}

/// Guards against a host that goes on through another one when the cut has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_connects_by_itself_again_when_the_cut_has_ended() {
    let fleet = Fleet::cut_off(Mode::Refuse).await;
    let during = fleet.failures(0).await;

    fleet.set_gates(Mode::Open).await;
    let (_, after) = tokio::join!(fleet.hosts.kill(1, OTHER_HOST_DOWN), fleet.failures(0));

    assert_eq!((during, after), (vec![], vec![]));
}

/// Guards against a host that connects to any address for whoever asks: it does so only for servers that it knows.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_connects_only_to_servers_that_it_knows() {
    let (_relay, at) = relay_support::host("a", &[]).await;
    let request = Fetch { connect_to: 7, ..Fetch::default() };

    let answer = relay_support::ask(at, &postcard::to_allocvec(&request).unwrap()).await;

    let fetched: Fetched = postcard::from_bytes(&answer).unwrap();
    assert_eq!(fetched.connected(), Connected::NotEligible);
}
