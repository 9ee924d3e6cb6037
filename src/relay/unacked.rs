//! Decides whether the path to a backend server is down while bytes written to it are not acknowledged.
//!
//! A server that does not read closes its window: the bytes behind it wait here, and its machine answers each probe of the
//! window. The path counts as down only if bytes or probes were sent and nothing was acknowledged for a while.

use std::time::Duration;

use tcp_state::SendState;

use super::silence::MAX_TIMER_DELAY;
use crate::util::Instant;

/// Time without an acknowledgement of bytes in flight after which the path counts as down, so that a server that has lost
/// power is noticed within the objective of most requests. A lost packet is retransmitted and acknowledged within 250 ms.
pub const UNACKED_TIMEOUT: Duration = Duration::from_millis(350);
/// Time between two looks at a socket whose bytes are not acknowledged.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of unanswered probes of a closed window from which on an answer is overdue. Linux answers them at most every 500 ms
/// (`tcp_invalid_ratelimit`) and sends each after twice the time of the one before it, at first 200 ms, so that one of
/// them may go unanswered.
pub const MIN_UNANSWERED_PROBES: u32 = 2;

/// What a look at a socket shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Everything written is acknowledged.
    Acknowledged,
    /// The path is not known to be down.
    Wait,
    /// The path is down.
    Down {
        /// How long nothing was acknowledged.
        lasted: Duration,
    },
}

/// Bytes written to a socket that may not be acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Unacked {
    /// When the path was last known to be up, or the first of the bytes was written.
    up_at: Instant,
    /// Number of bytes of the connection known to be acknowledged.
    acked: u64,
    look_at: Instant,
    /// Whether time in which this host stood still was left out; on a host whose timers are always late, that happens once.
    is_extended: bool,
}

impl Unacked {
    /// Begins when bytes are written after all `acked` bytes before them were acknowledged.
    pub fn new(now: Instant, acked: u64) -> Self {
        Self { up_at: now, acked, look_at: now + LOOK_INTERVAL, is_extended: false }
    }

    /// When to look at the socket next.
    pub fn look_at(&self) -> Instant {
        self.look_at
    }

    /// How long the path has not been known to be up.
    pub fn lasted(&self, now: Instant) -> Duration {
        now.saturating_sub(self.up_at)
    }

    /// Records that bytes arrived from the server. The next look is not put off, as it may find everything acknowledged.
    pub fn hear(&mut self, now: Instant) {
        (self.up_at, self.is_extended) = (now, false);
    }

    /// Decides what a look shows, `written` being the number of bytes written in all.
    pub fn look(&mut self, now: Instant, state: &SendState, written: u64) -> Verdict {
        if state.unacked_bytes == 0 {
            return Verdict::Acknowledged;
        }
        let acked = written.saturating_sub(state.unacked_bytes);
        if acked > self.acked || !awaits_acknowledgement(state) || is_answered(state) {
            self.acked = acked.max(self.acked);
            self.hear(now);
            self.look_at = now + LOOK_INTERVAL;
            return Verdict::Wait;
        }
        let late = now.saturating_sub(self.look_at.max(self.up_at));
        if late > MAX_TIMER_DELAY && !self.is_extended {
            self.is_extended = true;
            self.up_at += late;
            self.look_at = now + LOOK_INTERVAL;
            return Verdict::Wait;
        }
        let lasted = self.lasted(now);
        if lasted >= UNACKED_TIMEOUT {
            return Verdict::Down { lasted };
        }
        self.look_at = (now + LOOK_INTERVAL).min(self.up_at + UNACKED_TIMEOUT);
        Verdict::Wait
    }
}

/// Whether something was sent that an acknowledgement has to follow.
fn awaits_acknowledgement(state: &SendState) -> bool {
    state.unacked_packets > 0 || state.unanswered_probes >= MIN_UNANSWERED_PROBES
}

/// Whether the peer has answered what was sent last without acknowledging it, as one whose buffer is full does. Platforms
/// that do not report acknowledgements report none at all.
fn is_answered(state: &SendState) -> bool {
    let is_reported = !state.since_ack_received.is_zero();
    is_reported && state.unanswered_probes == 0 && state.since_ack_received <= state.since_data_sent
}
