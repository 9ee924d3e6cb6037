//! Orders to engines: the holder of a pool's lease brings its engines to the pool's desired models, adapters and role.
//!
//! Reconciliation is level-triggered: the holder compares the desired state with the state that each engine reports and
//! sends orders until they agree. An order is complete only when the engine's report shows it, not when it was sent.
//! [`Planner`] chooses the orders; [`LeaseGuard`] lets an order be sent only while the lease is certainly held.

mod guard;
mod planner;
pub mod pools;
mod run;

pub use guard::{FencedOrder, LeaseGuard, ORDER_TIMEOUT};
pub use planner::{DesiredState, EngineOrder, Planner, ReportedState};
pub(crate) use run::OrderTask;
