//! Guards engines against requests that crash them: watches runs, judges broken ones, asks for permits and
//! tells the other routers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::net::TcpStream;

use super::{admit::Queue, ask::Ask, lock, place::Placement};
use crate::{
    admit::Work,
    catalog::{Engine, Id},
    client::Client,
    engine::EngineClient,
    error::{Fault, Kind},
    link::Links,
    place::members::Member,
    schema::{
        link::frame::Body,
        suspect::{Digest, Permit as Wanted, PermitAnswer, Release},
    },
    suspect::{self, CrashId, EngineTag, Fingerprint, Permits, Running, Standing, Table, Verdict},
    util::{Instant, Map, now, wall_ms},
};

const PERMIT_TIMEOUT: Duration = Duration::from_millis(250);
const TELL_TIMEOUT: Duration = Duration::from_secs(2);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// First and last pause between two looks at a broken engine, and how many there are: half a minute in all.
const FIRST_FOLLOW_UP: Duration = Duration::from_millis(50);
const LAST_FOLLOW_UP: Duration = Duration::from_secs(2);
const FOLLOW_UPS: u32 = 20;
/// Added to a request's deadline: a permit outlives the run it is for, unless its holder has died.
const PERMIT_MARGIN: Duration = Duration::from_secs(10);
/// Routers that are asked for a permit, should the first not answer.
const MOST_ARBITERS: usize = 2;
/// Bytes of one message of news: all that one router runs on an engine, at most 200 contents or so.
const NEWS: usize = 4096;
/// Breaks of an engine of unknown start within this time count as one crash.
const UNKNOWN_START_MS: u64 = 5_000;

/// What one router knows and does about crashing requests.
#[derive(Debug)]
pub(crate) struct Suspects {
    region: Arc<str>,
    placement: Arc<Placement>,
    client: Client,
    table: Mutex<Table>,
    running: Mutex<Running>,
    permits: Mutex<Permits>,
    starts: Mutex<Map<Id, u64>>,
}

