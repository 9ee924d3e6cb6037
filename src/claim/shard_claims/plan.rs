//! Chooses the next call to the platform.

use super::*;

/// Size of an encoded claim without its stored response, in bytes: digests, times and lengths, in base64.
const ENCODED_ENTRY_BYTES: usize = 84;
/// Maximum size of an archive, in bytes.
const MAX_ARCHIVE_BYTES: usize = 512 << 10;
/// Difference between hosts' wall clocks that is tolerated when expired claims are removed, in milliseconds.
const MAX_CLOCK_SKEW_MS: WallMs = 60_000;

impl ShardClaims {
    /// Returns the call to make now, if any.
    pub fn next_op(&mut self, clock: Clock) -> Option<Op> {
        if self.in_flight.is_some() || clock.now < self.retry_at {
            return None;
        }
        let has_work = !self.waiting.is_empty() || !self.dirty.is_empty();
        if self.read_needed || (self.base.is_none() && has_work) {
            return Some(self.start_call(InFlight::Read, Op::Read));
        }
        if let Some(name) = self.next_unloaded_archive() {
            return Some(self.start_call(InFlight::ReadArchive(name.clone()), Op::ReadArchive(name)));
        }
        if self.base.is_some() && self.next_write_at().is_some_and(|at| clock.now >= at) {
            return Some(self.write(clock));
        }
        if self.waiting.is_empty()
            && let Some(obj) = self.archives_to_delete.pop()
        {
            return Some(self.start_call(InFlight::Delete, Op::Delete(obj)));
        }
        None
    }

    /// Time at which to call [`ShardClaims::next_op`] and [`ShardClaims::expire`] again, if nothing else happens first.
    pub fn wake_at(&self) -> Option<Instant> {
        let expiry = self.waiting.iter().map(|w| w.since + self.wait_timeout()).min();
        let read_pending = self.read_needed || self.base.is_none() || self.next_unloaded_archive().is_some();
        let op = match self.next_write_at() {
            _ if self.in_flight.is_some() => None,
            None if self.archives_to_delete.is_empty() && !self.read_needed => None,
            Some(at) if !read_pending => Some(at.max(self.retry_at)),
            _ => Some(self.retry_at),
        };
        [expiry, op].into_iter().flatten().min()
    }

    fn start_call(&mut self, in_flight: InFlight, op: Op) -> Op {
        self.in_flight = Some(in_flight);
        op
    }

    /// Name of the first referenced archive that is not in memory.
    fn next_unloaded_archive(&self) -> Option<String> {
        let base = self.base.as_ref()?;
        base.archives.iter().map(|a| &a.name).find(|name| !self.loaded_archives.contains_key(*name)).cloned()
    }

    /// Earliest time of the next write. Waiting requests are written at once; records are delayed to share a write.
    fn next_write_at(&self) -> Option<Instant> {
        let since = self.dirty_since?;
        let paced = self.last_write.map_or(Instant::ZERO, |at| at + self.cfg.write_interval);
        let at = if self.waiting.is_empty() { since + self.cfg.record_delay } else { Instant::ZERO };
        Some(at.max(paced))
    }

    /// Builds the next write of the shard's object, or of an archive if the object would become too large.
    fn write(&mut self, clock: Clock) -> Op {
        let (mut sent, mut removed, mut bytes) = (Vec::new(), Vec::new(), 0);
        for key in &self.unarchived {
            let Some(slot) = self.slots.get(key) else { continue };
            let slot_revision =
                SlotRevision { key: *key, attempt: slot.entry.attempt, revision: slot.revision };
            if slot.released || self.is_past_retention(slot.entry.claimed_at_ms, clock.wall_ms) {
                removed.push(slot_revision);
            } else {
                bytes += encoded_size(&slot.entry);
                sent.push(slot_revision);
            }
        }
        if bytes > self.cfg.max_shard_bytes {
            return self.write_archive(sent);
        }
        self.last_write = Some(clock.now);
        let base = self.base.as_ref();
        let mut archives = base.map(|b| b.archives.clone()).unwrap_or_default();
        archives.retain(|a| !self.is_past_retention(a.newest_ms, clock.wall_ms));
        archives.extend(self.unlisted_archives.iter().map(|d| d.reference.clone()));
        let version = base.map(|b| b.version.clone()).unwrap_or_default();
        let shard = Shard { version, entries: self.entries(&sent), archives: archives.clone() };
        let obj = shard.to_object(&self.name, &self.writer);
        self.start_call(InFlight::Write { sent, removed, archives }, Op::Write(obj))
    }

    /// Builds the write of an archive with the oldest claims. The next write of the shard's object removes them from
    /// that object and references the archive; until then readers find them in the object.
    fn write_archive(&mut self, mut sent: Vec<SlotRevision>) -> Op {
        sent.sort_by_key(|s| (self.slots[&s.key].entry.claimed_at_ms, s.key));
        let (mut bytes, mut newest_ms) = (0, 0);
        let max_count = sent.len() - sent.len() / 4;
        let fits = sent.iter().take(max_count).take_while(|s| {
            bytes += encoded_size(&self.slots[&s.key].entry);
            bytes <= MAX_ARCHIVE_BYTES
        });
        let count = fits.count().max(1);
        sent.truncate(count);
        for s in &sent {
            newest_ms = newest_ms.max(self.slots[&s.key].entry.claimed_at_ms);
        }
        let name = format!("{}-{}-{}", self.name, self.writer, self.next_archive_number);
        let obj = shard::archive_object(&name, &self.entries(&sent));
        self.start_call(InFlight::Archive { name, obj: obj.clone(), newest_ms, sent }, Op::Write(obj))
    }

    fn entries(&self, sent: &[SlotRevision]) -> Vec<(KeyDigest, Entry)> {
        sent.iter().map(|s| (s.key, self.slots[&s.key].entry.clone())).collect()
    }

    /// Whether a claim of the time `claimed_at_ms` has expired.
    fn is_past_retention(&self, claimed_at_ms: WallMs, wall_ms: WallMs) -> bool {
        claimed_at_ms + self.cfg.retention.as_millis() as u64 + MAX_CLOCK_SKEW_MS < wall_ms
    }
}

/// Estimated size of a claim in a stored object, in bytes.
fn encoded_size(entry: &Entry) -> usize {
    let body = match &entry.record {
        Some(Record::Completed(answered)) => {
            answered.content_type.len() + answered.body.as_ref().map_or(0, Vec::len)
        }
        _ => 0,
    };
    ENCODED_ENTRY_BYTES + body.div_ceil(3) * 4
}
