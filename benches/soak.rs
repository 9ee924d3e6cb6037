//! A long fault soak, and how soon a fleet serves again after all of its hosts were killed.
//!
//! `-- soak SEED [SEEDS [HOSTS [FAULTS]]]` plays so many seeds and prints what came of each; it fails when a promise was
//! broken. `-- restores ...` does the same while the store is restored from copies, `-- changes ...` while the configuration changes. `-- recover HOSTS...` starts that many hosts, kills all, starts them again and prints times and memory.

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

use soak::{Soak, What, checks::History, hosts::Hosts, store, store::Store};

/// Seed, seeds, hosts and faults of a run without arguments.
const DEFAULTS: [usize; 4] = [1, 3, 6, 20];
/// Callers for each host.
const CALLERS: usize = 4;
/// Fleets whose recovery is measured unless others are named.
const FLEETS: [usize; 3] = [8, 30, 100];
/// Longest wait for a fleet.
const PATIENCE: Duration = Duration::from_secs(60);
/// Backend servers that are listed for each host: at the target size there are 33.
const SERVERS_A_HOST: usize = 33;
/// Where they stand; nothing is sent there.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1)), 9);
/// Calm before the fault: members and configuration have spread.
const CALM: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let numbers: Vec<usize> = args.iter().filter_map(|a| a.parse().ok()).collect();
    if args.first().is_some_and(|a| a == "recover") {
        let fleets = if numbers.is_empty() { FLEETS.to_vec() } else { numbers };
        for hosts in fleets {
            recover(hosts).await;
        }
        return ExitCode::SUCCESS;
    }
    let option = |n: usize| numbers.get(n).copied().unwrap_or(DEFAULTS[n]);
    let what = match args.first().map(String::as_str) {
        Some("restores") => What::Restores,
        Some("changes") => What::Changes,
        _ => What::Failures,
    };
    play(option(0) as u64, option(1) as u64, option(2), option(3), what).await
}

async fn play(first: u64, seeds: u64, hosts: usize, faults: usize, what: What) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for seed in first..first + seeds {
        let soak = Soak::with_seed(seed).with_hosts(hosts).with_callers(CALLERS * hosts).with_faults(faults);
        let report = soak.with_what(what).run().await;
        println!("seed {seed}: {} broken; {}", report.broken.len(), report.seen);
        if !report.broken.is_empty() {
            println!("{report:#?}");
            code = ExitCode::FAILURE;
        }
    }
    code
}

async fn recover(count: usize) {
    let (history, store) = (Arc::new(History::default()), Store::start().await);
    store.put("config", "main", store::configuration(1, false));
    for n in 0..count * SERVERS_A_HOST {
        store.put("servers", &format!("i-{n:08x}"), store::server(NOWHERE, "ready"));
    }
    let hosts = Hosts::start(count, store.addr(), history);
    let first = hosts.wait_until_ready(PATIENCE).await;
    tokio::time::sleep(CALM).await;
    let calm = hosts.peaks_kb();
    hosts.kill_all(Duration::ZERO).await;
    let again = hosts.wait_until_ready(PATIENCE).await;
    tokio::time::sleep(CALM).await;
    let peaks = hosts.peaks_kb();
    let most = |kb: &[u64]| kb.iter().max().copied().unwrap_or(0) / 1_000;
    println!(
        "{count} hosts: ready after {} ms, again {} ms after all were killed; largest {} MB, then {} MB",
        first.as_millis(),
        again.as_millis(),
        most(&calm),
        most(&peaks)
    );
}
