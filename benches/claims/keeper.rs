//! Links between routers, and the routers that own the claims.

use super::*;

impl World {
    /// Sends a message over a link, subject to loss, repetition and delay.
    pub(super) fn send_msg(&mut self, from: usize, to: usize, msg: Msg) {
        let start = self.routers[to].start;
        if from == to {
            return self.schedule_after(0, Event::Deliver { to, start, msg });
        }
        self.stats.frames += 1;
        if self.draw(self.faults.lose_frame) {
            return;
        }
        let (min, max) = self.faults.link_ms;
        let copies = 1 + u32::from(self.draw(self.faults.repeat_frame));
        for _ in 0..copies {
            let delay = if self.draw(self.faults.late_frame) { 2500 } else { 0 };
            let ms = self.rng.random_range(min..=max) + delay;
            self.schedule_after(ms, Event::Deliver { to, start, msg: msg.clone() });
        }
    }

    /// Handles a message at its receiver.
    pub(super) fn handle_msg(&mut self, to: usize, msg: Msg) {
        let clock = self.clock();
        match msg {
            Msg::Request { from, start, req, claim_req, ticket } => {
                let is_own = ticket.is_some_and(|(r, s)| r == to && s == self.routers[to].start);
                match ticket {
                    Some(_) if is_own => {
                        self.request_from_ticket(to, claim_req, from, start, req);
                    }
                    Some(other)
                        if self.weakening != Weakening::TicketAnywhere
                            && !self.closed_tickets.contains(&other) =>
                    {
                        let claim_req = ClaimRequest { lookup_only: true, ..claim_req };
                        self.request_from_shard(to, claim_req, Requester::Lookup { from, start, req });
                    }
                    _ => {
                        self.request_from_shard(to, claim_req, Requester::Remote { router: from, start, req })
                    }
                }
            }
            Msg::Verdict { req, attempt, verdict } => self.handle_verdict(to, req, attempt, verdict),
            Msg::Finish { claim_req, record, ticket } => {
                if ticket.is_none() {
                    return self.store_record(to, claim_req, record, false);
                }
                self.routers[to].ticket_claims.finish(claim_req.key, claim_req.attempt, record.clone());
                self.send_msg(to, self.owner_of(to, claim_req.key), Msg::ForwardRecord { claim_req, record });
            }
            Msg::Release { key, attempt, ticket } => {
                if ticket.is_none() {
                    return self.release_claim(to, key, attempt);
                }
                self.routers[to].ticket_claims.release(clock, key, attempt);
                self.send_msg(to, self.owner_of(to, key), Msg::ForwardRelease { key, attempt });
            }
            Msg::ForwardRecord { claim_req, record } => self.store_record(to, claim_req, record, true),
            Msg::ForwardRelease { key, attempt } => self.release_claim(to, key, attempt),
        }
    }

    /// Stores a record in the key's shard.
    pub(super) fn store_record(
        &mut self,
        router: usize,
        claim_req: ClaimRequest,
        record: Record,
        authority: bool,
    ) {
        let clock = self.clock();
        let id = self.shard_id(router, claim_req.key);
        self.shard(router, id).finish(clock, &claim_req, record, authority);
        self.drive_shard(router, id);
    }

    /// Releases a claim in the key's shard.
    pub(super) fn release_claim(&mut self, router: usize, key: KeyDigest, attempt: AttemptId) {
        let clock = self.clock();
        let id = self.shard_id(router, key);
        self.shard(router, id).release(clock, key, attempt);
        self.drive_shard(router, id);
    }

    /// Requests a claim from the ticket claims of the ticket's owner, which has it recorded in the shard if necessary.
    pub(super) fn request_from_ticket(
        &mut self,
        router: usize,
        claim_req: ClaimRequest,
        from: usize,
        start: Start,
        req: ReqId,
    ) {
        let clock = self.clock();
        let step = self.routers[router].ticket_claims.request_claim(clock, &claim_req, true);
        match step {
            Step::Answer(verdict) => {
                self.send_msg(router, from, Msg::Verdict { req, attempt: claim_req.attempt, verdict });
            }
            Step::Record | Step::Lookup => {
                let waiter = self.new_id();
                let requester = Requester::TicketOwner { claim_req, from, start, req };
                self.routers[router].requesters.insert(waiter, (requester, claim_req.attempt));
                let start = self.routers[router].start;
                self.schedule_after(RECORD_TIMEOUT_MS, Event::RecordTimeout { router, start, waiter });
                let to = self.owner_of(router, claim_req.key);
                self.send_msg(
                    router,
                    to,
                    Msg::Request { from: router, start, req: waiter, claim_req, ticket: None },
                );
            }
        }
    }

