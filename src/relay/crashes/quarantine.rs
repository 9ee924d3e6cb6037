//! The causes whose requests are refused, and how that ends.
//!
//! A host that puts crashes down to a cause proposes it to the others, and unless one of them knows better its requests are
//! refused everywhere a moment later. That lasts until an answer with it begins. As long as none does, one request is let
//! through after a pause that doubles each time, by one host of the fleet: if each host tried on its own, each would cost a
//! server.

use std::time::Duration;

use super::{
    attribution::{Attribution, Known},
    begun::Begun,
    cause::{CauseKey, Causes},
};
use crate::{
    relay::backends::Tag,
    schema::fleet,
    util::{Instant, Map},
};

mod change;

pub use change::{Change, Event, Source};

/// Time in which other hosts may object to a proposal.
const OBJECTION_PERIOD: Duration = Duration::from_millis(40);
/// Pause before the first trial. A trial that fails costs a server and the answers that it was writing.
const FIRST_PAUSE: Duration = Duration::from_secs(120);
/// Longest pause between two trials.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Time after which a trial that has neither begun nor crashed a server is over.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a cause is remembered that no request has had.
const RETENTION: Duration = Duration::from_secs(1_800);
/// Maximum number of causes remembered.
const MAX_CAUSES: usize = 256;
/// Maximum number of servers remembered for a cause.
const MAX_SERVERS: usize = 8;
/// Number of times that a host tells of what it has found out itself, in case a message is lost, and the pause between.
const TELL_TIMES: u32 = 3;
const TELL_PAUSE: Duration = Duration::from_millis(500);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Send,
    /// It may, to find out whether this cause still crashes servers.
    Try(CauseKey),
    /// It must not.
    Refuse {
        /// The cause.
        cause: CauseKey,
        /// Time until the next trial.
        retry_after: Duration,
    },
}

/// Where a cause stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Its requests are refused from then on, unless another host objects.
    Proposed { until: Instant },
    /// Its requests are refused.
    Refused,
    /// Its requests are not refused: a host knew better.
    Objected,
    /// Its requests are not refused: an answer with it has begun.
    Begun,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Increases each time the cause is proposed anew.
    generation: u32,
    standing: Standing,
    others: Vec<CauseKey>,
    crashes: u32,
    servers: Vec<Tag>,
    since: Instant,
    last_crash: Instant,
    /// When an answer with it last began, if one is known to have.
    begun: Option<Instant>,
    trials: u32,
    /// When this host let a request through as a trial whose outcome is open.
    trial: Option<Instant>,
    /// When a request was last refused for it here, or it was told.
    last_used: Instant,
    tell_times: u32,
    tell_at: Instant,
}

impl Entry {
    /// Whether its requests are refused, or are to be.
    fn is_open(&self) -> bool {
        matches!(self.standing, Standing::Proposed { .. } | Standing::Refused)
    }

    fn is_refused(&self) -> bool {
        self.standing == Standing::Refused
    }

    /// Whether it refuses a request.
    fn refuses(&self, cause: CauseKey, causes: &Causes) -> bool {
        self.is_refused() && self.is_in(cause, causes)
    }

    /// Whether a request has all that it must have to be refused.
    fn is_in(&self, cause: CauseKey, causes: &Causes) -> bool {
        let has = |key: &CauseKey| causes.contains(*key);
        has(&cause) && self.others.iter().all(has)
    }

    fn next_trial(&self) -> Instant {
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.trials.min(8));
        self.last_crash + pause.min(MAX_PAUSE)
    }

    fn is_tried(&self, now: Instant) -> bool {
        self.trial.is_some_and(|at| at + TRIAL_TIMEOUT > now)
    }

    fn add_server(&mut self, server: Tag) -> bool {
        if self.servers.contains(&server) {
            return false;
        }
        if self.servers.len() >= MAX_SERVERS {
            self.servers.remove(0);
        }
        self.servers.push(server);
        true
    }

    fn tell(&mut self, now: Instant, times: u32) {
        (self.tell_times, self.tell_at) = (self.tell_times.max(times), now);
    }

    fn clear(&mut self, now: Instant, begun: Option<Instant>, times: u32) {
        self.standing =
            if begun.is_some_and(|at| at > self.since) { Standing::Begun } else { Standing::Objected };
        self.begun = self.begun.max(begun);
        self.tell(now, times);
    }

    /// Lets requests be refused with fewer others.
    fn widen(
        &mut self,
        now: Instant,
        cause: CauseKey,
        keeps: impl Fn(CauseKey) -> bool,
        source: Source,
    ) -> Option<Change> {
        let before = self.others.len();
        self.others.retain(|key| keeps(*key));
        if self.others.len() == before {
            return None;
        }
        self.tell(now, if source == Source::Own { TELL_TIMES } else { 1 });
        Some(self.change(cause, Event::Widened, source))
    }

    fn change(&self, cause: CauseKey, event: Event, source: Source) -> Change {
        Change { cause, event, others: self.others.clone(), crashes: self.crashes, source }
    }
}

