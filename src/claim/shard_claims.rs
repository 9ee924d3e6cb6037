//! In-memory claims of one shard in one router, stored on the platform by group commit with conditional writes.
//!
//! At most one call to the platform is in flight. All outstanding claims go into one write. A claim is granted only
//! when the shard's object is known to contain it under the attempt's own ID.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    AttemptId, ClaimRequest, Clock, Entry, KeyDigest, Record, Verdict, WallMs,
    shard::{self, Shard},
};
use crate::{
    catalog::AnyObject, objects::WriteOutcome, schema::claim::ClaimArchiveRef, util::Instant, util::Map,
};

mod merge;
mod plan;

/// ID of a waiting claim request, chosen by the caller.
pub type WaiterId = u64;

/// Timing and size limits of [`ShardClaims`].
#[derive(Clone, Copy, Debug)]
pub struct ShardClaimsConfig {
    /// Minimum time between the starts of two writes.
    pub write_interval: Duration,
    /// Maximum delay of a record before it is written without any new claim.
    pub record_delay: Duration,
    /// Maximum wait of a claim request.
    pub request_timeout: Duration,
    /// Maximum wait of a claim request during a platform outage.
    pub outage_timeout: Duration,
    /// Time for which a claim is stored.
    pub retention: Duration,
    /// Size of the shard's object above which its oldest claims move to an archive, in bytes.
    pub max_shard_bytes: usize,
    /// Maximum number of waiting claim requests.
    pub max_waiting: usize,
}

impl Default for ShardClaimsConfig {
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(100),
            record_delay: Duration::from_secs(1),
            request_timeout: Duration::from_millis(1500),
            outage_timeout: Duration::from_millis(200),
            retention: Duration::from_secs(24 * 3600),
            max_shard_bytes: 96 << 10,
            max_waiting: 10_000,
        }
    }
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Reads the shard's object.
    Read,
    /// Reads an archive.
    ReadArchive(String),
    /// Writes an object if its version on the platform is unchanged.
    Write(AnyObject),
    /// Deletes an archive.
    Delete(AnyObject),
}

/// Result of a call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum OpResult {
    /// The object that was read, if it exists.
    Read(Option<AnyObject>),
    /// Answer to a write or delete, or the fact that the answer was lost.
    Write(WriteOutcome),
    /// The call failed without effect.
    Failed,
}

/// A claim in memory.
#[derive(Clone, Debug)]
struct Slot {
    entry: Entry,
    /// Whether the platform is known to store this attempt's claim.
    durable: bool,
    /// Whether the attempt has released the claim and will not run.
    released: bool,
    /// Incremented with each change that has to be written.
    revision: u32,
    /// Name of the archive that stores the claim; `None` for the shard's object.
    archive: Option<String>,
}

/// Identifies the state in which a slot was sent in a write.
#[derive(Clone, Copy, Debug)]
struct SlotRevision {
    key: KeyDigest,
    attempt: AttemptId,
    revision: u32,
}

/// A claim request that waits for its verdict.
#[derive(Clone, Debug)]
struct WaitingRequest {
    id: WaiterId,
    ask: ClaimRequest,
    since: Instant,
}

/// The call in flight, with what is needed to apply its result.
#[derive(Clone, Debug)]
enum InFlight {
    Read,
    ReadArchive(String),
    Write { sent: Vec<SlotRevision>, removed: Vec<SlotRevision>, archives: Vec<ClaimArchiveRef> },
    Archive { name: String, obj: AnyObject, newest_ms: WallMs, sent: Vec<SlotRevision> },
    Delete,
}

/// An archive that has been created but is not yet referenced by the shard's object.
#[derive(Clone, Debug)]
struct UnlistedArchive {
    reference: ClaimArchiveRef,
    sent: Vec<SlotRevision>,
}

/// Claims of one shard, with their requests and unwritten changes.
#[derive(Debug)]
pub struct ShardClaims {
    cfg: ShardClaimsConfig,
    name: String,
    writer: String,
    slots: Map<KeyDigest, Slot>,
    unarchived: BTreeSet<KeyDigest>,
    dirty: BTreeSet<KeyDigest>,
    dirty_since: Option<Instant>,
    released_attempts: BTreeMap<AttemptId, Instant>,
    unmatched_records: BTreeMap<AttemptId, Record>,
    waiting: Vec<WaitingRequest>,
    base: Option<Shard>,
    loaded_archives: BTreeMap<String, String>,
    unlisted_archives: Vec<UnlistedArchive>,
    next_archive_number: u64,
    archives_to_delete: Vec<AnyObject>,
    in_flight: Option<InFlight>,
    read_needed: bool,
    synced_at: Instant,
    last_write: Option<Instant>,
    retry_at: Instant,
    failures: u32,
}

