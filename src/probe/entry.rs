//! One engine: the findings about it and what follows from them.

use std::{sync::Arc, time::Duration};

use super::{EngineSpec, Finding, SIGN_TIME, State};
use crate::{
    lifecycle::AnyBackend,
    util::{Instant, Map},
};

/// How long a router that can't reach an engine avoids it though it is up for the others.
const AVOID_TIME: Duration = Duration::from_secs(10);

/// An engine as a router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name.
    pub name: Arc<str>,
    /// State for the fleet.
    pub state: State,
    /// Whether this router itself reached it when it last tried.
    pub reachable: bool,
    /// Identifies its start; 0 when not known.
    pub start: u64,
    /// Requests in progress, as last heard.
    pub running: u32,
    /// When that load was told; a load that stays the same is not told again.
    pub heard: Option<Instant>,
}

impl EngineView {
    /// Whether this router may give it new work.
    pub fn takes_work(&self) -> bool {
        self.state == State::Up && self.reachable
    }
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) spec: EngineSpec,
    pub(super) probers: Vec<Arc<str>>,
    pub(super) findings: Map<Arc<str>, Finding>,
    pub(super) remote: Option<State>,
    life: AnyBackend,
    pub(super) told: Option<(State, bool, u64)>,
    pub(super) mine: bool,
    pub(super) next: Instant,
    pub(super) waiting: bool,
    pub(super) fails: u32,
    pub(super) state_seq: u64,
    pub(super) load_seq: u64,
}

impl Entry {
    pub(super) fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            probers: Vec::new(),
            findings: Map::default(),
            remote: None,
            life: AnyBackend::default(),
            told: None,
            mine: false,
            next: Instant::ZERO,
            waiting: false,
            fails: 0,
            state_seq: 0,
            load_seq: 0,
        }
    }

    pub(super) fn with_spec(self, spec: EngineSpec) -> Self {
        Self { spec, ..self }
    }

    pub(super) fn same_engine(&self, spec: &EngineSpec) -> bool {
        let old = &self.spec;
        old.name == spec.name && old.addr == spec.addr && old.data_centre == spec.data_centre
    }

    pub(super) fn plan(&mut self, next: Instant) {
        self.next = next;
        self.waiting = false;
    }

    pub(super) fn merge(&mut self, origin: Arc<str>, new: Finding) -> bool {
        let old = self.findings.get(&origin);
        if old.is_some_and(|o| o.seq >= new.seq) {
            return false;
        }
        let running = old.map_or(new.running, |o| o.running);
        self.findings.insert(origin, Finding { running, ..new });
        true
    }

    pub(super) fn down_elsewhere(&self, me: &str) -> bool {
        self.votes().any(|(name, f)| &**name != me && f.state == State::Down)
    }

    fn votes(&self) -> impl Iterator<Item = (&Arc<str>, &Finding)> {
        self.findings.iter().filter(|(name, _)| self.probers.contains(name))
    }

    /// Start of the engine that was seen last.
    pub(super) fn start(&self) -> u64 {
        let seen = self.findings.values().filter(|f| f.start != 0 && f.state != State::Down);
        seen.max_by_key(|f| f.at).map_or(0, |f| f.start)
    }

    /// Draws the state from the findings.
    pub(super) fn settle(&mut self, now: Instant, me: &str, data_centre: &str) {
        self.life = match self.judge(now, me, data_centre) {
            State::Up if self.findings.is_empty() && matches!(self.life, AnyBackend::Joining(_)) => return,
            State::Up => self.life.go_live(self.start()),
            State::Leaving => self.life.drain(self.start()),
            State::Down => self.life.go_down(),
        };
    }

    /// State as the last [`Entry::settle`] found it. An engine that has not been probed yet gets work: after a start of
    /// the router every one is in this state, and dispatches find out by themselves.
    pub(super) fn state(&self) -> State {
        match self.life {
            AnyBackend::Joining(_) | AnyBackend::Live(_) => State::Up,
            AnyBackend::Draining(_) => State::Leaving,
            AnyBackend::Down(_) => State::Down,
        }
    }

    fn judge(&self, now: Instant, me: &str, data_centre: &str) -> State {
        if self.spec.leaving {
            return State::Leaving;
        }
        if *self.spec.data_centre != *data_centre {
            let own = self.findings.get(me).filter(|f| f.at + SIGN_TIME > now);
            let leaves = own.is_some_and(|f| f.state == State::Leaving);
            return if leaves { State::Leaving } else { self.remote.unwrap_or(State::Up) };
        }
        if self.leaves(now) {
            return State::Leaving;
        }
        let (mut voters, mut down) = (0, 0);
        for (_, f) in self.votes() {
            voters += 1;
            down += usize::from(f.state == State::Down);
        }
        // One router that can't reach the engine, behind a broken link of its own, must not take it from the rest.
        if down * 2 > voters { State::Down } else { State::Up }
    }

    fn leaves(&self, now: Instant) -> bool {
        let start = self.start();
        self.findings.iter().any(|(name, f)| {
            let counts = self.probers.contains(name) || f.at + SIGN_TIME > now;
            f.state == State::Leaving && counts && (f.start == start || f.start == 0)
        })
    }

    pub(super) fn view(&self, now: Instant, me: &str) -> EngineView {
        let own_down = self
            .findings
            .get(me)
            .is_some_and(|f| f.state == State::Down && (self.mine || f.at + AVOID_TIME > now));
        let load = self.findings.values().filter(|f| f.state != State::Down).max_by_key(|f| f.at);
        EngineView {
            name: self.spec.name.clone(),
            state: self.state(),
            reachable: !own_down,
            start: self.start(),
            running: load.map_or(0, |f| f.running),
            heard: load.map(|f| f.at),
        }
    }
}
