//! What hosts measure and tell each other beside heartbeats, so that a decision of one host can use the sum over all.
//!
//! Amounts are sums by topic and key; each host tells its own to the hosts of its data centre, and the sum of its data
//! centre to one host of each other one. Reports are what backend servers said of their load; the newest one of a server
//! counts. All of it is soft state: hosts that fall silent no longer count, and a restarted host learns everything again
//! from the next messages.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{backends::Tag, peers::Scope};
use crate::{
    schema::fleet,
    util::{Instant, Map, hash},
};

/// First field of the message, which tells it apart from other datagrams.
pub const MARKER: u64 = 2;
/// Minimum time without a message after which a host or data centre no longer counts.
const TIMEOUT: Duration = Duration::from_secs(3);
/// How long a report is kept; the load of a server changes within less.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Maximum number of amounts and of reports in a message, so that with headers it takes 0.4 KB.
const MAX_AMOUNTS: usize = 24;
const MAX_REPORTS: usize = 12;
/// Maximum number of amounts of this host in a topic; the smallest are dropped at the next message.
const MAX_OWN_AMOUNTS: usize = 4_096;
/// Maximum number of servers with a report.
const MAX_KNOWN_REPORTS: usize = 8_192;

/// What an amount counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// Requests a minute that arrive, by service and workspace.
    WorkspaceDemand = 1,
    /// Requests a minute that are admitted, by service and workspace.
    WorkspaceAdmitted = 2,
    /// Callers that were told to return in a time slot, by service and slot.
    PromisedReturns = 3,
    /// Results of requests, by service.
    Results = 4,
    /// Results that came late, by service.
    LateResults = 5,
    /// Requests a minute that arrive, by service.
    Arrivals = 6,
}

impl Topic {
    fn from_number(n: u32) -> Option<Self> {
        use Topic::*;
        [WorkspaceDemand, WorkspaceAdmitted, PromisedReturns, Results, LateResults, Arrivals]
            .into_iter()
            .find(|topic| *topic as u32 == n)
    }
}

/// Key of an amount within its topic.
pub type Key = u32;

/// Key of what is counted for a service, and within it for a workspace, time slot or the like.
pub fn key(service: &str, detail: impl std::hash::Hash) -> Key {
    hash((service, detail)) as Key
}

/// What a backend server has said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that run and wait there.
    pub load: u32,
    /// How long work takes there relative to usual, in percent; `None` if it does not say.
    pub pace_percent: Option<u32>,
    /// When the server said so, or about then.
    pub at: Instant,
    /// Whether other hosts should know.
    pub told_on: bool,
    /// Requests that this host has sent there since.
    pub sent_since: u32,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// It is the newest, and has replaced this one.
    Replaced(Option<Report>),
    /// A newer one is known.
    Ignored,
}

type Amounts = Map<(Topic, Key), u32>;

/// Amounts of a host or a data centre.
#[derive(Clone, Debug, Default)]
struct Source {
    start: u64,
    number: u64,
    received_at: Instant,
    hosts: u32,
    amounts: Amounts,
}

/// Amounts and reports of this host and the others.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    own: Amounts,
    hosts: Map<SocketAddr, Source>,
    centres: Map<Arc<str>, Source>,
    /// Sums over all sources but this host.
    sums: Map<(Topic, Key), u64>,
    reports: Map<Tag, Report>,
    number: u64,
}

impl Measurements {
    /// Sets an amount of this host; 0 removes it.
    pub fn set(&mut self, topic: Topic, key: Key, value: u32) {
        match value {
            0 => {
                self.own.remove(&(topic, key));
            }
            _ => {
                self.own.insert((topic, key), value);
            }
        }
    }

    /// An amount of this host.
    pub fn own(&self, topic: Topic, key: Key) -> u32 {
        self.own.get(&(topic, key)).copied().unwrap_or(0)
    }

    /// Sum of an amount over the other hosts.
    pub fn of_others(&self, topic: Topic, key: Key) -> u32 {
        saturate(self.sums.get(&(topic, key)).copied().unwrap_or(0))
    }

    /// Sum of an amount over all hosts.
    pub fn total(&self, topic: Topic, key: Key) -> u32 {
        self.own(topic, key).saturating_add(self.of_others(topic, key))
    }

    /// Sums of all amounts of a topic over the other hosts.
    pub fn amounts_of_others(&self, topic: Topic) -> impl Iterator<Item = (Key, u32)> {
        let of_topic = self.sums.iter().filter(move |((t, _), _)| *t == topic);
        of_topic.map(|((_, key), sum)| (*key, saturate(*sum)))
    }

