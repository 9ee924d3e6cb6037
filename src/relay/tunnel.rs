//! Connections to backend servers through another host.
//!
//! A host that is cut off from a server asks another one to connect to it and then uses that connection like one of its
//! own: it remains responsible for the request, its attempts and its deadline. The other host only copies bytes. It
//! connects directly, so that no request passes more than two hosts, and only to servers that may get new requests by
//! what it knows itself. It sends the server's bytes in [`super::frames`], so that its own end is not taken for the server's.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use rand::seq::SliceRandom;
use tokio::{
    io::{copy, split},
    net::TcpStream,
    sync::Semaphore,
    time::{Instant as Deadline, timeout, timeout_at},
};

use super::{
    Relay, State, Wire,
    attempts::Failure,
    backends::{BackendKey, Tag},
    frames::{self, Frames},
    mesh,
    pool::{self, CONNECT_TIMEOUT, Conn},
    reach::{CutOff, Way},
    server_socket::{ServerSocket, SocketLabel},
};
use crate::{
    logs::lines::{Level, line},
    metrics::Counter,
    schema::fleet::{Connected, Fetch, Fetched},
    util::now,
};

/// Maximum number of connections that a host serves for others at a time, with two sockets each.
pub(super) const MAX_TUNNELS: usize = 256;
/// Maximum number of hosts of the same data centre, and of other ones, that are asked for one connection.
const MAX_HELPERS: usize = 2;
/// Timeout for another host's connection: its own timeout and some round trips.
const HELP_TIMEOUT: Duration = Duration::from_millis(250);

/// What became of a request to connect for another host; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelOutcome {
    /// This host reaches a server through another one.
    Established,
    /// The other host could not connect either.
    Unreachable,
    /// The other host does not connect for this one now.
    Declined,
    /// The server gets no new requests, as far as the other host knows.
    NotEligible,
    /// The other host did not answer.
    Failed,
    /// The other host ended a connection before the server did.
    Ended,
    /// This host has connected to a server for another one.
    Served,
    /// This host could not connect to a server for another one.
    ServedUnreachable,
    /// This host does not connect for another one now.
    ServedDeclined,
    /// The server gets no new requests, as far as this host knows.
    ServedNotEligible,
}

impl TunnelOutcome {
    /// Every outcome.
    pub const ALL: [TunnelOutcome; 10] = [
        TunnelOutcome::Established,
        TunnelOutcome::Unreachable,
        TunnelOutcome::Declined,
        TunnelOutcome::NotEligible,
        TunnelOutcome::Failed,
        TunnelOutcome::Ended,
        TunnelOutcome::Served,
        TunnelOutcome::ServedUnreachable,
        TunnelOutcome::ServedDeclined,
        TunnelOutcome::ServedNotEligible,
    ];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            TunnelOutcome::Established => "established",
            TunnelOutcome::Unreachable => "unreachable",
            TunnelOutcome::Declined => "declined",
            TunnelOutcome::NotEligible => "not_eligible",
            TunnelOutcome::Failed => "failed",
            TunnelOutcome::Ended => "ended",
            TunnelOutcome::Served => "served",
            TunnelOutcome::ServedUnreachable => "served_unreachable",
            TunnelOutcome::ServedDeclined => "served_declined",
            TunnelOutcome::ServedNotEligible => "served_not_eligible",
        }
    }
}

