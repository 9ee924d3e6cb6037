//! Claims on idempotency keys in a running router: finds who keeps a claim, asks it, and tells it what became of
//! the run.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use closed::Closed;
use desk::Desk;

use super::{lock, place::Placement};
use crate::{
    claim::{
        AttemptId, ClaimRequest, Clock, KeyDigest, Record, SHARD_COUNT, Verdict,
        attempt::{Finish, Release},
        messages::{Malformed, bytes16},
        ticket::{TicketKey, accepts_new_keys},
        ticket_claims::{Step, TicketClaims},
    },
    metrics::{Counter, Metrics},
    objects::Platform,
    schema::{
        claim::{ClaimAnswer, ClaimCall, ClaimFinish, ClaimRelease, Decision, KeyTicket, claim_call::Call},
        link::frame::Body,
    },
    util::{hash, now},
};

pub(super) mod call;
mod closed;
mod desk;

/// Longest wait for another router's verdict; longer than a book lets an ask wait.
const ASK_TIMEOUT: Duration = Duration::from_millis(1800);
/// Longest wait for a ticket's claim to be recorded before it is granted from memory.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);
const TELL_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a record or release is told again before it is left to read as unknown.
const TELL_TRIES: u32 = 8;
const TELL_PAUSE: Duration = Duration::from_millis(200);
/// How often messages that are still being told are counted before a planned stop.
const SETTLE_CHECK: Duration = Duration::from_millis(20);
/// Routers that are asked for one claim, should the first not answer.
const MOST_OWNERS: usize = 2;

/// Claims in one router.
#[derive(Debug)]
pub(crate) struct Claims {
    name: Arc<str>,
    start: u64,
    placement: Arc<Placement>,
    desks: Vec<Arc<Desk>>,
    local: Mutex<TicketClaims>,
    tickets: TicketKey,
    closed: Closed,
    /// Where other routers reach this one.
    pub(super) peer: OnceLock<SocketAddr>,
    /// Messages about records and releases that are still being told.
    telling: AtomicUsize,
    metrics: Arc<Metrics>,
}

/// Who decides on a key.
enum Keeper {
    /// This start of this router, by its ticket.
    Me(KeyTicket),
    /// Another router, or another start of this one, by its ticket.
    Other(KeyTicket),
    /// The owner of the key's shard.
    Shard,
}

impl Claims {
    pub(crate) fn new(
        name: Arc<str>,
        shared_key: &str,
        placement: Arc<Placement>,
        platform: &Platform,
        metrics: Arc<Metrics>,
    ) -> Self {
        let start = rand::random();
        let writer = format!("{name}-{start:016x}");
        let desks = (0..SHARD_COUNT).map(|shard| Desk::new(shard, &writer, platform.clone())).collect();
        let tickets = TicketKey::new(shared_key);
        let closed = Closed::new(platform.clone());
        let (local, telling) = (Mutex::default(), AtomicUsize::new(0));
        Self {
            name,
            start,
            placement,
            desks,
            local,
            tickets,
            closed,
            peer: OnceLock::new(),
            telling,
            metrics,
        }
    }

