//! A lease that this process took.

use std::time::Duration;

use super::{Candidate, Fencing, LeaseConfig};
use crate::{catalog::AnyObject, objects::Write, util::Instant};

/// Holds the lease, as long as [`Held::check`] says so.
#[derive(Clone, Debug)]
pub struct Held {
    terms: LeaseConfig,
    version: String,
    fencing: Fencing,
    acquired: Instant,
    valid_until: Instant,
    last_seen: Instant,
    renewing: Option<Renewing>,
}

#[derive(Clone, Debug)]
struct Renewing {
    nonce: String,
    sent: Instant,
}

/// What became of a renewal.
#[derive(Debug)]
pub enum Renewed {
    /// The lease is still this process's.
    Held(Held),
    /// Another process took it.
    Lost(Candidate),
}

impl Held {
    pub(super) fn new(
        terms: LeaseConfig,
        obj: &AnyObject,
        fencing: Fencing,
        sent: Instant,
        now: Instant,
    ) -> Self {
        let valid_until = sent + terms.ttl;
        let version = obj.metadata.resource_version.clone();
        Self { terms, version, fencing, acquired: now, valid_until, last_seen: now, renewing: None }
    }

    /// Terms.
    pub fn terms(&self) -> &LeaseConfig {
        &self.terms
    }

    /// When the lease was taken.
    pub fn acquired(&self) -> Instant {
        self.acquired
    }

    /// The fencing number, if the lease certainly holds for `margin` longer.
    ///
    /// Guards against a pause past the lease: the clock goes on while the host is suspended, so a holder that wakes up
    /// finds itself lapsed. A clock that went back proves nothing any more; the lease then counts as lapsed until the
    /// next renewal.
    pub fn check(&mut self, now: Instant, margin: Duration) -> Option<Fencing> {
        if now < self.last_seen {
            self.valid_until = Instant::ZERO;
        }
        self.last_seen = now;
        (now + margin < self.valid_until).then_some(self.fencing)
    }

    /// The renewal to send now, if one is due.
    ///
    /// A lapsed lease may be renewed too: the write takes effect only if nobody took the lease meanwhile.
    pub fn renewal(&mut self, now: Instant, nonce: impl Into<String>) -> Option<AnyObject> {
        let _ = self.check(now, Duration::ZERO);
        let due = self.valid_until.saturating_sub(self.terms.period() * 2);
        if now < due {
            return None;
        }
        // A renewal without an answer is sent again as it was, so that it takes effect at most once.
        let renewing = self.renewing.get_or_insert_with(|| Renewing { nonce: nonce.into(), sent: now });
        Some(self.terms.object(&self.version, &renewing.nonce, &self.terms.holder, self.fencing))
    }

    /// Takes the answer to a renewal.
    pub fn renewed(mut self, now: Instant, write: Write) -> Renewed {
        let _ = self.check(now, Duration::ZERO);
        let Some(renewing) = self.renewing.take() else { return Renewed::Held(self) };
        match write {
            Write::Done(obj) => self.extend(&obj, &renewing),
            Write::Conflict(Some(obj)) if obj.metadata.writer_nonce == renewing.nonce => {
                self.extend(&obj, &renewing);
            }
            Write::Conflict(_) => return Renewed::Lost(Candidate::new(self.terms)),
            Write::Unknown => self.renewing = Some(renewing),
        }
        Renewed::Held(self)
    }

    fn extend(&mut self, obj: &AnyObject, renewing: &Renewing) {
        self.version.clone_from(&obj.metadata.resource_version);
        // A clock that went back since the send makes this time too late to count from.
        if renewing.sent <= self.last_seen {
            self.valid_until = renewing.sent + self.terms.ttl;
        }
    }

    /// Gives the lease back: the write that lets a candidate take it at once.
    pub fn release(self, nonce: impl Into<String>) -> AnyObject {
        self.terms.object(&self.version, &nonce.into(), "", self.fencing)
    }
}
