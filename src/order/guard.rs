//! Lets an order be sent only while its sender certainly holds the pool's lease.

use std::time::Duration;

use super::EngineOrder;
use crate::{
    lease::{Fencing, Held},
    util::Instant,
};

/// Timeout of an order, after which its sender closes the connection.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);
/// Tolerated pause of the process between the check of the lease and the send.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// An order that may be sent now, with its fencing token.
#[derive(Clone, Debug, PartialEq)]
pub struct FencedOrder {
    order: EngineOrder,
    fencing: Fencing,
}

impl FencedOrder {
    /// The order.
    pub fn engine_order(&self) -> &EngineOrder {
        &self.order
    }

    /// The fencing token.
    pub fn fencing(&self) -> Fencing {
        self.fencing
    }
}

/// Checks the lease before an order is sent to an engine of one pool.
#[derive(Clone, Copy, Debug)]
pub struct LeaseGuard {
    checks_fencing: bool,
}

impl LeaseGuard {
    /// Creates the guard; `checks_fencing` says whether the engines refuse orders with an old fencing token.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing }
    }

    /// Checks the lease immediately before the send and attaches the fencing token; `None` if the lease might expire
    /// too early.
    ///
    /// This protects against a holder that is paused past the end of its lease and then continues. An engine that checks
    /// fencing tokens refuses its order once the new holder's first order has arrived. Other engines accept any
    /// order, so the old holder must not send one: the lease has to outlast the order's timeout plus a pause of
    /// `MAX_PAUSE`, and a new holder waits for the same time before its first order.
    ///
    /// With engines that ignore the fencing token an order can still take effect late: if the process is paused for
    /// longer than `MAX_PAUSE` between this check and the send, or if the order stays in a socket buffer or in
    /// the engine's queue for longer than its timeout. The holder then sees the report diverge and sends a new order.
    pub fn fence(&self, now: Instant, held: &mut Held, order: EngineOrder) -> Option<FencedOrder> {
        if !self.checks_fencing && now < held.acquired() + ORDER_TIMEOUT + MAX_PAUSE {
            return None;
        }
        let fencing = held.check(now, ORDER_TIMEOUT + MAX_PAUSE)?;
        Some(FencedOrder { order, fencing })
    }
}
