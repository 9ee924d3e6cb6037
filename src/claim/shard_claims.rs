//! The claims of one shard as one router works on them: group commit by conditional writes.
//!
//! At most one call to the platform is in flight. All claims that wait go into one write. A claim is granted only
//! when the object is known to hold it under the attempt's own number.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    AttemptId, ClaimRequest, Clock, Entry, KeyDigest, Record, Verdict, WallMs,
    shard::{self, Shard},
};
use crate::{catalog::AnyObject, objects::Write, schema::claim::ClaimArchiveRef, util::Instant, util::Map};

mod merge;
mod plan;

/// Number of a waiting ask, chosen by the caller.
pub type WaiterId = u64;

/// How a book works.
#[derive(Clone, Copy, Debug)]
pub struct ShardClaimsConfig {
    /// Least time between the starts of two writes.
    pub write_interval: Duration,
    /// Longest time that a record waits for a write of its own.
    pub record_delay: Duration,
    /// Longest time that an ask waits.
    pub ask_timeout: Duration,
    /// Longest time that an ask waits while the platform is known not to answer.
    pub outage_timeout: Duration,
    /// How long a claim is kept.
    pub retention: Duration,
    /// Size of the shard's object above which its older claims move to an archive, in bytes.
    pub max_shard_bytes: usize,
    /// Asks that may wait at once.
    pub max_waiting: usize,
}

impl Default for ShardClaimsConfig {
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(100),
            record_delay: Duration::from_secs(1),
            ask_timeout: Duration::from_millis(1500),
            outage_timeout: Duration::from_millis(200),
            retention: Duration::from_secs(24 * 3600),
            max_shard_bytes: 96 << 10,
            max_waiting: 10_000,
        }
    }
}

/// Call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Read the shard's object.
    Read,
    /// Read an archive.
    ReadArchive(String),
    /// Write an object on the condition of its version.
    Write(AnyObject),
    /// Delete an archive.
    Delete(AnyObject),
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum OpResult {
    /// The object was read.
    Read(Option<AnyObject>),
    /// A write or delete was answered, or its answer was lost.
    Write(Write),
    /// No answer came, and nothing took effect.
    Failed,
}

/// Claim in memory.
#[derive(Clone, Debug)]
struct Slot {
    entry: Entry,
    /// Whether the platform is known to hold this attempt's claim.
    durable: bool,
    /// Whether nobody will run it: its ask was given up, or the right was given back.
    free: bool,
    /// Changes with each change that has to be written.
    revision: u32,
    /// Archive that holds it; `None` for the shard's object.
    archive: Option<String>,
}

/// A slot as it went into a write.
#[derive(Clone, Copy, Debug)]
struct Sent {
    key: KeyDigest,
    attempt: AttemptId,
    revision: u32,
}

#[derive(Clone, Debug)]
struct Waiting {
    id: WaiterId,
    ask: ClaimRequest,
    since: Instant,
}

#[derive(Clone, Debug)]
enum Flight {
    Read,
    ReadArchive(String),
    Write { sent: Vec<Sent>, gone: Vec<Sent>, archives: Vec<ClaimArchiveRef> },
    Archive { name: String, obj: AnyObject, newest_ms: WallMs, sent: Vec<Sent> },
    Delete,
}

/// An archive that exists but that the shard's object does not name yet.
#[derive(Clone, Debug)]
struct Draft {
    reference: ClaimArchiveRef,
    sent: Vec<Sent>,
}

/// Claims of one shard.
#[derive(Debug)]
pub struct ShardClaims {
    cfg: ShardClaimsConfig,
    name: String,
    writer: String,
    slots: Map<KeyDigest, Slot>,
    hot: BTreeSet<KeyDigest>,
    dirty: BTreeSet<KeyDigest>,
    dirty_since: Option<Instant>,
    refused: BTreeMap<AttemptId, Instant>,
    records: BTreeMap<AttemptId, Record>,
    waiting: Vec<Waiting>,
    base: Option<Shard>,
    archives: BTreeMap<String, String>,
    drafts: Vec<Draft>,
    archived: u64,
    trash: Vec<AnyObject>,
    flight: Option<Flight>,
    want_read: bool,
    synced: Instant,
    last_write: Option<Instant>,
    retry_at: Instant,
    failures: u32,
}

