//! A running router: sockets, the configuration watch and the gateway.

use std::{net::TcpListener, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use tokio::task::JoinHandle;

use crate::{
    catalog::{AnyObject, Catalog},
    config::Settings,
    entry::Router,
    gateway::Gateway,
    http::{Limits, Server},
    metrics::Metrics,
    platform::{Event, Platform, Watched},
};

const RECONNECT: Duration = Duration::from_millis(500);

/// A router in this process.
#[derive(Debug)]
pub struct Running {
    peer_addr: std::net::SocketAddr,
    server: Server,
    watch: JoinHandle<()>,
    gateway: Arc<Gateway>,
    metrics: Arc<Metrics>,
}

impl Running {
    /// Starts a router on the address of its settings.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn start(cfg: &Settings) -> Result<Self> {
        let listener =
            TcpListener::bind(cfg.listen).with_context(|| format!("could not listen on {}", cfg.listen))?;
        Self::start_on(cfg, listener)
    }

    /// Starts a router on a listener.
    ///
    /// # Errors
    /// When the server can't be started.
    pub fn start_on(cfg: &Settings, listener: TcpListener) -> Result<Self> {
        let me = Router {
            name: cfg.name.clone(),
            addr: listener.local_addr().context("could not read the address")?,
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
        };
        let metrics = Arc::new(Metrics::new()?);
        let gateway = Arc::new(Gateway::new(me, &cfg.shared_key, metrics.clone()));
        let limits = Limits::default()
            .with_bytes(cfg.body_bytes)
            .with_time(cfg.body_time)
            .with_head_time(cfg.head_time);
        let server = Server::start(listener, cfg.http_threads, limits, gateway.clone())?;
        let watch = tokio::spawn(follow(Platform::new(cfg.platform), gateway.clone()));
        Ok(Self { peer_addr: cfg.peer_listen, server, watch, gateway, metrics })
    }

    /// The gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// The counters.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Address for callers.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr()
    }

    /// Address for other routers.
    pub fn peer_addr(&self) -> std::net::SocketAddr {
        self.peer_addr
    }

    /// Stops the router.
    pub fn close(self) {
        self.watch.abort();
        self.server.close();
    }
}

async fn follow(platform: Platform, gateway: Arc<Gateway>) {
    loop {
        if let Err(e) = follow_once(&platform, &gateway).await {
            spdlog::warn!("configuration watch ended: {e:#}");
        }
        tokio::time::sleep(RECONNECT).await;
    }
}

async fn follow_once(platform: &Platform, gateway: &Gateway) -> Result<()> {
    let list = platform.list().await?;
    let mut objects = list.items;
    enforce(gateway, list.version, &objects);
    let Watched::Open(mut watch) = platform.watch(list.version).await? else { return Ok(()) };
    while let Some(event) = watch.next().await? {
        let version = event.version;
        merge(&mut objects, event);
        enforce(gateway, version, &objects);
    }
    Ok(())
}

fn merge(objects: &mut Vec<AnyObject>, event: Event) {
    objects.retain(|o| o.kind != event.object.kind || o.metadata.name != event.object.metadata.name);
    if !event.deleted {
        objects.push(event.object);
    }
}

fn enforce(gateway: &Gateway, version: u64, objects: &[AnyObject]) {
    let (cat, faults) = Catalog::compile(version, objects);
    for fault in faults {
        spdlog::error!("configuration object left out: {fault}");
    }
    gateway.set_catalog(cat);
}
