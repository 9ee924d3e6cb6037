//! Health checks of engines: no single router can mark an engine as down, but each can report it as leaving.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberrytally::{
    client::Client,
    http::{Limits, Server},
    probe::{EngineSpec, EngineTable, PROBE_WIRE_BYTES, PROBERS_PER_ENGINE, ProbeConfig, ProbeResult, State},
    standin::{engine::EngineStandin, outside::loopback_listener},
    util::Instant,
};
use http::Method;

#[path = "../benches/membership/fleet.rs"]
mod fleet;

use fleet::{Fleet, Shape};

const fn secs(n: u64) -> Duration {
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

/// Tables of `n` routers with the same engines.
fn tables(n: usize, engines: usize) -> Vec<EngineTable> {
    let build = |name: Arc<str>| {
        let mut e = EngineTable::new(name, "dc".into(), 1_000, ProbeConfig::default());
        e.set_engines(secs(0), (0..engines).map(spec));
        e.set_probers(secs(0), routers(n));
        e
    };
    routers(n).into_iter().map(build).collect()
}

/// Delivers the report and events of router `from` to all other routers.
fn share_observations(tables: &mut [EngineTable], from: usize, now: Instant) {
    let name = routers(tables.len())[from].clone();
    let report = tables[from].report(0, 10_000);
    let events = tables[from].take_events();
    for (i, v) in tables.iter_mut().enumerate() {
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

fn probers(tables: &mut [EngineTable], engine: &str) -> Vec<usize> {
    let due = |v: &mut EngineTable| v.due_probes(secs(100)).iter().any(|p| &*p.engine == engine);
    (0..tables.len()).filter(|&i| due(&mut tables[i])).collect()
}

#[test]
fn each_engine_is_probed_by_a_few_routers_and_the_work_is_even() {
    let tables = tables(10, 100);

    let shares: Vec<_> = tables.iter().map(EngineTable::assigned_count).collect();

    assert_eq!(shares.iter().sum::<usize>(), 100 * PROBERS_PER_ENGINE);
    assert!(shares.iter().all(|n| (15..45).contains(n)), "{shares:?}");
}

/// The link of one router to one engine breaks. The engine is healthy, and marking it as down would move its load to the
/// others. Only the router that can't reach it avoids it.
#[test]
fn an_engine_that_one_router_cant_reach_stays_up_for_others() {
    let mut tables = tables(5, 1);
    let probers = probers(&mut tables, "engine-0");
    for &i in &probers[1..] {
        tables[i].on_probe_result(secs(100), "engine-0", UP);
        share_observations(&mut tables, i, secs(100));
    }

    tables[probers[0]].on_probe_result(secs(101), "engine-0", ProbeResult::Unreachable);
    tables[probers[0]].on_probe_result(secs(102), "engine-0", ProbeResult::Unreachable);
    share_observations(&mut tables, probers[0], secs(102));

    for (i, v) in tables.iter().enumerate() {
        let view = v.view(secs(103), "engine-0").unwrap();
        assert_eq!(view.state, State::Up, "router {i}");
        assert_eq!(view.reachable, i != probers[0], "router {i}");
    }
}

#[test]
fn an_engine_that_most_probers_cant_reach_is_down_for_all_until_one_does() {
    let mut tables = tables(5, 1);
    let probers = probers(&mut tables, "engine-0");
    for &i in &probers {
        tables[i].on_probe_result(secs(100), "engine-0", UP);
        share_observations(&mut tables, i, secs(100));
    }

    tables[probers[0]].on_probe_result(secs(101), "engine-0", ProbeResult::Unreachable);
    tables[probers[0]].on_probe_result(secs(102), "engine-0", ProbeResult::Unreachable);
    share_observations(&mut tables, probers[0], secs(102));
    // The second prober checks at once, and one failure is enough for it to report the engine as down.
    assert!(tables[probers[1]].due_probes(secs(102)).iter().any(|p| &*p.engine == "engine-0"));
    tables[probers[1]].on_probe_result(secs(103), "engine-0", ProbeResult::Unreachable);
    share_observations(&mut tables, probers[1], secs(103));
    let down = tables.iter().all(|v| v.view(secs(103), "engine-0").unwrap().state == State::Down);
    tables[probers[1]].on_probe_result(secs(104), "engine-0", UP);
    share_observations(&mut tables, probers[1], secs(104));

    assert!(down);
    assert!(tables.iter().all(|v| v.view(secs(104), "engine-0").unwrap().state == State::Up));
}

/// An engine starts to leave, and the first router to observe it is one that dispatched a request but does not probe the
/// engine. Every router must stop sending it requests, until a new engine process starts at the address.
#[test]
fn the_first_observation_of_leaving_counts_until_the_engine_restarts() {
    let mut tables = tables(5, 1);
    let probers = probers(&mut tables, "engine-0");
    let dispatcher = (0..5).find(|i| !probers.contains(i)).unwrap();
    for &i in &probers {
        tables[i].on_probe_result(secs(100), "engine-0", UP);
        share_observations(&mut tables, i, secs(100));
    }

    let leaving = ProbeResult::Answer { start: 1, running: 3, leaving: true };
    tables[dispatcher].on_dispatch_result(secs(101), "engine-0", leaving);
    share_observations(&mut tables, dispatcher, secs(101));
    let leaving_everywhere =
        tables.iter().all(|v| v.view(secs(101), "engine-0").unwrap().state == State::Leaving);
    let restarted = ProbeResult::Answer { start: 2, running: 0, leaving: false };
    tables[probers[0]].on_probe_result(secs(103), "engine-0", restarted);
    share_observations(&mut tables, probers[0], secs(103));

    assert!(leaving_everywhere);
    assert!(tables.iter().all(|v| v.view(secs(103), "engine-0").unwrap().state == State::Up));
}

#[test]
fn an_operators_label_drains_an_engine_at_once_and_is_reversible() {
    let mut e = tables(1, 2).remove(0);

    e.set_engines(secs(1), [EngineSpec { leaving: true, ..spec(0) }, spec(1)]);
    let labelled = e.view(secs(1), "engine-0").unwrap().accepts_requests();
    e.set_engines(secs(2), [spec(0), spec(1)]);

    assert!(!labelled);
    assert!(e.view(secs(2), "engine-0").unwrap().accepts_requests());
}

/// A router has far more engines than its budget allows. The interval between probes grows; the budget is not exceeded in
/// any second and no engine is left out.
#[test]
fn probes_stay_within_their_budget_and_reach_every_engine() {
    let cfg = ProbeConfig { bytes_per_second: 4_200, ..ProbeConfig::default() };
    let mut e = EngineTable::new("router-0".into(), "dc".into(), 1, cfg);
    e.set_engines(secs(0), (0..100).map(spec));
    let (mut seen, mut max_per_second) = (std::collections::BTreeMap::<Arc<str>, u32>::new(), 0);

    for second in 10..40 {
        let mut now = 0;
        for quarter in 0..4 {
            let at = secs(second) + Duration::from_millis(250 * quarter);
            for probe in e.due_probes(at) {
                now += 1;
                *seen.entry(probe.engine.clone()).or_default() += 1;
                e.on_probe_result(at, &probe.engine, UP);
            }
        }
        max_per_second = max_per_second.max(now);
    }

    assert!(max_per_second <= 10, "{max_per_second} probes in a second");
    assert_eq!(seen.len(), 100);
    assert!(seen.values().all(|n| *n >= 2), "{seen:?}");
}

/// Two engines with the same short ID would share their observations. Among 100,000 names a few IDs collide.
#[test]
fn engines_with_colliding_ids_are_distinguished() {
    let mut e = EngineTable::new("router-0".into(), "dc".into(), 1, ProbeConfig::default());

    e.set_engines(secs(0), (0..100_000).map(|i| EngineSpec { name: format!("e{i}").into(), ..spec(0) }));

    assert_eq!(e.views(secs(0)).count(), 100_000);
}

/// The host of an engine fails without notice. All routers must see the engine as down within seconds, including those
/// of other data centres and over a lossy network.
#[test]
fn a_failed_engine_is_down_in_every_data_centre() {
    let mut f = Fleet::new(Shape::new(12, 3, 1, 30));
    f.put_in_force_everywhere(1);
    f.run(secs(30));

    f.engines[4].up = false;
    let detected_after = f.wait(secs(15), |f| f.all_see(4, State::Down));

    assert!(detected_after.is_some());
}

/// The probe budget counts a fixed number of bytes per probe. This test measures a probe of the stand-in engine over a
/// keep-alive connection and adds the TCP and IP headers: 52 bytes with timestamps, each for the request, for the response,
/// which also acknowledges the request, and for the acknowledgement of the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_probe_costs_no_more_bytes_than_the_budget_counts() {
    let engine = Arc::new(EngineStandin::new(1, Duration::ZERO, 1));
    let server = Server::start(loopback_listener().unwrap(), 1, Limits::default(), engine).unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front = listener.local_addr().unwrap();
    let target = server.addr();
    let (tx, mut forwarded) = tokio::sync::mpsc::unbounded_channel();
    // The client may open another connection before the previous one is back in its pool.
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
        client.json(Method::GET, &url, None, secs(5)).await.unwrap();
    }
    drop(client);
    accepting.abort();
    let mut total = 0;
    while let Some(bytes) = forwarded.recv().await {
        total += bytes;
    }
    let bytes = total / 10 + 3 * 52;

    assert!(bytes <= PROBE_WIRE_BYTES, "{bytes} bytes");
    assert!(bytes * 2 > PROBE_WIRE_BYTES, "{bytes} bytes; the budget counts more than twice as many");
    server.close();
}
