//! Tests of the memory that a host's buffered answers may take, without I/O.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use cranberrytally::{
    bodies::{Bodies, GIVE_WAY_TIME, PROGRESS_BYTES},
    relay::{
        buffers::{Buffers, limit_for},
        capacity::Capacity,
        connections::{Admission, Connections},
        inbound::head_timer::{HeadWait, Rest},
    },
    schema::fleet::CallerLimits,
    util::now,
};
use proptest::{collection::vec, prelude::*};

const LIMIT_BYTES: usize = 64 << 20;
const MAX_ANSWER_BYTES: usize = 4 << 20;
const READ_BYTES: usize = 64 << 10;

/// Guards against hundreds of answers without end that exceed the memory of a host together, or leave none for short ones.
#[test]
fn many_answers_without_end_leave_room_for_short_ones() {
    for floods in [1, 16, 100, 900] {
        let buffers = Buffers::new(LIMIT_BYTES);
        let mut rooms: Vec<_> = (0..floods).map(|_| (buffers.room(), 0)).collect();

        // Each grows until it gets no more, in turns.
        let mut grew = true;
        while grew {
            grew = false;
            for (room, bytes) in &mut rooms {
                if *bytes < MAX_ANSWER_BYTES && room.resize(*bytes + READ_BYTES) {
                    *bytes += READ_BYTES;
                    grew = true;
                }
                assert!(buffers.used() <= LIMIT_BYTES, "{floods} floods: {} bytes", buffers.used());
            }
        }

        let mut short = buffers.room();
        assert!(short.resize(READ_BYTES / 8), "{floods} floods leave no room: {} bytes", buffers.used());
        if floods == 1 {
            assert_eq!(rooms[0].1, MAX_ANSWER_BYTES);
        }
        drop((rooms, short));
        assert_eq!(buffers.used(), 0);
    }
}

/// Guards against an answer that is no longer counted once it is handed to a caller that reads slowly.
#[test]
fn bytes_count_until_they_are_dropped() {
    let buffers = Buffers::new(LIMIT_BYTES);
    let mut room = buffers.room();
    assert!(room.resize(5));

    let mut bytes = room.take().hold(Bytes::from_static(b"12345"));
    let rest = bytes.split_off(2);
    drop((room, bytes));

    assert_eq!((buffers.used(), &rest[..]), (5, &b"345"[..]));
    drop(rest);
    assert_eq!(buffers.used(), 0);
}

/// Guards against an answer that waits for room without end while others keep it.
#[tokio::test]
async fn an_answer_waits_for_room_only_so_long() {
    let buffers = Buffers::new(1_000);
    let (mut first, mut second) = (buffers.room(), buffers.room());
    assert!(first.resize(200));

    assert!(!second.await_resize(200, Duration::from_millis(100)).await);
    let (_, got_room) =
        tokio::join!(async { drop(first) }, second.await_resize(200, Duration::from_millis(100)));

    assert!(got_room);
}

/// Guards against a limit that does not follow the memory of the host, or is 0 if that is unknown or senseless.
#[test]
fn the_limit_is_a_quarter_of_the_memory() {
    for (memory_mb, expected) in
        [(260.0, 65 << 20), (0.0, LIMIT_BYTES), (-1.0, LIMIT_BYTES), (f64::NAN, LIMIT_BYTES)]
    {
        assert_eq!(limit_for(memory_mb), expected, "{memory_mb}");
    }
}

proptest! {
    /// Guards against sizes that get lost or exceed the limit, in any order of changes.
    #[test]
    fn what_is_used_is_the_sum_of_all_rooms(changes in vec((0_usize..8, 0_usize..400), 0..200)) {
        let buffers = Buffers::new(1_000);
        let mut rooms: Vec<_> = (0..8).map(|_| (buffers.room(), 0)).collect();

        for (at, bytes) in changes {
            let (room, had) = &mut rooms[at];
            let got = room.resize(bytes);
            prop_assert!(got || bytes > *had);
            if got {
                *had = bytes;
            }
            prop_assert_eq!(buffers.used(), rooms.iter().map(|(_, bytes)| bytes).sum::<usize>());
            prop_assert!(buffers.used() <= 1_000);
        }
    }
}

/// Guards against bodies that leave no room for a short one, and against one that may not take half of the bytes alone.
#[test]
fn long_bodies_leave_room_for_short_ones() {
    let bodies = Bodies::new(1_000);
    let mut first = bodies.room(Duration::ZERO);

    let too_long = first.extend_to(501, Duration::ZERO);
    let longest = first.extend_to(500, Duration::ZERO);
    let mut others: Vec<_> = (0..20).map(|_| bodies.room(Duration::ZERO)).collect();
    let taken: Vec<_> = others.iter_mut().map(|room| room.extend_to(100, Duration::ZERO)).collect();
    let mut short = bodies.room(Duration::ZERO);

    assert_eq!((too_long, longest), (false, true));
    assert_eq!(taken.iter().filter(|has_room| **has_room).count(), 4);
    assert!(short.extend_to(50, Duration::ZERO));
    drop((first, others, short));
    assert_eq!(bodies.used(), 0);
}

