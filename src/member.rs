//! Gossip membership of routers: liveness, readiness and the configuration versions in force.
//!
//! Members of one data centre ping each other and share their full state. Between data centres only membership changes
//! and summaries are exchanged. The module does no I/O: it takes datagrams and the time, and returns datagrams and
//! events.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    probe::{EngineTable, ProbeConfig},
    schema::membership::{EngineEvent, Note, Summary, datagram::Body},
    util::{Instant, Map, Set},
};

mod budget;
mod compose;
mod detect;
mod merge;
mod packet;
mod record;
mod report;
mod summary;
mod table;
mod topic;

pub use budget::{Budget, Priority, Usage};
use detect::{PendingPing, RelayedPing};
pub use packet::{GossipKey, IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES, Reject};
pub use record::{MAX_NAME_BYTES, Member, Record, Status};
pub use summary::Centre;
use summary::Summaries;
pub use table::{MemberKey, Table};
use topic::Notes;
pub use topic::{TooLong, Topic};

/// Timing and bandwidth of the gossip protocol.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Maximum bytes sent in any one second, including UDP and IP headers.
    pub bytes_per_second: usize,
    /// Interval between calls of [`Membership::tick`], each of which sends at most one new ping.
    pub tick_interval: Duration,
    /// Ack timeout of a direct ping, after which other members are asked to ping. Indirect pings time out after twice
    /// this time, which raises a suspicion.
    pub ack_timeout: Duration,
    /// Time that a suspect has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Peer addresses to contact while no other member is known, and occasionally later.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MemberConfig {
    fn default() -> Self {
        Self {
            bytes_per_second: 5_000,
            tick_interval: Duration::from_millis(250),
            ack_timeout: Duration::from_millis(500),
            suspicion_timeout: Duration::from_secs(4),
            seeds: Vec::new(),
        }
    }
}

impl MemberConfig {
    /// Sets the byte budget per second.
    pub fn with_bytes_per_second(self, bytes_per_second: usize) -> Self {
        Self { bytes_per_second, ..self }
    }

    /// Sets the seed addresses.
    pub fn with_seeds(self, seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..self }
    }
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination address.
    pub to: SocketAddr,
    /// Authenticated datagram.
    pub bytes: Vec<u8>,
}

/// An event for other modules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The set of known routers or the state of one of them has changed.
    RoutersChanged,
    /// A configuration version newer than any known before was reported.
    NewerVersion(u64),
    /// A note was received.
    Note {
        /// Topic.
        topic: Topic,
        /// Router that published it.
        origin: Arc<str>,
        /// Payload.
        payload: Vec<u8>,
    },
    /// This process was paused for this time, long enough for others to consider it dead.
    Paused(Duration),
}

/// Datagrams and events that result from a call.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send.
    pub send: Vec<Outgoing>,
    /// Events for other modules.
    pub events: Vec<Event>,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, including UDP and IP headers.
    pub sent_bytes: u64,
    /// Datagrams not sent because the byte budget was exhausted.
    pub withheld: u64,
    /// Items deferred to a later datagram for lack of budget or space.
    pub deferred: u64,
    /// Suspicions raised by this router itself.
    pub suspicions: u64,
    /// Members declared dead by this router itself.
    pub deaths: u64,
}

/// One router's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    cfg: MemberConfig,
    key: GossipKey,
    me: Record,
    in_force: u64,
    newest: u64,
    seq: u64,
    table: Table,
    budget: Budget,
    rng: ChaCha8Rng,
    /// Liveness and load of engines.
    pub engines: EngineTable,
    summaries: Summaries,
    notes: Notes,
    broadcasts: VecDeque<Broadcast>,
    /// Events to piggyback on outgoing datagrams, each with its number of sends left.
    engine_events: Vec<(EngineEvent, u32)>,
    /// Members of the local data centre still to ping in the current round.
    ping_queue: Vec<Arc<str>>,
    pending_pings: Vec<PendingPing>,
    relayed_pings: Map<u32, RelayedPing>,
    /// Members pinged since the last ack.
    unacked: Set<Arc<str>>,
    last_ack: Instant,
    last_tick: Instant,
    last_refutation: Instant,
    /// Time, version in force and number of ready routers of the last published summary.
    last_summary: (Instant, u64, u32),
    last_engine_list: (Instant, Vec<(u32, u32)>),
    notify_reporter: bool,
    /// Whether the last comparison of tables found a difference.
    out_of_sync: bool,
    /// Address of a router that sent a datagram and is not in the table.
    unknown_sender: Option<SocketAddr>,
    joined_at: Instant,
    ticks: u64,
    out: Output,
    counts: Counts,
}

/// Which members a broadcast must reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// Members of the local data centre.
    DataCentre,
    /// All members.
    Fleet,
}

/// A member whose record is piggybacked on outgoing datagrams, `sends` more times.
#[derive(Clone, Debug)]
struct Broadcast {
    name: Arc<str>,
    sends: u32,
    scope: Scope,
}

