//! What this host knows of the other hosts: who is there, what is in force there, and their share of the load.
//!
//! In a small fleet every host sends every other one a small datagram several times a second. In a large one it does so
//! within its data centre, and sends one host of each other data centre a summary of its own; which host is drawn anew
//! each time, so that every host hears of every data centre about once a period, at a cost that grows with the data
//! centres and not with the fleet. All is soft state: a host that is not heard any more stops counting, and a restarted
//! one learns everything again from the first full beats.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::{
    backends::{Revision, Tag},
    followers::{self, Contact, Duty, Neighbour},
    routes::Version,
};
use crate::{
    schema::fleet::{Beat, Centre, InProgress, Member},
    util::{Instant, Map, Set, hash},
};

/// Time between beats in a small fleet. Loads are as old as this; 100 ms more costs no measurable skew.
pub const PERIOD: Duration = Duration::from_millis(250);
/// Bytes a second that beats may take, half of a host's control traffic; with more hosts the period grows instead.
const BYTES_PER_SECOND: f64 = 6_500.0;
/// Bytes of a common beat with the headers of IP and UDP.
const BEAT_BYTES: f64 = 140.0;
/// Hosts up to which a fleet is small: all of them tell each other everything, and all follow the store.
const SMALL: usize = 16;
/// Every so many beats carry the members, so that lost ones are made up for.
const FULL_EVERY: u64 = 8;
/// Without a beat for this long a host is not handed out to callers; five beats may be lost.
const LOST: Duration = Duration::from_millis(1_300);
/// Beats that may be lost where the period is longer.
const LOST_BEATS: u32 = 4;
/// The same for a host or a data centre of which only summaries tell.
const LOST_SUMMARY: Duration = Duration::from_millis(3_000);
/// How long a silent host still counts for shares of budgets: it may be cut off and go on.
const FORGET: Duration = Duration::from_secs(60);
/// Time between beats to an address that does not answer.
const SEEK: Duration = Duration::from_secs(1);
/// How long a peer must be ahead before its newer state is fetched; the store mostly tells both within this time.
const AHEAD: Duration = Duration::from_millis(200);
/// The same for a peer in another data centre, where the own one has hosts that follow the store: they tell the same within
/// milliseconds mostly, and bytes between data centres are dear.
const AHEAD_FAR: Duration = Duration::from_millis(700);
/// Beats after a start that ask for a full one: after a loss of all hosts each knows three seeds, and callers would all be
/// sent to these until the others are heard of.
const FIRST_BEATS: u64 = 12;
/// One of so many hosts of a large fleet answers a beat that asks for a full one.
const ANSWERS: u64 = 8;
/// Hosts that a host tells of a configuration that another one has told it.
const FEW: usize = 4;
/// One of so many peers counts as up for long.
const LONG_UP_PART: usize = 4;
/// Addresses remembered, some times a fleet of 330 hosts with those that it has lost in the last minute.
const MOST_PEERS: usize = 2_048;
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
    contact: Contact,
    start: u64,
    number: u64,
    heard: Option<Instant>,
    sought: Option<Instant>,
    ahead: Option<Instant>,
    loads: Map<Tag, u32>,
    avoided: Vec<Tag>,
    /// When a summary named it as ready.
    named: Option<Instant>,
    /// When another host told of it first; `None` for seeds and those that were heard first.
    learned: Option<Instant>,
}

impl Peer {
    /// Whether its own beats or a summary have told that it serves.
    fn is_witnessed(&self) -> bool {
        self.heard.is_some() || self.named.is_some()
    }

    /// Whether it knows all that it needs to serve and does not: it is about to stop.
    fn is_leaving(&self) -> bool {
        !self.ready && self.configuration > 0 && self.backends > 0
    }
}

/// What a summary told of another data centre.
#[derive(Clone, Debug, Default)]
struct Summary {
    heard: Instant,
    loads: Map<Tag, u32>,
}

/// What a beat to a host carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The sender's own requests in progress.
    Own,
    /// The summary of the sender's data centre.
    Centre,
}

/// Tag of a host in summaries.
fn member_tag(member: &Member) -> u32 {
    hash(&member.peers) as u32
}

/// What a beat brought that the caller acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// The sender was unknown, lost, or started anew.
    pub joined: bool,
    /// The sender wants a full beat at once.
    pub answer: bool,
    /// It has come before, or later than a newer one, and changed nothing.
    pub old: bool,
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
    data_centre: String,
    peers: Map<SocketAddr, Peer>,
    centres: Map<String, Summary>,
    totals: Map<Tag, u32>,
    /// Hosts that keep away from a server; counted here since each choice asks for each server.
    avoiding: Map<Tag, u32>,
    number: u64,
    /// Members told so far, in turn.
    told: usize,
    duty: Duty,
    /// Whether this host follows the store.
    follows: bool,
    /// When a host was heard or told of that was unknown.
    grew: Instant,
}

