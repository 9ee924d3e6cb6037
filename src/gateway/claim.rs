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

use closed_processes::ClosedProcesses;
use shard_worker::ShardWorker;

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
mod closed_processes;
mod shard_worker;

/// Longest wait for another router's verdict; longer than a book lets an ask wait.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1800);
/// Longest wait for a ticket's claim to be recorded before it is granted from memory.
const TICKET_STORE_TIMEOUT: Duration = Duration::from_millis(500);
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a record or release is told again before it is left to read as unknown.
const NOTIFY_ATTEMPTS: u32 = 8;
const NOTIFY_BASE_DELAY: Duration = Duration::from_millis(200);
/// How often messages that are still being told are counted before a planned stop.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Routers that are asked for one claim, should the first not answer.
const MAX_OWNERS_TRIED: usize = 2;

/// Claims in one router.
#[derive(Debug)]
pub(crate) struct Claims {
    name: Arc<str>,
    start: u64,
    placement: Arc<Placement>,
    shards: Vec<Arc<ShardWorker>>,
    ticket_claims: Mutex<TicketClaims>,
    ticket_key: TicketKey,
    closed_processes: ClosedProcesses,
    /// Where other routers reach this one.
    pub(super) peer_addr: OnceLock<SocketAddr>,
    /// Messages about records and releases that are still being told.
    pending_notifications: AtomicUsize,
    metrics: Arc<Metrics>,
}

