//! `run_demo`: runs a small fleet with simulated callers, engines and backend servers in one process, with returning
//! chats and saves while engines join, leave and flap, and prints a table of the results.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::Write as _,
    net::SocketAddr,
    process::ExitCode,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use gumdrop::Options;

use super::Run;
use crate::{
    config::Settings,
    logs,
    metrics::Counter,
    serve::RunningRouter,
    standin::{
        caller::Caller,
        gate::Mode,
        outside::{StandinConfig, Standins, WORKSPACES, loopback_listener, settings},
    },
    util::hash,
};

const ROUTERS: usize = 3;
const TURNS_PER_CHAT: usize = 8;
const ATTEMPTS_PER_TURN: usize = 8;
const ENGINE_CAPACITY: u32 = 32;
const TOKENS_PER_ANSWER: usize = 30;
const TOKEN_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum pause of a caller between two turns.
const MAX_TURN_PAUSE_MS: u64 = 800;
const CHURN_PAUSE: Duration = Duration::from_millis(700);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a small fleet with stand-ins in one process; fails if a guarantee to callers was violated.
#[derive(Debug, Options)]
pub(crate) struct Demo {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of chats", default = "150")]
    chats: usize,
}

impl Run for Demo {
    fn run(&self) -> Result<ExitCode> {
        logs::start("error", "text")?;
        let rt = tokio::runtime::Runtime::new().context("could not start the runtime")?;
        rt.block_on(run_demo(self.chats))
    }
}

/// Results observed by the callers.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    answered: u32,
    failed: u32,
    wrong: u32,
    saved: u32,
    not_run: u32,
    unknown: u32,
    false_not_run: u32,
}

impl Results {
    fn add(&mut self, other: Results) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.wrong += other.wrong;
        self.saved += other.saved;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.false_not_run += other.false_not_run;
    }
}