/// Time for which a released attempt is remembered, so that its own delayed request is not granted.
const RELEASED_ATTEMPT_RETENTION: Duration = Duration::from_secs(120);
/// Consecutive failed calls after which a platform outage is assumed.
const OUTAGE_AFTER_FAILURES: u32 = 4;
/// Maximum number of records that are held until their claims have been read.
const MAX_UNMATCHED_RECORDS: usize = 1000;
/// Age of the last synchronisation above which another attempt's unfinished claim is read again before it is reported.
const MAX_SYNC_AGE: Duration = Duration::from_secs(1);

impl ShardClaims {
    /// Creates the state for the shard's object `name`; `writer` identifies this router and process.
    pub fn new(name: impl Into<String>, writer: impl Into<String>, cfg: ShardClaimsConfig) -> Self {
        Self {
            cfg,
            name: name.into(),
            writer: writer.into(),
            slots: Map::default(),
            unarchived: BTreeSet::new(),
            dirty: BTreeSet::new(),
            dirty_since: None,
            released_attempts: BTreeMap::new(),
            unmatched_records: BTreeMap::new(),
            waiting: Vec::new(),
            base: None,
            loaded_archives: BTreeMap::new(),
            unlisted_archives: Vec::new(),
            next_archive_number: 0,
            archives_to_delete: Vec::new(),
            in_flight: None,
            read_needed: false,
            synced_at: Instant::ZERO,
            last_write: None,
            retry_at: Instant::ZERO,
            failures: 0,
        }
    }

    /// Requests a claim; on `None` the verdict follows from [`ShardClaims::handle_result`] or [`ShardClaims::expire`].
    pub fn request_claim(&mut self, clock: Clock, ask: ClaimRequest, id: WaiterId) -> Option<Verdict> {
        if self.waiting.len() >= self.cfg.max_waiting {
            return Some(Verdict::Unavailable);
        }
        let verdict = self.decide(clock, &ask);
        if verdict.is_none() {
            self.waiting.push(WaitingRequest { id, ask, since: clock.now });
        }
        verdict
    }

    /// Stores the result of a granted attempt. With `authority`, the sender is the only router that may run the key, so
    /// its record replaces any existing claim.
    pub fn finish(&mut self, clock: Clock, ask: &ClaimRequest, record: Record, authority: bool) {
        let is_current = self.slots.get(&ask.key).is_some_and(|s| s.entry.attempt == ask.attempt);
        if !is_current && !authority {
            self.keep_unmatched_record(ask.attempt, record);
            return;
        }
        let claimed_at_ms = self.slots.get(&ask.key).map_or(clock.wall_ms, |s| s.entry.claimed_at_ms);
        let entry = Entry { content: ask.content, attempt: ask.attempt, claimed_at_ms, record: Some(record) };
        self.put(clock, ask.key, entry, is_current);
    }

    /// Releases the claim of an attempt that has not run and never will.
    ///
    /// The attempt is remembered. Its own request may still arrive, delayed or duplicated, and would otherwise claim
    /// the key for an attempt that never runs.
    pub fn release(&mut self, clock: Clock, key: KeyDigest, attempt: AttemptId) {
        self.released_attempts.insert(attempt, clock.now);
        self.mark_released(clock, key, attempt);
    }

    /// Times out claim requests that have waited too long, and returns their verdicts.
    pub fn expire(&mut self, clock: Clock) -> Vec<(WaiterId, Verdict)> {
        self.released_attempts.retain(|_, at| clock.now < *at + RELEASED_ATTEMPT_RETENTION);
        let timeout = self.wait_timeout();
        let (expired, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| clock.now >= w.since + timeout);
        self.waiting = waiting;
        let expired: Vec<WaitingRequest> = expired;
        expired.into_iter().map(|w| (w.id, self.timeout_verdict(clock, &w.ask))).collect()
    }

    /// Current limit on the wait of a request: shorter during an outage, when a claim is unlikely to succeed.
    fn wait_timeout(&self) -> Duration {
        if self.failures < OUTAGE_AFTER_FAILURES { self.cfg.request_timeout } else { self.cfg.outage_timeout }
    }

