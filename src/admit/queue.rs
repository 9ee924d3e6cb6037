//! Queue of one pool: fair between workspaces, ordered by class and deadline within a workspace.
//!
//! Implements start-time fair queueing over expected work. Each workspace has a start tag, the work served for it
//! in virtual time. Among workspaces whose tag is within `burst` of the lowest one, the most urgent class is served
//! first. So translations precede the background work of other workspaces, but a workspace that marks all requests
//! as urgent soon exceeds the burst and then waits behind its own surge.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::{
    Demand, QueueLimits, Refusal,
    flow::{Flow, QueueOrder},
    rate::ServiceRate,
};
use crate::{
    error::ErrorKind,
    util::{Instant, Map},
};

/// Range of the retry delay that refusals tell callers.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

new_key_type! {
    /// Key of a waiting request.
    pub struct Ticket;
}

/// Result of [`FairQueue::enqueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueResult {
    /// The request was queued.
    Queued(Ticket),
    /// The request was queued; the last request of the workspace with the most waiting requests, given second, is
    /// refused instead.
    Displaced(Ticket, Ticket, Refusal),
    /// The request is refused.
    Refused(Refusal),
}

#[derive(Debug)]
struct Waiter {
    demand: Demand,
    order: QueueOrder,
    in_turn: bool,
}

/// Fair queue of one pool or plain service.
#[derive(Debug, Default)]
pub struct FairQueue {
    limits: QueueLimits,
    tickets: SlotMap<Ticket, Waiter>,
    flows: Map<std::sync::Arc<str>, Flow>,
    virtual_time: u64,
    seq: u64,
    turns: usize,
    rate: ServiceRate,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Whether the queue is empty, so that a new request may bypass it.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Number of requests that wait or have a turn.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Queues a request, or refuses it when its deadline can't be met or the queue is full.
    pub fn enqueue(&mut self, now: Instant, demand: Demand) -> EnqueueResult {
        if demand.deadline <= now {
            return EnqueueResult::Refused(self.refusal(now, ErrorKind::DeadlinePassed));
        }
        let order = QueueOrder { priority: demand.priority, deadline: demand.deadline, seq: self.seq };
        let due = now + self.estimated_wait(now, &demand, order) + self.rate.run_time(demand.work);
        if due > demand.deadline {
            return EnqueueResult::Refused(self.refusal(now, ErrorKind::DeadlineUnmeetable));
        }
        let own = self.flows.get(&demand.workspace).map_or(0, Flow::len);
        if own >= self.limits.max_per_workspace {
            return EnqueueResult::Refused(self.refusal(now, ErrorKind::QueueFull));
        }
        if self.tickets.len() < self.limits.max_waiting {
            return EnqueueResult::Queued(self.insert(now, demand, order));
        }
        // A surge of one workspace could fill the queue and lock out the others. The workspace with the most
        // waiting requests therefore loses its last one to a workspace with fewer.
        match self.flows.values().max_by_key(|f| f.len()).filter(|f| f.len() > own + 1).and_then(Flow::last) {
            Some(victim) => {
                self.remove(victim);
                let refusal = self.refusal(now, ErrorKind::QueueFull);
                EnqueueResult::Displaced(self.insert(now, demand, order), victim, refusal)
            }
            None => EnqueueResult::Refused(self.refusal(now, ErrorKind::QueueFull)),
        }
    }

    /// Gives the next request a turn, in which it tries to get an engine before it calls [`FairQueue::end_turn`].
    pub fn start_turn(&mut self) -> Option<Ticket> {
        if self.turns >= self.limits.max_turns {
            return None;
        }
        let waiting = || self.flows.values().filter_map(|f| f.first().map(|head| (f.tag, head)));
        let lowest = waiting().map(|(tag, _)| tag).min()?;
        let max_tag = lowest.saturating_add(u64::from(self.limits.burst));
        let next = waiting()
            .filter(|w| w.0 <= max_tag)
            .min_by_key(|&(tag, (order, _))| (order.priority, tag, order.deadline, order.seq));
        let (_, (_, ticket)) = next?;
        self.virtual_time = self.virtual_time.max(lowest);
        self.set_in_turn(ticket, true);
        Some(ticket)
    }

