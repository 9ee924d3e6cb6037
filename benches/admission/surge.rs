//! One workspace surges tenfold, or all send too much: how long each waits, under each order of the queue.

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

/// Sizes of today: 9 engines, 8 requests at once each.
const SLOTS: usize = 72;
const WORKSPACES: usize = 10;
const RUN: Duration = Duration::from_secs(60);
const SURGE: std::ops::Range<Duration> = Duration::from_secs(10)..Duration::from_secs(40);
/// Time that one unit of work takes in a slot.
const UNIT: Duration = Duration::from_millis(4);
/// Share of the slots in use without the surge.
const LOAD: f64 = 0.6;
/// The workspace that surges, and the small one that is watched.
const LOUD: usize = 0;
const SMALL: usize = 9;

/// Order of the queue.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    /// Arrival, without a bound on the queue.
    Fifo,
    /// Arrival, the queue bounded as the lane's is.
    BoundedFifo,
    /// The lane, with this burst.
    Fair(u32),
}

/// What came of the requests of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    /// Requests.
    pub sent: u32,
    /// Answered within the deadline.
    pub answered: u32,
    /// Refused, or answered late.
    pub lost: u32,
    /// Longest time from arrival to the end of the answer, or to the refusal.
    pub max_time: Duration,
    /// Refused at the moment of arrival.
    pub refused_on_arrival: u32,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// The small workspace's translations.
    pub small_high: Group,
    /// The small workspace's dialogues.
    pub small_normal: Group,
    /// Translations of every other workspace but the loud one.
    pub others_high: Group,
    /// Dialogues of every other workspace but the loud one.
    pub others_normal: Group,
    /// The workspace that surges.
    pub surging: Group,
}

