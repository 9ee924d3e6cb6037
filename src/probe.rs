//! Health checks of engines: each engine is probed by a few routers of its data centre, which share their observations.
//!
//! An engine counts as down only if most of its probers can't reach it. It counts as leaving as soon as any router
//! has observed that.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    member::Budget,
    schema::membership::{self as raw, EngineEvent},
    util::{Instant, Map, hash},
};

mod entry;
mod observation;
mod report;
mod schedule;

pub use entry::EngineView;
use entry::Entry;
pub use observation::{Observation, State};

/// Number of routers that probe one engine: with three, two outvote one that can't reach it.
pub const PROBERS_PER_ENGINE: usize = 3;
/// Bytes of one probe on the wire, including TCP and IP headers; checked by `tests/probe.rs`.
pub const PROBE_WIRE_BYTES: usize = 440;
/// Time for which an observation counts if its router does not probe the engine, such as "leaving" from a dispatch.
const NON_PROBER_OBSERVATION_TTL: Duration = Duration::from_secs(30);

/// An engine as described by the configuration and the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Name.
    pub name: Arc<str>,
    /// Address at which it listens.
    pub addr: SocketAddr,
    /// Data centre of the engine.
    pub data_centre: Arc<str>,
    /// Whether an operator's label or the platform's list marks it as leaving.
    pub leaving: bool,
}

/// Result of contacting an engine, by a probe or by a dispatched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The engine answered.
    Answer {
        /// Start ID of the engine process.
        start: u64,
        /// Requests in progress.
        running: u32,
        /// Whether it reports that it is leaving.
        leaving: bool,
    },
    /// The engine could not be reached.
    Unreachable,
}

/// Intervals and budget of the probes.
#[derive(Clone, Copy, Debug)]
pub struct ProbeConfig {
    /// Interval between one router's probes of an engine, if the budget allows.
    pub interval: Duration,
    /// Delay before a failed probe is retried.
    pub retry_delay: Duration,
    /// Consecutive failed probes after which a router reports the engine as down.
    pub failure_threshold: u32,
    /// Budget of all probes of this router, in bytes per second.
    pub bytes_per_second: usize,
}

impl Default for ProbeConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(7),
            retry_delay: Duration::from_millis(500),
            failure_threshold: 2,
            bytes_per_second: 8_000,
        }
    }
}

/// A probe to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Address of the engine.
    pub addr: SocketAddr,
}

/// State of all engines as seen by one router.
#[derive(Debug)]
pub struct EngineTable {
    me: Arc<str>,
    data_centre: Arc<str>,
    cfg: ProbeConfig,
    budget: Budget,
    entries: Map<u32, Entry>,
    by_name: Map<Arc<str>, u32>,
    probers: Vec<Arc<str>>,
    assigned: Vec<u32>,
    seq: u64,
    events: Vec<EngineEvent>,
}

impl EngineTable {
    /// Creates an empty table; `start` must increase with each restart of this router.
    pub fn new(me: Arc<str>, data_centre: Arc<str>, start: u64, cfg: ProbeConfig) -> Self {
        Self {
            probers: vec![me.clone()],
            me,
            data_centre,
            budget: Budget::new(cfg.bytes_per_second),
            cfg,
            entries: Map::default(),
            by_name: Map::default(),
            assigned: Vec::new(),
            seq: start,
            events: Vec::new(),
        }
    }

    /// Replaces the engines with those of the active configuration.
    pub fn set_engines(&mut self, now: Instant, specs: impl IntoIterator<Item = EngineSpec>) {
        let mut old = std::mem::take(&mut self.entries);
        self.by_name.clear();
        let mut specs: Vec<_> = specs.into_iter().collect();
        specs.sort_by(|a, b| a.name.cmp(&b.name));
        for spec in specs {
            let id = self.unused_id(&spec.name);
            self.by_name.insert(spec.name.clone(), id);
            let entry = match old.remove(&id) {
                Some(e) if e.same_engine(&spec) => e.with_spec(spec),
                _ => Entry::new(spec),
            };
            self.entries.insert(id, entry);
        }
        self.assign_probers(now);
        for e in self.entries.values_mut() {
            e.update_state(now, &self.me, &self.data_centre);
        }
    }

