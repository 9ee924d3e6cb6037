//! Orders to engines: pools converge step by step, and no order is sent by a holder whose lease has expired.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cranberrytally::{
    lease::{Fencing, Held},
    order::{DesiredState, EngineOrder, LeaseGuard, ORDER_TIMEOUT, Planner, ReportedState},
    schema::engine::Order,
    util::Instant,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

#[allow(dead_code, reason = "the lease tests use the rest")]
#[path = "support/leases.rs"]
mod leases;

use leases::{LeaseStore, Process, TTL};

const STEP: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

/// An engine that checks fencing tokens or ignores them.
#[derive(Default)]
struct Engine {
    checks: bool,
    highest: Fencing,
    state: Order,
    /// Orders that took effect, with the fencing token under which they were sent.
    accepted: Vec<Fencing>,
    refused: usize,
}

impl Engine {
    fn order(&mut self, order: &Order, fencing: Fencing) {
        if self.checks && fencing < self.highest {
            self.refused += 1;
            return;
        }
        self.highest = self.highest.max(fencing);
        self.accepted.push(fencing);
        let role = if order.role.is_empty() { self.state.role.clone() } else { order.role.clone() };
        self.state = Order { role, ..order.clone() };
    }

    fn report(&self) -> ReportedState {
        let names = |list: &[String]| list.iter().map(|s| s.as_str().into()).collect();
        ReportedState {
            models: names(&self.state.models),
            adapters: names(&self.state.adapters),
            role: self.state.role.as_str().into(),
        }
    }
}

fn names(list: &[&str]) -> std::collections::BTreeSet<Arc<str>> {
    list.iter().map(|s| (*s).into()).collect()
}

fn desired(models: &[&str]) -> DesiredState {
    DesiredState { models: names(models), ..DesiredState::default() }
}

fn engine_order(name: &str) -> EngineOrder {
    EngineOrder { engine: name.into(), order: Order { models: vec![name.into()], ..Order::default() } }
}

/// Runs both processes until the first of them holds the lease; returns the time and which one.
fn until_held(all: &mut [Process], shelf: &mut LeaseStore, mut now: Instant) -> (Instant, usize) {
    loop {
        now += STEP;
        for p in all.iter_mut() {
            p.step(now, shelf, STEP, 0.0);
        }
        let holder = all.iter_mut().position(|p| p.paused_until <= now && p.fencing(now).is_some());
        if let Some(holder) = holder {
            return (now, holder);
        }
    }
}

fn fence(p: &mut Process, guard: LeaseGuard, now: Instant, name: &str) -> Option<(Fencing, Order)> {
    let clock = p.clock(now);
    let held: &mut Held = p.driver.held()?;
    let fenced = guard.fence(clock, held, engine_order(name))?;
    Some((fenced.fencing(), fenced.engine_order().order.clone()))
}

struct Pause {
    now: Instant,
    shelf: LeaseStore,
    old: Process,
    new: Process,
    /// An order that the old holder had fenced just before it was paused.
    fenced: (Fencing, Order),
}

/// The old holder fences an order and is paused before it sends it; another router acquires the lease.
fn paused_holder(guard: LeaseGuard) -> Pause {
    let start = Duration::from_secs(100);
    let mut shelf = LeaseStore::default();
    let mut all = vec![Process::new("old", 1, start)];
    let (mut now, _) = until_held(&mut all, &mut shelf, start);
    // If engines ignore the number, a new holder waits until the last order of the previous holder has timed out.
    now += ORDER_TIMEOUT * 2;
    all[0].step(now, &mut shelf, STEP, 0.0);
    all[0].step(now + STEP, &mut shelf, STEP, 0.0);
    all[0].step(now + STEP * 3, &mut shelf, STEP, 0.0);
    now += STEP * 3;
    let fenced = fence(&mut all[0], guard, now, "late").expect("the lease is held");
    all[0].paused_until = now + TTL * 10;
    all.push(Process::new("new", 2, now));
    let (now, holder) = until_held(&mut all, &mut shelf, now);
    assert_eq!(holder, 1);
    let new = all.remove(1);
    Pause { now, shelf, old: all.remove(0), new, fenced }
}

