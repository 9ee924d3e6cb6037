//! Data centres that an operator has evacuated: their backend servers get no new work until they are taken back.
//!
//! The store's entries are the source. Each host holds the set as of one revision of the store. Of two sets the one
//! with the later revision wins, whichever host it comes from, so an outage of the store changes nothing and a starting
//! host can learn the set from its peers.
//!
//! A store that was restored may lack an evacuation that is in force. Such an evacuation is retained until the operator
//! has had time to write it again, or takes the data centre back.

use std::{sync::Arc, time::Duration};

use super::revision::Revision;
use crate::{
    schema::fleet,
    util::{Instant, Map, Set},
};

/// Maximum number of evacuated data centres accepted from a peer; a longer list is not genuine.
const MAX_EVACUATIONS: usize = 64;
/// Maximum number of bytes of the names that are told to other hosts. A heartbeat of 1,400 bytes has to have room for them, and the
/// names of all data centres of a fleet take less.
const MAX_TOLD_BYTES: usize = 512;
/// Bytes that a name takes in a heartbeat in addition to its own: its length, and the time for which it is retained.
const BYTES_BESIDE_NAME: usize = 7;

/// How long an evacuation that is missing from a restored store stays in force.
const RESTORE_GRACE: Duration = Duration::from_secs(30);

/// A change of the set of evacuated data centres.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The data centre gets no new work from now on.
    Evacuated(Arc<str>),
    /// The data centre takes work again; its backend servers may be cold.
    TakenBack(Arc<str>),
}

impl Change {
    /// Name in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Change::Evacuated(_) => "evacuated",
            Change::TakenBack(_) => "taken_back",
        }
    }

    /// The data centre.
    pub fn data_centre(&self) -> &Arc<str> {
        match self {
            Change::Evacuated(name) | Change::TakenBack(name) => name,
        }
    }
}

/// An update of the evacuated data centres from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The full list.
    List(fleet::Evacuations),
    /// Changes since an earlier revision.
    Changes {
        /// Revision that the changes lead to.
        revision: Revision,
        /// Each changed data centre and whether it is evacuated now, in order.
        changes: Vec<(String, bool)>,
    },
}

impl Update {
    /// Marks a list as a stale read, which any later list replaces and from which no watch continues.
    pub(crate) fn mark_as_stale_read(&mut self) {
        if let Update::List(list) = self {
            (list.epoch, list.revision) = (Revision::STALE_READ.epoch, Revision::STALE_READ.number);
        }
    }

    /// Revision of the store that the update leads to.
    pub fn revision(&self) -> Revision {
        match self {
            Update::List(list) => list.as_of(),
            Update::Changes { revision, .. } => *revision,
        }
    }
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    revision: Revision,
    /// Those listed in the store.
    data_centres: Set<Arc<str>>,
    /// Those that a restored store lacks, and until when they stay evacuated.
    retained: Map<Arc<str>, Instant>,
    /// Number of names that are not told to other hosts.
    untold: usize,
}

impl Evacuations {
    /// Whether any update has been received.
    pub fn is_known(&self) -> bool {
        self.revision.is_known()
    }

    /// Revision of the store as of which the set is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Treats the known set as a stale read, so that any list replaces it.
    pub fn forget_revision(&mut self) {
        if self.is_known() {
            self.revision = Revision::STALE_READ;
        }
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        let is_listed = !self.data_centres.is_empty() && self.data_centres.contains(data_centre);
        is_listed || !self.retained.is_empty() && self.retained.contains_key(data_centre)
    }

    /// Applies an update from the store; one that is not newer than the known set changes nothing.
    pub fn update(&mut self, now: Instant, update: &Update) -> Vec<Change> {
        match update {
            Update::List(list) => self.merge_up_to(usize::MAX, now, list),
            Update::Changes { revision, changes } => {
                let mut data_centres = self.data_centres.clone();
                for (name, evacuated) in changes {
                    if *evacuated {
                        data_centres.insert(name.as_str().into());
                    } else {
                        data_centres.remove(name.as_str());
                    }
                }
                let before = self.evacuated();
                if *revision > self.revision {
                    self.retained.retain(|kept, _| !changes.iter().any(|(name, _)| **name == **kept));
                }
                self.replace(now, *revision, data_centres);
                self.diff_from(&before)
            }
        }
    }

