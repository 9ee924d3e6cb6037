//! The queue of one pool: fair between workspaces, by class and deadline within one.
//!
//! Start-time fair queueing over expected work. Each workspace has a tag, the work granted to it on a virtual
//! clock. Among workspaces whose tag is within `burst` of the lowest, the most urgent class goes first; so
//! translations go before other workspaces' dialogues, but a workspace that sends everything as urgent soon
//! leaves that range and then waits behind its own surge.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::{
    Demand, QueueLimits, Refusal,
    flow::{Flow, Rank},
    rate::Rate,
};
use crate::{
    error::Kind,
    util::{Instant, Map},
};

const LEAST_RETRY: Duration = Duration::from_secs(1);
const MOST_RETRY: Duration = Duration::from_secs(30);

new_key_type! {
    /// A waiting request.
    pub struct Ticket;
}

/// What became of a request that asked to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueResult {
    /// It waits.
    Queued(Ticket),
    /// It waits; the other request, the last of the longest queue, is refused in its place.
    Displaced(Ticket, Ticket, Refusal),
    /// It is refused.
    Refused(Refusal),
}

#[derive(Debug)]
struct Waiting {
    demand: Demand,
    rank: Rank,
    trying: bool,
}

/// Queue of one pool or plain service.
#[derive(Debug, Default)]
pub struct FairQueue {
    limits: QueueLimits,
    tickets: SlotMap<Ticket, Waiting>,
    flows: Map<std::sync::Arc<str>, Flow>,
    clock: u64,
    seq: u64,
    trying: usize,
    rate: Rate,
}

impl FairQueue {
    /// Empty lane.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Whether nobody waits, so that a new request may ask for an engine at once.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Requests that wait or try.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Lets a request wait, or says why not.
    pub fn enqueue(&mut self, now: Instant, demand: Demand) -> EnqueueResult {
        if demand.deadline <= now {
            return EnqueueResult::Refused(self.refusal(now, Kind::DeadlinePassed));
        }
        let rank = Rank { priority: demand.priority, deadline: demand.deadline, seq: self.seq };
        let due = now + self.estimate(now, &demand, rank) + self.rate.run(demand.work);
        if due > demand.deadline {
            return EnqueueResult::Refused(self.refusal(now, Kind::DeadlineUnmeetable));
        }
        let own = self.flows.get(&demand.workspace).map_or(0, Flow::len);
        if own >= self.limits.workspace {
            return EnqueueResult::Refused(self.refusal(now, Kind::QueueFull));
        }
        if self.tickets.len() < self.limits.total {
            return EnqueueResult::Queued(self.insert(now, demand, rank));
        }
        // A surge of one workspace could fill the whole queue and shut the others out; the workspace with the
        // longest queue gives way instead, so a small one always finds a place.
        match self.flows.values().max_by_key(|f| f.len()).filter(|f| f.len() > own + 1).and_then(Flow::last) {
            Some(victim) => {
                self.remove(victim);
                let refusal = self.refusal(now, Kind::QueueFull);
                EnqueueResult::Displaced(self.insert(now, demand, rank), victim, refusal)
            }
            None => EnqueueResult::Refused(self.refusal(now, Kind::QueueFull)),
        }
    }

    /// Gives the next turn: its holder asks for an engine and calls [`FairQueue::end_turn`].
    pub fn start_turn(&mut self) -> Option<Ticket> {
        if self.trying >= self.limits.trying {
            return None;
        }
        let waiting = || self.flows.values().filter_map(|f| f.first().map(|head| (f.tag, head)));
        let lowest = waiting().map(|(tag, _)| tag).min()?;
        let edge = lowest.saturating_add(u64::from(self.limits.burst));
        let next = waiting()
            .filter(|w| w.0 <= edge)
            .min_by_key(|&(tag, (rank, _))| (rank.priority, tag, rank.deadline, rank.seq));
        let (_, (_, ticket)) = next?;
        self.clock = self.clock.max(lowest);
        self.set_trying(ticket, true);
        Some(ticket)
    }

