//! Simulation of a workspace that sends ten times its load, or of a general overload: waiting times under each queue order.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use cranberrytally::{
    admit::{Demand, EnqueueResult, FairQueue, Priority, QueueLimits, Ticket},
    util::{Instant, Map},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of requests that run at once: 8 on each of 9 engines.
const SLOTS: usize = 72;
/// Number of workspaces.
const WORKSPACE_COUNT: usize = 10;
/// Time during which requests arrive.
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time span of the surge.
const SURGE_TIME: std::ops::Range<Duration> = Duration::from_secs(10)..Duration::from_secs(40);
/// Execution time of one unit of work.
const UNIT_TIME: Duration = Duration::from_millis(4);
/// Share of the slots in use outside the surge.
const BASE_LOAD: f64 = 0.6;
/// Index of the workspace that surges.
const SURGING_WORKSPACE: usize = 0;
/// Index of the small workspace whose waiting times are reported.
const SMALL_WORKSPACE: usize = 9;

/// Order of the queue.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    /// By arrival, in an unbounded queue.
    Fifo,
    /// By arrival, in a queue with the bound of the fair queue.
    BoundedFifo,
    /// The fair queue with the given priority burst.
    Fair(u32),
}

/// Outcomes of the requests of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    /// Number of requests.
    pub sent: u32,
    /// Number of requests answered within their deadline.
    pub answered: u32,
    /// Number of requests refused or answered after their deadline.
    pub lost: u32,
    /// Longest time from a request's arrival to the end of its answer, or to its refusal.
    pub max_time: Duration,
    /// Number of requests refused on arrival.
    pub refused_on_arrival: u32,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Translations of the small workspace.
    pub small_high: Group,
    /// Dialogues of the small workspace.
    pub small_normal: Group,
    /// Translations of all other workspaces except the surging one.
    pub others_high: Group,
    /// Dialogues of all other workspaces except the surging one.
    pub others_normal: Group,
    /// All requests of the surging workspace.
    pub surging: Group,
}

/// A request with its arrival time.
#[derive(Clone)]
struct Arrival {
    at: Instant,
    workspace: usize,
    demand: Demand,
}

/// Pattern of the load during the surge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPattern {
    /// One workspace sends ten times its load.
    Surge,
    /// One workspace sends ten times its load, all with high priority.
    UrgentSurge,
    /// Every workspace sends 2.2 times its load.
    Overload,
}

impl LoadPattern {
    /// Factor on a workspace's load.
    fn factor(self, workspace: usize) -> f64 {
        match self {
            LoadPattern::Overload => 2.2,
            _ if workspace == SURGING_WORKSPACE => 10.0,
            _ => 1.0,
        }
    }
}

impl Group {
    fn add(&mut self, other: Group) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.lost += other.lost;
        self.max_time = self.max_time.max(other.max_time);
        self.refused_on_arrival += other.refused_on_arrival;
    }
}

/// Runs several seeds; returns the sums of the counts and the longest times.
pub fn run_seeds(order: Order, pattern: LoadPattern, seeds: std::ops::Range<u64>) -> Figures {
    let mut all = Figures::default();
    for f in seeds.map(|seed| run(order, pattern, seed)) {
        all.small_high.add(f.small_high);
        all.small_normal.add(f.small_normal);
        all.others_high.add(f.others_high);
        all.others_normal.add(f.others_normal);
        all.surging.add(f.surging);
    }
    all
}

/// Runs the arrivals of one seed under a queue order.
pub fn run(order: Order, pattern: LoadPattern, seed: u64) -> Figures {
    let arrivals = arrivals(pattern, seed);
    match order {
        Order::Fifo => fifo(&arrivals, usize::MAX),
        Order::BoundedFifo => fifo(&arrivals, 256),
        Order::Fair(burst) => fair_queue(&arrivals, QueueLimits::default().with_burst(burst)),
    }
}

/// Draws the arrivals of all workspaces.
fn arrivals(pattern: LoadPattern, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Three large workspaces, the rest small.
    let weights: [f64; WORKSPACE_COUNT] = [0.2, 0.25, 0.25, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02];
    let mean_work = 300.0;
    let per_second = BASE_LOAD * SLOTS as f64 / (mean_work * UNIT_TIME.as_secs_f64());
    let mut list = Vec::new();
    for (workspace, weight) in weights.into_iter().enumerate() {
        let name: Arc<str> = format!("workspace-{workspace}").into();
        let mut at = 0.0;
        loop {
            let is_surging = SURGE_TIME.contains(&Duration::from_secs_f64(at));
            let rate = per_second * weight * if is_surging { pattern.factor(workspace) } else { 1.0 };
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= RUN_TIME.as_secs_f64() {
                break;
            }
            let short = rng.random_bool(0.5);
            let work = if short { rng.random_range(50..250) } else { rng.random_range(250..650) };
            let urgent = short || (workspace == SURGING_WORKSPACE && pattern == LoadPattern::UrgentSurge);
            let priority = if urgent { Priority::High } else { Priority::Normal };
            let at = Duration::from_secs_f64(at);
            let limit = Duration::from_secs(if urgent { 8 } else { 20 });
            let demand = Demand { workspace: name.clone(), priority, deadline: at + limit, work };
            list.push(Arrival { at, workspace, demand });
        }
    }
    list.sort_by_key(|a| a.at);
    list
}