/// Ticks between comparisons of tables with local, and with remote, members; also between purges of expired state.
const SYNC_INTERVAL_TICKS: u64 = 20;
/// Time between two ticks from which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Number of times that a router forwards a summary.
const SUMMARY_SENDS: u32 = 5;
/// Time after a start or a pause in which a router compares tables more often, on every third tick.
const JOIN_PERIOD: Duration = Duration::from_secs(5);

impl Membership {
    /// Creates the view of the router `me` at its start.
    ///
    /// `me.incarnation` must increase from one start to the next, as the wall clock in milliseconds does.
    pub fn new(
        cfg: MemberConfig,
        probe: ProbeConfig,
        key: GossipKey,
        me: Record,
        now: Instant,
        seed: u64,
    ) -> Self {
        let engines = EngineTable::new(me.name.clone(), me.data_centre.clone(), me.incarnation, probe);
        let mut this = Self {
            budget: Budget::new(cfg.bytes_per_second),
            cfg,
            key,
            in_force: 0,
            newest: 0,
            seq: 0,
            table: Table::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines,
            summaries: Summaries::default(),
            notes: Notes::default(),
            broadcasts: VecDeque::new(),
            engine_events: Vec::new(),
            ping_queue: Vec::new(),
            pending_pings: Vec::new(),
            relayed_pings: Map::default(),
            unacked: Set::default(),
            last_ack: now,
            last_tick: now,
            last_refutation: Instant::ZERO,
            last_summary: (Instant::ZERO, 0, 0),
            last_engine_list: (Instant::ZERO, Vec::new()),
            notify_reporter: false,
            out_of_sync: false,
            unknown_sender: None,
            joined_at: now,
            ticks: 0,
            out: Output::default(),
            counts: Counts::default(),
            me: me.clone(),
        };
        this.table.merge(now, me.clone());
        this.queue_broadcast(me.name, this.broadcast_sends(), Scope::Fleet);
        this
    }

    /// Advances timers and sends the next ping; to be called every [`MemberConfig::tick_interval`].
    pub fn tick(&mut self, now: Instant) -> Output {
        self.handle_pause(now);
        self.last_tick = now;
        self.ticks += 1;
        self.expire_pings(now);
        self.expire_suspects(now);
        self.report_data_centre(now);
        self.queue_engine_events();
        self.ping_next(now);
        if self.ticks.is_multiple_of(SYNC_INTERVAL_TICKS) {
            self.table.purge_expired(now);
            self.notes.purge_expired(now.saturating_sub(topic::NOTE_TTL));
            self.relayed_pings.retain(|_, r| r.at + self.cfg.ack_timeout * 4 > now);
        }
        std::mem::take(&mut self.out)
    }

    /// Processes one received datagram.
    ///
    /// # Errors
    /// Why it was dropped.
    pub fn receive(&mut self, now: Instant, from: SocketAddr, bytes: &[u8]) -> Result<Output, Reject> {
        let datagram = self.key.open(bytes)?;
        self.merge(now, from, datagram)?;
        Ok(std::mem::take(&mut self.out))
    }

    /// Sets the configuration version that this router has in force; the first one makes it ready.
    pub fn set_in_force(&mut self, now: Instant, version: u64) {
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        self.newest = self.newest.max(version);
        self.notify_reporter = true;
        let name = self.me.name.clone();
        if let Some(m) = self.table.get_mut(&name) {
            m.in_force = version;
        }
        if !self.me.ready && self.me.status == Status::Alive {
            self.announce(now, Scope::Fleet, |me| me.ready = true);
        }
    }

    /// Announces that this router accepts no new callers.
    pub fn leave(&mut self, now: Instant) {
        if self.me.status == Status::Alive {
            self.announce(now, Scope::Fleet, |me| me.status = Status::Leaving);
        }
    }

    /// Announces that this router stops; returns its last datagrams.
    pub fn close(mut self, now: Instant) -> Vec<Outgoing> {
        self.announce(now, Scope::Fleet, |me| me.status = Status::Left);
        let centre = self.me.data_centre.clone();
        let live = |m: &&Member| !m.record.status.is_dead_or_left() && m.record.name != self.me.name;
        let peers: Vec<_> =
            self.table.centre(&centre).filter(live).map(|m| (m.record.name.clone(), m.record.peer)).collect();
        for (name, peer) in peers {
            self.send(now, Some(&name), peer, None, compose::Extras::default());
        }
        self.out.send
    }

