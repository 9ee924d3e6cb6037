//! Runs one task for each pool whose lease this router may hold: renews the lease and sends orders to the engines.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{sync::watch, task::JoinHandle};

use super::{
    EngineOrder, FencedOrder, LeaseGuard, ORDER_TIMEOUT, Planner, ReportedState, pools, pools::Pool,
};
use crate::{
    client::Client,
    engine::{EngineClient, OrderOutcome},
    follow,
    lease::{Action, LeaseConfig, LeaseDriver},
    metrics::{Counter, Metrics},
    objects::{Platform, WriteOutcome},
    util::{Instant, now},
};

/// Pause between two steps of a pool's task.
const POOL_TICK: Duration = Duration::from_millis(500);
/// Pause between two checks of which pools need a task.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a pool's lease is valid after each renewal.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Interval at which engines are asked for reports while any engine of the pool has diverged.
const DIVERGED_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which engines are asked for reports while all engines of the pool have converged.
const CONVERGED_REPORT_INTERVAL: Duration = Duration::from_secs(20);

/// State shared by the tasks of all pools.
struct Context {
    holder: Arc<str>,
    platform: Platform,
    client: Client,
    metrics: Arc<Metrics>,
    loads_per_minute: f64,
}

/// Handle of the background task that manages pools in one router.
#[derive(Debug)]
pub(crate) struct OrderTask {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl OrderTask {
    /// Starts the task; `loads_per_minute` is the load rate of the weight store for the whole fleet.
    pub(crate) fn start(
        me: &Arc<str>,
        follow: Arc<follow::FollowHandle>,
        platform: Platform,
        metrics: Arc<Metrics>,
        loads_per_minute: f64,
    ) -> Self {
        // Unique to each process, so that it never mistakes the lease of an earlier process for its own.
        let holder = format!("{me}/{:016x}", rand::random::<u64>()).into();
        let cx = Context { holder, platform, client: Client::default(), metrics, loads_per_minute };
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(reconcile_tasks(Arc::new(cx), me.clone(), follow, stopped));
        Self { stop, task }
    }

