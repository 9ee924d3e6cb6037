//! How much work cold backend servers get.
//!
//! A server that has just started is cold for some seconds: it is slow, and crashes when it gets much more than a few requests
//! a second from all hosts together. The hosts can't count these together in time, so that each keeps to a limit that holds
//! for all whatever the others know:
//!
//! - While another server has room, a cold one gets nothing.
//! - Else it gets requests from a few hosts, the first by rendezvous hashing, each of them at a fixed rate. Hosts whose views
//!   differ may take themselves for one of these; the rate leaves room for several times as many.
//! - A host that has started feeds none until it knows the others and what it has forgotten counts no more.
//!
//! A server that could not be reached and is not told to have started since may be back without its entry: it counts as cold
//! for as long after its first answer.

use std::time::Duration;

use super::backends::Tag;
use crate::util::{Instant, Map};

/// Hosts that send to a cold server: with one, its loss would leave the server without work until all are warm.
pub const COLD_SENDERS: usize = 2;
/// Part of what a cold server bears that its feeders send together. A partition in which all hosts have restarted makes a set
/// of feeders on each side, and each set may send as much.
const PART: f64 = 0.45;
/// Least rate of one feeder, in requests a second: a server that is said to bear none is never cold for longer than this
/// leaves alone.
const LEAST_PER_SECOND: f64 = 0.01;
/// How long a look at who feeds a server holds.
const LOOK: Duration = Duration::from_millis(250);

/// What cold servers of a service bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// How long a server is cold after a start.
    pub duration: Duration,
    /// Requests a second that it bears from all hosts.
    pub per_second: f64,
}

impl ColdLimit {
    /// Time between two requests of one feeder.
    fn interval(self) -> Duration {
        let per_second = (self.per_second * PART / COLD_SENDERS as f64).max(LEAST_PER_SECOND);
        Duration::from_secs_f64(1.0 / per_second)
    }
}

/// What one host does about cold servers.
#[derive(Clone, Debug, Default)]
pub struct Warmup {
    /// When this host started; it does not know what it sent before.
    started: Instant,
    /// Servers that may have started without a word, and until when they count as cold.
    doubts: Map<Tag, Instant>,
    /// When this host may send to a cold server again.
    next: Map<Tag, Instant>,
    /// Whether this host feeds a server, and when that was looked at.
    feeds: Map<Tag, (Instant, bool)>,
}

impl Warmup {
    /// Sets when the host started.
    pub fn with_start(self, started: Instant) -> Self {
        Self { started, ..self }
    }

    /// Notes that a server can't be reached, or answers for the first time since.
    pub fn note_possible_restart(&mut self, now: Instant, tag: Tag, limit: ColdLimit) {
        self.doubts.insert(tag, now + limit.duration);
    }

    /// Whether a server may have started a short time ago, though nothing tells so.
    pub fn may_have_restarted(&self, now: Instant, tag: Tag) -> bool {
        !self.doubts.is_empty() && self.doubts.get(&tag).is_some_and(|until| *until > now)
    }

    /// Whether this host may send a request to a cold server now. `feeds` tells whether it is one of its feeders.
    pub fn may_send(
        &mut self,
        now: Instant,
        tag: Tag,
        limit: ColdLimit,
        feeds: impl FnOnce() -> bool,
    ) -> bool {
        if now < self.started + limit.duration || self.next.get(&tag).is_some_and(|next| *next > now) {
            return false;
        }
        let look = self.feeds.entry(tag).or_insert((Instant::ZERO, false));
        if look.0 + LOOK <= now || look.0.is_zero() {
            *look = (now, feeds());
        }
        look.1
    }

    /// Notes a request that is sent to a cold server.
    pub fn sent(&mut self, now: Instant, tag: Tag, limit: ColdLimit) {
        self.next.insert(tag, now + limit.interval());
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Instant) {
        self.doubts.retain(|_, until| *until > now);
        self.next.retain(|_, next| *next > now);
        self.feeds.retain(|_, (at, _)| *at + LOOK > now);
    }
}
