//! Bytes that may be sent in any one second, the least important left out first.

use std::{collections::VecDeque, time::Duration};

use crate::util::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// Importance of what a datagram carries, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Pings and acks, by which members see that this router lives.
    Liveness,
    /// Members that are suspect, dead, leaving or back.
    Members,
    /// Configuration versions and digests of data centres.
    Config,
    /// States and loads of engines.
    Engines,
    /// Comparison of tables and whatever else is carried.
    Other,
}

impl Priority {
    /// Part of the budget, in hundredths, that this and all more important classes may use together.
    ///
    /// What is kept for pings and acks exceeds what they need. Where news may crowd them out, members look dead,
    /// each false suspicion makes more news, and the fleet never settles.
    fn share(self) -> usize {
        match self {
            Priority::Liveness => 100,
            Priority::Members => 70,
            Priority::Config => 60,
            Priority::Engines => 55,
            Priority::Other => 45,
        }
    }
}

/// Sliding window over the bytes sent.
///
/// A bucket with a burst would let two budgets pass within one second; the window holds in every second.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: usize,
    sent: VecDeque<(Instant, usize)>,
    total: usize,
}

impl Budget {
    /// Budget of `rate` bytes a second.
    pub fn new(rate: usize) -> Self {
        Self { rate, sent: VecDeque::new(), total: 0 }
    }

    /// Bytes that a class may still add now.
    pub fn room(&mut self, now: Instant, class: Priority) -> usize {
        while let Some(&(at, bytes)) = self.sent.front() {
            if at + WINDOW > now {
                break;
            }
            self.total -= bytes;
            self.sent.pop_front();
        }
        (self.rate * class.share() / 100).saturating_sub(self.total)
    }

    /// Notes bytes sent.
    pub fn spend(&mut self, now: Instant, bytes: usize) {
        self.total += bytes;
        self.sent.push_back((now, bytes));
    }
}