/// Guards against bodies that stand still and keep their room from others again and again, and against those that are ended
/// though it helps nobody, or make progress.
#[tokio::test]
async fn bodies_without_progress_give_way() {
    let bodies = Bodies::new(1_000);
    let mut held: Vec<_> = (0..3).map(|_| bodies.room(Duration::ZERO)).collect();
    let has_room: Vec<_> = held.iter_mut().map(|room| room.extend_to(250, Duration::ZERO)).collect();
    let complete = held.pop().unwrap().hold(vec![0; 250]).unwrap();
    held[1].progress(GIVE_WAY_TIME);

    let mut next = bodies.room(Duration::ZERO);
    let early = next.extend_to(200, GIVE_WAY_TIME / 2);
    let too_long = next.extend_to(450, GIVE_WAY_TIME);
    let after_way = next.extend_to(200, GIVE_WAY_TIME);

    assert_eq!((has_room, early, too_long, after_way), (vec![true; 3], false, false, true));
    held[0].given_way().await;
    assert_eq!(bodies.used(), 250 + 250 + 200);
    assert!(!held[0].extend_to(10, GIVE_WAY_TIME) && held[1].extend_to(275, GIVE_WAY_TIME));
    assert!(held.remove(0).hold(vec![0; 250]).is_none());
    drop((held, complete, next));
    assert_eq!(bodies.used(), 0);
}

const WAIT_LIMITS: CallerLimits =
    CallerLimits { head_bytes: 1_000, body_bytes: 1_000, head_ms: 5_000, idle_ms: 5_000 };

/// Guards against a connection in use that is closed for a new one, against the wrong order of those that rest, and against a
/// new one that is refused though another ends soon.
#[tokio::test]
async fn connections_give_way_by_how_they_rest() {
    let start = now();
    let at = move |n: u64| start + GIVE_WAY_TIME / 8 * n as u32;
    let waits: Vec<_> = (0..5).map(|n| Arc::new(Mutex::new(HeadWait::new(at(n), WAIT_LIMITS)))).collect();
    let connections = Connections::new(waits.len());
    let mut open: Vec<_> =
        waits.iter().map(|wait| connections.admit(wait.clone(), start).1.unwrap()).collect();
    let change = |n: usize, f: &dyn Fn(&mut HeadWait)| f(&mut waits[n].lock().unwrap());
    change(0, &|wait| wait.end());
    change(1, &|wait| wait.begin_body(at(1)));
    change(1, &|wait| wait.hear(at(8), PROGRESS_BYTES));
    change(2, &|wait| wait.hear(at(4), 1));
    change(3, &|wait| wait.begin(at(7)));

    let new = move || Arc::new(Mutex::new(HeadWait::new(at(9), WAIT_LIMITS)));
    let mut admit = |at: Duration| {
        let wait = new();
        wait.lock().unwrap().end();
        let (admission, connection) = connections.admit(wait, at);
        open.extend(connection);
        admission
    };
    let early = [admit(at(9)), admit(at(9)), admit(at(9))];
    let late = [admit(at(12)), admit(at(12))];
    let waiting = tokio::spawn({
        let connections = connections.clone();
        async move { connections.admit_soon(&new()).await.0 }
    });
    while !connections.is_awaited() {
        tokio::task::yield_now().await;
    }
    open.remove(0);

    let in_place_of = Admission::InPlaceOf;
    assert_eq!(early, [in_place_of(Rest::Idle), in_place_of(Rest::Idle), in_place_of(Rest::Receiving)]);
    assert_eq!(late, [in_place_of(Rest::Stalled), Admission::Refused]);
    assert_eq!(waiting.await.unwrap(), Admission::Free);
    assert_eq!(connections.count(), waits.len() - 1);
}

/// Guards against an answer that is cut at the bound while its caller reads it, since the next head is awaited already.
#[test]
fn a_connection_whose_answer_is_being_read_is_not_idle() {
    let mut wait = HeadWait::new(Duration::ZERO, WAIT_LIMITS);
    wait.end();
    wait.note_written(Duration::ZERO, false);
    wait.begin(Duration::ZERO);

    let unread = [GIVE_WAY_TIME / 2, GIVE_WAY_TIME].map(|now| wait.rest(now));
    wait.note_written(GIVE_WAY_TIME, true);

    assert_eq!(unread, [None, Some((Rest::Stalled, Duration::ZERO))]);
    assert_eq!(wait.rest(GIVE_WAY_TIME), Some((Rest::Idle, Duration::ZERO)));
}

/// Guards against parts that exceed the memory of a host together, and against a body of the largest size that never has room.
#[test]
fn what_a_host_may_hold_fits_its_memory() {
    for (memory_mb, descriptors) in [(64, 700), (160, 4_100), (260, 4_100), (512, 8_192), (1_024, 16_384)] {
        let capacity = Capacity::of(memory_mb as f64, descriptors);
        let answers = limit_for(memory_mb as f64);
        let connections = capacity.caller_connections * (112 << 10);
        let held = capacity.body_bytes + answers + connections;

        assert!(held <= (memory_mb << 20) * 9 / 10, "{memory_mb} MiB: {held}");
        assert!(Bodies::new(capacity.body_bytes).longest() >= MAX_ANSWER_BYTES, "{memory_mb} MiB");
        assert!(capacity.caller_connections * 2 <= descriptors - 200, "{descriptors} descriptors");
    }
}
