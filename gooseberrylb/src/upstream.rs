//! Calls to upstreams: engines in their own protocol, plain services with the caller's request
//! unchanged.
//!
//! An upstream may have run a request only if at least one byte of it may have been sent, so
//! [`enum@Error`] distinguishes failures before and after the first byte.

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
    /// No byte of the request was sent, so it was not run.
    #[error("the upstream could not be reached: {0}")]
    NotSent(io::Error),
    /// Some of the request may have been sent, so it may have been run.
    #[error("the upstream gave no whole answer: {0}")]
    Lost(io::Error),
}

impl Error {
    /// Returns the error of a call that timed out after it was sent.
    pub fn timeout() -> Self {
        Self::Lost(io::ErrorKind::TimedOut.into())
    }
}
