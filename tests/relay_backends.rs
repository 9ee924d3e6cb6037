//! What is known of backend servers: their entries, their starts, and what hosts tell each other of them.

#[path = "support/relay.rs"]
mod relay_support;

use std::time::Duration;

use cranberrytally::{
    relay::backends::{Backends, Change},
    schema::fleet::{Backend, Backends as List},
};
use proptest::prelude::*;
use relay_support::{listed, rev};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The start of the server `x` that began at this time.
fn born(at: u64) -> Backend {
    Backend { born: at, ..listed("x", false) }
}

/// An entry under this identifier that names no server.
fn unreadable(id: &str) -> Backend {
    Backend { id: id.into(), ..Backend::default() }
}

/// Backend servers as of one list.
fn known(items: Vec<Backend>) -> Backends {
    let mut backends = Backends::default();
    backends.apply_list(ms(0), &List { revision: 1, items, ..List::default() }, None);
    backends
}

/// Two followers tell of the same server: one that it is leaving, another, late, that it is ready. Whatever the order,
/// a server that leaves takes no new work again.
#[test]
fn what_is_known_of_a_server_never_goes_back() {
    let mut backends = Backends::default();
    backends.apply_list(
        ms(0),
        &List { revision: 5, items: vec![listed("x", false)], ..List::default() },
        None,
    );

    let left = backends.apply_changes(ms(1), rev(9), &[listed("x", true)], &[], None);
    let older = backends.apply_changes(ms(2), rev(7), &[listed("y", false)], &[], None);
    let again = backends.apply_list(
        ms(3),
        &List { revision: 9, items: vec![listed("x", false)], ..List::default() },
        None,
    );

    assert_eq!(left.len(), 1);
    assert_eq!(older, []);
    assert_eq!(again, []);
    assert_eq!(backends.available("s").count(), 0);
    assert_eq!(backends.revision(), rev(9));
}

/// One host lost the store for a while, and gives a server whose entry is gone by its return time to come back. Another
/// saw the entry go. It must not hear from the first that the server is there: it would take it for a new one and send it
/// work 3.1 s after it left, as happened in a large fleet.
#[test]
fn a_server_that_one_host_misses_is_not_brought_back_at_another() {
    let (mut misses, mut knows) = (Backends::default(), Backends::default());
    for b in [&mut misses, &mut knows] {
        b.apply_list(ms(0), &List { revision: 5, items: vec![listed("x", false)], ..List::default() }, None);
    }
    knows.apply_changes(ms(10), rev(8), &[], &["x".into()], None);
    misses.apply_changes(ms(20), rev(9), &[], &["x".into()], Some(ms(1_700)));
    assert_eq!(misses.available("s").count(), 1);

    let changes = misses.changes_since(ms(30), rev(8)).unwrap();
    let from_changes =
        knows.clone().apply_changes(ms(30), changes.as_of(), &changes.puts, &changes.removed, None);
    let from_list = knows.apply_list(ms(30), &misses.snapshot(ms(30)), None);

    assert_eq!((from_changes, from_list), (Vec::new(), Vec::new()));
    assert_eq!(knows.available("s").count(), 0);
}

/// A host that has not heard of the removal yet fetches from one that misses the server. The revision that it gets counts
/// the removal in, so the removal must come with it, or no one would ever tell it again.
#[test]
fn a_host_behind_hears_of_a_removal_from_one_that_misses_the_server() {
    let (mut misses, mut behind) = (Backends::default(), Backends::default());
    for b in [&mut misses, &mut behind] {
        b.apply_list(ms(0), &List { revision: 5, items: vec![listed("x", false)], ..List::default() }, None);
    }
    misses.apply_changes(ms(20), rev(9), &[], &["x".into()], Some(ms(1_700)));

    let changes = misses.changes_since(ms(30), behind.revision()).unwrap();
    let from_list = behind.clone().apply_list(ms(30), &misses.snapshot(ms(30)), None);
    let from_changes = behind.apply_changes(ms(30), changes.as_of(), &changes.puts, &changes.removed, None);

    assert_eq!((from_changes.len(), from_list.len()), (1, 1));
    assert_eq!(behind.available("s").count(), 0);
}

