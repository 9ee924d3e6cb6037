//! Chooses the next order for each engine of a pool.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::Rng;

use crate::{
    objects::{backoff::Backoff, bucket::TokenBucket},
    schema::engine::{Load, Order},
    util::{Instant, Map},
};

/// Time for an engine to apply an order before it is sent again.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF: Duration = Duration::from_secs(120);
/// At most one in this many engines of a pool has an order in progress at once, rounded up.
const CHANGING_ENGINES_DIVISOR: usize = 4;
/// Age above which a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(30);

type Names = BTreeSet<Arc<str>>;

/// State that a pool's specification asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Models, with their versions, that each engine should have loaded; empty leaves them unchanged.
    pub models: Names,
    /// Adapters that each engine should have loaded; empty leaves them unchanged.
    pub adapters: Names,
    /// Role that each engine should have; empty leaves it unchanged.
    pub role: Arc<str>,
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportedState {
    /// Loaded models.
    pub models: Names,
    /// Loaded adapters.
    pub adapters: Names,
    /// Role.
    pub role: Arc<str>,
}

impl From<&Load> for ReportedState {
    fn from(load: &Load) -> Self {
        let names = |list: &[String]| list.iter().map(|s| s.as_str().into()).collect();
        Self { models: names(&load.models), adapters: names(&load.adapters), role: load.role.as_str().into() }
    }
}

/// An order for one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// State that the engine should have after this order.
    pub order: Order,
}

#[derive(Debug)]
struct Engine {
    report: Option<(Instant, ReportedState)>,
    /// Order in progress, and the time until which its effect is awaited.
    pending: Option<(Order, Instant)>,
    next_order_at: Instant,
    backoff: Backoff,
}

impl Engine {
    fn new() -> Self {
        Self {
            report: None,
            pending: None,
            next_order_at: Instant::ZERO,
            backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
        }
    }
}

/// Reconciles the engines of one pool with its desired state.
#[derive(Debug)]
pub struct Planner {
    desired: DesiredState,
    engines: Map<Arc<str>, Engine>,
    load_rate: TokenBucket,
}

impl Planner {
    /// Creates a planner whose engines load at most `loads_per_minute` models and adapters from the weight store.
    pub fn new(loads_per_minute: f64) -> Self {
        Self {
            desired: DesiredState::default(),
            engines: Map::default(),
            load_rate: TokenBucket::new(loads_per_minute / 60.0, 1.0),
        }
    }

    /// Sets the desired state and the engines of the pool.
    pub fn set_desired(&mut self, desired: DesiredState, engines: impl IntoIterator<Item = Arc<str>>) {
        if desired != self.desired {
            // Orders in progress are for the old state; their effect is not awaited.
            for engine in self.engines.values_mut() {
                engine.pending = None;
                engine.next_order_at = Instant::ZERO;
                engine.backoff.reset();
            }
            self.desired = desired;
        }
        let mut old = std::mem::take(&mut self.engines);
        self.engines = engines
            .into_iter()
            .map(|name| (name.clone(), old.remove(&name).unwrap_or_else(Engine::new)))
            .collect();
    }

    /// Sets this pool's share of the weight store's load rate.
    pub fn set_load_rate(&mut self, now: Instant, loads_per_minute: f64) {
        self.load_rate.set_rate(now, loads_per_minute / 60.0, 1.0);
    }

    /// Applies an engine's report.
    pub fn observe(&mut self, now: Instant, name: &str, report: ReportedState) {
        let Some(engine) = self.engines.get_mut(name) else { return };
        let converged = engine.pending.as_ref().is_some_and(|(order, _)| is_converged(order, &report));
        if converged {
            engine.pending = None;
            engine.next_order_at = now;
            engine.backoff.reset();
        }
        engine.report = Some((now, report));
    }

    /// Names of the engines that do not report the desired state or have no current report.
    pub fn diverged(&self, now: Instant) -> Vec<Arc<str>> {
        let differs =
            |e: &Engine| e.current_report(now).is_none_or(|r| next_order(&self.desired, r).is_some());
        let mut names: Vec<_> =
            self.engines.iter().filter(|(_, e)| differs(e)).map(|(n, _)| n.clone()).collect();
        names.sort();
        names
    }

