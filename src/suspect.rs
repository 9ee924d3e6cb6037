//! Requests that crash backend servers.
//!
//! A crash makes all that the engine was running suspects ([`Running`], [`Table`]). A suspect runs again only
//! under a permit ([`Permits`]), of which there is one an engine and one a content. A content that crashes an
//! engine under its permit is quarantined, and the other suspects of both crashes are cleared. Routers tell
//! each other by [`crate::schema::suspect::Digest`], at once after a crash and then by gossip.

mod fingerprint;
mod permit;
mod running;
mod table;

pub use fingerprint::Fingerprint;
pub use permit::{Permits, order};
pub use running::{Run, Running};
pub use table::{Table, TableLimits};

pub use crate::schema::suspect::{Standing, Verdict};

/// Identifies one crash of one engine, the same at every router that saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CrashId(u64);

impl CrashId {
    /// The crash that ended the start `start` of an engine.
    pub fn new(engine: &str, start: &str) -> Self {
        Self(crate::util::hash((engine, start)))
    }
}
