//! Real router processes on loopback, before stand-ins of the outside systems.

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
        outside::{Outside, Plan, WORKSPACES},
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
/// Chats that stream at the same time while a router or an engine leaves; nearly three an engine.
const STREAMS: usize = 24;
const TURNS: usize = 4;
const TRIES: usize = 200;
/// A guard that ends a test which hangs; nothing is measured by it.
const PATIENCE: Duration = Duration::from_secs(120);
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a save's answer; a router asks two others for a claim before it refuses.
const SAVE_TIME: Duration = Duration::from_secs(6);
/// Callers that save, and attempts of theirs between two faults.
const SAVERS: usize = 12;
const ATTEMPTS: usize = 60;
/// Answers that last longer than a router that leaves waits for callers with old addresses.
const LONG: usize = 700;

fn start_three(platform: SocketAddr) -> Vec<Router> {
    let first = Router::start("r0", platform, &[]);
    let seeds = [first.peer];
    let rest = (1..3).map(|i| Router::start(&format!("r{i}"), platform, &seeds));
    std::iter::once(first).chain(rest.collect::<Vec<_>>()).collect()
}

fn addresses(routers: &[Router]) -> Vec<SocketAddr> {
    routers.iter().map(|r| r.addr).collect()
}

/// Addresses that a router names to callers.
async fn named(router: SocketAddr) -> Vec<SocketAddr> {
    let mut asker = Caller::new(WORKSPACES[0], "asker", vec![router]).with_timeout(PATIENCE);
    match asker.enter().await {
        Ok(()) => asker.addresses()[..asker.addresses().len() - 1].to_vec(),
        Err(_) => Vec::new(),
    }
}

async fn until(what: &str, done: impl AsyncFn() -> bool) {
    let work = async {
        while !done().await {
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, work).await.unwrap_or_else(|_| panic!("{what} did not come about"));
}

/// Waits until each router names all.
async fn until_met(routers: &[Router]) {
    for r in routers {
        until("a fleet that has met", async || named(r.addr).await.len() == routers.len()).await;
    }
}

/// One answer of a chat, whole and its own, however many routers it took.
async fn turn(caller: &mut Caller) -> Answer {
    caller.turn(TRIES).await.unwrap()
}

/// Callers that save under one new key after another, from the first answer on until they are told to stop.
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
        let (addresses, known) = watch::channel(addresses(routers));
        let (attempts, not_run) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let mut tasks = JoinSet::new();
        for n in 0..SAVERS {
            let (stopped, known) = (stopped.clone(), known.clone());
            let (attempts, not_run) = (attempts.clone(), not_run.clone());
            tasks.spawn(async move {
                let mut told = BTreeMap::new();
                while !*stopped.borrow() {
                    let own = format!("own-{n}-{}", told.len());
                    let key = if n % 2 == 0 { own } else { ticketed(&known, n, own).await };
                    let outcome = settle(n, &known, &attempts, &key).await;
                    not_run.fetch_add(usize::from(outcome == "not-run"), Ordering::Relaxed);
                    told.insert(key, outcome);
                }
                told
            });
        }
        Self { tasks, attempts, not_run, stop, addresses }
    }

    /// Waits until some more attempts were answered or given up.
    async fn go_on(&self) {
        let from = self.attempts.load(Ordering::Relaxed);
        until("more attempts", async || self.attempts.load(Ordering::Relaxed) >= from + ATTEMPTS).await;
    }

    /// Waits until one more save was told "not run" for good.
    async fn refused(&self) {
        let from = self.not_run.load(Ordering::Relaxed);
        until("a refused save", async || self.not_run.load(Ordering::Relaxed) > from).await;
    }

    /// Final outcome of each key.
    async fn finish(self) -> BTreeMap<String, String> {
        self.stop.send(true).unwrap();
        let all = tokio::time::timeout(PATIENCE, self.tasks.join_all()).await.expect("the callers end");
        all.into_iter().flatten().collect()
    }
}