    /// Returns the orders to send now.
    pub fn next_orders(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<EngineOrder> {
        let max_changing = self.engines.len().div_ceil(CHANGING_ENGINES_DIVISOR);
        self.expire_pending(now, rng);
        let mut changing = self.engines.values().filter(|e| e.pending.is_some()).count();
        let mut names: Vec<_> = self.engines.keys().cloned().collect();
        names.sort();
        let mut orders = Vec::new();
        for name in names {
            if changing >= max_changing {
                break;
            }
            if let Some(order) = self.order_for(now, &name) {
                changing += 1;
                orders.push(EngineOrder { engine: name, order });
            }
        }
        orders
    }

    /// Next order for an engine, if it may get one now.
    fn order_for(&mut self, now: Instant, name: &str) -> Option<Order> {
        let engine = self.engines.get_mut(name)?;
        if engine.pending.is_some() || now < engine.next_order_at {
            return None;
        }
        let report = engine.current_report(now)?;
        let order = next_order(&self.desired, report)?;
        if count_loads(&order, report) > 0 {
            // Loads are limited to the weight store's rate.
            self.load_rate.take(now).ok()?;
        }
        engine.pending = Some((order.clone(), now + CONVERGENCE_TIMEOUT));
        Some(order)
    }

    /// Drops orders whose effect was not reported in time, so that they are sent again after a backoff.
    fn expire_pending(&mut self, now: Instant, rng: &mut impl Rng) {
        for engine in self.engines.values_mut() {
            if engine.pending.as_ref().is_some_and(|(_, until)| now >= *until) {
                engine.pending = None;
                engine.next_order_at = now + engine.backoff.next_delay(rng);
            }
        }
    }

    /// Records that an order was not sent or not accepted; it is sent again after a backoff.
    pub fn note_failure(&mut self, now: Instant, name: &str, rng: &mut impl Rng) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.pending = None;
            engine.next_order_at = now + engine.backoff.next_delay(rng);
        }
    }
}

impl Engine {
    /// Last report, unless it is older than [`MAX_REPORT_AGE`].
    fn current_report(&self, now: Instant) -> Option<&ReportedState> {
        self.report.as_ref().filter(|(at, _)| now.saturating_sub(*at) <= MAX_REPORT_AGE).map(|(_, r)| r)
    }
}

/// Next step from the reported to the desired state; `None` if they agree.
///
/// Each step loads one model or adapter, so that loads can be rate-limited. Surplus ones are removed only after all
/// desired ones are loaded, so that an engine is never without a model.
fn next_order(desired: &DesiredState, report: &ReportedState) -> Option<Order> {
    let role_differs = !desired.role.is_empty() && desired.role != report.role;
    let missing_model = desired.models.iter().find(|m| !report.models.contains(*m));
    let missing_adapter = desired.adapters.iter().find(|a| !report.adapters.contains(*a));
    let extra = |want: &Names, have: &Names| !want.is_empty() && have.iter().any(|n| !want.contains(n));
    let extras = extra(&desired.models, &report.models) || extra(&desired.adapters, &report.adapters);
    if !role_differs && missing_model.is_none() && missing_adapter.is_none() && !extras {
        return None;
    }
    let names_with =
        |have: &Names, one: Option<&Arc<str>>| have.iter().chain(one).map(ToString::to_string).collect();
    let role = desired.role.to_string();
    if let Some(model) = missing_model {
        return Some(Order {
            models: names_with(&report.models, Some(model)),
            adapters: names_with(&report.adapters, None),
            role,
        });
    }
    if let Some(adapter) = missing_adapter {
        return Some(Order {
            models: names_with(&report.models, None),
            adapters: names_with(&report.adapters, Some(adapter)),
            role,
        });
    }
    let target = |want: &Names, have: &Names| {
        if want.is_empty() { names_with(have, None) } else { names_with(want, None) }
    };
    Some(Order {
        models: target(&desired.models, &report.models),
        adapters: target(&desired.adapters, &report.adapters),
        role,
    })
}

/// Number of models and adapters that an order makes the engine load.
fn count_loads(order: &Order, report: &ReportedState) -> usize {
    let new = |want: &[String], have: &Names| want.iter().filter(|n| !have.contains(n.as_str())).count();
    new(&order.models, &report.models) + new(&order.adapters, &report.adapters)
}

/// Whether a report shows the state that an order asked for.
fn is_converged(order: &Order, report: &ReportedState) -> bool {
    let same = |want: &[String], have: &Names| {
        want.len() == have.len() && want.iter().all(|n| have.contains(n.as_str()))
    };
    same(&order.models, &report.models)
        && same(&order.adapters, &report.adapters)
        && (order.role.is_empty() || *order.role == *report.role)
}