    /// Adds addresses at which routers may run, from the platform's list. The list does not prove that any router is
    /// alive.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if seed != self.me.peer && !self.cfg.seeds.contains(&seed) {
                self.cfg.seeds.push(seed);
            }
        }
    }

    /// Publishes a note of another module; it replaces this router's previous note of the topic.
    ///
    /// # Errors
    /// When the payload exceeds the topic's maximum.
    pub fn publish(&mut self, now: Instant, topic: Topic, payload: Vec<u8>) -> Result<(), TooLong> {
        if payload.len() > topic.max_payload_bytes() {
            return Err(TooLong { max_payload_bytes: topic.max_payload_bytes() });
        }
        self.seq += 1;
        let note = Note {
            topic: topic as u32,
            origin: self.me.name.to_string(),
            incarnation: self.me.incarnation,
            seq: self.seq,
            payload,
        };
        let sends = self.broadcast_sends();
        self.notes.merge(now, &note, sends);
        Ok(())
    }

    /// This router's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Table of all members.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Newest configuration version known to be in force at any router.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Summaries of all data centres.
    pub fn centres(&self) -> impl Iterator<Item = &Centre> {
        self.summaries.centres.values()
    }

    /// Whether a member is live and its data centre is reachable.
    pub fn reachable(&self, now: Instant, member: &Member) -> bool {
        let r = &member.record;
        let local = r.data_centre == self.me.data_centre;
        !r.status.is_dead_or_left() && (local || self.summaries.is_fresh(now, &r.data_centre))
    }

    /// Whether this router has had time to learn of the other members since it started or resumed from a pause. Until
    /// then its table may be incomplete and must not be taken for the whole fleet.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.joined_at + JOIN_PERIOD <= now
    }

    /// Names of the live routers of the local data centre that are not leaving, sorted.
    pub fn local_routers(&self) -> Vec<Arc<str>> {
        let stays = |m: &&Member| !m.record.status.is_dead_or_left() && m.record.status != Status::Leaving;
        let mut names: Vec<_> =
            self.table.centre(&self.me.data_centre).filter(stays).map(|m| m.record.name.clone()).collect();
        names.sort();
        names
    }

    /// Returns a router known to have at least `version` in force, in the local data centre if possible.
    pub fn peer_with_version(&mut self, version: u64) -> Option<SocketAddr> {
        let me = &self.me;
        let has = |m: &&Member| {
            m.in_force >= version && !m.record.status.is_dead_or_left() && m.record.name != me.name
        };
        let mut list: Vec<_> =
            self.table.centre(&me.data_centre).filter(has).map(|m| m.record.peer).collect();
        if list.is_empty() {
            list = self.table.iter().filter(has).map(|m| m.record.peer).collect();
        }
        list.choose(&mut self.rng).copied()
    }

    /// Number of times that each router sends a broadcast: enough to reach all members with high probability.
    fn broadcast_sends(&self) -> u32 {
        (self.table.live_count() as u32 + 1).ilog2() + 4
    }

    /// Number of times that each router sends a summary. Fewer sends than for a broadcast are enough, since summaries
    /// are renewed every few seconds.
    fn summary_sends(&self) -> u32 {
        SUMMARY_SENDS
    }

    fn queue_broadcast(&mut self, name: Arc<str>, sends: u32, scope: Scope) {
        // A pending broadcast to the whole fleet must still reach the other data centres.
        let pending_for_fleet = self.broadcasts.iter().any(|b| b.name == name && b.scope == Scope::Fleet);
        let scope = if pending_for_fleet { Scope::Fleet } else { scope };
        self.broadcasts.retain(|b| b.name != name);
        self.broadcasts.push_back(Broadcast { name, sends, scope });
    }

    fn announce(&mut self, now: Instant, scope: Scope, change: impl FnOnce(&mut Record)) {
        change(&mut self.me);
        self.me.incarnation += 1;
        self.table.merge(now, self.me.clone());
        self.queue_broadcast(self.me.name.clone(), self.broadcast_sends(), scope);
        self.out.events.push(Event::RoutersChanged);
    }

    /// Detects that this process was paused and resets the failure detector.
    ///
    /// A paused process has missed acks and refutations, so it must not draw conclusions from its old state. The pause
    /// shows on the boot-time clock, which keeps running while the host is suspended. The process drops its pending
    /// pings, extends every suspicion timeout by the pause, raises its incarnation and compares tables before it
    /// suspects anyone.
    fn handle_pause(&mut self, now: Instant) {
        let gap = now.saturating_sub(self.last_tick);
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.pending_pings.clear();
        self.relayed_pings.clear();
        self.unacked.clear();
        self.last_ack = now;
        self.joined_at = now;
        for m in self.table.iter_mut() {
            if let Some(until) = &mut m.suspect_until {
                *until += gap;
            }
        }
        self.announce(now, Scope::Fleet, |_| {});
        self.out.events.push(Event::Paused(gap));
    }

    fn queue_engine_events(&mut self) {
        let sends = self.broadcast_sends();
        for event in self.engines.take_events() {
            self.engine_events.push((event, sends));
        }
    }

    fn others(&self, keep: impl Fn(&Member) -> bool) -> Vec<(Arc<str>, SocketAddr)> {
        let list = self.table.iter().filter(|m| m.record.name != self.me.name && keep(m));
        list.map(|m| (m.record.name.clone(), m.record.peer)).collect()
    }

    fn random_nonce(&mut self) -> u32 {
        self.rng.random()
    }
}
