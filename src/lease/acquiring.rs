//! Takes a lease by one conditional write whose answer may be lost.

use super::{Candidate, Held, LeaseConfig, version_of};
use crate::{catalog::AnyObject, objects::Write, util::Instant};

/// Has decided to take the lease; the write may be on its way.
#[derive(Clone, Debug)]
pub struct Acquiring {
    terms: LeaseConfig,
    version: String,
    nonce: String,
    first_sent: Option<Instant>,
}

/// What became of the write.
#[derive(Debug)]
pub enum Acquired {
    /// The lease is held, unless the answer took longer than the lease lasts.
    Held(Held),
    /// No answer; send the same write again.
    Retry(Acquiring),
    /// Another process was first.
    Lost(Candidate),
}

impl Acquiring {
    pub(super) fn new(terms: LeaseConfig, version: &str, nonce: impl Into<String>) -> Self {
        Self { terms, version: version.to_owned(), nonce: nonce.into(), first_sent: None }
    }

    /// Terms.
    pub fn terms(&self) -> &LeaseConfig {
        &self.terms
    }

    /// The write to send now.
    pub fn attempt(&mut self, now: Instant) -> AnyObject {
        self.first_sent.get_or_insert(now);
        self.terms.object(&self.version, &self.nonce, &self.terms.holder, 0)
    }

    /// Takes the answer to the write.
    ///
    /// Guards against an answer lost after the write took effect. The same conditional write is sent again: it meets
    /// its own object, known by the nonce. The lease is counted from the first send, as any of the sends may have been
    /// the one that took effect; if it ran out meanwhile, the old write is given up.
    pub fn answered(self, now: Instant, write: Write) -> Acquired {
        let sent = self.first_sent.unwrap_or(now);
        match write {
            Write::Done(obj) => Acquired::Held(Held::new(self.terms, &obj, version_of(&obj), sent, now)),
            Write::Conflict(Some(obj)) if obj.metadata.writer_nonce == self.nonce => {
                Acquired::Held(Held::new(self.terms, &obj, version_of(&obj), sent, now))
            }
            Write::Unknown if now < sent + self.terms.ttl => Acquired::Retry(self),
            Write::Conflict(_) | Write::Unknown => Acquired::Lost(Candidate::new(self.terms)),
        }
    }
}
