//! The configurations known lately, and what has changed between two of them.
//!
//! A host that lacks the newest configuration is told what has changed since the one it knows: most changes touch one route
//! or workspace of thousands, and whole configurations would fill a host's link for each of them. The result is checked by
//! a digest; where it does not fit, the whole configuration is asked for.

use std::{collections::VecDeque, sync::Arc};

use super::routes::Version;
use crate::{
    schema::fleet::{Configuration, ConfigurationChanges, Run},
    util::{Map, hash},
};

/// Configurations remembered: as many as come in a second or two while all change at once.
const MOST_KEPT: usize = 8;
/// Routes and workspaces remembered in all of them: a few configurations of thousands of routes, 2 to 3 MB.
const MOST_ITEMS: usize = 8_192;

/// The configurations known lately, the newest last.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHistory {
    kept: VecDeque<Arc<Configuration>>,
    /// The changes that were asked for last: all hosts that follow a change lack the same.
    last: Option<ConfigurationChanges>,
}

impl ConfigurationHistory {
    /// Remembers a newer configuration.
    pub fn note(&mut self, cfg: Arc<Configuration>) {
        self.last = None;
        self.kept.push_back(cfg);
        while self.kept.len() > MOST_KEPT || self.kept.len() > 1 && self.items() > MOST_ITEMS {
            self.kept.pop_front();
        }
    }

    fn items(&self) -> usize {
        self.kept.iter().map(|cfg| cfg.routes.len() + cfg.workspaces.len()).sum()
    }

    /// What has changed from a version to the newest, if that version is remembered.
    pub fn changes_since(&mut self, from: Version) -> Option<ConfigurationChanges> {
        if self.last.as_ref().is_none_or(|last| last.from != from) {
            let old = self.kept.iter().find(|cfg| cfg.version == from)?;
            self.last = Some(changes(old, self.kept.back()?));
        }
        self.last.clone()
    }
}

/// What leads from one configuration to another.
pub fn changes(old: &Configuration, new: &Configuration) -> ConfigurationChanges {
    let (routes, new_routes) = runs(&old.routes, &new.routes, |r| (&r.host, &r.prefix));
    let (workspaces, new_workspaces) = runs(&old.workspaces, &new.workspaces, |w| (&w.name, &w.name));
    ConfigurationChanges {
        from: old.version,
        version: new.version,
        routes,
        new_routes,
        workspaces,
        new_workspaces,
        services: new.services.clone(),
        limits: new.limits,
        digest: digest(new),
    }
}

/// Applies changes; `None` where they don't lead from this configuration to the one that they were made of.
pub fn apply(old: &Configuration, changes: &ConfigurationChanges) -> Option<Configuration> {
    if old.version != changes.from {
        return None;
    }
    let new = Configuration {
        version: changes.version,
        routes: join(&old.routes, &changes.routes, &changes.new_routes)?,
        services: changes.services.clone(),
        limits: changes.limits,
        workspaces: join(&old.workspaces, &changes.workspaces, &changes.new_workspaces)?,
    };
    (digest(&new) == changes.digest).then_some(new)
}

/// Tells the new list as runs of the old one, each followed by some items that are new.
fn runs<'a, T: Clone + PartialEq>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> (&'a String, &'a String),
) -> (Vec<Run>, Vec<T>) {
    let at: Map<_, usize> = old.iter().enumerate().map(|(i, item)| (key(item), i)).collect();
    let (mut runs, mut added) = (vec![Run::default()], Vec::new());
    for item in new {
        let last = runs.last_mut().expect("there is a first run");
        let next = (last.start + last.kept) as usize;
        if last.new == 0 && old.get(next) == Some(item) {
            last.kept += 1;
            continue;
        }
        match at.get(&key(item)).filter(|i| old[**i] == *item) {
            Some(i) => runs.push(Run { start: *i as u32, kept: 1, new: 0 }),
            None => {
                last.new += 1;
                added.push(item.clone());
            }
        }
    }
    (runs, added)
}

/// Puts a list together; `None` where a run reaches beyond the old list or the new items don't suffice.
fn join<T: Clone>(old: &[T], runs: &[Run], added: &[T]) -> Option<Vec<T>> {
    let mut all = Vec::new();
    let mut added = added.iter();
    for run in runs {
        let end = run.start.checked_add(run.kept)?;
        all.extend_from_slice(old.get(run.start as usize..end as usize)?);
        for _ in 0..run.new {
            all.push(added.next()?.clone());
        }
    }
    added.next().is_none().then_some(all)
}

fn digest(cfg: &Configuration) -> u64 {
    // A configuration is plain data, which always has a form in bytes; were there none, nothing would be taken for equal.
    postcard::to_allocvec(cfg).map_or_else(|_| rand::random(), hash)
}
