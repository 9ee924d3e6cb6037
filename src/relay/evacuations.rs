//! Data centres that an operator has evacuated: their backend servers get nothing new until they are taken back.
//!
//! The store's entries are the source. Each host holds the set as of one revision of the store; of two sets the later one
//! holds, whoever tells it, so that an outage of the store changes nothing and a host that starts learns it from the others.
//!
//! A store that was restored may have lost an evacuation that is in force. It is kept until the operator has had time to write
//! it again, or takes the data centre back.

use std::{sync::Arc, time::Duration};

use super::revision::Revision;
use crate::{
    schema::fleet,
    util::{Instant, Map, Set},
};

/// Evacuated data centres that are remembered; more are made up by somebody.
const MOST: usize = 64;

/// How long an evacuation stays in force that a restored store does not have.
const KEPT: Duration = Duration::from_secs(30);

/// A change of what is evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing new goes there from now on.
    Evacuated(Arc<str>),
    /// It takes work again; its backend servers may be cold.
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

/// What the store tells of evacuated data centres.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All of them.
    List(fleet::Evacuations),
    /// What has changed.
    Changes {
        /// Revision that the changes lead to.
        revision: Revision,
        /// Each data centre and whether it is evacuated now, in order.
        changes: Vec<(String, bool)>,
    },
}

impl Update {
    /// Takes a list for one of a copy, after which nothing is waited for.
    pub(crate) fn take_for_copy(&mut self) {
        if let Update::List(list) = self {
            (list.epoch, list.revision) = (Revision::STALE_READ.epoch, Revision::STALE_READ.number);
        }
    }

    /// Revision as of which it tells.
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
    /// Those that the store tells.
    data_centres: Set<Arc<str>>,
    /// Those that it has lost, and until when they stay evacuated.
    kept: Map<Arc<str>, Instant>,
}

impl Evacuations {
    /// Whether anything has been told yet.
    pub fn is_known(&self) -> bool {
        self.revision.is_known()
    }

    /// Revision of the store up to which the set is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes what is known for that of a copy, which any list replaces.
    pub fn forget_revision(&mut self) {
        if self.is_known() {
            self.revision = Revision::STALE_READ;
        }
    }

    /// Whether the backend servers of a data centre get nothing new.
    pub fn contains(&self, data_centre: &str) -> bool {
        let told = !self.data_centres.is_empty() && self.data_centres.contains(data_centre);
        told || !self.kept.is_empty() && self.kept.contains_key(data_centre)
    }

    /// Takes in what the store told; what is older than known changes nothing.
    pub fn update(&mut self, now: Instant, update: &Update) -> Vec<Change> {
        match update {
            Update::List(list) => self.hear(now, list),
            Update::Changes { revision, changes } => {
                let mut data_centres = self.data_centres.clone();
                for (name, evacuated) in changes {
                    if *evacuated {
                        data_centres.insert(name.as_str().into());
                    } else {
                        data_centres.remove(name.as_str());
                    }
                }
                let before = self.in_force();
                if *revision > self.revision {
                    self.kept.retain(|kept, _| !changes.iter().any(|(name, _)| **name == **kept));
                }
                self.replace(now, *revision, data_centres);
                self.changes_since(&before)
            }
        }
    }

    /// Takes in the set that another host holds.
    pub fn hear(&mut self, now: Instant, told: &fleet::Evacuations) -> Vec<Change> {
        let before = self.in_force();
        if told.as_of() > self.revision {
            let named = told.data_centres.iter().take(MOST);
            self.replace(now, told.as_of(), named.map(|name| name.as_str().into()).collect());
            for kept in told.kept.iter().take(MOST) {
                if !self.contains(&kept.data_centre) {
                    let left = Duration::from_millis(kept.left_ms.into()).min(KEPT);
                    self.kept.insert(kept.data_centre.as_str().into(), now + left);
                }
            }
        }
        self.changes_since(&before)
    }

    /// Ends evacuations that a restored store has lost and that nobody has written again.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        if self.kept.is_empty() {
            return Vec::new();
        }
        let before = self.in_force();
        self.kept.retain(|_, until| *until > now);
        self.changes_since(&before)
    }

    /// The set for another host, once it is known.
    pub fn told(&self, now: Instant) -> Option<fleet::Evacuations> {
        let left_ms = |until: &Instant| until.saturating_sub(now).as_millis() as u32;
        let kept = self
            .kept
            .iter()
            .map(|(name, until)| fleet::Kept { data_centre: name.to_string(), left_ms: left_ms(until) });
        let kept = kept.collect();
        let data_centres = self.data_centres.iter().map(|name| name.to_string()).collect();
        let Revision { epoch, number } = self.revision;
        self.is_known().then_some(fleet::Evacuations { epoch, revision: number, data_centres, kept })
    }

    /// All that are evacuated.
    fn in_force(&self) -> Set<Arc<str>> {
        self.data_centres.iter().chain(self.kept.keys()).cloned().collect()
    }

    fn changes_since(&self, before: &Set<Arc<str>>) -> Vec<Change> {
        let now = self.in_force();
        let begun = now.difference(before).cloned().map(Change::Evacuated);
        begun.chain(before.difference(&now).cloned().map(Change::TakenBack)).collect()
    }

    fn replace(&mut self, now: Instant, revision: Revision, data_centres: Set<Arc<str>>) {
        if revision <= self.revision {
            return;
        }
        let restored =
            self.is_known() && self.revision != Revision::STALE_READ && revision.epoch > self.revision.epoch;
        self.revision = revision;
        let old = std::mem::replace(&mut self.data_centres, data_centres);
        if restored {
            self.kept.extend(old.into_iter().map(|name| (name, now + KEPT)));
        }
        self.kept.retain(|name, _| !self.data_centres.contains(name));
    }
}
