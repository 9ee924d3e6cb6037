//! Spreads loads of servers that are close to the load bound faster than heartbeats do.
//!
//! This answers a surge on a few prompt parts in a large fleet: heartbeats tell of a server's load after a second, within
//! which its load can triple. Each answer carries the server's own load; a host that learns of a high one passes it on to a
//! few random hosts, and these do the same, so that all know within some hundred milliseconds. Nothing is sent while no
//! server is close to the bound, and a host sends a limited number of bytes per second.

use std::{sync::Arc, time::Duration};

use super::{
    backends::Tag,
    measurements::{Measurements, Report},
};
use crate::{
    objects::bucket::TokenBucket,
    schema::fleet,
    util::{Instant, Map},
};

/// Load from which a server is hot: a multiple of the mean load of its service plus a constant.
const HOT_FACTOR: f64 = 1.4;
const HOT_EXTRA: f64 = 2.0;
/// Time after which a hot server is told of again, and the increase of its load from which that is done at once: a
/// constant plus a fraction of the load.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
const NEWS_INCREASE: u32 = 4;
const NEWS_INCREASE_DIVISOR: u32 = 4;
/// How long a report replaces the sum of what hosts have told of their requests.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);
/// Delay before hosts are told, so that reports in quick succession share a message.
pub const SETTLE_DELAY: Duration = Duration::from_millis(30);
/// Number of hosts that are told.
pub const FANOUT: usize = 4;
/// Bytes per second for such messages, and the number that can be saved up.
const BYTES_PER_SECOND: f64 = 3_000.0;
const MAX_SAVED_BYTES: f64 = 6_000.0;
/// Size of a message without reports, with IP and UDP headers, and of a report.
const MESSAGE_BYTES: f64 = 40.0;
const REPORT_BYTES: f64 = 11.0;
/// Maximum number of reports in a message.
const MAX_REPORTS: usize = 12;

/// What was done with a report; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportUse {
    /// It says that a server is close to the load bound, and that is news.
    Found,
    /// A few hosts were told of it.
    Sent,
}

impl ReportUse {
    /// Every use.
    pub const ALL: [ReportUse; 2] = [ReportUse::Found, ReportUse::Sent];

    /// Label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportUse::Found => "found",
            ReportUse::Sent => "sent",
        }
    }
}

/// Which servers are to be told of.
#[derive(Clone, Debug)]
pub struct HotServers {
    /// Mean load of a server of each service, in requests, as of the last choice.
    means: Map<Arc<str>, f64>,
    pending: Vec<Tag>,
    bytes: TokenBucket,
}

impl Default for HotServers {
    fn default() -> Self {
        Self {
            means: Map::default(),
            pending: Vec::new(),
            bytes: TokenBucket::new(BYTES_PER_SECOND, MAX_SAVED_BYTES),
        }
    }
}

impl HotServers {
    /// Sets the mean load of the servers of a service.
    pub fn set_mean(&mut self, service: &Arc<str>, mean: f64) {
        match self.means.get_mut(service) {
            Some(known) => *known = mean,
            None => {
                self.means.insert(service.clone(), mean);
            }
        }
    }

    /// Whether a load is close to the bound of a service.
    fn is_hot(&self, service: &str, load: u32) -> bool {
        self.means.get(service).is_some_and(|mean| f64::from(load) >= HOT_FACTOR * mean + HOT_EXTRA)
    }

    /// Takes a report that has replaced an older one; returns whether others are to be told of it.
    pub fn on_report(&mut self, service: &str, tag: Tag, old: Option<&Report>, new: &Report) -> bool {
        let is_news = old.is_none_or(|old| {
            let increase = NEWS_INCREASE + old.load / NEWS_INCREASE_DIVISOR;
            old.at + REPEAT_AFTER < new.at || new.load >= old.load.saturating_add(increase)
        });
        if !is_news || !self.is_hot(service, new.load) || self.pending.contains(&tag) {
            return false;
        }
        self.pending.push(tag);
        true
    }

    /// The next message about servers that others are to be told of; `None` if there is nothing to tell, or not now.
    pub fn take(
        &mut self,
        now: Instant,
        start: u64,
        measurements: &Measurements,
    ) -> Option<fleet::Measurements> {
        let tags = std::mem::take(&mut self.pending);
        let reports = measurements.reports_of(now, tags.into_iter().take(MAX_REPORTS));
        let size = MESSAGE_BYTES + REPORT_BYTES * reports.len() as f64;
        if reports.is_empty() || !self.bytes.take_many(now, size * FANOUT as f64) {
            return None;
        }
        Some(measurements.reports_message(start, reports))
    }
}

/// Requests in progress at a server: the sum of what hosts have told, or what the server has said lately with what this
/// host has sent there since, whichever is more. The sum includes requests on their way; the server's word is newer.
pub fn load(now: Instant, told: u32, report: Option<&Report>) -> u32 {
    let recent = report.filter(|r| r.at + REPORT_MAX_AGE >= now);
    recent.map_or(told, |r| told.max(r.load.saturating_add(r.sent_since)))
}
