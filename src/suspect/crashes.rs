//! Recent crashes of engines.

use std::time::Duration;

use super::{CrashId, EngineHash};
use crate::util::{Instant, Map, Set};

/// Maximum number of tracked crashes; beyond it the oldest is evicted.
const MAX_CRASHES: usize = 1024;
/// Number of recent crashes that make an engine unstable even if each is attributed to a content. A crash that is
/// attributed to none counts as this many.
const UNSTABLE_CRASHES: usize = 2;

/// Recent crashes, each kept until it expires.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    expiries: Map<CrashId, Instant>,
    /// Engines whose connections broke without a crash, with the time when this expires.
    disconnected: Map<EngineHash, Instant>,
}

impl CrashHistory {
    /// Records a crash for the duration `keep`; returns whether it was unknown.
    pub(super) fn record(&mut self, now: Instant, crash: CrashId, keep: Duration) -> bool {
        let new = self.expiries.insert(crash, now + keep).is_none();
        if self.expiries.len() > MAX_CRASHES {
            self.evict(now);
        }
        new
    }

    /// Removes expired crashes, and the oldest one if there are still too many.
    fn evict(&mut self, now: Instant) {
        self.expiries.retain(|_, until| *until > now);
        let oldest = self.expiries.iter().min_by_key(|(_, until)| **until).map(|(crash, _)| *crash);
        if let Some(oldest) = oldest.filter(|_| self.expiries.len() > MAX_CRASHES) {
            self.expiries.remove(&oldest);
        }
    }

    /// Retracts a crash: the engine only lost its connections, which is recorded for the duration `keep`.
    pub(super) fn retract(&mut self, now: Instant, crash: CrashId, keep: Duration) {
        self.expiries.remove(&crash);
        self.disconnected.retain(|_, until| *until > now);
        self.disconnected.insert(crash.engine(), now + keep);
    }

    /// Engines with a crash that is attributed to no content, with several crashes or with lost connections. The
    /// crash `excluded` is not counted.
    pub(super) fn unstable_engines(
        &self,
        now: Instant,
        attributed_crashes: &Set<CrashId>,
        excluded: Option<CrashId>,
    ) -> Set<EngineHash> {
        let mut crashes: Map<EngineHash, usize> = Map::default();
        let unexpired = self.expiries.iter().filter(|(c, until)| **until > now && Some(**c) != excluded);
        for (crash, _) in unexpired {
            let weight = if attributed_crashes.contains(crash) { 1 } else { UNSTABLE_CRASHES };
            *crashes.entry(crash.engine()).or_default() += weight;
        }
        let disconnected =
            self.disconnected.iter().filter(|(_, until)| **until > now).map(|(engine, _)| *engine);
        let crashed = crashes.into_iter().filter(|(_, n)| *n >= UNSTABLE_CRASHES).map(|(engine, _)| engine);
        crashed.chain(disconnected).collect()
    }
}
