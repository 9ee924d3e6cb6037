//! Watches a lease that another process may hold.

use std::time::Duration;

use super::{Acquiring, LeaseConfig, spec_of};
use crate::{catalog::AnyObject, util::Instant};

/// Added to the lease's time, as the clocks of two hosts may run at slightly different speeds.
const DRIFT: u32 = 10;

/// Does not hold the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    terms: LeaseConfig,
    seen: Option<Seen>,
}

#[derive(Clone, Debug)]
struct Seen {
    version: String,
    at: Instant,
    quiet: Duration,
}

/// What a look at the lease led to.
#[derive(Debug)]
pub enum Observed {
    /// Another process may hold it.
    HeldByOther(Candidate),
    /// It is free; the next step is to write.
    Free(Acquiring),
}

impl Candidate {
    /// Has not looked yet.
    pub fn new(terms: LeaseConfig) -> Self {
        Self { terms, seen: None }
    }

    /// Terms.
    pub fn terms(&self) -> &LeaseConfig {
        &self.terms
    }

    /// Takes what a read returned; `now` is the time after the read, `nonce` goes into a write.
    pub fn observe(mut self, now: Instant, obj: Option<&AnyObject>, nonce: impl Into<String>) -> Observed {
        let Some(obj) = obj else { return Observed::Free(Acquiring::new(self.terms, "", nonce)) };
        let spec = spec_of(obj);
        let version = &obj.metadata.resource_version;
        if spec.holder.is_empty() {
            return Observed::Free(Acquiring::new(self.terms, version, nonce));
        }
        let ttl = Duration::from_millis(spec.ttl_ms);
        if self.note(now, version) > ttl + ttl / DRIFT {
            return Observed::Free(Acquiring::new(self.terms, version, nonce));
        }
        Observed::HeldByOther(self)
    }

    /// Notes a version and returns for how long it has been the same.
    ///
    /// Guards against a clock that jumps ahead: each step between two reads counts for at most two periods, so a jump
    /// of an hour doesn't make a live holder look lapsed.
    fn note(&mut self, now: Instant, version: &str) -> Duration {
        let most = self.terms.period() * 2;
        let quiet = match self.seen.take() {
            Some(seen) if seen.version == version => seen.quiet + now.saturating_sub(seen.at).min(most),
            _ => Duration::ZERO,
        };
        self.seen = Some(Seen { version: version.to_owned(), at: now, quiet });
        quiet
    }
}
