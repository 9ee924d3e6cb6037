//! Which backend servers fail requests lately, whatever their health answers say.
//!
//! Each answer or failure moves a server's failure ratio. A server is unsound while its ratio is well above that of
//! the other servers of its service, so that a service that fails as a whole keeps all of them; one that could not
//! be connected to is left alone for a pause that doubles. One that turns a request away may ask this host for a pause itself,
//! in which it gets nothing at all.

use std::time::Duration;

use super::backends::BackendKey;
use crate::util::{Instant, Map, decay};

/// Weight of the newest result in the failure ratio: about the last ten results count.
const WEIGHT: f64 = 0.12;
/// Failure ratio above the service's mean from which a server is unsound.
const MARGIN: f64 = 0.25;
/// First pause after a failed connection.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause.
const MOST_PAUSE: Duration = Duration::from_secs(4);
/// Longest pause that a server may ask for; one that asks for more is asked again then.
const MOST_ASKED: Duration = Duration::from_secs(3_600);
/// Time in which the failure ratio of a server without requests halves, so that it is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    ratio: f64,
    seen: Instant,
    pause: Duration,
    until: Instant,
}

impl Entry {
    fn ratio(&self, now: Instant) -> f64 {
        self.ratio * decay(now.saturating_sub(self.seen), HALF_LIFE)
    }
}

/// Failure ratios of a service, summed up once for all of its servers: with each server held against each other one, a
/// choice among a hundred costs ten thousand look-ups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Survey {
    sum: f64,
    servers: usize,
}

/// Results of the backend servers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: Map<BackendKey, Entry>,
    /// Until when servers have asked for nothing.
    asked: Map<BackendKey, Instant>,
}

impl Health {
    /// Notes that a server wants nothing from this host for a while. A shorter pause that comes later ends no longer one:
    /// answers may overtake each other.
    pub fn ask_pause(&mut self, now: Instant, key: BackendKey, pause: Duration) {
        let until = now + pause.min(MOST_ASKED);
        let known = self.asked.entry(key).or_default();
        *known = until.max(*known);
    }

    /// Until when a server wants nothing from this host, if it does.
    pub fn asked_pause(&self, now: Instant, key: BackendKey) -> Option<Instant> {
        self.asked.get(&key).copied().filter(|until| *until > now)
    }

    /// Notes an answer that was whole and no failure of the server; returns whether a pause ends with it.
    pub fn succeed(&mut self, now: Instant, key: BackendKey) -> bool {
        let entry = self.servers.entry(key).or_default();
        let paused = !entry.pause.is_zero();
        *entry = Entry { ratio: entry.ratio(now) * (1.0 - WEIGHT), seen: now, ..Entry::default() };
        paused
    }

    /// Notes a failure of a request that had been sent.
    pub fn fail(&mut self, now: Instant, key: BackendKey) {
        let entry = self.servers.entry(key).or_default();
        entry.ratio = entry.ratio(now) * (1.0 - WEIGHT) + WEIGHT;
        entry.seen = now;
    }

    /// Notes that no connection could be made, or that a server with requests in progress fell silent; returns the pause
    /// that begins with it, if one does.
    pub fn lose(&mut self, now: Instant, key: BackendKey) -> Option<Duration> {
        self.fail(now, key);
        let entry = self.servers.entry(key).or_default();
        if entry.until > now {
            return None;
        }
        entry.pause = (entry.pause * 2).clamp(FIRST_PAUSE, MOST_PAUSE);
        entry.until = now + entry.pause;
        Some(entry.pause)
    }

    /// Failure ratios of the servers of a service, against which each of them is held.
    pub fn survey(&self, now: Instant, service: &[BackendKey]) -> Survey {
        let ratio = |key: &BackendKey| self.servers.get(key).map_or(0.0, |e| e.ratio(now));
        Survey { sum: service.iter().map(ratio).sum(), servers: service.len() }
    }

    /// Whether a server is left alone at the moment, given those of its service.
    pub fn unsound(&self, now: Instant, key: BackendKey, service: Survey) -> bool {
        let Some(entry) = self.servers.get(&key) else { return false };
        if entry.until > now {
            return true;
        }
        let others = service.servers.saturating_sub(1);
        if others == 0 {
            return false;
        }
        let ratio = entry.ratio(now);
        ratio > (service.sum - ratio) / others as f64 + MARGIN
    }

    /// Whether a server is paused after a failed connection.
    pub fn paused(&self, now: Instant, key: BackendKey) -> bool {
        self.servers.get(&key).is_some_and(|e| e.until > now)
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, key: BackendKey) {
        self.servers.remove(&key);
        self.asked.remove(&key);
    }
}