/// Another host lacks the last changes only. It gets these, and the whole list where they are not known any more.
#[test]
fn a_host_that_is_close_behind_gets_the_changes_alone() {
    let mut ahead = Backends::default();
    let mut behind = Backends::default();
    for b in [&mut ahead, &mut behind] {
        b.apply_list(
            ms(0),
            &List { revision: 5, items: vec![listed("x", false), listed("yy", false)], ..List::default() },
            None,
        );
    }
    ahead.apply_changes(ms(1), rev(7), &[listed("x", true)], &[], None);
    ahead.apply_changes(ms(2), rev(9), &[listed("zzz", false)], &["yy".into()], None);

    let changes = ahead.changes_since(ms(30), behind.revision()).unwrap();
    let last = ahead.changes_since(ms(30), rev(7)).unwrap();
    behind.apply_changes(ms(3), changes.as_of(), &changes.puts, &changes.removed, None);

    assert_eq!((changes.puts.len(), changes.removed.len()), (2, 1));
    assert_eq!((last.puts.len(), last.removed.len()), (1, 1));
    assert_eq!(behind.digest(), ahead.digest());
    assert_eq!(ahead.changes_since(ms(30), rev(4)), None);
    for i in 0..600 {
        ahead.apply_changes(ms(4), rev(10 + i), &[listed("x", true)], &[], None);
    }
    assert_eq!(ahead.changes_since(ms(30), rev(9)), None);
}

/// A server's entry goes while a request is in progress there. The request keeps its place in the arena, and other
/// servers can fetch prompt parts from it for a while.
#[test]
fn a_server_that_is_gone_is_forgotten_after_its_last_request() {
    let mut backends = Backends::default();
    backends.apply_list(
        ms(0),
        &List { revision: 1, items: vec![listed("x", false)], ..List::default() },
        None,
    );
    let key = backends.available("s").next().unwrap().0;
    backends.begin_request(key);

    let gone = backends.apply_changes(ms(10), rev(2), &[], &["x".into()], None);
    let (_, early) = backends.expire(ms(60_000));
    backends.end_request(key);
    let (_, done) = backends.expire(ms(60_001));

    assert_eq!(gone, [(key, Change::Leaving)]);
    assert_eq!(early, []);
    assert_eq!(done, [key]);
}

/// A server crashes and starts again under its identifier within a heartbeat, so that its entry never goes. Work that was
/// counted there, and what the others tell of the earlier start, must not be taken for the new one's.
#[test]
fn a_later_start_under_the_same_identifier_is_another_server() {
    let mut backends = known(vec![born(100)]);
    let (before, tag) = backends.available("s").map(|(key, b)| (key, b.tag)).next().unwrap();
    backends.begin_request(before);

    let changes = backends.apply_changes(ms(10), rev(2), &[born(200)], &[], None);

    let (after, b) = backends.available("s").next().unwrap();
    assert_eq!(changes, [(before, Change::Restarted), (after, Change::Seen)]);
    assert_ne!((after, b.tag), (before, tag));
    assert_eq!(b.in_progress, 0);
    assert_eq!(backends.by_tag(tag), None);
    backends.end_request(before);
    assert_eq!(backends.available("s").count(), 1);
}

/// The server had left before it started again: the leaving is the earlier start's, and the new one takes work.
#[test]
fn a_server_that_left_takes_work_again_only_after_a_new_start() {
    let mut backends = known(vec![Backend { leaving: true, ..born(100) }]);

    backends.apply_changes(ms(10), rev(2), &[born(100)], &[], None);
    let same = backends.available("s").count();
    backends.apply_changes(ms(20), rev(3), &[born(200)], &[], None);

    assert_eq!((same, backends.available("s").count()), (0, 1));
}

/// A host hears late from another one that knows only the earlier start, or that it left. The newer one stays.
#[test]
fn an_earlier_start_never_replaces_a_later_one() {
    for late in [born(100), Backend { leaving: true, ..born(100) }] {
        let mut backends = known(vec![born(200)]);
        let key = backends.available("s").next().unwrap().0;

        let changes = backends.apply_changes(ms(10), rev(2), &[late], &[], None);

        assert_eq!(changes, []);
        assert_eq!(backends.available("s").next().unwrap().0, key);
    }
}

