//! History of a run, as observed by callers and backend servers, and checks of the guarantees against it. No I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::{Duration, Instant},
};

use super::{
    Scenario,
    conduct::ENDLESS_TEXT,
    hosts::{CONFIG_APPLY_MS, RETRY_EXTRA, RETRY_RATIO, RETRY_WINDOW_S},
    store::VERSION_ROUTE,
};

/// Number of events in a complete stream.
pub const STREAM_EVENTS: u32 = 12;
/// Deadline of all requests.
pub const REQUEST_DEADLINE: Duration = Duration::from_secs(4);
/// Time before and after a fault within which the fault still accounts for a lost answer.
const FAULT_MARGIN: Duration = Duration::from_millis(1_500);

/// Time after a server announces that it is draining until hosts in contact must send it no new requests.
const DRAIN_NOTICE_DEADLINE: Duration = Duration::from_secs(2);
/// Time after a configuration version is acknowledged until it must be in force on hosts in contact.
const CONFIG_APPLY_DEADLINE: Duration = Duration::from_millis(CONFIG_APPLY_MS);
/// Time after a fault until its subject counts as in contact again.
const RECONNECT_TIME: Duration = Duration::from_secs(3);
/// Time after a server requests a pause until the host must honour it.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Number of a host's requests that may still arrive during a pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;
/// Number of streams that must be taken up for the share of those that go on to count.
const MIN_TAKEN_UP: usize = 12;
/// Most servers that may crash by a prompt part later than the contact time after the fifth did.
const MAX_LATE_CRASHES: usize = 3;
/// Number of sound streams that must be sent for the share of those that begin to count.
const MIN_SOUND: usize = 20;
/// Subject of faults of the store.
pub const STORE: &str = "store";

/// Kind of a request, which determines whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May be executed more than once.
    Idempotent,
    /// Must be executed at most once.
    NonIdempotent,
    /// A stream that may be resumed on another server.
    ResumableStream,
    /// A stream that can't be resumed and must be executed at most once.
    PlainStream,
}

impl Kind {
    /// All kinds, in the order in which a random index picks them.
    pub const ALL: [Kind; 4] =
        [Kind::Idempotent, Kind::NonIdempotent, Kind::ResumableStream, Kind::PlainStream];

    /// Label in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Idempotent => "safe",
            Kind::NonIdempotent => "unsafe",
            Kind::ResumableStream => "stream",
            Kind::PlainStream => "once",
        }
    }

    /// Path prefix of the route for this kind.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Idempotent => "/safe/",
            Kind::NonIdempotent => "/unsafe/",
            Kind::ResumableStream => "/stream/",
            Kind::PlainStream => "/once/",
        }
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::ResumableStream | Kind::PlainStream)
    }

    fn runs_at_most_once(self) -> bool {
        matches!(self, Kind::NonIdempotent | Kind::PlainStream)
    }
}

/// Outcome of a request as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived.
    Complete {
        /// Status code.
        status: u16,
        /// Body, or the data of each event if it is a stream.
        data: Vec<String>,
    },
    /// The connection closed before the answer was complete; holds the stream events received until then.
    Disconnected(Vec<String>),
    /// The caller left; holds the stream events received until then.
    Left(Vec<String>),
    /// The connection could not be established.
    ConnectFailed,
    /// The answer was not complete within the deadline.
    TimedOut,
}

/// One observation by a caller, a backend server or the fault injection.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A caller sent a request; `always_allowed` says that every configuration version allows it.
    Sent { id: String, kind: Kind, target: String, always_allowed: bool, host: String, at: Instant },
    /// A request takes up the stream that an attempt began, of which its caller has a number of events.
    TakenUp { id: String, first: String, after: u32 },
    /// A request ended for its caller.
    Finished { id: String, outcome: Outcome, at: Instant },
    /// A backend server started to execute a request.
    Executed { id: String, target: String, workspace: String, with_key: bool, engine: String, at: Instant },
    /// A backend server's entry in the store was set to draining.
    DrainAnnounced { engine: String, at: Instant },
    /// A backend server received or answered a request.
    AtServer { id: String, engine: String, event: ServerEvent },
    /// A host was restarted after a graceful stop.
    Restarted { host: String, at: Instant },
    /// A backend server wrote the complete answer.
    AnswerWritten { id: String, engine: String },
    /// A host, a backend server or the store was subject to a fault.
    Fault { subject: String, from: Instant, to: Instant },
    /// All backend servers wrote nothing and went on, which is no fault.
    Silence { from: Instant, to: Instant },
    /// A caller got events of its stream, this many in all.
    GotEvents { id: String, count: u32, at: Instant },
    /// A request was refused without a time after which to come back.
    RefusedWithoutTime { id: String },
    /// A backend server got bytes that are not those of a request or of the rest of its body.
    WrongBytes { engine: String, bytes: String },
    /// A caller sent a request that crashes servers.
    Harmful { id: String },
    /// A backend server crashes by a request.
    CrashedBy { id: String, at: Instant },
    /// A version of the configuration was written.
    ConfigWritten { version: u64, sent: Instant, acked: Instant },
}

