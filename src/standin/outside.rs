//! The outside systems of a small deployment on loopback, with a configuration that routes to them.

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

/// Workspaces of the configuration.
pub const WORKSPACES: [&str; 3] = ["phrasebook", "counter", "kiosk"];
/// Model that the pool serves.
pub const MODEL: &str = "phrase";
/// Plain service whose path `/progress` is non-idempotent.
pub const SERVICE: &str = "lessons";
const DATA_CENTRES: [&str; 3] = ["poa-a", "poa-b", "poa-c"];

/// How many stand-ins there are and how the engines answer.
#[derive(Clone, Copy, Debug)]
pub struct StandinConfig {
    engines: usize,
    services: usize,
    tokens: usize,
    token_interval: Duration,
    cache: usize,
    capacity: u32,
}

impl Default for StandinConfig {
    fn default() -> Self {
        Self {
            engines: 9,
            services: 3,
            tokens: 12,
            token_interval: Duration::from_millis(3),
            cache: 64,
            capacity: 8,
        }
    }
}

impl StandinConfig {
    /// Sets the number of model engines.
    pub fn with_engines(self, engines: usize) -> Self {
        Self { engines, ..self }
    }

    /// Sets how many requests each backend server runs well at once.
    pub fn with_capacity(self, capacity: u32) -> Self {
        Self { capacity, ..self }
    }

    /// Sets the tokens of an answer and the time between two of them.
    pub fn with_tokens(self, tokens: usize, token_interval: Duration) -> Self {
        Self { tokens, token_interval, ..self }
    }
}

/// The stand-ins of one deployment.
#[derive(Debug)]
pub struct Standins {
    /// The platform.
    pub platform: Arc<PlatformStandin>,
    /// The model engines.
    pub engines: Vec<Arc<EngineStandin>>,
    /// Gates before the model engines, in their order.
    pub engine_proxies: Vec<FaultProxy>,
    /// The backend servers of the plain service.
    pub services: Vec<Arc<ServiceStandin>>,
    plan: StandinConfig,
    platform_addr: SocketAddr,
    servers: Vec<Server>,
}

