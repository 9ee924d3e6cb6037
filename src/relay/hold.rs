//! Waits for an attempt in progress, and begins others beside it while it is silent.

use std::{
    future::Future,
    pin::{Pin, pin},
    sync::Arc,
};

use futures_util::{StreamExt, stream::FuturesUnordered};

use super::{
    Wire,
    attempt::{Begun, Failed, Heard, InProgress},
    attempts::{Failure, StopReason},
    backends::BackendKey,
    origins::{Continuation, Discontinued},
    request::EventNumber,
    run::{AttemptError, Run},
    silence::{Awaited, Obstacle, Silence, Verdict},
};
use crate::{
    error::ErrorKind,
    logs::lines::Level,
    metrics::Counter,
    util::{Instant, now},
};

/// How the silence of a server ended; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceEnd {
    /// The server went on.
    WentOn,
    /// Another server began first.
    Replaced,
    /// The server failed, or the request's time was over.
    Failed,
}

impl SilenceEnd {
    /// Every end.
    pub const ALL: [SilenceEnd; 3] = [SilenceEnd::WentOn, SilenceEnd::Replaced, SilenceEnd::Failed];

    /// Label in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            SilenceEnd::WentOn => "went_on",
            SilenceEnd::Replaced => "replaced",
            SilenceEnd::Failed => "failed",
        }
    }
}

/// What a server is to send.
#[derive(Clone, Debug)]
pub(crate) enum Wanted {
    /// An answer; the events after this one if the caller takes a stream up.
    Answer { after: Option<EventNumber> },
    /// The rest of a stream of which the caller has the events up to this one, if they are numbered, from a server of the
    /// version that began it, if that is known.
    Rest { after: Option<EventNumber>, origin: Option<Continuation> },
}

impl Wanted {
    /// Event after which a server is to go on.
    pub(crate) fn after(&self) -> Option<EventNumber> {
        match self {
            Wanted::Answer { after } | Wanted::Rest { after, .. } => *after,
        }
    }

    /// Whether the caller has events already.
    pub(crate) fn continues(&self) -> bool {
        matches!(self, Wanted::Rest { .. })
    }
}

/// An attempt whose silence is watched.
#[derive(Clone, Debug)]
pub(crate) struct Watched {
    pub(crate) key: BackendKey,
    /// When the attempt began.
    pub(crate) sent: Instant,
    /// When the wait for what is awaited began.
    pub(crate) since: Instant,
    pub(crate) heard: Arc<Heard>,
}

/// Which attempt has sent what was awaited.
pub(crate) enum Won<T, W: Wire> {
    /// The one that was held.
    Held(T),
    /// One that began beside it.
    Beside(Begun<W>),
}

/// The attempts in progress, and what is known of the silence of the newest one.
struct Attempting {
    watched: Watched,
    awaited: Awaited,
    silence: Silence,
    /// Servers of all attempts.
    servers: Vec<BackendKey>,
    /// Since when the first one is silent, once that was noticed.
    silent_since: Option<Instant>,
    /// Whether the silence of the newest one was noticed.
    is_noticed: bool,
}

impl Attempting {
    fn new(watched: Watched, awaited: Awaited) -> Self {
        let silence = Silence::new(awaited, watched.since);
        let servers = vec![watched.key];
        Self { watched, awaited, silence, servers, silent_since: None, is_noticed: false }
    }

    fn add(&mut self, watched: Watched, awaited: Awaited) {
        self.silence = Silence::new(awaited, watched.since);
        self.servers.push(watched.key);
        (self.watched, self.awaited) = (watched, awaited);
        self.is_noticed = false;
    }
}

impl<W: Wire> Run<W> {
    /// Makes an attempt up to the beginning of its answer, and others beside it while it is silent.
    pub(crate) async fn begin(&mut self, wanted: &Wanted) -> Result<Begun<W>, AttemptError> {
        let (watched, begun) = self.start(wanted, &[]).map_err(AttemptError::NoServer)?;
        match self.hold(watched, self.awaited_beginning(), begun, wanted).await {
            Ok(Won::Held(begun) | Won::Beside(begun)) => Ok(begun),
            Err(failed) => Err(AttemptError::Failed(failed)),
        }
    }

