//! Tables of the routing policy: cache reuse through churn, skew under a surge, cost of a decision.
//!
//! `cargo bench --bench routing` prints all of them; `-- cost`, `-- today` or `-- target` only those.

use std::{thread, time::Instant};

#[path = "routing/cost.rs"]
mod cost;
#[path = "routing/model.rs"]
mod model;

use model::{Outcome, Policy, Setup};

/// Runs at a time, so that the machine stays usable.
const THREADS: usize = 3;
const SEEDS: u64 = 20;

fn main() {
    let has = |word: &str| std::env::args().any(|a| a == word);
    cost::table();
    cost::messages();
    if has("cost") {
        return;
    }
    let mut sizes = Vec::new();
    if !has("target") {
        sizes.push(Setup::today());
    }
    if !has("today") {
        sizes.push(Setup::target());
    }
    let all: &[Policy] = if has("quick") { &[Policy::AllKnowing, Policy::Owners] } else { &Policy::ALL };
    if !has("target") {
        seeds("today: churn", &Setup::today());
        memory();
        seeds("today: surge", &Setup::today().without_changes().with_surge());
    }
    for size in sizes {
        table(&format!("{}: churn", size.name), &size, all);
        table(&format!("{}: surge", size.name), &size.clone().without_changes().with_surge(), all);
        table(
            &format!("{}: surge and churn, callers at any router", size.name),
            &size.clone().with_surge().with_named(0.0),
            &[Policy::AllKnowing, Policy::Scaled, Policy::Shares, Policy::Owners],
        );
        table(
            &format!("{}: churn, entry answers name the owner for a chat", size.name),
            &size.with_entered(0.9),
            &[Policy::Owners],
        );
    }
}

fn table(title: &str, setup: &Setup, policies: &[Policy]) {
    println!("\n{title}: {} routers, {} engines, {} chats", setup.routers, setup.engines, setup.chats);
    println!(
        "{:24} {:>8} {:>6} {:>6} {:>6} {:>6} {:>8} {:>6} {:>5} {:>6} {:>6} {:>7} {:>8} {:>8} {:>5}",
        "",
        "requests",
        "reuse",
        "+moved",
        "worst",
        "usual",
        "over",
        "in use",
        "over",
        "msgs",
        "asks",
        "scored",
        "failed",
        "refused",
        "s"
    );
    for chunk in policies.chunks(THREADS) {
        let runs: Vec<_> = thread::scope(|scope| {
            let tasks: Vec<_> = chunk.iter().map(|&p| scope.spawn(move || timed(setup, p))).collect();
            tasks.into_iter().filter_map(|t| t.join().ok()).collect()
        });
        for (policy, (o, seconds)) in chunk.iter().zip(runs) {
            println!(
                "{:24} {:8} {:6.4} {:6.4} {:6.3} {:6.3} {:4}/{:3} {:6.3} {:5} {:6.3} {:6.3} {:7.1} {:8.5} {:8.5} {:5.1}",
                policy.name(),
                o.requests,
                o.reuse,
                o.reuse_moved,
                o.worst,
                o.usual,
                o.over,
                o.samples,
                o.worst_in_use,
                o.over_in_use,
                o.messages,
                o.asks,
                o.scored,
                o.failed,
                o.refused,
                seconds
            );
        }
    }
}

/// Small pools vary by chance: the same over many seeds.
fn seeds(title: &str, setup: &Setup) {
    println!("\n{title}, {SEEDS} seeds");
    println!("{:24} {:>10} {:>6} {:>11} {:>6} {:>11}", "", "reuse/best", "worst", "over", "in use", "over");
    let run = |policy| -> Vec<Outcome> {
        (0..SEEDS).map(|seed| model::run(&Setup { seed, ..setup.clone() }, policy)).collect()
    };
    let best: f64 = run(Policy::AllKnowing).iter().map(|o| o.reuse).sum();
    for policy in Policy::ALL {
        let runs = run(policy);
        let reuse: f64 = runs.iter().map(|o| o.reuse).sum();
        let worst = runs.iter().map(|o| o.worst).fold(0.0, f64::max);
        let in_use = runs.iter().map(|o| o.worst_in_use).fold(0.0, f64::max);
        let (over, over_in_use) = runs.iter().fold((0, 0), |n, o| (n.0 + o.over, n.1 + o.over_in_use));
        let samples: u64 = runs.iter().map(|o| o.samples).sum();
        println!(
            "{:24} {:10.4} {worst:6.3} {over:5}/{samples} {in_use:6.3} {over_in_use:5}/{samples}",
            policy.name(),
            reuse / best
        );
    }
}

/// Reuse by the memory of the caches, and what cache events add to it.
fn memory() {
    println!("\ntoday: churn, {SEEDS} seeds, by memory of a cache over its share of the chats");
    println!("{:>7} {:>12} {:>22} {:>22}", "memory", "all-knowing", "owners/best, events", "without events");
    for memory in [2.0, 1.0, 0.7, 0.5] {
        let setup = Setup { memory, ..Setup::today() };
        let sum = |setup: &Setup, policy| -> f64 {
            (0..SEEDS).map(|seed| model::run(&Setup { seed, ..setup.clone() }, policy).reuse).sum()
        };
        let best = sum(&setup, Policy::AllKnowing);
        let with = sum(&setup, Policy::Owners) / best;
        let without = sum(&setup.without_cache_events(), Policy::Owners) / best;
        println!("{memory:7} {:12.4} {with:22.4} {without:22.4}", best / SEEDS as f64);
    }
}

fn timed(setup: &Setup, policy: Policy) -> (Outcome, f64) {
    let start = Instant::now();
    let outcome = model::run(setup, policy);
    (outcome, start.elapsed().as_secs_f64())
}
