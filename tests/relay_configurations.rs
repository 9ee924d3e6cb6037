//! Tests the differences between configurations that hosts send to each other.

use std::sync::Arc;

use cranberrytally::{
    relay::configurations::{ConfigurationHistory, apply, diff},
    schema::fleet::{Configuration, Route, Run, Service, Workspace},
};
use proptest::prelude::*;

fn route(path: u8, timeout_ms: u32) -> Route {
    Route { host: "h".into(), prefix: format!("/{path}/"), timeout_ms, ..Route::default() }
}

fn workspace(name: u8, key: u8) -> Workspace {
    Workspace { name: format!("w{name}"), keys: vec![format!("k{key}")], rank: None }
}

fn configuration(version: u64, routes: Vec<Route>, workspaces: Vec<Workspace>) -> Configuration {
    let services = vec![Service {
        name: format!("s{version}"),
        connections: 9,
        caches_prompts: true,
        ..Service::default()
    }];
    Configuration { version, routes, services, limits: None, workspaces }
}

fn large(version: u64, changed: u32) -> Configuration {
    let routes = (0..1_800).map(|i| Route {
        name: format!("r-{i}"),
        host: format!("host-{}.example", i % 20),
        prefix: format!("/path-{i}/"),
        timeout_ms: if i == 900 { changed } else { 1_000 },
        ..Route::default()
    });
    configuration(version, routes.collect(), vec![workspace(1, 1)])
}

/// One of 1,800 routes changes. Sending the full configuration to every host of a data centre kept the link of the one
/// host that had it busy for seconds, and requests of callers were delayed by 0.6 s behind it.
#[test]
fn a_small_change_of_a_large_configuration_takes_few_bytes() {
    let (old, new) = (large(1, 2_000), large(2, 3_000));

    let encoded = postcard::to_allocvec(&diff(&old, &new)).unwrap();
    let full = postcard::to_allocvec(&new).unwrap();

    assert!(encoded.len() < 300 && full.len() > 50_000, "{} of {} bytes", encoded.len(), full.len());
    assert_eq!(apply(&old, &postcard::from_bytes(&encoded).unwrap()), Some(new));
}

/// A host was away for longer than the other hosts keep versions, or they dropped its version because all of them are
/// large.
#[test]
fn changes_are_computed_from_kept_versions() {
    let mut history = ConfigurationHistory::default();
    for version in 1..=40 {
        history.push(Arc::new(configuration(version, vec![route(1, version as u32)], Vec::new())));
    }

    let changes = history.diff_from(39).unwrap();
    assert_eq!((changes.from, changes.version), (39, 40));
    assert!(history.diff_from(34).is_some());
    assert!(history.diff_from(1).is_none());
    assert!(history.diff_from(41).is_none());

    let routes = |n: u32| (0..n).map(|i| route(0, i)).collect::<Vec<_>>();
    for version in 41..=44 {
        history.push(Arc::new(configuration(version, routes(20_000), Vec::new())));
    }
    assert!(history.diff_from(43).is_none(), "the limit on kept items is exceeded");
}

/// A peer sends changes that start from other content, exceed the list, or lack items. They must not be applied.
#[test]
fn mismatched_changes_are_not_applied() {
    let old = configuration(1, vec![route(1, 1), route(2, 2)], vec![workspace(1, 1)]);
    let new = configuration(2, vec![route(2, 2), route(3, 3)], vec![workspace(1, 2)]);
    let good = diff(&old, &new);
    assert_eq!(apply(&old, &good), Some(new));

    let other = configuration(1, vec![route(1, 7), route(2, 7)], vec![workspace(1, 1)]);
    let run = |start, kept, new| vec![Run { start, kept, new }];
    let bad = [run(0, 3, 1), run(u32::MAX, 2, 1), run(0, 1, u32::MAX), run(0, 0, 0), Vec::new()];

    assert_eq!(apply(&other, &good), None, "the same version with other routes");
    assert_eq!(apply(&configuration(3, Vec::new(), Vec::new()), &good), None, "another version");
    for routes in bad {
        let mut changes = good.clone();
        changes.routes = routes;
        assert_eq!(apply(&old, &changes), None, "{:?}", changes.routes);
    }
}

fn routes() -> impl Strategy<Value = Vec<Route>> {
    proptest::collection::vec((0..12_u8, 0..3_u32).prop_map(|(path, time)| route(path, time)), 0..30)
}

fn workspaces() -> impl Strategy<Value = Vec<Workspace>> {
    proptest::collection::vec((0..5_u8, 0..3_u8).prop_map(|(name, key)| workspace(name, key)), 0..10)
}

proptest! {
    /// For any change, with any order and duplicate names, applying the difference gives the new configuration.
    #[test]
    fn changes_lead_to_the_new_configuration(
        old in (routes(), workspaces()),
        new in (routes(), workspaces()),
    ) {
        let old = configuration(1, old.0, old.1);
        let new = configuration(2, new.0, new.1);

        prop_assert_eq!(apply(&old, &diff(&old, &new)), Some(new));
    }
}