/// How long an attempt that was given back is remembered, against its own ask arriving late.
const REFUSED_KEEP: Duration = Duration::from_secs(120);
/// Calls in a row without an answer after which the platform counts as out.
const OUTAGE_FAILURES: u32 = 4;
/// Records that wait for the object to be read.
const MAX_RECORDS: usize = 1000;
/// Age of what was last read beyond which an undecided claim of another attempt is read anew.
const SYNC: Duration = Duration::from_secs(1);

impl ShardClaims {
    /// Book of the shard's object `name`; `writer` is this router's name and start.
    pub fn new(name: impl Into<String>, writer: impl Into<String>, cfg: ShardClaimsConfig) -> Self {
        Self {
            cfg,
            name: name.into(),
            writer: writer.into(),
            slots: Map::default(),
            hot: BTreeSet::new(),
            dirty: BTreeSet::new(),
            dirty_since: None,
            refused: BTreeMap::new(),
            records: BTreeMap::new(),
            waiting: Vec::new(),
            base: None,
            archives: BTreeMap::new(),
            drafts: Vec::new(),
            archived: 0,
            trash: Vec::new(),
            flight: None,
            want_read: false,
            synced: Instant::ZERO,
            last_write: None,
            retry_at: Instant::ZERO,
            failures: 0,
        }
    }

    /// Asks for a claim; `None` when the verdict comes from [`ShardClaims::handle_result`] or [`ShardClaims::expire`].
    pub fn ask(&mut self, clock: Clock, ask: ClaimRequest, id: WaiterId) -> Option<Verdict> {
        if self.waiting.len() >= self.cfg.max_waiting {
            return Some(Verdict::Unavailable);
        }
        let verdict = self.decide(clock, &ask);
        if verdict.is_none() {
            self.waiting.push(Waiting { id, ask, since: clock.now });
        }
        verdict
    }

    /// Records what became of a granted attempt. With `authority`, the sender alone may run the key, so that its
    /// word replaces whatever is there.
    pub fn finish(&mut self, clock: Clock, ask: &ClaimRequest, record: Record, authority: bool) {
        let known = self.slots.get(&ask.key).is_some_and(|s| s.entry.attempt == ask.attempt);
        if !known && !authority {
            self.keep_record(ask.attempt, record);
            return;
        }
        let at_ms = self.slots.get(&ask.key).map_or(clock.wall_ms, |s| s.entry.at_ms);
        let entry = Entry { content: ask.content, attempt: ask.attempt, at_ms, record: Some(record) };
        self.put(clock, ask.key, entry, known);
    }

    /// Takes back the right of an attempt that has not run and never will.
    ///
    /// The attempt is remembered: its own ask may still arrive, delayed or twice, and would otherwise hold the key
    /// for nobody.
    pub fn release(&mut self, clock: Clock, key: KeyDigest, attempt: AttemptId) {
        self.refused.insert(attempt, clock.now);
        self.free(clock, key, attempt);
    }

    /// Gives up asks that have waited too long.
    pub fn expire(&mut self, clock: Clock) -> Vec<(WaiterId, Verdict)> {
        self.refused.retain(|_, at| clock.now < *at + REFUSED_KEEP);
        let timeout = self.patience();
        let (late, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| clock.now >= w.since + timeout);
        self.waiting = waiting;
        let late: Vec<Waiting> = late;
        late.into_iter().map(|w| (w.id, self.give_up(clock, &w.ask))).collect()
    }

    /// How long an ask may wait now: a caller whose claim has little chance is told so early.
    fn patience(&self) -> Duration {
        if self.failures < OUTAGE_FAILURES { self.cfg.ask_timeout } else { self.cfg.outage_timeout }
    }

    /// Writes records without waiting for company, before a planned stop.
    pub fn disable_record_delay(&mut self) {
        self.cfg.record_delay = Duration::ZERO;
    }