    /// Merges the set that another host holds; the one with the later revision wins.
    pub fn merge(&mut self, now: Instant, received: &fleet::Evacuations) -> Vec<Change> {
        self.merge_up_to(MAX_EVACUATIONS, now, received)
    }

    /// Merges a set, up to a number of data centres.
    fn merge_up_to(&mut self, max: usize, now: Instant, received: &fleet::Evacuations) -> Vec<Change> {
        let before = self.evacuated();
        if received.as_of() > self.revision {
            let named = received.data_centres.iter().take(max);
            self.replace(now, received.as_of(), named.map(|name| name.as_str().into()).collect());
            for kept in received.kept.iter().take(MAX_EVACUATIONS) {
                if !self.contains(&kept.data_centre) {
                    let left = Duration::from_millis(kept.left_ms.into()).min(RESTORE_GRACE);
                    self.retained.insert(kept.data_centre.as_str().into(), now + left);
                }
            }
        }
        self.diff_from(&before)
    }

    /// Ends retained evacuations that were not written again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        if self.retained.is_empty() {
            return Vec::new();
        }
        let before = self.evacuated();
        self.retained.retain(|_, until| *until > now);
        self.diff_from(&before)
    }

    /// The set to send to other hosts, once it is known. Names that would keep a heartbeat from fitting its datagram are left out.
    pub fn snapshot(&self, now: Instant) -> Option<fleet::Evacuations> {
        let mut told = fleet::Evacuations {
            epoch: self.revision.epoch,
            revision: self.revision.number,
            ..fleet::Evacuations::default()
        };
        for name in self.told() {
            match self.retained.get(name) {
                Some(until) => told.kept.push(fleet::Kept {
                    data_centre: name.to_string(),
                    left_ms: until.saturating_sub(now).as_millis() as u32,
                }),
                None => told.data_centres.push(name.to_string()),
            }
        }
        self.is_known().then_some(told)
    }

    /// The names that are told to other hosts. The shortest come first: other writers may add any number of names of any length.
    fn told(&self) -> impl Iterator<Item = &Arc<str>> {
        let mut names: Vec<_> = self.data_centres.iter().chain(self.retained.keys()).collect();
        names.sort_unstable_by_key(|name| (name.len(), *name));
        let mut bytes = 0;
        let has_room = move |name: &&Arc<str>| {
            bytes += name.len() + BYTES_BESIDE_NAME;
            bytes <= MAX_TOLD_BYTES
        };
        names.into_iter().take(MAX_EVACUATIONS).take_while(has_room)
    }

    /// Logs how many names are not told to other hosts, if that has changed.
    fn report_untold(&mut self) {
        let untold = self.data_centres.len() + self.retained.len() - self.told().count();
        if std::mem::replace(&mut self.untold, untold) != untold {
            spdlog::warn!(
                "{untold} evacuated data centres are not told to other hosts: their names are too long or too many"
            );
        }
    }

    /// All evacuated data centres, listed and retained.
    fn evacuated(&self) -> Set<Arc<str>> {
        self.data_centres.iter().chain(self.retained.keys()).cloned().collect()
    }

    /// Changes from an earlier set of evacuated data centres to the current one.
    fn diff_from(&self, before: &Set<Arc<str>>) -> Vec<Change> {
        let now = self.evacuated();
        let added = now.difference(before).cloned().map(Change::Evacuated);
        added.chain(before.difference(&now).cloned().map(Change::TakenBack)).collect()
    }

    /// Replaces the listed set by a later one; after a restore, entries that are missing from it are retained.
    fn replace(&mut self, now: Instant, revision: Revision, data_centres: Set<Arc<str>>) {
        if revision <= self.revision {
            return;
        }
        let restored =
            self.is_known() && self.revision != Revision::STALE_READ && revision.epoch > self.revision.epoch;
        self.revision = revision;
        let old = std::mem::replace(&mut self.data_centres, data_centres);
        if restored {
            self.retained.extend(old.into_iter().map(|name| (name, now + RESTORE_GRACE)));
        }
        self.retained.retain(|name, _| !self.data_centres.contains(name));
        self.report_untold();
    }
}
