//! Failure detection: pings, indirect pings, suspicions and deaths.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{
    Body, JOIN_PERIOD, Membership, SYNC_INTERVAL_TICKS, Status,
    compose::Extras,
    record::{Member, Record},
};
use crate::{
    schema::membership::{Ping, PingRequest},
    util::Instant,
};

/// Number of members asked to ping a member that did not ack.
const INDIRECT_PING_HELPERS: usize = 3;
/// Every fourth ping goes to a remote data centre.
const REMOTE_PING_CYCLE_TICKS: u64 = 4;
/// One in this many pings to remote data centres goes to a dead member or a seed, so that a partitioned fleet merges
/// again after the partition has healed.
const RECONNECT_PING_ONE_IN: u32 = 8;
/// While no other member is known, one in this many remote turns pings a seed; the number doubles every
/// [`SEED_BACKOFF_TICKS`].
const SEED_PING_ONE_IN: u32 = 4;
const SEED_BACKOFF_TICKS: u64 = 12;
const MAX_SEED_BACKOFF_DOUBLINGS: u64 = 3;
/// Time without any ack after which this router considers itself isolated and suspects nobody.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A ping that is waiting for its ack.
#[derive(Clone, Debug)]
pub(super) struct PendingPing {
    pub(super) nonce: u32,
    /// Name of the pinged member; empty if only its address is known.
    pub(super) target: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) addr: SocketAddr,
    /// Last change of this router's report that the ping carried.
    pub(super) upto: u64,
    /// Whether a missing ack raises a suspicion.
    suspect_on_timeout: bool,
    indirect: bool,
    deadline: Instant,
}

/// A ping sent on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct RelayedPing {
    pub(super) requester: SocketAddr,
    pub(super) nonce: u32,
    pub(super) subject: Arc<str>,
    pub(super) at: Instant,
}

impl Membership {
    /// Sends the next ping if the budget allows, and notifies the reporter of a new version in force.
    pub(super) fn ping_next(&mut self, now: Instant) {
        if std::mem::take(&mut self.notify_reporter)
            && let Some((name, addr)) = self.reporter().filter(|(n, _)| *n != self.me.name)
        {
            // Not a ping: all members notify the reporter at the same time, and acks to all of them would exhaust its
            // budget, so that it would look dead to members that ping it then.
            self.send(now, Some(&name), addr, None, Extras::default());
        }
        if !self.budget.may_ping(now) {
            return;
        }
        let unknown = self.unknown_sender.take_if(|_| self.ticks.is_multiple_of(2));
        let target = unknown.map(|addr| ("".into(), addr)).or_else(|| self.next_target());
        let Some((name, addr)) = target else { return };
        self.ping(now, name, addr);
    }

    fn next_target(&mut self) -> Option<(Arc<str>, SocketAddr)> {
        let slot = self.ticks % REMOTE_PING_CYCLE_TICKS;
        let local = self.local_peers();
        // A small data centre needs fewer local pings; the spare turns go to remote data centres.
        if slot == 0 || local.len() < slot as usize {
            return self.remote_target().or_else(|| self.next_local_target());
        }
        self.next_local_target()
    }

    fn local_peers(&self) -> Vec<Arc<str>> {
        let me = &self.me;
        let live = self.table.centre(&me.data_centre).filter(|m| !m.record.status.is_dead_or_left());
        live.map(|m| m.record.name.clone()).filter(|n| *n != me.name).collect()
    }

    /// Returns the next member of the local data centre in a shuffled round, so that each is pinged in bounded time.
    fn next_local_target(&mut self) -> Option<(Arc<str>, SocketAddr)> {
        if self.ping_queue.is_empty() {
            self.ping_queue = self.local_peers();
            self.ping_queue.sort();
            self.ping_queue.shuffle(&mut self.rng);
        }
        while let Some(name) = self.ping_queue.pop() {
            if let Some(m) = self.table.get(&name).filter(|m| !m.record.status.is_dead_or_left()) {
                return Some((name, m.record.peer));
            }
        }
        None
    }

    /// Returns a random member of a remote data centre, sometimes a dead member or a seed; a seed while there are no
    /// peers.
    fn remote_target(&mut self) -> Option<(Arc<str>, SocketAddr)> {
        let own_centre = self.me.data_centre.clone();
        let reconnect = self.rng.random_ratio(1, RECONNECT_PING_ONE_IN);
        let no_peers = self.table.live_count() < 2;
        // Backs off: seeds pinged by a whole fleet that starts at once could not respond to anyone in time.
        let doublings = (self.ticks / SEED_BACKOFF_TICKS).min(MAX_SEED_BACKOFF_DOUBLINGS) as u32;
        if no_peers && !self.rng.random_ratio(1, SEED_PING_ONE_IN << doublings) {
            return None;
        }
        if reconnect || no_peers {
            let dead = self.others(|m| m.record.status == Status::Dead);
            let seeds = self.cfg.seeds.iter().filter(|s| **s != self.me.peer);
            let mut list: Vec<_> = seeds.map(|s| ("".into(), *s)).collect();
            if !no_peers || list.is_empty() {
                list.extend(dead);
            }
            if let Some(target) = list.choose(&mut self.rng) {
                return Some(target.clone());
            }
        }
        let mut centres: Vec<_> = self.table.centres().filter(|c| **c != own_centre).cloned().collect();
        centres.sort();
        centres.shuffle(&mut self.rng);
        for centre in centres {
            let live = self.table.centre(&centre).filter(|m| !m.record.status.is_dead_or_left());
            let list: Vec<_> = live.map(|m| (m.record.name.clone(), m.record.peer)).collect();
            if let Some(target) = list.choose(&mut self.rng) {
                return Some(target.clone());
            }
        }
        None
    }

