//! An operator who changes the configuration again and again, and somebody who looks which version is in force.

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
    KEY,
    caller::call,
    checks::{History, Kind, Seen},
    hosts::Hosts,
    store::{self, MARK, Store},
};

/// Pause between two changes, in milliseconds: some come in quick succession.
const CHANGES_MS: std::ops::Range<u64> = 40..1_500;
/// Pause between two looks, in milliseconds.
const LOOKS_MS: std::ops::Range<u64> = 10..60;
/// Versions back to which is looked: what a host that is behind would still serve.
const LOOKS_BACK: u64 = 4;
/// Changes by which what is read as a copy is behind.
const COPY_BEHIND: usize = 3;

/// Writes one version after the other until the task is ended.
pub async fn keep_changing(store: Store, history: Arc<History>, newest: Arc<AtomicU64>, mut rng: StdRng) {
    let mut copies = VecDeque::new();
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(CHANGES_MS))).await;
        copies.push_back(store.backup());
        if copies.len() > COPY_BEHIND {
            store.serve_stale_reads_from(copies.pop_front().unwrap());
        }
        let version = newest.load(Ordering::Relaxed) + 1;
        let sent = Instant::now();
        store.put("config", "main", store::configuration(version, false));
        newest.store(version, Ordering::Relaxed);
        history.record(Seen::Changed { version, sent, acked: Instant::now() });
    }
}

/// Asks hosts for routes that one version has, the newest and those before, until the task is ended.
pub async fn keep_looking(hosts: Arc<Hosts>, history: Arc<History>, newest: Arc<AtomicU64>, mut rng: StdRng) {
    let addresses = hosts.addresses();
    loop {
        let back = rng.random_range(0..=LOOKS_BACK);
        let version = newest.load(Ordering::Relaxed).saturating_sub(back).max(1);
        let addr = addresses[rng.random_range(0..addresses.len())];
        call(addr, Kind::Idempotent, KEY, &format!("{MARK}{version}/"), &history).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(LOOKS_MS))).await;
    }
}
