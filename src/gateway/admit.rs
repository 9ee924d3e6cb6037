//! Admission of requests: enforces the workspace limits, and runs the queues of pools and services.

use std::{
    future::Future,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use tokio::sync::{Notify, oneshot};

use super::{lock, read, request::RequestInfo};
use crate::{
    admit::{ConcurrencyLimit, EnqueueResult, FairQueue, InFlight, Refusal, Ticket, Work},
    error::RequestError,
    retry::jitter,
    util::{Instant, Map, now},
};

/// Interval at which expired requests are removed from a queue, and initial delay between two turns.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum delay between two turns while no engine has room. Each turn may send requests to several owners of engines,
/// and routers may spend only a few kilobytes per second on them.
const MAX_TURN_DELAY: Duration = Duration::from_millis(250);

/// Queues and workspace limits of one router.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    queues: RwLock<Map<Arc<str>, Arc<Queue>>>,
    in_flight: Arc<Mutex<InFlight>>,
}

impl Admission {
    /// Queue of a pool or service; created on first use.
    pub(crate) fn queue(&self, name: &str) -> Arc<Queue> {
        if let Some(queue) = read(&self.queues).get(name) {
            return queue.clone();
        }
        let mut queues = self.queues.write().unwrap_or_else(|e| e.into_inner());
        queues.entry(name.into()).or_default().clone()
    }

    /// Counts a request against the limits of its workspace until the guard is dropped.
    ///
    /// # Errors
    /// When a limit is reached.
    pub(crate) fn acquire_in_flight(
        &self,
        limits: Arc<[ConcurrencyLimit]>,
        routers: u32,
        info: &RequestInfo,
    ) -> Result<InFlightGuard, RequestError> {
        if !limits.is_empty() {
            let acquired = lock(&self.in_flight).acquire(&limits, routers);
            acquired.map_err(|kind| {
                RequestError::new(
                    kind,
                    format!("workspace {:?} has too many requests in progress", info.workspace),
                )
            })?;
        }
        Ok(InFlightGuard { limits, in_flight: self.in_flight.clone() })
    }
}

/// Guard of a request that counts against the limits of its workspace.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    limits: Arc<[ConcurrencyLimit]>,
    in_flight: Arc<Mutex<InFlight>>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if !self.limits.is_empty() {
            lock(&self.in_flight).release(&self.limits);
        }
    }
}

/// Queue of the requests of one pool or service that wait for a backend server.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    state: Mutex<State>,
    run_ended: Notify,
}

#[derive(Debug, Default)]
struct State {
    queue: FairQueue,
    /// Channels to the waiting requests that have no turn.
    waiters: Map<Ticket, oneshot::Sender<Turn>>,
    /// Whether the task that grants turns is running.
    is_running: bool,
    /// Delay before the next turn while no run ends; doubles while servers are full.
    turn_delay: Duration,
    next_turn: Instant,
}

/// Message to a waiting request.
#[derive(Debug)]
enum Turn {
    /// It is the request's turn to search for a backend server.
    Try,
    Refused(Refusal),
}

/// Why a search found no backend server.
#[derive(Debug)]
pub(crate) enum NotAdmitted {
    /// Every available server is at its load bound; the request may wait.
    Full,
    /// The request can't be served.
    Failed(RequestError),
}

impl Queue {
    /// Runs the search `find` at once if the queue is empty. Otherwise, or if all servers are full, queues the request
    /// and runs the search whenever it is the request's turn.
    ///
    /// # Errors
    /// When the request is refused by the queue, waited too long or can't be served.
    pub(crate) async fn admit<T, F>(
        self: &Arc<Self>,
        info: &RequestInfo,
        find: impl Fn() -> F,
    ) -> Result<T, RequestError>
    where
        F: Future<Output = Result<T, NotAdmitted>>,
    {
        if lock(&self.state).queue.is_empty() {
            match find().await {
                Ok(found) => return Ok(found),
                Err(NotAdmitted::Failed(error)) => return Err(error),
                Err(NotAdmitted::Full) => {}
            }
        }
        let mut waiter = self.enqueue(info)?;
        loop {
            match (&mut waiter.turn).await {
                Ok(Turn::Try) => {}
                Ok(Turn::Refused(refusal)) => return Err(refusal_error(refusal)),
                Err(_) => {
                    return Err(RequestError::new(
                        crate::error::ErrorKind::Internal,
                        "the request was dropped from the queue",
                    ));
                }
            }
            match find().await {
                Ok(found) => {
                    self.end_turn_admitted(waiter.ticket);
                    return Ok(found);
                }
                Err(NotAdmitted::Failed(error)) => return Err(error),
                Err(NotAdmitted::Full) => waiter.turn = self.end_turn_full(waiter.ticket),
            }
        }
    }

