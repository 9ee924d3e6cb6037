//! Engines' liveness and load: no single router's finding takes an engine away, a sign of leaving does at once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberrytally::{
    client::Client,
    http::{Limits, Server},
    probe::{EngineSpec, EngineTable, PROBE_WIRE_BYTES, PROBERS_PER_ENGINE, ProbeConfig, ProbeResult, State},
    standin::{engine::EngineStandin, outside::loopback},
    util::Instant,
};
use http::Method;

#[path = "../benches/membership/fleet.rs"]
mod fleet;

use fleet::{Fleet, Shape};

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

const UP: ProbeResult = ProbeResult::Answer { start: 1, running: 3, leaving: false };

fn spec(i: usize) -> EngineSpec {
    EngineSpec {
        name: format!("engine-{i}").into(),
        addr: SocketAddr::from(([10, 0, 1, i as u8], 80)),
        data_centre: "dc".into(),
        leaving: false,
    }
}

fn routers(n: usize) -> Vec<Arc<str>> {
    (0..n).map(|i| format!("router-{i}").into()).collect()
}

/// Views of `n` routers on the same engines.
fn views(n: usize, engines: usize) -> Vec<EngineTable> {
    let build = |name: Arc<str>| {
        let mut e = EngineTable::new(name, "dc".into(), 1_000, ProbeConfig::default());
        e.set_engines(s(0), (0..engines).map(spec));
        e.set_probers(s(0), routers(n));
        e
    };
    routers(n).into_iter().map(build).collect()
}

/// Lets every view learn what view `from` has found.
fn tell(views: &mut [EngineTable], from: usize, now: Instant) {
    let name = routers(views.len())[from].clone();
    let report = views[from].report(0, 10_000);
    let events = views[from].take_events();
    for (i, v) in views.iter_mut().enumerate() {
        if i == from {
            continue;
        }
        if let Some(report) = &report {
            v.merge_report(now, &name, report);
        }
        for e in &events {
            v.merge_event(now, e);
        }
    }
}

fn probers(views: &mut [EngineTable], engine: &str) -> Vec<usize> {
    let due = |v: &mut EngineTable| v.due_probes(s(100)).iter().any(|p| &*p.engine == engine);
    (0..views.len()).filter(|&i| due(&mut views[i])).collect()
}

#[test]
fn each_engine_is_probed_by_a_few_routers_and_the_work_is_even() {
    let views = views(10, 100);

    let shares: Vec<_> = views.iter().map(EngineTable::assigned_count).collect();

    assert_eq!(shares.iter().sum::<usize>(), 100 * PROBERS_PER_ENGINE);
    assert!(shares.iter().all(|n| (15..45).contains(n)), "{shares:?}");
}

/// The link of one router to one engine breaks. The engine is well, and taking it away would throw its load on the
/// others; only the router that can't reach it goes round it.
#[test]
fn an_engine_that_one_router_cant_reach_stays_up_for_the_rest() {
    let mut all = views(5, 1);
    let probers = probers(&mut all, "engine-0");
    for &i in &probers[1..] {
        all[i].on_probe_result(s(100), "engine-0", UP);
        tell(&mut all, i, s(100));
    }

    all[probers[0]].on_probe_result(s(101), "engine-0", ProbeResult::Unreachable);
    all[probers[0]].on_probe_result(s(102), "engine-0", ProbeResult::Unreachable);
    tell(&mut all, probers[0], s(102));

    for (i, v) in all.iter().enumerate() {
        let view = v.view(s(103), "engine-0").unwrap();
        assert_eq!(view.state, State::Up, "router {i}");
        assert_eq!(view.reachable, i != probers[0], "router {i}");
    }
}

#[test]
fn an_engine_that_most_probers_cant_reach_is_down_for_all_until_one_does() {
    let mut all = views(5, 1);
    let probers = probers(&mut all, "engine-0");
    for &i in &probers {
        all[i].on_probe_result(s(100), "engine-0", UP);
        tell(&mut all, i, s(100));
    }

    all[probers[0]].on_probe_result(s(101), "engine-0", ProbeResult::Unreachable);
    all[probers[0]].on_probe_result(s(102), "engine-0", ProbeResult::Unreachable);
    tell(&mut all, probers[0], s(102));
    // The second is asked at once and needs no second failure of its own.
    assert!(all[probers[1]].due_probes(s(102)).iter().any(|p| &*p.engine == "engine-0"));
    all[probers[1]].on_probe_result(s(103), "engine-0", ProbeResult::Unreachable);
    tell(&mut all, probers[1], s(103));
    let down = all.iter().all(|v| v.view(s(103), "engine-0").unwrap().state == State::Down);
    all[probers[1]].on_probe_result(s(104), "engine-0", UP);
    tell(&mut all, probers[1], s(104));

    assert!(down);
    assert!(all.iter().all(|v| v.view(s(104), "engine-0").unwrap().state == State::Up));
}

