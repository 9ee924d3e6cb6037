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

/// A settled fleet: three data centres in one region unless more are asked for.
fn settled(routers: usize, centres: usize, regions: usize) -> Fleet {
    let mut f = Fleet::new(Shape::new(routers, centres, regions, 0));
    f.put_in_force_everywhere(1);
    f.wait(s(60), Fleet::agrees).expect("the fleet settles");
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
    let mut f = settled(12, 3, 1);
    let (dead, leaving) = (name(&f, 4), name(&f, 5));

    f.kill(4);
    let now = f.now;
    f.m(5).leave(now);
    let left = f.wait(s(6), |f| f.all_hold(&leaving, |r| r.status == Status::Leaving));
    let died = f.wait(s(12), |f| f.all_hold(&dead, |r| r.status == Status::Dead));

    assert!(left.is_some(), "leaving was not known in time");
    assert!(died.is_some(), "death was not known in time");
}

/// An operator cuts the network between two halves of a fleet, and each half changes while they are apart: a router
/// of one stops, a router of the other is replaced, and a version comes into force in one half only.
/// After the cut both halves must know one truth, and no version may go back.
#[test]
fn a_partition_heals_with_both_sides_changed() {
    let mut f = settled(12, 3, 1);
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
    assert!(agreed.is_some(), "the halves did not agree again");
    assert!(f.all_hold(&dead, |r| r.status == Status::Dead));
}

/// A host is replaced: a new machine with a new name takes over the address, and the old one never said goodbye.
/// Callers would be sent to two routers of which one no longer exists; the later start at the address wins.
#[test]
fn a_host_replaced_at_the_same_address_takes_the_old_ones_place() {
    let mut f = settled(9, 3, 1);
    let old = name(&f, 3);
    let record = Record { name: "router-new".into(), ..f.nodes[3].record.clone() };
    f.kill(3);

    f.nodes[3].record = record;
    f.start(3);
    f.put_in_force(3, 1);
    let gone = f.wait(s(30), |f| f.all_hold(&old, |r| r.status == Status::Dead) && f.agrees());

    assert!(gone.is_some(), "the old router lives on: {:#?}", f.disagreements());
}

/// The same router starts again at once with a wall clock that was set back: its incarnation is too low, and what
/// it says looks old. It must learn that and come back by itself.
#[test]
fn a_router_whose_clock_went_back_rejoins() {
    let mut f = settled(6, 3, 1);
    f.kill(4);
    f.run(s(30));
    let late = f.now;
    f.now = s(500);
    f.start(4);
    f.now = late;
    f.run(s(1));
    f.put_in_force(4, 1);

    let agreed = f.wait(s(60), Fleet::agrees);

    assert!(agreed.is_some(), "the router did not come back: {:#?}", f.disagreements());
}

/// Two regions lose each other for an hour. Neither may declare the other's routers dead, or thousands of records
/// would change twice; entry answers order the far ones last because their data centres can't be heard.
#[test]
fn regions_apart_for_an_hour_declare_nobody_dead() {
    let mut f = settled(8, 4, 2);
    f.path = Box::new(|a, b| (a % 4) % 2 == (b % 4) % 2);
    f.put_in_force(0, 7);

    f.run(s(3600));
    let (apart, now) = (deaths(&f), f.now);
    let far = f.running().all(|(_, m)| {
        let far: Vec<_> = m.table().iter().filter(|x| x.record.region != m.me().region).collect();
        far.len() == 4 && far.into_iter().all(|x| !m.reachable(now, x))
    });
    f.path = Box::new(|_, _| true);
    let agreed = f.wait(s(40), |f| f.agrees() && f.all_in_force(7));

    assert_eq!(apart, 0);
    assert!(far, "the far region must count as unreachable");
    assert!(agreed.is_some(), "the regions did not agree again");
}

/// A rack loses power and takes a third of a data centre's routers with it at the same moment, among them the one
/// that reports for the data centre. The rest must find out and go on reporting.
#[test]
fn a_rack_of_routers_lost_at_once_is_known_everywhere() {
    let mut f = settled(18, 2, 1);
    let lost: Vec<_> = [0, 2, 4].map(|i| name(&f, i)).into();

    [0, 2, 4].into_iter().for_each(|i| f.kill(i));
    let known = f.wait(s(20), |f| lost.iter().all(|n| f.all_hold(n, |r| r.status == Status::Dead)));
    f.put_in_force(1, 9);
    f.run(s(25));

    assert!(known.is_some(), "the loss was not known in time");
    let told = f.running().all(|(_, m)| m.centres().all(|c| c.summary.in_force == 9));
    assert!(told, "the data centre's digest went stale with its reporter");
}

/// A router sends but receives nothing, as with a wrong filter rule. To it all others look dead, and it says so.
/// No other router may be declared dead because of that; the broken one must be.
#[test]
fn a_router_that_hears_nobody_takes_nobody_down() {
    let mut f = settled(10, 2, 1);
    let deaf = name(&f, 3);
    f.path = Box::new(|_, to| to != 3);

    let died = f.wait(s(20), |f| {
        f.running()
            .filter(|(i, _)| *i != 3)
            .all(|(_, m)| m.table().get(&deaf).is_some_and(|x| x.record.status == Status::Dead))
    });
    f.run(s(60));

    assert!(died.is_some(), "the deaf router must be found out");
    let harmed = f.running().filter(|(i, _)| *i != 3).any(|(_, m)| m.table().live_count() != 9);
    assert!(!harmed, "a healthy router was declared dead");
    assert_eq!(f.m(3).counts().deaths, 0);
}

