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
    /// Configuration versions, digests of data centres and comparison of tables, by which a router that missed news
    /// gets it after all.
    Config,
    /// States and loads of engines.
    Engines,
    /// Whatever else is carried.
    Other,
}

/// Number of classes.
const CLASSES: usize = 5;

/// Part of the budget, in hundredths, that is kept for each class until it has used it.
///
/// What is kept for pings and acks exceeds what they need. Where news may crowd them out, members look dead, each
/// false suspicion makes more news, and the fleet never settles. What a class leaves unused over its part, and all
/// of the rest, goes to whoever asks.
const KEPT: [usize; CLASSES] = [40, 18, 15, 7, 0];

/// Part of the budget, in hundredths, up to which a router starts pings of its own; acks may go on to the whole.
const PINGS: usize = 25;

/// Bytes by class.
pub type Usage = [usize; CLASSES];

/// Sliding window over the bytes sent.
///
/// A bucket with a burst would let two budgets pass within one second; the window holds in every second.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: usize,
    sent: VecDeque<(Instant, Usage)>,
    spent: Usage,
}

impl Budget {
    /// Budget of `rate` bytes a second.
    pub fn new(rate: usize) -> Self {
        Self { rate, sent: VecDeque::new(), spent: Usage::default() }
    }

    /// Bytes that a class may still add now, on top of `pending` ones that are not yet spent.
    pub fn available(&mut self, now: Instant, class: Priority, pending: &Usage) -> usize {
        self.slide(now);
        let used: Usage = std::array::from_fn(|c| self.spent[c] + pending[c]);
        let kept = (0..class as usize).map(|c| (self.rate * KEPT[c] / 100).saturating_sub(used[c]));
        let taken = used.iter().sum::<usize>() + kept.sum::<usize>();
        self.rate.saturating_sub(taken)
    }

    /// Whether pings may go on at their usual rate. With a small budget the time between pings grows instead of
    /// acks going missing, which others would take for death.
    pub(super) fn may_ping(&mut self, now: Instant) -> bool {
        self.slide(now);
        self.spent[Priority::Liveness as usize] < self.rate * PINGS / 100
    }

    /// Notes bytes sent.
    pub fn spend(&mut self, now: Instant, usage: Usage) {
        for (spent, bytes) in self.spent.iter_mut().zip(usage) {
            *spent += bytes;
        }
        self.sent.push_back((now, usage));
    }

    fn slide(&mut self, now: Instant) {
        while let Some((at, usage)) = self.sent.front().copied() {
            if at + WINDOW > now {
                return;
            }
            for (spent, bytes) in self.spent.iter_mut().zip(usage) {
                *spent -= bytes;
            }
            self.sent.pop_front();
        }
    }
}
