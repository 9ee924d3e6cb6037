//! Network I/O between hosts: heartbeats over UDP, and fetches of missing state over TCP.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::{Context, Result, ensure};
use rand::Rng;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{OwnedSemaphorePermit, Semaphore, SemaphorePermit},
    time::timeout,
};

use super::{
    HOUSEKEEPING_INTERVAL, Relay, State, Wire,
    backends::{packed, versions},
    datagram::{self, Datagram, DropReason, MAX_DATAGRAM_BYTES},
    distribution::{
        Capacity, MIN_PASSED_ON_BYTES, QUEUE_TIMEOUT, QUEUED_FETCHES, RETRY_PAUSE, Receivers, Referrals,
    },
    follow::BackendsUpdate,
    hot_servers,
    inbound::{self, accept_all, head_timer::HeadTimer},
    peers::{LocalVersions, Scope},
    pool,
    revision::Revision,
    rounds::Task,
    routes, tunnel,
};
use crate::{
    logs::lines::{Level, line},
    metrics::Counter,
    schema::fleet::{BackendChanges, Beat, CallerLimits, Fetch, Fetched},
    util::{lock, now, wall_ms},
};

mod incoming;

pub(crate) use incoming::IncomingAnswer;
use incoming::Receiving;

/// Maximum size of a TCP message, in bytes: a configuration with some thousand routes, or 20,000 backend servers.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum size of a request of another host, or of the answer to one to connect, in bytes; both are a few numbers.
const MAX_SHORT_MESSAGE_BYTES: usize = 4 << 10;
/// Receive buffer of a connection that another host opens, in bytes. Most carry such a message, some the requests and answers of
/// one request.
const PEER_RECEIVE_BYTES: usize = 32 << 10;
/// Limits of a connection that another host opens, until its message has arrived.
const PEER_LIMITS: CallerLimits = CallerLimits {
    head_bytes: MAX_SHORT_MESSAGE_BYTES as u32,
    body_bytes: 0,
    head_ms: FETCH_TIMEOUT.as_millis() as u32,
    idle_ms: FETCH_TIMEOUT.as_millis() as u32,
};
/// Delay of the housekeeping above which the host must have been suspended; nothing else delays it for so long.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Timeout for the start of the answer to a fetch; after it the same peer or another one is asked.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for the rest of the answer: half a megabyte over the slowest links, 10 Mbit/s, takes 0.4 s for each of the
/// concurrent fetches.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time without progress in an answer; after it another host is asked, since the bytes may be lost on the way.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of fields that a message of an earlier version may lack at its end.
const MAX_ADDED_FIELDS: usize = 5;
/// Minimum delay before an early heartbeat or a fetch, so that changes in quick succession share one.
const SETTLE_DELAY: Duration = Duration::from_millis(20);

/// Starts the tasks that exchange messages and state with other hosts, but for [`serve_fetches`].
pub fn start_tasks<W: Wire>(relay: &Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    tokio::spawn(receive_heartbeats(relay.clone(), socket.clone()));
    tokio::spawn(send_heartbeats(relay.clone(), socket.clone()));
    tokio::spawn(send_messages(relay.clone(), socket.clone()));
    tokio::spawn(send_hot_reports(relay.clone(), socket));
    tokio::spawn(run_maintenance(relay.clone()));
    tokio::spawn(fetch_updates(relay.clone()));
}

/// Sends heartbeats periodically, and earlier when a change has to be spread.
pub async fn send_heartbeats<W: Wire>(relay: Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    loop {
        relay.rounds.record(Task::Heartbeats);
        send_heartbeat(&relay, &socket, relay.heartbeat_targets()).await;
        let due = tokio::time::Instant::now() + relay.state().peers.period();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(due) => break,
                () = relay.beat_due.notified() => {
                    tokio::time::sleep(SETTLE_DELAY).await;
                    break;
                }
                () = relay.gossip_due.notified() => {
                    relay.rounds.record(Task::Heartbeats);
                    send_heartbeat(&relay, &socket, relay.early_targets()).await;
                }
            }
        }
    }
}

