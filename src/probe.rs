//! Liveness and load of engines: each is probed by a few routers of its data centre, which share their findings.
//!
//! A finding of one router alone never takes an engine away from the rest; a first sign that it leaves does.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    member::Budget,
    schema::membership::{self as raw, EngineEvent},
    util::{Instant, Map, hash},
};

mod entry;
mod finding;
mod report;
mod schedule;

pub use entry::EngineView;
use entry::Entry;
pub use finding::{Finding, State};

/// Routers that probe one engine: two of three outvote one that can't reach it.
pub const PROBERS: usize = 3;
/// Bytes of one probe on the wire, headers of TCP and IP included; `tests/probe.rs` checks it.
pub const PROBE_WIRE_BYTES: usize = 440;
/// How long a sign of leaving from a router that doesn't probe the engine counts.
const SIGN_TIME: Duration = Duration::from_secs(30);

/// An engine as the configuration and the platform's list describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Name.
    pub name: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: Arc<str>,
    /// Whether an operator's label or the platform's list says that it leaves.
    pub leaving: bool,
}

/// What a probe or a dispatch saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The engine answered.
    Answer {
        /// Identifies the engine's start.
        start: u64,
        /// Requests in progress.
        running: u32,
        /// Whether it says that it leaves.
        leaving: bool,
    },
    /// The engine could not be reached.
    Unreachable,
}

/// How often and how much to probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeConfig {
    /// Time between probes of an engine by one router, if the budget allows.
    pub period: Duration,
    /// Time until a failed probe is repeated.
    pub retry: Duration,
    /// Failed probes in a row before an engine counts as down.
    pub failures: u32,
    /// Bytes that probes may cost in any one second.
    pub bytes_per_second: usize,
}

impl Default for ProbeConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(7),
            retry: Duration::from_millis(500),
            failures: 2,
            bytes_per_second: 8_000,
        }
    }
}

/// A probe to be made now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Engine.
    pub engine: Arc<str>,
    /// Where to ask.
    pub addr: SocketAddr,
}

/// All engines as one router sees them.
#[derive(Debug)]
pub struct EngineTable {
    me: Arc<str>,
    data_centre: Arc<str>,
    cfg: ProbeConfig,
    budget: Budget,
    entries: Map<u32, Entry>,
    by_name: Map<Arc<str>, u32>,
    probers: Vec<Arc<str>>,
    mine: Vec<u32>,
    seq: u64,
    events: Vec<EngineEvent>,
}

impl EngineTable {
    /// No engine is known yet; `start` must rise from one start of this router to the next.
    pub fn new(me: Arc<str>, data_centre: Arc<str>, start: u64, cfg: ProbeConfig) -> Self {
        Self {
            probers: vec![me.clone()],
            me,
            data_centre,
            budget: Budget::new(cfg.bytes_per_second),
            cfg,
            entries: Map::default(),
            by_name: Map::default(),
            mine: Vec::new(),
            seq: start,
            events: Vec::new(),
        }
    }

    /// Sets the engines of the configuration in force.
    pub fn set_engines(&mut self, now: Instant, specs: impl IntoIterator<Item = EngineSpec>) {
        let mut old = std::mem::take(&mut self.entries);
        self.by_name.clear();
        let mut specs: Vec<_> = specs.into_iter().collect();
        specs.sort_by(|a, b| a.name.cmp(&b.name));
        for spec in specs {
            let id = self.free_id(&spec.name);
            self.by_name.insert(spec.name.clone(), id);
            let entry = match old.remove(&id) {
                Some(e) if e.same_engine(&spec) => e.with_spec(spec),
                _ => Entry::new(spec),
            };
            self.entries.insert(id, entry);
        }
        self.assign(now);
        for e in self.entries.values_mut() {
            e.settle(now, &self.me, &self.data_centre);
        }
    }

    /// Identifier that fits a few bytes. Where two names meet in one, the later name takes the next, on every
    /// router with the same configuration.
    fn free_id(&self, name: &str) -> u32 {
        let mut id = hash(name) as u32;
        while self.entries.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }

