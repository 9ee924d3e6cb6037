//! Configuration stays in force and never goes back, whatever fails.

use std::time::Duration;

use cranberrytally::revision::{Action, Follower};

#[allow(dead_code, reason = "the bench uses the rest")]
#[path = "../benches/configuration/model.rs"]
mod model;

use model::{Model, Setup, pool};

const MINUTE: Duration = Duration::from_secs(60);
/// Bound on the time until all live routers agree again after a fault has ended.
const AGREE: Duration = Duration::from_secs(30);
/// Bound on the time until a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(12);

fn fleet(routers: usize) -> Model {
    let mut model = Model::new(Setup::of(routers));
    for n in 0..10 {
        model.write("EnginePool", &format!("pool-{n}"), pool(n));
    }
    model.settle(MINUTE).expect("the fleet starts");
    model
}

fn check(model: &Model) {
    assert_eq!(model.faults, Vec::<String>::new());
}

fn roll(model: &mut Model, i: usize) {
    model.kill(i);
    model.run(Duration::from_secs(5));
    model.start(i);
    model.run(Duration::from_secs(10));
}

/// An operator's change is in force nowhere, or at some routers only, when gossip loses messages.
/// Each change must reach every router within the bound, by watch or from a peer.
#[test]
fn a_change_is_in_force_everywhere() {
    let mut model = fleet(22);

    for n in 0..20 {
        model.write("EnginePool", "pool-3", pool(100 + n));
        assert!(model.settle(IN_FORCE).is_some(), "change {n}");
    }

    check(&model);
}

/// After a data centre's power comes back all routers start at once with empty memory.
/// If each listed the configuration from the platform, its rate limit would hold all of them up.
#[test]
fn the_whole_fleet_starts_at_once() {
    let mut model = Model::new(Setup::of(100));
    model.write("EnginePool", "a", pool(1));

    let took = model.settle(MINUTE);

    assert!(took.is_some_and(|t| t <= IN_FORCE), "{took:?}");
    assert!(model.platform.calls.lists <= 20, "{:?}", model.platform.calls);
    check(&model);
}

/// The platform is down for an hour while the operators' tooling replaces every host in turn.
/// A restarted router finds no platform; without peers to ask it would serve nothing, or an old state.
#[test]
fn platform_down_for_an_hour_with_a_rolling_restart() {
    let mut model = fleet(8);
    let version = model.write("EnginePool", "pool-1", pool(50));
    model.settle(IN_FORCE).expect("in force before the outage");

    model.set_down(true);
    for i in 0..8 {
        model.run(Duration::from_secs(400));
        roll(&mut model, i);
        let follower = model.nodes[i].follower.as_ref().expect("it runs");
        assert!(follower.is_ready() && follower.version() == version, "router {i}");
    }
    model.run(Duration::from_secs(300));
    model.write("EnginePool", "pool-1", pool(51));
    model.set_down(false);

    assert!(model.settle(AGREE).is_some());
    check(&model);
}

/// The platform's read replica falls behind and answers with the state of an hour ago, while routers restart.
/// A restarted router that believed it would take back a change that an operator was told is in force.
#[test]
fn platform_answers_with_old_data() {
    let mut model = fleet(8);
    let old = model.snapshot();
    model.write("EnginePool", "pool-2", pool(60));
    let version = model.delete("EnginePool", "pool-9");
    model.settle(IN_FORCE).expect("in force");
    model.answer_old(Some(old));
    model.write("EnginePool", "pool-2", pool(61));

    for i in 0..8 {
        roll(&mut model, i);
        let follower = model.nodes[i].follower.as_ref().expect("it runs");
        assert!(follower.is_ready() && follower.version() == version, "router {i}");
    }
    model.answer_old(None);

    assert!(model.settle(AGREE).is_some());
    check(&model);
}

