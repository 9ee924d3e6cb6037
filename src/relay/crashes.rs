//! Requests that crash the servers that run them, by their whole content or by a part of their prompt.
//!
//! A request that was at a server without an event of its answer when the server crashed is suspect, with its content and
//! each shared part of its prompt ([`cause`]). Hosts tell each other of these requests ([`evidence`]), and each decides
//! which causes the crashes are put down to ([`attribution`]); an answer that begins clears all its causes of earlier
//! crashes ([`begun`]). Requests with such a cause are refused until one of them has begun an answer ([`quarantine`]).

use std::time::Duration;

use super::backends::Tag;
use crate::{
    schema::fleet::{self, CrashCause, CrashReport, CrashSuspect},
    util::Instant,
};

pub mod attribution;
pub mod begun;
pub mod cause;
pub mod evidence;
pub mod quarantine;

use begun::Begun;
use cause::{CauseKey, Causes};
use evidence::{Evidence, Untold};
use quarantine::{Change, Event, Quarantine, Verdict};

/// How long crashes are remembered, and at least for how long which answers have begun. Causes that come more rarely are not
/// found.
pub const EVIDENCE_RETENTION: Duration = Duration::from_secs(300);

/// Time after a crash until which hosts still tell of the requests that were there, so that nothing is decided on it yet.
pub const SETTLING_PERIOD: Duration = Duration::from_millis(80);

/// Time after a crash within which causes are decided on again while answers begin: each one that lacks a cause speaks against
/// it. The first ones may come only after servers have started again.
const RECONSIDERATION_PERIOD: Duration = Duration::from_secs(10);
/// Time between such decisions.
const RECONSIDERATION_INTERVAL: Duration = Duration::from_millis(250);

/// What a host knows of crashes and their causes.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    evidence: Evidence,
    begun: Begun,
    quarantine: Quarantine,
    /// When causes are decided on next: once the latest crashes have settled, or again while answers begin.
    decides_at: Option<Instant>,
    /// Until when answers that begin have causes decided on again.
    reconsiders_until: Instant,
}

impl Crashes {
    /// Whether servers have crashed lately, or requests are refused.
    pub fn has_suspicion(&self) -> bool {
        !self.evidence.is_empty() || !self.quarantine.is_empty()
    }

    /// Records that an answer began at some time, so that its causes do not crash servers.
    pub fn record_begun(&mut self, now: Instant, at: Instant, causes: &Causes) -> Vec<Change> {
        self.begun.record(at, causes);
        if now < self.reconsiders_until {
            self.decide_at(now + RECONSIDERATION_INTERVAL);
        }
        self.quarantine.record_begun(now, at, causes)
    }

    /// Records that a request broke off at a server before its answer had begun.
    pub fn record_broken(&mut self, now: Instant, server: Tag, suspect: Causes) -> Vec<Change> {
        let content = suspect.content;
        self.evidence.record_broken(now, server, suspect);
        if self.evidence.is_confirmed(server) { self.on_crash(now, content) } else { Vec::new() }
    }

    /// Whether a server is known to have crashed.
    pub fn is_confirmed(&self, server: Tag) -> bool {
        self.evidence.is_confirmed(server)
    }

    /// Records that a server has crashed; `None` if that was known.
    pub fn confirm(&mut self, now: Instant, server: Tag) -> Option<Vec<Change>> {
        self.evidence.confirm(now, server).then(|| self.on_confirmed(now, server))
    }

    /// Records that a server has started again; `None` if that is no crash, or a known one.
    pub fn confirm_restarted(&mut self, now: Instant, server: Tag) -> Option<Vec<Change>> {
        self.evidence.confirm_restarted(now, server).then(|| self.on_confirmed(now, server))
    }

    /// Takes in what another host tells of a crash; `None` if nothing of it is new.
    pub fn hear_crash(&mut self, now: Instant, report: &CrashReport) -> Option<Vec<Change>> {
        let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
        for part in report.suspects.iter().flat_map(|suspect| &suspect.parts) {
            if let Some(ms) = part.begun_ms.checked_sub(1) {
                self.begun.hear(ago(ms), CauseKey(part.key));
            }
        }
        let suspects = report.suspects.iter().map(from_wire).collect();
        let is_new = self.evidence.hear(ago(report.age_ms), report.server, suspects);
        is_new.then(|| self.on_confirmed(now, report.server))
    }

    /// Takes in what another host tells of a cause, and objects if this host knows better.
    pub fn hear_quarantine(&mut self, now: Instant, told: &fleet::Quarantine) -> Vec<Change> {
        let cause = CauseKey(told.cause);
        if let Some(at) = quarantine::begun_at(now, told) {
            self.begun.hear(at, cause);
        }
        let mut changes = self.quarantine.hear(now, told, &self.begun);
        let is_proposed = |change: &Change| change.event == Event::Proposed;
        if changes.iter().any(is_proposed) && self.objects(told) {
            changes.extend(self.quarantine.object(now, cause, self.begun.last(cause)));
        }
        if changes.iter().any(|change| change.event != Event::Dropped) {
            changes.extend(self.quarantine.clear_explained(now));
        }
        changes
    }

    fn objects(&self, told: &fleet::Quarantine) -> bool {
        let others: Vec<_> = told.others.iter().copied().map(CauseKey).collect();
        let crashes = self.evidence.crashes();
        attribution::objects(&crashes, &self.begun, CauseKey(told.cause), &others, &told.servers)
    }

