//! The platform, as the books' calls reach it.

use super::*;

impl World {
    pub(super) fn call_platform(&mut self, router: usize, start: Start, book: u64, op: Op) {
        let (least, most) = self.faults.platform_ms;
        let ms = self.rng.random_range(least..=most) / 2;
        let unanswered = |op: &Op| match op {
            Op::Write(_) | Op::Delete(_) => OpResult::Write(Write::Unknown),
            _ => OpResult::Failed,
        };
        if self.outage || self.chance(self.faults.lose_call) {
            let done = unanswered(&op);
            return self.after(2 * ms + 50, Event::Stored { router, start, book, done });
        }
        if self.chance(self.faults.late_effect) {
            let done = unanswered(&op);
            self.after(2 * ms + 50, Event::Stored { router, start, book, done });
            let late = self.rng.random_range(20..1500);
            return self.after(late, Event::Store { router, start, book, op, tell: false });
        }
        self.after(ms, Event::Store { router, start, book, op, tell: true });
    }

    pub(super) fn store(&mut self, router: usize, start: Start, book: u64, op: Op, tell: bool) {
        let written = matches!(op, Op::Write(_));
        let shown = op.clone();
        let mut done = match op {
            Op::Read => self.read(SHARD_KIND, &format!("claims-{book}")),
            Op::ReadArchive(name) => self.read("ClaimArchive", &name),
            Op::Write(obj) => self.write(obj),
            Op::Delete(obj) => {
                self.stats.writes += 1;
                self.objects.remove(&(obj.kind, obj.metadata.name));
                OpResult::Write(Write::Conflict(None))
            }
        };
        if !tell {
            return;
        }
        if written && self.chance(self.faults.lose_answer) {
            done = OpResult::Write(Write::Unknown);
        }
        if self.weakening == Weakening::LostIsDone
            && done == OpResult::Write(Write::Unknown)
            && let Op::Write(obj) = shown
        {
            done = OpResult::Write(Write::Done(obj));
        }
        let (least, most) = self.faults.platform_ms;
        let ms = self.rng.random_range(least..=most) / 2;
        self.after(ms, Event::Stored { router, start, book, done });
    }

    pub(super) fn read(&mut self, kind: &str, name: &str) -> OpResult {
        self.stats.reads += 1;
        let mut obj = self.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if self.weakening == Weakening::ClaimsRunOut
            && kind == SHARD_KIND
            && let Some(o) = &mut obj
            && let Ok(mut shard) = Shard::from_object(Some(o))
        {
            let oldest = WALL + self.now.saturating_sub(RUN_OUT_MS);
            shard.entries.retain(|(_, e)| e.record.is_some() || e.claimed_at_ms > oldest);
            *o = shard.to_object(name, "");
        }
        OpResult::Read(obj)
    }

    pub(super) fn write(&mut self, mut obj: AnyObject) -> OpResult {
        self.stats.writes += 1;
        let size = serde_json::to_vec(&obj).map_or(0, |b| b.len());
        self.stats.largest_bytes = self.stats.largest_bytes.max(size);
        let key = (obj.kind.clone(), obj.metadata.name.clone());
        let current = self.objects.get(&key);
        let version = current.map_or("", |o| o.metadata.resource_version.as_str());
        if version != obj.metadata.resource_version && self.weakening != Weakening::Unconditional {
            return OpResult::Write(Write::Conflict(current.cloned()));
        }
        self.version += 1;
        obj.metadata.resource_version = self.version.to_string();
        self.objects.insert(key, obj.clone());
        OpResult::Write(Write::Done(obj))
    }
}
