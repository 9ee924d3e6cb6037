//! Objects in force and the changes that led there.

use std::{collections::BTreeSet, sync::Arc};

use super::check::{Problem, check};
use crate::{
    catalog::AnyObject,
    objects::{Event, List, Version},
    schema::configuration::{Delta, Item},
    util::Map,
};

/// Deletions that are remembered; a peer that needs older ones gets all objects.
const MAX_TOMBSTONES: usize = 4096;

/// Kind and name of an object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Key {
    kind: Arc<str>,
    name: Arc<str>,
}

impl Key {
    fn least() -> Self {
        Self { kind: "".into(), name: "".into() }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    version: Version,
    /// `None` once deleted.
    current: Option<Arc<AnyObject>>,
    /// Last valid state, when `current` is not valid.
    good: Option<Arc<AnyObject>>,
    problems: Vec<Problem>,
}

impl Entry {
    fn in_force(&self) -> Option<&Arc<AnyObject>> {
        if self.problems.is_empty() { self.current.as_ref() } else { self.good.as_ref() }
    }
}

/// An object that is not valid.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Bad {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Version that is not valid.
    pub version: Version,
    /// Version that stays in force instead, if there was a valid one.
    pub in_force: Option<Version>,
    /// What is wrong.
    pub problems: Vec<Problem>,
}

/// Why changes were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// They lead to a version that is not newer.
    Old,
    /// They start after the version in force.
    Gap,
    /// They can't be decoded.
    Malformed,
    /// The objects are not those of the peer at the same version; the platform must be asked.
    Mismatch,
}

/// Configuration of one version.
#[derive(Clone, Debug, Default)]
pub struct Store {
    version: Version,
    entries: Map<Key, Entry>,
    order: BTreeSet<(Version, Key)>,
    tombstones: usize,
    /// Deletions up to this version may have been forgotten.
    forgotten: Version,
    /// Versions strictly between these were never seen, as a list led over them: an object that came and went there
    /// is not known.
    gap: (Version, Version),
    digest: u64,
}

impl Store {
    /// Version in force; 0 for none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Digest over the names and versions of all objects.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Objects in force, in no order.
    pub fn in_force(&self) -> Vec<Arc<AnyObject>> {
        self.entries.values().filter_map(|e| e.in_force().cloned()).collect()
    }