    fn ping(&mut self, now: Instant, target: Arc<str>, addr: SocketAddr) {
        let nonce = self.random_nonce();
        let member = self.table.get(&target);
        let suspect_on_timeout = member.is_some_and(|m| {
            m.record.data_centre == self.me.data_centre && !m.record.status.is_dead_or_left()
        });
        let (incarnation, acked) = member.map_or((0, 0), |m| (m.record.incarnation, m.acked_change));
        let is_joining = self.joined_at + JOIN_PERIOD > now;
        // Odd periods make comparisons alternate between odd and even ticks, so that both local and remote members
        // are compared.
        let sync_period_ticks = if self.out_of_sync || is_joining { 3 } else { SYNC_INTERVAL_TICKS / 2 + 1 };
        let sync = target.is_empty() || self.ticks.is_multiple_of(sync_period_ticks);
        let extras = Extras { sync, report: suspect_on_timeout.then_some(acked), ..Extras::default() };
        let has_member = !target.is_empty();
        let sent =
            self.send(now, has_member.then_some(&*target), addr, Some(Body::Ping(Ping { nonce })), extras);
        let Some(upto) = sent else { return };
        if has_member {
            self.unacked.insert(target.clone());
        }
        let deadline = now + self.cfg.ack_timeout;
        self.pending_pings.push(PendingPing {
            nonce,
            target,
            incarnation,
            addr,
            upto: upto.unwrap_or(acked),
            suspect_on_timeout,
            indirect: false,
            deadline,
        });
    }

    /// Handles pings without an ack: sends indirect pings, or raises a suspicion if these timed out as well.
    pub(super) fn expire_pings(&mut self, now: Instant) {
        let (overdue, open) = std::mem::take(&mut self.pending_pings)
            .into_iter()
            .partition(|p: &PendingPing| p.deadline <= now);
        self.pending_pings = open;
        for pending in overdue {
            if !pending.suspect_on_timeout {
                continue;
            }
            if pending.indirect {
                self.suspect(now, &pending.target);
            } else {
                self.send_indirect_pings(now, pending);
            }
        }
    }

    /// Asks other members to ping, so that a lost datagram or one broken path does not look like a dead member.
    fn send_indirect_pings(&mut self, now: Instant, pending: PendingPing) {
        let subject = pending.target.to_string();
        let centre = self.me.data_centre.clone();
        let helper = |m: &Member| m.record.status <= Status::Leaving && m.record.name != pending.target;
        let local = self.others(|m| helper(m) && m.record.data_centre == centre);
        let mut helpers: Vec<_> =
            local.choose_multiple(&mut self.rng, INDIRECT_PING_HELPERS).cloned().collect();
        if helpers.len() < INDIRECT_PING_HELPERS {
            // A data centre of two or three routers has too few local helpers.
            let remote = self.others(|m| helper(m) && m.record.data_centre != centre);
            let missing = INDIRECT_PING_HELPERS - helpers.len();
            helpers.extend(remote.choose_multiple(&mut self.rng, missing).cloned());
        }
        for (name, addr) in helpers {
            let body = Body::PingRequest(PingRequest { nonce: pending.nonce, subject: subject.clone() });
            self.send(now, Some(&name), addr, Some(body), Extras::default());
        }
        let retry = Body::Ping(Ping { nonce: pending.nonce });
        self.send(now, Some(&pending.target), pending.addr, Some(retry), Extras::default());
        self.pending_pings.push(PendingPing {
            indirect: true,
            deadline: now + self.cfg.ack_timeout * 2,
            ..pending
        });
    }

    /// Raises a suspicion against a member, unless this router is isolated.
    fn suspect(&mut self, now: Instant, name: &str) {
        if self.is_isolated(now) {
            return;
        }
        let Some(m) = self.table.get_mut(name) else { return };
        if m.record.status >= Status::Suspect {
            return;
        }
        let record = Record { status: Status::Suspect, ..m.record.clone() };
        self.counts.suspicions += 1;
        self.apply_record(now, record, true);
    }

    /// Declares suspects dead that did not refute in time, unless this router is isolated.
    pub(super) fn expire_suspects(&mut self, now: Instant) {
        let overdue: Vec<_> = self
            .table
            .iter()
            .filter(|m| m.suspect_until.is_some_and(|at| at <= now))
            .map(|m| m.record.clone())
            .collect();
        if overdue.is_empty() || self.is_isolated(now) {
            return;
        }
        for record in overdue {
            self.counts.deaths += 1;
            self.apply_record(now, Record { status: Status::Dead, ..record }, true);
        }
    }

    /// Whether this router receives no acks from anyone. It is then far more likely that its own network is broken than
    /// that all others are dead, and false suspicions would cost every other member a refutation.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.unacked.len() >= 2 && self.last_ack + ISOLATION_TIMEOUT <= now
    }
}