    /// Derives an engine's ID of a few bytes from its name. On a collision the later name gets the next unused ID, which
    /// is the same on every router with the same configuration.
    fn unused_id(&self, name: &str) -> u32 {
        let mut id = hash(name) as u32;
        while self.entries.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }

    /// Replaces the routers of this data centre that probe.
    pub fn set_probers(&mut self, now: Instant, mut names: Vec<Arc<str>>) {
        names.sort();
        if names == self.probers {
            return;
        }
        self.probers = names;
        self.assign_probers(now);
        for e in self.entries.values_mut() {
            e.update_state(now, &self.me, &self.data_centre);
        }
    }

    /// Assigns probers to each engine of this data centre, and removes observations of routers that have left.
    fn assign_probers(&mut self, now: Instant) {
        self.assigned.clear();
        for (&id, e) in &mut self.entries {
            if e.spec.data_centre != self.data_centre {
                continue;
            }
            e.probers = rendezvous(&self.probers, &e.spec.name);
            let is_prober = |name: &Arc<str>| self.probers.binary_search(name).is_ok();
            e.observations.retain(|name, f| {
                is_prober(name) || *name == self.me || f.at + NON_PROBER_OBSERVATION_TTL > now
            });
            let assigned = e.probers.contains(&self.me);
            if assigned {
                self.assigned.push(id);
            }
            if assigned && !e.assigned {
                // The first probes of engines assigned at the same time are spread over one interval.
                let share = hash((&*self.me, id)) as f64 / u64::MAX as f64;
                e.next_probe_at = now + self.cfg.interval.mul_f64(share);
                e.probe_in_flight = false;
                e.consecutive_failures = 0;
            }
            e.assigned = assigned;
        }
        self.assigned.sort_unstable();
    }

    /// Applies the result of a probe.
    pub fn on_probe_result(&mut self, now: Instant, name: &str, result: ProbeResult) {
        let Some(e) = self.by_name.get(name).and_then(|id| self.entries.get_mut(id)) else { return };
        let observation = match result {
            ProbeResult::Unreachable => {
                e.consecutive_failures += 1;
                let others_agree = e.is_down_for_others(&self.me);
                if e.consecutive_failures < self.cfg.failure_threshold && !others_agree {
                    e.schedule_probe(now + self.cfg.retry_delay);
                    return;
                }
                Observation { state: State::Down, start: e.start(), running: 0, at: now, seq: 0 }
            }
            ProbeResult::Answer { start, running, leaving } => {
                e.consecutive_failures = 0;
                let state = if leaving { State::Leaving } else { State::Up };
                Observation { state, start, running, at: now, seq: 0 }
            }
        };
        e.schedule_probe(now + self.cfg.interval);
        self.record_observation(now, name, observation);
    }

    /// Applies the result of a request that this router dispatched; an answer counts like a probe.
    pub fn on_dispatch_result(&mut self, now: Instant, name: &str, result: ProbeResult) {
        let Some(e) = self.by_name.get(name).and_then(|id| self.entries.get_mut(id)) else { return };
        match result {
            ProbeResult::Unreachable if e.assigned => e.next_probe_at = now,
            ProbeResult::Unreachable => {
                let lost = Observation { state: State::Down, start: e.start(), running: 0, at: now, seq: 0 };
                self.record_observation(now, name, lost);
            }
            ProbeResult::Answer { start, running, leaving } => {
                let state = if leaving { State::Leaving } else { State::Up };
                self.record_observation(now, name, Observation { state, start, running, at: now, seq: 0 });
            }
        }
    }

    /// Records this router's own observation, and queues an event if the state has changed.
    fn record_observation(&mut self, now: Instant, name: &str, mut new: Observation) {
        let Some((&id, e)) = self.by_name.get(name).and_then(|id| self.entries.get_mut(id).map(|e| (id, e)))
        else {
            return;
        };
        let old = e.observations.get(&self.me).copied();
        let changed = old.is_none_or(|o| (o.state, o.start) != (new.state, new.start));
        let load_changed = old.is_none_or(|o| observation::load_differs(o.running, new.running));
        if changed || load_changed {
            self.seq += 1;
        }
        if changed {
            e.state_changed_seq = self.seq;
        }
        if load_changed {
            e.load_changed_seq = self.seq;
        } else if let Some(o) = old {
            new.running = o.running;
        }
        new.seq = e.state_changed_seq;
        let first_up = old.is_none() && new.state == State::Up;
        if changed && !first_up {
            self.events.push(EngineEvent {
                origin: self.me.to_string(),
                engine: id,
                state: new.state as u32,
                start: new.start,
                seq: new.seq,
            });
        }
        e.observations.insert(self.me.clone(), new);
        e.update_state(now, &self.me, &self.data_centre);
    }

