//! The configuration compiled for look-ups: host name and path to route, API key to workspace.

use std::{sync::Arc, time::Duration};

use super::warmup::ColdLimit;
use crate::{
    schema::fleet::{CallerLimits, Configuration, Fetched, Repeat, Route},
    util::Map,
};

/// Version of a configuration; increases with each change.
pub type Version = u64;

/// Default limit of a request head; the smallest that common clients stay within.
const DEFAULT_HEAD_BYTES: u32 = 16 << 10;
/// Default limit of a request body.
const DEFAULT_BODY_BYTES: u32 = 1 << 20;
/// Default time limit for receiving a request head.
const DEFAULT_HEAD_MS: u32 = 3_000;
/// Default idle time limit of a caller's connection.
const DEFAULT_IDLE_MS: u32 = 15_000;

/// A route with what is derived from its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct CompiledRoute {
    /// The route as configured.
    pub route: Route,
    /// Whether a request may be sent again after an attempt that may have run.
    pub repeatable: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
}

/// The workspace on whose behalf a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Rank of the workspace's requests, which overrides the route's.
    pub rank: Option<u32>,
}

/// A compiled configuration.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    source: Arc<Configuration>,
    /// Routes by host name, those with the longest prefix first.
    hosts: Map<Arc<str>, Vec<Arc<CompiledRoute>>>,
    callers: Map<Arc<str>, Arc<Caller>>,
    caching_services: Vec<Arc<str>>,
    /// Shortest allowed pause between events in milliseconds, by service.
    shortest_pauses: Map<Arc<str>, u32>,
}

impl Routes {
    /// Compiles a configuration.
    pub fn new(source: Arc<Configuration>) -> Self {
        let mut hosts: Map<Arc<str>, Vec<_>> = Map::default();
        for route in &source.routes {
            hosts.entry(route.host.to_ascii_lowercase().into()).or_default().push(Arc::new(compile(route)));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.route.prefix.len()));
        }
        let mut callers = Map::default();
        for workspace in &source.workspaces {
            let caller = Arc::new(Caller { workspace: workspace.name.as_str().into(), rank: workspace.rank });
            for key in &workspace.keys {
                callers.insert(key.as_str().into(), caller.clone());
            }
        }
        let caching_services = source.services.iter().filter(|s| s.caches_prompts);
        let caching_services = caching_services.map(|s| s.name.as_str().into()).collect();
        let shortest_pauses = shortest_pauses(&source.routes);
        Self { source, hosts, callers, caching_services, shortest_pauses }
    }

    /// The configuration that was compiled.
    pub fn source(&self) -> &Arc<Configuration> {
        &self.source
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.source.version
    }

    /// The route of a request: the one with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CompiledRoute>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.hosts.get(name).or_else(|| self.hosts.get(name.to_ascii_lowercase().as_str()))?;
        routes.iter().find(|r| path.starts_with(&r.route.prefix))
    }

    /// Whether callers must send API keys.
    pub fn requires_keys(&self) -> bool {
        !self.source.workspaces.is_empty()
    }

    /// The caller that an API key belongs to.
    pub fn caller(&self, key: &str) -> Option<&Arc<Caller>> {
        self.callers.get(key)
    }

    /// Whether the backend servers of a service cache prompts and can fetch them from each other.
    pub fn caches_prompts(&self, service: &str) -> bool {
        self.caching_services.iter().any(|s| &**s == service)
    }

    /// The shortest pause between events that a route to the service allows, in milliseconds, if any limits it.
    pub fn shortest_pause_ms(&self, service: &str) -> Option<u32> {
        self.shortest_pauses.get(service).copied()
    }

    /// Connections that one backend server of a service accepts from all hosts together, if limited.
    pub fn max_connections(&self, service: &str) -> Option<u32> {
        let service = self.source.services.iter().find(|s| s.name == service)?;
        (service.connections > 0).then_some(service.connections)
    }

    /// The limit on requests to cold backend servers of a service; `None` if its servers are never cold.
    pub fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        let service = self.source.services.iter().find(|s| s.name == service)?;
        let per_second = f64::from(service.cold_per_minute) / 60.0;
        let duration = Duration::from_millis(service.cold_ms.into());
        (service.cold_ms > 0).then_some(ColdLimit { duration, per_second })
    }

    /// Routes whose answers are streams.
    pub fn streams(&self) -> impl Iterator<Item = &Arc<CompiledRoute>> {
        self.hosts.values().flatten().filter(|r| r.stream)
    }

    /// The longest timeout of a stream.
    pub fn longest_stream(&self) -> Duration {
        let longest = self.streams().map(|r| r.route.timeout_ms).max();
        Duration::from_millis(longest.unwrap_or_default().into())
    }

    /// Limits on the requests of callers.
    pub fn limits(&self) -> CallerLimits {
        let given = self.source.limits.unwrap_or_default();
        let or = |value, default| if value == 0 { default } else { value };
        CallerLimits {
            head_bytes: or(given.head_bytes, DEFAULT_HEAD_BYTES),
            body_bytes: or(given.body_bytes, DEFAULT_BODY_BYTES),
            head_ms: or(given.head_ms, DEFAULT_HEAD_MS),
            idle_ms: or(given.idle_ms, DEFAULT_IDLE_MS),
        }
    }
}

