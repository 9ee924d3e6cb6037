//! Admission: which requests wait for an engine, in which order, and which are refused at once.
//!
//! A [`FairQueue`] is the queue of one pool or plain service. While an engine has room, requests pass it by. Once
//! all eligible engines stand at their bound they wait in it, and the lane says whose turn is next.

use std::{sync::Arc, time::Duration};

use crate::{error::Kind, util::Instant};

mod flow;
pub mod limit;
pub mod queue;
mod rate;

pub use limit::{ConcurrencyLimit, InFlight, Scope};
pub use queue::{EnqueueResult, FairQueue, Ticket};

/// Expected tokens of a request, prompt and answer.
pub type Work = u32;

/// Priority class of a request, most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Somebody waits at a counter: a translation, a booking.
    High,
    /// A chat.
    #[default]
    Normal,
    /// Nobody waits: dialogues made ahead, tagging.
    Low,
}

impl Priority {
    /// Every class, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];

    /// Value of the `x-priority` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::High => "high",
            Priority::Normal => "normal",
            Priority::Low => "low",
        }
    }

    /// The class of this name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.as_str() == name)
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// What admission needs to know of a request.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Workspace, the unit of fairness.
    pub workspace: Arc<str>,
    /// Priority class.
    pub priority: Priority,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Expected work.
    pub work: Work,
}

/// A request that is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub kind: Kind,
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// Bounds of a lane.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    pub(crate) total: usize,
    pub(crate) workspace: usize,
    pub(crate) burst: Work,
    pub(crate) trying: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { total: 256, workspace: 64, burst: 2048, trying: 4 }
    }
}

impl QueueLimits {
    /// Sets how many requests may wait in all.
    pub fn with_total(self, total: usize) -> Self {
        Self { total, ..self }
    }

    /// Sets how many requests of one workspace may wait.
    pub fn with_workspace(self, workspace: usize) -> Self {
        Self { workspace, ..self }
    }

    /// Sets how far, in work, a workspace may be ahead of the one furthest behind and still have its class
    /// honoured before it. 0 is plain fair queueing; `u32::MAX` is strict priority over all workspaces.
    pub fn with_burst(self, burst: Work) -> Self {
        Self { burst, ..self }
    }

    /// Sets how many turns may be out at once.
    pub fn with_max_turns(self, trying: usize) -> Self {
        Self { trying, ..self }
    }
}
