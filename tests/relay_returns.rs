//! Reserved capacity for callers that return after a refusal.

#[allow(dead_code, reason = "the tests of overload use the rest")]
#[path = "support/load.rs"]
mod load;

use std::{sync::Arc, time::Duration};

use cranberrytally::{
    relay::{
        admission::{AdmissionRequest, Refused, ServiceLoad},
        measurements::{Measurements, Topic, key},
        peers::Scope,
        returns::{Event, MIN_HOSTS, Moment, Returns, SLOT_MS},
    },
    util::Instant,
};
use load::{Returning, SecondStats, Simulation};

const SEEDS: [u64; 3] = [1, 2, 3];
/// A multiple of the slot.
const WALL_MS: u64 = 1_700_000_000_000;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Model servers behind many hosts, with three times the load that they can handle for eight seconds.
fn fleet() -> Simulation {
    Simulation {
        hosts: 87,
        servers: 24,
        slots_per_server: 16,
        service_time_ms: 250.0,
        slowdown: 0.06,
        objective_ms: 800,
        deadline_ms: 10_000,
        state_lag_ms: 400,
        reports_load: true,
        uses_admission: true,
        surge: (3.0, 3_000, 11_000),
        lost_servers: (0, 0),
        ranks: vec![1],
        plain: None,
        workspaces: None,
        placement: None,
    }
}

fn callers() -> Returning {
    Returning {
        is_on: true,
        deadlines_ms: vec![2_500, 5_000, 8_000, 12_000],
        interval_ms: 620,
        clock_error_ms: 0,
        returning_fraction: 1.0,
    }
}

/// Numbers of callers that were served, refused twice, and served on time.
fn totals(load: &Simulation, callers: &Returning, seed: u64) -> [f64; 3] {
    let add =
        |sum: [u32; 3], s: &SecondStats| [sum[0] + s.served, sum[1] + s.refused_twice, sum[2] + s.in_time];
    load.run_returning(20, seed, Some(callers)).iter().fold([0; 3], add).map(f64::from)
}

fn on_and_off(load: &Simulation, callers: &Returning, seed: u64) -> [[f64; 3]; 2] {
    let off = Returning { is_on: false, ..callers.clone() };
    let both = [totals(load, callers, seed), totals(load, &off, seed)];
    println!(
        "{} hosts, surge {:?}, seed {seed}: on {:?}, off {:?}",
        load.hosts, load.surge, both[0], both[1]
    );
    both
}

/// Returning callers met the surge again, or each other, while capacity after the surge stayed free.
#[test]
fn more_callers_are_served_and_about_as_many_on_time() {
    let runs = SEEDS.map(|seed| on_and_off(&fleet(), &callers(), seed));
    let [[served, twice, on_time], off] =
        [0, 1].map(|i| [0, 1, 2].map(|k| runs.map(|run| run[i][k]).iter().sum()));
    let off: [f64; 3] = off;

    assert!(served >= 1.02 * off[0], "served {served}, {off:?}");
    assert!(twice <= 0.98 * off[1], "refused twice {twice}, {off:?}");
    assert!(on_time >= 0.97 * off[2], "on time {on_time}, {off:?}");
}

/// Hosts that hear nothing, clocks that differ by seconds, and callers that don't return must not serve fewer callers
/// than delays drawn at random do.
#[test]
fn failures_leave_it_no_worse() {
    let failures = [
        ("no messages", Returning { interval_ms: 0, ..callers() }),
        ("clocks", Returning { clock_error_ms: 4_000, ..callers() }),
        ("callers that don't return", Returning { returning_fraction: 0.5, ..callers() }),
    ];
    for (what, callers) in failures {
        let [on, off] = on_and_off(&Simulation { servers: 12, ..fleet() }, &callers, 1);

        assert!(on[0] >= off[0] && on[2] >= 0.96 * off[2], "{what}: {on:?} {off:?}");
    }
}

#[test]
fn nothing_changes_without_refusals_or_in_a_small_fleet() {
    let quiet = Simulation { surge: (0.5, 3_000, 6_000), ..fleet() };
    let small = Simulation { hosts: MIN_HOSTS - 1, servers: 6, ..fleet() };
    for load in [quiet, small] {
        let [on, off] = on_and_off(&load, &callers(), 1);

        assert_eq!(on, off);
    }
}

fn moment(at: Instant) -> Moment {
    Moment { now: at, wall_ms: WALL_MS + at.as_millis() as u64, hosts: 20 }
}

fn request(time_left: Duration) -> AdmissionRequest {
    let load = ServiceLoad { own: 5, all: 100, slots: 100 };
    AdmissionRequest { route: 1, rank: 1, route_rank: 1, objective: ms(600), time_left, load }
}

fn refused(chance: f64) -> Refused {
    Refused { retry_after: ms(300), occupancy: 1.2, limit: 1.0, chance }
}

/// A host and what it has measured.
#[derive(Default)]
struct Host {
    returns: Returns,
    measurements: Measurements,
}

