//! Services whose servers say that they are brittle: one that has to turn away more than a few requests in a second falls
//! over.
//!
//! The limit counts what all hosts send together, so that each host leaves a server that has turned it away alone for its
//! share of a second. A host also sends nothing to a server whose places are taken, since such a server may let fewer
//! requests wait than usual.

use std::{sync::Arc, time::Duration};

use crate::util::{Instant, Map};

/// How long a service counts as brittle after its servers last said so. They say it in all their answers.
const MEMORY: Duration = Duration::from_secs(3);
/// Largest number of requests turned away in a second that is a limit; servers that bear more are not brittle.
const MAX_TOLERATED: u32 = 1_000;
/// Fraction of the limit that all hosts use together: what is on its way when a server fills up is turned away as well.
const USED_FRACTION: f64 = 0.5;
/// Limits of the pause after a refusal: within the shortest no place gets free, and the longest is that of a server that bears
/// no refusal at all.
const PAUSE_LIMITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// A service is brittle now, or no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the service.
    pub service: Arc<str>,
    /// Requests that one of its servers may turn away in a second; `None` if it is no longer brittle.
    pub tolerated: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tolerated: u32,
    until: Instant,
}

/// The brittle services.
#[derive(Clone, Debug, Default)]
pub struct Brittle {
    services: Map<Arc<str>, Entry>,
}

impl Brittle {
    /// Records that a server of a service says that it falls over once it turns away more than `tolerated` requests in a
    /// second. Servers may differ; the smallest limit that was told lately counts.
    pub fn record(&mut self, now: Instant, service: &Arc<str>, tolerated: u32) -> Option<Change> {
        if tolerated > MAX_TOLERATED {
            return None;
        }
        let until = now + MEMORY;
        match self.services.get_mut(service) {
            Some(entry) if entry.until > now => {
                *entry = Entry { tolerated: entry.tolerated.min(tolerated), until };
                None
            }
            _ => {
                self.services.insert(service.clone(), Entry { tolerated, until });
                Some(Change { service: service.clone(), tolerated: Some(tolerated) })
            }
        }
    }

    /// Whether the servers of a service are brittle.
    pub fn is_brittle(&self, now: Instant, service: &str) -> bool {
        self.services.get(service).is_some_and(|entry| entry.until > now)
    }

    /// How long a host of a fleet of `hosts` leaves a server alone that has turned it away, if the service is brittle.
    pub fn pause(&self, now: Instant, service: &str, hosts: usize) -> Option<Duration> {
        let entry = self.services.get(service).filter(|entry| entry.until > now)?;
        let (min, max) = PAUSE_LIMITS;
        let per_second = f64::from(entry.tolerated) * USED_FRACTION;
        let seconds = (hosts as f64 / per_second).clamp(min.as_secs_f64(), max.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    /// Ends the time of services that have not said it for a while; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let ended = self.services.extract_if(|_, entry| entry.until <= now);
        ended.map(|(service, _)| Change { service, tolerated: None }).collect()
    }
}
