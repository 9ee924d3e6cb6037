//! Plain services that report no load, behind many hosts and past their capacity.

#[path = "support/load.rs"]
mod load;
#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{sync::Arc, time::Duration};

use cranberrytally::{
    metrics::Counter,
    relay::{
        admission::{Admission, AdmissionRequest, ServiceLoad},
        measurements::{Measurements, Topic, key},
        mesh,
        peers::Scope,
        plain::{
            Counts, MIN_HOSTS, PlainService,
            repeats::{Repeat, Repeats, Tally},
        },
    },
};
use load::{Plain, SecondStats, Simulation};
use tokio::net::UdpSocket;
use wire::{Host, ScriptStep, Server, answer, request, status, wait_until};

const SEEDS: [u64; 3] = [1, 2, 3];
const SURGE: (u64, u64) = (3, 15);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Four servers behind 87 hosts in three data centres; usually 196 requests a second, three times as many from the moment
/// at which one of the servers is lost.
fn surge() -> Simulation {
    Simulation {
        hosts: 87,
        servers: 4,
        slots_per_server: 6,
        service_time_ms: 60.0,
        slowdown: 0.0,
        objective_ms: 300,
        deadline_ms: 3_000,
        state_lag_ms: 1_000,
        reports_load: false,
        uses_admission: true,
        surge: (1.47, SURGE.0 * 1_000, SURGE.1 * 1_000),
        lost_servers: (1, SURGE.0 * 1_000),
        ranks: vec![1],
        workspaces: None,
        plain: Some(Plain {
            usual_load: 0.49,
            queue: 24,
            message_interval_ms: Some(620),
            failing_servers: 0,
        }),
        placement: None,
    }
}

/// The same with hosts that learn alone.
fn alone(load: &Simulation) -> Simulation {
    Simulation { plain: load.plain.map(|p| Plain { message_interval_ms: None, ..p }), ..load.clone() }
}

/// Calls in time and late during the surge.
fn results(seconds: &[SecondStats]) -> (u32, u32) {
    let surge = &seconds[SURGE.0 as usize..SURGE.1 as usize];
    (surge.iter().map(|s| s.in_time).sum(), surge.iter().map(|s| s.late).sum())
}

/// Each host sees a few results a second, and others' requests in progress are a second old: hosts that decide by these
/// alone all refuse at once and all admit at once.
#[test]
fn hosts_that_learn_together_serve_more_in_time() {
    for seed in SEEDS {
        let load = surge();

        let together = results(&load.run(18, seed));
        let alone = results(&alone(&load).run(18, seed));

        println!("together {together:?}, alone {alone:?}, capacity {}, seed {seed}", load.capacity(1) * 12.0);
        assert!(f64::from(together.0) >= 1.2 * f64::from(alone.0), "{together:?}, {alone:?}, seed {seed}");
        assert!(f64::from(together.1) <= 0.6 * f64::from(alone.1), "{together:?}, {alone:?}, seed {seed}");
        assert!(f64::from(together.0) >= 0.75 * 12.0 * load.capacity(1), "{together:?}, seed {seed}");
    }
}

/// A server that responds to everything with an error at once takes a third of what is admitted; the others' limit must not
/// shrink with each of its responses that isn't counted.
#[test]
fn a_server_that_always_fails_does_not_lower_the_limit_of_the_others() {
    for seed in SEEDS {
        let plain = surge().plain.map(|p| Plain { failing_servers: 1, ..p });
        let load = Simulation { plain, lost_servers: (0, 0), ..surge() };

        let together = results(&load.run(18, seed));

        assert!(f64::from(together.0) >= 0.7 * 12.0 * load.capacity(1), "{together:?}, seed {seed}");
    }
}

/// More urgent requests keep their precedence, and the least urgent get some of the capacity.
#[test]
fn ranks_keep_their_precedence() {
    let load = Simulation { ranks: vec![0, 1, 2], surge: (1.2, 3_000, 15_000), ..surge() };

    let seconds = load.run(18, 1);

    let share = |rank: u32| {
        let ranks = seconds[4..15].iter().map(|s| s.by_rank.get(&rank).copied().unwrap_or_default());
        let (in_time, asked) = ranks.fold((0, 0), |(a, b), (x, y)| (a + x, b + y));
        f64::from(in_time) / f64::from(asked)
    };
    let shares = [0, 1, 2].map(share);
    println!("{shares:?}");
    assert!(shares[0] >= shares[1] && shares[1] >= shares[2], "{shares:?}");
    assert!(shares[2] >= 0.15, "{shares:?}");
}