/// The group of a request.
fn group_mut<'a>(f: &'a mut Figures, a: &Arrival) -> &'a mut Group {
    match (a.workspace, a.demand.priority) {
        (SMALL_WORKSPACE, Priority::High) => &mut f.small_high,
        (SMALL_WORKSPACE, _) => &mut f.small_normal,
        (SURGING_WORKSPACE, _) => &mut f.surging,
        (_, Priority::High) => &mut f.others_high,
        _ => &mut f.others_normal,
    }
}

/// Records the end of a request, by an answer or a refusal.
fn record_outcome(f: &mut Figures, a: &Arrival, end: Instant, answered: bool) {
    let g = group_mut(f, a);
    let time = end - a.at;
    g.sent += 1;
    g.max_time = g.max_time.max(time);
    if answered && end <= a.demand.deadline {
        g.answered += 1;
    } else {
        g.lost += 1;
    }
    g.refused_on_arrival += u32::from(!answered && end == a.at);
}

fn execution_time(a: &Arrival) -> Duration {
    UNIT_TIME * a.demand.work
}

/// Runs the arrivals through a FIFO queue.
fn fifo(arrivals: &[Arrival], max_queued: usize) -> Figures {
    let mut figures = Figures::default();
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut running: BinaryHeap<Reverse<Instant>> = BinaryHeap::new();
    let start = |running: &mut BinaryHeap<_>, figures: &mut Figures, now: Instant, i: usize| {
        let end = now + execution_time(&arrivals[i]);
        running.push(Reverse(end));
        record_outcome(figures, &arrivals[i], end, true);
    };
    for (i, a) in arrivals.iter().enumerate() {
        while let Some(&Reverse(end)) = running.peek().filter(|e| e.0 <= a.at) {
            running.pop();
            if let Some(next) = queue.pop_front() {
                start(&mut running, &mut figures, end, next);
            }
        }
        if running.len() < SLOTS {
            start(&mut running, &mut figures, a.at, i);
        } else if queue.len() < max_queued {
            queue.push_back(i);
        } else {
            record_outcome(&mut figures, a, a.at, false);
        }
    }
    while let Some(Reverse(end)) = running.pop() {
        if let Some(next) = queue.pop_front() {
            start(&mut running, &mut figures, end, next);
        }
    }
    figures
}

/// State of a run with the fair queue.
struct FairQueueRun<'a> {
    arrivals: &'a [Arrival],
    queue: FairQueue,
    tickets: Map<Ticket, usize>,
    running: BinaryHeap<Reverse<(Instant, usize, Instant)>>,
    figures: Figures,
}

/// Runs the arrivals through the fair queue.
fn fair_queue(arrivals: &[Arrival], limits: QueueLimits) -> Figures {
    let mut run = FairQueueRun {
        arrivals,
        queue: FairQueue::new(limits),
        tickets: Map::default(),
        running: BinaryHeap::new(),
        figures: Figures::default(),
    };
    for (i, a) in arrivals.iter().enumerate() {
        run.advance(a.at);
        run.arrive(i, a);
    }
    run.advance(RUN_TIME * 10);
    run.figures
}

impl FairQueueRun<'_> {
    /// Starts a request, or queues or refuses it.
    fn arrive(&mut self, i: usize, a: &Arrival) {
        if self.queue.is_empty() && self.running.len() < SLOTS {
            return self.start(a.at, i);
        }
        match self.queue.enqueue(a.at, a.demand.clone()) {
            EnqueueResult::Queued(ticket) => drop(self.tickets.insert(ticket, i)),
            EnqueueResult::Displaced(ticket, victim, _) => {
                self.tickets.insert(ticket, i);
                self.refuse(a.at, victim);
            }
            EnqueueResult::Refused(_) => record_outcome(&mut self.figures, a, a.at, false),
        }
    }

    fn start(&mut self, now: Instant, i: usize) {
        let end = now + execution_time(&self.arrivals[i]);
        self.running.push(Reverse((end, i, now)));
        record_outcome(&mut self.figures, &self.arrivals[i], end, true);
    }

    fn refuse(&mut self, now: Instant, ticket: Ticket) {
        if let Some(i) = self.tickets.remove(&ticket) {
            record_outcome(&mut self.figures, &self.arrivals[i], now, false);
        }
    }

    /// Ends the executions that are due and starts waiting requests, until a time.
    fn advance(&mut self, to: Instant) {
        while let Some(&Reverse((now, i, started))) = self.running.peek().filter(|e| e.0.0 <= to) {
            self.running.pop();
            self.queue.record_run(now - started, self.arrivals[i].demand.work);
            for (ticket, _) in self.queue.expire(now) {
                self.refuse(now, ticket);
            }
            if let Some(ticket) = self.queue.start_turn() {
                self.queue.end_turn(now, ticket, true);
                let next =
                    self.tickets.remove(&ticket).expect("the granted ticket belongs to a waiting request");
                self.start(now, next);
            }
        }
    }
}
