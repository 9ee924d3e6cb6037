//! Fingerprints of request contents.

use serde_json::{Map, Value};

/// Fields that a caller may change when it sends the same content again.
const INCIDENTAL: [&str; 5] = ["metadata", "store", "stream", "stream_options", "user"];

/// Hash of what a backend server would run, without identifiers, so that a content sent again is recognised.
///
/// Cryptographic, since a workspace must not be able to make up a content that gets another's quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub(crate) u64);

impl Fingerprint {
    /// Fingerprint of a chat's body; neither the order of keys nor white space matters.
    pub fn chat(body: &Map<String, Value>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for (key, value) in body.iter().filter(|(key, _)| !INCIDENTAL.contains(&key.as_str())) {
            hasher.update(key.as_bytes()).update(b"\0");
            // Writing to a hasher doesn't fail, and a parsed value can be written.
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
