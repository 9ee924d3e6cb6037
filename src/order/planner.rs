//! Decides which order each engine of a pool gets next.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::Rng;

use crate::{
    objects::{backoff::Backoff, bucket::Bucket},
    schema::engine::{Load, Order},
    util::{Instant, Map},
};

/// Longest time in which an engine is expected to bring an order about before it is sent again.
const SETTLE: Duration = Duration::from_secs(60);
const RETRY: Duration = Duration::from_secs(2);
const RETRY_MAX: Duration = Duration::from_secs(120);
/// At most this share of a pool's engines changes at once.
const CHANGING_SHARE: usize = 4;
/// A report older than this proves nothing.
const FRESH: Duration = Duration::from_secs(30);

type Names = BTreeSet<Arc<str>>;

/// What a pool states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Intent {
    /// Models, with their versions, that each engine shall hold; empty leaves them as they are.
    pub models: Names,
    /// Adapters that each engine shall hold; empty leaves them as they are.
    pub adapters: Names,
    /// Role that each engine shall have; empty leaves it as it is.
    pub role: Arc<str>,
}

/// What an engine reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Models that are loaded.
    pub models: Names,
    /// Adapters that are loaded.
    pub adapters: Names,
    /// Role.
    pub role: Arc<str>,
}

impl From<&Load> for Report {
    fn from(load: &Load) -> Self {
        let names = |list: &[String]| list.iter().map(|s| s.as_str().into()).collect();
        Self { models: names(&load.models), adapters: names(&load.adapters), role: load.role.as_str().into() }
    }
}

/// An order for one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Engine that shall get it.
    pub engine: Arc<str>,
    /// State that the engine shall have.
    pub order: Order,
}

#[derive(Debug)]
struct Engine {
    report: Option<(Instant, Report)>,
    /// Order under way, until when its effect is waited for.
    pending: Option<(Order, Instant)>,
    next: Instant,
    backoff: Backoff,
}

impl Engine {
    fn new() -> Self {
        Self { report: None, pending: None, next: Instant::ZERO, backoff: Backoff::new(RETRY, RETRY_MAX) }
    }
}

/// Orders of one pool.
#[derive(Debug)]
pub struct Planner {
    intent: Intent,
    engines: Map<Arc<str>, Engine>,
    loads: Bucket,
}

impl Planner {
    /// Planner whose engines load at most `loads_per_minute` models and adapters from the weight store.
    pub fn new(loads_per_minute: f64) -> Self {
        Self {
            intent: Intent::default(),
            engines: Map::default(),
            loads: Bucket::new(loads_per_minute / 60.0, 1.0),
        }
    }

    /// Sets what the pool states and its engines.
    pub fn set_intent(&mut self, intent: Intent, engines: impl IntoIterator<Item = Arc<str>>) {
        if intent != self.intent {
            // What is under way is for the old intent; its effect is not waited for.
            for engine in self.engines.values_mut() {
                engine.pending = None;
                engine.next = Instant::ZERO;
                engine.backoff.reset();
            }
            self.intent = intent;
        }
        let mut old = std::mem::take(&mut self.engines);
        self.engines = engines
            .into_iter()
            .map(|name| (name.clone(), old.remove(&name).unwrap_or_else(Engine::new)))
            .collect();
    }

    /// Sets the share of the weight store's rate.
    pub fn set_rate(&mut self, now: Instant, loads_per_minute: f64) {
        self.loads.set_rate(now, loads_per_minute / 60.0, 1.0);
    }

    /// Notes what an engine reports.
    pub fn report(&mut self, now: Instant, name: &str, report: Report) {
        let Some(engine) = self.engines.get_mut(name) else { return };
        let settled = engine.pending.as_ref().is_some_and(|(order, _)| reached(order, &report));
        if settled {
            engine.pending = None;
            engine.next = now;
            engine.backoff.reset();
        }
        engine.report = Some((now, report));
    }

    /// Engines that do not yet report what the pool states, or don't report.
    pub fn behind(&self, now: Instant) -> Vec<Arc<str>> {
        let differs = |e: &Engine| e.fresh(now).is_none_or(|r| next_order(&self.intent, r).is_some());
        let mut names: Vec<_> =
            self.engines.iter().filter(|(_, e)| differs(e)).map(|(n, _)| n.clone()).collect();
        names.sort();
        names
    }

