//! Guards for runs on engines and for permits of suspects; dropping a guard ends the run or releases the permit.

use std::{net::SocketAddr, sync::Arc};

use super::{
    NOTIFY_TIMEOUT, Queue, Suspects, lock,
    watch::{EngineInfo, Probe, crash_id},
};
use crate::{
    admit::Work,
    schema::{link::frame::Body, suspect::Release},
    suspect::{self, Fingerprint},
    util::{Instant, now},
};

/// Permit to run a suspect; dropping it releases it.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(super) suspects: Arc<Suspects>,
    pub(super) content: Fingerprint,
    pub(super) engine: Arc<str>,
    /// Arbiter that granted the permit; `None` for this router.
    pub(super) peer: Option<SocketAddr>,
    /// Start number of the engine's process when the permit was granted; 0 if unknown.
    pub(super) start: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let release = Release { fingerprint: self.content.0, engine: self.engine.to_string() };
        let Some(peer) = self.peer else { return self.suspects.serve_release(&release) };
        let suspects = self.suspects.clone();
        tokio::spawn(async move {
            let _ = suspects.links().call(peer, Body::PermitRelease(release), NOTIFY_TIMEOUT).await;
        });
    }
}

/// One run on an engine. Dropping it, for example when the caller disconnects, leaves the content's standing unchanged.
#[derive(Debug)]
pub(crate) struct Run {
    pub(super) suspects: Arc<Suspects>,
    pub(super) queue: Arc<Queue>,
    pub(super) engine: EngineInfo,
    pub(super) content: Fingerprint,
    pub(super) key: suspect::RunKey,
    pub(super) permit: Option<Permit>,
    pub(super) started_at: Instant,
    pub(super) work: Work,
}

impl Run {
    /// Ends a run that completed, and clears its content.
    pub(crate) fn complete(self) {
        lock(&self.suspects.table).clear(now(), self.content);
    }

    /// Ends a run whose connection failed after the request may have been sent.
    pub(crate) async fn fail(self) {
        if let Some(start) = self.permit.as_ref().map(|p| p.start) {
            return self.resolve_isolated(start).await;
        }
        self.suspects.mark_suspects(&self.engine);
        self.suspects.broadcast();
    }

    /// Decides whether a suspect that ran under a permit crashed its engine. Keeps the permit meanwhile, so that the
    /// suspect runs nowhere else.
    async fn resolve_isolated(self, old_start: u64) {
        let crash = crash_id(&self.engine, old_start);
        let probe = self.suspects.probe(&self.engine, old_start).await;
        if matches!(probe, Probe::SameProcess | Probe::Unknown) {
            return;
        }
        let contents = lock(&self.suspects.running).contents_on(&self.engine.name);
        let standing =
            lock(&self.suspects.table).record_isolated_crash(now(), self.content, &contents, crash);
        let (engine, Fingerprint(content)) = (&self.engine.name, self.content);
        let standing = standing.as_str_name();
        spdlog::warn!(
            "{engine} crashed while it ran {content:016x} as its only suspect; the content is now {standing}"
        );
        self.suspects.broadcast();
        if probe == Probe::Unreachable {
            tokio::spawn(self.suspects.clone().await_recovery(self.engine.clone(), old_start, crash));
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.suspects.running).finish(&self.engine.name, self.key);
        self.queue.record_run(now().saturating_sub(self.started_at), self.work);
    }
}
