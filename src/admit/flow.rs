//! The waiting requests of one workspace.

use std::collections::BTreeSet;

use super::{Priority, Work, queue::Ticket};
use crate::util::Instant;

/// Order within a workspace: class, then deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) priority: Priority,
    pub(super) deadline: Instant,
    pub(super) seq: u64,
}

/// Queue of one workspace and its tag of start-time fair queueing.
#[derive(Debug, Default)]
pub(super) struct Flow {
    /// Work that the workspace has been granted, on the lane's virtual clock.
    pub(super) tag: u64,
    waiting: BTreeSet<(Rank, Ticket, Work)>,
    work: [u64; 3],
}

impl Flow {
    pub(super) fn insert(&mut self, rank: Rank, ticket: Ticket, work: Work) {
        if self.waiting.insert((rank, ticket, work)) {
            self.work[rank.priority.index()] += u64::from(work);
        }
    }

    pub(super) fn remove(&mut self, rank: Rank, ticket: Ticket, work: Work) {
        if self.waiting.remove(&(rank, ticket, work)) {
            self.work[rank.priority.index()] -= u64::from(work);
        }
    }

    pub(super) fn first(&self) -> Option<(Rank, Ticket)> {
        self.waiting.first().map(|&(rank, ticket, _)| (rank, ticket))
    }

    pub(super) fn last(&self) -> Option<Ticket> {
        self.waiting.last().map(|&(_, ticket, _)| ticket)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Work that goes before a request of this rank.
    pub(super) fn ahead(&self, rank: Rank) -> u64 {
        self.waiting.iter().take_while(|w| w.0 < rank).map(|w| u64::from(w.2)).sum()
    }

    /// Waiting work of this class and of more urgent ones.
    pub(super) fn backlog(&self, least: Priority) -> u64 {
        self.work[..=least.index()].iter().sum()
    }
}
