//! Drives a lease through its states and says what to read and write.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{Acquired, Acquiring, Candidate, Fencing, Held, LeaseConfig, Observed, Renewed};
use crate::{catalog::AnyObject, objects::Write, util::Instant};

/// What the shell shall do about a lease; one action is under way at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the lease's object; answer with [`LeaseDriver::read`].
    Read,
    /// Write this object once; answer with [`LeaseDriver::written`].
    Write(AnyObject),
}

#[derive(Debug)]
enum State {
    Candidate(Candidate),
    Acquiring(Acquiring),
    Held(Held),
}

/// One lease of one process.
#[derive(Debug)]
pub struct LeaseDriver {
    name: Arc<str>,
    state: State,
    period: Duration,
    next: Instant,
    busy: bool,
}

impl LeaseDriver {
    /// Candidate that looks at once.
    pub fn new(terms: LeaseConfig, now: Instant) -> Self {
        let period = terms.period();
        let name = terms.name.clone();
        Self { name, state: State::Candidate(Candidate::new(terms)), period, next: now, busy: false }
    }

    /// Name of the lease.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What to do now, if anything.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Action> {
        if self.busy {
            return None;
        }
        let nonce = format!("{:016x}", rng.random::<u64>());
        let action = match &mut self.state {
            State::Candidate(_) if now >= self.next => Some(Action::Read),
            State::Acquiring(a) if now >= self.next => Some(Action::Write(a.attempt(now))),
            State::Held(held) if now >= self.next => held.renewal(now, nonce).map(Action::Write),
            _ => None,
        };
        self.busy = action.is_some();
        action
    }

    /// Takes the answer to a read; `None` when none came.
    pub fn read(&mut self, now: Instant, answer: Option<Option<AnyObject>>, rng: &mut impl Rng) {
        self.busy = false;
        self.next = now + self.period.mul_f64(0.8 + 0.2 * rng.random::<f64>());
        let (State::Candidate(candidate), Some(obj)) = (&self.state, answer) else { return };
        let nonce = format!("{:016x}", rng.random::<u64>());
        self.state = match candidate.clone().observe(now, obj.as_ref(), nonce) {
            Observed::HeldByOther(candidate) => State::Candidate(candidate),
            Observed::Free(acquiring) => {
                self.next = now;
                State::Acquiring(acquiring)
            }
        };
    }

    /// Takes the answer to a write.
    pub fn written(&mut self, now: Instant, write: Write, rng: &mut impl Rng) {
        self.busy = false;
        // After a lost answer soon again, but not at once, as the platform may be overloaded.
        let pause = if write == Write::Unknown { self.period / 4 } else { Duration::ZERO };
        self.next = now + pause.mul_f64(0.5 + rng.random::<f64>());
        match &self.state {
            State::Candidate(_) => {}
            State::Acquiring(acquiring) => {
                self.state = match acquiring.clone().answered(now, write) {
                    Acquired::Held(held) => State::Held(held),
                    Acquired::Retry(acquiring) => State::Acquiring(acquiring),
                    Acquired::Lost(candidate) => self.lost(now, candidate),
                };
            }
            State::Held(held) => {
                self.state = match held.clone().renewed(now, write) {
                    Renewed::Held(held) => State::Held(held),
                    Renewed::Lost(candidate) => self.lost(now, candidate),
                };
            }
        }
    }

    fn lost(&mut self, now: Instant, candidate: Candidate) -> State {
        self.next = now + self.period;
        State::Candidate(candidate)
    }

    /// The held lease, lapsed or not.
    pub fn held(&mut self) -> Option<&mut Held> {
        match &mut self.state {
            State::Held(held) => Some(held),
            _ => None,
        }
    }

    /// The fencing number, if the lease certainly holds for `margin` longer.
    pub fn check(&mut self, now: Instant, margin: Duration) -> Option<Fencing> {
        self.held()?.check(now, margin)
    }

    /// Ends this process's part; the write that gives a held lease back.
    pub fn release(self, rng: &mut impl Rng) -> Option<AnyObject> {
        match self.state {
            State::Held(held) => Some(held.release(format!("{:016x}", rng.random::<u64>()))),
            _ => None,
        }
    }
}
