//! Leases in the platform, with fencing numbers.
//!
//! A lease is one object. Its holder renews it by conditional writes; a candidate takes it over after it has seen the
//! same version for longer than the lease lasts. The fencing number is the version of the write by which the holder
//! took over, so it rises strictly with each change of holder.
//!
//! No clock is ever compared with one of another host. The holder counts from before it sent its write, a candidate
//! from after it read the object, both on a clock that goes on while the host is suspended: the holder always believes
//! itself lapsed before a candidate believes so.
//!
//! The life cycle is in the types: [`Candidate`] → [`Acquiring`] → [`Held`] → [`Candidate`]. [`LeaseDriver`] drives it.

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

/// Kind of the objects.
pub const KIND: &str = "Lease";

/// Number that rises with each change of holder.
pub type Fencing = Version;

/// What is leased, by whom and for how long.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Name of the lease.
    pub name: Arc<str>,
    /// This process; different after each restart, so that nobody takes an earlier life's lease for its own.
    pub holder: Arc<str>,
    /// Time for which a write holds.
    pub ttl: Duration,
}

impl LeaseConfig {
    /// Terms of the process `holder`.
    pub fn new(name: impl Into<Arc<str>>, holder: impl Into<Arc<str>>, ttl: Duration) -> Self {
        Self { name: name.into(), holder: holder.into(), ttl }
    }

    /// Time between reads of a candidate and between renewals of a holder.
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
