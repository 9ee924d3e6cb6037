//! Drives a lease through its states and returns the reads and writes to perform.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{Acquired, Acquiring, Candidate, Fencing, Held, LeaseConfig, Observed, Renewed};
use crate::{catalog::AnyObject, objects::WriteOutcome, util::Instant};

/// An I/O operation that the caller must perform; at most one is in flight at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the lease's object; report the result with [`LeaseDriver::read`].
    Read,
    /// Write this object once; report the result with [`LeaseDriver::written`].
    Write(AnyObject),
}

#[derive(Debug)]
enum State {
    Candidate(Candidate),
    Acquiring(Acquiring),
    Held(Held),
}

/// Drives one lease of one process.
#[derive(Debug)]
pub struct LeaseDriver {
    name: Arc<str>,
    state: State,
    period: Duration,
    next_at: Instant,
    in_flight: bool,
}

impl LeaseDriver {
    /// Creates a driver in the candidate state whose first read is due at once.
    pub fn new(config: LeaseConfig, now: Instant) -> Self {
        let period = config.period();
        let name = config.name.clone();
        Self { name, state: State::Candidate(Candidate::new(config)), period, next_at: now, in_flight: false }
    }

    /// Name of the lease.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the operation that is due, if any.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Action> {
        if self.in_flight {
            return None;
        }
        let nonce = format!("{:016x}", rng.random::<u64>());
        let action = match &mut self.state {
            State::Candidate(_) if now >= self.next_at => Some(Action::Read),
            State::Acquiring(a) if now >= self.next_at => Some(Action::Write(a.attempt(now))),
            State::Held(held) if now >= self.next_at => held.renewal(now, nonce).map(Action::Write),
            _ => None,
        };
        self.in_flight = action.is_some();
        action
    }

    /// Handles the result of a read; `None` if the read failed.
    pub fn read(&mut self, now: Instant, answer: Option<Option<AnyObject>>, rng: &mut impl Rng) {
        self.in_flight = false;
        self.next_at = now + self.period.mul_f64(0.8 + 0.2 * rng.random::<f64>());
        let (State::Candidate(candidate), Some(obj)) = (&self.state, answer) else { return };
        let nonce = format!("{:016x}", rng.random::<u64>());
        self.state = match candidate.clone().observe(now, obj.as_ref(), nonce) {
            Observed::HeldByOther(candidate) => State::Candidate(candidate),
            Observed::Free(acquiring) => {
                self.next_at = now;
                State::Acquiring(acquiring)
            }
        };
    }

    /// Handles the response to a write.
    pub fn written(&mut self, now: Instant, write: WriteOutcome, rng: &mut impl Rng) {
        self.in_flight = false;
        // After an unknown outcome, retries soon but not at once, as the platform may be overloaded.
        let delay = if write == WriteOutcome::Unknown { self.period / 4 } else { Duration::ZERO };
        self.next_at = now + delay.mul_f64(0.5 + rng.random::<f64>());
        match &self.state {
            State::Candidate(_) => {}
            State::Acquiring(acquiring) => {
                self.state = match acquiring.clone().answered(now, write) {
                    Acquired::Held(held) => State::Held(held),
                    Acquired::Retry(acquiring) => State::Acquiring(acquiring),
                    Acquired::Lost(candidate) => self.become_candidate(now, candidate),
                };
            }
            State::Held(held) => {
                self.state = match held.clone().renewed(now, write) {
                    Renewed::Held(held) => State::Held(held),
                    Renewed::Lost(candidate) => self.become_candidate(now, candidate),
                };
            }
        }
    }

    fn become_candidate(&mut self, now: Instant, candidate: Candidate) -> State {
        self.next_at = now + self.period;
        State::Candidate(candidate)
    }

    /// Returns the held lease, expired or not.
    pub fn held(&mut self) -> Option<&mut Held> {
        match &mut self.state {
            State::Held(held) => Some(held),
            _ => None,
        }
    }

    /// Returns the fencing token if the lease is certain to be valid for at least `margin` longer.
    pub fn check(&mut self, now: Instant, margin: Duration) -> Option<Fencing> {
        self.held()?.check(now, margin)
    }

    /// Stops the driver; returns the object to write to release a held lease.
    pub fn release(self, rng: &mut impl Rng) -> Option<AnyObject> {
        match self.state {
            State::Held(held) => Some(held.release(format!("{:016x}", rng.random::<u64>()))),
            _ => None,
        }
    }
}
