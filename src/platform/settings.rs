//! The platform's settings file: JSON in the platform's own format, of which only the required fields are read.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use anyhow::{Context, Result};
use serde::Deserialize;

use crate::{
    relay::{
        RelayConfig, budget::BudgetConfig, buffers, capacity::Capacity, confirm, leave::LeaveConfig,
        place::Bound,
    },
    schema::fleet::Member,
};

/// Time after which callers no longer connect to a host that is no longer in the answers with addresses.
const HANDOVER_TIME: Duration = Duration::from_millis(3_300);

/// Settings of one process, in the product's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub name: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address at which callers resolve hosts, if this host offers that.
    pub directory: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    peer_port: u16,
    /// Address on which this host listens for other hosts.
    pub peers: SocketAddr,
    seeds: Vec<SocketAddr>,
    budget: BudgetConfig,
    grace: Duration,
    evacuates: bool,
    in_force: Duration,
    concurrent_fetches: usize,
    buffer_bytes: usize,
    capacity: Capacity,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Raw {
    node: String,
    zone: String,
    listen: RawListen,
    internal_port_range: (u16, u16),
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    bounds: RawBounds,
    #[serde(rename = "platformConfig")]
    store: RawStore,
    #[serde(default)]
    limits: RawLimits,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawLimits {
    link_mbps: f64,
    memory_mb: f64,
    max_fds: usize,
    /// Connections of callers, if they are not to follow from memory and descriptors.
    caller_connections: Option<usize>,
    /// Memory for bodies of requests, in MiB, if it is not to follow from the machine's.
    bodies_mb: Option<f64>,
}

impl RawLimits {
    fn capacity(&self) -> Result<Capacity> {
        let capacity = Capacity::of(self.memory_mb, self.max_fds).with_bodies_mb(self.bodies_mb);
        let capacity = capacity.context("limits.bodiesMb")?.with_caller_connections(self.caller_connections);
        capacity.context("limits.callerConnections")
    }
}

#[derive(Deserialize)]
struct RawListen {
    front: SocketAddr,
    ready: SocketAddr,
    directory: Option<SocketAddr>,
    peers: Option<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawBounds {
    grace_s: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    /// Retries per window in addition to the ratio, for all hosts together.
    retry_budget_extra: f64,
    /// Present if data centres can be evacuated.
    evacuation_ms: Option<f64>,
    /// Time until a configuration is active; `drain_ms`: until a leaving server gets no new requests.
    config_apply_ms: Option<f64>,
    drain_ms: Option<f64>,
}

#[derive(Deserialize)]
struct RawStore {
    address: SocketAddr,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// If it can't be read or lacks a required field; unknown fields are ignored.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("invalid settings in {}", path.display()))
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// If it is not valid JSON or lacks a required field.
    pub fn parse(text: &str) -> Result<Self> {
        let raw: Raw = serde_json::from_str(text).context("could not parse the settings")?;
        let (bounds, peer_port) = (&raw.bounds, raw.internal_port_range.0);
        Ok(Self {
            name: raw.node,
            data_centre: raw.zone,
            callers: raw.listen.front,
            ready: raw.listen.ready,
            directory: raw.listen.directory,
            store: raw.store.address,
            peer_port,
            peers: raw.listen.peers.unwrap_or(SocketAddr::new(raw.listen.front.ip(), peer_port)),
            seeds: raw.seeds,
            budget: BudgetConfig {
                ratio: bounds.retry_budget_ratio,
                extra: bounds.retry_budget_extra,
                window: Duration::from_secs_f64(bounds.budget_window_s.clamp(1.0, 3_600.0)),
            },
            grace: Duration::from_secs_f64(bounds.grace_s.clamp(1.0, 3_600.0)),
            evacuates: bounds.evacuation_ms.is_some(),
            in_force: confirm::bound_from([bounds.config_apply_ms, bounds.drain_ms, bounds.evacuation_ms]),
            concurrent_fetches: RelayConfig::concurrent_fetches(raw.limits.link_mbps),
            buffer_bytes: buffers::limit_for(raw.limits.memory_mb),
            capacity: raw.limits.capacity()?,
        })
    }

    /// Converts the settings to the relay's configuration.
    pub fn relay(&self) -> RelayConfig {
        // All hosts use the same ports, so a seed's peer address follows from its caller address.
        let peer = |addr: &SocketAddr| SocketAddr::new(addr.ip(), self.peer_port);
        let peer_addr = peer(&self.callers);
        RelayConfig {
            me: Member {
                name: self.name.clone(),
                callers: self.callers.to_string(),
                peers: peer_addr.to_string(),
                data_centre: self.data_centre.clone(),
            },
            peer_addr,
            seeds: self.seeds.iter().map(peer).collect(),
            budget: self.budget,
            bound: Bound::default(),
            leave: LeaveConfig { grace: self.grace, address_ttl: HANDOVER_TIME },
            evacuates: self.evacuates,
            in_force: self.in_force,
            concurrent_fetches: self.concurrent_fetches,
            buffer_bytes: self.buffer_bytes,
            capacity: self.capacity,
            limits_plain_together: false,
            places_by_pace: false,
        }
    }
}
