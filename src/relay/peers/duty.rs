//! Decides whether this host follows the store, and lists the hosts of its data centre.

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

/// Range of the time after its start at which a host first decides whether it follows the store: the earliest time
/// if no unknown host has appeared recently, and the latest. A host that knows few others would take the fleet for
/// a small one, in which all hosts follow.
const SETTLE_RANGE: Range<Duration> = Duration::from_millis(1_000)..Duration::from_millis(4_000);
/// The earliest time for a host that is not a seed and gets heartbeats of others: after a start of the whole fleet
/// it has yet to learn of most hosts, or of those that follow the store.
const SETTLE_WITH_PEERS: Duration = Duration::from_millis(2_000);
/// Number of heartbeat periods within which a heartbeat counts as recent.
const RECENT_BEATS: u32 = 2;
/// How long no unknown host must have appeared.
const QUIET_PERIOD: Duration = Duration::from_millis(500);

impl Peers {
    /// Whether this host, with its current contact to the store, follows it now. Before it knows the fleet only a
    /// seed does: after a start of all hosts nobody would see changes otherwise until they have decided.
    pub fn should_follow_store(&mut self, now: Instant, contact: FollowState) -> bool {
        // Hosts that follow the store already send changes to this host; in a large fleet some will soon do so.
        let others_follow = !self.is_seed && (!self.is_small() || self.any_follows_store(now));
        let earliest =
            if self.is_seed || self.is_alone(now) { SETTLE_RANGE.start } else { SETTLE_WITH_PEERS };
        let joined_all =
            !others_follow && self.last_joined + QUIET_PERIOD <= now && self.started + earliest <= now;
        self.knows_fleet |= joined_all || self.started + SETTLE_RANGE.end <= now;
        if self.knows_fleet { self.decide_following(now, contact) } else { self.is_seed }
    }

    /// Decides whether this host, with its current contact to the store, follows it from now on: all hosts do in a
    /// small fleet, otherwise a few in each data centre.
    pub fn decide_following(&mut self, now: Instant, contact: FollowState) -> bool {
        self.follows = match self.own_addr {
            Some(me) if !self.is_small() => {
                let me = Neighbour { rank: hash(me), contact };
                let direct = self.neighbours(now);
                self.duty.decide(
                    now,
                    me,
                    direct,
                    followers::followers_per_data_centre(self.data_centre_count()),
                )
            }
            _ => true,
        };
        self.follows
    }

    /// Whether this host sends changes to others at once. Hosts that got a change from a follower of the store do
    /// not, since the others have got it from the follower as well: with a hundred hosts, each change would cost
    /// ten thousand heartbeats.
    pub fn pushes_changes(&self) -> bool {
        self.follows || self.is_small()
    }

    /// Whether this host has learnt of most other hosts since its start.
    pub fn knows_fleet(&self) -> bool {
        self.knows_fleet
    }

    /// This host's rank among those that could ask the store whether the fleet's state is the latest. Only hosts
    /// with heartbeats since about the last confirmation count: a host that hears from nobody must ask by itself.
    pub fn confirmation_turn(&self, now: Instant, contact: FollowState) -> CheckOrder {
        let recent = self.period() * RECENT_BEATS;
        let is_recent = |at: Instant| at + recent >= now;
        let direct = || {
            let direct = self.peers.iter().filter(|(_, p)| self.is_direct(p) && !p.is_leaving());
            direct.filter(|(_, p)| p.last_beat.is_some_and(is_recent))
        };
        let me = self.own_addr.map_or(0, hash);
        let is_before = |(addr, p): &(&SocketAddr, &Peer)| {
            let is_higher = p.contact == contact && hash(addr) > me;
            is_higher || contact == FollowState::Lost && p.contact == FollowState::Follows
        };
        let follows = contact != FollowState::Idle;
        let own = hash(&self.data_centre);
        let summaries =
            self.summaries.iter().filter(|(name, c)| follows && is_recent(c.received_at) && hash(name) > own);
        CheckOrder {
            follows,
            position: direct().filter(is_before).count() + summaries.count(),
            others_fail: direct().any(|(_, p)| p.contact == FollowState::Lost),
        }
    }

    /// Hosts of the data centre that are alive and not leaving.
    fn neighbours(&self, now: Instant) -> Vec<Neighbour> {
        let host_timeout = self.host_timeout();
        let alive = |p: &Peer| p.last_beat.is_some_and(|at| at + host_timeout >= now) && !p.is_leaving();
        let direct = self.peers.iter().filter(|(_, p)| alive(p) && self.is_direct(p));
        direct.map(|(addr, p)| Neighbour { rank: hash(addr), contact: p.contact }).collect()
    }

    fn data_centre_count(&self) -> usize {
        let members = self.peers.values().filter_map(|p| p.member.as_ref());
        let data_centres: Set<&str> = members.map(|m| &*m.data_centre).chain([&*self.data_centre]).collect();
        data_centres.len()
    }

    /// Number of hosts in the data centre, including this one.
    pub fn data_centre_size(&self) -> usize {
        let of_centre = |p: &&Peer| p.member.as_ref().is_some_and(|m| m.data_centre == self.data_centre);
        self.peers.values().filter(of_centre).count() + 1
    }

    /// Ready hosts of the data centre, those that have been up the longest first.
    pub fn ready_in_data_centre(&self, max: usize) -> Vec<Member> {
        let mut direct: Vec<_> = self.peers.values().filter(|p| p.ready && self.is_direct(p)).collect();
        direct.sort_unstable_by_key(|p| p.start);
        let of_centre = |m: &&Member| m.data_centre == self.data_centre;
        direct.into_iter().filter_map(|p| p.member.as_ref()).filter(of_centre).take(max).cloned().collect()
    }

    /// The host that saves this one's streams in the store: the ready one with the lowest address, of all in a small fleet, of the
    /// data centre in a large one.
    pub fn saver(&self, me: SocketAddr) -> SocketAddr {
        let is_small = self.is_small();
        let counts = |m: &Member| is_small || m.data_centre == self.data_centre;
        let ready = self.peers.iter().filter(|(_, p)| p.ready && p.member.as_ref().is_some_and(counts));
        ready.map(|(addr, _)| *addr).fold(me, SocketAddr::min)
    }

    /// Whether this host is among the first `n` of the fleet for a backend server by rendezvous hashing. Lost
    /// hosts count for as long as they are remembered: they may be partitioned and still running.
    pub fn is_top_ranked(&self, tag: Tag, n: usize) -> bool {
        let Some(me) = self.own_addr.map(|me| hash((me, tag))) else { return false };
        let counted = self.peers.iter().filter(|(_, p)| p.last_beat.is_some() || p.member.is_some());
        counted.filter(|(addr, _)| hash((**addr, tag)) > me).take(n).count() < n
    }

    /// Whether some other host with recent heartbeats reaches the store.
    pub fn any_follows_store(&self, now: Instant) -> bool {
        let host_timeout = self.host_timeout();
        let is_alive = |p: &&Peer| p.last_beat.is_some_and(|at| at + host_timeout >= now);
        self.peers.values().filter(is_alive).any(|p| p.contact == FollowState::Follows)
    }
}
