//! Registers hosts in the store, so that a host can find its peers while all seeds are down.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{Store, StoreCall, StoreError};
use crate::{
    logs::lines::{Level, line},
    relay::{Relay, Wire, origins::MixedService},
    schema::fleet::Member,
    util::now,
};

/// Interval at which a host checks whether it hears any other host, and whether the registration is up to date.
const CHECK_INTERVAL: Duration = Duration::from_millis(3_000);

/// Maximum number of hosts of a data centre: ten times as many as in twice the largest fleet planned for. A registration of more
/// was written by another party.
const MAX_HOSTS: usize = 10_000;
/// Maximum number of backend servers, and of routes and workspaces, in a registration.
const MAX_SERVERS_OR_ROUTES: usize = 1_000_000;
/// Maximum number of hosts in the sample of a data centre. More would take the place of the hosts that are alive.
const MAX_SAMPLE: usize = 64;
/// Maximum length of each field of a host's description, in bytes. Hosts send these to each other.
const MAX_FIELD_BYTES: usize = 253;

/// The hosts registered in the store, and the size of the state that each of them needs.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Hosts {
    /// A sample of the hosts.
    #[serde(rename = "members")]
    pub sample: Vec<Member>,
    /// The total number of hosts.
    #[serde(default)]
    pub count: usize,
    /// Number of backend servers; 0 if not known.
    #[serde(default)]
    pub servers: usize,
    /// Number of routes and workspaces; 0 if not known.
    #[serde(default)]
    pub routes: usize,
    /// Services of which several versions may have begun streams that are still open, in order. A host that starts while no
    /// other one runs knows it from here.
    #[serde(default)]
    pub mixed: Vec<MixedService>,
}

impl Hosts {
    /// The registration under a name, unless it cannot be read or no fleet can have written it.
    pub fn usable(name: &str, registration: Option<Hosts>) -> Option<Hosts> {
        let hosts = registration.filter(Hosts::is_plausible);
        if hosts.is_none() {
            let name = &name[..name.floor_char_boundary(MAX_FIELD_BYTES)];
            spdlog::warn!("the registration of the hosts of {name} is unusable");
        }
        hosts
    }

    fn is_plausible(&self) -> bool {
        let is_short = |field: &&String| field.len() <= MAX_FIELD_BYTES;
        let fields = self.sample.iter().flat_map(|m| [&m.name, &m.callers, &m.peers, &m.data_centre]);
        self.count <= MAX_HOSTS
            && self.servers.max(self.routes) <= MAX_SERVERS_OR_ROUTES
            && self.sample.len() <= MAX_SAMPLE
            && fields.into_iter().all(|field| is_short(&field))
    }

    /// Combines the registrations of all data centres.
    pub fn combine(registrations: impl IntoIterator<Item = Hosts>) -> Self {
        registrations.into_iter().fold(Self::default(), |mut all, of_centre| {
            all.sample.extend(of_centre.sample);
            all.count = all.count.saturating_add(of_centre.count);
            all.servers = all.servers.max(of_centre.servers);
            all.routes = all.routes.max(of_centre.routes);
            all.mixed.extend(of_centre.mixed);
            all
        })
    }

    /// Whether the fleet or its state has grown to twice the size of the registered one.
    pub fn has_doubled_since(&self, registered: &Hosts) -> bool {
        let doubled = |now: usize, before: usize| now > before && now >= before * 2;
        doubled(self.count, registered.count)
            || doubled(self.servers, registered.servers)
            || doubled(self.routes, registered.routes)
    }
}

/// Keeps some hosts of the data centre registered in the store, and reads the registered ones while no other host is
/// heard, since all seeds may be down. Only followers of the store write, so that the number of calls does not grow
/// with the number of hosts.
pub async fn sync_hosts<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let centre = relay.cfg.me.data_centre.clone();
    let (mut registered, mut epoch) = (Hosts::default(), relay.epoch());
    // Spread over the interval, since hosts may start together and the store takes a few hundred writes a second.
    let start_delay = rand::rng().random_range(Duration::ZERO..CHECK_INTERVAL);
    tokio::time::sleep(start_delay).await;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        // A restored store may lack the registration, or hold an old one.
        if std::mem::replace(&mut epoch, relay.epoch()) != epoch {
            registered = Hosts::default();
        }
        if relay.is_alone() {
            match relay.call_store(StoreCall::Hosts, None, store.hosts(true)).await {
                Ok(mut hosts) => {
                    relay.learn_registered(&hosts);
                    let _already_read = relay.registered.set(hosts.clone());
                    hosts.sample.retain(|m| m.data_centre == centre);
                    registered = Hosts { count: hosts.sample.len(), ..hosts };
                }
                Err(e) => log_hosts_failure(&e),
            }
        }
        let Some(mut hosts) = relay.hosts_to_register(&registered) else { continue };
        // What a host has not seen must not disappear from the registration.
        if !relay.has_seen_all_versions() {
            if let Err(e) = relay.read_registration(&mut store).await {
                log_hosts_failure(&e);
                continue;
            }
            hosts = relay.hosts_to_register(&registered).unwrap_or(hosts);
        }
        match relay.call_store(StoreCall::Register, None, store.register_hosts(&centre, &hosts)).await {
            Ok(()) => registered = hosts,
            Err(e) => log_hosts_failure(&e),
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Reads which services were registered with several versions.
    pub(super) async fn read_registration(&self, store: &mut impl Store) -> Result<(), StoreError> {
        let hosts = self.call_store(StoreCall::Hosts, None, store.hosts(false)).await?;
        self.learn_registered(&hosts);
        self.state().registration_read = true;
        Ok(())
    }

    /// Whether this host has seen all versions of servers that may have begun streams which are still open.
    pub(super) fn has_seen_all_versions(&self) -> bool {
        self.state().origins.has_seen_all(now())
    }
}

pub(super) fn log_hosts_failure(e: &StoreError) {
    line(Level::Notable, "hosts_failed", |l| l.text("why", &format!("{e:?}")));
}