    /// Waits for `answer`, which comes from the attempt `watched`, and begins others beside it while it is silent.
    ///
    /// # Errors
    /// The last failure, once no attempt is in progress any more.
    pub(crate) async fn hold<T>(
        &mut self,
        watched: Watched,
        awaited: Awaited,
        answer: impl Future<Output = Result<T, Failed>>,
        wanted: &Wanted,
    ) -> Result<Won<T, W>, Failed> {
        let mut answer = pin!(answer);
        let mut beside = FuturesUnordered::new();
        let mut attempting = Attempting::new(watched, awaited);
        let (mut is_held, may_repeat) = (true, self.req.route.repeatable);
        let won = loop {
            let check_in = attempting.silence.check_at().saturating_sub(now());
            tokio::select! {
                biased;
                result = answer.as_mut(), if is_held => match result {
                    Ok(answer) => break Ok(Won::Held(answer)),
                    Err(failed) if beside.is_empty() => break Err(failed),
                    Err(failed) => {
                        is_held = false;
                        self.set_aside(failed);
                    }
                },
                Some(result) = beside.next(), if !beside.is_empty() => match result {
                    Ok(begun) => break Ok(Won::Beside(begun)),
                    Err(failed) if !is_held && beside.is_empty() => break Err(failed),
                    Err(failed) => {
                        self.set_aside(failed);
                        attempting.silence.check_now(now());
                    }
                },
                () = tokio::time::sleep(check_in), if may_repeat => {
                    beside.extend(self.check_silence(&mut attempting, wanted));
                }
            }
        };
        self.end_silence(&attempting, &won);
        won
    }

    /// Starts an attempt at a server other than those that were tried and `others`.
    ///
    /// # Errors
    /// Why no server can be chosen.
    fn start(&mut self, wanted: &Wanted, others: &[BackendKey]) -> Result<Started<W>, ErrorKind> {
        let excluded: Vec<_> = self.tried.iter().chain(others).copied().collect();
        let choice = self.relay.choose(&self.req, &excluded, self.version.as_deref())?;
        let number = self.tries.made();
        self.tries.begin();
        let InProgress { key, sent, heard, begun } =
            InProgress::start(&self.relay, &self.req, choice, wanted, number, self.carriers.clone());
        Ok((Watched { key, sent, since: sent, heard }, begun))
    }

    /// Decides what follows when the newest attempt may have been silent for long enough. Returns the attempt that begins
    /// beside the others, if one does.
    fn check_silence(&mut self, attempting: &mut Attempting, wanted: &Wanted) -> Option<BegunFuture<W>> {
        attempting.silence.hear(attempting.watched.heard.at());
        let mut started = None;
        let servers = attempting.servers.clone();
        let verdict = attempting.silence.check(now(), || {
            started = Some(self.start_beside(wanted, &servers)?);
            Ok(())
        });
        if verdict != Verdict::Wait && !attempting.is_noticed {
            attempting.is_noticed = true;
            attempting.silent_since.get_or_insert(attempting.watched.since);
            self.note_silence(&attempting.watched, attempting.awaited, verdict);
        }
        let (watched, begun) = started?;
        self.relay.metrics.add(Counter::RelayRetries, Failure::Silent.as_str(), 1);
        attempting.add(watched, self.awaited_beginning());
        Some(begun)
    }

