//! Who is told what, and when.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::{Peer, Peers};
use crate::{
    schema::fleet::{Beat, Member},
    util::{Instant, Map},
};

/// Time between beats in a small fleet. Loads are as old as this.
pub const PERIOD: Duration = Duration::from_millis(250);
/// Bytes a second that beats may take, half of a host's control traffic; with more hosts the period grows instead.
const BYTES_PER_SECOND: f64 = 6_500.0;
/// Bytes of a common beat with the headers of IP and UDP.
const BEAT_BYTES: f64 = 140.0;
/// Every so many beats carry the members, so that lost ones are made up for.
const FULL_EVERY: u64 = 8;
/// Time between beats to an address that does not answer.
const SEEK: Duration = Duration::from_secs(1);
/// Beats after a start that ask for a full one: after a loss of all hosts each knows three seeds, and callers would all be
/// sent to these until the others are heard of.
const FIRST_BEATS: u64 = 12;
/// Hosts that a host tells of a configuration that another one has told it.
const FEW: usize = 4;
/// Members in a full beat, so that it fits one datagram.
const MOST_MEMBERS: usize = 16;

/// What a beat to a host carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The sender's own requests in progress.
    Host,
    /// The summary of the sender's data centre.
    DataCentre,
}

impl Peers {
    /// Time between two beats.
    pub fn period(&self) -> Duration {
        if self.number <= FIRST_BEATS {
            return PERIOD;
        }
        let near = self.peers.values().filter(|p| self.is_near(p)).count();
        let bytes = near as f64 * BEAT_BYTES;
        PERIOD.max(Duration::from_secs_f64(bytes / BYTES_PER_SECOND))
    }

    /// Addresses for the next beat with what they are told: all near hosts that are heard, one host of each other data
    /// centre, and once a second those that don't answer.
    pub fn targets(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<(SocketAddr, Scope)> {
        let limit = self.lost();
        let heard = |p: &Peer| p.heard.is_some_and(|heard| heard + limit >= now);
        let mut targets = Vec::new();
        let mut far: Map<String, Vec<SocketAddr>> = Map::default();
        for (addr, peer) in &self.peers {
            let near = self.is_near(peer);
            match &peer.member {
                _ if near && heard(peer) => targets.push((*addr, Scope::Host)),
                Some(member) if !near => far.entry(member.data_centre.clone()).or_default().push(*addr),
                _ if peer.sought.is_none_or(|sought| sought + SEEK <= now) => {
                    targets.push((*addr, Scope::Host))
                }
                _ => {}
            }
        }
        let drawn = far.into_values().map(|hosts| hosts[rng.random_range(0..hosts.len())]);
        targets.extend(drawn.map(|addr| (addr, Scope::DataCentre)));
        for (addr, _) in &targets {
            if let Some(peer) = self.peers.get_mut(addr) {
                peer.sought = Some(now);
            }
        }
        targets
    }

    /// A few hosts of the own data centre to tell of something new, drawn. What spreads from each host that has it to a few
    /// more reaches all soon, though each can give it to few at a time.
    pub fn gossip_targets(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let limit = self.lost();
        let heard = |p: &Peer| p.heard.is_some_and(|heard| heard + limit >= now);
        let near = self.peers.iter().filter(|(_, p)| heard(p) && self.is_near(p));
        near.map(|(addr, _)| *addr).choose_multiple(rng, FEW)
    }

    /// Completes a beat: numbers it, and adds the members to every eighth and to those that are asked for.
    pub fn finish_beat(&mut self, beat: &mut Beat, me: &Member, full: bool) {
        self.number += 1;
        beat.number = self.number;
        if full || self.number % FULL_EVERY == 1 {
            beat.sender = Some(me.clone());
            beat.members = self.some_members();
        }
        let unknown = self.peers.values().any(|p| p.heard.is_some() && p.member.is_none());
        beat.wants_full = unknown || self.number <= FIRST_BEATS;
    }

    /// The next members in turn, so that a host that asks a few times hears of all of them.
    fn some_members(&mut self) -> Vec<Member> {
        // What nobody has heard of for itself is not told on, or a host that is gone would be told for ever.
        let witnessed = self.peers.values().filter(|p| p.is_witnessed());
        let known = witnessed.clone().filter_map(|p| p.member.as_ref());
        let members: Vec<_> = known.cycle().skip(self.told).take(MOST_MEMBERS).cloned().collect();
        let all = witnessed.filter(|p| p.member.is_some()).count();
        self.told = (self.told + MOST_MEMBERS) % all.max(1);
        if all < MOST_MEMBERS { members.into_iter().take(all).collect() } else { members }
    }
}
