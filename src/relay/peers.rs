//! What this host knows of the other hosts: who is there, what is in force there, and their share of the load.
//!
//! Every host sends the others a small datagram several times a second. All is soft state: a host that is not heard
//! any more stops counting, and a restarted one learns everything again from the first full beats.

use std::{net::SocketAddr, time::Duration};

use super::{
    backends::{Revision, Tag},
    routes::Version,
};
use crate::{
    schema::fleet::{Beat, Member},
    util::{Instant, Map},
};

/// Time between beats in a small fleet. Loads are as old as this; 100 ms more costs no measurable skew.
pub const PERIOD: Duration = Duration::from_millis(250);
/// Bytes a second that beats may take; with more hosts the period grows instead.
const BYTES_PER_SECOND: f64 = 6_000.0;
/// Bytes of a common beat with the headers of IP and UDP.
const BEAT_BYTES: f64 = 140.0;
/// Every so many beats carry the members, so that lost ones are made up for.
const FULL_EVERY: u64 = 8;
/// Without a beat for this long a host is not handed out to callers; five beats may be lost.
const LOST: Duration = Duration::from_millis(1_300);
/// How long a silent host still counts for shares of budgets: it may be cut off and go on.
const FORGET: Duration = Duration::from_secs(60);
/// Time between beats to an address that does not answer.
const SEEK: Duration = Duration::from_secs(1);
/// How long a peer must be ahead before its newer state is fetched; the store mostly tells both within this time.
const AHEAD: Duration = Duration::from_millis(200);
/// Members in a full beat, so that it fits one datagram.
const MOST_MEMBERS: usize = 16;

/// One other host.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Itself, once a full beat was heard.
    pub member: Option<Member>,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Version of its configuration.
    pub configuration: Version,
    /// Revision of its backend servers.
    pub backends: Revision,
    backends_digest: u32,
    follows_store: bool,
    start: u64,
    number: u64,
    heard: Option<Instant>,
    sought: Option<Instant>,
    ahead: Option<Instant>,
    loads: Map<Tag, u32>,
    avoided: Vec<Tag>,
}

/// What a beat brought that the caller acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// The sender was unknown, lost, or started anew.
    pub joined: bool,
    /// The sender wants a full beat at once.
    pub answer: bool,
}

/// What is in force here, to compare with the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Own {
    /// Version of the configuration; 0 without one.
    pub configuration: Version,
    /// Revision of the backend servers; 0 without any.
    pub backends: Revision,
    /// Digest of the backend servers.
    pub digest: u32,
}

/// The other hosts.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    me: Option<SocketAddr>,
    peers: Map<SocketAddr, Peer>,
    totals: Map<Tag, u32>,
    number: u64,
}

impl Peers {
    /// Knows the seeds and this host's own address, which is no peer.
    pub fn new(me: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self { me: Some(me), ..Self::default() };
        seeds.iter().for_each(|seed| peers.learn(*seed));
        peers
    }

    /// Notes an address at which a host may be.
    pub fn learn(&mut self, addr: SocketAddr) {
        if self.me != Some(addr) {
            self.peers.entry(addr).or_default();
        }
    }

    /// Takes a beat in; one that comes twice or late changes nothing.
    pub fn hear(&mut self, now: Instant, from: SocketAddr, beat: &Beat, own: Own) -> Heard {
        if self.me == Some(from) {
            return Heard::default();
        }
        for member in &beat.members {
            if let Ok(addr) = member.peers.parse() {
                self.learn(addr);
            }
        }
        let peer = self.peers.entry(from).or_default();
        if (beat.start, beat.number) <= (peer.start, peer.number) {
            return Heard::default();
        }
        let joined = peer.heard.is_none_or(|heard| heard + LOST < now) || beat.start != peer.start;
        let old = std::mem::take(&mut peer.loads);
        peer.loads = beat.in_progress.iter().map(|l| (l.backend, l.requests)).collect();
        peer.avoided.clone_from(&beat.avoided);
        if let Some(sender) = &beat.sender {
            peer.member = Some(sender.clone());
        }
        (peer.start, peer.number, peer.heard) = (beat.start, beat.number, Some(now));
        (peer.ready, peer.follows_store) = (beat.ready, beat.follows_store);
        peer.configuration = beat.configuration;
        (peer.backends, peer.backends_digest) = (beat.backends, beat.backends_digest);
        peer.ahead = is_ahead(peer, own).then(|| peer.ahead.unwrap_or(now));
        let unknown = peer.member.is_none();
        let new = peer.loads.clone();
        self.count(&old, &new);
        Heard { joined: joined || unknown, answer: beat.wants_full || unknown }
    }