impl Peers {
    /// Knows the seeds and this host's own address, which is no peer.
    pub fn new(me: SocketAddr, data_centre: &str, seeds: &[SocketAddr]) -> Self {
        // Until it has decided otherwise: what it reads while it starts, others may lack.
        let mut peers =
            Self { me: Some(me), data_centre: data_centre.into(), follows: true, ..Self::default() };
        seeds.iter().for_each(|seed| peers.learn(*seed));
        peers
    }

    /// Notes an address at which a host may be.
    fn learn(&mut self, addr: SocketAddr) {
        if self.me != Some(addr) {
            self.peers.entry(addr).or_default();
        }
    }

    /// Takes in members that another host or the store tells; they are sought, and forgotten when they are never heard. Most hosts of other data centres are never heard in full, so that a host
    /// that waited for their own word asked in every beat for full ones: 22 KB a second at 100 hosts, half of it answers.
    pub fn learn_members(&mut self, now: Instant, members: &[Member]) {
        for member in members {
            let Ok(addr) = member.peers.parse() else { continue };
            if self.me == Some(addr) || !self.peers.contains_key(&addr) && self.is_full() {
                continue;
            }
            let peer = self.peers.entry(addr).or_insert_with(|| {
                self.grew = now;
                Peer { learned: Some(now), ..Peer::default() }
            });
            peer.member.get_or_insert_with(|| member.clone());
        }
    }

    /// Whether as many addresses are known as a fleet can have: others come from somebody who makes them up.
    fn is_full(&self) -> bool {
        self.peers.len() >= MOST_PEERS
    }

    /// Takes a beat in; one that comes twice or late changes nothing.
    pub fn hear(&mut self, now: Instant, from: SocketAddr, beat: &Beat, own: Own) -> Heard {
        if self.me == Some(from) {
            return Heard::default();
        }
        if !self.peers.contains_key(&from) && self.is_full() {
            return Heard::default();
        }
        let lost = self.lost();
        let peer = self.peers.entry(from).or_default();
        if peer.heard.is_none() {
            self.grew = now;
        }
        if (beat.start, beat.number) <= (peer.start, peer.number) {
            return Heard { old: true, ..Heard::default() };
        }
        let joined = peer.heard.is_none_or(|heard| heard + lost < now) || beat.start != peer.start;
        let old = std::mem::take(&mut peer.loads);
        if beat.centre.is_none() {
            peer.loads = beat.in_progress.iter().map(|l| (l.backend, l.requests)).collect();
        }
        let avoided = std::mem::replace(&mut peer.avoided, beat.avoided.clone());
        if let Some(sender) = &beat.sender {
            peer.member = Some(sender.clone());
        }
        (peer.start, peer.number, peer.heard) = (beat.start, beat.number, Some(now));
        peer.ready = beat.ready;
        peer.contact = match beat {
            Beat { follows_store: true, .. } => Contact::Follows,
            Beat { lost_store: true, .. } => Contact::Lost,
            _ => Contact::Idle,
        };
        peer.configuration = beat.configuration;
        (peer.backends, peer.backends_digest) = (beat.backends, beat.backends_digest);
        peer.ahead = is_ahead(peer, own).then(|| peer.ahead.unwrap_or(now));
        let centre = peer.member.as_ref().map(|m| m.data_centre.clone());
        let unknown = centre.is_none();
        let new = peer.loads.clone();
        self.learn_members(now, &beat.members);
        self.count(&old, &new);
        self.count_avoided(&avoided, &beat.avoided);
        if let (Some(told), Some(centre)) = (&beat.centre, centre) {
            self.summarised(now, centre, told);
        }
        // Of many hosts that are asked, some answer: each knows most of the others.
        let chosen = self.is_small() || hash((self.me, beat.number)).is_multiple_of(ANSWERS);
        Heard { joined: joined || unknown, answer: unknown || (beat.wants_full && chosen), old: false }
    }

