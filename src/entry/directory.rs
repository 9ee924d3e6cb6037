//! Directory of the routers that entry answers may list, which survives the isolation of this router from most others.

use std::{sync::Arc, time::Duration};

use super::Router;
use crate::util::{Instant, Map};

/// Routers that were lost within this time of each other count as lost together.
const LOSS_WINDOW: Duration = Duration::from_secs(60);
/// Time for which routers that were lost together stay in entry answers.
pub const LOST_RETENTION: Duration = Duration::from_secs(3600);

/// State of a router in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Router.
    pub router: Router,
    /// Whether it is alive and reachable and has a configuration in force.
    pub serves: bool,
    /// Whether it is shutting down or has left the fleet.
    pub leaving: bool,
}

/// Router that stopped serving without leaving.
#[derive(Clone, Debug)]
struct LostRouter {
    router: Router,
    lost_at: Instant,
    /// Whether the router stays in entry answers.
    retained: bool,
}

/// Routers that entry answers may list.
///
/// Protects callers from this router's own network isolation. An isolated router sees most others fail within seconds.
/// If it then listed only itself and the few it can still reach, all its callers would be concentrated on those. When
/// more than half of the fleet is lost within a minute, a network failure at this router is far more likely than that
/// many failed routers, so the lost routers are retained. If they did fail, as with a lost data centre, callers get a
/// connection error and try the next address. A router that announces that it is leaving is never retained.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    serving: Map<Arc<str>, Router>,
    lost: Map<Arc<str>, LostRouter>,
}

impl Directory {
    /// Updates the directory from the membership.
    pub fn update(&mut self, now: Instant, candidates: Vec<Candidate>) {
        let before = std::mem::take(&mut self.serving);
        let mut leaving = Vec::new();
        for c in candidates {
            if c.leaving {
                leaving.push(c.router.name);
            } else if c.serves {
                self.serving.insert(c.router.name.clone(), c.router);
            }
        }
        for (name, router) in before {
            if !self.serving.contains_key(&name) {
                self.lost.insert(name, LostRouter { router, lost_at: now, retained: false });
            }
        }
        let serving = &self.serving;
        self.lost.retain(|name, l| {
            let expired = l.lost_at + if l.retained { LOST_RETENTION } else { LOSS_WINDOW } <= now;
            !serving.contains_key(name) && !leaving.contains(name) && !expired
        });
        let recent = self.lost.values().filter(|l| l.retained || l.lost_at + LOSS_WINDOW > now).count();
        if recent > self.serving.len() {
            for l in self.lost.values_mut() {
                l.retained = true;
            }
        }
    }

    /// Whether this router seems to be isolated: most other routers were lost at once.
    pub fn is_isolated(&self) -> bool {
        self.lost.values().any(|l| l.retained)
    }

    /// Routers that entry answers may list now, sorted by name.
    pub fn routers(&self) -> Vec<Router> {
        let retained = self.lost.values().filter(|l| l.retained).map(|l| &l.router);
        let mut list: Vec<_> = self.serving.values().chain(retained).cloned().collect();
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list
    }
}
