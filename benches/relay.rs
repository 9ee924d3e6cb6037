//! Cost of the relay's decisions by number of backend servers, and size of the server list.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use cranberrytally::{
    logs::lines::{self, Level, line},
    relay::{
        admission::{Admission, AdmissionRequest, Refused, ServiceLoad},
        backends::Backends,
        crashes::{
            Crashes,
            cause::{CauseKey, Causes},
        },
        exchange::MAX_COPIES,
        holders::Holders,
        measurements::{MARKER, Measurements, Topic},
        pace::Paces,
        peers::{LocalVersions, Peers, Scope},
        place::{Candidate, Placer},
        prefill::{Delays, Prefill, Prompt},
        request::Part,
        returns::{Moment, Returns},
        shares::{Requester, Shares},
    },
    schema::fleet::{self, Backend, Backends as List, Beat, InProgress, Member, StreamOrigin, StreamOrigins},
};
use rand::{SeedableRng, rngs::SmallRng};

/// Numbers of backend servers for which costs are measured.
const SERVER_COUNTS: [usize; 4] = [9, 112, 733, 2_750];
/// Numbers of hosts for which the choice among them is measured.
const HOST_COUNTS: [u16; 3] = [8, 330, 985];
/// Numbers of workspaces for which the costs of shares are measured.
const WORKSPACE_COUNTS: [usize; 2] = [24, 2_100];
/// Numbers of hosts of a data centre that tell amounts.
const TELLING_HOSTS: u16 = 65;
/// Requests at a server when it crashes, and the crashes of a series.
const SUSPECTS: u64 = 60;
const CRASHES: u32 = 20;
/// Number of iterations of each measurement.
const ITERATIONS: u32 = 20_000;
/// Number of updates of shares.
const UPDATES: u32 = 500;
/// Number of log lines written with an output.
const LOG_LINES: u32 = 5_000;
/// Number of log lines between two pauses, below the capacity of the output's queue.
const LOG_LINES_PER_PAUSE: u64 = 500;
/// Pause in which the output's thread empties its queue.
const LOG_PAUSE: Duration = Duration::from_millis(20);

/// A server list with its placement candidates.
fn servers(n: usize) -> (Backends, Vec<Candidate>) {
    let item = |i: usize| Backend {
        id: format!("i-{i:010x}"),
        service: "llm".into(),
        addr: format!("10.0.{}.{}:80", i / 250, i % 250),
        data_centre: "a".into(),
        slots: 64,
        ..Backend::default()
    };
    let mut backends = Backends::default();
    backends.apply_list(
        Duration::ZERO,
        &List { revision: 1, items: (0..n).map(item).collect(), ..List::default() },
        None,
    );
    let candidates = backends.iter().map(|(key, b)| Candidate {
        key,
        tag: b.tag,
        local: true,
        load: f64::from(b.tag % 8),
        slots: 64,
        unhealthy: false,
        delays: Delays::default(),
    });
    let candidates = candidates.collect();
    (backends, candidates)
}

/// A request with three shared parts, one of its own topic and one of few.
fn request_causes(n: u64) -> Causes {
    let key = |n: u64| CauseKey(cranberrytally::util::hash(n));
    let parts = vec![key(n % 6), key(100 + n % 40), key(10_000 + n)];
    Causes { content: Some(key(1 << 40 | n)), parts, service: u32::MAX, scope: n % 30 }
}