fn shortest_pauses(routes: &[Route]) -> Map<Arc<str>, u32> {
    let mut shortest: Map<Arc<str>, u32> = Map::default();
    for route in routes.iter().filter(|r| r.max_pause_ms > 0) {
        for share in &route.shares {
            let known = shortest.entry(share.service.as_str().into()).or_insert(route.max_pause_ms);
            *known = route.max_pause_ms.min(*known);
        }
    }
    shortest
}

/// The routes in an answer to a fetch: those of the full configuration, or the new ones.
fn fetched_routes(fetched: &mut Fetched) -> Option<&mut Vec<Route>> {
    let full = fetched.configuration.as_mut().map(|cfg| &mut cfg.routes);
    full.or(fetched.configuration_changes.as_mut().map(|changes| &mut changes.new_routes))
}

/// Adds the allowed pauses of the routes in an answer to a fetch, if any is limited.
pub(crate) fn add_pauses(fetched: &mut Fetched) {
    let pauses = fetched_routes(fetched).map(|routes| routes.iter().map(|r| r.max_pause_ms).collect());
    fetched.route_pauses = pauses.filter(|all: &Vec<_>| all.iter().any(|ms| *ms > 0)).unwrap_or_default();
}

/// Sets the allowed pauses of the routes in an answer to a fetch. They stay unlimited in the answer of a host of an
/// earlier version, or one that contradicts itself.
pub(crate) fn set_pauses(fetched: &mut Fetched) {
    let pauses = std::mem::take(&mut fetched.route_pauses);
    let routes = fetched_routes(fetched).filter(|routes| routes.len() == pauses.len());
    for (route, pause) in routes.into_iter().flatten().zip(pauses) {
        route.max_pause_ms = pause;
    }
}

fn compile(route: &Route) -> CompiledRoute {
    let stream = route.repeat() == Repeat::Stream;
    let repeatable = route.repeat() == Repeat::Idempotent || (stream && route.resumable);
    CompiledRoute { route: route.clone(), repeatable, stream }
}

impl CompiledRoute {
    /// The services to which requests may go, in order.
    pub fn services(&self) -> Vec<&str> {
        let shares = self.route.shares.iter().filter(|s| s.weight > 0);
        let mut services: Vec<_> = shares.map(|s| &*s.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// The service of one request, chosen by weight with the random number `draw` in `0..1`.
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: u64 = self.route.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut at = (draw * total as f64) as u64;
        for share in self.route.shares.iter().filter(|s| s.weight > 0) {
            match at.checked_sub(share.weight.into()) {
                None => return Some(&share.service),
                Some(rest) => at = rest,
            }
        }
        None
    }
}
