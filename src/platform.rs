//! Adapter to the users' platform: translates settings, requests, backend servers' answers and the store's objects to and
//! from the product's types, without any decisions of its own. The names of the platform's interfaces occur only here.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::{
    net::UdpSocket,
    signal::unix::{Signal, SignalKind, signal},
};

use crate::{
    logs::lines::{self, Level, line},
    relay::{
        Relay, follow,
        inbound::{self, auxiliary},
        mesh,
    },
};

mod names;
pub mod settings;
pub mod store;
mod wire;

use settings::Settings;
use store::StoreClient;
pub use wire::PlatformWire;

/// Time for which callers may cache an answer with addresses, in seconds: short enough that they leave a host within
/// seconds, long enough that resolving costs little. Some callers cache it three times as long.
const RESOLVE_TTL_S: f64 = 1.0;
/// Port of the metrics endpoint, as declared in deploy/system.toml.
const METRICS_PORT: u16 = 9464;
const METRICS_PATH: &str = "/metrics";
/// Time for the log writer's thread to write the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(25);

/// Serves on the platform with the settings file at `path` until a signal stops it.
///
/// # Errors
/// If the settings can't be read or an address can't be bound.
pub async fn serve(path: &Path) -> Result<()> {
    // First of all: without a handler, a signal during startup would end the process.
    let signals = Signals::listen()?;
    let settings = Settings::load(path)?;
    lines::start_stdout(lines::DEFAULT_BYTES_PER_SECOND)?;
    lines::set_host(&settings.name);
    line(Level::Notable, "start", |l| {
        let l = l.text("version", env!("CARGO_PKG_VERSION"));
        l.text("data_centre", &settings.data_centre).text("callers", &settings.callers.to_string())
    });
    let relay = Arc::new(Relay::new(settings.relay(), PlatformWire)?);
    start_tasks(&settings, &relay).await?;
    wait_for_stop(signals, &settings, path, &relay).await
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> Result<Self> {
        let listen = |kind| signal(kind).context("could not install a signal handler");
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }
}

async fn start_tasks(settings: &Settings, relay: &Arc<Relay<PlatformWire>>) -> Result<()> {
    let peer_addr = settings.peers;
    let socket = UdpSocket::bind(peer_addr).await.with_context(|| format!("could not bind {peer_addr}"))?;
    tokio::spawn(inbound::accept(relay.clone(), inbound::listen(settings.callers).await?));
    tokio::spawn(auxiliary::serve(relay.clone(), inbound::listen(settings.ready).await?, auxiliary_response));
    let metrics = SocketAddr::new(settings.callers.ip(), METRICS_PORT);
    tokio::spawn(auxiliary::serve(relay.clone(), inbound::listen(metrics).await?, auxiliary_response));
    if let Some(directory) = settings.directory {
        tokio::spawn(auxiliary::serve(relay.clone(), inbound::listen(directory).await?, auxiliary_response));
    }
    tokio::spawn(mesh::serve_fetches(relay.clone(), inbound::listen(peer_addr).await?));
    mesh::start_tasks(relay, Arc::new(socket));
    let client = StoreClient::new(settings.store);
    follow::start_tasks(relay, || client.sibling());
    Ok(())
}

async fn wait_for_stop(
    mut signals: Signals,
    settings: &Settings,
    path: &Path,
    relay: &Arc<Relay<PlatformWire>>,
) -> Result<()> {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(settings, path),
        }
    }
    let all_closed = relay.shut_down().await;
    line(Level::Notable, "stop", |l| l.flag("all_closed", all_closed));
    tokio::time::sleep(LOG_FLUSH_TIME).await;
    Ok(())
}

/// Reads the settings again and logs whether they changed. Only the seeds may change at run time, and peers report those too.
fn reload(old: &Settings, path: &Path) {
    match Settings::load(path) {
        Ok(new) => line(Level::Notable, "reload", |l| l.flag("changed", new != *old)),
        Err(e) => line(Level::Notable, "reload_failed", |l| l.text("why", &format!("{e:#}"))),
    }
}

/// Answer to a request for addresses.
#[derive(Serialize)]
struct Resolved {
    /// Addresses that serve callers.
    addresses: Vec<String>,
    /// Seconds for which the answer may be cached.
    #[serde(rename = "ttlS")]
    ttl_s: f64,
}

fn auxiliary_response(relay: &Relay<PlatformWire>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    match req.uri().path() {
        names::READY_PATH if relay.is_ready() => status(StatusCode::OK),
        names::READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
        names::RESOLVE_PATH => resolve(relay),
        METRICS_PATH => metrics(relay),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn resolve(relay: &Relay<PlatformWire>) -> Response<Full<Bytes>> {
    let addresses = relay.addresses(names::MAX_ADDRESSES);
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = serde_json::to_vec(&Resolved { addresses, ttl_s: RESOLVE_TTL_S }).unwrap_or_default();
    let mut res = Response::new(Full::new(body.into()));
    res.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    res
}

fn metrics(relay: &Relay<PlatformWire>) -> Response<Full<Bytes>> {
    match relay.metrics().text() {
        Ok(text) => Response::new(Full::new(text.into())),
        Err(e) => {
            line(Level::Notable, "metrics_failed", |l| l.text("why", &format!("{e:#}")));
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
