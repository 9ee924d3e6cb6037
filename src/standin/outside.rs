//! Stand-ins for all external systems of a small deployment on loopback, with a configuration that routes to them.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, Result, anyhow};

use super::{engine::EngineStandin, gate::FaultProxy, platform::PlatformStandin, service::ServiceStandin};
use crate::{
    catalog::{AnyObject, Object},
    http::{Limits, Server},
    schema::object::Meta,
};

/// Configured workspaces.
pub const WORKSPACES: [&str; 3] = ["phrasebook", "counter", "kiosk"];
/// Model that callers request.
pub const MODEL: &str = "phrase";
/// Name of the plain service, whose path `/progress` is non-idempotent.
pub const SERVICE: &str = "lessons";
/// Data centres to which the backend servers are assigned in turn.
const DATA_CENTRES: [&str; 3] = ["poa-a", "poa-b", "poa-c"];

/// Number and behaviour of the stand-ins.
#[derive(Clone, Copy, Debug)]
pub struct StandinConfig {
    engines: usize,
    services: usize,
    tokens: usize,
    token_interval: Duration,
    cache_capacity: usize,
    capacity: u32,
}

impl Default for StandinConfig {
    fn default() -> Self {
        Self {
            engines: 9,
            services: 3,
            tokens: 12,
            token_interval: Duration::from_millis(3),
            cache_capacity: 64,
            capacity: 8,
        }
    }
}

impl StandinConfig {
    /// Sets the number of model engines.
    pub fn with_engines(self, engines: usize) -> Self {
        Self { engines, ..self }
    }

    /// Sets the configured capacity of each backend server, in concurrent requests.
    pub fn with_capacity(self, capacity: u32) -> Self {
        Self { capacity, ..self }
    }

    /// Sets the number of tokens of an answer and the interval between them.
    pub fn with_tokens(self, tokens: usize, token_interval: Duration) -> Self {
        Self { tokens, token_interval, ..self }
    }
}

/// Running stand-ins of one deployment.
#[derive(Debug)]
pub struct Standins {
    /// Platform.
    pub platform: Arc<PlatformStandin>,
    /// Model engines.
    pub engines: Vec<Arc<EngineStandin>>,
    /// Fault proxies in front of the model engines, in the same order.
    pub engine_proxies: Vec<FaultProxy>,
    /// Backend servers of the plain service.
    pub services: Vec<Arc<ServiceStandin>>,
    config: StandinConfig,
    platform_addr: SocketAddr,
    servers: Vec<Server>,
}

