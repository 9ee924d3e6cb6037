//! Keeps recent configurations and computes the differences between them.
//!
//! A host whose configuration is outdated receives only what has changed since its version: most changes touch one
//! route or workspace of thousands, and sending the full configuration for each of them would fill a host's link. The
//! result is verified by a digest; if that does not match, the full configuration is requested.

use std::{collections::VecDeque, sync::Arc};

use super::routes::Version;
use crate::{
    schema::fleet::{Configuration, ConfigurationChanges, Run},
    util::{Map, hash},
};

/// Maximum number of configurations kept: as many as arrive within a second or two of rapid changes.
const MAX_CONFIGURATIONS: usize = 8;
/// Maximum number of routes and workspaces in all kept configurations together: a few configurations with thousands of
/// routes, 2 to 3 MB.
const MAX_ITEMS: usize = 8_192;

/// The most recent configurations, the newest last.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHistory {
    configurations: VecDeque<Arc<Configuration>>,
    /// The difference that was requested last: hosts that fall behind by the same change request the same one.
    cached_diff: Option<ConfigurationChanges>,
}

impl ConfigurationHistory {
    /// Adds a newer configuration.
    pub fn push(&mut self, cfg: Arc<Configuration>) {
        self.cached_diff = None;
        self.configurations.push_back(cfg);
        while self.configurations.len() > MAX_CONFIGURATIONS
            || self.configurations.len() > 1 && self.items() > MAX_ITEMS
        {
            self.configurations.pop_front();
        }
    }

    fn items(&self) -> usize {
        self.configurations.iter().map(|cfg| cfg.routes.len() + cfg.workspaces.len()).sum()
    }

    /// The difference from a version to the newest configuration, if that version is still kept.
    pub fn diff_from(&mut self, from: Version) -> Option<ConfigurationChanges> {
        if self.cached_diff.as_ref().is_none_or(|last| last.from != from) {
            let old = self.configurations.iter().find(|cfg| cfg.version == from)?;
            self.cached_diff = Some(diff(old, self.configurations.back()?));
        }
        self.cached_diff.clone()
    }
}

/// Computes the changes that lead from one configuration to another.
pub fn diff(old: &Configuration, new: &Configuration) -> ConfigurationChanges {
    let (routes, new_routes) = diff_list(&old.routes, &new.routes, |r| (&r.host, &r.prefix));
    let (workspaces, new_workspaces) = diff_list(&old.workspaces, &new.workspaces, |w| (&w.name, &w.name));
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

/// Applies changes; `None` if they were made for another base version or the digest of the result does not match.
pub fn apply(old: &Configuration, changes: &ConfigurationChanges) -> Option<Configuration> {
    if old.version != changes.from {
        return None;
    }
    let new = Configuration {
        version: changes.version,
        routes: patch_list(&old.routes, &changes.routes, &changes.new_routes)?,
        services: changes.services.clone(),
        limits: changes.limits,
        workspaces: patch_list(&old.workspaces, &changes.workspaces, &changes.new_workspaces)?,
    };
    (digest(&new) == changes.digest).then_some(new)
}

/// Encodes the new list as runs of the old one, each followed by a number of new items.
fn diff_list<'a, T: Clone + PartialEq>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> (&'a String, &'a String),
) -> (Vec<Run>, Vec<T>) {
    let positions: Map<_, usize> = old.iter().enumerate().map(|(i, item)| (key(item), i)).collect();
    let (mut runs, mut added) = (vec![Run::default()], Vec::new());
    for item in new {
        let last = runs.last_mut().expect("the list of runs is never empty");
        let next = (last.start + last.kept) as usize;
        if last.new == 0 && old.get(next) == Some(item) {
            last.kept += 1;
            continue;
        }
        match positions.get(&key(item)).filter(|i| old[**i] == *item) {
            Some(i) => runs.push(Run { start: *i as u32, kept: 1, new: 0 }),
            None => {
                last.new += 1;
                added.push(item.clone());
            }
        }
    }
    (runs, added)
}

/// Rebuilds a list from runs; `None` if a run exceeds the old list or the number of new items does not match.
fn patch_list<T: Clone>(old: &[T], runs: &[Run], added: &[T]) -> Option<Vec<T>> {
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
    // A configuration is plain data and can always be serialized. If that failed, the random digest would match
    // nothing.
    postcard::to_allocvec(cfg).map_or_else(|_| rand::random(), hash)
}