/// Who decides on a key.
enum Authority {
    /// This start of this router, by its ticket.
    ThisProcess(KeyTicket),
    /// Another router, or another start of this one, by its ticket.
    OtherProcess(KeyTicket),
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
        let shards =
            (0..SHARD_COUNT).map(|shard| ShardWorker::new(shard, &writer, platform.clone())).collect();
        let ticket_key = TicketKey::new(shared_key);
        let closed_processes = ClosedProcesses::new(platform.clone());
        let (ticket_claims, pending_notifications) = (Mutex::default(), AtomicUsize::new(0));
        Self {
            name,
            start,
            placement,
            shards,
            ticket_claims,
            ticket_key,
            closed_processes,
            peer_addr: OnceLock::new(),
            pending_notifications,
            metrics,
        }
    }

    /// Before a planned stop: has all records written, and hands the keys of this start's tickets over to their shards.
    pub(crate) async fn close(&self) {
        let all_stored = lock(&self.ticket_claims).close();
        // What was granted is in the shards already; records may follow.
        if all_stored {
            self.closed_processes.publish(&self.name, self.start).await;
        }
        while self.pending_notifications.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
        for shard_worker in &self.shards {
            shard_worker.flush().await;
        }
    }

    /// A ticket under which a caller may make keys that this router alone runs.
    pub(crate) fn ticket(&self) -> String {
        let made_ms = now().as_millis() as u64;
        let peer = self.peer_addr.get().map(SocketAddr::to_string).unwrap_or_default();
        self.ticket_key.sign(&KeyTicket { router: self.name.to_string(), start: self.start, made_ms, peer })
    }

    /// Asks for the right to run.
    pub(crate) async fn request_claim(self: &Arc<Self>, req: ClaimRequest, key: &str) -> Verdict {
        let verdict = match self.authority(key) {
            Authority::ThisProcess(ticket) => self.decide_ticket_claim(req, &ticket).await,
            Authority::OtherProcess(ticket) => self.request_from_authority(req, key, &ticket).await,
            Authority::Shard => self.request_from_shard(req).await,
        };
        self.metrics.add(Counter::Claims, verdict_label(&verdict), 1);
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
            ticket: self.ticket_field(key),
        });
        let owners = self.shard_owners(request.key).into_iter().take(MAX_OWNERS_TRIED).collect();
        tokio::spawn(self.clone().notify_first_reachable(owners, call.clone()));
        if let Some(authority_peer) = self.authority_peer(key) {
            tokio::spawn(self.clone().notify_first_reachable(vec![authority_peer], call));
        }
    }

    /// Tells all that may keep the claim that an attempt has not run and never will, in the background.
    pub(crate) fn release(self: &Arc<Self>, release: Release, key: &str) {
        let call = Call::Release(ClaimRelease {
            key: release.key.0.to_vec(),
            content: Vec::new(),
            attempt: release.attempt.0.to_vec(),
            ticket: self.ticket_field(key),
        });
        let mut peers: Vec<_> = self.shard_owners(release.key).into_iter().take(MAX_OWNERS_TRIED).collect();
        peers.extend(self.authority_peer(key));
        for peer in peers {
            tokio::spawn(self.clone().notify_first_reachable(vec![peer], call.clone()));
        }
    }

    /// Answers another router's call.
    pub(crate) async fn serve(self: &Arc<Self>, call: ClaimCall) -> ClaimAnswer {
        // The default answer is "unavailable": nothing was granted.
        self.handle(call).await.unwrap_or_default()
    }

    async fn handle(self: &Arc<Self>, call: ClaimCall) -> Result<ClaimAnswer, Malformed> {
        let ack = ClaimAnswer { decision: Decision::Noted.into(), record: None };
        match call.call.ok_or(Malformed)? {
            Call::Ask(msg) => {
                let req = ClaimRequest::from_bytes(&msg.key, &msg.content, &msg.attempt, msg.look)?;
                let verdict = match self.authority(&msg.ticket) {
                    Authority::ThisProcess(ticket) => self.decide_ticket_claim(req, &ticket).await,
                    Authority::OtherProcess(ticket) => self.decide_without_authority(req, &ticket).await,
                    Authority::Shard => self.shard(req.key).request_claim(req).await,
                };
                Ok((&verdict).into())
            }
            Call::Finish(msg) => {
                let req = ClaimRequest::from_bytes(&msg.key, &msg.content, &msg.attempt, false)?;
                let record: Record = msg.record.ok_or(Malformed)?.try_into()?;
                let mine = matches!(self.authority(&msg.ticket), Authority::ThisProcess(_));
                if mine {
                    lock(&self.ticket_claims).finish(req.key, req.attempt, record.clone());
                }
                // The record of a ticket's key goes to its shard's owner by a message of its own.
                if !mine || self.shard_owners(req.key)[0].is_none() {
                    self.shard(req.key).finish(&req, record, !msg.ticket.is_empty());
                }
                Ok(ack)
            }
            Call::Release(msg) => {
                let (key, attempt) = (KeyDigest(bytes16(&msg.key)?), AttemptId(bytes16(&msg.attempt)?));
                if matches!(self.authority(&msg.ticket), Authority::ThisProcess(_)) {
                    lock(&self.ticket_claims).release(Clock::read(), key, attempt);
                }
                self.shard(key).release(key, attempt);
                Ok(ack)
            }
        }
    }

    fn authority(&self, key: &str) -> Authority {
        match self.ticket_key.verified_ticket(key) {
            Some(t) if *t.router == *self.name && t.start == self.start => Authority::ThisProcess(t),
            Some(t) => Authority::OtherProcess(t),
            None => Authority::Shard,
        }
    }

    /// Decides on a key of this router's own ticket.
    ///
    /// No other router grants such a key, so that the platform need not be there: when the claim can't be recorded
    /// in time, as in an outage, it is granted from memory.
    async fn decide_ticket_claim(&self, req: ClaimRequest, ticket: &KeyTicket) -> Verdict {
        let step = {
            let mut ticket_claims = lock(&self.ticket_claims);
            ticket_claims.evict_expired(Clock::read());
            ticket_claims.request_claim(Clock::read(), &req, accepts_new_keys(ticket, now()))
        };
        match step {
            Step::Answer(verdict) => verdict,
            Step::Lookup => self.request_from_shard(ClaimRequest { lookup_only: true, ..req }).await,
            Step::Record => {
                let recorded = tokio::time::timeout(TICKET_STORE_TIMEOUT, self.request_from_shard(req)).await;
                let recorded = recorded.unwrap_or(Verdict::Unavailable);
                let mut ticket_claims = lock(&self.ticket_claims);
                let before = ticket_claims.from_memory();
                let verdict = ticket_claims.apply_shard_verdict(&req, recorded);
                self.metrics.add(Counter::Claims, "from_memory", ticket_claims.from_memory() - before);
                verdict
            }
        }
    }

    /// Asks the router that a ticket names. Nobody else may grant the key; when that router is gone, all that can
    /// be told is what the key's shard has recorded.
    async fn request_from_authority(
        self: &Arc<Self>,
        req: ClaimRequest,
        key: &str,
        ticket: &KeyTicket,
    ) -> Verdict {
        // The members don't list a router that is leaving, but its tickets' keys are still its own.
        if let Ok(peer) = ticket.peer.parse() {
            let call = Call::Ask(req.to_message(key.to_owned()));
            if let Ok(verdict) = self.call_peer(peer, call).await {
                return verdict;
            }
        }
        let verdict = self.decide_without_authority(req, ticket).await;
        if verdict != Verdict::Granted {
            // The authority's grant may be on its way; this attempt will not use it.
            self.release(Release { key: req.key, attempt: req.attempt }, key);
        }
        verdict
    }

    /// Decides on a key whose authority can't be asked. One that has handed its keys over is not needed any more.
    async fn decide_without_authority(&self, req: ClaimRequest, ticket: &KeyTicket) -> Verdict {
        if self.closed_processes.is_handed_over(&ticket.router, ticket.start).await {
            return self.request_from_shard(req).await;
        }
        self.look_up(req).await
    }

    /// Looks a key up whose authority is gone: one that was not recorded may have run.
    async fn look_up(&self, req: ClaimRequest) -> Verdict {
        match self.request_from_shard(ClaimRequest { lookup_only: true, ..req }).await {
            Verdict::Expired | Verdict::Unavailable | Verdict::Granted => Verdict::Unknown,
            verdict => verdict,
        }
    }

    /// Asks the owner of the key's shard, and the next in line when it does not answer. Both may be asked for the
    /// same attempt: the attempt's number in the shard's object grants it, whoever wrote it there.
    async fn request_from_shard(&self, req: ClaimRequest) -> Verdict {
        for owner in self.shard_owners(req.key).into_iter().take(MAX_OWNERS_TRIED) {
            let Some(peer) = owner else { return self.shard(req.key).request_claim(req).await };
            let call = Call::Ask(req.to_message(String::new()));
            if let Ok(verdict) = self.call_peer(peer, call).await {
                return verdict;
            }
        }
        Verdict::Unavailable
    }

    async fn call_peer(&self, peer: SocketAddr, call: Call) -> Result<Verdict, Malformed> {
        let body = Body::Claim(ClaimCall { call: Some(call) });
        match self.placement.links().call(peer, body, CLAIM_TIMEOUT).await {
            Ok(Body::ClaimAnswer(answer)) => answer.try_into(),
            _ => Err(Malformed),
        }
    }

    /// The router that decides on a ticket's key besides its shard's owner; `None` inside stands for this one.
    fn authority_peer(&self, key: &str) -> Option<Option<SocketAddr>> {
        match self.authority(key) {
            Authority::Shard => None,
            Authority::ThisProcess(_) => Some(None),
            Authority::OtherProcess(t) => t.peer.parse().ok().map(Some),
        }
    }

    /// Text that goes along with a message about a key, so that its receiver knows the ticket.
    fn ticket_field(&self, key: &str) -> String {
        if matches!(self.authority(key), Authority::Shard) { String::new() } else { key.to_owned() }
    }

    /// Tells one of `peers`, the first that can be reached; again after a pause when none can.
    async fn notify_first_reachable(self: Arc<Self>, peers: Vec<Option<SocketAddr>>, call: Call) {
        let _pending = PendingNotification::start(&self.pending_notifications);
        let call = ClaimCall { call: Some(call) };
        let mut delay = NOTIFY_BASE_DELAY;
        for _ in 0..NOTIFY_ATTEMPTS {
            for peer in &peers {
                let Some(peer) = *peer else {
                    self.serve(call.clone()).await;
                    return;
                };
                let body = Body::Claim(call.clone());
                if self.placement.links().call(peer, body, NOTIFY_TIMEOUT).await.is_ok() {
                    return;
                }
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
        spdlog::warn!("no router could be told what became of a claim; it will read as unknown");
    }

    fn shard(&self, key: KeyDigest) -> &Arc<ShardWorker> {
        &self.shards[usize::from(key.shard())]
    }

    /// Routers in the order in which they are asked about a key's shard; `None` stands for this one.
    fn shard_owners(&self, key: KeyDigest) -> Vec<Option<SocketAddr>> {
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
struct PendingNotification<'a>(&'a AtomicUsize);

impl<'a> PendingNotification<'a> {
    fn start(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for PendingNotification<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Label for the counter.
fn verdict_label(verdict: &Verdict) -> &'static str {
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
