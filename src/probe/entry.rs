//! State of one engine, derived from the routers' observations.

use std::{sync::Arc, time::Duration};

use super::{EngineSpec, NON_PROBER_OBSERVATION_TTL, Observation, State};
use crate::{
    lifecycle::AnyBackend,
    util::{Instant, Map},
};

/// Time for which a router that does not probe an engine avoids it after it could not reach it.
const AVOID_UNREACHABLE_TIME: Duration = Duration::from_secs(10);

/// State of an engine as seen by one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name.
    pub name: Arc<str>,
    /// State agreed by the fleet.
    pub state: State,
    /// Whether this router itself could reach it at the last contact.
    pub reachable: bool,
    /// Start ID of the engine process; 0 if unknown.
    pub start: u64,
    /// Requests in progress, as last observed.
    pub running: u32,
    /// Time at which `running` was observed; an unchanged load is not reported again.
    pub load_observed_at: Option<Instant>,
}

impl EngineView {
    /// Whether this router may send it new requests.
    pub fn accepts_requests(&self) -> bool {
        self.state == State::Up && self.reachable
    }
}

/// An engine with all observations of it, and its probe schedule in this router.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) spec: EngineSpec,
    pub(super) probers: Vec<Arc<str>>,
    pub(super) observations: Map<Arc<str>, Observation>,
    pub(super) remote_state: Option<State>,
    lifecycle: AnyBackend,
    pub(super) last_view: Option<(State, bool, u64)>,
    pub(super) assigned: bool,
    pub(super) next_probe_at: Instant,
    pub(super) probe_in_flight: bool,
    pub(super) consecutive_failures: u32,
    pub(super) state_changed_seq: u64,
    pub(super) load_changed_seq: u64,
}

impl Entry {
    pub(super) fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            probers: Vec::new(),
            observations: Map::default(),
            remote_state: None,
            lifecycle: AnyBackend::default(),
            last_view: None,
            assigned: false,
            next_probe_at: Instant::ZERO,
            probe_in_flight: false,
            consecutive_failures: 0,
            state_changed_seq: 0,
            load_changed_seq: 0,
        }
    }

    pub(super) fn with_spec(self, spec: EngineSpec) -> Self {
        Self { spec, ..self }
    }

    pub(super) fn same_engine(&self, spec: &EngineSpec) -> bool {
        let old = &self.spec;
        old.name == spec.name && old.addr == spec.addr && old.data_centre == spec.data_centre
    }

    pub(super) fn schedule_probe(&mut self, next: Instant) {
        self.next_probe_at = next;
        self.probe_in_flight = false;
    }

    /// Stores another router's observation if it is newer; returns whether it was.
    pub(super) fn merge(&mut self, origin: Arc<str>, new: Observation) -> bool {
        let old = self.observations.get(&origin);
        if old.is_some_and(|o| o.seq >= new.seq) {
            return false;
        }
        let running = old.map_or(new.running, |o| o.running);
        self.observations.insert(origin, Observation { running, ..new });
        true
    }

    pub(super) fn is_down_for_others(&self, me: &str) -> bool {
        self.votes().any(|(name, f)| &**name != me && f.state == State::Down)
    }

    /// Observations of the engine's probers.
    fn votes(&self) -> impl Iterator<Item = (&Arc<str>, &Observation)> {
        self.observations.iter().filter(|(name, _)| self.probers.contains(name))
    }

    /// Start ID of the engine process that was observed last.
    pub(super) fn start(&self) -> u64 {
        let seen = self.observations.values().filter(|f| f.start != 0 && f.state != State::Down);
        seen.max_by_key(|f| f.at).map_or(0, |f| f.start)
    }

    /// Derives the state from the observations.
    pub(super) fn update_state(&mut self, now: Instant, me: &str, data_centre: &str) {
        self.lifecycle = match self.evaluate(now, me, data_centre) {
            State::Up if self.observations.is_empty() && matches!(self.lifecycle, AnyBackend::Joining(_)) => {
                return;
            }
            State::Up => self.lifecycle.go_live(self.start()),
            State::Leaving => self.lifecycle.drain(self.start()),
            State::Down => self.lifecycle.go_down(),
        };
    }

    /// State as of the last [`Entry::update_state`]. An engine that has not been probed yet counts as up: after a start of
    /// the router all engines are in this state, and dispatches detect those that are not reachable.
    pub(super) fn state(&self) -> State {
        match self.lifecycle {
            AnyBackend::Joining(_) | AnyBackend::Live(_) => State::Up,
            AnyBackend::Draining(_) => State::Leaving,
            AnyBackend::Down(_) => State::Down,
        }
    }

    /// State that follows from the configuration and the observations.
    fn evaluate(&self, now: Instant, me: &str, data_centre: &str) -> State {
        if self.spec.leaving {
            return State::Leaving;
        }
        if *self.spec.data_centre != *data_centre {
            let own = self.observations.get(me).filter(|f| f.at + NON_PROBER_OBSERVATION_TTL > now);
            let leaves = own.is_some_and(|f| f.state == State::Leaving);
            return if leaves { State::Leaving } else { self.remote_state.unwrap_or(State::Up) };
        }
        if self.is_leaving(now) {
            return State::Leaving;
        }
        let (mut voters, mut down) = (0, 0);
        for (_, f) in self.votes() {
            voters += 1;
            down += usize::from(f.state == State::Down);
        }
        // One router with a broken link must not mark the engine as down for all others.
        if down * 2 > voters { State::Down } else { State::Up }
    }

    /// Whether any router has observed that the current engine process is leaving.
    fn is_leaving(&self, now: Instant) -> bool {
        let start = self.start();
        self.observations.iter().any(|(name, f)| {
            let counts = self.probers.contains(name) || f.at + NON_PROBER_OBSERVATION_TTL > now;
            f.state == State::Leaving && counts && (f.start == start || f.start == 0)
        })
    }

    pub(super) fn view(&self, now: Instant, me: &str) -> EngineView {
        let own_down = self.observations.get(me).is_some_and(|f| {
            f.state == State::Down && (self.assigned || f.at + AVOID_UNREACHABLE_TIME > now)
        });
        let load = self.observations.values().filter(|f| f.state != State::Down).max_by_key(|f| f.at);
        EngineView {
            name: self.spec.name.clone(),
            state: self.state(),
            reachable: !own_down,
            start: self.start(),
            running: load.map_or(0, |f| f.running),
            load_observed_at: load.map(|f| f.at),
        }
    }
}
