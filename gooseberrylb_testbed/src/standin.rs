//! Stand-ins for the external services of the system: engines, plain services and the weight store.
//! Engines and plain services log what they actually ran, so that tests can compare it with what
//! callers were told.

pub mod engine;
pub mod execution;
pub mod plain;
pub mod store;
