//! Limits on the requests that a workspace or a workspace group has in progress.

use std::sync::Arc;

use crate::{error::Kind, util::Map};

/// What a limit applies to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Scope {
    /// One workspace.
    Workspace(Arc<str>),
    /// All workspaces of a group.
    Group(Arc<str>),
}

impl Scope {
    fn kind(&self) -> Kind {
        match self {
            Scope::Workspace(_) => Kind::WorkspaceLimit,
            Scope::Group(_) => Kind::GroupLimit,
        }
    }
}

/// A limit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    /// What it applies to.
    pub scope: Scope,
    /// Requests in progress over the whole fleet.
    pub max: u32,
}

impl ConcurrencyLimit {
    /// This router's part of the limit. Rounded up, so that a limit below the number of routers still lets
    /// some request through; the fleet exceeds the limit by less than one request a router.
    fn share(&self, routers: u32) -> u32 {
        self.max.div_ceil(routers.max(1))
    }
}

/// Requests in progress, waiting or running, by scope. Only scopes with a limit are counted.
#[derive(Debug, Default)]
pub struct InFlight {
    running: Map<Scope, u32>,
}

impl InFlight {
    /// Counts a request, or says which limit it would exceed; then nothing is counted.
    ///
    /// # Errors
    /// [`Kind::WorkspaceLimit`] or [`Kind::GroupLimit`].
    pub fn acquire(&mut self, limits: &[ConcurrencyLimit], routers: u32) -> Result<(), Kind> {
        let full = |cap: &&ConcurrencyLimit| {
            self.running.get(&cap.scope).copied().unwrap_or(0) >= cap.share(routers)
        };
        if let Some(cap) = limits.iter().find(full) {
            return Err(cap.scope.kind());
        }
        for cap in limits {
            *self.running.entry(cap.scope.clone()).or_default() += 1;
        }
        Ok(())
    }

    /// Ends the count of a request that entered with the same limits.
    pub fn release(&mut self, limits: &[ConcurrencyLimit]) {
        for cap in limits {
            if let Some(n) = self.running.get_mut(&cap.scope) {
                *n -= 1;
                if *n == 0 {
                    self.running.remove(&cap.scope);
                }
            }
        }
    }

    /// Scopes with a request in progress.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether no request is counted.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }
}
