//! Incarnations of backend servers that have ended.
//!
//! A store that is restored from a backup lists servers again that have left since. A server that was seen leaving
//! never gets requests again; one whose entry was only removed may be alive and is used once that is confirmed.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::StartMs;
use crate::{
    relay::revision::Epoch,
    schema::fleet::{Backend, Start},
    util::{Instant, Map},
};

/// How long the end of an incarnation is remembered. A backup is some seconds old, and entries of dead servers
/// expire within seconds.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of ends remembered; beyond it the oldest are dropped.
const MAX_ENTRIES: usize = 4_096;

/// The end of an incarnation of a server.
#[derive(Clone, Copy, Debug)]
struct End {
    born: StartMs,
    seen_leaving: bool,
    epoch: Epoch,
    at: Instant,
}

/// What is known about the incarnation in an entry whose identifier is not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum History {
    /// It has not ended, as far as this host knows.
    New,
    /// A later incarnation of the server has already ended.
    Earlier,
    /// It was seen leaving.
    SeenLeaving,
    /// Its entry was removed before the store was restored.
    Removed,
}

/// The last end of each server, by identifier.
#[derive(Clone, Debug, Default)]
pub(super) struct Ended {
    by_id: Map<Arc<str>, End>,
    order: VecDeque<(Instant, Arc<str>)>,
}

impl Ended {
    /// Records the end of an incarnation, with the store's epoch and whether the server was seen leaving.
    pub(super) fn record(
        &mut self,
        now: Instant,
        id: &Arc<str>,
        born: StartMs,
        seen_leaving: bool,
        epoch: Epoch,
    ) {
        let previous = self.by_id.get(id).filter(|end| end.born == born);
        let seen_leaving = seen_leaving || previous.is_some_and(|end| end.seen_leaving);
        self.by_id.insert(id.clone(), End { born, seen_leaving, epoch, at: now });
        self.order.push_back((now, id.clone()));
        while self.order.len() > MAX_ENTRIES {
            self.forget_oldest();
        }
    }

    /// Drops ends that are older than the retention period.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(at, _)| *at + RETENTION <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, id)) = self.order.pop_front() else { return };
        if self.by_id.get(&id).is_some_and(|end| end.at == at) {
            self.by_id.remove(&id);
        }
    }

    /// Removes the end of a server that has proved to be alive.
    pub(super) fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Looks up the incarnation in an entry that the store lists in `epoch`.
    pub(super) fn history(&self, item: &Backend, epoch: Epoch) -> History {
        let Some(end) = self.by_id.get(item.id.as_str()) else { return History::New };
        match item.born.cmp(&end.born) {
            std::cmp::Ordering::Less => History::Earlier,
            std::cmp::Ordering::Greater => History::New,
            std::cmp::Ordering::Equal if end.seen_leaving => History::SeenLeaving,
            std::cmp::Ordering::Equal if end.epoch < epoch => History::Removed,
            std::cmp::Ordering::Equal => History::New,
        }
    }

    /// Incarnations that were seen leaving, the latest first.
    pub(super) fn seen_leaving(&self) -> impl Iterator<Item = Start> {
        let newest = self.order.iter().rev().filter_map(|(at, id)| Some((id, at, self.by_id.get(id)?)));
        let seen_leaving = newest.filter(|(_, at, end)| end.seen_leaving && end.at == **at);
        seen_leaving.map(|(id, _, end)| Start { id: id.to_string(), born: end.born })
    }
}