/// Costs of what is kept of answers and crashes, in microseconds, and the size of a report of one request in bytes.
fn crash_costs() -> [f64; 5] {
    let mut crashes = Crashes::default();
    let at = |n: u64| Duration::from_micros(n * 100);
    let begun = mean_us(ITERATIONS, |n| {
        crashes.record_begun(at(n), at(n), &request_causes(n));
    });
    let end = at(ITERATIONS.into());
    let broken = mean_us(CRASHES * SUSPECTS as u32, |n| {
        let crash = n / SUSPECTS;
        let now = end + Duration::from_millis(crash * 300);
        crashes.confirm(now, !(crash as u32));
        crashes.record_broken(now, !(crash as u32), request_causes(1_000_000 + n));
    });
    let last = end + Duration::from_millis(u64::from(CRASHES) * 300);
    let settled = mean_us(1, |_| {
        crashes.settle(last);
    });
    let check = mean_us(ITERATIONS, |n| {
        std::hint::black_box(crashes.is_refused(&request_causes(n), None));
    });
    let reports = crashes.take_reports(last);
    let bytes: usize = reports.iter().map(|(_, report)| postcard::to_allocvec(report).unwrap().len()).sum();
    [begun, broken, settled, check, bytes as f64 / reports.len().max(1) as f64]
}

/// Mean times in microseconds to set the expected delays of the candidates and choose by parts: at the usual pace, and with
/// a third of the servers slow.
fn paced_us(candidates: &[Candidate], holders: &Holders) -> [f64; 2] {
    [100, 400].map(|percent| {
        let (mut paces, mut prefill, service) = (Paces::default(), Prefill::default(), Arc::from("s"));
        for (i, c) in candidates.iter().enumerate() {
            let percent = if i % 3 == 0 { percent } else { 100 };
            paces.record_report(Duration::ZERO, &service, c.tag, percent, Duration::ZERO);
            if i % 10 == 0 {
                prefill.begin(c.key, 1_300);
            }
        }
        let (mut rng, mut candidates) = (SmallRng::seed_from_u64(1), candidates.to_vec());
        mean_us(ITERATIONS, |i| {
            let parts = [Part { id: i % 4_000, tokens: 10_000 }, Part { id: i << 20, tokens: 300 }];
            let prompt = Prompt { service: &service, parts: &parts, allowed_pause_ms: Some(500) };
            prefill.set_delays(Duration::ZERO, &paces, holders, prompt, &mut candidates);
            Placer::default().choose(&candidates, &parts, holders, |_| true, &mut rng);
        })
    })
}

/// Mean time of an iteration, in microseconds.
fn mean_us(iterations: u32, mut step: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    (0..u64::from(iterations)).for_each(&mut step);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(iterations)
}

fn main() {
    println!(
        "| servers | choose by parts, us | choose by parts with all slots taken, us | choose by load, us | receive a heartbeat of 40 loads, us | list, bytes |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for n in SERVER_COUNTS {
        let (backends, candidates) = servers(n);
        let mut rng = SmallRng::seed_from_u64(1);
        let mut holders = Holders::default();
        for (i, c) in candidates.iter().cycle().take(4_000).enumerate() {
            holders.insert(Duration::ZERO, i as u64, c.key);
        }
        let placer = Placer::default();
        let by_parts = mean_us(ITERATIONS, |i| {
            let parts = [Part { id: i % 4_000, tokens: 10_000 }, Part { id: i << 20, tokens: 300 }];
            placer.choose(&candidates, &parts, &holders, |_| true, &mut rng);
        });
        let full: Vec<_> = candidates.iter().map(|c| Candidate { load: 64.0 + c.load, ..*c }).collect();
        let all_slots_taken = mean_us(ITERATIONS, |i| {
            let parts = [Part { id: i % 4_000, tokens: 10_000 }, Part { id: i << 20, tokens: 300 }];
            placer.choose(&full, &parts, &holders, |_| true, &mut rng);
        });
        let by_load = mean_us(ITERATIONS, |_| {
            placer.choose(&candidates, &[], &holders, |_| true, &mut rng);
        });
        let list = postcard::to_allocvec(&backends.snapshot(Duration::ZERO)).map_or(0, |b| b.len());
        println!(
            "| {n} | {by_parts:.1} | {all_slots_taken:.1} | {by_load:.1} | {:.1} | {list} |",
            heartbeat_us(n)
        );
        let [usual, slow] = paced_us(&candidates, &holders);
        println!("with delays by pace, {n} servers: {usual:.1} us, a third of them slow: {slow:.1} us");
    }
    println!("\nadmission: {:.2} us", admission_us());
    for workspaces in WORKSPACE_COUNTS {
        let [request, update, bytes] = share_costs(workspaces);
        println!(
            "shares of {workspaces} workspaces: {request:.2} us a request, {update:.0} us an update, message {bytes:.0} bytes"
        );
    }
    println!("a caller told when to return, 8 time slots: {:.2} us", promise_us());
    for hosts in HOST_COUNTS {
        println!("choice of the hosts that remember a stream, of {hosts}: {:.1} us", replicas_us(hosts));
    }
    println!("what one host is told of one stream: {} bytes", told_bytes());
    log_lines();
    let [begun, broken, settled, check, bytes] = crash_costs();
    println!(
        "\nan answer with three parts begins: {begun:.2} us; one of {SUSPECTS} requests at a crash: {broken:.1} us"
    );
    println!(
        "all {CRASHES} crashes are put down to causes: {settled:.0} us; a request is checked: {check:.2} us"
    );
    println!("report of one request at a crash: {bytes:.0} bytes");
}

