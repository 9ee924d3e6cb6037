//! Limits the bytes sent in any one second; the least important data is left out first.

use std::{collections::VecDeque, time::Duration};

use crate::util::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// Priority class of the data in a datagram, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Pings and acks, which show other members that this router is alive.
    Liveness,
    /// Membership changes: members that are suspect, dead, leaving or alive again.
    Members,
    /// Configuration versions, summaries of data centres and the comparison of tables, by which a router catches up on
    /// broadcasts that it missed.
    Config,
    /// States and loads of engines.
    Engines,
    /// Everything else.
    Other,
}

/// Number of priority classes.
const PRIORITY_COUNT: usize = 5;

/// Share of the budget, in percent, that is reserved for each class.
///
/// The share of pings and acks exceeds their need. If broadcasts could crowd them out, members would look dead, each
/// false suspicion would cause more broadcasts, and the fleet would never converge. A class may use the unreserved
/// rest, and the shares of less important classes, in addition to its own.
const RESERVED_PERCENT: [usize; PRIORITY_COUNT] = [40, 18, 15, 7, 0];

/// Liveness usage, in percent of the budget, above which a router starts no pings of its own; acks may use all of it.
const MAX_PING_PERCENT: usize = 25;

/// Bytes per priority class.
pub type Usage = [usize; PRIORITY_COUNT];

/// Rate limiter with a sliding window over the bytes sent.
///
/// A token bucket with a burst would allow two budgets within one second; the window limits every second.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_second: usize,
    window: VecDeque<(Instant, Usage)>,
    window_usage: Usage,
}

impl Budget {
    /// Creates a budget of `bytes_per_second` bytes per second.
    pub fn new(bytes_per_second: usize) -> Self {
        Self { bytes_per_second, window: VecDeque::new(), window_usage: Usage::default() }
    }

    /// Bytes that a class may still send now, in addition to `pending` bytes that are not recorded yet.
    pub fn available(&mut self, now: Instant, class: Priority, pending: &Usage) -> usize {
        self.expire(now);
        let used: Usage = std::array::from_fn(|c| self.window_usage[c] + pending[c]);
        let reserved = (0..class as usize)
            .map(|c| (self.bytes_per_second * RESERVED_PERCENT[c] / 100).saturating_sub(used[c]));
        let unavailable = used.iter().sum::<usize>() + reserved.sum::<usize>();
        self.bytes_per_second.saturating_sub(unavailable)
    }

    /// Whether this router may send a ping now. With a small budget it pings less often, rather than omitting acks,
    /// which would make it look dead to others.
    pub(super) fn may_ping(&mut self, now: Instant) -> bool {
        self.expire(now);
        self.window_usage[Priority::Liveness as usize] < self.bytes_per_second * MAX_PING_PERCENT / 100
    }

    /// Records bytes sent.
    pub fn spend(&mut self, now: Instant, usage: Usage) {
        for (window_usage, bytes) in self.window_usage.iter_mut().zip(usage) {
            *window_usage += bytes;
        }
        self.window.push_back((now, usage));
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, usage)) = self.window.front().copied() {
            if at + WINDOW > now {
                return;
            }
            for (window_usage, bytes) in self.window_usage.iter_mut().zip(usage) {
                *window_usage -= bytes;
            }
            self.window.pop_front();
        }
    }
}