/// Sends a heartbeat to each target: in full within the data centre, as a summary to other ones.
async fn send_heartbeat<W: Wire>(relay: &Relay<W>, socket: &UdpSocket, targets: Vec<(SocketAddr, Scope)>) {
    if targets.is_empty() {
        return;
    }
    let beat = relay.heartbeat(false);
    let own = encode(&beat);
    let centre = targets.iter().any(|(_, scope)| *scope == Scope::DataCentre);
    let centre = if centre { encode(&relay.summarise(&beat)) } else { Vec::new() };
    let measured =
        |scope| relay.measurements(scope).map_or_else(Vec::new, |message| encode_message(&message));
    let (own_measured, centre_measured) = (measured(Scope::Host), measured(Scope::DataCentre));
    for (target, scope) in targets {
        let is_host = scope == Scope::Host;
        send_datagram(socket, if is_host { &own } else { &centre }, target).await;
        send_datagram(socket, if is_host { &own_measured } else { &centre_measured }, target).await;
    }
}

async fn send_datagram(socket: &UdpSocket, buf: &[u8], to: SocketAddr) {
    if buf.is_empty() {
        return;
    }
    if let Err(e) = socket.send_to(buf, to).await {
        spdlog::debug!("could not send a heartbeat to {to}: {e}");
    }
}

/// Receives heartbeats.
pub async fn receive_heartbeats<W: Wire>(relay: Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let (n, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // An error of an earlier send is reported here; the next datagram may be fine.
                spdlog::debug!("could not receive a datagram: {e}");
                tokio::time::sleep(SETTLE_DELAY).await;
                continue;
            }
        };
        let received = datagram::decode_any(&buf[..n], wall_ms()).and_then(|datagram| match datagram {
            Datagram::Beat(beat) => relay.receive(from, &beat),
            Datagram::Origins(message) => {
                relay.receive_origins(from, &message);
                Ok(false)
            }
            Datagram::Crashes(message) => {
                relay.receive_crash_reports(from, &message);
                Ok(false)
            }
            Datagram::Measurements(message) => relay.receive_measurements(from, &message).map(|()| false),
        });
        match received {
            Ok(true) => send_datagram(&socket, &encode(&relay.heartbeat(true)), from).await,
            Ok(false) => {}
            Err(reason) => {
                relay.metrics.add(Counter::RelayDatagrams, reason.as_str(), 1);
                spdlog::debug!("dropped a datagram from {from}: {}", reason.as_str());
            }
        }
    }
}

/// Sends what hosts tell and ask each other about streams and crashes, as soon as it is due.
pub async fn send_messages<W: Wire>(relay: Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = relay.messages_due.notified() => {}
            () = relay.await_decision() => {}
        }
        relay.rounds.record(Task::Messages);
        for (to, message) in relay.take_origin_messages() {
            send_message(&socket, &message, to).await;
        }
        for (to, message) in relay.take_crash_messages() {
            send_message(&socket, &message, to).await;
        }
    }
}

/// Tells a few hosts of servers that are close to the load bound, as soon as such a server is known.
pub async fn send_hot_reports<W: Wire>(relay: Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    loop {
        relay.reports_due.notified().await;
        relay.rounds.record(Task::HotReports);
        tokio::time::sleep(hot_servers::SETTLE_DELAY).await;
        let Some((targets, message)) = relay.take_hot_reports() else { continue };
        let buf = encode_message(&message);
        for to in targets {
            send_datagram(&socket, &buf, to).await;
        }
    }
}

async fn send_message(socket: &UdpSocket, message: &impl Serialize, to: SocketAddr) {
    send_datagram(socket, &encode_message(message), to).await;
}

fn encode_message(message: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_else(|e| {
        line(Level::Notable, "message_failed", |l| l.text("why", &e.to_string()));
        Vec::new()
    })
}