    /// Mean time since the last messages of the hosts and data centres that are summed.
    pub fn mean_age(&self, now: Instant) -> Duration {
        let sources = self.hosts.values().chain(self.centres.values());
        let ages = sources.clone().map(|source| now.saturating_sub(source.received_at));
        ages.sum::<Duration>() / (sources.count() as u32).max(1)
    }

    /// Number of hosts whose amounts are summed, including this one.
    pub fn host_count(&self) -> u32 {
        let others = self.hosts.len() as u32;
        self.centres.values().fold(others + 1, |n, centre| n.saturating_add(centre.hosts))
    }

    /// Records what a server has said. Returns the report that it replaces, if any; an older one than the known one is
    /// ignored.
    pub fn record_report(&mut self, tag: Tag, report: Report) -> Recorded {
        let is_full = self.reports.len() >= MAX_KNOWN_REPORTS;
        match self.reports.get_mut(&tag) {
            Some(known) if known.at >= report.at => Recorded::Ignored,
            Some(known) => Recorded::Replaced(Some(std::mem::replace(known, report))),
            None if is_full => Recorded::Ignored,
            None => {
                self.reports.insert(tag, report);
                Recorded::Replaced(None)
            }
        }
    }

    /// The newest report of a server, unless it has expired.
    pub fn report(&self, now: Instant, tag: Tag) -> Option<&Report> {
        self.reports.get(&tag).filter(|r| r.at + REPORT_TTL >= now)
    }

    /// Forgets a server, which has restarted or is gone.
    pub fn forget_server(&mut self, tag: Tag) {
        self.reports.remove(&tag);
    }

    /// The next message with the largest amounts of a scope and the newest reports; `None` if there is nothing to tell.
    pub fn message(&mut self, now: Instant, start: u64, scope: Scope) -> Option<fleet::Measurements> {
        self.drop_excess();
        let amounts = match scope {
            Scope::Host => self.own.clone(),
            Scope::DataCentre => self.data_centre_amounts(),
        };
        let amounts = largest(amounts);
        let reports = self.newest_reports(now);
        if amounts.is_empty() && reports.is_empty() {
            return None;
        }
        self.number += 1;
        let hosts = if scope == Scope::DataCentre { self.hosts.len() as u32 + 1 } else { 1 };
        let data_centre = scope == Scope::DataCentre;
        Some(fleet::Measurements {
            marker: MARKER,
            start,
            number: self.number,
            data_centre,
            hosts,
            amounts,
            reports,
        })
    }

    /// A message with reports only.
    pub fn reports_message(&self, start: u64, reports: Vec<fleet::ServerReport>) -> fleet::Measurements {
        fleet::Measurements { marker: MARKER, start, reports, ..Default::default() }
    }

    /// The reports of the given servers that have not expired.
    pub fn reports_of(&self, now: Instant, tags: impl Iterator<Item = Tag>) -> Vec<fleet::ServerReport> {
        tags.filter_map(|tag| Some(encode_report(now, tag, self.report(now, tag)?))).collect()
    }

    /// Counts a request that this host sends to a server.
    pub fn record_send(&mut self, tag: Tag) {
        if let Some(report) = self.reports.get_mut(&tag) {
            report.sent_since += 1;
        }
    }

