//! Runs the queues of admission: lets requests wait, gives turns, refuses.

use std::{
    future::Future,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use tokio::sync::{Notify, oneshot};

use super::{ask::Ask, lock, read};
use crate::{
    admit::{ConcurrencyLimit, EnqueueResult, FairQueue, InFlight, Refusal, Ticket, Work},
    error::RequestError,
    retry::jitter,
    util::{Instant, Map, now},
};

/// How often waiting requests are looked at: bounds how late an expired one learns of it.
const TICK: Duration = Duration::from_millis(25);
/// Longest pause between two turns while no engine has room. Each turn may ask several owners of engines, and
/// routers may spend only a few kilobytes a second on that.
const MOST_PAUSE: Duration = Duration::from_millis(250);

/// Queues and limits of one router.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    queues: RwLock<Map<Arc<str>, Arc<Queue>>>,
    usage: Arc<Mutex<InFlight>>,
}

impl Admission {
    /// The queue of a pool or service.
    pub(crate) fn queue(&self, name: &str) -> Arc<Queue> {
        if let Some(queue) = read(&self.queues).get(name) {
            return queue.clone();
        }
        let mut queues = self.queues.write().unwrap_or_else(|e| e.into_inner());
        queues.entry(name.into()).or_default().clone()
    }

    /// Counts a request against the limits of its workspace.
    ///
    /// # Errors
    /// When a limit is reached.
    pub(crate) fn enter(
        &self,
        caps: Arc<[ConcurrencyLimit]>,
        routers: u32,
        ask: &Ask,
    ) -> Result<Entered, RequestError> {
        if !caps.is_empty() {
            let entered = lock(&self.usage).acquire(&caps, routers);
            entered.map_err(|kind| {
                RequestError::new(
                    kind,
                    format!("workspace {:?} has too many requests in progress", ask.workspace),
                )
            })?;
        }
        Ok(Entered { caps, usage: self.usage.clone() })
    }
}

/// A request that counts against the limits of its workspace until it is dropped.
#[derive(Debug)]
pub(crate) struct Entered {
    caps: Arc<[ConcurrencyLimit]>,
    usage: Arc<Mutex<InFlight>>,
}

impl Drop for Entered {
    fn drop(&mut self) {
        if !self.caps.is_empty() {
            lock(&self.usage).release(&self.caps);
        }
    }
}

/// Requests of one pool or service that wait for an engine.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    state: Mutex<State>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    lane: FairQueue,
    waiters: Map<Ticket, oneshot::Sender<Turn>>,
    pumped: bool,
    pause: Duration,
    next: Instant,
}

#[derive(Debug)]
enum Turn {
    Try,
    Refused(Refusal),
}

/// What a search for an engine gave, when it gave none.
#[derive(Debug)]
pub(crate) enum NoRoom {
    /// Every engine in use stands at its bound; the request may wait.
    Full,
    /// The request can't be served.
    RequestError(RequestError),
}

impl Queue {
    /// Finds an engine by `find`, at once or after waiting for a turn.
    ///
    /// # Errors
    /// When the request may not wait, waited too long, or can't be served.
    pub(crate) async fn admit<T, F>(
        self: &Arc<Self>,
        ask: &Ask,
        find: impl Fn() -> F,
    ) -> Result<T, RequestError>
    where
        F: Future<Output = Result<T, NoRoom>>,
    {
        if lock(&self.state).lane.is_empty() {
            match find().await {
                Ok(found) => return Ok(found),
                Err(NoRoom::RequestError(fault)) => return Err(fault),
                Err(NoRoom::Full) => {}
            }
        }
        let mut waiter = self.wait(ask)?;
        loop {
            match (&mut waiter.turn).await {
                Ok(Turn::Try) => {}
                Ok(Turn::Refused(refusal)) => return Err(fault(refusal)),
                Err(_) => {
                    return Err(RequestError::new(crate::error::ErrorKind::Internal, "the queue is gone"));
                }
            }
            match find().await {
                Ok(found) => {
                    self.settled(waiter.ticket);
                    return Ok(found);
                }
                Err(NoRoom::RequestError(fault)) => return Err(fault),
                Err(NoRoom::Full) => waiter.turn = self.again(waiter.ticket),
            }
        }
    }

    /// Notes a run that has ended, so that its engine may have room.
    pub(crate) fn note_end(&self, ran: Duration, work: Work) {
        lock(&self.state).lane.record_run(ran, work);
        self.freed.notify_one();
    }

    fn wait(self: &Arc<Self>, ask: &Ask) -> Result<Waiter, RequestError> {
        let mut state = lock(&self.state);
        let ticket = match state.lane.enqueue(now(), ask.demand()) {
            EnqueueResult::Queued(ticket) => ticket,
            EnqueueResult::Displaced(ticket, victim, refusal) => {
                state.refuse(victim, refusal);
                ticket
            }
            EnqueueResult::Refused(refusal) => return Err(fault(refusal)),
        };
        let (tx, turn) = oneshot::channel();
        state.waiters.insert(ticket, tx);
        if !std::mem::replace(&mut state.pumped, true) {
            (state.pause, state.next) = (TICK, Duration::ZERO);
            tokio::spawn(self.clone().pump());
        }
        Ok(Waiter { queue: self.clone(), ticket, turn })
    }

    fn settled(&self, ticket: Ticket) {
        let mut state = lock(&self.state);
        state.waiters.remove(&ticket);
        state.lane.end_turn(now(), ticket, true);
        state.pause = TICK;
        state.grant();
    }

    fn again(&self, ticket: Ticket) -> oneshot::Receiver<Turn> {
        let mut state = lock(&self.state);
        let (tx, turn) = oneshot::channel();
        state.waiters.insert(ticket, tx);
        state.lane.end_turn(now(), ticket, false);
        state.pause = (state.pause * 2).min(MOST_PAUSE);
        state.next = now() + state.pause;
        turn
    }

    /// Gives turns while requests wait: when a run ends here, and after a pause, since an engine may have been
    /// freed by another router.
    async fn pump(self: Arc<Self>) {
        loop {
            let freed = tokio::time::timeout(TICK, self.freed.notified()).await.is_ok();
            let mut state = lock(&self.state);
            state.expire();
            if state.lane.is_empty() {
                state.pumped = false;
                return;
            }
            if freed || now() >= state.next {
                state.grant();
            }
        }
    }
}

impl State {
    fn grant(&mut self) {
        let Some(ticket) = self.lane.start_turn() else { return };
        let sent = self.waiters.remove(&ticket).is_some_and(|tx| tx.send(Turn::Try).is_ok());
        if !sent {
            self.lane.cancel(ticket);
        }
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(tx) = self.waiters.remove(&ticket) {
            let _ = tx.send(Turn::Refused(refusal));
        }
    }

    fn expire(&mut self) {
        for (ticket, refusal) in self.lane.expire(now()) {
            self.refuse(ticket, refusal);
        }
    }
}

/// A place in the queue; dropping it, as when the caller goes away, gives it up.
struct Waiter {
    queue: Arc<Queue>,
    ticket: Ticket,
    turn: oneshot::Receiver<Turn>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut state = lock(&self.queue.state);
        state.waiters.remove(&self.ticket);
        state.lane.cancel(self.ticket);
    }
}

/// Refused callers are told different times, so that they don't come back together.
fn fault(refusal: Refusal) -> RequestError {
    let after = refusal.retry_after + jitter(refusal.retry_after, &mut rand::rng());
    RequestError::new(refusal.kind, refusal.kind.answer().about).with_retry_after(after)
}
