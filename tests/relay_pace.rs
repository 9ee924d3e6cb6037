//! Servers whose pace changes: reports, first events, placement, prefill alongside streams, and pauses between events.

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
        backends::{BackendKey, Backends, Tag},
        follow::BackendsUpdate,
        holders::Holders,
        measurements::MARKER,
        pace::{Pace, Paces},
        place::{Bound, Candidate, Choice, Placer, Reason},
        prefill::{Delays, Prefill, Prompt},
        request::Part,
    },
    schema::fleet::{Backend, Backends as List, Configuration, Measurements, ServerReport},
};
use load::{Placement, SecondStats, Simulation};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use relay_support::{RunningHost, listed};
use tokio::net::UdpSocket;
use wire::{Host, ScriptStep, Server, chunk, event, request, stream_head};

const TAG: Tag = 7;
const SERVICE: &str = "s";

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn service() -> Arc<str> {
    SERVICE.into()
}

/// Paces after a server's report at 10 s.
fn reported(percent: u32) -> Paces {
    let mut paces = Paces::default();
    paces.record_report(ms(10_000), &service(), TAG, percent, ms(10_000));
    paces
}

/// Guards against a pace that outlasts what made the server slow: it changes many times in a second, and a host of a
/// large fleet hears from a server only every few seconds.
#[test]
fn a_report_loses_its_effect_within_a_second() {
    let paces = reported(300);

    let percents = [10_000, 10_500, 11_000, 60_000].map(|at| paces.pace(ms(at), TAG).percent);

    assert_eq!(percents, [300.0, 200.0, 100.0, 100.0]);
}

/// Guards against values that make a server infinitely slow or fast, and against none that counts as one.
#[test]
fn reports_are_bounded() {
    for (percent, expected) in [(1, 25.0), (u32::MAX, 1_000.0)] {
        assert_eq!(reported(percent).pace(ms(10_000), TAG).percent, expected, "{percent}");
    }
    assert_eq!(reported(0).pace(ms(10_000), TAG), Pace::USUAL);
    assert!(!reported(0).are_reported(ms(10_000), SERVICE));
}

/// Guards against reports of other hosts that overtake newer ones, and against clocks that are ahead.
#[test]
fn only_the_newest_report_counts() {
    let mut paces = reported(300);

    paces.record_report(ms(10_100), &service(), TAG, 900, ms(9_900));
    paces.record_report(ms(10_100), &service(), TAG, 900, ms(5_000));
    let after_older = paces.pace(ms(10_100), TAG).percent;
    paces.record_report(ms(10_100), &service(), TAG, 100, ms(99_000));

    assert_eq!(after_older, 280.0);
    assert_eq!(paces.pace(ms(10_100), TAG).percent, 100.0);
}

/// Guards against a report from before a restart that counts for the new incarnation.
#[test]
fn a_restarted_server_starts_afresh() {
    let mut paces = reported(300);

    paces.forget(TAG);

    assert_eq!(paces.pace(ms(10_000), TAG), Pace::USUAL);
    assert!(paces.are_reported(ms(10_000), SERVICE));
}

/// Guards against a server that gets work because it claims to be fast.
#[test]
fn a_server_that_is_fast_only_by_its_report_is_seen_through() {
    let mut paces = reported(25);
    for _ in 0..20 {
        paces.record_first_event(ms(10_000), SERVICE, TAG + 1, 1_300, ms(25));
    }
    for _ in 0..4 {
        paces.record_first_event(ms(10_000), SERVICE, TAG, 1_300, ms(100));
    }

    let percent = paces.pace(ms(10_000), TAG).percent;

    assert!((200.0..=400.0).contains(&percent), "{percent}");
    assert_eq!(paces.pace(ms(11_100), TAG).percent, 100.0, "not for good");
}

/// Guards against a part that acts where servers say nothing of their pace.
#[test]
fn without_reports_first_events_do_not_count() {
    let mut paces = Paces::default();

    (0..20).for_each(|n| paces.record_first_event(ms(n), SERVICE, TAG, 1_300, ms(n * 50)));

    assert!(!paces.are_reported(ms(20), SERVICE));
    assert_eq!(paces.pace(ms(20), TAG), Pace::USUAL);
}

/// Nine servers with a load, their keys, and what this host knows of them.
struct Fleet {
    candidates: Vec<Candidate>,
    paces: Paces,
    prefill: Prefill,
    holders: Holders,
}

