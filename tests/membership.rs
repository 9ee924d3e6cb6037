//! Membership under failures: the real decision logic over a network with delay and loss, in virtual time.

use std::{net::SocketAddr, time::Duration};

use cranberrytally::{
    member::{Event, GossipKey, MAX_DATAGRAM_BYTES, Record, Status, Topic},
    schema::membership::{Datagram, Record as RawRecord},
};

#[path = "../benches/membership/fleet.rs"]
mod fleet;

use fleet::{Fleet, KEY, Shape};

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Starts a fleet and waits until all members agree.
fn converged_fleet(routers: usize, centres: usize, regions: usize) -> Fleet {
    let mut f = Fleet::new(Shape::new(routers, centres, regions, 0));
    f.put_in_force_everywhere(1);
    f.wait(s(60), Fleet::agrees).expect("the fleet converges");
    f.run(s(10));
    f
}

fn deaths(f: &Fleet) -> u64 {
    f.running().map(|(_, m)| m.counts().deaths).sum()
}

fn name(f: &Fleet, i: usize) -> String {
    f.nodes[i].record.name.to_string()
}

#[test]
fn a_dead_router_is_known_dead_everywhere_and_a_leaving_one_at_once() {
    let mut f = converged_fleet(12, 3, 1);
    let (dead, leaving) = (name(&f, 4), name(&f, 5));

    f.kill(4);
    let now = f.now;
    f.m(5).leave(now);
    let left = f.wait(s(6), |f| f.all_hold(&leaving, |r| r.status == Status::Leaving));
    let declared_dead = f.wait(s(12), |f| f.all_hold(&dead, |r| r.status == Status::Dead));

    assert!(left.is_some(), "the leaving router was not known in time");
    assert!(declared_dead.is_some(), "the dead router was not known in time");
}

/// The network between two halves of a fleet is partitioned, and both halves change: a router of one dies, a router of
/// the other restarts, and a version comes into force in one half only. After the partition has healed both halves must
/// converge, and no version may go backwards.
#[test]
fn a_partition_heals_with_both_sides_changed() {
    let mut f = converged_fleet(12, 3, 1);
    f.path = Box::new(|a, b| (a < 6) == (b < 6));
    f.run(s(40));
    f.kill(2);
    f.kill(9);
    f.run(s(1));
    f.start(9);
    f.put_in_force(0, 5);
    f.put_in_force(9, 1);
    f.run(s(30));

    f.path = Box::new(|_, _| true);
    let agreed = f.wait(s(60), |f| f.agrees() && f.all_in_force(5));

    let dead = name(&f, 2);
    assert!(agreed.is_some(), "the halves did not converge");
    assert!(f.all_hold(&dead, |r| r.status == Status::Dead));
}

/// A host is replaced by one with a new name and the same address, and the old router never announced that it stops.
/// Callers would be sent to two routers of which one no longer exists; the router that started later must win.
#[test]
fn a_router_with_a_new_name_supersedes_the_old_one_at_its_address() {
    let mut f = converged_fleet(9, 3, 1);
    let old = name(&f, 3);
    let record = Record { name: "router-new".into(), ..f.nodes[3].record.clone() };
    f.kill(3);

    f.nodes[3].record = record;
    f.start(3);
    f.put_in_force(3, 1);
    let replaced = f.wait(s(30), |f| f.all_hold(&old, |r| r.status == Status::Dead) && f.agrees());

    assert!(replaced.is_some(), "the old router is not dead everywhere: {:#?}", f.disagreements());
}

/// A router restarts with a wall clock that was set back, so its incarnation is too low and its datagrams look old. It
/// must learn of its old record and rejoin by itself.
#[test]
fn a_router_whose_clock_went_backwards_rejoins() {
    let mut f = converged_fleet(6, 3, 1);
    f.kill(4);
    f.run(s(30));
    let late = f.now;
    f.now = s(500);
    f.start(4);
    f.now = late;
    f.run(s(1));
    f.put_in_force(4, 1);

    let agreed = f.wait(s(60), Fleet::agrees);

    assert!(agreed.is_some(), "the router did not rejoin: {:#?}", f.disagreements());
}

