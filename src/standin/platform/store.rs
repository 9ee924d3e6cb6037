//! Objects of the stand-in's collections with their history.

use std::collections::BTreeMap;

use crate::{
    catalog::AnyObject,
    objects::{Event, List, Version},
};

type Key = (String, String);
/// The object as it is now, if it exists.
pub(super) type Current = Box<Option<AnyObject>>;

/// One collection.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    pub(super) version: Version,
    objects: BTreeMap<Key, AnyObject>,
    history: Vec<Event>,
    forgotten: Version,
}

impl Store {
    /// Writes an object whose version still matches.
    pub(super) fn put(&mut self, mut obj: AnyObject) -> Result<Event, Current> {
        let key = (obj.kind.clone(), obj.metadata.name.clone());
        self.check(&key, &obj.metadata.resource_version)?;
        self.version += 1;
        obj.metadata.resource_version = self.version.to_string();
        self.objects.insert(key, obj.clone());
        Ok(self.note(Event { version: self.version, deleted: false, object: obj }))
    }

    /// Deletes an object whose version still matches.
    pub(super) fn delete(&mut self, key: &Key, version: &str) -> Result<Event, Current> {
        self.check(key, version)?;
        let object = self.objects.remove(key).ok_or_else(Current::default)?;
        self.version += 1;
        Ok(self.note(Event { version: self.version, deleted: true, object }))
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&AnyObject> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    pub(super) fn list(&self, kind: Option<&str>) -> List {
        let wanted = self.objects.values().filter(|o| kind.is_none_or(|k| o.kind == k));
        List { version: self.version, items: wanted.cloned().collect() }
    }

    /// Changes after `from`; `None` when they are no longer known.
    pub(super) fn since(&self, from: Version) -> Option<Vec<Event>> {
        if from < self.forgotten {
            return None;
        }
        Some(self.history.iter().filter(|e| e.version > from).cloned().collect())
    }

    /// Forgets the history up to now, so that watches from before must list again.
    pub(super) fn forget(&mut self) {
        self.forgotten = self.version;
        self.history.clear();
    }

    fn check(&self, key: &Key, version: &str) -> Result<(), Current> {
        let current = self.objects.get(key);
        let have = current.map_or("", |o| o.metadata.resource_version.as_str());
        if have == version { Ok(()) } else { Err(Box::new(current.cloned())) }
    }

    fn note(&mut self, event: Event) -> Event {
        self.history.push(event.clone());
        event
    }
}
