//! Splits a stream into complete events, so that a stream that breaks off ends between two of them.

use bytes::{Bytes, BytesMut};

use super::request::EventNumber;

/// Maximum size of an event; a longer one means that the stream is broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Consecutive complete events, ready to be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Number of the first event that has one.
    pub first: Option<EventNumber>,
    /// Number of the last event that has one.
    pub last: Option<EventNumber>,
}

/// Buffers the bytes of a stream until they form a complete event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Contains no boundary.
    buf: BytesMut,
    searched_bytes: u64,
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
        self.follows_boundary = true;
        Some(complete_events(self.buf.split_to(end).freeze()))
    }

    /// Number of bytes that were searched for a boundary so far, those that were searched again included.
    pub fn searched_bytes(&self) -> u64 {
        self.searched_bytes
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Whether the buffered event exceeds the maximum size.
    pub fn is_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.follows_boundary = false;
    }
}

fn complete_events(bytes: Bytes) -> CompleteEvents {
    let numbers = || bytes.split(|b| *b == b'\n').filter_map(event_number);
    let (first, last) = (numbers().next(), numbers().next_back());
    CompleteEvents { first, last, bytes }
}

fn event_number(line: &[u8]) -> Option<EventNumber> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