    /// Ends a turn: the request leaves the queue if it got an engine, otherwise it returns to its position.
    pub fn end_turn(&mut self, now: Instant, ticket: Ticket, got_engine: bool) {
        let Some(w) = self.tickets.get(ticket).filter(|w| w.in_turn) else { return };
        let work = w.demand.work;
        if got_engine {
            self.turns -= 1;
            self.tickets.remove(ticket);
            self.rate.record_start(now, work);
            self.remove_idle_flows();
        } else {
            self.rate.update(now);
            self.set_in_turn(ticket, false);
        }
    }

    /// Removes a request whose caller disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Removes requests whose deadline has passed or can no longer be met.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refusal)> {
        self.rate.update(now);
        let due: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, w)| !w.in_turn && now + self.rate.run_time(w.demand.work) > w.demand.deadline)
            .map(|(ticket, w)| (ticket, w.demand.deadline <= now))
            .collect();
        due.into_iter()
            .map(|(ticket, deadline_passed)| {
                self.remove(ticket);
                let kind =
                    if deadline_passed { ErrorKind::DeadlinePassed } else { ErrorKind::DeadlineUnmeetable };
                (ticket, self.refusal(now, kind))
            })
            .collect()
    }

    /// Records how long a request of this work ran on its engine.
    pub fn record_run(&mut self, ran: Duration, work: super::Work) {
        self.rate.record_run(ran, work);
    }

    /// Creates a refusal that tells the caller to retry once the queue should have drained.
    pub fn refusal(&self, now: Instant, kind: ErrorKind) -> Refusal {
        let backlog = self.flows.values().map(|f| f.work_up_to(super::Priority::Low)).sum();
        let drain_time = self.rate.time_to_start(now, backlog).unwrap_or(MIN_RETRY_AFTER);
        Refusal { kind, retry_after: drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
    }

    /// Estimates the time until a request starts, from the work ahead of it in its own workspace and at most as
    /// much work of each other workspace.
    ///
    /// The estimate for an empty queue is zero: after a stall the measured rate is near zero, and a refusal based
    /// on it would reject the request that would discover that engines are available again.
    fn estimated_wait(&self, now: Instant, demand: &Demand, order: QueueOrder) -> Duration {
        if self.tickets.is_empty() {
            return Duration::ZERO;
        }
        let own = self.flows.get(&demand.workspace).map_or(0, |f| f.work_ahead(order));
        let share = own + u64::from(demand.work);
        let others: u64 = self
            .flows
            .iter()
            .filter(|(name, _)| **name != demand.workspace)
            .map(|(_, f)| f.work_up_to(demand.priority).min(share))
            .sum();
        self.rate.time_to_start(now, own + others).unwrap_or_default()
    }

    fn insert(&mut self, now: Instant, demand: Demand, order: QueueOrder) -> Ticket {
        self.rate.start_measuring(now);
        self.seq += 1;
        let (name, work) = (demand.workspace.clone(), demand.work);
        let ticket = self.tickets.insert(Waiter { demand, order, in_turn: false });
        let flow = self.flows.entry(name).or_default();
        if flow.len() == 0 {
            flow.tag = flow.tag.max(self.virtual_time);
        }
        flow.insert(order, ticket, work);
        ticket
    }

    fn remove(&mut self, ticket: Ticket) {
        let Some(w) = self.tickets.remove(ticket) else { return };
        if w.in_turn {
            self.turns -= 1;
        }
        if let Some(flow) = self.flows.get_mut(&w.demand.workspace) {
            flow.remove(w.order, ticket, w.demand.work);
        }
        self.remove_idle_flows();
    }

    fn set_in_turn(&mut self, ticket: Ticket, in_turn: bool) {
        let Some(w) = self.tickets.get_mut(ticket) else { return };
        w.in_turn = in_turn;
        let work = w.demand.work;
        let Some(flow) = self.flows.get_mut(&w.demand.workspace) else { return };
        if in_turn {
            self.turns += 1;
            flow.remove(w.order, ticket, work);
            flow.tag += u64::from(work);
        } else {
            self.turns -= 1;
            flow.tag = flow.tag.saturating_sub(u64::from(work));
            flow.insert(w.order, ticket, work);
        }
    }

    /// Removes workspaces that have no waiting request and are not ahead of virtual time, which bounds the memory.
    fn remove_idle_flows(&mut self) {
        if self.tickets.is_empty() {
            self.flows.clear();
            self.virtual_time = 0;
            self.rate.stop_measuring();
        } else if self.flows.len() > self.limits.max_waiting {
            let virtual_time = self.virtual_time;
            self.flows.retain(|_, f| f.len() > 0 || f.tag > virtual_time);
        }
    }
}
