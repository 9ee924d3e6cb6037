//! When hosts ask the store whether what they know is the newest, and what they make of each other's word, in virtual time.

#[path = "support/relay.rs"]
mod relay_support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        confirm::{Change, CheckOrder, Confirmations, Topic, propagation_bound},
        followers::FollowState,
        peers::{Own, Peers},
        revision::{EpochCheck, EpochTracker, Revision},
    },
    schema::fleet::{Beat, Confirmed, Member},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time within which changes must be in force.
const BOUND: Duration = ms(2_000);
const STEP: Duration = ms(10);
/// Time between beats.
const PERIOD: Duration = ms(250);
/// Time for an answer of the store, and after which a lost one is given up.
const ANSWER: Duration = ms(10);
const GIVEN_UP: Duration = ms(400);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 7000))
}

fn follows(before: usize) -> CheckOrder {
    CheckOrder { follows: true, before, others_fail: false }
}

fn idle(before: usize, others_fail: bool) -> CheckOrder {
    CheckOrder { follows: false, before, others_fail }
}

/// A host of a fleet whose waiting calls hear nothing and whose hosts can't fetch from each other: it learns only by asking.
struct Host {
    peers: Peers,
    confirmations: Confirmations,
    version: u64,
    start: u64,
    started: Duration,
    beats: u64,
    next_beat: Duration,
    /// When a call was made, when it ends, and the version that it brings unless its answer is lost.
    asks: Option<(Duration, Duration, Option<u64>)>,
}

impl Host {
    fn new(i: usize, now: Duration, version: u64, start: u64) -> Self {
        Self {
            peers: Peers::new(addr(i), "a", &[]).with_start(now),
            confirmations: Confirmations::new(now, BOUND, false),
            version,
            start,
            started: now,
            beats: 0,
            next_beat: now,
            asks: None,
        }
    }

    fn own(&self) -> Own {
        Own { configuration: self.version, backends: Revision::new(1, 1), digest: 1 }
    }

    fn confirm(&mut self, at: Duration) {
        for topic in Topic::ALL {
            self.confirmations.confirm(topic, at);
        }
    }
}

/// What happens to a fleet.
#[derive(Clone, Debug)]
struct Days {
    hosts: usize,
    seed: u64,
    /// Pairs of hosts between which beats are lost, from the first to the second.
    cuts: Vec<(usize, usize)>,
    /// One of so many beats is late, and by how much at most.
    late: (u32, u64),
    /// One of so many answers of the store is lost; never two of a host in a row.
    lost: u32,
    /// Mean time between changes, and between starts, in steps.
    changes: u32,
    starts: u32,
}

fn days() -> impl Strategy<Value = Days> {
    let cuts = |hosts| proptest::collection::vec((0..hosts, 0..hosts), 0..hosts * hosts);
    let rest = (any::<u64>(), (2_u32..40, 0_u64..3_000), 2_u32..20, 20_u32..400, 200_u32..2_000);
    (2_usize..7).prop_flat_map(move |hosts| (Just(hosts), cuts(hosts), rest.clone())).prop_map(
        |(hosts, cuts, (seed, late, lost, changes, starts))| Days {
            hosts,
            seed,
            cuts,
            late,
            lost,
            changes,
            starts,
        },
    )
}

