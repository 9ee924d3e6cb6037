//! What callers and backend servers have seen, and the promises that it is held against. No I/O.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use super::{hosts::APPLY_MS, store::MARK};

/// Events of a whole stream.
pub const EVENTS: u32 = 12;
/// A disturbance this long before or after still explains an answer that does not arrive.
const AFTERMATH: Duration = Duration::from_millis(1_500);

/// Time after which a server that has said it leaves gets no new work, from a host that is in touch.
const LEAVES: Duration = Duration::from_secs(2);
/// Time after which a version is in force, at a host that is in touch.
const APPLIES: Duration = Duration::from_millis(APPLY_MS);
/// Time without a disturbance after which a host is in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after which a pause that a server has asked for holds, and requests that may reach it until it is over.
const PAUSE_BEGINS: Duration = Duration::from_millis(500);
const MOST_IN_PAUSE: usize = 2;
/// Name under which disturbances of the store are noted.
pub const STORE: &str = "store";

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    Unsafe,
    /// A stream that may go on elsewhere.
    Stream,
    /// A stream that may not.
    Once,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Idempotent, Kind::Unsafe, Kind::Stream, Kind::Once];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Idempotent => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream => "stream",
            Kind::Once => "once",
        }
    }

    /// Path of its route.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Idempotent => "/safe/",
            Kind::Unsafe => "/unsafe/",
            Kind::Stream => "/stream/",
            Kind::Once => "/once/",
        }
    }

    /// Whether the answer is a stream.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream | Kind::Once)
    }

    fn runs_once(self) -> bool {
        matches!(self, Kind::Unsafe | Kind::Once)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came.
    Complete {
        /// Its status.
        status: u16,
        /// Its body; of a stream, the data of the events.
        data: Vec<String>,
    },
    /// The connection ended before the answer did; of a stream, these events had come.
    Broken(Vec<String>),
    /// No connection was made.
    NoConnection,
    /// Nothing came in time.
    TimedOut,
}

/// One observation.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A caller sent a request; a proper one is allowed by every configuration.
    Sent { id: String, kind: Kind, target: String, proper: bool, host: String, at: Instant },
    /// Its request ended.
    Ended { id: String, end: Outcome, at: Instant },
    /// A backend server began to run a request.
    Ran { id: String, target: String, workspace: String, with_key: bool, engine: String, at: Instant },
    /// A backend server has told the store that it leaves.
    Left { engine: String, at: Instant },
    /// A request met a backend server.
    Met { id: String, engine: String, what: Met },
    /// A host has started again, though it was not disturbed.
    Restarted { host: String, at: Instant },
    /// It has written the whole answer.
    Served { id: String, engine: String },
    /// A host or a backend server was disturbed.
    Disturbed { what: String, from: Instant, to: Instant },
    /// A version of the configuration was written.
    Changed { version: u64, sent: Instant, acked: Instant },
}

/// How a request met a backend server.
#[derive(Clone, Copy, Debug)]
pub enum Met {
    /// It arrived.
    Reached(Instant),
    /// Its answer says that the server leaves.
    SaysLeaving,
    /// It was refused, and its host was asked for a pause.
    AsksPause(Instant, Duration),
}

/// All observations of a run.
#[derive(Debug, Default)]
pub struct History(Mutex<Vec<Seen>>);

/// One request, put together.
#[derive(Debug, Default)]
struct Story {
    sent: Option<Sent>,
    end: Option<(Outcome, Instant)>,
    runs: Vec<Run>,
    served: Vec<String>,
    met: Vec<(String, Met)>,
}

#[derive(Clone, Debug)]
struct Sent {
    kind: Kind,
    target: String,
    proper: bool,
    host: String,
    at: Instant,
}

#[derive(Clone, Debug)]
struct Run {
    target: String,
    workspace: String,
    with_key: bool,
    engine: String,
    at: Instant,
}

impl History {
    /// Adds an observation.
    pub fn record(&self, seen: Seen) {
        self.0.lock().unwrap().push(seen);
    }

    fn stories(&self) -> BTreeMap<String, Story> {
        let mut stories: BTreeMap<String, Story> = BTreeMap::new();
        for seen in self.0.lock().unwrap().iter().cloned() {
            match seen {
                Seen::Sent { id, kind, target, proper, host, at } => {
                    stories.entry(id).or_default().sent = Some(Sent { kind, target, proper, host, at });
                }
                Seen::Ended { id, end, at } => stories.entry(id).or_default().end = Some((end, at)),
                Seen::Ran { id, target, workspace, with_key, engine, at } => {
                    let run = Run { target, workspace, with_key, engine, at };
                    stories.entry(id).or_default().runs.push(run);
                }
                Seen::Served { id, engine } => stories.entry(id).or_default().served.push(engine),
                Seen::Met { id, engine, what } => stories.entry(id).or_default().met.push((engine, what)),
                Seen::Left { .. }
                | Seen::Restarted { .. }
                | Seen::Disturbed { .. }
                | Seen::Changed { .. } => {}
            }
        }
        stories
    }

