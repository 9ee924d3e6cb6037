//! Platform objects that store claims, and their encoding.

use base64::{Engine as _, engine::general_purpose::STANDARD_NO_PAD};

use super::{
    AttemptId, ContentDigest, Entry, KeyDigest,
    messages::{Malformed, bytes16},
};
use crate::{
    catalog::{AnyObject, Object},
    schema::{
        claim::{ClaimArchive, ClaimArchiveRef, ClaimEntries, ClaimEntry, ClaimShard},
        object::Meta,
    },
};

/// Kind of the object that stores a shard's newest claims.
pub const SHARD_KIND: &str = "ClaimShard";
/// Kind of the objects that store a shard's older claims.
pub const ARCHIVE_KIND: &str = "ClaimArchive";

/// Decoded content of a shard's object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    /// Version that the next write requires; empty if the object does not exist yet.
    pub version: String,
    /// Newest claims.
    pub entries: Vec<(KeyDigest, Entry)>,
    /// References to the archives that store older claims.
    pub archives: Vec<ClaimArchiveRef>,
}

impl Shard {
    /// Decodes the object of a shard.
    ///
    /// # Errors
    /// If the object can't be decoded.
    pub fn from_object(obj: Option<&AnyObject>) -> Result<Self, Malformed> {
        let Some(obj) = obj else { return Ok(Self::default()) };
        let spec: ClaimShard = serde_json::from_value(obj.spec.clone()).map_err(|_| Malformed)?;
        Ok(Self {
            version: obj.metadata.resource_version.clone(),
            entries: decode_entries(&spec.entries)?,
            archives: spec.archives,
        })
    }

    /// Encodes the object to write.
    pub fn to_object(&self, name: &str, writer: &str) -> AnyObject {
        let spec = ClaimShard {
            writer: writer.to_owned(),
            entries: encode_entries(&self.entries),
            archives: self.archives.clone(),
        };
        build_object(SHARD_KIND, name, &self.version, &spec)
    }
}

/// Decodes the claims of an archive.
///
/// # Errors
/// If the object can't be decoded.
pub fn read_archive(obj: &AnyObject) -> Result<Vec<(KeyDigest, Entry)>, Malformed> {
    let spec: ClaimArchive = serde_json::from_value(obj.spec.clone()).map_err(|_| Malformed)?;
    decode_entries(&spec.entries)
}

/// Encodes an archive to create.
pub fn archive_object(name: &str, entries: &[(KeyDigest, Entry)]) -> AnyObject {
    build_object(ARCHIVE_KIND, name, "", &ClaimArchive { entries: encode_entries(entries) })
}

fn build_object(kind: &str, name: &str, version: &str, spec: &impl serde::Serialize) -> AnyObject {
    let metadata = Meta { name: name.to_owned(), resource_version: version.to_owned(), ..Meta::default() };
    Object { kind: kind.to_owned(), metadata, spec: serde_json::to_value(spec).unwrap_or_default() }
}

fn encode_entries(entries: &[(KeyDigest, Entry)]) -> String {
    let entries = entries
        .iter()
        .map(|(key, entry)| ClaimEntry {
            key: key.0.to_vec(),
            content: entry.content.0.to_vec(),
            attempt: entry.attempt.0.to_vec(),
            at_ms: entry.claimed_at_ms,
            record: entry.record.as_ref().map(Into::into),
        })
        .collect();
    STANDARD_NO_PAD.encode(postcard::to_stdvec(&ClaimEntries { entries }).unwrap_or_default())
}

fn decode_entries(text: &str) -> Result<Vec<(KeyDigest, Entry)>, Malformed> {
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| Malformed)?;
    let raw: ClaimEntries = postcard::from_bytes(&bytes).map_err(|_| Malformed)?;
    raw.entries.into_iter().map(decode_entry).collect()
}

fn decode_entry(raw: ClaimEntry) -> Result<(KeyDigest, Entry), Malformed> {
    let entry = Entry {
        content: ContentDigest(bytes16(&raw.content)?),
        attempt: AttemptId(bytes16(&raw.attempt)?),
        claimed_at_ms: raw.at_ms,
        record: raw.record.map(TryInto::try_into).transpose()?,
    };
    Ok((KeyDigest(bytes16(&raw.key)?), entry))
}