    /// Writes records without delay from now on, before a planned shutdown.
    pub fn disable_record_delay(&mut self) {
        self.cfg.record_delay = Duration::ZERO;
    }

    /// Whether no request waits, no change is unwritten and no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.dirty.is_empty() && self.in_flight.is_none()
    }

    /// Number of claims in memory.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is no claim in memory.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Decides on a request if possible, and inserts its claim if the key is unused; `None` if the request has to wait.
    fn decide(&mut self, clock: Clock, ask: &ClaimRequest) -> Option<Verdict> {
        if self.released_attempts.contains_key(&ask.attempt) {
            return Some(Verdict::Unavailable);
        }
        if let Some(slot) = self.slots.get(&ask.key)
            && !slot.released
        {
            let is_own = slot.entry.attempt == ask.attempt && slot.entry.record.is_none() && !ask.lookup_only;
            if is_own {
                return (slot.durable && self.is_loaded()).then_some(Verdict::Granted);
            }
            if slot.entry.record.is_none() && self.is_stale(clock) {
                self.read_needed = true;
                return None;
            }
            return Some(slot.entry.verdict(ask.content, clock.wall_ms));
        }
        if !self.is_loaded() {
            return None;
        }
        if ask.lookup_only && self.is_stale(clock) {
            self.read_needed = true;
            return None;
        }
        if ask.lookup_only {
            return Some(Verdict::Expired);
        }
        let entry =
            Entry { content: ask.content, attempt: ask.attempt, claimed_at_ms: clock.wall_ms, record: None };
        self.put(clock, ask.key, entry, false);
        None
    }

    /// Verdict on a request that timed out. Its claim may still be written and then stays stored: only the attempt's own
    /// router knows that it will not run, and sends a release. Releasing the claim here could remove a claim that
    /// the attempt has meanwhile been granted through another router.
    fn timeout_verdict(&self, clock: Clock, ask: &ClaimRequest) -> Verdict {
        match self.slots.get(&ask.key) {
            Some(slot) if !slot.released && slot.entry.attempt != ask.attempt => {
                slot.entry.verdict(ask.content, clock.wall_ms)
            }
            _ if ask.lookup_only => Verdict::Unknown,
            _ => Verdict::Unavailable,
        }
    }

    /// Marks an attempt's claim for removal from the shard's object.
    fn mark_released(&mut self, clock: Clock, key: KeyDigest, attempt: AttemptId) {
        let Some(slot) = self.slots.get_mut(&key) else { return };
        // A claim can't be removed from an archive; it stays and is reported as unknown later.
        if slot.entry.attempt != attempt || slot.entry.record.is_some() || slot.archive.is_some() {
            return;
        }
        slot.released = true;
        slot.revision += 1;
        self.mark_dirty(clock, key);
    }

    /// Holds a record whose claim is not in memory until the object has been read, as after a change of owner.
    fn keep_unmatched_record(&mut self, attempt: AttemptId, record: Record) {
        if self.unmatched_records.len() < MAX_UNMATCHED_RECORDS {
            self.unmatched_records.insert(attempt, record);
            self.read_needed = true;
        }
    }

    /// Inserts or replaces a claim and marks it for writing.
    fn put(&mut self, clock: Clock, key: KeyDigest, entry: Entry, durable: bool) {
        let old = self.slots.get(&key);
        let durable = durable && old.is_some_and(|s| s.durable);
        let revision = old.map_or(0, |s| s.revision) + 1;
        self.slots.insert(key, Slot { entry, durable, released: false, revision, archive: None });
        self.unarchived.insert(key);
        self.mark_dirty(clock, key);
    }

    fn mark_dirty(&mut self, clock: Clock, key: KeyDigest) {
        self.dirty.insert(key);
        self.dirty_since.get_or_insert(clock.now);
    }

    /// Whether the whole shard is in memory, as of the version that the next write requires.
    fn is_loaded(&self) -> bool {
        self.base
            .as_ref()
            .is_some_and(|b| b.archives.iter().all(|a| self.loaded_archives.contains_key(&a.name)))
    }

    /// Whether the shard should be read again before another attempt's unfinished claim is reported.
    fn is_stale(&self, clock: Clock) -> bool {
        clock.now > self.synced_at + MAX_SYNC_AGE && self.failures == 0
    }

    /// Decides on all waiting requests again, and returns the verdicts.
    fn resolve_waiting(&mut self, clock: Clock) -> Vec<(WaiterId, Verdict)> {
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
