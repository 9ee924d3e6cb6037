//! Admission control: queues requests until an engine has room, and refuses those that can't be served in time.
//!
//! Each pool and plain service has a [`FairQueue`]. Requests bypass it while an engine has room. Once all eligible
//! engines are at their load bound, requests wait in the queue, which decides whose turn is next.

use std::{sync::Arc, time::Duration};

use crate::{error::ErrorKind, util::Instant};

mod flow;
pub mod limit;
pub mod queue;
mod rate;

pub use limit::{ConcurrencyLimit, InFlight, Scope};
pub use queue::{EnqueueResult, FairQueue, Ticket};

/// Work of a request in expected tokens, prompt plus answer.
pub type Work = u32;

/// Priority class of a request, most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Interactive requests with a person waiting, such as translations and bookings at a counter.
    High,
    /// Chats.
    #[default]
    Normal,
    /// Background work, such as dialogues generated in advance and tagging.
    Low,
}

impl Priority {
    /// All classes, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];

    /// Value of the `x-priority` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::High => "high",
            Priority::Normal => "normal",
            Priority::Low => "low",
        }
    }

    /// Parses the value of the `x-priority` header.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.as_str() == name)
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// Properties of a request that admission depends on.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Workspace; queues are fair between workspaces.
    pub workspace: Arc<str>,
    /// Priority class.
    pub priority: Priority,
    /// Time by which the whole answer is due.
    pub deadline: Instant,
    /// Expected work.
    pub work: Work,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: ErrorKind,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Limits of a [`FairQueue`].
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    pub(crate) max_waiting: usize,
    pub(crate) max_per_workspace: usize,
    pub(crate) burst: Work,
    pub(crate) max_turns: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { max_waiting: 256, max_per_workspace: 64, burst: 2048, max_turns: 4 }
    }
}

impl QueueLimits {
    /// Sets the maximum number of waiting requests.
    pub fn with_max_waiting(self, max_waiting: usize) -> Self {
        Self { max_waiting, ..self }
    }

    /// Sets the maximum number of waiting requests per workspace.
    pub fn with_max_per_workspace(self, max_per_workspace: usize) -> Self {
        Self { max_per_workspace, ..self }
    }

    /// Sets the priority burst: how much more work than the least served workspace a workspace may have received
    /// while priority classes are still compared across workspaces. 0 is plain fair queueing; `u32::MAX` is strict
    /// priority.
    pub fn with_burst(self, burst: Work) -> Self {
        Self { burst, ..self }
    }

    /// Sets how many requests may have a turn at the same time.
    pub fn with_max_turns(self, max_turns: usize) -> Self {
        Self { max_turns, ..self }
    }
}