/// Event of a request at a backend server.
#[derive(Clone, Copy, Debug)]
pub enum ServerEvent {
    /// The request arrived.
    Arrived(Instant),
    /// The answer announces that the server is draining.
    AnnouncedDrain,
    /// The server closed the connection instead of answering.
    BrokeOff,
    /// The server refused the request and asked the host to pause for the given time.
    RequestedPause(Instant, Duration),
    /// The server treats the request in a way that summaries tell apart.
    Treated(&'static str),
    /// The server writes an event with this number.
    WroteEvent(u32, Instant),
}

/// All observations of a run, in the order in which they were recorded.
#[derive(Debug, Default)]
pub struct History(Mutex<Vec<Observation>>);

/// All observations of one request.
#[derive(Debug, Default)]
struct RequestTrace {
    sent: Option<Sent>,
    outcome: Option<(Outcome, Instant)>,
    executions: Vec<Execution>,
    answered_by: Vec<String>,
    server_events: Vec<(String, ServerEvent)>,
    /// Numbers of events that the caller had, and when.
    got_events: Vec<(u32, Instant)>,
    is_refused_without_time: bool,
    /// The attempt that began the stream which the request takes up, and the number of events before.
    taken_up: Option<(String, u32)>,
}

impl RequestTrace {
    /// Events that the caller got.
    fn events(&self) -> &[String] {
        match &self.outcome {
            Some((
                Outcome::Complete { status: 200, data } | Outcome::Disconnected(data) | Outcome::Left(data),
                _,
            )) => data,
            _ => &[],
        }
    }

    /// How servers treated the request.
    fn treatment(&self) -> Option<&'static str> {
        self.server_events.iter().find_map(|(_, event)| match event {
            ServerEvent::Treated(treatment) => Some(*treatment),
            _ => None,
        })
    }

    /// Longest time from the writing of an event by a server to its arrival at the caller.
    fn longest_event_delay(&self) -> Option<Duration> {
        let written = self.server_events.iter().filter_map(|(_, event)| match event {
            ServerEvent::WroteEvent(n, at) => Some((*n, *at)),
            _ => None,
        });
        let delays = written.filter_map(|(n, at)| {
            let got = self.got_events.iter().find(|(count, _)| *count >= n)?.1;
            got.checked_duration_since(at)
        });
        delays.max()
    }

    /// When the request arrived at servers, in order.
    fn arrivals(&self) -> impl Iterator<Item = Instant> {
        self.server_events.iter().filter_map(|(_, event)| match event {
            ServerEvent::Arrived(at) => Some(*at),
            _ => None,
        })
    }
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
struct Sent {
    kind: Kind,
    target: String,
    always_allowed: bool,
    host: String,
    at: Instant,
}

/// A request as a backend server executed it.
#[derive(Clone, Debug)]
struct Execution {
    target: String,
    workspace: String,
    with_key: bool,
    engine: String,
    at: Instant,
}

impl History {
    /// Adds an observation.
    pub fn record(&self, observation: Observation) {
        self.0.lock().unwrap().push(observation);
    }

