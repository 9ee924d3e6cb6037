//! Splits a stream into whole events, so that a stream that breaks off ends between two of them.

use bytes::{Bytes, BytesMut};

use super::request::EventNumber;

/// Largest event; a longer one is taken for a broken stream.
const MOST_EVENT: usize = 1 << 20;

/// Whole events, as they are passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Number of the first one that has a number.
    pub first: Option<EventNumber>,
    /// Number of the last one that has a number.
    pub last: Option<EventNumber>,
}

/// Bytes of a stream that don't make a whole event yet.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
}

impl Splitter {
    /// Adds bytes and takes the whole events out; `None` while there are none.
    pub fn push(&mut self, bytes: Bytes) -> Option<CompleteEvents> {
        if self.buf.is_empty() && bytes.ends_with(b"\n\n") {
            return Some(whole(bytes));
        }
        self.buf.extend_from_slice(&bytes);
        let end = self.buf.windows(2).rposition(|w| w == b"\n\n")? + 2;
        Some(whole(self.buf.split_to(end).freeze()))
    }

    /// Whether all bytes so far made whole events.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Whether an event is longer than any that is passed on.
    pub fn is_too_long(&self) -> bool {
        self.buf.len() > MOST_EVENT
    }

    /// Forgets the part of an event that the rest never followed.
    pub fn clear(&mut self) {
        self.buf.clear();
    }
}

fn whole(bytes: Bytes) -> CompleteEvents {
    let numbers = || bytes.split(|b| *b == b'\n').filter_map(number);
    let (first, last) = (numbers().next(), numbers().next_back());
    CompleteEvents { first, last, bytes }
}

fn number(line: &[u8]) -> Option<EventNumber> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