/// Plays some seconds; returns the first host that is further behind than the bound, and when.
fn play(days: &Days) -> Option<String> {
    let mut rng = SmallRng::seed_from_u64(days.seed);
    let mut hosts: Vec<_> = (0..days.hosts).map(|i| Host::new(i, ms(0), 0, 1)).collect();
    let mut lost_last = vec![false; days.hosts];
    let (mut newest, mut acked) = (1, BTreeMap::from([(1, ms(0))]));
    let mut under_way: Vec<(Duration, usize, usize, Beat)> = Vec::new();
    let mut now = ms(0);
    while now < ms(20_000) {
        now += STEP;
        if rng.random_ratio(1, days.changes) {
            newest += 1;
            acked.insert(newest, now);
        }
        for i in 0..days.hosts {
            if rng.random_ratio(1, days.starts) {
                // A copy of any age.
                let (version, start) = (rng.random_range(0..=newest), hosts[i].start + 1);
                hosts[i] = Host::new(i, now, version, start);
            }
            let host = &mut hosts[i];
            if let Some((asked, _, brought)) = host.asks.take_if(|(_, ends, _)| *ends <= now)
                && let Some(version) = brought
            {
                host.version = host.version.max(version);
                host.confirm(asked);
                host.next_beat = now;
            }
            let turn = host.peers.turn(now, FollowState::Follows);
            if host.asks.is_none() && host.confirmations.next_check_at(turn) <= now {
                host.confirmations.record_check(now);
                let is_lost = !lost_last[i] && rng.random_ratio(1, days.lost);
                lost_last[i] = is_lost;
                let ends = now + if is_lost { GIVEN_UP } else { ANSWER };
                host.asks = Some((now, ends, (!is_lost).then_some(newest)));
            }
            if host.next_beat <= now {
                host.next_beat = now + PERIOD;
                host.beats += 1;
                let member =
                    Member { peers: addr(i).to_string(), data_centre: "a".into(), ..Member::default() };
                let beat = Beat {
                    start: host.start,
                    number: host.beats,
                    ready: true,
                    configuration: host.version,
                    follows_store: true,
                    sender: Some(member),
                    confirmed: Some(host.confirmations.summary(now)),
                    ..Beat::default()
                };
                for to in (0..days.hosts).filter(|to| *to != i && !days.cuts.contains(&(i, *to))) {
                    let late =
                        if rng.random_ratio(1, days.late.0) { rng.random_range(0..=days.late.1) } else { 0 };
                    under_way.push((now + ms(1 + late), i, to, beat.clone()));
                }
            }
        }
        let (arrived, rest) = under_way.into_iter().partition(|(at, ..)| *at <= now);
        under_way = rest;
        let arrived: Vec<_> = arrived;
        for (_, from, to, beat) in arrived {
            let host = &mut hosts[to];
            let own = host.own();
            let heard = host.peers.hear(now, addr(from), &beat, own);
            if !heard.old && beat.configuration <= host.version {
                let sent = now.saturating_sub(heard.late);
                let told = beat.confirmed.unwrap();
                for topic in Topic::ALL {
                    host.confirmations.merge(sent, topic, &told);
                }
            }
        }
        for (i, host) in hosts.iter().enumerate() {
            let due = acked.iter().filter(|(_, at)| **at + BOUND <= now).map(|(version, _)| *version).max();
            if host.started + BOUND <= now && due.is_some_and(|due| host.version < due) {
                return Some(format!("host {i} has {} of {due:?} at {now:?}", host.version));
            }
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// A host more than the bound behind, though the store answers it.
    #[test]
    fn no_host_that_the_store_answers_is_more_than_the_bound_behind(days in days()) {
        prop_assert_eq!(play(&days), None);
    }
}

/// All hosts of a fleet asking at once, or none while the first is gone.
#[test]
fn the_first_host_asks_and_the_others_only_where_it_does_not() {
    let mut sure = Confirmations::new(ms(0), BOUND, false);
    sure.confirm(Topic::Configuration, ms(10_000));
    sure.confirm(Topic::Backends, ms(10_000));

    let due: Vec<_> = [0, 1, 2, 300].map(|before| sure.next_check_at(follows(before)) - ms(10_000)).into();
    let told = sure.summary(ms(10_760));
    sure.merge(ms(10_760), Topic::Configuration, &told);
    sure.record_check(ms(10_760));

    assert_eq!(due, [ms(750), ms(875), Duration::from_micros(906_250), ms(1_000)]);
    assert_eq!(sure.next_check_at(follows(0)), ms(11_510), "not again at once, whatever the answer");
}

/// Three hundred hosts calling a store that is away, since none of them is sure any more.
#[test]
fn hosts_that_leave_the_store_to_others_ask_late_and_few_at_a_time_while_it_fails() {
    let unsure = Confirmations::new(ms(0), BOUND, false);

    let while_it_fails = [0, 1, 20].map(|before| unsure.next_check_at(idle(before, true)));
    let else_by = [0, 1, 20].map(|before| unsure.next_check_at(idle(before, false)));

    assert_eq!(while_it_fails, [ms(1_250), ms(1_500), ms(6_250)]);
    assert_eq!(else_by, [ms(1_250), ms(1_500), ms(1_750)]);
}

/// A host that has read a copy telling others that it knows all changes.
#[test]
fn what_was_never_confirmed_confirms_nothing_elsewhere() {
    let (copied, mut other) =
        (Confirmations::new(ms(0), BOUND, false), Confirmations::new(ms(0), BOUND, false));

    let is_news = other.merge(ms(5_000), Topic::Configuration, &copied.summary(ms(5_000)));

    assert!(!is_news && other.is_stale(ms(5_000), Topic::Configuration));
}

/// A host that stood still taking beats that waited in its socket meanwhile for fresh ones.
#[test]
fn a_beat_that_comes_late_tells_of_the_time_when_it_was_sent() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    let beat = |number, sent_ms| Beat {
        start: 1,
        number,
        confirmed: Some(Confirmed { sent_ms, ..Confirmed::default() }),
        ..Beat::default()
    };
    let own = Own::default();

    let first = peers.hear(ms(5_000), addr(1), &beat(1, 1_000), own).late;
    let queued = peers.hear(ms(9_000), addr(1), &beat(2, 1_250), own).late;
    let fresh = peers.hear(ms(9_001), addr(1), &beat(3, 5_000), own).late;
    let restarted = peers.hear(ms(9_002), addr(1), &Beat { start: 2, ..beat(1, 10) }, own).late;

    assert_eq!([first, queued, fresh, restarted], [ms(0), ms(3_750), ms(1), ms(0)]);
}

/// Nobody seeing that a host has had no word for long.
#[test]
fn what_grows_old_and_is_renewed_is_told_once_each() {
    let mut sure = Confirmations::new(ms(0), BOUND, false);
    sure.confirm(Topic::Backends, ms(4_000));

    let old = [sure.changes(ms(900)), sure.changes(ms(1_100)), sure.changes(ms(1_200))];
    sure.confirm(Topic::Configuration, ms(3_000));
    let renewed = [sure.changes(ms(3_100)), sure.changes(ms(3_200))];

    assert_eq!(old, [vec![], vec![Change::Stale(Topic::Configuration, ms(1_100))], vec![]]);
    assert_eq!(renewed, [vec![Change::Renewed(Topic::Configuration, ms(3_100))], vec![]]);
}

/// Bounds that are missing, no number or out of all reason stopping a host, or making it call without end.
#[test]
fn the_shortest_bound_counts_within_reason() {
    let bounds = [
        propagation_bound([Some(3_000.0), None, Some(2_500.0)]),
        propagation_bound([None, None, None]),
        propagation_bound([Some(f64::NAN), Some(4_000.0), None]),
        propagation_bound([Some(-5.0), None, None]),
        propagation_bound([Some(1e300), None, None]),
    ];

    assert_eq!(bounds, [ms(2_500), ms(2_000), ms(4_000), ms(500), ms(60_000)]);
}

/// A host deaf for good, since it took a wrong number for the store's epoch.
#[test]
fn an_earlier_epoch_counts_once_the_store_tells_nothing_else() {
    let mut epochs = EpochTracker::default();
    epochs.observe(9_000_000);

    let odd: Vec<_> = (0..7).map(|_| epochs.observe(3)).collect();
    let settled = [epochs.observe(3), epochs.observe(3)];
    let from_host = [epochs.observe_peer(9_000_000), epochs.observe_peer(4)];

    assert!(odd.iter().all(|heard| *heard == EpochCheck::Rejected));
    assert_eq!(settled, [EpochCheck::RolledBack, EpochCheck::Current]);
    assert_eq!((from_host, epochs.current()), ([false, true], 4));
}

/// A host that is led to an epoch far from the store's by another host's word.
#[test]
fn a_host_is_not_believed_that_tells_of_restores_without_end() {
    let mut epochs = EpochTracker::default();
    epochs.observe(3);

    let told =
        [epochs.observe_peer(100), epochs.observe_peer(5), epochs.observe_peer(21), epochs.observe_peer(22)];

    assert_eq!((told, epochs.current()), ([false, true, true, true], 22));
}