fn encode(beat: &Beat) -> Vec<u8> {
    datagram::encode(beat).unwrap_or_else(|e| {
        line(Level::Notable, "beat_failed", |l| l.text("why", &e.to_string()));
        Vec::new()
    })
}

/// Runs the periodic housekeeping, and detects when the host stood still or was suspended.
pub async fn run_maintenance<W: Wire>(relay: Arc<Relay<W>>) {
    let mut last = now();
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        relay.rounds.record(Task::Maintenance);
        let paused_for = now().saturating_sub(std::mem::replace(&mut last, now()));
        relay.observe_stall(paused_for.saturating_sub(HOUSEKEEPING_INTERVAL));
        if paused_for > SUSPEND_THRESHOLD {
            relay.on_resume_from_suspend(paused_for);
        }
        relay.run_housekeeping();
    }
}

/// Fetches state that other hosts have had for a while and this one lacks.
pub async fn fetch_updates<W: Wire>(relay: Arc<Relay<W>>) {
    let (mut wants_held, mut wants_full, mut at_once) = (true, false, false);
    let (mut referrals, mut referral) = (Referrals::default(), None);
    loop {
        // A heartbeat of a peer that is ahead wakes this loop; the delay combines changes in quick succession into one
        // fetch.
        if !at_once && timeout(HOUSEKEEPING_INTERVAL, relay.fetch_due.notified()).await.is_ok() {
            tokio::time::sleep(SETTLE_DELAY).await;
        }
        at_once = false;
        relay.rounds.record(Task::Fetches);
        let referred = referral.take();
        let Some((peer, own)) = choose_source(&relay, wants_held) else { continue };
        let peer = referred.unwrap_or(peer);
        let configuration = if wants_full { 0 } else { own.configuration };
        let Revision { epoch, number } = own.backends;
        let fetch_request = Fetch {
            configuration,
            backends: number,
            backends_epoch: epoch,
            wants_held,
            accepts_packed: true,
            connect_to: 0,
            passes_on_at: relay.cfg.me.peers.clone(),
            accepts_frames: false,
        };
        match fetch(&relay, peer, fetch_request).await {
            Ok(fetched) if fetched.busy => {
                referral = referrals.follow(read_referral(&relay, peer, &fetched));
                if referral.is_none() {
                    pause_before_retry().await;
                }
                at_once = true;
            }
            Ok(fetched) => {
                referrals = Referrals::default();
                wants_held &= !relay.state().backends_listed;
                wants_full = apply_fetched(&relay, peer, fetched);
            }
            Err(e) => {
                let why = format!("{e:#}");
                relay.state().peers.record_fetch_failure(now(), peer);
                line(Level::Notable, "fetch_failed", |l| l.text("peer", &peer.to_string()).text("why", &why));
                referrals = Referrals::default();
                pause_before_retry().await;
            }
        }
        relay.incoming.clear();
    }
}

/// The host to which a busy one refers, if any.
fn read_referral<W: Wire>(relay: &Relay<W>, peer: SocketAddr, fetched: &Fetched) -> Option<SocketAddr> {
    if fetched.referral.is_empty() {
        return None;
    }
    let parsed = fetched.referral.parse();
    if parsed.is_err() {
        relay.metrics.add(Counter::RelayDatagrams, DropReason::Malformed.as_str(), 1);
        line(Level::Notable, "referral_invalid", |l| {
            l.text("peer", &peer.to_string()).text("referral", &fetched.referral)
        });
    }
    parsed.ok()
}

/// Chooses a peer to fetch from, and returns it with the versions known here.
fn choose_source<W: Wire>(relay: &Relay<W>, wants_held: bool) -> Option<(SocketAddr, LocalVersions)> {
    let mut state = relay.state();
    let own = state.local_versions();
    let State { peers, rng, backends_listed, .. } = &mut *state;
    let ahead = peers.fetch_source(now(), own, rng);
    let peer = ahead.or_else(|| peers.longest_up(rng).filter(|_| wants_held && *backends_listed))?;
    Some((peer, own))
}