    fn count(&mut self, old: &Map<Tag, u32>, new: &Map<Tag, u32>) {
        for (tag, n) in old {
            let total = self.totals.entry(*tag).or_default();
            *total = total.saturating_sub(*n);
        }
        for (tag, n) in new {
            *self.totals.entry(*tag).or_default() += n;
        }
        self.totals.retain(|_, n| *n > 0);
    }

    /// Requests in progress that the other hosts have at a backend server.
    pub fn load(&self, tag: Tag) -> u32 {
        self.totals.get(&tag).copied().unwrap_or(0)
    }

    /// Other hosts that keep away from a backend server.
    pub fn avoiding(&self, tag: Tag) -> usize {
        self.peers.values().filter(|p| p.avoided.contains(&tag)).count()
    }

    /// Stops counting hosts that are not heard any more; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut lost = Vec::new();
        let silent = |p: &Peer| p.heard.is_some_and(|heard| heard + LOST < now);
        for (addr, peer) in self.peers.iter_mut().filter(|(_, p)| silent(p)) {
            if peer.ready || !peer.loads.is_empty() {
                lost.push((*addr, std::mem::take(&mut peer.loads)));
            }
            peer.ready = false;
            peer.ahead = None;
            peer.avoided.clear();
        }
        for (_, loads) in &lost {
            self.count(loads, &Map::default());
        }
        let forgotten = |p: &Peer| p.heard.is_some_and(|heard| heard + FORGET < now);
        self.peers.retain(|_, p| !forgotten(p));
        lost.into_iter().map(|(addr, _)| addr).collect()
    }

    /// A peer that has had something newer for a while, to fetch it from.
    pub fn ahead(&self, now: Instant, own: Own) -> Option<SocketAddr> {
        let patience = if own.configuration == 0 || own.backends == 0 { Duration::ZERO } else { AHEAD };
        let ripe = |p: &&Peer| p.ahead.is_some_and(|since| since + patience <= now);
        let newest = |p: &&Peer| (p.configuration, p.backends);
        let ahead = self.peers.iter().filter(|(_, p)| ripe(p) && is_ahead(p, own));
        ahead.max_by_key(|(_, p)| newest(p)).map(|(addr, _)| *addr)
    }

    /// The peer that is heard and has been up for the longest, which knows most.
    pub fn longest_up(&self) -> Option<SocketAddr> {
        let up = self.peers.iter().filter(|(_, p)| p.ready);
        up.min_by_key(|(_, p)| p.start).map(|(addr, _)| *addr)
    }

    /// Whether some other host that is heard reaches the store.
    pub fn some_follow_store(&self, now: Instant) -> bool {
        let heard = |p: &&Peer| p.heard.is_some_and(|heard| heard + LOST >= now);
        self.peers.values().filter(heard).any(|p| p.follows_store)
    }

    /// Hosts that share budgets, this one included.
    pub fn hosts(&self) -> usize {
        self.peers.values().filter(|p| p.heard.is_some()).count() + 1
    }

    /// Time between two beats.
    pub fn period(&self) -> Duration {
        let bytes = self.peers.len() as f64 * BEAT_BYTES;
        PERIOD.max(Duration::from_secs_f64(bytes / BYTES_PER_SECOND))
    }

    /// Addresses for the next beat: all hosts that are heard, the others once a second.
    pub fn targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        for (addr, peer) in &mut self.peers {
            let heard = peer.heard.is_some_and(|heard| heard + LOST >= now);
            if heard || peer.sought.is_none_or(|sought| sought + SEEK <= now) {
                peer.sought = Some(now);
                targets.push(*addr);
            }
        }
        targets
    }

    /// Completes a beat: numbers it, and adds the members to every eighth and to those that are asked for.
    pub fn number(&mut self, beat: &mut Beat, me: &Member, full: bool) {
        self.number += 1;
        beat.number = self.number;
        if full || self.number % FULL_EVERY == 1 {
            beat.sender = Some(me.clone());
            let members = self.peers.values().filter_map(|p| p.member.clone());
            beat.members = members.take(MOST_MEMBERS).collect();
        }
        beat.wants_full = self.peers.values().any(|p| p.heard.is_some() && p.member.is_none());
    }

    /// Hosts that callers may be sent to, this one not included.
    pub fn ready(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().filter(|p| p.ready).filter_map(|p| p.member.as_ref())
    }
}

fn is_ahead(peer: &Peer, own: Own) -> bool {
    let backends = peer.backends > own.backends && peer.backends_digest != own.digest;
    peer.configuration > own.configuration || backends
}
