//! Permits to run suspect contents: at most one run per content and at most one suspect per engine.
//!
//! Each router keeps a table of permits, which is used while that router is the arbiter, elected by rendezvous
//! hashing over the live members. Without a single arbiter, two routers could run two suspects on one engine, whose
//! second crash would quarantine the harmless one of the two. Or each router could run the same content on a
//! different engine, and one engine per router would be lost.

use std::{sync::Arc, time::Duration};

use super::{Fingerprint, Verdict};
use crate::util::{Instant, Map, hash};

#[derive(Clone, Debug)]
struct Permit {
    engine: Arc<str>,
    until: Instant,
}

/// Permits granted by this router as arbiter.
#[derive(Debug)]
pub struct Permits {
    max_permits: usize,
    contents: Map<Fingerprint, Permit>,
    engines: Map<Arc<str>, Fingerprint>,
}

impl Default for Permits {
    fn default() -> Self {
        Self::new(1024)
    }
}

impl Permits {
    /// Creates a table of at most `max_permits` permits.
    pub fn new(max_permits: usize) -> Self {
        Self { max_permits, contents: Map::default(), engines: Map::default() }
    }

    /// Requests a permit for a suspect to run on an engine; it expires after `hold`.
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
        self.contents.insert(content, Permit { engine, until: now + hold });
        Verdict::Granted
    }

    /// Releases a permit, unless it has expired and the content has a permit for another engine since.
    pub fn release(&mut self, content: Fingerprint, engine: &str) {
        if self.contents.get(&content).is_some_and(|permit| &*permit.engine == engine) {
            self.contents.remove(&content);
            self.engines.remove(engine);
        }
    }

    /// Number of permits in force.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Whether no permit is in force.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Removes expired permits.
    fn expire(&mut self, now: Instant) {
        let engines = &mut self.engines;
        self.contents.retain(|_, permit| {
            let keep = permit.until > now;
            if !keep {
                engines.remove(&permit.engine);
            }
            keep
        });
    }
}

/// Sorts routers by their preference as arbiter, by rendezvous hashing, most preferred first.
///
/// One arbiter decides for the whole region: suspects are rare, and with the content and the engine locked at two
/// different routers one lock would have to wait for the other.
pub fn sort_arbiters<T>(routers: &mut [T], id: impl Fn(&T) -> u64) {
    routers.sort_by_key(|r| std::cmp::Reverse(hash(("suspects", id(r)))));
}
