//! Fault soak: relay hosts run as separate processes with stand-ins for the store and the backend servers, faults are injected
//! from outside, and the guarantees are checked against what callers and backend servers have observed.
//!
//! The seed of a run determines the callers' requests and the faults. The result does not depend on timing: checks of the
//! time during faults must hold at any moment, and conditions that must be reached afterwards are waited for.

#![allow(dead_code, reason = "the test and the bench use a part each")]

#[path = "soak/caller.rs"]
pub mod caller;
#[path = "soak/checks.rs"]
pub mod checks;
#[path = "soak/conduct.rs"]
pub mod conduct;
#[path = "soak/engine.rs"]
pub mod engine;
#[path = "soak/faults.rs"]
pub mod faults;
#[path = "soak/hosts.rs"]
pub mod hosts;
#[path = "soak/network.rs"]
pub mod network;
#[path = "soak/operator.rs"]
pub mod operator;
#[path = "soak/store.rs"]
pub mod store;

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use tokio::task::JoinSet;

use caller::{KEY, KEY_TO_REVOKE, call, resolve};
use checks::{History, Kind, Observation, Outcome, REQUEST_DEADLINE};
use conduct::EndlessBytes;
use engine::Engines;
use hosts::Hosts;
use store::Store;

/// Timeout for hosts to start or to recover, exceeded only if they fail to.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two requests of a caller.
const THINK_TIME_MS: std::ops::Range<u64> = 5..40;

/// Configuration version written at the end of a run, above all others.
const FINAL_VERSION: u64 = 1_000_000;

/// Most processor time of all hosts while servers send bytes without end, as a multiple of that of a run without.
const MAX_PROCESSOR_TIME_RATIO: u32 = 3;
/// Most memory of a host, in kilobytes.
const MAX_MEMORY_KB: u64 = 260_000;
/// Longest time from the writing of an event to its arrival at the caller, and of an answer after its deadline.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    seed: u64,
    hosts: usize,
    callers: usize,
    faults: usize,
    scenario: Scenario,
}

/// Scenario of a run, which determines the faults and other events during it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scenario {
    /// Hosts, the store and backend servers fail.
    #[default]
    Failures,
    /// The store is restored from backups while servers drain.
    Restores,
    /// The configuration keeps changing, and watches are left unanswered.
    Changes,
    /// Servers of two software versions serve side by side, and callers take up streams that break off.
    Versions,
    /// Servers of new versions join and go while hosts are cut off from the others or stand still.
    Cuts,
    /// Requests with one prompt part crash the servers that run them, beside servers that crash for other reasons.
    Crashes,
    /// Servers fall silent and go on, while the configuration keeps changing.
    Silences,
    /// Servers read bodies late, while the configuration keeps changing.
    LateReaders,
    /// Some servers send bytes of these kinds without end; none do if there are no kinds.
    EndlessBytes(&'static [EndlessBytes]),
}

impl Scenario {
    /// A version of the configuration before the last change.
    pub fn configuration(self, version: u64) -> Value {
        let mut cfg = store::configuration(version, false);
        if self == Scenario::Silences {
            // No other server may stand in for a silent one.
            let routes = cfg["routes"].as_array_mut().unwrap();
            routes.iter_mut().for_each(|route| route["maxAttempts"] = 1.into());
        }
        if self == Scenario::LateReaders {
            let step = version % 3;
            let routes = cfg["routes"].as_array_mut().unwrap();
            for route in routes {
                (route["maxAttempts"], route["timeoutMs"]) = ((1 + step).into(), (5_000 + 500 * step).into());
            }
            let limits = &mut cfg["limits"];
            (limits["maxBodyBytes"], limits["headerTimeoutMs"]) =
                ((65_536 * (1 + step)).into(), (2_000 + 500 * step).into());
            limits["idleTimeoutMs"] = (5_000 * (1 + step)).into();
            cfg["services"][0]["maxConnections"] = (300 - 50 * step).into();
        }
        cfg
    }
}

impl Soak {
    /// Options of a short run with a seed.
    pub fn with_seed(seed: u64) -> Self {
        Self { seed, hosts: 3, callers: 12, faults: 6, scenario: Scenario::Failures }
    }

    /// Sets the number of hosts.
    pub fn with_hosts(self, hosts: usize) -> Self {
        Self { hosts, ..self }
    }

    /// Sets the number of concurrent callers.
    pub fn with_callers(self, callers: usize) -> Self {
        Self { callers, ..self }
    }

    /// Sets the number of faults.
    pub fn with_faults(self, faults: usize) -> Self {
        Self { faults, ..self }
    }

    /// Sets the scenario.
    pub fn with_scenario(self, scenario: Scenario) -> Self {
        Self { scenario, ..self }
    }

