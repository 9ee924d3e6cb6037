//! Quarantine of request contents that crash the backend servers that run them.
//!
//! A content that was running when a server crashed is suspect, and each further crash that it was running in
//! counts. From the third crash on, every host refuses it; hosts exchange the counts in their heartbeats. An
//! innocent content that ran beside it is counted for one crash, or for two if two servers crash in a row, and is
//! answered when it is sent again.

use std::time::Duration;

use crate::{
    schema::fleet::Suspect,
    util::{Instant, Map},
};

/// Crashes from which a content is refused. With a limit of two, an innocent content would be refused after two
/// servers crashed for another reason.
const MIN_CRASHES_TO_REFUSE: u32 = 3;
/// How long a content is remembered after its last crash.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of contents remembered.
const MAX_CONTENTS: usize = 1_024;
/// Maximum number of contents reported in one heartbeat.
const MAX_REPORTED: usize = 8;
/// How long a crash is reported in heartbeats.
const REPORT_PERIOD: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    last: Instant,
}

/// Contents that were running when servers crashed.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    contents: Map<u64, Entry>,
}

impl Suspects {
    /// Records that a content was running when its server crashed; returns its number of crashes.
    pub fn record_crash(&mut self, now: Instant, fingerprint: u64) -> u32 {
        self.make_room(now);
        let entry = self.contents.entry(fingerprint).or_insert(Entry { crashes: 0, last: now });
        entry.crashes += 1;
        entry.last = now;
        entry.crashes
    }

    fn make_room(&mut self, now: Instant) {
        if self.contents.len() >= MAX_CONTENTS {
            self.contents.retain(|_, e| e.last + RETENTION > now && e.crashes > 1);
        }
    }

    /// Number of contents remembered.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Clears a content that has completed.
    pub fn clear(&mut self, fingerprint: u64) {
        self.contents.remove(&fingerprint);
    }

    /// Whether a content is refused.
    pub fn is_refused(&self, now: Instant, fingerprint: u64) -> bool {
        let entry = self.contents.get(&fingerprint);
        entry.is_some_and(|e| e.crashes >= MIN_CRASHES_TO_REFUSE && e.last + RETENTION > now)
    }

    /// Whether no content is suspect.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Recent crashes, to be reported to the other hosts.
    pub fn recent(&self, now: Instant) -> Vec<Suspect> {
        let crashed = self.contents.iter().filter(|(_, e)| e.last + REPORT_PERIOD > now && e.crashes > 1);
        let reported = crashed.map(|(f, e)| Suspect { fingerprint: *f, crashes: e.crashes });
        reported.take(MAX_REPORTED).collect()
    }

    /// Merges the crashes that another host reported.
    pub fn merge(&mut self, now: Instant, reported: &[Suspect]) {
        for suspect in reported {
            self.make_room(now);
            if self.contents.len() >= MAX_CONTENTS && !self.contents.contains_key(&suspect.fingerprint) {
                continue;
            }
            let entry = self.contents.entry(suspect.fingerprint).or_insert(Entry { crashes: 0, last: now });
            if suspect.crashes > entry.crashes {
                *entry = Entry { crashes: suspect.crashes, last: now };
            }
        }
    }
}