    /// Sets the routers of this data centre that probe.
    pub fn set_probers(&mut self, now: Instant, mut names: Vec<Arc<str>>) {
        names.sort();
        if names == self.probers {
            return;
        }
        self.probers = names;
        self.assign(now);
        for e in self.entries.values_mut() {
            e.settle(now, &self.me, &self.data_centre);
        }
    }

    fn assign(&mut self, now: Instant) {
        self.mine.clear();
        for (&id, e) in &mut self.entries {
            if e.spec.data_centre != self.data_centre {
                continue;
            }
            e.probers = rendezvous(&self.probers, &e.spec.name);
            let known = |name: &Arc<str>| self.probers.binary_search(name).is_ok();
            e.findings.retain(|name, f| known(name) || *name == self.me || f.at + SIGN_TIME > now);
            let mine = e.probers.contains(&self.me);
            if mine {
                self.mine.push(id);
            }
            if mine && !e.mine {
                // Engines that fall to this router at once are spread over one period.
                let share = hash((&*self.me, id)) as f64 / u64::MAX as f64;
                e.next = now + self.cfg.period.mul_f64(share);
                e.waiting = false;
                e.fails = 0;
            }
            e.mine = mine;
        }
        self.mine.sort_unstable();
    }

    /// Takes in what a probe saw.
    pub fn on_probe_result(&mut self, now: Instant, name: &str, seen: ProbeResult) {
        let Some(e) = self.by_name.get(name).and_then(|id| self.entries.get_mut(id)) else { return };
        let next = match seen {
            ProbeResult::Unreachable => {
                e.fails += 1;
                let others = e.down_elsewhere(&self.me);
                if e.fails < self.cfg.failures && !others {
                    e.plan(now + self.cfg.retry);
                    return;
                }
                Finding { state: State::Down, start: e.start(), running: 0, at: now, seq: 0 }
            }
            ProbeResult::Answer { start, running, leaving } => {
                e.fails = 0;
                let state = if leaving { State::Leaving } else { State::Up };
                Finding { state, start, running, at: now, seq: 0 }
            }
        };
        e.plan(now + self.cfg.period);
        self.note(now, name, next);
    }

    /// Takes in what a dispatch of this router saw; its answer is worth a probe.
    pub fn on_dispatch_result(&mut self, now: Instant, name: &str, seen: ProbeResult) {
        let Some(e) = self.by_name.get(name).and_then(|id| self.entries.get_mut(id)) else { return };
        match seen {
            ProbeResult::Unreachable if e.mine => e.next = now,
            ProbeResult::Unreachable => {
                let lost = Finding { state: State::Down, start: e.start(), running: 0, at: now, seq: 0 };
                self.note(now, name, lost);
            }
            ProbeResult::Answer { start, running, leaving } => {
                let state = if leaving { State::Leaving } else { State::Up };
                self.note(now, name, Finding { state, start, running, at: now, seq: 0 });
            }
        }
    }

    fn note(&mut self, now: Instant, name: &str, mut new: Finding) {
        let Some((&id, e)) = self.by_name.get(name).and_then(|id| self.entries.get_mut(id).map(|e| (id, e)))
        else {
            return;
        };
        let old = e.findings.get(&self.me).copied();
        let changed = old.is_none_or(|o| (o.state, o.start) != (new.state, new.start));
        let loaded = old.is_none_or(|o| finding::load_differs(o.running, new.running));
        if changed || loaded {
            self.seq += 1;
        }
        if changed {
            e.state_seq = self.seq;
        }
        if loaded {
            e.load_seq = self.seq;
        } else if let Some(o) = old {
            new.running = o.running;
        }
        new.seq = e.state_seq;
        let fresh_up = old.is_none() && new.state == State::Up;
        if changed && !fresh_up {
            self.events.push(EngineEvent {
                origin: self.me.to_string(),
                engine: id,
                state: new.state as u32,
                start: new.start,
                seq: new.seq,
            });
        }
        e.findings.insert(self.me.clone(), new);
        e.settle(now, &self.me, &self.data_centre);
    }

