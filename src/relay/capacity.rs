//! What a host may hold for its callers, derived from the memory and the descriptors of its machine.
//!
//! The parts fit the memory together with the buffers of answers; docs/CAPACITY.md has their sum.

/// Part of a host's memory that bodies of requests may take.
const BODY_FRACTION: usize = 5;
/// Memory for bodies of a host whose memory is unknown, in bytes.
const DEFAULT_BODY_BYTES: usize = 64 << 20;

/// Limits of what a host holds for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes of the bodies of all requests.
    pub body_bytes: usize,
}

impl Capacity {
    /// The capacity of a machine with this memory in MiB, 0 if it is unknown.
    pub fn of(memory_mb: f64) -> Self {
        let memory = (memory_mb >= 1.0).then(|| (memory_mb as usize).saturating_mul(1 << 20));
        Self { body_bytes: memory.map_or(DEFAULT_BODY_BYTES, |bytes| bytes / BODY_FRACTION) }
    }
}
