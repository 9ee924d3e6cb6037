//! Digests of data centres: the oldest version in force, and whether the data centre can be heard.

use std::{sync::Arc, time::Duration};

use super::record::NAME_BYTES;
use crate::{
    schema::membership as raw,
    util::{Instant, Map},
};

/// A data centre from which no new digest came for this long can't be heard.
pub(super) const STALE: Duration = Duration::from_secs(20);
/// A digest of a reporter further back is preferred only when the first reporter's has not been renewed.
const RENEW: Duration = Duration::from_secs(10);

/// What is known of a data centre.
#[derive(Clone, Debug)]
pub struct Centre {
    /// Newest digest.
    pub summary: raw::Summary,
    /// When it came.
    pub heard: Instant,
    pub(super) sends: u32,
    seen: Map<String, (u64, u64)>,
}

/// Newest digest of each data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Summaries {
    pub(super) centres: Map<Arc<str>, Centre>,
}

impl Summaries {
    /// Takes a digest in if it is newer; returns whether it was.
    pub(super) fn merge(&mut self, now: Instant, new: &raw::Summary, sends: u32) -> bool {
        if new.data_centre.len() > NAME_BYTES || new.reporter.len() > NAME_BYTES {
            return false;
        }
        let number = (new.incarnation, new.seq);
        let Some(c) = self.centres.get_mut(new.data_centre.as_str()) else {
            let seen = Map::from_iter([(new.reporter.clone(), number)]);
            let centre = Centre { summary: new.clone(), heard: now, sends, seen };
            self.centres.insert(new.data_centre.as_str().into(), centre);
            return true;
        };
        // Two members may both hold themselves for the reporter while they disagree on who lives. Each reporter's
        // digests only rise, so a digest that still circulates can't come back after its reporter has died.
        if c.seen.get(&new.reporter).is_some_and(|&n| n >= number) {
            return false;
        }
        c.seen.insert(new.reporter.clone(), number);
        if new.reporter > c.summary.reporter && c.heard + RENEW > now {
            return false;
        }
        c.summary = new.clone();
        c.heard = now;
        c.sends = sends;
        true
    }

    /// Whether the data centre has been heard lately.
    pub(super) fn fresh(&self, now: Instant, data_centre: &str) -> bool {
        self.centres.get(data_centre).is_some_and(|c| c.heard + STALE > now)
    }
}
