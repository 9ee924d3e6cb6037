//! The retry budget of several hosts together, judged by the arrivals at the backend servers.

use std::{sync::Arc, time::Duration};

use cranberrytally::relay::budget::{BudgetConfig, FleetBudget};
use proptest::prelude::*;

const CFG: BudgetConfig = BudgetConfig { ratio: 0.2, extra: 52.0, window: ms(10_000) };
/// Attempts after the first that a request makes if the budget allows them.
const MAX_RETRIES: usize = 3;

/// When schedules begin, so that there is a window before the first retry.
const START: Duration = ms(20_000);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A host whose clock starts anew with its process.
struct Host {
    budget: FleetBudget,
    clock: Duration,
}

/// Hosts with one budget, and what a service gets from them.
struct Fleet {
    service: Arc<str>,
    hosts: Vec<Host>,
    requests: Vec<Duration>,
    /// Arrivals of retries.
    arrivals: Vec<Duration>,
}

impl Fleet {
    /// Hosts that have run for long and know of each other.
    fn new(hosts: usize) -> Self {
        let host = |_| Host { budget: FleetBudget::new(CFG), clock: ms(0) };
        let mut fleet = Self {
            service: "s".into(),
            hosts: (0..hosts).map(host).collect(),
            requests: vec![],
            arrivals: vec![],
        };
        (0..hosts).for_each(|host| fleet.meet(host));
        fleet
    }

    /// The host learns of all others.
    fn meet(&mut self, host: usize) {
        let count = self.hosts.len();
        self.hosts[host].budget.set_hosts(count);
    }

    /// The host starts again, with another clock and without knowledge of the others.
    fn restart(&mut self, at: Duration, host: usize, clock: Duration) {
        let budget = FleetBudget::new(CFG).with_start(at + clock);
        self.hosts[host] = Host { budget, clock };
    }

    /// A request that its servers refuse; each attempt arrives some time after the host decides on it.
    fn refused_request(&mut self, at: Duration, host: usize, delay: Duration) {
        let Host { budget, clock } = &mut self.hosts[host];
        let now = at + *clock;
        budget.record_request(now, &self.service);
        self.requests.push(at);
        let retries = (0..MAX_RETRIES).take_while(|_| budget.spend(now, &self.service)).count();
        self.arrivals.extend(std::iter::repeat_n(at + delay, retries));
    }

    /// A request that the first server answers.
    fn request(&mut self, at: Duration, host: usize) {
        let Host { budget, clock } = &mut self.hosts[host];
        budget.record_request(at + *clock, &self.service);
        self.requests.push(at);
    }

    /// A request that is refused from the tenth second on.
    fn request_at(&mut self, at: Duration, host: usize) {
        match at >= ms(10_000) {
            true => self.refused_request(at, host, ms(3)),
            false => self.request(at, host),
        }
    }

    fn assert_within_budget(self) {
        let (from, arrived, limit) = self.worst_window();
        assert!(arrived as f64 <= limit, "{arrived} arrivals from {from:?}, {limit} allowed");
    }

    /// The window with the most arrivals beyond what the fleet may send: its start, the arrivals, and the limit. The
    /// requests count in the window, in the one before or in the one half a window before.
    fn worst_window(mut self) -> (Duration, usize, f64) {
        self.arrivals.sort();
        let of = |from: &Duration| {
            let (arrived, window) = (count_from(&self.arrivals, *from), CFG.window);
            let starts = [*from, *from - window / 2, *from - window];
            let requests =
                starts.map(|start| count_from(&self.requests, start)).into_iter().max().unwrap_or(0);
            (*from, arrived, CFG.ratio * requests as f64 + CFG.extra)
        };
        let excess = |(_, arrived, limit): &(Duration, usize, f64)| *arrived as f64 - limit;
        let windows = self.arrivals.iter().map(of);
        windows.max_by(|a, b| excess(a).total_cmp(&excess(b))).unwrap_or((ms(0), 0, CFG.extra))
    }
}

/// Number of times in the window that begins at `from`, of a sorted list.
fn count_from(times: &[Duration], from: Duration) -> usize {
    let before = |end: Duration| times.partition_point(|at| *at < end);
    before(from + CFG.window) - before(from)
}

