//! Datagrams that anyone who reaches the port may send.

use std::{net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        datagram::{DropReason, MAX_DATAGRAM_BYTES, decode, encode},
        peers::{Own, Peers},
        suspects::Suspects,
    },
    schema::fleet::{Beat, Centre, Held, InProgress, Member, Suspect},
};
use proptest::prelude::*;

const NOW_MS: u64 = 1_800_000_000_000;
const HOUR_MS: u64 = 3_600_000;

fn addr(i: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 7000))
}

fn beat(start: u64, number: u64) -> Beat {
    Beat { start, number, ready: true, configuration: 5, backends: 9, ..Beat::default() }
}

fn read(beat: &Beat) -> Result<Beat, DropReason> {
    decode(&encode(beat).unwrap(), NOW_MS)
}

/// Somebody tells in a host's name of a start in a year, or of a number that it will reach in a year. If that were believed,
/// nothing that the host itself tells would count until then.
#[test]
fn starts_and_numbers_that_can_not_be_are_dropped() {
    let start = NOW_MS - HOUR_MS;
    assert!(read(&beat(start, 40_000)).is_ok(), "eleven a second for an hour");
    assert!(read(&beat(NOW_MS + HOUR_MS / 2, 1)).is_ok(), "a clock that is ahead");

    assert_eq!(read(&beat(NOW_MS + 2 * HOUR_MS, 1)), Err(DropReason::Future));
    assert_eq!(read(&beat(u64::MAX, 1)), Err(DropReason::Future));
    assert_eq!(read(&beat(start, u64::MAX)), Err(DropReason::Future));
    assert_eq!(read(&beat(start, 10_000_000)), Err(DropReason::Future));
}

#[test]
fn a_beat_that_comes_twice_is_told_apart() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    let own = Own::default();

    let first = peers.hear(Duration::ZERO, addr(1), &beat(1, 2), own);
    let again = peers.hear(Duration::ZERO, addr(1), &beat(1, 2), own);
    let earlier = peers.hear(Duration::ZERO, addr(1), &beat(1, 1), own);

    assert_eq!((first.old, again.old, earlier.old), (false, true, true));
}

/// Ten thousand tags, parts or members: a datagram is as long as it may be, and the rest is left out.
#[test]
fn beats_fit_their_datagram() {
    let in_progress: Vec<_> = (0..10_000).map(|backend| InProgress { backend, requests: 3 }).collect();
    let held = (0..10_000).map(|part| Held { part, backend: 1 }).collect();
    let member =
        |i: u16| Member { name: format!("host-{i}"), peers: addr(i).to_string(), ..Member::default() };
    let members = (0..1_000).map(member).collect();
    let centre = Centre { in_progress: in_progress.clone(), ready: (0..59).collect() };

    let own = Beat { in_progress, held, members, ..beat(1, 1) };
    let summary = Beat { centre: Some(centre), ..beat(1, 1) };

    assert!(encode(&own).unwrap().len() <= 1_400);
    let read = decode(&encode(&summary).unwrap(), NOW_MS).unwrap();
    assert_eq!(read.centre.unwrap().ready.len(), 59, "who is ready is told in any case");
}

/// Somebody sends from a thousand addresses, each with members and contents that are made up. What is remembered is bounded.
#[test]
fn what_is_made_up_does_not_fill_the_memory() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    let mut suspects = Suspects::default();
    for i in 1..4_000 {
        let member = |n| Member { peers: addr(n).to_string(), ..Member::default() };
        let members = (0..16).map(|n| member(i * 16 + n)).collect();
        peers.hear(Duration::ZERO, addr(i), &Beat { members, ..beat(1, 1) }, Own::default());
        suspects.hear(Duration::ZERO, &[Suspect { fingerprint: i.into(), crashes: 9 }]);
    }

    assert!(peers.hosts() <= 2_049, "{}", peers.hosts());
    assert!(suspects.len() <= 1_024, "{}", suspects.len());
}

proptest! {
    /// Any bytes are read as a beat or dropped for a reason; what is read is one that could have been sent.
    #[test]
    fn any_bytes_are_read_or_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..2 * MAX_DATAGRAM_BYTES)) {
        match decode(&bytes, NOW_MS) {
            Ok(beat) => prop_assert!(beat.start <= NOW_MS + HOUR_MS),
            Err(fault) => prop_assert_eq!(fault == DropReason::TooLarge, bytes.len() > MAX_DATAGRAM_BYTES),
        }
    }

    /// A beat with one byte changed or cut off is read or dropped, and never more than a datagram is remembered of it.
    #[test]
    fn a_damaged_beat_is_read_or_dropped(at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<bool>()) {
        let in_progress = (0..9).map(|backend| InProgress { backend, requests: 3 }).collect();
        let mut bytes = encode(&Beat { in_progress, avoided: vec![7, 8], ..beat(NOW_MS, 6) }).unwrap();
        let at = at.index(bytes.len());
        match cut {
            true => bytes.truncate(at),
            false => bytes[at] = byte,
        }

        if let Ok(beat) = decode(&bytes, NOW_MS) {
            prop_assert!(beat.in_progress.len() + beat.avoided.len() + beat.members.len() <= bytes.len());
        }
    }
}
