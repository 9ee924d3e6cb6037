//! The sockets between hosts: beats over UDP, and what a host lacks over TCP.

use std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration};

use anyhow::{Context, Result, ensure};
use rand::Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::Semaphore,
    time::timeout,
};

use super::{
    Relay, State, TICK, Wire,
    datagram::{self, MAX_DATAGRAM_BYTES},
    follow::BackendsUpdate,
    inbound::accept_all,
    peers::{Own, Scope},
    pool,
    revision::Revision,
};
use crate::{
    logs::lines::{Weight, line},
    metrics::Counter,
    schema::fleet::{BackendChanges, Beat, Fetch, Fetched},
    util::{now, wall_ms},
};

/// Largest message over TCP: a configuration with some thousand routes, or 20,000 backend servers.
const MOST_MESSAGE: usize = 4 << 20;
/// A pause of the housekeeping after which the host must have been suspended; nothing else keeps it for so long.
const SUSPENDED: Duration = Duration::from_millis(1_500);
/// Time until the answer to a fetch begins; a host that needs longer is asked again or another one is.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for the rest of the answer: half a megabyte over the slowest links, 10 Mbit/s, takes 0.4 s for each place.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest pause in it: where its bytes are lost on the way another host is asked.
const STALLED: Duration = Duration::from_millis(700);
/// Fetches that are answered at the same time. Those who are turned away ask hosts that have been answered meanwhile, so
/// that what is new spreads faster than from one host alone.
const MOST_FETCHES: usize = 3;
/// Pause before another host is asked.
const PAUSE: Range<Duration> = Duration::from_millis(50)..Duration::from_millis(200);
/// Least time between two beats that are sent out of turn.
const SETTLE: Duration = Duration::from_millis(20);

/// Sends beats, at the period or sooner when there is something to tell.
pub async fn send_heartbeats<W: Wire>(relay: Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    loop {
        send_to(&relay, &socket, relay.targets()).await;
        let due = tokio::time::Instant::now() + relay.state().peers.period();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(due) => break,
                () = relay.tell.notified() => {
                    tokio::time::sleep(SETTLE).await;
                    break;
                }
                () = relay.tell_few.notified() => send_to(&relay, &socket, relay.few_targets()).await,
            }
        }
    }
}

async fn send_to<W: Wire>(relay: &Relay<W>, socket: &UdpSocket, targets: Vec<(SocketAddr, Scope)>) {
    if targets.is_empty() {
        return;
    }
    let beat = relay.beat(false);
    let own = encode(&beat);
    let centre = targets.iter().any(|(_, scope)| *scope == Scope::Centre);
    let centre = if centre { encode(&relay.summarise(&beat)) } else { Vec::new() };
    for (target, scope) in targets {
        let buf = if scope == Scope::Own { &own } else { &centre };
        send(socket, buf, target).await;
    }
}

async fn send(socket: &UdpSocket, buf: &[u8], to: SocketAddr) {
    if buf.is_empty() {
        return;
    }
    if let Err(e) = socket.send_to(buf, to).await {
        spdlog::debug!("could not send a beat to {to}: {e}");
    }
}

/// Takes beats in.
pub async fn receive_heartbeats<W: Wire>(relay: Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let (n, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // An error of an earlier send shows here; the next datagram may be fine.
                spdlog::debug!("could not receive a datagram: {e}");
                tokio::time::sleep(SETTLE).await;
                continue;
            }
        };
        match datagram::decode(&buf[..n], wall_ms()).and_then(|beat| relay.hear(from, &beat)) {
            Ok(true) => send(&socket, &encode(&relay.beat(true)), from).await,
            Ok(false) => {}
            Err(fault) => {
                relay.metrics.add(Counter::RelayDatagrams, fault.as_str(), 1);
                spdlog::debug!("a datagram from {from} is dropped: {}", fault.as_str());
            }
        }
    }
}