/// A backend server begins to leave, and the first to learn it is a router whose dispatch was answered so, though it
/// doesn't probe that engine. Every router must stop giving it work; a new start at the address may work again.
#[test]
fn the_first_sign_of_leaving_counts_until_the_engine_starts_anew() {
    let mut all = views(5, 1);
    let probers = probers(&mut all, "engine-0");
    let other = (0..5).find(|i| !probers.contains(i)).unwrap();
    for &i in &probers {
        all[i].on_probe_result(s(100), "engine-0", UP);
        tell(&mut all, i, s(100));
    }

    let leaving = ProbeResult::Answer { start: 1, running: 3, leaving: true };
    all[other].on_dispatch_result(s(101), "engine-0", leaving);
    tell(&mut all, other, s(101));
    let left = all.iter().all(|v| v.view(s(101), "engine-0").unwrap().state == State::Leaving);
    let restarted = ProbeResult::Answer { start: 2, running: 0, leaving: false };
    all[probers[0]].on_probe_result(s(103), "engine-0", restarted);
    tell(&mut all, probers[0], s(103));

    assert!(left);
    assert!(all.iter().all(|v| v.view(s(103), "engine-0").unwrap().state == State::Up));
}

#[test]
fn an_operators_label_takes_an_engine_out_at_once_and_back() {
    let mut e = views(1, 2).remove(0);

    e.set_engines(s(1), [EngineSpec { leaving: true, ..spec(0) }, spec(1)]);
    let labelled = e.view(s(1), "engine-0").unwrap().accepts_requests();
    e.set_engines(s(2), [spec(0), spec(1)]);

    assert!(!labelled);
    assert!(e.view(s(2), "engine-0").unwrap().accepts_requests());
}

/// A router gets far more engines than its budget carries. The time between probes grows; no second exceeds the
/// budget and no engine is left out.
#[test]
fn probes_stay_within_their_budget_and_reach_every_engine() {
    let cfg = ProbeConfig { bytes_per_second: 4_200, ..ProbeConfig::default() };
    let mut e = EngineTable::new("router-0".into(), "dc".into(), 1, cfg);
    e.set_engines(s(0), (0..100).map(spec));
    let (mut seen, mut most) = (std::collections::BTreeMap::<Arc<str>, u32>::new(), 0);

    for second in 10..40 {
        let mut now = 0;
        for quarter in 0..4 {
            let at = s(second) + Duration::from_millis(250 * quarter);
            for probe in e.due_probes(at) {
                now += 1;
                *seen.entry(probe.engine.clone()).or_default() += 1;
                e.on_probe_result(at, &probe.engine, UP);
            }
        }
        most = most.max(now);
    }

    assert!(most <= 10, "{most} probes in a second");
    assert_eq!(seen.len(), 100);
    assert!(seen.values().all(|n| *n >= 2), "{seen:?}");
}

/// Two engines whose names meet in one short identifier would share their findings. 100,000 names meet a few times.
#[test]
fn engines_whose_identifiers_meet_are_told_apart() {
    let mut e = EngineTable::new("router-0".into(), "dc".into(), 1, ProbeConfig::default());

    e.set_engines(s(0), (0..100_000).map(|i| EngineSpec { name: format!("e{i}").into(), ..spec(0) }));

    assert_eq!(e.views(s(0)).count(), 100_000);
}

/// A host with an engine vanishes without a word. All routers must know within seconds, also those of other data
/// centres, and over a lossy network.
#[test]
fn a_silent_engine_is_known_down_everywhere() {
    let mut f = Fleet::new(Shape::new(12, 3, 1, 30));
    f.put_in_force_everywhere(1);
    f.run(s(30));

    f.engines[4].up = false;
    let known = f.wait(s(15), |f| f.all_see(4, State::Down));

    assert!(known.is_some());
}

/// The probes' budget counts a fixed number of bytes for each. A probe of the stand-in engine over a kept connection is
/// measured here with what TCP and IP add: 52 bytes with timestamps, for the request, for the answer, which acknowledges
/// it, and for the acknowledgement of the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_probe_costs_no_more_bytes_than_the_budget_counts() {
    let engine = Arc::new(EngineStandin::new(1, Duration::ZERO, 1));
    let server = Server::start(loopback().unwrap(), 1, Limits::default(), engine).unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front = listener.local_addr().unwrap();
    let target = server.addr();
    let (tx, mut passed) = tokio::sync::mpsc::unbounded_channel();
    // The client may open another connection while the kept one is on its way back to its pool.
    let accepting = tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let tx = tx.clone();
            tokio::spawn(async move {
                let mut engine = tokio::net::TcpStream::connect(target).await.unwrap();
                let (up, down) = tokio::io::copy_bidirectional(&mut caller, &mut engine).await.unwrap();
                tx.send((up + down) as usize).unwrap();
            });
        }
    });
    let client = Client::default();

    for _ in 0..10 {
        let url = format!("http://{front}/load");
        client.json(Method::GET, &url, None, s(5)).await.unwrap();
    }
    drop(client);
    accepting.abort();
    let mut all = 0;
    while let Some(bytes) = passed.recv().await {
        all += bytes;
    }
    let bytes = all / 10 + 3 * 52;

    assert!(bytes <= PROBE_WIRE_BYTES, "{bytes} bytes");
    assert!(bytes * 2 > PROBE_WIRE_BYTES, "{bytes} bytes; the budget counts far too many");
    server.close();
}