    fn summarised(&mut self, now: Instant, centre: String, told: &Centre) {
        if centre == self.data_centre {
            return;
        }
        let loads: Map<_, _> = told.in_progress.iter().map(|l| (l.backend, l.requests)).collect();
        let limit = self.lost_summary();
        let named = |p: &&Peer| p.named.is_some_and(|named| named + limit >= now) && is_in(p, &centre);
        let known = self.peers.values().filter(named).count();
        // A host that has just started knows few others of its data centre; one that leaves hosts out has lost them.
        let is_whole = told.ready.len() * 2 > known;
        let ready: Set<u32> = told.ready.iter().copied().collect();
        for peer in self.peers.values_mut() {
            match &peer.member {
                Some(member) if ready.contains(&member_tag(member)) => peer.named = Some(now),
                Some(member) if is_whole && member.data_centre == centre => peer.named = None,
                _ => {}
            }
        }
        let summary = self.centres.entry(centre).or_default();
        let old = std::mem::replace(summary, Summary { heard: now, loads: loads.clone() });
        self.count(&old.loads, &loads);
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

    fn count_avoided(&mut self, old: &[Tag], new: &[Tag]) {
        for tag in old {
            let hosts = self.avoiding.entry(*tag).or_default();
            *hosts = hosts.saturating_sub(1);
        }
        for tag in new {
            *self.avoiding.entry(*tag).or_default() += 1;
        }
        self.avoiding.retain(|_, hosts| *hosts > 0);
    }

    /// Other hosts that keep away from a backend server.
    pub fn avoiding(&self, tag: Tag) -> u32 {
        self.avoiding.get(&tag).copied().unwrap_or(0)
    }

    /// Stops counting hosts that are not heard any more; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<SocketAddr> {
        let limit = self.lost();
        let mut lost = Vec::new();
        let silent = |p: &Peer| p.heard.is_some_and(|heard| heard + limit < now);
        for (addr, peer) in self.peers.iter_mut().filter(|(_, p)| silent(p)) {
            let avoided = std::mem::take(&mut peer.avoided);
            if peer.ready || !peer.loads.is_empty() || !avoided.is_empty() {
                lost.push((*addr, std::mem::take(&mut peer.loads), avoided));
            }
            (peer.ready, peer.contact, peer.ahead) = (false, Contact::Idle, None);
        }
        for (_, loads, avoided) in &lost {
            self.count(loads, &Map::default());
            self.count_avoided(avoided, &[]);
        }
        let lost_summary = self.lost_summary();
        let old: Vec<_> = self.centres.extract_if(|_, c| c.heard + lost_summary < now).collect();
        for (_, summary) in old {
            self.count(&summary.loads, &Map::default());
        }
        let latest = |p: &Peer| p.heard.max(p.named).max(p.learned);
        self.peers.retain(|_, p| latest(p).is_none_or(|at| at + FORGET >= now));
        lost.into_iter().map(|(addr, ..)| addr).collect()
    }

    /// Silence after which a host counts as lost.
    fn lost(&self) -> Duration {
        LOST.max(self.period() * LOST_BEATS)
    }

    /// Silence after which a data centre counts as lost. Who is told a summary is drawn anew each time: at 300 hosts a host
    /// hears one in 2.1 s on average, and none in three seconds a quarter of the time.
    fn lost_summary(&self) -> Duration {
        LOST_SUMMARY.max(self.period() * LOST_BEATS)
    }

    /// Whether all hosts tell each other everything.
    pub fn is_small(&self) -> bool {
        self.peers.len() < SMALL
    }

    /// Whether a host is told everything: all are in a small fleet, else those of the own data centre.
    fn is_near(&self, peer: &Peer) -> bool {
        self.is_small() || peer.member.as_ref().is_some_and(|m| m.data_centre == self.data_centre)
    }

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

    /// Whether no unknown host has been heard or told of for so long.
    pub fn is_settled(&self, now: Instant, time: Duration) -> bool {
        self.grew + time <= now
    }

    /// Whether this host tells at once what is new to it. Hosts that have it from a follower of the store don't, since the
    /// others have heard that follower as well: with a hundred hosts each change would cost ten thousand beats.
    pub fn tells_news(&self) -> bool {
        self.follows || self.is_small()
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

    /// A peer that has had something newer for a while, to fetch it from: one of the own data centre if any is ahead, since
    /// bytes within it cost nothing. It is drawn, since all hosts start or hear of a change at the same moment: with 300
    /// hosts that chose alike, 150 fetches met one peer and timed out.
    pub fn ahead(&self, now: Instant, own: Own, rng: &mut impl Rng) -> Option<SocketAddr> {
        let near = self.all_ahead(now, own).any(|(_, p)| self.is_near(p));
        let best = self.all_ahead(now, own).filter(|(_, p)| !near || self.is_near(p));
        best.map(|(addr, _)| *addr).choose(rng)
    }

    /// Whether any peer has had something newer for a while.
    pub fn is_any_ahead(&self, now: Instant, own: Own) -> bool {
        self.all_ahead(now, own).next().is_some()
    }

    fn all_ahead(&self, now: Instant, own: Own) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let follows = self.tells_news();
        let first = own.configuration == 0 || own.backends == 0 || !follows;
        let near = if first { Duration::ZERO } else { AHEAD };
        let far = if follows { near } else { AHEAD_FAR };
        let patience = move |p: &Peer| if self.is_near(p) { near } else { far };
        let ripe = move |p: &Peer| p.ahead.is_some_and(|since| since + patience(p) <= now);
        self.peers.iter().filter(move |(_, p)| ripe(p) && is_ahead(p, own))
    }

