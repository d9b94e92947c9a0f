//! The gooseberrylb daemon as a library, so that the testbed runs instances with the same code.
//!
//! An instance has a thread for control state ([`control`]), a thread that schedules requests
//! ([`traffic`]) and a pool of threads for connections ([`entry`], [`operators`]). They communicate
//! by messages and by one published snapshot of the configuration ([`published`]). See
//! `docs/DESIGN.md`.

pub mod answer;
pub mod callers;
pub mod cli;
pub mod connection;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod gateway;
mod guard;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod published;
pub mod signal;
pub mod tally;
pub mod traffic;
pub mod upstream;

pub use daemon::run;
