//! Queue of one workspace (a flow, in the terms of fair queueing).

use std::collections::BTreeSet;

use super::{Priority, Work, queue::Ticket};
use crate::util::Instant;

/// Order within a workspace: by class, deadline and arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueOrder {
    pub(super) priority: Priority,
    pub(super) deadline: Instant,
    pub(super) seq: u64,
}

/// Waiting requests of one workspace, with its start tag for start-time fair queueing.
#[derive(Debug, Default)]
pub(super) struct Flow {
    /// Start tag: work served for the workspace, in the queue's virtual time.
    pub(super) tag: u64,
    waiting: BTreeSet<(QueueOrder, Ticket, Work)>,
    /// Queued work by priority class.
    work: [u64; 3],
}

impl Flow {
    pub(super) fn insert(&mut self, order: QueueOrder, ticket: Ticket, work: Work) {
        if self.waiting.insert((order, ticket, work)) {
            self.work[order.priority.index()] += u64::from(work);
        }
    }

    pub(super) fn remove(&mut self, order: QueueOrder, ticket: Ticket, work: Work) {
        if self.waiting.remove(&(order, ticket, work)) {
            self.work[order.priority.index()] -= u64::from(work);
        }
    }

    pub(super) fn first(&self) -> Option<(QueueOrder, Ticket)> {
        self.waiting.first().map(|&(order, ticket, _)| (order, ticket))
    }

    pub(super) fn last(&self) -> Option<Ticket> {
        self.waiting.last().map(|&(_, ticket, _)| ticket)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Work queued ahead of a request of this order.
    pub(super) fn work_ahead(&self, order: QueueOrder) -> u64 {
        self.waiting.iter().take_while(|w| w.0 < order).map(|w| u64::from(w.2)).sum()
    }

    /// Queued work of this class and of all more urgent ones.
    pub(super) fn work_up_to(&self, least: Priority) -> u64 {
        self.work[..=least.index()].iter().sum()
    }
}
