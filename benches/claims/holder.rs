//! Callers, and the routers that hold their requests.

use super::*;

impl World {
    pub(super) fn send(&mut self, caller: usize, router: usize) {
        if self.callers[caller].done || self.callers[caller].tries == 0 {
            return;
        }
        self.callers[caller].tries -= 1;
        if std::mem::take(&mut self.callers[caller].everywhere) {
            let others = (0..self.routers.len()).filter(|r| *r != router).collect::<Vec<_>>();
            for other in others {
                self.after(0, Event::Send { caller, router: other });
            }
        }
        let (key, content) = (self.callers[caller].key, self.callers[caller].content);
        let ask = ClaimRequest { key, content, attempt: self.attempt_id(), lookup_only: false };
        let req = self.id();
        let since = self.now;
        let stage = Some(Stage::Asking(RequestedClaim::new(ask, Undispatched::new())));
        let asked = Vec::new();
        self.routers[router].reqs.insert(req, Req { caller, since, asked, stage });
        self.ask(router, req, ask);
        let start = self.routers[router].start;
        let until = self.routers[router].paused_until.max(self.now);
        self.at(until + ASK_MS, Event::GiveUp { router, start, req });
    }

    pub(super) fn again(&mut self, caller: usize) {
        let router = self.rng.random_range(0..self.routers.len());
        let wait = self.rng.random_range(1..800);
        self.after(wait, Event::Send { caller, router });
    }

    pub(super) fn told_ran(&mut self, caller: usize, run: u64, replayed: bool) {
        if self.runs.get(run as usize).is_none_or(|(c, _)| *c != caller) {
            self.foreign += 1;
        }
        self.stats.answered += 1;
        self.stats.repeated += u64::from(replayed);
        self.stats.first_told.entry(caller).or_insert(true);
        self.callers[caller].done = true;
    }

    pub(super) fn told_not_run(&mut self, caller: usize, attempt: AttemptId) {
        self.not_run.push(attempt);
        self.stats.not_run += 1;
        self.stats.first_told.entry(caller).or_insert(false);
        self.again(caller);
    }

    pub(super) fn told_unknown(&mut self, caller: usize) {
        self.stats.unknown += 1;
        self.stats.first_told.entry(caller).or_insert(false);
        self.again(caller);
    }

    pub(super) fn ask(&mut self, router: usize, req: ReqId, ask: ClaimRequest) {
        let caller = self.routers[router].reqs[&req].caller;
        let ticket = self.callers[caller].ticket;
        let start = self.routers[router].start;
        let owner = match ticket {
            // Asking one's own router for another's ticket is what the guard in `receive` must refuse.
            Some(_) if self.weakening == Weakening::TicketAnywhere => router,
            Some((named, _)) => named,
            None => self.owner(router, ask.key),
        };
        if let Some(r) = self.routers[router].reqs.get_mut(&req) {
            r.asked.push(owner);
        }
        self.frame(router, owner, Msg::Ask { from: router, start, req, ask, ticket });
    }

    /// Which router this one takes for the owner of the key's shard.
    pub(super) fn owner(&self, router: usize, key: KeyDigest) -> usize {
        match self.way {
            ClaimStorage::Shards(n) if n > 1 => usize::from(key.shard() % n) % self.routers.len(),
            ClaimStorage::Shards(_) => self.routers[router].owner,
            _ => router,
        }
    }

    pub(super) fn verdict(&mut self, router: usize, req: ReqId, attempt: AttemptId, verdict: Verdict) {
        if let Some((asker, attempt)) = self.routers[router].askers.remove(&req) {
            return self.tell(router, asker, attempt, verdict);
        }
        let Some(r) = self.routers[router].reqs.get_mut(&req) else {
            return self.late_grant(router, attempt, &verdict);
        };
        let Some(Stage::Asking(asking)) = r.stage.take_if(|s| matches!(s, Stage::Asking(_))) else { return };
        let (caller, since) = (r.caller, r.since);
        match asking.decide(verdict) {
            Ok(held) => {
                r.stage = Some(Stage::Held(held));
                self.stats.granted_ms.push(self.now - since);
                let start = self.routers[router].start;
                let wait = if self.faults.late_frame > 0 { self.rng.random_range(0..50) } else { 0 };
                self.after(wait, Event::Dispatch { router, start, req });
            }
            Err(refused) => {
                self.routers[router].reqs.remove(&req);
                match refused.verdict {
                    Verdict::Recorded(answered) => {
                        let run = answered.body.as_deref().and_then(|b| b.try_into().ok());
                        self.told_ran(caller, run.map_or(u64::MAX, u64::from_le_bytes), true);
                    }
                    Verdict::Unavailable | Verdict::Conflict => {
                        self.stats.refused_ms.push(self.now - since);
                        self.told_not_run(caller, attempt);
                    }
                    _ => self.told_unknown(caller),
                }
            }
        }
    }

