//! The store's objects in the platform's format, and their conversion to the product's types.

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::schema::fleet::{self, CallerLimits, Configuration, Repeat, Route, Service, Share, Workspace};

/// A page of a list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", bound = "T: DeserializeOwned")]
pub(super) struct Page<T> {
    #[serde(deserialize_with = "readable")]
    pub(super) items: Vec<Object<T>>,
    #[serde(default)]
    pub(super) has_more: bool,
    /// The store's revision.
    pub(super) current_rev: u64,
}

/// Result of a watch.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", bound = "T: DeserializeOwned")]
pub(super) struct Changes<T> {
    #[serde(deserialize_with = "readable")]
    pub(super) events: Vec<Change<T>>,
    pub(super) current_rev: u64,
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub(super) struct Change<T> {
    pub(super) object: Object<T>,
    #[serde(default)]
    pub(super) deleted: bool,
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub(super) struct Object<T> {
    pub(super) metadata: Metadata,
    /// `None` if it can't be decoded, so that one invalid object does not invalidate the list.
    #[serde(default = "Option::default", deserialize_with = "lenient")]
    pub(super) spec: Option<T>,
}

impl<T> Object<T> {
    /// Whether no deletion is pending.
    pub(super) fn is_kept(&self) -> bool {
        !self.metadata.deletion_pending
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Metadata {
    pub(super) name: String,
    #[serde(default)]
    deletion_pending: bool,
}

/// Decodes the entries of a list that have a name. Other writers may add anything else, which is skipped with a warning.
fn readable<'de, D, T>(de: D) -> Result<Vec<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: DeserializeOwned,
{
    let values = Vec::<&RawValue>::deserialize(de)?;
    let read = |value: &RawValue| {
        serde_json::from_str(value.get())
            .inspect_err(|e| spdlog::warn!("skipping a store entry without a valid name: {e}"))
            .ok()
    };
    Ok(values.into_iter().filter_map(read).collect())
}

fn lenient<'de, D, T>(de: D) -> Result<Option<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: DeserializeOwned,
{
    // Logged at debug level only: the caller logs the consequence when it changes, instead of with each list.
    let value = <&RawValue>::deserialize(de)?;
    Ok(serde_json::from_str(value.get()).inspect_err(|e| spdlog::debug!("invalid store object: {e}")).ok())
}

/// Maximum time for which a server is slow after its start, in milliseconds. An entry with a longer one was written by another party.
const MAX_COLD_MS: f64 = 3_600_000.0;

/// A backend server's entry. Unused fields are declared so that their types are checked.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RawBackend {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: RawState,
    born: Option<u64>,
    version: Option<String>,
    #[serde(rename = "sequence")]
    _sequence: Option<u64>,
    /// Remaining warm-up time.
    cold_remaining_ms: Option<f64>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
enum RawState {
    Ready,
    Draining,
}

#[derive(Deserialize)]
pub(super) struct RawConfiguration {
    pub(super) version: u64,
    #[serde(default)]
    routes: Vec<RawRoute>,
    #[serde(default)]
    services: Vec<RawService>,
    limits: Option<RawLimits>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRoute {
    #[serde(default)]
    pub(super) name: String,
    host: String,
    path_prefix: String,
    kind: String,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u32,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<RawShare>,
    #[serde(default)]
    max_attempts: u32,
    #[serde(default)]
    auth_exempt: bool,
    /// Whether its requests list the parts of their prompt.
    #[serde(default)]
    session_affinity: bool,
    #[serde(default)]
    stream_resume: bool,
    /// Longest allowed pause between the events of a stream.
    #[serde(default)]
    target_gap_ms: f64,
}

#[derive(Deserialize)]
struct RawShare {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawService {
    pub(super) name: String,
    #[serde(default)]
    max_connections: u32,
    #[serde(default)]
    cold_s: f64,
    #[serde(default)]
    cold_per_s: f64,
    /// Present if its servers are model engines.
    engine: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    #[serde(default)]
    max_header_bytes: u32,
    #[serde(default)]
    max_body_bytes: u32,
    #[serde(default)]
    header_timeout_ms: f64,
    #[serde(default)]
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawTenant {
    pub(super) name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
}

/// Weights are stored in thousandths, because they may have fractions.
const WEIGHT_SCALE: f64 = 1_000.0;

impl From<RawConfiguration> for Configuration {
    fn from(raw: RawConfiguration) -> Self {
        Self {
            version: raw.version,
            routes: raw.routes.into_iter().map(Route::from).collect(),
            services: raw.services.into_iter().map(Service::from).collect(),
            limits: raw.limits.map(CallerLimits::from),
            workspaces: raw.tenants.into_iter().map(Workspace::from).collect(),
        }
    }
}

impl From<RawRoute> for Route {
    fn from(raw: RawRoute) -> Self {
        let repeat = match raw.kind.as_str() {
            "idempotent" => Repeat::Idempotent,
            "stream" => Repeat::Stream,
            _ => Repeat::Never,
        };
        let split = |s: RawShare| Share { service: s.service, weight: (s.weight * WEIGHT_SCALE) as u32 };
        let mut shares: Vec<_> = raw.traffic_split.into_iter().map(split).collect();
        if let Some(service) = raw.service.filter(|_| shares.is_empty()) {
            shares.push(Share { service, weight: 1 });
        }
        Self {
            name: raw.name,
            host: raw.host,
            prefix: raw.path_prefix,
            repeat: repeat.into(),
            timeout_ms: raw.timeout_ms as u32,
            objective_ms: raw.target_latency_ms as u32,
            rank: raw.priority,
            shares,
            attempts: raw.max_attempts,
            open: raw.auth_exempt,
            resumable: raw.stream_resume,
            prompts: raw.session_affinity,
            max_pause_ms: raw.target_gap_ms as u32,
        }
    }
}

impl From<RawService> for Service {
    fn from(raw: RawService) -> Self {
        Self {
            name: raw.name,
            connections: raw.max_connections,
            caches_prompts: raw.engine.is_some(),
            cold_ms: (raw.cold_s * 1_000.0) as u32,
            cold_per_minute: (raw.cold_per_s * 60.0) as u32,
        }
    }
}

impl From<RawLimits> for CallerLimits {
    fn from(raw: RawLimits) -> Self {
        Self {
            head_bytes: raw.max_header_bytes,
            body_bytes: raw.max_body_bytes,
            head_ms: raw.header_timeout_ms as u32,
            idle_ms: raw.idle_timeout_ms as u32,
        }
    }
}

impl From<RawTenant> for Workspace {
    fn from(raw: RawTenant) -> Self {
        Self { name: raw.name, keys: raw.api_keys, rank: raw.priority }
    }
}

/// Converts an entry; one that can't be decoded or that no server can have written gets no address, so that it is never used.
pub(super) fn backend(object: Object<RawBackend>) -> fleet::Backend {
    let id = object.metadata.name;
    let is_plausible = |raw: &RawBackend| raw.cold_remaining_ms.unwrap_or(0.0) <= MAX_COLD_MS;
    let Some(raw) = object.spec.filter(is_plausible) else {
        return fleet::Backend { id, ..Default::default() };
    };
    fleet::Backend {
        id,
        service: raw.service,
        addr: raw.address,
        data_centre: raw.zone,
        slots: raw.slots,
        leaving: raw.state == RawState::Draining || object.metadata.deletion_pending,
        born: raw.born.unwrap_or(0),
        cold_ms: raw.cold_remaining_ms.unwrap_or(0.0) as u32,
        unconfirmed_ms: 0,
        version: raw.version.unwrap_or_default(),
    }
}
