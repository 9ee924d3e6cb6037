//! Summaries of data centres: the oldest version in force, and whether the data centre is reachable.

use std::{sync::Arc, time::Duration};

use super::record::MAX_NAME_BYTES;
use crate::{
    schema::membership as raw,
    util::{Instant, Map},
};

/// A data centre without a new summary for this long is considered unreachable.
pub(super) const SUMMARY_TTL: Duration = Duration::from_secs(20);
/// A summary of a reporter that is later by name is accepted only if the current one has not been renewed for this
/// long.
const REPORTER_TAKEOVER_DELAY: Duration = Duration::from_secs(10);

/// Newest summary of a data centre and its state.
#[derive(Clone, Debug)]
pub struct Centre {
    /// Newest summary.
    pub summary: raw::Summary,
    /// When it was received.
    pub received_at: Instant,
    pub(super) sends: u32,
    newest_by_reporter: Map<String, (u64, u64)>,
}

/// Newest summary of each data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Summaries {
    pub(super) centres: Map<Arc<str>, Centre>,
}

impl Summaries {
    /// Merges a summary; returns whether it was accepted.
    pub(super) fn merge(&mut self, now: Instant, new: &raw::Summary, sends: u32) -> bool {
        if new.data_centre.len() > MAX_NAME_BYTES || new.reporter.len() > MAX_NAME_BYTES {
            return false;
        }
        let sequence = (new.incarnation, new.seq);
        let Some(c) = self.centres.get_mut(new.data_centre.as_str()) else {
            let newest_by_reporter = Map::from_iter([(new.reporter.clone(), sequence)]);
            let centre = Centre { summary: new.clone(), received_at: now, sends, newest_by_reporter };
            self.centres.insert(new.data_centre.as_str().into(), centre);
            return true;
        };
        // Two members may both consider themselves the reporter while they disagree on liveness. The sequence of each
        // reporter only increases, so a summary that still circulates can't be accepted again after its reporter died.
        if c.newest_by_reporter.get(&new.reporter).is_some_and(|&n| n >= sequence) {
            return false;
        }
        c.newest_by_reporter.insert(new.reporter.clone(), sequence);
        if new.reporter > c.summary.reporter && c.received_at + REPORTER_TAKEOVER_DELAY > now {
            return false;
        }
        c.summary = new.clone();
        c.received_at = now;
        c.sends = sends;
        true
    }

    /// Whether the summary of the data centre has not expired.
    pub(super) fn is_fresh(&self, now: Instant, data_centre: &str) -> bool {
        self.centres.get(data_centre).is_some_and(|c| c.received_at + SUMMARY_TTL > now)
    }
}
