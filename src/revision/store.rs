//! Stores the objects in force and the history of their changes.

use std::{collections::BTreeSet, sync::Arc};

use super::check::{Problem, check};
use crate::{
    catalog::AnyObject,
    objects::{Event, List, Version},
    schema::configuration::{Delta, Item},
    util::Map,
};

/// Number of deletions kept in the history; a peer that needs older ones gets all objects.
const MAX_TOMBSTONES: usize = 4096;

/// Kind and name of an object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Key {
    kind: Arc<str>,
    name: Arc<str>,
}

impl Key {
    fn min() -> Self {
        Self { kind: "".into(), name: "".into() }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    version: Version,
    /// `None` once deleted.
    current: Option<Arc<AnyObject>>,
    /// Last valid state, if `current` is invalid.
    last_valid: Option<Arc<AnyObject>>,
    problems: Vec<Problem>,
}

impl Entry {
    fn in_force(&self) -> Option<&Arc<AnyObject>> {
        if self.problems.is_empty() { self.current.as_ref() } else { self.last_valid.as_ref() }
    }
}

/// An invalid object.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Bad {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Version that is invalid.
    pub version: Version,
    /// Last valid version, which stays in force instead, if there is one.
    pub in_force: Option<Version>,
    /// Its validation errors.
    pub problems: Vec<Problem>,
}

/// Why changes were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// They end at a version that is not newer.
    Old,
    /// They start after the version in force.
    Gap,
    /// They could not be decoded.
    Malformed,
    /// The objects differ from those of the peer at the same version; only a list of the platform can resolve this.
    Mismatch,
}

/// Configuration objects at one version.
#[derive(Clone, Debug, Default)]
pub struct Store {
    version: Version,
    entries: Map<Key, Entry>,
    by_version: BTreeSet<(Version, Key)>,
    tombstones: usize,
    /// Deletions up to this version may have been purged.
    purged_up_to: Version,
    /// Versions strictly between these two were skipped by a list: an object created and deleted between them is
    /// unknown.
    skipped: (Version, Version),
    digest: u64,
}

impl Store {
    /// Version in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Digest of the names and versions of all objects.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Objects in force, in no particular order.
    pub fn in_force(&self) -> Vec<Arc<AnyObject>> {
        self.entries.values().filter_map(|e| e.in_force().cloned()).collect()
    }