/// Waits before another peer is asked.
async fn pause_before_retry() {
    let pause = rand::rng().random_range(RETRY_PAUSE);
    tokio::time::sleep(pause).await;
}

/// Applies the state fetched from a peer; returns whether the full configuration must be requested.
fn apply_fetched<W: Wire>(relay: &Relay<W>, peer: SocketAddr, mut fetched: Fetched) -> bool {
    routes::set_pauses(&mut fetched);
    let from = peer.to_string();
    let changes = fetched.configuration_changes.as_ref();
    let wants_full = changes.is_some_and(|changes| relay.apply_configuration_changes(changes, &from));
    if let Some(cfg) = fetched.configuration {
        relay.set_configuration(cfg, &from);
    }
    let unpacked = fetched.packed.map(packed::unpack);
    if unpacked == Some(None) {
        relay.metrics.add(Counter::RelayDatagrams, DropReason::Malformed.as_str(), 1);
        line(Level::Notable, "list_invalid", |l| l.text("peer", &from));
        relay.state().peers.record_fetch_failure(now(), peer);
    }
    let (version_names, versions) = (&fetched.version_names, &fetched.versions);
    if let Some(mut list) = fetched.backends.or(unpacked.flatten()) {
        versions::set_in(&mut list.items, version_names, versions);
        relay.update_backends(BackendsUpdate::List(list), None, &from);
    }
    if let Some(changes) = fetched.changes {
        let revision = changes.as_of();
        let BackendChanges { mut puts, removed, .. } = changes;
        versions::set_in(&mut puts, version_names, versions);
        relay.update_backends(BackendsUpdate::Changes { revision, puts, removed }, None, &from);
    }
    relay.merge_holders(&fetched.held);
    relay.merge_left_servers(&fetched.left, &from);
    wants_full
}

/// Fetches the missing state from a peer.
async fn fetch<W: Wire>(relay: &Relay<W>, peer: SocketAddr, fetch_request: Fetch) -> Result<Fetched> {
    let asking = async {
        let mut stream = TcpStream::connect(peer).await.context("could not connect")?;
        pool::configure_socket(&stream, Some(FETCH_TIMEOUT));
        send(&mut stream, &fetch_request).await?;
        let length = read_length(&mut stream, MAX_MESSAGE_BYTES).await?;
        anyhow::Ok((stream, length))
    };
    let (mut stream, length) =
        timeout(FETCH_TIMEOUT, asking).await.context("the peer did not answer in time")??;
    let receiving = relay.incoming.begin(&fetch_request, length);
    let reading = timeout(TRANSFER_TIMEOUT, read_message(&mut stream, length, Some(&receiving))).await;
    decode(reading.context("the transfer of the answer timed out")??).context("could not decode the answer")
}

/// Limits the fetches that a host answers at once, and those that wait.
#[derive(Debug)]
struct FetchSlots {
    capacity: Capacity,
    admitted: Arc<Semaphore>,
    units: Semaphore,
    /// Hosts that receive a large answer and pass it on.
    receivers: Mutex<Receivers<String>>,
    tunnels: Semaphore,
}

impl FetchSlots {
    fn new(slots: usize) -> Self {
        let capacity = Capacity::of(slots);
        Self {
            capacity,
            admitted: Arc::new(Semaphore::new(slots + QUEUED_FETCHES)),
            units: Semaphore::new(capacity.units()),
            receivers: Mutex::default(),
            tunnels: Semaphore::new(tunnel::MAX_TUNNELS),
        }
    }