async fn run_demo(chats: usize) -> Result<ExitCode> {
    print_flushed(&format!("starting {ROUTERS} routers, 9 engines, 3 backend servers of a plain service\n"));
    let mut outside = Standins::start(
        StandinConfig::default()
            .with_tokens(TOKENS_PER_ANSWER, TOKEN_INTERVAL)
            .with_capacity(ENGINE_CAPACITY),
    )
    .await?;
    let routers = start_routers(&outside)?;
    wait_until_ready(&routers).await?;
    print_flushed(&format!(
        "playing {chats} chats of {TURNS_PER_CHAT} turns, a save after each; engines join, leave and flap\n"
    ));
    let started = Instant::now();
    let addresses: Vec<_> = routers.iter().map(RunningRouter::addr).collect();
    let tokens = outside.tokens();
    let tasks: Vec<_> = (0..chats).map(|i| tokio::spawn(run_chat(i, addresses.clone(), tokens))).collect();
    churn(&mut outside).await?;
    let mut results = Results::default();
    for task in tasks {
        let (part, refused) = task.await?;
        results.add(part);
        results.false_not_run += refused.iter().filter(|key| outside.has_run(key)).count() as u32;
    }
    let doubled = outside.duplicate_runs().len();
    print_flushed(&report(&outside, &routers, results, doubled, started.elapsed()));
    routers.into_iter().for_each(RunningRouter::close);
    outside.close();
    let passed = results.failed == 0 && results.wrong == 0 && results.false_not_run == 0 && doubled == 0;
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn start_routers(outside: &Standins) -> Result<Vec<RunningRouter>> {
    let listeners =
        (0..ROUTERS).map(|_| Ok((loopback_listener()?, loopback_listener()?))).collect::<Result<Vec<_>>>()?;
    let seeds = listeners.iter().map(|(_, peer)| Ok(peer.local_addr()?)).collect::<Result<Vec<_>>>()?;
    let mut routers = Vec::new();
    for (i, (listener, peer)) in listeners.into_iter().enumerate() {
        let name = format!("router-{i}");
        let peer_addr = peer.local_addr()?;
        drop(peer);
        let text = settings(&name, listener.local_addr()?, peer_addr, outside.platform_addr(), &seeds);
        routers.push(RunningRouter::start_on(&Settings::parse(&text)?, listener)?);
    }
    Ok(routers)
}

async fn wait_until_ready(routers: &[RunningRouter]) -> Result<()> {
    let waiting = async {
        while routers.iter().any(|r| r.gateway().catalog().version == 0) {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, waiting).await.context("a router got no configuration in time")
}

/// Makes one engine flap, one leave permanently and one join while the chats run.
async fn churn(outside: &mut Standins) -> Result<()> {
    for mode in [Mode::Refuse, Mode::Open, Mode::Refuse, Mode::Open] {
        tokio::time::sleep(CHURN_PAUSE).await;
        outside.engine_proxies[0].set_mode(mode).await?;
    }
    outside.engine_proxies[1].set_mode(Mode::Refuse).await?;
    outside.add_engine().await
}

async fn run_chat(i: usize, addresses: Vec<SocketAddr>, tokens: usize) -> (Results, Vec<String>) {
    let mut caller = Caller::new(WORKSPACES[i % WORKSPACES.len()], &format!("chat-{i}"), addresses);
    let mut results = Results::default();
    let mut refused = Vec::new();
    if caller.fetch_addresses().await.is_err() {
        results.failed += 1;
        return (results, refused);
    }
    tokio::time::sleep(turn_pause(i, TURNS_PER_CHAT)).await;
    for turn in 0..TURNS_PER_CHAT {
        match caller.send_turn(ATTEMPTS_PER_TURN).await {
            Ok(answer) if caller.is_complete(&answer, tokens) => results.answered += 1,
            Ok(_) => results.wrong += 1,
            Err(e) => {
                spdlog::warn!("chat-{i}: {e:#}");
                results.failed += 1;
            }
        }
        save(&caller, &format!("save-{i}-{turn}"), &mut results, &mut refused).await;
        tokio::time::sleep(turn_pause(i, turn)).await;
    }
    (results, refused)
}

/// Returns a pause that differs between callers and turns but is the same in every run.
fn turn_pause(chat: usize, turn: usize) -> Duration {
    Duration::from_millis(hash((chat, turn)) % MAX_TURN_PAUSE_MS)
}

async fn save(caller: &Caller, key: &str, results: &mut Results, refused: &mut Vec<String>) {
    match caller.save(caller.addresses()[0], key).await {
        Ok(answer) if answer.status == 200 => results.saved += 1,
        Ok(answer) if answer.outcome == "not-run" => {
            results.not_run += 1;
            refused.push(key.to_owned());
        }
        _ => results.unknown += 1,
    }
}

fn report(
    outside: &Standins,
    routers: &[RunningRouter],
    results: Results,
    doubled: usize,
    took: Duration,
) -> String {
    let (reuse, skew) = outside.hit_rate_and_skew();
    let mut text = String::new();
    let mut row = |name: &str, value: String| {
        let _ = writeln!(text, "{name:44} {value}");
    };
    row("chat turns answered whole", results.answered.to_string());
    row("chat turns given up", results.failed.to_string());
    row("answers that were cut or another's", results.wrong.to_string());
    row("saves that ran", results.saved.to_string());
    row("saves refused as not run", results.not_run.to_string());
    row("saves with unknown outcome", results.unknown.to_string());
    row("saves refused as not run that ran", results.false_not_run.to_string());
    row("saves that ran twice", doubled.to_string());
    row("cache reuse of returning chats", format!("{reuse:.3}"));
    row("requests of the busiest engine over the mean", format!("{skew:.2}"));
    for counter in [
        Counter::Refusals,
        Counter::Retries,
        Counter::RetriesRefused,
        Counter::Placements,
        Counter::Streams,
        Counter::Claims,
    ] {
        for (value, n) in sum(routers, counter) {
            row(&format!("{} {value}", counter.spec().name), n.to_string());
        }
    }
    let control: u64 = sum(routers, Counter::ControlBytes).values().sum();
    let rate = control as f64 / routers.len().max(1) as f64 / took.as_secs_f64();
    row("control bytes a second a router", format!("{rate:.0}"));
    text
}

fn sum(routers: &[RunningRouter], counter: Counter) -> BTreeMap<String, u64> {
    let mut totals = BTreeMap::new();
    for (value, n) in routers.iter().flat_map(|r| r.metrics().totals(counter)) {
        *totals.entry(value).or_default() += n;
    }
    totals
}

/// Prints to standard output; ignores a closed pipe.
fn print_flushed(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    let _ = out.flush();
}
