//! Single failures of claims, each injected at every millisecond at which it can occur. In virtual time, with the real
//! decision code of the routers.

#[path = "../benches/claims/world.rs"]
#[allow(dead_code)]
mod world;

use world::{ClaimStorage, Faults, Ms, Violations, Weakening, World};

/// A request takes about 25 ms from the first frame to the response; its record is written about a second later.
const ANSWERED: Ms = 40;
const RECORDED: Ms = 1_400;
const HOLDER: usize = 0;
const NONE: Violations = Violations { second_run: 0, false_not_run: 0, foreign_answer: 0 };

/// Three routers, each of which considers itself the owner of the only shard.
fn world(faults: Faults, weakening: Weakening) -> World {
    World::new(3, 3, ClaimStorage::Shards(1), faults, weakening)
}

fn every_point() -> impl Iterator<Item = Ms> {
    (0..ANSWERED).chain((ANSWERED..RECORDED).step_by(20))
}

/// The router that handles a request crashes: before or after the claim, before the first or last byte, before the
/// response or before the record. The caller's connection breaks, and it retries at other routers up to five times.
/// The request must not run twice, and "not run" must be true.
#[test]
fn a_router_that_crashes_at_any_point_duplicates_nothing() {
    let (mut not_made, mut made) = (0, 0);
    for ticket in [false, true] {
        for at in every_point() {
            let mut world = world(Faults::none(), Weakening::None);
            world.call(0, HOLDER, ticket, 5, false);
            world.crash_at(at, HOLDER);

            world.run(60_000);

            assert_eq!(world.violations(), NONE, "crashed at {at} ms");
            if world.stats.runs == 0 { not_made += 1 } else { made += 1 }
        }
    }
    assert!(not_made > 0 && made > 0, "crashes must occur both before and after the run");
}

/// A router is paused for over a minute, as on a suspended host, and resumes while it holds the claim. Meanwhile the
/// caller has retried at another router, which might consider the claim expired. That router must not get it: the
/// paused router continues and makes the only booking.
#[test]
fn a_router_paused_for_a_minute_makes_the_only_booking() {
    for at in every_point() {
        let mut world = world(Faults::none(), Weakening::None);
        let caller = world.call(0, HOLDER, false, 5, false);
        world.pause_at(at, HOLDER, 70_000);
        world.send_at(at + 5_000, caller, 1);

        world.run(200_000);

        assert_eq!(world.violations(), NONE, "paused at {at} ms");
    }
}

/// The same with claims that expire, like a lock with a lease. Shows that the test above can detect a duplicate run.
#[test]
fn expiring_claims_would_duplicate_the_booking() {
    let doubled = every_point().filter(|at| {
        let mut world = world(Faults::none(), Weakening::ClaimsRunOut);
        let caller = world.call(0, HOLDER, false, 5, false);
        world.pause_at(*at, HOLDER, 70_000);
        world.send_at(at + 5_000, caller, 1);
        world.run(200_000);
        world.violations().second_run > 0
    });

    assert!(doubled.count() > 0);
}

/// Several routers consider themselves the owner of the shard, and the caller sends the request to a second and third
/// shortly after the first. Each reads a shard without the claim; only one conditional write takes effect.
#[test]
fn two_owners_of_a_shard_grant_one_claim() {
    for gap in 0..ANSWERED {
        let mut world = world(Faults::none(), Weakening::None);
        let caller = world.call(0, 0, false, 5, false);
        world.send_at(gap, caller, 1);
        world.send_at(gap, caller, 2);

        world.run(60_000);

        assert_eq!((world.violations(), world.stats.runs), (NONE, 1), "{gap} ms apart");
    }
}

/// Every frame between routers is duplicated and half of them are seconds late, so that requests arrive after their own
/// release, and verdicts after the router timed out. Requests sent to all routers at once still run once.
#[test]
fn duplicated_and_late_frames_grant_nothing_twice() {
    let faults = Faults { repeat_frame: 1000, late_frame: 500, ..Faults::none() };
    let mut late_grants = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, 3, ClaimStorage::Shards(4), faults, Weakening::None);
        for i in 0..10 {
            world.call(i * 30, i as usize % 3, i % 2 == 0, 4, true);
        }

        world.run(60_000);

        assert_eq!(world.violations(), NONE, "seed {seed}");
        late_grants += world.stats.not_run;
    }
    assert!(late_grants > 0, "some attempts must have timed out");
}

/// The backend server takes three times as long as the router waits. The caller gets "unknown"; a later attempt must
/// neither run again nor get the response of another key.
#[test]
fn a_response_after_the_timeout_changes_nothing() {
    let faults = Faults { late_answer: 1000, ..Faults::none() };
    let mut world = world(faults, Weakening::None);
    for i in 0..20 {
        world.call(i * 100, i as usize % 3, i % 2 == 0, 5, false);
    }

    world.run(120_000);

    assert_eq!((world.violations(), world.stats.runs, world.stats.answered), (NONE, 20, 0));
    assert!(world.stats.unknown >= 20);
}

/// The platform loses every second response and applies some writes long after their caller timed out.
#[test]
fn lost_responses_and_late_writes_of_the_platform_grant_nothing_twice() {
    let faults = Faults { lose_answer: 500, late_effect: 300, ..Faults::none() };
    let mut answered = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, 3, ClaimStorage::Shards(1), faults, Weakening::None);
        for i in 0..10 {
            world.call(i * 50, i as usize % 3, false, 5, i % 3 == 0);
        }

        world.run(60_000);

        assert_eq!(world.violations(), NONE, "seed {seed}");
        answered += world.stats.answered;
    }
    assert!(answered > 300, "{answered} of 600 answered");
}