    /// Takes the capacity for an answer. A host that can be referred to another one doesn't wait for it; `None` if it can
    /// be, or no capacity gets free soon.
    async fn acquire(&self, request: &Fetch) -> Option<SemaphorePermit<'_>> {
        let units = self.capacity.units_per_answer(!request.passes_on_at.is_empty()) as u32;
        if let Ok(permit) = self.units.try_acquire_many(units) {
            return Some(permit);
        }
        if self.refer(request).is_some() {
            return None;
        }
        timeout(QUEUE_TIMEOUT, self.units.acquire_many(units)).await.ok()?.ok()
    }

    /// Another host that passes on the answer to a request.
    fn refer(&self, request: &Fetch) -> Option<String> {
        let from = Some(&request.passes_on_at).filter(|from| !from.is_empty())?;
        lock(&self.receivers).refer(request, from, &mut rand::rng())
    }

    /// Registers a host that receives an answer of `length` bytes, if it passes it on, until the result is dropped.
    fn register(&self, request: &Fetch, length: usize) -> Option<Receiver<'_>> {
        if request.passes_on_at.is_empty() || length < MIN_PASSED_ON_BYTES {
            return None;
        }
        let at = request.passes_on_at.clone();
        lock(&self.receivers).add(request, at.clone());
        Some(Receiver { slots: self, at })
    }
}

/// A host that is receiving an answer and passes it on.
struct Receiver<'a> {
    slots: &'a FetchSlots,
    at: String,
}

impl Drop for Receiver<'_> {
    fn drop(&mut self) {
        lock(&self.slots.receivers).remove(&self.at);
    }
}

/// Answers fetches of other hosts, a few at a time: if all hosts of a data centre were served concurrently, none would
/// be done in time.
pub async fn serve_fetches<W: Wire>(relay: Arc<Relay<W>>, listener: TcpListener) {
    let slots = Arc::new(FetchSlots::new(relay.cfg.concurrent_fetches));
    accept_all(listener, "a fetch", |stream, from| {
        let timer = HeadTimer::new(|| PEER_LIMITS);
        let Some(connection) = inbound::admit(&relay, &relay.peer_connections, "a fetch", &timer) else {
            return;
        };
        let (relay, slots) = (relay.clone(), slots.clone());
        let admitted = slots.admitted.clone().try_acquire_owned().ok();
        tokio::spawn(async move {
            tokio::select! {
                result = serve_peer(&relay, stream, &slots, admitted, &timer) => {
                    if let Err(e) = result {
                        spdlog::debug!("could not answer {from}: {e:#}");
                    }
                }
                () = connection.given_way(timer.wait()) => {}
            }
        });
    })
    .await;
}

/// Serves one connection of a peer, which is turned away if it is not admitted.
async fn serve_peer<W: Wire>(
    relay: &Arc<Relay<W>>,
    mut stream: TcpStream,
    slots: &FetchSlots,
    admitted: Option<OwnedSemaphorePermit>,
    timer: &HeadTimer,
) -> Result<()> {
    pool::configure_socket(&stream, Some(FETCH_TIMEOUT));
    pool::limit_receive_buffer(&stream, PEER_RECEIVE_BYTES);
    // A host whose bytes are lost on the way must not occupy a slot for longer.
    let reading = timeout(FETCH_TIMEOUT, receive::<Fetch>(&mut stream)).await;
    let fetch_request = reading.context("the peer did not send its request in time")??;
    timer.end();
    if fetch_request.connect_to != 0 {
        drop(admitted);
        return tunnel::serve(relay, stream, &fetch_request, &slots.tunnels).await;
    }
    let answering = answer(relay, stream, fetch_request, slots, admitted.is_some());
    timeout(TRANSFER_TIMEOUT, answering).await.context("the transfer timed out")?
}

/// Answers a fetch, which is turned away or referred to another host unless it is admitted.
async fn answer<W: Wire>(
    relay: &Relay<W>,
    mut stream: TcpStream,
    fetch_request: Fetch,
    slots: &FetchSlots,
    is_admitted: bool,
) -> Result<()> {
    let permit = if is_admitted { slots.acquire(&fetch_request).await } else { None };
    if permit.is_none() {
        let referral = slots.refer(&fetch_request).unwrap_or_default();
        return send(&mut stream, &Fetched { busy: true, referral, ..Fetched::default() }).await;
    }
    if let Some(incoming) = relay.incoming.to(&fetch_request) {
        let _receiver = slots.register(&fetch_request, incoming.length());
        return incoming.pass_on(&mut stream).await;
    }
    // Encoded at once, since the state takes several times as much memory as its encoded form.
    let message = postcard::to_allocvec(&newer_state(relay, &fetch_request))?;
    let _receiver = slots.register(&fetch_request, message.len());
    write_message(&mut stream, &message).await
}

