//! Start of a whole fleet after all of its hosts were killed, in virtual time, by number of hosts: the time until the hosts
//! have the list of backend servers, and what they read of the store, for each way in which they may read it.
//!
//! `-- HOSTS...` plays other sizes than 300, 1,000 and 2,000, each with ten servers a host.

use std::time::Duration;

#[path = "../tests/support/start.rs"]
mod start;

use start::{Answers, Policy, Start};

const DEFAULT_SIZES: [usize; 3] = [300, 1_000, 2_000];
/// Range of the random wait of the way without turns.
const WINDOW: Policy = Policy::Window(Duration::from_millis(300), Duration::from_millis(1_800));
/// Ways to read the list and to answer others. The way without turns answers three at once and lets none wait.
const WAYS: [(&str, Policy, Answers); 3] = [
    ("window", WINDOW, Answers::Whole { slots: 3, queue: 0 }),
    ("turn", Policy::Turn, Answers::Whole { slots: 1, queue: 2 }),
    ("pass-on", Policy::Turn, Answers::PassedOn),
];
/// How long the store is slow or silent in those cases, and its answer while it is slow.
const DISTURBANCE: Duration = Duration::from_millis(3_500);
const SLOW_ANSWER: Duration = Duration::from_millis(120);

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { DEFAULT_SIZES.to_vec() } else { sizes };
    println!(
        "{:>6} {:>8} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9} {:>6}",
        "hosts", "servers", "store", "way", "first_ms", "half_ms", "all_ms", "store_mb", "asked"
    );
    for hosts in sizes {
        for (store, start) in cases(hosts) {
            for (way, policy, answers) in WAYS {
                print_row(store, way, Start { policy, answers, ..start });
            }
        }
    }
}

fn cases(hosts: usize) -> [(&'static str, Start); 4] {
    let whole = Start::of(hosts);
    [
        ("whole", whole),
        ("noseeds", Start { seeds: 0, ..whole }),
        ("slow", Start { slow_until: DISTURBANCE, slow_answer: SLOW_ANSWER, ..whole }),
        ("silent", Start { silent_until: DISTURBANCE, ..whole }),
    ]
}

fn print_row(store: &str, way: &str, start: Start) {
    let outcome = start.run();
    let ms = |at: Option<Duration>| at.map_or("-".into(), |at| at.as_millis().to_string());
    println!(
        "{:>6} {:>8} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9.0} {:>6.1}",
        start.hosts,
        start.servers,
        store,
        way,
        ms(outcome.first),
        ms(outcome.half),
        ms(outcome.all),
        outcome.store_bytes / 1e6,
        outcome.asked
    );
}
