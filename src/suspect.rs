//! Requests that crash backend servers.
//!
//! A crash makes all that the engine was running suspects ([`Running`], [`Table`]). A suspect runs again only
//! under a permit ([`Permits`]), of which there is one an engine and one a content. A content that crashes a
//! steady engine under its permit is quarantined; a suspect that completes is cleared. Routers tell
//! each other by [`crate::schema::suspect::Digest`], at once after a crash and then by gossip.

mod crashes;
mod fingerprint;
mod permit;
mod running;
mod table;

pub use fingerprint::Fingerprint;
pub use permit::{Permits, sort_arbiters};
pub use running::{Run, Running};
pub use table::{Table, TableLimits};

pub use crate::schema::suspect::{Standing, Verdict};

use crate::util::hash;

/// Names an engine inside a [`CrashId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineHash(u32);

impl EngineHash {
    /// Tag of the engine with this name.
    pub fn new(engine: &str) -> Self {
        Self(hash(engine) as u32)
    }
}

/// Identifies one crash of one engine, the same at every router that saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CrashId(u64);

impl CrashId {
    /// The crash that ended the start `start` of an engine.
    pub fn new(engine: &str, start: &str) -> Self {
        let EngineHash(tag) = EngineHash::new(engine);
        Self(u64::from(tag) << 32 | u64::from(hash((engine, start)) as u32))
    }

    /// The engine that crashed.
    pub fn engine(self) -> EngineHash {
        EngineHash((self.0 >> 32) as u32)
    }
}