/// The state that the requesting host lacks.
fn newer_state<W: Wire>(relay: &Relay<W>, fetch_request: &Fetch) -> Fetched {
    let held = if fetch_request.wants_held { relay.holders_snapshot() } else { Vec::new() };
    let mut state = relay.state();
    let routes = state.routes.clone().filter(|r| r.version() > fetch_request.configuration);
    let configuration_changes =
        routes.as_ref().and_then(|_| state.configurations.diff_from(fetch_request.configuration));
    let full = routes.filter(|_| configuration_changes.is_none());
    let known = fetch_request.backends_as_of();
    let newer = state.backends_listed && state.backends.revision() > known;
    let changes = newer.then(|| state.backends.changes_since(now(), known)).flatten();
    let list = (newer && changes.is_none()).then(|| state.backends.snapshot(now()));
    let left = if fetch_request.wants_held { state.backends.leaving_starts() } else { Vec::new() };
    drop(state);
    let mut fetched = Fetched::default();
    let servers = list.as_ref().map(|list| &list.items).or(changes.as_ref().map(|changes| &changes.puts));
    if let Some(servers) = servers {
        versions::add_to(&mut fetched, servers);
    }
    let (backends, packed) = match list {
        Some(list) if fetch_request.accepts_packed => (None, Some(packed::pack(list))),
        list => (list, None),
    };
    let configuration = full.map(|r| (**r.source()).clone());
    let mut fetched =
        Fetched { configuration, configuration_changes, backends, packed, changes, held, left, ..fetched };
    routes::add_pauses(&mut fetched);
    fetched
}

/// Sends a message to a peer.
pub(super) async fn send(stream: &mut TcpStream, message: &impl Serialize) -> Result<()> {
    write_message(stream, &postcard::to_allocvec(message)?).await
}

/// Receives a short message of a peer.
pub(super) async fn receive<T: DeserializeOwned>(stream: &mut TcpStream) -> Result<T> {
    let length = read_length(stream, MAX_SHORT_MESSAGE_BYTES).await?;
    decode(read_message(stream, length, None).await?).context("could not decode the message")
}

/// Decodes a message. One of an earlier version lacks the last fields, for which zero bytes stand.
fn decode<T: DeserializeOwned>(mut message: Vec<u8>) -> postcard::Result<T> {
    message.extend([0; MAX_ADDED_FIELDS]);
    postcard::from_bytes(&message)
}

async fn write_message(stream: &mut TcpStream, message: &[u8]) -> Result<()> {
    ensure!(message.len() <= MAX_MESSAGE_BYTES, "the message of {} bytes is too long", message.len());
    stream.write_u32_le(message.len() as u32).await.context("could not send the message length")?;
    stream.write_all(message).await.context("could not send the message")
}

async fn read_length(stream: &mut TcpStream, max_bytes: usize) -> Result<usize> {
    let length = stream.read_u32_le().await.context("could not read the message length")? as usize;
    ensure!(length <= max_bytes, "the message of {length} bytes is too long");
    Ok(length)
}

/// Reads a message of `length` bytes, and hands each part to `receiving` at once.
async fn read_message(
    stream: &mut TcpStream,
    length: usize,
    receiving: Option<&Receiving>,
) -> Result<Vec<u8>> {
    let mut buf = Vec::with_capacity(length);
    let mut rest = stream.take(length as u64);
    while buf.len() < length {
        let known = buf.len();
        let reading = timeout(STALL_TIMEOUT, rest.read_buf(&mut buf)).await.context("the message stalled")?;
        ensure!(reading.context("could not read the message")? > 0, "the message was truncated");
        if let Some(receiving) = receiving {
            receiving.push(&buf[known..]);
        }
    }
    Ok(buf)
}
