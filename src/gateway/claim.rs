//! Claims on idempotency keys in a running router: finds the authority for a key, requests the claim there, and
//! reports the result of the run to it.

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

/// Timeout of a call to another router. Longer than the wait of a claim request there, so that its verdict arrives.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1800);
/// Maximum wait for a claim under a ticket to be stored in its shard before it is granted from memory.
const TICKET_STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a notification of the result of a run or of a release.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of rounds in which a notification is sent; after that the claim reads as unknown.
const NOTIFY_ATTEMPTS: u32 = 8;
/// Delay after the first failed round; doubles with each further one.
const NOTIFY_BASE_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a planned shutdown checks for pending notifications.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of shard owners that are tried, in order of preference, until one answers.
const MAX_OWNERS_TRIED: usize = 2;

/// Claims handled by one router process.
#[derive(Debug)]
pub(crate) struct Claims {
    name: Arc<str>,
    /// Random number of this process, which distinguishes its tickets from those of earlier starts of this router.
    start: u64,
    placement: Arc<Placement>,
    shards: Vec<Arc<ShardWorker>>,
    /// Claims under the tickets of this process.
    ticket_claims: Mutex<TicketClaims>,
    ticket_key: TicketKey,
    closed_processes: ClosedProcesses,
    /// Address at which other routers reach this one.
    pub(super) peer_addr: OnceLock<SocketAddr>,
    /// Number of notifications still to be delivered.
    pending_notifications: AtomicUsize,
    metrics: Arc<Metrics>,
}

/// Authority that decides on a key.
enum Authority {
    /// This process, by its ticket.
    ThisProcess(KeyTicket),
    /// Another router or an earlier process of this one, by its ticket.
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

