//! Fixtures for relay hosts. Each test uses a part of them.

#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberrytally::{
    platform::PlatformWire,
    relay::{
        Relay, RelayConfig, budget::BudgetConfig, buffers, capacity::Capacity, inbound, leave::LeaveConfig,
        mesh, place::Bound, revision::Revision,
    },
    schema::fleet::{Backend, Member},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
    task::JoinSet,
};

/// Configuration of a host without seeds.
pub fn relay_config(name: &str) -> RelayConfig {
    let addr = "127.0.0.1:1".parse().unwrap();
    RelayConfig {
        me: Member {
            name: name.into(),
            callers: "127.0.0.1:2".into(),
            peers: "127.0.0.1:1".into(),
            data_centre: "a".into(),
        },
        peer_addr: addr,
        seeds: Vec::new(),
        budget: BudgetConfig::default(),
        bound: Bound::default(),
        leave: LeaveConfig { grace: Duration::from_secs(8), address_ttl: Duration::from_secs(3) },
        evacuates: false,
        in_force: Duration::from_secs(2),
        concurrent_fetches: 1,
        buffer_bytes: buffers::limit_for(0.0),
        capacity: Capacity::of(0.0, 0),
        limits_plain_together: true,
        places_by_pace: true,
    }
}

/// Backend server of the service `s` as the store lists it, with an unknown start time.
pub fn listed(id: &str, leaving: bool) -> Backend {
    let addr = format!("10.0.0.1:{}", 1_000 + id.len());
    let (service, data_centre) = ("s".into(), "a".into());
    Backend { id: id.into(), service, addr, data_centre, slots: 6, leaving, ..Backend::default() }
}

/// Revision of a store without an epoch, which was never restored.
pub fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

/// Starts a host on loopback that exchanges heartbeats and fetches with its peers.
pub async fn host(name: &str, seeds: &[SocketAddr]) -> (Arc<Relay<PlatformWire>>, SocketAddr) {
    let RunningHost { relay, peers_at, mut tasks, .. } = RunningHost::start(name, seeds).await;
    tasks.detach_all();
    (relay, peers_at)
}

/// Host on loopback that serves callers and exchanges heartbeats and fetches with its peers. Dropping it ends its tasks at
/// once, like a kill of its process.
pub struct RunningHost {
    pub relay: Arc<Relay<PlatformWire>>,
    /// Address for other hosts.
    pub peers_at: SocketAddr,
    /// Address for callers.
    pub callers_at: SocketAddr,
    tasks: JoinSet<()>,
}

impl RunningHost {
    /// Starts a host without configuration and servers.
    pub async fn start(name: &str, seeds: &[SocketAddr]) -> Self {
        // High enough that every retry is allowed, also right after the start.
        Self::start_with(name, seeds, |cfg| RelayConfig {
            budget: BudgetConfig { ratio: 1e9, ..cfg.budget },
            ..cfg
        })
        .await
    }

    /// Starts a host without configuration and servers, with changed settings.
    pub async fn start_with(
        name: &str,
        seeds: &[SocketAddr],
        change: impl FnOnce(RelayConfig) -> RelayConfig,
    ) -> Self {
        // TCP and UDP must use the same port.
        let (listener, socket) = loop {
            let listener = inbound::listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
            if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()).await {
                break (listener, Arc::new(socket));
            }
        };
        let peers_at = listener.local_addr().unwrap();
        let callers = inbound::listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let callers_at = callers.local_addr().unwrap();
        let mut cfg = relay_config(name);
        (cfg.peer_addr, cfg.seeds) = (peers_at, seeds.to_vec());
        cfg.me.peers = peers_at.to_string();
        cfg.me.callers = format!("{name}:80");
        let relay = Arc::new(Relay::new(change(cfg), PlatformWire).unwrap());
        let mut tasks = JoinSet::new();
        tasks.spawn(inbound::accept(relay.clone(), callers));
        tasks.spawn(mesh::serve_fetches(relay.clone(), listener));
        tasks.spawn(mesh::receive_heartbeats(relay.clone(), socket.clone()));
        tasks.spawn(mesh::send_heartbeats(relay.clone(), socket.clone()));
        tasks.spawn(mesh::send_messages(relay.clone(), socket));
        tasks.spawn(mesh::run_maintenance(relay.clone()));
        tasks.spawn(mesh::fetch_updates(relay.clone()));
        Self { relay, peers_at, callers_at, tasks }
    }
}

/// Asks a host for what it has with an encoded fetch; returns its encoded answer.
pub async fn ask(at: SocketAddr, fetch: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(&(fetch.len() as u32).to_le_bytes()).await.unwrap();
    stream.write_all(fetch).await.unwrap();
    let mut answer = vec![0; stream.read_u32_le().await.unwrap() as usize];
    stream.read_exact(&mut answer).await.unwrap();
    answer
}