    /// One of the peers that are heard and have been up for the longest, which know most.
    pub fn long_up(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let mut up: Vec<_> =
            self.peers.iter().filter(|(_, p)| p.ready).map(|(addr, p)| (p.start, *addr)).collect();
        up.sort_unstable();
        up.truncate(up.len().div_ceil(LONG_UP_PART));
        up.into_iter().map(|(_, addr)| addr).choose(rng)
    }

    /// Whether no other host is heard.
    pub fn is_alone(&self, now: Instant) -> bool {
        let limit = self.lost();
        !self.peers.values().any(|p| p.heard.is_some_and(|heard| heard + limit >= now))
    }

    /// Whether some other host that is heard reaches the store.
    pub fn some_follow_store(&self, now: Instant) -> bool {
        let limit = self.lost();
        let heard = |p: &&Peer| p.heard.is_some_and(|heard| heard + limit >= now);
        self.peers.values().filter(heard).any(|p| p.contact == Contact::Follows)
    }

    /// Hosts that share budgets, this one included. Those of which others tell count at once: too many make each share
    /// smaller, too few would overdraw the budget after a start.
    pub fn hosts(&self) -> usize {
        self.peers.values().filter(|p| p.heard.is_some() || p.member.is_some()).count() + 1
    }

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
                _ if near && heard(peer) => targets.push((*addr, Scope::Own)),
                Some(member) if !near => far.entry(member.data_centre.clone()).or_default().push(*addr),
                _ if peer.sought.is_none_or(|sought| sought + SEEK <= now) => {
                    targets.push((*addr, Scope::Own))
                }
                _ => {}
            }
        }
        let drawn = far.into_values().map(|hosts| hosts[rng.random_range(0..hosts.len())]);
        targets.extend(drawn.map(|addr| (addr, Scope::Centre)));
        for (addr, _) in &targets {
            if let Some(peer) = self.peers.get_mut(addr) {
                peer.sought = Some(now);
            }
        }
        targets
    }

    /// A few hosts of the own data centre to tell of something new, drawn. What spreads from each host that has it to a few
    /// more reaches all soon, though each can give it to few at a time.
    pub fn few(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let limit = self.lost();
        let heard = |p: &Peer| p.heard.is_some_and(|heard| heard + limit >= now);
        let near = self.peers.iter().filter(|(_, p)| heard(p) && self.is_near(p));
        near.map(|(addr, _)| *addr).choose_multiple(rng, FEW)
    }

    /// The summary of the own data centre, with this host's own requests in progress.
    pub fn centre(&self, own: &[InProgress], me: &Member, ready: bool) -> Centre {
        let mut loads: Map<Tag, u32> = own.iter().map(|l| (l.backend, l.requests)).collect();
        let near = self
            .peers
            .values()
            .filter(|p| p.member.as_ref().is_some_and(|m| m.data_centre == me.data_centre));
        let mut tags: Vec<_> = ready.then(|| member_tag(me)).into_iter().collect();
        for peer in near {
            for (tag, n) in &peer.loads {
                *loads.entry(*tag).or_default() += n;
            }
            tags.extend(peer.member.as_ref().filter(|_| peer.ready).map(member_tag));
        }
        let in_progress = loads.into_iter().map(|(backend, requests)| InProgress { backend, requests });
        Centre { in_progress: in_progress.collect(), ready: tags }
    }

    /// Completes a beat: numbers it, and adds the members to every eighth and to those that are asked for.
    pub fn number(&mut self, beat: &mut Beat, me: &Member, full: bool) {
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

    /// Hosts that callers may be sent to, this one not included.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let limit = self.lost_summary();
        let named = move |p: &Peer| p.named.is_some_and(|named| named + limit >= now);
        let ready = move |p: &&Peer| if self.is_near(p) { p.ready } else { named(p) };
        self.peers.values().filter(ready).filter_map(|p| p.member.as_ref())
    }
}

fn is_in(peer: &Peer, data_centre: &str) -> bool {
    peer.member.as_ref().is_some_and(|m| m.data_centre == data_centre)
}

fn is_ahead(peer: &Peer, own: Own) -> bool {
    let backends = peer.backends > own.backends && peer.backends_digest != own.digest;
    peer.configuration > own.configuration || backends
}