/// The causes that are refused, and those that were.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: Map<CauseKey, Entry>,
}

impl Quarantine {
    /// Proposes to refuse a cause that crashes are put down to, and to refuse a content at once.
    pub fn propose(&mut self, now: Instant, found: &Attribution, is_content: bool) -> Option<Change> {
        let cause = found.cause;
        let crashes = found.servers.len() as u32;
        let generation = match self.entries.get_mut(&cause) {
            Some(entry) if entry.is_open() => {
                return entry.widen(now, cause, |key| found.others.contains(&key), Source::Own);
            }
            Some(entry) if entry.standing == Standing::Objected && crashes <= entry.crashes => return None,
            Some(entry) => entry.generation.saturating_add(1),
            None => 0,
        };
        if !self.make_room(cause) {
            return Some(Change::new(cause, Event::Dropped, Source::Own));
        }
        let entry = Entry {
            generation,
            standing: Standing::Proposed {
                until: now + if is_content { Duration::ZERO } else { OBJECTION_PERIOD },
            },
            others: found.others.clone(),
            crashes,
            servers: found.servers.iter().copied().rev().take(MAX_SERVERS).rev().collect(),
            since: found.since,
            last_crash: found.last,
            begun: None,
            trials: 0,
            trial: None,
            last_used: now,
            tell_times: TELL_TIMES,
            tell_at: now,
        };
        let change = entry.change(cause, Event::Proposed, Source::Own);
        self.entries.insert(cause, entry);
        Some(change)
    }

    /// Refuses the causes to which no host has objected in time.
    pub fn impose_due(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for (cause, entry) in &mut self.entries {
            if matches!(entry.standing, Standing::Proposed { until } if until <= now) {
                entry.standing = Standing::Refused;
                changes.push(entry.change(*cause, Event::Imposed, Source::Own));
            }
        }
        changes
    }

    /// When the next proposal comes into force.
    pub fn next_due(&self) -> Option<Instant> {
        let proposed = self.entries.values().filter_map(|entry| match entry.standing {
            Standing::Proposed { until } => Some(until),
            _ => None,
        });
        proposed.min()
    }

    /// Records a crash of a server under a request that is refused.
    pub fn record_crash(&mut self, at: Instant, server: Tag, suspect: &Causes) -> Vec<Change> {
        let mut changes = Vec::new();
        for (cause, entry) in
            self.entries.iter_mut().filter(|(key, e)| e.is_open() && e.is_in(**key, suspect))
        {
            let may_be_forgotten = at <= entry.last_crash && entry.servers.len() >= MAX_SERVERS;
            if at < entry.since || may_be_forgotten || !entry.add_server(server) {
                continue;
            }
            entry.crashes += 1;
            entry.last_crash = entry.last_crash.max(at);
            let mut event = Event::CrashedAgain;
            if entry.trial.take().is_some() {
                entry.trials = entry.trials.saturating_add(1);
                entry.tell(at, TELL_TIMES);
                event = Event::TrialFailed;
            }
            changes.push(entry.change(*cause, event, Source::Own));
        }
        changes
    }

    /// Records that an answer with these causes began at some time: none of them crashes servers since.
    pub fn record_begun(&mut self, now: Instant, at: Instant, causes: &Causes) -> Vec<Change> {
        let mut changes = Vec::new();
        for (cause, entry) in self.entries.iter_mut().filter(|(_, e)| e.is_open() && e.since < at) {
            if causes.contains(*cause) {
                entry.clear(now, Some(at), TELL_TIMES);
                changes.push(entry.change(*cause, Event::Cleared, Source::Own));
                continue;
            }
            changes.extend(entry.widen(now, *cause, |key| !causes.contains(key), Source::Own));
        }
        changes
    }

