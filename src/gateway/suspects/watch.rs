//! Probes of engines after a failed connection: a changed start number distinguishes a crash from a mere connection
//! failure.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::net::TcpStream;

use super::{Suspects, lock};
use crate::{
    catalog::Id,
    engine::EngineClient,
    suspect::CrashId,
    util::{now, wall_ms},
};

/// Timeout of a connection that probes a plain service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after the first probe of an unreachable engine; doubles up to [`PROBE_MAX_DELAY`].
const PROBE_BASE_DELAY: Duration = Duration::from_millis(50);
const PROBE_MAX_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of probes of an unreachable engine: half a minute in all.
const MAX_PROBES: u32 = 20;
/// Failures of an engine with an unknown start number within this time count as one crash.
const UNKNOWN_START_WINDOW_MS: u64 = 5_000;

/// Result of probing an engine after a run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Probe {
    SameProcess,
    Restarted,
    Unreachable,
    Unknown,
}

impl Suspects {
    /// Start number of an engine's process, as last reported; 0 if unknown.
    pub(super) fn known_start(&self, engine: &EngineInfo) -> u64 {
        match self.placement.placer().health.start(engine.id) {
            0 => lock(&self.engine_starts).get(&engine.id).copied().unwrap_or(0),
            start => start,
        }
    }

    /// Fetches the start number of an engine that has not been probed yet, in the background. Without it, a connection
    /// failure could not be distinguished from a crash.
    pub(super) fn fetch_start(self: &Arc<Self>, engine: &EngineInfo) {
        if !engine.reports_load || self.known_start(engine) != 0 {
            return;
        }
        // The entry keeps other runs on this engine from fetching it as well.
        if lock(&self.engine_starts).insert(engine.id, 0).is_some() {
            return;
        }
        let (suspects, engine) = (self.clone(), engine.clone());
        tokio::spawn(async move { suspects.probe(&engine, 0).await });
    }

    /// Probes whether an engine still has the start number `old_start`; 0 if that is unknown.
    pub(super) async fn probe(&self, engine: &EngineInfo, old_start: u64) -> Probe {
        if !engine.reports_load {
            // A plain service has no load report. If it still accepts connections, it has not crashed.
            let accepts_connections = self.accepts_connections(engine).await;
            return if accepts_connections { Probe::SameProcess } else { Probe::Unreachable };
        }
        let client = EngineClient::new(self.client.clone(), engine.addr);
        let Ok(load) = client.load().await else { return Probe::Unreachable };
        lock(&self.engine_starts).insert(engine.id, load.start);
        match old_start {
            0 => Probe::Unknown,
            start if start == load.start => Probe::SameProcess,
            _ => Probe::Restarted,
        }
    }

    /// Probes an engine until it answers again. If its start number is unchanged it did not crash, and the crash is
    /// retracted.
    pub(super) async fn await_recovery(self: Arc<Self>, engine: EngineInfo, old_start: u64, crash: CrashId) {
        let mut delay = PROBE_BASE_DELAY;
        for _ in 0..MAX_PROBES {
            match self.probe(&engine, old_start).await {
                Probe::SameProcess => {
                    lock(&self.table).retract_crash(now(), crash);
                    return self.broadcast();
                }
                Probe::Restarted | Probe::Unknown => return,
                Probe::Unreachable => tokio::time::sleep(delay).await,
            }
            delay = (delay * 2).min(PROBE_MAX_DELAY);
        }
    }

    /// Whether an engine accepts TCP connections.
    async fn accepts_connections(&self, engine: &EngineInfo) -> bool {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(engine.addr)).await;
        matches!(connect, Ok(Ok(_)))
    }
}

/// Identifies the crash of an engine's process; for an unknown start number, by the time.
pub(super) fn crash_id(engine: &EngineInfo, start: u64) -> CrashId {
    match start {
        0 => CrashId::new(&engine.name, &format!("about {}", wall_ms() / UNKNOWN_START_WINDOW_MS)),
        start => CrashId::new(&engine.name, &start.to_string()),
    }
}

/// Engine of a run, as configured when the run started.
#[derive(Clone, Debug)]
pub(super) struct EngineInfo {
    pub(super) id: Id,
    pub(super) name: Arc<str>,
    pub(super) addr: SocketAddr,
    /// Whether the engine reports its load: model engines do, plain services don't.
    pub(super) reports_load: bool,
}