    fn was_disturbed(&self, what: &str, from: Instant, to: Instant) -> bool {
        self.0.lock().unwrap().iter().any(|seen| {
            matches!(seen, Seen::Disturbed { what: w, from: f, to: t }
                if w == what && *f <= to + AFTERMATH && from <= *t + AFTERMATH)
        })
    }

    /// Whether something was disturbed within the time before.
    fn was_out_of_touch(&self, what: &str, at: Instant) -> bool {
        self.0.lock().unwrap().iter().any(|seen| {
            matches!(seen, Seen::Disturbed { what: w, from, to }
                if w == what && *from <= at && at <= *to + CONTACT)
        })
    }

    /// When a backend server has said that it leaves, if the store was in touch then.
    fn left_at(&self, engine: &str) -> Option<Instant> {
        let left = self.0.lock().unwrap().iter().find_map(|seen| match seen {
            Seen::Left { engine: e, at } if e == engine => Some(*at),
            _ => None,
        });
        left.filter(|at| !self.was_out_of_touch(STORE, *at))
    }

    /// Work for a server that had left, by a host in touch since the caller sent it.
    fn judge_leaving(&self, sent: &Sent, run: &Run) -> Option<String> {
        let left = self.left_at(&run.engine)?;
        let in_touch = |what| !self.was_out_of_touch(what, sent.at) && !self.was_out_of_touch(what, run.at);
        let late = sent.at > left + LEAVES && in_touch(STORE) && in_touch(&sent.host);
        late.then(|| format!("{} got work {:?} after it had said that it leaves", run.engine, run.at - left))
    }

    /// Whether a host was restarted or frozen in a span, which ends what it was told.
    fn has_forgotten(&self, host: &str, from: Instant, to: Instant) -> bool {
        self.0.lock().unwrap().iter().any(|seen| match seen {
            Seen::Disturbed { what, from: f, to: t } => what == host && *f <= to && from <= *t,
            Seen::Restarted { host: h, at } => h == host && (from..=to).contains(at),
            _ => false,
        })
    }

    /// Work for a server whose answers had told the same host that it leaves.
    fn judge_told(&self, stories: &BTreeMap<String, Story>) -> Vec<String> {
        // When a host passed on the first answer of a server that says so.
        let mut told: BTreeMap<(&str, &str), Instant> = BTreeMap::new();
        for story in stories.values() {
            let (Some(sent), Some((Outcome::Complete { .. }, at))) = (&story.sent, &story.end) else {
                continue;
            };
            for (engine, _) in story.met.iter().filter(|(_, met)| matches!(met, Met::SaysLeaving)) {
                let first = told.entry((&sent.host, engine)).or_insert(*at);
                *first = (*first).min(*at);
            }
        }
        let mut broken = Vec::new();
        for (id, story) in stories {
            let Some(sent) = &story.sent else { continue };
            for (engine, met) in &story.met {
                let (Met::Reached(at), Some(first)) = (met, told.get(&(&*sent.host, &**engine))) else {
                    continue;
                };
                if sent.at > *first + LEAVES && !self.has_forgotten(&sent.host, *first, *at) {
                    broken.push(format!(
                        "{id}: {engine} got it {:?} after its word that it leaves",
                        *at - *first
                    ));
                }
            }
        }
        broken
    }

    /// Requests at a server that had asked the same host for a pause.
    fn judge_pauses(&self, stories: &BTreeMap<String, Story>) -> Vec<String> {
        let met = |story: &'_ Story| story.sent.as_ref().map(|sent| sent.host.clone());
        let all: Vec<_> = stories
            .values()
            .filter_map(|story| Some((met(story)?, story)))
            .flat_map(|(host, story)| story.met.iter().map(move |(engine, met)| (host.clone(), engine, *met)))
            .collect();
        let mut broken = Vec::new();
        for (host, engine, met) in &all {
            let Met::AsksPause(at, pause) = met else { continue };
            let (from, to) = (*at + PAUSE_BEGINS, *at + *pause);
            let reached = all.iter().filter(|(h, e, met)| {
                h == host && e == engine && matches!(met, Met::Reached(at) if from < *at && *at < to)
            });
            let reached = reached.count();
            if reached > MOST_IN_PAUSE && !self.has_forgotten(host, *at, to) {
                broken
                    .push(format!("{engine} got {reached} requests of {host} in a pause that it asked for"));
            }
        }
        broken
    }

    /// When each version of the configuration was sent and acknowledged.
    fn versions(&self) -> BTreeMap<u64, (Instant, Instant)> {
        let seen = self.0.lock().unwrap();
        let changes = seen.iter().filter_map(|seen| match seen {
            Seen::Changed { version, sent, acked } => Some((*version, (*sent, *acked))),
            _ => None,
        });
        changes.collect()
    }

