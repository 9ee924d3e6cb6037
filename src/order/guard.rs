//! Lets an order out only while its sender certainly holds the pool's lease.

use std::time::Duration;

use super::Command;
use crate::{
    lease::{Fencing, Held},
    util::Instant,
};

/// Time limit of an order: its sender closes the connection when it has passed.
pub const ORDER_TIME: Duration = Duration::from_secs(3);
/// Time that a process may be paused between the check of the lease and the send.
const MARGIN: Duration = Duration::from_secs(2);

/// An order that may be sent now, with the fencing number to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Sealed {
    command: Command,
    fencing: Fencing,
}

impl Sealed {
    /// The order.
    pub fn command(&self) -> &Command {
        &self.command
    }

    /// The fencing number.
    pub fn fencing(&self) -> Fencing {
        self.fencing
    }
}

/// Rules for the engines of one pool.
#[derive(Clone, Copy, Debug)]
pub struct Guard {
    checks_fencing: bool,
}

impl Guard {
    /// Rules for engines that refuse an order with an old fencing number, or that ignore the number.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing }
    }

    /// Checks the lease at the last moment before the send; the order is refused when the lease may run out.
    ///
    /// Guards against a holder that was paused past its lease and acts as it wakes up. An engine that checks fencing
    /// numbers refuses the order once the new holder's first order has arrived. For the others the old holder must not
    /// send at all: an order is let out only if the lease outlasts the order's own time limit and a pause of
    /// [`MARGIN`], and a new holder waits as long again before its first order.
    ///
    /// What stays possible with engines that ignore the number: a process that is paused for longer than the margin
    /// between this check and the send, or an order that stays in a socket buffer or in the engine's own queue for
    /// longer than its time limit, takes effect late. The holder sees the engine's report differ and orders again.
    pub fn seal(&self, now: Instant, held: &mut Held, command: Command) -> Option<Sealed> {
        if !self.checks_fencing && now < held.acquired() + ORDER_TIME + MARGIN {
            return None;
        }
        let fencing = held.check(now, ORDER_TIME + MARGIN)?;
        Some(Sealed { command, fencing })
    }
}
