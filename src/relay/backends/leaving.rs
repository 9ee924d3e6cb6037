//! Leaving backend servers: records reports of them and passes them on to other hosts.

use std::time::Duration;

use super::{BackendKey, Backends, Change, State, Tag, tag};
use crate::{schema::fleet, util::Instant};

/// How long a leaving server is reported to other hosts. Hosts that have not learnt of it by then have it from the
/// store's list.
const GOSSIP_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of leaving servers reported in a heartbeat.
const MAX_PER_BEAT: usize = 16;
/// Maximum number of leaving servers reported to a host that has just started.
const MAX_FOR_NEW_HOST: usize = 512;

impl Backends {
    /// Marks a backend server as leaving, as reported by itself or another host.
    pub fn mark_leaving(&mut self, now: Instant, key: BackendKey) -> Option<(BackendKey, Change)> {
        let backend = self.arena.get_mut(key)?;
        let changed = backend.accepts_work();
        backend.set_leaving(now);
        self.update_digest();
        changed.then_some((key, Change::Leaving))
    }

    /// Stops using a backend server because a different one answers at its address. This is not reported to other
    /// hosts, since a single wrong answer must not end the use of a server in the whole fleet.
    pub fn mark_replaced(&mut self, key: BackendKey) -> Option<(BackendKey, Change)> {
        let backend = self.arena.get_mut(key)?;
        let changed = backend.accepts_work();
        backend.state = State::Leaving;
        self.update_digest();
        changed.then_some((key, Change::Leaving))
    }

    /// Applies another host's report of leaving incarnations, by tag.
    pub fn apply_leaving(&mut self, now: Instant, tags: &[Tag]) -> Vec<(BackendKey, Change)> {
        let listed: Vec<_> = tags.iter().filter_map(|tag| self.by_tag(*tag)).collect();
        let changed = |key: &BackendKey| self.arena.get(*key).is_some_and(|b| b.leaving_since.is_none());
        let leaving: Vec<_> = listed.into_iter().filter(changed).collect();
        leaving.into_iter().filter_map(|key| self.mark_leaving(now, key)).collect()
    }

    /// Applies reports of leaving incarnations that may be unknown to this host.
    pub fn apply_leaving_starts(
        &mut self,
        now: Instant,
        starts: &[fleet::Start],
    ) -> Vec<(BackendKey, Change)> {
        for start in starts.iter().filter(|start| !self.by_id.contains_key(start.id.as_str())) {
            self.ended.record(now, &start.id.as_str().into(), start.born, true, self.revision.epoch);
        }
        let tags: Vec<_> = starts.iter().map(|start| tag(&start.id, start.born)).collect();
        self.apply_leaving(now, &tags)
    }

    /// Applies only the leaving flags of entries of an older revision: a server that has left stays so whatever the
    /// store has listed since.
    pub(super) fn apply_leaving_entries<'a>(
        &mut self,
        now: Instant,
        items: impl Iterator<Item = &'a fleet::Backend>,
    ) -> Vec<(BackendKey, Change)> {
        let leaving = items.filter(|item| item.leaving).map(|item| tag(&item.id, item.born));
        let leaving: Vec<_> = leaving.collect();
        self.apply_leaving(now, &leaving)
    }

    /// Tags of servers that were recently seen leaving, the latest first.
    pub fn recently_leaving(&self, now: Instant) -> Vec<Tag> {
        let leaving = self.arena.values().filter_map(|b| Some((b.leaving_since?, b.tag)));
        let mut recent: Vec<_> = leaving.filter(|(at, _)| *at + GOSSIP_PERIOD > now).collect();
        recent.sort_unstable_by(|a, b| b.cmp(a));
        recent.into_iter().take(MAX_PER_BEAT).map(|(_, tag)| tag).collect()
    }

    /// Incarnations that were seen leaving, for a host that has just started: a restored store may list them as
    /// ready.
    pub fn leaving_starts(&self) -> Vec<fleet::Start> {
        let leaving = self.arena.values().filter(|b| b.leaving_since.is_some() && b.removed_at.is_none());
        let leaving = leaving.map(|b| fleet::Start { id: b.id.to_string(), born: b.born });
        leaving.chain(self.ended.seen_leaving()).take(MAX_FOR_NEW_HOST).collect()
    }
}