    /// Before a planned shutdown: writes all records, and hands the keys of this process's tickets over to their
    /// shards.
    pub(crate) async fn close(&self) {
        let all_stored = lock(&self.ticket_claims).close();
        // All granted claims are already stored in the shards; their records may still follow.
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

    /// Signs a ticket, under which callers can create keys that only this process grants.
    pub(crate) fn ticket(&self) -> String {
        let made_ms = now().as_millis() as u64;
        let peer = self.peer_addr.get().map(SocketAddr::to_string).unwrap_or_default();
        self.ticket_key.sign(&KeyTicket { router: self.name.to_string(), start: self.start, made_ms, peer })
    }

    /// Requests the claim on a key from its authority.
    pub(crate) async fn request_claim(self: &Arc<Self>, req: ClaimRequest, key: &str) -> Verdict {
        let verdict = match self.authority(key) {
            Authority::ThisProcess(ticket) => self.decide_ticket_claim(req, &ticket).await,
            Authority::OtherProcess(ticket) => self.request_from_authority(req, key, &ticket).await,
            Authority::Shard => self.request_from_shard(req).await,
        };
        self.metrics.add(Counter::Claims, verdict_label(&verdict), 1);
        verdict
    }

    /// Reports the result of a run to the shard owner and to the ticket's authority, in the background.
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

    /// Releases the claim of an attempt that has not run and never will at all routers that may store it, in the
    /// background.
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

    /// Answers a call from another router; a malformed call is answered with the default, "unavailable".
    pub(crate) async fn serve(self: &Arc<Self>, call: ClaimCall) -> ClaimAnswer {
        // "unavailable" means that nothing was granted.
        self.handle(call).await.unwrap_or_default()
    }

    /// Decides on a claim request, stores a result or releases a claim, depending on the call.
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
                let is_authority = matches!(self.authority(&msg.ticket), Authority::ThisProcess(_));
                if is_authority {
                    lock(&self.ticket_claims).finish(req.key, req.attempt, record.clone());
                }
                // The shard owner receives the record of a ticket's key in a separate message.
                if !is_authority || self.shard_owners(req.key)[0].is_none() {
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

    /// Authority that decides on a key, by the ticket in the key.
    fn authority(&self, key: &str) -> Authority {
        match self.ticket_key.verified_ticket(key) {
            Some(t) if *t.router == *self.name && t.start == self.start => Authority::ThisProcess(t),
            Some(t) => Authority::OtherProcess(t),
            None => Authority::Shard,
        }
    }

    /// Decides on a key under this process's own ticket.
    ///
    /// No other router grants such a key. If the claim can't be stored in time, as during a platform outage, it is
    /// therefore granted from memory.
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
                let old_count = ticket_claims.from_memory();
                let verdict = ticket_claims.apply_shard_verdict(&req, recorded);
                self.metrics.add(Counter::Claims, "from_memory", ticket_claims.from_memory() - old_count);
                verdict
            }
        }
    }

    /// Requests the claim from the router that the ticket names. No other router may grant the key; if that router is
    /// unreachable, only a claim stored in the key's shard can be returned.
    async fn request_from_authority(
        self: &Arc<Self>,
        req: ClaimRequest,
        key: &str,
        ticket: &KeyTicket,
    ) -> Verdict {
        // The address comes from the ticket, because the member list omits leaving routers, which still are the
        // authority for their tickets.
        if let Ok(peer) = ticket.peer.parse() {
            let call = Call::Ask(req.to_message(key.to_owned()));
            if let Ok(verdict) = self.call_peer(peer, call).await {
                return verdict;
            }
        }
        let verdict = self.decide_without_authority(req, ticket).await;
        if verdict != Verdict::Granted {
            // The authority may have granted the claim although its answer was lost; this attempt will not use it.
            self.release(Release { key: req.key, attempt: req.attempt }, key);
        }
        verdict
    }

    /// Decides on a key whose authority is unreachable. If the authority has shut down as planned, it has handed its
    /// keys over, and their shards decide.
    async fn decide_without_authority(&self, req: ClaimRequest, ticket: &KeyTicket) -> Verdict {
        if self.closed_processes.is_handed_over(&ticket.router, ticket.start).await {
            return self.request_from_shard(req).await;
        }
        self.look_up(req).await
    }

    /// Looks up a key whose authority is unreachable. A key without a stored claim may have run.
    async fn look_up(&self, req: ClaimRequest) -> Verdict {
        match self.request_from_shard(ClaimRequest { lookup_only: true, ..req }).await {
            Verdict::Expired | Verdict::Unavailable | Verdict::Granted => Verdict::Unknown,
            verdict => verdict,
        }
    }

    /// Requests the claim from the owner of the key's shard, or from the next router in order if the owner does not
    /// answer. It is safe to ask both for the same attempt: the attempt's ID in the shard's object proves the grant,
    /// whichever router wrote it.
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

    /// Calls another router and returns its verdict.
    async fn call_peer(&self, peer: SocketAddr, call: Call) -> Result<Verdict, Malformed> {
        let body = Body::Claim(ClaimCall { call: Some(call) });
        match self.placement.links().call(peer, body, CLAIM_TIMEOUT).await {
            Ok(Body::ClaimAnswer(answer)) => answer.try_into(),
            _ => Err(Malformed),
        }
    }

    /// Address of the authority named by the key's ticket: `None` if the key has no ticket, `Some(None)` for this
    /// router.
    fn authority_peer(&self, key: &str) -> Option<Option<SocketAddr>> {
        match self.authority(key) {
            Authority::Shard => None,
            Authority::ThisProcess(_) => Some(None),
            Authority::OtherProcess(t) => t.peer.parse().ok().map(Some),
        }
    }

    /// `ticket` field of a message about a key: the key if it contains a ticket, otherwise empty.
    fn ticket_field(&self, key: &str) -> String {
        if matches!(self.authority(key), Authority::Shard) { String::new() } else { key.to_owned() }
    }

    /// Sends a notification to the first of `peers` that is reachable, with retries and backoff; `None` is this router.
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
        spdlog::warn!(
            "no router could be notified of the result of a claim; the claim will be reported as unknown"
        );
    }

    /// Worker of the shard that stores the claim on a key.
    fn shard(&self, key: KeyDigest) -> &Arc<ShardWorker> {
        &self.shards[usize::from(key.shard())]
    }

    /// Routers in their order of preference as owner of a key's shard; `None` is this router.
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

/// Guard that counts a pending notification until it is dropped.
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

/// Label value of a verdict in the claim counter.
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
