//! Pings, indirect pings, suspicion and death.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{
    Body, JOIN_TIME, Membership, SYNC_TICKS, Status,
    compose::Extras,
    record::{Member, Record},
};
use crate::{
    schema::membership::{Ping, PingRequest},
    util::Instant,
};

/// Members asked to ping one that did not ack.
const HELPERS: usize = 3;
/// Every fourth ping goes to another data centre.
const CROSS: u64 = 4;
/// One in so many pings across goes to a dead member or a seed, so that two halves of a healed fleet meet.
const REVIVE: u32 = 8;
/// While no other is known, one tick in so many asks a seed; the number doubles every [`ALONE_TICKS`].
const ALONE: u32 = 4;
const ALONE_TICKS: u64 = 12;
const ALONE_DOUBLINGS: u64 = 3;
/// How long without any ack before this router doubts itself instead of the others.
const DEAF: Duration = Duration::from_secs(3);

/// A ping that waits for its ack.
#[derive(Clone, Debug)]
pub(super) struct Trial {
    pub(super) nonce: u32,
    /// Empty for an address whose member is not known.
    pub(super) target: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) addr: SocketAddr,
    /// Change of this router's reports that the ping carried.
    pub(super) upto: u64,
    /// Whether a missing ack leads to suspicion.
    watched: bool,
    indirect: bool,
    deadline: Instant,
}

/// A ping made for another member.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) asker: SocketAddr,
    pub(super) nonce: u32,
    pub(super) subject: Arc<str>,
    pub(super) at: Instant,
}

impl Membership {
    pub(super) fn ping_next(&mut self, now: Instant) {
        if std::mem::take(&mut self.tell_reporter)
            && let Some((name, addr)) = self.reporter().filter(|(n, _)| *n != self.me.name)
        {
            // No ping: all members tell the reporter at the same moment, and its acks to all would use up its budget,
            // so that it seemed dead to those who ping it then.
            self.send(now, Some(&name), addr, None, Extras::default());
        }
        if !self.budget.may_ping(now) {
            return;
        }
        let stranger = self.caller.take_if(|_| self.ticks.is_multiple_of(2));
        let target = stranger.map(|addr| ("".into(), addr)).or_else(|| self.next_target());
        let Some((name, addr)) = target else { return };
        self.ping(now, name, addr);
    }

    fn next_target(&mut self) -> Option<(Arc<str>, SocketAddr)> {
        let slot = self.ticks % CROSS;
        let near = self.near_others();
        // A small data centre needs fewer pings of its own; the turns left over go across.
        if slot == 0 || near.len() < slot as usize {
            return self.cross_target().or_else(|| self.ring_target());
        }
        self.ring_target()
    }

    fn near_others(&self) -> Vec<Arc<str>> {
        let me = &self.me;
        let live = self.table.centre(&me.data_centre).filter(|m| !m.record.status.gone());
        live.map(|m| m.record.name.clone()).filter(|n| *n != me.name).collect()
    }

    /// Next member of this data centre in a shuffled round, so that each is pinged within a bounded time.
    fn ring_target(&mut self) -> Option<(Arc<str>, SocketAddr)> {
        if self.ring.is_empty() {
            self.ring = self.near_others();
            self.ring.sort();
            self.ring.shuffle(&mut self.rng);
        }
        while let Some(name) = self.ring.pop() {
            if let Some(m) = self.table.get(&name).filter(|m| !m.record.status.gone()) {
                return Some((name, m.record.peer));
            }
        }
        None
    }

    fn cross_target(&mut self) -> Option<(Arc<str>, SocketAddr)> {
        let mine = self.me.data_centre.clone();
        let revive = self.rng.random_ratio(1, REVIVE);
        let alone = self.table.live_count() < 2;
        // Asked less and less often: seeds that a whole starting fleet asks could answer nobody in time.
        let patience = (self.ticks / ALONE_TICKS).min(ALONE_DOUBLINGS) as u32;
        if alone && !self.rng.random_ratio(1, ALONE << patience) {
            return None;
        }
        if revive || alone {
            let dead = self.others(|m| m.record.status == Status::Dead);
            let seeds = self.cfg.seeds.iter().filter(|s| **s != self.me.peer);
            let mut list: Vec<_> = seeds.map(|s| ("".into(), *s)).collect();
            if !alone || list.is_empty() {
                list.extend(dead);
            }
            if let Some(target) = list.choose(&mut self.rng) {
                return Some(target.clone());
            }
        }
        let mut centres: Vec<_> = self.table.centres().filter(|c| **c != mine).cloned().collect();
        centres.sort();
        centres.shuffle(&mut self.rng);
        for centre in centres {
            let live = self.table.centre(&centre).filter(|m| !m.record.status.gone());
            let list: Vec<_> = live.map(|m| (m.record.name.clone(), m.record.peer)).collect();
            if let Some(target) = list.choose(&mut self.rng) {
                return Some(target.clone());
            }
        }
        None
    }

