//! The hosts that are entered in the store, for those that start while the seeds are gone.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{Store, StoreCall, StoreError};
use crate::{
    logs::lines::{Weight, line},
    relay::{Relay, Wire},
    schema::fleet::Member,
};

/// Time between two looks whether other hosts are heard, and whether the entry of hosts is up to date.
const LONELY: Duration = Duration::from_millis(3_000);

/// Hosts as they are entered in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hosts {
    /// Some of them.
    pub sample: Vec<Member>,
    /// How many there are.
    pub count: usize,
}

/// Keeps some hosts of the data centre entered in the store, and looks for hosts there while none is heard: the seeds may
/// all be gone. Those that follow the store write, so that the calls don't grow with the hosts.
pub async fn sync_hosts<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let centre = relay.cfg.me.data_centre.clone();
    let (mut registered, mut epoch) = (Hosts::default(), relay.epoch());
    // Hosts that start together don't call together: the store takes some hundred writes a second.
    let apart = rand::rng().random_range(Duration::ZERO..LONELY);
    tokio::time::sleep(apart).await;
    loop {
        tokio::time::sleep(LONELY).await;
        // A store that was restored may have lost the entry, or hold an old one.
        if std::mem::replace(&mut epoch, relay.epoch()) != epoch {
            registered = Hosts::default();
        }
        if relay.is_alone() {
            match relay.ask_store(StoreCall::Hosts, None, store.hosts()).await {
                Ok(mut hosts) => {
                    relay.add_hosts(&hosts.sample);
                    hosts.sample.retain(|m| m.data_centre == centre);
                    registered = Hosts { count: hosts.sample.len(), ..hosts };
                }
                Err(e) => note_hosts(&e),
            }
        }
        let Some(hosts) = relay.hosts_to_register(&registered) else { continue };
        match relay.ask_store(StoreCall::Register, None, store.register_hosts(&centre, &hosts)).await {
            Ok(()) => registered = hosts,
            Err(e) => note_hosts(&e),
        }
    }
}

pub(super) fn note_hosts(e: &StoreError) {
    line(Weight::Notable, "hosts_failed", |l| l.text("why", &format!("{e:?}")));
}
