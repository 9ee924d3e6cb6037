//! The attempts of one request: find an engine, send, and decide what a failure means. One loop for chats and
//! calls to plain services.

use std::{future::Future, sync::Arc, time::Duration};

use http::Response;
use hyper::body::Incoming;

use super::{
    Gateway,
    admit::{NotAdmitted, Queue},
    lock,
    place::ReservationGuard,
    request::RequestInfo,
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
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The backend servers that may serve a request.
pub(super) trait Backends: Sync {
    /// Finds one with room that is not among `exclude`, and holds work on it.
    fn find(
        &self,
        exclude: &[Id],
        may_queue: MayQueue,
    ) -> impl Future<Output = Result<ChosenBackend, FindError>> + Send;

    /// Sends the request; `attempt_id` names this attempt.
    fn send(
        &self,
        engine: &Engine,
        attempt_id: &str,
    ) -> impl Future<Output = Result<Response<Incoming>, Failure>> + Send;

    /// Whether the request may run twice.
    fn idempotent(&self) -> bool;
}

/// Whether a request waits in the queue while its pool is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MayQueue {
    Yes,
    /// A suspect: the queue would pass it by again and again, and few there are.
    No,
}

/// A backend server found for a request.
#[derive(Debug)]
pub(super) struct ChosenBackend {
    pub(super) engine: EngineKey,
    /// Work held on it, where work is counted; held until dropped.
    #[expect(dead_code, reason = "ends the reservation when it is dropped")]
    pub(super) guard: Option<ReservationGuard>,
    /// Hint to return with the answer.
    pub(super) hint: Option<String>,
    /// Router that a later request of this chat does best to go to.
    pub(super) next_router: Option<std::net::SocketAddr>,
}

/// Why no backend server was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FindError {
    /// Those in use stand at their bound.
    AtBound,
    /// None is in use.
    NoneAvailable,
}

/// A request that a backend server has begun to answer.
#[derive(Debug)]
pub(super) struct StartedResponse {
    pub(super) res: Response<Incoming>,
    pub(super) chosen: ChosenBackend,
    /// Ends with [`Run::complete`] or [`Run::fail`].
    pub(super) run: Run,
    /// Name of the attempt, under which the engine knows it.
    pub(super) attempt_id: String,
    /// Attempts made so far, over all hops.
    pub(super) attempts: u32,
}

impl Gateway {
    /// Makes attempts until a backend server answers or a bound is reached.
    pub(super) async fn run_attempts(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        queue: &Arc<Queue>,
        to: &impl Backends,
    ) -> Result<StartedResponse, RequestError> {
        let mut attempts = self.begin_attempts(info, to.idempotent())?;
        let mut tried = Vec::new();
        loop {
            let found = self.find_backend(cat, info, queue, to, &tried).await;
            let (chosen, permit) = found.map_err(|f| self.final_error(&attempts, f))?;
            let engine = cat.engine(chosen.engine);
            tried.push(engine.id);
            let run = self.suspects.start_run(engine, info, queue, permit);
            attempts.record_start();
            // An answer, a line of the log and a run at the engine are joined by this name. It is the attempt's own: a
            // late event of an earlier attempt must not pass for one of this.
            let attempt_id = format!("{}-{}", info.id, attempts.made());
            let remaining = info.deadline.saturating_sub(now());
            let reason = match tokio::time::timeout(remaining, to.send(engine, &attempt_id)).await {
                Ok(Ok(res)) if NotRunProof::from_head(&res).is_some() => RetryReason::EngineRefused,
                Ok(Ok(res)) => {
                    lock(&self.cooldowns).record_success(engine.id);
                    return Ok(StartedResponse { res, chosen, run, attempt_id, attempts: attempts.made() });
                }
                Ok(Err(Failure::Connect)) => {
                    lock(&self.cooldowns).record_failure(now(), engine.id);
                    lock(&self.unreachable_engines).push(engine.name.clone());
                    RetryReason::ConnectFailed
                }
                Ok(Err(Failure::Broken)) => {
                    run.fail().await;
                    RetryReason::EngineFailed
                }
                Err(_) => RetryReason::EngineFailed,
            };
            drop(chosen);
            self.back_off(&mut attempts, reason).await?;
        }
    }

    fn begin_attempts(&self, info: &RequestInfo, idempotent: bool) -> Result<Attempts, RequestError> {
        let mut budget = lock(&self.retry_budget);
        let begun =
            Attempts::begin(&self.retry_policy, &mut budget, info.prior_attempts, idempotent, info.deadline);
        match begun {
            Ok(attempts) if info.prior_attempts > 0 => {
                self.metrics.retry(RetryReason::Caller.as_str());
                Ok(attempts)
            }
            Ok(attempts) => Ok(attempts),
            Err(kind) => {
                self.metrics.add(Counter::RetriesRefused, kind.answer().code, 1);
                Err(RequestError::new(kind, kind.answer().about).with_attempts(info.prior_attempts))
            }
        }
    }