    /// Decides whether a request may be sent. `may_try` says whether this host lets a request with a cause through when it is
    /// time to try.
    pub fn check(&mut self, now: Instant, causes: &Causes, may_try: impl Fn(CauseKey) -> bool) -> Verdict {
        self.quarantine.check(now, causes, may_try)
    }

    /// Whether a request is refused that is no trial for `tried`.
    pub fn is_refused(&self, causes: &Causes, tried: Option<CauseKey>) -> bool {
        self.quarantine.is_refused(causes, tried)
    }

    /// Whether any requests are refused, or were.
    pub fn has_quarantine(&self) -> bool {
        !self.quarantine.is_empty()
    }

    /// Number of causes that are refused.
    pub fn refused(&self) -> usize {
        self.quarantine.refused()
    }

    /// Takes the crashes that the other hosts have not been told of, each with the scope of its requests.
    pub fn take_reports(&mut self, now: Instant) -> Vec<(u64, CrashReport)> {
        let untold = self.evidence.take_untold();
        untold.iter().map(|untold| (untold.suspect.scope, self.report(now, untold))).collect()
    }

    fn report(&self, now: Instant, untold: &Untold) -> CrashReport {
        let ms_ago = |at: Instant| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let begun_ms = |key| self.begun.last(key).map_or(0, |at| ms_ago(at).saturating_add(1));
        let suspect = &untold.suspect;
        let parts = suspect.parts.iter().map(|key| CrashCause { key: key.0, begun_ms: begun_ms(*key) });
        let suspect = CrashSuspect {
            service: suspect.service,
            content: suspect.content.map_or(0, |key| key.0),
            parts: parts.collect(),
        };
        CrashReport { server: untold.server, age_ms: ms_ago(untold.at), suspects: vec![suspect] }
    }

    /// Takes what is due to be told of causes.
    pub fn take_due(&mut self, now: Instant) -> Vec<fleet::Quarantine> {
        self.quarantine.take_due(now)
    }

    /// All that is known of causes.
    pub fn quarantines(&self, now: Instant) -> Vec<fleet::Quarantine> {
        self.quarantine.all(now)
    }

    /// Whether there is something that the other hosts have not been told.
    pub fn has_untold(&self) -> bool {
        self.evidence.has_untold()
    }

    /// Drops what is outdated.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        self.evidence.expire(now);
        self.begun.expire(now);
        self.quarantine.expire(now)
    }

    /// Makes the decision that is due, if there is one.
    pub fn settle(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = match self.decides_at {
            Some(at) if at <= now => self.decide(now),
            _ => Vec::new(),
        };
        changes.extend(self.quarantine.impose_due(now));
        changes
    }

    /// When the next decision is due.
    pub fn next_decision(&self) -> Option<Instant> {
        self.decides_at.into_iter().chain(self.quarantine.next_due()).min()
    }

    /// Number of servers and of causes that are remembered.
    pub fn remembered(&self) -> (usize, usize) {
        (self.evidence.len(), self.quarantine.len())
    }

    /// Decides on the contents that were at a crash.
    fn on_confirmed(&mut self, now: Instant, server: Tag) -> Vec<Change> {
        let contents: Vec<_> = self.evidence.suspects(server).iter().map(|suspect| suspect.content).collect();
        contents.into_iter().flat_map(|content| self.on_crash(now, content)).collect()
    }

    /// Decides on a content that was at a crash, at once, and on parts after the crash that is known last has settled.
    fn on_crash(&mut self, now: Instant, content: Option<CauseKey>) -> Vec<Change> {
        self.reconsiders_until = now + RECONSIDERATION_PERIOD;
        self.decide_at(now + SETTLING_PERIOD);
        let crashes = self.evidence.crashes();
        let found = content.and_then(|key| attribution::attribute_content(&crashes, &self.begun, key));
        let mut changes = Vec::new();
        changes.extend(found.and_then(|found| self.quarantine.propose(now, &found, true)));
        changes.extend(self.settle(now));
        changes
    }

    /// Has causes decided on at this time, unless that is due earlier.
    fn decide_at(&mut self, at: Instant) {
        self.decides_at = Some(self.decides_at.map_or(at, |due| due.min(at)));
    }

    /// Puts the crashes down to causes. Those that have just happened wait until all hosts have told of them.
    fn decide(&mut self, now: Instant) -> Vec<Change> {
        let mut crashes = self.evidence.crashes();
        let settled = crashes.partition_point(|(_, crash)| crash.at + SETTLING_PERIOD <= now);
        self.decides_at = crashes.get(settled).map(|(_, crash)| crash.at + SETTLING_PERIOD);
        let mut changes = Vec::new();
        if !self.quarantine.is_empty() {
            for (server, crash) in &crashes {
                let again = crash
                    .suspects()
                    .iter()
                    .flat_map(|suspect| self.quarantine.record_crash(crash.at, *server, suspect));
                changes.extend(again.collect::<Vec<_>>());
            }
        }
        crashes.truncate(settled);
        let found = attribution::attribute(&crashes, &self.quarantine.known(), &self.begun);
        changes.extend(found.iter().filter_map(|found| self.quarantine.propose(now, found, false)));
        if !changes.is_empty() {
            changes.extend(self.quarantine.clear_explained(now));
        }
        changes
    }
}

fn from_wire(suspect: &CrashSuspect) -> Causes {
    Causes {
        content: (suspect.content != 0).then_some(CauseKey(suspect.content)),
        parts: suspect.parts.iter().map(|part| CauseKey(part.key)).collect(),
        service: suspect.service,
        scope: 0,
    }
}
