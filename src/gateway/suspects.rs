//! Protects engines from requests that crash them: tracks runs, attributes crashes to contents, acquires permits for
//! suspects and notifies the other routers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{admit::Queue, lock, place::Placement, request::RequestInfo};
use crate::{
    catalog::{Engine, Id},
    client::Client,
    engine::EngineClient,
    error::{ErrorKind, RequestError},
    link::Links,
    place::members::Member,
    schema::{
        link::frame::Body,
        suspect::{Digest, Permit as PermitRequest, PermitAnswer, Release},
    },
    suspect::{self, EngineHash, Fingerprint, Permits, RunningContents, Standing, SuspectTable, Verdict},
    util::{Map, now},
};

mod run;
mod watch;

pub(crate) use run::{Permit, Run};
use watch::{EngineInfo, crash_id};

/// Timeout of a permit request to another router.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a digest or permit release sent to another router.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a request's deadline at which its permit expires. Longer than any run, so that only the permits of
/// crashed holders expire.
const PERMIT_MARGIN: Duration = Duration::from_secs(10);
/// Maximum number of arbiters that are tried, in order of preference, until one answers.
const MAX_ARBITERS_TRIED: usize = 2;
/// Maximum size of a digest sent after a crash: enough for all contents that one router runs on an engine, at most
/// about 200.
const MAX_DIGEST_BYTES: usize = 4096;

/// Suspect contents, runs and permits of one router.
#[derive(Debug)]
pub(crate) struct Suspects {
    region: Arc<str>,
    placement: Arc<Placement>,
    client: Client,
    table: Mutex<SuspectTable>,
    running: Mutex<RunningContents>,
    permits: Mutex<Permits>,
    /// Start numbers read from engines that no probe has reported on yet; 0 while one is being read.
    engine_starts: Mutex<Map<Id, u64>>,
}

impl Suspects {
    pub(crate) fn new(region: Arc<str>, placement: Arc<Placement>, client: Client) -> Self {
        Self {
            region,
            placement,
            client,
            table: Mutex::default(),
            running: Mutex::default(),
            permits: Mutex::default(),
            engine_starts: Mutex::default(),
        }
    }

    /// Standing of a content: cleared, suspect or quarantined.
    pub(crate) fn standing(&self, content: Fingerprint) -> Standing {
        lock(&self.table).standing(now(), content)
    }

    /// Error for a request with quarantined content.
    pub(crate) fn quarantine_error(&self, content: Fingerprint) -> RequestError {
        let provisional = lock(&self.table).is_provisional(now(), content);
        let kind = if provisional { ErrorKind::SuspectBusy } else { ErrorKind::Quarantined };
        RequestError::new(kind, kind.answer().about)
    }

    /// Those of `engines` that recently crashed without a known cause, on which suspects should not run.
    pub(crate) fn unstable_engines(&self, engines: impl IntoIterator<Item = (Id, Arc<str>)>) -> Vec<Id> {
        let unstable = lock(&self.table).unstable_engines(now());
        let is_unstable = |name: &str| unstable.contains(&EngineHash::new(name));
        engines.into_iter().filter(|(_, name)| is_unstable(name)).map(|(id, _)| id).collect()
    }

    /// Records the start of a run.
    pub(crate) fn start_run(
        self: &Arc<Self>,
        engine: &Engine,
        info: &RequestInfo,
        queue: &Arc<Queue>,
        permit: Option<Permit>,
    ) -> Run {
        let engine_info = EngineInfo {
            id: engine.id,
            name: engine.name.clone(),
            addr: engine.addr,
            reports_load: info.is_chat,
        };
        self.fetch_start(&engine_info);
        let key = lock(&self.running).start(&engine.name, info.content);
        Run {
            suspects: self.clone(),
            queue: queue.clone(),
            engine: engine_info,
            content: info.content,
            key,
            permit,
            started_at: now(),
            work: u32::try_from(info.work).unwrap_or(u32::MAX),
        }
    }

    /// Acquires a permit to run a suspect on an engine.
    ///
    /// If the first arbiter is unreachable, the next one decides. Two routers may then both grant permits until the
    /// member lists converge. That can cost one more engine, while waiting would leave harmless requests unanswered.
    pub(crate) async fn acquire_permit(
        self: &Arc<Self>,
        info: &RequestInfo,
        engine: &Engine,
    ) -> Result<Permit, Verdict> {
        let hold = info.deadline.saturating_sub(now()) + PERMIT_MARGIN;
        for arbiter in self.arbiters().into_iter().take(MAX_ARBITERS_TRIED) {
            let peer = arbiter.map(|m| m.peer);
            let verdict = match peer {
                None => Some(self.decide(info.content, &engine.name, hold)),
                Some(peer) => self.request_permit(peer, info.content, &engine.name, hold).await,
            };
            match verdict {
                Some(Verdict::Granted) => return Ok(self.granted_permit(info.content, engine, peer).await),
                Some(verdict) => return Err(verdict),
                None => {}
            }
        }
        Err(Verdict::ContentRunning)
    }

