//! Fingerprints that identify request contents.

use serde_json::{Map, Value};

/// Fields that may differ when a caller resends the same content.
const IGNORED_FIELDS: [&str; 5] = ["metadata", "store", "stream", "stream_options", "user"];

/// Hash of the content that a backend server would run, without identifiers, so that resent content is recognised.
///
/// The hash is cryptographic so that a workspace can't craft a content that collides with another workspace's and
/// gets it quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub(crate) u64);

impl Fingerprint {
    /// Fingerprint of a chat's body, independent of key order and white space.
    pub fn chat(body: &Map<String, Value>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for (key, value) in body.iter().filter(|(key, _)| !IGNORED_FIELDS.contains(&key.as_str())) {
            hasher.update(key.as_bytes()).update(b"\0");
            // Can't fail: the hasher is an infallible writer and the value was parsed from JSON.
            let _ = serde_json::to_writer(&mut hasher, value);
        }
        Self::finish(&hasher)
    }

    /// Fingerprint of a call to a plain service.
    pub fn call(path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(path.as_bytes()).update(b"\0").update(body);
        Self::finish(&hasher)
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}
