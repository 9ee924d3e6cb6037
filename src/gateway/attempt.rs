//! The attempts of one request: find an engine, send, and decide what a failure means. One loop for chats and
//! calls to plain services.

use std::{future::Future, sync::Arc, time::Duration};

use http::Response;
use hyper::body::Incoming;

use super::{
    Gateway,
    admit::{NoRoom, Queue},
    ask::Ask,
    lock,
    place::Slot,
    suspects::{Permit, Run},
};
use crate::{
    catalog::{Catalog, Engine, EngineKey, Id},
    client::Failure,
    error::{ErrorKind, RequestError},
    metrics::Counter,
    outcome::NotRunProof,
    retry::{Attempts, RetryDenied, RetryReason, jitter},
    suspect::{Standing, Verdict},
    util::now,
};

/// Pause before a suspect looks again for an engine without another suspect.
const SUSPECT_PAUSE: Duration = Duration::from_millis(100);

/// The backend servers that may serve a request.
pub(super) trait Backends: Sync {
    /// Finds one with room that is not among `exclude`, and holds work on it.
    fn find(&self, exclude: &[Id], queue: Queued) -> impl Future<Output = Result<Found, Unfound>> + Send;

    /// Sends the request; `request` names this attempt.
    fn send(
        &self,
        engine: &Engine,
        request: &str,
    ) -> impl Future<Output = Result<Response<Incoming>, Failure>> + Send;

    /// Whether the request may run twice.
    fn idempotent(&self) -> bool;
}

/// Whether a request waits in the queue while its pool is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Queued {
    Yes,
    /// A suspect: the queue would pass it by again and again, and few there are.
    No,
}

/// A backend server found for a request.
#[derive(Debug)]
pub(super) struct Found {
    pub(super) engine: EngineKey,
    /// Work held on it, where work is counted; held until dropped.
    #[expect(dead_code, reason = "ends the reservation when it is dropped")]
    pub(super) slot: Option<Slot>,
    /// Hint to return with the answer.
    pub(super) hint: Option<String>,
    /// Router that a later request of this chat does best to go to.
    pub(super) router: Option<std::net::SocketAddr>,
}

/// Why no backend server was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unfound {
    /// Those in use stand at their bound.
    AtBound,
    /// None is in use.
    NoneInUse,
}

/// A request that a backend server has begun to answer.
#[derive(Debug)]
pub(super) struct Started {
    pub(super) res: Response<Incoming>,
    pub(super) found: Found,
    /// Ends with [`Run::complete`] or [`Run::broke`].
    pub(super) run: Run,
    /// Name of the attempt, under which the engine knows it.
    pub(super) request: String,
    /// Attempts made so far, over all hops.
    pub(super) attempts: u32,
}

impl Gateway {
    /// Makes attempts until a backend server answers or a bound is reached.
    pub(super) async fn attempt(
        &self,
        cat: &Catalog,
        ask: &Ask,
        queue: &Arc<Queue>,
        to: &impl Backends,
    ) -> Result<Started, RequestError> {
        let mut attempts = self.arrive(ask, to.idempotent())?;
        let mut tried = Vec::new();
        loop {
            let placed = self.find(cat, ask, queue, to, &tried).await;
            let (found, permit) = placed.map_err(|f| self.final_answer(&attempts, f))?;
            let engine = cat.engine(found.engine);
            tried.push(engine.id);
            let run = self.suspects.start(engine, ask, queue, permit);
            attempts.record_start();
            // An answer, a line of the log and a run at the engine are joined by this name. It is the attempt's own: a
            // late event of an earlier attempt must not pass for one of this.
            let request = format!("{}-{}", ask.id, attempts.made());
            let left = ask.deadline.saturating_sub(now());
            let reason = match tokio::time::timeout(left, to.send(engine, &request)).await {
                Ok(Ok(res)) if NotRunProof::from_head(&res).is_some() => RetryReason::EngineRefused,
                Ok(Ok(res)) => {
                    lock(&self.avoid).record_success(engine.id);
                    return Ok(Started { res, found, run, request, attempts: attempts.made() });
                }
                Ok(Err(Failure::Connect)) => {
                    lock(&self.avoid).record_failure(now(), engine.id);
                    lock(&self.unreached).push(engine.name.clone());
                    RetryReason::ConnectFailed
                }
                Ok(Err(Failure::Broken)) => {
                    run.broke().await;
                    RetryReason::EngineFailed
                }
                Err(_) => RetryReason::EngineFailed,
            };
            drop(found);
            self.back_off(&mut attempts, reason).await?;
        }
    }

    fn arrive(&self, ask: &Ask, idempotent: bool) -> Result<Attempts, RequestError> {
        let mut budget = lock(&self.budget);
        let arrived =
            Attempts::begin(&self.retry_policy, &mut budget, ask.attempts, idempotent, ask.deadline);
        match arrived {
            Ok(attempts) if ask.attempts > 0 => {
                self.metrics.retry(RetryReason::Caller.as_str());
                Ok(attempts)
            }
            Ok(attempts) => Ok(attempts),
            Err(kind) => {
                self.metrics.add(Counter::RetriesRefused, kind.answer().code, 1);
                Err(RequestError::new(kind, kind.answer().about).with_attempts(ask.attempts))
            }
        }
    }

    /// Waits before the next attempt, or ends with the final answer at once.
    async fn back_off(&self, attempts: &mut Attempts, reason: RetryReason) -> Result<(), RequestError> {
        let decided = attempts.record_failure(
            &self.retry_policy,
            &mut lock(&self.budget),
            now(),
            reason,
            &mut rand::rng(),
        );
        match decided {
            Ok(pause) => {
                self.metrics.retry(reason.as_str());
                tokio::time::sleep(pause).await;
                Ok(())
            }
            Err(denied) => {
                self.metrics.add(Counter::RetriesRefused, denied.reason.answer().code, 1);
                Err(denied_fault(denied, attempts.made()))
            }
        }
    }

