//! Decides whether this host connects to a backend server itself or through another host.
//!
//! A host may be cut off from all or some servers that other hosts reach. It counts as cut off once it has failed to
//! connect to several servers for which no other hosts have confirmed that they are down. While it is, it asks other
//! hosts to connect to such a server for it, and from time to time tries both ways at once, so that it notices the end
//! of the cut without delaying a request.

use std::{net::SocketAddr, time::Duration};

use super::backends::BackendKey;
use crate::util::{Instant, Map, Set};

/// Number of servers that this host must fail to connect to before it counts as cut off: a single one may be down.
const MIN_UNREACHED: usize = 2;
/// How long a failed connection counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(30);
/// Time between two attempts to connect directly to a server that is reached through other hosts.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of other hosts that must fail to connect to a server for it to count as down; one may be cut off itself.
const MIN_CONFIRMATIONS: usize = 2;
/// How long such a server counts as down.
const DOWN_MEMORY: Duration = Duration::from_secs(2);
/// How long a host that could not help is not asked again.
const HELPER_PAUSE: Duration = Duration::from_secs(1);

/// How to connect to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// This host connects itself.
    Direct,
    /// Another host connects for it.
    Through,
    /// Both at once; the first connection is used.
    Both,
}

/// Whether this host is cut off changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff(pub bool);

/// A server to which a direct connection failed.
#[derive(Clone, Debug, Default)]
struct Unreached {
    failed: Instant,
    /// When a direct connection was last tried.
    tried: Instant,
    /// Other hosts that could not connect to it either.
    confirmed_by: Set<SocketAddr>,
    down_until: Instant,
}

impl Unreached {
    /// Whether the failure tells that this host, rather than the server, is at fault.
    fn counts(&self, now: Instant) -> bool {
        self.failed + FAILURE_MEMORY > now && self.down_until <= now
    }
}

/// Which servers this host cannot connect to, and which hosts could not help.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    servers: Map<BackendKey, Unreached>,
    paused_helpers: Map<SocketAddr, Instant>,
    was_cut_off: bool,
}

impl Reach {
    /// How to connect to a server now.
    pub fn way(&mut self, now: Instant, key: BackendKey) -> Way {
        let is_cut_off = self.is_cut_off(now);
        match self.servers.get_mut(&key) {
            Some(server) if is_cut_off && server.counts(now) => {
                if server.tried + DIRECT_RETRY_INTERVAL > now {
                    return Way::Through;
                }
                server.tried = now;
                Way::Both
            }
            _ => Way::Direct,
        }
    }

    /// Records a direct connection to a server.
    pub fn record_connected(&mut self, key: BackendKey) {
        self.servers.remove(&key);
    }

    /// Records that a direct connection to a server failed.
    pub fn record_failure(&mut self, now: Instant, key: BackendKey) {
        let server = self.servers.entry(key).or_default();
        (server.failed, server.tried) = (now, now);
    }

    /// Whether this host cannot connect to a server that does not count as down.
    pub fn is_unreached(&self, now: Instant, key: BackendKey) -> bool {
        self.servers.get(&key).is_some_and(|server| server.counts(now))
    }

    /// Whether this host counts as cut off.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.servers.values().filter(|server| server.counts(now)).take(MIN_UNREACHED).count() == MIN_UNREACHED
    }

    /// Whether this host has become cut off, or no longer is, since the last call.
    pub fn take_change(&mut self, now: Instant) -> Option<CutOff> {
        let is_cut_off = self.is_cut_off(now);
        (std::mem::replace(&mut self.was_cut_off, is_cut_off) != is_cut_off).then_some(CutOff(is_cut_off))
    }

    /// Records that another host does not connect to servers for this one at the moment.
    pub fn record_declined(&mut self, now: Instant, helper: SocketAddr) {
        self.paused_helpers.insert(helper, now + HELPER_PAUSE);
    }

    /// Records that another host could not connect to a server either.
    pub fn record_confirmed(&mut self, now: Instant, key: BackendKey, helper: SocketAddr) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        server.confirmed_by.insert(helper);
        if server.confirmed_by.len() >= MIN_CONFIRMATIONS {
            server.confirmed_by.clear();
            server.down_until = now + DOWN_MEMORY;
        }
    }

    /// Whether another host may be asked to connect to a server.
    pub fn may_help(&self, now: Instant, helper: SocketAddr) -> bool {
        self.paused_helpers.get(&helper).is_none_or(|until| *until <= now)
    }

    /// Drops outdated entries.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, server| server.failed + FAILURE_MEMORY > now);
        self.paused_helpers.retain(|_, until| *until > now);
    }

    /// Forgets a server that has been removed or restarted.
    pub fn forget(&mut self, key: BackendKey) {
        self.servers.remove(&key);
    }
}