    /// Before a planned stop: has all records written, and hands the keys of this start's tickets over to their shards.
    pub(crate) async fn close(&self) {
        let clean = lock(&self.local).close();
        // What was granted is in the shards already; records may follow.
        if clean {
            self.closed.tell(&self.name, self.start).await;
        }
        while self.telling.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(SETTLE_CHECK).await;
        }
        for desk in &self.desks {
            desk.settle().await;
        }
    }

    /// A ticket under which a caller may make keys that this router alone runs.
    pub(crate) fn ticket(&self) -> String {
        let made_ms = now().as_millis() as u64;
        let peer = self.peer.get().map(SocketAddr::to_string).unwrap_or_default();
        self.tickets.sign(&KeyTicket { router: self.name.to_string(), start: self.start, made_ms, peer })
    }

    /// Asks for the right to run.
    pub(crate) async fn ask(self: &Arc<Self>, ask: ClaimRequest, key: &str) -> Verdict {
        let verdict = match self.keeper(key) {
            Keeper::Me(ticket) => self.decide(ask, &ticket).await,
            Keeper::Other(ticket) => self.ask_authority(ask, key, &ticket).await,
            Keeper::Shard => self.ask_owner(ask).await,
        };
        self.metrics.add(Counter::Claims, label(&verdict), 1);
        verdict
    }

    /// Tells those that keep the claim what became of a run, in the background.
    pub(crate) fn finish(self: &Arc<Self>, finish: Finish, key: &str) {
        let Finish { request, record } = finish;
        let call = Call::Finish(ClaimFinish {
            key: request.key.0.to_vec(),
            content: request.content.0.to_vec(),
            attempt: request.attempt.0.to_vec(),
            record: Some((&record).into()),
            ticket: self.ticket_text(key),
        });
        let owners = self.owners(request.key).into_iter().take(MOST_OWNERS).collect();
        tokio::spawn(self.clone().tell_first(owners, call.clone()));
        if let Some(authority) = self.authority(key) {
            tokio::spawn(self.clone().tell_first(vec![authority], call));
        }
    }

    /// Tells all that may keep the claim that an attempt has not run and never will, in the background.
    pub(crate) fn release(self: &Arc<Self>, release: Release, key: &str) {
        let call = Call::Release(ClaimRelease {
            key: release.key.0.to_vec(),
            content: Vec::new(),
            attempt: release.attempt.0.to_vec(),
            ticket: self.ticket_text(key),
        });
        let mut peers: Vec<_> = self.owners(release.key).into_iter().take(MOST_OWNERS).collect();
        peers.extend(self.authority(key));
        for peer in peers {
            tokio::spawn(self.clone().tell_first(vec![peer], call.clone()));
        }
    }

    /// Answers another router's call.
    pub(crate) async fn serve(self: &Arc<Self>, call: ClaimCall) -> ClaimAnswer {
        // The default answer is "unavailable": nothing was granted.
        self.served(call).await.unwrap_or_default()
    }

    async fn served(self: &Arc<Self>, call: ClaimCall) -> Result<ClaimAnswer, Malformed> {
        let noted = ClaimAnswer { decision: Decision::Noted.into(), record: None };
        match call.call.ok_or(Malformed)? {
            Call::Ask(msg) => {
                let ask = ClaimRequest::from_bytes(&msg.key, &msg.content, &msg.attempt, msg.look)?;
                let verdict = match self.keeper(&msg.ticket) {
                    Keeper::Me(ticket) => self.decide(ask, &ticket).await,
                    Keeper::Other(ticket) => self.decide_for_gone(ask, &ticket).await,
                    Keeper::Shard => self.desk(ask.key).ask(ask).await,
                };
                Ok((&verdict).into())
            }
            Call::Finish(msg) => {
                let ask = ClaimRequest::from_bytes(&msg.key, &msg.content, &msg.attempt, false)?;
                let record: Record = msg.record.ok_or(Malformed)?.try_into()?;
                let mine = matches!(self.keeper(&msg.ticket), Keeper::Me(_));
                if mine {
                    lock(&self.local).finish(ask.key, ask.attempt, record.clone());
                }
                // The record of a ticket's key goes to its shard's owner by a message of its own.
                if !mine || self.owners(ask.key)[0].is_none() {
                    self.desk(ask.key).finish(&ask, record, !msg.ticket.is_empty());
                }
                Ok(noted)
            }
            Call::Release(msg) => {
                let (key, attempt) = (KeyDigest(bytes16(&msg.key)?), AttemptId(bytes16(&msg.attempt)?));
                if matches!(self.keeper(&msg.ticket), Keeper::Me(_)) {
                    lock(&self.local).release(Clock::read(), key, attempt);
                }
                self.desk(key).release(key, attempt);
                Ok(noted)
            }
        }
    }

    fn keeper(&self, key: &str) -> Keeper {
        match self.tickets.verified_ticket(key) {
            Some(t) if *t.router == *self.name && t.start == self.start => Keeper::Me(t),
            Some(t) => Keeper::Other(t),
            None => Keeper::Shard,
        }
    }

    /// Decides on a key of this router's own ticket.
    ///
    /// No other router grants such a key, so that the platform need not be there: when the claim can't be recorded
    /// in time, as in an outage, it is granted from memory.
    async fn decide(&self, ask: ClaimRequest, ticket: &KeyTicket) -> Verdict {
        let step = {
            let mut local = lock(&self.local);
            local.evict_expired(Clock::read());
            local.request_claim(Clock::read(), &ask, accepts_new_keys(ticket, now()))
        };
        match step {
            Step::Answer(verdict) => verdict,
            Step::Lookup => self.ask_owner(ClaimRequest { lookup_only: true, ..ask }).await,
            Step::Record => {
                let recorded = tokio::time::timeout(RECORD_TIMEOUT, self.ask_owner(ask)).await;
                let recorded = recorded.unwrap_or(Verdict::Unavailable);
                let mut local = lock(&self.local);
                let before = local.from_memory();
                let verdict = local.apply_shard_verdict(&ask, recorded);
                self.metrics.add(Counter::Claims, "from_memory", local.from_memory() - before);
                verdict
            }
        }
    }

    /// Asks the router that a ticket names. Nobody else may grant the key; when that router is gone, all that can
    /// be told is what the key's shard has recorded.
    async fn ask_authority(self: &Arc<Self>, ask: ClaimRequest, key: &str, ticket: &KeyTicket) -> Verdict {
        // The members don't list a router that is leaving, but its tickets' keys are still its own.
        if let Ok(peer) = ticket.peer.parse() {
            let call = Call::Ask(ask.to_message(key.to_owned()));
            if let Ok(verdict) = self.call(peer, call).await {
                return verdict;
            }
        }
        let verdict = self.decide_for_gone(ask, ticket).await;
        if verdict != Verdict::Granted {
            // The authority's grant may be on its way; this attempt will not use it.
            self.release(Release { key: ask.key, attempt: ask.attempt }, key);
        }
        verdict
    }

    /// Decides on a key whose authority can't be asked. One that has handed its keys over is not needed any more.
    async fn decide_for_gone(&self, ask: ClaimRequest, ticket: &KeyTicket) -> Verdict {
        if self.closed.takes_keys(&ticket.router, ticket.start).await {
            return self.ask_owner(ask).await;
        }
        self.look(ask).await
    }

    /// Looks a key up whose authority is gone: one that was not recorded may have run.
    async fn look(&self, ask: ClaimRequest) -> Verdict {
        match self.ask_owner(ClaimRequest { lookup_only: true, ..ask }).await {
            Verdict::Expired | Verdict::Unavailable | Verdict::Granted => Verdict::Unknown,
            verdict => verdict,
        }
    }

    /// Asks the owner of the key's shard, and the next in line when it does not answer. Both may be asked for the
    /// same attempt: the attempt's number in the shard's object grants it, whoever wrote it there.
    async fn ask_owner(&self, ask: ClaimRequest) -> Verdict {
        for owner in self.owners(ask.key).into_iter().take(MOST_OWNERS) {
            let Some(peer) = owner else { return self.desk(ask.key).ask(ask).await };
            let call = Call::Ask(ask.to_message(String::new()));
            if let Ok(verdict) = self.call(peer, call).await {
                return verdict;
            }
        }
        Verdict::Unavailable
    }

    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Verdict, Malformed> {
        let body = Body::Claim(ClaimCall { call: Some(call) });
        match self.placement.links().call(peer, body, ASK_TIMEOUT).await {
            Ok(Body::ClaimAnswer(answer)) => answer.try_into(),
            _ => Err(Malformed),
        }
    }

    /// The router that decides on a ticket's key besides its shard's owner; `None` inside stands for this one.
    fn authority(&self, key: &str) -> Option<Option<SocketAddr>> {
        match self.keeper(key) {
            Keeper::Shard => None,
            Keeper::Me(_) => Some(None),
            Keeper::Other(t) => t.peer.parse().ok().map(Some),
        }
    }

    /// Text that goes along with a message about a key, so that its receiver knows the ticket.
    fn ticket_text(&self, key: &str) -> String {
        if matches!(self.keeper(key), Keeper::Shard) { String::new() } else { key.to_owned() }
    }

    /// Tells one of `peers`, the first that can be reached; again after a pause when none can.
    async fn tell_first(self: Arc<Self>, peers: Vec<Option<SocketAddr>>, call: Call) {
        let _telling = Telling::start(&self.telling);
        let call = ClaimCall { call: Some(call) };
        let mut pause = TELL_PAUSE;
        for _ in 0..TELL_TRIES {
            for peer in &peers {
                let Some(peer) = *peer else {
                    self.serve(call.clone()).await;
                    return;
                };
                let body = Body::Claim(call.clone());
                if self.placement.links().call(peer, body, TELL_TIMEOUT).await.is_ok() {
                    return;
                }
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        spdlog::warn!("no router could be told what became of a claim; it will read as unknown");
    }

    fn desk(&self, key: KeyDigest) -> &Arc<Desk> {
        &self.desks[usize::from(key.shard())]
    }

    /// Routers in the order in which they are asked about a key's shard; `None` stands for this one.
    fn owners(&self, key: KeyDigest) -> Vec<Option<SocketAddr>> {
        let placer = self.placement.placer();
        let me = placer.me();
        let others = placer.members().list().iter().filter(|m| m.id != me);
        let mut list: Vec<_> = others.map(|m| (m.id, Some(m.peer))).collect();
        list.push((me, None));
        list.sort_by_cached_key(|(id, _)| hash((key.shard(), id.0)));
        list.into_iter().map(|(_, peer)| peer).collect()
    }
}

/// Counts a message that is being told; dropping it ends the count.
struct Telling<'a>(&'a AtomicUsize);

impl<'a> Telling<'a> {
    fn start(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for Telling<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Label for the counter.
fn label(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted => "granted",
        Verdict::Recorded(_) => "recorded",
        Verdict::Pending => "pending",
        Verdict::Unknown => "unknown",
        Verdict::Conflict => "conflict",
        Verdict::Expired => "expired",
        Verdict::Unavailable => "unavailable",
    }
}
