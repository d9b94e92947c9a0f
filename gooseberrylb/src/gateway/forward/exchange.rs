//! What comes of a request: its response, an error response of the gateway, or a failed attempt.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gooseberrylb_policy::dispatch::Reason;

use crate::gateway::http::{self, Connection, Response};
use crate::gateway::memory;
use crate::gateway::place::Grant;

/// `Retry-After` of requests refused because there is no memory for their bodies.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error response that the gateway generates itself.
#[derive(Debug, Clone)]
pub struct Fault {
    /// HTTP status code.
    pub status: u16,
    /// Message in the body.
    pub message: &'static str,
    /// Value of the `Retry-After` field. It is set only if the request did not run and will not.
    pub retry_after: Option<Duration>,
}

impl Fault {
    /// Creates an error response without a `Retry-After` field.
    pub fn new(status: u16, message: &'static str) -> Self {
        Self {
            status,
            message,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that did not run and will not.
    pub fn with_retry_after(status: u16, message: &'static str, retry_after: Duration) -> Self {
        Self {
            status,
            message,
            retry_after: Some(retry_after),
        }
    }

    /// Creates the response to a request that was not placed.
    pub fn refusal(reason: Reason, pause: Duration) -> Self {
        match reason {
            Reason::Quota => Fault::with_retry_after(429, "the account's quota is used up", pause),
            Reason::Busy => Fault::with_retry_after(503, "the upstreams are busy", pause),
            Reason::NoUpstream => {
                Fault::with_retry_after(503, "the service has no upstream", pause)
            }
            Reason::Prompt => {
                Fault::with_retry_after(503, "a part of the prompt crashes upstreams", pause)
            }
            Reason::Crashing => {
                Fault::with_retry_after(503, "the request crashes upstreams", pause)
            }
        }
    }
}

/// On whose responsibility a request runs.
pub enum Lease {
    /// That of this entry, at an upstream.
    Grant(Grant),
    /// That of another entry, at its address.
    Delegate(SocketAddr),
}

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Grant(grant) => grant.upstream.fmt(f),
            Self::Delegate(address) => write!(f, "entry {address}"),
        }
    }
}

/// Exchange with an upstream, or with another entry, that has sent the head of its response, but not
/// yet all of its body.
pub struct Exchange {
    /// On whose responsibility the request runs.
    pub lease: Lease,
    /// Connection to the upstream or entry.
    pub connection: Connection,
    /// Head of the response.
    pub response: Response,
    /// Time at which the request was sent.
    pub sent_at: Instant,
}

/// What to send to the caller.
pub enum Delivery {
    /// Response whose body is relayed while it arrives.
    Streamed(Box<Exchange>),
    /// Response that was read in full.
    Buffered(Response, memory::Body),
    /// Error response of the gateway.
    Fault(Fault),
}

/// Reason why an attempt failed.
pub enum Failure {
    /// The upstream could not be reached and received nothing.
    ConnectFailed,
    /// The upstream was withdrawn before the request was sent, and received nothing.
    Withdrawn,
    /// The upstream states that the request did not run.
    NotRun,
    /// The request may have run. The text is the message for the caller.
    Unknown(&'static str),
    /// The connection ended before a response, and the request may have run. The text is the message
    /// for the caller.
    Lost(&'static str),
    /// The upstream has been silent for longer than expected, and the request may have run.
    Silent,
    /// The deadline of the request has passed.
    TimedOut,
}

impl From<http::Error> for Fault {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::HeadTooLarge(_) => Fault::new(431, "the head is too large"),
            http::Error::BodyTooLarge(_) => Fault::new(413, "the body is too large"),
            http::Error::NoRoom(_) => {
                Fault::with_retry_after(503, "requests take too much memory", MEMORY_RETRY_AFTER)
            }
            http::Error::Malformed(message) => Fault::new(400, message),
            http::Error::Io(_) | http::Error::Ended => Fault::new(400, "the request broke off"),
        }
    }
}
