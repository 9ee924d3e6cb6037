//! Small stand-ins for the outside systems: the platform's object API, model engines and plain services.

pub mod caller;
pub mod engine;
pub mod gate;
pub mod outside;
pub mod platform;
pub mod service;
