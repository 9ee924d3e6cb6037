//! What a stand-in engine can be told to do wrong.

use std::time::Duration;

/// Faults of an engine; the default has none.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Milliseconds before the first event.
    pub late_ms: u64,
    /// Cuts a connection after this many events.
    pub cut_after: Option<u64>,
    /// Ends a body in the ordinary way after this many events, without the final marker.
    pub end_after: Option<u64>,
    /// Sends nothing more on a connection after this many events.
    pub stall_after: Option<u64>,
    /// How many connections the three faults above meet; later ones are served whole.
    pub connections: u32,
    /// Sends an event of another request before each third event.
    pub cross: bool,
    /// Sends each third event twice.
    pub repeat: bool,
    /// Leaves out each third event on the first connection of a stream.
    pub skip: bool,
    /// Answers each request with a proof that it did not run.
    pub refuse: bool,
    /// Crashes on a request whose body contains this text.
    pub crash_on: Option<String>,
    /// Leaves each nth cache event out of the answers; 0 leaves none out.
    pub event_gap: u64,
    /// Refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Reports that it stops soon.
    pub leaving: bool,
}

impl Faults {
    pub(super) fn late(&self) -> Duration {
        Duration::from_millis(self.late_ms)
    }

    /// Takes one connection from those that a fault meets.
    pub(super) fn for_connection(&mut self) -> Self {
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
