//! The sockets between hosts: beats over UDP, and what a host lacks over TCP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result, bail, ensure};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};

use super::{
    Relay, TICK, Wire,
    follow::BackendsUpdate,
    peers::{Own, Scope},
    pool,
};
use crate::{
    logs::lines::{Weight, line},
    schema::fleet::{BackendChanges, Beat, Fetch, Fetched},
    util::now,
};

/// Largest datagram that is sent, within one packet of a common link.
const MOST_BEAT: usize = 1_400;
/// Largest message over TCP: a configuration with some thousand routes, or 20,000 backend servers.
const MOST_MESSAGE: usize = 4 << 20;
/// A pause of the housekeeping after which the host must have been suspended; a fetch takes less.
const SUSPENDED: Duration = Duration::from_millis(1_500);
/// Time for a fetch; a host that needs longer is asked again or another one is.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Least time between two beats that are sent out of turn.
const SETTLE: Duration = Duration::from_millis(20);

/// Sends beats, at the period or sooner when there is something to tell.
pub async fn send_beats<W: Wire>(relay: Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    loop {
        let targets = relay.targets();
        if !targets.is_empty() {
            let beat = relay.beat(false);
            let own = encode(&beat);
            let centre = targets.iter().any(|(_, scope)| *scope == Scope::Centre);
            let centre = if centre { encode(&relay.summarise(&beat)) } else { Vec::new() };
            for (target, scope) in targets {
                let buf = if scope == Scope::Own { &own } else { &centre };
                send(&socket, buf, target).await;
            }
        }
        let period = relay.state().peers.period();
        if timeout(period, relay.tell.notified()).await.is_ok() {
            tokio::time::sleep(SETTLE).await;
        }
    }
}

fn encode(beat: &Beat) -> Vec<u8> {
    let mut beat = beat.clone();
    loop {
        let buf = postcard::to_allocvec(&beat).unwrap_or_default();
        if buf.len() <= MOST_BEAT || beat.members.is_empty() && beat.in_progress.is_empty() {
            return buf;
        }
        // Members come again in the next full beat; loads are cut only in fleets that need another form of them.
        if beat.members.pop().is_none() {
            beat.in_progress.truncate(beat.in_progress.len() / 2);
        }
    }
}

async fn send(socket: &UdpSocket, buf: &[u8], to: SocketAddr) {
    if let Err(e) = socket.send_to(buf, to).await {
        spdlog::debug!("could not send a beat to {to}: {e}");
    }
}

/// Takes beats in.
pub async fn hear_beats<W: Wire>(relay: Arc<Relay<W>>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MOST_BEAT * 2];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buf).await else {
            // An error of an earlier send shows here; the next datagram may be fine.
            tokio::time::sleep(SETTLE).await;
            continue;
        };
        match postcard::from_bytes::<Beat>(&buf[..n]) {
            Ok(beat) => {
                if relay.hear(from, &beat) {
                    send(&socket, &encode(&relay.beat(true)), from).await;
                }
            }
            Err(e) => spdlog::debug!("a datagram from {from} is no beat: {e}"),
        }
    }
}

/// Fetches what other hosts have had for a while and this one lacks, and does the housekeeping.
pub async fn keep_up<W: Wire>(relay: Arc<Relay<W>>) {
    let mut wants_held = true;
    let mut last = now();
    loop {
        // What a peer tells wakes this up; a pause keeps a run of changes to one fetch.
        if timeout(TICK, relay.behind.notified()).await.is_ok() {
            tokio::time::sleep(SETTLE).await;
        }
        let slept = now().saturating_sub(std::mem::replace(&mut last, now()));
        if slept > SUSPENDED {
            relay.wake(slept);
        }
        relay.tick();
        let (peer, own) = {
            let state = relay.state();
            let own = state.own();
            let ahead = state.peers.ahead(now(), own);
            let oldest = || state.peers.longest_up().filter(|_| wants_held && state.listed);
            (ahead.or_else(oldest), own)
        };
        let Some(peer) = peer else { continue };
        match timeout(FETCH_TIMEOUT, fetch(peer, own, wants_held)).await {
            Ok(Ok(fetched)) => {
                wants_held &= !relay.state().listed;
                take(&relay, peer, fetched);
            }
            Ok(Err(e)) => note_failed(peer, &format!("{e:#}")),
            Err(_) => note_failed(peer, "no answer in time"),
        }
    }
}