    /// Merges a state change observed by another router; returns whether it was new.
    pub fn merge_event(&mut self, now: Instant, event: &EngineEvent) -> bool {
        let Some(state) = State::from_raw(event.state) else { return false };
        if *event.origin == *self.me {
            return false;
        }
        let new = Observation { state, start: event.start, running: 0, at: now, seq: event.seq };
        self.merge_observation(now, event.engine, event.origin.as_str().into(), new)
    }

    /// Merges another router's observation; returns whether it was new.
    fn merge_observation(&mut self, now: Instant, id: u32, origin: Arc<str>, new: Observation) -> bool {
        let Some(e) = self.entries.get_mut(&id) else { return false };
        if !e.merge(origin, new) {
            return false;
        }
        // Probe at once to confirm: an engine is down for all routers only when most of its probers agree.
        let agrees = e.observations.get(&self.me).is_some_and(|f| f.state == new.state);
        if new.state != State::Up && e.assigned && !agrees {
            e.next_probe_at = e.next_probe_at.min(now);
        }
        e.update_state(now, &self.me, &self.data_centre);
        true
    }

    /// Sets the engines of another data centre that are not up, as listed by that data centre's reporter.
    pub fn set_remote(&mut self, now: Instant, data_centre: &str, listed: &[(u32, u32)]) {
        let listed: Map<u32, State> =
            listed.iter().filter_map(|&(id, s)| Some((id, State::from_raw(s)?))).collect();
        for (id, e) in &mut self.entries {
            if &*e.spec.data_centre == data_centre {
                e.remote_state = listed.get(id).copied();
                e.update_state(now, &self.me, &self.data_centre);
            }
        }
    }

    /// IDs and states of the engines of this data centre that are not up, leaving ones first.
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

    /// Takes the state changes that this router has observed since the last call, for immediate gossip.
    pub fn take_events(&mut self) -> Vec<EngineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Current view of one engine.
    pub fn view(&self, now: Instant, name: &str) -> Option<EngineView> {
        let id = self.by_name.get(name)?;
        Some(self.entries.get(id)?.view(now, &self.me))
    }

    /// Current views of all engines.
    pub fn views(&self, now: Instant) -> impl Iterator<Item = EngineView> {
        self.entries.values().map(move |e| e.view(now, &self.me))
    }

    /// Views of the engines whose state, reachability or start has changed since the last call.
    pub fn take_changed(&mut self, now: Instant) -> Vec<EngineView> {
        let mut changed = Vec::new();
        for e in self.entries.values_mut() {
            e.update_state(now, &self.me, &self.data_centre);
            let view = e.view(now, &self.me);
            let last_view = Some((view.state, view.reachable, view.start));
            if e.last_view != last_view {
                e.last_view = last_view;
                changed.push(view);
            }
        }
        changed
    }

    /// Number of engines that this router probes.
    pub fn assigned_count(&self) -> usize {
        self.assigned.len()
    }
}

/// Selects the probers of an engine by rendezvous hashing, so that a membership change moves only the engines of the
/// members that joined or left.
fn rendezvous(probers: &[Arc<str>], engine: &str) -> Vec<Arc<str>> {
    let mut ranked: Vec<_> = probers.iter().map(|p| (hash((&**p, engine)), p)).collect();
    if ranked.len() > PROBERS_PER_ENGINE {
        ranked.select_nth_unstable(PROBERS_PER_ENGINE - 1);
    }
    ranked.truncate(PROBERS_PER_ENGINE);
    ranked.into_iter().map(|(_, p)| p.clone()).collect()
}

/// Encodes an observed state for reports.
fn encode_state(id: u32, f: &Observation) -> raw::EngineState {
    raw::EngineState { engine: id, state: f.state as u32, start: f.start, seq: f.seq }
}
