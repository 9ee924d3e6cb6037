//! The versions of each service that may have begun streams which callers can still take up.

use std::{sync::Arc, time::Duration};

use super::{Continuation, VersionTag, service_tag, version_tag};
use crate::util::{Instant, Map};

/// A version of a service.
#[derive(Clone, Debug)]
struct Version {
    name: Arc<str>,
    /// When a server of this version was last known.
    seen: Instant,
}

#[derive(Clone, Debug, Default)]
struct Service {
    versions: Vec<Version>,
    /// Until when streams of other services may be taken up on its routes, or its streams on other services' routes.
    rerouted_until: Option<Instant>,
}

/// Versions by service. A version counts for the lifetime of a stream after its last server was known.
#[derive(Clone, Debug, Default)]
pub struct Served {
    services: Map<Arc<str>, Service>,
}

impl Served {
    /// Records the versions of all servers that are known, and drops those that no longer count. Returns the services whose
    /// versions changed.
    pub(super) fn observe<'a>(
        &mut self,
        now: Instant,
        lifetime: Duration,
        servers: impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)>,
    ) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for (service, version) in servers {
            if !self.services.contains_key(service) {
                self.services.insert(service.clone(), Service::default());
            }
            let Some(known) = self.services.get_mut(service) else { continue };
            match known.versions.iter_mut().find(|v| v.name == *version) {
                Some(known) => known.seen = now,
                None => {
                    known.versions.push(Version { name: version.clone(), seen: now });
                    changed.push(service.clone());
                }
            }
        }
        for (name, service) in &mut self.services {
            let before = service.versions.len();
            service.versions.retain(|v| v.seen + lifetime >= now);
            service.rerouted_until = service.rerouted_until.filter(|until| *until > now);
            if service.versions.len() != before {
                changed.push(name.clone());
            }
        }
        self.services.retain(|_, s| !s.versions.is_empty() || s.rerouted_until.is_some());
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    pub(super) fn record_reroute(&mut self, until: Instant, service: &str) {
        self.services.entry(service.into()).or_default().rerouted_until = Some(until);
    }

    /// Names of the versions of a service that count.
    pub fn versions(&self, service: &str) -> impl Iterator<Item = &Arc<str>> {
        self.services.get(service).into_iter().flat_map(|s| &s.versions).map(|v| &v.name)
    }

    /// The services with the number of their versions that count.
    pub fn counts(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.services.iter().map(|(name, service)| (name, service.versions.len()))
    }

    /// The version of a service, if only one counts.
    pub fn only_version(&self, service: &str) -> Option<&Arc<str>> {
        match &*self.services.get(service)?.versions {
            [only] => Some(&only.name),
            _ => None,
        }
    }

    /// Whether streams of a service may be taken up on routes that lead to another one, or the other way round.
    pub fn is_rerouted(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| s.rerouted_until.is_some())
    }

    /// Name of the service with a tag.
    pub(super) fn name(&self, tag: u32) -> Option<&Arc<str>> {
        self.services.keys().find(|service| service_tag(service) == tag)
    }

    /// The service and the version with a tag.
    pub(super) fn find(&self, tag: VersionTag) -> Option<Continuation> {
        let find = |(service, known): (&Arc<str>, &Service)| {
            let version = known.versions.iter().find(|v| version_tag(service, &v.name) == tag)?;
            Some(Continuation { service: service.clone(), version: version.name.clone() })
        };
        self.services.iter().find_map(find)
    }
}
