//! Tells other hosts of requests that may have crashed a server and of causes that are refused, and logs what is found out.
//!
//! A request that was at a server when it crashed is told to a few hosts only, which its workspace, service and model decide,
//! so that these know all crashes that a cause may be in. What they decide is told to every host, and to each one that has
//! just started or was not heard for a while. Nothing is told while no server crashes.

use std::net::SocketAddr;

use serde::Serialize;

use super::{
    Relay, State, Wire,
    backends::{BackendKey, Tag},
    crashes::{
        cause::{CauseKey, Causes},
        quarantine::{Change, Event, Verdict},
    },
    peers::replicas::Replica,
    request::Request,
};
use crate::{
    logs::lines::{Level, Line, line},
    metrics::{Counter, Gauge},
    schema::fleet::{CrashReport, CrashReports, Quarantine},
    util::{Instant, Map, now},
};

/// Number of hosts that are told of a request that was at a crash.
const MAX_COLLECTORS: usize = 8;
/// Bytes per second that may be spent on telling of such requests, and those that may be saved up. A server that crashes
/// under load breaks off dozens of requests at once.
pub(super) const REPORT_BYTES_PER_SECOND: f64 = 6_000.0;
pub(super) const MAX_SAVED_BYTES: f64 = 24_000.0;
/// Size of the headers of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Maximum size of a datagram without headers, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_200;
/// Marks these messages among the datagrams between hosts.
pub(super) const MARKER: u64 = 1;

/// What became known of crashes; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashNews {
    /// This host has found out that a server crashed.
    Confirmed,
    /// Another host has told of a crash, or of requests that were there.
    Heard,
    /// A request that was at a crash was told to another host.
    Told,
    /// A request that was at a crash was not told, since too many were.
    Dropped,
}

impl CrashNews {
    /// Every kind.
    pub const ALL: [CrashNews; 4] =
        [CrashNews::Confirmed, CrashNews::Heard, CrashNews::Told, CrashNews::Dropped];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            CrashNews::Confirmed => "confirmed",
            CrashNews::Heard => "heard",
            CrashNews::Told => "told",
            CrashNews::Dropped => "dropped",
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Records that the answer to a request began at some time, so that nothing in it crashes servers.
    pub(crate) fn record_begun(&self, req: &Request, at: Instant) {
        let mut state = self.state();
        // The content of a large request takes long to hash, and matters only if it is suspect.
        let causes = if state.crashes.has_suspicion() { Causes::of(req) } else { Causes::parts_of(req) };
        let changes = state.crashes.record_begun(now(), at, &causes);
        self.on_quarantine_changes(&state, &changes, &req.id);
    }

    /// Records that a request broke off at a server before its answer had begun. Returns whether it is known that the server
    /// has crashed. One that is leaving may end at any time.
    pub(crate) fn record_break(&self, req: &Request, key: BackendKey) -> bool {
        let mut state = self.state();
        let Some(server) = running_tag(&state, key) else { return true };
        let changes = state.crashes.record_broken(now(), server, Causes::of(req));
        let is_known = state.crashes.is_confirmed(server);
        self.on_quarantine_changes(&state, &changes, "own connections");
        is_known
    }

    /// Records that a server has crashed: nothing listens at its port any more.
    pub(crate) fn confirm_crash(&self, key: BackendKey) {
        let mut state = self.state();
        let Some(server) = running_tag(&state, key) else { return };
        if let Some(changes) = state.crashes.confirm(now(), server) {
            self.on_crash(&mut state, key, &changes, "connection refused");
        }
    }

    /// Records that a server has started again or another one has its address. Requests that broke off there shortly before
    /// may have crashed it.
    pub(crate) fn confirm_restart(&self, state: &mut State, key: BackendKey) {
        let Some(server) = state.backends.get(key).map(|b| b.tag) else { return };
        if let Some(changes) = state.crashes.confirm_restarted(now(), server) {
            self.on_crash(state, key, &changes, "started again");
        }
    }

    /// Decides whether a request may be sent, or is refused since it crashes servers.
    pub(crate) fn check_quarantine(&self, req: &Request) -> Verdict {
        let mut state = self.state();
        if !state.crashes.has_suspicion() {
            return Verdict::Send;
        }
        let now = now();
        let changes = state.crashes.settle(now);
        self.on_quarantine_changes(&state, &changes, "crashes");
        if !state.crashes.has_quarantine() {
            return Verdict::Send;
        }
        let State { crashes, peers, .. } = &mut *state;
        crashes.check(now, &Causes::of(req), |cause| peers.ranks_first(now, cause.0))
    }

