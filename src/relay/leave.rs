//! Decides which requests a host that is shutting down still accepts, and when it may stop.
//!
//! Callers keep using an address for some seconds after it is no longer handed out, so a leaving host goes on serving.
//! It refuses requests that it could not finish before the platform kills it; these have provably not run.

use std::time::Duration;

use crate::util::Instant;

/// Time limits of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaveConfig {
    /// Time from the signal until the process is killed.
    pub grace: Duration,
    /// How long callers may keep using an address that is no longer handed out.
    pub address_ttl: Duration,
}

/// How long after the signal requests are accepted regardless of their deadline, because callers don't know yet.
const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_500);
/// Time reserved before the kill so that the last answers can be delivered.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time reserved before the kill for the end of the process itself.
const EXIT_MARGIN: Duration = Duration::from_millis(200);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leaving {
    since: Instant,
    cfg: LeaveConfig,
}

impl Leaving {
    /// Creates the state of a shutdown that begins at `since`.
    pub fn new(since: Instant, cfg: LeaveConfig) -> Self {
        Self { since, cfg }
    }

    /// Whether a request with this deadline is still accepted.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now < self.since + ACCEPT_ALL_PERIOD || deadline + KILL_MARGIN <= self.since + self.cfg.grace
    }

    /// Whether the process may stop: either callers have moved away and no request is in progress, or the kill is
    /// imminent.
    pub fn may_stop(&self, now: Instant, in_progress: usize) -> bool {
        let moved = now >= self.since + self.cfg.address_ttl;
        let late = now + KILL_MARGIN >= self.since + self.cfg.grace;
        (moved && in_progress == 0) || late
    }

    /// How long the last connections may take to close.
    pub fn time_to_close(&self, now: Instant) -> Duration {
        (self.since + self.cfg.grace).saturating_sub(now + EXIT_MARGIN)
    }
}