/// A holder is paused between its lease check and the send, and sends after another router has taken over. Without
/// fencing, a model that the new holder has unloaded would be loaded again. The engine refuses the old number.
#[test]
fn an_engine_that_checks_fencing_refuses_a_paused_holder() {
    let guard = LeaseGuard::new(true);
    let Pause { now, mut old, mut new, fenced, .. } = paused_holder(guard);
    let mut engine = Engine { checks: true, ..Engine::default() };

    let (fencing, order) = fence(&mut new, guard, now, "new").expect("the new holder may act at once");
    engine.order(&order, fencing);
    engine.order(&fenced.1, fenced.0);

    assert_eq!((engine.accepted.as_slice(), engine.refused), ([fencing].as_slice(), 1));
    assert_eq!(engine.state.models, ["new"]);
    assert_eq!(fence(&mut old, guard, now, "again"), None, "the old holder can't fence another order");
}

/// The same with engines that ignore the number. The old holder can't fence an order after its pause. The new one waits
/// until an order fenced before the pause has timed out, so the two are never in flight together.
#[test]
fn a_paused_holder_sends_nothing_to_an_engine_that_ignores_fencing() {
    let guard = LeaseGuard::new(false);
    let Pause { now, mut shelf, mut old, mut new, .. } = paused_holder(guard);

    assert_eq!(fence(&mut old, guard, now, "again"), None);
    assert_eq!(fence(&mut new, guard, now, "new"), None, "it waits for the old holder's order to time out");
    let mut time = now;
    while fence(&mut new, guard, time, "new").is_none() {
        assert!(time < now + TTL, "the new holder never sends an order");
        time += STEP;
        new.step(time, &mut shelf, STEP, 0.0);
    }

    assert!(time >= now + ORDER_TIMEOUT + SECOND * 2 - STEP * 2, "{:?}", time - now);
    old.paused_until = time;
    old.step(time, &mut shelf, STEP, 0.0);
    assert_eq!(fence(&mut old, guard, time, "again"), None);
}

/// An order is fenced only if the lease outlasts the order's timeout. Sent at the very end of a lease, it would take effect
/// under the next holder.
#[test]
fn no_order_is_fenced_near_the_end_of_a_lease() {
    let start = Duration::from_secs(100);
    let mut shelf = LeaseStore::default();
    let mut all = vec![Process::new("a", 1, start)];
    let (now, _) = until_held(&mut all, &mut shelf, start);

    let times: Vec<_> = (0..100)
        .map(|i| now + STEP * i)
        .filter(|t| fence(&mut all[0], LeaseGuard::new(true), *t, "x").is_some())
        .collect();

    let last = times.last().expect("some are fenced");
    assert!(*last + ORDER_TIMEOUT <= now + TTL, "{last:?}");
}

/// Three routers compete for ten minutes. Calls to the platform are slow or lost, processes pause for up to 30 s, and an
/// order is sent up to 2 s after the lease check and takes up to 3 s more. With engines that ignore fencing tokens, only
/// the guard prevents an old holder's order from arriving after a new holder's.
#[test]
fn orders_of_two_holders_never_cross_at_an_engine_that_ignores_fencing() {
    let guard = LeaseGuard::new(false);
    let (mut orders, mut holders) = (0, 0);
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut shelf = LeaseStore::default();
        let start = Duration::from_secs(1000);
        let mut all: Vec<_> =
            (0..3).map(|i| Process::new(&format!("router-{i}"), seed * 10 + i, start)).collect();
        for p in &mut all {
            p.clock_speed = rng.random_range(0.98..1.02);
        }
        let (mut in_flight, mut engine) = (Vec::new(), Engine::default());
        for step in 0..6000 {
            let now = start + STEP * step;
            for p in &mut all {
                if rng.random_bool(0.002) {
                    p.paused_until = now + SECOND * rng.random_range(1..30);
                }
                p.step(now, &mut shelf, SECOND, 0.1);
                if p.paused_until <= now
                    && let Some((fencing, order)) = fence(p, guard, now, "x")
                {
                    let latest = SECOND * 2 + ORDER_TIMEOUT;
                    in_flight.push((now + latest.mul_f64(rng.random()), fencing, order));
                }
            }
            in_flight.retain(|(at, fencing, order)| {
                if *at <= now {
                    engine.order(order, *fencing);
                }
                *at > now
            });
        }
        let out_of_order = engine.accepted.windows(2).find(|w| w[0] > w[1]);
        assert_eq!(out_of_order, None, "seed {seed}");
        orders += engine.accepted.len();
        holders += engine.accepted.windows(2).filter(|w| w[0] != w[1]).count();
    }
    assert!(orders > 50_000 && holders > 60, "{orders} orders, {holders} changes of holder");
}

