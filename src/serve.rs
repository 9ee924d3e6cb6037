//! A running router: starts its servers and tasks, drains it and shuts it down.

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
    operate::OperatorHandler,
    order::OrderTask,
    util::now,
};

mod calls;

use calls::CallHandler;

/// Maximum time until all other routers know that a router is leaving and stop naming it to callers; see
/// docs/design/membership.md.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(5);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum attempts to bind a port chosen by the system for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 16;

/// A router that runs in this process.
#[derive(Debug)]
pub struct RunningRouter {
    peer_addr: SocketAddr,
    server: Server,
    follow: FollowTask,
    gossip: Gossip,
    drain: DrainConfig,
    orders: Option<OrderTask>,
    link_server: LinkServer,
    release_task: JoinHandle<()>,
    operator_handler: Arc<OperatorHandler>,
    gateway: Arc<Gateway>,
    metrics: Arc<Metrics>,
}

impl RunningRouter {
    /// Starts a router on the address from its settings.
    ///
    /// # Errors
    /// If an address can't be bound or a server can't be started.
    pub fn start(cfg: &Settings) -> Result<Self> {
        let listener =
            TcpListener::bind(cfg.listen).with_context(|| format!("could not listen on {}", cfg.listen))?;
        Self::start_on(cfg, listener)
    }

    /// Starts a router on a bound listener.
    ///
    /// # Errors
    /// If the address for peers can't be bound or a server can't be started.
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
        let gateway = Arc::new(gateway.with_entry_ttl(cfg.answer_keep));
        let limits = Limits::default()
            .with_max_body_bytes(cfg.max_body_bytes)
            .with_max_bodies_bytes(cfg.max_bodies_bytes)
            .with_body_timeout(cfg.body_timeout)
            .with_head_timeout(cfg.head_timeout);
        let (peer_listener, socket, peer_addr) = listen_for_peers(cfg)?;
        gateway.set_peer_addr(peer_addr);
        let key = LinkKey::new(&cfg.shared_key);
        let links = Arc::new(Links::new(key.clone()));
        let follow = FollowTask::start(cfg, peer_addr, platform.clone(), links, gateway.clone());
        let rate = cfg.loads_per_minute as f64;
        let orders = OrderTask::start(&cfg.name, follow.handle().clone(), platform, metrics.clone(), rate);
        let call_handler =
            CallHandler { me: me.clone(), follow: follow.handle().clone(), gateway: gateway.clone() };
        let link_server = LinkServer::start(peer_listener, key, Arc::new(call_handler));
        let (following, answering) = (follow.handle().clone(), gateway.clone());
        let gossip = Gossip::start(cfg, &me, peer_addr, socket, following, answering, metrics.clone())?;
        let drain = DrainConfig {
            answer_keep: cfg.answer_keep,
            propagation_time: LEAVE_PROPAGATION_TIME,
            timeout: cfg.drain_timeout,
        };
        let notifier = gateway.clone();
        let release_task = tokio::spawn(async move { notifier.run_releases().await });
        let operator_handler =
            OperatorHandler::new(me, &cfg.shared_key, follow.handle().clone(), gateway.clone());
        let operator_handler = Arc::new(operator_handler);
        let server = Server::start(listener, cfg.http_threads, limits, operator_handler.clone())?;
        Ok(Self {
            peer_addr,
            server,
            follow,
            gossip,
            drain,
            orders: Some(orders),
            link_server,
            release_task,
            operator_handler,
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

    /// Number of requests in progress.
    pub fn running(&self) -> usize {
        self.server.running()
    }

    /// The task that keeps the configuration current.
    pub fn follow(&self) -> &FollowTask {
        &self.follow
    }

    /// Waits until an operator requests that this router drain.
    pub async fn drained(&self) {
        self.operator_handler.drained().await;
    }

    /// Shuts down gracefully. From now on no entry answer names this router. It keeps serving until the entry answers
    /// that do have expired and no request is in progress, or until the drain timeout. Returns the number of requests
    /// that were cut off.
    ///
    /// The HTTP server stops last, because the library ends open streams some time after it is stopped.
    pub async fn shut_down(self) -> usize {
        self.operator_handler.set_leaving();
        self.gossip.leave();
        let mut cut = 0;
        if let Ok(serving) = lifecycle::Router::default().serve(self.gateway.catalog().version) {
            let mut leaving = serving.leave(now(), self.drain);
            cut = loop {
                if !leaving.accepts_requests(now()) {
                    self.gateway.stop_accepting_requests();
                }
                match leaving.stop(now(), self.server.running()) {
                    Ok(stopped) => break stopped.close(),
                    Err(next) => leaving = next,
                }
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            };
        }
        self.stop().await;
        cut
    }

    /// Releases the leases and stops the router.
    pub async fn stop(mut self) {
        self.gateway.close_claims().await;
        if let Some(orders) = self.orders.take() {
            orders.close().await;
        }
        self.close();
    }

    /// Stops the router immediately; its leases are not released and expire.
    pub fn close(self) {
        self.gossip.close();
        self.follow.close();
        self.release_task.abort();
        self.link_server.close();
        self.server.close();
    }
}

/// Binds the address for other routers for both TCP and UDP.
fn listen_for_peers(cfg: &Settings) -> Result<(tokio::net::TcpListener, UdpSocket, SocketAddr)> {
    let at = cfg.peer_listen;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let listener = TcpListener::bind(at).with_context(|| format!("could not listen on {at}"))?;
        let addr = listener.local_addr().context("could not read the address")?;
        let socket = match UdpSocket::bind(addr) {
            Ok(socket) => socket,
            // The system chose a port that is free only for TCP.
            Err(_) if at.port() == 0 && attempts < MAX_PORT_ATTEMPTS => continue,
            Err(e) => return Err(e).with_context(|| format!("could not bind UDP socket {addr}")),
        };
        listener.set_nonblocking(true).context("could not set up the socket")?;
        let listener = tokio::net::TcpListener::from_std(listener).context("could not listen")?;
        return Ok((listener, socket, addr));
    }
}
