//! Claims under seeded schedules of failures: a key never runs twice, "not run" is never false, and no caller gets the
//! response of another key. The same schedules must find violations in weakened versions of the protocol.

#[path = "../benches/claims/world.rs"]
#[allow(dead_code)]
mod world;

use world::{Violations, Weakening, schedule};

const SCHEDULES: u64 = 400;

fn violations(weakening: Weakening, schedules: u64) -> Violations {
    let mut all = Violations::default();
    for seed in 0..schedules {
        all.add(schedule(seed, weakening).violations());
    }
    all
}

/// Routers crash, pause beyond every timeout and disagree on the owner of a shard. The platform has outages, loses
/// calls and responses, and applies writes late. Links drop, duplicate and delay frames. Callers retry, some at all
/// routers at once. A duplicate booking shows as a key with two runs in the backend server's record.
#[test]
fn no_schedule_violates_a_guarantee() {
    for seed in 0..SCHEDULES {
        let world = schedule(seed, Weakening::None);

        let violations = world.violations();

        assert_eq!(violations, Violations::default(), "seed {seed}");
    }
}

/// Each step that the protocol relies on is left out in one version; the schedules must detect that.
#[test]
fn each_weakened_version_is_detected() {
    for weakening in Weakening::ALL {
        let violations = violations(weakening, SCHEDULES / 4);

        assert!(
            violations.total() > 0,
            "no violation found with {weakening:?} in {} schedules",
            SCHEDULES / 4
        );
    }
}

/// Schedules in which nothing runs would prove nothing, and schedules that are not deterministic could not be replayed.
#[test]
fn schedules_run_requests_and_are_deterministic() {
    let (mut callers, mut runs, mut repeated, mut not_run) = (0, 0, 0, 0);
    for seed in 0..50 {
        let (one, two) = (schedule(seed, Weakening::None), schedule(seed, Weakening::None));

        assert_eq!((one.stats.runs, one.stats.frames), (two.stats.runs, two.stats.frames), "seed {seed}");
        callers += one.callers.len() as u64;
        runs += one.stats.runs;
        repeated += one.stats.repeated;
        not_run += one.stats.not_run;
    }
    assert!(2 * runs > callers, "{runs} runs of {callers} keys");
    assert!(repeated > 0 && not_run > 0);
}