    /// Objects that are not valid.
    pub fn bad(&self) -> Vec<Bad> {
        let mut bad: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| !e.problems.is_empty())
            .map(|(key, e)| Bad {
                kind: key.kind.to_string(),
                name: key.name.to_string(),
                version: e.version,
                in_force: e.good.as_deref().map(version_of),
                problems: e.problems.clone(),
            })
            .collect();
        bad.sort_by(|a, b| (&a.kind, &a.name).cmp(&(&b.kind, &b.name)));
        bad
    }

    /// Takes a list of all objects.
    ///
    /// # Errors
    /// [`Rejected::Old`] for a list that is older: the platform may answer with old data after an outage.
    pub fn apply_list(&mut self, list: List) -> Result<(), Rejected> {
        if list.version < self.version {
            return Err(Rejected::Old);
        }
        let changes = list.items.into_iter().map(Change::of).collect();
        self.replace(list.version, changes);
        Ok(())
    }

    /// Takes one change seen by a watch.
    ///
    /// # Errors
    /// [`Rejected::Old`] for a change that is in force already.
    pub fn apply_event(&mut self, event: Event) -> Result<(), Rejected> {
        if event.version <= self.version {
            return Err(Rejected::Old);
        }
        let mut change = Change::of(event.object);
        change.version = event.version;
        if event.deleted {
            change.object = None;
        }
        self.put(change);
        self.version = event.version;
        Ok(())
    }

    /// Takes the changes of a peer, all pages together.
    ///
    /// # Errors
    /// Why they were not taken; after [`Rejected::Mismatch`] they are in force all the same.
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
            changes.into_iter().for_each(|c| self.put(c));
        }
        self.version = delta.version;
        // One of the two missed a change, and this router can't tell which; all objects of the peer might lack
        // a good one. The platform must be asked.
        if self.digest == delta.digest { Ok(()) } else { Err(Rejected::Mismatch) }
    }

    /// One page of the changes since `since` that come after `cursor`, of about `max_bytes`.
    pub fn delta(&self, since: Version, cursor: Version, whole: bool, max_bytes: usize) -> Delta {
        let whole = whole || since == 0 || !self.knows_since(since);
        let first = if whole && cursor <= since { 0 } else { cursor.max(since) };
        let mut delta =
            Delta { since, version: self.version, whole, digest: self.digest, ..Delta::default() };
        let (mut bytes, mut last) = (0, 0);
        for (version, key) in self.order.range((first.saturating_add(1), Key::least())..) {
            let entry = &self.entries[key];
            // A first page of all objects needs no deletions; later ones do, since an object of an earlier page
            // may have been deleted in between.
            if entry.current.is_none() && first == 0 {
                continue;
            }
            // Deletions found by a list share a version and stay on one page, since the next starts after it.
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

    /// Whether all changes since a version are known, deletions included.
    fn knows_since(&self, since: Version) -> bool {
        since >= self.forgotten && !(self.gap.0 < since && since < self.gap.1)
    }

    fn replace(&mut self, version: Version, changes: Vec<Change>) {
        let named: crate::util::Set<Key> = changes.iter().map(|c| c.key.clone()).collect();
        let gone: Vec<_> = self
            .entries
            .iter()
            .filter(|(key, e)| e.current.is_some() && e.version <= version && !named.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        changes.into_iter().for_each(|c| self.put(c));
        for key in gone {
            self.insert(Change { key, version, object: None, good: None });
        }
        if version > self.version {
            self.forgotten = self.forgotten.max(self.gap.1);
            self.gap = (self.version, version);
        }
        self.version = version;
    }

    /// Takes one change unless a newer one of the object is known.
    fn put(&mut self, change: Change) {
        if self.entries.get(&change.key).is_none_or(|e| e.version < change.version) {
            self.insert(change);
        }
    }

    fn insert(&mut self, change: Change) {
        let Change { key, version, object, good } = change;
        let old = self.entries.get(&key);
        let problems = object.as_deref().map(check).unwrap_or_default();
        let kept = old.and_then(|e| e.in_force().cloned());
        let good = if problems.is_empty() { None } else { newer(kept, good) };
        self.forget(&key);
        if object.is_some() {
            self.digest ^= mark(&key, version);
        } else {
            self.tombstones += 1;
        }
        self.order.insert((version, key.clone()));
        self.entries.insert(key, Entry { version, current: object, good, problems });
        self.trim();
    }

    fn forget(&mut self, key: &Key) {
        let Some(old) = self.entries.remove(key) else { return };
        self.order.remove(&(old.version, key.clone()));
        if old.current.is_some() {
            self.digest ^= mark(key, old.version);
        } else {
            self.tombstones -= 1;
        }
    }

    fn trim(&mut self) {
        while self.tombstones > MAX_TOMBSTONES {
            let oldest = self.order.iter().find(|(_, key)| self.entries[key].current.is_none()).cloned();
            let Some((version, key)) = oldest else { return };
            self.forgotten = self.forgotten.max(version);
            self.forget(&key);
        }
    }
}

#[derive(Debug)]
struct Change {
    key: Key,
    version: Version,
    object: Option<Arc<AnyObject>>,
    good: Option<Arc<AnyObject>>,
}

impl Change {
    fn of(obj: AnyObject) -> Self {
        let key = Key { kind: obj.kind.as_str().into(), name: obj.metadata.name.as_str().into() };
        Self { key, version: version_of(&obj), object: Some(Arc::new(obj)), good: None }
    }

    fn decode(item: Item) -> Option<Self> {
        let parse = |bytes: &[u8]| serde_json::from_slice(bytes).ok().map(Arc::new);
        let key = Key { kind: item.kind.into(), name: item.name.into() };
        let object = if item.deleted { None } else { Some(parse(&item.object)?) };
        Some(Self { key, version: item.version, object, good: parse(&item.good) })
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
        good: bytes(entry.good.as_ref()),
    }
}

/// The later of two valid states, so that routers that saw different ones agree.
fn newer(a: Option<Arc<AnyObject>>, b: Option<Arc<AnyObject>>) -> Option<Arc<AnyObject>> {
    let b = b.filter(|obj| check(obj).is_empty());
    a.into_iter().chain(b).max_by_key(|obj| version_of(obj))
}

fn version_of(obj: &AnyObject) -> Version {
    obj.metadata.resource_version.parse().unwrap_or(0)
}

/// Part of the digest; a hash that is the same in all builds, since routers of two builds compare it.
fn mark(key: &Key, version: Version) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.kind.as_bytes()).update(&[0]).update(key.name.as_bytes()).update(&[0]);
    hasher.update(&version.to_le_bytes());
    let mut out = [0; 8];
    hasher.finalize_xof().fill(&mut out);
    u64::from_le_bytes(out)
}
