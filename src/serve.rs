//! A running router: sockets, the configuration watch and the gateway.

use std::{net::TcpListener, sync::Arc};

use anyhow::{Context, Result};
use tokio::task::JoinHandle;

use crate::{
    config::Settings,
    entry::Router,
    follow::Follow,
    gateway::Gateway,
    http::{Limits, Server},
    link::{LinkKey, LinkServer, Links},
    metrics::Metrics,
    operate::Operate,
    order::Orders,
    platform::Platform,
};

mod calls;

use calls::Calls;

/// A router in this process.
#[derive(Debug)]
pub struct Running {
    peer_addr: std::net::SocketAddr,
    server: Server,
    follow: Follow,
    orders: Option<Orders>,
    link_server: LinkServer,
    releases: JoinHandle<()>,
    operate: Arc<Operate>,
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
        let platform = Platform::new(cfg.platform).with_metrics(metrics.clone());
        let gateway = Gateway::new(me.clone(), &cfg.shared_key, &platform, metrics.clone());
        let gateway = Arc::new(gateway);
        let limits = Limits::default()
            .with_bytes(cfg.body_bytes)
            .with_time(cfg.body_time)
            .with_head_time(cfg.head_time);
        let (peer_listener, peer_addr) = listen_for_peers(cfg)?;
        let key = LinkKey::new(&cfg.shared_key);
        let links = Arc::new(Links::new(key.clone()));
        let follow = Follow::start(cfg, peer_addr, platform.clone(), links, gateway.clone());
        let rate = cfg.loads_per_minute as f64;
        let orders = Orders::start(&cfg.name, follow.shared().clone(), platform, metrics.clone(), rate);
        let calls = Calls { me: me.clone(), follow: follow.shared().clone(), gateway: gateway.clone() };
        let link_server = LinkServer::start(peer_listener, key, Arc::new(calls));
        let told = gateway.clone();
        let releases = tokio::spawn(async move { told.tell_ended().await });
        let operate = Operate::new(me, &cfg.shared_key, follow.shared().clone(), gateway.clone());
        let operate = Arc::new(operate);
        let server = Server::start(listener, cfg.http_threads, limits, operate.clone())?;
        Ok(Self {
            peer_addr,
            server,
            follow,
            orders: Some(orders),
            link_server,
            releases,
            operate,
            gateway,
            metrics,
        })
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

    /// The configuration.
    pub fn follow(&self) -> &Follow {
        &self.follow
    }

    /// Waits until an operator drains this router.
    pub async fn drained(&self) {
        self.operate.drained().await;
    }

    /// Gives the leases back and stops the router.
    pub async fn stop(mut self) {
        if let Some(orders) = self.orders.take() {
            orders.close().await;
        }
        self.close();
    }

    /// Stops the router at once; its leases lapse.
    pub fn close(self) {
        self.follow.close();
        self.releases.abort();
        self.link_server.close();
        self.server.close();
    }
}

fn listen_for_peers(cfg: &Settings) -> Result<(tokio::net::TcpListener, std::net::SocketAddr)> {
    let at = cfg.peer_listen;
    let listener = TcpListener::bind(at).with_context(|| format!("could not listen on {at}"))?;
    listener.set_nonblocking(true).context("could not set the socket up")?;
    let addr = listener.local_addr().context("could not read the address")?;
    Ok((tokio::net::TcpListener::from_std(listener).context("could not listen")?, addr))
}
