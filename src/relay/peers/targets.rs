//! Decides which hosts are sent heartbeats, when, and with what content.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::{Peer, Peers};
use crate::{
    schema::fleet::{Beat, Member},
    util::{Instant, Map},
};

/// Time between heartbeats in a small fleet, and therefore the age of load reports.
pub const BEAT_PERIOD: Duration = Duration::from_millis(250);
/// Maximum rate of heartbeat traffic, half of a host's control traffic. With more hosts the period grows instead.
const MAX_BEAT_BYTES_PER_SECOND: f64 = 6_500.0;
/// Size of a typical heartbeat including IP and UDP headers.
const TYPICAL_BEAT_BYTES: f64 = 140.0;
/// Every so many heartbeats carry members, which compensates for lost datagrams.
const FULL_BEAT_EVERY: u64 = 8;
/// Time between heartbeats to an address that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of heartbeats after a start that ask for a full one. After a failure of all hosts each knows only three
/// seeds, and all callers would be sent to these until the others are known.
const STARTUP_BEATS: u64 = 12;
/// Number of hosts to which a host passes on a configuration that it got from another host.
const GOSSIP_FANOUT: usize = 4;
/// Maximum number of members in a full heartbeat, so that it fits into a datagram.
const MAX_MEMBERS: usize = 16;

/// Which requests in progress a heartbeat reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those of the sender.
    Host,
    /// Those of the sender's data centre, as a summary.
    DataCentre,
}

impl Peers {
    /// Time between two heartbeats.
    pub fn period(&self) -> Duration {
        if self.beat_number <= STARTUP_BEATS {
            return BEAT_PERIOD;
        }
        let direct = self.peers.values().filter(|p| self.is_direct(p)).count();
        let bytes = direct as f64 * TYPICAL_BEAT_BYTES;
        BEAT_PERIOD.max(Duration::from_secs_f64(bytes / MAX_BEAT_BYTES_PER_SECOND))
    }

    /// Targets of the next heartbeat with its scope: all direct peers that are alive, one host of each other data
    /// centre, and once a second those that do not answer.
    pub fn targets(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<(SocketAddr, Scope)> {
        let host_timeout = self.host_timeout();
        let is_alive = |p: &Peer| p.is_heard(now, host_timeout);
        let mut targets = Vec::new();
        let mut remote: Map<String, Vec<SocketAddr>> = Map::default();
        for (addr, peer) in &self.peers {
            let direct = self.is_direct(peer);
            match &peer.member {
                _ if direct && is_alive(peer) => targets.push((*addr, Scope::Host)),
                Some(member) if !direct => remote.entry(member.data_centre.clone()).or_default().push(*addr),
                _ if peer.last_sent.is_none_or(|at| at + PROBE_INTERVAL <= now) => {
                    targets.push((*addr, Scope::Host))
                }
                _ => {}
            }
        }
        let drawn = remote.into_values().map(|hosts| hosts[rng.random_range(0..hosts.len())]);
        targets.extend(drawn.map(|addr| (addr, Scope::DataCentre)));
        for (addr, _) in &targets {
            if let Some(peer) = self.peers.get_mut(addr) {
                peer.last_sent = Some(now);
            }
        }
        targets
    }

    /// All direct peers that are alive, and one random host of each other data centre.
    pub fn spread_targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let host_timeout = self.host_timeout();
        let mut targets = Vec::new();
        let mut remote: Map<&str, Vec<SocketAddr>> = Map::default();
        for (addr, peer) in &self.peers {
            match &peer.member {
                Some(member) if !self.is_direct(peer) => {
                    remote.entry(&member.data_centre).or_default().push(*addr);
                }
                _ if peer.is_heard(now, host_timeout) => targets.push(*addr),
                _ => {}
            }
        }
        targets.extend(remote.into_values().map(|hosts| hosts[rng.random_range(0..hosts.len())]));
        targets
    }

    /// A few random hosts of the data centre to pass a change on to. A change that each host passes on to a few
    /// others reaches all hosts quickly, although each can serve it to only a few at a time.
    pub fn gossip_targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let host_timeout = self.host_timeout();
        let is_alive = |p: &Peer| p.is_heard(now, host_timeout);
        let direct = self.peers.iter().filter(|(_, p)| is_alive(p) && self.is_direct(p));
        direct.map(|(addr, _)| *addr).choose_multiple(rng, GOSSIP_FANOUT)
    }

    /// Some random hosts of any data centre that are alive.
    pub fn random_hosts(&self, now: Instant, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let (host_timeout, summary_timeout) = (self.host_timeout(), self.summary_timeout());
        let is_alive = |p: &Peer| p.is_heard(now, host_timeout) || p.is_named_ready(now, summary_timeout);
        let alive = self.peers.iter().filter(|(_, p)| is_alive(p));
        alive.map(|(addr, _)| *addr).choose_multiple(rng, count)
    }

    /// Completes a heartbeat: numbers it, and adds the members if `full` is set or it is the turn of a full one.
    pub fn finish_beat(&mut self, beat: &mut Beat, me: &Member, full: bool) {
        self.beat_number += 1;
        beat.number = self.beat_number;
        if full || self.beat_number % FULL_BEAT_EVERY == 1 {
            beat.sender = Some(me.clone());
            beat.members = self.next_members();
        }
        let unknown = self.peers.values().any(|p| p.last_beat.is_some() && p.member.is_none());
        beat.wants_full = unknown || self.beat_number <= STARTUP_BEATS;
    }

    /// The next members in rotation, so that a host that asks several times learns of all of them.
    fn next_members(&mut self) -> Vec<Member> {
        // Hosts that nobody has heard from directly are not passed on, since hosts that are gone would otherwise be
        // passed on forever.
        let witnessed = self.peers.values().filter(|p| p.was_seen_alive());
        let members = witnessed.clone().filter_map(|p| p.member.as_ref());
        let members: Vec<_> = members.cycle().skip(self.next_member).take(MAX_MEMBERS).cloned().collect();
        let all = witnessed.filter(|p| p.member.is_some()).count();
        self.next_member = (self.next_member + MAX_MEMBERS) % all.max(1);
        if all < MAX_MEMBERS { members.into_iter().take(all).collect() } else { members }
    }
}
