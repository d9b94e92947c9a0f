//! Stand-ins for what surrounds the system: engines, plain services and the weight store. Each logs
//! what it truly did, so that a test judges by that and not by what callers were told.

pub mod engine;
pub mod execution;
pub mod plain;
pub mod store;
