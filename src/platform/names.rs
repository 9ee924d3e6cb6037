//! Names of the platform's interfaces: paths, headers and limits.

use http::HeaderName;

pub(super) const READY_PATH: &str = "/readiness";
pub(super) const RESOLVE_PATH: &str = "/resolve";
/// Maximum number of addresses in an answer to callers.
pub(super) const MAX_ADDRESSES: usize = 64;

pub(super) const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
pub(super) const API_KEY: HeaderName = HeaderName::from_static("key");
pub(super) const TENANT: HeaderName = HeaderName::from_static("tenant");
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("request-deadline");
pub(super) const PREFIX_HASH: HeaderName = HeaderName::from_static("prefix-hash");
pub(super) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub(super) const MODEL: HeaderName = HeaderName::from_static("model");
pub(super) const RESUMES: HeaderName = HeaderName::from_static("resumes");
pub(super) const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
pub(super) const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub(super) const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");
pub(super) const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("request-priority");
pub(super) const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
pub(super) const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
pub(super) const SERVER_BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// Epoch of the store, present in all of its answers.
pub(super) const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Hop-by-hop headers, which are not forwarded.
pub(super) const HOP_BY_HOP: [HeaderName; 9] = [
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

/// Headers that only the system may set; those of a caller are not forwarded.
pub(super) const RESERVED: [HeaderName; 12] = [
    API_KEY,
    TENANT,
    DEADLINE,
    LAST_EVENT_ID,
    EXPECTED_INSTANCE,
    PRIORITY,
    KV_FETCH,
    HeaderName::from_static("expected-version"),
    HeaderName::from_static("pin-duration"),
    HeaderName::from_static("kv-hold"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
];
