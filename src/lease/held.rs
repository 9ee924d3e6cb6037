//! A lease that this process has acquired.

use std::time::Duration;

use super::{Candidate, Fencing, LeaseConfig};
use crate::{catalog::AnyObject, objects::WriteOutcome, util::Instant};

/// An acquired lease, valid as long as [`Held::check`] returns its fencing token.
#[derive(Clone, Debug)]
pub struct Held {
    config: LeaseConfig,
    version: String,
    fencing: Fencing,
    acquired: Instant,
    valid_until: Instant,
    last_checked: Instant,
    pending: Option<PendingRenewal>,
}

#[derive(Clone, Debug)]
struct PendingRenewal {
    nonce: String,
    sent: Instant,
}

/// Outcome of a renewal.
#[derive(Debug)]
pub enum Renewed {
    /// This process still holds the lease, or the outcome is unknown.
    Held(Held),
    /// Another process has acquired the lease.
    Lost(Candidate),
}

impl Held {
    pub(super) fn new(
        config: LeaseConfig,
        obj: &AnyObject,
        fencing: Fencing,
        sent: Instant,
        now: Instant,
    ) -> Self {
        let valid_until = sent + config.ttl;
        let version = obj.metadata.resource_version.clone();
        Self { config, version, fencing, acquired: now, valid_until, last_checked: now, pending: None }
    }

    /// Configuration of the lease.
    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// When the lease was acquired.
    pub fn acquired(&self) -> Instant {
        self.acquired
    }

    /// Returns the fencing token if the lease is certain to be valid for at least `margin` longer.
    ///
    /// The clock keeps running while the host is suspended, so a holder that was paused beyond its TTL finds the lease
    /// expired when it resumes. After a clock went backwards its time can't be trusted; the lease then counts as
    /// expired until the next renewal.
    pub fn check(&mut self, now: Instant, margin: Duration) -> Option<Fencing> {
        if now < self.last_checked {
            self.valid_until = Instant::ZERO;
        }
        self.last_checked = now;
        (now + margin < self.valid_until).then_some(self.fencing)
    }

    /// Returns the renewal to write now, if one is due.
    ///
    /// An expired lease may be renewed too: the write takes effect only if no other process has acquired the lease.
    pub fn renewal(&mut self, now: Instant, nonce: impl Into<String>) -> Option<AnyObject> {
        let _ = self.check(now, Duration::ZERO);
        let due = self.valid_until.saturating_sub(self.config.period() * 2);
        if now < due {
            return None;
        }
        // A renewal with an unknown outcome is sent again unchanged, so that it takes effect at most once.
        let pending = self.pending.get_or_insert_with(|| PendingRenewal { nonce: nonce.into(), sent: now });
        Some(self.config.object(&self.version, &pending.nonce, &self.config.holder, self.fencing))
    }

    /// Handles the response to a renewal.
    pub fn renewed(mut self, now: Instant, write: WriteOutcome) -> Renewed {
        let _ = self.check(now, Duration::ZERO);
        let Some(pending) = self.pending.take() else { return Renewed::Held(self) };
        match write {
            WriteOutcome::Done(obj) => self.extend(&obj, &pending),
            WriteOutcome::Conflict(Some(obj)) if obj.metadata.writer_nonce == pending.nonce => {
                self.extend(&obj, &pending);
            }
            WriteOutcome::Conflict(_) => return Renewed::Lost(Candidate::new(self.config)),
            WriteOutcome::Unknown => self.pending = Some(pending),
        }
        Renewed::Held(self)
    }

    fn extend(&mut self, obj: &AnyObject, pending: &PendingRenewal) {
        self.version.clone_from(&obj.metadata.resource_version);
        // If the clock went backwards since the send, the send time is too late to measure the TTL from.
        if pending.sent <= self.last_checked {
            self.valid_until = pending.sent + self.config.ttl;
        }
    }

    /// Releases the lease; returns the object to write, which lets a candidate acquire the lease at once.
    pub fn release(self, nonce: impl Into<String>) -> AnyObject {
        self.config.object(&self.version, &nonce.into(), "", self.fencing)
    }
}