/// Mean time to choose the hosts that remember a stream.
fn replicas_us(hosts: u16) -> f64 {
    let mut peers = Peers::new("10.0.0.1:1".parse().unwrap(), "a", &[]);
    for host in 2..=hosts {
        let [high, low] = host.to_be_bytes();
        let addr = SocketAddr::from(([10, 0, high, low], 1));
        let sender =
            Member { peers: addr.to_string(), data_centre: (host % 15).to_string(), ..Member::default() };
        let beat = Beat { start: 1, number: 1, sender: Some(sender), ..Beat::default() };
        peers.receive(Duration::ZERO, addr, &beat, LocalVersions::default());
    }
    mean_us(ITERATIONS, |stream| {
        std::hint::black_box(peers.replicas(Duration::ZERO, stream << 32, MAX_COPIES));
    })
}

/// Additional bytes of a message for each stream that it tells of.
fn told_bytes() -> usize {
    let told = StreamOrigin { stream: u64::MAX, version: u32::MAX };
    let size = |count| {
        let message = StreamOrigins { told: vec![told; count], ..StreamOrigins::default() };
        postcard::to_allocvec(&message).map_or(0, |b| b.len())
    };
    size(2) - size(1)
}

/// Mean time of an admission decision, without summing the requests in progress.
fn admission_us() -> f64 {
    let (service, mut admission): (Arc<str>, _) = ("llm".into(), Admission::default());
    let (objective, time_left) = (Duration::from_millis(600), Duration::from_secs(10));
    mean_us(ITERATIONS, |i| {
        let load = ServiceLoad { own: 60, all: 300 + (i % 100) as u32, slots: 384 };
        let admission_req =
            AdmissionRequest { route: i % 5, rank: 1, route_rank: 1, objective, time_left, load };
        let now = Duration::from_micros(i * 100);
        let draw = (i % 100) as f64 / 100.0;
        let _ = std::hint::black_box(admission.admit(now, &service, admission_req, [draw, draw]));
    })
}

/// Mean time of a request's share and of an update of all shares, and the size of a message, for a host that has had requests
/// of all workspaces while the other hosts of its data centre tell the largest.
fn share_costs(workspaces: usize) -> [f64; 3] {
    let (service, mut shares, mut measurements): (Arc<str>, Shares, Measurements) =
        ("llm".into(), Default::default(), Default::default());
    let names: Vec<_> = (0..workspaces).map(|i| format!("workspace-{i}")).collect();
    let from =
        |i: usize| Requester { service: &service, workspace: &names[i % workspaces], rank: 1, route_rank: 1 };
    shares.update(Duration::ZERO, 985, &mut measurements);
    let now = Duration::from_secs(1);
    for host in 0..TELLING_HOSTS {
        let amount = |i: usize| fleet::Amount {
            topic: Topic::WorkspaceDemand as u32,
            key: from(i + usize::from(host)).key(),
            value: 40 + i as u32,
        };
        let message = fleet::Measurements {
            marker: MARKER,
            start: 1,
            number: 1,
            hosts: 1,
            amounts: (0..8).map(amount).collect(),
            ..Default::default()
        };
        measurements.receive(now, SocketAddr::from(([10, 0, 0, 1], host)), None, "a", &message);
    }
    let request = mean_us(ITERATIONS, |i| {
        if i == workspaces as u64 {
            shares.update(now, 985, &mut measurements);
        }
        std::hint::black_box(shares.chance(now, from(i as usize), 0.5));
    });
    let update = mean_us(UPDATES, |_| shares.update(now, 985, &mut measurements));
    let message = measurements.message(now, 1, Scope::Host);
    [request, update, message.map_or(0, |m| postcard::to_allocvec(&m).map_or(0, |b| b.len())) as f64]
}