    /// Groups the observations by request.
    fn traces(&self) -> BTreeMap<String, RequestTrace> {
        let mut traces: BTreeMap<String, RequestTrace> = BTreeMap::new();
        for observation in self.0.lock().unwrap().iter().cloned() {
            match observation {
                Observation::Sent { id, kind, target, always_allowed, host, at } => {
                    traces.entry(id).or_default().sent =
                        Some(Sent { kind, target, always_allowed, host, at });
                }
                Observation::Finished { id, outcome, at } => {
                    traces.entry(id).or_default().outcome = Some((outcome, at))
                }
                Observation::Executed { id, target, workspace, with_key, engine, at } => {
                    let execution = Execution { target, workspace, with_key, engine, at };
                    traces.entry(id).or_default().executions.push(execution);
                }
                Observation::TakenUp { id, first, after } => {
                    traces.entry(id).or_default().taken_up = Some((first, after));
                }
                Observation::AnswerWritten { id, engine } => {
                    traces.entry(id).or_default().answered_by.push(engine)
                }
                Observation::AtServer { id, engine, event } => {
                    traces.entry(id).or_default().server_events.push((engine, event))
                }
                Observation::GotEvents { id, count, at } => {
                    traces.entry(id).or_default().got_events.push((count, at))
                }
                Observation::RefusedWithoutTime { id } => {
                    traces.entry(id).or_default().is_refused_without_time = true;
                }
                Observation::DrainAnnounced { .. }
                | Observation::Restarted { .. }
                | Observation::WrongBytes { .. }
                | Observation::Harmful { .. }
                | Observation::CrashedBy { .. }
                | Observation::Fault { .. }
                | Observation::Silence { .. }
                | Observation::ConfigWritten { .. } => {}
            }
        }
        traces
    }

    /// Whether a subject had a fault in a time span, extended by the margin on both sides.
    fn had_fault(&self, subject: &str, from: Instant, to: Instant) -> bool {
        self.0.lock().unwrap().iter().any(|observation| {
            matches!(observation, Observation::Fault { subject: s, from: f, to: t }
                if s == subject && *f <= to + FAULT_MARGIN && from <= *t + FAULT_MARGIN)
        })
    }

    /// Whether a subject had a fault at a time or shortly before it.
    fn was_out_of_contact(&self, subject: &str, at: Instant) -> bool {
        self.0.lock().unwrap().iter().any(|observation| {
            matches!(observation, Observation::Fault { subject: s, from, to }
                if s == subject && *from <= at && at <= *to + RECONNECT_TIME)
        })
    }

    /// When a backend server's entry was set to draining, unless the store was out of contact then.
    fn drain_announced_at(&self, engine: &str) -> Option<Instant> {
        let announced_at = self.0.lock().unwrap().iter().find_map(|observation| match observation {
            Observation::DrainAnnounced { engine: e, at } if e == engine => Some(*at),
            _ => None,
        });
        announced_at.filter(|at| !self.was_out_of_contact(STORE, *at))
    }

    /// Checks that a host in contact sends no request to a server whose entry in the store is draining.
    fn check_store_drain(&self, sent: &Sent, execution: &Execution) -> Option<String> {
        let announced_at = self.drain_announced_at(&execution.engine)?;
        let in_contact = |subject| {
            !self.was_out_of_contact(subject, sent.at) && !self.was_out_of_contact(subject, execution.at)
        };
        let is_late =
            sent.at > announced_at + DRAIN_NOTICE_DEADLINE && in_contact(STORE) && in_contact(&sent.host);
        is_late.then(|| {
            format!(
                "{} executed the request {:?} after its entry was set to draining",
                execution.engine,
                execution.at - announced_at
            )
        })
    }

    /// Whether a host may have lost what servers announced to it: it was restarted or had a fault in a time span.
    fn lost_state(&self, host: &str, from: Instant, to: Instant) -> bool {
        self.0.lock().unwrap().iter().any(|observation| match observation {
            Observation::Fault { subject, from: f, to: t } => subject == host && *f <= to && from <= *t,
            Observation::Restarted { host: h, at } => h == host && (from..=to).contains(at),
            _ => false,
        })
    }

    /// Checks that a host sends no request to a server that announced in an earlier answer to it that it is draining.
    fn check_announced_drain(&self, traces: &BTreeMap<String, RequestTrace>) -> Vec<String> {
        // Time at which each host relayed the first answer in which a server announces that it is draining.
        let mut drain_announced: BTreeMap<(&str, &str), Instant> = BTreeMap::new();
        for trace in traces.values() {
            let (Some(sent), Some((Outcome::Complete { .. }, at))) = (&trace.sent, &trace.outcome) else {
                continue;
            };
            for (engine, _) in
                trace.server_events.iter().filter(|(_, event)| matches!(event, ServerEvent::AnnouncedDrain))
            {
                let first = drain_announced.entry((&sent.host, engine)).or_insert(*at);
                *first = (*first).min(*at);
            }
        }
        let mut violations = Vec::new();
        for (id, trace) in traces {
            let Some(sent) = &trace.sent else { continue };
            for (engine, event) in &trace.server_events {
                let (ServerEvent::Arrived(at), Some(first)) =
                    (event, drain_announced.get(&(&*sent.host, &**engine)))
                else {
                    continue;
                };
                if sent.at > *first + DRAIN_NOTICE_DEADLINE && !self.lost_state(&sent.host, *first, *at) {
                    violations.push(format!(
                        "{id}: arrived at {engine} {:?} after the server announced that it is draining",
                        *at - *first
                    ));
                }
            }
        }
        violations
    }

