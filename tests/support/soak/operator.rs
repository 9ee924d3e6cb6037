//! An operator who keeps changing the configuration, and a prober that checks which version is in force.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};

use super::{
    KEY, Scenario,
    caller::call,
    checks::{History, Kind, Observation},
    hosts::Hosts,
    store::{Store, VERSION_ROUTE},
};

/// Time between two changes, some of which come in quick succession.
const CHANGE_GAP_MS: std::ops::Range<u64> = 40..1_500;
/// The same while servers read late.
const EVEN_CHANGE_GAP_MS: std::ops::Range<u64> = 800..801;
/// Time between two probes.
const PROBE_GAP_MS: std::ops::Range<u64> = 10..60;
/// Number of versions before the newest one that are probed, which a host that lags behind would still serve.
const MAX_VERSION_LAG: u64 = 4;
/// Number of changes by which stale reads lag behind.
const STALE_READ_LAG: usize = 3;

/// Writes one configuration version after the other until the task is aborted.
pub async fn change_config(
    store: Store,
    history: Arc<History>,
    newest: Arc<AtomicU64>,
    scenario: Scenario,
    mut rng: StdRng,
) {
    let mut backups = VecDeque::new();
    let gap = if scenario == Scenario::LateReaders { EVEN_CHANGE_GAP_MS } else { CHANGE_GAP_MS };
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(gap.clone()))).await;
        backups.push_back(store.backup());
        if backups.len() > STALE_READ_LAG {
            store.serve_stale_reads_from(backups.pop_front().unwrap());
        }
        let version = newest.load(Ordering::Relaxed) + 1;
        let sent = Instant::now();
        store.put("config", "main", scenario.configuration(version));
        newest.store(version, Ordering::Relaxed);
        history.record(Observation::ConfigWritten { version, sent, acked: Instant::now() });
    }
}

/// Sends requests to hosts on the routes that only one recent version has, until the task is aborted.
pub async fn probe_versions(
    hosts: Arc<Hosts>,
    history: Arc<History>,
    newest: Arc<AtomicU64>,
    mut rng: StdRng,
) {
    let addresses = hosts.addresses();
    loop {
        let lag = rng.random_range(0..=MAX_VERSION_LAG);
        let version = newest.load(Ordering::Relaxed).saturating_sub(lag).max(1);
        let addr = addresses[rng.random_range(0..addresses.len())];
        call(addr, Kind::Idempotent, KEY, &format!("{VERSION_ROUTE}{version}/"), &history).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(PROBE_GAP_MS))).await;
    }
}
