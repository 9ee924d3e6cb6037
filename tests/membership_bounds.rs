//! Regression limits for the model of `cargo bench --bench membership`, at sizes that run in seconds.
//!
//! Time is virtual and seeds are fixed, so the results are the same on every machine.

use std::time::Duration;

use cranberrytally::{member::Status, probe::State};

#[path = "../benches/membership/fleet.rs"]
mod fleet;

use fleet::{Fleet, Shape};

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn converged_fleet(routers: usize) -> Fleet {
    let mut f = Fleet::new(Shape::new(routers, 3, 1, routers * 33));
    f.put_in_force_everywhere(1);
    f.wait(s(60), Fleet::agrees).expect("the fleet converges within a minute");
    f.run(s(20));
    f
}

#[test]
fn control_traffic_stays_below_its_bounds() {
    for (routers, gossip, packets) in [(8, 1_500, 13), (22, 2_000, 13)] {
        let mut f = converged_fleet(routers);
        let (start, before) = (f.now, totals(&f));
        for version in 2..12 {
            f.put_in_force(version as usize % routers, version);
            f.run(s(3));
        }

        let (time, after) = ((f.now - start).as_secs(), totals(&f));
        let per = |a: u64, b: u64| (a - b) / time / routers as u64;
        let (bytes, sent) = (per(after.0, before.0), per(after.1, before.1));

        assert!(bytes <= gossip, "{routers} routers: {bytes} bytes/s of gossip each");
        assert!(sent <= packets, "{routers} routers: {sent} packets/s each");
        assert!(after.2 - before.2 <= 2, "{routers} routers: {} false suspicions", after.2 - before.2);
        assert_eq!(after.3, before.3, "{routers} routers: false deaths");
    }
}

fn totals(f: &Fleet) -> (u64, u64, u64, u64) {
    f.running().fold((0, 0, 0, 0), |t, (_, m)| {
        let c = m.counts();
        (t.0 + c.sent_bytes, t.1 + c.sent, t.2 + c.suspicions, t.3 + c.deaths)
    })
}

#[test]
fn a_version_is_in_force_everywhere_within_seconds() {
    let mut f = converged_fleet(22);

    for version in 2..10u64 {
        f.put_in_force(version as usize, version);
        let time = f.wait(s(20), |f| f.all_in_force(version)).expect("the version arrives");

        assert!(time <= s(4), "version {version} took {time:?}");
    }
}

#[test]
fn a_dead_router_and_a_dead_engine_are_known_everywhere_within_seconds() {
    let mut f = converged_fleet(22);
    let dead = f.nodes[7].record.name.to_string();

    f.kill(7);
    let router =
        f.wait(s(30), |f| f.all_hold(&dead, |r| r.status == Status::Dead)).expect("the failure is detected");
    f.engines[40].up = false;
    let engine = f.wait(s(30), |f| f.all_see(40, State::Down)).expect("the failure is detected");

    assert!(router <= s(10), "a dead router took {router:?}");
    assert!(engine <= s(13), "a dead engine took {engine:?}");
}
