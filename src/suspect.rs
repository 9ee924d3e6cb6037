//! Quarantine of request contents that crash backend servers.
//!
//! When an engine crashes, all contents that it was running become suspects ([`RunningContents`], [`SuspectTable`]). A suspect runs
//! again only under a permit ([`Permits`]), with at most one permit per engine and per content. A content that
//! crashes a stable engine under its permit is quarantined; a suspect that completes is cleared. Routers share
//! this state in a [`crate::schema::suspect::Digest`], immediately after a crash and later by gossip.

mod crashes;
mod fingerprint;
mod permit;
mod running;
mod table;

pub use fingerprint::Fingerprint;
pub use permit::{Permits, sort_arbiters};
pub use running::{RunKey, RunningContents};
pub use table::{SuspectTable, SuspectTableLimits};

pub use crate::schema::suspect::{Standing, Verdict};

use crate::util::hash;

/// Hash of an engine's name, the part of a [`CrashId`] that identifies the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineHash(u32);

impl EngineHash {
    /// Hash of the engine with this name.
    pub fn new(engine: &str) -> Self {
        Self(hash(engine) as u32)
    }
}

/// Identifies one crash of one engine; all routers that observe the crash derive the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CrashId(u64);

impl CrashId {
    /// Identifier of the crash that ended the process with this start number.
    pub fn new(engine: &str, start: &str) -> Self {
        let EngineHash(tag) = EngineHash::new(engine);
        Self(u64::from(tag) << 32 | u64::from(hash((engine, start)) as u32))
    }

    /// The engine that crashed.
    pub fn engine(self) -> EngineHash {
        EngineHash((self.0 >> 32) as u32)
    }
}