    /// Whether asks wait or changes have not been written.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.dirty.is_empty() && self.flight.is_none()
    }

    /// Claims in memory.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no claim is in memory.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    fn decide(&mut self, clock: Clock, ask: &ClaimRequest) -> Option<Verdict> {
        if self.refused.contains_key(&ask.attempt) {
            return Some(Verdict::Unavailable);
        }
        if let Some(slot) = self.slots.get(&ask.key)
            && !slot.free
        {
            let mine = slot.entry.attempt == ask.attempt && slot.entry.record.is_none() && !ask.lookup_only;
            if mine {
                return (slot.durable && self.is_loaded()).then_some(Verdict::Granted);
            }
            if slot.entry.record.is_none() && self.is_stale(clock) {
                self.want_read = true;
                return None;
            }
            return Some(slot.entry.verdict(ask.content, clock.wall_ms));
        }
        if !self.is_loaded() {
            return None;
        }
        if ask.lookup_only && self.is_stale(clock) {
            self.want_read = true;
            return None;
        }
        if ask.lookup_only {
            return Some(Verdict::Expired);
        }
        let entry = Entry { content: ask.content, attempt: ask.attempt, at_ms: clock.wall_ms, record: None };
        self.put(clock, ask.key, entry, false);
        None
    }

    /// Verdict on an ask that waited too long. Its claim may be on its way into the object and stays there: only
    /// the attempt's own router knows that it will not run, and says so by a release. Freeing it here would let
    /// this router take out a claim that the attempt has meanwhile been granted by way of another router.
    fn give_up(&self, clock: Clock, ask: &ClaimRequest) -> Verdict {
        match self.slots.get(&ask.key) {
            Some(slot) if !slot.free && slot.entry.attempt != ask.attempt => {
                slot.entry.verdict(ask.content, clock.wall_ms)
            }
            _ if ask.lookup_only => Verdict::Unknown,
            _ => Verdict::Unavailable,
        }
    }

    fn free(&mut self, clock: Clock, key: KeyDigest, attempt: AttemptId) {
        let Some(slot) = self.slots.get_mut(&key) else { return };
        // A claim in an archive can't be taken out of it; it stays and reads as unknown later.
        if slot.entry.attempt != attempt || slot.entry.record.is_some() || slot.archive.is_some() {
            return;
        }
        slot.free = true;
        slot.revision += 1;
        self.mark_dirty(clock, key);
    }

    /// Keeps a record whose claim is not in memory, as after a change of owner, until the object has been read.
    fn keep_record(&mut self, attempt: AttemptId, record: Record) {
        if self.records.len() < MAX_RECORDS {
            self.records.insert(attempt, record);
            self.want_read = true;
        }
    }

    fn put(&mut self, clock: Clock, key: KeyDigest, entry: Entry, durable: bool) {
        let old = self.slots.get(&key);
        let durable = durable && old.is_some_and(|s| s.durable);
        let revision = old.map_or(0, |s| s.revision) + 1;
        self.slots.insert(key, Slot { entry, durable, free: false, revision, archive: None });
        self.hot.insert(key);
        self.mark_dirty(clock, key);
    }

    fn mark_dirty(&mut self, clock: Clock, key: KeyDigest) {
        self.dirty.insert(key);
        self.dirty_since.get_or_insert(clock.now);
    }

    /// Whether memory holds all of the shard as of the version on which the next write is conditional.
    fn is_loaded(&self) -> bool {
        self.base.as_ref().is_some_and(|b| b.archives.iter().all(|a| self.archives.contains_key(&a.name)))
    }

    fn is_stale(&self, clock: Clock) -> bool {
        clock.now > self.synced + SYNC && self.failures == 0
    }

    fn settle(&mut self, clock: Clock) -> Vec<(WaiterId, Verdict)> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut verdicts = Vec::new();
        for w in waiting {
            match self.decide(clock, &w.ask) {
                Some(verdict) => verdicts.push((w.id, verdict)),
                None => self.waiting.push(w),
            }
        }
        verdicts
    }
}
