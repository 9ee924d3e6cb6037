//! Table of the members by name, with hashes by which two routers find their differences.

use std::{sync::Arc, time::Duration};

use slotmap::{SlotMap, new_key_type};

use super::record::{Member, Record, Status};
use crate::util::{Instant, Map};

new_key_type! {
    /// Key of a member in the table.
    pub struct MemberKey;
}

/// How long a dead or left member is kept, so that an old record can't restore it.
const TOMBSTONE_TTL: Duration = Duration::from_secs(24 * 3600);

/// Table of members, by name and by data centre.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: SlotMap<MemberKey, Member>,
    by_name: Map<Arc<str>, MemberKey>,
    centres: Map<Arc<str>, Vec<MemberKey>>,
}

impl Table {
    /// Returns the member with this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name).map(|&k| &self.members[k])
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        let key = *self.by_name.get(name)?;
        self.members.get_mut(key)
    }

    /// All members, including dead and left ones.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    /// Members of one data centre, including dead and left ones.
    pub fn centre(&self, data_centre: &str) -> impl Iterator<Item = &Member> {
        self.centres.get(data_centre).into_iter().flatten().map(|&k| &self.members[k])
    }

    /// Names of the data centres.
    pub fn centres(&self) -> impl Iterator<Item = &Arc<str>> {
        self.centres.keys()
    }

    /// Whether any member of the data centre is known.
    pub fn has_centre(&self, data_centre: &str) -> bool {
        self.centres.contains_key(data_centre)
    }

    /// Number of members that are neither dead nor left.
    pub fn live_count(&self) -> usize {
        self.iter().filter(|m| !m.record.status.is_dead_or_left()).count()
    }

    /// Merges a record if it is newer; returns whether it was.
    pub(super) fn merge(&mut self, now: Instant, record: Record) -> bool {
        let Some(&key) = self.by_name.get(&record.name) else {
            self.insert(now, record);
            return true;
        };
        let old = &self.members[key].record;
        if !record.is_newer_than(old) {
            return false;
        }
        if old.data_centre != record.data_centre || old.peer != record.peer {
            self.remove(key);
            self.insert(now, record);
            return true;
        }
        let m = &mut self.members[key];
        if m.record.incarnation != record.incarnation {
            // It may be a new process, which has none of the reports that the old process acknowledged.
            m.acked_change = 0;
        }
        m.dead_or_left_at = record.status.is_dead_or_left().then_some(now);
        m.suspect_until = None;
        m.record = record;
        true
    }

    fn insert(&mut self, now: Instant, record: Record) {
        let (name, centre) = (record.name.clone(), record.data_centre.clone());
        let is_dead_or_left = record.status.is_dead_or_left();
        let mut member = Member::new(record);
        member.dead_or_left_at = is_dead_or_left.then_some(now);
        let key = self.members.insert(member);
        self.by_name.insert(name, key);
        self.centres.entry(centre).or_default().push(key);
    }

    fn remove(&mut self, key: MemberKey) {
        let Some(m) = self.members.remove(key) else { return };
        self.by_name.remove(&m.record.name);
        if let Some(list) = self.centres.get_mut(&m.record.data_centre) {
            list.retain(|&k| k != key);
        }
        self.centres.retain(|_, list| !list.is_empty());
    }

    /// If two live members have the address of `name`, returns the one that started earlier, as dead.
    ///
    /// Only one process can use an address, so the earlier one has died without an announcement. If clocks were wrong
    /// and it is alive, it learns of its death and refutes by a higher incarnation; the other can't.
    pub(super) fn superseded(&self, name: &str) -> Option<Record> {
        let new = &self.get(name)?.record;
        if new.status.is_dead_or_left() {
            return None;
        }
        let duplicate = self
            .iter()
            .map(|m| &m.record)
            .find(|r| r.peer == new.peer && r.name != new.name && !r.status.is_dead_or_left())?;
        let older = if duplicate.incarnation < new.incarnation { duplicate } else { new };
        Some(Record { status: Status::Dead, ..older.clone() })
    }

    /// Hash of the records of a data centre's live members.
    pub(super) fn hash(&self, data_centre: &str) -> u32 {
        let live = self.centre(data_centre).filter(|m| !m.record.status.is_dead_or_left());
        live.fold(0, |sum, m| sum.wrapping_add(m.record.digest()))
    }

    /// Removes members whose tombstones have expired.
    pub(super) fn purge_expired(&mut self, now: Instant) {
        let old: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| m.dead_or_left_at.is_some_and(|at| at + TOMBSTONE_TTL < now))
            .map(|(k, _)| k)
            .collect();
        for key in old {
            self.remove(key);
        }
    }
}