/// Mean time in which a refused caller with the most time slots within reach gets one.
fn promise_us() -> f64 {
    let (service, mut returns): (Arc<str>, _) = ("llm".into(), Returns::default());
    let mut measurements = Measurements::default();
    let load = ServiceLoad { own: 60, all: 300, slots: 384 };
    let (objective, time_left) = (Duration::from_millis(600), Duration::from_secs(12));
    let req = AdmissionRequest { route: 1, rank: 1, route_rank: 1, objective, time_left, load };
    let refused = Refused { retry_after: objective, occupancy: 1.5, limit: 1.0, chance: 0.9 };
    mean_us(ITERATIONS, |i| {
        let at = Moment { now: Duration::from_millis(i), wall_ms: i, hosts: 985 };
        let draw = (i % 100) as f64 / 100.0;
        let arrival = returns.arrive(at, &service, &req, &measurements, draw);
        let decision = returns.settle(at, &service, &req, arrival, Err(refused), (&mut measurements, draw));
        let _ = std::hint::black_box(decision);
        if i % 500 == 0 {
            returns.expire(i, &mut measurements);
        }
    })
}

/// Measures the cost of the log line that is written for each attempt, without and with an output. The output's own thread is
/// not counted.
fn log_lines() {
    let off = mean_us(ITERATIONS, write_line);
    lines::start(std::io::sink(), u32::MAX).expect("the log output did not start");
    let on = mean_us(LOG_LINES, |n| {
        write_line(n);
        // Let the output's thread keep up, as it does at the rate of a host.
        if n % LOG_LINES_PER_PAUSE == 0 {
            std::thread::sleep(LOG_PAUSE);
        }
    });
    let on = on - LOG_PAUSE.as_secs_f64() * 1e6 / LOG_LINES_PER_PAUSE as f64;
    println!("\na log line: {off:.2} us without an output, {on:.2} us with one");
}

/// Writes the log line of an attempt.
fn write_line(n: u64) {
    line(Level::Routine, "sent", |l| {
        let l = l.text("request", "9c41d07be2a35f68").text("route", "r-5hsvxxt");
        let l = l
            .text("backend", "i-458d646f59")
            .text("why", "holder")
            .decimal("load", 3.0)
            .decimal("bound", 8.5);
        let l = l.text("fetches", "").number("stale", 0u64).text("part", "5c1e07a2").number("held", n);
        l.number("after_ms", 1u64).number("attempt", 0u64)
    });
}

/// Mean time to process a heartbeat.
fn heartbeat_us(n: usize) -> f64 {
    let mut peers = Peers::new("10.0.0.1:1".parse().unwrap(), "a", &[]);
    let loads = (0..40).map(|i| InProgress { backend: (i * n / 40) as u32, requests: 3 }).collect::<Vec<_>>();
    let sender = Member { data_centre: "a".into(), peers: "10.0.0.2:1".into(), ..Member::default() };
    mean_us(ITERATIONS, |i| {
        let beat = Beat {
            start: 1,
            number: i + 1,
            in_progress: loads.clone(),
            sender: Some(sender.clone()),
            ..Beat::default()
        };
        peers.receive(
            Duration::from_millis(i),
            "10.0.0.2:1".parse().unwrap(),
            &beat,
            LocalVersions::default(),
        );
    })
}