/// A host that fetches the list from another one learns of a restart as from the store.
#[test]
fn hosts_tell_each_other_of_restarts() {
    let mut ahead = known(vec![born(100)]);
    let mut behind = ahead.clone();
    ahead.apply_changes(ms(10), rev(2), &[born(200)], &[], None);

    let changes = ahead.changes_since(ms(30), behind.revision()).unwrap();
    let told = behind.apply_changes(ms(20), changes.as_of(), &changes.puts, &changes.removed, None);

    assert_eq!(told.len(), 2);
    assert_eq!(behind.digest(), ahead.digest());
}

/// Somebody else overwrites the entry of a live server: with bytes that can't be read, another service, another address,
/// or without the start that the server tells. It gets no work, and again as soon as it has written its own entry; all
/// other servers go on. Of one that was never readable nothing is known.
#[test]
fn an_entry_of_another_writer_names_no_server_to_use() {
    let foreign = [
        unreadable("x"),
        Backend { service: "other".into(), ..born(100) },
        Backend { addr: "10.0.0.7:1".into(), ..born(100) },
        Backend { addr: "nowhere".into(), ..born(900) },
        Backend { born: 0, ..born(100) },
    ];
    for entry in foreign {
        let mut backends = known(vec![born(100), listed("yy", false)]);
        let key = backends.by_tag(cranberrytally::relay::backends::tag("x", 100)).unwrap();

        let lost = backends.apply_changes(ms(10), rev(2), &[entry.clone(), unreadable("zzz")], &[], None);
        let others: Vec<_> = backends.available("s").map(|(_, b)| b.id.clone()).collect();
        let again = backends.apply_changes(ms(20), rev(3), std::slice::from_ref(&entry), &[], None);
        let back = backends.apply_changes(ms(900), rev(4), &[born(100)], &[], None);

        assert_eq!(lost, [(key, Change::Unreadable)], "{entry:?}");
        assert_eq!(others, ["yy".into()], "{entry:?}");
        assert_eq!(again, [], "{entry:?}");
        assert_eq!(back, [(key, Change::Seen)], "{entry:?}");
    }
}

/// A host that lists servers with an unreadable entry passes that on, so that the others leave the server alone as well.
#[test]
fn an_unreadable_entry_is_told_to_other_hosts() {
    let mut ahead = known(vec![born(100)]);
    let mut behind = ahead.clone();
    ahead.apply_changes(ms(10), rev(2), &[unreadable("x")], &[], None);

    let changes = ahead.changes_since(ms(30), behind.revision()).unwrap();
    behind.apply_changes(ms(20), changes.as_of(), &changes.puts, &changes.removed, None);

    assert_eq!(behind.available("s").count(), 0);
    assert_eq!(behind.digest(), ahead.digest());
}

proptest! {
    /// Entries of three servers come in any order, with starts that go up and down, some spoiled. What is used is a start
    /// that was told, never an earlier one than before under the same identifier.
    #[test]
    fn starts_only_go_up(entries in prop::collection::vec((0usize..3, 0u64..5, 0u8..4), 1..60)) {
        let mut backends = Backends::default();
        let mut latest = [0; 3];
        for (at, (id, start, kind)) in entries.into_iter().enumerate() {
            let name = "x".repeat(id + 1);
            let entry = match kind {
                0 => unreadable(&name),
                1 => Backend { leaving: true, born: start, ..listed(&name, false) },
                _ => Backend { born: start, ..listed(&name, false) },
            };
            backends.apply_changes(ms(at as u64), rev(at as u64 + 1), &[entry], &[], None);
            for (_, b) in backends.available("s") {
                let known = &mut latest[b.id.len() - 1];
                prop_assert!(b.born >= *known, "{} after {known}", b.born);
                *known = b.born;
            }
            let mut ids: Vec<_> = backends.available("s").map(|(_, b)| b.id.clone()).collect();
            ids.sort();
            ids.dedup();
            prop_assert_eq!(ids.len(), backends.available("s").count());
        }
    }
}
