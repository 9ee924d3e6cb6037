//! Contents that crash the backend servers that run them.
//!
//! A content that was running at a crash is suspect; each further crash with it running counts. From the third crash on
//! it is refused, at every host: hosts tell each other in their beats. An innocent that ran beside it comes to one
//! crash, or to two where two servers crash in a row, and is answered when it is sent again.

use std::time::Duration;

use crate::{
    schema::fleet::Suspect,
    util::{Instant, Map},
};

/// Crashes from which a content is refused. Two servers that crash for another reason would convict an innocent.
const REFUSED_FROM: u32 = 3;
/// How long a content is remembered after its last crash.
const KEEP: Duration = Duration::from_secs(60);
/// Contents remembered.
const MOST: usize = 1_024;
/// Contents told in one beat.
const MOST_TOLD: usize = 8;
/// How long a crash is told.
const TELL: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    last: Instant,
}

/// Suspect contents.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    contents: Map<u64, Entry>,
}

impl Suspects {
    /// Notes that a content was running when its server crashed.
    pub fn record_crash(&mut self, now: Instant, fingerprint: u64) -> u32 {
        self.make_room(now);
        let entry = self.contents.entry(fingerprint).or_insert(Entry { crashes: 0, last: now });
        entry.crashes += 1;
        entry.last = now;
        entry.crashes
    }

    fn make_room(&mut self, now: Instant) {
        if self.contents.len() >= MOST {
            self.contents.retain(|_, e| e.last + KEEP > now && e.crashes > 1);
        }
    }

    /// Contents that are remembered.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Notes that a content has completed, which clears it.
    pub fn complete(&mut self, fingerprint: u64) {
        self.contents.remove(&fingerprint);
    }

    /// Whether a content is refused.
    pub fn refuses(&self, now: Instant, fingerprint: u64) -> bool {
        let entry = self.contents.get(&fingerprint);
        entry.is_some_and(|e| e.crashes >= REFUSED_FROM && e.last + KEEP > now)
    }

    /// Whether any content is suspect.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Recent crashes, for the other hosts.
    pub fn recent(&self, now: Instant) -> Vec<Suspect> {
        let recent = self.contents.iter().filter(|(_, e)| e.last + TELL > now && e.crashes > 1);
        let told = recent.map(|(f, e)| Suspect { fingerprint: *f, crashes: e.crashes });
        told.take(MOST_TOLD).collect()
    }

    /// Takes in what another host told.
    pub fn merge(&mut self, now: Instant, told: &[Suspect]) {
        for suspect in told {
            self.make_room(now);
            if self.contents.len() >= MOST && !self.contents.contains_key(&suspect.fingerprint) {
                continue;
            }
            let entry = self.contents.entry(suspect.fingerprint).or_insert(Entry { crashes: 0, last: now });
            if suspect.crashes > entry.crashes {
                *entry = Entry { crashes: suspect.crashes, last: now };
            }
        }
    }
}