/// Steps of 10 ms until `end`, with the host that gets a request then.
fn steps(hosts: usize, end: u64) -> impl Iterator<Item = (Duration, usize)> {
    (0..end / 10).map(move |step| (ms(step * 10), step as usize % hosts))
}

/// Guards against a host that renews its allowance by restarting while servers refuse requests.
#[test]
fn a_restart_of_all_hosts_renews_no_allowance() {
    let mut fleet = Fleet::new(6);

    for (at, host) in steps(6, 30_000) {
        if at == ms(12_000) {
            (0..6).for_each(|host| fleet.restart(at, host, ms(70_000)));
        }
        if at == ms(12_600) {
            (0..6).for_each(|host| fleet.meet(host));
        }
        fleet.request_at(at, host);
    }

    fleet.assert_within_budget();
}

/// Guards against the same in a planned restart of one host after the other.
#[test]
fn a_rolling_restart_renews_no_allowance() {
    let mut fleet = Fleet::new(6);

    for (at, host) in steps(6, 30_000) {
        let second = (at.as_millis() / 1_000) as usize;
        if at.as_millis() % 1_000 == 500 && (11..17).contains(&second) {
            fleet.restart(at, second - 11, ms(0));
            fleet.meet(second - 11);
        }
        fleet.request_at(at, host);
    }

    fleet.assert_within_budget();
}

/// Guards against hosts that restart while they hear no others, each of which would take the whole of the extra.
#[test]
fn a_host_that_does_not_know_the_fleet_takes_no_share_of_the_extra() {
    let service: Arc<str> = "s".into();
    let mut unknown = FleetBudget::new(CFG).with_start(START);
    let mut known = unknown.clone();
    known.set_hosts(6);

    let spent = [&mut unknown, &mut known].map(|budget| budget.spend(START + CFG.window, &service));

    assert_eq!(spent, [false, true]);
}

/// What happens at one moment of a random schedule.
#[derive(Clone, Debug)]
enum Event {
    Request { host: usize, refused: bool, delay_ms: u64 },
    Restart { host: usize, clock_ms: u64 },
    RestartAll { clock_ms: u64 },
    Meet { host: usize },
}

/// Events with the time until the next one: mostly requests, in phases in which servers answer or refuse.
fn events(hosts: usize) -> impl Strategy<Value = Vec<(u64, Event)>> {
    let request = (0..hosts, 0u64..400);
    let phase = (any::<bool>(), 1u64..30, prop::collection::vec(request, 1..400));
    let restart = prop_oneof![
        (0..hosts, 0u64..100_000).prop_map(|(host, clock_ms)| vec![Event::Restart { host, clock_ms }]),
        (0u64..100_000).prop_map(|clock_ms| vec![Event::RestartAll { clock_ms }]),
    ];
    let met = (0..hosts).prop_map(|host| vec![Event::Meet { host }]);
    let requests = phase.prop_map(|(refused, gap_ms, requests)| {
        let request = |(host, delay_ms)| (gap_ms, Event::Request { host, refused, delay_ms });
        requests.into_iter().map(request).collect::<Vec<_>>()
    });
    let rare = prop_oneof![restart, met]
        .prop_map(|events| events.into_iter().map(|event| (0, event)).collect::<Vec<_>>());
    prop::collection::vec(prop_oneof![2 => requests, 1 => rare], 1..40).prop_map(|parts| parts.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Guards against more arrivals than the fleet may send, however restarts, phases of refusals, knowledge of other
    /// hosts and delays on the way to the servers coincide.
    #[test]
    fn arrivals_stay_within_the_budget(events in events(6)) {
        let mut fleet = Fleet::new(6);
        let mut at = START;

        for (gap_ms, event) in events {
            at += ms(gap_ms);
            match event {
                Event::Request { host, refused: true, delay_ms } => fleet.refused_request(at, host, ms(delay_ms)),
                Event::Request { host, refused: false, .. } => fleet.request(at, host),
                Event::Restart { host, clock_ms } => fleet.restart(at, host, ms(clock_ms)),
                Event::RestartAll { clock_ms } => (0..6).for_each(|host| fleet.restart(at, host, ms(clock_ms))),
                Event::Meet { host } => fleet.meet(host),
            }
        }

        let (from, arrived, limit) = fleet.worst_window();
        prop_assert!(arrived as f64 <= limit, "{arrived} arrivals from {from:?}, {limit} allowed");
    }
}
