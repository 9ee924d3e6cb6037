//! Failures of claims one by one, each at every millisecond at which it can strike. In virtual time, with the
//! routers' real decisions.

#[path = "../benches/claims/world.rs"]
#[allow(dead_code)]
mod world;

use world::{Faults, Ms, Violations, Way, Weak, World};

/// A request takes about 25 ms from the first frame to the answer; its record is written about a second later.
const ANSWERED: Ms = 40;
const RECORDED: Ms = 1_400;
const HOLDER: usize = 0;
const NONE: Violations = Violations { second_run: 0, false_not_run: 0, foreign_answer: 0 };

/// Three routers, each of which takes itself for the owner of the only shard.
fn world(faults: Faults, weak: Weak) -> World {
    World::new(3, 3, Way::Shards(1), faults, weak)
}

fn every_point() -> impl Iterator<Item = Ms> {
    (0..ANSWERED).chain((ANSWERED..RECORDED).step_by(20))
}

/// The router that holds a booking dies: before the claim, after it, before the first byte, before the last, before
/// the answer or before the record. The guest sees the connection break and sends the booking again elsewhere, up
/// to five times. It must not be made twice, and a "not run" must be true.
#[test]
fn a_router_that_dies_at_any_point_doubles_nothing() {
    let (mut not_made, mut made) = (0, 0);
    for ticket in [false, true] {
        for at in every_point() {
            let mut world = world(Faults::none(), Weak::Nothing);
            world.call(0, HOLDER, ticket, 5, false);
            world.crash_at(at, HOLDER);

            world.run(60_000);

            assert_eq!(world.violations(), NONE, "died at {at} ms");
            if world.stats.runs == 0 { not_made += 1 } else { made += 1 }
        }
    }
    assert!(not_made > 0 && made > 0, "the deaths must fall on both sides of the run");
}

/// The router stops for over a minute, as a suspended host does, and wakes up with the claim in hand. Meanwhile the
/// guest has sent the booking again to another router, which could think the claim had run out. Nobody else may get
/// it: the router that wakes up goes on and makes the only booking.
#[test]
fn a_router_that_wakes_up_after_a_minute_makes_the_only_booking() {
    for at in every_point() {
        let mut world = world(Faults::none(), Weak::Nothing);
        let caller = world.call(0, HOLDER, false, 5, false);
        world.pause_at(at, HOLDER, 70_000);
        world.send_at(at + 5_000, caller, 1);

        world.run(200_000);

        assert_eq!(world.violations(), NONE, "stopped at {at} ms");
    }
}

/// The same with claims that run out after a while, as a lock with a lease does: the story must be able to fail.
#[test]
fn claims_that_run_out_would_double_the_booking() {
    let doubled = every_point().filter(|at| {
        let mut world = world(Faults::none(), Weak::ClaimsRunOut);
        let caller = world.call(0, HOLDER, false, 5, false);
        world.pause_at(*at, HOLDER, 70_000);
        world.send_at(at + 5_000, caller, 1);
        world.run(200_000);
        world.violations().second_run > 0
    });

    assert!(doubled.count() > 0);
}

/// Two routers both take themselves for the owner of the shard, and the guest's client sends the booking to the
/// second a little after the first. Each reads a shard without the claim; only one conditional write takes effect.
#[test]
fn two_owners_of_a_shard_grant_one_claim() {
    for gap in 0..ANSWERED {
        let mut world = world(Faults::none(), Weak::Nothing);
        let caller = world.call(0, 0, false, 5, false);
        world.send_at(gap, caller, 1);
        world.send_at(gap, caller, 2);

        world.run(60_000);

        assert_eq!((world.violations(), world.stats.runs), (NONE, 1), "{gap} ms apart");
    }
}

/// Every frame between routers comes twice, and half of them seconds late, so that asks come after their own
/// release and verdicts after the router gave up. Bookings sent to all routers at once still run once.
#[test]
fn repeated_and_late_frames_grant_nothing_twice() {
    let faults = Faults { repeat_frame: 1000, late_frame: 500, ..Faults::none() };
    let mut late_grants = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, 3, Way::Shards(4), faults, Weak::Nothing);
        for i in 0..10 {
            world.call(i * 30, i as usize % 3, i % 2 == 0, 4, true);
        }

        world.run(60_000);

        assert_eq!(world.violations(), NONE, "seed {seed}");
        late_grants += world.stats.not_run;
    }
    assert!(late_grants > 0, "some attempts must have been given up");
}

/// The backend server answers three times later than the router waits. The guest is told that nobody knows; a later
/// attempt must neither run again nor read another booking's answer.
#[test]
fn an_answer_after_the_router_gave_up_changes_nothing() {
    let faults = Faults { late_answer: 1000, ..Faults::none() };
    let mut world = world(faults, Weak::Nothing);
    for i in 0..20 {
        world.call(i * 100, i as usize % 3, i % 2 == 0, 5, false);
    }

    world.run(120_000);

    assert_eq!((world.violations(), world.stats.runs, world.stats.answered), (NONE, 20, 0));
    assert!(world.stats.unknown >= 20);
}

/// The platform loses each second answer and applies some writes long after their caller gave up on them.
#[test]
fn lost_answers_and_late_writes_of_the_platform_grant_nothing_twice() {
    let faults = Faults { lose_answer: 500, late_effect: 300, ..Faults::none() };
    let mut answered = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, 3, Way::Shards(1), faults, Weak::Nothing);
        for i in 0..10 {
            world.call(i * 50, i as usize % 3, false, 5, i % 3 == 0);
        }

        world.run(60_000);

        assert_eq!(world.violations(), NONE, "seed {seed}");
        answered += world.stats.answered;
    }
    assert!(answered > 300, "{answered} of 600 answered");
}
