//! What a host may hold for its callers, derived from the memory and the descriptors of its machine.
//!
//! The parts fit the memory together with the buffers of answers; docs/CAPACITY.md has their sum.

use std::ops::RangeInclusive;

/// Part of a host's memory that bodies of requests may take.
const BODY_FRACTION: usize = 5;
/// Memory for bodies of a host whose memory is unknown, in bytes.
const DEFAULT_BODY_BYTES: usize = 64 << 20;

/// Part of a host's memory that is divided among the receive buffers of its connections.
const RECEIVE_FRACTION: usize = 64;
/// Memory for receive buffers of a host whose memory is unknown, in bytes.
const DEFAULT_RECEIVE_BYTES: usize = 4 << 20;
/// Smallest and largest receive buffer of a connection, in bytes. The kernel may hold twice as much. Less than the smallest size
/// stops senders whose segments are as long as those of the loopback interface.
const RECEIVE_BUFFER_BYTES: RangeInclusive<usize> = 24 << 10..=128 << 10;

/// Limits of what a host holds for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes of the bodies of all requests.
    pub body_bytes: usize,
    /// Bytes that receive buffers divide among them.
    pub receive_bytes: usize,
}

impl Capacity {
    /// The capacity of a machine with this memory in MiB, 0 if it is unknown.
    pub fn of(memory_mb: f64) -> Self {
        let memory = (memory_mb >= 1.0).then(|| (memory_mb as usize).saturating_mul(1 << 20));
        Self {
            body_bytes: memory.map_or(DEFAULT_BODY_BYTES, |bytes| bytes / BODY_FRACTION),
            receive_bytes: memory.map_or(DEFAULT_RECEIVE_BYTES, |bytes| bytes / RECEIVE_FRACTION),
        }
    }

    /// Size of the receive buffer of a connection that is opened beside this many others, in bytes. So a few connections get
    /// large buffers, and the sum of many grows with the logarithm of their number down to the smallest size.
    pub fn receive_buffer(&self, open: usize) -> usize {
        let (min, max) = RECEIVE_BUFFER_BYTES.into_inner();
        (self.receive_bytes / (open + 1)).clamp(min, max)
    }
}
