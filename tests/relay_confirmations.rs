//! Tests in virtual time when hosts query the store for newer state, and how they merge each other's reports.

#[path = "support/relay.rs"]
mod relay_support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        confirm::{Change, CheckOrder, Confirmations, Topic, bound_from},
        followers::FollowState,
        peers::{LocalVersions, Peers},
        revision::{EpochCheck, EpochTracker, Revision},
    },
    schema::fleet::{Beat, Confirmed, Member},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The propagation bound.
const BOUND: Duration = ms(2_000);
const TIME_STEP: Duration = ms(10);
/// Interval between heartbeats.
const HEARTBEAT_PERIOD: Duration = ms(250);
/// Time for an answer of the store, and the timeout after which a lost one is given up.
const ANSWER_TIME: Duration = ms(10);
const TIMEOUT: Duration = ms(400);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 7000))
}

fn follows(position: usize) -> CheckOrder {
    CheckOrder { follows: true, position, others_fail: false }
}

fn idle(position: usize, others_fail: bool) -> CheckOrder {
    CheckOrder { follows: false, position, others_fail }
}

/// A host whose watches never return and that can't fetch from its peers: it learns of changes only by querying the
/// store.
struct Host {
    peers: Peers,
    confirmations: Confirmations,
    version: u64,
    start: u64,
    started: Duration,
    heartbeats: u64,
    next_heartbeat: Duration,
    /// Start and end of the pending query, and the version that it returns unless its answer is lost.
    pending_query: Option<(Duration, Duration, Option<u64>)>,
}

impl Host {
    fn new(i: usize, now: Duration, version: u64, start: u64) -> Self {
        Self {
            peers: Peers::new(addr(i), "a", &[]).with_start(now),
            confirmations: Confirmations::new(now, BOUND, false),
            version,
            start,
            started: now,
            heartbeats: 0,
            next_heartbeat: now,
            pending_query: None,
        }
    }

    fn own(&self) -> LocalVersions {
        LocalVersions { configuration: self.version, backends: Revision::new(1, 1), digest: 1 }
    }

    fn confirm(&mut self, at: Duration) {
        for topic in Topic::ALL {
            self.confirmations.confirm(topic, at);
        }
    }
}

/// Random faults and changes in a fleet.
#[derive(Clone, Debug)]
struct Scenario {
    hosts: usize,
    seed: u64,
    /// Pairs of sender and receiver between which heartbeats are lost.
    lost_links: Vec<(usize, usize)>,
    /// One in this many heartbeats is late, and the maximum delay in milliseconds.
    late: (u32, u64),
    /// One in this many answers of the store is lost, but never two of a host in a row.
    lost: u32,
    /// Mean interval between changes, and between restarts, in steps.
    changes: u32,
    starts: u32,
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let lost_links = |hosts| proptest::collection::vec((0..hosts, 0..hosts), 0..hosts * hosts);
    let rest = (any::<u64>(), (2_u32..40, 0_u64..3_000), 2_u32..20, 20_u32..400, 200_u32..2_000);
    (2_usize..7).prop_flat_map(move |hosts| (Just(hosts), lost_links(hosts), rest.clone())).prop_map(
        |(hosts, lost_links, (seed, late, lost, changes, starts))| Scenario {
            hosts,
            seed,
            lost_links,
            late,
            lost,
            changes,
            starts,
        },
    )
}

