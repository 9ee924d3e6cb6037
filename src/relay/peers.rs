//! What this host knows of the other hosts: who is there, what is in force there, and their share of the load.
//!
//! In a small fleet every host sends every other one a small datagram several times a second. In a large one it does so
//! within its data centre, and sends one host of each other data centre a summary of its own; which host is drawn anew
//! each time, so that every host hears of every data centre about once a period, at a cost that grows with the data
//! centres and not with the fleet. All is soft state: a host that is not heard any more stops counting, and a restarted
//! one learns everything again from the first full beats.
//!
//! This file holds what is known and takes beats in; `targets` says who is told what and when, `summary` what data centres
//! tell each other, `ahead` whom to ask for what is newer, and `duty` whether this host follows the store.

use std::{net::SocketAddr, time::Duration};

use super::{
    backends::Tag,
    followers::{Contact, Duty},
    revision::Revision,
    routes::Version,
};
use crate::{
    schema::fleet::{Beat, Member},
    util::{Instant, Map, hash},
};

mod ahead;
mod duty;
mod summary;
mod targets;

use ahead::is_ahead;
use summary::Summary;
pub use targets::{PERIOD, Scope};

/// Hosts up to which a fleet is small: all of them tell each other everything, and all follow the store.
const SMALL: usize = 16;
/// Without a beat for this long a host is not handed out to callers; five beats may be lost.
const LOST: Duration = Duration::from_millis(1_300);
/// Beats that may be lost where the period is longer.
const LOST_BEATS: u32 = 4;
/// The same for a host or a data centre of which only summaries tell.
const LOST_SUMMARY: Duration = Duration::from_millis(3_000);
/// How long a silent host still counts for shares of budgets: it may be cut off and go on.
const FORGET: Duration = Duration::from_secs(60);
/// One of so many hosts of a large fleet answers a beat that asks for a full one.
const ANSWERS: u64 = 8;
/// Addresses remembered, some times a fleet of 330 hosts with those that it has lost in the last minute.
const MOST_PEERS: usize = 2_048;

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
    /// Least time between the sending of a beat and its arrival, by two clocks that are apart.
    lag_ms: Option<i64>,
    sought: Option<Instant>,
    ahead: Option<Instant>,
    /// When it did not give what it has.
    failed: Option<Instant>,
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
        !self.ready && self.configuration > 0 && self.backends.is_known()
    }

    /// How much later a beat has come than the quickest of its sender, as where it lay in a buffer while this host stood still.
    fn lateness(&mut self, now: Instant, sent_ms: u64) -> Duration {
        let lag = now.as_millis() as i64 - sent_ms as i64;
        let least = self.lag_ms.map_or(lag, |least| least.min(lag));
        self.lag_ms = Some(least);
        Duration::from_millis((lag - least) as u64)
    }
}

/// What a beat brought that the caller acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BeatReceipt {
    /// The sender was unknown, lost, or started anew.
    pub joined: bool,
    /// The sender wants a full beat at once.
    pub wants_full: bool,
    /// It has come before, or later than a newer one, and changed nothing.
    pub stale: bool,
    /// How much later it has come than others of its sender.
    pub delay: Duration,
}

/// What is in force here, to compare with the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalVersions {
    /// Version of the configuration; 0 without one.
    pub configuration: Version,
    /// Revision of the backend servers.
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
    /// When this host started.
    started: Instant,
    /// Whether it has heard of most other hosts since then.
    settled: bool,
    /// Whether the settings name it to all others.
    seed: bool,
}

impl Peers {
    /// Knows the seeds and this host's own address, which is no peer.
    pub fn new(me: SocketAddr, data_centre: &str, seeds: &[SocketAddr]) -> Self {
        // Until it has decided otherwise: what it reads while it starts, others may lack.
        let mut peers = Self {
            me: Some(me),
            data_centre: data_centre.into(),
            follows: true,
            seed: seeds.contains(&me),
            ..Self::default()
        };
        seeds.iter().for_each(|seed| peers.learn(*seed));
        peers
    }

    /// Sets when this host started.
    pub fn with_start(self, started: Instant) -> Self {
        Self { started, ..self }
    }

    /// Notes an address at which a host may be.
    fn learn(&mut self, addr: SocketAddr) {
        if self.me != Some(addr) {
            self.peers.entry(addr).or_default();
        }
    }

    /// Takes in members that another host or the store tells; they are sought, and forgotten when they are never heard. Most
    /// hosts of other data centres are never heard in full, so that waiting for their own word would ask for full beats all
    /// the time.
    pub fn add_members(&mut self, now: Instant, members: &[Member]) {
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
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        beat: &Beat,
        own: LocalVersions,
    ) -> BeatReceipt {
        if self.me == Some(from) {
            return BeatReceipt::default();
        }
        if !self.peers.contains_key(&from) && self.is_full() {
            return BeatReceipt::default();
        }
        let lost = self.lost();
        let peer = self.peers.entry(from).or_default();
        if peer.heard.is_none() {
            self.grew = now;
        }
        if (beat.start, beat.number) <= (peer.start, peer.number) {
            return BeatReceipt { stale: true, ..BeatReceipt::default() };
        }
        let joined = peer.heard.is_none_or(|heard| heard + lost < now) || beat.start != peer.start;
        if beat.start != peer.start {
            peer.lag_ms = None;
        }
        let delay = beat.confirmed.as_ref().map(|told| peer.lateness(now, told.sent_ms)).unwrap_or_default();
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
        (peer.backends, peer.backends_digest) = (beat.backends_as_of(), beat.backends_digest);
        peer.ahead = is_ahead(peer, own).then(|| peer.ahead.unwrap_or(now));
        let centre = peer.member.as_ref().map(|m| m.data_centre.clone());
        let unknown = centre.is_none();
        let new = peer.loads.clone();
        self.add_members(now, &beat.members);
        self.count(&old, &new);
        self.count_avoided(&avoided, &beat.avoided);
        if let (Some(told), Some(centre)) = (&beat.centre, centre) {
            self.summarised(now, centre, told);
        }
        // Of many hosts that are asked, some answer: each knows most of the others.
        let chosen = self.is_small() || hash((self.me, beat.number)).is_multiple_of(ANSWERS);
        let wants_full = unknown || (beat.wants_full && chosen);
        BeatReceipt { joined: joined || unknown, wants_full, stale: false, delay }
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
    pub fn remote_load(&self, tag: Tag) -> u32 {
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
    pub fn avoiding_hosts(&self, tag: Tag) -> u32 {
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

    /// Silence after which a data centre counts as lost. Who is told a summary is drawn anew each time, so that a
    /// host of a large one hears some only after several periods.
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

    /// Whether no other host is heard.
    pub fn is_alone(&self, now: Instant) -> bool {
        let limit = self.lost();
        !self.peers.values().any(|p| p.heard.is_some_and(|heard| heard + limit >= now))
    }

    /// Hosts that share budgets, this one included. Those of which others tell count at once: too many make each share
    /// smaller, too few would overdraw the budget after a start.
    pub fn host_count(&self) -> usize {
        self.peers.values().filter(|p| p.heard.is_some() || p.member.is_some()).count() + 1
    }

    /// Hosts that callers may be sent to, this one not included.
    pub fn ready_members(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let limit = self.lost_summary();
        let named = move |p: &Peer| p.named.is_some_and(|named| named + limit >= now);
        let ready = move |p: &&Peer| if self.is_near(p) { p.ready } else { named(p) };
        self.peers.values().filter(ready).filter_map(|p| p.member.as_ref())
    }
}