    /// Creates the permit with the engine's current start number: a changed number after the run shows that the engine
    /// crashed.
    async fn granted_permit(
        self: &Arc<Self>,
        content: Fingerprint,
        engine: &Engine,
        peer: Option<SocketAddr>,
    ) -> Permit {
        let suspects = self.clone();
        let mut permit = Permit { suspects, content, engine: engine.name.clone(), peer, start: 0 };
        let load = EngineClient::new(self.client.clone(), engine.addr).load().await;
        permit.start = load.map_or(0, |load| load.start);
        permit
    }

    /// Routers of the region in their order of preference as arbiter; `None` is this router.
    fn arbiters(&self) -> Vec<Option<Member>> {
        let placer = self.placement.placer();
        let me = placer.me();
        let list = placer.members().list().iter();
        let mut peers: Vec<_> =
            list.filter(|m| m.region == self.region && m.id != me).cloned().map(Some).collect();
        peers.push(None);
        suspect::sort_arbiters(&mut peers, |m| m.as_ref().map_or(me.0, |m| m.id.0));
        peers
    }

    /// Decides on a permit request as arbiter.
    fn decide(&self, content: Fingerprint, engine: &str, hold: Duration) -> Verdict {
        match self.standing(content) {
            Standing::Quarantined => Verdict::ContentQuarantined,
            _ => lock(&self.permits).acquire(now(), content, engine, hold),
        }
    }

    /// Requests a permit from another router; `None` if it does not answer.
    async fn request_permit(
        &self,
        peer: SocketAddr,
        content: Fingerprint,
        engine: &str,
        hold: Duration,
    ) -> Option<Verdict> {
        let hold_ms = u32::try_from(hold.as_millis()).unwrap_or(u32::MAX);
        let req = PermitRequest { fingerprint: content.0, engine: engine.to_owned(), hold_ms };
        match self.links().call(peer, Body::Permit(req), PERMIT_TIMEOUT).await {
            Ok(Body::PermitAnswer(answer)) => Some(answer.verdict()),
            _ => None,
        }
    }

    /// Answers another router's permit request.
    pub(crate) fn serve_permit(&self, req: &PermitRequest) -> PermitAnswer {
        let hold = Duration::from_millis(req.hold_ms.into());
        let verdict = self.decide(Fingerprint(req.fingerprint), &req.engine, hold);
        PermitAnswer { verdict: verdict as i32 }
    }

    /// Releases a permit that this router granted.
    pub(crate) fn serve_release(&self, msg: &Release) {
        lock(&self.permits).release(Fingerprint(msg.fingerprint), &msg.engine);
    }

    /// Merges another router's digest.
    pub(crate) fn merge(&self, digest: &Digest) {
        lock(&self.table).merge(now(), digest);
    }

    /// Digest of the table for gossip, at most `bytes` in postcard encoding.
    pub(crate) fn digest(&self, bytes: usize) -> Digest {
        lock(&self.table).digest(now(), bytes)
    }

    fn links(&self) -> &Links {
        self.placement.links()
    }

    /// Sends changes of the table to all other routers of the region at once. The caller of a crashing request may
    /// retry it at another router within milliseconds, while gossip takes a second.
    fn broadcast(self: &Arc<Self>) {
        let digest = lock(&self.table).unsent(now(), MAX_DIGEST_BYTES);
        if digest.entries.is_empty() {
            return;
        }
        for peer in self.arbiters().into_iter().flatten() {
            let (suspects, digest) = (self.clone(), digest.clone());
            tokio::spawn(async move {
                let _ = suspects.links().call(peer.peer, Body::Suspects(digest), NOTIFY_TIMEOUT).await;
            });
        }
    }

    /// Marks all contents that this router runs on an engine as suspects.
    ///
    /// This does not wait until a probe shows whether the engine crashed. The failed requests are retried at once, so
    /// a second later they would already run on other engines.
    fn mark_suspects(self: &Arc<Self>, engine: &EngineInfo) {
        let old_start = self.known_start(engine);
        let crash = crash_id(engine, old_start);
        let contents = lock(&self.running).contents_on(&engine.name);
        if lock(&self.table).mark_suspects(now(), &contents, crash) {
            let (name, n) = (&engine.name, contents.len());
            spdlog::warn!("connection to {name} failed; {n} requests are suspected of crashing it");
            tokio::spawn(self.clone().await_recovery(engine.clone(), old_start, crash));
        }
    }
}
