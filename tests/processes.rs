//! Real router processes on loopback, with stand-ins for the external systems.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cranberrytally::{
    client::Client,
    objects::Platform,
    standin::{
        caller::{Answer, Caller},
        engine,
        outside::{StandinConfig, Standins, WORKSPACES},
        platform::Faults,
        service,
    },
};
use http::Method;
use rustix::process::Signal;
use tokio::{sync::watch, task::JoinSet};

#[path = "support/process.rs"]
mod process;

use process::Router;

const CHATS: usize = 24;
/// Chats that stream concurrently while a router or an engine leaves; nearly three per engine.
const STREAMS: usize = 24;
const TURNS: usize = 4;
const MAX_TRIES: usize = 200;
/// Limit for each wait, against a test that hangs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one save request; a router asks two others for a claim before it refuses.
const SAVE_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of callers that save, and their attempts between two faults.
const SAVER_COUNT: usize = 12;
const ATTEMPTS_BETWEEN_FAULTS: usize = 60;
/// Tokens of a response that lasts longer than a leaving router waits for callers with old entry answers.
const LONG_RESPONSE_TOKENS: usize = 700;

fn start_three(platform: SocketAddr) -> Vec<Router> {
    let first = Router::start("r0", platform, &[]);
    let seeds = [first.peer];
    let rest = (1..3).map(|i| Router::start(&format!("r{i}"), platform, &seeds));
    std::iter::once(first).chain(rest.collect::<Vec<_>>()).collect()
}

fn addresses(routers: &[Router]) -> Vec<SocketAddr> {
    routers.iter().map(|r| r.addr).collect()
}

/// Addresses in a router's entry answer.
async fn entry_addresses(router: SocketAddr) -> Vec<SocketAddr> {
    let mut asker = Caller::new(WORKSPACES[0], "asker", vec![router]).with_timeout(WAIT_TIMEOUT);
    match asker.fetch_addresses().await {
        Ok(()) => asker.addresses()[..asker.addresses().len() - 1].to_vec(),
        Err(_) => Vec::new(),
    }
}

async fn wait_until(what: &str, done: impl AsyncFn() -> bool) {
    let work = async {
        while !done().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, work).await.unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}

/// Waits until the entry answer of each router names all routers.
async fn wait_until_converged(routers: &[Router]) {
    for r in routers {
        wait_until("an entry answer that names all routers", async || {
            entry_addresses(r.addr).await.len() == routers.len()
        })
        .await;
    }
}

/// Returns the next response of a chat, retried at other routers as needed.
async fn turn(caller: &mut Caller) -> Answer {
    caller.send_turn(MAX_TRIES).await.unwrap()
}

/// Concurrent callers that each save under one new key after another until they are stopped.
struct Savers {
    tasks: JoinSet<BTreeMap<String, String>>,
    attempts: Arc<AtomicUsize>,
    not_run: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
    addresses: watch::Sender<Vec<SocketAddr>>,
}

impl Savers {
    fn start(routers: &[Router]) -> Self {
        let (stop, stopped) = watch::channel(false);
        let (addresses, current_addresses) = watch::channel(addresses(routers));
        let (attempts, not_run) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let mut tasks = JoinSet::new();
        for n in 0..SAVER_COUNT {
            let (stopped, current_addresses) = (stopped.clone(), current_addresses.clone());
            let (attempts, not_run) = (attempts.clone(), not_run.clone());
            tasks.spawn(async move {
                let mut outcomes = BTreeMap::new();
                while !*stopped.borrow() {
                    let own_key = format!("own-{n}-{}", outcomes.len());
                    let key = if n % 2 == 0 {
                        own_key
                    } else {
                        key_with_ticket(&current_addresses, n, own_key).await
                    };
                    let outcome = save_until_final(n, &current_addresses, &attempts, &key).await;
                    not_run.fetch_add(usize::from(outcome == "not-run"), Ordering::Relaxed);
                    outcomes.insert(key, outcome);
                }
                outcomes
            });
        }
        Self { tasks, attempts, not_run, stop, addresses }
    }

    /// Waits until `ATTEMPTS_BETWEEN_FAULTS` more attempts have ended.
    async fn wait_for_progress(&self) {
        let from = self.attempts.load(Ordering::Relaxed);
        wait_until("more attempts", async || {
            self.attempts.load(Ordering::Relaxed) >= from + ATTEMPTS_BETWEEN_FAULTS
        })
        .await;
    }

    /// Waits until one more save has the final outcome `not-run`.
    async fn wait_for_refusal(&self) {
        let from = self.not_run.load(Ordering::Relaxed);
        wait_until("a refused save", async || self.not_run.load(Ordering::Relaxed) > from).await;
    }