    /// Stops the task and releases the leases, so that other routers can take over at once.
    pub(crate) async fn close(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

type Tasks = BTreeMap<Arc<str>, (watch::Sender<Option<Pool>>, JoinHandle<()>)>;

/// Starts and stops the pools' tasks as the configuration and the membership change.
async fn reconcile_tasks(
    cx: Arc<Context>,
    me: Arc<str>,
    follow: Arc<follow::FollowHandle>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut tasks = Tasks::new();
    let (mut version, mut all) = (0, BTreeMap::new());
    while !*stopped.borrow() {
        let cat = follow.catalog();
        if cat.version != version {
            version = cat.version;
            all = pools::managed_pools(&follow.objects(), &cat);
        }
        let peers = follow.peers();
        let members = || std::iter::once(&*me).chain(peers.iter().map(|p| &*p.name));
        let candidate_pools = all.iter().filter(|(name, _)| pools::is_candidate(&me, members(), name));
        update_tasks(&cx, &mut tasks, candidate_pools.map(|(n, p)| (n.clone(), p.clone())).collect());
        let _ = tokio::time::timeout(RECONCILE_INTERVAL, stopped.changed()).await;
    }
    let ending = tasks.into_values().map(|(tx, task)| {
        let _ = tx.send(None);
        task
    });
    join_all(ending).await;
}

/// Starts, updates and stops tasks to match the desired pools.
fn update_tasks(cx: &Arc<Context>, tasks: &mut Tasks, desired: BTreeMap<Arc<str>, Pool>) {
    tasks.retain(|name, (tx, _)| desired.contains_key(name) || tx.send(None).is_err());
    tasks.retain(|_, (_, task)| !task.is_finished());
    for (name, pool) in desired {
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

/// Task of one pool whose lease this router may hold.
struct PoolWorker {
    cx: Arc<Context>,
    pool: Pool,
    keeper: LeaseDriver,
    planner: Planner,
    rng: StdRng,
    next_report_at: Instant,
}

/// Runs the task of one pool until it receives no pool any more.
async fn run_pool(cx: Arc<Context>, name: Arc<str>, mut rx: watch::Receiver<Option<Pool>>) {
    let terms = LeaseConfig::new(format!("pool-{name}"), cx.holder.clone(), LEASE_TTL);
    let mut worker = PoolWorker {
        planner: Planner::new(cx.loads_per_minute),
        keeper: LeaseDriver::new(terms, now()),
        pool: Pool::default(),
        rng: StdRng::from_os_rng(),
        next_report_at: now(),
        cx,
    };
    loop {
        let pool = rx.borrow_and_update().clone();
        let Some(pool) = pool else { break };
        worker.set_pool(pool);
        worker.renew_lease().await;
        if worker.keeper.check(now(), Duration::ZERO).is_some() {
            worker.read_reports().await;
            worker.send_orders().await;
        }
        let _ = tokio::time::timeout(POOL_TICK, rx.changed()).await;
    }
    worker.close().await;
}

impl PoolWorker {
    fn set_pool(&mut self, pool: Pool) {
        if pool == self.pool {
            return;
        }
        self.planner.set_desired(pool.desired.clone(), pool.engines.keys().cloned());
        self.planner.set_load_rate(now(), self.cx.loads_per_minute * pool.load_share);
        self.pool = pool;
        self.next_report_at = now();
    }

    /// Acquires or renews the lease if it is due.
    async fn renew_lease(&mut self) {
        let Some(action) = self.keeper.tick(now(), &mut self.rng) else { return };
        match action {
            Action::Read => {
                let answer = self.cx.platform.get(crate::lease::KIND, self.keeper.name()).await.ok();
                self.keeper.read(now(), answer, &mut self.rng);
            }
            Action::Write(obj) => {
                let write = self.cx.platform.put(&obj).await.unwrap_or(WriteOutcome::Unknown);
                self.keeper.written(now(), write, &mut self.rng);
            }
        }
    }

    /// Requests the engines' reports; an engine that does not respond gets no order.
    async fn read_reports(&mut self) {
        if now() < self.next_report_at {
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
                self.planner.observe(at, &name, ReportedState::from(&load));
            }
        }
        let period = if self.planner.diverged(at).is_empty() {
            CONVERGED_REPORT_INTERVAL
        } else {
            DIVERGED_REPORT_INTERVAL
        };
        self.next_report_at = at + period.mul_f64(0.8 + 0.2 * self.rng.random::<f64>());
    }

    /// Sends the orders that are due and that the lease allows.
    async fn send_orders(&mut self) {
        let orders = self.planner.next_orders(now(), &mut self.rng);
        let guard = LeaseGuard::new(self.pool.checks_fencing);
        let mut fenced = Vec::new();
        for order in orders {
            let engine = order.engine.clone();
            let held = self.keeper.held();
            match held.and_then(|held| guard.fence(now(), held, order)) {
                Some(order) => fenced.push(order),
                None => self.order_failed(&engine, "withheld"),
            }
        }
        // There is no await between the check of the lease and the first poll of each send.
        let sends = fenced.iter().map(|order| self.send(order));
        let results = join_all(sends).await;
        for (order, result) in fenced.iter().zip(results) {
            let EngineOrder { engine, .. } = order.engine_order();
            match result {
                Some(OrderOutcome::Accepted) => self.cx.metrics.add(Counter::Orders, "taken", 1),
                Some(OrderOutcome::Stale) => self.order_failed(engine, "stale"),
                // The order may have been accepted; the engine's next report shows it.
                None => self.order_failed(engine, "unanswered"),
            }
        }
    }

    /// Sends one order; `None` if there was no answer in time.
    async fn send(&self, order: &FencedOrder) -> Option<OrderOutcome> {
        let EngineOrder { engine, order: wanted } = order.engine_order();
        let client = EngineClient::new(self.cx.client.clone(), *self.pool.engines.get(engine)?);
        match client.order(wanted, order.fencing(), ORDER_TIMEOUT).await {
            Ok(ordered) => Some(ordered),
            Err(e) => {
                spdlog::warn!("could not send an order to engine {engine}: {e:#}");
                None
            }
        }
    }

    /// Counts an order that failed and schedules it again.
    fn order_failed(&mut self, engine: &str, result: &'static str) {
        self.cx.metrics.add(Counter::Orders, result, 1);
        self.planner.note_failure(now(), engine, &mut self.rng);
    }

    /// Releases the lease.
    async fn close(mut self) {
        if let Some(obj) = self.keeper.release(&mut self.rng) {
            let _ = self.cx.platform.put(&obj).await;
        }
    }
}
