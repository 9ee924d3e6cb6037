//! Guards engines against requests that crash them: watches runs, judges broken ones, asks for permits and
//! tells the other routers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{admit::Queue, ask::Ask, lock, place::Placement};
use crate::{
    catalog::{Engine, Id},
    client::Client,
    engine::EngineClient,
    error::{ErrorKind, RequestError},
    link::Links,
    place::members::Member,
    schema::{
        link::frame::Body,
        suspect::{Digest, Permit as Wanted, PermitAnswer, Release},
    },
    suspect::{self, EngineHash, Fingerprint, Permits, RunningContents, Standing, SuspectTable, Verdict},
    util::{Map, now},
};

mod run;
mod watch;

pub(crate) use run::{Permit, Run};
use watch::{Seen, crash_id};

const PERMIT_TIMEOUT: Duration = Duration::from_millis(250);
const TELL_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to a request's deadline: a permit outlives the run it is for, unless its holder has died.
const PERMIT_MARGIN: Duration = Duration::from_secs(10);
/// Routers that are asked for a permit, should the first not answer.
const MOST_ARBITERS: usize = 2;
/// Bytes of one message of news: all that one router runs on an engine, at most 200 contents or so.
const NEWS: usize = 4096;

/// What one router knows and does about crashing requests.
#[derive(Debug)]
pub(crate) struct Suspects {
    region: Arc<str>,
    placement: Arc<Placement>,
    client: Client,
    table: Mutex<SuspectTable>,
    running: Mutex<RunningContents>,
    permits: Mutex<Permits>,
    starts: Mutex<Map<Id, u64>>,
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
    pub(crate) fn refuse(&self, content: Fingerprint) -> RequestError {
        let provisional = lock(&self.table).is_provisional(now(), content);
        let kind = if provisional { ErrorKind::SuspectBusy } else { ErrorKind::Quarantined };
        RequestError::new(kind, kind.answer().about)
    }

    /// Engines on which a suspect should not run, since they broke lately.
    pub(crate) fn unsteady(&self, engines: impl IntoIterator<Item = (Id, Arc<str>)>) -> Vec<Id> {
        let unsteady = lock(&self.table).unstable_engines(now());
        let listed = |name: &str| unsteady.contains(&EngineHash::new(name));
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
        suspect::sort_arbiters(&mut peers, |m| m.as_ref().map_or(me.0, |m| m.id.0));
        peers
    }

    fn decide(&self, content: Fingerprint, engine: &str, hold: Duration) -> Verdict {
        match self.standing(content) {
            Standing::Quarantined => Verdict::ContentQuarantined,
            _ => lock(&self.permits).acquire(now(), content, engine, hold),
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
        let digest = lock(&self.table).unsent(now(), NEWS);
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
        let contents = lock(&self.running).contents_on(&engine.name);
        if lock(&self.table).mark_suspects(now(), &contents, crash) {
            let (name, n) = (&engine.name, contents.len());
            spdlog::warn!("connection to {name} broke; {n} requests are suspects of a crash");
            tokio::spawn(self.clone().follow_up(engine.clone(), before, crash));
        }
    }
}
