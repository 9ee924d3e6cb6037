//! Tests the validation of heartbeat datagrams, which anyone who reaches the port may send.

use std::{net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        crashes::Crashes,
        datagram::{DropReason, MAX_DATAGRAM_BYTES, decode, encode},
        peers::{LocalVersions, Peers},
    },
    schema::fleet::{
        Beat, Centre, CrashCause, CrashReport, CrashSuspect, Held, InProgress, Member, Quarantine,
    },
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

fn round_trip(beat: &Beat) -> Result<Beat, DropReason> {
    decode(&encode(beat).unwrap(), NOW_MS)
}

/// A forged heartbeat carries a start time one year ahead, or a sequence number that the host will reach in a year. If
/// it were accepted, the host's own heartbeats would count as outdated until then.
#[test]
fn implausible_starts_and_numbers_are_dropped() {
    let start = NOW_MS - HOUR_MS;
    assert!(round_trip(&beat(start, 40_000)).is_ok(), "eleven heartbeats a second for an hour");
    assert!(round_trip(&beat(NOW_MS + HOUR_MS / 2, 1)).is_ok(), "a clock that is half an hour ahead");

    assert_eq!(round_trip(&beat(NOW_MS + 2 * HOUR_MS, 1)), Err(DropReason::Future));
    assert_eq!(round_trip(&beat(u64::MAX, 1)), Err(DropReason::Future));
    assert_eq!(round_trip(&beat(start, u64::MAX)), Err(DropReason::Future));
    assert_eq!(round_trip(&beat(start, 10_000_000)), Err(DropReason::Future));
}

#[test]
fn a_duplicate_heartbeat_is_detected() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    let own = LocalVersions::default();

    let first = peers.receive(Duration::ZERO, addr(1), &beat(1, 2), own);
    let duplicate = peers.receive(Duration::ZERO, addr(1), &beat(1, 2), own);
    let older = peers.receive(Duration::ZERO, addr(1), &beat(1, 1), own);

    assert_eq!((first.stale, duplicate.stale, older.stale), (false, true, true));
}

/// With ten thousand tags, parts or members a datagram stays within its maximum size, and the rest is left out.
#[test]
fn heartbeats_fit_their_datagram() {
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
    assert_eq!(read.centre.unwrap().ready.len(), 59, "the ready hosts are never left out");
}

/// Forged datagrams arrive from thousands of addresses, each with made-up members, crashes and causes. Memory use must
/// stay bounded.
#[test]
fn forged_datagrams_do_not_fill_the_memory() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    let mut crashes = Crashes::default();
    let report = |server: u32| {
        let part = |i: u32| CrashCause { key: u64::from(server * 64 + i), begun_ms: i };
        let suspect =
            |i: u32| CrashSuspect { service: 1, content: u64::from(i), parts: (0..4).map(part).collect() };
        CrashReport { server, age_ms: server, suspects: (0..8).map(suspect).collect() }
    };
    let quarantine = |cause: u64| Quarantine {
        cause,
        generation: u32::MAX,
        crashes: u32::MAX,
        trials: u32::MAX,
        since_ms: u32::MAX,
        ..Quarantine::default()
    };
    for i in 1..4_000 {
        let member = |n| Member { peers: addr(n).to_string(), ..Member::default() };
        let members = (0..16).map(|n| member(i * 16 + n)).collect();
        peers.receive(Duration::ZERO, addr(i), &Beat { members, ..beat(1, 1) }, LocalVersions::default());
        crashes.hear_crash(Duration::ZERO, &report(i.into()));
        crashes.hear_quarantine(Duration::ZERO, &quarantine(i.into()));
    }

    assert!(peers.host_count() <= 2_049, "{}", peers.host_count());
    let (servers, causes) = crashes.remembered();
    assert!(servers <= 128 && causes <= 256, "{servers} {causes}");
}

proptest! {
    /// Any bytes are decoded as a heartbeat or dropped for a reason; a decoded one could have been sent.
    #[test]
    fn any_bytes_are_decoded_or_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..2 * MAX_DATAGRAM_BYTES)) {
        match decode(&bytes, NOW_MS) {
            Ok(beat) => prop_assert!(beat.start <= NOW_MS + HOUR_MS),
            Err(reason) => prop_assert_eq!(reason == DropReason::TooLarge, bytes.len() > MAX_DATAGRAM_BYTES),
        }
    }

    /// A heartbeat with one byte changed, or truncated, is decoded or dropped, and its lists are never longer than the
    /// datagram.
    #[test]
    fn a_damaged_heartbeat_is_decoded_or_dropped(index in any::<prop::sample::Index>(), byte in any::<u8>(), truncate in any::<bool>()) {
        let in_progress = (0..9).map(|backend| InProgress { backend, requests: 3 }).collect();
        let mut bytes = encode(&Beat { in_progress, avoided: vec![7, 8], ..beat(NOW_MS, 6) }).unwrap();
        let index = index.index(bytes.len());
        match truncate {
            true => bytes.truncate(index),
            false => bytes[index] = byte,
        }

        if let Ok(beat) = decode(&bytes, NOW_MS) {
            prop_assert!(beat.in_progress.len() + beat.avoided.len() + beat.members.len() <= bytes.len());
        }
    }
}