    pub(super) fn late_grant(&mut self, router: usize, attempt: AttemptId, verdict: &Verdict) {
        if self.weakening == Weakening::LateGrant
            && *verdict == Verdict::Granted
            && let Some((caller, req)) = self.routers[router].late.remove(&attempt)
        {
            let start = self.routers[router].start;
            self.after(1, Event::Backend { router, start, req, caller, attempt, broken: false });
        }
    }

    pub(super) fn give_up(&mut self, router: usize, req: ReqId) {
        let Some(r) = self.routers[router].reqs.remove(&req) else { return };
        let ticket = self.callers[r.caller].ticket;
        match r.stage {
            Some(Stage::Asking(asking)) => {
                let attempt = asking.request().attempt;
                self.routers[router].late.insert(attempt, (r.caller, req));
                if let Err(refused) = asking.decide(Verdict::Unavailable)
                    && let Some(release) = refused.release
                {
                    self.release(router, &r.asked, release.key, release.attempt, ticket);
                }
                self.told_not_run(r.caller, attempt);
            }
            Some(Stage::Running(running)) => {
                let (token, finish) = running.finish(Record::Unknown);
                let _ = token.fail::<()>(DispatchFailure::Broken, "no answer in time");
                self.finish(router, &r.asked, finish.request, finish.record, ticket);
                self.told_unknown(r.caller);
            }
            Some(Stage::Held(held)) => {
                let (_, release) = held.release();
                self.release(router, &r.asked, release.key, release.attempt, ticket);
                self.told_not_run(r.caller, release.attempt);
            }
            None => {}
        }
    }

    pub(super) fn dispatch(&mut self, router: usize, req: ReqId) {
        let connect_fails = self.chance(self.faults.connect_fails);
        let broken_before = self.chance(self.faults.break_before);
        let broken_after = self.chance(self.faults.break_after);
        let start = self.routers[router].start;
        let Some(r) = self.routers[router].reqs.get_mut(&req) else { return };
        let Some(Stage::Held(held)) = r.stage.take_if(|s| matches!(s, Stage::Held(_))) else { return };
        let (caller, asked) = (r.caller, r.asked.clone());
        let ticket = self.callers[caller].ticket;
        let running = held.dispatch();
        if connect_fails {
            let Some(proof) = NotRunProof::from_failure(Failure::Connect) else { return };
            let (_, release) = running.take_back(proof).release();
            self.routers[router].reqs.remove(&req);
            self.release(router, &asked, release.key, release.attempt, ticket);
            return self.told_not_run(caller, release.attempt);
        }
        let attempt = running.request().attempt;
        if let Some(r) = self.routers[router].reqs.get_mut(&req) {
            r.stage = Some(Stage::Running(running));
        }
        if broken_before {
            self.after(1, Event::Reply { router, start, req, run: None });
        } else {
            let broken = broken_after;
            self.after(1, Event::Backend { router, start, req, caller, attempt, broken });
        }
        self.after(RUN_MS, Event::GiveUp { router, start, req });
    }

    pub(super) fn reply(&mut self, router: usize, req: ReqId, run: Option<u64>) {
        let mut req = req;
        if self.weakening == Weakening::UncheckedAnswer && !self.routers[router].reqs.contains_key(&req) {
            let waits = |(_, r): &(&ReqId, &Req)| matches!(r.stage, Some(Stage::Running(_)));
            let Some((id, _)) = self.routers[router].reqs.iter().find(waits) else { return };
            req = *id;
        }
        // An answer that comes after the router gave up finds no request and is dropped.
        let Some(r) = self.routers[router].reqs.remove(&req) else { return };
        let ticket = self.callers[r.caller].ticket;
        let Some(Stage::Running(running)) = r.stage else { return };
        let attempt = running.request().attempt;
        match run {
            Some(run) => {
                let body = Some(run.to_le_bytes().to_vec());
                let answered = StoredResponse { status: 200, content_type: "application/json".into(), body };
                let (_, finish) = running.finish(Record::Completed(answered));
                self.finish(router, &r.asked, finish.request, finish.record, ticket);
                self.told_ran(r.caller, run, false);
            }
            None if self.weakening == Weakening::BrokenIsNotRun => {
                self.release(router, &r.asked, running.request().key, attempt, ticket);
                self.told_not_run(r.caller, attempt);
            }
            None => {
                let (_, finish) = running.finish(Record::Unknown);
                self.finish(router, &r.asked, finish.request, finish.record, ticket);
                self.told_unknown(r.caller);
            }
        }
    }

    pub(super) fn release(
        &mut self,
        from: usize,
        asked: &[usize],
        key: KeyDigest,
        attempt: AttemptId,
        ticket: Option<(usize, Start)>,
    ) {
        for to in asked {
            self.frame(from, *to, Msg::Release { key, attempt, ticket });
        }
    }

    pub(super) fn finish(
        &mut self,
        from: usize,
        asked: &[usize],
        ask: ClaimRequest,
        record: Record,
        ticket: Option<(usize, Start)>,
    ) {
        if let Some(to) = asked.last() {
            self.frame(from, *to, Msg::Finish { ask, record, ticket });
        }
    }
}