    /// Stops the callers; returns the final outcome of each key.
    async fn finish(self) -> BTreeMap<String, String> {
        self.stop.send(true).unwrap();
        let all = tokio::time::timeout(WAIT_TIMEOUT, self.tasks.join_all())
            .await
            .expect("the callers stop in time");
        all.into_iter().flatten().collect()
    }
}

/// Returns a key with a router's ticket, or the caller's own key if the router does not respond.
async fn key_with_ticket(
    current_addresses: &watch::Receiver<Vec<SocketAddr>>,
    n: usize,
    own_key: String,
) -> String {
    let addrs = current_addresses.borrow().clone();
    let url = format!("http://{}/v1/key-ticket", addrs[n % addrs.len()]);
    match Client::default().json(Method::GET, &url, None, Duration::from_secs(3)).await {
        Ok((200, body)) => format!("{}.{own_key}", body["ticket"].as_str().unwrap()),
        _ => own_key,
    }
}

/// Sends one save to one router after another until its outcome is final; returns the last outcome. Every third caller
/// takes a first `not-run` as final.
async fn save_until_final(
    n: usize,
    current_addresses: &watch::Receiver<Vec<SocketAddr>>,
    attempts: &AtomicUsize,
    key: &str,
) -> String {
    let caller = Caller::new(WORKSPACES[0], "saver", Vec::new()).with_timeout(SAVE_TIMEOUT);
    let (mut first, mut last) = (true, String::new());
    for i in 0..MAX_TRIES {
        let addrs = current_addresses.borrow().clone();
        let answer = caller.save_attempt(addrs[(n + i) % addrs.len()], key, first).await;
        attempts.fetch_add(1, Ordering::Relaxed);
        let body = answer.as_ref().map_or("", |a| a.body.as_str());
        let is_final = body.contains("key_unknown") || body.contains("key_expired");
        last = answer.as_ref().map_or("unknown", |a| a.outcome.as_str()).to_owned();
        first &= last == "not-run";
        if last == "ran" || is_final || (first && n.is_multiple_of(3)) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    last
}

/// Makes the services cut some responses after the save has run, and delay all of them so that faults coincide with
/// saves that have run.
fn set_service_faults(outside: &Standins) {
    for s in &outside.services {
        s.set_faults(service::Faults { late_ms: 30, cut_answers: 3, ..service::Faults::default() });
    }
}

/// Compares the outcomes that callers received with the runs that the backend servers recorded.
fn assert_at_most_once(outside: &Standins, outcomes: &BTreeMap<String, String>) {
    let count = |outcome: &str| outcomes.values().filter(|o| *o == outcome).count();
    println!(
        "{} keys: {} ran, {} not-run, {} unknown",
        outcomes.len(),
        count("ran"),
        count("not-run"),
        count("unknown")
    );
    assert_eq!(outside.duplicate_runs(), [""; 0]);
    let ran: BTreeSet<_> = outside.services.iter().flat_map(|s| s.runs().into_keys()).collect();
    let has_wrong_outcome = |(key, outcome): &(&String, &String)| match outcome.as_str() {
        "not-run" => ran.contains(*key),
        "ran" => !ran.contains(*key),
        _ => false,
    };
    assert_eq!(outcomes.iter().find(has_wrong_outcome), None);
    assert!(count("ran") > SAVER_COUNT, "{outcomes:?}");
}

/// Guards against a save that runs twice because a dead or outdated router did not share its claim. Routers are killed
/// and restarted one after the other, and the platform goes down and loses responses after writes, with a few dozen
/// attempts between two faults. Callers resend every save with an unknown outcome to other routers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_save_runs_at_most_once_while_routers_die_and_the_platform_flaps() {
    let outside = Standins::start(StandinConfig::default().with_engines(1)).await.unwrap();
    let platform = outside.platform_addr();
    let mut routers = start_three(platform);
    wait_until_converged(&routers).await;
    let savers = Savers::start(&routers);

    for round in 0..3 {
        set_service_faults(&outside);
        savers.wait_for_progress().await;
        outside.platform.set_faults(Faults { lose_answers: 5, ..Faults::default() });
        savers.wait_for_progress().await;
        routers[round].kill();
        savers.wait_for_progress().await;
        let seeds: Vec<_> = routers.iter().map(|r| r.peer).collect();
        routers[round] = Router::start(&format!("r{round}"), platform, &seeds);
        savers.addresses.send_replace(addresses(&routers));
        savers.wait_for_progress().await;
        outside.platform.set_faults(Faults { down: true, ..Faults::default() });
        outside.platform.close_watches();
        savers.wait_for_progress().await;
        savers.wait_for_refusal().await;
        outside.platform.set_faults(Faults { lose_answers: 5, ..Faults::default() });
        savers.wait_for_progress().await;
    }
    let outcomes = savers.finish().await;

    assert_at_most_once(&outside, &outcomes);
    assert!(outcomes.values().any(|o| o == "not-run"), "no save had the outcome not-run: {outcomes:?}");
    drop(routers);
    outside.close();
}

