//! Table of contents that were running when an engine crashed, merged with those of the other routers.

use std::time::Duration;

use super::{CrashId, EngineHash, Fingerprint, Standing, crashes::CrashHistory};
use crate::{
    schema::suspect::{Digest, Entry as WireEntry},
    util::{Instant, Map, Set},
};

/// Maximum number of crashes kept per content; at this number it is quarantined even if the engine was unstable.
const CRASH_LIMIT: usize = 3;

/// Time in which an engine that lost its connections usually answers again.
const PROVISIONAL_PERIOD: Duration = Duration::from_secs(10);

/// Limits of a [`SuspectTable`].
#[derive(Clone, Copy, Debug)]
pub struct SuspectTableLimits {
    max_entries: usize,
    suspect_ttl: Duration,
    quarantine_ttl: Duration,
}

impl Default for SuspectTableLimits {
    fn default() -> Self {
        Self {
            max_entries: 4096,
            suspect_ttl: Duration::from_secs(120),
            quarantine_ttl: Duration::from_secs(600),
        }
    }
}

impl SuspectTableLimits {
    /// Sets the maximum number of contents in the table.
    pub fn with_max_entries(self, max_entries: usize) -> Self {
        Self { max_entries, ..self }
    }

    /// Sets how long a content stays suspect and how long it stays quarantined. After the quarantine it is a suspect
    /// for the same time again, so that a content that still crashes engines costs only one more engine, not two.
    pub fn with_ttls(self, suspect_ttl: Duration, quarantine_ttl: Duration) -> Self {
        Self { suspect_ttl, quarantine_ttl, ..self }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    /// Increases with each change that must override the former standing at other routers.
    epoch: u32,
    standing: Standing,
    until: Instant,
    crashes: Vec<CrashId>,
    /// How often the entry has been sent since its last change.
    sends: u32,
}

/// Standing of contents: suspect, cleared or quarantined.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    limits: SuspectTableLimits,
    entries: Map<Fingerprint, Entry>,
    crash_history: CrashHistory,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new(limits: SuspectTableLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Standing of a content; an unknown one is cleared.
    pub fn standing(&self, now: Instant, content: Fingerprint) -> Standing {
        self.entries.get(&content).map_or(Standing::Cleared, |e| self.standing_of(now, e))
    }

    /// Whether the quarantine of a content is provisional: it is so recent that the crash may still be retracted, if
    /// the engine turns out not to have restarted. The content is not run, but its caller should retry later.
    pub fn is_provisional(&self, now: Instant, content: Fingerprint) -> bool {
        let settled_ttl = self.limits.quarantine_ttl * 2 - PROVISIONAL_PERIOD.min(self.limits.quarantine_ttl);
        let entry = self.entries.get(&content).filter(|e| e.standing == Standing::Quarantined);
        entry.is_some_and(|e| e.until > now + settled_ttl)
    }

    /// Standing of an entry at `now`: an expired one is cleared, a formerly quarantined one is a suspect at first.
    fn standing_of(&self, now: Instant, entry: &Entry) -> Standing {
        match entry.standing {
            _ if entry.until <= now => Standing::Cleared,
            Standing::Quarantined if entry.until <= now + self.limits.quarantine_ttl => Standing::Suspect,
            standing => standing,
        }
    }

    /// Number of contents in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Marks contents as suspects of a crash; returns whether the crash was unknown.
    ///
    /// This includes crashes attributed to another content, since the attribution may be wrong. A harmless suspect is
    /// only isolated from other suspects until it completes.
    pub fn mark_suspects(&mut self, now: Instant, contents: &[Fingerprint], crash: CrashId) -> bool {
        let new = self.crash_history.record(now, crash, self.limits.suspect_ttl);
        for &content in contents {
            self.mark_suspect(now, content, crash);
        }
        self.evict(now);
        new
    }

    /// Records a crash of an engine on which `content` was the only suspect, and returns the content's standing.
    /// `contents` are all contents that this router was running there.
    ///
    /// An unstable engine crashes without the content being the cause, and a harmless content could meet two such
    /// crashes in a row. The content is therefore quarantined at its second crash only if the engine was stable,
    /// otherwise at its third.
    pub fn record_isolated_crash(
        &mut self,
        now: Instant,
        content: Fingerprint,
        contents: &[Fingerprint],
        crash: CrashId,
    ) -> Standing {
        let unstable_engines =
            self.crash_history.unstable_engines(now, &self.attributed_crashes(now), Some(crash));
        self.mark_suspects(now, contents, crash);
        self.mark_suspect(now, content, crash);
        let crashes = self.entries.get(&content).map_or(0, |e| e.crashes.len());
        let crashed_twice = crashes >= 2 && !unstable_engines.contains(&crash.engine());
        if crashed_twice || crashes >= CRASH_LIMIT {
            self.quarantine(now, content);
        }
        self.evict(now);
        self.standing(now, content)
    }

    /// Engines that recently crashed without a known cause. Suspects should not run there.
    pub fn unstable_engines(&self, now: Instant) -> Set<EngineHash> {
        self.crash_history.unstable_engines(now, &self.attributed_crashes(now), None)
    }

    /// Crashes attributed to a quarantined content.
    fn attributed_crashes(&self, now: Instant) -> Set<CrashId> {
        let is_quarantined = |e: &&Entry| e.standing == Standing::Quarantined && e.until > now;
        self.entries.values().filter(is_quarantined).flat_map(|e| e.crashes.iter().copied()).collect()
    }

    /// Quarantines a content. Others that were quarantined for the same crash become suspects again: only one content
    /// caused it, and a harmful one will crash another engine.
    fn quarantine(&mut self, now: Instant, content: Fingerprint) {
        let until = now + self.limits.quarantine_ttl * 2;
        let Some(entry) = self.entries.get_mut(&content) else { return };
        if entry.standing == Standing::Quarantined {
            entry.epoch += 1;
        }
        (entry.standing, entry.until, entry.sends) = (Standing::Quarantined, until, 0);
        let crashes = entry.crashes.clone();
        self.demote_others(now, content, &crashes);
    }

    /// Makes other contents that are quarantined for any of these crashes suspects again.
    fn demote_others(&mut self, now: Instant, content: Fingerprint, crashes: &[CrashId]) {
        let until = now + self.limits.suspect_ttl;
        for (other, entry) in &mut self.entries {
            let shares_crash = entry.crashes.iter().any(|c| crashes.contains(c));
            if *other != content && shares_crash && entry.standing == Standing::Quarantined {
                entry.epoch += 1;
                entry.crashes.retain(|c| !crashes.contains(c));
                (entry.standing, entry.until, entry.sends) = (Standing::Suspect, until, 0);
            }
        }
    }

    /// Clears a suspect that has completed.
    pub fn clear(&mut self, now: Instant, content: Fingerprint) {
        if self.standing(now, content) != Standing::Suspect {
            return;
        }
        let Some(entry) = self.entries.get_mut(&content) else { return };
        if entry.standing == Standing::Quarantined {
            entry.epoch += 1;
        }
        (entry.standing, entry.sends) = (Standing::Cleared, 0);
    }

    /// Retracts a crash: the engine's process has not restarted, so only the connection broke. A content quarantined
    /// for this crash becomes a suspect of its remaining crashes.
    pub fn retract_crash(&mut self, now: Instant, crash: CrashId) {
        self.crash_history.retract(now, crash, self.limits.suspect_ttl);
        for entry in self.entries.values_mut().filter(|e| e.crashes.contains(&crash)) {
            entry.crashes.retain(|c| *c != crash);
            if entry.standing == Standing::Quarantined {
                entry.epoch += 1;
                entry.until = now + self.limits.suspect_ttl;
            }
            let cleared = entry.crashes.is_empty() || entry.standing == Standing::Cleared;
            entry.standing = if cleared { Standing::Cleared } else { Standing::Suspect };
            entry.sends = 0;
        }
    }

    /// Digest of the table for other routers, at most `bytes` in postcard encoding. Entries sent least often go
    /// first, among these quarantined contents before suspects.
    pub fn digest(&mut self, now: Instant, bytes: usize) -> Digest {
        self.select(now, bytes, u32::MAX)
    }

    /// Digest of the entries that have not been sent yet, at most `bytes` in postcard encoding.
    pub fn unsent(&mut self, now: Instant, bytes: usize) -> Digest {
        self.select(now, bytes, 0)
    }

    /// Selects entries that were sent at most `max_sends` times, up to `bytes` in total, and counts them as sent.
    fn select(&mut self, now: Instant, bytes: usize, max_sends: u32) -> Digest {
        self.entries.retain(|_, e| e.until > now);
        let mut order: Vec<_> = self.entries.iter().filter(|(_, e)| e.sends <= max_sends).collect();
        order.sort_by_key(|(content, e)| (e.sends, std::cmp::Reverse(e.standing), **content));
        let mut digest = Digest { entries: Vec::new() };
        // The length prefix of the list takes at most two bytes for the entries that fit in a message.
        let mut size = 2;
        for (content, entry) in order {
            let wire = to_wire(now, *content, entry);
            size += postcard::experimental::serialized_size(&wire).unwrap_or(usize::MAX / 2);
            if size > bytes {
                break;
            }
            digest.entries.push(wire);
        }
        for wire in &digest.entries {
            if let Some(entry) = self.entries.get_mut(&Fingerprint(wire.fingerprint)) {
                entry.sends = entry.sends.saturating_add(1);
            }
        }
        digest
    }

    /// Merges the digest of another router.
    pub fn merge(&mut self, now: Instant, digest: &Digest) {
        for wire in &digest.entries {
            self.merge_entry(now, wire);
        }
        self.evict(now);
    }

    /// Merges one entry: the higher epoch wins, then the higher standing (suspect, cleared, quarantined).
    fn merge_entry(&mut self, now: Instant, wire: &WireEntry) {
        let max_ttl = self.limits.suspect_ttl.max(self.limits.quarantine_ttl * 2);
        let until = now + Duration::from_millis(wire.ttl_ms.into()).min(max_ttl);
        let standing = wire.standing();
        let existing = self.entries.get(&Fingerprint(wire.fingerprint)).filter(|e| e.until > now);
        if existing.is_some_and(|e| (e.epoch, e.standing) >= (wire.epoch, standing)) {
            return;
        }
        let mut crashes: Vec<_> = wire.crashes.iter().copied().map(CrashId).collect();
        crashes.truncate(CRASH_LIMIT);
        for &crash in &crashes {
            self.crash_history.record(now, crash, self.limits.suspect_ttl);
        }
        let entry = Entry { epoch: wire.epoch, standing, until, crashes, sends: 0 };
        self.entries.insert(Fingerprint(wire.fingerprint), entry);
    }

    /// Marks a content as suspect of a crash; a quarantined one only gets the crash added.
    fn mark_suspect(&mut self, now: Instant, content: Fingerprint, crash: CrashId) {
        let until = now + self.limits.suspect_ttl;
        let entry = self.entries.entry(content).or_insert_with(|| Entry {
            epoch: 0,
            standing: Standing::Cleared,
            until,
            crashes: Vec::new(),
            sends: 0,
        });
        if entry.standing == Standing::Quarantined && entry.until > now {
            if !entry.crashes.contains(&crash) && entry.crashes.len() < CRASH_LIMIT {
                entry.crashes.push(crash);
            }
            return;
        }
        if entry.standing != Standing::Suspect || entry.until <= now {
            entry.crashes.clear();
            entry.epoch += 1;
        }
        if !entry.crashes.contains(&crash) && entry.crashes.len() < CRASH_LIMIT {
            entry.crashes.push(crash);
        }
        (entry.standing, entry.until, entry.sends) = (Standing::Suspect, until, 0);
    }

    /// Keeps the table within its limit: evicts expired and cleared contents first, quarantined ones last.
    fn evict(&mut self, now: Instant) {
        if self.entries.len() <= self.limits.max_entries {
            return;
        }
        self.entries.retain(|_, e| e.until > now && e.standing != Standing::Cleared);
        let excess = self.entries.len().saturating_sub(self.limits.max_entries);
        if excess == 0 {
            return;
        }
        let mut order: Vec<_> = self.entries.iter().map(|(c, e)| (e.standing, e.until, *c)).collect();
        order.sort();
        for (_, _, content) in order.into_iter().take(excess) {
            self.entries.remove(&content);
        }
    }
}

fn to_wire(now: Instant, content: Fingerprint, entry: &Entry) -> WireEntry {
    WireEntry {
        fingerprint: content.0,
        epoch: entry.epoch,
        standing: entry.standing as i32,
        ttl_ms: entry.until.saturating_sub(now).as_millis().min(u32::MAX.into()) as u32,
        crashes: entry.crashes.iter().map(|c| c.0).collect(),
    }
}