fn note_failed(peer: SocketAddr, why: &str) {
    line(Weight::Notable, "fetch_failed", |l| l.text("peer", &peer.to_string()).text("why", why));
}

fn take<W: Wire>(relay: &Relay<W>, peer: SocketAddr, fetched: Fetched) {
    let from = peer.to_string();
    if let Some(cfg) = fetched.configuration {
        relay.set_configuration(cfg, &from);
    }
    if let Some(list) = fetched.backends {
        relay.update_backends(BackendsUpdate::List(list), None, &from);
    }
    if let Some(BackendChanges { revision, puts, removed }) = fetched.changes {
        relay.update_backends(BackendsUpdate::Changes { revision, puts, removed }, None, &from);
    }
    relay.hear_held(&fetched.held);
}

async fn fetch(peer: SocketAddr, own: Own, wants_held: bool) -> Result<Fetched> {
    let mut stream = TcpStream::connect(peer).await.context("could not connect")?;
    pool::set_up(&stream, Some(FETCH_TIMEOUT));
    let ask = Fetch { configuration: own.configuration, backends: own.backends, wants_held };
    write(&mut stream, &postcard::to_allocvec(&ask)?).await?;
    postcard::from_bytes(&read(&mut stream).await?).context("could not read the answer")
}

/// Answers fetches of other hosts.
pub async fn serve_fetches<W: Wire>(relay: Arc<Relay<W>>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(SETTLE).await;
            continue;
        };
        let relay = relay.clone();
        tokio::spawn(async move {
            match timeout(FETCH_TIMEOUT, answer(&relay, stream)).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => spdlog::debug!("could not answer a fetch of {from}: {e:#}"),
                Err(_) => spdlog::debug!("a fetch of {from} took too long"),
            }
        });
    }
}

async fn answer<W: Wire>(relay: &Relay<W>, mut stream: TcpStream) -> Result<()> {
    pool::set_up(&stream, Some(FETCH_TIMEOUT));
    let ask: Fetch = postcard::from_bytes(&read(&mut stream).await?).context("could not read the fetch")?;
    let held = if ask.wants_held { relay.held() } else { Vec::new() };
    let fetched = {
        let state = relay.state();
        let routes = state.routes.as_ref().filter(|r| r.version() > ask.configuration);
        let newer = state.listed && state.backends.revision() > ask.backends;
        let changes = newer.then(|| state.backends.changes_since(ask.backends)).flatten();
        Fetched {
            configuration: routes.map(|r| (**r.source()).clone()),
            backends: (newer && changes.is_none()).then(|| state.backends.snapshot()),
            changes,
            held,
        }
    };
    write(&mut stream, &postcard::to_allocvec(&fetched)?).await
}

async fn write(stream: &mut TcpStream, message: &[u8]) -> Result<()> {
    ensure!(message.len() <= MOST_MESSAGE, "a message of {} bytes is too long", message.len());
    let mut buf = (message.len() as u32).to_le_bytes().to_vec();
    buf.extend_from_slice(message);
    stream.write_all(&buf).await.context("could not write")
}

async fn read(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let size = stream.read_u32_le().await.context("could not read the length")? as usize;
    if size > MOST_MESSAGE {
        bail!("a message of {size} bytes is too long");
    }
    let mut buf = vec![0; size];
    stream.read_exact(&mut buf).await.context("could not read the message")?;
    Ok(buf)
}
