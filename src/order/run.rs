//! Calls the platform for leases and the engines with orders, one task for each pool this router may hold.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{sync::watch, task::JoinHandle};

use super::{Command, Guard, ORDER_TIME, Planner, Report, Sealed, pools, pools::Pool};
use crate::{
    client::Client,
    engine::{EngineClient, Ordered},
    follow,
    lease::{Action, LeaseConfig, LeaseDriver},
    metrics::{Counter, Metrics},
    objects::{Platform, Write},
    util::{Instant, now},
};

const TICK: Duration = Duration::from_millis(500);
const REVIEW: Duration = Duration::from_secs(1);
const TTL: Duration = Duration::from_secs(30);
/// Time between reports of a pool in which something differs, and of one in which nothing does.
const REPORT_SOON: Duration = Duration::from_millis(500);
const REPORT_LATE: Duration = Duration::from_secs(20);

/// What all pools' tasks share.
struct Context {
    holder: Arc<str>,
    platform: Platform,
    client: Client,
    metrics: Arc<Metrics>,
    loads_per_minute: f64,
}

/// The orders of one router.
#[derive(Debug)]
pub(crate) struct Orders {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Orders {
    /// Starts to hold leases and give orders; the weight store takes `loads_per_minute` from the whole fleet.
    pub(crate) fn start(
        me: &Arc<str>,
        follow: Arc<follow::Shared>,
        platform: Platform,
        metrics: Arc<Metrics>,
        loads_per_minute: f64,
    ) -> Self {
        // Different after each restart, so that a process never takes an earlier life's lease for its own.
        let holder = format!("{me}/{:016x}", rand::random::<u64>()).into();
        let cx = Context { holder, platform, client: Client::default(), metrics, loads_per_minute };
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(review(Arc::new(cx), me.clone(), follow, stopped));
        Self { stop, task }
    }

