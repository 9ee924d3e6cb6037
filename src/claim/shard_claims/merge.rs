//! Takes in what the platform answered.

use super::*;

const BACKOFF: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

impl ShardClaims {
    /// Takes in the result of the call in flight; returns verdicts on asks that waited.
    pub fn handle_result(&mut self, clock: Clock, done: OpResult) -> Vec<(WaiterId, Verdict)> {
        match (self.flight.take(), done) {
            (Some(Flight::Read), OpResult::Read(obj)) => self.merge(clock, obj.as_ref()),
            (Some(Flight::ReadArchive(name)), OpResult::Read(Some(obj))) => self.load(clock, name, &obj),
            // The archive is gone: another router has dropped it from the shard's object since.
            (Some(Flight::ReadArchive(_)), OpResult::Read(None)) => self.want_read = true,
            (Some(Flight::Write { sent, gone, archives }), OpResult::Write(Write::Done(obj))) => {
                self.committed(clock, &obj, &sent, &gone, archives);
            }
            // Another router wrote first. What it wrote comes with the answer.
            (Some(Flight::Write { .. }), OpResult::Write(Write::Conflict(Some(obj)))) => {
                // Two writers that both kept to the interval would starve the claims of the slower one.
                self.last_write = None;
                self.merge(clock, Some(&obj));
            }
            (Some(Flight::Write { .. }), OpResult::Write(Write::Conflict(None))) => self.want_read = true,
            // The write may have taken effect, or may still. The object tells: see `merge`.
            (Some(Flight::Write { .. }), OpResult::Write(Write::Unknown)) => {
                self.want_read = true;
                self.fail(clock);
            }
            (Some(Flight::Archive { name, newest_ms, sent, .. }), OpResult::Write(Write::Done(obj))) => {
                self.drafted(clock, name, newest_ms, sent, &obj);
            }
            // Our own archive, written by a try whose answer was lost.
            (
                Some(Flight::Archive { name, obj, newest_ms, sent }),
                OpResult::Write(Write::Conflict(Some(now))),
            ) if now.spec == obj.spec => {
                self.drafted(clock, name, newest_ms, sent, &now);
            }
            (Some(Flight::Archive { .. }), OpResult::Write(Write::Conflict(_))) => self.archived += 1,
            (Some(Flight::Delete), _) | (None, _) => {}
            (Some(_), _) => self.fail(clock),
        }
        self.settle(clock)
    }

    fn fail(&mut self, clock: Clock) {
        self.failures += 1;
        let wait = BACKOFF * 2u32.pow(self.failures.min(6) - 1);
        self.retry_at = clock.now + wait.min(BACKOFF_MAX);
    }

    fn succeed(&mut self, clock: Clock) {
        self.failures = 0;
        self.synced = clock.now;
    }

    /// Takes the shard's object for the truth.
    ///
    /// This is what resolves a lost answer, a second writer and a writer that was paused: a claim of ours counts as
    /// held exactly if the object holds our attempt's number, and an attempt of another router that is there
    /// instead wins. Our next write is conditional on the version that was read, so that a write of ours which is
    /// still on its way can't take effect after it.
    fn merge(&mut self, clock: Clock, obj: Option<&AnyObject>) {
        let Ok(mut shard) = Shard::read(obj) else {
            self.want_read = true;
            return self.fail(clock);
        };
        self.succeed(clock);
        self.want_read = false;
        self.drafts.clear();
        self.forget_unlisted(&shard);
        for (key, entry) in std::mem::take(&mut shard.entries) {
            self.take(clock, key, entry);
        }
        self.base = Some(shard);
        if self.is_loaded() {
            self.records.clear();
        }
    }

    /// Drops what is neither ours to write nor in an archive that is still listed.
    fn forget_unlisted(&mut self, shard: &Shard) {
        let listed: BTreeSet<_> = shard.archives.iter().map(|a| a.name.as_str()).collect();
        self.archives.retain(|name, _| listed.contains(name.as_str()));
        let dirty = &self.dirty;
        self.slots.retain(|key, slot| {
            if slot.archive.as_deref().is_some_and(|a| !listed.contains(a)) {
                slot.archive = None;
            }
            slot.durable = slot.archive.is_some();
            dirty.contains(key) || slot.durable
        });
        self.hot = self.slots.iter().filter(|(_, s)| s.archive.is_none()).map(|(k, _)| *k).collect();
    }

    /// Takes in one claim of the shard's object.
    fn take(&mut self, clock: Clock, key: KeyDigest, entry: Entry) {
        self.hot.insert(key);
        let attempt = entry.attempt;
        match self.slots.get_mut(&key) {
            Some(slot) if slot.entry.attempt == attempt => {
                slot.archive = None;
                slot.durable = true;
                if entry.record.is_some() && slot.entry.record.is_none() {
                    slot.entry = entry;
                    slot.free = false;
                }
            }
            // The object has another attempt: ours was never in it, or was given back.
            other => {
                let revision = other.map_or(0, |s| s.revision + 1);
                self.slots.insert(key, Slot { entry, durable: true, free: false, revision, archive: None });
                self.clean(key);
            }
        }
        if self.refused.contains_key(&attempt) {
            self.free(clock, key, attempt);
        }
        if let Some(record) = self.records.remove(&attempt) {
            self.record(clock, key, record);
        }
    }

