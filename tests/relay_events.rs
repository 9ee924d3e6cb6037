//! Tests of how a stream is split into events, without I/O.

use bytes::Bytes;
use cranberrytally::relay::events::Splitter;
use proptest::{collection::vec, prelude::*};

/// Pushes bytes in pieces of these sizes, in turn; returns the complete events' bytes and what is left.
fn split(bytes: &[u8], sizes: &[usize]) -> (Vec<u8>, Splitter) {
    let (mut splitter, mut passed, mut rest) = (Splitter::default(), Vec::new(), bytes);
    for size in sizes.iter().cycle() {
        let (piece, next) = rest.split_at(rest.len().min(*size));
        if piece.is_empty() {
            break;
        }
        if let Some(events) = splitter.push(Bytes::copy_from_slice(piece)) {
            passed.extend_from_slice(&events.bytes);
        }
        rest = next;
    }
    (passed, splitter)
}

/// Guards against an event without end that costs more with each of its pieces.
#[test]
fn each_byte_of_a_long_event_is_searched_once() {
    const EVENT_BYTES: usize = 1 << 20;
    for piece_bytes in [1, 64, 1_448] {
        let (passed, splitter) = split(&vec![b'x'; EVENT_BYTES], &[piece_bytes]);

        let pieces = EVENT_BYTES.div_ceil(piece_bytes);
        let searched = splitter.searched_bytes();
        assert_eq!(passed.len(), 0);
        // The last byte before a piece may be the first one of a boundary.
        assert!(searched <= (EVENT_BYTES + pieces) as u64, "pieces of {piece_bytes}: {searched} bytes");
    }
}

/// Guards against a boundary that is missed since its two bytes are in two pieces.
#[test]
fn a_boundary_may_lie_between_two_pieces() {
    let (passed, splitter) = split(b"id: 1\ndata: a\n\nid: 2\n", &[14, 1, 100]);

    assert_eq!(passed, b"id: 1\ndata: a\n\n");
    assert!(!splitter.is_empty());
}

proptest! {
    /// Guards against events that depend on how the server's bytes were cut into pieces.
    #[test]
    fn what_is_passed_on_does_not_depend_on_the_pieces(
        text in "(id: [0-9]{1,3}\n|data: [a-c]{0,9}\r?\n|\n|\r\n|\r){0,60}",
        sizes in vec(1_usize..20, 1..8),
    ) {
        let end = text.rfind("\n\n").map_or(0, |at| at + 2);

        let (passed, splitter) = split(text.as_bytes(), &sizes);

        prop_assert_eq!(passed, &text.as_bytes()[..end]);
        prop_assert_eq!(splitter.is_empty(), end == text.len());
        prop_assert!(splitter.searched_bytes() <= (text.len() * 2) as u64);
    }
}

/// Guards against an event without end in tiny pieces, each of which takes as long to read as a larger one.
#[test]
fn an_event_has_a_maximum_number_of_pieces() {
    const MAX_PIECES: usize = 4 << 10;
    let mut splitter = Splitter::default();

    for _ in 0..MAX_PIECES {
        assert_eq!(splitter.push("x".into()), None);
        assert!(!splitter.is_too_long());
    }
    splitter.push("x".into());

    assert!(splitter.is_too_long());
    assert!(splitter.push("\n\n".into()).is_some());
    assert!(!splitter.is_too_long());
}
