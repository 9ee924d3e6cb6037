//! Graceful shutdown of a host: from the signal, through the requests in progress, to the last connection.

use std::{sync::Arc, time::Duration};

use super::{Relay, Wire, leave::Leaving};
use crate::{
    logs::lines::{Level, line},
    util::{Instant, now},
};

/// Interval at which a host that shuts down looks for requests in progress and open connections.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(25);

impl<W: Wire> Relay<W> {
    /// Shuts down: waits for the requests in progress, and closes the connections of callers. Returns whether all of them are
    /// closed.
    pub async fn shut_down(&self) -> bool {
        self.leave();
        while !self.may_stop() {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        self.close_connections().await
    }

    /// Starts the shutdown: no new callers are sent here.
    pub fn leave(&self) {
        let mut state = self.state();
        if state.leaving.is_none() {
            state.leaving = Some(Leaving::new(now(), self.cfg.leave));
            let in_progress = state.in_progress as u64;
            line(Level::Notable, "leaving", |l| l.number("in_progress", in_progress));
        }
        drop(state);
        self.beat_due.notify_one();
    }

    /// Whether a request with this deadline is still accepted.
    pub fn accepts(&self, deadline: Instant) -> bool {
        let open = !*self.closing.borrow();
        open && self.state().leaving.is_none_or(|l| l.accepts(now(), deadline))
    }

    /// Accepts no more requests, and closes connections of callers as they become idle. A request that still arrives is
    /// refused, provably not run, so that none is cut off by the end of the process.
    pub fn stop_accepting(&self) {
        self.closing.send_replace(true);
    }

    /// Accepts no more requests, and waits until the connections of callers are closed, at most until the platform kills the
    /// process. An answer that is complete here may still be on its way to a caller that reads slowly. Returns whether all
    /// connections are closed.
    pub async fn close_connections(&self) -> bool {
        self.stop_accepting();
        let all_closed = async {
            while self.connections() > 0 {
                tokio::time::sleep(STOP_CHECK_INTERVAL).await;
            }
        };
        let time = self.state().leaving.map_or(Duration::ZERO, |l| l.time_to_close(now()));
        tokio::time::timeout(time, all_closed).await.is_ok()
    }

    /// Number of open connections of callers.
    pub fn connections(&self) -> usize {
        self.state().connections
    }

    /// Counts a connection of a caller as open until the guard is dropped.
    pub(crate) fn track_connection(self: &Arc<Self>) -> ConnectionGuard<W> {
        self.state().connections += 1;
        ConnectionGuard(self.clone())
    }

    /// Whether this host is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.state().leaving.is_some()
    }

    /// Whether a host that is shutting down may stop now.
    pub fn may_stop(&self) -> bool {
        let state = self.state();
        state.leaving.is_some_and(|l| l.may_stop(now(), state.in_progress))
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard<W> {
        self.state().in_progress += 1;
        RequestGuard(self.clone())
    }
}

/// Guard of an open connection of a caller.
#[derive(Debug)]
pub(crate) struct ConnectionGuard<W: Wire>(Arc<Relay<W>>);

impl<W: Wire> Drop for ConnectionGuard<W> {
    fn drop(&mut self) {
        self.0.state().connections -= 1;
    }
}

/// Guard of a request in progress at this host.
#[derive(Debug)]
pub struct RequestGuard<W: Wire>(Arc<Relay<W>>);

impl<W: Wire> Drop for RequestGuard<W> {
    fn drop(&mut self) {
        self.0.state().in_progress -= 1;
    }
}