/// Concurrent chats that request addresses before each turn and try each turn once, until they are stopped.
struct Chats {
    tasks: JoinSet<usize>,
    answered: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
}

impl Chats {
    fn start(tokens: usize, routers: &[Router]) -> Self {
        let (stop, stopped) = watch::channel(false);
        let answered = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for i in 0..STREAMS {
            let mut addrs = addresses(routers);
            addrs.rotate_left(i % routers.len());
            let (stopped, answered) = (stopped.clone(), answered.clone());
            tasks.spawn(async move {
                let mut caller =
                    Caller::new(WORKSPACES[0], &format!("chat-{i}"), addrs).with_timeout(WAIT_TIMEOUT);
                let mut turns = 0;
                while !*stopped.borrow() {
                    caller.fetch_addresses().await.unwrap();
                    let answer = caller.send_turn(1).await.unwrap();
                    assert!(caller.is_complete(&answer, tokens), "{answer:?}");
                    answered.fetch_add(1, Ordering::Relaxed);
                    turns += 1;
                }
                turns
            });
        }
        Self { tasks, answered, stop }
    }

    /// Waits until as many more responses have completed as there are chats.
    async fn wait_for_progress(&self) {
        let from = self.answered.load(Ordering::Relaxed);
        wait_until("more answers", async || self.answered.load(Ordering::Relaxed) >= from + STREAMS).await;
    }

    /// Stops the chats; returns the number of turns, or panics if a chat failed.
    async fn finish(self) -> usize {
        self.stop.send(true).unwrap();
        self.tasks.join_all().await.into_iter().sum()
    }
}

/// Waits until the other routers no longer name a leaving router and its process has exited; returns its exit code.
async fn wait_for_exit(mut leaving: Router, others: &[Router]) -> Option<i32> {
    for r in others {
        wait_until("an entry answer without the leaving router", async || {
            !entry_addresses(r.addr).await.contains(&leaving.addr)
        })
        .await;
    }
    let ended = tokio::task::spawn_blocking(move || leaving.wait());
    tokio::time::timeout(WAIT_TIMEOUT, ended).await.expect("the router exits by itself").unwrap()
}

/// Routers shut down under load, one by a signal and one by the `drain` command, while chats stream through all of
/// them. No stream may be cut and no request refused, which would happen if a router exited while a response streams
/// through it, or while other routers or cached entry answers still name it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn routers_leave_under_load_and_cut_nothing() {
    let plan = StandinConfig::default().with_tokens(LONG_RESPONSE_TOKENS, Duration::from_millis(10));
    let outside = Standins::start(plan).await.unwrap();
    let mut routers = start_three(outside.platform_addr());
    wait_until_converged(&routers).await;
    let chats = Chats::start(LONG_RESPONSE_TOKENS, &routers);

    chats.wait_for_progress().await;
    let terminated = routers.remove(1);
    terminated.signal(Signal::TERM);
    let by_signal = wait_for_exit(terminated, &routers).await;
    chats.wait_for_progress().await;
    let drained = routers.remove(1);
    let (addr, settings) = (drained.addr.to_string(), drained.settings().to_owned());
    let output = tokio::task::spawn_blocking(move || process::command(&["drain", &addr, "-c", &settings]));
    assert!(output.await.unwrap().status.success());
    let by_command = wait_for_exit(drained, &routers).await;
    chats.wait_for_progress().await;

    let answered = chats.finish().await;
    println!("{answered} responses, all complete");
    assert_eq!((by_signal, by_command), (Some(0), Some(0)));
    drop(routers);
    outside.close();
}

/// An engine reports that it leaves while responses stream from it. The running responses must complete and no new chat
/// may go there, which would fail if a router cut the running ones or did not learn that the engine leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_engine_finishes_its_streams_and_gets_no_more() {
    const TOKENS: usize = 100;
    let plan = StandinConfig::default().with_tokens(TOKENS, Duration::from_millis(10));
    let outside = Standins::start(plan).await.unwrap();
    let routers = start_three(outside.platform_addr());
    wait_until_converged(&routers).await;
    let chats = Chats::start(TOKENS, &routers);
    let leaving = &outside.engines[0];
    wait_until("work on the engine", async || leaving.running() > 0).await;

    leaving.set_faults(engine::Faults { leaving: true, ..engine::Faults::default() });
    wait_until("the end of the engine's responses", async || {
        let (before, was_idle) = (leaving.request_counts().0, leaving.running() == 0);
        chats.wait_for_progress().await;
        was_idle && leaving.request_counts().0 == before && leaving.running() == 0
    })
    .await;
    let chats_before = leaving.request_counts().0;
    for _ in 0..TURNS {
        chats.wait_for_progress().await;
    }

    assert_eq!(leaving.request_counts().0, chats_before, "a leaving engine got new work");
    println!("{} responses, all complete", chats.finish().await);
    drop(routers);
    outside.close();
}

