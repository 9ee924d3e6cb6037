//! Acquires a lease by one conditional write whose response may be lost.

use super::{Candidate, Held, LeaseConfig, version_of};
use crate::{catalog::AnyObject, objects::WriteOutcome, util::Instant};

/// An attempt to acquire a lease; the write may be in flight.
#[derive(Clone, Debug)]
pub struct Acquiring {
    config: LeaseConfig,
    version: String,
    nonce: String,
    first_sent: Option<Instant>,
}

/// Outcome of the acquiring write.
#[derive(Debug)]
pub enum Acquired {
    /// The lease is held, unless the response took longer than the TTL.
    Held(Held),
    /// The outcome is unknown; send the same write again.
    Retry(Acquiring),
    /// Another process acquired the lease first, or the attempt took longer than the TTL.
    Lost(Candidate),
}

impl Acquiring {
    pub(super) fn new(config: LeaseConfig, version: &str, nonce: impl Into<String>) -> Self {
        Self { config, version: version.to_owned(), nonce: nonce.into(), first_sent: None }
    }

    /// Configuration of the lease.
    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// Returns the object to write now; it is the same for each retry.
    pub fn attempt(&mut self, now: Instant) -> AnyObject {
        self.first_sent.get_or_insert(now);
        self.config.object(&self.version, &self.nonce, &self.config.holder, 0)
    }

    /// Handles the response to the write.
    ///
    /// If a response is lost after the write took effect, the retry of the same conditional write conflicts with its
    /// own object, which the nonce identifies. The TTL is measured from the first send, as any of the sends may have
    /// taken effect; if it has expired in the meantime, the attempt is abandoned.
    pub fn answered(self, now: Instant, write: WriteOutcome) -> Acquired {
        let sent = self.first_sent.unwrap_or(now);
        match write {
            WriteOutcome::Done(obj) => {
                Acquired::Held(Held::new(self.config, &obj, version_of(&obj), sent, now))
            }
            WriteOutcome::Conflict(Some(obj)) if obj.metadata.writer_nonce == self.nonce => {
                Acquired::Held(Held::new(self.config, &obj, version_of(&obj), sent, now))
            }
            WriteOutcome::Unknown if now < sent + self.config.ttl => Acquired::Retry(self),
            WriteOutcome::Conflict(_) | WriteOutcome::Unknown => Acquired::Lost(Candidate::new(self.config)),
        }
    }
}
