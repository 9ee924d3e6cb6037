//! How sure hosts are that what they know from the store is the newest, and when they ask again.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use soak::{
    caller::{KEY, call},
    checks::{End, Kind, Record},
    hosts::Hosts,
    store::{self, Store},
};

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;

/// Longest wait for hosts to start.
const STARTS: Duration = Duration::from_secs(30);
/// Longest wait for a change, half of the time for which a watch may wait.
const PATIENCE: Duration = Duration::from_secs(7);

/// Waits until a host serves an added route; returns whether it does.
async fn serves_added(hosts: &Hosts, n: usize, record: &Record) -> bool {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let end = call(hosts.addresses()[n], Kind::Safe, KEY, store::ADDED, record).await;
        // The servers are none, so that a request on a known route is refused and not denied.
        if matches!(end, End::Whole { status: 503, .. }) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// A configuration not in force for 15 s at a host that nobody tells, whose watch is never answered.
#[tokio::test]
async fn a_change_is_in_force_though_the_watch_for_it_is_never_answered() {
    let (record, store) = (Arc::new(Record::default()), Store::start().await);
    store.put("config", "main", store::configuration(1, false));
    let hosts = Hosts::start(1, store.addr(), record.clone());
    hosts.until_ready(STARTS).await;

    store.set_deaf(true);
    store.put("config", "main", store::configuration(2, true));

    assert!(serves_added(&hosts, 0, &record).await);
}