    /// Clears causes whose crashes are all in those of another one, which is in more and does not come with them: they were
    /// beside it by chance.
    pub fn clear_explained(&mut self, now: Instant) -> Vec<Change> {
        let open: Vec<_> = self.entries.iter().filter(|(_, entry)| entry.is_open()).collect();
        let is_explained = |(cause, entry): &(&CauseKey, &Entry)| {
            open.iter().any(|(other, better)| {
                let is_apart = !better.others.contains(cause) && !entry.others.contains(other);
                let covers = entry.servers.iter().all(|server| better.servers.contains(server));
                is_apart && covers && better.crashes > entry.crashes
            })
        };
        let explained: Vec<_> = open.iter().filter(|e| is_explained(e)).map(|(cause, _)| **cause).collect();
        explained.into_iter().filter_map(|cause| self.object(now, cause, None)).collect()
    }

    /// Objects to a cause, with the time at which an answer with it last began, if one is known to have.
    pub fn object(&mut self, now: Instant, cause: CauseKey, begun: Option<Instant>) -> Option<Change> {
        let entry = self.entries.get_mut(&cause).filter(|entry| entry.is_open())?;
        entry.clear(now, begun, TELL_TIMES);
        Some(entry.change(cause, Event::Objected, Source::Own))
    }

    /// Takes in what another host tells of a cause, and compares it with the answers that have begun here.
    pub fn hear(&mut self, now: Instant, told: &fleet::Quarantine, begun: &Begun) -> Vec<Change> {
        let cause = CauseKey(told.cause);
        let known = self.entries.get(&cause).map(|entry| (entry.generation, entry.is_open()));
        let mut changes = match known {
            Some((generation, _)) if generation > told.generation => return Vec::new(),
            Some((generation, true)) if generation == told.generation => self.merge(now, cause, told),
            Some((generation, false)) if generation == told.generation => return Vec::new(),
            _ => self.adopt(now, cause, told),
        };
        changes.extend(self.compare(now, cause, begun));
        changes
    }

    fn adopt(&mut self, now: Instant, cause: CauseKey, told: &fleet::Quarantine) -> Vec<Change> {
        if !self.make_room(cause) {
            return vec![Change::new(cause, Event::Dropped, Source::Told)];
        }
        let mut entry = Entry {
            generation: told.generation,
            standing: Standing::Proposed { until: now + OBJECTION_PERIOD },
            others: told.others.iter().copied().map(CauseKey).collect(),
            crashes: told.crashes,
            servers: told.servers.iter().copied().take(MAX_SERVERS).collect(),
            since: ago(now, told.since_ms),
            last_crash: ago(now, told.last_ms),
            begun: None,
            trials: told.trials,
            trial: None,
            last_used: now,
            tell_times: 1,
            tell_at: now,
        };
        let was_open = self.entries.get(&cause).is_some_and(Entry::is_open);
        let mut changes = Vec::new();
        if told.cleared {
            entry.clear(now, begun_at(now, told), 1);
        }
        if was_open || !told.cleared {
            let event = if told.cleared { Event::Cleared } else { Event::Proposed };
            changes.push(entry.change(cause, event, Source::Told));
        }
        self.entries.insert(cause, entry);
        changes
    }

    /// Merges what another host tells of a cause that is proposed or refused here for the same crashes.
    fn merge(&mut self, now: Instant, cause: CauseKey, told: &fleet::Quarantine) -> Vec<Change> {
        let Some(entry) = self.entries.get_mut(&cause) else { return Vec::new() };
        if told.cleared {
            entry.clear(now, begun_at(now, told), 1);
            return vec![entry.change(cause, Event::Cleared, Source::Told)];
        }
        entry.crashes = entry.crashes.max(told.crashes);
        entry.last_crash = entry.last_crash.max(ago(now, told.last_ms));
        if told.trials > entry.trials {
            entry.trials = told.trials;
            entry.tell(now, 1);
        }
        for server in &told.servers {
            entry.add_server(*server);
        }
        let is_told = |key: CauseKey| told.others.contains(&key.0);
        entry.widen(now, cause, is_told, Source::Told).into_iter().collect()
    }

    /// Clears a cause with which an answer has begun here since the first crash that it was proposed for, and what it was
    /// proposed together with.
    fn compare(&mut self, now: Instant, cause: CauseKey, begun: &Begun) -> Option<Change> {
        let entry = self.entries.get_mut(&cause).filter(|entry| entry.is_open())?;
        let since = entry.since;
        if begun.is_since(since, cause) {
            entry.clear(now, begun.last(cause), TELL_TIMES);
            return Some(entry.change(cause, Event::Cleared, Source::Own));
        }
        entry.widen(now, cause, |key| !begun.is_since(since, key), Source::Own)
    }