impl Fleet {
    fn new(loads: [f64; 9]) -> Self {
        let mut backends = Backends::default();
        let items = (1..=9).map(|i| listed(&"s".repeat(i), false)).collect();
        backends.apply_list(ms(0), &List { revision: 1, items, ..List::default() }, None);
        let candidates = backends.iter().zip(loads).map(|((key, b), load)| candidate(key, b.tag, load));
        let candidates = candidates.collect();
        Self { candidates, paces: Paces::default(), prefill: Prefill::default(), holders: Holders::default() }
    }

    /// All servers report their pace.
    fn report(&mut self, percent: impl Fn(BackendKey) -> u32) {
        for c in &self.candidates {
            self.paces.record_report(ms(1), &service(), c.tag, percent(c.key), ms(1));
        }
    }

    fn choose(&mut self, parts: &[Part]) -> Choice {
        let prompt = Prompt { service: SERVICE, parts, allowed_pause_ms: Some(500) };
        self.prefill.set_delays(ms(1), &self.paces, &self.holders, prompt, &mut self.candidates);
        let mut rng = SmallRng::seed_from_u64(7);
        Placer::default().choose(&self.candidates, parts, &self.holders, |_| true, &mut rng).unwrap()
    }

    fn candidate(&self, key: BackendKey) -> &Candidate {
        self.candidates.iter().find(|c| c.key == key).unwrap()
    }
}

fn candidate(key: BackendKey, tag: Tag, load: f64) -> Candidate {
    Candidate { key, tag, local: true, load, slots: 32, unhealthy: false, delays: Delays::default() }
}

fn prompt(shared_tokens: u32) -> Vec<Part> {
    vec![Part { id: 1, tokens: shared_tokens }, Part { id: 2, tokens: 1_300 }]
}

/// Guards against decisions that change where servers report nothing, or report their usual pace.
#[test]
fn nothing_changes_at_the_usual_pace() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..200 {
        let loads = [(); 9].map(|()| f64::from(rng.random_range(0..34u32)));
        let parts = if rng.random() { prompt(rng.random_range(1..12_000)) } else { Vec::new() };
        let mut fleet = Fleet::new(loads);
        if rng.random() {
            fleet.holders.insert(ms(0), 1, fleet.candidates[rng.random_range(0..9)].key);
        }

        let before = fleet.choose(&parts);
        let unreported = fleet.candidates.iter().all(|c| c.delays == Delays::default());
        fleet.report(|_| 100);
        let after = fleet.choose(&parts);

        assert!(unreported);
        assert_eq!(before, after, "{loads:?} {parts:?}");
    }
}

/// Guards against requests that follow their prompt to a slow server while another one has it as well.
#[test]
fn a_slow_holder_is_passed_by() {
    let mut fleet = Fleet::new([2.0; 9]);
    let holders: Vec<_> = fleet.candidates[..2].iter().map(|c| c.key).collect();
    holders.iter().for_each(|key| _ = fleet.holders.insert(ms(0), 1, *key));
    let usual = fleet.choose(&prompt(10_000)).key;
    fleet.report(|key| if key == usual { 400 } else { 100 });

    let choice = fleet.choose(&prompt(10_000));

    assert!(holders.contains(&choice.key) && choice.key != usual);
    assert_eq!((choice.reason, choice.cached_tokens), (Reason::Quicker, 10_000));
}

/// Guards against a long prompt that is prefilled anew although its holder, even if slow, is quicker.
#[test]
fn a_slow_holder_is_used_if_prefill_elsewhere_takes_longer() {
    let mut fleet = Fleet::new([2.0; 9]);
    let holder = fleet.candidates[0].key;
    fleet.holders.insert(ms(0), 1, holder);
    fleet.report(|key| if key == holder { 300 } else { 100 });

    assert_eq!(fleet.choose(&prompt(10_000)).key, holder);
}

/// Guards against quick servers that get more than the load bound allows, with and without prompt parts.
#[test]
fn the_load_bound_applies_to_quick_servers() {
    for parts in [prompt(10_000), Vec::new()] {
        for quick in 0..9 {
            let mut loads = [4.0; 9];
            loads[quick] = 11.0;
            let mut fleet = Fleet::new(loads);
            let key = fleet.candidates[quick].key;
            fleet.report(|k| if k == key { 25 } else { 400 });

            let choice = fleet.choose(&parts);

            let load = fleet.candidate(choice.key).load;
            assert!(load < Bound::default().at(4.0 + 7.0 / 9.0), "{load} {choice:?}");
        }
    }
}