    /// Gives the leases back, so that others take over at once.
    pub(crate) async fn close(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

type Tasks = BTreeMap<Arc<str>, (watch::Sender<Option<Pool>>, JoinHandle<()>)>;

/// Starts and ends the pools' tasks as the configuration and the membership change.
async fn review(
    cx: Arc<Context>,
    me: Arc<str>,
    follow: Arc<follow::Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut tasks = Tasks::new();
    let (mut version, mut all) = (0, BTreeMap::new());
    while !*stopped.borrow() {
        let cat = follow.catalog();
        if cat.version != version {
            version = cat.version;
            all = pools::pools(&follow.objects(), &cat);
        }
        let peers = follow.peers();
        let members = || std::iter::once(&*me).chain(peers.iter().map(|p| &*p.name));
        let mine = all.iter().filter(|(name, _)| pools::is_candidate(&me, members(), name));
        adjust(&cx, &mut tasks, mine.map(|(n, p)| (n.clone(), p.clone())).collect());
        let _ = tokio::time::timeout(REVIEW, stopped.changed()).await;
    }
    let ending = tasks.into_values().map(|(tx, task)| {
        let _ = tx.send(None);
        task
    });
    join_all(ending).await;
}

fn adjust(cx: &Arc<Context>, tasks: &mut Tasks, wanted: BTreeMap<Arc<str>, Pool>) {
    tasks.retain(|name, (tx, _)| wanted.contains_key(name) || tx.send(None).is_err());
    tasks.retain(|_, (_, task)| !task.is_finished());
    for (name, pool) in wanted {
        if let Some((tx, _)) = tasks.get(&name) {
            tx.send_if_modified(|old| {
                let changed = old.as_ref() != Some(&pool);
                *old = Some(pool);
                changed
            });
            continue;
        }
        let (tx, rx) = watch::channel(Some(pool));
        let task = tokio::spawn(run_pool(cx.clone(), name.clone(), rx));
        tasks.insert(name, (tx, task));
    }
}

/// One pool at a router that may hold its lease.
struct Work {
    cx: Arc<Context>,
    pool: Pool,
    keeper: LeaseDriver,
    planner: Planner,
    rng: StdRng,
    report_at: Instant,
}

/// Runs one pool until it is told to end.
async fn run_pool(cx: Arc<Context>, name: Arc<str>, mut rx: watch::Receiver<Option<Pool>>) {
    let terms = LeaseConfig::new(format!("pool-{name}"), cx.holder.clone(), TTL);
    let mut work = Work {
        planner: Planner::new(cx.loads_per_minute),
        keeper: LeaseDriver::new(terms, now()),
        pool: Pool::default(),
        rng: StdRng::from_os_rng(),
        report_at: now(),
        cx,
    };
    loop {
        let pool = rx.borrow_and_update().clone();
        let Some(pool) = pool else { break };
        work.set_pool(pool);
        work.keep_lease().await;
        if work.keeper.check(now(), Duration::ZERO).is_some() {
            work.read_reports().await;
            work.give_orders().await;
        }
        let _ = tokio::time::timeout(TICK, rx.changed()).await;
    }
    work.close().await;
}

impl Work {
    fn set_pool(&mut self, pool: Pool) {
        if pool == self.pool {
            return;
        }
        self.planner.set_intent(pool.intent.clone(), pool.engines.keys().cloned());
        self.planner.set_rate(now(), self.cx.loads_per_minute * pool.share);
        self.pool = pool;
        self.report_at = now();
    }

    async fn keep_lease(&mut self) {
        let Some(action) = self.keeper.tick(now(), &mut self.rng) else { return };
        match action {
            Action::Read => {
                let answer = self.cx.platform.get(crate::lease::KIND, self.keeper.name()).await.ok();
                self.keeper.read(now(), answer, &mut self.rng);
            }
            Action::Write(obj) => {
                let write = self.cx.platform.put(&obj).await.unwrap_or(Write::Unknown);
                self.keeper.written(now(), write, &mut self.rng);
            }
        }
    }

    /// Reads what the engines report; an engine that doesn't answer gets no order.
    async fn read_reports(&mut self) {
        if now() < self.report_at {
            return;
        }
        let cx = &self.cx;
        let read = |(name, addr): (&Arc<str>, &std::net::SocketAddr)| {
            let (name, client) = (name.clone(), EngineClient::new(cx.client.clone(), *addr));
            async move { (name, client.load().await) }
        };
        let answers = join_all(self.pool.engines.iter().map(read)).await;
        let at = now();
        for (name, load) in answers {
            if let Ok(load) = load {
                self.planner.report(at, &name, Report::from(&load));
            }
        }
        let period = if self.planner.behind(at).is_empty() { REPORT_LATE } else { REPORT_SOON };
        self.report_at = at + period.mul_f64(0.8 + 0.2 * self.rng.random::<f64>());
    }

    async fn give_orders(&mut self) {
        let commands = self.planner.next(now(), &mut self.rng);
        let guard = Guard::new(self.pool.checks_fencing);
        let mut sealed = Vec::new();
        for command in commands {
            let engine = command.engine.clone();
            let held = self.keeper.held();
            match held.and_then(|held| guard.seal(now(), held, command)) {
                Some(order) => sealed.push(order),
                None => self.failed(&engine, "withheld"),
            }
        }
        // Nothing is awaited between the check of the lease and the first poll of each send.
        let sends = sealed.iter().map(|order| self.send(order));
        let results = join_all(sends).await;
        for (order, result) in sealed.iter().zip(results) {
            let Command { engine, .. } = order.command();
            match result {
                Some(Ordered::Taken) => self.cx.metrics.add(Counter::Orders, "taken", 1),
                Some(Ordered::Stale) => self.failed(engine, "stale"),
                // The order may have been taken; the report will tell.
                None => self.failed(engine, "unanswered"),
            }
        }
    }

    async fn send(&self, order: &Sealed) -> Option<Ordered> {
        let Command { engine, order: wanted } = order.command();
        let client = EngineClient::new(self.cx.client.clone(), *self.pool.engines.get(engine)?);
        match client.order(wanted, order.fencing(), ORDER_TIME).await {
            Ok(ordered) => Some(ordered),
            Err(e) => {
                spdlog::warn!("could not order {engine}: {e:#}");
                None
            }
        }
    }

    fn failed(&mut self, engine: &str, result: &'static str) {
        self.cx.metrics.add(Counter::Orders, result, 1);
        self.planner.failed(now(), engine, &mut self.rng);
    }

    async fn close(mut self) {
        if let Some(obj) = self.keeper.release(&mut self.rng) {
            let _ = self.cx.platform.put(&obj).await;
        }
    }
}