    /// Checks that a host honours the pauses that servers request.
    fn check_pauses(&self, traces: &BTreeMap<String, RequestTrace>) -> Vec<String> {
        let host = |trace: &'_ RequestTrace| trace.sent.as_ref().map(|sent| sent.host.clone());
        let all: Vec<_> = traces
            .values()
            .filter_map(|trace| Some((host(trace)?, trace)))
            .flat_map(|(host, trace)| {
                trace.server_events.iter().map(move |(engine, event)| (host.clone(), engine, *event))
            })
            .collect();
        let mut violations = Vec::new();
        for (host, engine, event) in &all {
            let ServerEvent::RequestedPause(at, pause) = event else { continue };
            let (from, to) = (*at + PAUSE_GRACE, *at + *pause);
            let arrived = all.iter().filter(|(h, e, event)| {
                h == host
                    && e == engine
                    && matches!(event, ServerEvent::Arrived(at) if from < *at && *at < to)
            });
            let arrived = arrived.count();
            if arrived > MAX_REQUESTS_IN_PAUSE && !self.lost_state(host, *at, to) {
                violations.push(format!(
                    "{engine} received {arrived} requests from {host} during a pause that it requested"
                ));
            }
        }
        violations
    }

    /// When each version of the configuration was sent and acknowledged.
    fn versions(&self) -> BTreeMap<u64, (Instant, Instant)> {
        let observations = self.0.lock().unwrap();
        let changes = observations.iter().filter_map(|observation| match observation {
            Observation::ConfigWritten { version, sent, acked } => Some((*version, (*sent, *acked))),
            _ => None,
        });
        changes.collect()
    }

    /// Checks that hosts in contact apply a configuration version in time, and none older, by requests on the route that
    /// only one version has.
    fn check_versions(&self, traces: &BTreeMap<String, RequestTrace>) -> Vec<String> {
        let versions = self.versions();
        let mut violations = Vec::new();
        for (id, trace) in traces {
            let (Some(sent), Some((Outcome::Complete { status, .. }, ended))) = (&trace.sent, &trace.outcome)
            else {
                continue;
            };
            let Some(version) = route_version(&sent.target) else { continue };
            let in_contact = |subject| {
                !self.was_out_of_contact(subject, sent.at) && !self.was_out_of_contact(subject, *ended)
            };
            if !in_contact(STORE)
                || !in_contact(&sent.host)
                || self.lost_state(&sent.host, sent.at - RECONNECT_TIME, *ended)
            {
                continue;
            }
            // Whether a version was acknowledged early enough that no earlier one may be in force any more.
            let must_apply = |version: u64| {
                versions.get(&version).is_some_and(|(_, acked)| *acked + CONFIG_APPLY_DEADLINE < sent.at)
            };
            let is_next_sent = versions.get(&(version + 1)).is_some_and(|(at, _)| at <= ended);
            match status {
                200 if must_apply(version + 1) => {
                    violations.push(format!(
                        "{id}: {} applied version {version} although a later one must be in force",
                        sent.host
                    ));
                }
                404 if must_apply(version) && !is_next_sent => {
                    violations
                        .push(format!("{id}: {} did not apply version {version}, the newest", sent.host));
                }
                _ => {}
            }
        }
        violations
    }