/// Guards against two long prompts at once, or one at a slow server, whose prefill holds up the streams there.
#[test]
fn a_long_prompt_goes_where_it_delays_no_streams() {
    let mut fleet = Fleet::new([2.0; 9]);
    fleet.report(|_| 100);
    let home = fleet.choose(&prompt(10_000)).key;
    fleet.prefill.begin(home, 11_300);
    let second = fleet.choose(&prompt(10_000));
    let short = fleet.choose(&prompt(500)).key;
    let others: Vec<_> = fleet.candidates.iter().map(|c| c.key).filter(|key| *key != second.key).collect();
    others.iter().for_each(|key| fleet.prefill.begin(*key, 11_300));
    fleet.prefill.begin(second.key, 30_000);
    fleet.prefill.end(ms(1), home, 5_000);
    let least = fleet.choose(&prompt(10_000)).key;

    assert!(second.key != home && !fleet.candidate(home).unhealthy);
    assert_eq!(second.reason, Reason::Quicker);
    assert_ne!(short, home, "a short one is not held up either");
    assert!(least != second.key, "{least:?}");
}

/// Guards against tokens that stay counted after a prompt's first event or failure.
#[test]
fn prefilled_tokens_are_no_longer_ahead() {
    let key = Fleet::new([0.0; 9]).candidates[0].key;
    let mut prefill = Prefill::default();
    prefill.begin(key, 5_000);
    prefill.begin(key, 1_000);

    prefill.end(ms(100), key, 5_000);

    assert_eq!((prefill.tokens(key), prefill.recent_tokens(ms(200), key)), (1_000, 6_000));
    prefill.end(ms(300), key, 9_999);
    assert_eq!((prefill.tokens(key), prefill.recent_tokens(ms(2_000), key)), (0, 0));
}

/// The fixture's configuration, in which the resumable streams may pause for 100 ms.
fn configuration() -> Configuration {
    let mut cfg = wire::configuration();
    cfg.routes.iter_mut().filter(|r| r.resumable).for_each(|r| r.max_pause_ms = 100);
    cfg
}

/// A stream of three events with these pauses, whose server says this of its load.
fn stream(load: &str, pause: Duration) -> ScriptStep {
    let head = stream_head().replace("Response-Seal", &format!("Server-Load: {load}\r\nResponse-Seal"));
    let texts = vec![format!("{head}{}", chunk(&event(1))), chunk(&event(2)), chunk(&event(3)), chunk("")];
    ScriptStep::WriteSlowly(texts, pause)
}

/// Calls a path once for each of these streams, and returns the pauses that were counted.
async fn pauses_of(path: &str, streams: Vec<ScriptStep>) -> Vec<(String, u64)> {
    let calls = streams.len();
    let server = Server::start("i-1", streams).await;
    let host = Host::without_configuration().await;
    host.relay.set_configuration(configuration(), "test");
    host.set_servers(&[&server]);
    for _ in 0..calls {
        let answer = host.call(&request(path, "")).await;
        assert_eq!(wire::events(&answer).len(), 3, "{answer}");
    }
    host.relay.metrics().totals(Counter::RelayPauses).into_iter().collect()
}

async fn pauses(path: &str, load: &str, pause: Duration) -> Vec<(String, u64)> {
    pauses_of(path, vec![stream(load, pause)]).await
}

/// Guards against a pace that is forgotten with the next response that says nothing of it.
#[tokio::test]
async fn a_pace_in_one_response_out_of_several_counts() {
    let streams = vec![stream("3,0,6,900", ms(1)), stream("3,0,6", ms(150))];

    assert_eq!(pauses_of("/stream/x", streams).await, [("slow_server".into(), 2)]);
}

/// Guards against hosts of an earlier version that cannot read a configuration with pauses, and against hosts that do not
/// learn them from others.
#[tokio::test]
async fn hosts_tell_each_other_the_allowed_pauses() {
    let encoded = |cfg: Configuration| postcard::to_allocvec(&cfg).unwrap();
    let (first, seed) = relay_support::host("host-1", &[]).await;
    let (second, _) = relay_support::host("host-2", &[seed]).await;

    first.set_configuration(configuration(), "test");

    let pause = || second.routes().and_then(|r| r.shortest_pause_ms("app"));
    wire::wait_until("the pauses", || pause() == Some(100)).await;
    assert_eq!(encoded(configuration()), encoded(wire::configuration()));
}

