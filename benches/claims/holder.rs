//! Callers, and the routers that handle their requests.

use super::*;

impl World {
    /// Sends a caller's request to a router, which requests a claim for it.
    pub(super) fn send(&mut self, caller: usize, router: usize) {
        if self.callers[caller].done || self.callers[caller].attempts_left == 0 {
            return;
        }
        self.callers[caller].attempts_left -= 1;
        if std::mem::take(&mut self.callers[caller].to_all_routers) {
            let others = (0..self.routers.len()).filter(|r| *r != router).collect::<Vec<_>>();
            for other in others {
                self.schedule_after(0, Event::Send { caller, router: other });
            }
        }
        let (key, content) = (self.callers[caller].key, self.callers[caller].content);
        let claim_req = ClaimRequest { key, content, attempt: self.attempt_id(), lookup_only: false };
        let req = self.new_id();
        let received_at = self.now;
        let stage = Some(Stage::Requested(RequestedClaim::new(claim_req, Undispatched::new())));
        let asked_routers = Vec::new();
        self.routers[router].reqs.insert(req, Req { caller, received_at, asked_routers, stage });
        self.send_claim_request(router, req, claim_req);
        let start = self.routers[router].start;
        let until = self.routers[router].paused_until.max(self.now);
        self.schedule_at(until + CLAIM_TIMEOUT_MS, Event::RequestTimeout { router, start, req });
    }

    /// Schedules the next attempt of a caller at a random router.
    pub(super) fn resend(&mut self, caller: usize) {
        let router = self.rng.random_range(0..self.routers.len());
        let wait = self.rng.random_range(1..800);
        self.schedule_after(wait, Event::Send { caller, router });
    }

    /// Records that a caller received an answer.
    pub(super) fn record_answer(&mut self, caller: usize, run: u64, replayed: bool) {
        if self.runs.get(run as usize).is_none_or(|(c, _)| *c != caller) {
            self.foreign_answers += 1;
        }
        self.stats.answered += 1;
        self.stats.repeated += u64::from(replayed);
        self.stats.first_answered.entry(caller).or_insert(true);
        self.callers[caller].done = true;
    }

    /// Records that a caller was told that its request did not run.
    pub(super) fn record_not_run(&mut self, caller: usize, attempt: AttemptId) {
        self.not_run.push(attempt);
        self.stats.not_run += 1;
        self.stats.first_answered.entry(caller).or_insert(false);
        self.resend(caller);
    }

    /// Records that a caller was told that the outcome is unknown.
    pub(super) fn record_unknown(&mut self, caller: usize) {
        self.stats.unknown += 1;
        self.stats.first_answered.entry(caller).or_insert(false);
        self.resend(caller);
    }

    /// Sends a claim request to the owner of the ticket, or else to the owner of the shard.
    pub(super) fn send_claim_request(&mut self, router: usize, req: ReqId, claim_req: ClaimRequest) {
        let caller = self.routers[router].reqs[&req].caller;
        let ticket = self.callers[caller].ticket;
        let start = self.routers[router].start;
        let owner = match ticket {
            // The weakened protocol asks the receiving router, although another one owns the ticket.
            Some(_) if self.weakening == Weakening::TicketAnywhere => router,
            Some((named, _)) => named,
            None => self.owner_of(router, claim_req.key),
        };
        if let Some(r) = self.routers[router].reqs.get_mut(&req) {
            r.asked_routers.push(owner);
        }
        self.send_msg(router, owner, Msg::Request { from: router, start, req, claim_req, ticket });
    }

    /// The router that this one considers the owner of the key's shard.
    pub(super) fn owner_of(&self, router: usize, key: KeyDigest) -> usize {
        match self.storage {
            ClaimStorage::Shards(n) if n > 1 => usize::from(key.shard() % n) % self.routers.len(),
            ClaimStorage::Shards(_) => self.routers[router].owner,
            _ => router,
        }
    }

    /// Handles the verdict on a claim request.
    pub(super) fn handle_verdict(&mut self, router: usize, req: ReqId, attempt: AttemptId, verdict: Verdict) {
        if let Some((requester, attempt)) = self.routers[router].requesters.remove(&req) {
            return self.send_verdict(router, requester, attempt, verdict);
        }
        let Some(r) = self.routers[router].reqs.get_mut(&req) else {
            return self.handle_late_grant(router, attempt, &verdict);
        };
        let Some(Stage::Requested(requested)) = r.stage.take_if(|s| matches!(s, Stage::Requested(_))) else {
            return;
        };
        let (caller, received_at) = (r.caller, r.received_at);
        match requested.decide(verdict) {
            Ok(granted) => {
                r.stage = Some(Stage::Granted(granted));
                self.stats.granted_ms.push(self.now - received_at);
                let start = self.routers[router].start;
                let wait = if self.faults.late_frame > 0 { self.rng.random_range(0..50) } else { 0 };
                self.schedule_after(wait, Event::Dispatch { router, start, req });
            }
            Err(refused) => {
                self.routers[router].reqs.remove(&req);
                match refused.verdict {
                    Verdict::Recorded(answered) => {
                        let run = answered.body.as_deref().and_then(|b| b.try_into().ok());
                        self.record_answer(caller, run.map_or(u64::MAX, u64::from_le_bytes), true);
                    }
                    Verdict::Unavailable | Verdict::Conflict => {
                        self.stats.refused_ms.push(self.now - received_at);
                        self.record_not_run(caller, attempt);
                    }
                    _ => self.record_unknown(caller),
                }
            }
        }
    }

