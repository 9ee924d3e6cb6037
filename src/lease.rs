//! Leases stored on the platform, with fencing tokens.
//!
//! A lease is one object. Its holder renews it by conditional writes; a candidate takes it over after it has seen the
//! same version for longer than the lease's TTL. The fencing token is the version of the write that acquired the
//! lease, so it strictly increases with each change of holder.
//!
//! Clocks of different hosts are never compared. The holder measures its TTL from before it sent its write, a
//! candidate from after it read the object, both on a clock that keeps running while the host is suspended. The holder
//! therefore always considers the lease expired before any candidate does.
//!
//! The types encode the life cycle: [`Candidate`] → [`Acquiring`] → [`Held`] → [`Candidate`]. [`LeaseDriver`] runs it.

mod acquiring;
mod candidate;
mod driver;
mod held;

use std::{sync::Arc, time::Duration};

pub use acquiring::{Acquired, Acquiring};
pub use candidate::{Candidate, Observed};
pub use driver::{Action, LeaseDriver};
pub use held::{Held, Renewed};

use crate::{
    catalog::{AnyObject, Object},
    objects::Version,
    schema::{lease::LeaseSpec, object::Meta},
};

/// Kind of the lease objects.
pub const KIND: &str = "Lease";

/// Fencing token, which increases with each change of holder.
pub type Fencing = Version;

/// Name, holder and TTL of a lease.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Name of the lease.
    pub name: Arc<str>,
    /// Identity of this process; different after each restart, so that a process never mistakes the lease of its
    /// predecessor for its own.
    pub holder: Arc<str>,
    /// Time for which an acquiring or renewing write is valid.
    pub ttl: Duration,
}

impl LeaseConfig {
    /// Configuration of the lease `name` for the process `holder`.
    pub fn new(name: impl Into<Arc<str>>, holder: impl Into<Arc<str>>, ttl: Duration) -> Self {
        Self { name: name.into(), holder: holder.into(), ttl }
    }

    /// Interval between reads of a candidate and between renewals of a holder.
    pub fn period(&self) -> Duration {
        self.ttl / 3
    }

    fn object(&self, version: &str, nonce: &str, holder: &str, fencing: Fencing) -> AnyObject {
        let spec = LeaseSpec { holder: holder.into(), ttl_ms: self.ttl.as_millis() as u64, fencing };
        let metadata = Meta {
            name: self.name.to_string(),
            resource_version: version.into(),
            writer_nonce: nonce.into(),
            ..Meta::default()
        };
        let spec = serde_json::to_value(spec).unwrap_or_default();
        Object { kind: KIND.into(), metadata, spec }
    }
}

fn spec_of(obj: &AnyObject) -> LeaseSpec {
    serde_json::from_value(obj.spec.clone()).unwrap_or_default()
}

fn version_of(obj: &AnyObject) -> Version {
    obj.metadata.resource_version.parse().unwrap_or(0)
}
