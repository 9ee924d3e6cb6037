//! Retry loop of a request: finds a backend server, sends the request, and retries or fails it depending on the
//! failure. Chats and calls to plain services share this loop.

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

/// Maximum delay before a suspect searches again for an engine that runs no other suspect.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Backend servers that may serve a request.
pub(super) trait Backends: Sync {
    /// Finds a server with room that is not in `exclude`, and reserves work on it.
    fn find(
        &self,
        exclude: &[Id],
        may_queue: MayQueue,
    ) -> impl Future<Output = Result<ChosenBackend, FindError>> + Send;

    /// Sends the request; `attempt_id` identifies this attempt.
    fn send(
        &self,
        engine: &Engine,
        attempt_id: &str,
    ) -> impl Future<Output = Result<Response<Incoming>, Failure>> + Send;

    /// Whether the request is idempotent, so that it may run twice.
    fn idempotent(&self) -> bool;
}

/// Whether a request may wait in the queue while its pool is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MayQueue {
    Yes,
    /// For suspects, which are few and would be passed over in the queue again and again.
    No,
}

/// Backend server chosen for a request.
#[derive(Debug)]
pub(super) struct ChosenBackend {
    pub(super) engine: EngineKey,
    /// Guard of the work reserved on it; `None` for plain services, which have no reservations.
    #[expect(dead_code, reason = "ends the reservation when it is dropped")]
    pub(super) guard: Option<ReservationGuard>,
    /// Placement hint to return with the answer.
    pub(super) hint: Option<String>,
    /// Router to which the caller should send the chat's next request.
    pub(super) next_router: Option<std::net::SocketAddr>,
}

/// Why no backend server was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FindError {
    /// Every available server is at its load bound.
    AtBound,
    /// No server is available.
    NoneAvailable,
}

/// Response that a backend server has started to send.
#[derive(Debug)]
pub(super) struct StartedResponse {
    pub(super) res: Response<Incoming>,
    pub(super) chosen: ChosenBackend,
    /// To be ended with [`Run::complete`] or [`Run::fail`].
    pub(super) run: Run,
    /// ID of the attempt, under which the engine knows the request.
    pub(super) attempt_id: String,
    /// Attempts made so far, over all hops.
    pub(super) attempts: u32,
}

