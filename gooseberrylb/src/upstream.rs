//! Calls to upstreams: engines by their protocol, plain services as they are.
//!
//! What matters most here is to know whether any byte of a request may have left: only then may it
//! have been run. [`enum@Error`] keeps the two cases apart.

use std::io;

use thiserror::Error;

pub mod engine;
pub mod http;
pub mod order;
pub mod plain;
pub mod poll;

/// Why a call to an upstream failed.
#[derive(Debug, Error)]
pub enum Error {
    /// No byte of the request left this instance, so it was not run.
    #[error("the upstream could not be reached: {0}")]
    NotSent(io::Error),
    /// The request may have been run.
    #[error("the upstream gave no whole answer: {0}")]
    Lost(io::Error),
}

impl Error {
    /// Makes the error of a call that took too long after it was sent.
    pub fn timeout() -> Self {
        Self::Lost(io::ErrorKind::TimedOut.into())
    }
}
