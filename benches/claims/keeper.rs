//! Links between routers, and the routers that keep the claims.

use super::*;

impl World {
    pub(super) fn frame(&mut self, from: usize, to: usize, msg: Msg) {
        let start = self.routers[to].start;
        if from == to {
            return self.after(0, Event::Link { to, start, msg });
        }
        self.stats.frames += 1;
        if self.chance(self.faults.lose_frame) {
            return;
        }
        let (least, most) = self.faults.link_ms;
        let copies = 1 + u32::from(self.chance(self.faults.repeat_frame));
        for _ in 0..copies {
            let late = if self.chance(self.faults.late_frame) { 2500 } else { 0 };
            let ms = self.rng.random_range(least..=most) + late;
            self.after(ms, Event::Link { to, start, msg: msg.clone() });
        }
    }

    pub(super) fn receive(&mut self, to: usize, msg: Msg) {
        let clock = self.clock();
        match msg {
            Msg::Ask { from, start, req, ask, ticket } => {
                let mine = ticket.is_some_and(|(r, s)| r == to && s == self.routers[to].start);
                match ticket {
                    Some(_) if mine => {
                        self.ask_local(to, ask, from, start, req);
                    }
                    Some(named)
                        if self.weakening != Weakening::TicketAnywhere && !self.closed.contains(&named) =>
                    {
                        let ask = ClaimRequest { lookup_only: true, ..ask };
                        self.ask_book(to, ask, Asker::Look { from, start, req });
                    }
                    _ => self.ask_book(to, ask, Asker::Remote { router: from, start, req }),
                }
            }
            Msg::Verdict { req, attempt, verdict } => self.verdict(to, req, attempt, verdict),
            Msg::Finish { ask, record, ticket } => {
                if ticket.is_none() {
                    return self.keep(to, ask, record, false);
                }
                self.routers[to].local.finish(ask.key, ask.attempt, record.clone());
                self.frame(to, self.owner(to, ask.key), Msg::Keep { ask, record });
            }
            Msg::Release { key, attempt, ticket } => {
                if ticket.is_none() {
                    return self.drop_claim(to, key, attempt);
                }
                self.routers[to].local.release(clock, key, attempt);
                self.frame(to, self.owner(to, key), Msg::Drop { key, attempt });
            }
            Msg::Keep { ask, record } => self.keep(to, ask, record, true),
            Msg::Drop { key, attempt } => self.drop_claim(to, key, attempt),
        }
    }

    pub(super) fn keep(&mut self, router: usize, ask: ClaimRequest, record: Record, authority: bool) {
        let clock = self.clock();
        let id = self.book_id(router, ask.key);
        self.book(router, id).finish(clock, &ask, record, authority);
        self.drive(router, id);
    }

    pub(super) fn drop_claim(&mut self, router: usize, key: KeyDigest, attempt: AttemptId) {
        let clock = self.clock();
        let id = self.book_id(router, key);
        self.book(router, id).release(clock, key, attempt);
        self.drive(router, id);
    }

    pub(super) fn ask_local(
        &mut self,
        router: usize,
        ask: ClaimRequest,
        from: usize,
        start: Start,
        req: ReqId,
    ) {
        let clock = self.clock();
        let step = self.routers[router].local.request_claim(clock, &ask, true);
        match step {
            Step::Answer(verdict) => {
                self.frame(router, from, Msg::Verdict { req, attempt: ask.attempt, verdict });
            }
            Step::Record | Step::Lookup => {
                let waiter = self.id();
                let asker = Asker::Authority { ask, from, start, req };
                self.routers[router].askers.insert(waiter, (asker, ask.attempt));
                let start = self.routers[router].start;
                self.after(RECORD_MS, Event::Recorded { router, start, waiter });
                let to = self.owner(router, ask.key);
                self.frame(router, to, Msg::Ask { from: router, start, req: waiter, ask, ticket: None });
            }
        }
    }

    pub(super) fn ask_book(&mut self, router: usize, ask: ClaimRequest, asker: Asker) {
        let clock = self.clock();
        let id = self.book_id(router, ask.key);
        let waiter = self.id();
        let verdict = self.book(router, id).request_claim(clock, ask, waiter);
        let verdict = match verdict {
            None if self.weakening == Weakening::GrantAtOnce && !ask.lookup_only => Some(Verdict::Granted),
            verdict => verdict,
        };
        match verdict {
            Some(verdict) => self.tell(router, asker, ask.attempt, verdict),
            None => {
                self.routers[router].askers.insert(waiter, (asker, ask.attempt));
            }
        }
        self.drive(router, id);
    }

    pub(super) fn tell(&mut self, router: usize, asker: Asker, attempt: AttemptId, verdict: Verdict) {
        let (to, start, req, verdict) = match asker {
            Asker::Remote { router: to, start, req } => (to, start, req, verdict),
            Asker::Authority { ask, from, start, req } => {
                (from, start, req, self.routers[router].local.apply_shard_verdict(&ask, verdict))
            }
            Asker::Look { from, start, req } => {
                let verdict = if verdict == Verdict::Expired { Verdict::Unknown } else { verdict };
                (from, start, req, verdict)
            }
        };
        if self.routers[to].start == start {
            self.frame(router, to, Msg::Verdict { req, attempt, verdict });
        }
    }

    pub(super) fn settle(&mut self, router: usize, verdicts: Vec<(u64, Verdict)>) {
        for (waiter, verdict) in verdicts {
            if let Some((asker, attempt)) = self.routers[router].askers.remove(&waiter) {
                self.tell(router, asker, attempt, verdict);
            }
        }
    }

    pub(super) fn book_id(&self, router: usize, key: KeyDigest) -> u64 {
        match self.way {
            ClaimStorage::Shards(n) => u64::from(key.shard() % n),
            ClaimStorage::RouterLogs => router as u64,
            ClaimStorage::ObjectPerKey => u64::from_le_bytes(key.0[..8].try_into().unwrap_or_default()),
        }
    }

    pub(super) fn book(&mut self, router: usize, id: u64) -> &mut ShardClaims {
        let cfg = self.cfg;
        let start = self.routers[router].start;
        let new = || ShardClaims::new(format!("claims-{id}"), format!("r{router}-{start}"), cfg);
        self.routers[router].books.entry(id).or_insert_with(new)
    }

    pub(super) fn drive(&mut self, router: usize, id: u64) {
        let clock = self.clock();
        let late = self.book(router, id).expire(clock);
        self.settle(router, late);
        let start = self.routers[router].start;
        if let Some(op) = self.book(router, id).next_op(clock) {
            self.call_platform(router, start, id, op);
        }
        let wake = self.book(router, id).wake_at();
        if let Some(at) = wake {
            let at = (at.as_millis() as Ms).max(self.now + 1);
            self.at(at, Event::Wake { router, start, book: id });
        }
        if self.way == ClaimStorage::ObjectPerKey && self.book(router, id).is_idle() {
            self.routers[router].books.remove(&id);
        }
    }
}