impl Gateway {
    /// Makes attempts until a backend server answers or no further attempt is allowed.
    pub(super) async fn run_attempts(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        queue: &Arc<Queue>,
        backends: &impl Backends,
    ) -> Result<StartedResponse, RequestError> {
        let mut attempts = self.begin_attempts(info, backends.idempotent())?;
        let mut tried = Vec::new();
        loop {
            let found = self.find_backend(cat, info, queue, backends, &tried).await;
            let (chosen, permit) = found.map_err(|f| self.final_error(&attempts, f))?;
            let engine = cat.engine(chosen.engine);
            tried.push(engine.id);
            let run = self.suspects.start_run(engine, info, queue, permit);
            attempts.record_start();
            // This ID correlates the answer, the log lines and the run on the engine. It is unique to the attempt, so
            // that a late event of an earlier attempt is not mistaken for one of this attempt.
            let attempt_id = format!("{}-{}", info.id, attempts.made());
            let remaining = info.deadline.saturating_sub(now());
            let reason = match tokio::time::timeout(remaining, backends.send(engine, &attempt_id)).await {
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

    /// Starts counting attempts; refuses a caller's retry beyond the attempt limit or the retry budget.
    fn begin_attempts(&self, info: &RequestInfo, idempotent: bool) -> Result<Attempts, RequestError> {
        let mut budget = lock(&self.retry_budget);
        let result =
            Attempts::begin(&self.retry_policy, &mut budget, info.prior_attempts, idempotent, info.deadline);
        match result {
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

    /// Waits before the next attempt, or returns the final error at once if no retry is allowed.
    async fn back_off(&self, attempts: &mut Attempts, reason: RetryReason) -> Result<(), RequestError> {
        let decision = attempts.record_failure(
            &self.retry_policy,
            &mut lock(&self.retry_budget),
            now(),
            reason,
            &mut rand::rng(),
        );
        match decision {
            Ok(delay) => {
                self.metrics.retry(reason.as_str());
                tokio::time::sleep(delay).await;
                Ok(())
            }
            Err(denied) => {
                self.metrics.add(Counter::RetriesRefused, denied.reason.answer().code, 1);
                Err(denied_error(denied, attempts.made()))
            }
        }
    }

    /// Final error of a request that fails between attempts. It must not state "not run" once an attempt may have run.
    fn final_error(&self, attempts: &Attempts, error: RequestError) -> RequestError {
        let denied = attempts.denied(error.kind);
        if denied.answer == error.kind {
            return error.with_attempts(attempts.made());
        }
        self.metrics.add(Counter::RetriesRefused, denied.reason.answer().code, 1);
        denied_error(denied, attempts.made())
    }

    /// Finds a backend server, with a permit if the request's content is a suspect.
    async fn find_backend(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        queue: &Arc<Queue>,
        backends: &impl Backends,
        tried: &[Id],
    ) -> Result<(ChosenBackend, Option<Permit>), RequestError> {
        loop {
            match self.suspects.standing(info.content) {
                Standing::Quarantined => return Err(self.suspects.quarantine_error(info.content)),
                Standing::Suspect => return self.find_for_suspect(cat, info, backends, tried).await,
                Standing::Cleared => {}
            }
            let chosen = self.find_queued(info, queue, backends, tried).await?;
            // The content may have become a suspect while the request waited in the queue.
            if self.suspects.standing(info.content) == Standing::Cleared {
                return Ok((chosen, None));
            }
        }
    }

    /// Finds a backend server through the queue. The first search excludes servers on which this request failed and
    /// those in cool-down, the second only the former, the third none.
    async fn find_queued(
        &self,
        info: &RequestInfo,
        queue: &Arc<Queue>,
        backends: &impl Backends,
        tried: &[Id],
    ) -> Result<ChosenBackend, RequestError> {
        let cooling_down = lock(&self.cooldowns).active(now());
        let mut last_error = no_engine();
        for exclude in [&[tried, &cooling_down].concat()[..], tried, &[]] {
            let find = || async { backends.find(exclude, MayQueue::Yes).await.map_err(not_admitted) };
            match queue.admit(info, find).await {
                Err(f) if f.kind == ErrorKind::NoEngine => last_error = f,
                chosen => return chosen,
            }
        }
        Err(last_error)
    }

    /// Finds a backend server on which no other suspect runs, and a permit for it. Suspects don't wait in the queue: a
    /// suspect whose turn it is but that gets no permit would hold up all requests behind it.
    async fn find_for_suspect(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        backends: &impl Backends,
        tried: &[Id],
    ) -> Result<(ChosenBackend, Option<Permit>), RequestError> {
        let unstable = self.suspects.unstable_engines(cat.engines().map(|(_, e)| (e.id, e.name.clone())));
        let mut avoid = [tried, &unstable].concat();
        while now() < info.deadline {
            match self.find_with_permit(cat, info, backends, &avoid).await? {
                PermitSearch::Found(chosen, permit) => return Ok((chosen, Some(permit))),
                PermitSearch::Busy => {}
                // An engine that should be avoided is better than no answer.
                PermitSearch::OnlyAvoided if avoid.len() > unstable.len() => avoid.clone_from(&unstable),
                PermitSearch::OnlyAvoided => avoid.clear(),
            }
            let delay = jitter(SUSPECT_RETRY_DELAY, &mut rand::rng());
            tokio::time::sleep(delay).await;
            if self.suspects.standing(info.content) == Standing::Quarantined {
                return Err(self.suspects.quarantine_error(info.content));
            }
        }
        Err(RequestError::new(ErrorKind::SuspectBusy, ErrorKind::SuspectBusy.answer().about))
    }

    /// Searches once for a backend server that has room and for which a permit is granted.
    async fn find_with_permit(
        &self,
        cat: &Catalog,
        info: &RequestInfo,
        backends: &impl Backends,
        avoid: &[Id],
    ) -> Result<PermitSearch, RequestError> {
        let mut exclude = avoid.to_vec();
        loop {
            let chosen = match backends.find(&exclude, MayQueue::No).await {
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

/// Result of one search for a backend server for a suspect.
enum PermitSearch {
    Found(ChosenBackend, Permit),
    /// Every engine is full or runs another suspect, or the content is already running.
    Busy,
    /// Only engines that should be avoided are available.
    OnlyAvoided,
}

/// Error for the caller when a retry is denied.
fn denied_error(denied: RetryDenied, attempts: u32) -> RequestError {
    let (answer, reason) = (denied.answer.answer(), denied.reason.answer());
    let message = match denied.answer == denied.reason {
        true => answer.about.to_owned(),
        false => format!("{}; no further attempt: {}", answer.about, reason.about),
    };
    RequestError::new(denied.answer, message).with_attempts(attempts)
}

/// Result of a failed search as the queue needs it: whether the request may wait.
fn not_admitted(error: FindError) -> NotAdmitted {
    match error {
        FindError::AtBound => NotAdmitted::Full,
        FindError::NoneAvailable => NotAdmitted::Failed(no_engine()),
    }
}

fn no_engine() -> RequestError {
    RequestError::new(ErrorKind::NoEngine, ErrorKind::NoEngine.answer().about)
}