/// A key under a router's ticket, or the caller's own when no router answers.
async fn ticketed(known: &watch::Receiver<Vec<SocketAddr>>, n: usize, own: String) -> String {
    let addrs = known.borrow().clone();
    let url = format!("http://{}/v1/key-ticket", addrs[n % addrs.len()]);
    match Client::default().json(Method::GET, &url, None, Duration::from_secs(3)).await {
        Ok((200, body)) => format!("{}.{own}", body["ticket"].as_str().unwrap()),
        _ => own,
    }
}

/// Sends one save to one router after another until it is settled; returns the last outcome told. Every third caller
/// takes a first "not run" as final.
async fn settle(
    n: usize,
    known: &watch::Receiver<Vec<SocketAddr>>,
    attempts: &AtomicUsize,
    key: &str,
) -> String {
    let caller = Caller::new(WORKSPACES[0], "saver", Vec::new()).with_timeout(SAVE_TIME);
    let (mut first, mut last) = (true, String::new());
    for i in 0..TRIES {
        let addrs = known.borrow().clone();
        let answer = caller.try_save(addrs[(n + i) % addrs.len()], key, first).await;
        attempts.fetch_add(1, Ordering::Relaxed);
        let body = answer.as_ref().map_or("", |a| a.body.as_str());
        let settled = body.contains("key_unknown") || body.contains("key_expired");
        last = answer.as_ref().map_or("unknown", |a| a.outcome.as_str()).to_owned();
        first &= last == "not-run";
        if last == "ran" || settled || (first && n.is_multiple_of(3)) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    last
}

/// Has the services lose some answers after the run, and answer late enough that a fault meets saves which have run.
fn trouble_services(outside: &Outside) {
    for s in &outside.services {
        s.set_faults(service::Faults { late_ms: 30, cut_answers: 3, ..service::Faults::default() });
    }
}

/// Holds the callers' last words against the backend servers' records.
fn assert_at_most_once(outside: &Outside, told: &BTreeMap<String, String>) {
    let count = |outcome: &str| told.values().filter(|o| *o == outcome).count();
    println!(
        "{} keys: {} ran, {} not-run, {} unknown",
        told.len(),
        count("ran"),
        count("not-run"),
        count("unknown")
    );
    assert_eq!(outside.doubled(), [""; 0]);
    let ran: BTreeSet<_> = outside.services.iter().flat_map(|s| s.runs().into_keys()).collect();
    let told_wrong = |(key, outcome): &(&String, &String)| match outcome.as_str() {
        "not-run" => ran.contains(*key),
        "ran" => !ran.contains(*key),
        _ => false,
    };
    assert_eq!(told.iter().find(told_wrong), None);
    assert!(count("ran") > SAVERS, "{told:?}");
}

/// Travellers' streaks are saved on a bad day: routers die and come back one after the other, and the platform goes
/// down and loses answers after writing. Order: a kill or a flap after each few dozen attempts, callers resend to other
/// routers whatever reads unknown. Cause of a double save: a claim that a dead or ill-informed router didn't share.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_save_runs_at_most_once_while_routers_die_and_the_platform_flaps() {
    let outside = Outside::start(Plan::default().with_engines(1)).await.unwrap();
    let platform = outside.platform_addr();
    let mut routers = start_three(platform);
    until_met(&routers).await;
    let savers = Savers::start(&routers);

    for round in 0..3 {
        trouble_services(&outside);
        savers.go_on().await;
        outside.platform.set_faults(Faults { lose_answers: 5, ..Faults::default() });
        savers.go_on().await;
        routers[round].kill();
        savers.go_on().await;
        let seeds: Vec<_> = routers.iter().map(|r| r.peer).collect();
        routers[round] = Router::start(&format!("r{round}"), platform, &seeds);
        savers.addresses.send_replace(addresses(&routers));
        savers.go_on().await;
        outside.platform.set_faults(Faults { down: true, ..Faults::default() });
        outside.platform.drop_watches();
        savers.go_on().await;
        savers.refused().await;
        outside.platform.set_faults(Faults { lose_answers: 5, ..Faults::default() });
        savers.go_on().await;
    }
    let told = savers.finish().await;

    assert_at_most_once(&outside, &told);
    assert!(told.values().any(|o| o == "not-run"), "nobody was told not-run: {told:?}");
    drop(routers);
    outside.close();
}

