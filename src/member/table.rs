//! The members by name, and hashes by which two routers find what one of them lacks.

use std::{sync::Arc, time::Duration};

use slotmap::{SlotMap, new_key_type};

use super::record::{Member, Record, Status};
use crate::util::{Instant, Map};

new_key_type! {
    /// Key of a member in the table.
    pub struct MemberKey;
}

/// How long a gone member is remembered, so that an old record can't bring it back.
const TOMBSTONE: Duration = Duration::from_secs(24 * 3600);

/// Members by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: SlotMap<MemberKey, Member>,
    by_name: Map<Arc<str>, MemberKey>,
    centres: Map<Arc<str>, Vec<MemberKey>>,
}

impl Table {
    /// The member of this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name).map(|&k| &self.members[k])
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        let key = *self.by_name.get(name)?;
        self.members.get_mut(key)
    }

    /// All members, gone ones too.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    /// Members of one data centre, gone ones too.
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

    /// Members that are not gone.
    pub fn live_count(&self) -> usize {
        self.iter().filter(|m| !m.record.status.gone()).count()
    }

    /// Takes a record in if it is newer; returns whether it was.
    pub(super) fn merge(&mut self, now: Instant, record: Record) -> bool {
        let Some(&key) = self.by_name.get(&record.name) else {
            self.insert(now, record);
            return true;
        };
        let old = &self.members[key].record;
        if !record.beats(old) {
            return false;
        }
        if old.data_centre != record.data_centre || old.peer != record.peer {
            self.remove(key);
            self.insert(now, record);
            return true;
        }
        let m = &mut self.members[key];
        if m.record.incarnation != record.incarnation {
            // It may be a new process, which knows none of the reports that the old one acknowledged.
            m.acked = 0;
        }
        m.gone_at = record.status.gone().then_some(now);
        m.suspect_until = None;
        m.record = record;
        true
    }

    fn insert(&mut self, now: Instant, record: Record) {
        let (name, centre) = (record.name.clone(), record.data_centre.clone());
        let gone = record.status.gone();
        let mut member = Member::new(record);
        member.gone_at = gone.then_some(now);
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

    /// Of two live members with the address of `name`, the one that started earlier.
    ///
    /// Only one process can hold an address, so the earlier one is gone even though it never said so. If clocks were
    /// wrong and it lives, it hears of its death and takes a higher incarnation; the other can't.
    pub(super) fn superseded(&self, name: &str) -> Option<Record> {
        let new = &self.get(name)?.record;
        if new.status.gone() {
            return None;
        }
        let rival = self
            .iter()
            .map(|m| &m.record)
            .find(|r| r.peer == new.peer && r.name != new.name && !r.status.gone())?;
        let loser = if rival.incarnation < new.incarnation { rival } else { new };
        Some(Record { status: Status::Dead, ..loser.clone() })
    }

    /// Hash over the live members of a data centre.
    pub(super) fn hash(&self, data_centre: &str) -> u32 {
        let live = self.centre(data_centre).filter(|m| !m.record.status.gone());
        live.fold(0, |sum, m| sum.wrapping_add(m.record.digest()))
    }

    /// Forgets members that have been gone for long.
    pub(super) fn forget(&mut self, now: Instant) {
        let old: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| m.gone_at.is_some_and(|at| at + TOMBSTONE < now))
            .map(|(k, _)| k)
            .collect();
        for key in old {
            self.remove(key);
        }
    }
}