    /// Starts an attempt beside others that are in progress at `servers`.
    fn start_beside(&mut self, wanted: &Wanted, servers: &[BackendKey]) -> Result<Started<W>, Obstacle> {
        let now = now();
        self.tries.may_begin_beside(now).map_err(Obstacle::Stop)?;
        if self.relay.is_quarantined(&self.req, None) {
            return Err(Obstacle::Stop(StopReason::Suspect));
        }
        self.require_version(wanted)?;
        if !self.has_responsive_server(servers) {
            return Err(Obstacle::NoServer(ErrorKind::NoEngine));
        }
        if !self.relay.state().budget.allows(now, &self.req.service) {
            return Err(Obstacle::Stop(StopReason::Budget));
        }
        let started = self.start(wanted, servers).map_err(Obstacle::NoServer)?;
        self.relay.spend_retry(&self.req);
        Ok(started)
    }

    /// Requires that only servers of the version that began a stream go on with it, after the last event.
    ///
    /// # Errors
    /// If none may go on with it, or events have no numbers.
    pub(crate) fn require_version(&mut self, wanted: &Wanted) -> Result<(), Obstacle> {
        let Wanted::Rest { after, origin } = wanted else { return Ok(()) };
        if after.is_none() {
            return Err(Obstacle::Stop(StopReason::NotRepeatable));
        }
        let may_continue = |at: &&Continuation| self.relay.state().origins.may_continue(at);
        let Some(origin) = origin.as_ref().filter(may_continue) else {
            return Err(Obstacle::Discontinued(Discontinued::Unknown));
        };
        self.version = Some(origin.version.clone());
        Ok(())
    }

    /// Records that a server is silent: others are preferred from now on.
    fn note_silence(&self, watched: &Watched, awaited: Awaited, verdict: Verdict) {
        let relay = &self.relay;
        let (next, is_only_choice) = match verdict {
            Verdict::Hold(obstacle) => (obstacle.as_str(), obstacle.leaves_no_choice()),
            Verdict::Replace | Verdict::Wait => ("another attempt", false),
        };
        if awaited == Awaited::NextEvent || !is_only_choice {
            relay.record_wait(&self.req, watched.sent);
            relay.avoid_backend(watched.key, Failure::Silent.as_str());
            relay.pool.clear(watched.key);
        }
        let backend = relay.backend_id(watched.key);
        relay.log_request(Level::Notable, "silent", &self.req, |l| {
            let l = l.text("backend", backend.as_deref().unwrap_or("gone")).text("awaited", awaited.as_str());
            let l = l.ms("silent_ms", now().saturating_sub(watched.since)).text("next", next);
            l.number("attempt", self.tries.made()).ms("after_ms", now() - self.req.arrived)
        });
    }

    /// Counts and logs how a silence ended.
    fn end_silence<T>(&mut self, attempting: &Attempting, won: &Result<Won<T, W>, Failed>) {
        let Some(since) = attempting.silent_since else { return };
        let first = attempting.servers[0];
        let end = match won {
            Ok(Won::Held(_)) => SilenceEnd::WentOn,
            Ok(Won::Beside(_)) => SilenceEnd::Replaced,
            Err(_) => SilenceEnd::Failed,
        };
        if end == SilenceEnd::Replaced {
            self.tried.push(first);
        }
        self.relay.metrics.add(Counter::RelaySilences, end.as_str(), 1);
        let backend = self.relay.backend_id(first);
        self.relay.log_request(Level::Notable, "silence_ended", &self.req, |l| {
            let l = l.text("backend", backend.as_deref().unwrap_or("gone")).text("end", end.as_str());
            let l = l.ms("silent_ms", now().saturating_sub(since));
            l.number("beside", attempting.servers.len() as u64 - 1).ms("after_ms", now() - self.req.arrived)
        });
    }

    fn awaited_beginning(&self) -> Awaited {
        Awaited::Beginning { objective: self.req.objective() }
    }
}

/// The beginning of an answer that an attempt is to have.
type BegunFuture<W> = Pin<Box<dyn Future<Output = Result<Begun<W>, Failed>> + Send>>;
/// An attempt that has been started, and the beginning of its answer.
type Started<W> = (Watched, BegunFuture<W>);