    /// Executes the run; returns the outcomes of its requests and the violations found.
    pub async fn run(self) -> Report {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let history = Arc::new(History::default());
        let store = Store::start().await;
        store.put("config", "main", self.scenario.configuration(1));
        let engines = Engines::start(self.scenario, store.clone(), history.clone()).await;
        let start_hosts =
            if self.scenario == Scenario::Cuts { Hosts::start_with_network } else { Hosts::start };
        let hosts = Arc::new(start_hosts(self.hosts, store.addr(), history.clone()));
        hosts.wait_until_ready(RECOVERY_TIMEOUT).await;
        let processor_time = hosts.processor_time();

        let mut callers = JoinSet::new();
        for n in 0..self.callers {
            let rng = StdRng::seed_from_u64(rng.random());
            let (hosts, history) = (hosts.clone(), history.clone());
            callers.spawn(caller::send_requests(n, hosts, history, self.scenario, rng));
        }
        if matches!(self.scenario, Scenario::Changes | Scenario::Silences | Scenario::LateReaders) {
            let newest = Arc::new(AtomicU64::new(1));
            let mut next_rng = || StdRng::seed_from_u64(rng.random());
            let probing =
                operator::probe_versions(hosts.clone(), history.clone(), newest.clone(), next_rng());
            callers.spawn(probing);
            callers.spawn(operator::change_config(
                store.clone(),
                history.clone(),
                newest,
                self.scenario,
                next_rng(),
            ));
        }
        let injected =
            faults::inject_all(self.faults, self.scenario, &mut rng, &hosts, &engines, &store).await;
        let processor_time = hosts.processor_time().saturating_sub(processor_time);
        let not_recovered = check_recovery(&hosts, &history).await;
        callers.shutdown().await;
        let not_applied = check_config_applied(&hosts, &store, &history).await;

        let mut violations = history.violations();
        violations.extend(history.violations_in(self.scenario));
        violations.extend(not_recovered.into_iter().chain(not_applied).chain(hosts.unexpected_exits()));
        if !violations.is_empty() {
            hosts.keep_logs();
        }
        let (longest_request, longest_event_delay) = history.longest_waits();
        let peak_memory_kb = hosts.peak_memory_kb().into_iter().max().unwrap_or_default();
        let usage = Usage { processor_time, peak_memory_kb, longest_request, longest_event_delay };
        Report { seed: self.seed, faults: injected, outcomes: history.summary(), violations, usage }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Faults in the order of injection.
    pub faults: Vec<String>,
    /// Number of the callers' requests by kind and outcome.
    pub outcomes: String,
    /// Violations of the guarantees.
    pub violations: Vec<String>,
    /// What the run cost.
    pub usage: Usage,
}

/// Cost of a run, which depends on the machine.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time of all hosts from their start to the last fault.
    pub processor_time: Duration,
    /// Most memory that a host has had, in kilobytes.
    pub peak_memory_kb: u64,
    /// Longest time of a request.
    pub longest_request: Duration,
    /// Longest time of an event from its server to its caller.
    pub longest_event_delay: Duration,
}

impl Usage {
    /// Violations of the limits of cost, in comparison with a run without bytes without end.
    pub fn violations(&self, without: &Usage) -> Vec<String> {
        let limits = [
            ("processor time", self.processor_time > without.processor_time * MAX_PROCESSOR_TIME_RATIO),
            ("memory", self.peak_memory_kb > MAX_MEMORY_KB),
            ("request", self.longest_request > REQUEST_DEADLINE + MAX_DELAY),
            ("delay of events", self.longest_event_delay > MAX_DELAY),
        ];
        let exceeded = limits.into_iter().filter(|(_, is_exceeded)| *is_exceeded);
        exceeded.map(|(what, _)| format!("limit exceeded: {what}")).collect()
    }
}

/// Checks that every host answers every kind of request again after the last fault.
async fn check_recovery(hosts: &Hosts, history: &History) -> Vec<String> {
    let mut not_recovered = Vec::new();
    for addr in hosts.addresses() {
        for kind in Kind::ALL {
            let is_served = || async { is_ok(call(addr, kind, KEY, kind.path(), history).await) };
            if !eventually(is_served).await {
                not_recovered.push(format!("{addr} does not serve {} requests again", kind.as_str()));
            }
        }
    }
    not_recovered
}

/// Checks that a configuration change takes effect on every host: an added route is served, and a revoked key is refused.
async fn check_config_applied(hosts: &Hosts, store: &Store, history: &History) -> Vec<String> {
    store.put("config", "main", store::configuration(FINAL_VERSION, true));
    let mut not_applied = Vec::new();
    for addr in hosts.addresses() {
        let route = || async { is_ok(call(addr, Kind::Idempotent, KEY, store::ADDED_ROUTE, history).await) };
        if !eventually(route).await {
            not_applied.push(format!("{addr} does not serve an added route"));
        }
        let key = || async {
            matches!(
                call(addr, Kind::Idempotent, KEY_TO_REVOKE, "/safe/", history).await,
                Outcome::Complete { status: 401, .. }
            )
        };
        if !eventually(key).await {
            not_applied.push(format!("{addr} does not refuse a revoked key"));
        }
    }
    not_applied
}

/// Whether the complete answer has status 200.
fn is_ok(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Complete { status: 200, .. })
}

/// Waits until a condition holds; returns whether it does within the timeout.
async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) -> bool {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    while Instant::now() < deadline {
        if condition().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Looks up addresses for callers at a random host, with up to three attempts; falls back to all hosts.
async fn look_up_addresses(hosts: &Hosts, rng: &mut StdRng) -> Vec<std::net::SocketAddr> {
    for _ in 0..3 {
        let found = resolve(hosts.directory(rng.random_range(0..hosts.len()))).await;
        if !found.is_empty() {
            return found;
        }
    }
    hosts.addresses()
}

/// Records a fault that began at a time and ends now.
fn record_fault(history: &History, subject: &str, from: Instant) {
    history.record(Observation::Fault { subject: subject.into(), from, to: Instant::now() });
}