impl Standins {
    /// Starts the stand-ins and writes a configuration that routes to them.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start(config: StandinConfig) -> Result<Self> {
        let platform = Arc::new(PlatformStandin::default());
        let server = Server::start(loopback_listener()?, 1, Limits::default(), platform.clone())?;
        let mut standins = Self {
            platform,
            engines: Vec::new(),
            engine_proxies: Vec::new(),
            services: Vec::new(),
            config,
            platform_addr: server.addr(),
            servers: vec![server],
        };
        for _ in 0..config.engines {
            standins.add_engine().await?;
        }
        for _ in 0..config.services {
            standins.add_service()?;
        }
        for obj in configuration() {
            standins.put(obj)?;
        }
        Ok(standins)
    }

    /// Address of the platform's object API.
    pub fn platform_addr(&self) -> SocketAddr {
        self.platform_addr
    }

    /// Number of tokens of an answer.
    pub fn tokens(&self) -> usize {
        self.config.tokens
    }

    /// Starts another model engine behind a fault proxy and registers it on the platform.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn add_engine(&mut self) -> Result<()> {
        let i = self.engines.len();
        let engine = Arc::new(EngineStandin::new(
            self.config.tokens,
            self.config.token_interval,
            self.config.cache_capacity,
        ));
        let server = Server::start(loopback_listener()?, 1, Limits::default(), engine.clone())?;
        let proxy = FaultProxy::start(server.addr(), Some(engine.subscribe_crashes())).await?;
        self.put(backend_object(&format!("engine-{i}"), "model", i, proxy.addr(), self.config.capacity))?;
        self.servers.push(server);
        self.engine_proxies.push(proxy);
        self.engines.push(engine);
        Ok(())
    }

    fn add_service(&mut self) -> Result<()> {
        let i = self.services.len();
        let service = Arc::new(ServiceStandin::default());
        let server = Server::start(loopback_listener()?, 1, Limits::default(), service.clone())?;
        self.put(backend_object(&format!("app-{i}"), "app", i, server.addr(), self.config.capacity))?;
        self.servers.push(server);
        self.services.push(service);
        Ok(())
    }

    /// Writes an object to the platform.
    ///
    /// # Errors
    /// If its version does not match the current one; a new object has no version.
    pub fn put(&self, obj: AnyObject) -> Result<()> {
        self.platform
            .put(obj)
            .map(drop)
            .map_err(|_| anyhow!("could not write an object whose version does not match"))
    }

    /// Cache hit rate of follow-up requests, and load skew: requests of the busiest engine divided by the mean.
    pub fn hit_rate_and_skew(&self) -> (f64, f64) {
        let counts: Vec<_> = self.engines.iter().map(|e| e.request_counts()).collect();
        let total: u64 = counts.iter().map(|c| c.0).sum();
        let returns: u64 = counts.iter().map(|c| c.1).sum();
        let hits: u64 = counts.iter().map(|c| c.2).sum();
        let busiest = counts.iter().map(|c| c.0).max().unwrap_or(0);
        let mean = total as f64 / counts.len().max(1) as f64;
        (hits as f64 / returns.max(1) as f64, busiest as f64 / mean.max(1.0))
    }

    /// Idempotency keys that ran more than once, according to the backend servers.
    pub fn duplicate_runs(&self) -> Vec<String> {
        let mut runs = std::collections::BTreeMap::<String, u32>::new();
        for (key, n) in self.services.iter().flat_map(|s| s.runs()) {
            *runs.entry(key).or_default() += n;
        }
        runs.into_iter().filter(|(_, n)| *n > 1).map(|(key, _)| key).collect()
    }

    /// Whether an idempotency key ran, according to the backend servers.
    pub fn has_run(&self, key: &str) -> bool {
        self.services.iter().any(|s| s.runs().contains_key(key))
    }

    /// Stops the servers of the stand-ins.
    pub fn close(self) {
        self.servers.into_iter().for_each(Server::close);
    }
}

/// YAML settings of a router in this deployment.
pub fn settings(
    name: &str,
    listen: SocketAddr,
    peer_listen: SocketAddr,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> String {
    let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
    format!(
        "name: {name}\nlisten: {listen}\npeer_listen: {peer_listen}\ndata_centre: poa-a\nregion: poa\n\
         platform: {platform}\nseeds: [{}]\nshared_key: stand-in\n",
        seeds.join(", ")
    )
}

/// Listener on a free loopback port.
///
/// # Errors
/// If no port is available.
pub fn loopback_listener() -> Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").context("could not listen on loopback")
}

/// Object as an operator writes it.
pub fn object(kind: &str, name: &str, labels: &[(&str, &str)], spec: serde_json::Value) -> AnyObject {
    let labels = labels.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
    Object { kind: kind.into(), metadata: Meta { name: name.into(), labels, ..Meta::default() }, spec }
}

fn backend_object(name: &str, role: &str, i: usize, addr: SocketAddr, capacity: u32) -> AnyObject {
    let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
    let spec =
        serde_json::json!({ "address": addr.to_string(), "dataCentre": data_centre, "capacity": capacity });
    object("Engine", name, &[("role", role)], spec)
}

fn configuration() -> Vec<AnyObject> {
    let label_selector = |role: &str| serde_json::json!({ "matchLabels": { "role": role } });
    let pool = serde_json::json!({ "engines": label_selector("model"), "loadBoundMilli": 1250 });
    let service = serde_json::json!({ "engines": label_selector("app"), "nonIdempotent": ["/progress"] });
    let mut objects = vec![
        object("EnginePool", "models", &[], pool),
        object("RoutingPolicy", "all", &[], serde_json::json!({ "pool": "models" })),
        object("Service", SERVICE, &[], service),
    ];
    objects.extend(WORKSPACES.map(|w| object("Workspace", w, &[], serde_json::json!({}))));
    objects
}
