//! Concurrency limits: requests in progress per workspace and per workspace group.

use std::sync::Arc;

use crate::{error::ErrorKind, util::Map};

/// Scope of a limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Scope {
    /// One workspace.
    Workspace(Arc<str>),
    /// All workspaces of a group.
    Group(Arc<str>),
}

impl Scope {
    fn kind(&self) -> ErrorKind {
        match self {
            Scope::Workspace(_) => ErrorKind::WorkspaceLimit,
            Scope::Group(_) => ErrorKind::GroupLimit,
        }
    }
}

/// Configured limit on the requests in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    /// Workspace or group that the limit applies to.
    pub scope: Scope,
    /// Maximum number of requests in progress in the whole fleet.
    pub max: u32,
}

impl ConcurrencyLimit {
    /// This router's share of the limit, rounded up so that a limit below the number of routers still admits
    /// requests. The fleet may exceed the limit by less than one request per router.
    fn share(&self, routers: u32) -> u32 {
        self.max.div_ceil(routers.max(1))
    }
}

/// Number of requests in progress (waiting or running) for each scope that has a limit.
#[derive(Debug, Default)]
pub struct InFlight {
    running: Map<Scope, u32>,
}

impl InFlight {
    /// Counts a request against `limits`, or counts nothing if it would exceed one of them.
    ///
    /// # Errors
    /// [`ErrorKind::WorkspaceLimit`] or [`ErrorKind::GroupLimit`], depending on the exceeded limit.
    pub fn acquire(&mut self, limits: &[ConcurrencyLimit], routers: u32) -> Result<(), ErrorKind> {
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

    /// Uncounts a request that was acquired with the same limits.
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

    /// Number of scopes with a request in progress.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }
}
