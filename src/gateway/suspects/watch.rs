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

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// First and last pause between two looks at a broken engine, and how many there are: half a minute in all.
const FIRST_FOLLOW_UP: Duration = Duration::from_millis(50);
const LAST_FOLLOW_UP: Duration = Duration::from_secs(2);
const FOLLOW_UPS: u32 = 20;
/// Breaks of an engine of unknown start within this time count as one crash.
const UNKNOWN_START_MS: u64 = 5_000;

/// What became of a broken run's engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Probe {
    SameStart,
    OtherStart,
    Unreachable,
    Unknown,
}

impl Suspects {
    pub(super) fn start_of(&self, engine: &Seen) -> u64 {
        match self.placement.placer().health.start(engine.id) {
            0 => lock(&self.starts).get(&engine.id).copied().unwrap_or(0),
            start => start,
        }
    }

    /// Reads the start of an engine of which no report has come yet: without it a broken connection could not be
    /// told from a crash.
    pub(super) fn learn_start(self: &Arc<Self>, engine: &Seen) {
        if !engine.reports || self.start_of(engine) != 0 {
            return;
        }
        // The entry keeps the other runs of this engine from asking as well.
        if lock(&self.starts).insert(engine.id, 0).is_some() {
            return;
        }
        let (suspects, engine) = (self.clone(), engine.clone());
        tokio::spawn(async move { suspects.probe(&engine, 0).await });
    }

    /// Asks the engine whether it is still in the start that `before` names; 0 stands for an unknown one.
    pub(super) async fn probe(&self, engine: &Seen, before: u64) -> Probe {
        if !engine.reports {
            // A plain service has no load report; one that still takes connections has not crashed.
            let connects = self.connects(engine).await;
            return if connects { Probe::SameStart } else { Probe::Unreachable };
        }
        let client = EngineClient::new(self.client.clone(), engine.addr);
        let Ok(load) = client.load().await else { return Probe::Unreachable };
        lock(&self.starts).insert(engine.id, load.start);
        match before {
            0 => Probe::Unknown,
            start if start == load.start => Probe::SameStart,
            _ => Probe::OtherStart,
        }
    }

    /// Watches a broken engine until it answers. One that is still in its old start did not crash, and what was
    /// held against its requests is taken back.
    pub(super) async fn follow_up(self: Arc<Self>, engine: Seen, before: u64, crash: CrashId) {
        let mut pause = FIRST_FOLLOW_UP;
        for _ in 0..FOLLOW_UPS {
            match self.probe(&engine, before).await {
                Probe::SameStart => {
                    lock(&self.table).retract_crash(now(), crash);
                    return self.tell();
                }
                Probe::OtherStart | Probe::Unknown => return,
                Probe::Unreachable => tokio::time::sleep(pause).await,
            }
            pause = (pause * 2).min(LAST_FOLLOW_UP);
        }
    }

    async fn connects(&self, engine: &Seen) -> bool {
        let connect = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(engine.addr)).await;
        matches!(connect, Ok(Ok(_)))
    }
}

pub(super) fn crash_id(engine: &Seen, start: u64) -> CrashId {
    match start {
        0 => CrashId::new(&engine.name, &format!("about {}", wall_ms() / UNKNOWN_START_MS)),
        start => CrashId::new(&engine.name, &start.to_string()),
    }
}

/// An engine as a run saw it.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub(super) id: Id,
    pub(super) name: Arc<str>,
    pub(super) addr: SocketAddr,
    /// Whether it reports its load, as model engines do.
    pub(super) reports: bool,
}
