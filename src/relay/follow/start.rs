//! Spreads the reads of large answers when many hosts start at once.

use std::{ops::Range, time::Duration};

use rand::Rng;

use super::{Hosts, Store, StoreCall, hosts::log_hosts_failure};
use crate::{
    relay::{Relay, Wire},
    util::now,
};

/// Capacity of the store's link, 1 Gbit/s, less its other traffic. Hosts that start together read large answers one
/// after the other: each that has read one can pass it on, whereas simultaneous reads would all finish only at the end.
const STORE_LINK_BYTES_PER_SECOND: f64 = 100e6;
/// Maximum length of the window.
const MAX_READ_WINDOW: Duration = Duration::from_millis(1_500);
/// Interval at which the host checks whether it has received the state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The window within which the registered hosts read an answer of the given size, each at a random time: they may all
/// have started together.
pub(super) async fn read_window<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    bytes: u64,
) -> Range<Duration> {
    let hosts = match relay.call_store(StoreCall::Hosts, None, store.hosts()).await {
        Ok(hosts) => hosts,
        Err(e) => {
            log_hosts_failure(&e);
            Hosts::default()
        }
    };
    relay.add_hosts(&hosts.sample);
    let total_s = bytes as f64 * hosts.count as f64 / STORE_LINK_BYTES_PER_SECOND;
    Duration::ZERO..Duration::from_secs_f64(total_s.min(MAX_READ_WINDOW.as_secs_f64())).max(POLL_INTERVAL)
}

/// Waits for a random time in `wait` to receive large state from a peer; returns whether it was received. Seeds don't
/// wait, since all others hear of them first. After a simultaneous start of all hosts the store's link would carry the
/// same answer to each of them, which would take longer than a call may.
pub(super) async fn wait_for_gossip<W: Wire>(
    relay: &Relay<W>,
    wait: Range<Duration>,
    is_known: impl Fn(&Relay<W>) -> bool,
) -> bool {
    if relay.is_seed() {
        return false;
    }
    let until = now() + rand::rng().random_range(wait);
    while !is_known(relay) && now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    is_known(relay)
}
