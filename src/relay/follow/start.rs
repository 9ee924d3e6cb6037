//! Large answers at a start: who reads them when, and who is told.

use std::{ops::Range, time::Duration};

use rand::Rng;

use super::{Hosts, Store, StoreCall, hosts::note_hosts};
use crate::{
    relay::{Relay, Wire},
    util::now,
};

/// Bytes a second that the store's link carries, 1 Gbit/s, less what else is on it. Hosts that start together read large
/// answers one after the other: each that has one can tell it on, while all at once have it only when the last has.
const LINK_BYTES_PER_SECOND: f64 = 100e6;
/// Longest time until the last turn.
const MOST_TURNS: Duration = Duration::from_millis(1_500);
/// Time between two looks whether it was told.
const LOOK: Duration = Duration::from_millis(20);

/// Times in which the hosts that are entered take turns to read so many bytes: they may all have started together.
pub(super) async fn turns<W: Wire>(relay: &Relay<W>, store: &mut impl Store, bytes: u64) -> Range<Duration> {
    let hosts = match relay.ask_store(StoreCall::Hosts, None, store.hosts()).await {
        Ok(hosts) => hosts,
        Err(e) => {
            note_hosts(&e);
            Hosts::default()
        }
    };
    relay.add_hosts(&hosts.sample);
    let all = bytes as f64 * hosts.count as f64 / LINK_BYTES_PER_SECOND;
    Duration::ZERO..Duration::from_secs_f64(all.min(MOST_TURNS.as_secs_f64())).max(LOOK)
}

/// Waits a while for another host to tell what is long to read; returns whether one has. Seeds don't wait, since all others
/// hear of them first. After a start of all at once the store's link would carry the same answer to each host, for longer than
/// a call may take.
pub(super) async fn is_told<W: Wire>(
    relay: &Relay<W>,
    most: Range<Duration>,
    is_known: impl Fn(&Relay<W>) -> bool,
) -> bool {
    if relay.is_seed() {
        return false;
    }
    let until = now() + rand::rng().random_range(most);
    while !is_known(relay) && now() < until {
        tokio::time::sleep(LOOK).await;
    }
    is_known(relay)
}