#[derive(Clone)]
struct Arrival {
    at: Instant,
    workspace: usize,
    demand: Demand,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPattern {
    /// One workspace sends ten times as much.
    Surge,
    /// One workspace sends ten times as much, all of it as urgent.
    UrgentSurge,
    /// Every workspace sends 2.2 times as much.
    Overload,
}

impl LoadPattern {
    fn factor(self, workspace: usize) -> f64 {
        match self {
            LoadPattern::Overload => 2.2,
            _ if workspace == LOUD => 10.0,
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

/// Sums and worst cases over several seeds.
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

/// Runs the table of arrivals under one order.
pub fn run(order: Order, pattern: LoadPattern, seed: u64) -> Figures {
    let arrivals = arrivals(pattern, seed);
    match order {
        Order::Fifo => fifo(&arrivals, usize::MAX),
        Order::BoundedFifo => fifo(&arrivals, 256),
        Order::Fair(burst) => lane(&arrivals, QueueLimits::default().with_burst(burst)),
    }
}

fn arrivals(pattern: LoadPattern, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Three large workspaces, the rest small.
    let weights: [f64; WORKSPACES] = [0.2, 0.25, 0.25, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02];
    let mean_work = 300.0;
    let per_second = LOAD * SLOTS as f64 / (mean_work * UNIT.as_secs_f64());
    let mut list = Vec::new();
    for (workspace, weight) in weights.into_iter().enumerate() {
        let name: Arc<str> = format!("workspace-{workspace}").into();
        let mut at = 0.0;
        loop {
            let is_surging = SURGE.contains(&Duration::from_secs_f64(at));
            let rate = per_second * weight * if is_surging { pattern.factor(workspace) } else { 1.0 };
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= RUN.as_secs_f64() {
                break;
            }
            let short = rng.random_bool(0.5);
            let work = if short { rng.random_range(50..250) } else { rng.random_range(250..650) };
            let urgent = short || (workspace == LOUD && pattern == LoadPattern::UrgentSurge);
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

fn group<'a>(f: &'a mut Figures, a: &Arrival) -> &'a mut Group {
    match (a.workspace, a.demand.priority) {
        (SMALL, Priority::High) => &mut f.small_high,
        (SMALL, _) => &mut f.small_normal,
        (LOUD, _) => &mut f.surging,
        (_, Priority::High) => &mut f.others_high,
        _ => &mut f.others_normal,
    }
}

fn note(f: &mut Figures, a: &Arrival, end: Instant, answered: bool) {
    let g = group(f, a);
    let took = end - a.at;
    g.sent += 1;
    g.max_time = g.max_time.max(took);
    if answered && end <= a.demand.deadline {
        g.answered += 1;
    } else {
        g.lost += 1;
    }
    g.refused_on_arrival += u32::from(!answered && end == a.at);
}

fn runtime(a: &Arrival) -> Duration {
    UNIT * a.demand.work
}

fn fifo(arrivals: &[Arrival], most: usize) -> Figures {
    let mut figures = Figures::default();
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut ends: BinaryHeap<Reverse<Instant>> = BinaryHeap::new();
    let start = |ends: &mut BinaryHeap<_>, figures: &mut Figures, now: Instant, i: usize| {
        let end = now + runtime(&arrivals[i]);
        ends.push(Reverse(end));
        note(figures, &arrivals[i], end, true);
    };
    for (i, a) in arrivals.iter().enumerate() {
        while let Some(&Reverse(end)) = ends.peek().filter(|e| e.0 <= a.at) {
            ends.pop();
            if let Some(next) = queue.pop_front() {
                start(&mut ends, &mut figures, end, next);
            }
        }
        if ends.len() < SLOTS {
            start(&mut ends, &mut figures, a.at, i);
        } else if queue.len() < most {
            queue.push_back(i);
        } else {
            note(&mut figures, a, a.at, false);
        }
    }
    while let Some(Reverse(end)) = ends.pop() {
        if let Some(next) = queue.pop_front() {
            start(&mut ends, &mut figures, end, next);
        }
    }
    figures
}

struct LaneRun<'a> {
    arrivals: &'a [Arrival],
    lane: FairQueue,
    tickets: Map<Ticket, usize>,
    ends: BinaryHeap<Reverse<(Instant, usize, Instant)>>,
    figures: Figures,
}

fn lane(arrivals: &[Arrival], limits: QueueLimits) -> Figures {
    let mut run = LaneRun {
        arrivals,
        lane: FairQueue::new(limits),
        tickets: Map::default(),
        ends: BinaryHeap::new(),
        figures: Figures::default(),
    };
    for (i, a) in arrivals.iter().enumerate() {
        run.advance(a.at);
        run.arrive(i, a);
    }
    run.advance(RUN * 10);
    run.figures
}

impl LaneRun<'_> {
    fn arrive(&mut self, i: usize, a: &Arrival) {
        if self.lane.is_empty() && self.ends.len() < SLOTS {
            return self.start(a.at, i);
        }
        match self.lane.enqueue(a.at, a.demand.clone()) {
            EnqueueResult::Queued(ticket) => drop(self.tickets.insert(ticket, i)),
            EnqueueResult::Displaced(ticket, victim, _) => {
                self.tickets.insert(ticket, i);
                self.refuse(a.at, victim);
            }
            EnqueueResult::Refused(_) => note(&mut self.figures, a, a.at, false),
        }
    }

    fn start(&mut self, now: Instant, i: usize) {
        let end = now + runtime(&self.arrivals[i]);
        self.ends.push(Reverse((end, i, now)));
        note(&mut self.figures, &self.arrivals[i], end, true);
    }

    fn refuse(&mut self, now: Instant, ticket: Ticket) {
        if let Some(i) = self.tickets.remove(&ticket) {
            note(&mut self.figures, &self.arrivals[i], now, false);
        }
    }

    fn advance(&mut self, to: Instant) {
        while let Some(&Reverse((now, i, began))) = self.ends.peek().filter(|e| e.0.0 <= to) {
            self.ends.pop();
            self.lane.record_run(now - began, self.arrivals[i].demand.work);
            for (ticket, _) in self.lane.expire(now) {
                self.refuse(now, ticket);
            }
            if let Some(ticket) = self.lane.start_turn() {
                self.lane.end_turn(now, ticket, true);
                let next = self.tickets.remove(&ticket).expect("a granted ticket waits");
                self.start(now, next);
            }
        }
    }
}
