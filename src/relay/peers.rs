//! Membership and gossip: which other hosts exist, what they have in force, and their share of the load.
//!
//! In a small fleet every host sends each other one a small heartbeat datagram several times a second. In a large
//! fleet a host does so within its data centre, and sends a summary of its data centre to one host of each other
//! data centre. That host is chosen at random each time, so that each host hears about each data centre about once
//! a period, at a cost that grows with the number of data centres rather than of hosts. All state is soft: a host
//! whose heartbeats stop no longer counts, and a restarted one learns everything again from the first full
//! heartbeats.
//!
//! This file holds the state and processes received heartbeats. `targets` decides who is sent what and when,
//! `summary` covers the exchange between data centres, `ahead` chooses the peers to fetch newer state from, and
//! `duty` decides whether this host follows the store.

use std::{net::SocketAddr, time::Duration};

use super::{
    backends::Tag,
    followers::{FollowState, FollowerElection},
    revision::Revision,
    routes::Version,
};
use crate::{
    schema::fleet::{Beat, Member},
    util::{Instant, Map, hash},
};

mod ahead;
mod duty;
pub mod replicas;
mod summary;
mod targets;

use ahead::is_ahead;
use summary::Summary;
pub use targets::{BEAT_PERIOD, Scope};

/// Fleets with fewer hosts are small: all hosts exchange full state, and all follow the store.
const SMALL_FLEET_HOSTS: usize = 16;
/// Minimum time without a heartbeat after which a host counts as lost and is not handed out to callers; five
/// heartbeats may be missed.
const MIN_HOST_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Heartbeats that may be missed where the period is longer.
const TIMEOUT_BEATS: u32 = 4;
/// Minimum time after which a host or data centre known only from summaries counts as lost.
const MIN_SUMMARY_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long a lost host still counts as sharing budgets: it may be partitioned and still running.
const RETENTION: Duration = Duration::from_secs(60);
/// In a large fleet, one in this many hosts answers a request for a full heartbeat.
const FULL_BEAT_ONE_IN: u64 = 8;
/// Maximum number of addresses remembered: several times a fleet of 330 hosts, including those lost in the last
/// minute.
const MAX_PEERS: usize = 2_048;

/// Another host.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its description, once known.
    pub member: Option<Member>,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Version of its configuration.
    pub configuration: Version,
    /// Revision of its list of backend servers.
    pub backends: Revision,
    backends_digest: u32,
    contact: FollowState,
    start: u64,
    number: u64,
    last_beat: Option<Instant>,
    /// Minimum difference between the arrival and the sending time of its heartbeats. The two clocks are not
    /// synchronised, so that only differences between lags are meaningful.
    min_lag_ms: Option<i64>,
    last_sent: Option<Instant>,
    ahead_since: Option<Instant>,
    /// When a fetch from it last failed.
    fetch_failed: Option<Instant>,
    loads: Map<Tag, u32>,
    avoided: Vec<Tag>,
    /// When a summary last listed it as ready.
    named_ready: Option<Instant>,
    /// When another host first reported it; `None` for seeds and for hosts that sent a heartbeat first.
    learned_at: Option<Instant>,
}

impl Peer {
    /// Whether it has sent a heartbeat within the timeout.
    fn is_heard(&self, now: Instant, timeout: Duration) -> bool {
        self.last_beat.is_some_and(|at| at + timeout >= now)
    }

    /// Whether a summary within the timeout has listed it as ready.
    fn is_named_ready(&self, now: Instant, timeout: Duration) -> bool {
        self.named_ready.is_some_and(|at| at + timeout >= now)
    }

    /// Whether it has sent a heartbeat or a summary has listed it as ready.
    fn was_seen_alive(&self) -> bool {
        self.last_beat.is_some() || self.named_ready.is_some()
    }

    /// Whether it is about to stop: it has all it needs to serve callers but is not ready.
    fn is_leaving(&self) -> bool {
        !self.ready && self.configuration > 0 && self.backends.is_known()
    }