    /// Whether a request is refused that is no trial for `tried`.
    pub(crate) fn is_quarantined(&self, req: &Request, tried: Option<CauseKey>) -> bool {
        let state = self.state();
        state.crashes.has_quarantine() && state.crashes.is_refused(&Causes::of(req), tried)
    }

    /// Waits until a request is refused.
    pub(crate) async fn until_quarantined(&self, req: &Request, tried: Option<CauseKey>) {
        loop {
            let changed = self.quarantine_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.is_quarantined(req, tried) {
                return;
            }
            changed.await;
        }
    }

    /// Counts and logs that a request is let through as a trial.
    pub(crate) fn on_trial(&self, req: &Request, cause: CauseKey) {
        self.metrics.add(Counter::RelayQuarantine, Event::Tried.as_str(), 1);
        self.log_request(Level::Notable, "quarantine_trial", req, |l| with_cause(l, req, cause));
    }

    /// Logs that a request is refused since it crashes servers.
    pub(crate) fn log_quarantined(&self, req: &Request, cause: CauseKey) {
        self.log_request(Level::Notable, "quarantined", req, |l| with_cause(l, req, cause));
    }

    /// Processes what another host tells of crashes.
    pub(crate) fn receive_crash_reports(&self, from: SocketAddr, message: &CrashReports) {
        let now = now();
        let mut state = self.state();
        let from = from.to_string();
        for report in &message.crashes {
            let Some(changes) = state.crashes.hear_crash(now, report) else { continue };
            self.metrics.add(Counter::RelayCrashes, CrashNews::Heard.as_str(), 1);
            let backend = state.backends.by_tag(report.server).and_then(|key| state.backends.get(key));
            log_crash(backend.map_or("unknown", |b| &b.id), &from, report.suspects.len());
            self.on_quarantine_changes(&state, &changes, "crashes");
        }
        for told in &message.quarantines {
            let changes = state.crashes.hear_quarantine(now, told);
            self.on_quarantine_changes(&state, &changes, &from);
        }
    }

    /// Queues all that is known of causes for a host that has just started or was not heard for a while.
    pub(super) fn tell_newcomer(&self, state: &mut State, host: SocketAddr) {
        if state.crashes.has_quarantine() {
            state.newcomers.push(host);
            self.messages_due.notify_one();
        }
    }

    /// Drops what is outdated, and wakes the sender if something is due.
    pub(super) fn expire_crashes(&self, state: &mut State) {
        let changes = state.crashes.expire(now());
        self.on_quarantine_changes(state, &changes, "no request");
        let changes = state.crashes.settle(now());
        self.on_quarantine_changes(state, &changes, "crashes");
        self.metrics.set(Gauge::RelayQuarantined, "refused", state.crashes.refused() as f64);
        if state.crashes.has_quarantine() || state.crashes.has_untold() {
            self.messages_due.notify_one();
        }
    }

    /// Waits until the next decision is due; for ever if there is none.
    pub(crate) async fn await_decision(&self) {
        let due = {
            let mut state = self.state();
            state.awaited_decision = state.crashes.next_decision();
            state.awaited_decision
        };
        match due {
            Some(at) => tokio::time::sleep(at.saturating_sub(now())).await,
            None => std::future::pending().await,
        }
    }

    /// Makes the decision that is due, and takes the messages that are due, with their receivers.
    pub(crate) fn take_crash_messages(&self) -> Vec<(SocketAddr, CrashReports)> {
        let now = now();
        let mut state = self.state();
        let mut messages = Vec::new();
        let changes = state.crashes.settle(now);
        self.report_quarantine_changes(&changes, "crashes");
        let state = &mut *state;
        let due = state.crashes.take_due(now);
        if !due.is_empty() {
            for target in state.peers.spread_targets(now, &mut state.rng) {
                messages.extend(pack(&due, with_quarantines).map(|message| (target, message)));
            }
        }
        let newcomers = std::mem::take(&mut state.newcomers);
        if !newcomers.is_empty() {
            let all = state.crashes.quarantines(now);
            for host in newcomers {
                messages.extend(pack(&all, with_quarantines).map(|message| (host, message)));
            }
        }
        messages.extend(self.take_reports(state));
        messages
    }