/// Sets the model that the pool's engines must load.
async fn set_model(outside: &Standins, model: &str) {
    let mut pool = Platform::new(outside.platform_addr()).get("EnginePool", "models").await.unwrap().unwrap();
    pool.spec["models"] = serde_json::json!([model]);
    outside.platform.put(pool).unwrap();
}

/// Waits until the last order to each engine names only this model.
async fn wait_until_ordered(outside: &Standins, model: &str) {
    wait_until("the orders for the model", async || {
        outside.engines.iter().all(|e| e.orders().last().is_some_and(|(_, order)| order.models == [model]))
    })
    .await;
}

/// Index of the router that holds the orders lease on the platform.
async fn lease_holder(outside: &Standins) -> usize {
    let lease = Platform::new(outside.platform_addr()).get("Lease", "pool-models").await.unwrap().unwrap();
    let name = lease.spec["holder"].as_str().unwrap().split('/').next().unwrap().to_owned();
    name.trim_start_matches('r').parse().unwrap()
}

/// A router process is suspended for longer than its lease and resumes. Meanwhile callers have resent their saves
/// elsewhere, and another router has changed the engines' models. If the resumed process acted on the requests in its
/// sockets, or on its old claims and lease, a save would run twice or models would be reverted. These engines do not
/// check fencing tokens.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_suspended_router_resumes_without_acting_on_stale_state() {
    let outside = Standins::start(StandinConfig::default().with_engines(3)).await.unwrap();
    let routers = start_three(outside.platform_addr());
    wait_until_converged(&routers).await;
    set_model(&outside, "m@1").await;
    wait_until_ordered(&outside, "m@1").await;
    set_service_faults(&outside);
    let savers = Savers::start(&routers);
    savers.wait_for_progress().await;

    let suspended = lease_holder(&outside).await;
    routers[suspended].signal(Signal::STOP);
    set_model(&outside, "m@2").await;
    wait_until_ordered(&outside, "m@2").await;
    assert_ne!(lease_holder(&outside).await, suspended);
    savers.wait_for_progress().await;
    routers[suspended].signal(Signal::CONT);
    savers.wait_for_progress().await;
    set_model(&outside, "m@3").await;
    wait_until_ordered(&outside, "m@3").await;
    savers.wait_for_progress().await;
    let outcomes = savers.finish().await;

    assert_at_most_once(&outside, &outcomes);
    for engine in &outside.engines {
        let orders = engine.orders();
        assert!(orders.is_sorted_by_key(|(fencing, _)| *fencing), "{orders:?}");
    }
    drop(routers);
    outside.close();
}

/// One of three routers is killed after every chat has had its first response. The streams through it are cut; the
/// callers must get complete responses from the next address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_chat_is_answered_after_a_router_is_killed() {
    let plan = StandinConfig::default().with_tokens(8, Duration::from_millis(2));
    let outside = Standins::start(plan).await.unwrap();
    let mut routers = start_three(outside.platform_addr());
    let addresses = addresses(&routers);
    let (first_answered, mut first_answers) = tokio::sync::mpsc::channel(CHATS);
    let (killed_tx, killed) = watch::channel(false);
    let chats: Vec<_> = (0..CHATS)
        .map(|i| {
            let mut addresses = addresses.clone();
            addresses.rotate_left(i % 3);
            let mut caller = Caller::new(WORKSPACES[0], &format!("chat-{i}"), addresses);
            let (first_answered, mut killed) = (first_answered.clone(), killed.clone());
            tokio::spawn(async move {
                let first = turn(&mut caller).await;
                first_answered.send(()).await.unwrap();
                let mut answers = vec![first];
                // The second turn races with the kill; the others start after it.
                answers.push(turn(&mut caller).await);
                killed.wait_for(|g| *g).await.unwrap();
                for _ in 2..TURNS {
                    answers.push(turn(&mut caller).await);
                }
                answers.iter().filter(|a| caller.is_complete(a, 8)).count()
            })
        })
        .collect();

    for _ in 0..CHATS {
        first_answers.recv().await.unwrap();
    }
    routers[1].kill();
    killed_tx.send(true).unwrap();
    let mut whole = 0;
    for chat in chats {
        whole += chat.await.unwrap();
    }

    assert_eq!(whole, CHATS * TURNS);
    drop(routers);
    outside.close();
}