/// Simulates some seconds; returns the first host that lags behind by more than the bound, and when.
fn first_violation(scenario: &Scenario) -> Option<String> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut hosts: Vec<_> = (0..scenario.hosts).map(|i| Host::new(i, ms(0), 0, 1)).collect();
    let mut lost_last_answer = vec![false; scenario.hosts];
    let (mut newest, mut acked) = (1, BTreeMap::from([(1, ms(0))]));
    let mut in_flight: Vec<(Duration, usize, usize, Beat)> = Vec::new();
    let mut now = ms(0);
    while now < ms(20_000) {
        now += TIME_STEP;
        if rng.random_ratio(1, scenario.changes) {
            newest += 1;
            acked.insert(newest, now);
        }
        for i in 0..scenario.hosts {
            if rng.random_ratio(1, scenario.starts) {
                // The restarted host reads a copy of any age.
                let (version, start) = (rng.random_range(0..=newest), hosts[i].start + 1);
                hosts[i] = Host::new(i, now, version, start);
            }
            let host = &mut hosts[i];
            if let Some((asked, _, version)) = host.pending_query.take_if(|(_, ends, _)| *ends <= now)
                && let Some(version) = version
            {
                host.version = host.version.max(version);
                host.confirm(asked);
                host.next_heartbeat = now;
            }
            let order = host.peers.confirmation_turn(now, FollowState::Follows);
            if host.pending_query.is_none() && host.confirmations.next_check_at(order) <= now {
                host.confirmations.record_check(now);
                let is_lost = !lost_last_answer[i] && rng.random_ratio(1, scenario.lost);
                lost_last_answer[i] = is_lost;
                let ends = now + if is_lost { TIMEOUT } else { ANSWER_TIME };
                host.pending_query = Some((now, ends, (!is_lost).then_some(newest)));
            }
            if host.next_heartbeat <= now {
                host.next_heartbeat = now + HEARTBEAT_PERIOD;
                host.heartbeats += 1;
                let member =
                    Member { peers: addr(i).to_string(), data_centre: "a".into(), ..Member::default() };
                let beat = Beat {
                    start: host.start,
                    number: host.heartbeats,
                    ready: true,
                    configuration: host.version,
                    follows_store: true,
                    sender: Some(member),
                    confirmed: Some(host.confirmations.report(now)),
                    ..Beat::default()
                };
                for to in
                    (0..scenario.hosts).filter(|to| *to != i && !scenario.lost_links.contains(&(i, *to)))
                {
                    let late = if rng.random_ratio(1, scenario.late.0) {
                        rng.random_range(0..=scenario.late.1)
                    } else {
                        0
                    };
                    in_flight.push((now + ms(1 + late), i, to, beat.clone()));
                }
            }
        }
        let (arrived, rest) = in_flight.into_iter().partition(|(at, ..)| *at <= now);
        in_flight = rest;
        let arrived: Vec<_> = arrived;
        for (_, from, to, beat) in arrived {
            let host = &mut hosts[to];
            let own = host.own();
            let heard = host.peers.receive(now, addr(from), &beat, own);
            if !heard.stale && beat.configuration <= host.version {
                let sent = now.saturating_sub(heard.delay);
                let report = beat.confirmed.unwrap();
                for topic in Topic::ALL {
                    host.confirmations.merge(sent, topic, &report);
                }
            }
        }
        for (i, host) in hosts.iter().enumerate() {
            let due = acked.iter().filter(|(_, at)| **at + BOUND <= now).map(|(version, _)| *version).max();
            if host.started + BOUND <= now && due.is_some_and(|due| host.version < due) {
                return Some(format!("host {i} has version {} instead of {due:?} at {now:?}", host.version));
            }
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a host that lags behind by more than the bound although the store answers it.
    #[test]
    fn no_host_that_the_store_answers_is_more_than_the_bound_behind(scenario in scenarios()) {
        prop_assert_eq!(first_violation(&scenario), None);
    }
}

/// Guards against all hosts querying at once, and against none querying while the first is down.
#[test]
fn hosts_query_the_store_in_order() {
    let mut confirmed = Confirmations::new(ms(0), BOUND, false);
    confirmed.confirm(Topic::Configuration, ms(10_000));
    confirmed.confirm(Topic::Backends, ms(10_000));

    let delays: Vec<_> =
        [0, 1, 2, 300].map(|position| confirmed.next_check_at(follows(position)) - ms(10_000)).into();
    let report = confirmed.report(ms(10_760));
    confirmed.merge(ms(10_760), Topic::Configuration, &report);
    confirmed.record_check(ms(10_760));

    assert_eq!(delays, [ms(750), ms(875), Duration::from_micros(906_250), ms(1_000)]);
    assert_eq!(
        confirmed.next_check_at(follows(0)),
        ms(11_510),
        "the next query waits for the minimum interval, whatever the answer"
    );
}

/// Guards against three hundred hosts calling a store that is down because none has a recent confirmation.
#[test]
fn idle_hosts_query_late_and_staggered_during_an_outage() {
    let unconfirmed = Confirmations::new(ms(0), BOUND, false);

    let while_store_fails = [0, 1, 20].map(|position| unconfirmed.next_check_at(idle(position, true)));
    let otherwise = [0, 1, 20].map(|position| unconfirmed.next_check_at(idle(position, false)));

    assert_eq!(while_store_fails, [ms(1_250), ms(1_500), ms(6_250)]);
    assert_eq!(otherwise, [ms(1_250), ms(1_500), ms(1_750)]);
}

/// Guards against a host with a stale copy confirming its state to other hosts.
#[test]
fn an_unconfirmed_topic_confirms_nothing_on_other_hosts() {
    let (never_confirmed, mut other) =
        (Confirmations::new(ms(0), BOUND, false), Confirmations::new(ms(0), BOUND, false));

    let advanced = other.merge(ms(5_000), Topic::Configuration, &never_confirmed.report(ms(5_000)));

    assert!(!advanced && other.is_stale(ms(5_000), Topic::Configuration));
}

/// Guards against a host that was stalled and treats heartbeats that were queued in its socket as fresh.
#[test]
fn a_delayed_heartbeat_counts_as_of_its_send_time() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    let beat = |number, sent_ms| Beat {
        start: 1,
        number,
        confirmed: Some(Confirmed { sent_ms, ..Confirmed::default() }),
        ..Beat::default()
    };
    let own = LocalVersions::default();

    let first = peers.receive(ms(5_000), addr(1), &beat(1, 1_000), own).delay;
    let queued = peers.receive(ms(9_000), addr(1), &beat(2, 1_250), own).delay;
    let fresh = peers.receive(ms(9_001), addr(1), &beat(3, 5_000), own).delay;
    let restarted = peers.receive(ms(9_002), addr(1), &Beat { start: 2, ..beat(1, 10) }, own).delay;

    assert_eq!([first, queued, fresh, restarted], [ms(0), ms(3_750), ms(1), ms(0)]);
}

