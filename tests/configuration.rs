//! The configuration stays in force and its version never goes backwards, whichever component fails.

use std::time::Duration;

use cranberrytally::revision::{Action, Follower};

#[allow(dead_code, reason = "the bench uses the rest")]
#[path = "../benches/configuration/model.rs"]
mod model;

use model::{Model, Setup, pool};

const MINUTE: Duration = Duration::from_secs(60);
/// Maximum time after the end of a fault until all live routers have the same version.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time until a change is in force at all routers.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(12);

fn fleet(routers: usize) -> Model {
    let mut model = Model::new(Setup::of(routers));
    for n in 0..10 {
        model.write("EnginePool", &format!("pool-{n}"), pool(n));
    }
    model.settle(MINUTE).expect("the fleet starts");
    model
}

fn assert_no_faults(model: &Model) {
    assert_eq!(model.faults, Vec::<String>::new());
}

fn restart(model: &mut Model, i: usize) {
    model.kill(i);
    model.run(Duration::from_secs(5));
    model.start(i);
    model.run(Duration::from_secs(10));
}

/// Guards against a change that comes into force only at some routers because gossip lost messages. Each change must
/// reach every router in time, by its watch or from a peer.
#[test]
fn a_change_is_in_force_at_all_routers_in_time() {
    let mut model = fleet(22);

    for n in 0..20 {
        model.write("EnginePool", "pool-3", pool(100 + n));
        assert!(model.settle(PROPAGATION_TIMEOUT).is_some(), "change {n}");
    }

    assert_no_faults(&model);
}

/// All routers start at once without any state, for example after a power failure. If each listed the configuration
/// from the platform, the platform's rate limit would delay all of them.
#[test]
fn the_whole_fleet_starts_at_once() {
    let mut model = Model::new(Setup::of(100));
    model.write("EnginePool", "a", pool(1));

    let took = model.settle(MINUTE);

    assert!(took.is_some_and(|t| t <= PROPAGATION_TIMEOUT), "{took:?}");
    assert!(model.platform.calls.lists <= 20, "{:?}", model.platform.calls);
    assert_no_faults(&model);
}

/// The platform is down for an hour during a rolling restart of all routers. A restarted router can't reach the
/// platform; without a fetch from its peers it would serve nothing or a stale version.
#[test]
fn platform_down_for_an_hour_with_a_rolling_restart() {
    let mut model = fleet(8);
    let version = model.write("EnginePool", "pool-1", pool(50));
    model.settle(PROPAGATION_TIMEOUT).expect("in force before the outage");

    model.set_down(true);
    for i in 0..8 {
        model.run(Duration::from_secs(400));
        restart(&mut model, i);
        let follower = model.nodes[i].follower.as_ref().expect("the router is running");
        assert!(follower.is_ready() && follower.version() == version, "router {i}");
    }
    model.run(Duration::from_secs(300));
    model.write("EnginePool", "pool-1", pool(51));
    model.set_down(false);

    assert!(model.settle(CONVERGENCE_TIMEOUT).is_some());
    assert_no_faults(&model);
}

/// The platform's read replica lags by an hour while routers restart. A restarted router that trusted it would revert
/// a change that was already in force.
#[test]
fn platform_returns_stale_data() {
    let mut model = fleet(8);
    let old = model.snapshot();
    model.write("EnginePool", "pool-2", pool(60));
    let version = model.delete("EnginePool", "pool-9");
    model.settle(PROPAGATION_TIMEOUT).expect("in force");
    model.answer_old(Some(old));
    model.write("EnginePool", "pool-2", pool(61));

    for i in 0..8 {
        restart(&mut model, i);
        let follower = model.nodes[i].follower.as_ref().expect("the router is running");
        assert!(follower.is_ready() && follower.version() == version, "router {i}");
    }
    model.answer_old(None);

    assert!(model.settle(CONVERGENCE_TIMEOUT).is_some());
    assert_no_faults(&model);
}

/// The same, with most of the fleet restarting at once. The restarted routers all get the same stale state from the
/// platform; if they advertised it, they would confirm it to each other against the routers that kept running.
#[test]
fn most_routers_restart_while_the_platform_returns_stale_data() {
    for seed in 0..20 {
        let mut model = Model::new(Setup { seed, ..Setup::of(8) });
        model.write("EnginePool", "pool-2", pool(1));
        model.settle(MINUTE).expect("the fleet starts");
        let old = model.snapshot();
        let version = model.write("EnginePool", "pool-2", pool(60));
        model.settle(PROPAGATION_TIMEOUT).expect("in force");
        model.answer_old(Some(old));

        for i in 0..6 {
            model.kill(i);
        }
        model.run(Duration::from_secs(1));
        for i in 0..6 {
            model.start(i);
        }

        assert!(model.settle(CONVERGENCE_TIMEOUT).is_some(), "seed {seed}: not at {version}");
        assert_no_faults(&model);
    }
}