    /// Waits before the next attempt, or ends with the final answer at once.
    async fn back_off(&self, attempts: &mut Attempts, reason: RetryReason) -> Result<(), RequestError> {
        let decided = attempts.record_failure(
            &self.retry_policy,
            &mut lock(&self.retry_budget),
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
                Err(denied_error(denied, attempts.made()))
            }
        }
    }

    /// A fault between attempts. After an attempt that may have run, none may say "not run".
    fn final_error(&self, attempts: &Attempts, error: RequestError) -> RequestError {
        let denied = attempts.denied(error.kind);
        if denied.answer == error.kind {
            return error.with_attempts(attempts.made());
        }
        self.metrics.add(Counter::RetriesRefused, denied.reason.answer().code, 1);
        denied_error(denied, attempts.made())
    }

    async fn find_backend(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        queue: &Arc<Queue>,
        to: &impl Backends,
        tried: &[Id],
    ) -> Result<(ChosenBackend, Option<Permit>), RequestError> {
        loop {
            match self.suspects.standing(info.content) {
                Standing::Quarantined => return Err(self.suspects.quarantine_error(info.content)),
                Standing::Suspect => return self.find_for_suspect(cat, info, to, tried).await,
                Standing::Cleared => {}
            }
            let chosen = self.find_queued(info, queue, to, tried).await?;
            // The wait may have been long, and the content may have become a suspect meanwhile.
            if self.suspects.standing(info.content) == Standing::Cleared {
                return Ok((chosen, None));
            }
        }
    }

    /// Finds an engine, first without those that failed this request or could not be reached lately, then
    /// without the former, then any.
    async fn find_queued(
        &self,
        info: &RequestInfo,
        queue: &Arc<Queue>,
        to: &impl Backends,
        tried: &[Id],
    ) -> Result<ChosenBackend, RequestError> {
        let cooling_down = lock(&self.cooldowns).active(now());
        let mut last = no_engine();
        for exclude in [&[tried, &cooling_down].concat()[..], tried, &[]] {
            let find = || async { to.find(exclude, MayQueue::Yes).await.map_err(not_admitted) };
            match queue.admit(info, find).await {
                Err(f) if f.kind == ErrorKind::NoEngine => last = f,
                chosen => return chosen,
            }
        }
        Err(last)
    }

    /// Finds an engine on which no other suspect runs. Suspects don't wait in the queue: one that has the turn
    /// and gets no permit would hold up all behind it.
    async fn find_for_suspect(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        to: &impl Backends,
        tried: &[Id],
    ) -> Result<(ChosenBackend, Option<Permit>), RequestError> {
        let unstable = self.suspects.unstable_engines(cat.engines().map(|(_, e)| (e.id, e.name.clone())));
        let mut avoid = [tried, &unstable].concat();
        while now() < info.deadline {
            match self.find_with_permit(cat, info, to, &avoid).await? {
                PermitSearch::Found(chosen, permit) => return Ok((chosen, Some(permit))),
                PermitSearch::Busy => {}
                // Better one of the engines to be avoided than no answer.
                PermitSearch::OnlyAvoided if avoid.len() > unstable.len() => avoid.clone_from(&unstable),
                PermitSearch::OnlyAvoided => avoid.clear(),
            }
            let pause = jitter(SUSPECT_RETRY_DELAY, &mut rand::rng());
            tokio::time::sleep(pause).await;
            if self.suspects.standing(info.content) == Standing::Quarantined {
                return Err(self.suspects.quarantine_error(info.content));
            }
        }
        Err(RequestError::new(ErrorKind::SuspectBusy, ErrorKind::SuspectBusy.answer().about))
    }

    /// One round over the engines: the first with room whose permit is free.
    async fn find_with_permit(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        to: &impl Backends,
        avoid: &[Id],
    ) -> Result<PermitSearch, RequestError> {
        let mut exclude = avoid.to_vec();
        loop {
            let chosen = match to.find(&exclude, MayQueue::No).await {
                Ok(chosen) => chosen,
                Err(FindError::NoneAvailable) if exclude.is_empty() => return Err(no_engine()),
                Err(FindError::NoneAvailable) if exclude.len() == avoid.len() => {
                    return Ok(PermitSearch::OnlyAvoided);
                }
                Err(_) => return Ok(PermitSearch::Busy),
            };
            let engine = cat.engine(chosen.engine);
            match self.suspects.acquire_permit(info, engine).await {
                Ok(permit) => return Ok(PermitSearch::Found(chosen, permit)),
                Err(Verdict::ContentQuarantined) => return Err(self.suspects.quarantine_error(info.content)),
                Err(Verdict::EngineTaken) => exclude.push(engine.id),
                Err(_) => return Ok(PermitSearch::Busy),
            }
        }
    }
}

/// What a round over the engines gave a suspect.
enum PermitSearch {
    Found(ChosenBackend, Permit),
    /// Every engine is full or runs another suspect, or the content is running.
    Busy,
    /// No engine is in use but those to be avoided.
    OnlyAvoided,
}

fn denied_error(denied: RetryDenied, attempts: u32) -> RequestError {
    let (answer, reason) = (denied.answer.answer(), denied.reason.answer());
    let message = match denied.answer == denied.reason {
        true => answer.about.to_owned(),
        false => format!("{}; no further attempt: {}", answer.about, reason.about),
    };
    RequestError::new(denied.answer, message).with_attempts(attempts)
}

fn not_admitted(error: FindError) -> NotAdmitted {
    match error {
        FindError::AtBound => NotAdmitted::Full,
        FindError::NoneAvailable => NotAdmitted::Failed(no_engine()),
    }
}

fn no_engine() -> RequestError {
    RequestError::new(ErrorKind::NoEngine, ErrorKind::NoEngine.answer().about)
}
