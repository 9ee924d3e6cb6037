//! Whether this host follows the store, and which hosts of its data centre are there.

use std::time::Duration;

use super::{Peer, Peers};
use crate::{
    relay::followers::{self, Contact, Neighbour},
    schema::fleet::Member,
    util::{Instant, Set, hash},
};

impl Peers {
    /// Decides whether this host, with its contact to the store, follows it from now on: every one in a small fleet, else a
    /// few of each data centre.
    pub fn decide_duty(&mut self, now: Instant, contact: Contact) -> bool {
        self.follows = match self.me {
            Some(me) if !self.is_small() => {
                let me = Neighbour { rank: hash(me), contact };
                let near = self.neighbours(now);
                self.duty.decide(now, me, near, followers::wanted(self.data_centres()))
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

    /// Whether no unknown host has been heard or told of for so long.
    pub fn is_settled(&self, now: Instant, time: Duration) -> bool {
        self.grew + time <= now
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

    /// Whether some other host that is heard reaches the store.
    pub fn some_follow_store(&self, now: Instant) -> bool {
        let limit = self.lost();
        let heard = |p: &&Peer| p.heard.is_some_and(|heard| heard + limit >= now);
        self.peers.values().filter(heard).any(|p| p.contact == Contact::Follows)
    }
}
