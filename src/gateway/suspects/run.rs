//! Runs at engines and the permits of suspects; both end when they are dropped.

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

/// The permit to run a suspect; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(super) suspects: Arc<Suspects>,
    pub(super) content: Fingerprint,
    pub(super) engine: Arc<str>,
    pub(super) peer: Option<SocketAddr>,
    /// Start in which the engine was when the permit was given.
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

/// One run at an engine. Dropping it, as when the caller goes away, says nothing of the content.
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
    /// Ends a run whose answer is whole; its content is no suspect any more.
    pub(crate) fn complete(self) {
        lock(&self.suspects.table).clear(now(), self.content);
    }

    /// Ends a run whose connection broke after the request may have been sent.
    pub(crate) async fn fail(self) {
        if let Some(start) = self.permit.as_ref().map(|p| p.start) {
            return self.resolve_isolated(start).await;
        }
        self.suspects.mark_suspects(&self.engine);
        self.suspects.broadcast();
    }

    /// Decides on a suspect that ran alone; it keeps its permit until then, so that it runs nowhere else.
    async fn resolve_isolated(self, before: u64) {
        let crash = crash_id(&self.engine, before);
        let probe = self.suspects.probe(&self.engine, before).await;
        if matches!(probe, Probe::SameProcess | Probe::Unknown) {
            return;
        }
        let contents = lock(&self.suspects.running).contents_on(&self.engine.name);
        let standing =
            lock(&self.suspects.table).record_isolated_crash(now(), self.content, &contents, crash);
        let (engine, Fingerprint(content)) = (&self.engine.name, self.content);
        let standing = standing.as_str_name();
        spdlog::warn!("{engine} crashed while it ran suspect {content:016x} alone: {standing}");
        self.suspects.broadcast();
        if probe == Probe::Unreachable {
            tokio::spawn(self.suspects.clone().await_recovery(self.engine.clone(), before, crash));
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.suspects.running).finish(&self.engine.name, self.key);
        self.queue.record_run(now().saturating_sub(self.started_at), self.work);
    }
}
