//! Claims over seeded schedules of failures: never two runs of a key, never a false "not run", never another's
//! answer; and the same schedules against weakened versions, which must show violations.

#[path = "../benches/claims/world.rs"]
#[allow(dead_code)]
mod world;

use world::{Violations, Weak, schedule};

const SCHEDULES: u64 = 400;

fn violations(weak: Weak, schedules: u64) -> Violations {
    let mut all = Violations::default();
    for seed in 0..schedules {
        all.add(schedule(seed, weak).violations());
    }
    all
}

/// Routers crash, pause past everything, change their minds about who owns a shard; the platform is out, loses
/// calls and answers and applies writes late; links lose, repeat and delay frames; callers resend, some at once
/// to every router. A doubled booking would show as a key with two runs in the backend server's record.
#[test]
fn no_schedule_breaks_a_promise() {
    for seed in 0..SCHEDULES {
        let world = schedule(seed, Weak::Nothing);

        let found = world.violations();

        assert_eq!(found, Violations::default(), "seed {seed}");
    }
}

/// The schedules must be able to see each step that the protocol relies on.
#[test]
fn each_weakened_version_is_caught() {
    for weak in Weak::ALL {
        let found = violations(weak, SCHEDULES / 4);

        assert!(found.total() > 0, "{weak:?} broke no promise in {} schedules", SCHEDULES / 4);
    }
}
/// Schedules in which nothing runs would prove nothing, and schedules that differ from run to run would hide what
/// they find.
#[test]
fn schedules_do_work_and_repeat() {
    let (mut callers, mut runs, mut repeated, mut not_run) = (0, 0, 0, 0);
    for seed in 0..50 {
        let (one, two) = (schedule(seed, Weak::Nothing), schedule(seed, Weak::Nothing));

        assert_eq!((one.stats.runs, one.stats.frames), (two.stats.runs, two.stats.frames), "seed {seed}");
        callers += one.callers.len() as u64;
        runs += one.stats.runs;
        repeated += one.stats.repeated;
        not_run += one.stats.not_run;
    }
    assert!(2 * runs > callers, "{runs} runs of {callers} keys");
    assert!(repeated > 0 && not_run > 0);
}
