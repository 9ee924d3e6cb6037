//! Stand-ins for the external systems, for tests and the demo: platform, model engines, plain services and callers.

pub mod caller;
pub mod engine;
pub mod gate;
pub mod outside;
pub mod platform;
pub mod service;
