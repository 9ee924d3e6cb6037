//! Membership of routers by gossip: who lives, who serves, which configuration versions are in force.
//!
//! Members of one data centre probe each other and know each other in full detail. Across data centres only
//! changes of members and digests travel. Sans-IO: datagrams and time come in, datagrams and events go out.

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
use detect::{Relay, Trial};
pub use packet::{GossipKey, HEAD_BYTES, MAX_BYTES, Reject};
pub use record::{Member, NAME_BYTES, Record, Status};
pub use summary::Centre;
use summary::Summaries;
pub use table::{MemberKey, Table};
use topic::Notes;
pub use topic::{TooLong, Topic};

/// Timing and budget of the gossip.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Bytes that may be sent in any one second, headers of UDP and IP included.
    pub bytes_per_second: usize,
    /// Time between two pings of this router.
    pub period: Duration,
    /// Time for an ack before other members are asked to ping, and again before suspicion.
    pub ack_time: Duration,
    /// Time that a suspect has to refute.
    pub suspicion: Duration,
    /// Peer addresses that are tried while no other member is known, and now and then later.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MemberConfig {
    fn default() -> Self {
        Self {
            bytes_per_second: 5_000,
            period: Duration::from_millis(250),
            ack_time: Duration::from_millis(500),
            suspicion: Duration::from_secs(4),
            seeds: Vec::new(),
        }
    }
}

impl MemberConfig {
    /// Sets the byte budget.
    pub fn with_bytes_per_second(self, bytes_per_second: usize) -> Self {
        Self { bytes_per_second, ..self }
    }

    /// Sets the seeds.
    pub fn with_seeds(self, seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..self }
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: SocketAddr,
    /// Authenticated bytes.
    pub bytes: Vec<u8>,
}

/// What other modules may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The routers that may be handed out have changed.
    Routers,
    /// A configuration version newer than any before was heard of.
    Newest(u64),
    /// A note came.
    Note {
        /// Topic.
        topic: Topic,
        /// Router that published it.
        origin: Arc<str>,
        /// Payload.
        payload: Vec<u8>,
    },
    /// This process was paused for so long that others may hold it for dead.
    Paused(Duration),
}

/// What a step brought about.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to be sent.
    pub send: Vec<Outgoing>,
    /// Events.
    pub events: Vec<Event>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, headers of UDP and IP included.
    pub sent_bytes: u64,
    /// Datagrams that the budget did not allow.
    pub withheld: u64,
    /// Parts that the budget or the datagram's size left for later.
    pub deferred: u64,
    /// Members that this router suspected first.
    pub suspicions: u64,
    /// Members that this router declared dead.
    pub deaths: u64,
}

/// A router's view of the fleet.
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
    /// Engines' liveness and load.
    pub engines: EngineTable,
    summaries: Summaries,
    notes: Notes,
    news: VecDeque<News>,
    events: Vec<(EngineEvent, u32)>,
    ring: Vec<Arc<str>>,
    trials: Vec<Trial>,
    relays: Map<u32, Relay>,
    unanswered: Set<Arc<str>>,
    last_ack: Instant,
    last_tick: Instant,
    last_refutation: Instant,
    last_summary: (Instant, u64, u32),
    last_listed: (Instant, Vec<(u32, u32)>),
    tell_reporter: bool,
    differs: bool,
    /// Address of a router that called and is not in the table.
    caller: Option<SocketAddr>,
    joined: Instant,
    ticks: u64,
    out: Output,
    counts: Counts,
}

/// Whom a piece of news is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// The members of this data centre.
    Near,
    /// Everybody.
    All,
}

/// A member whose record is to be sent on.
#[derive(Clone, Debug)]
struct News {
    name: Arc<str>,
    sends: u32,
    reach: Reach,
}

/// Ticks between two comparisons of tables.
const SYNC_TICKS: u64 = 20;
/// A gap between ticks that shows that the process was paused.
const PAUSE: Duration = Duration::from_secs(2);
/// Times that a router sends a digest on.
const SUMMARY_SENDS: u32 = 5;
/// How long a router that has just started compares tables with every ping.
const JOIN_TIME: Duration = Duration::from_secs(5);

