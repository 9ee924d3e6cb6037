//! Worker of one claim shard: passes claim requests to [`ShardClaims`], performs its platform calls and delivers its
//! verdicts.

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

/// Maximum time between two passes of an idle worker, which remove expired state.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(60);

/// Interval at which a flush checks whether the shard is idle.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Worker of one shard.
#[derive(Debug)]
pub(super) struct ShardWorker {
    name: String,
    platform: Platform,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    claims: ShardClaims,
    waiters: Map<WaiterId, oneshot::Sender<Verdict>>,
    last_id: WaiterId,
    is_running: bool,
}

impl ShardWorker {
    pub(super) fn new(shard: u16, writer: &str, platform: Platform) -> Arc<Self> {
        let name = format!("claims-{shard}");
        let claims = ShardClaims::new(name.clone(), writer, ShardClaimsConfig::default());
        let state = State { claims, waiters: Map::default(), last_id: 0, is_running: false };
        Arc::new(Self { name, platform, state: Mutex::new(state), changed: Notify::new() })
    }

    /// Requests a claim and waits for the verdict.
    pub(super) async fn request_claim(self: &Arc<Self>, req: ClaimRequest) -> Verdict {
        let rx = {
            let mut state = lock(&self.state);
            state.last_id += 1;
            let id = state.last_id;
            if let Some(verdict) = state.claims.request_claim(Clock::read(), req, id) {
                return verdict;
            }
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(id, tx);
            rx
        };
        self.wake();
        rx.await.unwrap_or(Verdict::Unavailable)
    }

    /// Stores the result of a granted attempt; see [`ShardClaims::finish`].
    pub(super) fn finish(self: &Arc<Self>, req: &ClaimRequest, record: Record, authority: bool) {
        lock(&self.state).claims.finish(Clock::read(), req, record, authority);
        self.wake();
    }

    /// Releases the claim of an attempt that has not run and never will.
    pub(super) fn release(self: &Arc<Self>, key: KeyDigest, attempt: AttemptId) {
        lock(&self.state).claims.release(Clock::read(), key, attempt);
        self.wake();
    }

    /// Waits until all claims and records in memory are written.
    pub(super) async fn flush(self: &Arc<Self>) {
        if !lock(&self.state).is_running {
            return;
        }
        lock(&self.state).claims.disable_record_delay();
        self.wake();
        while !lock(&self.state).claims.is_idle() {
            tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }

    /// Wakes the task that calls the platform; starts it on first use of the shard.
    fn wake(self: &Arc<Self>) {
        self.changed.notify_one();
        if !std::mem::replace(&mut lock(&self.state).is_running, true) {
            tokio::spawn(self.clone().run());
        }
    }

    /// Performs platform calls one at a time, and waits while there are none.
    async fn run(self: Arc<Self>) {
        loop {
            let op = {
                let mut state = lock(&self.state);
                let timed_out = state.claims.expire(Clock::read());
                state.send_verdicts(timed_out);
                state.claims.next_op(Clock::read())
            };
            match op {
                Some(op) => {
                    let result = self.call(op).await;
                    let mut state = lock(&self.state);
                    let verdicts = state.claims.handle_result(Clock::read(), result);
                    state.send_verdicts(verdicts);
                }
                None => self.wait().await,
            }
        }
    }

    /// Waits until a change or the next scheduled operation.
    async fn wait(&self) {
        let wake_at = lock(&self.state).claims.wake_at();
        let pause = wake_at.map_or(MAX_IDLE_WAIT, |at| at.saturating_sub(Clock::read().now));
        // Avoids a busy loop if the wake-up time has passed without an operation being due.
        let pause = pause.max(Duration::from_millis(1));
        let _ = tokio::time::timeout(pause, self.changed.notified()).await;
    }

    /// Performs one platform call.
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
    /// Delivers verdicts to the waiting requests.
    fn send_verdicts(&mut self, verdicts: Vec<(WaiterId, Verdict)>) {
        for (id, verdict) in verdicts {
            if let Some(tx) = self.waiters.remove(&id) {
                let _ = tx.send(verdict);
            }
        }
    }
}