    /// Requests a claim from the key's shard.
    pub(super) fn request_from_shard(
        &mut self,
        router: usize,
        claim_req: ClaimRequest,
        requester: Requester,
    ) {
        let clock = self.clock();
        let id = self.shard_id(router, claim_req.key);
        let waiter = self.new_id();
        let verdict = self.shard(router, id).request_claim(clock, claim_req, waiter);
        let verdict = match verdict {
            None if self.weakening == Weakening::GrantAtOnce && !claim_req.lookup_only => {
                Some(Verdict::Granted)
            }
            verdict => verdict,
        };
        match verdict {
            Some(verdict) => self.send_verdict(router, requester, claim_req.attempt, verdict),
            None => {
                self.routers[router].requesters.insert(waiter, (requester, claim_req.attempt));
            }
        }
        self.drive_shard(router, id);
    }

    /// Sends a verdict to its requester, unless the requester's process has ended.
    pub(super) fn send_verdict(
        &mut self,
        router: usize,
        requester: Requester,
        attempt: AttemptId,
        verdict: Verdict,
    ) {
        let (to, start, req, verdict) = match requester {
            Requester::Remote { router: to, start, req } => (to, start, req, verdict),
            Requester::TicketOwner { claim_req, from, start, req } => (
                from,
                start,
                req,
                self.routers[router].ticket_claims.apply_shard_verdict(&claim_req, verdict),
            ),
            Requester::Lookup { from, start, req } => {
                let verdict = if verdict == Verdict::Expired { Verdict::Unknown } else { verdict };
                (from, start, req, verdict)
            }
        };
        if self.routers[to].start == start {
            self.send_msg(router, to, Msg::Verdict { req, attempt, verdict });
        }
    }

    /// Sends verdicts to the requesters that wait for them.
    pub(super) fn send_verdicts(&mut self, router: usize, verdicts: Vec<(u64, Verdict)>) {
        for (waiter, verdict) in verdicts {
            if let Some((requester, attempt)) = self.routers[router].requesters.remove(&waiter) {
                self.send_verdict(router, requester, attempt, verdict);
            }
        }
    }

    /// Identifier of the shard of a key, or of the log or the object with other kinds of storage.
    pub(super) fn shard_id(&self, router: usize, key: KeyDigest) -> u64 {
        match self.storage {
            ClaimStorage::Shards(n) => u64::from(key.shard() % n),
            ClaimStorage::RouterLogs => router as u64,
            ClaimStorage::ObjectPerKey => u64::from_le_bytes(key.0[..8].try_into().unwrap_or_default()),
        }
    }

    /// A router's claims of a shard, created if necessary.
    pub(super) fn shard(&mut self, router: usize, id: u64) -> &mut ShardClaims {
        let cfg = self.cfg;
        let start = self.routers[router].start;
        let new = || ShardClaims::new(format!("claims-{id}"), format!("r{router}-{start}"), cfg);
        self.routers[router].shards.entry(id).or_insert_with(new)
    }

    /// Expires waiting requests of a shard, starts its next platform call and schedules its wake-up.
    pub(super) fn drive_shard(&mut self, router: usize, id: u64) {
        let clock = self.clock();
        let expired = self.shard(router, id).expire(clock);
        self.send_verdicts(router, expired);
        let start = self.routers[router].start;
        if let Some(op) = self.shard(router, id).next_op(clock) {
            self.call_platform(router, start, id, op);
        }
        let wake = self.shard(router, id).wake_at();
        if let Some(at) = wake {
            let at = (at.as_millis() as Ms).max(self.now + 1);
            self.schedule_at(at, Event::Wake { router, start, shard_id: id });
        }
        if self.storage == ClaimStorage::ObjectPerKey && self.shard(router, id).is_idle() {
            self.routers[router].shards.remove(&id);
        }
    }
}
