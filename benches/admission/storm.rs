//! A third of the fleet fails: extra attempts with and without the budget.

use std::time::Duration;

use cranberrytally::{
    catalog::Id,
    retry::{Attempts, Cooldowns, RetryBudget, RetryPolicy, RetryReason},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Routers that share the fleet.
pub const ROUTERS: usize = 8;
/// Share of fresh requests that the budget allows as retries.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that a router may make at once.
pub const RETRY_BURST: u32 = 10;
const ENGINES: usize = 20;
const FAILING: usize = 6;
const REQUESTS: usize = 100_000;
/// How often a caller comes back with a refused request.
const RETURNS: usize = 3;
/// Time between two requests.
const PERIOD: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_secs(10);

/// How retries are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Any engine again until one answers; callers come back too.
    Unbounded,
    /// An attempt limit at each hop, which starts anew when the caller comes back.
    PerHop,
    /// One attempt count over all hops, without a budget.
    GlobalLimit,
    /// One count over all hops and the budget.
    Budget,
    /// The policy: these, and a router keeps away from engines that it could not reach.
    Cooldown,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Fresh requests.
    pub fresh: u64,
    /// Attempts at engines.
    pub attempts: u64,
    /// Requests answered in the end.
    pub answered: u64,
    /// Most attempts that one request cost.
    pub max_attempts: u64,
}

impl Figures {
    /// Attempts beyond one a request.
    pub fn extra(&self) -> u64 {
        self.attempts - self.fresh
    }
}

/// Sends the requests while 30% of the engines refuse every connection and no router knows of it yet.
pub fn run(bound: Bound, seed: u64) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets = [RetryBudget::new(RETRY_RATIO, RETRY_BURST); ROUTERS];
    let mut avoids = vec![Cooldowns::default(); ROUTERS];
    let mut figures = Figures::default();
    for i in 0..REQUESTS {
        let now = PERIOD * i as u32;
        figures.fresh += 1;
        let before = figures.attempts;
        let mut made = 0;
        for _ in 0..=RETURNS {
            let router = rng.random_range(0..ROUTERS);
            let carried = if bound == Bound::PerHop || bound == Bound::Unbounded { 0 } else { made };
            let mut at = Router { bound, now, budget: &mut budgets[router], avoid: &mut avoids[router] };
            if at.serve(carried, &mut made, &mut figures, &mut rng) {
                figures.answered += 1;
                break;
            }
        }
        figures.max_attempts = figures.max_attempts.max(figures.attempts - before);
        // Every request costs one attempt at least in the account, also one that was refused.
        figures.attempts = figures.attempts.max(before + 1);
    }
    figures
}

struct Router<'a> {
    bound: Bound,
    now: Duration,
    budget: &'a mut RetryBudget,
    avoid: &'a mut Cooldowns,
}

impl Router<'_> {
    fn serve(&mut self, carried: u32, made: &mut u32, figures: &mut Figures, rng: &mut ChaCha8Rng) -> bool {
        let mut endless = RetryBudget::new(0.0, u32::MAX);
        let bounded = matches!(self.bound, Bound::Budget | Bound::Cooldown);
        let budget = if bounded { &mut *self.budget } else { &mut endless };
        let limit = if self.bound == Bound::Unbounded { u32::MAX } else { 3 };
        let policy = RetryPolicy::default().with_attempts(limit);
        let deadline = self.now + DEADLINE;
        let Ok(mut attempts) = Attempts::begin(&policy, budget, carried, true, deadline) else {
            return false;
        };
        let mut tried = Vec::new();
        loop {
            let avoid = if self.bound == Bound::Cooldown { self.avoid.active(self.now) } else { Vec::new() };
            let engine = pick(self.bound, &tried, &avoid, rng);
            tried.push(engine);
            attempts.record_start();
            figures.attempts += 1;
            *made = attempts.made();
            if engine >= FAILING {
                self.avoid.record_success(id(engine));
                return true;
            }
            self.avoid.record_failure(self.now, id(engine));
            if attempts.record_failure(&policy, budget, self.now, RetryReason::ConnectFailed, rng).is_err() {
                return false;
            }
        }
    }
}

fn id(engine: usize) -> Id {
    Id(engine as u64 + 1)
}

fn pick(bound: Bound, tried: &[usize], avoid: &[Id], rng: &mut ChaCha8Rng) -> usize {
    loop {
        let engine = rng.random_range(0..ENGINES);
        let free = !tried.contains(&engine) && !avoid.contains(&id(engine));
        if bound == Bound::Unbounded || free {
            return engine;
        }
    }
}
