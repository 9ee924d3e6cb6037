//! Tests that hosts confirm with the store that their state is the newest.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cranberrytally::{
    metrics::Counter,
    platform::{PlatformWire, store::StoreClient},
    relay::{
        Relay,
        follow::{follow_backends, follow_configuration},
    },
};
use soak::{
    caller::{KEY, call},
    checks::{History, Kind, Outcome},
    hosts::Hosts,
    store::{self, Store},
};

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;

/// Timeout for hosts to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for a change to take effect, half of the time for which the store may hold a watch open.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(7);

/// Waits until a host serves a newly added route; returns whether it does.
async fn serves_added(hosts: &Hosts, n: usize, history: &History) -> bool {
    let until = Instant::now() + CHANGE_TIMEOUT;
    while Instant::now() < until {
        let end = call(hosts.addresses()[n], Kind::Idempotent, KEY, store::ADDED_ROUTE, history).await;
        // There are no servers, so a request on a known route is refused as unavailable instead of not found.
        if matches!(end, Outcome::Complete { status: 503, .. }) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Guards against a configuration that takes 15 s to take effect on a host without peers whose watch is never answered.
#[tokio::test]
async fn a_change_takes_effect_although_its_watch_is_never_answered() {
    let (history, store) = (Arc::new(History::default()), Store::start().await);
    store.put("config", "main", store::configuration(1, false));
    let hosts = Hosts::start(1, store.addr(), history.clone());
    hosts.wait_until_ready(START_TIMEOUT).await;

    store.set_watches_unanswered(true);
    store.put("config", "main", store::configuration(2, true));

    assert!(serves_added(&hosts, 0, &history).await);
}

/// Guards against a configuration that counts as the newest because an old answer, which waited at this host or on its way, was read
/// just now.
#[tokio::test]
async fn the_answer_to_a_watch_confirms_no_more_than_that_the_watch_was_sent() {
    let store = Store::start().await;
    store.put("config", "main", store::configuration(1, false));
    let (relay, _) = relay_support::host("host-1", &[]).await;
    let following = tokio::spawn(follow_configuration(relay.clone(), StoreClient::new(store.addr())));
    wire::wait_until("a watch", || watches(&relay) > 0).await;
    let watched = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;

    store.put("config", "main", store::configuration(2, false));
    wire::wait_until("the configuration", || relay.routes().is_some_and(|r| r.version() == 2)).await;

    let least = watched.elapsed();
    assert!(relay.configuration_age() >= least, "{:?}, {least:?}", relay.configuration_age());
    following.abort();
}

/// Number of watches of the configuration that a host has sent.
fn watches(relay: &Relay<PlatformWire>) -> u64 {
    let calls = relay.metrics().totals(Counter::RelayStoreCalls);
    calls.get("configuration_watch").copied().unwrap_or(0)
}

/// Guards against a service without servers for good, after their entries lapsed in an outage of the store and were written again
/// within one answer of a watch.
#[tokio::test]
async fn a_server_whose_entry_lapses_and_is_written_again_stays_in_use() {
    let store = Store::start().await;
    let write = |id| store.put("servers", id, store::server(([127, 0, 0, 1], 1).into(), "ready"));
    write("i-1");
    let (relay, _) = relay_support::host("host-1", &[]).await;
    let following = tokio::spawn(follow_backends(relay.clone(), StoreClient::new(store.addr())));
    wire::wait_until("the server in a copy of the store", || relay.server_count("app") == 1).await;
    write("i-2");
    wire::wait_until("the one that is no longer copied", || relay.server_count("app") == 2).await;

    // The store answers no call in between.
    store.remove("servers", "i-1");
    write("i-1");
    write("i-3");

    wire::wait_until("all servers", || relay.server_count("app") == 3).await;
    following.abort();
}
