//! Simulation of claims with the real decisions in virtual time: their cost, the effect of an outage of the platform, and
//! violations under seeded schedules of failures. Run with `cargo bench --bench claims`.

#[path = "claims/cases.rs"]
mod cases;
#[path = "claims/world.rs"]
#[allow(dead_code)]
mod world;

use world::{ClaimStorage, Violations, Weakening, schedule};

/// Duration of a run that measures costs.
const RUN_SECONDS: u64 = 20;
/// Minimum time between two writes of a shard.
const WRITE_INTERVAL_MS: u64 = 100;
/// Number of schedules of the protocol as it is.
const SCHEDULE_COUNT: u64 = 10_000;
/// Number of schedules of each weakened protocol.
const WEAKENED_SCHEDULE_COUNT: u64 = 1_000;

fn main() {
    print_costs();
    print_intervals();
    print_outages();
    print_schedules();
}

fn print_costs() {
    println!(
        "added latency and platform calls; 5 ms to the platform, 1-2 ms between routers, {RUN_SECONDS} s"
    );
    println!(
        "storage         routers  saves/s  p50 ms  p99 ms  writes/s  reads/s  frames/s  largest B  answered"
    );
    let storages = [
        ("16 shards", ClaimStorage::Shards(16)),
        ("log per router", ClaimStorage::RouterLogs),
        ("object per key", ClaimStorage::ObjectPerKey),
    ];
    for (name, storage) in storages {
        for routers in [8, 330] {
            for rate in [1, 10, 100, 1000] {
                let c = cases::cost(storage, routers, rate, RUN_SECONDS, WRITE_INTERVAL_MS);
                println!(
                    "{name:14} {routers:8} {rate:8} {:7} {:7} {:9.1} {:8.1} {:9.1} {:10} {:9.3}",
                    c.p50_ms, c.p99_ms, c.writes_s, c.reads_s, c.frames_s, c.largest_bytes, c.answered
                );
            }
        }
    }
}

fn print_intervals() {
    println!("\nminimum time between two writes of a shard, 16 shards, 8 routers");
    println!("interval ms  saves/s  p50 ms  p99 ms  writes/s");
    for interval in [40, 80, 100, 160, 320] {
        for rate in [10, 100, 1000] {
            let c = cases::cost(ClaimStorage::Shards(16), 8, rate, RUN_SECONDS, interval);
            println!("{interval:11} {rate:8} {:7} {:7} {:9.1}", c.p50_ms, c.p99_ms, c.writes_s);
        }
    }
}

fn print_outages() {
    println!("\nfirst attempts through a five-minute outage of the platform, 16 shards, 8 routers");
    println!(
        "keys          saves/s   asked  answered  share  not run  unknown  violations  largest B  writes/s after"
    );
    for (name, ticket) in [("of a ticket", true), ("caller's own", false)] {
        for rate in [1, 10, 100] {
            let o = cases::outage(ticket, 8, rate);
            println!(
                "{name:12} {rate:8} {:7} {:9} {:6.3} {:8} {:8} {:11} {:10} {:15.1} {:9} {:15} {:15}",
                o.first_attempts,
                o.answered,
                f64::from(o.answered) / f64::from(o.first_attempts),
                o.not_run,
                o.unknown,
                o.violations,
                o.largest_bytes,
                o.writes_after_s,
                o.recorded,
                o.granted_p99_ms,
                o.refused_p99_ms
            );
        }
    }
}

fn print_schedules() {
    println!("\nseeded schedules of all faults: 3 routers, 24 keys each");
    println!("version           schedules    runs  second runs  false not run  another's answer");
    print_row(Weakening::None, SCHEDULE_COUNT);
    for weakening in Weakening::ALL {
        print_row(weakening, WEAKENED_SCHEDULE_COUNT);
    }
}

/// Runs the schedules of one weakening and prints their violations.
fn print_row(weakening: Weakening, schedules: u64) {
    let (mut all, mut runs) = (Violations::default(), 0);
    for seed in 0..schedules {
        let world = schedule(seed, weakening);
        all.add(world.violations());
        runs += world.stats.runs;
    }
    let name = if weakening == Weakening::None { "as built".to_owned() } else { format!("{weakening:?}") };
    println!(
        "{name:16} {schedules:10} {runs:7} {:12} {:14} {:17}",
        all.second_run, all.false_not_run, all.foreign_answer
    );
}
