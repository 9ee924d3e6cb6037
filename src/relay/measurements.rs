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

mod reports;

pub use reports::{Recorded, Report};

/// First field of the message, which tells it apart from other datagrams.
pub const MARKER: u64 = 2;
/// Minimum time without a message after which a host or data centre no longer counts.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of amounts in a message, so that with its reports and headers it takes 0.4 KB.
const MAX_AMOUNTS: usize = 24;
/// Maximum number of amounts of this host in a topic; the smallest are dropped at the next message.
const MAX_OWN_AMOUNTS: usize = 4_096;

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
        self.expire_reports(now);
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

fn saturate(sum: u64) -> u32 {
    u32::try_from(sum).unwrap_or(u32::MAX)
}