    /// A fault between attempts. After an attempt that may have run, none may say "not run".
    fn final_answer(&self, attempts: &Attempts, fault: RequestError) -> RequestError {
        let denied = attempts.denied(fault.kind);
        if denied.answer == fault.kind {
            return fault.with_attempts(attempts.made());
        }
        self.metrics.add(Counter::RetriesRefused, denied.reason.answer().code, 1);
        denied_fault(denied, attempts.made())
    }

    async fn find(
        &self,
        cat: &Catalog,
        ask: &Ask,
        queue: &Arc<Queue>,
        to: &impl Backends,
        tried: &[Id],
    ) -> Result<(Found, Option<Permit>), RequestError> {
        loop {
            match self.suspects.standing(ask.content) {
                Standing::Quarantined => return Err(self.suspects.refuse(ask.content)),
                Standing::Suspect => return self.find_apart(cat, ask, to, tried).await,
                Standing::Cleared => {}
            }
            let found = self.find_in_turn(ask, queue, to, tried).await?;
            // The wait may have been long, and the content may have become a suspect meanwhile.
            if self.suspects.standing(ask.content) == Standing::Cleared {
                return Ok((found, None));
            }
        }
    }

    /// Finds an engine, first without those that failed this request or could not be reached lately, then
    /// without the former, then any.
    async fn find_in_turn(
        &self,
        ask: &Ask,
        queue: &Arc<Queue>,
        to: &impl Backends,
        tried: &[Id],
    ) -> Result<Found, RequestError> {
        let avoid = lock(&self.avoid).active(now());
        let mut last = no_engine();
        for exclude in [&[tried, &avoid].concat()[..], tried, &[]] {
            let find = || async { to.find(exclude, Queued::Yes).await.map_err(no_room) };
            match queue.admit(ask, find).await {
                Err(f) if f.kind == ErrorKind::NoEngine => last = f,
                found => return found,
            }
        }
        Err(last)
    }

    /// Finds an engine on which no other suspect runs. Suspects don't wait in the queue: one that has the turn
    /// and gets no permit would hold up all behind it.
    async fn find_apart(
        &self,
        cat: &Catalog,
        ask: &Ask,
        to: &impl Backends,
        tried: &[Id],
    ) -> Result<(Found, Option<Permit>), RequestError> {
        let unsteady = self.suspects.unsteady(cat.engines().map(|(_, e)| (e.id, e.name.clone())));
        let mut avoid = [tried, &unsteady].concat();
        while now() < ask.deadline {
            match self.find_permitted(cat, ask, to, &avoid).await? {
                Permitted::Found(found, permit) => return Ok((found, Some(permit))),
                Permitted::NotNow => {}
                // Better one of the engines to be avoided than no answer.
                Permitted::OnlyAvoided if avoid.len() > unsteady.len() => avoid.clone_from(&unsteady),
                Permitted::OnlyAvoided => avoid.clear(),
            }
            let pause = jitter(SUSPECT_PAUSE, &mut rand::rng());
            tokio::time::sleep(pause).await;
            if self.suspects.standing(ask.content) == Standing::Quarantined {
                return Err(self.suspects.refuse(ask.content));
            }
        }
        Err(RequestError::new(ErrorKind::SuspectBusy, ErrorKind::SuspectBusy.answer().about))
    }

    /// One round over the engines: the first with room whose permit is free.
    async fn find_permitted(
        &self,
        cat: &Catalog,
        ask: &Ask,
        to: &impl Backends,
        avoid: &[Id],
    ) -> Result<Permitted, RequestError> {
        let mut exclude = avoid.to_vec();
        loop {
            let found = match to.find(&exclude, Queued::No).await {
                Ok(found) => found,
                Err(Unfound::NoneInUse) if exclude.is_empty() => return Err(no_engine()),
                Err(Unfound::NoneInUse) if exclude.len() == avoid.len() => return Ok(Permitted::OnlyAvoided),
                Err(_) => return Ok(Permitted::NotNow),
            };
            let engine = cat.engine(found.engine);
            match self.suspects.permit(ask, engine).await {
                Ok(permit) => return Ok(Permitted::Found(found, permit)),
                Err(Verdict::ContentQuarantined) => return Err(self.suspects.refuse(ask.content)),
                Err(Verdict::EngineTaken) => exclude.push(engine.id),
                Err(_) => return Ok(Permitted::NotNow),
            }
        }
    }
}

/// What a round over the engines gave a suspect.
enum Permitted {
    Found(Found, Permit),
    /// Every engine is full or runs another suspect, or the content is running.
    NotNow,
    /// No engine is in use but those to be avoided.
    OnlyAvoided,
}

fn denied_fault(denied: RetryDenied, attempts: u32) -> RequestError {
    let (answer, reason) = (denied.answer.answer(), denied.reason.answer());
    let message = match denied.answer == denied.reason {
        true => answer.about.to_owned(),
        false => format!("{}; no further attempt: {}", answer.about, reason.about),
    };
    RequestError::new(denied.answer, message).with_attempts(attempts)
}

fn no_room(unfound: Unfound) -> NoRoom {
    match unfound {
        Unfound::AtBound => NoRoom::Full,
        Unfound::NoneInUse => NoRoom::RequestError(no_engine()),
    }
}

fn no_engine() -> RequestError {
    RequestError::new(ErrorKind::NoEngine, ErrorKind::NoEngine.answer().about)
}
