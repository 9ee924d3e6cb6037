//! Keeps hosts that start together from reading large state from the store together.

use std::{ops::Range, time::Duration};

use rand::Rng;

use super::{Hosts, Store, StoreCall, hosts::log_hosts_failure};
use crate::{
    logs::lines::{Level, line},
    relay::{
        Relay, Wire,
        confirm::Topic,
        read_turn::{ReadTurn, must_spread},
    },
    util::now,
};

/// Size of a backend server's entry in the store, in bytes.
const BACKEND_ENTRY_BYTES: u64 = 300;
/// Size of a route or a workspace in the configuration in the store, in bytes.
const ROUTE_ENTRY_BYTES: u64 = 250;
/// Size that is assumed for a list of many pages whose number of entries is not known, in bytes.
pub(super) const LONG_LIST_BYTES: u64 = 1_000_000;
/// Interval at which the host checks whether it has received the state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl<W: Wire> Relay<W> {
    /// The hosts registered in the store, which are read once after the start; `None` if the read failed.
    async fn registered_hosts(&self, store: &mut impl Store) -> Option<&Hosts> {
        let read = async || {
            // Stale entries are sufficient: a host that has left just does not respond.
            let hosts = self.call_store(StoreCall::Hosts, None, store.hosts(true)).await?;
            self.learn_registered(&hosts);
            Ok(hosts)
        };
        self.registered.get_or_try_init(read).await.inspect_err(log_hosts_failure).ok()
    }

    /// Number of hosts that may be reading the same state as this one.
    fn reading_hosts(&self) -> usize {
        self.known_hosts(&self.state())
    }
}

/// Size of the state of a topic, if so many hosts lack it after a simultaneous start that their reads must be spread.
/// Seeds read at once, since all others hear of them first.
pub(super) async fn size_to_spread<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    topic: Topic,
) -> Option<u64> {
    if relay.is_seed() {
        return None;
    }
    let hosts = relay.registered_hosts(store).await?;
    let bytes = match topic {
        Topic::Configuration => hosts.routes as u64 * ROUTE_ENTRY_BYTES,
        Topic::Backends => hosts.servers as u64 * BACKEND_ENTRY_BYTES,
        Topic::Evacuations => 0,
    };
    must_spread(bytes, hosts.count).then_some(bytes)
}

/// Waits until a peer has sent state of the given size or it is this host's turn to read it; returns whether it was
/// received.
pub(super) async fn wait_for_turn<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    bytes: u64,
    is_known: impl Fn(&Relay<W>) -> bool,
) -> bool {
    relay.registered_hosts(store).await;
    let started = now();
    let mut turn = ReadTurn::new(started, bytes, relay.draw());
    while !is_known(relay) {
        if turn.is_due(now(), relay.reading_hosts(), relay.is_alone()) {
            line(Level::Notable, "reads_store", |l| {
                let l = l.number("bytes", bytes).number("hosts", relay.reading_hosts() as u64);
                l.flag("alone", relay.is_alone()).ms("after_ms", now() - started)
            });
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

/// Waits for a random time in `wait` to receive state from a peer; returns whether it was received. Seeds don't wait.
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

/// Waits until state is known.
pub(super) async fn until_known<W: Wire>(relay: &Relay<W>, is_known: impl Fn(&Relay<W>) -> bool) {
    while !is_known(relay) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