    /// Ignores a grant that arrives after the timeout; the weakened protocol executes its request.
    pub(super) fn handle_late_grant(&mut self, router: usize, attempt: AttemptId, verdict: &Verdict) {
        if self.weakening == Weakening::LateGrant
            && *verdict == Verdict::Granted
            && let Some((caller, req)) = self.routers[router].timed_out.remove(&attempt)
        {
            let start = self.routers[router].start;
            self.schedule_after(1, Event::Execute { router, start, req, caller, attempt, broken: false });
        }
    }

    /// Handles the timeout of a request at its current stage.
    pub(super) fn handle_timeout(&mut self, router: usize, req: ReqId) {
        let Some(r) = self.routers[router].reqs.remove(&req) else { return };
        let ticket = self.callers[r.caller].ticket;
        match r.stage {
            Some(Stage::Requested(requested)) => {
                let attempt = requested.request().attempt;
                self.routers[router].timed_out.insert(attempt, (r.caller, req));
                if let Err(refused) = requested.decide(Verdict::Unavailable)
                    && let Some(release) = refused.release
                {
                    self.release(router, &r.asked_routers, release.key, release.attempt, ticket);
                }
                self.record_not_run(r.caller, attempt);
            }
            Some(Stage::Dispatched(dispatched)) => {
                let (token, finish) = dispatched.finish(Record::Unknown);
                let _ = token.fail::<()>(DispatchFailure::Broken, "no answer within the timeout");
                self.finish(router, &r.asked_routers, finish.request, finish.record, ticket);
                self.record_unknown(r.caller);
            }
            Some(Stage::Granted(granted)) => {
                let (_, release) = granted.release();
                self.release(router, &r.asked_routers, release.key, release.attempt, ticket);
                self.record_not_run(r.caller, release.attempt);
            }
            None => {}
        }
    }

    /// Sends a request with a granted claim to the backend server.
    pub(super) fn dispatch(&mut self, router: usize, req: ReqId) {
        let connect_fails = self.draw(self.faults.connect_fails);
        let broken_before = self.draw(self.faults.break_before);
        let broken_after = self.draw(self.faults.break_after);
        let start = self.routers[router].start;
        let Some(r) = self.routers[router].reqs.get_mut(&req) else { return };
        let Some(Stage::Granted(granted)) = r.stage.take_if(|s| matches!(s, Stage::Granted(_))) else {
            return;
        };
        let (caller, asked_routers) = (r.caller, r.asked_routers.clone());
        let ticket = self.callers[caller].ticket;
        let dispatched = granted.dispatch();
        if connect_fails {
            let Some(proof) = NotRunProof::from_failure(Failure::Connect) else { return };
            let (_, release) = dispatched.take_back(proof).release();
            self.routers[router].reqs.remove(&req);
            self.release(router, &asked_routers, release.key, release.attempt, ticket);
            return self.record_not_run(caller, release.attempt);
        }
        let attempt = dispatched.request().attempt;
        if let Some(r) = self.routers[router].reqs.get_mut(&req) {
            r.stage = Some(Stage::Dispatched(dispatched));
        }
        if broken_before {
            self.schedule_after(1, Event::Reply { router, start, req, run: None });
        } else {
            let broken = broken_after;
            self.schedule_after(1, Event::Execute { router, start, req, caller, attempt, broken });
        }
        self.schedule_after(EXECUTION_TIMEOUT_MS, Event::RequestTimeout { router, start, req });
    }

    /// Handles the backend server's answer; `None` means that the connection broke.
    pub(super) fn handle_reply(&mut self, router: usize, req: ReqId, run: Option<u64>) {
        let mut req = req;
        if self.weakening == Weakening::UncheckedAnswer && !self.routers[router].reqs.contains_key(&req) {
            let waits = |(_, r): &(&ReqId, &Req)| matches!(r.stage, Some(Stage::Dispatched(_)));
            let Some((id, _)) = self.routers[router].reqs.iter().find(waits) else { return };
            req = *id;
        }
        // An answer that arrives after the router's timeout has no request any more and is dropped.
        let Some(r) = self.routers[router].reqs.remove(&req) else { return };
        let ticket = self.callers[r.caller].ticket;
        let Some(Stage::Dispatched(dispatched)) = r.stage else { return };
        let attempt = dispatched.request().attempt;
        match run {
            Some(run) => {
                let body = Some(run.to_le_bytes().to_vec());
                let answered = StoredResponse { status: 200, content_type: "application/json".into(), body };
                let (_, finish) = dispatched.finish(Record::Completed(answered));
                self.finish(router, &r.asked_routers, finish.request, finish.record, ticket);
                self.record_answer(r.caller, run, false);
            }
            None if self.weakening == Weakening::BrokenIsNotRun => {
                self.release(router, &r.asked_routers, dispatched.request().key, attempt, ticket);
                self.record_not_run(r.caller, attempt);
            }
            None => {
                let (_, finish) = dispatched.finish(Record::Unknown);
                self.finish(router, &r.asked_routers, finish.request, finish.record, ticket);
                self.record_unknown(r.caller);
            }
        }
    }

    /// Sends the release of a claim to all routers that were asked for it.
    pub(super) fn release(
        &mut self,
        from: usize,
        asked_routers: &[usize],
        key: KeyDigest,
        attempt: AttemptId,
        ticket: Option<(usize, Start)>,
    ) {
        for to in asked_routers {
            self.send_msg(from, *to, Msg::Release { key, attempt, ticket });
        }
    }

    /// Sends the record of a claim to the router that was asked for it last.
    pub(super) fn finish(
        &mut self,
        from: usize,
        asked_routers: &[usize],
        claim_req: ClaimRequest,
        record: Record,
        ticket: Option<(usize, Start)>,
    ) {
        if let Some(to) = asked_routers.last() {
            self.send_msg(from, *to, Msg::Finish { claim_req, record, ticket });
        }
    }
}
