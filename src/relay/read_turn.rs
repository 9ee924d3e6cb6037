//! Decides when a starting host reads large state from the store itself instead of receiving it from a peer.
//!
//! When all hosts start at once, all of them lack the same state. If all read it together, each gets a small share of
//! the store's link, and the first one is done only when the last one is. So each host reads at a random time, at a
//! rate for which the reads of the whole fleet take a fixed part of the link, whatever the number of hosts. The first
//! hosts that have read the state pass it on, and the number of hosts that have it then grows exponentially.

use std::time::Duration;

use crate::util::Instant;

/// Bytes per second that the reads of all starting hosts take from the store's link: less than half of 1 Gbit/s, so
/// that each read is done soon and other calls are not delayed.
const FLEET_READ_BYTES_PER_SECOND: f64 = 50e6;
/// Time within which all hosts may read the state at once: no host needs to wait for its turn then.
const SMALL_READ_TIME: Duration = Duration::from_millis(500);
/// How long a host that hears no other host waits before it reads.
const ALONE_WAIT: Duration = Duration::from_millis(1_500);

/// Whether the reads of all hosts together take so long that they must be spread.
pub fn must_spread(bytes: u64, hosts: usize) -> bool {
    bytes as f64 * hosts as f64 > FLEET_READ_BYTES_PER_SECOND * SMALL_READ_TIME.as_secs_f64()
}

/// The wait of one host for its turn to read.
#[derive(Clone, Copy, Debug)]
pub struct ReadTurn {
    bytes: u64,
    started: Instant,
    updated: Instant,
    /// Expected number of this host's reads that are left until its turn; exponentially distributed, so that the
    /// times of all hosts' turns are independent of each other.
    remaining: f64,
}

impl ReadTurn {
    /// Starts to wait for the turn to read `bytes`; `draw` is a random number in `0..1`.
    pub fn new(now: Instant, bytes: u64, draw: f64) -> Self {
        Self { bytes, started: now, updated: now, remaining: -(1.0 - draw).max(f64::MIN_POSITIVE).ln() }
    }

    /// Whether this host may read now, given the current estimate of the number of hosts and whether it hears any of
    /// them.
    pub fn is_due(&mut self, now: Instant, hosts: usize, is_alone: bool) -> bool {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.updated, now));
        let fleet_bytes = self.bytes.max(1) as f64 * hosts.max(1) as f64;
        self.remaining -= elapsed.as_secs_f64() * FLEET_READ_BYTES_PER_SECOND / fleet_bytes;
        self.remaining <= 0.0 || is_alone && now >= self.started + ALONE_WAIT
    }
}
