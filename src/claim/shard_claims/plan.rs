//! Chooses the next call to the platform.

use super::*;

/// Bytes of an encoded claim besides its kept body: digests, times and lengths, in base64.
const ENTRY_BYTES: usize = 84;
/// Largest archive, in bytes.
const ARCHIVE_BYTES: usize = 512 << 10;
/// Difference between hosts' wall clocks that is allowed for when old claims are removed.
const SKEW_MS: WallMs = 60_000;

impl ShardClaims {
    /// The call to make now, if any.
    pub fn next_op(&mut self, clock: Clock) -> Option<Op> {
        if self.flight.is_some() || clock.now < self.retry_at {
            return None;
        }
        let wanted = !self.waiting.is_empty() || !self.dirty.is_empty();
        if self.want_read || (self.base.is_none() && wanted) {
            return Some(self.start(Flight::Read, Op::Read));
        }
        if let Some(name) = self.unloaded() {
            return Some(self.start(Flight::ReadArchive(name.clone()), Op::ReadArchive(name)));
        }
        if self.base.is_some() && self.write_at().is_some_and(|at| clock.now >= at) {
            return Some(self.write(clock));
        }
        if self.waiting.is_empty()
            && let Some(obj) = self.trash.pop()
        {
            return Some(self.start(Flight::Delete, Op::Delete(obj)));
        }
        None
    }

    /// When [`ShardClaims::next_op`] or [`ShardClaims::expire`] should be called next, if nothing else happens.
    pub fn wake_at(&self) -> Option<Instant> {
        let expiry = self.waiting.iter().map(|w| w.since + self.patience()).min();
        let wanted = self.want_read || self.base.is_none() || self.unloaded().is_some();
        let op = match self.write_at() {
            _ if self.flight.is_some() => None,
            None if self.trash.is_empty() && !self.want_read => None,
            Some(at) if !wanted => Some(at.max(self.retry_at)),
            _ => Some(self.retry_at),
        };
        [expiry, op].into_iter().flatten().min()
    }

    fn start(&mut self, flight: Flight, op: Op) -> Op {
        self.flight = Some(flight);
        op
    }

    fn unloaded(&self) -> Option<String> {
        let base = self.base.as_ref()?;
        base.archives.iter().map(|a| &a.name).find(|name| !self.archives.contains_key(*name)).cloned()
    }

    /// Earliest time of the next write; claims that wait go at once, records wait for company.
    fn write_at(&self) -> Option<Instant> {
        let since = self.dirty_since?;
        let paced = self.last_write.map_or(Instant::ZERO, |at| at + self.cfg.write_interval);
        let at = if self.waiting.is_empty() { since + self.cfg.record_delay } else { Instant::ZERO };
        Some(at.max(paced))
    }

    fn write(&mut self, clock: Clock) -> Op {
        let (mut sent, mut gone, mut bytes) = (Vec::new(), Vec::new(), 0);
        for key in &self.hot {
            let Some(slot) = self.slots.get(key) else { continue };
            let one = Sent { key: *key, attempt: slot.entry.attempt, revision: slot.revision };
            if slot.free || self.is_old(slot.entry.at_ms, clock.wall_ms) {
                gone.push(one);
            } else {
                bytes += size(&slot.entry);
                sent.push(one);
            }
        }
        if bytes > self.cfg.max_shard_bytes {
            return self.write_archive(sent);
        }
        self.last_write = Some(clock.now);
        let base = self.base.as_ref();
        let mut archives = base.map(|b| b.archives.clone()).unwrap_or_default();
        archives.retain(|a| !self.is_old(a.newest_ms, clock.wall_ms));
        archives.extend(self.drafts.iter().map(|d| d.reference.clone()));
        let version = base.map(|b| b.version.clone()).unwrap_or_default();
        let shard = Shard { version, entries: self.entries(&sent), archives: archives.clone() };
        let obj = shard.object(&self.name, &self.writer);
        self.start(Flight::Write { sent, gone, archives }, Op::Write(obj))
    }

    /// Moves the oldest claims into an archive. The shard's object names it with the next write, by which they
    /// leave that object; until then a reader finds them there.
    fn write_archive(&mut self, mut sent: Vec<Sent>) -> Op {
        sent.sort_by_key(|s| (self.slots[&s.key].entry.at_ms, s.key));
        let (mut bytes, mut newest_ms) = (0, 0);
        let most = sent.len() - sent.len() / 4;
        let fits = sent.iter().take(most).take_while(|s| {
            bytes += size(&self.slots[&s.key].entry);
            bytes <= ARCHIVE_BYTES
        });
        let count = fits.count().max(1);
        sent.truncate(count);
        for s in &sent {
            newest_ms = newest_ms.max(self.slots[&s.key].entry.at_ms);
        }
        let name = format!("{}-{}-{}", self.name, self.writer, self.archived);
        let obj = shard::archive(&name, &self.entries(&sent));
        self.start(Flight::Archive { name, obj: obj.clone(), newest_ms, sent }, Op::Write(obj))
    }

    fn entries(&self, sent: &[Sent]) -> Vec<(KeyDigest, Entry)> {
        sent.iter().map(|s| (s.key, self.slots[&s.key].entry.clone())).collect()
    }

    fn is_old(&self, at_ms: WallMs, wall_ms: WallMs) -> bool {
        at_ms + self.cfg.retention.as_millis() as u64 + SKEW_MS < wall_ms
    }
}

fn size(entry: &Entry) -> usize {
    let body = match &entry.record {
        Some(Record::Completed(answered)) => {
            answered.content_type.len() + answered.body.as_ref().map_or(0, Vec::len)
        }
        _ => 0,
    };
    ENTRY_BYTES + body.div_ceil(3) * 4
}
