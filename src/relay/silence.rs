//! Decides what follows when a backend server has been silent for a while.
//!
//! A silent server still has the request and may go on at any moment, so nothing that is held is given up for its silence alone.
//! After a time that depends on what is awaited, another attempt begins beside the silent one, if something can take its
//! place; whichever answers first is passed on, and the other one is dropped. While nothing can, the host waits and looks again
//! from time to time.

use std::time::Duration;

use super::attempts::StopReason;
use crate::{error::ErrorKind, relay::origins::Discontinued, util::Instant};

/// Multiple of the latency objective after which an answer that has not begun is sought elsewhere.
const BEGINNING_OBJECTIVE_FACTOR: u32 = 2;
/// Lower and upper limit of that time: a shorter one would repeat requests whose answers are merely slow, and after a
/// longer one the caller has left.
const BEGINNING_LIMITS: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(1_300));
/// Time without an event after which the rest of a stream is sought elsewhere. Callers abandon a stream after two seconds
/// without an event; a preempted request continues within a second.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_200);
/// Time after which a host looks again whether something can take a silent server's place.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a timer above which the host stood still, and may not have read yet what has arrived meanwhile.
pub const MAX_TIMER_DELAY: Duration = Duration::from_millis(10);

/// What is awaited from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// The head of an answer or the first event of a stream, of a request with this latency objective.
    Beginning {
        /// The latency objective.
        objective: Duration,
    },
    /// The next event of a stream.
    NextEvent,
}

impl Awaited {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Awaited::Beginning { .. } => "beginning",
            Awaited::NextEvent => "next_event",
        }
    }

    /// How long a server may be silent before another attempt may begin.
    pub fn limit(self) -> Duration {
        let (min, max) = BEGINNING_LIMITS;
        match self {
            Awaited::Beginning { objective } => (objective * BEGINNING_OBJECTIVE_FACTOR).clamp(min, max),
            Awaited::NextEvent => MAX_EVENT_GAP,
        }
    }
}

/// Why nothing can take a silent server's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// No further attempt may begin.
    Stop(StopReason),
    /// No other server can get the request.
    NoServer(ErrorKind),
    /// The stream must not go on at another server.
    Discontinued(Discontinued),
}

impl Obstacle {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Obstacle::Stop(stop) => stop.as_str(),
            Obstacle::NoServer(kind) => kind.answer().code,
            Obstacle::Discontinued(reason) => reason.as_str(),
        }
    }

    /// Whether no other server could get the request, however this host and the silent server fare.
    pub fn leaves_no_choice(self) -> bool {
        matches!(self, Obstacle::NoServer(_) | Obstacle::Stop(StopReason::Attempts))
    }
}

/// What follows when the time to look has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server was not silent for long enough, or this host could not hear it.
    Wait,
    /// Another attempt begins beside the silent one.
    Replace,
    /// The silent attempt is all there is, and is waited for.
    Hold(Obstacle),
}

/// The silence of a server.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    limit: Duration,
    heard: Instant,
    check_at: Instant,
    /// Whether time in which this host stood still was left out; on a host whose timers are always late, that happens once.
    is_extended: bool,
}

impl Silence {
    /// Begins when the server was last heard of, or a request was sent to it.
    pub fn new(awaited: Awaited, heard: Instant) -> Self {
        let limit = awaited.limit();
        Self { limit, heard, check_at: heard + limit, is_extended: false }
    }

    /// When to decide next.
    pub fn check_at(&self) -> Instant {
        self.check_at
    }

    /// How long the server has been silent.
    pub fn lasted(&self, now: Instant) -> Duration {
        now.saturating_sub(self.heard)
    }

    /// Records that the server was heard of at this time.
    pub fn hear(&mut self, at: Instant) {
        if at > self.heard {
            *self = Self { heard: at, check_at: at + self.limit, is_extended: false, ..*self };
        }
    }

    /// Has the next decision come at once, for example since an attempt that was to replace the server failed.
    pub fn check_now(&mut self, now: Instant) {
        self.check_at = now;
    }

    /// Decides what follows. `replace` begins another attempt, or tells why none can begin.
    pub fn check(&mut self, now: Instant, replace: impl FnOnce() -> Result<(), Obstacle>) -> Verdict {
        let late = now.saturating_sub(self.check_at);
        if late > MAX_TIMER_DELAY && !self.is_extended {
            self.is_extended = true;
            self.heard += late;
            self.check_at = now + late.min(self.limit);
            return Verdict::Wait;
        }
        if now < self.check_at {
            return Verdict::Wait;
        }
        match replace() {
            Ok(()) => Verdict::Replace,
            Err(obstacle) => {
                self.check_at = now + RECHECK_INTERVAL;
                Verdict::Hold(obstacle)
            }
        }
    }
}