    /// Requests on the route of one version, handled by a version that could not be in force any more.
    fn judge_versions(&self, stories: &BTreeMap<String, Story>) -> Vec<String> {
        let versions = self.versions();
        let mut broken = Vec::new();
        for (id, story) in stories {
            let (Some(sent), Some((Outcome::Complete { status, .. }, ended))) = (&story.sent, &story.end)
            else {
                continue;
            };
            let Some(version) = marked(&sent.target) else { continue };
            let calm = |what| !self.was_out_of_touch(what, sent.at) && !self.was_out_of_touch(what, *ended);
            if !calm(STORE) || !calm(&sent.host) || self.has_forgotten(&sent.host, sent.at - CONTACT, *ended)
            {
                continue;
            }
            // Whether a version had been acknowledged for so long that none before it may be in force.
            let rules =
                |version: u64| versions.get(&version).is_some_and(|(_, acked)| *acked + APPLIES < sent.at);
            let is_next_sent = versions.get(&(version + 1)).is_some_and(|(at, _)| at <= ended);
            match status {
                200 if rules(version + 1) => {
                    broken.push(format!(
                        "{id}: handled by version {version} at {}, a later one had to be in force",
                        sent.host
                    ));
                }
                404 if rules(version) && !is_next_sent => {
                    broken
                        .push(format!("{id}: not handled by version {version} at {}, the newest", sent.host));
                }
                _ => {}
            }
        }
        broken
    }

    /// Promises that were broken, a line each.
    pub fn violations(&self) -> Vec<String> {
        let stories = self.stories();
        let single = stories
            .iter()
            .flat_map(|(id, story)| self.judge(story).into_iter().map(move |v| format!("{id}: {v}")));
        let told = self.judge_told(&stories).into_iter().chain(self.judge_pauses(&stories));
        single.chain(told).chain(self.judge_versions(&stories)).collect()
    }

    fn judge(&self, story: &Story) -> Vec<String> {
        let Some(sent) = &story.sent else {
            return vec!["it ran and no caller sent it".into()];
        };
        let mut broken = Vec::new();
        for run in &story.runs {
            if run.target != sent.target || run.workspace != "travel" || run.with_key {
                broken.push(format!("not what was sent to {} ran: {run:?}", sent.target));
            }
            broken.extend(self.judge_leaving(sent, run));
        }
        if sent.kind.runs_once() && story.runs.len() > 1 {
            broken.push(format!("a request that runs once ran {} times", story.runs.len()));
        }
        // A caller whose task was ended has seen no end.
        let Some((end, ended)) = &story.end else { return broken };
        broken.extend(judge_end(story, sent, end));
        let calm = |engine: &String| !self.was_disturbed(engine, sent.at, *ended);
        let is_lost = matches!(end, Outcome::Broken(_) | Outcome::TimedOut) && story.served.iter().any(calm);
        if is_lost && !self.was_disturbed(&sent.host, sent.at, *ended) {
            broken.push(format!("a whole answer was ready and did not arrive: {end:?}"));
        }
        broken
    }

    /// How requests ended, with counts.
    pub fn summary(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for story in self.stories().into_values() {
            let Some(Sent { kind, .. }) = story.sent else { continue };
            let end = match story.end {
                Some((Outcome::Complete { status, .. }, _)) => status.to_string(),
                Some((Outcome::Broken(_), _)) => "broken".into(),
                Some((Outcome::NoConnection, _)) => "no connection".into(),
                Some((Outcome::TimedOut, _)) => "timed out".into(),
                None => "left".into(),
            };
            *counts.entry(format!("{} {end}", kind.as_str())).or_default() += 1;
        }
        counts.into_iter().map(|(what, n)| format!("{what}: {n}")).collect::<Vec<_>>().join(", ")
    }
}

/// The version whose own route a request is for.
fn marked(target: &str) -> Option<u64> {
    target.strip_prefix(MARK)?.split('/').next()?.parse().ok()
}

fn judge_end(story: &Story, sent: &Sent, end: &Outcome) -> Vec<String> {
    let mut broken = Vec::new();
    match end {
        Outcome::Complete { status: 200, data } if sent.kind.streams() => {
            broken.extend(judge_events(data));
            if data.len() != EVENTS as usize {
                broken.push(format!("a stream of {} events looks complete", data.len()));
            }
        }
        Outcome::Complete { status: 200, data } if data.len() != 1 || data[0] != "own" => {
            broken.push(format!("the answer is not its own: {data:?}"));
        }
        Outcome::Complete { status: 408 | 421 | 429 | 503, .. } if !story.runs.is_empty() => {
            broken.push("it was refused as not run, and has run".into());
        }
        Outcome::Complete { status: status @ (400 | 401 | 403 | 404 | 413 | 431), .. } if sent.proper => {
            broken.push(format!("a proper request was answered {status}"));
        }
        Outcome::Broken(data) => broken.extend(judge_events(data)),
        _ => {}
    }
    broken
}

fn judge_events(data: &[String]) -> Option<String> {
    let wanted = (1..).map(|n: u32| format!("own {n}"));
    let wrong = data.iter().zip(wanted).find(|(got, wanted)| *got != wanted);
    wrong.map(|(got, wanted)| format!("event {got:?} stands where {wanted:?} is due"))
}
