//! Simulation of retries while 30% of the engines fail, with and without the retry budget.

use std::time::Duration;

use cranberrytally::{
    catalog::Id,
    retry::{Attempts, Cooldowns, RetryBudget, RetryPolicy, RetryReason},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of routers that share the fleet.
pub const ROUTERS: usize = 8;
/// Retries that the budget allows per fresh request.
pub const RETRY_RATIO: f64 = 0.1;
/// Number of retries that a router's budget allows in a burst.
pub const RETRY_BURST: u32 = 10;
/// Number of engines.
const ENGINE_COUNT: usize = 20;
/// Number of engines that refuse connections.
const FAILING_ENGINES: usize = 6;
/// Number of fresh requests in a run.
const REQUEST_COUNT: usize = 100_000;
/// Number of times that a caller resends a refused request.
const CALLER_RETRIES: usize = 3;
/// Time between two fresh requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// Time from an attempt's start to the request's deadline.
const DEADLINE: Duration = Duration::from_secs(10);

/// How retries are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Attempts at any engine, also repeatedly, until one answers; callers resend as well.
    Unbounded,
    /// An attempt limit at each hop, which is reset when the caller resends.
    PerHop,
    /// One attempt limit across all hops, without a budget.
    GlobalLimit,
    /// One attempt limit across all hops, and the budget.
    Budget,
    /// The retry policy: both, and a router avoids engines that it could not reach recently.
    Cooldown,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Number of fresh requests.
    pub fresh: u64,
    /// Number of attempts at engines, at least one per request.
    pub attempts: u64,
    /// Number of requests that were answered.
    pub answered: u64,
    /// Largest number of attempts for one request.
    pub max_attempts: u64,
}

impl Figures {
    /// Number of attempts beyond one per request.
    pub fn extra(&self) -> u64 {
        self.attempts - self.fresh
    }
}

/// Sends all requests while 30% of the engines refuse connections, which no router knows at first.
pub fn run(bound: Bound, seed: u64) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets = [RetryBudget::new(RETRY_RATIO, RETRY_BURST); ROUTERS];
    let mut cooldowns = vec![Cooldowns::default(); ROUTERS];
    let mut figures = Figures::default();
    for i in 0..REQUEST_COUNT {
        let now = REQUEST_INTERVAL * i as u32;
        figures.fresh += 1;
        let before = figures.attempts;
        let mut attempts_made = 0;
        for _ in 0..=CALLER_RETRIES {
            let router = rng.random_range(0..ROUTERS);
            let prior_attempts =
                if bound == Bound::PerHop || bound == Bound::Unbounded { 0 } else { attempts_made };
            let mut handler =
                Router { bound, now, budget: &mut budgets[router], cooling_down: &mut cooldowns[router] };
            if handler.serve(prior_attempts, &mut attempts_made, &mut figures, &mut rng) {
                figures.answered += 1;
                break;
            }
        }
        figures.max_attempts = figures.max_attempts.max(figures.attempts - before);
        // Count at least one attempt per request, even if it was refused without any.
        figures.attempts = figures.attempts.max(before + 1);
    }
    figures
}

/// A router that handles one request.
struct Router<'a> {
    bound: Bound,
    now: Duration,
    budget: &'a mut RetryBudget,
    cooling_down: &'a mut Cooldowns,
}

impl Router<'_> {
    /// Makes attempts until one succeeds or the bound is reached; returns whether the request was answered.
    fn serve(
        &mut self,
        prior_attempts: u32,
        attempts_made: &mut u32,
        figures: &mut Figures,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let mut unlimited = RetryBudget::new(0.0, u32::MAX);
        let has_budget = matches!(self.bound, Bound::Budget | Bound::Cooldown);
        let budget = if has_budget { &mut *self.budget } else { &mut unlimited };
        let limit = if self.bound == Bound::Unbounded { u32::MAX } else { 3 };
        let policy = RetryPolicy::default().with_attempts(limit);
        let deadline = self.now + DEADLINE;
        let Ok(mut attempts) = Attempts::begin(&policy, budget, prior_attempts, true, deadline) else {
            return false;
        };
        let mut tried = Vec::new();
        loop {
            let cooling_down =
                if self.bound == Bound::Cooldown { self.cooling_down.active(self.now) } else { Vec::new() };
            let engine = pick_engine(self.bound, &tried, &cooling_down, rng);
            tried.push(engine);
            attempts.record_start();
            figures.attempts += 1;
            *attempts_made = attempts.made();
            if engine >= FAILING_ENGINES {
                self.cooling_down.record_success(id(engine));
                return true;
            }
            self.cooling_down.record_failure(self.now, id(engine));
            if attempts.record_failure(&policy, budget, self.now, RetryReason::ConnectFailed, rng).is_err() {
                return false;
            }
        }
    }
}

fn id(engine: usize) -> Id {
    Id(engine as u64 + 1)
}

/// Picks a random engine; unless unbounded, one that was not tried and is not cooling down.
fn pick_engine(bound: Bound, tried: &[usize], cooling_down: &[Id], rng: &mut ChaCha8Rng) -> usize {
    loop {
        let engine = rng.random_range(0..ENGINE_COUNT);
        let is_candidate = !tried.contains(&engine) && !cooling_down.contains(&id(engine));
        if bound == Bound::Unbounded || is_candidate {
            return engine;
        }
    }
}
