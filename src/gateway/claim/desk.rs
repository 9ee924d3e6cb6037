//! Runs the book of one shard: feeds it asks, calls the platform for it, and hands its verdicts out.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::{Notify, oneshot};

use crate::{
    claim::{
        AttemptId, ClaimRequest, Clock, KeyDigest, Record, Verdict,
        shard::{ARCHIVE_KIND, SHARD_KIND},
        shard_claims::{Op, OpResult, ShardClaims, ShardClaimsConfig, WaiterId},
    },
    gateway::lock,
    objects::Platform,
    util::Map,
};

/// How often a book without anything to do is looked at, to forget what is old.
const IDLE: Duration = Duration::from_secs(60);

/// How often a book that is being settled is looked at.
const SETTLE_CHECK: Duration = Duration::from_millis(20);

/// The book of one shard.
#[derive(Debug)]
pub(super) struct Desk {
    name: String,
    platform: Platform,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    book: ShardClaims,
    waiters: Map<WaiterId, oneshot::Sender<Verdict>>,
    next: WaiterId,
    driven: bool,
}

impl Desk {
    pub(super) fn new(shard: u16, writer: &str, platform: Platform) -> Arc<Self> {
        let name = format!("claims-{shard}");
        let book = ShardClaims::new(name.clone(), writer, ShardClaimsConfig::default());
        let state = State { book, waiters: Map::default(), next: 0, driven: false };
        Arc::new(Self { name, platform, state: Mutex::new(state), changed: Notify::new() })
    }

    /// Asks for a claim and waits for the verdict.
    pub(super) async fn ask(self: &Arc<Self>, ask: ClaimRequest) -> Verdict {
        let rx = {
            let mut state = lock(&self.state);
            state.next += 1;
            let id = state.next;
            if let Some(verdict) = state.book.request_claim(Clock::read(), ask, id) {
                return verdict;
            }
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(id, tx);
            rx
        };
        self.drive();
        rx.await.unwrap_or(Verdict::Unavailable)
    }

    pub(super) fn finish(self: &Arc<Self>, ask: &ClaimRequest, record: Record, authority: bool) {
        lock(&self.state).book.finish(Clock::read(), ask, record, authority);
        self.drive();
    }

    pub(super) fn release(self: &Arc<Self>, key: KeyDigest, attempt: AttemptId) {
        lock(&self.state).book.release(Clock::read(), key, attempt);
        self.drive();
    }

    /// Waits until all is written that is known here.
    pub(super) async fn settle(self: &Arc<Self>) {
        if !lock(&self.state).driven {
            return;
        }
        lock(&self.state).book.disable_record_delay();
        self.drive();
        while !lock(&self.state).book.is_idle() {
            tokio::time::sleep(SETTLE_CHECK).await;
        }
    }

    /// Starts the task that calls the platform, with the first use of the shard.
    fn drive(self: &Arc<Self>) {
        self.changed.notify_one();
        if !std::mem::replace(&mut lock(&self.state).driven, true) {
            tokio::spawn(self.clone().run());
        }
    }

    async fn run(self: Arc<Self>) {
        loop {
            let op = {
                let mut state = lock(&self.state);
                let late = state.book.expire(Clock::read());
                state.tell(late);
                state.book.next_op(Clock::read())
            };
            match op {
                Some(op) => {
                    let done = self.call(op).await;
                    let mut state = lock(&self.state);
                    let verdicts = state.book.handle_result(Clock::read(), done);
                    state.tell(verdicts);
                }
                None => self.wait().await,
            }
        }
    }

    async fn wait(&self) {
        let wake = lock(&self.state).book.wake_at();
        let pause = wake.map_or(IDLE, |at| at.saturating_sub(Clock::read().now));
        // A due wake-up that finds nothing to do must not spin.
        let pause = pause.max(Duration::from_millis(1));
        let _ = tokio::time::timeout(pause, self.changed.notified()).await;
    }

    async fn call(&self, op: Op) -> OpResult {
        let read = |kind: &'static str, name: String| async move {
            match self.platform.get(kind, &name).await {
                Ok(obj) => OpResult::Read(obj),
                Err(_) => OpResult::Failed,
            }
        };
        match op {
            Op::Read => read(SHARD_KIND, self.name.clone()).await,
            Op::ReadArchive(name) => read(ARCHIVE_KIND, name).await,
            Op::Write(obj) => self.platform.put(&obj).await.map_or(OpResult::Failed, OpResult::Write),
            Op::Delete(obj) => self.platform.delete(&obj).await.map_or(OpResult::Failed, OpResult::Write),
        }
    }
}

impl State {
    fn tell(&mut self, verdicts: Vec<(WaiterId, Verdict)>) {
        for (id, verdict) in verdicts {
            if let Some(tx) = self.waiters.remove(&id) {
                let _ = tx.send(verdict);
            }
        }
    }
}