impl Membership {
    /// View of the router `me` that has just started.
    ///
    /// `me.incarnation` must rise from one start to the next; the wall clock in milliseconds does.
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
            news: VecDeque::new(),
            events: Vec::new(),
            ring: Vec::new(),
            trials: Vec::new(),
            relays: Map::default(),
            unanswered: Set::default(),
            last_ack: now,
            last_tick: now,
            last_refutation: Instant::ZERO,
            last_summary: (Instant::ZERO, 0, 0),
            last_listed: (Instant::ZERO, Vec::new()),
            tell_reporter: false,
            differs: false,
            caller: None,
            joined: now,
            ticks: 0,
            out: Output::default(),
            counts: Counts::default(),
            me: me.clone(),
        };
        this.table.merge(now, me.clone());
        this.spread(me.name, this.sends(), Reach::All);
        this
    }

    /// One step of time; to be called every [`MemberConfig::period`].
    pub fn tick(&mut self, now: Instant) -> Output {
        self.notice_pause(now);
        self.last_tick = now;
        self.ticks += 1;
        self.expire_trials(now);
        self.expire_suspects(now);
        self.report_centre(now);
        self.gather_events();
        self.ping_next(now);
        if self.ticks.is_multiple_of(SYNC_TICKS) {
            self.table.forget(now);
            self.notes.forget(now.saturating_sub(topic::KEEP));
            self.relays.retain(|_, r| r.at + self.cfg.ack_time * 4 > now);
        }
        std::mem::take(&mut self.out)
    }

    /// Takes in one datagram.
    ///
    /// # Errors
    /// Why it was dropped.
    pub fn receive(&mut self, now: Instant, from: SocketAddr, bytes: &[u8]) -> Result<Output, Reject> {
        let datagram = self.key.open(bytes)?;
        self.merge(now, from, datagram)?;
        Ok(std::mem::take(&mut self.out))
    }

    /// Sets the configuration version that this router has in force; the first makes it ready.
    pub fn set_in_force(&mut self, now: Instant, version: u64) {
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        self.newest = self.newest.max(version);
        self.tell_reporter = true;
        let name = self.me.name.clone();
        if let Some(m) = self.table.get_mut(&name) {
            m.in_force = version;
        }
        if !self.me.ready && self.me.status == Status::Alive {
            self.announce(now, Reach::All, |me| me.ready = true);
        }
    }

    /// Tells the others that this router takes no new callers.
    pub fn leave(&mut self, now: Instant) {
        if self.me.status == Status::Alive {
            self.announce(now, Reach::All, |me| me.status = Status::Leaving);
        }
    }

    /// Tells the others that this router stops; the last datagrams.
    pub fn close(mut self, now: Instant) -> Vec<Outgoing> {
        self.announce(now, Reach::All, |me| me.status = Status::Left);
        let centre = self.me.data_centre.clone();
        let live = |m: &&Member| !m.record.status.gone() && m.record.name != self.me.name;
        let peers: Vec<_> =
            self.table.centre(&centre).filter(live).map(|m| (m.record.name.clone(), m.record.peer)).collect();
        for (name, peer) in peers {
            self.send(now, Some(&name), peer, None, compose::Extras::default());
        }
        self.out.send
    }

    /// Adds addresses at which routers may stand, as the platform's list gives them; it proves nothing more.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if seed != self.me.peer && !self.cfg.seeds.contains(&seed) {
                self.cfg.seeds.push(seed);
            }
        }
    }

    /// Publishes bytes of another module; they replace this router's last note of the topic.
    ///
    /// # Errors
    /// When the payload exceeds the topic's bound.
    pub fn publish(&mut self, now: Instant, topic: Topic, payload: Vec<u8>) -> Result<(), TooLong> {
        if payload.len() > topic.bound() {
            return Err(TooLong { bound: topic.bound() });
        }
        self.seq += 1;
        let note = Note {
            topic: topic as u32,
            origin: self.me.name.to_string(),
            incarnation: self.me.incarnation,
            seq: self.seq,
            payload,
        };
        let sends = self.sends();
        self.notes.merge(now, &note, sends);
        Ok(())
    }

    /// This router's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// The members.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Newest configuration version that any router is known to have.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Digests of all data centres.
    pub fn centres(&self) -> impl Iterator<Item = &Centre> {
        self.summaries.centres.values()
    }

    /// Whether a member lives and its data centre can be heard.
    pub fn reachable(&self, now: Instant, member: &Member) -> bool {
        let r = &member.record;
        let near = r.data_centre == self.me.data_centre;
        !r.status.gone() && (near || self.summaries.fresh(now, &r.data_centre))
    }

    /// Whether this router has had time to learn of the others since it started or woke up. Before that its table holds
    /// some of them, and whoever took it for the fleet would leave out the rest.
    pub fn settled(&self, now: Instant) -> bool {
        self.joined + JOIN_TIME <= now
    }

    /// Live routers of this data centre that are not leaving, by name.
    pub fn near(&self) -> Vec<Arc<str>> {
        let stays = |m: &&Member| !m.record.status.gone() && m.record.status != Status::Leaving;
        let mut names: Vec<_> =
            self.table.centre(&self.me.data_centre).filter(stays).map(|m| m.record.name.clone()).collect();
        names.sort();
        names
    }

    /// A router that is known to have at least `version` in force, a near one if possible.
    pub fn peer_with(&mut self, version: u64) -> Option<SocketAddr> {
        let me = &self.me;
        let has = |m: &&Member| m.in_force >= version && !m.record.status.gone() && m.record.name != me.name;
        let mut list: Vec<_> =
            self.table.centre(&me.data_centre).filter(has).map(|m| m.record.peer).collect();
        if list.is_empty() {
            list = self.table.iter().filter(has).map(|m| m.record.peer).collect();
        }
        list.choose(&mut self.rng).copied()
    }

    /// Times that a piece of news is sent on by each router: enough to reach all with high probability.
    fn sends(&self) -> u32 {
        (self.table.live() as u32 + 1).ilog2() + 4
    }

    /// Digests come anew every few seconds, so that a lost one does little harm; fewer sends do.
    fn summary_sends(&self) -> u32 {
        SUMMARY_SENDS
    }

    fn spread(&mut self, name: Arc<str>, sends: u32, reach: Reach) {
        // What other data centres have not been told yet must still reach them.
        let owed = self.news.iter().any(|n| n.name == name && n.reach == Reach::All);
        let reach = if owed { Reach::All } else { reach };
        self.news.retain(|n| n.name != name);
        self.news.push_back(News { name, sends, reach });
    }

    fn announce(&mut self, now: Instant, reach: Reach, change: impl FnOnce(&mut Record)) {
        change(&mut self.me);
        self.me.incarnation += 1;
        self.table.merge(now, self.me.clone());
        self.spread(self.me.name.clone(), self.sends(), reach);
        self.out.events.push(Event::Routers);
    }

    /// A paused process has missed acks and refutations: what it concludes from its old state would be wrong.
    /// The gap shows on the boot-time clock, which goes on while the host is suspended. It drops its open pings,
    /// gives every suspect its time again, raises its incarnation and compares tables before it judges anyone.
    fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_sub(self.last_tick);
        if gap < PAUSE {
            return;
        }
        self.trials.clear();
        self.relays.clear();
        self.unanswered.clear();
        self.last_ack = now;
        self.joined = now;
        for m in self.table.iter_mut() {
            if let Some(until) = &mut m.suspect_until {
                *until += gap;
            }
        }
        self.announce(now, Reach::All, |_| {});
        self.out.events.push(Event::Paused(gap));
    }

    fn gather_events(&mut self) {
        let sends = self.sends();
        for event in self.engines.take_events() {
            self.events.push((event, sends));
        }
    }

    fn others(&self, keep: impl Fn(&Member) -> bool) -> Vec<(Arc<str>, SocketAddr)> {
        let list = self.table.iter().filter(|m| m.record.name != self.me.name && keep(m));
        list.map(|m| (m.record.name.clone(), m.record.peer)).collect()
    }

    fn number(&mut self) -> u32 {
        self.rng.random()
    }
}