/// The same, with most of the fleet restarting in one moment. The restarted routers have all got the same old state from
/// the platform; if they took that for the fleet's version, they would confirm each other against those that run on.
#[test]
fn most_routers_restart_while_the_platform_answers_with_old_data() {
    for seed in 0..20 {
        let mut model = Model::new(Setup { seed, ..Setup::of(8) });
        model.write("EnginePool", "pool-2", pool(1));
        model.settle(MINUTE).expect("the fleet starts");
        let old = model.snapshot();
        let version = model.write("EnginePool", "pool-2", pool(60));
        model.settle(IN_FORCE).expect("in force");
        model.answer_old(Some(old));

        for i in 0..6 {
            model.kill(i);
        }
        model.run(Duration::from_secs(1));
        for i in 0..6 {
            model.start(i);
        }

        assert!(model.settle(AGREE).is_some(), "seed {seed}: not at {version}");
        check(&model);
    }
}

/// The platform itself goes back: it was restored from an older copy, and a list has a lower version than routers have.
/// Routers must keep what is in force and show that the platform is behind.
#[test]
fn an_old_list_is_not_taken() {
    let mut model = fleet(3);
    let list = cranberrytally::objects::List { version: 2, items: Vec::new() };
    let mut follower = model.nodes[0].follower.take().expect("it runs");
    let before = follower.version();
    let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);

    let actions = follower.listed(model.now, Some(list), &mut rng);

    assert!(actions.is_empty());
    assert_eq!(follower.version(), before);
    assert!(follower.state().platform_behind);
}

/// The platform was restored, and an operator writes again under versions that it had given out before. Until these have passed,
/// callers get what was in force; afterwards a change that was acknowledged meanwhile must not be missing for good.
#[test]
fn what_is_written_after_a_restore_is_in_force_once_the_versions_have_passed() {
    let mut model = fleet(1);
    let copy = model.snapshot();
    model.write("EnginePool", "pool-1", pool(50));
    let mut follower = model.nodes[0].follower.take().expect("it runs");
    let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    let models = |follower: &Follower, name: &str| {
        let objects = follower.store().in_force();
        objects.iter().find(|o| o.metadata.name == name).map(|o| o.spec["models"][0].clone())
    };
    follower.listed(model.now, Some(model.snapshot()), &mut rng);
    let known = follower.version();

    follower.listed(model.now, Some(copy), &mut rng);
    let behind = follower.state();
    model.write("EnginePool", "pool-2", pool(60));
    let last = model.write("EnginePool", "pool-3", pool(70));
    let event = model.last_event();
    let actions = follower.event(model.now, event);
    let mut asked = actions.clone();
    asked.extend(follower.tick(model.now + MINUTE, &mut rng));
    follower.listed(model.now + MINUTE, Some(model.snapshot()), &mut rng);

    assert!(behind.platform_behind && behind.version == known && behind.rejected_old == 1);
    assert!(asked.contains(&Action::CloseWatch) && asked.contains(&Action::List), "{asked:?}");
    assert_eq!(follower.version(), last);
    assert_eq!(
        ["pool-1", "pool-2", "pool-3"].map(|name| models(&follower, name).unwrap()),
        ["model-50", "model-60", "model-70"]
    );
}

/// All watches of the platform go deaf on connections that live, so that no router has news to tell the others. Each is opened anew
/// once nothing came for a while, again and again, without the growing pauses of one that fails.
#[test]
fn a_watch_on_which_nothing_comes_is_opened_anew_at_once() {
    let mut model = fleet(1);
    let mut follower = model.nodes[0].follower.take().expect("it runs");
    let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    let mut now = model.now;
    follower.watch_ended(now, &mut rng);

    for n in 0..10 {
        now += Duration::from_secs(6);
        follower.watch_silent(now);
        let actions = follower.tick(now, &mut rng);
        assert!(actions.iter().any(|a| matches!(a, Action::Watch { .. })), "{n}: {actions:?}");
        follower.watch_opened(now);
    }
}

/// The router that holds a data centre's watch dies. The others hear of no change any more unless another takes over.
#[test]
fn a_watcher_dies() {
    let mut model = fleet(22);
    let watchers: Vec<_> = model.live().into_iter().filter(|&i| model.nodes[i].watching).collect();
    assert!(!watchers.is_empty() && watchers.len() < 22, "{watchers:?}");

    for i in watchers {
        model.kill(i);
    }
    model.write("EnginePool", "pool-4", pool(70));

    assert!(model.settle(IN_FORCE).is_some());
    model.run(MINUTE);
    assert!(model.watching() >= 3, "{}", model.watching());
    check(&model);
}

