//! Simulations of admission, retries and crashing requests in virtual time, with fixed seeds.
//!
//! `cargo bench --bench admission` prints the tables of docs/DESIGN.md.

use std::{hint::black_box, sync::Arc, time::Duration, time::Instant};

use cranberrytally::{
    admit::{ConcurrencyLimit, Demand, EnqueueResult, FairQueue, InFlight, Priority, QueueLimits, Scope},
    retry::{Attempts, RetryBudget, RetryPolicy, RetryReason},
    suspect::{CrashId, Fingerprint, Permits, SuspectTable},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[path = "admission/crash.rs"]
mod crash;
#[path = "admission/storm.rs"]
mod storm;
#[path = "admission/surge.rs"]
mod surge;

use crash::{Protection, Scenario};
use storm::Bound;
use surge::{Group, LoadPattern, Order};

/// Seed of single runs.
const SEED: u64 = 7;
/// Seeds of the surge simulations.
const SURGE_SEEDS: std::ops::Range<u64> = 0..10;
/// Seeds of the crash simulations.
const CRASH_SEEDS: std::ops::Range<u64> = 0..20;
/// Seeds of the crash simulations of large fleets, which take longer.
const FLEET_SEEDS: std::ops::Range<u64> = 0..3;
/// Number of iterations of each cost measurement.
const ITERATIONS: u32 = 200_000;

fn main() {
    surge_table("one workspace surges tenfold", LoadPattern::Surge);
    surge_table("one workspace surges tenfold, all of it sent as high", LoadPattern::UrgentSurge);
    surge_table("every workspace sends 2.2 times as much", LoadPattern::Overload);
    crash_table();
    storm_table();
    cost_table();
}

fn surge_table(title: &str, pattern: LoadPattern) {
    println!("\n{title}; worst seconds to the end of the answer, lost/sent, over 10 seeds");
    println!(
        "{:<26} {:>18} {:>18} {:>18} {:>18} {:>18}",
        "order", "small, high", "small, normal", "others, high", "others, normal", "surging"
    );
    let orders = [
        ("FIFO, unbounded", Order::Fifo),
        ("FIFO, bounded", Order::BoundedFifo),
        ("class first (strict)", Order::Fair(u32::MAX)),
        ("fair, class inside only", Order::Fair(0)),
        ("fair, class within 2048", Order::Fair(2048)),
        ("fair, class within 8192", Order::Fair(8192)),
    ];
    for (name, order) in orders {
        let f = surge::run_seeds(order, pattern, SURGE_SEEDS);
        print!("{name:<26}");
        for g in [f.small_high, f.small_normal, f.others_high, f.others_normal, f.surging] {
            print!(" {:>18}", format_group(g));
        }
        println!();
    }
}

/// Formats a group as its longest time, lost requests and all requests.
fn format_group(g: Group) -> String {
    format!("{:.2} {}/{}", g.max_time.as_secs_f64(), g.lost, g.sent)
}

fn crash_table() {
    println!(
        "\none crashing content sent repeatedly to different routers, 60 s; worst of 20 seeds (3 at 730)"
    );
    println!(
        "{:<44} {:>6} {:>5} {:>16} {:>5} {:>8} {:>7} {:>8}",
        "guard", "sent", "lost", "answered/all", "hit", "wronged", "worst s", "bytes/s"
    );
    let base = Scenario::new;
    let no_retry =
        |protection| Scenario { retry: false, resend_delay: Duration::from_millis(12), ..base(protection) };
    let dc = |protection| Scenario { routers: 22, engines: 730, normal_per_s: 1500.0, ..base(protection) };
    let flaps = |flapping, senders, stable_engines_only| Scenario {
        flapping,
        senders,
        stable_engines_only,
        ..base(Protection::Full)
    };
    let rows = [
        ("none", base(Protection::None)),
        ("each router on its own", base(Protection::Local)),
        ("gossip, own permits", base(Protection::Gossip)),
        ("broadcast, own permits", base(Protection::Broadcast)),
        ("broadcast, one router's permits", base(Protection::Full)),
        ("caller only retries, 12 ms: none", no_retry(Protection::None)),
        ("caller only retries, 12 ms: alone", no_retry(Protection::Local)),
        ("caller only retries, 12 ms: gossip", no_retry(Protection::Gossip)),
        ("caller only retries, 12 ms: full", no_retry(Protection::Full)),
        ("same, 20% of updates lost", Scenario { loss_rate: 0.2, ..no_retry(Protection::Full) }),
        ("same, two routers grant permits", Scenario { arbiters: 2, ..no_retry(Protection::Full) }),
        ("full, two routers grant permits", Scenario { arbiters: 2, ..base(Protection::Full) }),
        ("none sent, 2 engines flap: any engine", flaps(2, 0, false)),
        ("none sent, 2 engines flap: full", flaps(2, 0, true)),
        ("none sent, 4 engines flap: full", flaps(4, 0, true)),
        ("sent, 2 engines flap: full", flaps(2, 1, true)),
        ("three callers at once: none", Scenario { senders: 3, ..base(Protection::None) }),
        (
            "three callers at once: broadcast, own permits",
            Scenario { senders: 3, ..base(Protection::Broadcast) },
        ),
        ("three callers at once: full", Scenario { senders: 3, ..base(Protection::Full) }),
        ("22 routers, 730 engines: none", dc(Protection::None)),
        ("22 routers, 730 engines: gossip", dc(Protection::Gossip)),
        ("22 routers, 730 engines: full", dc(Protection::Full)),
    ];
    for (name, cfg) in rows {
        let seeds = if cfg.engines > 100 { FLEET_SEEDS } else { CRASH_SEEDS };
        let runs = (seeds.end - seeds.start) as f64;
        let f = crash::run_seeds(cfg, seeds);
        println!(
            "{name:<44} {:>6} {:>5} {:>16} {:>5} {:>8} {:>7.2} {:>8.0}",
            f.sent,
            f.crashes,
            format!("{}/{}", f.answered, f.normal_requests),
            f.interrupted,
            f.falsely_quarantined,
            f.max_time.as_secs_f64(),
            f.bytes as f64 / runs / 60.0 / cfg.routers as f64
        );
    }
}

fn storm_table() {
    println!("\n30% of the engines refuse; 100,000 fresh requests over {} routers", storm::ROUTERS);
    println!("{:<28} {:>10} {:>8} {:>9} {:>6}", "bound", "extra", "ratio", "answered", "worst");
    let bounds = [
        ("unbounded", Bound::Unbounded),
        ("limit of 3 at each hop", Bound::PerHop),
        ("one limit of 3", Bound::GlobalLimit),
        ("one limit and budget 0.1", Bound::Budget),
        ("and cool-down of unreachable", Bound::Cooldown),
    ];
    for (name, bound) in bounds {
        let f = storm::run(bound, SEED);
        let ratio = f.extra() as f64 / f.fresh as f64;
        println!("{name:<28} {:>10} {ratio:>8.3} {:>9} {:>6}", f.extra(), f.answered, f.max_attempts);
    }
}

fn cost_table() {
    println!("\ncost of a decision");
    for waiting in [10, 256] {
        let (demands, mut queue) = filled_queue(waiting);
        let mut now = Duration::ZERO;
        let mut i = 0;
        measure(&format!("enqueue, grant, settle; {waiting} waiting"), || {
            now += Duration::from_micros(100);
            i = (i + 1) % demands.len();
            black_box(queue.enqueue(now, demands[i].clone()));
            if let Some(ticket) = queue.start_turn() {
                queue.end_turn(now, ticket, true);
            }
        });
    }
    let caps = [
        ConcurrencyLimit { scope: Scope::Workspace("workspace-1".into()), max: 100 },
        ConcurrencyLimit { scope: Scope::Group("group-1".into()), max: 400 },
    ];
    let mut usage = InFlight::default();
    measure("limits of a workspace and a group", || {
        let _ = black_box(usage.acquire(&caps, 8));
        usage.release(&caps);
    });
    let (policy, mut budget) = (RetryPolicy::default(), RetryBudget::default());
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    measure("attempt and retry", || {
        let deadline = Duration::from_secs(1);
        if let Ok(mut a) = Attempts::begin(&policy, &mut budget, 0, true, deadline) {
            a.record_start();
            let _ = black_box(a.record_failure(
                &policy,
                &mut budget,
                Duration::ZERO,
                RetryReason::ConnectFailed,
                &mut rng,
            ));
        }
    });
    let body =
        serde_json::json!({ "model": "m", "messages": [{ "role": "user", "content": "x".repeat(4096) }] });
    let body = body.as_object().expect("an object");
    measure("fingerprint of a 4 KiB chat", || {
        black_box(Fingerprint::chat(body));
    });
    let mut table = SuspectTable::default();
    let contents: Vec<_> = (0..4096u32).map(|i| Fingerprint::call("/", &i.to_le_bytes())).collect();
    table.mark_suspects(Duration::ZERO, &contents, CrashId::new("engine", "1"));
    let mut i = 0;
    measure("standing, table of 4096", || {
        i = (i + 1) % contents.len();
        black_box(table.standing(Duration::ZERO, contents[i]));
    });
    let mut permits = Permits::default();
    let engine: Arc<str> = "engine".into();
    measure("permit acquired and released", || {
        let _ =
            black_box(permits.acquire(Duration::ZERO, contents[0], engine.clone(), Duration::from_secs(1)));
        permits.release(contents[0], &engine);
    });
    for allowed in [256, 4096] {
        let digest = table.digest(Duration::ZERO, allowed);
        let bytes = postcard::to_stdvec(&digest).map_or(0, |b| b.len());
        println!("digest of at most {allowed} bytes: {} contents in {bytes} bytes", digest.entries.len());
    }
}

/// Fills a queue with waiting requests; returns the requests as well.
fn filled_queue(waiting: usize) -> (Vec<Demand>, FairQueue) {
    let mut queue = FairQueue::new(QueueLimits::default().with_max_waiting(waiting + 1));
    let demands: Vec<_> = (0..waiting)
        .map(|i| Demand {
            workspace: format!("workspace-{}", i % 10).into(),
            priority: Priority::ALL[i % 3],
            deadline: Duration::from_secs(1_000_000),
            work: 300,
        })
        .collect();
    for demand in &demands {
        if let EnqueueResult::Refused(r) = queue.enqueue(Duration::ZERO, demand.clone()) {
            println!("refused while filling: {r:?}");
        }
    }
    (demands, queue)
}

/// Prints the mean time of a step.
fn measure(name: &str, mut step: impl FnMut()) {
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        step();
    }
    println!("{name:<40} {:>8.0} ns", start.elapsed().as_nanos() as f64 / f64::from(ITERATIONS));
}
