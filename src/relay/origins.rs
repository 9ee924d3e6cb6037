//! Which software version of a service began each stream, and where a broken stream may go on.
//!
//! What two versions write does not fit together, and servers do not check which version began a stream that they are
//! asked to go on with. So a host remembers the version for each stream whose first event it has passed on. If nobody
//! remembers a stream, its version is still certain while only one can have begun it; otherwise the stream must not go on.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::util::{Instant, hash};

pub mod questions;
pub mod saved;
pub mod served;
pub mod table;

use questions::Certainty;
use served::Served;
use table::{Known, Table};

/// How long a stream may be taken up after its first event if the configuration tells no timeouts.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(15);
/// Limits of that time. A longer one would keep more streams than are useful in memory.
const LIFETIME_LIMITS: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(120));
/// Time between the end of an attempt and the caller's next one.
const RETRY_MARGIN: Duration = Duration::from_secs(5);

/// Identifies a version of a service's software in messages between hosts.
pub type VersionTag = u32;

/// Tag of a version of a service.
pub fn version_tag(service: &str, version: &str) -> VersionTag {
    hash((service, version)) as VersionTag
}

/// Tag of a service in messages between hosts.
pub fn service_tag(service: &str) -> u32 {
    hash(service) as u32
}

/// Identifies a stream by the workspace and the attempt that began it, so that no workspace can name another one's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of the stream that a workspace's attempt began; `None` if the attempt is not named.
    pub fn new(workspace: &str, first_attempt: &str) -> Option<Self> {
        (!first_attempt.is_empty()).then(|| Self(hash((workspace, first_attempt))))
    }
}

/// A service of which several versions may have begun streams that are still open, as hosts register it in the store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct MixedService {
    /// Name of the service.
    pub service: String,
    /// Its known versions, in order. Another host may have registered fewer since, so that a new one must change what is
    /// registered.
    #[serde(default)]
    pub versions: Vec<String>,
}

/// Where a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// Service that began it.
    pub service: Arc<str>,
    /// Version that began it; empty if the servers of the service tell none.
    pub version: Arc<str>,
}

/// Why a stream does not go on; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discontinued {
    /// Nobody knows which version began it, and more than one may have.
    Unknown,
    /// Nobody knows which version began it. As far as is known only one can have, but this host has not read since the stream was
    /// taken up which versions have servers.
    Unconfirmed,
    /// Two streams with different versions have its identifier.
    Conflicting,
    /// Its route no longer leads to the service that began it.
    OtherService,
    /// No server of the version that began it accepts requests.
    Gone,
    /// The servers of that version get no requests now: they are full, cold, paused or evacuated.
    NotEligible,
}

impl Discontinued {
    /// Every reason.
    pub const ALL: [Discontinued; 6] = [
        Discontinued::Unknown,
        Discontinued::Unconfirmed,
        Discontinued::Conflicting,
        Discontinued::OtherService,
        Discontinued::Gone,
        Discontinued::NotEligible,
    ];

    /// Label in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Discontinued::Unknown => "unknown",
            Discontinued::Unconfirmed => "unconfirmed",
            Discontinued::Conflicting => "conflicting",
            Discontinued::OtherService => "other_service",
            Discontinued::Gone => "gone",
            Discontinued::NotEligible => "not_eligible",
        }
    }
}

/// The versions that began streams, and those that may have.
#[derive(Clone, Debug)]
pub struct Origins {
    started: Instant,
    /// Since when no version can have come and gone without this host's having it seen.
    seen_since: Instant,
    lifetime: Duration,
    /// The lifetime by the timeouts in force, which is shorter while streams may be open that began under longer ones.
    lifetime_in_force: Duration,
    /// Since when it is shorter, once that was noticed.
    shorter_since: Option<Instant>,
    table: Table,
    served: Served,
}

