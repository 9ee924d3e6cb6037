//! Claims on idempotency keys: at most one attempt per key is ever allowed to run.
//!
//! The claims of a shard are stored in one object on the platform. [`shard_claims::ShardClaims`] commits all
//! outstanding claims in one conditional write (group commit) and grants a claim only after the object is known to
//! contain it. The attempt's random ID in the object proves the grant. A lost response, a concurrent writer or a
//! writer that was paused therefore causes the object to be read again, never a second grant. This does not depend on
//! clocks or leases.
//!
//! A key issued under a [`ticket`] names one process (one start of one router) as its only authority. That router can
//! keep granting such keys from memory during a platform outage.

pub mod attempt;
pub mod messages;
pub mod shard;
pub mod shard_claims;
pub mod ticket;
pub mod ticket_claims;

use std::time::Duration;

use crate::util::Instant;

const KEY_CONTEXT: &str = "cranberrytally idempotency key 1";
const CONTENT_CONTEXT: &str = "cranberrytally request content 1";
/// Number of shards of the fleet's claims. Fixed, because it determines the shard in which a key is looked up.
pub const SHARD_COUNT: u16 = 16;
/// Largest response body that is stored with a record, in bytes.
pub const MAX_KEPT_BODY_BYTES: usize = 1024;

/// Length of digests and attempt IDs, in bytes.
pub const DIGEST_BYTES: usize = 16;

/// Digest of an idempotency key together with its workspace and service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

/// Digest of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentDigest(pub [u8; DIGEST_BYTES]);

/// Random ID of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub [u8; DIGEST_BYTES]);

/// Wall-clock time in milliseconds since 1970 (Unix time).
pub type WallMs = u64;

impl KeyDigest {
    /// Hashes a key within the scope of its workspace and service.
    pub fn new(workspace: &str, service: &str, key: &str) -> Self {
        Self(digest(KEY_CONTEXT, &[workspace.as_bytes(), service.as_bytes(), key.as_bytes()]))
    }

    /// Shard that stores the claim on this key.
    pub fn shard(&self) -> u16 {
        u16::from_le_bytes([self.0[0], self.0[1]]) % SHARD_COUNT
    }
}

impl ContentDigest {
    /// Hashes the method, path and body of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(CONTENT_CONTEXT, &[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Hashes `parts`, each prefixed with its length so that different splits give different digests.
fn digest(context: &str, parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut out = [0; DIGEST_BYTES];
    hasher.finalize_xof().fill(&mut out);
    out
}

/// Recorded result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The backend server responded.
    Completed(StoredResponse),
    /// It is not known whether the request ran to completion.
    Unknown,
}

/// Response of a run, as stored in its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it exceeds [`MAX_KEPT_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// One claim as stored in its shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Digest of the request that the claim is for.
    pub content: ContentDigest,
    /// The only attempt that may run.
    pub attempt: AttemptId,
    /// Time of the claim.
    pub claimed_at_ms: WallMs,
    /// Result of the run, once it is known.
    pub record: Option<Record>,
}

/// Request of one attempt for the claim on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key.
    pub key: KeyDigest,
    /// Digest of the request.
    pub content: ContentDigest,
    /// Attempt that asks.
    pub attempt: AttemptId,
    /// Whether to return an existing claim only and never grant a new one.
    pub lookup_only: bool,
}

/// Decision on a claim request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This attempt may run, and no other.
    Granted,
    /// An earlier attempt ran; this is its response.
    Recorded(StoredResponse),
    /// Another attempt holds the claim and may be running.
    Pending,
    /// Another attempt may have run; its result is not known.
    Unknown,
    /// The key was already used for a different request.
    Conflict,
    /// The claim is older than the retention period.
    Expired,
    /// The claim could not be stored.
    Unavailable,
}

/// Readings of both clocks, passed to each decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Monotonic time, for timeouts.
    pub now: Instant,
    /// Wall-clock time, for stored timestamps.
    pub wall_ms: WallMs,
}

impl Clock {
    /// Reads both clocks.
    pub fn read() -> Self {
        Self { now: crate::util::now(), wall_ms: crate::util::wall_ms() }
    }
}

/// Age up to which a claim without a record is reported as pending; after that it is reported as unknown.
pub const PENDING_TIMEOUT: Duration = Duration::from_secs(60);

impl Entry {
    /// Verdict for an attempt that does not hold this claim.
    pub fn verdict(&self, content: ContentDigest, wall_ms: WallMs) -> Verdict {
        if self.content != content {
            return Verdict::Conflict;
        }
        match &self.record {
            Some(Record::Completed(answered)) => Verdict::Recorded(answered.clone()),
            Some(Record::Unknown) => Verdict::Unknown,
            None if wall_ms.saturating_sub(self.claimed_at_ms) < PENDING_TIMEOUT.as_millis() as u64 => {
                Verdict::Pending
            }
            None => Verdict::Unknown,
        }
    }
}