/// Chats that go on, asking for addresses before each turn and trying once, until it is told to stop.
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
                    Caller::new(WORKSPACES[0], &format!("chat-{i}"), addrs).with_timeout(PATIENCE);
                let mut turns = 0;
                while !*stopped.borrow() {
                    caller.enter().await.unwrap();
                    let answer = caller.turn(1).await.unwrap();
                    assert!(caller.whole(&answer, tokens), "{answer:?}");
                    answered.fetch_add(1, Ordering::Relaxed);
                    turns += 1;
                }
                turns
            });
        }
        Self { tasks, answered, stop }
    }

    /// Waits until as many more answers were read as there are chats.
    async fn go_on(&self) {
        let from = self.answered.load(Ordering::Relaxed);
        until("more answers", async || self.answered.load(Ordering::Relaxed) >= from + STREAMS).await;
    }

    /// Fails when a chat did.
    async fn finish(self) -> usize {
        self.stop.send(true).unwrap();
        self.tasks.join_all().await.into_iter().sum()
    }
}

/// Waits until the others don't name a router that leaves, and until it has ended by itself; returns its exit code.
async fn left(mut leaving: Router, others: &[Router]) -> Option<i32> {
    for r in others {
        until("its leaving", async || !named(r.addr).await.contains(&leaving.addr)).await;
    }
    let ended = tokio::task::spawn_blocking(move || leaving.wait());
    tokio::time::timeout(PATIENCE, ended).await.expect("it ends by itself").unwrap()
}

/// Hosts are replaced at noon, first by a signal, then by an operator's command, while chats stream through all
/// routers. A guest must not see a cut stream or a refusal. Cause of one: a router that ends while an answer streams,
/// or while other routers or callers' kept answers still name it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn routers_leave_under_load_and_cut_nothing() {
    let plan = Plan::default().with_tokens(LONG, Duration::from_millis(10));
    let outside = Outside::start(plan).await.unwrap();
    let mut routers = start_three(outside.platform_addr());
    until_met(&routers).await;
    let chats = Chats::start(LONG, &routers);

    chats.go_on().await;
    let terminated = routers.remove(1);
    terminated.signal(Signal::TERM);
    let by_signal = left(terminated, &routers).await;
    chats.go_on().await;
    let drained = routers.remove(1);
    let (addr, settings) = (drained.addr.to_string(), drained.settings().to_owned());
    let told = tokio::task::spawn_blocking(move || process::command(&["drain", &addr, "-c", &settings]));
    assert!(told.await.unwrap().status.success());
    let by_command = left(drained, &routers).await;
    chats.go_on().await;

    let answered = chats.finish().await;
    println!("{answered} answers, all whole");
    assert_eq!((by_signal, by_command), (Some(0), Some(0)));
    drop(routers);
    outside.close();
}

/// An operator takes a backend server away while answers stream from it. Guests must get them whole, and no later
/// chat may go there. Order: chats run, the engine reports that it leaves, its running answers end. Cause of a loss:
/// a router that cuts what runs there, or one that has not heard and sends more.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_engine_finishes_its_streams_and_gets_no_more() {
    const TOKENS: usize = 100;
    let plan = Plan::default().with_tokens(TOKENS, Duration::from_millis(10));
    let outside = Outside::start(plan).await.unwrap();
    let routers = start_three(outside.platform_addr());
    until_met(&routers).await;
    let chats = Chats::start(TOKENS, &routers);
    let leaving = &outside.engines[0];
    until("work on the engine", async || leaving.running() > 0).await;

    leaving.set_faults(engine::Faults { leaving: true, ..engine::Faults::default() });
    until("the end of its answers", async || {
        let (before, idle) = (leaving.counts().0, leaving.running() == 0);
        chats.go_on().await;
        idle && leaving.counts().0 == before && leaving.running() == 0
    })
    .await;
    let got = leaving.counts().0;
    for _ in 0..TURNS {
        chats.go_on().await;
    }

    assert_eq!(leaving.counts().0, got, "new work for an engine that leaves");
    println!("{} answers, all whole", chats.finish().await);
    drop(routers);
    outside.close();
}