    /// Records the end of a run, after which its server may have room for a waiting request.
    pub(crate) fn record_run(&self, run_time: Duration, work: Work) {
        lock(&self.state).queue.record_run(run_time, work);
        self.run_ended.notify_one();
    }

    /// Adds a request to the queue, and starts the queue's task if it is not running.
    fn enqueue(self: &Arc<Self>, info: &RequestInfo) -> Result<Waiter, RequestError> {
        let mut state = lock(&self.state);
        let ticket = match state.queue.enqueue(now(), info.demand()) {
            EnqueueResult::Queued(ticket) => ticket,
            EnqueueResult::Displaced(ticket, displaced, refusal) => {
                state.refuse(displaced, refusal);
                ticket
            }
            EnqueueResult::Refused(refusal) => return Err(refusal_error(refusal)),
        };
        let (tx, turn) = oneshot::channel();
        state.waiters.insert(ticket, tx);
        if !std::mem::replace(&mut state.is_running, true) {
            (state.turn_delay, state.next_turn) = (POLL_INTERVAL, Duration::ZERO);
            tokio::spawn(self.clone().run_turns());
        }
        Ok(Waiter { queue: self.clone(), ticket, turn })
    }

    /// Ends the turn of a request that found a server, and grants the next turn at once.
    fn end_turn_admitted(&self, ticket: Ticket) {
        let mut state = lock(&self.state);
        state.waiters.remove(&ticket);
        state.queue.end_turn(now(), ticket, true);
        state.turn_delay = POLL_INTERVAL;
        state.grant_turn();
    }

    /// Ends the turn of a request that found all servers full. The request stays in the queue, and the delay before the
    /// next turn doubles.
    fn end_turn_full(&self, ticket: Ticket) -> oneshot::Receiver<Turn> {
        let mut state = lock(&self.state);
        let (tx, turn) = oneshot::channel();
        state.waiters.insert(ticket, tx);
        state.queue.end_turn(now(), ticket, false);
        state.turn_delay = (state.turn_delay * 2).min(MAX_TURN_DELAY);
        state.next_turn = now() + state.turn_delay;
        turn
    }

    /// Grants turns while requests wait: when a run of this router ends, and after a delay, since runs of other routers
    /// end too.
    async fn run_turns(self: Arc<Self>) {
        loop {
            let run_ended = tokio::time::timeout(POLL_INTERVAL, self.run_ended.notified()).await.is_ok();
            let mut state = lock(&self.state);
            state.expire();
            if state.queue.is_empty() {
                state.is_running = false;
                return;
            }
            if run_ended || now() >= state.next_turn {
                state.grant_turn();
            }
        }
    }
}

impl State {
    /// Grants a turn to the next request, if the maximum number of turns is not in progress.
    fn grant_turn(&mut self) {
        let Some(ticket) = self.queue.start_turn() else { return };
        let sent = self.waiters.remove(&ticket).is_some_and(|tx| tx.send(Turn::Try).is_ok());
        if !sent {
            self.queue.cancel(ticket);
        }
    }

    /// Refuses a waiting request.
    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(tx) = self.waiters.remove(&ticket) {
            let _ = tx.send(Turn::Refused(refusal));
        }
    }

    /// Refuses the requests that have expired.
    fn expire(&mut self) {
        for (ticket, refusal) in self.queue.expire(now()) {
            self.refuse(ticket, refusal);
        }
    }
}

/// A request in the queue; dropping it, for example when the caller disconnects, removes it from the queue.
struct Waiter {
    queue: Arc<Queue>,
    ticket: Ticket,
    turn: oneshot::Receiver<Turn>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut state = lock(&self.queue.state);
        state.waiters.remove(&self.ticket);
        state.queue.cancel(self.ticket);
    }
}

/// Error for a refused request, with jitter on the retry time so that refused callers don't retry at the same time.
fn refusal_error(refusal: Refusal) -> RequestError {
    let after = refusal.retry_after + jitter(refusal.retry_after, &mut rand::rng());
    RequestError::new(refusal.kind, refusal.kind.answer().about).with_retry_after(after)
}
