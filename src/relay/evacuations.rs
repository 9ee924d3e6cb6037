//! Data centres that an operator has evacuated: their backend servers get nothing new until they are taken back.
//!
//! The store's entries are the source. Each host holds the set as of one revision of the store; of two sets the later one
//! holds, whoever tells it, so that an outage of the store changes nothing and a host that starts learns it from the others.

use std::sync::Arc;

use super::revision::Revision;
use crate::{schema::fleet, util::Set};

/// Evacuated data centres that are remembered; more are made up by somebody.
const MOST: usize = 64;

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
#[derive(Clone, Debug, PartialEq, Eq)]
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
    data_centres: Set<Arc<str>>,
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

    /// Whether the backend servers of a data centre get nothing new.
    pub fn covers(&self, data_centre: &str) -> bool {
        !self.data_centres.is_empty() && self.data_centres.contains(data_centre)
    }

    /// Takes in what the store told; what is older than known changes nothing.
    pub fn update(&mut self, update: &Update) -> Vec<Change> {
        match update {
            Update::List(list) => self.hear(list),
            Update::Changes { revision, changes } => {
                let mut data_centres = self.data_centres.clone();
                for (name, evacuated) in changes {
                    if *evacuated {
                        data_centres.insert(name.as_str().into());
                    } else {
                        data_centres.remove(name.as_str());
                    }
                }
                self.replace(*revision, data_centres)
            }
        }
    }

    /// Takes in the set that another host holds.
    pub fn hear(&mut self, told: &fleet::Evacuations) -> Vec<Change> {
        let named = told.data_centres.iter().take(MOST);
        self.replace(told.as_of(), named.map(|name| name.as_str().into()).collect())
    }

    /// The set for another host, once it is known.
    pub fn told(&self) -> Option<fleet::Evacuations> {
        let data_centres = self.data_centres.iter().map(|name| name.to_string()).collect();
        let Revision { epoch, number } = self.revision;
        self.is_known().then_some(fleet::Evacuations { epoch, revision: number, data_centres })
    }

    fn replace(&mut self, revision: Revision, data_centres: Set<Arc<str>>) -> Vec<Change> {
        if revision <= self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let old = std::mem::replace(&mut self.data_centres, data_centres);
        let begun = self.data_centres.difference(&old).cloned().map(Change::Evacuated);
        let ended = old.difference(&self.data_centres).cloned().map(Change::TakenBack);
        begun.chain(ended).collect()
    }
}
