//! Decodes objects of the platform one by one, so that an unreadable one does not invalidate the others.

use std::sync::Mutex;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::{Event, List, Version};
use crate::{
    catalog::AnyObject,
    schema::object::Meta,
    util::{Set, lock},
};

/// Maximum number of unreadable objects remembered so that each is logged once; beyond it some are logged again.
const MAX_LOGGED: usize = 1_024;

/// A list whose objects are not decoded yet.
#[derive(Deserialize)]
struct RawList<'a> {
    version: Version,
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
}

/// An event whose object is not decoded yet.
#[derive(Deserialize)]
struct RawEvent<'a> {
    version: Version,
    deleted: bool,
    #[serde(borrow)]
    object: &'a RawValue,
}

/// What identifies an object that can't be decoded.
#[derive(Deserialize)]
struct Identity {
    kind: String,
    metadata: IdentityMeta,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct IdentityMeta {
    name: String,
    #[serde(default)]
    resource_version: String,
}

/// Decodes lists and events, and logs each unreadable object once.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    /// Hashes of the unreadable objects that have been logged.
    logged: Mutex<Set<u64>>,
}

impl Decoder {
    /// Decodes a list. An object that does not name itself is left out.
    pub(super) fn list(&self, bytes: &[u8]) -> serde_json::Result<List> {
        let raw: RawList<'_> = serde_json::from_slice(bytes)?;
        let items = raw.items.into_iter().filter_map(|object| self.object(object)).collect();
        Ok(List { version: raw.version, items })
    }

    /// Decodes an event; `None` if it does not tell which object has changed.
    pub(super) fn event(&self, line: &[u8]) -> Option<Event> {
        let raw: RawEvent<'_> = serde_json::from_slice(line)
            .inspect_err(|e| self.log(line, || format!("skipping an unreadable event of the platform: {e}")))
            .ok()?;
        Some(Event { version: raw.version, deleted: raw.deleted, object: self.object(raw.object)? })
    }

    /// Decodes an object. An unreadable one has a null spec, which no kind accepts, so that its last valid state stays in
    /// force; `None` if it does not name itself.
    fn object(&self, raw: &RawValue) -> Option<AnyObject> {
        let e = match serde_json::from_str(raw.get()) {
            Ok(obj) => return Some(obj),
            Err(e) => e,
        };
        let identity = serde_json::from_str::<Identity>(raw.get()).ok();
        self.log(raw.get().as_bytes(), || match &identity {
            Some(Identity { kind, metadata: IdentityMeta { name, resource_version } }) => {
                format!("{kind} {name} of version {resource_version} is unreadable: {e}")
            }
            None => format!("skipping an unreadable object without a kind or name: {e}"),
        });
        let Identity { kind, metadata } = identity?;
        let IdentityMeta { name, resource_version } = metadata;
        let metadata = Meta { name, resource_version, ..Meta::default() };
        Some(AnyObject { kind, metadata, spec: serde_json::Value::Null })
    }

    /// Logs that these bytes are unreadable, unless they have been logged.
    fn log(&self, bytes: &[u8], message: impl FnOnce() -> String) {
        let mut logged = lock(&self.logged);
        if logged.len() >= MAX_LOGGED {
            logged.clear();
        }
        if logged.insert(crate::util::hash(bytes)) {
            spdlog::warn!("{}", message());
        }
    }
}