/// States the model that the pool's engines shall hold.
async fn state(outside: &Outside, model: &str) {
    let mut pool = Platform::new(outside.platform_addr()).get("EnginePool", "models").await.unwrap().unwrap();
    pool.spec["models"] = serde_json::json!([model]);
    outside.platform.put(pool).unwrap();
}

/// Waits until each engine was last told to hold just this model.
async fn until_ordered(outside: &Outside, model: &str) {
    until("the orders for a model", async || {
        outside.engines.iter().all(|e| e.orders().last().is_some_and(|(_, order)| order.models == [model]))
    })
    .await;
}

/// The router that gives the orders, by the lease in the platform.
async fn holder(outside: &Outside) -> usize {
    let lease = Platform::new(outside.platform_addr()).get("Lease", "pool-models").await.unwrap().unwrap();
    let name = lease.spec["holder"].as_str().unwrap().split('/').next().unwrap().to_owned();
    name.trim_start_matches('r').parse().unwrap()
}

/// A host stands still for longer than its lease and then goes on, unaware. Callers resent their saves elsewhere, and
/// another router changed the engines' models. Cause of a double save or of models that go back: the woken process acts
/// on the requests in its sockets, the claims and the lease that it had. These engines don't check fencing numbers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_frozen_router_wakes_up_and_does_no_harm() {
    let outside = Outside::start(Plan::default().with_engines(3)).await.unwrap();
    let routers = start_three(outside.platform_addr());
    until_met(&routers).await;
    state(&outside, "m@1").await;
    until_ordered(&outside, "m@1").await;
    trouble_services(&outside);
    let savers = Savers::start(&routers);
    savers.go_on().await;

    let frozen = holder(&outside).await;
    routers[frozen].signal(Signal::STOP);
    state(&outside, "m@2").await;
    until_ordered(&outside, "m@2").await;
    assert_ne!(holder(&outside).await, frozen);
    savers.go_on().await;
    routers[frozen].signal(Signal::CONT);
    savers.go_on().await;
    state(&outside, "m@3").await;
    until_ordered(&outside, "m@3").await;
    savers.go_on().await;
    let told = savers.finish().await;

    assert_at_most_once(&outside, &told);
    for engine in &outside.engines {
        let orders = engine.orders();
        assert!(orders.is_sorted_by_key(|(fencing, _)| *fencing), "{orders:?}");
    }
    drop(routers);
    outside.close();
}

/// A traveller's chat goes on while the host of its router fails: the stream is cut, the caller asks the next
/// address, and gets the whole answer there. Order: every chat has had its first answer, one of three routers is
/// killed, the chats go on. Cause: a host lost without warning.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_chat_is_answered_after_a_router_is_killed() {
    let plan = Plan::default().with_tokens(8, Duration::from_millis(2));
    let outside = Outside::start(plan).await.unwrap();
    let mut routers = start_three(outside.platform_addr());
    let addresses = addresses(&routers);
    let (warm, mut warmed) = tokio::sync::mpsc::channel(CHATS);
    let (go, gone) = watch::channel(false);
    let chats: Vec<_> = (0..CHATS)
        .map(|i| {
            let mut addresses = addresses.clone();
            addresses.rotate_left(i % 3);
            let mut caller = Caller::new(WORKSPACES[0], &format!("chat-{i}"), addresses);
            let (warm, mut gone) = (warm.clone(), gone.clone());
            tokio::spawn(async move {
                let first = turn(&mut caller).await;
                warm.send(()).await.unwrap();
                let mut answers = vec![first];
                // The first later turn races with the kill; the rest come after it.
                answers.push(turn(&mut caller).await);
                gone.wait_for(|g| *g).await.unwrap();
                for _ in 2..TURNS {
                    answers.push(turn(&mut caller).await);
                }
                answers.iter().filter(|a| caller.whole(a, 8)).count()
            })
        })
        .collect();

    for _ in 0..CHATS {
        warmed.recv().await.unwrap();
    }
    routers[1].kill();
    go.send(true).unwrap();
    let mut whole = 0;
    for chat in chats {
        whole += chat.await.unwrap();
    }

    assert_eq!(whole, CHATS * TURNS);
    drop(routers);
    outside.close();
}
