//! Bounds the bytes of requests' bodies that a host holds at a time, over all its connections.
//!
//! A body may take half of what the others leave free. So a single body may take half of all, and many long ones leave
//! room for short ones. When a body finds no room, those that make no progress give way to it.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::util::{Instant, Map, lock};

/// Part of what other bodies leave free that one body may take.
const FREE_FRACTION: usize = 2;
/// Bytes that must arrive for a body to have made progress, unless it is complete.
pub const PROGRESS_BYTES: usize = 8 << 10;
/// Time without progress after which a body gives way to another.
pub const GIVE_WAY_TIME: Duration = Duration::from_secs(1);

/// The bytes of bodies that a host may hold.
#[derive(Clone, Debug)]
pub struct Bodies {
    limit: usize,
    held: Arc<Mutex<Held>>,
}

#[derive(Debug, Default)]
struct Held {
    used: usize,
    /// Number of the next body.
    next: u64,
    /// Bodies that are being received.
    receiving: Map<u64, Receiving>,
}

#[derive(Debug)]
struct Receiving {
    bytes: usize,
    /// When it began, or last made progress.
    progressed_at: Instant,
    gives_way: Arc<Notify>,
}

impl Held {
    /// Ends bodies that make no progress until this many bytes are free; returns whether they are. None is ended in vain.
    fn make_room(&mut self, wanted: usize, limit: usize, except: u64, now: Instant) -> bool {
        let mut still: Vec<_> = self.receiving.iter().filter(|(id, _)| **id != except).collect();
        still.retain(|(_, body)| now.saturating_sub(body.progressed_at) >= GIVE_WAY_TIME);
        still.sort_unstable_by_key(|(_, body)| body.progressed_at);
        let mut used = self.used;
        let mut ended = Vec::new();
        for (id, body) in still {
            if limit.saturating_sub(used) >= wanted {
                break;
            }
            used -= body.bytes;
            ended.push(*id);
        }
        if limit.saturating_sub(used) < wanted {
            return false;
        }
        for id in ended {
            if let Some(body) = self.receiving.remove(&id) {
                self.used -= body.bytes;
                body.gives_way.notify_one();
            }
        }
        true
    }
}

impl Bodies {
    /// Allows this many bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, held: Arc::default() }
    }

    /// Bytes that are held, or about to arrive.
    pub fn used(&self) -> usize {
        lock(&self.held).used
    }

    /// The longest body that has room while there is no other, in bytes.
    pub fn longest(&self) -> usize {
        self.limit / FREE_FRACTION
    }

    /// Room for a body that begins to arrive, of no bytes yet.
    pub fn room(&self, now: Instant) -> BodyRoom {
        let mut held = lock(&self.held);
        let id = held.next;
        held.next += 1;
        let gives_way = Arc::new(Notify::new());
        held.receiving.insert(id, Receiving { bytes: 0, progressed_at: now, gives_way: gives_way.clone() });
        BodyRoom { bodies: self.clone(), id, bytes: 0, gives_way }
    }
}

/// Room of one body, which is given back when it is dropped.
#[derive(Debug)]
pub struct BodyRoom {
    bodies: Bodies,
    id: u64,
    bytes: usize,
    gives_way: Arc<Notify>,
}

impl BodyRoom {
    /// Extends the room; returns whether there was room, or other bodies gave way. Fails too if this one has given way.
    pub fn extend_to(&mut self, bytes: usize, now: Instant) -> bool {
        let limit = self.bodies.limit;
        let mut held = lock(&self.bodies.held);
        if bytes > limit / FREE_FRACTION || !held.receiving.contains_key(&self.id) {
            return false;
        }
        // The body itself, and what it leaves free.
        let wanted = bytes.saturating_mul(FREE_FRACTION) - self.bytes;
        if limit.saturating_sub(held.used) < wanted && !held.make_room(wanted, limit, self.id, now) {
            return false;
        }
        held.used += bytes.saturating_sub(self.bytes);
        self.bytes = self.bytes.max(bytes);
        if let Some(receiving) = held.receiving.get_mut(&self.id) {
            receiving.bytes = self.bytes;
        }
        true
    }

    /// Records that the body has made progress.
    pub fn progress(&self, now: Instant) {
        if let Some(receiving) = lock(&self.bodies.held).receiving.get_mut(&self.id) {
            receiving.progressed_at = now;
        }
    }

    /// Waits until the body has to give way to others. Its room is theirs by then.
    pub async fn given_way(&self) {
        self.gives_way.notified().await;
    }

    /// The bytes of the complete body, which keep their room until the last of them is dropped; none if it had to give
    /// way meanwhile.
    pub fn hold(self, bytes: Vec<u8>) -> Option<Bytes> {
        lock(&self.bodies.held).receiving.remove(&self.id)?;
        let room = CompleteRoom { bodies: self.bodies.clone(), bytes: self.bytes };
        if bytes.is_empty() {
            return Some(Bytes::new());
        }
        Some(Bytes::from_owner(Complete { bytes, _room: room }))
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let mut held = lock(&self.bodies.held);
        // The room of a body that gave way is gone already, and that of a complete one has another owner.
        if held.receiving.remove(&self.id).is_some() {
            held.used -= self.bytes;
        }
    }
}

/// Room of a complete body.
struct CompleteRoom {
    bodies: Bodies,
    bytes: usize,
}

impl Drop for CompleteRoom {
    fn drop(&mut self) {
        lock(&self.bodies.held).used -= self.bytes;
    }
}

struct Complete {
    bytes: Vec<u8>,
    _room: CompleteRoom,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
