//! The objects in which claims are kept, and their encoding.

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

/// Kind of the object with a shard's newest claims.
pub const SHARD_KIND: &str = "ClaimShard";
/// Kind of the objects with older claims.
pub const ARCHIVE_KIND: &str = "ClaimArchive";

/// Content of a shard's object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    /// Version on which the next write is conditional; empty when there is no object yet.
    pub version: String,
    /// Newest claims.
    pub entries: Vec<(KeyDigest, Entry)>,
    /// Where older claims are.
    pub archives: Vec<ClaimArchiveRef>,
}

impl Shard {
    /// Reads the object of a shard.
    ///
    /// # Errors
    /// When it does not have the form that it must have.
    pub fn read(obj: Option<&AnyObject>) -> Result<Self, Malformed> {
        let Some(obj) = obj else { return Ok(Self::default()) };
        let spec: ClaimShard = serde_json::from_value(obj.spec.clone()).map_err(|_| Malformed)?;
        Ok(Self {
            version: obj.metadata.resource_version.clone(),
            entries: decode(&spec.entries)?,
            archives: spec.archives,
        })
    }

    /// The object to write.
    pub fn object(&self, name: &str, writer: &str) -> AnyObject {
        let spec = ClaimShard {
            writer: writer.to_owned(),
            entries: encode(&self.entries),
            archives: self.archives.clone(),
        };
        object(SHARD_KIND, name, &self.version, &spec)
    }
}

/// Reads an archive.
///
/// # Errors
/// When it does not have the form that it must have.
pub fn read_archive(obj: &AnyObject) -> Result<Vec<(KeyDigest, Entry)>, Malformed> {
    let spec: ClaimArchive = serde_json::from_value(obj.spec.clone()).map_err(|_| Malformed)?;
    decode(&spec.entries)
}

/// The archive to create.
pub fn archive(name: &str, entries: &[(KeyDigest, Entry)]) -> AnyObject {
    object(ARCHIVE_KIND, name, "", &ClaimArchive { entries: encode(entries) })
}

fn object(kind: &str, name: &str, version: &str, spec: &impl serde::Serialize) -> AnyObject {
    let metadata = Meta { name: name.to_owned(), resource_version: version.to_owned(), ..Meta::default() };
    Object { kind: kind.to_owned(), metadata, spec: serde_json::to_value(spec).unwrap_or_default() }
}

fn encode(entries: &[(KeyDigest, Entry)]) -> String {
    let entries = entries
        .iter()
        .map(|(key, entry)| ClaimEntry {
            key: key.0.to_vec(),
            content: entry.content.0.to_vec(),
            attempt: entry.attempt.0.to_vec(),
            at_ms: entry.at_ms,
            record: entry.record.as_ref().map(Into::into),
        })
        .collect();
    STANDARD_NO_PAD.encode(postcard::to_stdvec(&ClaimEntries { entries }).unwrap_or_default())
}

fn decode(text: &str) -> Result<Vec<(KeyDigest, Entry)>, Malformed> {
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| Malformed)?;
    let raw: ClaimEntries = postcard::from_bytes(&bytes).map_err(|_| Malformed)?;
    raw.entries.into_iter().map(entry).collect()
}

fn entry(raw: ClaimEntry) -> Result<(KeyDigest, Entry), Malformed> {
    let entry = Entry {
        content: ContentDigest(bytes16(&raw.content)?),
        attempt: AttemptId(bytes16(&raw.attempt)?),
        at_ms: raw.at_ms,
        record: raw.record.map(TryInto::try_into).transpose()?,
    };
    Ok((KeyDigest(bytes16(&raw.key)?), entry))
}
