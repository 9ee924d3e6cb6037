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
    buf: BytesMut,
}

impl Splitter {
    /// Adds bytes and removes the complete events from the buffer; `None` if there are none.
    pub fn push(&mut self, bytes: Bytes) -> Option<CompleteEvents> {
        if self.buf.is_empty() && bytes.ends_with(b"\n\n") {
            return Some(complete_events(bytes));
        }
        self.buf.extend_from_slice(&bytes);
        let end = self.buf.windows(2).rposition(|w| w == b"\n\n")? + 2;
        Some(complete_events(self.buf.split_to(end).freeze()))
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