/// A router receives but its datagrams are lost. The others must find it dead though it refutes, and take it back
/// once its datagrams pass again.
#[test]
fn a_router_that_nobody_hears_is_dead_until_it_is_heard_again() {
    let mut f = settled(10, 2, 1);
    let mute = name(&f, 3);
    f.path = Box::new(|from, _| from != 3);
    let died = f.wait(s(20), |f| {
        f.running()
            .filter(|(i, _)| *i != 3)
            .all(|(_, m)| m.table().get(&mute).is_some_and(|x| x.record.status == Status::Dead))
    });

    f.path = Box::new(|_, _| true);
    let back = f.wait(s(30), Fleet::agrees);

    assert!(died.is_some(), "a router that nobody hears must be found dead");
    assert!(back.is_some(), "it did not come back");
}

/// A virtual machine is paused for a minute and wakes up with its old view: to it no ack has come for a minute.
/// It must not declare the others dead; the gap on the boot-time clock tells it that it was away.
#[test]
fn a_paused_router_wakes_up_and_judges_nobody() {
    let mut f = settled(10, 2, 1);
    f.nodes[3].paused = true;
    f.run(s(60));
    f.events.clear();

    f.nodes[3].paused = false;
    let back = f.wait(s(30), Fleet::agrees);

    let noticed =
        f.events.iter().any(|(_, i, e)| *i == 3 && matches!(e, Event::Paused(gap) if *gap >= s(59)));
    assert!(noticed, "the pause was not noticed");
    assert!(back.is_some(), "it did not come back");
    assert_eq!(f.m(3).counts().deaths, 0);
}

/// Somebody without the key sends datagrams, and a damaged one and a huge one arrive. Each is dropped and counted
/// by its reason, and no state changes.
#[test]
fn datagrams_of_strangers_and_garbage_are_dropped_and_counted() {
    let mut f = settled(4, 2, 1);
    let from = f.nodes[1].record.peer;
    let forged = GossipKey::new("another key").seal(&claim_of_death(&f));
    let mut torn = GossipKey::new(KEY).seal(&claim_of_death(&f));
    torn.truncate(torn.len() - 1);
    let mut bad_address = claim_of_death(&f);
    bad_address.records[0].peer = "nowhere".into();

    f.inject(0, from, forged);
    f.inject(0, from, torn);
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

fn claim_of_death(f: &Fleet) -> Datagram {
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

/// An attacker, or a broken switch, sends a datagram again that a router has sent long ago, word for word and so
/// with a right key. Its acks and versions are old: it is dropped by its number.
#[test]
fn a_replayed_datagram_is_dropped() {
    let mut f = settled(4, 2, 1);
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

/// Routers restart one after the other while versions change and notes are published: as much news as there can be.
/// No second of any router may exceed its budget, no datagram the size bound, and nobody is declared dead falsely.
#[test]
fn the_byte_budget_holds_under_churn() {
    let mut shape = Shape::new(24, 3, 1, 60);
    shape.member = shape.member.with_bytes_per_second(3_000);
    let mut f = Fleet::new(shape);
    f.put_in_force_everywhere(1);
    let agreed = f.wait(s(120), Fleet::agrees);
    assert!(agreed.is_some(), "the fleet did not settle: {:#?}", f.disagreements());
    for round in 0..20 {
        let (i, now) = (round * 5 % 24, f.now);
        f.start(i);
        f.put_in_force(i, 1);
        f.put_in_force((i + 1) % 24, 10 + round as u64);
        f.m((i + 2) % 24).publish(now, Topic::Suspects, vec![1; 256]).unwrap();
        f.run(s(2));
    }

    let settled = f.wait(s(60), |f| f.agrees() && f.all_in_force(29));

    assert!(settled.is_some(), "the fleet did not settle: {:#?}", f.disagreements());
    let worst = f.nodes.iter().map(|n| n.worst_window).max().unwrap();
    assert!(worst <= 3_000, "a router sent {worst} bytes within a second");
}

#[test]
fn notes_reach_all_routers_and_a_long_one_is_refused() {
    let mut f = settled(12, 3, 1);
    let now = f.now;

    let long = f.m(0).publish(now, Topic::Suspects, vec![0; Topic::Suspects.max_payload_bytes() + 1]);
    f.m(0).publish(now, Topic::Suspects, b"fingerprint".to_vec()).unwrap();
    f.run(s(10));

    assert!(long.is_err());
    let heard = f.events.iter().filter(|(_, _, e)| {
        matches!(e, Event::Note { topic: Topic::Suspects, payload, .. } if payload == b"fingerprint")
    });
    assert_eq!(heard.count(), 11);
}

#[test]
fn names_of_any_permitted_length_fit_a_datagram() {
    let long = "n".repeat(64);
    let mut f = settled(3, 3, 1);
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