    /// Checks that retries stay within the fleet's budget, by their arrivals at the servers in any window. The requests
    /// are counted in the window, in the one before or in the one half a window before, whichever has the most.
    fn check_retry_budget(&self, traces: &BTreeMap<String, RequestTrace>) -> Option<String> {
        let window = Duration::from_secs(RETRY_WINDOW_S);
        let mut requests: Vec<_> =
            traces.values().filter_map(|trace| Some(trace.sent.as_ref()?.at)).collect();
        requests.sort();
        let mut retries: Vec<_> = traces.values().flat_map(|trace| trace.arrivals().skip(1)).collect();
        retries.sort();
        let count = |times: &[Instant], from: Instant| {
            times.partition_point(|at| *at < from + window) - times.partition_point(|at| *at < from)
        };
        retries.iter().find_map(|from| {
            let starts = [Some(*from), from.checked_sub(window / 2), from.checked_sub(window)];
            let requests = starts.into_iter().flatten().map(|start| count(&requests, start)).max()?;
            let (arrived, allowed) = (count(&retries, *from), RETRY_RATIO * requests as f64 + RETRY_EXTRA);
            let violation = || format!("{arrived} retries arrived in a window, {allowed} are allowed");
            (arrived as f64 > allowed).then(violation)
        })
    }

    /// Violations of what a scenario promises beyond the guarantees, one line each.
    pub fn violations_in(&self, scenario: Scenario) -> Vec<String> {
        let check = match scenario {
            Scenario::LateReaders => check_answered_by_sound,
            Scenario::EndlessBytes(_) => check_answered,
            _ => return Vec::new(),
        };
        let wrong_bytes = self.0.lock().unwrap().clone().into_iter().filter_map(|o| match o {
            Observation::WrongBytes { engine, bytes } => Some(format!("{engine} got {bytes:.80?}")),
            _ => None,
        });
        let unanswered =
            self.traces().into_iter().filter_map(|(id, trace)| Some(format!("{id}: {}", check(&trace)?)));
        wrong_bytes.chain(unanswered).collect()
    }

    /// Longest time of a request until its end, and of an event from its server to its caller; of streams, only those that no
    /// server sent bytes without end.
    pub fn longest_waits(&self) -> (Duration, Duration) {
        let traces = self.traces();
        let request = traces.values().filter_map(|t| Some(t.outcome.as_ref()?.1 - t.sent.as_ref()?.at));
        let sound = traces.values().filter(|trace| trace.treatment() != Some(ENDLESS_TEXT));
        let event = sound.filter_map(RequestTrace::longest_event_delay);
        (request.max().unwrap_or_default(), event.max().unwrap_or_default())
    }

    /// Violations of the guarantees, one line each.
    pub fn violations(&self) -> Vec<String> {
        let traces = self.traces();
        let per_request = traces.iter().flat_map(|(id, trace)| {
            self.check_request(trace).into_iter().map(move |violation| format!("{id}: {violation}"))
        });
        let drain_announced =
            self.check_announced_drain(&traces).into_iter().chain(self.check_pauses(&traces));
        let all = per_request.chain(drain_announced).chain(self.check_versions(&traces));
        let streams = check_stream_versions(&traces).into_iter().chain(self.check_taken_up(&traces));
        let crashes = self.check_crashes(&traces);
        all.chain(self.check_retry_budget(&traces)).chain(streams).chain(crashes).collect()
    }

    /// Requests that crashed servers, in order.
    fn crashed_by(&self) -> Vec<(String, Instant)> {
        let observations = self.0.lock().unwrap();
        let crashed = observations.iter().filter_map(|o| match o {
            Observation::CrashedBy { id, at } => Some((id.clone(), *at)),
            _ => None,
        });
        crashed.collect()
    }

    /// Of the sound streams that were sent to hosts in contact since then, the number of all and of those that began.
    fn sound_streams_since(&self, traces: &BTreeMap<String, RequestTrace>, since: Instant) -> (usize, usize) {
        let observations = self.0.lock().unwrap();
        let harmful: BTreeSet<_> = observations
            .iter()
            .filter_map(|o| if let Observation::Harmful { id } = o { Some(id.clone()) } else { None })
            .collect();
        drop(observations);
        let sound = traces.iter().filter(|(id, trace)| {
            let is_late = |sent: &Sent| sent.at > since && !self.was_out_of_contact(&sent.host, sent.at);
            !harmful.contains(*id) && trace.sent.as_ref().is_some_and(is_late)
        });
        sound.fold((0, 0), |(all, begun), (_, trace)| {
            (all + 1, begun + usize::from(!trace.events().is_empty()))
        })
    }

    /// Crashes by requests, and how many sound streams began later than twice the contact time after the fifth.
    fn crash_summary(&self) -> Option<String> {
        let crashed = self.crashed_by();
        let since = crashed.get(4).or(crashed.last())?.1 + 2 * RECONNECT_TIME;
        let (sound, begun) = self.sound_streams_since(&self.traces(), since);
        Some(format!(
            "crashes by requests: {}, sound streams that began later: {begun} of {sound}",
            crashed.len()
        ))
    }

