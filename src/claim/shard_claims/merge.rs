//! Applies the results of calls to the platform.

use super::*;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

impl ShardClaims {
    /// Applies the result of the call in flight, and returns the verdicts on waiting requests that it decides.
    pub fn handle_result(&mut self, clock: Clock, result: OpResult) -> Vec<(WaiterId, Verdict)> {
        match (self.in_flight.take(), result) {
            (Some(InFlight::Read), OpResult::Read(obj)) => self.merge(clock, obj.as_ref()),
            (Some(InFlight::ReadArchive(name)), OpResult::Read(Some(obj))) => {
                self.load_archive(clock, name, &obj)
            }
            // The archive no longer exists: another router has since removed it from the shard's object.
            (Some(InFlight::ReadArchive(_)), OpResult::Read(None)) => self.read_needed = true,
            (Some(InFlight::Write { sent, removed, archives }), OpResult::Write(WriteOutcome::Done(obj))) => {
                self.write_committed(clock, &obj, &sent, &removed, archives);
            }
            // Another router wrote first. The answer contains its version of the object.
            (Some(InFlight::Write { .. }), OpResult::Write(WriteOutcome::Conflict(Some(obj)))) => {
                // Retry at once: with two writers, waiting for the interval would starve the slower one.
                self.last_write = None;
                self.merge(clock, Some(&obj));
            }
            (Some(InFlight::Write { .. }), OpResult::Write(WriteOutcome::Conflict(None))) => {
                self.read_needed = true
            }
            // The write may have taken effect or may do so later. Reading the object resolves it, see `merge`.
            (Some(InFlight::Write { .. }), OpResult::Write(WriteOutcome::Unknown)) => {
                self.read_needed = true;
                self.note_failure(clock);
            }
            (
                Some(InFlight::Archive { name, newest_ms, sent, .. }),
                OpResult::Write(WriteOutcome::Done(obj)),
            ) => {
                self.archive_written(clock, name, newest_ms, sent, &obj);
            }
            // This router's own archive, written by an earlier attempt whose answer was lost.
            (
                Some(InFlight::Archive { name, obj, newest_ms, sent }),
                OpResult::Write(WriteOutcome::Conflict(Some(now))),
            ) if now.spec == obj.spec => {
                self.archive_written(clock, name, newest_ms, sent, &now);
            }
            (Some(InFlight::Archive { .. }), OpResult::Write(WriteOutcome::Conflict(_))) => {
                self.next_archive_number += 1
            }
            (Some(InFlight::Delete), _) | (None, _) => {}
            (Some(_), _) => self.note_failure(clock),
        }
        self.resolve_waiting(clock)
    }

    /// Counts a failed call and schedules the next one with exponential backoff.
    fn note_failure(&mut self, clock: Clock) {
        self.failures += 1;
        let wait = INITIAL_BACKOFF * 2u32.pow(self.failures.min(6) - 1);
        self.retry_at = clock.now + wait.min(MAX_BACKOFF);
    }

    fn note_success(&mut self, clock: Clock) {
        self.failures = 0;
        self.synced_at = clock.now;
    }

    /// Merges the shard's object into memory; the object is authoritative.
    ///
    /// This resolves lost answers, concurrent writers and writers that were paused. A claim of this router is durable
    /// exactly if the object contains its attempt's ID; if the object contains another attempt for the key, that one
    /// wins. The next write requires the version that was read here, so an earlier write that is still in flight
    /// can't take effect after it.
    fn merge(&mut self, clock: Clock, obj: Option<&AnyObject>) {
        let Ok(mut shard) = Shard::from_object(obj) else {
            self.read_needed = true;
            return self.note_failure(clock);
        };
        self.note_success(clock);
        self.read_needed = false;
        self.unlisted_archives.clear();
        self.evict_unlisted(&shard);
        for (key, entry) in std::mem::take(&mut shard.entries) {
            self.merge_entry(clock, key, entry);
        }
        self.base = Some(shard);
        if self.is_loaded() {
            self.unmatched_records.clear();
        }
    }

    /// Removes claims that have no unwritten change and are in no archive that `shard` still lists.
    fn evict_unlisted(&mut self, shard: &Shard) {
        let listed: BTreeSet<_> = shard.archives.iter().map(|a| a.name.as_str()).collect();
        self.loaded_archives.retain(|name, _| listed.contains(name.as_str()));
        let dirty = &self.dirty;
        self.slots.retain(|key, slot| {
            if slot.archive.as_deref().is_some_and(|a| !listed.contains(a)) {
                slot.archive = None;
            }
            slot.durable = slot.archive.is_some();
            dirty.contains(key) || slot.durable
        });
        self.unarchived = self.slots.iter().filter(|(_, s)| s.archive.is_none()).map(|(k, _)| *k).collect();
    }

    /// Merges one claim of the shard's object.
    fn merge_entry(&mut self, clock: Clock, key: KeyDigest, entry: Entry) {
        self.unarchived.insert(key);
        let attempt = entry.attempt;
        match self.slots.get_mut(&key) {
            Some(slot) if slot.entry.attempt == attempt => {
                slot.archive = None;
                slot.durable = true;
                if entry.record.is_some() && slot.entry.record.is_none() {
                    slot.entry = entry;
                    slot.released = false;
                }
            }
            // The object has another attempt: the one in memory was never stored, or was released.
            other => {
                let revision = other.map_or(0, |s| s.revision + 1);
                self.slots
                    .insert(key, Slot { entry, durable: true, released: false, revision, archive: None });
                self.clear_dirty(key);
            }
        }
        if self.released_attempts.contains_key(&attempt) {
            self.mark_released(clock, key, attempt);
        }
        if let Some(record) = self.unmatched_records.remove(&attempt) {
            self.set_record(clock, key, record);
        }
    }