    /// How much longer a heartbeat took than the fastest of the same sender, for instance because it was buffered
    /// while this host was suspended.
    fn lateness(&mut self, now: Instant, sent_ms: u64) -> Duration {
        let lag = now.as_millis() as i64 - sent_ms as i64;
        let min = self.min_lag_ms.map_or(lag, |min| min.min(lag));
        self.min_lag_ms = Some(min);
        Duration::from_millis((lag - min) as u64)
    }
}

/// Effects of a received heartbeat that the caller acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BeatReceipt {
    /// The sender was unknown or lost, or has restarted.
    pub joined: bool,
    /// The sender is to be sent a full heartbeat at once.
    pub wants_full: bool,
    /// The heartbeat is a duplicate or older than one already received, and was ignored.
    pub stale: bool,
    /// How much longer it took than the sender's fastest heartbeat.
    pub delay: Duration,
}

/// Versions in force on this host, for comparison with other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalVersions {
    /// Version of the configuration; 0 without one.
    pub configuration: Version,
    /// Revision of the list of backend servers.
    pub backends: Revision,
    /// Digest of the list of backend servers.
    pub digest: u32,
}

/// The other hosts.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    own_addr: Option<SocketAddr>,
    data_centre: String,
    peers: Map<SocketAddr, Peer>,
    summaries: Map<String, Summary>,
    remote_loads: Map<Tag, u32>,
    /// Number of hosts that avoid a server, kept up to date because each choice looks it up for each server.
    avoiding_counts: Map<Tag, u32>,
    beat_number: u64,
    /// Position in the rotation of members that full heartbeats carry.
    next_member: usize,
    duty: FollowerElection,
    /// Whether this host follows the store.
    follows: bool,
    /// When a previously unknown host last sent a heartbeat or was reported.
    last_joined: Instant,
    /// When this host started.
    started: Instant,
    /// Whether it has learnt of most other hosts since then.
    knows_fleet: bool,
    /// Whether this host is one of the configured seeds.
    is_seed: bool,
}

impl Peers {
    /// Starts with the seeds as peers; this host's own address is not a peer.
    pub fn new(me: SocketAddr, data_centre: &str, seeds: &[SocketAddr]) -> Self {
        // Until this host has decided otherwise it follows the store: others may lack what it reads during its
        // start.
        let mut peers = Self {
            own_addr: Some(me),
            data_centre: data_centre.into(),
            follows: true,
            is_seed: seeds.contains(&me),
            ..Self::default()
        };
        seeds.iter().for_each(|seed| peers.add_address(*seed));
        peers
    }

    /// Sets when this host started.
    pub fn with_start(self, started: Instant) -> Self {
        Self { started, ..self }
    }

    /// Adds an address at which there may be a host.
    fn add_address(&mut self, addr: SocketAddr) {
        if self.own_addr != Some(addr) {
            self.peers.entry(addr).or_default();
        }
    }

    /// Adds members that another host or the store has reported. They are sent heartbeats, and forgotten if they
    /// never answer. The reported descriptions are used because most hosts of other data centres never send this
    /// host a full heartbeat, so that waiting for one would mean asking for them all the time.
    pub fn add_members(&mut self, now: Instant, members: &[Member]) {
        for member in members {
            let Ok(addr) = member.peers.parse() else { continue };
            if self.own_addr == Some(addr) || !self.peers.contains_key(&addr) && self.is_full() {
                continue;
            }
            let peer = self.peers.entry(addr).or_insert_with(|| {
                self.last_joined = now;
                Peer { learned_at: Some(now), ..Peer::default() }
            });
            peer.member.get_or_insert_with(|| member.clone());
        }
    }

    /// Whether the maximum number of addresses is known. More than a fleet can have come from a faulty or malicious
    /// sender.
    fn is_full(&self) -> bool {
        self.peers.len() >= MAX_PEERS
    }

