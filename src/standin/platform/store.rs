//! Versioned objects of one collection, with the history of changes.

use std::collections::BTreeMap;

use crate::{
    catalog::AnyObject,
    objects::{Event, List, Version},
};

/// Kind and name of an object.
type Key = (String, String);
/// Current object, if it exists; returned when a version does not match.
pub(super) type CurrentObject = Box<Option<AnyObject>>;

/// Objects of one collection, with optimistic concurrency control.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    pub(super) version: Version,
    objects: BTreeMap<Key, AnyObject>,
    history: Vec<Event>,
    compacted: Version,
}

impl Store {
    /// Writes an object if its version matches the current one.
    pub(super) fn put(&mut self, mut obj: AnyObject) -> Result<Event, CurrentObject> {
        let key = (obj.kind.clone(), obj.metadata.name.clone());
        self.check_version(&key, &obj.metadata.resource_version)?;
        self.version += 1;
        obj.metadata.resource_version = self.version.to_string();
        self.objects.insert(key, obj.clone());
        Ok(self.record(Event { version: self.version, deleted: false, object: obj }))
    }

    /// Deletes an object if `version` matches the current one.
    pub(super) fn delete(&mut self, key: &Key, version: &str) -> Result<Event, CurrentObject> {
        self.check_version(key, version)?;
        let object = self.objects.remove(key).ok_or_else(CurrentObject::default)?;
        self.version += 1;
        Ok(self.record(Event { version: self.version, deleted: true, object }))
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&AnyObject> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    pub(super) fn list(&self, kind: Option<&str>) -> List {
        let matching = self.objects.values().filter(|o| kind.is_none_or(|k| o.kind == k));
        List { version: self.version, items: matching.cloned().collect() }
    }

    /// Changes after `from`; `None` if the history no longer reaches back so far.
    pub(super) fn changes_since(&self, from: Version) -> Option<Vec<Event>> {
        if from < self.compacted {
            return None;
        }
        Some(self.history.iter().filter(|e| e.version > from).cloned().collect())
    }

    /// Discards the history, so that watches from an earlier version must list again.
    pub(super) fn compact(&mut self) {
        self.compacted = self.version;
        self.history.clear();
    }

    fn check_version(&self, key: &Key, version: &str) -> Result<(), CurrentObject> {
        let current = self.objects.get(key);
        let current_version = current.map_or("", |o| o.metadata.resource_version.as_str());
        if current_version == version { Ok(()) } else { Err(Box::new(current.cloned())) }
    }

    fn record(&mut self, event: Event) -> Event {
        self.history.push(event.clone());
        event
    }
}