/// The platform was restored from an old backup, and its list has a lower version than the routers. Routers must keep
/// the version in force and report that the platform is behind.
#[test]
fn a_list_older_than_the_version_in_force_is_rejected() {
    let mut model = fleet(3);
    let list = cranberrytally::objects::List { version: 2, items: Vec::new() };
    let mut follower = model.nodes[0].follower.take().expect("the router is running");
    let before = follower.version();
    let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);

    let actions = follower.listed(model.now, Some(list), &mut rng);

    assert!(actions.is_empty());
    assert_eq!(follower.version(), before);
    assert!(follower.state().platform_behind);
}

/// The platform was restored from a backup and reuses version numbers for new writes. Until the reused numbers are
/// exceeded the old state stays in force; afterwards the writes made in between must not be lost.
#[test]
fn writes_after_a_restore_are_in_force_once_reused_versions_are_exceeded() {
    let mut model = fleet(1);
    let backup = model.snapshot();
    model.write("EnginePool", "pool-1", pool(50));
    let mut follower = model.nodes[0].follower.take().expect("the router is running");
    let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    let models = |follower: &Follower, name: &str| {
        let objects = follower.store().in_force();
        objects.iter().find(|o| o.metadata.name == name).map(|o| o.spec["models"][0].clone())
    };
    follower.listed(model.now, Some(model.snapshot()), &mut rng);
    let version_before = follower.version();

    follower.listed(model.now, Some(backup), &mut rng);
    let behind = follower.state();
    model.write("EnginePool", "pool-2", pool(60));
    let last = model.write("EnginePool", "pool-3", pool(70));
    let event = model.last_event();
    let actions = follower.watch_event(model.now, event);
    let mut all_actions = actions.clone();
    all_actions.extend(follower.tick(model.now + MINUTE, &mut rng));
    follower.listed(model.now + MINUTE, Some(model.snapshot()), &mut rng);

    assert!(behind.platform_behind && behind.version == version_before && behind.rejected_old == 1);
    assert!(
        all_actions.contains(&Action::CloseWatch) && all_actions.contains(&Action::List),
        "{all_actions:?}"
    );
    assert_eq!(follower.version(), last);
    assert_eq!(
        ["pool-1", "pool-2", "pool-3"].map(|name| models(&follower, name).unwrap()),
        ["model-50", "model-60", "model-70"]
    );
}

/// The platform stops sending events on open watch connections, so that no router learns of a change. A watch without
/// events must be reopened at once each time, without the growing backoff of a failed watch.
#[test]
fn a_watch_without_events_is_reopened_without_backoff() {
    let mut model = fleet(1);
    let mut follower = model.nodes[0].follower.take().expect("the router is running");
    let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    let mut now = model.now;
    follower.watch_ended(now, &mut rng);

    for n in 0..10 {
        now += Duration::from_secs(6);
        follower.watch_idle(now);
        let actions = follower.tick(now, &mut rng);
        assert!(actions.iter().any(|a| matches!(a, Action::Watch { .. })), "{n}: {actions:?}");
        follower.watch_opened(now);
    }
}

/// All routers that hold a watch die. Unless others take the watches over, no router learns of changes.
#[test]
fn watch_holders_die() {
    let mut model = fleet(22);
    let watchers: Vec<_> = model.live().into_iter().filter(|&i| model.nodes[i].watching).collect();
    assert!(!watchers.is_empty() && watchers.len() < 22, "{watchers:?}");

    for i in watchers {
        model.kill(i);
    }
    model.write("EnginePool", "pool-4", pool(70));

    assert!(model.settle(PROPAGATION_TIMEOUT).is_some());
    model.run(MINUTE);
    assert!(model.watching() >= 3, "{}", model.watching());
    assert_no_faults(&model);
}

/// A region is partitioned from the platform and the other regions for an hour, while the configuration changes and
/// routers on both sides restart. The partitioned region must keep its version; afterwards all routers must converge
/// without any version going backwards.
#[test]
fn a_region_is_partitioned_for_an_hour() {
    let mut model = fleet(12);
    let region: Vec<_> = (0..12).filter(|i| i % 3 == 0).collect();
    let before = model.platform.version;

    model.set_cut_off(region.clone(), true);
    model.write("EnginePool", "pool-1", pool(50));
    model.run(Duration::from_secs(1800));
    restart(&mut model, 3);
    restart(&mut model, 1);
    model.delete("EnginePool", "pool-2");
    model.run(Duration::from_secs(1800));

    for &i in &region {
        let follower = model.nodes[i].follower.as_ref().expect("the router is running");
        assert!(follower.is_ready() && follower.version() == before, "router {i}");
    }
    model.set_cut_off(region, false);
    assert!(model.settle(CONVERGENCE_TIMEOUT).is_some());
    assert_no_faults(&model);
}