/// Guards against a missing report when a host has had no confirmation for long.
#[test]
fn each_transition_to_stale_and_back_is_reported_once() {
    let mut confirmed = Confirmations::new(ms(0), BOUND, false);
    confirmed.confirm(Topic::Backends, ms(4_000));

    let stale = [confirmed.changes(ms(900)), confirmed.changes(ms(1_100)), confirmed.changes(ms(1_200))];
    confirmed.confirm(Topic::Configuration, ms(3_000));
    let renewed = [confirmed.changes(ms(3_100)), confirmed.changes(ms(3_200))];

    assert_eq!(stale, [vec![], vec![Change::Stale(Topic::Configuration, ms(1_100))], vec![]]);
    assert_eq!(renewed, [vec![Change::Renewed(Topic::Configuration, ms(3_100))], vec![]]);
}

/// Guards against bounds that are missing, not a number or out of range, which could stop a host or make it call in a
/// tight loop.
#[test]
fn the_shortest_valid_bound_is_used_within_limits() {
    let bounds = [
        bound_from([Some(3_000.0), None, Some(2_500.0)]),
        bound_from([None, None, None]),
        bound_from([Some(f64::NAN), Some(4_000.0), None]),
        bound_from([Some(-5.0), None, None]),
        bound_from([Some(1e300), None, None]),
    ];

    assert_eq!(bounds, [ms(2_500), ms(2_000), ms(4_000), ms(500), ms(60_000)]);
}

/// Guards against a host that ignores the store forever because it accepted a wrong epoch.
#[test]
fn an_earlier_epoch_is_accepted_after_repeated_answers() {
    let mut epochs = EpochTracker::default();
    epochs.observe(9_000_000);

    let rejected: Vec<_> = (0..7).map(|_| epochs.observe(3)).collect();
    let rolled_back = [epochs.observe(3), epochs.observe(3)];
    let from_host = [epochs.observe_peer(9_000_000), epochs.observe_peer(4)];

    assert!(rejected.iter().all(|check| *check == EpochCheck::Rejected));
    assert_eq!(rolled_back, [EpochCheck::RolledBack, EpochCheck::Current]);
    assert_eq!((from_host, epochs.current()), ([false, true], 4));
}

/// Guards against a host that adopts an epoch far beyond the store's from another host's report.
#[test]
fn a_peer_epoch_too_far_ahead_is_rejected() {
    let mut epochs = EpochTracker::default();
    epochs.observe(3);

    let accepted =
        [epochs.observe_peer(100), epochs.observe_peer(5), epochs.observe_peer(21), epochs.observe_peer(22)];

    assert_eq!((accepted, epochs.current()), ([false, true, true, true], 22));
}