/// Two regions are partitioned for an hour. Neither may declare the other's routers dead, or thousands of records would
/// change twice. The routers of the other region must count as unreachable, since entry answers list those last.
#[test]
fn partitioned_regions_declare_no_router_dead() {
    let mut f = converged_fleet(8, 4, 2);
    f.path = Box::new(|a, b| (a % 4) % 2 == (b % 4) % 2);
    f.put_in_force(0, 7);

    f.run(s(3600));
    let (deaths_while_partitioned, now) = (deaths(&f), f.now);
    let unreachable = f.running().all(|(_, m)| {
        let unreachable: Vec<_> = m.table().iter().filter(|x| x.record.region != m.me().region).collect();
        unreachable.len() == 4 && unreachable.into_iter().all(|x| !m.reachable(now, x))
    });
    f.path = Box::new(|_, _| true);
    let agreed = f.wait(s(40), |f| f.agrees() && f.all_in_force(7));

    assert_eq!(deaths_while_partitioned, 0);
    assert!(unreachable, "the remote region must count as unreachable");
    assert!(agreed.is_some(), "the regions did not converge");
}

/// A rack loses power, and a third of a data centre's routers fails at once, including its reporter. The others must
/// detect the failures and take over the reports.
#[test]
fn simultaneous_failures_including_the_reporter_are_detected() {
    let mut f = converged_fleet(18, 2, 1);
    let lost: Vec<_> = [0, 2, 4].map(|i| name(&f, i)).into();

    [0, 2, 4].into_iter().for_each(|i| f.kill(i));
    let detected = f.wait(s(20), |f| lost.iter().all(|n| f.all_hold(n, |r| r.status == Status::Dead)));
    f.put_in_force(1, 9);
    f.run(s(25));

    assert!(detected.is_some(), "the dead routers were not known in time");
    let renewed = f.running().all(|(_, m)| m.centres().all(|c| c.summary.in_force == 9));
    assert!(renewed, "the data centre's summary was not renewed after its reporter died");
}

/// A router sends but receives nothing, for example because of a wrong firewall rule, so all others look dead to it. No
/// healthy router may be declared dead because of that; the isolated one must be.
#[test]
fn an_isolated_router_declares_no_router_dead() {
    let mut f = converged_fleet(10, 2, 1);
    let isolated = name(&f, 3);
    f.path = Box::new(|_, to| to != 3);

    let declared_dead = f.wait(s(20), |f| {
        f.running()
            .filter(|(i, _)| *i != 3)
            .all(|(_, m)| m.table().get(&isolated).is_some_and(|x| x.record.status == Status::Dead))
    });
    f.run(s(60));

    assert!(declared_dead.is_some(), "the isolated router was not declared dead");
    let any_healthy_dead = f.running().filter(|(i, _)| *i != 3).any(|(_, m)| m.table().live_count() != 9);
    assert!(!any_healthy_dead, "a healthy router was declared dead");
    assert_eq!(f.m(3).counts().deaths, 0);
}

/// A router receives datagrams, but all it sends are lost. The others must declare it dead although it refutes, and
/// accept it again once its datagrams arrive.
#[test]
fn a_router_whose_datagrams_are_lost_is_dead_until_they_arrive_again() {
    let mut f = converged_fleet(10, 2, 1);
    let unheard = name(&f, 3);
    f.path = Box::new(|from, _| from != 3);
    let declared_dead = f.wait(s(20), |f| {
        f.running()
            .filter(|(i, _)| *i != 3)
            .all(|(_, m)| m.table().get(&unheard).is_some_and(|x| x.record.status == Status::Dead))
    });

    f.path = Box::new(|_, _| true);
    let rejoined = f.wait(s(30), Fleet::agrees);

    assert!(declared_dead.is_some(), "the router was not declared dead");
    assert!(rejoined.is_some(), "the router did not rejoin");
}

/// A virtual machine is paused for a minute and resumes with its old state, in which no ack has arrived for a minute. It
/// must detect the pause by the boot-time clock and declare nobody dead.
#[test]
fn a_paused_router_declares_no_router_dead() {
    let mut f = converged_fleet(10, 2, 1);
    f.nodes[3].paused = true;
    f.run(s(60));
    f.events.clear();

    f.nodes[3].paused = false;
    let rejoined = f.wait(s(30), Fleet::agrees);

    let pause_detected =
        f.events.iter().any(|(_, i, e)| *i == 3 && matches!(e, Event::Paused(gap) if *gap >= s(59)));
    assert!(pause_detected, "the pause was not detected");
    assert!(rejoined.is_some(), "the router did not rejoin");
    assert_eq!(f.m(3).counts().deaths, 0);
}

