//! Injected faults of a stand-in engine.

use std::time::Duration;

/// Faults to inject; none by default.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay before the first event, in milliseconds.
    pub late_ms: u64,
    /// Breaks the connection after this many events.
    pub cut_after: Option<u64>,
    /// Ends the body properly after this many events, but without the final marker.
    pub end_after: Option<u64>,
    /// Stalls the connection after this many events: it stays open but sends nothing more.
    pub stall_after: Option<u64>,
    /// Number of connections affected by the three faults above and by `skip`; later ones are served completely.
    pub connections: u32,
    /// Sends an event of another request before every third event.
    pub cross: bool,
    /// Sends every third event twice.
    pub repeat: bool,
    /// Leaves out every third event on the affected connections.
    pub skip: bool,
    /// Rejects each request with a proof that it did not run.
    pub refuse: bool,
    /// Crashes on a request whose body contains this text.
    pub crash_on: Option<String>,
    /// Leaves every nth cache event out of the answers; 0 leaves out none.
    pub event_gap: u64,
    /// Rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Reports in the load report that the engine is leaving.
    pub leaving: bool,
}

impl Faults {
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.late_ms)
    }

    /// Returns the faults for a new connection and counts it as one of the affected connections.
    pub(super) fn take_for_connection(&mut self) -> Self {
        let mut faults = self.clone();
        if self.connections > 0 {
            self.connections -= 1;
        } else {
            (faults.cut_after, faults.end_after, faults.stall_after) = (None, None, None);
            faults.skip = false;
        }
        faults
    }
}
