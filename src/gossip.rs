//! Runs the membership protocol: sends and receives its datagrams, probes engines, and passes its results to other
//! modules.

use std::{
    net::{SocketAddr, UdpSocket as StdSocket},
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::Duration,
};

use anyhow::{Context, Result};
use tokio::{net::UdpSocket, task::JoinHandle};

use crate::{
    client::Client,
    config::Settings,
    entry::{Directory, Router},
    follow,
    gateway::Gateway,
    member::{
        Event, GossipKey, IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES, MemberConfig, Membership, Output, Record,
        Status,
    },
    metrics::{Counter, Metrics},
    probe::{EngineSpec, PROBE_WIRE_BYTES, Probe, ProbeConfig, ProbeResult},
    util::{lock, now, wall_ms},
};

mod notes;
mod probes;
mod views;

/// Ticks between updates of the views of other modules. Without an event they change with time, for example when a data
/// centre becomes unreachable.
const VIEW_REFRESH_INTERVAL_TICKS: u64 = 4;

/// The gossip of a running router.
#[derive(Debug)]
pub struct Gossip {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// State shared by the gossip tasks of one router.
#[derive(Debug)]
struct Shared {
    /// `None` once the router has announced that it stops.
    membership: Mutex<Option<Membership>>,
    directory: Mutex<Directory>,
    has_met_peers: AtomicBool,
    socket: UdpSocket,
    client: Client,
    period: Duration,
    follow: Arc<follow::FollowHandle>,
    gateway: Arc<Gateway>,
    metrics: Arc<Metrics>,
}

impl Gossip {
    /// Starts the gossip on `socket`, which is bound to `peer_addr`.
    ///
    /// # Errors
    /// When the socket can't be set up.
    pub fn start(
        cfg: &Settings,
        me: &Router,
        peer_addr: SocketAddr,
        socket: StdSocket,
        follow: Arc<follow::FollowHandle>,
        gateway: Arc<Gateway>,
        metrics: Arc<Metrics>,
    ) -> Result<Self> {
        socket.set_nonblocking(true).context("could not set the gossip socket to non-blocking mode")?;
        let record = Record {
            name: me.name.clone(),
            data_centre: me.data_centre.clone(),
            region: me.region.clone(),
            http: me.addr,
            peer: peer_addr,
            incarnation: wall_ms(),
            status: Status::Alive,
            ready: false,
        };
        let seeds = cfg.seeds.iter().copied().filter(|s| *s != peer_addr).collect();
        let member = MemberConfig::default()
            .with_bytes_per_second(cfg.gossip_bytes_per_second as usize)
            .with_seeds(seeds);
        let probe =
            ProbeConfig { bytes_per_second: cfg.probe_bytes_per_second as usize, ..ProbeConfig::default() };
        let period = member.tick_interval;
        let key = GossipKey::new(&cfg.shared_key);
        let membership = Membership::new(member, probe, key, record, now(), rand::random());
        let shared = Arc::new(Shared {
            membership: Mutex::new(Some(membership)),
            directory: Mutex::default(),
            has_met_peers: AtomicBool::new(false),
            socket: UdpSocket::from_std(socket).context("could not register the gossip socket")?,
            client: Client::default(),
            period,
            follow,
            gateway,
            metrics,
        });
        let tasks = vec![tokio::spawn(listen(shared.clone())), tokio::spawn(tick(shared.clone()))];
        Ok(Self { shared, tasks })
    }

    /// Announces that this router accepts no new callers.
    pub fn leave(&self) {
        self.shared.with(|m| m.leave(now()));
        self.shared.refresh_views();
    }

    /// Announces that this router stops, and ends the gossip.
    pub fn close(self) {
        let membership = lock(&self.shared.membership).take();
        for o in membership.map(|m| m.close(now())).unwrap_or_default() {
            self.shared.send(o.to, &o.bytes);
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn listen(shared: Arc<Shared>) {
    // One byte more than the maximum, so that a longer datagram is detected instead of being truncated.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // An error here is an ICMP rejection of an earlier datagram by a peer's host; the socket is still usable.
        let Ok((len, from)) = shared.socket.recv_from(&mut buf).await else { continue };
        shared.metrics.add(Counter::ControlBytes, "received", (len + IP_UDP_HEADER_BYTES) as u64);
        match shared.with(|m| m.receive(now(), from, &buf[..len])) {
            Some(Ok(out)) => shared.handle_output(out),
            Some(Err(reject)) => shared.metrics.add(Counter::DatagramsDropped, reject.as_str(), 1),
            None => return,
        }
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut timer = tokio::time::interval(shared.period);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut ticks, mut engines_version) = (0u64, 0);
    loop {
        timer.tick().await;
        ticks += 1;
        shared.update_engines(&mut engines_version);
        let version = shared.follow.version();
        let unreached = shared.gateway.take_unreachable_engines();
        let step = shared.with(|m| {
            if version > 0 {
                m.set_in_force(now(), version);
            }
            for engine in &unreached {
                m.engines.on_dispatch_result(now(), engine, ProbeResult::Unreachable);
            }
            (m.tick(now()), m.engines.due_probes(now()))
        });
        let Some((out, due)) = step else { return };
        shared.handle_output(out);
        for probe in due {
            shared.metrics.add(Counter::ControlBytes, "probes", PROBE_WIRE_BYTES as u64);
            tokio::spawn(probes::probe(shared.clone(), probe));
        }
        if ticks.is_multiple_of(VIEW_REFRESH_INTERVAL_TICKS) {
            shared.refresh_views();
            shared.publish_notes(ticks);
            shared.update_placement().await;
        }
    }
}

impl Shared {
    fn with<T>(&self, f: impl FnOnce(&mut Membership) -> T) -> Option<T> {
        lock(&self.membership).as_mut().map(f)
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        // A datagram that does not fit the socket's send buffer is dropped, as if lost on the network.
        if self.socket.try_send_to(bytes, to).is_ok() {
            self.metrics.add(Counter::ControlBytes, "sent", (bytes.len() + IP_UDP_HEADER_BYTES) as u64);
        }
    }

    /// Sends the datagrams and handles the events of a call of the membership.
    fn handle_output(&self, out: Output) {
        for o in &out.send {
            self.send(o.to, &o.bytes);
        }
        let mut routers = false;
        for event in out.events {
            match event {
                Event::RoutersChanged => routers = true,
                Event::NewerVersion(version) => {
                    self.report_peer_versions();
                    self.follow.record_newest_version(version);
                }
                Event::Note { topic, origin, payload } => self.handle_note(topic, &origin, &payload),
                Event::Paused(gap) => {
                    spdlog::warn!("this process was paused for {:.1} s", gap.as_secs_f64());
                }
            }
        }
        if routers {
            self.refresh_views();
        }
    }

    /// Sets the engines to probe after a change of the configuration.
    fn update_engines(&self, engines_version: &mut u64) {
        let cat = self.gateway.catalog();
        if cat.version == *engines_version {
            return;
        }
        *engines_version = cat.version;
        let specs: Vec<_> = cat.engines().map(|(_, e)| EngineSpec::from(e)).collect();
        self.with(|m| m.engines.set_engines(now(), specs));
    }

    /// Records the result of a probe.
    fn probed(&self, probe: &Probe, seen: ProbeResult) {
        self.with(|m| m.engines.on_probe_result(now(), &probe.engine, seen));
    }
}