    /// The orders to send now.
    pub fn next(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Command> {
        let most = self.engines.len().div_ceil(CHANGING_SHARE);
        self.expire(now, rng);
        let mut changing = self.engines.values().filter(|e| e.pending.is_some()).count();
        let mut names: Vec<_> = self.engines.keys().cloned().collect();
        names.sort();
        let mut commands = Vec::new();
        for name in names {
            if changing >= most {
                break;
            }
            if let Some(order) = self.order_for(now, &name) {
                changing += 1;
                commands.push(Command { engine: name, order });
            }
        }
        commands
    }

    fn order_for(&mut self, now: Instant, name: &str) -> Option<Order> {
        let engine = self.engines.get_mut(name)?;
        if engine.pending.is_some() || now < engine.next {
            return None;
        }
        let report = engine.fresh(now)?;
        let order = next_order(&self.intent, report)?;
        if loads(&order, report) > 0 {
            // Loads are spread within the weight store's rate.
            self.loads.take(now).ok()?;
        }
        engine.pending = Some((order.clone(), now + SETTLE));
        Some(order)
    }

    /// Gives up on orders whose effect did not show, so that they are sent again.
    fn expire(&mut self, now: Instant, rng: &mut impl Rng) {
        for engine in self.engines.values_mut() {
            if engine.pending.as_ref().is_some_and(|(_, until)| now >= *until) {
                engine.pending = None;
                engine.next = now + engine.backoff.wait(rng);
            }
        }
    }

    /// Notes that an order was not sent or not taken.
    pub fn failed(&mut self, now: Instant, name: &str, rng: &mut impl Rng) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.pending = None;
            engine.next = now + engine.backoff.wait(rng);
        }
    }
}

impl Engine {
    fn fresh(&self, now: Instant) -> Option<&Report> {
        self.report.as_ref().filter(|(at, _)| now.saturating_sub(*at) <= FRESH).map(|(_, r)| r)
    }
}

/// The next step from what an engine reports to what the pool states; `None` when they agree.
///
/// One load a step, so that loads can be spread; what is not wanted goes only after all that is wanted is there, so
/// that an engine never stands without a model.
fn next_order(intent: &Intent, report: &Report) -> Option<Order> {
    let role_differs = !intent.role.is_empty() && intent.role != report.role;
    let missing_model = intent.models.iter().find(|m| !report.models.contains(*m));
    let missing_adapter = intent.adapters.iter().find(|a| !report.adapters.contains(*a));
    let extra = |want: &Names, have: &Names| !want.is_empty() && have.iter().any(|n| !want.contains(n));
    let extras = extra(&intent.models, &report.models) || extra(&intent.adapters, &report.adapters);
    if !role_differs && missing_model.is_none() && missing_adapter.is_none() && !extras {
        return None;
    }
    let grown =
        |have: &Names, one: Option<&Arc<str>>| have.iter().chain(one).map(ToString::to_string).collect();
    let role = intent.role.to_string();
    if let Some(model) = missing_model {
        return Some(Order {
            models: grown(&report.models, Some(model)),
            adapters: grown(&report.adapters, None),
            role,
        });
    }
    if let Some(adapter) = missing_adapter {
        return Some(Order {
            models: grown(&report.models, None),
            adapters: grown(&report.adapters, Some(adapter)),
            role,
        });
    }
    let wanted =
        |want: &Names, have: &Names| if want.is_empty() { grown(have, None) } else { grown(want, None) };
    Some(Order {
        models: wanted(&intent.models, &report.models),
        adapters: wanted(&intent.adapters, &report.adapters),
        role,
    })
}

fn loads(order: &Order, report: &Report) -> usize {
    let new = |want: &[String], have: &Names| want.iter().filter(|n| !have.contains(n.as_str())).count();
    new(&order.models, &report.models) + new(&order.adapters, &report.adapters)
}

fn reached(order: &Order, report: &Report) -> bool {
    let same = |want: &[String], have: &Names| {
        want.len() == have.len() && want.iter().all(|n| have.contains(n.as_str()))
    };
    same(&order.models, &report.models)
        && same(&order.adapters, &report.adapters)
        && (order.role.is_empty() || *order.role == *report.role)
}
