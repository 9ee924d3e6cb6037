//! Shares of workspaces while a service is short of capacity, in virtual time.

#[path = "support/load.rs"]
mod load;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberrytally::{
    relay::{
        measurements::{MARKER, Measurements, Topic},
        peers::Scope,
        shares::{Requester, ShareCounts, Shares, max_min::MaxMin},
    },
    schema::fleet,
    util::{Instant, Map},
};
use load::{SecondStats, Simulation, Workspaces};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Model servers behind 87 hosts in three data centres. From 3 s to 13 s the first of 24 workspaces, which has a fifth of
/// the load, sends nine times its usual load; a third of the servers is lost at 5 s.
fn surge_of_one() -> Simulation {
    let mut rates = vec![0.2];
    rates.extend([0.12, 0.1, 0.08]);
    rates.extend(vec![0.5 / 20.0; 20]);
    Simulation {
        hosts: 87,
        servers: 24,
        slots_per_server: 32,
        service_time_ms: 400.0,
        slowdown: 0.06,
        objective_ms: 1_500,
        deadline_ms: 10_000,
        state_lag_ms: 300,
        reports_load: true,
        uses_admission: true,
        surge: (1.04, 3_000, 13_000),
        lost_servers: (8, 5_000),
        ranks: vec![1],
        plain: None,
        workspaces: Some(Workspaces {
            rates,
            first_factor: 9.0,
            hosts_each: 87,
            data_centres: 3,
            message_interval_ms: 620,
            uses_shares: true,
        }),
        placement: None,
    }
}

/// Fractions of the requests of the first workspace, and of the others, that began on time in these seconds.
fn served(seconds: &[SecondStats]) -> [f64; 2] {
    let fraction = |is_counted: fn(usize) -> bool| {
        let counted = seconds.iter().flat_map(|s| &s.by_workspace).filter(|(w, _)| is_counted(**w));
        let (in_time, all) = counted.fold((0, 0), |(a, b), (_, (x, y))| (a + x, b + y));
        f64::from(in_time) / f64::from(all)
    };
    [fraction(|w| w == 0), fraction(|w| w > 0)]
}

fn with(load: &Simulation, change: impl FnOnce(&mut Workspaces)) -> Simulation {
    let mut load = load.clone();
    change(load.workspaces.as_mut().unwrap());
    load
}

/// All workspaces would lose nearly half of their service to the one that causes the shortage. Hosts that receive nothing
/// from others decide by their own requests.
#[test]
fn others_keep_their_service_when_one_workspace_surges_and_servers_are_lost() {
    for seed in SEEDS {
        let shared = surge_of_one().run(15, seed);
        let cut_off = with(&surge_of_one(), |w| w.message_interval_ms = 0).run(15, seed);
        let alike = with(&surge_of_one(), |w| w.uses_shares = false).run(15, seed);

        let [shared, cut_off, alike] = [shared, cut_off, alike].map(|seconds| served(&seconds[5..13]));
        assert!(shared[1] >= 0.95, "{shared:?}, seed {seed}");
        assert!(cut_off[1] >= 0.9, "{cut_off:?}, seed {seed}");
        assert!(alike[1] <= 0.7, "{alike:?}, seed {seed}");
        assert!(shared[0] >= 0.3, "the surging workspace keeps its share: {shared:?}, seed {seed}");
    }
}

/// Callers of a workspace that reach only some hosts: most hosts have no request of the surging one. By their own
/// measurements they would refuse the others, whose shares only the sums over all hosts show.
#[test]
fn hosts_without_requests_of_the_surging_workspace_spare_the_others() {
    for seed in SEEDS {
        let uneven = with(&surge_of_one(), |w| w.hosts_each = 20);

        let shared = served(&uneven.run(15, seed)[5..13]);
        let cut_off = served(&with(&uneven, |w| w.message_interval_ms = 0).run(15, seed)[5..13]);

        assert!(shared[1] >= 0.9 && shared[1] >= cut_off[1] + 0.1, "{shared:?} {cut_off:?}, seed {seed}");
    }
}

/// Refusals that shares move must not let more requests through than the servers can handle.
#[test]
fn the_service_finishes_as_much_as_without_shares() {
    let in_time = |load: &Simulation| load.run(15, 1)[5..13].iter().map(|s| s.in_time).sum::<u32>();

    let shared = in_time(&surge_of_one());
    let alike = in_time(&with(&surge_of_one(), |w| w.uses_shares = false));

    assert!(f64::from(shared) >= 0.95 * f64::from(alike), "{shared} of {alike}");
}

/// Guards against changes where none are wanted: in small fleets, with a single workspace, and without a shortage.
#[test]
fn decisions_stay_the_same_where_shares_do_not_apply() {
    let silent = with(&surge_of_one(), |w| w.message_interval_ms = 0);
    let small = Simulation { hosts: 15, ..silent.clone() };
    let single = with(&silent, |w| w.rates = vec![1.0]);
    let no_shortage = Simulation { surge: (0.5, 3_000, 13_000), lost_servers: (0, 0), ..silent };

    for load in [small, single, no_shortage] {
        let alike = with(&load, |w| w.uses_shares = false);
        assert!(load.run(8, 1) == alike.run(8, 1), "{load:?}");
    }
}

fn max_min(demands: &[f64], total: f64) -> MaxMin {
    MaxMin::new(demands.iter().enumerate().map(|(i, d)| (i as u32, *d)).collect::<Map<_, _>>(), total)
}