    /// Checks that requests which crash servers stop reaching them, and that sound ones begin all the same.
    fn check_crashes(&self, traces: &BTreeMap<String, RequestTrace>) -> Vec<String> {
        let crashed = self.crashed_by();
        let Some((_, fifth)) = crashed.get(4) else { return Vec::new() };
        let in_contact = |id: &String, at: Instant| {
            let sent = traces.get(id).and_then(|trace| trace.sent.as_ref());
            sent.is_some_and(|sent| !self.was_out_of_contact(&sent.host, at))
        };
        let is_late = |(id, at): &&(String, Instant)| *at > *fifth + RECONNECT_TIME && in_contact(id, *at);
        let late = crashed.iter().filter(is_late).count();
        let mut violations = Vec::new();
        if late > MAX_LATE_CRASHES {
            violations.push(format!("{late} of {} crashes by a prompt part were late", crashed.len()));
        }
        let (sound, begun) = self.sound_streams_since(traces, *fifth + 2 * RECONNECT_TIME);
        if sound >= MIN_SOUND && 2 * begun < sound {
            violations.push(format!("{begun} of {sound} sound streams began while harmful ones came"));
        }
        violations
    }

    /// Number of streams, in all and of those that callers took up, and how many of each got an event; only of hosts that
    /// were in contact.
    fn stream_shares(&self, traces: &BTreeMap<String, RequestTrace>) -> [(usize, usize); 2] {
        let mut shares = [(0, 0); 2];
        for trace in traces.values() {
            let (Some(sent), Some((_, ended))) = (&trace.sent, &trace.outcome) else { continue };
            let in_contact =
                |at| !self.was_out_of_contact(&sent.host, at) && !self.was_out_of_contact(STORE, at);
            let is_complete = trace.taken_up.as_ref().is_some_and(|(_, after)| *after == STREAM_EVENTS);
            if sent.kind != Kind::ResumableStream
                || is_complete
                || !in_contact(sent.at)
                || !in_contact(*ended)
            {
                continue;
            }
            let (all, begun) = &mut shares[usize::from(trace.taken_up.is_some())];
            *all += 1;
            *begun += usize::from(!trace.events().is_empty());
        }
        shares
    }

    /// Checks that streams which are taken up go on at least half as often as new ones begin.
    fn check_taken_up(&self, traces: &BTreeMap<String, RequestTrace>) -> Option<String> {
        let [(new, begun), (taken_up, gone_on)] = self.stream_shares(traces);
        let is_too_few = taken_up >= MIN_TAKEN_UP && 2 * gone_on * new < begun * taken_up;
        is_too_few.then(|| {
            format!("{gone_on} of {taken_up} streams that were taken up went on, {begun} of {new} began")
        })
    }

    /// Checks one request on its own.
    fn check_request(&self, trace: &RequestTrace) -> Vec<String> {
        let Some(sent) = &trace.sent else {
            return vec!["executed, but no caller sent it".into()];
        };
        let mut violations = Vec::new();
        for execution in &trace.executions {
            if execution.target != sent.target || execution.workspace != "travel" || execution.with_key {
                violations.push(format!(
                    "executed request differs from the one sent to {}: {execution:?}",
                    sent.target
                ));
            }
            violations.extend(self.check_store_drain(sent, execution));
        }
        if sent.kind.runs_at_most_once() && trace.executions.len() > 1 {
            violations.push(format!(
                "a request that may be executed once was executed {} times",
                trace.executions.len()
            ));
        }
        // The caller's task was aborted before the request ended.
        let Some((outcome, ended)) = &trace.outcome else { return violations };
        violations.extend(check_outcome(trace, sent, outcome));
        let unaffected = |engine: &String| !self.had_fault(engine, sent.at, *ended);
        // A caller that left may not have waited for the rest.
        let is_lost = matches!(outcome, Outcome::Disconnected(_) | Outcome::TimedOut)
            && trace.answered_by.iter().any(unaffected);
        if is_lost && !self.had_fault(&sent.host, sent.at, *ended) {
            violations.push(format!("a complete answer was written but did not arrive: {outcome:?}"));
        }
        if self.is_given_up_early(trace, sent, outcome, *ended) {
            violations.push(format!("given up before its deadline at a server that went on: {outcome:?}"));
        }
        violations
    }