impl Host {
    /// A request arrives and is decided on; returns the advantage it had and the retry delay.
    fn decide(
        &mut self,
        at: Instant,
        time_left: Duration,
        decision: Result<(), Refused>,
    ) -> (f64, Option<Duration>) {
        let (service, req, at): (Arc<str>, _, _) = ("llm".into(), request(time_left), moment(at));
        let arrival = self.returns.arrive(at, &service, &req, &self.measurements, 0.0);
        let decided =
            self.returns.settle(at, &service, &req, arrival, decision, (&mut self.measurements, 0.5));
        (arrival.advantage, decided.err().map(|refused| refused.retry_after))
    }

    fn refuse(&mut self, at: Instant, time_left: Duration) -> Duration {
        self.decide(at, time_left, Err(refused(0.9))).1.unwrap()
    }

    fn promised(&self, slots_ahead: u64) -> u32 {
        self.measurements.own(Topic::PromisedReturns, key("llm", WALL_MS / SLOT_MS + slots_ahead))
    }
}

/// Callers refused together must not come back together, nor later than they wait.
#[test]
fn refused_callers_are_spread_over_their_reach() {
    let mut host = Host::default();

    let delays: Vec<_> = (0..5).map(|_| host.refuse(ms(0), ms(6_000))).collect();

    assert!(delays.iter().all(|delay| *delay <= ms(2_000)), "{delays:?}");
    let promised = [1, 2, 3, 4].map(|slot| host.promised(slot));
    assert!(
        promised.iter().all(|n| (1..=2).contains(n)) && promised.iter().sum::<u32>() == 5,
        "{promised:?}"
    );
    assert_eq!(host.refuse(ms(0), ms(300)), ms(300), "reaches no further slot");
    assert_eq!(
        host.decide(ms(0), ms(6_000), Err(refused(0.3))).1,
        Some(ms(300)),
        "has a fair chance at once"
    );
}

/// Lets a host hear from twelve others, all of which promise this in these slots ahead.
fn hear(host: &mut Host, slots: std::ops::RangeInclusive<u64>, promised: u32) {
    let mut other = Measurements::default();
    for slot in slots {
        other.set(Topic::PromisedReturns, key("llm", WALL_MS / SLOT_MS + slot), promised);
    }
    let message = other.message(ms(0), 1, Scope::Host).unwrap();
    for i in 2..14 {
        host.measurements.receive(ms(0), ([10, 0, 0, i], 7_000).into(), None, "a", &message);
    }
}

/// Slots that other hosts have promised are left to them, until they are lost.
#[test]
fn promises_of_other_hosts_count_until_they_are_lost() {
    for slots in [1..=2, 3..=4] {
        let mut host = Host::default();
        hear(&mut host, slots.clone(), 5);
        let promised = |host: &Host| slots.clone().map(|slot| host.promised(slot)).sum::<u32>();

        host.refuse(ms(0), ms(6_000));
        host.refuse(ms(0), ms(6_000));
        let before = promised(&host);
        host.measurements.expire(ms(3_001));
        host.refuse(ms(0), ms(6_000));
        host.refuse(ms(0), ms(6_000));

        assert_eq!((before, promised(&host)), (0, 2));
    }
}

/// Forged amounts must neither delay callers beyond what they wait nor leave them without a time.
#[test]
fn huge_amounts_leave_callers_a_time_within_reach() {
    let mut host = Host::default();
    hear(&mut host, 1..=8, u32::MAX);

    let delays: Vec<_> = (0..32).map(|_| host.refuse(ms(0), ms(12_000))).collect();

    assert!(delays.iter().all(|delay| *delay > ms(0) && *delay <= ms(4_000)), "{delays:?}");
}

#[test]
fn promises_that_are_past_or_of_a_wrong_clock_are_dropped() {
    let mut host = Host::default();
    host.refuse(ms(0), ms(1_000));
    host.refuse(ms(3_600_000), ms(1_000));

    host.returns.expire(WALL_MS + 2 * SLOT_MS, &mut host.measurements);

    assert_eq!(host.measurements.message(ms(0), 1, Scope::Host), None);
}

/// During the surge a reserved place would be taken from a request that can be on time; after it, from one that can
/// return itself.
#[test]
fn capacity_is_reserved_for_promised_returns_after_the_surge() {
    let mut host = Host::default();
    for i in 0..20 {
        host.refuse(ms(i), ms(12_000));
        host.decide(ms(i), ms(12_000), Ok(()));
    }
    let during = host.decide(ms(600), ms(9_000), Err(refused(0.9))).0;
    for i in 0..20 {
        host.decide(ms(2_000 + i), ms(9_000), Ok(()));
    }

    let after = host.decide(ms(2_100), ms(9_000), Ok(())).0;
    let new = host.decide(ms(2_100), ms(12_000), Ok(())).0;
    let too_late = host.decide(ms(2_100), ms(500), Err(refused(0.9))).0;

    assert_eq!((during, new, too_late), (0.0, 0.0, 0.0));
    // 0.5 make up for being overdue; a rank is worth 0.2 or more.
    assert!(after > 0.5 && after <= 0.7, "{after}");
    let counts: Vec<_> = host.returns.take_counts().collect();
    assert!(
        counts.contains(&(Event::Returned, 21)) && counts.contains(&(Event::ReturnedRefused, 2)),
        "{counts:?}"
    );
    assert_eq!(host.returns.take_promises().len(), 1);
}
