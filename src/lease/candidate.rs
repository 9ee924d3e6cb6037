//! Observes a lease that another process may hold.

use std::time::Duration;

use super::{Acquiring, LeaseConfig, spec_of};
use crate::{catalog::AnyObject, util::Instant};

/// The TTL is extended by one part in this many, as the clocks of two hosts may run at slightly different speeds.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// A process that does not hold the lease and waits to acquire it.
#[derive(Clone, Debug)]
pub struct Candidate {
    config: LeaseConfig,
    last_read: Option<LastRead>,
}

#[derive(Clone, Debug)]
struct LastRead {
    version: String,
    at: Instant,
    unchanged: Duration,
}

/// Result of a read of the lease.
#[derive(Debug)]
pub enum Observed {
    /// Another process may hold the lease.
    HeldByOther(Candidate),
    /// The lease is free; the next step is the acquiring write.
    Free(Acquiring),
}

impl Candidate {
    /// Creates a candidate that has not read the lease yet.
    pub fn new(config: LeaseConfig) -> Self {
        Self { config, last_read: None }
    }

    /// Configuration of the lease.
    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// Handles the result of a read; `now` is the time after the read, `nonce` identifies the write that may follow.
    pub fn observe(mut self, now: Instant, obj: Option<&AnyObject>, nonce: impl Into<String>) -> Observed {
        let Some(obj) = obj else { return Observed::Free(Acquiring::new(self.config, "", nonce)) };
        let spec = spec_of(obj);
        let version = &obj.metadata.resource_version;
        if spec.holder.is_empty() {
            return Observed::Free(Acquiring::new(self.config, version, nonce));
        }
        let ttl = Duration::from_millis(spec.ttl_ms);
        if self.time_unchanged(now, version) > ttl + ttl / CLOCK_DRIFT_DIVISOR {
            return Observed::Free(Acquiring::new(self.config, version, nonce));
        }
        Observed::HeldByOther(self)
    }

    /// Records the version and returns for how long it has been unchanged.
    ///
    /// Each interval between two reads counts for at most two periods, so that a clock that jumps ahead, by an hour
    /// for example, does not make the lease of a live holder look expired.
    fn time_unchanged(&mut self, now: Instant, version: &str) -> Duration {
        let max_step = self.config.period() * 2;
        let unchanged = match self.last_read.take() {
            Some(last_read) if last_read.version == version => {
                last_read.unchanged + now.saturating_sub(last_read.at).min(max_step)
            }
            _ => Duration::ZERO,
        };
        self.last_read = Some(LastRead { version: version.to_owned(), at: now, unchanged });
        unchanged
    }
}
