//! Backend servers that leave: who says so, and what others are told of it.

use std::time::Duration;

use super::{BackendKey, Backends, Change, State, Tag, tag};
use crate::{schema::fleet, util::Instant};

/// How long others are told that a server was seen leaving. Who does not know it yet by then has it from its list.
const LEFT_TOLD: Duration = Duration::from_secs(5);
/// Servers seen leaving that are told in one beat.
const MOST_LEFT: usize = 16;
/// The same for a host that has just started.
const MOST_STARTS: usize = 512;

impl Backends {
    /// Takes in that a backend server leaves, as it or another host says.
    pub fn mark_leaving(&mut self, now: Instant, key: BackendKey) -> Option<(BackendKey, Change)> {
        let known = self.arena.get_mut(key)?;
        let news = known.accepts_work();
        known.leave(now);
        self.renew_digest();
        news.then_some((key, Change::Leaving))
    }

    /// Counts a backend server as gone, as when another one answers at its address. That is this host's finding alone, and
    /// not told to others: one wrong answer must not end a server for all.
    pub fn mark_replaced(&mut self, key: BackendKey) -> Option<(BackendKey, Change)> {
        let known = self.arena.get_mut(key)?;
        let news = known.accepts_work();
        known.state = State::Leaving;
        self.renew_digest();
        news.then_some((key, Change::Leaving))
    }

    /// Takes in starts that another host has seen leaving, by their tags.
    pub fn apply_leaving(&mut self, now: Instant, tags: &[Tag]) -> Vec<(BackendKey, Change)> {
        let known: Vec<_> = tags.iter().filter_map(|tag| self.by_tag(*tag)).collect();
        let news = |key: &BackendKey| self.arena.get(*key).is_some_and(|b| b.left.is_none());
        let leaving: Vec<_> = known.into_iter().filter(news).collect();
        leaving.into_iter().filter_map(|key| self.mark_leaving(now, key)).collect()
    }

    /// Takes in starts that were seen leaving before this host knew of them.
    pub fn apply_leaving_starts(
        &mut self,
        now: Instant,
        starts: &[fleet::Start],
    ) -> Vec<(BackendKey, Change)> {
        for start in starts.iter().filter(|start| !self.by_id.contains_key(start.id.as_str())) {
            self.ended.note(now, &start.id.as_str().into(), start.born, true, self.revision.epoch);
        }
        let tags: Vec<_> = starts.iter().map(|start| tag(&start.id, start.born)).collect();
        self.apply_leaving(now, &tags)
    }

    /// Takes from entries of an older revision who leaves: that holds whatever the store has told since.
    pub(super) fn hear_leaving(
        &mut self,
        now: Instant,
        items: &[fleet::Backend],
    ) -> Vec<(BackendKey, Change)> {
        let leaving = items.iter().filter(|item| item.leaving).map(|item| tag(&item.id, item.born));
        let leaving: Vec<_> = leaving.collect();
        self.apply_leaving(now, &leaving)
    }

    /// Tags of servers that were seen leaving lately, the latest first.
    pub fn recently_leaving(&self, now: Instant) -> Vec<Tag> {
        let left = self.arena.values().filter_map(|b| Some((b.left?, b.tag)));
        let mut lately: Vec<_> = left.filter(|(at, _)| *at + LEFT_TOLD > now).collect();
        lately.sort_unstable_by(|a, b| b.cmp(a));
        lately.into_iter().take(MOST_LEFT).map(|(_, tag)| tag).collect()
    }

    /// Starts that were seen leaving, for a host that has just started: a store that was restored may list them as ready.
    pub fn leaving_starts(&self) -> Vec<fleet::Start> {
        let leaving = self.arena.values().filter(|b| b.left.is_some() && b.removed_at.is_none());
        let leaving = leaving.map(|b| fleet::Start { id: b.id.to_string(), born: b.born });
        leaving.chain(self.ended.left()).take(MOST_STARTS).collect()
    }
}
