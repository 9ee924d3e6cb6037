//! Permits: at most one run of a suspect content, and at most one suspect on an engine.
//!
//! Every router keeps such a table and uses it when the others choose it, by rendezvous over the live members.
//! Without one place that decides, two routers would run two suspects on one engine, and its second crash
//! would quarantine the innocent of the two; or each would run the same content on an engine of its own and
//! lose one engine a router.

use std::{sync::Arc, time::Duration};

use super::{Fingerprint, Verdict};
use crate::util::{Instant, Map, hash};

#[derive(Clone, Debug)]
struct Held {
    engine: Arc<str>,
    until: Instant,
}

/// Permits given out by this router.
#[derive(Debug)]
pub struct Permits {
    max_permits: usize,
    contents: Map<Fingerprint, Held>,
    engines: Map<Arc<str>, Fingerprint>,
}

impl Default for Permits {
    fn default() -> Self {
        Self::new(1024)
    }
}

impl Permits {
    /// No permit is out; at most `max_permits` ever are.
    pub fn new(max_permits: usize) -> Self {
        Self { max_permits, contents: Map::default(), engines: Map::default() }
    }

    /// Decides whether a suspect may run on an engine for at most `hold`.
    pub fn acquire(
        &mut self,
        now: Instant,
        content: Fingerprint,
        engine: impl Into<Arc<str>>,
        hold: Duration,
    ) -> Verdict {
        let engine = engine.into();
        self.expire(now);
        if self.contents.contains_key(&content) {
            return Verdict::ContentRunning;
        }
        if self.engines.contains_key(&engine) || self.contents.len() >= self.max_permits {
            return Verdict::EngineTaken;
        }
        self.engines.insert(engine.clone(), content);
        self.contents.insert(content, Held { engine, until: now + hold });
        Verdict::Granted
    }

    /// Takes a permit back. One that has lapsed and was given to another engine since stays.
    pub fn release(&mut self, content: Fingerprint, engine: &str) {
        if self.contents.get(&content).is_some_and(|held| &*held.engine == engine) {
            self.contents.remove(&content);
            self.engines.remove(engine);
        }
    }

    /// Permits that are out.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Whether no permit is out.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        let engines = &mut self.engines;
        self.contents.retain(|_, held| {
            let keep = held.until > now;
            if !keep {
                engines.remove(&held.engine);
            }
            keep
        });
    }
}

/// Routers in the order in which they are asked for the permit of any suspect, best first.
///
/// One router decides for the whole region: suspects are rare, and two locks, content and engine, can't be
/// taken at two places without one of them waiting for the other.
pub fn sort_arbiters<T>(routers: &mut [T], id: impl Fn(&T) -> u64) {
    routers.sort_by_key(|r| std::cmp::Reverse(hash(("suspects", id(r)))));
}