    /// Decides whether a request may be sent. `may_try` says whether this host is the one that lets a request with a cause
    /// through when it is time.
    pub fn check(&mut self, now: Instant, causes: &Causes, may_try: impl Fn(CauseKey) -> bool) -> Verdict {
        let mut verdict = Verdict::Send;
        for (cause, entry) in self.entries.iter_mut().filter(|(key, e)| e.refuses(**key, causes)) {
            entry.last_used = now;
            let is_due = entry.next_trial() <= now && !entry.is_tried(now) && may_try(*cause);
            let retry_after = entry.next_trial().saturating_sub(now).max(TELL_PAUSE);
            match verdict {
                Verdict::Refuse { .. } => {}
                Verdict::Send if is_due => verdict = Verdict::Try(*cause),
                // At most one cause is tried at a time: a crash could not be put down to either.
                _ => verdict = Verdict::Refuse { cause: *cause, retry_after },
            }
        }
        if let Verdict::Try(cause) = verdict
            && let Some(entry) = self.entries.get_mut(&cause)
        {
            entry.trial = Some(now);
        }
        verdict
    }

    /// Whether a request is refused that is no trial for `tried`.
    pub fn is_refused(&self, causes: &Causes, tried: Option<CauseKey>) -> bool {
        self.entries.iter().any(|(key, entry)| Some(*key) != tried && entry.refuses(*key, causes))
    }

    /// What is proposed or refused, to put further crashes down to, by cause.
    pub fn known(&self) -> Vec<Known> {
        let mut open: Vec<_> = self.entries.iter().filter(|(_, entry)| entry.is_open()).collect();
        open.sort_by_key(|(cause, _)| **cause);
        let causes = |key: &CauseKey, entry: &Entry| [&[*key], &*entry.others].concat();
        open.into_iter()
            .map(|(key, e)| Known { causes: causes(key, e), servers: e.servers.clone() })
            .collect()
    }

    /// Takes what is due to be told to other hosts, by cause.
    pub fn take_due(&mut self, now: Instant) -> Vec<fleet::Quarantine> {
        let mut due = Vec::new();
        for (cause, entry) in &mut self.entries {
            if entry.tell_times > 0 && entry.tell_at <= now {
                entry.tell_times -= 1;
                entry.tell_at = now + TELL_PAUSE;
                due.push(to_wire(now, *cause, entry));
            }
        }
        due.sort_by_key(|told| told.cause);
        due
    }

    /// All that is known, by cause, for a host that has just started or was not heard for a while.
    pub fn all(&self, now: Instant) -> Vec<fleet::Quarantine> {
        let mut all: Vec<_> = self.entries.iter().map(|(cause, entry)| to_wire(now, *cause, entry)).collect();
        all.sort_by_key(|told| told.cause);
        all
    }

    /// Drops what no request has had for long.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let is_old = |entry: &Entry| entry.last_used.max(entry.last_crash) + RETENTION <= now;
        let expired = self.entries.extract_if(|_, entry| is_old(entry));
        let open = expired.filter(|(_, entry)| entry.is_open());
        open.map(|(cause, entry)| entry.change(cause, Event::Expired, Source::Own)).collect()
    }

    /// Number of causes that are refused.
    pub fn refused(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_refused()).count()
    }

    /// Number of causes that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Makes room for a cause; returns whether there is any. What is refused gives way to nothing.
    fn make_room(&mut self, cause: CauseKey) -> bool {
        if self.entries.len() < MAX_CAUSES || self.entries.contains_key(&cause) {
            return true;
        }
        let cleared = self.entries.iter().filter(|(_, entry)| !entry.is_open());
        let oldest = cleared.min_by_key(|(_, entry)| entry.last_used).map(|(key, _)| *key);
        oldest.is_some_and(|key| self.entries.remove(&key).is_some())
    }
}

fn ago(now: Instant, ms: u32) -> Instant {
    now.saturating_sub(Duration::from_millis(ms.into()))
}

/// When an answer began with the cause that another host tells of.
pub(super) fn begun_at(now: Instant, told: &fleet::Quarantine) -> Option<Instant> {
    told.begun_ms.checked_sub(1).map(|ms| ago(now, ms))
}

fn to_wire(now: Instant, cause: CauseKey, entry: &Entry) -> fleet::Quarantine {
    let ms_ago = |at: Instant| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
    fleet::Quarantine {
        cause: cause.0,
        others: entry.others.iter().map(|key| key.0).collect(),
        generation: entry.generation,
        cleared: !entry.is_open(),
        crashes: entry.crashes,
        servers: entry.servers.clone(),
        since_ms: ms_ago(entry.since),
        last_ms: ms_ago(entry.last_crash),
        trials: entry.trials,
        begun_ms: entry.begun.map_or(0, |at| ms_ago(at).saturating_add(1)),
    }
}
