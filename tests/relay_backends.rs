//! The list of backend servers: their entries, their incarnations, and the exchange of both between hosts.

#[path = "support/relay.rs"]
mod relay_support;

use std::time::Duration;

use cranberrytally::{
    relay::backends::{BackendEvent, Backends, Change},
    schema::fleet::{Backend, Backends as List},
};
use proptest::prelude::*;
use relay_support::{listed, rev};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The incarnation of the server `x` that started at this time.
fn born(at: u64) -> Backend {
    Backend { born: at, ..listed("x", false) }
}

/// An entry with this identifier that cannot be read.
fn unreadable(id: &str) -> Backend {
    Backend { id: id.into(), ..Backend::default() }
}

/// Backend servers from one list.
fn backends_with(items: Vec<Backend>) -> Backends {
    let mut backends = Backends::default();
    backends.apply_list(ms(0), &List { revision: 1, items, ..List::default() }, None);
    backends
}

/// Two followers report the same server: one that it is leaving, the other, later and outdated, that it is ready.
/// In any order, a leaving server never gets new requests again.
#[test]
fn a_server_that_leaves_never_becomes_ready_again() {
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

/// One host lost the store for a while, and grants a server whose entry was missing afterwards time to write it
/// again. Another host saw the entry being removed. If it learnt from the first host that the server is listed, it
/// would take it for a new one and send it requests, 3.1 s after the server left in a large fleet.
#[test]
fn a_removed_server_is_not_brought_back_by_a_host_that_grants_it_grace() {
    let (mut grants_grace, mut saw_removal) = (Backends::default(), Backends::default());
    for b in [&mut grants_grace, &mut saw_removal] {
        b.apply_list(ms(0), &List { revision: 5, items: vec![listed("x", false)], ..List::default() }, None);
    }
    saw_removal.apply_changes(ms(10), rev(8), &[], &["x".into()], None);
    grants_grace.apply_changes(ms(20), rev(9), &[], &["x".into()], Some(ms(1_700)));
    assert_eq!(grants_grace.available("s").count(), 1);

    let changes = grants_grace.changes_since(ms(30), rev(8)).unwrap();
    let from_changes =
        saw_removal.clone().apply_changes(ms(30), changes.as_of(), &changes.puts, &changes.removed, None);
    let from_list = saw_removal.apply_list(ms(30), &grants_grace.snapshot(ms(30)), None);

    assert_eq!((from_changes, from_list), (Vec::new(), Vec::new()));
    assert_eq!(saw_removal.available("s").count(), 0);
}

/// A host that has not learnt of the removal yet fetches from a host that grants the server a grace period. The
/// revision that it gets includes the removal, so that the removal must be sent too, or it would never be sent
/// again.
#[test]
fn a_removal_is_passed_on_by_a_host_that_grants_the_server_grace() {
    let (mut grants_grace, mut behind) = (Backends::default(), Backends::default());
    for b in [&mut grants_grace, &mut behind] {
        b.apply_list(ms(0), &List { revision: 5, items: vec![listed("x", false)], ..List::default() }, None);
    }
    grants_grace.apply_changes(ms(20), rev(9), &[], &["x".into()], Some(ms(1_700)));

    let changes = grants_grace.changes_since(ms(30), behind.revision()).unwrap();
    let from_list = behind.clone().apply_list(ms(30), &grants_grace.snapshot(ms(30)), None);
    let from_changes = behind.apply_changes(ms(30), changes.as_of(), &changes.puts, &changes.removed, None);

    assert_eq!((from_changes.len(), from_list.len()), (1, 1));
    assert_eq!(behind.available("s").count(), 0);
}

/// Another host lacks only the latest changes. It gets only these, or the full list if they are no longer in the
/// log.
#[test]
fn a_host_that_is_slightly_behind_gets_only_the_changes() {
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

/// A server's entry is removed while a request is in progress there. The server stays in the arena for the request,
/// and other servers can fetch prompt parts from it for a while.
#[test]
fn a_removed_server_is_dropped_after_its_last_request() {
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

/// A server crashes and restarts under the same identifier within a heartbeat, so that its entry never lapses.
/// Requests counted at the earlier incarnation, and reports of it by other hosts, must not be attributed to the new
/// one.
#[test]
fn a_restarted_server_gets_a_new_key_and_tag() {
    let mut backends = backends_with(vec![born(100)]);
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

/// The server left before it restarted: only the earlier incarnation is leaving, the new one gets requests.
#[test]
fn a_server_that_left_accepts_work_only_after_a_restart() {
    let mut backends = backends_with(vec![Backend { leaving: true, ..born(100) }]);

    backends.apply_changes(ms(10), rev(2), &[born(100)], &[], None);
    let same = backends.available("s").count();
    backends.apply_changes(ms(20), rev(3), &[born(200)], &[], None);

    assert_eq!((same, backends.available("s").count()), (0, 1));
}

/// A late message of a host that knows only the earlier incarnation, or that it left, does not replace the later
/// one.
#[test]
fn an_earlier_incarnation_never_replaces_a_later_one() {
    for late in [born(100), Backend { leaving: true, ..born(100) }] {
        let mut backends = backends_with(vec![born(200)]);
        let key = backends.available("s").next().unwrap().0;

        let changes = backends.apply_changes(ms(10), rev(2), &[late], &[], None);

        assert_eq!(changes, []);
        assert_eq!(backends.available("s").next().unwrap().0, key);
    }
}

/// A host that fetches the list from another host learns of a restart as it would from the store.
#[test]
fn restarts_are_passed_on_to_other_hosts() {
    let mut ahead = backends_with(vec![born(100)]);
    let mut behind = ahead.clone();
    ahead.apply_changes(ms(10), rev(2), &[born(200)], &[], None);

    let changes = ahead.changes_since(ms(30), behind.revision()).unwrap();
    let changed = behind.apply_changes(ms(20), changes.as_of(), &changes.puts, &changes.removed, None);

    assert_eq!(changed.len(), 2);
    assert_eq!(behind.digest(), ahead.digest());
}

/// Another party overwrites the entry of a live server: with bytes that cannot be read, another service, another
/// address, or without the server's start time. The server gets no requests until it has written its own entry
/// again; all other servers stay in use. A server whose entry was never readable is not listed.
#[test]
fn an_entry_of_another_writer_is_not_used() {
    let foreign = [
        unreadable("x"),
        Backend { service: "other".into(), ..born(100) },
        Backend { addr: "10.0.0.7:1".into(), ..born(100) },
        Backend { addr: "nowhere".into(), ..born(900) },
        Backend { born: 0, ..born(100) },
    ];
    for entry in foreign {
        let mut backends = backends_with(vec![born(100), listed("yy", false)]);
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

/// Guards against entries of another writer with values that no server has: they get requests, and their names fill the answers to
/// other hosts. A server that is used is back as soon as it has written its own entry again.
#[test]
fn an_entry_with_impossible_values_is_not_used() {
    let long = "x".repeat(100_000);
    let odd = |id: &str| {
        [
            Backend { slots: u32::MAX, ..listed(id, false) },
            Backend { addr: "10.0.0.7:0".into(), ..listed(id, false) },
            Backend { addr: "10.0.0.7:99999".into(), ..listed(id, false) },
            Backend { addr: "0.0.0.0:80".into(), ..listed(id, false) },
            Backend { service: long.clone(), ..listed(id, false) },
            Backend { data_centre: long.clone(), ..listed(id, false) },
        ]
    };
    let new = odd("yyy").into_iter().chain([listed(&long, false)]);
    for entry in new {
        let mut backends = backends_with(vec![listed("x", false)]);

        backends.apply_changes(ms(10), rev(2), std::slice::from_ref(&entry), &[], None);
        backends.apply_changes(ms(20), rev(3), &[], std::slice::from_ref(&entry.id), None);
        backends.apply_changes(ms(30), rev(4), &[entry, listed("yy", false)], &[], None);

        let mut ids: Vec<_> = backends.iter().map(|(_, b)| b.id.to_string()).collect();
        ids.sort();
        assert_eq!(ids, ["x", "yy"]);
        let changes = backends.changes_since(ms(40), rev(1)).unwrap();
        assert!(postcard::to_allocvec(&changes).unwrap().len() < 1_000, "{} names", changes.removed.len());
    }
    for entry in odd("x") {
        let mut backends = backends_with(vec![listed("x", false)]);
        let (key, _) = backends.available("s").next().unwrap();

        let lost = backends.apply_changes(ms(10), rev(2), &[entry], &[], None);
        let back = backends.apply_changes(ms(900), rev(3), &[listed("x", false)], &[], None);

        assert_eq!((lost, back), (vec![(key, Change::Unreadable)], vec![(key, Change::Seen)]));
    }
}

/// Guards against a server without a start time that is out for ever after another writer gave its entry one: its own entry,
/// which follows, has none.
#[test]
fn a_server_without_start_time_survives_an_entry_that_has_one() {
    for (addr, service) in [("10.0.0.1:1001", "s"), ("10.0.0.7:1", "s"), ("10.0.0.1:1001", "other")] {
        for start in [1, 1_700_000_000_000, u64::MAX] {
            let own = listed("x", false);
            let entry = Backend { born: start, addr: addr.into(), service: service.into(), ..own.clone() };
            let mut backends = backends_with(vec![own.clone()]);

            backends.apply_changes(ms(10), rev(2), &[entry], &[], None);
            backends.apply_changes(ms(900), rev(3), &[own], &[], None);

            let used: Vec<_> = backends.available("s").map(|(_, b)| b.addr.to_string()).collect();
            assert_eq!(used, ["10.0.0.1:1001"], "{addr} {service} {start}");
        }
    }
}

/// Guards against a server that keeps the slots and the data centre of an odd first entry after it has written its own.
#[test]
fn a_server_has_the_slots_and_data_centre_of_its_latest_entry() {
    let first = Backend { slots: 0, data_centre: "elsewhere".into(), ..listed("x", false) };
    let mut backends = backends_with(vec![first]);

    backends.apply_changes(ms(10), rev(2), &[listed("x", false)], &[], None);

    let (_, server) = backends.available("s").next().unwrap();
    assert_eq!((server.slots, &*server.data_centre), (6, "a"));
}

/// A host that lists servers with an unreadable entry passes that on, so that other hosts stop using the server
/// too.
#[test]
fn unreadable_entries_are_passed_on_to_other_hosts() {
    let mut ahead = backends_with(vec![born(100)]);
    let mut behind = ahead.clone();
    ahead.apply_changes(ms(10), rev(2), &[unreadable("x")], &[], None);

    let changes = ahead.changes_since(ms(30), behind.revision()).unwrap();
    behind.apply_changes(ms(20), changes.as_of(), &changes.puts, &changes.removed, None);

    assert_eq!(behind.available("s").count(), 0);
    assert_eq!(behind.digest(), ahead.digest());
}

proptest! {
    /// Entries of three servers arrive in any order, with start times that go up and down, and some unreadable. The
    /// incarnation in use is always a listed one, and never earlier than a previous one of the same server.
    #[test]
    fn incarnations_never_go_back(entries in prop::collection::vec((0usize..3, 0u64..5, 0u8..4), 1..60)) {
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

/// The server `x` with a version of its software and no start time.
fn of_version(version: &str) -> Backend {
    Backend { version: version.into(), ..listed("x", false) }
}

/// Guards against a stream that goes on at a server which has started again under its identifier with another version.
#[test]
fn another_version_under_the_same_identifier_is_another_start() {
    let mut backends = backends_with(vec![of_version("v1")]);
    let (old, _) = backends.available("s").next().unwrap();

    let changes = backends.apply_changes(ms(1), rev(2), &[of_version("v2")], &[], None);

    let (new, backend) = backends.available("s").next().unwrap();
    assert_eq!(changes, [(old, Change::Restarted), (new, Change::Seen)]);
    assert_eq!((&*backend.version, &*backends.get(old).unwrap().version), ("v2", "v1"));
}

/// Guards against a server that counts as one of an earlier version because a restored store lists its earlier entry: it is
/// not used until it has written its own again.
#[test]
fn an_earlier_version_in_a_list_is_not_believed_until_it_is_written() {
    let mut backends = backends_with(vec![of_version("v2")]);
    let restored = List { epoch: 1, revision: 1, items: vec![of_version("v1")] };

    let changes = backends.apply_list(ms(1), &restored, None);
    let usable = backends.available("s").count();
    let at = cranberrytally::relay::revision::Revision::new(1, 2);
    backends.apply_changes(ms(2), at, &[of_version("v2")], &[], None);

    assert_eq!(changes.last().map(|(_, change)| *change), Some(Change::Unconfirmed));
    assert_eq!(usable, 0);
    assert_eq!(backends.available("s").next().map(|(_, b)| &*b.version), Some("v2"));
}

/// Guards against a list of a host of an earlier program version, which tells no versions, that hides the known ones; and
/// against a start that counts as another one because its version was learnt later.
#[test]
fn an_unknown_version_changes_nothing_and_is_learnt_later() {
    let mut backends = backends_with(vec![of_version("")]);
    let (key, _) = backends.available("s").next().unwrap();
    let version = |backends: &Backends| backends.get(key).unwrap().version.to_string();
    let before = backends.digest();

    let learnt = backends.apply_changes(ms(1), rev(2), &[of_version("v1")], &[], None);
    let after_learning = (version(&backends), backends.digest() != before);
    let untold = backends.apply_changes(ms(2), rev(3), &[of_version("")], &[], None);

    assert_eq!((learnt, after_learning), (vec![], ("v1".to_owned(), true)));
    assert_eq!((untold, version(&backends)), (vec![], "v1".to_owned()));
}

/// Guards against long versions that fill the memory, or that count as equal because they were cut.
#[test]
fn long_versions_are_shortened_and_stay_different() {
    let long = |end: &str| of_version(&("v".repeat(100_000) + end));
    let version = |backend: Backend| backends_with(vec![backend]).iter().next().unwrap().1.version.clone();

    let [one, other] = ["1", "2"].map(|end| version(long(end)));

    assert!(one.len() <= 64 && other.len() <= 64, "{one} {other}");
    assert_ne!(one, other);
}

/// An event in which an entry of the server `x` is written.
fn written(item: Backend) -> BackendEvent {
    BackendEvent::Written(item)
}

/// The event in which the entry of the server `x` is removed.
fn removed() -> BackendEvent {
    BackendEvent::Removed("x".into())
}

/// Guards against a server that gets no work again, since its entry lapses and is written again in one answer of a watch. It keeps
/// its key, and with it its connections and what is known of its prompts.
#[test]
fn a_server_whose_entry_lapses_and_is_written_again_in_one_answer_stays_in_use() {
    for (before, after) in [(born(0), born(0)), (born(100), born(100))] {
        let mut backends = backends_with(vec![before]);
        let (key, digest) = (backends.available("s").next().unwrap().0, backends.digest());
        let events = [removed(), written(after.clone()), removed(), written(after)];

        let changes = backends.apply_events(ms(10), rev(9), &events, None);

        assert_eq!(changes, []);
        assert_eq!(backends.available("s").map(|(key, _)| key).collect::<Vec<_>>(), [key]);
        assert_eq!(backends.digest(), digest);
        let told = backends.changes_since(ms(10), rev(1)).unwrap();
        assert_eq!((told.puts.len(), told.removed.len()), (1, 0));
    }
}

/// Guards against events of one answer that are applied in another order than the store's.
#[test]
fn the_last_event_of_an_entry_counts() {
    let draining = Backend { leaving: true, ..born(100) };
    let cases: [(&str, Vec<BackendEvent>, usize); 5] = [
        ("written and removed", vec![written(born(100)), removed()], 0),
        ("removed, written and removed", vec![removed(), written(born(100)), removed()], 0),
        ("removed and started again", vec![removed(), written(born(200))], 1),
        ("removed and written by the one before", vec![removed(), written(born(50))], 0),
        ("draining, removed and written", vec![written(draining), removed(), written(born(100))], 0),
    ];
    for (name, events, available) in cases {
        let mut backends = backends_with(vec![born(100)]);

        backends.apply_events(ms(10), rev(9), &events, None);

        assert_eq!(backends.available("s").count(), available, "{name}");
    }
}

proptest! {
    /// Guards against servers whose use depends on how the store divides events among its answers.
    #[test]
    fn events_have_the_same_result_in_one_answer_and_in_several(kinds in prop::collection::vec(0..4u8, 1..8)) {
        let event = |kind: &u8| match kind {
            0 => removed(),
            1 => written(Backend { leaving: true, ..born(100) }),
            n => written(born(u64::from(*n) * 100 - 100)),
        };
        let events: Vec<_> = kinds.iter().map(event).collect();
        let (mut at_once, mut one_by_one) = (backends_with(vec![born(100)]), backends_with(vec![born(100)]));

        at_once.apply_events(ms(10), rev(20), &events, None);
        for (n, event) in events.iter().enumerate() {
            one_by_one.apply_events(ms(10), rev(2 + n as u64), std::slice::from_ref(event), None);
        }

        prop_assert_eq!(at_once.digest(), one_by_one.digest());
    }
}