    /// Whether a request that was executed ended without an answer before its deadline at servers that fell silent and went on,
    /// though neither its host nor any of them failed.
    fn is_given_up_early(
        &self,
        trace: &RequestTrace,
        sent: &Sent,
        outcome: &Outcome,
        ended: Instant,
    ) -> bool {
        let is_given_up = match outcome {
            Outcome::Disconnected(_) => true,
            Outcome::Complete { status, .. } => matches!(status, 502 | 504),
            _ => false,
        };
        let broke_off = trace.server_events.iter().any(|(_, event)| matches!(event, ServerEvent::BrokeOff));
        let failed = |subject: &String| self.had_fault(subject, sent.at, ended);
        let servers_failed = trace.executions.iter().any(|execution| failed(&execution.engine));
        let fell_silent = self.0.lock().unwrap().iter().any(|observation| {
            matches!(observation, Observation::Silence { from, to } if *from <= ended && sent.at <= *to)
        });
        is_given_up
            && fell_silent
            && ended < sent.at + REQUEST_DEADLINE
            && !trace.executions.is_empty()
            && !(broke_off || servers_failed || failed(&sent.host))
    }

    /// Number of attempts to take up a stream, by whether their host was in contact and by what became of them.
    fn taken_up_summary(&self) -> Vec<String> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for trace in self.traces().into_values().filter(|trace| trace.taken_up.is_some()) {
            let (Some(sent), Some((outcome, _))) = (&trace.sent, &trace.outcome) else { continue };
            let result = match outcome {
                _ if !trace.events().is_empty() => "went on".into(),
                Outcome::Complete { status: 200, .. } => "was complete".into(),
                Outcome::Complete { data, .. } => format!("refused {}", data.join("")),
                _ => "no answer".into(),
            };
            let contact = if self.was_out_of_contact(&sent.host, sent.at) { "out of" } else { "in" };
            *counts.entry(format!("taken up at a host {contact} contact, {result}")).or_default() += 1;
        }
        counts.into_iter().map(|(label, n)| format!("{label}: {n}")).collect()
    }

    /// Number of requests by kind and outcome.
    pub fn summary(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for trace in self.traces().into_values() {
            let treatment = trace.treatment().map_or_else(String::new, |treatment| format!("{treatment}, "));
            let Some(Sent { kind, .. }) = trace.sent else { continue };
            let outcome = match trace.outcome {
                Some((Outcome::Complete { status, .. }, _)) => status.to_string(),
                Some((Outcome::Disconnected(_), _)) => "broken".into(),
                Some((Outcome::Left(_), _)) => "abandoned".into(),
                Some((Outcome::ConnectFailed, _)) => "no connection".into(),
                Some((Outcome::TimedOut, _)) => "timed out".into(),
                None => "left".into(),
            };
            *counts.entry(format!("{treatment}{} {outcome}", kind.as_str())).or_default() += 1;
        }
        let counts = counts.into_iter().map(|(label, n)| format!("{label}: {n}"));
        let [_, (taken_up, gone_on)] = self.stream_shares(&self.traces());
        let taken_up =
            (taken_up > 0).then(|| format!("streams taken up that went on: {gone_on} of {taken_up}"));
        counts
            .chain(taken_up)
            .chain(self.taken_up_summary())
            .chain(self.crash_summary())
            .collect::<Vec<_>>()
            .join(", ")
    }
}

/// The version that a request's target belongs to, if its route is one that only a single version has.
fn route_version(target: &str) -> Option<u64> {
    target.strip_prefix(VERSION_ROUTE)?.split('/').next()?.parse().ok()
}

/// Checks that a request to sound servers got its whole answer, or a refusal with a time after which to come back, unless it
/// ended at its deadline.
fn check_answered_by_sound(trace: &RequestTrace) -> Option<String> {
    let (sent, (outcome, ended)) = (trace.sent.as_ref()?, trace.outcome.as_ref()?);
    let is_answered = match outcome {
        Outcome::Complete { status: 504, .. } | Outcome::Disconnected(_)
            if *ended >= sent.at + REQUEST_DEADLINE =>
        {
            true
        }
        Outcome::Complete { status: 200, .. } => true,
        Outcome::Complete { status: 401 | 404, .. } => !sent.always_allowed,
        Outcome::Complete { status: 429 | 503, .. } => !trace.is_refused_without_time,
        // It crossed the close of its connection.
        Outcome::Disconnected(_) => trace.server_events.is_empty(),
        _ => false,
    };
    let kind = sent.kind.as_str();
    let treatment = trace.treatment().unwrap_or("no server");
    (!is_answered).then(|| format!("{kind}, {treatment}: not answered by sound servers: {outcome:?}"))
}

