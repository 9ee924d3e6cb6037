//! Reserved capacity for returning callers of a service that refuses requests.
//!
//! Under several times the capacity for some seconds, most requests are refused and their callers come back once, at
//! the time that the refusal gives, but at most a third of their remaining time later. During the surge it makes no
//! difference to the number of callers served which of them is served. What counts is that the capacity after the
//! surge, or between two, is used up by callers who return then: a caller that is refused a second time has been
//! refused for good, whereas the capacity that stayed free is lost.
//!
//! Therefore all hosts spread returning callers evenly over the time slots within their reach, of 500 ms of the wall
//! clock each: a caller is told the slot with the fewest promised returns. Hosts tell each other how many they have
//! promised by slot (topic `PromisedReturns` of [`measurements`](super::measurements)). Callers who have a fair chance
//! soon keep the short delay of [`admission`](super::admission), since their answer can still be on time.
//!
//! Once fewer new requests arrive than the service admits, half of what it drains in a slot is reserved for the
//! returns promised in that slot: new requests are refused in their place, and have their own return still to come.
//! During the surge nothing is reserved, because each return would be served late in the place of a new request that
//! can be on time.
//!
//! Rates are measured by each host alone and extrapolated to all hosts, as callers reach hosts at random.

use std::{sync::Arc, time::Duration};

use super::{
    admission::{AdmissionRequest, Refused},
    measurements::Measurements,
};
use crate::util::Map;
use slots::Slots;
pub use slots::{Moment, Promise};

mod slots;

/// Length of a time slot in milliseconds. Slots of 250 ms serve no more callers, and hosts tell each other twice as
/// many amounts.
pub const SLOT_MS: u64 = 500;
/// Number of hosts from which on promises are made. In a small fleet the delays drawn at random are level enough.
pub const MIN_HOSTS: usize = 16;
/// Minimum difference to the longest time left on the route by which a returning request is recognized.
const RETURN_THRESHOLD: Duration = Duration::from_millis(100);
/// Increase of the random number that decides on a request for which capacity is reserved: 0.5 make up for its being
/// overdue, and 0.2 put it before new requests of its rank. That is the least by which ranks differ, so that it does
/// not pass more urgent ones.
const RESERVED_ADVANTAGE: f64 = 0.7;

/// What became of refused and returning callers; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A refused caller was told to return in a slot with capacity.
    Promised,
    /// No slot within the caller's reach had capacity; it was told the one with the fewest promises.
    BeyondReach,
    /// A returning request was admitted.
    Returned,
    /// A returning request was refused.
    ReturnedRefused,
}

impl Event {
    /// Every event.
    pub const ALL: [Event; 4] =
        [Event::Promised, Event::BeyondReach, Event::Returned, Event::ReturnedRefused];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Event::Promised => "promised",
            Event::BeyondReach => "beyond_reach",
            Event::Returned => "returned",
            Event::ReturnedRefused => "returned_refused",
        }
    }
}

/// A request that has arrived, before it is decided on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Whether its caller has been refused before, by the time it has already used.
    pub is_returning: bool,
    /// What is added to the random number that decides on admission, so that the request is less often refused.
    pub advantage: f64,
}

/// The promises of this host and what has become of them.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    services: Map<Arc<str>, Slots>,
    /// Longest time until the deadline seen on each route.
    longest: Map<u64, Duration>,
    counts: [u64; Event::ALL.len()],
}

impl Returns {
    /// Records the arrival of a request, and decides with a random number in `0..1` whether reserved capacity is for
    /// it.
    pub fn arrive(
        &mut self,
        at: Moment,
        service: &Arc<str>,
        req: &AdmissionRequest,
        measurements: &Measurements,
        draw: f64,
    ) -> Arrival {
        let is_returning = self.is_returning(req);
        if at.hosts < MIN_HOSTS {
            return Arrival { is_returning, advantage: 0.0 };
        }
        let slots = self.service(service);
        if !is_returning {
            slots.record_new(at.now);
            return Arrival::default();
        }
        let has_capacity = req.time_left >= req.objective
            && slots.is_surge_over(at.now)
            && draw < slots.reserved_chance(at, service, measurements);
        Arrival { is_returning, advantage: if has_capacity { RESERVED_ADVANTAGE } else { 0.0 } }
    }

    /// Records the decision on a request, and gives a refused caller the time to return, drawn with a random number in
    /// `0..1`.
    ///
    /// # Errors
    /// If the request was refused.
    pub fn settle(
        &mut self,
        at: Moment,
        service: &Arc<str>,
        req: &AdmissionRequest,
        arrival: Arrival,
        decision: Result<(), Refused>,
        (measurements, draw): (&mut Measurements, f64),
    ) -> Result<(), Refused> {
        if at.hosts < MIN_HOSTS {
            return decision;
        }
        if arrival.is_returning {
            self.count(if decision.is_ok() { Event::Returned } else { Event::ReturnedRefused });
        }
        let slots = self.service(service);
        let Err(refused) = decision else {
            slots.record_admitted(at.now);
            return Ok(());
        };
        if arrival.is_returning {
            // Most callers retry once. Promises to those who don't return would keep others from the slots.
            return decision;
        }
        let promise = slots.promise(at, service, req, refused, measurements, draw);
        self.count(match promise.promised <= promise.drained {
            true => Event::Promised,
            false => Event::BeyondReach,
        });
        Err(Refused { retry_after: promise.delay, ..refused })
    }

    /// Drops slots that are past, and those far ahead that stem from a wall clock that was set back.
    pub fn expire(&mut self, wall_ms: u64, measurements: &mut Measurements) {
        self.services.iter_mut().for_each(|(service, slots)| slots.expire(service, wall_ms, measurements));
    }

    /// The number of each event since the last call.
    pub fn take_counts(&mut self) -> impl Iterator<Item = (Event, u64)> {
        let counts = std::mem::take(&mut self.counts);
        Event::ALL.into_iter().zip(counts).filter(|(_, n)| *n > 0)
    }

    /// The latest promise for each service since the last call.
    pub fn take_promises(&mut self) -> Vec<(Arc<str>, Promise)> {
        let taken = self.services.iter_mut().filter_map(|(name, s)| Some((name.clone(), s.last.take()?)));
        taken.collect()
    }

    fn is_returning(&mut self, req: &AdmissionRequest) -> bool {
        let longest = self.longest.entry(req.route).or_default();
        *longest = req.time_left.max(*longest);
        req.time_left + RETURN_THRESHOLD <= *longest
    }

    fn service(&mut self, service: &Arc<str>) -> &mut Slots {
        self.services.entry(service.clone()).or_insert_with(Slots::new)
    }

    fn count(&mut self, event: Event) {
        self.counts[event as usize] += 1;
    }
}