/// Where no limit is learned together, nothing changes: in small fleets, and where servers report their load.
#[test]
fn decisions_elsewhere_are_the_same_as_before() {
    let small = Simulation { hosts: MIN_HOSTS as usize - 1, ..surge() };
    let reporting = Simulation { reports_load: true, ..surge() };

    for load in [small, reporting] {
        assert_eq!(load.run(18, 1), alone(&load).run(18, 1));
    }
}

/// Below the capacity no host refuses anything.
#[test]
fn nothing_is_refused_below_the_capacity() {
    let load = Simulation { surge: (0.9, 3_000, 15_000), lost_servers: (0, 0), ..surge() };

    let seconds = load.run(18, 1);

    let asked: u32 = seconds[3..15].iter().map(|s| s.new_requests).sum();
    let (in_time, late) = results(&seconds);
    assert!(f64::from(in_time + late) >= 0.97 * f64::from(asked), "{in_time} and {late} of {asked}");
}

const SATURATED: Counts = Counts { arrivals: 600, results: 300, late: 150 };

/// A service whose hosts have counted this much each second from the first second to the given one.
fn service(counts: Counts, hosts: u32, seconds: u64) -> PlainService {
    let mut service = PlainService::default();
    for n in 10..=seconds * 10 {
        service.adjust(ms(n * 100), counts, hosts);
    }
    service
}

/// Sums arrive late and contain the same late results several times; a limit that fell with each of them would leave
/// servers idle.
#[test]
fn the_same_results_lower_the_limit_once() {
    let limit = |seconds| service(SATURATED, 87, seconds).limit().unwrap();

    assert_eq!((limit(2) - 285.0).round(), 0.0, "a twentieth below the results");
    assert_eq!((limit(20) - 285.0).round(), 0.0, "however often they are seen");
}

/// A restarted host knows no limit, and one that is cut off hears no others: neither may refuse by what it doesn't
/// know.
#[test]
fn a_host_without_the_counts_of_others_has_no_shared_limit() {
    let mut cut_off = service(SATURATED, 87, 2);
    cut_off.adjust(ms(2_100), Counts::default(), 1);

    assert_eq!(cut_off.limit(), None);
    assert_eq!(PlainService::default().limit(), None);
    assert_eq!(service(SATURATED, MIN_HOSTS - 1, 5).limit(), None);
    assert!(service(SATURATED, MIN_HOSTS, 1).limit().is_some(), "a restarted host learns it at once");
}

/// Servers that hang return nothing: the last limit says nothing about them any more.
#[test]
fn the_limit_is_dropped_when_results_never_arrive() {
    let mut service = service(SATURATED, 87, 2);

    let limit_at = |service: &mut PlainService, at| {
        service.adjust(ms(at), Counts { arrivals: 600, ..Counts::default() }, 87);
        service.limit()
    };

    assert!(limit_at(&mut service, 4_000).is_some());
    assert_eq!(limit_at(&mut service, 5_200), None);
}

/// A host that reports nonsense must not stop the service or make the arithmetic overflow.
#[test]
fn forged_counts_do_not_stop_a_service() {
    let forged = Counts { arrivals: u32::MAX, results: u32::MAX, late: u32::MAX };
    let (service, mut admission) = (Arc::from("s"), Admission::default());
    let load = ServiceLoad { own: 1, all: 20, slots: 18 };
    let (objective, time_left) = (ms(300), ms(3_000));
    let request = AdmissionRequest { route: 1, rank: 1, route_rank: 1, objective, time_left, load };
    let limited = Counts { arrivals: u32::MAX, ..SATURATED };

    let mut admitted = |counts, from| {
        let admit = |n: &u64| {
            let now = ms(from + n * 20);
            admission.adjust_plain(now, &service, counts, u32::MAX);
            admission.admit(now, &service, request, [0.5, 0.5]).is_ok()
        };
        (0..1_000).filter(admit).count()
    };

    assert!(admitted(forged, 1_000) >= 800, "a twentieth below the arrivals that it sees itself");
    assert!(admitted(limited, 21_000) >= 15, "a fiftieth");
}

