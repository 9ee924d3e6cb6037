//! Long fault soak, and measurement of the time that a fleet takes to recover after all of its hosts were killed.
//!
//! `-- soak SEED [SEEDS [HOSTS [FAULTS]]]` runs SEEDS seeds from SEED on and prints the result of each; it fails if there are
//! violations. `-- restores ...` does the same while the store is restored from backups, `-- changes ...` while the
//! configuration changes, `-- versions ...` while servers of two versions serve, `-- cuts ...` while servers of new
//! versions join and hosts are cut off from each other or stand still, `-- crashes ...` while requests with one prompt part crash servers,
//! `-- silences ...` while servers fall silent, `-- late-readers ...` while servers read bodies late. `-- endless-bytes ...` does
//! it while two servers send bytes without end, of another kind with each seed, and compares times and memory with the same run
//! without such bytes. `-- recover HOSTS...` starts fleets of the given sizes, kills all hosts of each, starts them again and
//! prints times and memory.

#[path = "../tests/support/relay.rs"]
mod relay_support;
#[path = "../tests/support/soak.rs"]
mod soak;
#[path = "../tests/support/wire.rs"]
mod wire;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use soak::{
    Report, Scenario, Soak, checks::History, conduct::EndlessBytes, hosts::Hosts, store, store::Store,
};

/// Defaults of the arguments: first seed, number of seeds, hosts and faults.
const DEFAULT_ARGS: [usize; 4] = [1, 3, 6, 20];
/// Number of callers for each host.
const CALLERS_PER_HOST: usize = 4;
/// Numbers of hosts for which recovery is measured by default.
const FLEET_SIZES: [usize; 3] = [8, 30, 100];
/// Timeout for all hosts of a fleet to get ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of backend servers registered for each host, 33 at the target size.
const SERVERS_PER_HOST: usize = 33;
/// Address of these servers, which receive no requests.
const UNUSED_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1)), 9);
/// Time without faults for membership and configuration to propagate.
const SETTLE_TIME: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let numbers: Vec<usize> = args.iter().filter_map(|a| a.parse().ok()).collect();
    if args.first().is_some_and(|a| a == "recover") {
        let sizes = if numbers.is_empty() { FLEET_SIZES.to_vec() } else { numbers };
        for hosts in sizes {
            recover(hosts).await;
        }
        return ExitCode::SUCCESS;
    }
    let option = |n: usize| numbers.get(n).copied().unwrap_or(DEFAULT_ARGS[n]);
    let scenario = match args.first().map(String::as_str) {
        Some("restores") => Scenario::Restores,
        Some("changes") => Scenario::Changes,
        Some("versions") => Scenario::Versions,
        Some("cuts") => Scenario::Cuts,
        Some("crashes") => Scenario::Crashes,
        Some("silences") => Scenario::Silences,
        Some("late-readers") => Scenario::LateReaders,
        Some("endless-bytes") => Scenario::EndlessBytes(&EndlessBytes::ALL),
        _ => Scenario::Failures,
    };
    run_seeds(option(0) as u64, option(1) as u64, option(2), option(3), scenario).await
}

/// Runs a scenario with consecutive seeds and prints the results; fails if there are violations.
async fn run_seeds(
    first_seed: u64,
    seed_count: u64,
    hosts: usize,
    faults: usize,
    scenario: Scenario,
) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for seed in first_seed..first_seed + seed_count {
        let soak = Soak::with_seed(seed)
            .with_hosts(hosts)
            .with_callers(CALLERS_PER_HOST * hosts)
            .with_faults(faults);
        let report = match scenario {
            Scenario::EndlessBytes(kinds) => {
                let kind = seed as usize % kinds.len();
                run_with_and_without(soak, &kinds[kind..=kind]).await
            }
            _ => soak.with_scenario(scenario).run().await,
        };
        let (violations, faults) = (report.violations.len(), report.faults.join(", "));
        println!("seed {seed}: {violations} violations; {}; faults: {faults}", report.outcomes);
        if !report.violations.is_empty() {
            println!("{report:#?}");
            code = ExitCode::FAILURE;
        }
    }
    code
}

/// Runs with servers that send bytes without end and without; returns the report of the former, with the limits of its cost.
async fn run_with_and_without(soak: Soak, kinds: &'static [EndlessBytes]) -> Report {
    let without = soak.with_scenario(Scenario::EndlessBytes(&[])).run().await;
    let mut report = soak.with_scenario(Scenario::EndlessBytes(kinds)).run().await;
    println!("{kinds:?}: {:?}; without: {:?}", report.usage, without.usage);
    report.violations.extend(report.usage.violations(&without.usage));
    report
}

/// Measures how soon a fleet is ready again after all of its hosts were killed.
async fn recover(count: usize) {
    let (history, store) = (Arc::new(History::default()), Store::start().await);
    store.put("config", "main", store::configuration(1, false));
    for n in 0..count * SERVERS_PER_HOST {
        store.put("servers", &format!("i-{n:08x}"), store::server(UNUSED_ADDR, "ready"));
    }
    let hosts = Hosts::start(count, store.addr(), history);
    let start_time = hosts.wait_until_ready(START_TIMEOUT).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let peaks_before = hosts.peak_memory_kb();
    hosts.kill_all(Duration::ZERO).await;
    let restart_time = hosts.wait_until_ready(START_TIMEOUT).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let peaks_after = hosts.peak_memory_kb();
    let max_mb = |kb: &[u64]| kb.iter().max().copied().unwrap_or(0) / 1_000;
    println!(
        "{count} hosts: ready after {} ms, again {} ms after all were killed; peak memory {} MB before, {} MB after",
        start_time.as_millis(),
        restart_time.as_millis(),
        max_mb(&peaks_before),
        max_mb(&peaks_after)
    );
}
