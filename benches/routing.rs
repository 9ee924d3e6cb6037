//! Tables of the routing policy: cache reuse through churn, skew under a surge, cost of a decision.
//!
//! `cargo bench --bench routing` prints all of them; `-- today` only those of the sizes of today.

use std::{thread, time::Instant};

#[path = "routing/model.rs"]
mod model;

use model::{Outcome, Policy, Setup};

/// Runs at a time, so that the machine stays usable.
const THREADS: usize = 3;

fn main() {
    let has = |word: &str| std::env::args().any(|a| a == word);
    let mut sizes = Vec::new();
    if !has("target") {
        sizes.push(Setup::today());
    }
    if !has("today") {
        sizes.push(Setup::target());
    }
    let all: &[Policy] = if has("quick") { &[Policy::AllKnowing, Policy::Owners] } else { &Policy::ALL };
    if has("trial") {
        let mut mid = Setup::target();
        (mid.engines, mid.routers, mid.chats, mid.warm, mid.seconds) = (200, 6, 246_000, 500.0, 1_000.0);
        let own = &[Policy::Owners];
        table("still", &mid.clone().without_changes(), own);
        table("churn", &mid, own);
        table("surge", &mid.clone().without_changes().with_surge(), own);
        return;
    }
    for size in sizes {
        table(&format!("{}: churn", size.name), &size, all);
        table(&format!("{}: surge", size.name), &size.clone().without_changes().with_surge(), all);
        table(
            &format!("{}: surge and churn, callers at any router", size.name),
            &size.with_surge().with_named(0.0),
            &[Policy::AllKnowing, Policy::Scaled, Policy::Shares, Policy::Owners],
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

fn timed(setup: &Setup, policy: Policy) -> (Outcome, f64) {
    let start = Instant::now();
    let outcome = model::run(setup, policy);
    (outcome, start.elapsed().as_secs_f64())
}
