//! Which engines crashed lately.

use std::time::Duration;

use super::{CrashId, EngineHash};
use crate::util::{Instant, Map, Set};

/// Crashes remembered; beyond them the oldest is forgotten.
const MOST: usize = 1024;
/// Crashes of one engine that make it unsteady even if each is blamed on some content.
const FLAPPING: usize = 2;

/// Crashes of engines, each remembered for a while.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    until: Map<CrashId, Instant>,
    /// Engines whose connections broke while they went on.
    cut: Map<EngineHash, Instant>,
}

impl CrashHistory {
    /// Notes a crash; returns whether it is news.
    pub(super) fn note(&mut self, now: Instant, crash: CrashId, keep: Duration) -> bool {
        let new = self.until.insert(crash, now + keep).is_none();
        if self.until.len() > MOST {
            self.shrink(now);
        }
        new
    }

    fn shrink(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
        let oldest = self.until.iter().min_by_key(|(_, until)| **until).map(|(crash, _)| *crash);
        if let Some(oldest) = oldest.filter(|_| self.until.len() > MOST) {
            self.until.remove(&oldest);
        }
    }

    /// Turns a crash into a mere cut of connections.
    pub(super) fn retract_crash(&mut self, now: Instant, crash: CrashId, keep: Duration) {
        self.until.remove(&crash);
        self.cut.retain(|_, until| *until > now);
        self.cut.insert(crash.engine(), now + keep);
    }

    /// Engines with a crash that no content is known to have caused, with several crashes or with cut
    /// connections; `except` does not count.
    pub(super) fn unstable_engines(
        &self,
        now: Instant,
        attributed: &Set<CrashId>,
        except: Option<CrashId>,
    ) -> Set<EngineHash> {
        let mut crashes: Map<EngineHash, usize> = Map::default();
        let recent = self.until.iter().filter(|(c, until)| **until > now && Some(**c) != except);
        for (crash, _) in recent {
            let weight = if attributed.contains(crash) { 1 } else { FLAPPING };
            *crashes.entry(crash.engine()).or_default() += weight;
        }
        let cut = self.cut.iter().filter(|(_, until)| **until > now).map(|(engine, _)| *engine);
        let crashed = crashes.into_iter().filter(|(_, n)| *n >= FLAPPING).map(|(engine, _)| engine);
        crashed.chain(cut).collect()
    }
}