fn encode(beat: &Beat) -> Vec<u8> {
    datagram::encode(beat).unwrap_or_else(|e| {
        line(Weight::Notable, "beat_failed", |l| l.text("why", &e.to_string()));
        Vec::new()
    })
}

/// Does the housekeeping, and notices when the host was suspended.
pub async fn run_maintenance<W: Wire>(relay: Arc<Relay<W>>) {
    let mut last = now();
    loop {
        tokio::time::sleep(TICK).await;
        let slept = now().saturating_sub(std::mem::replace(&mut last, now()));
        if slept > SUSPENDED {
            relay.on_resume_from_suspend(slept);
        }
        relay.run_housekeeping();
    }
}

/// Fetches what other hosts have had for a while and this one lacks.
pub async fn fetch_updates<W: Wire>(relay: Arc<Relay<W>>) {
    let (mut wants_held, mut wants_whole, mut at_once) = (true, false, false);
    loop {
        // What a peer tells wakes this up; a pause keeps a run of changes to one fetch.
        if !at_once && timeout(TICK, relay.behind.notified()).await.is_ok() {
            tokio::time::sleep(SETTLE).await;
        }
        at_once = false;
        let Some((peer, own)) = source(&relay, wants_held) else { continue };
        let configuration = if wants_whole { 0 } else { own.configuration };
        let Revision { epoch, number } = own.backends;
        let ask = Fetch { configuration, backends: number, backends_epoch: epoch, wants_held };
        match fetch(peer, ask).await {
            Ok(fetched) if fetched.busy => {
                rest().await;
                at_once = true;
            }
            Ok(fetched) => {
                wants_held &= !relay.state().listed;
                wants_whole = take(&relay, peer, fetched);
            }
            Err(e) => {
                let why = format!("{e:#}");
                relay.state().peers.note_failed(now(), peer);
                line(Weight::Notable, "fetch_failed", |l| {
                    l.text("peer", &peer.to_string()).text("why", &why)
                });
                rest().await;
            }
        }
    }
}

/// A peer to fetch from, with what is known here.
fn source<W: Wire>(relay: &Relay<W>, wants_held: bool) -> Option<(SocketAddr, Own)> {
    let mut state = relay.state();
    let own = state.own();
    let State { peers, rng, listed, .. } = &mut *state;
    let ahead = peers.ahead(now(), own, rng);
    let peer = ahead.or_else(|| peers.long_up(rng).filter(|_| wants_held && *listed))?;
    Some((peer, own))
}

/// Waits before another peer is asked.
async fn rest() {
    let pause = rand::rng().random_range(PAUSE);
    tokio::time::sleep(pause).await;
}

/// Takes in what a peer has told; returns whether the whole configuration must be asked for.
fn take<W: Wire>(relay: &Relay<W>, peer: SocketAddr, fetched: Fetched) -> bool {
    let from = peer.to_string();
    let changes = fetched.configuration_changes.as_ref();
    let wants_whole = changes.is_some_and(|changes| relay.apply_configuration_changes(changes, &from));
    if let Some(cfg) = fetched.configuration {
        relay.set_configuration(cfg, &from);
    }
    if let Some(list) = fetched.backends {
        relay.update_backends(BackendsUpdate::List(list), None, &from);
    }
    if let Some(changes) = fetched.changes {
        let revision = changes.as_of();
        let BackendChanges { puts, removed, .. } = changes;
        relay.update_backends(BackendsUpdate::Changes { revision, puts, removed }, None, &from);
    }
    relay.hear_held(&fetched.held);
    relay.learn_left(&fetched.left, &from);
    wants_whole
}