/// A tool that bypasses validation writes an invalid object. The last valid state of the object must stay in force,
/// other objects must keep changing, and the store must report the problems. A router that starts afterwards must get
/// the last valid state too.
#[test]
fn an_invalid_object_keeps_its_last_valid_state_in_force() {
    let mut model = fleet(8);
    let has_last_valid = |f: &Follower| {
        let objects = f.store().in_force();
        let pool = objects.iter().find(|o| o.metadata.name == "pool-5").expect("it is in force");
        pool.spec["models"][0] == "model-5"
    };

    model.write("EnginePool", "pool-5", serde_json::json!({ "loadBoundMilli": 3, "modles": [] }));
    model.write("EnginePool", "pool-6", pool(80));
    model.settle(PROPAGATION_TIMEOUT).expect("in force");
    model.set_down(true);
    restart(&mut model, 3);

    for node in &model.nodes {
        let follower = node.follower.as_ref().expect("the router is running");
        assert!(follower.is_ready() && has_last_valid(follower), "{}", node.name);
        let bad = follower.store().bad();
        assert_eq!((bad.len(), bad[0].name.as_str(), bad[0].problems.len()), (1, "pool-5", 2));
    }
    assert_no_faults(&model);
}

/// A watch silently drops one change, and its router would lack it forever. Routers periodically compare a digest with
/// a random peer and list again on a mismatch.
#[test]
fn a_change_dropped_by_a_watch_is_recovered() {
    let mut model = fleet(8);
    let holder = (0..8).find(|&i| model.nodes[i].watching).expect("a watch");
    model.nodes[holder].watching = false;
    model.write("EnginePool", "pool-7", pool(90));
    model.nodes[holder].watching = true;
    model.write("EnginePool", "pool-8", pool(91));

    model.run(Duration::from_secs(300));

    let digests: Vec<_> =
        model.nodes.iter().filter_map(|n| n.follower.as_ref()).map(|f| f.store().digest()).collect();
    assert!(digests.iter().all(|d| *d == digests[0]), "{digests:?}");
    assert_no_faults(&model);
}

struct Cost {
    lists: u64,
    watching: usize,
    /// Lists and watches opened during the changes.
    calls: u64,
    bytes_per_change: u64,
    worst_s: f64,
}

fn cost(routers: usize) -> Cost {
    let mut model = Model::new(Setup::of(routers));
    model.write("EnginePool", "a", pool(1));
    model.settle(MINUTE).expect("the fleet starts");
    model.run(MINUTE);
    let before = model.platform.calls;
    model.nodes.iter_mut().for_each(|n| n.bytes_in = 0);
    let mut worst_s = 0.0_f64;
    for n in 0..20 {
        let version = model.write("EnginePool", "a", pool(10 + n));
        model.run(Duration::from_secs(10));
        worst_s = worst_s.max(model.everywhere(version).expect("in force"));
    }
    assert_no_faults(&model);
    let after = model.platform.calls;
    let bytes: u64 = model.nodes.iter().map(|n| n.bytes_in).sum();
    Cost {
        lists: before.lists,
        watching: model.watching(),
        calls: after.lists + after.watches - before.lists - before.watches,
        bytes_per_change: bytes / (20 * routers as u64),
        worst_s,
    }
}

/// Limits the costs that the benchmark measures, by counts that are the same in each run.
#[test]
fn the_cost_grows_more_slowly_than_the_fleet() {
    let (small, large) = (cost(22), cost(110));

    for c in [&small, &large] {
        assert!(c.bytes_per_change <= 600, "{} bytes", c.bytes_per_change);
        assert_eq!(c.calls, 0, "changes must cause no calls to the platform except the open watches");
        assert!(c.worst_s <= PROPAGATION_TIMEOUT.as_secs_f64(), "{} s", c.worst_s);
    }
    assert!(large.watching * 22 < small.watching * 110, "{} watches of {}", large.watching, small.watching);
    assert!(large.lists * 22 < small.lists * 110, "{} lists of {}", large.lists, small.lists);
    assert!(large.watching <= 10, "{}", large.watching);
}