    /// Sets the record of a claim that has none yet, and marks it for writing.
    fn set_record(&mut self, clock: Clock, key: KeyDigest, record: Record) {
        let Some(slot) = self.slots.get_mut(&key) else { return };
        if slot.entry.record.is_none() {
            slot.entry.record = Some(record);
            slot.revision += 1;
            slot.archive = None;
            self.unarchived.insert(key);
            self.mark_dirty(clock, key);
        }
    }

    /// Drops the unwritten change of a claim.
    fn clear_dirty(&mut self, key: KeyDigest) {
        self.dirty.remove(&key);
        if self.dirty.is_empty() {
            self.dirty_since = None;
        }
    }

    /// Merges the claims of an archive that was read.
    fn load_archive(&mut self, clock: Clock, name: String, obj: &AnyObject) {
        let Ok(entries) = shard::read_archive(obj) else { return self.note_failure(clock) };
        self.note_success(clock);
        for (key, entry) in entries {
            self.merge_archived_entry(&name, key, entry);
        }
        self.loaded_archives.insert(name, obj.metadata.resource_version.clone());
        if self.is_loaded() {
            self.unmatched_records.clear();
        }
    }

    /// Merges one claim of an archive; a claim of the same key in the shard's object is newer and wins.
    fn merge_archived_entry(&mut self, name: &str, key: KeyDigest, entry: Entry) {
        let attempt = entry.attempt;
        let archive = Some(name.to_owned());
        match self.slots.get_mut(&key) {
            Some(slot) if slot.entry.attempt == attempt => {
                if slot.entry.record.is_none() {
                    slot.entry.record = entry.record;
                }
                slot.durable = true;
                slot.released = false;
            }
            // A claim that has not been written yet, on a key that is already claimed in the archive.
            Some(slot) if !slot.durable => {
                let revision = slot.revision + 1;
                *slot = Slot { entry, durable: true, released: false, revision, archive };
                self.unarchived.remove(&key);
                self.clear_dirty(key);
            }
            Some(_) => {}
            None => {
                self.slots.insert(key, Slot { entry, durable: true, released: false, revision: 0, archive });
            }
        }
        // The claim moved to the archive before its record arrived here.
        if let Some(record) = self.unmatched_records.remove(&attempt)
            && let Some(slot) = self.slots.get_mut(&key)
        {
            slot.entry.record.get_or_insert(record);
        }
    }

    /// Applies a successful write of the shard's object.
    fn write_committed(
        &mut self,
        clock: Clock,
        obj: &AnyObject,
        sent: &[SlotRevision],
        removed: &[SlotRevision],
        archives: Vec<ClaimArchiveRef>,
    ) {
        self.note_success(clock);
        for draft in std::mem::take(&mut self.unlisted_archives) {
            draft.sent.iter().for_each(|s| self.mark_durable(s));
        }
        sent.iter().for_each(|s| self.mark_durable(s));
        for s in removed {
            if self.slots.get(&s.key).is_some_and(|slot| slot.revision == s.revision) {
                self.slots.remove(&s.key);
                self.unarchived.remove(&s.key);
                self.dirty.remove(&s.key);
            }
        }
        self.drop_unlisted_archives(&archives);
        let version = obj.metadata.resource_version.clone();
        self.base = Some(Shard { version, entries: Vec::new(), archives });
        self.dirty_since = (!self.dirty.is_empty()).then_some(clock.now);
    }

    /// Marks a claim as stored, and as clean if it has not changed since it was sent.
    fn mark_durable(&mut self, sent: &SlotRevision) {
        let Some(slot) = self.slots.get_mut(&sent.key) else { return };
        if slot.entry.attempt != sent.attempt {
            return;
        }
        slot.durable = true;
        if slot.revision == sent.revision {
            self.dirty.remove(&sent.key);
        }
    }

    /// Applies the successful creation of an archive; the next write of the shard's object references it.
    fn archive_written(
        &mut self,
        clock: Clock,
        name: String,
        newest_ms: WallMs,
        sent: Vec<SlotRevision>,
        obj: &AnyObject,
    ) {
        self.failures = 0;
        self.next_archive_number += 1;
        for s in &sent {
            if let Some(slot) = self.slots.get_mut(&s.key)
                && slot.revision == s.revision
            {
                slot.archive = Some(name.clone());
                self.unarchived.remove(&s.key);
            }
        }
        self.loaded_archives.insert(name.clone(), obj.metadata.resource_version.clone());
        self.unlisted_archives.push(UnlistedArchive { reference: ClaimArchiveRef { name, newest_ms }, sent });
        self.dirty_since.get_or_insert(clock.now);
    }

    /// Removes archives that the shard's object no longer references from memory, and schedules their deletion.
    fn drop_unlisted_archives(&mut self, listed_refs: &[ClaimArchiveRef]) {
        let listed: BTreeSet<_> = listed_refs.iter().map(|a| a.name.as_str()).collect();
        let removed: Vec<_> =
            self.loaded_archives.keys().filter(|n| !listed.contains(n.as_str())).cloned().collect();
        for name in removed {
            self.slots.retain(|_, slot| slot.archive.as_ref() != Some(&name));
            let mut obj = shard::archive_object(&name, &[]);
            obj.metadata.resource_version = self.loaded_archives.remove(&name).unwrap_or_default();
            self.archives_to_delete.push(obj);
        }
    }
}
