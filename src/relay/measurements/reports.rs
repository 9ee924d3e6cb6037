//! What backend servers have said of their load, to this host or to others.

use std::time::Duration;

use super::{MARKER, Measurements};
use crate::{relay::backends::Tag, schema::fleet, util::Instant};

/// How long a report is kept; the load of a server changes within less.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Maximum number of reports in a message.
const MAX_REPORTS: usize = 12;
/// Maximum number of servers with a report.
const MAX_KNOWN_REPORTS: usize = 8_192;

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

impl Measurements {
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

    pub(super) fn newest_reports(&self, now: Instant) -> Vec<fleet::ServerReport> {
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

    pub(super) fn expire_reports(&mut self, now: Instant) {
        self.reports.retain(|_, r| r.at + REPORT_TTL >= now);
    }
}

fn encode_report(now: Instant, tag: Tag, r: &Report) -> fleet::ServerReport {
    fleet::ServerReport {
        backend: tag,
        load: r.load,
        pace_percent: r.pace_percent.unwrap_or(0),
        age_ms: now.saturating_sub(r.at).as_millis() as u32,
    }
}