    fn record(&mut self, clock: Clock, key: KeyDigest, record: Record) {
        let Some(slot) = self.slots.get_mut(&key) else { return };
        if slot.entry.record.is_none() {
            slot.entry.record = Some(record);
            slot.revision += 1;
            slot.archive = None;
            self.hot.insert(key);
            self.mark_dirty(clock, key);
        }
    }

    fn clean(&mut self, key: KeyDigest) {
        self.dirty.remove(&key);
        if self.dirty.is_empty() {
            self.dirty_since = None;
        }
    }

    fn load(&mut self, clock: Clock, name: String, obj: &AnyObject) {
        let Ok(entries) = shard::read_archive(obj) else { return self.fail(clock) };
        self.succeed(clock);
        for (key, entry) in entries {
            self.take_archived(&name, key, entry);
        }
        self.archives.insert(name, obj.metadata.resource_version.clone());
        if self.is_loaded() {
            self.records.clear();
        }
    }

    /// Takes in one claim of an archive; what the shard's object says of the same key is newer.
    fn take_archived(&mut self, name: &str, key: KeyDigest, entry: Entry) {
        let attempt = entry.attempt;
        let archive = Some(name.to_owned());
        match self.slots.get_mut(&key) {
            Some(slot) if slot.entry.attempt == attempt => {
                if slot.entry.record.is_none() {
                    slot.entry.record = entry.record;
                }
                slot.durable = true;
                slot.free = false;
            }
            // A claim that waits here for its first write, though the archive holds the key.
            Some(slot) if !slot.durable => {
                let revision = slot.revision + 1;
                *slot = Slot { entry, durable: true, free: false, revision, archive };
                self.hot.remove(&key);
                self.clean(key);
            }
            Some(_) => {}
            None => {
                self.slots.insert(key, Slot { entry, durable: true, free: false, revision: 0, archive });
            }
        }
        // The claim moved to the archive while its record was on its way here.
        if let Some(record) = self.records.remove(&attempt)
            && let Some(slot) = self.slots.get_mut(&key)
        {
            slot.entry.record.get_or_insert(record);
        }
    }

    fn committed(
        &mut self,
        clock: Clock,
        obj: &AnyObject,
        sent: &[Sent],
        gone: &[Sent],
        archives: Vec<ClaimArchiveRef>,
    ) {
        self.succeed(clock);
        for draft in std::mem::take(&mut self.drafts) {
            draft.sent.iter().for_each(|s| self.written(s));
        }
        sent.iter().for_each(|s| self.written(s));
        for s in gone {
            if self.slots.get(&s.key).is_some_and(|slot| slot.revision == s.revision) {
                self.slots.remove(&s.key);
                self.hot.remove(&s.key);
                self.dirty.remove(&s.key);
            }
        }
        self.drop_archives(&archives);
        let version = obj.metadata.resource_version.clone();
        self.base = Some(Shard { version, entries: Vec::new(), archives });
        self.dirty_since = (!self.dirty.is_empty()).then_some(clock.now);
    }

    fn written(&mut self, sent: &Sent) {
        let Some(slot) = self.slots.get_mut(&sent.key) else { return };
        if slot.entry.attempt != sent.attempt {
            return;
        }
        slot.durable = true;
        if slot.revision == sent.revision {
            self.dirty.remove(&sent.key);
        }
    }

    fn drafted(&mut self, clock: Clock, name: String, newest_ms: WallMs, sent: Vec<Sent>, obj: &AnyObject) {
        self.failures = 0;
        self.archived += 1;
        for s in &sent {
            if let Some(slot) = self.slots.get_mut(&s.key)
                && slot.revision == s.revision
            {
                slot.archive = Some(name.clone());
                self.hot.remove(&s.key);
            }
        }
        self.archives.insert(name.clone(), obj.metadata.resource_version.clone());
        self.drafts.push(Draft { reference: ClaimArchiveRef { name, newest_ms }, sent });
        self.dirty_since.get_or_insert(clock.now);
    }

    /// Forgets archives that the shard's object no longer names, and has them deleted.
    fn drop_archives(&mut self, kept: &[ClaimArchiveRef]) {
        let listed: BTreeSet<_> = kept.iter().map(|a| a.name.as_str()).collect();
        let gone: Vec<_> = self.archives.keys().filter(|n| !listed.contains(n.as_str())).cloned().collect();
        for name in gone {
            self.slots.retain(|_, slot| slot.archive.as_ref() != Some(&name));
            let mut obj = shard::archive(&name, &[]);
            obj.metadata.resource_version = self.archives.remove(&name).unwrap_or_default();
            self.trash.push(obj);
        }
    }
}