/// Datagrams with a wrong key, truncated, oversized, empty and malformed ones arrive. Each must be dropped and counted
/// by its reason, without any change of state.
#[test]
fn invalid_datagrams_are_dropped_and_counted() {
    let mut f = converged_fleet(4, 2, 1);
    let from = f.nodes[1].record.peer;
    let forged = GossipKey::new("another key").seal(&forged_death(&f));
    let mut truncated = GossipKey::new(KEY).seal(&forged_death(&f));
    truncated.truncate(truncated.len() - 1);
    let mut bad_address = forged_death(&f);
    bad_address.records[0].peer = "nowhere".into();

    f.inject(0, from, forged);
    f.inject(0, from, truncated);
    f.inject(0, from, vec![7; MAX_DATAGRAM_BYTES + 1]);
    f.inject(0, from, Vec::new());
    f.inject(0, from, GossipKey::new(KEY).seal(&bad_address));
    f.run(s(1));

    let rejected = &f.nodes[0].rejected;
    assert_eq!(rejected.get("datagram_stranger"), Some(&2));
    assert_eq!(rejected.get("datagram_size"), Some(&2));
    assert_eq!(rejected.get("datagram_garbage"), Some(&1));
    assert!(f.agrees());
}

fn forged_death(f: &Fleet) -> Datagram {
    let victim = &f.nodes[2].record;
    let record = RawRecord {
        name: victim.name.to_string(),
        data_centre: victim.data_centre.to_string(),
        region: victim.region.to_string(),
        http: victim.http.to_string(),
        peer: victim.peer.to_string(),
        incarnation: u64::MAX / 2,
        status: 3,
        ready: true,
    };
    Datagram { from: "nobody".into(), incarnation: 1, seq: 1, records: vec![record], ..Datagram::default() }
}

/// An attacker or a broken switch replays an old datagram, which has a valid MAC. Its acks and versions are outdated, so
/// it must be dropped by its sequence number.
#[test]
fn a_replayed_datagram_is_dropped() {
    let mut f = converged_fleet(4, 2, 1);
    let (from, now) = (f.nodes[1].record.peer, f.now);
    let old = f.m(1).tick(now).send.remove(0);
    let to = f.nodes.iter().position(|n| n.record.peer == old.to).unwrap();
    f.inject(to, from, old.bytes.clone());
    f.run(s(5));
    let before = f.nodes[to].rejected.get("datagram_replay").copied().unwrap_or(0);

    f.inject(to, from, old.bytes);
    f.run(Duration::from_millis(1));

    assert_eq!(f.nodes[to].rejected.get("datagram_replay").copied(), Some(before + 1));
}

/// Routers restart one after the other while versions change and notes are published, which causes as many broadcasts as
/// possible. No router may exceed its byte budget in any second, and the fleet must converge.
#[test]
fn the_byte_budget_holds_under_churn() {
    let mut shape = Shape::new(24, 3, 1, 60);
    shape.member = shape.member.with_bytes_per_second(3_000);
    let mut f = Fleet::new(shape);
    f.put_in_force_everywhere(1);
    let agreed = f.wait(s(120), Fleet::agrees);
    assert!(agreed.is_some(), "the fleet did not converge: {:#?}", f.disagreements());
    for round in 0..20 {
        let (i, now) = (round * 5 % 24, f.now);
        f.start(i);
        f.put_in_force(i, 1);
        f.put_in_force((i + 1) % 24, 10 + round as u64);
        f.m((i + 2) % 24).publish(now, Topic::Suspects, vec![1; 256]).unwrap();
        f.run(s(2));
    }

    let converged = f.wait(s(60), |f| f.agrees() && f.all_in_force(29));

    assert!(converged.is_some(), "the fleet did not converge: {:#?}", f.disagreements());
    let worst = f.nodes.iter().map(|n| n.worst_window).max().unwrap();
    assert!(worst <= 3_000, "a router sent {worst} bytes within a second");
}

#[test]
fn notes_reach_all_routers_and_oversized_ones_are_rejected() {
    let mut f = converged_fleet(12, 3, 1);
    let now = f.now;

    let long = f.m(0).publish(now, Topic::Suspects, vec![0; Topic::Suspects.max_payload_bytes() + 1]);
    f.m(0).publish(now, Topic::Suspects, b"fingerprint".to_vec()).unwrap();
    f.run(s(10));

    assert!(long.is_err());
    let received = f.events.iter().filter(|(_, _, e)| {
        matches!(e, Event::Note { topic: Topic::Suspects, payload, .. } if payload == b"fingerprint")
    });
    assert_eq!(received.count(), 11);
}

#[test]
fn names_of_any_permitted_length_fit_a_datagram() {
    let long = "n".repeat(64);
    let mut f = converged_fleet(3, 3, 1);
    let record = Record {
        name: long.as_str().into(),
        data_centre: long.as_str().into(),
        region: long.as_str().into(),
        peer: SocketAddr::from(([0xfe80, 1, 2, 3, 4, 5, 6, 7], 65535)),
        ..f.nodes[0].record.clone()
    };

    let i = f.add(record);
    f.put_in_force(i, 1);
    let agreed = f.wait(s(30), Fleet::agrees);

    assert!(agreed.is_some());
}