/// Guards against hosts that learn only from their own requests that a server is slow: each sends it few.
#[tokio::test]
async fn a_pace_that_another_host_reports_counts() {
    let server = Server::start("i-1", [stream("3,0,6", ms(150))]).await;
    let host = RunningHost::start("host-1", &[]).await;
    let (id, addr) = (server.id.clone(), server.addr.to_string());
    let (service, data_centre) = ("app".into(), "a".into());
    let item = Backend { id, service, addr, data_centre, slots: 6, ..Backend::default() };
    let list = List { revision: 1, items: vec![item], ..List::default() };
    let mut backends = Backends::default();
    backends.apply_list(ms(0), &list, None);
    host.relay.set_configuration(configuration(), "test");
    host.relay.update_backends(BackendsUpdate::List(list), None, "test");
    let backend = backends.iter().next().unwrap().1.tag;
    let report = |backend| ServerReport { backend, load: 3, pace_percent: 900, age_ms: 10 };
    let reports = vec![report(backend + 1), report(backend)];
    let message = Measurements { marker: MARKER, start: 1, reports, ..Measurements::default() };
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();

    socket.send_to(&postcard::to_allocvec(&message).unwrap(), host.peers_at).await.unwrap();
    let mut caller = wire::Caller::connect(host.callers_at).await;
    caller.send(&request("/stream/x", "")).await;
    caller.answer().await;

    let counted: Vec<_> = host.relay.metrics().totals(Counter::RelayPauses).into_iter().collect();
    assert_eq!(counted, [("slow_server".into(), 2)]);
}

/// Guards against pauses that callers notice and no host does, and against a fourth figure that is misread.
#[tokio::test]
async fn a_pause_beyond_the_routes_limit_is_counted_with_its_cause() {
    let slow = pauses("/stream/x", "3,0,6,400", ms(150)).await;
    let usual = pauses("/stream/x", "3,0,6,100", ms(150)).await;
    let none = pauses("/stream/x", "3,0,6", ms(150)).await;
    let invalid = pauses("/stream/x", "3,0,6,4e2", ms(150)).await;

    assert_eq!(slow, [("slow_server".into(), 2)]);
    for (text, counted) in [("100", usual), ("no figure", none), ("4e2", invalid)] {
        assert_eq!(counted, [("unknown".into(), 2)], "{text}");
    }
}

/// Guards against lines about streams whose pauses are allowed or not limited.
#[tokio::test]
async fn allowed_pauses_are_not_counted() {
    assert_eq!(pauses("/stream/x", "3,0,6,400", ms(20)).await, []);
    assert_eq!(pauses("/once/x", "3,0,6,400", ms(150)).await, []);
}

/// 90 model servers behind 87 hosts at two fifths of their capacity, a fifth of them slow at any time.
fn shared_machines(reports_pace: bool) -> Simulation {
    Simulation {
        hosts: 87,
        servers: 90,
        slots_per_server: 32,
        service_time_ms: 1_400.0,
        slowdown: 0.02,
        objective_ms: 400,
        deadline_ms: 10_000,
        state_lag_ms: 300,
        reports_load: true,
        uses_admission: false,
        surge: (0.4, 0, 0),
        lost_servers: (0, u64::MAX),
        ranks: vec![1],
        placement: Some(Placement { reports_pace, slow_fraction: 0.2, allowed_pause_ms: 500 }),
        plain: None,
        workspaces: None,
    }
}

/// Fraction of first events after the objective, of events after a long pause, and of the time over the limit on loads.
struct Figures {
    late: f64,
    paused: f64,
    over_bound: f64,
}

/// Figures after the first three seconds, in which prompts are read for the first time.
fn figures(seconds: &[SecondStats]) -> Figures {
    let sum = |f: fn(&SecondStats) -> u32| seconds[3..].iter().map(|s| f64::from(f(s))).sum::<f64>();
    Figures {
        late: 1.0 - sum(|s| s.in_time) / sum(|s| s.begun),
        paused: sum(|s| s.long_pauses) / sum(|s| s.events),
        over_bound: sum(|s| s.over_bound),
    }
}

/// Guards against requests and streams that wait at slow servers although other hosts have heard that they are slow, and
/// against loads past the limit because quick servers get too much.
#[test]
fn fewer_first_events_are_late_and_fewer_streams_pause() {
    let seeds = [1, 2, 3];
    let runs = |reports_pace| {
        let run = |seed| std::thread::spawn(move || figures(&shared_machines(reports_pace).run(15, seed)));
        let all: Vec<_> = seeds.map(run).into_iter().map(|run| run.join().unwrap()).collect();
        let sum = |f: fn(&Figures) -> f64| all.iter().map(f).sum::<f64>();
        Figures { late: sum(|f| f.late), paused: sum(|f| f.paused), over_bound: sum(|f| f.over_bound) }
    };

    let (without, with) = (runs(false), runs(true));

    assert!(with.late <= 0.85 * without.late, "{} {}", with.late, without.late);
    assert!(with.paused <= 0.9 * without.paused, "{} {}", with.paused, without.paused);
    assert!(with.over_bound <= 1.1 * without.over_bound, "{} {}", with.over_bound, without.over_bound);
}
