//! Decides how large state spreads over many hosts that lack it, for example after all of them were killed.
//!
//! A host that is asked by more hosts than it can answer refers the others to the ones that it is answering. These pass
//! the answer on while they receive it, so that the hosts form a tree in which all links carry the state at the same time.

use std::{ops::Range, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use crate::schema::fleet::Fetch;

/// Number of hosts that share a slow link at once if they pass the answer on. The depth of the tree is the logarithm
/// of the number of hosts to this base.
const FAN_OUT: usize = 3;
/// Maximum number of referrals that are followed in a row: more than the depth of the tree, in which the places that get
/// free are taken at random.
const MAX_REFERRALS: usize = 16;
/// Minimum size of an answer that is passed on, in bytes. A smaller one is received before another host asks for it.
pub const MIN_PASSED_ON_BYTES: usize = 64 << 10;
/// Number of fetches that are admitted beside one for each slot. They wait, so that the link is never idle, unless they
/// share a slot.
pub const QUEUED_FETCHES: usize = 2;
/// How long a fetch waits.
pub const QUEUE_TIMEOUT: Duration = Duration::from_millis(500);
/// Random pause before another host is asked.
pub const RETRY_PAUSE: Range<Duration> = Duration::from_millis(50)..Duration::from_millis(200);

/// Capacity of a host for answers, in units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    slots: usize,
}

impl Capacity {
    /// Capacity of a host whose link allows `slots` answers at once.
    pub fn of(slots: usize) -> Self {
        Self { slots }
    }

    /// All units.
    pub fn units(self) -> usize {
        self.slots * FAN_OUT
    }

    /// Units that one answer takes, by whether the requesting host passes it on.
    pub fn units_per_answer(self, passes_on: bool) -> usize {
        if passes_on { self.slots.min(FAN_OUT) } else { FAN_OUT }
    }
}

/// The part of a request on which its answer depends. Hosts with equal ones lack the same state.
pub fn answer_key(request: &Fetch) -> Fetch {
    Fetch { passes_on_at: String::new(), ..request.clone() }
}

/// Hosts that are receiving an answer and pass it on, with addresses of type `A`.
#[derive(Debug)]
pub struct Receivers<A> {
    receivers: Vec<(Fetch, A)>,
}

impl<A> Default for Receivers<A> {
    fn default() -> Self {
        Self { receivers: Vec::new() }
    }
}

impl<A: Clone + PartialEq> Receivers<A> {
    /// Adds a host that receives the answer to a request.
    pub fn add(&mut self, request: &Fetch, at: A) {
        self.receivers.push((answer_key(request), at));
    }

    /// Removes a host once it has the answer, or has failed to receive it.
    pub fn remove(&mut self, at: &A) {
        if let Some(i) = self.receivers.iter().position(|(_, receiver)| receiver == at) {
            self.receivers.swap_remove(i);
        }
    }

    /// A host that passes on the answer to `request`, which comes from the host at `from`. It is chosen at random, so
    /// that all parts of the tree grow alike.
    pub fn refer(&self, request: &Fetch, from: &A, rng: &mut impl Rng) -> Option<A> {
        let key = answer_key(request);
        let others = self.receivers.iter().filter(|(receives, at)| *receives == key && at != from);
        others.map(|(_, at)| at.clone()).choose(rng)
    }
}

/// Referrals that a host has followed in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Referrals {
    followed: usize,
}

impl Referrals {
    /// The host to ask next after a busy one, or `None` if any host is to be asked after a pause.
    pub fn follow<A>(&mut self, referral: Option<A>) -> Option<A> {
        let next = referral.filter(|_| self.followed < MAX_REFERRALS);
        self.followed = if next.is_some() { self.followed + 1 } else { 0 };
        next
    }
}