/// Otherwise the occupancy of the service would depend on who sends the requests.
#[test]
fn the_expected_number_of_refusals_stays_the_same() {
    let demands = [1.0, 2.0, 2.0, 5.0, 90.0];
    let shares = max_min(&demands, 100.0);

    for chance in [0.01, 0.3, 0.6, 0.9, 0.96, 1.0] {
        let refused: f64 = demands.iter().enumerate().map(|(i, d)| d * shares.chance(i as u32, chance)).sum();
        assert!((refused - 100.0 * chance).abs() < 1e-9, "{refused} at {chance}");
    }
    assert_eq!(shares.chance(3, 0.6), 0.0, "below its share");
    assert!(shares.chance(4, 0.9) <= 0.95, "no workspace is refused everything while others are served");
}

/// Only the largest demands are known; the others must not pay for those, nor be taken for one large workspace.
#[test]
fn demand_that_is_not_known_counts_as_the_smallest_known() {
    let shares = max_min(&[4.0, 50.0], 100.0);

    assert!(shares.share(0.8) > 4.0 && shares.chance(99, 0.2) == 0.0);
    assert!((shares.chance(99, 0.7) - shares.chance(0, 0.7)).abs() < 1e-9);
}

const fn ms(n: u64) -> Instant {
    Duration::from_millis(n)
}

/// A host that has had ten requests of a large workspace and five of small ones in half a second, most of which admission
/// control would refuse.
fn short_of_capacity(shares: &mut Shares, chance: f64) {
    let service: Arc<str> = "llm".into();
    for i in 0..15 {
        let small = format!("small-{i}");
        let workspace = if i % 3 == 0 { &small } else { "large" };
        shares.chance(ms(1_000 + 30 * i), requester(&service, workspace, 1), chance);
    }
}

fn requester<'a>(service: &'a Arc<str>, workspace: &'a str, rank: u32) -> Requester<'a> {
    Requester { service, workspace, rank, route_rank: 0 }
}

fn updated(hosts: usize, chance: f64) -> (Shares, Measurements) {
    let (mut shares, mut measurements) = Default::default();
    Shares::update(&mut shares, ms(0), hosts, &mut measurements);
    short_of_capacity(&mut shares, chance);
    shares.update(ms(1_500), hosts, &mut measurements);
    (shares, measurements)
}

/// Messages would take up control traffic without need.
#[test]
fn demand_is_told_only_during_a_shortage() {
    let mut told = [0, 1, 2].map(|i| {
        let (hosts, chance) = [(87, 0.5), (87, 0.0), (15, 0.5)][i];
        updated(hosts, chance)
    });
    let messages = told.each_mut().map(|(_, m)| m.message(ms(1_500), 1, Scope::Host));
    let (shares, measurements) = &mut told[0];
    shares.update(ms(4_000), 87, measurements);

    assert!(messages[0].as_ref().is_some_and(|m| m.amounts.len() <= 12), "{messages:?}");
    assert_eq!(messages[1..], [None, None], "no shortage, and a small fleet");
    assert_eq!(measurements.message(ms(4_000), 1, Scope::Host), None, "the shortage is over");
}

/// A host that sends a huge amount must not take the place of all real demand.
#[test]
fn a_huge_amount_is_bounded_and_logged() {
    let service: Arc<str> = "llm".into();
    let (mut shares, mut measurements) = updated(87, 0.5);
    let amount = |topic: Topic, key| fleet::Amount { topic: topic as u32, key, value: u32::MAX };
    let forged = requester(&service, "forged", 1);
    let amounts = vec![amount(Topic::WorkspaceDemand, forged.key()), amount(Topic::Arrivals, forged.group())];
    let message =
        fleet::Measurements { marker: MARKER, start: 1, number: 1, hosts: 1, amounts, ..Default::default() };

    measurements.receive(ms(1_500), SocketAddr::from(([10, 0, 0, 1], 7000)), None, "north", &message);
    shares.update(ms(1_500), 87, &mut measurements);
    let reports = shares.report(ms(1_500), &measurements);

    let forged = reports.iter().find(|r| r.is_bounded).expect("a report");
    assert!(forged.demand < 300.0 * 60.0 * 100.0 && forged.demand > forged.share, "{forged:?}");
    assert!(shares.report(ms(1_600), &measurements).is_empty(), "once per second");
}

/// More urgent requests would lose their precedence if the excess of a workspace in another rank counted for them.
#[test]
fn shares_apply_within_a_rank() {
    let service: Arc<str> = "llm".into();
    let (mut shares, _) = updated(87, 0.5);

    let large = shares.chance(ms(1_500), requester(&service, "large", 1), 0.5);
    let small = shares.chance(ms(1_500), requester(&service, "small-0", 1), 0.5);
    let urgent = shares.chance(ms(1_500), requester(&service, "large", 0), 0.25);

    assert!(large > 0.5 && small == 0.0 && urgent == 0.25, "{large} {small} {urgent}");
    assert_eq!(shares.take_counts(), ShareCounts { over_share: 1, within_share: 1 });
}

/// A restarted host knows no demand. Until its first update it decides as without shares.
#[test]
fn a_restarted_host_refuses_all_alike() {
    let service: Arc<str> = "llm".into();
    let mut shares = Shares::default();

    assert_eq!(shares.chance(ms(0), requester(&service, "large", 1), 0.5), 0.5);
}
