//! Remembers when this host last stood still, for example because its processor was taken away. What it took for silence of
//! others then was its own.

use std::time::Duration;

use crate::util::Instant;

/// Delay of a timer above which the host stood still; scheduling alone takes less.
pub const MIN_STALL: Duration = Duration::from_millis(100);

/// The last time that the host stood still.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stall {
    ended: Instant,
    lasted: Duration,
}

impl Stall {
    /// Records that a timer fired this much too late. Returns whether the host stood still.
    pub fn observe(&mut self, now: Instant, late: Duration) -> bool {
        if late < MIN_STALL {
            return false;
        }
        *self = Self { ended: now, lasted: late };
        true
    }

    /// How long the host stood still the last time, if that ended after `start`.
    pub fn since(&self, start: Instant) -> Duration {
        if self.ended > start { self.lasted } else { Duration::ZERO }
    }
}
