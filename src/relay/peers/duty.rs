//! Whether this host follows the store, and which hosts of its data centre are there.

use std::{net::SocketAddr, ops::Range, time::Duration};

use super::{Peer, Peers};
use crate::{
    relay::{
        backends::Tag,
        confirm::CheckOrder,
        followers::{self, FollowState, Neighbour},
    },
    schema::fleet::Member,
    util::{Instant, Set, hash},
};

/// Time after its start from which a host decides whether it follows the store, if it has heard of no other host lately,
/// and time from which it does so anyway. A host that knows few others takes the fleet for a small one, in which all follow.
const SETTLE: Range<Duration> = Duration::from_millis(1_000)..Duration::from_millis(4_000);
/// The first of these times for a host that is no seed and hears others: after a start of all it has yet to hear of most, or
/// of those that follow the store.
const SETTLE_HEARD: Duration = Duration::from_millis(2_000);
/// Periods of beats within which a host was heard lately.
const LATELY: u32 = 2;
/// Time without an unknown host.
const SETTLED: Duration = Duration::from_millis(500);

impl Peers {
    /// Whether this host, with its contact to the store, follows it now. Before it knows the others only a seed does: after a
    /// start of all hosts nobody else would see what changes until they have decided.
    pub fn is_on_duty(&mut self, now: Instant, contact: FollowState) -> bool {
        // Who follows the store already tells this host what changes, and in a large fleet some soon do.
        let can_wait = !self.seed && (!self.is_small() || self.some_follow_store(now));
        let first = if self.seed || self.is_alone(now) { SETTLE.start } else { SETTLE_HEARD };
        let known = !can_wait && self.grew + SETTLED <= now && self.started + first <= now;
        self.settled |= known || self.started + SETTLE.end <= now;
        if self.settled { self.decide_duty(now, contact) } else { self.seed }
    }

    /// Decides whether this host, with its contact to the store, follows it from now on: every one in a small fleet, else a
    /// few of each data centre.
    pub fn decide_duty(&mut self, now: Instant, contact: FollowState) -> bool {
        self.follows = match self.me {
            Some(me) if !self.is_small() => {
                let me = Neighbour { rank: hash(me), contact };
                let near = self.neighbours(now);
                self.duty.decide(now, me, near, followers::followers_per_data_centre(self.data_centres()))
            }
            _ => true,
        };
        self.follows
    }

    /// Whether this host tells at once what is new to it. Hosts that have it from a follower of the store don't, since the
    /// others have heard that follower as well: with a hundred hosts each change would cost ten thousand beats.
    pub fn tells_news(&self) -> bool {
        self.follows || self.is_small()
    }

    /// Whether this host has heard of most others since its start.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// This host's place among those that could ask the store whether what all know is the newest. Only hosts that were heard
    /// since about the last confirmation count: who hears nobody must ask itself.
    pub fn turn(&self, now: Instant, contact: FollowState) -> CheckOrder {
        let lately = self.period() * LATELY;
        let heard = |at: Instant| at + lately >= now;
        let near = || {
            let near = self.peers.iter().filter(|(_, p)| self.is_near(p) && !p.is_leaving());
            near.filter(|(_, p)| p.heard.is_some_and(heard))
        };
        let me = self.me.map_or(0, hash);
        let is_before = |(addr, p): &(&SocketAddr, &Peer)| {
            let is_higher = p.contact == contact && hash(addr) > me;
            is_higher || contact == FollowState::Lost && p.contact == FollowState::Follows
        };
        let follows = contact != FollowState::Idle;
        let own = hash(&self.data_centre);
        let centres = self.centres.iter().filter(|(name, c)| follows && heard(c.heard) && hash(name) > own);
        CheckOrder {
            follows,
            position: near().filter(is_before).count() + centres.count(),
            others_fail: near().any(|(_, p)| p.contact == FollowState::Lost),
        }
    }

    /// Hosts of the own data centre that are heard and stay.
    fn neighbours(&self, now: Instant) -> Vec<Neighbour> {
        let limit = self.lost();
        let alive = |p: &Peer| p.heard.is_some_and(|heard| heard + limit >= now) && !p.is_leaving();
        let near = self.peers.iter().filter(|(_, p)| alive(p) && self.is_near(p));
        near.map(|(addr, p)| Neighbour { rank: hash(addr), contact: p.contact }).collect()
    }

    fn data_centres(&self) -> usize {
        let members = self.peers.values().filter_map(|p| p.member.as_ref());
        let centres: Set<&str> = members.map(|m| &*m.data_centre).chain([&*self.data_centre]).collect();
        centres.len()
    }

    /// Hosts of the own data centre, this one included.
    pub fn near_hosts(&self) -> usize {
        let of_centre = |p: &&Peer| p.member.as_ref().is_some_and(|m| m.data_centre == self.data_centre);
        self.peers.values().filter(of_centre).count() + 1
    }

    /// Hosts of the own data centre that are heard and ready, those that have been up for the longest first.
    pub fn near_ready(&self, most: usize) -> Vec<Member> {
        let mut near: Vec<_> = self.peers.values().filter(|p| p.ready && self.is_near(p)).collect();
        near.sort_unstable_by_key(|p| p.start);
        let of_centre = |m: &&Member| m.data_centre == self.data_centre;
        near.into_iter().filter_map(|p| p.member.as_ref()).filter(of_centre).take(most).cloned().collect()
    }

    /// Whether this host is one of the first of the fleet for a backend server, by rendezvous hashing. Hosts that have fallen
    /// silent count for as long as they are remembered: they may be cut off and go on.
    pub fn is_among_first(&self, tag: Tag, most: usize) -> bool {
        let Some(me) = self.me.map(|me| hash((me, tag))) else { return false };
        let known = self.peers.iter().filter(|(_, p)| p.heard.is_some() || p.member.is_some());
        known.filter(|(addr, _)| hash((**addr, tag)) > me).take(most).count() < most
    }

    /// Whether some other host that is heard reaches the store.
    pub fn some_follow_store(&self, now: Instant) -> bool {
        let limit = self.lost();
        let heard = |p: &&Peer| p.heard.is_some_and(|heard| heard + limit >= now);
        self.peers.values().filter(heard).any(|p| p.contact == FollowState::Follows)
    }
}
