//! Router processes that have shut down as planned and handed the keys of their tickets over to the shards.

use std::sync::Mutex;
use std::time::Duration;

use crate::{
    catalog::Object,
    claim::ticket::TICKET_LIFETIME,
    gateway::lock,
    objects::Platform,
    schema::{claim::ClaimTicket, object::Meta},
    util::{Instant, Map, now, wall_ms},
};

/// Kind of the platform object that marks a closed process.
const KIND: &str = "ClaimTicket";
/// How long the state "not closed" is cached, so that a burst of keys costs one read.
const NOT_CLOSED_TTL: Duration = Duration::from_secs(1);

/// Closed processes, read from the platform and cached.
#[derive(Debug)]
pub(super) struct ClosedProcesses {
    platform: Platform,
    cache: Mutex<Map<String, CachedState>>,
}

/// Cached state of one process: when it closed, and when this was read.
#[derive(Clone, Copy, Debug)]
struct CachedState {
    closed_ms: Option<u64>,
    read_at: Instant,
}

impl ClosedProcesses {
    pub(super) fn new(platform: Platform) -> Self {
        Self { platform, cache: Mutex::default() }
    }

    /// Publishes on the platform that a process has handed its keys over.
    pub(super) async fn publish(&self, router: &str, start: u64) {
        let metadata = Meta { name: object_name(router, start), ..Meta::default() };
        let spec = serde_json::to_value(ClaimTicket { closed_ms: wall_ms() }).unwrap_or_default();
        if let Err(e) = self.platform.put(&Object { kind: KIND.to_owned(), metadata, spec }).await {
            spdlog::warn!(
                "could not publish the shutdown; new keys of this process's tickets will be unknown: {e:#}"
            );
        }
    }

    /// Whether a process has handed its keys over, so that any router may decide on its tickets' new keys as on keys
    /// without a ticket. This ends when the tickets expire, long before the shards evict the keys that were granted.
    pub(super) async fn is_handed_over(&self, router: &str, start: u64) -> bool {
        let closed_ms = self.closed_ms(object_name(router, start)).await;
        closed_ms.is_some_and(|ms| wall_ms() < ms + TICKET_LIFETIME.as_millis() as u64)
    }

    /// Time at which a process closed, from the cache or the platform; `None` if it has not or can't be read.
    async fn closed_ms(&self, name: String) -> Option<u64> {
        if let Some(cached) = lock(&self.cache).get(&name)
            && (cached.closed_ms.is_some() || now() < cached.read_at + NOT_CLOSED_TTL)
        {
            return cached.closed_ms;
        }
        let obj = self.platform.get(KIND, &name).await.ok()?;
        let spec = obj.and_then(|o| serde_json::from_value::<ClaimTicket>(o.spec).ok());
        let cached = CachedState { closed_ms: spec.map(|s| s.closed_ms), read_at: now() };
        let mut cache = lock(&self.cache);
        cache.retain(|_, s| now() < s.read_at + TICKET_LIFETIME);
        cache.insert(name, cached);
        cached.closed_ms
    }
}

/// Name of a process's object on the platform.
fn object_name(router: &str, start: u64) -> String {
    format!("{router}-{start:016x}")
}