    /// Processes a heartbeat; duplicates and heartbeats older than the latest are ignored.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        beat: &Beat,
        own: LocalVersions,
    ) -> BeatReceipt {
        if self.own_addr == Some(from) {
            return BeatReceipt::default();
        }
        if !self.peers.contains_key(&from) && self.is_full() {
            return BeatReceipt::default();
        }
        let host_timeout = self.host_timeout();
        let peer = self.peers.entry(from).or_default();
        if peer.last_beat.is_none() {
            self.last_joined = now;
        }
        if (beat.start, beat.number) <= (peer.start, peer.number) {
            return BeatReceipt { stale: true, ..BeatReceipt::default() };
        }
        let joined = peer.last_beat.is_none_or(|at| at + host_timeout < now) || beat.start != peer.start;
        if beat.start != peer.start {
            peer.min_lag_ms = None;
        }
        let delay = beat
            .confirmed
            .as_ref()
            .map(|confirmed| peer.lateness(now, confirmed.sent_ms))
            .unwrap_or_default();
        let old_loads = std::mem::take(&mut peer.loads);
        if beat.centre.is_none() {
            peer.loads = beat.in_progress.iter().map(|l| (l.backend, l.requests)).collect();
        }
        let old_avoided = std::mem::replace(&mut peer.avoided, beat.avoided.clone());
        if let Some(sender) = &beat.sender {
            peer.member = Some(sender.clone());
        }
        (peer.start, peer.number, peer.last_beat) = (beat.start, beat.number, Some(now));
        peer.ready = beat.ready;
        peer.contact = match beat {
            Beat { follows_store: true, .. } => FollowState::Follows,
            Beat { lost_store: true, .. } => FollowState::Lost,
            _ => FollowState::Idle,
        };
        peer.configuration = beat.configuration;
        (peer.backends, peer.backends_digest) = (beat.backends_as_of(), beat.backends_digest);
        peer.ahead_since = is_ahead(peer, own).then(|| peer.ahead_since.unwrap_or(now));
        let data_centre = peer.member.as_ref().map(|m| m.data_centre.clone());
        let unknown = data_centre.is_none();
        let new_loads = peer.loads.clone();
        self.add_members(now, &beat.members);
        self.update_loads(&old_loads, &new_loads);
        self.update_avoiding(&old_avoided, &beat.avoided);
        if let (Some(summary), Some(data_centre)) = (&beat.centre, data_centre) {
            self.apply_summary(now, data_centre, summary);
        }
        // Only some of the hosts that are asked answer, since each knows most of the others.
        let answers = self.is_small() || hash((self.own_addr, beat.number)).is_multiple_of(FULL_BEAT_ONE_IN);
        let wants_full = unknown || (beat.wants_full && answers);
        BeatReceipt { joined: joined || unknown, wants_full, stale: false, delay }
    }

    /// Replaces one sender's part in the sums of requests in progress.
    fn update_loads(&mut self, old: &Map<Tag, u32>, new: &Map<Tag, u32>) {
        for (tag, n) in old {
            let total = self.remote_loads.entry(*tag).or_default();
            *total = total.saturating_sub(*n);
        }
        for (tag, n) in new {
            *self.remote_loads.entry(*tag).or_default() += n;
        }
        self.remote_loads.retain(|_, n| *n > 0);
    }

    /// Requests in progress of the other hosts at a backend server.
    pub fn remote_load(&self, tag: Tag) -> u32 {
        self.remote_loads.get(&tag).copied().unwrap_or(0)
    }

    /// Replaces one sender's part in the numbers of avoiding hosts.
    fn update_avoiding(&mut self, old: &[Tag], new: &[Tag]) {
        for tag in old {
            let hosts = self.avoiding_counts.entry(*tag).or_default();
            *hosts = hosts.saturating_sub(1);
        }
        for tag in new {
            *self.avoiding_counts.entry(*tag).or_default() += 1;
        }
        self.avoiding_counts.retain(|_, hosts| *hosts > 0);
    }

    /// Number of other hosts that avoid a backend server.
    pub fn avoiding_hosts(&self, tag: Tag) -> u32 {
        self.avoiding_counts.get(&tag).copied().unwrap_or(0)
    }

    /// Stops counting hosts whose heartbeats have stopped; returns their addresses.
    pub fn expire(&mut self, now: Instant) -> Vec<SocketAddr> {
        let host_timeout = self.host_timeout();
        let mut lost = Vec::new();
        let is_silent = |p: &Peer| p.last_beat.is_some_and(|at| at + host_timeout < now);
        for (addr, peer) in self.peers.iter_mut().filter(|(_, p)| is_silent(p)) {
            let avoided = std::mem::take(&mut peer.avoided);
            if peer.ready || !peer.loads.is_empty() || !avoided.is_empty() {
                lost.push((*addr, std::mem::take(&mut peer.loads), avoided));
            }
            (peer.ready, peer.contact, peer.ahead_since) = (false, FollowState::Idle, None);
        }
        for (_, loads, avoided) in &lost {
            self.update_loads(loads, &Map::default());
            self.update_avoiding(avoided, &[]);
        }
        let summary_timeout = self.summary_timeout();
        let expired: Vec<_> =
            self.summaries.extract_if(|_, c| c.received_at + summary_timeout < now).collect();
        for (_, summary) in expired {
            self.update_loads(&summary.loads, &Map::default());
        }
        let latest = |p: &Peer| p.last_beat.max(p.named_ready).max(p.learned_at);
        self.peers.retain(|_, p| latest(p).is_none_or(|at| at + RETENTION >= now));
        lost.into_iter().map(|(addr, ..)| addr).collect()
    }

    /// Time without heartbeats after which a host counts as lost.
    fn host_timeout(&self) -> Duration {
        MIN_HOST_TIMEOUT.max(self.period() * TIMEOUT_BEATS)
    }

    /// Time without summaries after which a data centre counts as lost. The recipient of a summary is chosen at
    /// random each time, so that a host of a large data centre may get some only after several periods.
    pub(crate) fn summary_timeout(&self) -> Duration {
        MIN_SUMMARY_TIMEOUT.max(self.period() * TIMEOUT_BEATS)
    }

    /// Whether the fleet is small, so that all hosts exchange full state.
    pub fn is_small(&self) -> bool {
        self.peers.len() < SMALL_FLEET_HOSTS
    }

    /// Whether this host exchanges full heartbeats with a peer: with all in a small fleet, otherwise with those of
    /// its data centre.
    fn is_direct(&self, peer: &Peer) -> bool {
        self.is_small() || peer.member.as_ref().is_some_and(|m| m.data_centre == self.data_centre)
    }

    /// Data centre of the host at an address, if it is known.
    pub fn data_centre_of(&self, addr: SocketAddr) -> Option<&str> {
        self.peers.get(&addr)?.member.as_ref().map(|m| m.data_centre.as_str())
    }

    /// Whether no other host has sent a heartbeat within the timeout.
    pub fn is_alone(&self, now: Instant) -> bool {
        let host_timeout = self.host_timeout();
        !self.peers.values().any(|p| p.is_heard(now, host_timeout))
    }

    /// Number of hosts that share budgets, including this one. Hosts known only from reports count at once: too
    /// many make each share smaller, whereas too few would exceed the budget after a start.
    pub fn host_count(&self) -> usize {
        self.peers.values().filter(|p| p.last_beat.is_some() || p.member.is_some()).count() + 1
    }

    /// Hosts that callers may be sent to, other than this one.
    pub fn ready_members(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let summary_timeout = self.summary_timeout();
        let ready =
            move |p: &&Peer| if self.is_direct(p) { p.ready } else { p.is_named_ready(now, summary_timeout) };
        self.peers.values().filter(ready).filter_map(|p| p.member.as_ref())
    }
}
