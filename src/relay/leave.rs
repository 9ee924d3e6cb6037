//! A host that leaves: which requests it still takes, and when it may stop.
//!
//! Callers keep an address for some seconds after it is not handed out any more, so a leaving host goes on serving.
//! It refuses, provably not run, what it could not finish before the platform kills it.

use std::time::Duration;

use crate::util::Instant;

/// Bounds on a stop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaveConfig {
    /// Time from the signal until the process is killed.
    pub grace: Duration,
    /// How long callers may keep an address that is not handed out any more.
    pub address_ttl: Duration,
}

/// Requests that arrive this soon are taken whatever their deadline: callers have not heard yet.
const TAKES_ALL: Duration = Duration::from_millis(2_500);
/// Time kept free before the kill, so that the last answers are on their way.
const MARGIN: Duration = Duration::from_millis(500);

/// A stop in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leaving {
    since: Instant,
    cfg: LeaveConfig,
}

impl Leaving {
    /// A stop that begins.
    pub fn new(since: Instant, cfg: LeaveConfig) -> Self {
        Self { since, cfg }
    }

    /// Whether a request with this deadline is still taken.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now < self.since + TAKES_ALL || deadline + MARGIN <= self.since + self.cfg.grace
    }

    /// Whether the process may stop: callers have moved and nothing is in progress, or the kill is near.
    pub fn may_stop(&self, now: Instant, in_progress: usize) -> bool {
        let moved = now >= self.since + self.cfg.address_ttl;
        let late = now + MARGIN >= self.since + self.cfg.grace;
        (moved && in_progress == 0) || late
    }
}
