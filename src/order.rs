//! Orders to engines: each pool's stated models, adapters and role are brought about by one holder of the pool's lease.
//!
//! Level-triggered: the holder compares what the pool states with what each engine reports and sends the difference
//! until the report agrees. No order counts as done because it was sent. [`Planner`] decides, [`Guard`] lets an order
//! out only while the lease certainly holds.

mod guard;
mod planner;
pub mod pools;
mod run;

pub use guard::{Guard, ORDER_TIME, Sealed};
pub use planner::{Command, Intent, Planner, Report};
pub(crate) use run::Orders;
