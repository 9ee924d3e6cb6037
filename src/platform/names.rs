//! Names of the platform's interfaces: paths, headers and limits.

use http::HeaderName;

pub(super) const READY_PATH: &str = "/readiness";
pub(super) const RESOLVE_PATH: &str = "/resolve";
/// Addresses in an answer that says where to connect.
pub(super) const MOST_ADDRESSES: usize = 64;

pub(super) const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
pub(super) const KEY: HeaderName = HeaderName::from_static("key");
pub(super) const TENANT: HeaderName = HeaderName::from_static("tenant");
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("request-deadline");
pub(super) const PREFIX: HeaderName = HeaderName::from_static("prefix-hash");
pub(super) const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
pub(super) const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
pub(super) const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub(super) const SEAL: HeaderName = HeaderName::from_static("response-seal");
pub(super) const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("request-priority");
pub(super) const LOAD: HeaderName = HeaderName::from_static("server-load");
pub(super) const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Epoch of the store, in all its answers.
pub(super) const EPOCH: HeaderName = HeaderName::from_static("store-era");

/// Headers that concern one connection only.
pub(super) const HOP: [HeaderName; 9] = [
    http::header::CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Headers that the system sets itself; what a caller sends under these names is not passed on.
pub(super) const OWN: [HeaderName; 12] = [
    KEY,
    TENANT,
    DEADLINE,
    LAST_EVENT,
    EXPECTED_INSTANCE,
    PRIORITY,
    KV_FETCH,
    HeaderName::from_static("expected-version"),
    HeaderName::from_static("pin-duration"),
    HeaderName::from_static("kv-hold"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
];