async fn fetch(peer: SocketAddr, ask: Fetch) -> Result<Fetched> {
    let asking = async {
        let mut stream = TcpStream::connect(peer).await.context("could not connect")?;
        pool::set_up(&stream, Some(FETCH_TIMEOUT));
        write(&mut stream, &postcard::to_allocvec(&ask)?).await?;
        let size = read_size(&mut stream).await?;
        anyhow::Ok((stream, size))
    };
    let (mut stream, size) = timeout(FETCH_TIMEOUT, asking).await.context("no answer in time")??;
    let reading = timeout(TRANSFER_TIMEOUT, read(&mut stream, size)).await;
    postcard::from_bytes(&reading.context("the answer takes too long")??).context("could not read the answer")
}

/// Answers fetches of other hosts, a few at a time: with all hosts of a data centre at once none would be done in time.
pub async fn serve_fetches<W: Wire>(relay: Arc<Relay<W>>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(MOST_FETCHES));
    accept_all(listener, "a fetch", |stream, from| {
        let (relay, place) = (relay.clone(), places.clone().try_acquire_owned().ok());
        tokio::spawn(async move {
            match timeout(TRANSFER_TIMEOUT, answer(&relay, stream, place.is_none())).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => spdlog::debug!("could not answer a fetch of {from}: {e:#}"),
                Err(_) => spdlog::debug!("a fetch of {from} took too long"),
            }
        });
    })
    .await;
}

async fn answer<W: Wire>(relay: &Relay<W>, mut stream: TcpStream, busy: bool) -> Result<()> {
    pool::set_up(&stream, Some(FETCH_TIMEOUT));
    // One whose bytes are lost on the way must not hold a place for longer.
    let ask = timeout(FETCH_TIMEOUT, read_fetch(&mut stream)).await.context("no fetch in time")??;
    if busy {
        return write(&mut stream, &postcard::to_allocvec(&Fetched { busy, ..Fetched::default() })?).await;
    }
    let held = if ask.wants_held { relay.held() } else { Vec::new() };
    let fetched = {
        let mut state = relay.state();
        let routes = state.routes.clone().filter(|r| r.version() > ask.configuration);
        let configuration_changes =
            routes.as_ref().and_then(|_| state.configurations.diff_from(ask.configuration));
        let whole = routes.filter(|_| configuration_changes.is_none());
        let known = ask.backends_as_of();
        let newer = state.listed && state.backends.revision() > known;
        let changes = newer.then(|| state.backends.changes_since(now(), known)).flatten();
        Fetched {
            configuration: whole.map(|r| (**r.source()).clone()),
            configuration_changes,
            backends: (newer && changes.is_none()).then(|| state.backends.snapshot(now())),
            changes,
            held,
            left: if ask.wants_held { state.backends.left() } else { Vec::new() },
            busy,
        }
    };
    write(&mut stream, &postcard::to_allocvec(&fetched)?).await
}

async fn read_fetch(stream: &mut TcpStream) -> Result<Fetch> {
    let size = read_size(stream).await?;
    postcard::from_bytes(&read(stream, size).await?).context("could not read the fetch")
}

async fn write(stream: &mut TcpStream, message: &[u8]) -> Result<()> {
    ensure!(message.len() <= MOST_MESSAGE, "a message of {} bytes is too long", message.len());
    let mut buf = (message.len() as u32).to_le_bytes().to_vec();
    buf.extend_from_slice(message);
    stream.write_all(&buf).await.context("could not write")
}

async fn read_size(stream: &mut TcpStream) -> Result<usize> {
    let size = stream.read_u32_le().await.context("could not read the length")? as usize;
    ensure!(size <= MOST_MESSAGE, "a message of {size} bytes is too long");
    Ok(size)
}

async fn read(stream: &mut TcpStream, size: usize) -> Result<Vec<u8>> {
    let mut buf = Vec::with_capacity(size);
    let mut rest = stream.take(size as u64);
    while buf.len() < size {
        let reading = timeout(STALLED, rest.read_buf(&mut buf)).await.context("the message stalls")?;
        ensure!(reading.context("could not read the message")? > 0, "the message breaks off");
    }
    Ok(buf)
}
