//! Carries out what the membership decides: datagrams, probes of engines, and what follows for the other modules.

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
    member::{Event, GossipKey, HEAD_BYTES, MAX_BYTES, MemberConfig, Membership, Output, Record, Status},
    metrics::{Counter, Metrics},
    probe::{EngineSpec, PROBE_WIRE_BYTES, Probe, ProbeConfig, ProbeResult},
    util::{lock, now, wall_ms},
};

mod notes;
mod probes;
mod views;

/// Ticks between two looks at what changes with time alone, such as data centres that can't be heard any more.
const REFRESH_TICKS: u64 = 4;

/// The gossip of a running router.
#[derive(Debug)]
pub struct Gossip {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// What the tasks of one router's gossip share.
#[derive(Debug)]
struct Shared {
    /// `None` once the router has said that it stops.
    membership: Mutex<Option<Membership>>,
    directory: Mutex<Directory>,
    met_others: AtomicBool,
    socket: UdpSocket,
    client: Client,
    period: Duration,
    follow: Arc<follow::Shared>,
    gateway: Arc<Gateway>,
    metrics: Arc<Metrics>,
}

impl Gossip {
    /// Starts to gossip on `socket`, which has the address that `peer_addr` names.
    ///
    /// # Errors
    /// When the socket can't be used.
    pub fn start(
        cfg: &Settings,
        me: &Router,
        peer_addr: SocketAddr,
        socket: StdSocket,
        follow: Arc<follow::Shared>,
        gateway: Arc<Gateway>,
        metrics: Arc<Metrics>,
    ) -> Result<Self> {
        socket.set_nonblocking(true).context("could not set the socket up")?;
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
        let member =
            MemberConfig::default().with_bytes_per_second(cfg.gossip_bytes as usize).with_seeds(seeds);
        let probe = ProbeConfig { bytes_per_second: cfg.probe_bytes as usize, ..ProbeConfig::default() };
        let period = member.period;
        let key = GossipKey::new(&cfg.shared_key);
        let membership = Membership::new(member, probe, key, record, now(), rand::random());
        let shared = Arc::new(Shared {
            membership: Mutex::new(Some(membership)),
            directory: Mutex::default(),
            met_others: AtomicBool::new(false),
            socket: UdpSocket::from_std(socket).context("could not use the socket")?,
            client: Client::default(),
            period,
            follow,
            gateway,
            metrics,
        });
        let tasks = vec![tokio::spawn(listen(shared.clone())), tokio::spawn(tick(shared.clone()))];
        Ok(Self { shared, tasks })
    }

    /// Tells the other routers that this one takes no new callers.
    pub fn leave(&self) {
        self.shared.with(|m| m.leave(now()));
        self.shared.refresh();
    }

    /// Says goodbye and stops.
    pub fn close(self) {
        let membership = lock(&self.shared.membership).take();
        for o in membership.map(|m| m.close(now())).unwrap_or_default() {
            self.shared.send(o.to, &o.bytes);
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn listen(shared: Arc<Shared>) {
    // One byte more than the largest, so that a longer datagram is seen as too long and not as cut to size.
    let mut buf = [0; MAX_BYTES + 1];
    loop {
        // An error here is a refusal that a peer's host sent for an earlier datagram; it says nothing of this socket.
        let Ok((len, from)) = shared.socket.recv_from(&mut buf).await else { continue };
        shared.metrics.add(Counter::ControlBytes, "received", (len + HEAD_BYTES) as u64);
        match shared.with(|m| m.receive(now(), from, &buf[..len])) {
            Some(Ok(out)) => shared.carry_out(out),
            Some(Err(reject)) => shared.metrics.add(Counter::DatagramsDropped, reject.as_str(), 1),
            None => return,
        }
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut timer = tokio::time::interval(shared.period);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut ticks, mut configured) = (0u64, 0);
    loop {
        timer.tick().await;
        ticks += 1;
        shared.configure(&mut configured);
        let version = shared.follow.version();
        let unreached = shared.gateway.take_unreached();
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
        shared.carry_out(out);
        for probe in due {
            shared.metrics.add(Counter::ControlBytes, "probes", PROBE_WIRE_BYTES as u64);
            tokio::spawn(probes::probe(shared.clone(), probe));
        }
        if ticks.is_multiple_of(REFRESH_TICKS) {
            shared.refresh();
            shared.publish_notes(ticks);
            shared.tell_placement().await;
        }
    }
}

impl Shared {
    fn with<T>(&self, f: impl FnOnce(&mut Membership) -> T) -> Option<T> {
        lock(&self.membership).as_mut().map(f)
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        // A datagram that the host's queue has no room for is lost like any other.
        if self.socket.try_send_to(bytes, to).is_ok() {
            self.metrics.add(Counter::ControlBytes, "sent", (bytes.len() + HEAD_BYTES) as u64);
        }
    }

    fn carry_out(&self, out: Output) {
        for o in &out.send {
            self.send(o.to, &o.bytes);
        }
        let mut routers = false;
        for event in out.events {
            match event {
                Event::Routers => routers = true,
                Event::Newest(version) => {
                    self.note_versions();
                    self.follow.note_newest(version);
                }
                Event::Note { topic, origin, payload } => self.take_note(topic, &origin, &payload),
                Event::Paused(gap) => {
                    spdlog::warn!("this process was paused for {:.1} s", gap.as_secs_f64());
                }
            }
        }
        if routers {
            self.refresh();
        }
    }

    /// Takes over the engines of a new configuration.
    fn configure(&self, configured: &mut u64) {
        let cat = self.gateway.catalog();
        if cat.version == *configured {
            return;
        }
        *configured = cat.version;
        let specs: Vec<_> = cat.engines().map(|(_, e)| EngineSpec::from(e)).collect();
        self.with(|m| m.engines.set_engines(now(), specs));
    }

    fn probed(&self, probe: &Probe, seen: ProbeResult) {
        self.with(|m| m.engines.on_probe_result(now(), &probe.engine, seen));
    }
}