    /// Invalid objects, by kind and name.
    pub fn bad(&self) -> Vec<Bad> {
        let mut bad: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| !e.problems.is_empty())
            .map(|(key, e)| Bad {
                kind: key.kind.to_string(),
                name: key.name.to_string(),
                version: e.version,
                in_force: e.last_valid.as_deref().map(version_of),
                problems: e.problems.clone(),
            })
            .collect();
        bad.sort_by(|a, b| (&a.kind, &a.name).cmp(&(&b.kind, &b.name)));
        bad
    }

    /// Applies a list of all objects.
    ///
    /// # Errors
    /// [`Rejected::Old`] if the list is older: the platform may return stale data after an outage.
    pub fn apply_list(&mut self, list: List) -> Result<(), Rejected> {
        if list.version < self.version {
            return Err(Rejected::Old);
        }
        let changes = list.items.into_iter().map(Change::of).collect();
        self.replace(list.version, changes);
        Ok(())
    }

    /// Applies one change received by a watch.
    ///
    /// # Errors
    /// [`Rejected::Old`] if the change is already in force.
    pub fn apply_event(&mut self, event: Event) -> Result<(), Rejected> {
        if event.version <= self.version {
            return Err(Rejected::Old);
        }
        let mut change = Change::of(event.object);
        change.version = event.version;
        if event.deleted {
            change.object = None;
        }
        self.apply_if_newer(change);
        self.version = event.version;
        Ok(())
    }

    /// Applies the changes of a peer, with all pages joined.
    ///
    /// # Errors
    /// Why they were rejected; with [`Rejected::Mismatch`] they have been applied nevertheless.
    pub fn apply_delta(&mut self, delta: Delta) -> Result<(), Rejected> {
        if delta.version < self.version {
            return Err(Rejected::Old);
        }
        if !delta.whole && delta.since > self.version {
            return Err(Rejected::Gap);
        }
        let changes: Option<Vec<_>> = delta.items.into_iter().map(Change::decode).collect();
        let changes = changes.ok_or(Rejected::Malformed)?;
        if delta.whole && delta.version > self.version {
            self.replace(delta.version, changes);
        } else {
            changes.into_iter().for_each(|c| self.apply_if_newer(c));
        }
        self.version = delta.version;
        // One of the two missed a change, and this router can't tell which. A full copy from the peer might lack a
        // valid object, so only the platform can resolve this.
        if self.digest == delta.digest { Ok(()) } else { Err(Rejected::Mismatch) }
    }

    /// Returns one page, of about `max_bytes`, of the changes since `since` that come after `cursor`.
    pub fn delta(&self, since: Version, cursor: Version, whole: bool, max_bytes: usize) -> Delta {
        let whole = whole || since == 0 || !self.has_history_since(since);
        let first = if whole && cursor <= since { 0 } else { cursor.max(since) };
        let mut delta =
            Delta { since, version: self.version, whole, digest: self.digest, ..Delta::default() };
        let (mut bytes, mut last) = (0, 0);
        for (version, key) in self.by_version.range((first.saturating_add(1), Key::min())..) {
            let entry = &self.entries[key];
            // The first page of a full copy needs no deletions. Later pages do, since an object of an earlier page may
            // have been deleted in the meantime.
            if entry.current.is_none() && first == 0 {
                continue;
            }
            // Deletions found by a list share one version and must be on one page, since the next page starts after
            // that version.
            if bytes >= max_bytes && *version != last {
                delta.more = true;
                break;
            }
            let item = encode(*version, key, entry);
            bytes += item.object.len() + item.good.len() + key.name.len();
            delta.items.push(item);
            last = *version;
        }
        delta
    }

    /// Whether all changes since a version are known, including deletions.
    fn has_history_since(&self, since: Version) -> bool {
        since >= self.purged_up_to && !(self.skipped.0 < since && since < self.skipped.1)
    }

    /// Replaces all objects by a full list; objects that it lacks are deleted.
    fn replace(&mut self, version: Version, changes: Vec<Change>) {
        let listed: crate::util::Set<Key> = changes.iter().map(|c| c.key.clone()).collect();
        let deleted: Vec<_> = self
            .entries
            .iter()
            .filter(|(key, e)| e.current.is_some() && e.version <= version && !listed.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        changes.into_iter().for_each(|c| self.apply_if_newer(c));
        for key in deleted {
            self.insert(Change { key, version, object: None, last_valid: None });
        }
        if version > self.version {
            self.purged_up_to = self.purged_up_to.max(self.skipped.1);
            self.skipped = (self.version, version);
        }
        self.version = version;
    }

    /// Applies one change unless the stored state of the object is as new or newer.
    fn apply_if_newer(&mut self, change: Change) {
        if self.entries.get(&change.key).is_none_or(|e| e.version < change.version) {
            self.insert(change);
        }
    }

    fn insert(&mut self, change: Change) {
        let Change { key, version, object, last_valid } = change;
        let old = self.entries.get(&key);
        let problems = object.as_deref().map(check).unwrap_or_default();
        let previous = old.and_then(|e| e.in_force().cloned());
        let last_valid = if problems.is_empty() { None } else { newer_valid(previous, last_valid) };
        self.remove(&key);
        if object.is_some() {
            self.digest ^= object_hash(&key, version);
        } else {
            self.tombstones += 1;
        }
        self.by_version.insert((version, key.clone()));
        self.entries.insert(key, Entry { version, current: object, last_valid, problems });
        self.purge_tombstones();
    }

    fn remove(&mut self, key: &Key) {
        let Some(old) = self.entries.remove(key) else { return };
        self.by_version.remove(&(old.version, key.clone()));
        if old.current.is_some() {
            self.digest ^= object_hash(key, old.version);
        } else {
            self.tombstones -= 1;
        }
    }

    /// Purges the oldest deletions above the limit.
    fn purge_tombstones(&mut self) {
        while self.tombstones > MAX_TOMBSTONES {
            let oldest = self.by_version.iter().find(|(_, key)| self.entries[key].current.is_none()).cloned();
            let Some((version, key)) = oldest else { return };
            self.purged_up_to = self.purged_up_to.max(version);
            self.remove(&key);
        }
    }
}

#[derive(Debug)]
struct Change {
    key: Key,
    version: Version,
    object: Option<Arc<AnyObject>>,
    last_valid: Option<Arc<AnyObject>>,
}

impl Change {
    fn of(obj: AnyObject) -> Self {
        let key = Key { kind: obj.kind.as_str().into(), name: obj.metadata.name.as_str().into() };
        Self { key, version: version_of(&obj), object: Some(Arc::new(obj)), last_valid: None }
    }

    fn decode(item: Item) -> Option<Self> {
        let parse = |bytes: &[u8]| serde_json::from_slice(bytes).ok().map(Arc::new);
        let key = Key { kind: item.kind.into(), name: item.name.into() };
        let object = if item.deleted { None } else { Some(parse(&item.object)?) };
        Some(Self { key, version: item.version, object, last_valid: parse(&item.good) })
    }
}

fn encode(version: Version, key: &Key, entry: &Entry) -> Item {
    let bytes = |obj: Option<&Arc<AnyObject>>| {
        obj.and_then(|o| serde_json::to_vec(o.as_ref()).ok()).unwrap_or_default()
    };
    Item {
        kind: key.kind.to_string(),
        name: key.name.to_string(),
        version,
        deleted: entry.current.is_none(),
        object: bytes(entry.current.as_ref()),
        good: bytes(entry.last_valid.as_ref()),
    }
}

/// Returns the later of two valid states, so that routers that saw different ones converge.
fn newer_valid(a: Option<Arc<AnyObject>>, b: Option<Arc<AnyObject>>) -> Option<Arc<AnyObject>> {
    let b = b.filter(|obj| check(obj).is_empty());
    a.into_iter().chain(b).max_by_key(|obj| version_of(obj))
}

fn version_of(obj: &AnyObject) -> Version {
    obj.metadata.resource_version.parse().unwrap_or(0)
}

/// Hash of one object for the digest. It must be the same in all builds, since routers of different builds compare it.
fn object_hash(key: &Key, version: Version) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.kind.as_bytes()).update(&[0]).update(key.name.as_bytes()).update(&[0]);
    hasher.update(&version.to_le_bytes());
    let mut out = [0; 8];
    hasher.finalize_xof().fill(&mut out);
    u64::from_le_bytes(out)
}