struct Pool {
    planner: Planner,
    engines: BTreeMap<String, Engine>,
    rng: StdRng,
    now: Instant,
    /// Maximum number of orders sent at once.
    max_at_once: usize,
    orders: usize,
    without_model: usize,
}

impl Pool {
    fn new(size: usize, loads_per_minute: f64) -> Self {
        let engine = || Engine {
            state: Order { models: vec!["m@1".into()], ..Order::default() },
            ..Engine::default()
        };
        let engines = (0..size).map(|i| (format!("engine-{i}"), engine())).collect();
        let planner = Planner::new(loads_per_minute);
        let rng = StdRng::seed_from_u64(5);
        Self {
            planner,
            engines,
            rng,
            now: Duration::from_secs(50),
            max_at_once: 0,
            orders: 0,
            without_model: 0,
        }
    }

    fn set_models(&mut self, models: &[&str]) {
        let engines: Vec<_> = self.engines.keys().map(|n| n.as_str().into()).collect();
        self.planner.set_desired(desired(models), engines);
    }

    /// Runs until the engines report the desired state; returns the time taken.
    fn converge(&mut self, lossy: bool) -> Duration {
        let start = self.now;
        for second in 0..7200 {
            self.now += SECOND;
            for (name, engine) in &self.engines {
                self.planner.observe(self.now, name, engine.report());
                self.without_model += usize::from(engine.state.models.is_empty());
            }
            if self.planner.diverged(self.now).is_empty() {
                return self.now - start;
            }
            let orders = self.planner.next_orders(self.now, &mut self.rng);
            self.max_at_once = self.max_at_once.max(orders.len());
            for EngineOrder { engine, order } in orders {
                self.orders += 1;
                if lossy && (second + self.orders).is_multiple_of(3) {
                    self.planner.note_failure(self.now, &engine, &mut self.rng);
                    continue;
                }
                self.engines.get_mut(&*engine).expect("an engine").order(&order, 1);
            }
        }
        panic!("never converged: {:?}", self.planner.diverged(self.now));
    }
}

/// A pool gets a new version of a model. If all engines loaded it at once, the weight store would refuse most of them. If
/// they unloaded the old version first, chats would have no engine meanwhile.
#[test]
fn a_new_version_is_loaded_within_the_weight_stores_rate() {
    let mut pool = Pool::new(9, 6.0);
    pool.set_models(&["m@2"]);

    let took = pool.converge(false);

    assert!(took >= SECOND * 80, "9 loads at 6 a minute in {took:?}");
    assert_eq!((pool.without_model, pool.orders), (0, 18));
    assert!(pool.max_at_once <= 3);
    assert!(pool.engines.values().all(|e| e.state.models == ["m@2"]));
}

/// A third of the orders is lost. Only the engines' reports count, so lost orders are sent again until they take effect.
#[test]
fn lost_orders_are_sent_again() {
    let mut pool = Pool::new(8, 60.0);
    pool.set_models(&["m@1", "n@1"]);

    pool.converge(true);

    assert!(pool.orders > 8);
    assert!(pool.engines.values().all(|e| e.state.models.len() == 2));
}

/// An engine accepts an order but never applies it, for example because the weights are corrupt. The order is repeated
/// with exponential backoff and does not block other engines.
#[test]
fn an_engine_that_never_converges() {
    let mut planner = Planner::new(600.0);
    let mut rng = StdRng::seed_from_u64(1);
    planner.set_desired(desired(&["m@2"]), ["a".into(), "b".into()]);
    let mut sent = Vec::new();
    for second in 0..3600 {
        let now = SECOND * (100 + second);
        planner.observe(now, "a", ReportedState { models: names(&["m@1"]), ..ReportedState::default() });
        planner.observe(now, "b", ReportedState { models: names(&["m@1"]), ..ReportedState::default() });
        sent.extend(planner.next_orders(now, &mut rng).into_iter().map(|c| (second, c.engine)));
    }

    let to = |name: &str| sent.iter().filter(|(_, e)| &**e == name).count();
    assert!((10..60).contains(&to("a")), "{}", to("a"));
    assert!((10..60).contains(&to("b")), "{}", to("b"));
}

/// A pool that specifies no models leaves them unchanged. Treated as "none", this would unload the models of every engine.
#[test]
fn an_unspecified_state_changes_nothing() {
    let mut pool = Pool::new(3, 60.0);
    pool.set_models(&[]);

    pool.converge(false);

    assert_eq!(pool.orders, 0);
}