    /// Takes in a change that another router found; returns whether it was news.
    pub fn merge_event(&mut self, now: Instant, event: &EngineEvent) -> bool {
        let Some(state) = State::from_raw(event.state) else { return false };
        if *event.origin == *self.me {
            return false;
        }
        let new = Finding { state, start: event.start, running: 0, at: now, seq: event.seq };
        self.merge_finding(now, event.engine, event.origin.as_str().into(), new)
    }

    fn merge_finding(&mut self, now: Instant, id: u32, origin: Arc<str>, new: Finding) -> bool {
        let Some(e) = self.entries.get_mut(&id) else { return false };
        if !e.merge(origin, new) {
            return false;
        }
        // A second opinion at once: an engine is down for all only when most of its probers say so.
        let agrees = e.findings.get(&self.me).is_some_and(|f| f.state == new.state);
        if new.state != State::Up && e.mine && !agrees {
            e.next = e.next.min(now);
        }
        e.settle(now, &self.me, &self.data_centre);
        true
    }

    /// Sets the engines of another data centre that are not up, as that data centre's reporter lists them.
    pub fn set_remote(&mut self, now: Instant, data_centre: &str, listed: &[(u32, u32)]) {
        let listed: Map<u32, State> =
            listed.iter().filter_map(|&(id, s)| Some((id, State::from_raw(s)?))).collect();
        for (id, e) in &mut self.entries {
            if &*e.spec.data_centre == data_centre {
                e.remote = listed.get(id).copied();
                e.settle(now, &self.me, &self.data_centre);
            }
        }
    }

    /// Engines of this data centre that are not up, leaving ones first.
    pub fn not_up(&self) -> Vec<(u32, u32)> {
        let mut list: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| e.spec.data_centre == self.data_centre && e.state() != State::Up)
            .map(|(&id, e)| (id, e.state() as u32))
            .collect();
        list.sort_by_key(|&(id, state)| (std::cmp::Reverse(state), id));
        list
    }

    /// Changes that this router found since the last call, to be spread at once.
    pub fn take_events(&mut self) -> Vec<EngineEvent> {
        std::mem::take(&mut self.events)
    }

    /// One engine as this router sees it now.
    pub fn view(&self, now: Instant, name: &str) -> Option<EngineView> {
        let id = self.by_name.get(name)?;
        Some(self.entries.get(id)?.view(now, &self.me))
    }

    /// All engines as this router sees them now.
    pub fn views(&self, now: Instant) -> impl Iterator<Item = EngineView> {
        self.entries.values().map(move |e| e.view(now, &self.me))
    }

    /// Engines that this router sees otherwise than at the last call.
    pub fn take_changed(&mut self, now: Instant) -> Vec<EngineView> {
        let mut changed = Vec::new();
        for e in self.entries.values_mut() {
            e.settle(now, &self.me, &self.data_centre);
            let view = e.view(now, &self.me);
            let told = Some((view.state, view.reachable, view.start));
            if e.told != told {
                e.told = told;
                changed.push(view);
            }
        }
        changed
    }

    /// Engines that this router probes.
    pub fn assigned(&self) -> usize {
        self.mine.len()
    }
}

/// The routers that probe an engine; a change of members moves only the engines of the members that changed.
fn rendezvous(probers: &[Arc<str>], engine: &str) -> Vec<Arc<str>> {
    let mut ranked: Vec<_> = probers.iter().map(|p| (hash((&**p, engine)), p)).collect();
    if ranked.len() > PROBERS {
        ranked.select_nth_unstable(PROBERS - 1);
    }
    ranked.truncate(PROBERS);
    ranked.into_iter().map(|(_, p)| p.clone()).collect()
}

/// Encoded form of an engine's state in reports.
fn raw_state(id: u32, f: &Finding) -> raw::EngineState {
    raw::EngineState { engine: id, state: f.state as u32, start: f.start, seq: f.seq }
}
