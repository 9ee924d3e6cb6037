//! The platform's store, and its faults.

use super::*;

impl World {
    /// Starts a platform call, which may be lost, remain unanswered or take effect late.
    pub(super) fn call_platform(&mut self, router: usize, start: Start, shard_id: u64, op: Op) {
        let (min, max) = self.faults.platform_ms;
        let ms = self.rng.random_range(min..=max) / 2;
        let unanswered = |op: &Op| match op {
            Op::Write(_) | Op::Delete(_) => OpResult::Write(WriteOutcome::Unknown),
            _ => OpResult::Failed,
        };
        if self.outage || self.draw(self.faults.lose_call) {
            let result = unanswered(&op);
            return self
                .schedule_after(2 * ms + 50, Event::PlatformResult { router, start, shard_id, result });
        }
        if self.draw(self.faults.late_effect) {
            let result = unanswered(&op);
            self.schedule_after(2 * ms + 50, Event::PlatformResult { router, start, shard_id, result });
            let delay = self.rng.random_range(20..1500);
            return self.schedule_after(
                delay,
                Event::PlatformCall { router, start, shard_id, op, send_result: false },
            );
        }
        self.schedule_after(ms, Event::PlatformCall { router, start, shard_id, op, send_result: true });
    }

    /// Executes a call at the platform and, if wanted, sends its result.
    pub(super) fn execute_op(
        &mut self,
        router: usize,
        start: Start,
        shard_id: u64,
        op: Op,
        send_result: bool,
    ) {
        let is_write = matches!(op, Op::Write(_));
        let written_op = op.clone();
        let mut result = match op {
            Op::Read => self.read(SHARD_KIND, &format!("claims-{shard_id}")),
            Op::ReadArchive(name) => self.read("ClaimArchive", &name),
            Op::Write(obj) => self.write(obj),
            Op::Delete(obj) => {
                self.stats.writes += 1;
                self.objects.remove(&(obj.kind, obj.metadata.name));
                OpResult::Write(WriteOutcome::Conflict(None))
            }
        };
        if !send_result {
            return;
        }
        if is_write && self.draw(self.faults.lose_answer) {
            result = OpResult::Write(WriteOutcome::Unknown);
        }
        if self.weakening == Weakening::LostIsDone
            && result == OpResult::Write(WriteOutcome::Unknown)
            && let Op::Write(obj) = written_op
        {
            result = OpResult::Write(WriteOutcome::Done(obj));
        }
        let (min, max) = self.faults.platform_ms;
        let ms = self.rng.random_range(min..=max) / 2;
        self.schedule_after(ms, Event::PlatformResult { router, start, shard_id, result });
    }

    /// Reads an object.
    pub(super) fn read(&mut self, kind: &str, name: &str) -> OpResult {
        self.stats.reads += 1;
        let mut obj = self.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if self.weakening == Weakening::ClaimsRunOut
            && kind == SHARD_KIND
            && let Some(o) = &mut obj
            && let Ok(mut shard) = Shard::from_object(Some(o))
        {
            let oldest = WALL_CLOCK_START_MS + self.now.saturating_sub(CLAIM_TTL_MS);
            shard.entries.retain(|(_, e)| e.record.is_some() || e.claimed_at_ms > oldest);
            *o = shard.to_object(name, "");
        }
        OpResult::Read(obj)
    }

    /// Writes an object if its version is current.
    pub(super) fn write(&mut self, mut obj: AnyObject) -> OpResult {
        self.stats.writes += 1;
        let size = serde_json::to_vec(&obj).map_or(0, |b| b.len());
        self.stats.largest_bytes = self.stats.largest_bytes.max(size);
        let key = (obj.kind.clone(), obj.metadata.name.clone());
        let current = self.objects.get(&key);
        let version = current.map_or("", |o| o.metadata.resource_version.as_str());
        if version != obj.metadata.resource_version && self.weakening != Weakening::Unconditional {
            return OpResult::Write(WriteOutcome::Conflict(current.cloned()));
        }
        self.version += 1;
        obj.metadata.resource_version = self.version.to_string();
        self.objects.insert(key, obj.clone());
        OpResult::Write(WriteOutcome::Done(obj))
    }
}
