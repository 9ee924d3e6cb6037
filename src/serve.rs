//! A running router: sockets, the configuration watch and the gateway.

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, Result};
use tokio::task::JoinHandle;

use crate::{
    config::Settings,
    entry::Router,
    follow::FollowTask,
    gateway::Gateway,
    gossip::Gossip,
    http::{Limits, Server},
    lifecycle::{self, DrainConfig},
    link::{LinkKey, LinkServer, Links},
    metrics::Metrics,
    objects::Platform,
    operate::Operate,
    order::OrderTask,
    util::now,
};

mod calls;

use calls::Calls;

/// How long other routers may hand out one that leaves until they have heard of it; see docs/design/membership.md.
const LEAVE_SPREAD: Duration = Duration::from_secs(5);
const DRAIN_CHECK: Duration = Duration::from_millis(50);
/// Tries to find a port that is free for TCP and for UDP, where the settings leave the choice to the system.
const PORT_TRIES: usize = 16;

/// A router in this process.
#[derive(Debug)]
pub struct Running {
    peer_addr: SocketAddr,
    server: Server,
    follow: FollowTask,
    gossip: Gossip,
    drain: DrainConfig,
    orders: Option<OrderTask>,
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
        let gateway = Arc::new(gateway.with_entry_keep(cfg.answer_keep));
        let limits = Limits::default()
            .with_bytes(cfg.body_bytes)
            .with_time(cfg.body_time)
            .with_head_time(cfg.head_time);
        let (peer_listener, socket, peer_addr) = listen_for_peers(cfg)?;
        gateway.set_peer_addr(peer_addr);
        let key = LinkKey::new(&cfg.shared_key);
        let links = Arc::new(Links::new(key.clone()));
        let follow = FollowTask::start(cfg, peer_addr, platform.clone(), links, gateway.clone());
        let rate = cfg.loads_per_minute as f64;
        let orders = OrderTask::start(&cfg.name, follow.handle().clone(), platform, metrics.clone(), rate);
        let calls = Calls { me: me.clone(), follow: follow.handle().clone(), gateway: gateway.clone() };
        let link_server = LinkServer::start(peer_listener, key, Arc::new(calls));
        let (following, answering) = (follow.handle().clone(), gateway.clone());
        let gossip = Gossip::start(cfg, &me, peer_addr, socket, following, answering, metrics.clone())?;
        let drain = DrainConfig {
            answer_keep: cfg.answer_keep,
            propagation_time: LEAVE_SPREAD,
            timeout: cfg.drain_longest,
        };
        let told = gateway.clone();
        let releases = tokio::spawn(async move { told.tell_ended().await });
        let operate = Operate::new(me, &cfg.shared_key, follow.handle().clone(), gateway.clone());
        let operate = Arc::new(operate);
        let server = Server::start(listener, cfg.http_threads, limits, operate.clone())?;
        Ok(Self {
            peer_addr,
            server,
            follow,
            gossip,
            drain,
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
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Address for other routers.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.server.running()
    }

    /// The configuration.
    pub fn follow(&self) -> &FollowTask {
        &self.follow
    }

    /// Waits until an operator drains this router.
    pub async fn drained(&self) {
        self.operate.drained().await;
    }

    /// Shuts down gracefully: no answer names this router any more, and it goes on until the answers that do have
    /// expired and no request is in progress, or until the drain's time limit. Returns the number of requests cut.
    ///
    /// The HTTP library ends open streams some time after it is told to stop, so it is told only then.
    pub async fn shut_down(self) -> usize {
        self.operate.set_leaving();
        self.gossip.leave();
        let mut cut = 0;
        if let Ok(serving) = lifecycle::Router::default().serve(self.gateway.catalog().version) {
            let mut leaving = serving.leave(now(), self.drain);
            cut = loop {
                if !leaving.accepts_requests(now()) {
                    self.gateway.refuse_new();
                }
                match leaving.stop(now(), self.server.running()) {
                    Ok(stopped) => break stopped.close(),
                    Err(on) => leaving = on,
                }
                tokio::time::sleep(DRAIN_CHECK).await;
            };
        }
        self.stop().await;
        cut
    }

    /// Gives the leases back and stops the router.
    pub async fn stop(mut self) {
        self.gateway.close_claims().await;
        if let Some(orders) = self.orders.take() {
            orders.close().await;
        }
        self.close();
    }

    /// Stops the router at once; its leases lapse.
    pub fn close(self) {
        self.gossip.close();
        self.follow.close();
        self.releases.abort();
        self.link_server.close();
        self.server.close();
    }
}

/// Binds the address between routers for TCP and for UDP.
fn listen_for_peers(cfg: &Settings) -> Result<(tokio::net::TcpListener, UdpSocket, SocketAddr)> {
    let at = cfg.peer_listen;
    let mut tries = 0;
    loop {
        tries += 1;
        let listener = TcpListener::bind(at).with_context(|| format!("could not listen on {at}"))?;
        let addr = listener.local_addr().context("could not read the address")?;
        let socket = match UdpSocket::bind(addr) {
            Ok(socket) => socket,
            // The system chose a port that is free for TCP only.
            Err(_) if at.port() == 0 && tries < PORT_TRIES => continue,
            Err(e) => return Err(e).with_context(|| format!("could not use {addr} for datagrams")),
        };
        listener.set_nonblocking(true).context("could not set the socket up")?;
        let listener = tokio::net::TcpListener::from_std(listener).context("could not listen")?;
        return Ok((listener, socket, addr));
    }
}
