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
    /// Until when streams may have begun at another service, or at a version which is no longer known, that are taken up on its
    /// routes.
    doubt_until: Option<Instant>,
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
            service.doubt_until = service.doubt_until.filter(|until| *until + lifetime > now);
            if service.versions.len() != before {
                changed.push(name.clone());
            }
        }
        self.services.retain(|_, s| !s.versions.is_empty() || s.doubt_until.is_some());
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    pub(super) fn doubt_until(&mut self, until: Instant, service: &str) {
        let doubt = &mut self.services.entry(service.into()).or_default().doubt_until;
        *doubt = (*doubt).max(Some(until));
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

    /// Whether streams may be taken up on the routes of a service that another one, or a version which is no longer known,
    /// began.
    pub fn is_doubtful(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| s.doubt_until.is_some())
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