/// Checks that a request got an answer, an error or a refusal, and that none of them is made of bytes without end. A stream
/// that has begun may break off.
fn check_answered(trace: &RequestTrace) -> Option<String> {
    let (sent, (outcome, _)) = (trace.sent.as_ref()?, trace.outcome.as_ref()?);
    let is_answered = match outcome {
        Outcome::Complete { data, .. } => !data.iter().any(|d| d.contains(ENDLESS_TEXT)),
        Outcome::Disconnected(events) => !events.is_empty() || trace.server_events.is_empty(),
        _ => false,
    };
    (!is_answered).then(|| format!("{}: no answer: {outcome:.80?}", sent.kind.as_str()))
}

/// Checks the outcome that a caller saw against the request and its executions.
fn check_outcome(trace: &RequestTrace, sent: &Sent, outcome: &Outcome) -> Vec<String> {
    let mut violations = Vec::new();
    let before = trace.taken_up.as_ref().map_or(0, |(_, after)| *after);
    match outcome {
        Outcome::Complete { status: 200, data } if sent.kind.is_stream() => {
            violations.extend(check_events(data, before));
            if before as usize + data.len() != STREAM_EVENTS as usize {
                violations.push(format!("a stream ended as complete after {} events", data.len()));
            }
        }
        Outcome::Complete { status: 200, data } if data.len() != 1 || data[0] != "own" => {
            violations.push(format!("the answer belongs to another request: {data:?}"));
        }
        Outcome::Complete { status: 408 | 421 | 429 | 503, .. } if !trace.executions.is_empty() => {
            violations.push("refused as not executed, but was executed".into());
        }
        Outcome::Complete { status: status @ (400 | 401 | 403 | 404 | 413 | 431), .. }
            if sent.always_allowed =>
        {
            violations.push(format!("a request that is always allowed was answered with {status}"));
        }
        Outcome::Disconnected(data) | Outcome::Left(data) => {
            // A server may write events without numbers, which hosts pass on.
            let is_own = |event: &&String| trace.treatment() != Some(ENDLESS_TEXT) || *event != ENDLESS_TEXT;
            let data: Vec<_> = data.iter().filter(is_own).cloned().collect();
            violations.extend(check_events(&data, before));
        }
        _ => {}
    }
    violations
}

/// Checks that a stream's events after the first `before` are its own and in order, with none missing or repeated, and all of
/// the version that wrote the first of them.
fn check_events(data: &[String], before: u32) -> Option<String> {
    let version = event_version(data.first()?);
    let expected = (before + 1..).map(|n: u32| format!("own {n} {version}"));
    let wrong = data.iter().zip(expected).find(|(got, expected)| *got != expected);
    wrong.map(|(got, expected)| format!("received event {got:?} instead of {expected:?}"))
}

/// The version of the server that wrote an event.
fn event_version(data: &str) -> &str {
    data.split(' ').nth(2).unwrap_or_default()
}

/// Checks that no stream has events of two versions over the attempts of its caller; names the attempts with their hosts.
fn check_stream_versions(traces: &BTreeMap<String, RequestTrace>) -> Vec<String> {
    let mut streams: BTreeMap<&str, Vec<(&str, &str, &str)>> = BTreeMap::new();
    for (id, trace) in traces {
        let Some(sent) = trace.sent.as_ref().filter(|sent| sent.kind.is_stream()) else { continue };
        let first = trace.taken_up.as_ref().map_or(id.as_str(), |(first, _)| first);
        let mut versions: Vec<_> = trace.events().iter().map(|data| event_version(data)).collect();
        versions.dedup();
        let attempts = versions.into_iter().map(|version| (id.as_str(), sent.host.as_str(), version));
        streams.entry(first).or_default().extend(attempts);
    }
    streams.retain(|_, attempts| attempts.iter().any(|(.., version)| *version != attempts[0].2));
    let joined = streams.into_iter();
    joined.map(|(first, attempts)| format!("{first}: the stream has events of {attempts:?}")).collect()
}