    fn ping(&mut self, now: Instant, target: Arc<str>, addr: SocketAddr) {
        let nonce = self.number();
        let member = self.table.get(&target);
        let watched =
            member.is_some_and(|m| m.record.data_centre == self.me.data_centre && !m.record.status.gone());
        let (incarnation, acked) = member.map_or((0, 0), |m| (m.record.incarnation, m.acked));
        let joining = self.joined + JOIN_TIME > now;
        // Every third tick is odd and even in turn, so that both near and far members are compared with.
        let every = if self.differs || joining { 3 } else { SYNC_TICKS / 2 + 1 };
        let sync = target.is_empty() || self.ticks.is_multiple_of(every);
        let extras = Extras { sync, report: watched.then_some(acked), ..Extras::default() };
        let known = !target.is_empty();
        let sent = self.send(now, known.then_some(&*target), addr, Some(Body::Ping(Ping { nonce })), extras);
        let Some(upto) = sent else { return };
        if known {
            self.unanswered.insert(target.clone());
        }
        let deadline = now + self.cfg.ack_time;
        self.trials.push(Trial {
            nonce,
            target,
            incarnation,
            addr,
            upto: upto.unwrap_or(acked),
            watched,
            indirect: false,
            deadline,
        });
    }

    pub(super) fn expire_trials(&mut self, now: Instant) {
        let (late, open) =
            std::mem::take(&mut self.trials).into_iter().partition(|t: &Trial| t.deadline <= now);
        self.trials = open;
        for trial in late {
            if !trial.watched {
                continue;
            }
            if trial.indirect {
                self.suspect(now, &trial.target);
            } else {
                self.ask_helpers(now, trial);
            }
        }
    }

    /// Asks others to ping: a lost datagram or one broken path must not look like a dead member.
    fn ask_helpers(&mut self, now: Instant, trial: Trial) {
        let subject = trial.target.to_string();
        let centre = self.me.data_centre.clone();
        let helper = |m: &Member| m.record.status <= Status::Leaving && m.record.name != trial.target;
        let near = self.others(|m| helper(m) && m.record.data_centre == centre);
        let mut helpers: Vec<_> = near.choose_multiple(&mut self.rng, HELPERS).cloned().collect();
        if helpers.len() < HELPERS {
            // A data centre of two or three routers has too few helpers of its own.
            let far = self.others(|m| helper(m) && m.record.data_centre != centre);
            let missing = HELPERS - helpers.len();
            helpers.extend(far.choose_multiple(&mut self.rng, missing).cloned());
        }
        for (name, addr) in helpers {
            let body = Body::PingRequest(PingRequest { nonce: trial.nonce, subject: subject.clone() });
            self.send(now, Some(&name), addr, Some(body), Extras::default());
        }
        let again = Body::Ping(Ping { nonce: trial.nonce });
        self.send(now, Some(&trial.target), trial.addr, Some(again), Extras::default());
        self.trials.push(Trial { indirect: true, deadline: now + self.cfg.ack_time * 2, ..trial });
    }

    fn suspect(&mut self, now: Instant, name: &str) {
        if self.deaf(now) {
            return;
        }
        let Some(m) = self.table.get_mut(name) else { return };
        if m.record.status >= Status::Suspect {
            return;
        }
        let record = Record { status: Status::Suspect, ..m.record.clone() };
        self.counts.suspicions += 1;
        self.learn(now, record, true);
    }

    pub(super) fn expire_suspects(&mut self, now: Instant) {
        let late: Vec<_> = self
            .table
            .iter()
            .filter(|m| m.suspect_until.is_some_and(|at| at <= now))
            .map(|m| m.record.clone())
            .collect();
        if late.is_empty() || self.deaf(now) {
            return;
        }
        for record in late {
            self.counts.deaths += 1;
            self.learn(now, Record { status: Status::Dead, ..record }, true);
        }
    }

    /// Whether this router hears nobody. One that gets no acks from anyone would find all others dead; it is far
    /// likelier that its own link is broken, and its accusations would cost every other member a refutation.
    pub(super) fn deaf(&self, now: Instant) -> bool {
        self.unanswered.len() >= 2 && self.last_ack + DEAF <= now
    }
}