/// A region loses the platform and the other regions for an hour. Operators go on changing the configuration, and routers
/// on both sides are replaced. The cut-off side keeps what it has; afterwards all must agree, without any going back.
#[test]
fn a_region_is_cut_off_for_an_hour() {
    let mut model = fleet(12);
    let region: Vec<_> = (0..12).filter(|i| i % 3 == 0).collect();
    let before = model.platform.version;

    model.set_cut_off(region.clone(), true);
    model.write("EnginePool", "pool-1", pool(50));
    model.run(Duration::from_secs(1800));
    roll(&mut model, 3);
    roll(&mut model, 1);
    model.delete("EnginePool", "pool-2");
    model.run(Duration::from_secs(1800));

    for &i in &region {
        let follower = model.nodes[i].follower.as_ref().expect("it runs");
        assert!(follower.is_ready() && follower.version() == before, "router {i}");
    }
    model.set_cut_off(region, false);
    assert!(model.settle(AGREE).is_some());
    check(&model);
}

/// A tool that bypasses the checks writes an object that no router can understand.
/// The last good one of that object stays in force, all others go on changing, and `status` names the fault.
/// A router that starts only now must get the last good one too.
#[test]
fn a_bad_object_keeps_the_last_good_one() {
    let mut model = fleet(8);
    let good = |f: &Follower| {
        let objects = f.store().in_force();
        let pool = objects.iter().find(|o| o.metadata.name == "pool-5").expect("it is in force");
        pool.spec["models"][0] == "model-5"
    };

    model.write("EnginePool", "pool-5", serde_json::json!({ "loadBoundMilli": 3, "modles": [] }));
    model.write("EnginePool", "pool-6", pool(80));
    model.settle(IN_FORCE).expect("in force");
    model.set_down(true);
    roll(&mut model, 3);

    for node in &model.nodes {
        let follower = node.follower.as_ref().expect("it runs");
        assert!(follower.is_ready() && good(follower), "{}", node.name);
        let bad = follower.store().bad();
        assert_eq!((bad.len(), bad[0].name.as_str(), bad[0].problems.len()), (1, "pool-5", 2));
    }
    check(&model);
}

/// A watch drops one change unseen. Its router goes on to later versions and would lack that change for ever.
/// Routers compare a digest with a random peer now and then; the one that differs lists again.
#[test]
fn a_change_that_a_watch_dropped_is_found() {
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
    check(&model);
}

struct Cost {
    lists: u64,
    watching: usize,
    /// Lists and watches opened while changes went on.
    calls: u64,
    bytes_per_change: u64,
    worst: f64,
}

fn cost(routers: usize) -> Cost {
    let mut model = Model::new(Setup::of(routers));
    model.write("EnginePool", "a", pool(1));
    model.settle(MINUTE).expect("the fleet starts");
    model.run(MINUTE);
    let before = model.platform.calls;
    model.nodes.iter_mut().for_each(|n| n.bytes_in = 0);
    let mut worst = 0.0_f64;
    for n in 0..20 {
        let version = model.write("EnginePool", "a", pool(10 + n));
        model.run(Duration::from_secs(10));
        worst = worst.max(model.everywhere(version).expect("in force"));
    }
    check(&model);
    let after = model.platform.calls;
    let bytes: u64 = model.nodes.iter().map(|n| n.bytes_in).sum();
    Cost {
        lists: before.lists,
        watching: model.watching(),
        calls: after.lists + after.watches - before.lists - before.watches,
        bytes_per_change: bytes / (20 * routers as u64),
        worst,
    }
}

/// Bounds on what the bench measures, on counts that are the same in each run.
#[test]
fn the_cost_grows_more_slowly_than_the_fleet() {
    let (small, large) = (cost(22), cost(110));

    for c in [&small, &large] {
        assert!(c.bytes_per_change <= 600, "{} bytes", c.bytes_per_change);
        assert_eq!(c.calls, 0, "changes cost the platform no call but the watches");
        assert!(c.worst <= IN_FORCE.as_secs_f64(), "{} s", c.worst);
    }
    assert!(large.watching * 22 < small.watching * 110, "{} watches of {}", large.watching, small.watching);
    assert!(large.lists * 22 < small.lists * 110, "{} lists of {}", large.lists, small.lists);
    assert!(large.watching <= 10, "{}", large.watching);
}