    /// Ends a turn: the request got an engine and leaves, or waits on in its old place.
    pub fn end_turn(&mut self, now: Instant, ticket: Ticket, got_engine: bool) {
        let Some(w) = self.tickets.get(ticket).filter(|w| w.trying) else { return };
        let work = w.demand.work;
        if got_engine {
            self.trying -= 1;
            self.tickets.remove(ticket);
            self.rate.start(now, work);
            self.tidy();
        } else {
            self.rate.tick(now);
            self.set_trying(ticket, false);
        }
    }

    /// Takes a request out whose caller went away.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Takes out the requests whose deadline has passed or can't be met any more.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refusal)> {
        self.rate.tick(now);
        let due: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, w)| !w.trying && now + self.rate.run(w.demand.work) > w.demand.deadline)
            .map(|(ticket, w)| (ticket, w.demand.deadline <= now))
            .collect();
        due.into_iter()
            .map(|(ticket, passed)| {
                self.remove(ticket);
                let kind = if passed { Kind::DeadlinePassed } else { Kind::DeadlineUnmeetable };
                (ticket, self.refusal(now, kind))
            })
            .collect()
    }

    /// Notes how long a run of this work took.
    pub fn record_run(&mut self, ran: Duration, work: super::Work) {
        self.rate.record_run(ran, work);
    }

    /// Refusal of this kind, with the time in which the queue drains.
    pub fn refusal(&self, now: Instant, kind: Kind) -> Refusal {
        let backlog = self.flows.values().map(|f| f.backlog(super::Priority::Low)).sum();
        let drained = self.rate.wait(now, backlog).unwrap_or(LEAST_RETRY);
        Refusal { kind, retry_after: drained.clamp(LEAST_RETRY, MOST_RETRY) }
    }

    /// Time until a request would start: its own workspace's work before it, and as much of each other's.
    ///
    /// An empty lane estimates nothing: after a stall its measured rate is near zero, and refusing on that
    /// would keep out the very request that shows that engines are free again.
    fn estimate(&self, now: Instant, demand: &Demand, rank: Rank) -> Duration {
        if self.tickets.is_empty() {
            return Duration::ZERO;
        }
        let own = self.flows.get(&demand.workspace).map_or(0, |f| f.ahead(rank));
        let share = own + u64::from(demand.work);
        let others: u64 = self
            .flows
            .iter()
            .filter(|(name, _)| **name != demand.workspace)
            .map(|(_, f)| f.backlog(demand.priority).min(share))
            .sum();
        self.rate.wait(now, own + others).unwrap_or_default()
    }

    fn insert(&mut self, now: Instant, demand: Demand, rank: Rank) -> Ticket {
        self.rate.open(now);
        self.seq += 1;
        let (name, work) = (demand.workspace.clone(), demand.work);
        let ticket = self.tickets.insert(Waiting { demand, rank, trying: false });
        let flow = self.flows.entry(name).or_default();
        if flow.len() == 0 {
            flow.tag = flow.tag.max(self.clock);
        }
        flow.insert(rank, ticket, work);
        ticket
    }

    fn remove(&mut self, ticket: Ticket) {
        let Some(w) = self.tickets.remove(ticket) else { return };
        if w.trying {
            self.trying -= 1;
        }
        if let Some(flow) = self.flows.get_mut(&w.demand.workspace) {
            flow.remove(w.rank, ticket, w.demand.work);
        }
        self.tidy();
    }

    fn set_trying(&mut self, ticket: Ticket, trying: bool) {
        let Some(w) = self.tickets.get_mut(ticket) else { return };
        w.trying = trying;
        let work = w.demand.work;
        let Some(flow) = self.flows.get_mut(&w.demand.workspace) else { return };
        if trying {
            self.trying += 1;
            flow.remove(w.rank, ticket, work);
            flow.tag += u64::from(work);
        } else {
            self.trying -= 1;
            flow.tag = flow.tag.saturating_sub(u64::from(work));
            flow.insert(w.rank, ticket, work);
        }
    }

    /// Forgets workspaces that owe nothing, so that the lane's memory follows its queue.
    fn tidy(&mut self) {
        if self.tickets.is_empty() {
            self.flows.clear();
            self.clock = 0;
            self.rate.shut();
        } else if self.flows.len() > self.limits.total {
            let clock = self.clock;
            self.flows.retain(|_, f| f.len() > 0 || f.tag > clock);
        }
    }
}
