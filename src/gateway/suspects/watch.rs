//! Watches broken engines: which start an engine is in tells a crash from a broken connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::net::TcpStream;

use super::{Suspects, lock};
use crate::{
    catalog::Id,
    engine::EngineClient,
    suspect::CrashId,
    util::{now, wall_ms},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// First and last pause between two looks at a broken engine, and how many there are: half a minute in all.
const PROBE_BASE_DELAY: Duration = Duration::from_millis(50);
const PROBE_MAX_DELAY: Duration = Duration::from_secs(2);
const MAX_PROBES: u32 = 20;
/// Breaks of an engine of unknown start within this time count as one crash.
const UNKNOWN_START_WINDOW_MS: u64 = 5_000;

/// What became of a broken run's engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Probe {
    SameProcess,
    Restarted,
    Unreachable,
    Unknown,
}

impl Suspects {
    pub(super) fn known_start(&self, engine: &EngineInfo) -> u64 {
        match self.placement.placer().health.start(engine.id) {
            0 => lock(&self.engine_starts).get(&engine.id).copied().unwrap_or(0),
            start => start,
        }
    }

    /// Reads the start of an engine of which no report has come yet: without it a broken connection could not be
    /// told from a crash.
    pub(super) fn fetch_start(self: &Arc<Self>, engine: &EngineInfo) {
        if !engine.reports_load || self.known_start(engine) != 0 {
            return;
        }
        // The entry keeps the other runs of this engine from asking as well.
        if lock(&self.engine_starts).insert(engine.id, 0).is_some() {
            return;
        }
        let (suspects, engine) = (self.clone(), engine.clone());
        tokio::spawn(async move { suspects.probe(&engine, 0).await });
    }

    /// Asks the engine whether it is still in the start that `before` names; 0 stands for an unknown one.
    pub(super) async fn probe(&self, engine: &EngineInfo, before: u64) -> Probe {
        if !engine.reports_load {
            // A plain service has no load report; one that still takes connections has not crashed.
            let accepts_connections = self.accepts_connections(engine).await;
            return if accepts_connections { Probe::SameProcess } else { Probe::Unreachable };
        }
        let client = EngineClient::new(self.client.clone(), engine.addr);
        let Ok(load) = client.load().await else { return Probe::Unreachable };
        lock(&self.engine_starts).insert(engine.id, load.start);
        match before {
            0 => Probe::Unknown,
            start if start == load.start => Probe::SameProcess,
            _ => Probe::Restarted,
        }
    }

    /// Watches a broken engine until it answers. One that is still in its old start did not crash, and what was
    /// held against its requests is taken back.
    pub(super) async fn await_recovery(self: Arc<Self>, engine: EngineInfo, before: u64, crash: CrashId) {
        let mut delay = PROBE_BASE_DELAY;
        for _ in 0..MAX_PROBES {
            match self.probe(&engine, before).await {
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

    async fn accepts_connections(&self, engine: &EngineInfo) -> bool {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(engine.addr)).await;
        matches!(connect, Ok(Ok(_)))
    }
}

pub(super) fn crash_id(engine: &EngineInfo, start: u64) -> CrashId {
    match start {
        0 => CrashId::new(&engine.name, &format!("about {}", wall_ms() / UNKNOWN_START_WINDOW_MS)),
        start => CrashId::new(&engine.name, &start.to_string()),
    }
}

/// An engine as a run saw it.
#[derive(Clone, Debug)]
pub(super) struct EngineInfo {
    pub(super) id: Id,
    pub(super) name: Arc<str>,
    pub(super) addr: SocketAddr,
    /// Whether it reports its load, as model engines do.
    pub(super) reports_load: bool,
}
