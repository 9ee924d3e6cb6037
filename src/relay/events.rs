//! Splits a stream into complete events, so that a stream that breaks off ends between two of them.

use bytes::{Bytes, BytesMut};

use super::request::EventNumber;

/// Maximum size of an event; a longer one means that the stream is broken.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// What each piece of an answer counts at least towards its maximum size, in bytes: reading a shorter one takes about as long.
const MIN_PIECE_COST: usize = 64;

/// What a piece of an answer counts towards its maximum size, in bytes.
pub fn piece_cost(bytes: usize) -> usize {
    bytes.max(MIN_PIECE_COST)
}

/// Consecutive complete events, ready to be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Number of the first event that has one.
    pub first: Option<EventNumber>,
    /// Number of the last event that has one.
    pub last: Option<EventNumber>,
    /// Whether each number is higher than the one before.
    pub are_in_order: bool,
}

impl CompleteEvents {
    /// Whether the first of them directly follows this one; any does if nothing precedes them.
    pub fn follow(&self, last: Option<EventNumber>) -> bool {
        last.is_none() || self.first.and_then(|first| first.checked_sub(1)) == last
    }

    /// Whether their numbers increase, from this one on.
    pub fn increase(&self, last: Option<EventNumber>) -> bool {
        let is_higher = |first| last.is_none_or(|last| last < first);
        self.are_in_order && self.first.is_none_or(is_higher)
    }
}

/// Buffers the bytes of a stream until they form a complete event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Contains no boundary.
    buf: BytesMut,
    searched_bytes: u64,
    /// Sum of [`piece_cost`] since the last complete event.
    cost: usize,
    /// Whether the bytes before the buffer end with a boundary, so that a line feed at its start is another empty line.
    follows_boundary: bool,
}

impl Splitter {
    /// Adds bytes and removes the complete events from the buffer; `None` if there are none.
    pub fn push(&mut self, bytes: Bytes) -> Option<CompleteEvents> {
        if self.buf.is_empty() && bytes.ends_with(b"\n\n") {
            self.follows_boundary = true;
            return Some(complete_events(bytes));
        }
        self.cost += piece_cost(bytes.len());
        // Its last byte may be the first one of a boundary.
        let searched = self.buf.len().saturating_sub(1);
        self.buf.extend_from_slice(&bytes);
        let unsearched = &self.buf[searched..];
        self.searched_bytes += unsearched.len() as u64;
        let end = match unsearched.windows(2).rposition(|w| w == b"\n\n") {
            Some(at) => searched + at + 2,
            None if self.follows_boundary && self.buf.starts_with(b"\n") => 1,
            None => return None,
        };
        (self.follows_boundary, self.cost) = (true, 0);
        Some(complete_events(self.buf.split_to(end).freeze()))
    }

    /// Number of bytes that were searched for a boundary so far, those that were searched again included.
    pub fn searched_bytes(&self) -> u64 {
        self.searched_bytes
    }

    /// Size of the incomplete event that is buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Whether the buffered event exceeds the maximum size.
    pub fn is_too_long(&self) -> bool {
        self.cost > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event.
    pub fn clear(&mut self) {
        self.buf.clear();
        (self.follows_boundary, self.cost) = (false, 0);
    }
}

fn complete_events(bytes: Bytes) -> CompleteEvents {
    let (mut first, mut last, mut are_in_order) = (None, None, true);
    for number in bytes.split(|b| *b == b'\n').filter_map(event_number) {
        are_in_order &= last.is_none_or(|last| last < number);
        (first, last) = (first.or(Some(number)), Some(number));
    }
    CompleteEvents { first, last, are_in_order, bytes }
}

fn event_number(line: &[u8]) -> Option<EventNumber> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
