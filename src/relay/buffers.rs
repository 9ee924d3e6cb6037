//! Bounds the bytes of servers' answers that a host buffers at a time, over all its requests.
//!
//! One answer may take a fraction of what is free (dynamic thresholds; Choudhury and Hahne, 1998). So a few long answers
//! take what they need, while many leave room for short ones. A long answer of a stated length may wait until others have been written.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;

/// Part of a host's memory that buffered answers may take.
const MEMORY_FRACTION: usize = 4;
/// Buffer memory of a host whose memory is unknown, in bytes.
const DEFAULT_BYTES: usize = 64 << 20;
/// Part of the free bytes that one answer may take.
const FREE_FRACTION: usize = 4;
/// Interval at which it looks for room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The bytes that may be buffered for a host with this memory, in MiB; 0 if it is unknown.
pub fn limit_for(memory_mb: f64) -> usize {
    match memory_mb {
        mb if mb >= 1.0 => (mb as usize).saturating_mul(1 << 20) / MEMORY_FRACTION,
        _ => DEFAULT_BYTES,
    }
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    used: AtomicUsize,
}

/// Bytes that a host may buffer.
#[derive(Clone, Debug)]
pub struct Buffers(Arc<Shared>);

impl Buffers {
    /// Allows this many bytes.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared { limit, used: AtomicUsize::new(0) }))
    }

    /// Bytes that are buffered.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Whether an answer of this many bytes has room while nothing else is buffered.
    pub fn can_hold(&self, bytes: usize) -> bool {
        bytes <= self.0.limit.saturating_sub(bytes) / FREE_FRACTION
    }

    /// Room for an answer, of no bytes yet.
    pub fn room(&self) -> Room {
        Room { buffers: self.clone(), bytes: 0 }
    }
}

/// Room of one answer, which is given back when it is dropped.
#[derive(Debug)]
pub struct Room {
    buffers: Buffers,
    bytes: usize,
}

impl Room {
    /// Changes its size; returns whether there was room.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let Shared { limit, used } = &*self.buffers.0;
        let added = bytes.saturating_sub(self.bytes);
        let resized = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let used = used - self.bytes + bytes;
            let free = limit.checked_sub(used).unwrap_or_default();
            (added == 0 || bytes <= free / FREE_FRACTION).then_some(used)
        });
        if resized.is_ok() {
            self.bytes = bytes;
        }
        resized.is_ok()
    }

    /// Changes its size, and waits for room at most for `timeout`; returns whether there was room.
    pub async fn await_resize(&mut self, bytes: usize, timeout: Duration) -> bool {
        if self.resize(bytes) {
            return true;
        }
        let resizing = async {
            while !self.resize(bytes) {
                tokio::time::sleep(ROOM_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, resizing).await.is_ok()
    }

    /// Bytes that keep this room until they have been written.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Held { bytes, _room: self })
    }

    /// Takes the room out, which leaves none.
    pub fn take(&mut self) -> Self {
        let none = self.buffers.room();
        std::mem::replace(self, none)
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.buffers.0.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Held {
    bytes: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