    /// Takes the requests that were at crashes, with the hosts that are told of them.
    fn take_reports(&self, state: &mut State) -> Vec<(SocketAddr, CrashReports)> {
        let now = now();
        let reports = state.crashes.take_reports(now);
        let mut by_target: Vec<(SocketAddr, Vec<CrashReport>)> = Vec::new();
        let mut collectors: Map<u64, Vec<Replica>> = Map::default();
        for (scope, report) in reports {
            let of_scope = || state.peers.replicas(now, scope, MAX_COLLECTORS);
            let collectors = collectors.entry(scope).or_insert_with(of_scope);
            for collector in collectors.iter().filter(|replica| replica.alive) {
                match by_target.iter_mut().find(|(target, _)| *target == collector.addr) {
                    Some((_, reports)) => reports.push(report.clone()),
                    None => by_target.push((collector.addr, vec![report.clone()])),
                }
            }
        }
        let mut messages = Vec::new();
        for (target, reports) in by_target {
            for message in pack(&reports, with_crashes) {
                let bytes = size(&message) + DATAGRAM_HEADER_BYTES;
                let fits = state.report_bytes.take_many(now, bytes as f64);
                let news = if fits { CrashNews::Told } else { CrashNews::Dropped };
                self.metrics.add(Counter::RelayCrashes, news.as_str(), message.crashes.len() as u64);
                if fits {
                    messages.push((target, message));
                }
            }
        }
        messages
    }

    /// Counts and logs a crash that this host has found out.
    fn on_crash(&self, state: &mut State, key: BackendKey, changes: &[Change], from: &str) {
        self.metrics.add(Counter::RelayCrashes, CrashNews::Confirmed.as_str(), 1);
        let id = state.backends.get(key).map(|b| b.id.clone());
        log_crash(id.as_deref().unwrap_or("gone"), from, 0);
        self.on_quarantine_changes(state, changes, "crashes");
    }

    /// Reports changes of what is refused, and wakes the sender of messages if it has something to do before the decision that
    /// it waits for.
    fn on_quarantine_changes(&self, state: &State, changes: &[Change], from: &str) {
        let is_earlier = match (state.crashes.next_decision(), state.awaited_decision) {
            (Some(next), Some(awaited)) => next < awaited,
            (next, _) => next.is_some(),
        };
        if is_earlier || state.crashes.has_untold() || !changes.is_empty() {
            self.messages_due.notify_one();
        }
        self.report_quarantine_changes(changes, from);
    }

    /// Counts and logs changes of what is refused, and wakes the requests that may be concerned.
    fn report_quarantine_changes(&self, changes: &[Change], from: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.metrics.add(Counter::RelayQuarantine, change.event.as_str(), 1);
            log_change(change, from);
        }
        self.quarantine_changed.notify_waiters();
    }
}

/// Tag of a server that is not leaving.
fn running_tag(state: &State, key: BackendKey) -> Option<Tag> {
    state.backends.get(key).filter(|b| b.accepts_work()).map(|b| b.tag)
}

fn log_crash(backend: &str, from: &str, suspects: usize) {
    line(Level::Notable, "crash", |l| {
        l.text("backend", backend).text("from", from).number("suspects", suspects as u64)
    });
}

/// Adds a cause that a request has.
fn with_cause(l: Line, req: &Request, cause: CauseKey) -> Line {
    let part =
        Causes::named_parts(req).find(|(_, key)| *key == cause).map(|(part, _)| format!("{:x}", part.id));
    l.text("cause", &cause.to_string()).text("part", part.as_deref().unwrap_or("whole content"))
}

fn log_change(change: &Change, from: &str) {
    let others: Vec<_> = change.others.iter().map(CauseKey::to_string).collect();
    line(Level::Notable, "quarantine", |l| {
        let l = l.text("change", change.event.as_str()).text("cause", &change.cause.to_string());
        let l = l.text("others", &others.join(",")).number("crashes", change.crashes);
        l.text("word", change.source.as_str()).text("from", from)
    });
}

fn with_crashes(crashes: Vec<CrashReport>) -> CrashReports {
    CrashReports { marker: MARKER, crashes, quarantines: Vec::new() }
}

fn with_quarantines(quarantines: Vec<Quarantine>) -> CrashReports {
    CrashReports { marker: MARKER, crashes: Vec::new(), quarantines }
}

/// Divides items among messages that fit into a datagram.
fn pack<T: Clone + Serialize>(
    items: &[T],
    message: impl Fn(Vec<T>) -> CrashReports,
) -> impl Iterator<Item = CrashReports> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut bytes = MAX_MESSAGE_BYTES;
    for item in items {
        let item_bytes = size(item);
        if bytes + item_bytes > MAX_MESSAGE_BYTES || parts.is_empty() {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += item_bytes;
        parts.last_mut().expect("one was just added").push(item.clone());
    }
    parts.into_iter().map(message)
}

/// Size of an encoded message, in bytes.
fn size(item: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_MESSAGE_BYTES)
}
