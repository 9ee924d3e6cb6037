//! Callers: they ask where to connect, send requests over connections of their own, and note what comes back.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{
    THINKS_MS, addresses,
    checks::{History, Kind, Outcome, Seen},
    hosts::Hosts,
};
use crate::wire::{events, is_whole, status};

/// A key that stays.
pub const KEY: &str = "k1";
/// A key that is taken away in the end.
pub const KEY_TO_REVOKE: &str = "k2";
/// How long a caller waits, as it says.
const DEADLINE: Duration = Duration::from_secs(4);
/// What it waits longer than that before it gives up.
const SLACK: Duration = Duration::from_secs(2);
/// Time for a connection or for an answer with addresses.
const SHORT: Duration = Duration::from_secs(1);

static NEXT: AtomicU64 = AtomicU64::new(0);

/// Sends requests of all kinds until the task is ended.
pub async fn keep_calling(n: usize, hosts: Arc<Hosts>, history: Arc<History>, mut rng: StdRng) {
    let mut known = hosts.addresses();
    let mut asked = Instant::now();
    loop {
        if asked.elapsed() >= SHORT {
            known = addresses(&hosts, &mut rng).await;
            asked = Instant::now();
        }
        let addr = known[rng.random_range(0..known.len())];
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let key = if n.is_multiple_of(2) { KEY } else { KEY_TO_REVOKE };
        call(addr, kind, key, kind.path(), &history).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(THINKS_MS))).await;
    }
}

/// Sends one request and notes its end.
pub async fn call(addr: SocketAddr, kind: Kind, key: &str, path: &str, history: &History) -> Outcome {
    let id = format!("r{:06}", NEXT.fetch_add(1, Ordering::Relaxed));
    let target = format!("{path}{id}");
    let host = addr.ip().to_string();
    let proper = key == KEY && path == kind.path();
    history.record(Seen::Sent {
        id: id.clone(),
        kind,
        target: target.clone(),
        proper,
        host,
        at: Instant::now(),
    });
    let head = format!("POST {target} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nKey: {key}\r\n");
    let body = "x".repeat(200);
    let req = format!(
        "{head}Request-Deadline: {}\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    let end = match timeout(DEADLINE + SLACK, exchange(addr, &req, kind, &id)).await {
        Ok(end) => end,
        Err(_) => Outcome::TimedOut,
    };
    history.record(Seen::Ended { id, end: end.clone(), at: Instant::now() });
    end
}

async fn exchange(addr: SocketAddr, req: &str, kind: Kind, id: &str) -> Outcome {
    let Ok(Ok(mut stream)) = timeout(SHORT, TcpStream::connect(addr)).await else {
        return Outcome::NoConnection;
    };
    if stream.write_all(req.as_bytes()).await.is_err() {
        return Outcome::Broken(Vec::new());
    }
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if is_whole(&text) {
            return Outcome::Complete { status: status(&text), data: data(&text, kind, id) };
        }
        match stream.read_buf(&mut buf).await {
            Ok(n) if n > 0 => {}
            _ => return Outcome::Broken(if kind.streams() { data(&text, kind, id) } else { Vec::new() }),
        }
    }
}

/// The answer's data with the own identifier taken out, so that another one shows.
fn data(text: &str, kind: Kind, id: &str) -> Vec<String> {
    let own = |data: &str| data.strip_suffix(id).map_or_else(|| data.to_owned(), |d| d.trim_end().to_owned());
    match kind.streams() {
        true => events(text).into_iter().map(own).collect(),
        false => vec![own(text.split_once("\r\n\r\n").map_or("", |(_, body)| body))],
    }
}

/// Asks a host where callers may connect.
pub async fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let parse = |text: String| {
        let body: serde_json::Value = serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()?;
        let listed = body["addresses"].as_array()?;
        Some(listed.iter().filter_map(|a| a.as_str()?.parse().ok()).collect())
    };
    get(directory, "/resolve?name=shop.example&zone=a").await.and_then(parse).unwrap_or_default()
}

/// Makes a small call; `None` where no whole answer comes soon.
pub async fn get(addr: SocketAddr, target: &str) -> Option<String> {
    let asking = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let req = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(req.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    timeout(SHORT, asking).await.ok().flatten()
}
