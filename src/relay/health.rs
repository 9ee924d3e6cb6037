//! Tracks which backend servers have failed requests recently, regardless of their own health answers.
//!
//! Each answer or failure updates the failure ratio of a server. A server is unhealthy while its ratio is well
//! above that of the other servers of its service, so that all servers stay in use if the whole service fails. A
//! server that cannot be connected to is avoided for a backoff period that doubles each time. A server that refuses
//! a request may also ask this host for a pause, during which it gets no requests at all.

use std::time::Duration;

use super::backends::BackendKey;
use crate::util::{Instant, Map, decay};

/// Weight of the latest result in the failure ratio, so that roughly the last ten results count.
const RESULT_WEIGHT: f64 = 0.12;
/// Excess of a server's failure ratio over the mean of the others from which it is unhealthy.
const UNHEALTHY_MARGIN: f64 = 0.25;
/// First backoff after a failed connection.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Maximum pause that a server may request; after it the server gets requests again and may ask for another pause.
const MAX_REQUESTED_PAUSE: Duration = Duration::from_secs(3_600);
/// Half-life of the failure ratio of a server without requests, so that it is tried again.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    ratio: f64,
    updated: Instant,
    backoff: Duration,
    backoff_until: Instant,
}

impl Entry {
    fn ratio(&self, now: Instant) -> f64 {
        self.ratio * decay(now.saturating_sub(self.updated), RATIO_HALF_LIFE)
    }
}

/// Sum of the failure ratios of a service's servers, computed once per choice: comparing each server with each
/// other one would take ten thousand look-ups for a hundred servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureSummary {
    sum: f64,
    servers: usize,
}

/// Health of the backend servers as seen by this host.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: Map<BackendKey, Entry>,
    /// When the pauses that servers have requested end.
    requested_pauses: Map<BackendKey, Instant>,
}

impl Health {
    /// Records that a server requests a pause. A shorter pause that arrives later does not end a longer one, since
    /// answers may overtake each other.
    pub fn record_requested_pause(&mut self, now: Instant, key: BackendKey, pause: Duration) {
        let until = now + pause.min(MAX_REQUESTED_PAUSE);
        let end = self.requested_pauses.entry(key).or_default();
        *end = until.max(*end);
    }

    /// When the pause that a server has requested ends, if it is in one.
    pub fn requested_pause_end(&self, now: Instant, key: BackendKey) -> Option<Instant> {
        self.requested_pauses.get(&key).copied().filter(|until| *until > now)
    }

    /// Records a complete answer that was not a failure of the server; returns whether it ends a backoff.
    pub fn record_success(&mut self, now: Instant, key: BackendKey) -> bool {
        let entry = self.servers.entry(key).or_default();
        let was_backing_off = !entry.backoff.is_zero();
        *entry = Entry { ratio: entry.ratio(now) * (1.0 - RESULT_WEIGHT), updated: now, ..Entry::default() };
        was_backing_off
    }

    /// Records a failure of a request that had been sent.
    pub fn record_failure(&mut self, now: Instant, key: BackendKey) {
        let entry = self.servers.entry(key).or_default();
        entry.ratio = entry.ratio(now) * (1.0 - RESULT_WEIGHT) + RESULT_WEIGHT;
        entry.updated = now;
    }

    /// Records that a server could not be connected to or did not answer in time; returns the backoff if one
    /// begins.
    pub fn record_unreachable(&mut self, now: Instant, key: BackendKey) -> Option<Duration> {
        self.record_failure(now, key);
        let entry = self.servers.entry(key).or_default();
        if entry.backoff_until > now {
            return None;
        }
        entry.backoff = (entry.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        entry.backoff_until = now + entry.backoff;
        Some(entry.backoff)
    }

    /// Sums up the failure ratios of the servers of a service.
    pub fn failure_summary(&self, now: Instant, service: &[BackendKey]) -> FailureSummary {
        let ratio = |key: &BackendKey| self.servers.get(key).map_or(0.0, |e| e.ratio(now));
        FailureSummary { sum: service.iter().map(ratio).sum(), servers: service.len() }
    }

    /// Whether a server is to be avoided, compared with the servers of its service.
    pub fn is_unhealthy(&self, now: Instant, key: BackendKey, service: FailureSummary) -> bool {
        let Some(entry) = self.servers.get(&key) else { return false };
        if entry.backoff_until > now {
            return true;
        }
        let others = service.servers.saturating_sub(1);
        if others == 0 {
            return false;
        }
        let ratio = entry.ratio(now);
        ratio > (service.sum - ratio) / others as f64 + UNHEALTHY_MARGIN
    }

    /// Whether a server is avoided after a failed connection.
    pub fn is_backing_off(&self, now: Instant, key: BackendKey) -> bool {
        self.servers.get(&key).is_some_and(|e| e.backoff_until > now)
    }

    /// Forgets a server that has been removed.
    pub fn forget(&mut self, key: BackendKey) {
        self.servers.remove(&key);
        self.requested_pauses.remove(&key);
    }
}
