//! Counts how often the background tasks of a host wake up.
//!
//! A task that wakes itself takes all processor time of a small host, and everything else that the host does is late. Its
//! rounds tell it from a host that has much to do.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::util::{Instant, lock};

/// Rounds per second from which a task is reported. Each is caused by a timer, a message or a change, of which a host has
/// some hundred per second.
const MAX_ROUNDS_PER_SECOND: f64 = 2_000.0;
/// Minimum time over which rounds are counted.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// A background task that waits for something to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Sends heartbeats.
    Heartbeats,
    /// Sends messages about streams and crashes, and makes decisions on crashes.
    Messages,
    /// Sends reports of servers close to the load bound.
    HotReports,
    /// Fetches state from other hosts.
    Fetches,
    /// Runs the housekeeping.
    Maintenance,
}

impl Task {
    /// Every task.
    pub const ALL: [Task; 5] =
        [Task::Heartbeats, Task::Messages, Task::HotReports, Task::Fetches, Task::Maintenance];

    /// Label in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Task::Heartbeats => "heartbeats",
            Task::Messages => "messages",
            Task::HotReports => "hot_reports",
            Task::Fetches => "fetches",
            Task::Maintenance => "maintenance",
        }
    }
}

/// Rounds of a task within an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counted {
    /// The task.
    pub task: Task,
    /// Its rounds since they were last counted.
    pub rounds: u64,
    /// Whether there are more of them than a host can have reasons for.
    pub is_busy: bool,
}

/// The rounds of all tasks.
#[derive(Debug, Default)]
pub struct Rounds {
    counts: [AtomicU64; Task::ALL.len()],
    /// When and up to which rounds they were last counted.
    counted: Mutex<(Instant, [u64; Task::ALL.len()])>,
}

impl Rounds {
    /// Records that a task has woken up.
    pub fn record(&self, task: Task) {
        self.counts[task as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Rounds of a task since the start.
    pub fn of(&self, task: Task) -> u64 {
        self.counts[task as usize].load(Ordering::Relaxed)
    }

    /// The rounds of each task since they were last counted; `None` if that was a moment ago.
    pub fn count(&self, now: Instant) -> Option<[Counted; Task::ALL.len()]> {
        let mut counted = lock(&self.counted);
        let (at, before) = &mut *counted;
        let interval = now.saturating_sub(*at);
        if interval < MIN_INTERVAL {
            return None;
        }
        *at = now;
        Some(Task::ALL.map(|task| {
            let total = self.of(task);
            let rounds = total - std::mem::replace(&mut before[task as usize], total);
            let is_busy = rounds as f64 > MAX_ROUNDS_PER_SECOND * interval.as_secs_f64();
            Counted { task, rounds, is_busy }
        }))
    }
}
