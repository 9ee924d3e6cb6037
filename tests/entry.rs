//! Tests of entry answers: nearest routers first, even spread, key affinity, and isolation of the answering router.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cranberrytally::entry::{
    Candidate, Directory, LOST_RETENTION, MAX_ROUTERS, Query, QueryError, Router, rank_routers,
};

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn router(i: usize, centres: usize) -> Router {
    Router {
        name: format!("router-{i}").into(),
        addr: SocketAddr::from(([10, 0, 0, i as u8], 80)),
        data_centre: format!("dc-{}", i % centres).into(),
        region: format!("region-{}", i % centres / 2).into(),
    }
}

fn routers(n: usize, centres: usize) -> Vec<Router> {
    (0..n).map(|i| router(i, centres)).collect()
}

fn query(key: Option<&str>, salt: u64) -> Query {
    let (data_centre, region) = ("dc-1".into(), "region-0".into());
    Query { data_centre, region, key: key.map(Arc::from), salt, ..Query::default() }
}

fn serving(routers: &[Router]) -> Vec<Candidate> {
    routers.iter().map(|r| Candidate { router: r.clone(), serves: true, leaving: false }).collect()
}

fn names(routers: &[Router]) -> Vec<&str> {
    routers.iter().map(|r| &*r.name).collect()
}

#[test]
fn the_nearest_routers_come_first_and_remote_ones_last() {
    let all = routers(40, 4);

    let list = rank_routers(&all, &query(Some("chat"), 0), MAX_ROUTERS);

    let centres: Vec<_> = list.iter().map(|r| &*r.data_centre).collect();
    assert_eq!(centres[..6], ["dc-1"; 6]);
    assert_eq!(centres[6..], ["dc-0"; 2]);
}

#[test]
fn a_key_keeps_its_first_router_when_others_join_and_leave() {
    let all = routers(40, 4);
    let first =
        |list: &[Router], key: &str| rank_routers(list, &query(Some(key), 9), MAX_ROUTERS)[0].name.clone();
    let keys: Vec<_> = (0..200).map(|k| format!("chat-{k}")).collect();
    let removed = all[5].name.clone();
    let fewer: Vec<_> = all.iter().filter(|r| r.name != removed).cloned().collect();

    let moved = keys.iter().filter(|k| first(&all, k) != first(&fewer, k));

    assert!(moved.clone().all(|k| first(&all, k) == removed), "only keys of the removed router may move");
    assert!(moved.count() > 0);
}

#[test]
fn callers_without_a_key_are_spread_evenly() {
    let all = routers(40, 4);
    let mut counts = BTreeMap::<Arc<str>, u32>::new();

    for salt in 0..10_000 {
        *counts.entry(rank_routers(&all, &query(None, salt), MAX_ROUTERS)[0].name.clone()).or_default() += 1;
    }

    assert_eq!(counts.len(), 10, "each router of the data centre gets callers");
    assert!(counts.values().all(|n| (850..1150).contains(n)), "{counts:?}");
}

#[test]
fn queries_are_parsed_and_invalid_ones_are_refused() {
    let me = router(0, 4);
    let cases = [
        ("key=a%26b+c&data_centre=dc-3&region=r", Ok((Some("a&b c"), "dc-3", "r"))),
        ("", Ok((None, "dc-0", "region-0"))),
        ("chat=1", Err(QueryError::UnknownField("chat".into()))),
        ("key=1&key=2", Err(QueryError::DuplicateField("key".into()))),
        ("region=", Err(QueryError::EmptyField("region".into()))),
    ];
    for (text, want) in cases {
        let want = want.map(|(key, data_centre, region)| Query {
            key: key.map(Arc::from),
            data_centre: data_centre.into(),
            region: region.into(),
            salt: 5,
            ..Query::default()
        });

        assert_eq!(Query::parse(text, &me, 5), want, "{text}");
    }
    assert_eq!(Query::parse(&format!("key={}", "k".repeat(257)), &me, 5), Err(QueryError::KeyTooLong));
}

/// Routers that are leaving or have no configuration yet must not be listed once the membership reports this.
#[test]
fn leaving_and_unready_routers_are_not_listed() {
    let all = routers(6, 2);
    let mut dir = Directory::default();
    dir.update(s(1), serving(&all));
    let mut next = serving(&all);
    next[2].leaving = true;
    next[3].serves = false;

    dir.update(s(2), next);

    assert_eq!(names(&dir.routers()), ["router-0", "router-1", "router-4", "router-5"]);
}

/// A network failure isolates one router from most of the fleet, whose members it declares dead one after the other. If
/// it then listed only itself, all its callers would be concentrated on one host. It keeps listing the others until
/// the retention time has passed, except one that had announced that it was leaving.
#[test]
fn an_isolated_router_keeps_listing_the_others() {
    let all = routers(9, 3);
    let mut dir = Directory::default();
    let mut next = serving(&all);
    next[8].leaving = true;
    dir.update(s(0), serving(&all));
    dir.update(s(1), next.clone());
    for i in 2..8u64 {
        next[i as usize].serves = false;
        dir.update(s(i), next.clone());
    }

    let (retained, is_isolated) = (dir.routers(), dir.is_isolated());
    dir.update(s(8) + LOST_RETENTION, next.clone());
    let later = dir.routers();

    assert!(is_isolated);
    assert_eq!(retained.len(), 8, "all but the leaving router: {:?}", names(&retained));
    assert_eq!(names(&later), ["router-0", "router-1"]);
}

/// A minority of the routers fails one after the other. They must not be retained, or callers would be sent to them.
#[test]
fn a_failed_minority_is_not_retained() {
    let all = routers(9, 3);
    let mut dir = Directory::default();
    let mut next = serving(&all);
    dir.update(s(0), next.clone());
    for i in 0..3 {
        next[i].serves = false;
        dir.update(s(1 + i as u64), next.clone());
    }

    assert!(!dir.is_isolated());
    assert_eq!(dir.routers().len(), 6);
}

/// Retained routers become reachable again: this ends the retention, and later losses are counted afresh.
#[test]
fn retention_ends_when_the_others_are_reachable_again() {
    let all = routers(9, 3);
    let mut dir = Directory::default();
    dir.update(s(0), serving(&all));
    dir.update(s(1), serving(&all[..2]));
    let was_isolated = dir.is_isolated();

    dir.update(s(2), serving(&all));

    assert!(was_isolated);
    assert!(!dir.is_isolated());
    assert_eq!(dir.routers().len(), 9);
}
