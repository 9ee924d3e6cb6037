//! Limits how many requests cold backend servers get.
//!
//! A server that has just started is cold for some seconds: it is slow, and it crashes if all hosts together send
//! it much more than a few requests a second. Hosts cannot add up their requests quickly enough, so that each
//! follows rules that keep the sum within the limit regardless of what the others know:
//!
//! - While another server has a free slot, a cold one gets no requests.
//! - Otherwise it gets requests from a few hosts, the first by rendezvous hashing, each at a fixed rate. Hosts
//!   whose views of the fleet differ may count themselves among the first; the rate leaves room for several times
//!   as many.
//! - A host that has started sends none until it knows the other hosts and the requests that it sent before its
//!   restart no longer matter.
//!
//! A server that was unreachable may have restarted before its new entry arrives. Unless it is known to have
//! started since, it counts as cold for the same period after its first answer.

use std::time::Duration;

use super::backends::Tag;
use crate::util::{Instant, Map};

/// Hosts that send requests to a cold server. With only one, losing it would leave the server without requests
/// until all servers are warm.
pub const COLD_SENDERS: usize = 2;
/// Fraction of a cold server's limit that its senders use together. In a partition in which all hosts have
/// restarted, each side has its own set of senders, and each set may send as much.
const USED_FRACTION: f64 = 0.45;
/// Minimum rate of one sender, in requests a second. It keeps the interval finite for servers configured with a
/// limit of zero; the interval is then longer than any server is cold.
const MIN_RATE_PER_SECOND: f64 = 0.01;
/// How long the result of the check whether this host is a sender is cached.
const SENDER_CHECK_TTL: Duration = Duration::from_millis(250);

/// Limit on the requests to cold servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// How long a server is cold after a start.
    pub duration: Duration,
    /// Requests a second that it can take from all hosts together.
    pub per_second: f64,
}

impl ColdLimit {
    /// Minimum time between two requests of one sender.
    fn interval(self) -> Duration {
        let per_second = (self.per_second * USED_FRACTION / COLD_SENDERS as f64).max(MIN_RATE_PER_SECOND);
        Duration::from_secs_f64(1.0 / per_second)
    }
}

/// This host's requests to cold servers.
#[derive(Clone, Debug, Default)]
pub struct Warmup {
    /// When this host started; what it sent before is unknown.
    started: Instant,
    /// Servers that may have restarted unnoticed, and until when they count as cold.
    possible_restarts: Map<Tag, Instant>,
    /// Earliest time of this host's next request to a cold server.
    next_send: Map<Tag, Instant>,
    /// Whether this host is a sender for a server, and when that was checked.
    sender_checks: Map<Tag, (Instant, bool)>,
}

impl Warmup {
    /// Sets when the host started.
    pub fn with_start(self, started: Instant) -> Self {
        Self { started, ..self }
    }

    /// Notes that a server is unreachable, or answers again after it was.
    pub fn note_possible_restart(&mut self, now: Instant, tag: Tag, limit: ColdLimit) {
        self.possible_restarts.insert(tag, now + limit.duration);
    }

    /// Whether a server may have restarted recently without its entry having arrived.
    pub fn may_have_restarted(&self, now: Instant, tag: Tag) -> bool {
        !self.possible_restarts.is_empty()
            && self.possible_restarts.get(&tag).is_some_and(|until| *until > now)
    }

    /// Whether this host may send a request to a cold server now. `is_sender` decides whether it is one of the
    /// server's senders.
    pub fn may_send(
        &mut self,
        now: Instant,
        tag: Tag,
        limit: ColdLimit,
        is_sender: impl FnOnce() -> bool,
    ) -> bool {
        if now < self.started + limit.duration || self.next_send.get(&tag).is_some_and(|next| *next > now) {
            return false;
        }
        let check = self.sender_checks.entry(tag).or_insert((Instant::ZERO, false));
        if check.0 + SENDER_CHECK_TTL <= now || check.0.is_zero() {
            *check = (now, is_sender());
        }
        check.1
    }

    /// Records a request that is sent to a cold server.
    pub fn record_send(&mut self, now: Instant, tag: Tag, limit: ColdLimit) {
        self.next_send.insert(tag, now + limit.interval());
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Instant) {
        self.possible_restarts.retain(|_, until| *until > now);
        self.next_send.retain(|_, next| *next > now);
        self.sender_checks.retain(|_, (at, _)| *at + SENDER_CHECK_TTL > now);
    }
}
