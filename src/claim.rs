//! Claims on idempotency keys: at most one attempt with a key ever gets the right to run.
//!
//! A shard's claims are one object of the platform. A [`shard_claims::ShardClaims`] writes all claims that wait in one
//! conditional write (group commit), and grants a claim only once the object is known to hold it. The attempt's
//! random number in the object is the proof, so that a lost answer, a second writer or a writer that was paused
//! leads to reading the object again, never to a second grant. No clock and no lease takes part in that.
//!
//! Keys made under a [`ticket`] name one start of one router as the only one that may run them, which is why that
//! router may go on granting them from memory while the platform is out.

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
/// Shards of the claims of the whole fleet; fixed, since it decides where a key is looked for.
pub const SHARD_COUNT: u16 = 16;
/// Largest body that is kept with a record, in bytes.
pub const MAX_KEPT_BODY_BYTES: usize = 1024;

/// Length of digests and attempt numbers, in bytes.
pub const DIGEST: usize = 16;

/// Digest of workspace, service and key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; DIGEST]);

/// Digest of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentDigest(pub [u8; DIGEST]);

/// Random number of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub [u8; DIGEST]);

/// Wall clock in milliseconds since 1970.
pub type WallMs = u64;

impl KeyDigest {
    /// Digest of a key within its scope.
    pub fn new(workspace: &str, service: &str, key: &str) -> Self {
        Self(digest(KEY_CONTEXT, &[workspace.as_bytes(), service.as_bytes(), key.as_bytes()]))
    }

    /// Shard in which the key is kept.
    pub fn shard(&self) -> u16 {
        u16::from_le_bytes([self.0[0], self.0[1]]) % SHARD_COUNT
    }
}

impl ContentDigest {
    /// Digest of what is asked.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(CONTENT_CONTEXT, &[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Digest of parts; each with its length before it, so that no part can run into the next.
fn digest(context: &str, parts: &[&[u8]]) -> [u8; DIGEST] {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut out = [0; DIGEST];
    hasher.finalize_xof().fill(&mut out);
    out
}

/// What became of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// It answered.
    Completed(StoredResponse),
    /// Nobody knows.
    Unknown,
}

/// The answer of a run, as far as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, unless it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Content that was claimed.
    pub content: ContentDigest,
    /// The attempt that alone may run.
    pub attempt: AttemptId,
    /// When it was claimed.
    pub at_ms: WallMs,
    /// What became of it, once that is known.
    pub record: Option<Record>,
}

/// What an attempt asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key.
    pub key: KeyDigest,
    /// Content.
    pub content: ContentDigest,
    /// This attempt.
    pub attempt: AttemptId,
    /// Only look: never grants.
    pub lookup_only: bool,
}

/// Decision on an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This attempt, and no other, may run.
    Granted,
    /// An earlier attempt ran.
    Recorded(StoredResponse),
    /// Another attempt holds the claim and may be running.
    Pending,
    /// Another attempt may have run.
    Unknown,
    /// The key was used with other content.
    Conflict,
    /// The key is older than what is kept.
    Expired,
    /// The claim could not be recorded.
    Unavailable,
}

/// Both clocks, as arguments of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Monotonic clock, for waits.
    pub now: Instant,
    /// Wall clock, for what is kept.
    pub wall_ms: WallMs,
}

impl Clock {
    /// Reads both clocks.
    pub fn read() -> Self {
        Self { now: crate::util::now(), wall_ms: crate::util::wall_ms() }
    }
}

/// How long a claim is called pending before it is called unknown.
pub const PENDING: Duration = Duration::from_secs(60);

impl Entry {
    /// What this claim means to an attempt that does not hold it.
    pub fn verdict(&self, content: ContentDigest, wall_ms: WallMs) -> Verdict {
        if self.content != content {
            return Verdict::Conflict;
        }
        match &self.record {
            Some(Record::Completed(answered)) => Verdict::Recorded(answered.clone()),
            Some(Record::Unknown) => Verdict::Unknown,
            None if wall_ms.saturating_sub(self.at_ms) < PENDING.as_millis() as u64 => Verdict::Pending,
            None => Verdict::Unknown,
        }
    }
}
