//! Finds the services of which streams may be taken up on a route that leads elsewhere since the configuration has changed: a
//! route leads to other services, or its paths belong to another one that was added or removed.

use std::{sync::Arc, time::Duration};

use super::routes::{CompiledRoute, Routes};
use crate::util::{Instant, Map};

/// A route that no other one has replaced for its paths.
#[derive(Clone, Debug)]
struct Removed {
    route: Arc<CompiledRoute>,
    at: Instant,
}

/// The removed routes whose streams can still be taken up, should another route get their paths.
#[derive(Clone, Debug, Default)]
pub struct Rerouted {
    removed: Vec<Removed>,
}

impl Rerouted {
    /// Compares two configurations in a row. Returns the services between which streams may be mistaken; `lifetime` is that of
    /// streams.
    pub fn observe(&mut self, now: Instant, lifetime: Duration, old: &Routes, new: &Routes) -> Vec<String> {
        self.removed.retain(|removed| removed.at + lifetime > now);
        let mut doubtful = Vec::new();
        for route in self.changed(old, new) {
            let before = stream_at(old, &route).or_else(|| self.removed_at(&route));
            let Some((before, after)) = before.zip(stream_at(new, &route)) else { continue };
            let (before, after) = (before.services(), after.services());
            if before != after {
                doubtful.extend(before.into_iter().chain(after).map(str::to_owned));
            }
        }
        let after = by_match(new);
        let is_gone = |route: &&Arc<CompiledRoute>| {
            !after.contains_key(&match_of(route)) && stream_at(new, route).is_none()
        };
        let gone = old.streams().filter(is_gone);
        self.removed.extend(gone.map(|route| Removed { route: route.clone(), at: now }));
        doubtful
    }

    /// The routes of streams that are not the same in both configurations, and those that were removed before.
    fn changed(&self, old: &Routes, new: &Routes) -> Vec<Arc<CompiledRoute>> {
        let (before, after) = (by_match(old), by_match(new));
        let differs = |other: &ByMatch<'_>, route: &CompiledRoute| {
            other.get(&match_of(route)).is_none_or(|other| other.services() != route.services())
        };
        let changed = old.streams().filter(|route| differs(&after, route));
        let added = new.streams().filter(|route| differs(&before, route));
        changed.chain(added).chain(self.removed.iter().map(|removed| &removed.route)).cloned().collect()
    }

    /// The removed route to which the paths of a route belonged last.
    fn removed_at(&self, route: &CompiledRoute) -> Option<&Arc<CompiledRoute>> {
        let covers = |removed: &&Removed| {
            let (other, route) = (&removed.route.route, &route.route);
            other.host.eq_ignore_ascii_case(&route.host) && route.prefix.starts_with(&other.prefix)
        };
        let last = self.removed.iter().filter(covers).max_by_key(|r| (r.at, r.route.route.prefix.len()))?;
        Some(&last.route)
    }
}

/// The route to which the paths of a route belong, if it has streams.
fn stream_at<'a>(routes: &'a Routes, route: &CompiledRoute) -> Option<&'a Arc<CompiledRoute>> {
    routes.find(&route.route.host, &route.route.prefix).filter(|route| route.stream)
}

/// Routes of streams by host name and prefix, which identify one in two configurations.
type ByMatch<'a> = Map<(&'a str, &'a str), &'a CompiledRoute>;

fn by_match(routes: &Routes) -> ByMatch<'_> {
    routes.streams().map(|route| (match_of(route), &**route)).collect()
}

fn match_of(route: &CompiledRoute) -> (&str, &str) {
    (&route.route.host, &route.route.prefix)
}