/// Some requests fail at every server: their repeats must stop, be tried again now and then, and resume once they help.
#[test]
fn errors_are_repeated_only_where_that_has_helped_lately() {
    let mut repeats = Repeats::default();
    let decide = |repeats: &mut Repeats, at, draw| repeats.decide(ms(at), "r", Tally::default(), draw);
    assert_eq!(decide(&mut repeats, 0, 0.5), Repeat::Useful, "nothing known");

    (0..4).for_each(|n| repeats.record(ms(n), "r", false));
    assert_eq!(decide(&mut repeats, 10, 0.5), Repeat::Useless);
    assert_eq!(decide(&mut repeats, 10, 0.05), Repeat::Probe);
    assert_eq!(repeats.decide(ms(10), "other", Tally::default(), 0.5), Repeat::Useful);

    (0..4).for_each(|n| repeats.record(ms(20 + n), "r", true));
    assert_eq!(decide(&mut repeats, 30, 0.5), Repeat::Useful);
    (0..9).for_each(|n| repeats.record(ms(40 + n), "r", false));
    assert_eq!(decide(&mut repeats, 60_000, 0.5), Repeat::Useful, "long ago");
}

/// A host sees few errors; without what the others tell, each would make useless repeats of its own first.
#[test]
fn the_repeats_of_other_hosts_count() {
    let mut other = Repeats::default();
    (0..4).for_each(|n| other.record(ms(n), "r", false));
    let told = other.tallies(ms(10))[0].1;

    assert_eq!(Repeats::default().decide(ms(10), "r", told, 0.5), Repeat::Useless);
    let forged = Tally { made: 0, failed: u32::MAX };
    assert_eq!(Repeats::default().decide(ms(10), "r", forged, 0.5), Repeat::Useful);
    assert_eq!(other.tallies(ms(60_000))[0].1, Tally::default());
    assert_eq!(other.tallies(ms(60_000)), [], "forgotten once told");
}

/// Makes a host receive what enough others measure for it to count as one of a large fleet.
async fn join_fleet(host: &Host) {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let addr = socket.local_addr().unwrap();
    tokio::spawn(mesh::receive_heartbeats(host.relay.clone(), socket));
    for _ in 1..MIN_HOSTS {
        let mut other = Measurements::default();
        other.set(Topic::Results, key("app", ()), 1);
        let message = other.message(ms(0), 1, Scope::Host).unwrap();
        let from = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        from.send_to(&postcard::to_allocvec(&message).unwrap(), addr).await.unwrap();
    }
    wait_until("the measurements of the others", || host.relay.measured_hosts() == MIN_HOSTS).await;
}

/// Repeats of a request that fails at every server take capacity and budget; its caller must get the server's own
/// response instead.
#[tokio::test]
async fn an_error_is_delivered_unchanged_where_repeats_do_not_help() {
    let failing = |body| [ScriptStep::Write(answer("507 Insufficient Storage", body))];
    let servers =
        [Server::start("i-1", failing("disk 1")).await, Server::start("i-2", failing("disk 2")).await];
    let host = Host::with_servers(&[&servers[0], &servers[1]]).await;
    join_fleet(&host).await;

    for _ in 0..12 {
        let answer = host.call(&request("/safe/x", "")).await;
        assert!(status(&answer) == 507 && answer.contains("\r\n\r\ndisk "), "{answer}");
    }

    let total = |counter, value: &str| host.relay.metrics().totals(counter).get(value).copied().unwrap_or(0);
    let (repeated, useless) =
        (total(Counter::RelayRetries, "errored"), total(Counter::RelayPlain, "repeat_useless"));
    let sent: usize = servers.iter().map(|s| s.requests().len()).sum();
    assert!(useless > 0 && repeated > 0, "{useless} useless, {repeated} repeated");
    assert_eq!(sent as u64, 12 + repeated);
}