    /// Processes the amounts of another host's message; `data_centre` is that of the sender, and `own_data_centre` this
    /// host's. Returns whether it was neither a duplicate nor older than one received before.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        data_centre: Option<&str>,
        own_data_centre: &str,
        message: &fleet::Measurements,
    ) -> bool {
        if message.number == 0 {
            return true;
        }
        let (sources, is_current) = match (message.data_centre, data_centre) {
            (true, None) => return true,
            (true, Some(centre)) if centre == own_data_centre => return true,
            // The hosts of a data centre send its sum in turns, each with numbers of its own.
            (true, Some(centre)) => (self.centres.entry(centre.into()).or_default(), true),
            (false, _) => {
                let source = self.hosts.entry(from).or_default();
                let is_current = (message.start, message.number) > (source.start, source.number);
                (source, is_current)
            }
        };
        if !is_current {
            return false;
        }
        let amounts = read_amounts(&message.amounts);
        let old = std::mem::replace(
            sources,
            Source {
                start: message.start,
                number: message.number,
                received_at: now,
                hosts: message.hosts.clamp(1, 4_096),
                amounts: amounts.clone(),
            },
        );
        self.subtract(&old.amounts);
        for (key, value) in amounts {
            *self.sums.entry(key).or_default() += u64::from(value);
        }
        true
    }

    /// Drops hosts and data centres that have fallen silent, and old reports.
    pub fn expire(&mut self, now: Instant) {
        self.expire_after(now, TIMEOUT);
    }

    /// The same with the time after which heartbeats count as missing; in large data centres they go every few seconds.
    pub fn expire_after(&mut self, now: Instant, timeout: Duration) {
        let timeout = timeout.max(TIMEOUT);
        let is_silent = |s: &Source| s.received_at + timeout < now;
        let mut lost: Vec<_> = self.hosts.extract_if(|_, s| is_silent(s)).map(|(_, s)| s).collect();
        lost.extend(self.centres.extract_if(|_, s| is_silent(s)).map(|(_, s)| s));
        lost.iter().for_each(|source| self.subtract(&source.amounts));
        self.reports.retain(|_, r| r.at + REPORT_TTL >= now);
    }

    fn subtract(&mut self, amounts: &Amounts) {
        for (key, value) in amounts {
            if let Some(sum) = self.sums.get_mut(key) {
                *sum = sum.saturating_sub(u64::from(*value));
            }
        }
        self.sums.retain(|_, sum| *sum > 0);
    }

    fn data_centre_amounts(&self) -> Amounts {
        let mut all = self.own.clone();
        for (key, value) in self.hosts.values().flat_map(|s| &s.amounts) {
            let sum = all.entry(*key).or_default();
            *sum = sum.saturating_add(*value);
        }
        all
    }

    fn newest_reports(&self, now: Instant) -> Vec<fleet::ServerReport> {
        let known = self.reports.iter().filter(|(_, r)| r.told_on && r.at + REPORT_TTL >= now);
        let mut newest: Vec<_> = known.collect();
        newest.sort_unstable_by_key(|(tag, r)| (std::cmp::Reverse(r.at), **tag));
        newest.into_iter().take(MAX_REPORTS).map(|(tag, r)| encode_report(now, *tag, r)).collect()
    }

    /// Merges the reports of another host's message; returns the servers with a newer report, and the ones replaced.
    pub fn merge_reports(
        &mut self,
        now: Instant,
        reports: &[fleet::ServerReport],
    ) -> Vec<(Tag, Option<Report>)> {
        let mut newer = Vec::new();
        for told in reports.iter().take(MAX_REPORTS) {
            let Some(at) = now.checked_sub(Duration::from_millis(told.age_ms.into())) else { continue };
            if at + REPORT_TTL < now {
                continue;
            }
            let pace_percent = (told.pace_percent > 0).then_some(told.pace_percent);
            let report = Report { load: told.load, pace_percent, at, told_on: false, sent_since: 0 };
            if let Recorded::Replaced(old) = self.record_report(told.backend, report) {
                newer.push((told.backend, old));
            }
        }
        newer
    }

    /// Drops the smallest amounts of topics that have too many.
    fn drop_excess(&mut self) {
        if self.own.len() <= MAX_OWN_AMOUNTS {
            return;
        }
        let mut by_topic: Map<Topic, Vec<(u32, Key)>> = Map::default();
        for ((topic, key), value) in &self.own {
            by_topic.entry(*topic).or_default().push((*value, *key));
        }
        for (topic, mut values) in by_topic {
            values.sort_unstable_by_key(|(value, key)| (std::cmp::Reverse(*value), *key));
            for (_, key) in values.into_iter().skip(MAX_OWN_AMOUNTS) {
                self.own.remove(&(topic, key));
            }
        }
    }
}

/// The largest amounts of each topic, as many of each topic as fit.
fn largest(amounts: Amounts) -> Vec<fleet::Amount> {
    let mut all: Vec<_> = amounts.into_iter().collect();
    all.sort_unstable_by_key(|((topic, key), value)| (std::cmp::Reverse(*value), *topic, *key));
    // Topics have different units, so that the largest of each take turns.
    let mut taken: Map<Topic, usize> = Map::default();
    let mut ranked: Vec<_> = all
        .into_iter()
        .map(|((topic, key), value)| {
            let rank = taken.entry(topic).or_default();
            *rank += 1;
            (*rank, topic, key, value)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, topic, ..)| (*rank, *topic));
    let amount = |(_, topic, key, value)| fleet::Amount { topic: topic as u32, key, value };
    ranked.into_iter().take(MAX_AMOUNTS).map(amount).collect()
}

fn read_amounts(amounts: &[fleet::Amount]) -> Amounts {
    let known = |a: &fleet::Amount| Some(((Topic::from_number(a.topic)?, a.key), a.value));
    amounts.iter().take(MAX_AMOUNTS).filter_map(known).filter(|(_, value)| *value > 0).collect()
}

fn encode_report(now: Instant, tag: Tag, r: &Report) -> fleet::ServerReport {
    fleet::ServerReport {
        backend: tag,
        load: r.load,
        pace_percent: r.pace_percent.unwrap_or(0),
        age_ms: now.saturating_sub(r.at).as_millis() as u32,
    }
}

fn saturate(sum: u64) -> u32 {
    u32::try_from(sum).unwrap_or(u32::MAX)
}
