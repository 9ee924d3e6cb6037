//! What this router knows of contents that were running when an engine crashed.

use std::time::Duration;

use super::{CrashId, EngineHash, Fingerprint, Standing, crashes::CrashHistory};
use crate::{
    schema::suspect::{Digest, Entry as Wire},
    util::{Instant, Map, Set},
};

/// Crashes remembered a content; the last of them convicts it wherever it happened.
const CRASHES: usize = 3;

/// Time in which a broken engine mostly answers again.
const PROVISIONAL: Duration = Duration::from_secs(10);

/// Bounds of the table.
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    entries: usize,
    suspect: Duration,
    quarantine: Duration,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self { entries: 4096, suspect: Duration::from_secs(120), quarantine: Duration::from_secs(600) }
    }
}

impl TableLimits {
    /// Sets how many contents are remembered.
    pub fn with_entries(self, entries: usize) -> Self {
        Self { entries, ..self }
    }

    /// Sets how long a content stays suspect, and how long quarantined. After its quarantine it is a suspect for
    /// as long again, so that one that still crashes engines costs one more, not two.
    pub fn with_times(self, suspect: Duration, quarantine: Duration) -> Self {
        Self { suspect, quarantine, ..self }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    epoch: u32,
    standing: Standing,
    until: Instant,
    crashes: Vec<CrashId>,
    sends: u32,
}

/// Suspect, cleared and quarantined contents.
#[derive(Clone, Debug, Default)]
pub struct Table {
    limits: TableLimits,
    entries: Map<Fingerprint, Entry>,
    crash_history: CrashHistory,
}

impl Table {
    /// Empty table.
    pub fn new(limits: TableLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Standing of a content; one never heard of is cleared.
    pub fn standing(&self, now: Instant, content: Fingerprint) -> Standing {
        self.entries.get(&content).map_or(Standing::Cleared, |e| self.standing_of(now, e))
    }

    /// Whether a content was quarantined a moment ago, so that the engines that it is blamed for may yet be seen
    /// in their old start and the blame be taken back. It is not run, but its caller should come back.
    pub fn is_provisional(&self, now: Instant, content: Fingerprint) -> bool {
        let settled = self.limits.quarantine * 2 - PROVISIONAL.min(self.limits.quarantine);
        let entry = self.entries.get(&content).filter(|e| e.standing == Standing::Quarantined);
        entry.is_some_and(|e| e.until > now + settled)
    }

    fn standing_of(&self, now: Instant, entry: &Entry) -> Standing {
        match entry.standing {
            _ if entry.until <= now => Standing::Cleared,
            Standing::Quarantined if entry.until <= now + self.limits.quarantine => Standing::Suspect,
            standing => standing,
        }
    }

    /// Contents remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Makes contents suspects of a crash, also when another content is blamed for it: the blame may be wrong, and
    /// an innocent only runs apart from other suspects until it completes. Returns whether the crash is news.
    pub fn mark_suspects(&mut self, now: Instant, contents: &[Fingerprint], crash: CrashId) -> bool {
        let new = self.crash_history.note(now, crash, self.limits.suspect);
        for &content in contents {
            self.mark_suspect(now, content, crash);
        }
        self.shrink(now);
        new
    }

    /// Judges a content whose engine crashed while it was alone among suspects; `contents` is all that this
    /// router was running there. Returns the content's standing.
    ///
    /// A flapping engine breaks what it runs without any content's doing, and an innocent could meet two flaps
    /// in a row. So the crash is blamed on the content only where the engine was steady, or at its third crash.
    pub fn record_isolated_crash(
        &mut self,
        now: Instant,
        content: Fingerprint,
        contents: &[Fingerprint],
        crash: CrashId,
    ) -> Standing {
        let unstable_engines = self.crash_history.unstable_engines(now, &self.attributed(now), Some(crash));
        self.mark_suspects(now, contents, crash);
        self.mark_suspect(now, content, crash);
        let crashes = self.entries.get(&content).map_or(0, |e| e.crashes.len());
        let twice = crashes >= 2 && !unstable_engines.contains(&crash.engine());
        if twice || crashes >= CRASHES {
            self.quarantine(now, content);
        }
        self.shrink(now);
        self.standing(now, content)
    }

    /// Engines that crash lately without a known cause. Suspects should not run there.
    pub fn unstable_engines(&self, now: Instant) -> Set<EngineHash> {
        self.crash_history.unstable_engines(now, &self.attributed(now), None)
    }

    /// Crashes that are blamed on a quarantined content.
    fn attributed(&self, now: Instant) -> Set<CrashId> {
        let guilty = |e: &&Entry| e.standing == Standing::Quarantined && e.until > now;
        self.entries.values().filter(guilty).flat_map(|e| e.crashes.iter().copied()).collect()
    }

    /// Quarantines a content. One that was blamed for the same crash before becomes a suspect again: only one of
    /// the two caused it, and the one that did will show itself.
    fn quarantine(&mut self, now: Instant, content: Fingerprint) {
        let until = now + self.limits.quarantine * 2;
        let Some(entry) = self.entries.get_mut(&content) else { return };
        if entry.standing == Standing::Quarantined {
            entry.epoch += 1;
        }
        (entry.standing, entry.until, entry.sends) = (Standing::Quarantined, until, 0);
        let crashes = entry.crashes.clone();
        self.demote_others(now, content, &crashes);
    }

    fn demote_others(&mut self, now: Instant, content: Fingerprint, crashes: &[CrashId]) {
        let until = now + self.limits.suspect;
        for (other, entry) in &mut self.entries {
            let shares = entry.crashes.iter().any(|c| crashes.contains(c));
            if *other != content && shares && entry.standing == Standing::Quarantined {
                entry.epoch += 1;
                entry.crashes.retain(|c| !crashes.contains(c));
                (entry.standing, entry.until, entry.sends) = (Standing::Suspect, until, 0);
            }
        }
    }

    /// Clears a content that has completed.
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

    /// Takes an accusation back: the engine is still in the same start, so only the connection broke. A content
    /// that was quarantined for it is a suspect of what remains.
    pub fn retract_crash(&mut self, now: Instant, crash: CrashId) {
        self.crash_history.retract_crash(now, crash, self.limits.suspect);
        for entry in self.entries.values_mut().filter(|e| e.crashes.contains(&crash)) {
            entry.crashes.retain(|c| *c != crash);
            if entry.standing == Standing::Quarantined {
                entry.epoch += 1;
                entry.until = now + self.limits.suspect;
            }
            let innocent = entry.crashes.is_empty() || entry.standing == Standing::Cleared;
            entry.standing = if innocent { Standing::Cleared } else { Standing::Suspect };
            entry.sends = 0;
        }
    }

    /// Part of the table for other routers, in at most `bytes` of postcard: what was told least goes first, and
    /// quarantined contents before suspects.
    pub fn digest(&mut self, now: Instant, bytes: usize) -> Digest {
        self.select(now, bytes, u32::MAX)
    }

    /// What has been told to nobody yet, in at most `bytes` of postcard.
    pub fn unsent(&mut self, now: Instant, bytes: usize) -> Digest {
        self.select(now, bytes, 0)
    }

    fn select(&mut self, now: Instant, bytes: usize, max_sends: u32) -> Digest {
        self.entries.retain(|_, e| e.until > now);
        let mut order: Vec<_> = self.entries.iter().filter(|(_, e)| e.sends <= max_sends).collect();
        order.sort_by_key(|(content, e)| (e.sends, std::cmp::Reverse(e.standing), **content));
        let mut digest = Digest { entries: Vec::new() };
        // The list's length takes at most two bytes for as many entries as a message holds.
        let mut size = 2;
        for (content, entry) in order {
            let wire = wire(now, *content, entry);
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

    /// Takes in what another router told.
    pub fn merge(&mut self, now: Instant, digest: &Digest) {
        for wire in &digest.entries {
            self.merge_one(now, wire);
        }
        self.shrink(now);
    }

    fn merge_one(&mut self, now: Instant, wire: &Wire) {
        let longest = self.limits.suspect.max(self.limits.quarantine * 2);
        let until = now + Duration::from_millis(wire.ttl_ms.into()).min(longest);
        let standing = wire.standing();
        let known = self.entries.get(&Fingerprint(wire.fingerprint)).filter(|e| e.until > now);
        if known.is_some_and(|e| (e.epoch, e.standing) >= (wire.epoch, standing)) {
            return;
        }
        let mut crashes: Vec<_> = wire.crashes.iter().copied().map(CrashId).collect();
        crashes.truncate(CRASHES);
        for &crash in &crashes {
            self.crash_history.note(now, crash, self.limits.suspect);
        }
        let entry = Entry { epoch: wire.epoch, standing, until, crashes, sends: 0 };
        self.entries.insert(Fingerprint(wire.fingerprint), entry);
    }

    fn mark_suspect(&mut self, now: Instant, content: Fingerprint, crash: CrashId) {
        let until = now + self.limits.suspect;
        let entry = self.entries.entry(content).or_insert_with(|| Entry {
            epoch: 0,
            standing: Standing::Cleared,
            until,
            crashes: Vec::new(),
            sends: 0,
        });
        if entry.standing == Standing::Quarantined && entry.until > now {
            if !entry.crashes.contains(&crash) && entry.crashes.len() < CRASHES {
                entry.crashes.push(crash);
            }
            return;
        }
        if entry.standing != Standing::Suspect || entry.until <= now {
            entry.crashes.clear();
            entry.epoch += 1;
        }
        if !entry.crashes.contains(&crash) && entry.crashes.len() < CRASHES {
            entry.crashes.push(crash);
        }
        (entry.standing, entry.until, entry.sends) = (Standing::Suspect, until, 0);
    }

    /// Keeps the table within its bound: expired and cleared contents go first, quarantined ones last.
    fn shrink(&mut self, now: Instant) {
        if self.entries.len() <= self.limits.entries {
            return;
        }
        self.entries.retain(|_, e| e.until > now && e.standing != Standing::Cleared);
        let excess = self.entries.len().saturating_sub(self.limits.entries);
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

fn wire(now: Instant, content: Fingerprint, entry: &Entry) -> Wire {
    Wire {
        fingerprint: content.0,
        epoch: entry.epoch,
        standing: entry.standing as i32,
        ttl_ms: entry.until.saturating_sub(now).as_millis().min(u32::MAX.into()) as u32,
        crashes: entry.crashes.iter().map(|c| c.0).collect(),
    }
}