impl TunnelOutcome {
    /// The answer to the host that asked.
    fn answer(self) -> Connected {
        match self {
            TunnelOutcome::Served => Connected::Established,
            TunnelOutcome::ServedUnreachable => Connected::Unreachable,
            TunnelOutcome::ServedNotEligible => Connected::NotEligible,
            _ => Connected::Declined,
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Connects to a server, through another host if this one is cut off from it.
    ///
    /// # Errors
    /// [`Failure::Connect`] if no connection was established, so that nothing was sent.
    pub(crate) async fn connect(
        &self,
        key: BackendKey,
        addr: SocketAddr,
        left: Duration,
    ) -> Result<Conn, Failure> {
        let way = self.state().reach.way(now(), key);
        match way {
            Way::Through => self.connect_through(key, left).await,
            Way::Both => self.connect_both_ways(key, addr, left).await,
            Way::Direct => match self.connect_directly(key, addr, left).await {
                Err(_) if self.state().reach.is_cut_off(now()) => self.connect_through(key, left).await,
                result => result,
            },
        }
    }

    async fn connect_directly(
        &self,
        key: BackendKey,
        addr: SocketAddr,
        left: Duration,
    ) -> Result<Conn, Failure> {
        let result = match self.socket_label(key, None) {
            Some(label) => Conn::connect(addr, left, label, self.server_receive_buffer()).await,
            None => Err(Failure::Connect),
        };
        // A caller's deadline that ends the attempt early says nothing about the server.
        if result.is_ok() || left >= CONNECT_TIMEOUT {
            self.record_direct(key, result.is_ok());
        }
        result
    }

    /// Size of the receive buffer of a connection to a server, which grows no further while its answer waits to be read.
    fn server_receive_buffer(&self) -> usize {
        self.cfg.capacity.receive_buffer(self.state().in_progress)
    }

    /// What a socket connects to; `None` if the server is no longer listed.
    fn socket_label(&self, key: BackendKey, peer: Option<SocketAddr>) -> Option<SocketLabel> {
        let backend = self.state().backends.get(key)?.id.clone();
        Some(SocketLabel { metrics: self.metrics.clone(), backend, peer })
    }

    /// Records whether a direct connection to a server was established.
    fn record_direct(&self, key: BackendKey, connected: bool) {
        let mut state = self.state();
        match connected {
            true => state.reach.record_connected(key),
            false => state.reach.record_failure(now(), key),
        }
        self.note_cut_off(&mut state);
    }

    /// Connects to a server for another host.
    async fn connect_for_peer(
        &self,
        key: BackendKey,
        addr: SocketAddr,
    ) -> Result<ServerSocket, TunnelOutcome> {
        let result = pool::connect_tcp(addr, CONNECT_TIMEOUT, Some(self.server_receive_buffer())).await;
        self.record_direct(key, result.is_ok());
        let stream = result.map_err(|_| TunnelOutcome::ServedUnreachable)?;
        let label = self.socket_label(key, None).ok_or(TunnelOutcome::ServedNotEligible)?;
        Ok(ServerSocket::new(stream, label))
    }

    /// Connects both ways at once and uses the first connection.
    async fn connect_both_ways(
        &self,
        key: BackendKey,
        addr: SocketAddr,
        left: Duration,
    ) -> Result<Conn, Failure> {
        let (direct, through) = (self.connect_directly(key, addr, left), self.connect_through(key, left));
        tokio::pin!(direct, through);
        tokio::select! {
            result = &mut direct => match result {
                Ok(conn) => Ok(conn),
                Err(_) => through.await,
            },
            result = &mut through => match result {
                Ok(conn) => {
                    self.state().reach.record_failure(now(), key);
                    Ok(conn)
                }
                Err(_) => direct.await,
            },
        }
    }

    /// Connects to a server through another host.
    async fn connect_through(&self, key: BackendKey, left: Duration) -> Result<Conn, Failure> {
        let started = now();
        let Some((tag, id)) = self.state().backends.get(key).map(|b| (b.tag, b.id.clone())) else {
            return Err(Failure::Connect);
        };
        let deadline = Deadline::now() + left;
        for helper in self.helpers() {
            let asking = timeout_at(deadline, timeout(HELP_TIMEOUT, ask(helper, tag)));
            let outcome = match asking.await {
                Ok(Ok(Ok(Asked { connected: Connected::Established, stream, frames }))) => {
                    let label = self.socket_label(key, Some(helper)).ok_or(Failure::Connect)?;
                    let socket = ServerSocket::with_frames(stream, label, frames);
                    let conn = Conn::through(socket, helper).await?;
                    self.metrics.add(Counter::RelayTunnels, TunnelOutcome::Established.as_str(), 1);
                    line(Level::Routine, "reached_through", |l| {
                        let l = l.text("backend", &id).text("peer", &helper.to_string());
                        l.ms("after_ms", now() - started)
                    });
                    return Ok(conn);
                }
                Ok(Ok(Ok(Asked { connected: Connected::Unreachable, .. }))) => TunnelOutcome::Unreachable,
                Ok(Ok(Ok(Asked { connected: Connected::Declined, .. }))) => TunnelOutcome::Declined,
                Ok(Ok(Ok(Asked { connected: Connected::NotEligible, .. }))) => TunnelOutcome::NotEligible,
                Ok(Ok(Err(_)) | Err(_)) => TunnelOutcome::Failed,
                Err(_) => break,
            };
            self.metrics.add(Counter::RelayTunnels, outcome.as_str(), 1);
            line(Level::Routine, "not_reached_through", |l| {
                let l = l.text("backend", &id).text("peer", &helper.to_string());
                l.text("outcome", outcome.as_str()).ms("after_ms", now() - started)
            });
            let reach = &mut self.state().reach;
            match outcome {
                TunnelOutcome::Unreachable => {
                    reach.record_confirmed(now(), key, helper);
                    if !reach.is_unreached(now(), key) {
                        break;
                    }
                }
                TunnelOutcome::NotEligible => {}
                _ => reach.record_declined(now(), helper),
            }
        }
        Err(Failure::Connect)
    }

    /// Hosts that may be asked to connect to a server, those of the same data centre first.
    fn helpers(&self) -> Vec<SocketAddr> {
        let now = now();
        let state = self.state();
        let ready = state.peers.ready_members(now);
        let (mut local, mut remote): (Vec<_>, Vec<_>) =
            ready.partition(|m| m.data_centre == self.cfg.me.data_centre);
        [&mut local, &mut remote]
            .into_iter()
            .flat_map(|members| {
                members.shuffle(&mut rand::rng());
                let addrs = members.iter().filter_map(|m| m.peers.parse().ok());
                addrs.filter(|addr| state.reach.may_help(now, *addr)).take(MAX_HELPERS).collect::<Vec<_>>()
            })
            .collect()
    }

    /// Logs when this host becomes cut off from servers or no longer is, and closes the idle connections, which are
    /// probably dead, when it becomes so.
    fn note_cut_off(&self, state: &mut State) {
        let now = now();
        let Some(CutOff(is_cut_off)) = state.reach.take_change(now) else { return };
        line(Level::Notable, "cut_off", |l| {
            let unreached =
                state.backends.iter().filter(|(key, _)| state.reach.is_unreached(now, *key)).count();
            l.flag("is_cut_off", is_cut_off).number("servers", unreached as u64)
        });
        if is_cut_off {
            self.pool.clear_all();
        }
    }

    /// Drops outdated entries about servers that could not be reached.
    pub(crate) fn expire_reach(&self, state: &mut State) {
        state.reach.expire(now());
        self.note_cut_off(state);
    }
}

impl State {
    /// The server to which this host may connect for another one.
    ///
    /// # Errors
    /// The answer if it may not.
    fn tunnel_target(&self, tag: Tag) -> Result<(BackendKey, SocketAddr), TunnelOutcome> {
        let now = now();
        let eligible = self.backends.by_tag(tag).and_then(|key| Some((key, self.backends.get(key)?)));
        let (key, backend) = eligible
            .filter(|(key, b)| {
                b.accepts_work()
                    && !self.evacuations.contains(&b.data_centre)
                    && self.health.requested_pause_end(now, *key).is_none()
            })
            .ok_or(TunnelOutcome::ServedNotEligible)?;
        if self.leaving.is_some() || self.reach.is_unreached(now, key) {
            return Err(TunnelOutcome::ServedDeclined);
        }
        Ok((key, backend.addr))
    }
}

/// The answer of another host that was asked to connect to a server.
struct Asked {
    connected: Connected,
    /// The connection to that host.
    stream: TcpStream,
    /// How the server's bytes arrive on it.
    frames: Frames,
}

/// Asks another host to connect to a server.
async fn ask(helper: SocketAddr, tag: Tag) -> Result<Asked> {
    let mut stream = TcpStream::connect(helper).await.context("could not connect")?;
    pool::configure_socket(&stream, Some(pool::UNDELIVERED_TIMEOUT));
    // A host of an earlier version takes this for a fetch; it has nothing newer than these versions.
    let request = Fetch {
        configuration: u64::MAX,
        backends: u64::MAX,
        backends_epoch: u64::MAX,
        connect_to: tag,
        accepts_frames: true,
        ..Fetch::default()
    };
    mesh::send(&mut stream, &request).await?;
    let response: Fetched = mesh::receive(&mut stream).await?;
    let frames = if response.framed { Frames::framed() } else { Frames::unframed() };
    Ok(Asked { connected: response.connected(), stream, frames })
}

/// Connects to a server for another host and copies bytes both ways until one side closes.
pub(super) async fn serve<W: Wire>(
    relay: &Arc<Relay<W>>,
    mut client: TcpStream,
    request: &Fetch,
    slots: &Semaphore,
) -> Result<()> {
    let _in_progress = relay.track_request();
    let slot = slots.try_acquire();
    let server = match relay.state().tunnel_target(request.connect_to) {
        Ok(_) if slot.is_err() => Err(TunnelOutcome::ServedDeclined),
        target => target,
    };
    let server = match server {
        Ok((key, addr)) => relay.connect_for_peer(key, addr).await,
        Err(outcome) => Err(outcome),
    };
    let outcome = server.as_ref().err().copied().unwrap_or(TunnelOutcome::Served);
    relay.metrics.add(Counter::RelayTunnels, outcome.as_str(), 1);
    let framed = request.accepts_frames;
    let answer = Fetched { connected: outcome.answer().into(), framed, ..Fetched::default() };
    mesh::send(&mut client, &answer).await?;
    let Ok(server) = server else { return Ok(()) };
    pool::configure_socket(&client, Some(pool::UNDELIVERED_TIMEOUT));
    let label = SocketLabel { peer: client.peer_addr().ok(), ..server.label().clone() };
    copy_until_closed(ServerSocket::with_answers(client, label), server, framed).await
}

/// Copies bytes both ways, those of the server in frames if `framed`. Once one side closes, the other one is closed too, and
/// reset if a side was reset, since without frames an answer without a length that ends early would look complete.
async fn copy_until_closed(client: ServerSocket, server: ServerSocket, framed: bool) -> Result<()> {
    let (mut from_client, mut to_client) = split(client);
    let (mut from_server, mut to_server) = split(server);
    let copying_answer = async {
        match framed {
            true => frames::copy(&mut from_server, &mut to_client).await,
            false => copy(&mut from_server, &mut to_client).await.map(drop),
        }
    };
    let copied = tokio::select! {
        copied = copy(&mut from_client, &mut to_server) => copied.map(drop),
        copied = copying_answer => copied,
    };
    if copied.is_err() {
        for socket in [from_client.unsplit(to_client), from_server.unsplit(to_server)] {
            socket.stream().set_zero_linger().context("could not reset a connection")?;
        }
    }
    copied.context("a side was reset")
}
