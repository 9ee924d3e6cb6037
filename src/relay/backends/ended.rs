//! Starts of backend servers that have ended.
//!
//! A store that is restored from a copy lists servers again that have left since. One that was seen leaving never takes work
//! again; one whose entry was only removed may live and counts once that is settled.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::StartMs;
use crate::{
    relay::revision::Epoch,
    schema::fleet::{Backend, Start},
    util::{Instant, Map},
};

/// How long an end is remembered. A copy is some seconds old, and entries of servers that are gone lapse within seconds.
const KEPT: Duration = Duration::from_secs(600);
/// Ends remembered; beyond that the oldest are forgotten.
const MOST: usize = 4_096;

/// The end of a start of a server.
#[derive(Clone, Copy, Debug)]
struct End {
    born: StartMs,
    left: bool,
    epoch: Epoch,
    at: Instant,
}

/// What an entry under an identifier that is not listed tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Past {
    /// A server that lives.
    New,
    /// A start before one that has ended.
    Earlier,
    /// A start that was seen leaving.
    Left,
    /// A start whose entry was removed before the store was restored.
    Removed,
}

/// Ends of starts, by identifier; of each server the last one.
#[derive(Clone, Debug, Default)]
pub(super) struct Ended {
    by_id: Map<Arc<str>, End>,
    order: VecDeque<(Instant, Arc<str>)>,
}

impl Ended {
    /// Notes that a start has ended, in an epoch of the store; `left` where the server was seen leaving.
    pub(super) fn note(&mut self, now: Instant, id: &Arc<str>, born: StartMs, left: bool, epoch: Epoch) {
        let known = self.by_id.get(id).filter(|end| end.born == born);
        let left = left || known.is_some_and(|end| end.left);
        self.by_id.insert(id.clone(), End { born, left, epoch, at: now });
        self.order.push_back((now, id.clone()));
        while self.order.len() > MOST {
            self.forget_oldest();
        }
    }

    /// Forgets what is old.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(at, _)| *at + KEPT <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, id)) = self.order.pop_front() else { return };
        if self.by_id.get(&id).is_some_and(|end| end.at == at) {
            self.by_id.remove(&id);
        }
    }

    /// Forgets the end of a server that lives.
    pub(super) fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// What an entry that the store lists in an epoch tells of.
    pub(super) fn past(&self, item: &Backend, epoch: Epoch) -> Past {
        let Some(end) = self.by_id.get(item.id.as_str()) else { return Past::New };
        match item.born.cmp(&end.born) {
            std::cmp::Ordering::Less => Past::Earlier,
            std::cmp::Ordering::Greater => Past::New,
            std::cmp::Ordering::Equal if end.left => Past::Left,
            std::cmp::Ordering::Equal if end.epoch < epoch => Past::Removed,
            std::cmp::Ordering::Equal => Past::New,
        }
    }

    /// The last starts that were seen leaving, the newest first.
    pub(super) fn left(&self) -> impl Iterator<Item = Start> {
        let newest = self.order.iter().rev().filter_map(|(at, id)| Some((id, at, self.by_id.get(id)?)));
        let left = newest.filter(|(_, at, end)| end.left && end.at == **at);
        left.map(|(id, _, end)| Start { id: id.to_string(), born: end.born })
    }
}
