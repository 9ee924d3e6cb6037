//! A fault soak: relaying hosts as processes of their own before stand-ins of the store and of the backend servers, faults
//! from outside, and the promises checked from what callers and backend servers have seen.
//!
//! A run has a seed, which draws the callers' requests and the faults. Its verdict does not depend on timing: what is
//! checked while faults go on must hold at any moment, and what must come about afterwards is waited for.

#![allow(dead_code, reason = "the test and the bench use a part each")]

#[path = "soak/caller.rs"]
pub mod caller;
#[path = "soak/checks.rs"]
pub mod checks;
#[path = "soak/engine.rs"]
pub mod engine;
#[path = "soak/faults.rs"]
pub mod faults;
#[path = "soak/hosts.rs"]
pub mod hosts;
#[path = "soak/operator.rs"]
pub mod operator;
#[path = "soak/store.rs"]
pub mod store;

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::task::JoinSet;

use caller::{KEY, KEY_TO_REVOKE, call, resolve};
use checks::{History, Kind, Outcome, Seen};
use engine::Engines;
use hosts::Hosts;
use store::Store;

/// Longest wait for what must come about; reached only when it does not.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause of a caller between two requests, in milliseconds.
const THINKS_MS: std::ops::Range<u64> = 5..40;

/// Version of the configuration that ends a run.
const LAST_VERSION: u64 = 1_000_000;

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    seed: u64,
    hosts: usize,
    callers: usize,
    faults: usize,
    what: What,
}

/// What happens in a run beside what always does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum What {
    /// Hosts, the store and backend servers fail.
    #[default]
    Failures,
    /// The store is restored from copies while servers leave.
    Restores,
    /// The configuration changes again and again, and waiting calls go unanswered.
    Changes,
}

impl Soak {
    /// A short run of one seed.
    pub fn with_seed(seed: u64) -> Self {
        Self { seed, hosts: 3, callers: 12, faults: 6, what: What::Failures }
    }

    /// Sets the number of hosts.
    pub fn with_hosts(self, hosts: usize) -> Self {
        Self { hosts, ..self }
    }

    /// Sets the number of callers that send at the same time.
    pub fn with_callers(self, callers: usize) -> Self {
        Self { callers, ..self }
    }

    /// Sets the number of faults, one after the other with overlaps.
    pub fn with_faults(self, faults: usize) -> Self {
        Self { faults, ..self }
    }

    /// Sets what happens beside.
    pub fn with_what(self, what: What) -> Self {
        Self { what, ..self }
    }

    /// Plays the run; returns what was seen and which promises were broken.
    pub async fn run(self) -> Report {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let history = Arc::new(History::default());
        let store = Store::start().await;
        store.put("config", "main", store::configuration(1, false));
        let engines = Arc::new(Engines::start(store.clone(), history.clone()).await);
        let hosts = Arc::new(Hosts::start(self.hosts, store.addr(), history.clone()));
        hosts.wait_until_ready(PATIENCE).await;

        let mut callers = JoinSet::new();
        for n in 0..self.callers {
            let rng = StdRng::seed_from_u64(rng.random());
            callers.spawn(caller::keep_calling(n, hosts.clone(), history.clone(), rng));
        }
        if self.what == What::Changes {
            let newest = Arc::new(AtomicU64::new(1));
            let mut seeded = || StdRng::seed_from_u64(rng.random());
            let looking = operator::keep_looking(hosts.clone(), history.clone(), newest.clone(), seeded());
            callers.spawn(looking);
            callers.spawn(operator::keep_changing(store.clone(), history.clone(), newest, seeded()));
        }
        let played = faults::play(self.faults, self.what, &mut rng, &hosts, &engines, &store).await;
        let unserved = serves_again(&hosts, &history).await;
        callers.shutdown().await;
        let not_in_force = changes_take_effect(&hosts, &store, &history).await;

        let mut broken = history.violations();
        broken.extend(unserved.into_iter().chain(not_in_force).chain(hosts.ended_by_themselves()));
        if !broken.is_empty() {
            hosts.keep_logs();
        }
        Report { seed: self.seed, faults: played, seen: history.summary(), broken }
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Faults in the order in which they were played.
    pub faults: Vec<String>,
    /// How the callers' requests ended, with counts.
    pub seen: String,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// After the last fault every host answers every kind of request again.
async fn serves_again(hosts: &Hosts, history: &History) -> Vec<String> {
    let mut unserved = Vec::new();
    for addr in hosts.addresses() {
        for kind in Kind::ALL {
            let is_served = || async { is_answered(call(addr, kind, KEY, kind.path(), history).await) };
            if !comes_about(is_served).await {
                unserved.push(format!("{addr} does not serve {} requests again", kind.as_str()));
            }
        }
    }
    unserved
}

/// A change of the configuration is in force at every host: a new route is served, and a revoked key is refused.
async fn changes_take_effect(hosts: &Hosts, store: &Store, history: &History) -> Vec<String> {
    store.put("config", "main", store::configuration(LAST_VERSION, true));
    let mut missing = Vec::new();
    for addr in hosts.addresses() {
        let route =
            || async { is_answered(call(addr, Kind::Idempotent, KEY, store::ADDED_ROUTE, history).await) };
        if !comes_about(route).await {
            missing.push(format!("{addr} does not serve an added route"));
        }
        let key = || async {
            matches!(
                call(addr, Kind::Idempotent, KEY_TO_REVOKE, "/safe/", history).await,
                Outcome::Complete { status: 401, .. }
            )
        };
        if !comes_about(key).await {
            missing.push(format!("{addr} does not refuse a revoked key"));
        }
    }
    missing
}

fn is_answered(end: Outcome) -> bool {
    matches!(end, Outcome::Complete { status: 200, .. })
}

async fn comes_about<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) -> bool {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if holds().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Addresses for a caller, from any of the hosts.
async fn addresses(hosts: &Hosts, rng: &mut StdRng) -> Vec<std::net::SocketAddr> {
    for _ in 0..3 {
        let found = resolve(hosts.directory(rng.random_range(0..hosts.len()))).await;
        if !found.is_empty() {
            return found;
        }
    }
    hosts.addresses()
}

/// Notes a disturbance for its length.
fn disturbed(history: &History, what: &str, from: Instant) {
    history.record(Seen::Disturbed { what: what.into(), from, to: Instant::now() });
}