impl Standins {
    /// Starts the stand-ins and writes a configuration that routes to them.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(plan: StandinConfig) -> Result<Self> {
        let platform = Arc::new(PlatformStandin::default());
        let server = Server::start(loopback_listener()?, 1, Limits::default(), platform.clone())?;
        let mut outside = Self {
            platform,
            engines: Vec::new(),
            engine_proxies: Vec::new(),
            services: Vec::new(),
            plan,
            platform_addr: server.addr(),
            servers: vec![server],
        };
        for _ in 0..plan.engines {
            outside.add_engine().await?;
        }
        for _ in 0..plan.services {
            outside.add_service()?;
        }
        for obj in configuration() {
            outside.put(obj)?;
        }
        Ok(outside)
    }

    /// Address of the platform.
    pub fn platform_addr(&self) -> SocketAddr {
        self.platform_addr
    }

    /// Tokens of one answer.
    pub fn tokens(&self) -> usize {
        self.plan.tokens
    }

    /// Starts one more model engine and registers it.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn add_engine(&mut self) -> Result<()> {
        let i = self.engines.len();
        let engine =
            Arc::new(EngineStandin::new(self.plan.tokens, self.plan.token_interval, self.plan.cache));
        let server = Server::start(loopback_listener()?, 1, Limits::default(), engine.clone())?;
        let gate = FaultProxy::start(server.addr(), Some(engine.subscribe_crashes())).await?;
        self.put(backend(&format!("engine-{i}"), "model", i, gate.addr(), self.plan.capacity))?;
        self.servers.push(server);
        self.engine_proxies.push(gate);
        self.engines.push(engine);
        Ok(())
    }

    fn add_service(&mut self) -> Result<()> {
        let i = self.services.len();
        let service = Arc::new(ServiceStandin::default());
        let server = Server::start(loopback_listener()?, 1, Limits::default(), service.clone())?;
        self.put(backend(&format!("app-{i}"), "app", i, server.addr(), self.plan.capacity))?;
        self.servers.push(server);
        self.services.push(service);
        Ok(())
    }

    /// Writes an object that does not exist yet.
    ///
    /// # Errors
    /// When it exists.
    pub fn put(&self, obj: AnyObject) -> Result<()> {
        self.platform.put(obj).map(drop).map_err(|_| anyhow!("could not write an object"))
    }

    /// Share of returning chats that found their prefix cached, and the busiest engine over the mean.
    pub fn hit_rate_and_skew(&self) -> (f64, f64) {
        let counts: Vec<_> = self.engines.iter().map(|e| e.request_counts()).collect();
        let total: u64 = counts.iter().map(|c| c.0).sum();
        let returns: u64 = counts.iter().map(|c| c.1).sum();
        let hits: u64 = counts.iter().map(|c| c.2).sum();
        let busiest = counts.iter().map(|c| c.0).max().unwrap_or(0);
        let mean = total as f64 / counts.len().max(1) as f64;
        (hits as f64 / returns.max(1) as f64, busiest as f64 / mean.max(1.0))
    }

    /// Idempotency keys that ran more than once, by the backend servers' own records.
    pub fn duplicate_runs(&self) -> Vec<String> {
        let mut runs = std::collections::BTreeMap::<String, u32>::new();
        for (key, n) in self.services.iter().flat_map(|s| s.runs()) {
            *runs.entry(key).or_default() += n;
        }
        runs.into_iter().filter(|(_, n)| *n > 1).map(|(key, _)| key).collect()
    }

    /// Whether a key ran, by the backend servers' own records.
    pub fn has_run(&self, key: &str) -> bool {
        self.services.iter().any(|s| s.runs().contains_key(key))
    }

    /// Stops the stand-ins.
    pub fn close(self) {
        self.servers.into_iter().for_each(Server::close);
    }
}

/// Settings of a router of this deployment, as YAML.
pub fn settings(
    name: &str,
    listen: SocketAddr,
    peer: SocketAddr,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> String {
    let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
    format!(
        "name: {name}\nlisten: {listen}\npeer_listen: {peer}\ndata_centre: poa-a\nregion: poa\n\
         platform: {platform}\nseeds: [{}]\nshared_key: stand-in\n",
        seeds.join(", ")
    )
}

/// A listener on a loopback port that the system chose.
///
/// # Errors
/// When no port can be had.
pub fn loopback_listener() -> Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").context("could not listen on loopback")
}

/// An object as an operator writes it.
pub fn object(kind: &str, name: &str, labels: &[(&str, &str)], spec: serde_json::Value) -> AnyObject {
    let labels = labels.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
    Object { kind: kind.into(), metadata: Meta { name: name.into(), labels, ..Meta::default() }, spec }
}

fn backend(name: &str, role: &str, i: usize, addr: SocketAddr, capacity: u32) -> AnyObject {
    let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
    let spec =
        serde_json::json!({ "address": addr.to_string(), "dataCentre": data_centre, "capacity": capacity });
    object("Engine", name, &[("role", role)], spec)
}

fn configuration() -> Vec<AnyObject> {
    let select = |role: &str| serde_json::json!({ "matchLabels": { "role": role } });
    let pool = serde_json::json!({ "engines": select("model"), "loadBoundMilli": 1250 });
    let service = serde_json::json!({ "engines": select("app"), "nonIdempotent": ["/progress"] });
    let mut objects = vec![
        object("EnginePool", "models", &[], pool),
        object("RoutingPolicy", "all", &[], serde_json::json!({ "pool": "models" })),
        object("Service", SERVICE, &[], service),
    ];
    objects.extend(WORKSPACES.map(|w| object("Workspace", w, &[], serde_json::json!({}))));
    objects
}