impl Origins {
    /// A host that starts and knows nothing.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            seen_since: started,
            lifetime: DEFAULT_LIFETIME,
            lifetime_in_force: DEFAULT_LIFETIME,
            shorter_since: None,
            table: Table::new(started),
            served: Served::default(),
        }
    }

    /// Sets the longest timeout of a stream, after which callers no longer take it up. Streams that began under a longer one
    /// may be taken up as before.
    pub fn set_timeout(&mut self, longest: Duration) {
        let (min, max) = LIFETIME_LIMITS;
        let lifetime = (longest + RETRY_MARGIN).clamp(min, max);
        if lifetime < self.lifetime_in_force {
            self.shorter_since = None;
        }
        self.lifetime_in_force = lifetime;
        self.lifetime = self.lifetime.max(lifetime);
    }

    /// Shortens the lifetime of streams once none can be open that began under longer timeouts.
    fn shorten_lifetime(&mut self, now: Instant) {
        if self.lifetime_in_force == self.lifetime {
            self.shorter_since = None;
            return;
        }
        let since = *self.shorter_since.get_or_insert(now);
        if since + self.lifetime <= now {
            (self.lifetime, self.shorter_since) = (self.lifetime_in_force, None);
        }
    }

    /// How long after its first event a stream may be taken up.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// The versions that may have begun streams.
    pub fn served(&self) -> &Served {
        &self.served
    }

    /// Records the service and the version of each server that is known now. Returns the services whose versions changed.
    pub fn observe<'a>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)>,
    ) -> Vec<Arc<str>> {
        self.shorten_lifetime(now);
        self.table.expire(now, self.lifetime);
        self.served.observe(now, self.lifetime, servers)
    }

    /// Records that streams which began up to `until` may be taken up on the routes of these services though they began at
    /// another service, before the route was changed, or at a version that this host has never seen.
    pub fn doubt<'a>(&mut self, until: Instant, services: impl Iterator<Item = &'a str>) {
        services.for_each(|service| self.served.doubt_until(until, service));
    }

    /// Records the services of which several versions may have begun streams, as hosts have registered them in the store. It fills in
    /// what this host has not seen.
    pub fn learn_registered<'a>(&mut self, services: impl Iterator<Item = &'a str>) {
        self.doubt(self.seen_since, services);
    }

    /// Services of which streams may have begun at different versions, in order.
    pub fn mixed_services(&self) -> Vec<MixedService> {
        let mixed = self.served.counts().map(|(service, _)| service).filter(|service| self.is_mixed(service));
        let names = |service| self.served.versions(service).map(|version| version.to_string());
        let mixed = mixed.map(|service| {
            let mut versions: Vec<_> = names(service).collect();
            versions.sort_unstable();
            MixedService { service: service.to_string(), versions }
        });
        let mut mixed: Vec<_> = mixed.collect();
        mixed.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        mixed
    }

    /// Records that this host passes on events of a stream that a version of a service began. Returns the tag of the version
    /// if other hosts must be told of it: another version or, on a route to several services, another service may have
    /// begun it as well.
    pub fn begin(&mut self, stream: StreamKey, at: &Continuation, services: usize) -> Option<VersionTag> {
        let tag = version_tag(&at.service, &at.version);
        self.table.insert(stream, tag, true);
        (services > 1 || self.is_mixed(&at.service)).then_some(tag)
    }

    /// Records what another host tells.
    pub fn hear(&mut self, stream: StreamKey, version: VersionTag) {
        self.table.insert(stream, version, false);
    }

    /// Whether streams on the routes of a service may have begun at different versions.
    pub fn is_mixed(&self, service: &str) -> bool {
        self.served.versions(service).nth(1).is_some() || self.served.is_doubtful(service)
    }

    /// Streams that this host passes on or that broke off here, of services with several versions.
    pub fn open_here(&self) -> impl Iterator<Item = (StreamKey, VersionTag)> {
        let is_told = |tag: VersionTag| self.served.find(tag).is_some_and(|at| self.is_mixed(&at.service));
        self.table.here().filter(move |(_, tag)| is_told(*tag))
    }

    /// Records that a caller has its whole stream.
    pub fn end(&mut self, stream: StreamKey) {
        self.table.end(stream);
    }

    /// What is known of a stream.
    pub fn known(&self, stream: StreamKey) -> Option<Known> {
        self.table.get(stream)
    }

    /// Tag of the version that began a stream, if that is known.
    pub fn version_of(&self, stream: StreamKey) -> Option<VersionTag> {
        match self.known(stream)? {
            Known::Version(tag) => Some(tag),
            Known::Conflicting => None,
        }
    }

    /// What this host says of a stream that it does not know, of the service with this tag. It is certain only if it has
    /// seen all versions that may have begun streams which are still open.
    pub fn certainty(&self, now: Instant, service: u32, list_is_current: bool) -> Certainty {
        let Some(service) = self.served.name(service) else { return Certainty::Unsure };
        if self.is_mixed(service) {
            return Certainty::Several;
        }
        let only = self.served.only_version(service).filter(|_| list_is_current && self.has_seen_all(now));
        only.map_or(Certainty::Unsure, |version| Certainty::Only(version_tag(service, version)))
    }

    /// Decides at which service and version a stream may go on whose route leads to `services`. `is_read` says whether this host has
    /// read, since the stream was taken up, which versions have servers; `certainty` is what other hosts say that do not know it.
    ///
    /// # Errors
    /// Why it must not go on.
    pub fn continuation(
        &self,
        now: Instant,
        stream: Option<StreamKey>,
        services: &[&str],
        is_read: bool,
        certainty: Certainty,
    ) -> Result<Continuation, Discontinued> {
        match stream.and_then(|stream| self.known(stream)) {
            Some(Known::Version(tag)) => self.locate(tag, services),
            Some(Known::Conflicting) => Err(Discontinued::Conflicting),
            None => {
                let sole = self.sole(now, services, certainty).ok_or(Discontinued::Unknown)?;
                if is_read { Ok(sole) } else { Err(Discontinued::Unconfirmed) }
            }
        }
    }

    /// Records that a list of servers takes the place of one that was last confirmed at `confirmed`, without the changes in between.
    /// If that is more than `max_age` ago, a version may have come and gone.
    pub fn record_new_list(&mut self, now: Instant, confirmed: Instant, max_age: Duration) {
        if confirmed + max_age < now {
            self.seen_since = now;
        }
    }

    /// For how long no version can have come and gone without this host's having seen it.
    pub fn seen_for(&self, now: Instant) -> Duration {
        now.saturating_sub(self.seen_since)
    }

    /// Whether this host has seen all versions that may have begun streams which are still open.
    pub fn has_seen_all(&self, now: Instant) -> bool {
        self.seen_since + self.lifetime <= now
    }

    /// Whether a stream of this version may go on at another server of the same version. Servers that tell no version may
    /// differ in it, unless no server of the service tells one.
    pub fn may_continue(&self, at: &Continuation) -> bool {
        !at.version.is_empty() || self.served.only_version(&at.service).is_some_and(|v| v.is_empty())
    }

    fn locate(&self, tag: VersionTag, services: &[&str]) -> Result<Continuation, Discontinued> {
        let found = self.served.find(tag);
        match found {
            Some(at) if !services.contains(&&*at.service) => Err(Discontinued::OtherService),
            Some(at) if !self.may_continue(&at) => Err(Discontinued::Unknown),
            Some(at) => Ok(at),
            None => Err(Discontinued::Gone),
        }
    }

    /// The only version that can have begun a stream whose route leads to `services` as far as is known, if there is just one.
    /// A host that may have missed a version relies on one that is certain.
    fn sole(&self, now: Instant, services: &[&str], certainty: Certainty) -> Option<Continuation> {
        let [service] = services else { return None };
        let version = self.served.only_version(service).filter(|_| !self.served.is_doubtful(service))?;
        let is_certain = match certainty {
            // A host that has just started knows from the store whether several versions served before.
            Certainty::Unsure => self.has_seen_all(now) || self.seen_since == self.started,
            Certainty::Only(tag) => tag == version_tag(service, version),
            Certainty::Several => false,
        };
        is_certain.then(|| Continuation { service: (*service).into(), version: version.clone() })
    }
}