/// What became of a broken run's engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    SameStart,
    OtherStart,
    Unreachable,
    Unknown,
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
            starts: Mutex::default(),
        }
    }

    pub(crate) fn standing(&self, content: Fingerprint) -> Standing {
        lock(&self.table).standing(now(), content)
    }

    /// The answer for a quarantined content.
    pub(crate) fn refuse(&self, content: Fingerprint) -> Fault {
        let provisional = lock(&self.table).is_provisional(now(), content);
        let kind = if provisional { Kind::SuspectBusy } else { Kind::Quarantined };
        Fault::new(kind, kind.answer().about)
    }

    /// Engines on which a suspect should not run, since they broke lately.
    pub(crate) fn unsteady(&self, engines: impl IntoIterator<Item = (Id, Arc<str>)>) -> Vec<Id> {
        let unsteady = lock(&self.table).unsteady(now());
        let listed = |name: &str| unsteady.contains(&EngineTag::new(name));
        engines.into_iter().filter(|(_, name)| listed(name)).map(|(id, _)| id).collect()
    }

    /// Notes a run that starts.
    pub(crate) fn start(
        self: &Arc<Self>,
        engine: &Engine,
        ask: &Ask,
        queue: &Arc<Queue>,
        permit: Option<Permit>,
    ) -> Run {
        let seen = Seen { id: engine.id, name: engine.name.clone(), addr: engine.addr, reports: ask.is_chat };
        self.learn_start(&seen);
        let key = lock(&self.running).start(&engine.name, ask.content);
        Run {
            suspects: self.clone(),
            queue: queue.clone(),
            engine: seen,
            content: ask.content,
            key,
            permit,
            began: now(),
            work: u32::try_from(ask.work).unwrap_or(u32::MAX),
        }
    }

    /// Asks for the permit to run a suspect on an engine.
    ///
    /// A router that can't be reached is passed by once. Two routers may then both give permits until the
    /// member lists agree; that can cost one engine more, while waiting would leave innocents unanswered.
    pub(crate) async fn permit(self: &Arc<Self>, ask: &Ask, engine: &Engine) -> Result<Permit, Verdict> {
        let hold = ask.deadline.saturating_sub(now()) + PERMIT_MARGIN;
        for arbiter in self.arbiters().into_iter().take(MOST_ARBITERS) {
            let peer = arbiter.map(|m| m.peer);
            let verdict = match peer {
                None => Some(self.decide(ask.content, &engine.name, hold)),
                Some(peer) => self.ask(peer, ask.content, &engine.name, hold).await,
            };
            match verdict {
                Some(Verdict::Granted) => return Ok(self.hold(ask.content, engine, peer).await),
                Some(verdict) => return Err(verdict),
                None => {}
            }
        }
        Err(Verdict::ContentRunning)
    }

    /// Notes the engine's start as well: the verdict on the suspect rests on whether it has changed.
    async fn hold(
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

    /// Routers of the region in the order in which they are asked; `None` stands for this one.
    fn arbiters(&self) -> Vec<Option<Member>> {
        let placer = self.placement.placer();
        let me = placer.me();
        let list = placer.members().list().iter();
        let mut peers: Vec<_> =
            list.filter(|m| m.region == self.region && m.id != me).cloned().map(Some).collect();
        peers.push(None);
        suspect::order(&mut peers, |m| m.as_ref().map_or(me.0, |m| m.id.0));
        peers
    }

    fn decide(&self, content: Fingerprint, engine: &str, hold: Duration) -> Verdict {
        match self.standing(content) {
            Standing::Quarantined => Verdict::ContentQuarantined,
            _ => lock(&self.permits).ask(now(), content, engine, hold),
        }
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        content: Fingerprint,
        engine: &str,
        hold: Duration,
    ) -> Option<Verdict> {
        let hold_ms = u32::try_from(hold.as_millis()).unwrap_or(u32::MAX);
        let wanted = Wanted { fingerprint: content.0, engine: engine.to_owned(), hold_ms };
        match self.links().call(peer, Body::Permit(wanted), PERMIT_TIMEOUT).await {
            Ok(Body::PermitAnswer(answer)) => Some(answer.verdict()),
            _ => None,
        }
    }

    /// Answers another router's request for a permit.
    pub(crate) fn serve_permit(&self, wanted: &Wanted) -> PermitAnswer {
        let hold = Duration::from_millis(wanted.hold_ms.into());
        let verdict = self.decide(Fingerprint(wanted.fingerprint), &wanted.engine, hold);
        PermitAnswer { verdict: verdict as i32 }
    }

    /// Takes a permit back that another router held.
    pub(crate) fn serve_release(&self, msg: &Release) {
        lock(&self.permits).release(Fingerprint(msg.fingerprint), &msg.engine);
    }

    /// Takes in what another router told.
    pub(crate) fn note(&self, digest: &Digest) {
        lock(&self.table).merge(now(), digest);
    }

    /// Part of the table for gossip, in at most `bytes` of postcard.
    pub(crate) fn digest(&self, bytes: usize) -> Digest {
        lock(&self.table).digest(now(), bytes)
    }

    fn links(&self) -> &Links {
        self.placement.links()
    }

    /// Tells the other routers of the region at once: the caller of a crashing request may send it to another
    /// router within milliseconds, and gossip takes a second.
    fn tell(self: &Arc<Self>) {
        let digest = lock(&self.table).news(now(), NEWS);
        if digest.entries.is_empty() {
            return;
        }
        for peer in self.arbiters().into_iter().flatten() {
            let (suspects, digest) = (self.clone(), digest.clone());
            tokio::spawn(async move {
                let _ = suspects.links().call(peer.peer, Body::Suspects(digest), TELL_TIMEOUT).await;
            });
        }
    }

    /// Makes all that this router runs on an engine suspects.
    ///
    /// Before the engine has been asked whether it crashed: the retries of what broke start now, and a crash
    /// that shows a second later would find them on other engines.
    fn accuse(self: &Arc<Self>, engine: &Seen) {
        let before = self.start_of(engine);
        let crash = crash_id(engine, before);
        let contents = lock(&self.running).at(&engine.name);
        if lock(&self.table).accuse(now(), &contents, crash) {
            let (name, n) = (&engine.name, contents.len());
            spdlog::warn!("connection to {name} broke; {n} requests are suspects of a crash");
            tokio::spawn(self.clone().follow_up(engine.clone(), before, crash));
        }
    }

    fn start_of(&self, engine: &Seen) -> u64 {
        match self.placement.placer().health.start(engine.id) {
            0 => lock(&self.starts).get(&engine.id).copied().unwrap_or(0),
            start => start,
        }
    }

    /// Reads the start of an engine of which no report has come yet: without it a broken connection could not be
    /// told from a crash.
    fn learn_start(self: &Arc<Self>, engine: &Seen) {
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
    async fn probe(&self, engine: &Seen, before: u64) -> Probe {
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
    async fn follow_up(self: Arc<Self>, engine: Seen, before: u64, crash: CrashId) {
        let mut pause = FIRST_FOLLOW_UP;
        for _ in 0..FOLLOW_UPS {
            match self.probe(&engine, before).await {
                Probe::SameStart => {
                    lock(&self.table).withdraw(now(), crash);
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

fn crash_id(engine: &Seen, start: u64) -> CrashId {
    match start {
        0 => CrashId::new(&engine.name, &format!("about {}", wall_ms() / UNKNOWN_START_MS)),
        start => CrashId::new(&engine.name, &start.to_string()),
    }
}

#[derive(Clone, Debug)]
struct Seen {
    id: Id,
    name: Arc<str>,
    addr: SocketAddr,
    /// Whether it reports its load, as model engines do.
    reports: bool,
}

/// The permit to run a suspect; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct Permit {
    suspects: Arc<Suspects>,
    content: Fingerprint,
    engine: Arc<str>,
    peer: Option<SocketAddr>,
    start: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let release = Release { fingerprint: self.content.0, engine: self.engine.to_string() };
        let Some(peer) = self.peer else { return self.suspects.serve_release(&release) };
        let suspects = self.suspects.clone();
        tokio::spawn(async move {
            let _ = suspects.links().call(peer, Body::PermitRelease(release), TELL_TIMEOUT).await;
        });
    }
}

/// One run at an engine. Dropping it, as when the caller goes away, says nothing of the content.
#[derive(Debug)]
pub(crate) struct Run {
    suspects: Arc<Suspects>,
    queue: Arc<Queue>,
    engine: Seen,
    content: Fingerprint,
    key: suspect::Run,
    permit: Option<Permit>,
    began: Instant,
    work: Work,
}

impl Run {
    /// Ends a run whose answer is whole; its content is no suspect any more.
    pub(crate) fn complete(self) {
        lock(&self.suspects.table).clear(now(), self.content);
    }

    /// Ends a run whose connection broke after the request may have been sent.
    pub(crate) async fn broke(self) {
        if let Some(start) = self.permit.as_ref().map(|p| p.start) {
            return self.judge(start).await;
        }
        self.suspects.accuse(&self.engine);
        self.suspects.tell();
    }

    /// Decides on a suspect that ran alone; it keeps its permit until then, so that it runs nowhere else.
    async fn judge(self, before: u64) {
        let crash = crash_id(&self.engine, before);
        let probe = self.suspects.probe(&self.engine, before).await;
        if matches!(probe, Probe::SameStart | Probe::Unknown) {
            return;
        }
        let contents = lock(&self.suspects.running).at(&self.engine.name);
        let standing = lock(&self.suspects.table).judge(now(), self.content, &contents, crash);
        let (engine, Fingerprint(content)) = (&self.engine.name, self.content);
        let standing = standing.as_str_name();
        spdlog::warn!("{engine} crashed while it ran suspect {content:016x} alone: {standing}");
        self.suspects.tell();
        if probe == Probe::Unreachable {
            tokio::spawn(self.suspects.clone().follow_up(self.engine.clone(), before, crash));
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.suspects.running).finish(&self.engine.name, self.key);
        self.queue.note_end(now().saturating_sub(self.began), self.work);
    }
}
