//! `demo`: a small fleet with stand-ins in one process, returning chats and saves while engines join, leave and
//! flap, and a table of what came of them.

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
    serve::Running,
    standin::{
        caller::Caller,
        gate::Mode,
        outside::{StandinConfig, Standins, WORKSPACES, loopback_listener, settings},
    },
    util::hash,
};

const ROUTERS: usize = 3;
const TURNS: usize = 8;
const TRIES: usize = 8;
const CAPACITY: u32 = 32;
const TOKENS: usize = 30;
const TOKEN_TIME: Duration = Duration::from_millis(15);
/// Longest pause of a caller between two turns.
const TURN_PAUSE_MS: u64 = 800;
const CHURN_PAUSE: Duration = Duration::from_millis(700);
const READY_TIME: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(20);

/// Runs a small fleet with stand-ins in one process; fails when a promise was broken.
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
        rt.block_on(demo(self.chats))
    }
}

/// What the callers saw.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    answered: u32,
    failed: u32,
    wrong: u32,
    saved: u32,
    not_run: u32,
    unknown: u32,
    false_not_run: u32,
}

impl Seen {
    fn add(&mut self, other: Seen) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.wrong += other.wrong;
        self.saved += other.saved;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.false_not_run += other.false_not_run;
    }
}

async fn demo(chats: usize) -> Result<ExitCode> {
    say(&format!("starting {ROUTERS} routers, 9 engines, 3 backend servers of a plain service\n"));
    let mut outside =
        Standins::start(StandinConfig::default().with_tokens(TOKENS, TOKEN_TIME).with_capacity(CAPACITY))
            .await?;
    let routers = start_routers(&outside)?;
    ready(&routers).await?;
    say(&format!(
        "playing {chats} chats of {TURNS} turns, a save after each; engines join, leave and flap\n"
    ));
    let started = Instant::now();
    let addresses: Vec<_> = routers.iter().map(Running::addr).collect();
    let tokens = outside.tokens();
    let tasks: Vec<_> = (0..chats).map(|i| tokio::spawn(converse(i, addresses.clone(), tokens))).collect();
    churn(&mut outside).await?;
    let mut seen = Seen::default();
    for task in tasks {
        let (part, refused) = task.await?;
        seen.add(part);
        seen.false_not_run += refused.iter().filter(|key| outside.has_run(key)).count() as u32;
    }
    let doubled = outside.duplicate_runs().len();
    say(&report(&outside, &routers, seen, doubled, started.elapsed()));
    routers.into_iter().for_each(Running::close);
    outside.close();
    let kept = seen.failed == 0 && seen.wrong == 0 && seen.false_not_run == 0 && doubled == 0;
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn start_routers(outside: &Standins) -> Result<Vec<Running>> {
    let listeners =
        (0..ROUTERS).map(|_| Ok((loopback_listener()?, loopback_listener()?))).collect::<Result<Vec<_>>>()?;
    let seeds = listeners.iter().map(|(_, peer)| Ok(peer.local_addr()?)).collect::<Result<Vec<_>>>()?;
    let mut routers = Vec::new();
    for (i, (listener, peer)) in listeners.into_iter().enumerate() {
        let name = format!("router-{i}");
        let peer_addr = peer.local_addr()?;
        drop(peer);
        let text = settings(&name, listener.local_addr()?, peer_addr, outside.platform_addr(), &seeds);
        routers.push(Running::start_on(&Settings::parse(&text)?, listener)?);
    }
    Ok(routers)
}

async fn ready(routers: &[Running]) -> Result<()> {
    let waiting = async {
        while routers.iter().any(|r| r.gateway().catalog().version == 0) {
            tokio::time::sleep(READY_POLL).await;
        }
    };
    tokio::time::timeout(READY_TIME, waiting).await.context("a router got no configuration in time")
}

/// One engine flaps, one leaves for good and one joins while the chats go on.
async fn churn(outside: &mut Standins) -> Result<()> {
    for mode in [Mode::Refuse, Mode::Open, Mode::Refuse, Mode::Open] {
        tokio::time::sleep(CHURN_PAUSE).await;
        outside.engine_proxies[0].set_mode(mode).await?;
    }
    outside.engine_proxies[1].set_mode(Mode::Refuse).await?;
    outside.add_engine().await
}

async fn converse(i: usize, addresses: Vec<SocketAddr>, tokens: usize) -> (Seen, Vec<String>) {
    let mut caller = Caller::new(WORKSPACES[i % WORKSPACES.len()], &format!("chat-{i}"), addresses);
    let mut seen = Seen::default();
    let mut refused = Vec::new();
    if caller.fetch_addresses().await.is_err() {
        seen.failed += 1;
        return (seen, refused);
    }
    tokio::time::sleep(pause(i, TURNS)).await;
    for turn in 0..TURNS {
        match caller.send_turn(TRIES).await {
            Ok(answer) if caller.is_complete(&answer, tokens) => seen.answered += 1,
            Ok(_) => seen.wrong += 1,
            Err(e) => {
                spdlog::warn!("chat-{i}: {e:#}");
                seen.failed += 1;
            }
        }
        save(&caller, &format!("save-{i}-{turn}"), &mut seen, &mut refused).await;
        tokio::time::sleep(pause(i, turn)).await;
    }
    (seen, refused)
}

/// Callers come at different times, the same in every run.
fn pause(chat: usize, turn: usize) -> Duration {
    Duration::from_millis(hash((chat, turn)) % TURN_PAUSE_MS)
}

async fn save(caller: &Caller, key: &str, seen: &mut Seen, refused: &mut Vec<String>) {
    match caller.save(caller.addresses()[0], key).await {
        Ok(answer) if answer.status == 200 => seen.saved += 1,
        Ok(answer) if answer.outcome == "not-run" => {
            seen.not_run += 1;
            refused.push(key.to_owned());
        }
        _ => seen.unknown += 1,
    }
}

fn report(outside: &Standins, routers: &[Running], seen: Seen, doubled: usize, took: Duration) -> String {
    let (reuse, skew) = outside.hit_rate_and_skew();
    let mut text = String::new();
    let mut row = |name: &str, value: String| {
        let _ = writeln!(text, "{name:44} {value}");
    };
    row("chat turns answered whole", seen.answered.to_string());
    row("chat turns given up", seen.failed.to_string());
    row("answers that were cut or another's", seen.wrong.to_string());
    row("saves that ran", seen.saved.to_string());
    row("saves refused as not run", seen.not_run.to_string());
    row("saves with unknown outcome", seen.unknown.to_string());
    row("saves refused as not run that ran", seen.false_not_run.to_string());
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
            row(&format!("{} {value}", counter.shown().name), n.to_string());
        }
    }
    let control: u64 = sum(routers, Counter::ControlBytes).values().sum();
    let rate = control as f64 / routers.len().max(1) as f64 / took.as_secs_f64();
    row("control bytes a second a router", format!("{rate:.0}"));
    text
}

fn sum(routers: &[Running], counter: Counter) -> BTreeMap<String, u64> {
    let mut totals = BTreeMap::new();
    for (value, n) in routers.iter().flat_map(|r| r.metrics().totals(counter)) {
        *totals.entry(value).or_default() += n;
    }
    totals
}

/// Prints; a closed pipe is no reason to fail.
fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    let _ = out.flush();
}
