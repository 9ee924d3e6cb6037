//! The routers that entry answers may name, also while this router is cut off from most others.

use std::{sync::Arc, time::Duration};

use super::Router;
use crate::util::{Instant, Map};

/// Losses within this time count as one.
const LOSS_WINDOW: Duration = Duration::from_secs(60);
/// How long routers that were lost together are still handed out.
pub const LOST_RETENTION: Duration = Duration::from_secs(3600);

/// A router as the membership sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Router.
    pub router: Router,
    /// Whether it lives, can be heard and has a configuration in force.
    pub serves: bool,
    /// Whether it is shutting down or has stopped by itself.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct LostRouter {
    router: Router,
    at: Instant,
    retained: bool,
}

/// Routers that may be handed out.
///
/// Guards against this router's own isolation. Cut off from most others it sees them die within seconds; if it then
/// named only itself and the few it still hears, every caller that asks it would crowd onto those. More than half of
/// the fleet lost within a minute is far likelier a broken path of this router than so many dead routers, so they
/// stay in its answers. If they are dead after all, as with a lost data centre, callers find it out with a refused
/// connection and go on to the next address. A router that says that it leaves is never held.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    serving: Map<Arc<str>, Router>,
    lost: Map<Arc<str>, LostRouter>,
}

impl Directory {
    /// Takes in the membership's present view.
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
                self.lost.insert(name, LostRouter { router, at: now, retained: false });
            }
        }
        let serving = &self.serving;
        self.lost.retain(|name, l| {
            let expired = l.at + if l.retained { LOST_RETENTION } else { LOSS_WINDOW } <= now;
            !serving.contains_key(name) && !leaving.contains(name) && !expired
        });
        let recent = self.lost.values().filter(|l| l.retained || l.at + LOSS_WINDOW > now).count();
        if recent > self.serving.len() {
            for l in self.lost.values_mut() {
                l.retained = true;
            }
        }
    }

    /// Whether most other routers were lost at once.
    pub fn is_isolated(&self) -> bool {
        self.lost.values().any(|l| l.retained)
    }

    /// Routers that may be handed out now, by name.
    pub fn routers(&self) -> Vec<Router> {
        let retained = self.lost.values().filter(|l| l.retained).map(|l| &l.router);
        let mut list: Vec<_> = self.serving.values().chain(retained).cloned().collect();
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list
    }
}
