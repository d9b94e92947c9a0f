//! A caller's request as the scheduler sees it, without its body.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::id;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

/// The identity of a request, unique across all instances and their restarts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The instance that holds the caller's connection.
    pub entry: id::Instance,
    /// The start time of the entry, in milliseconds since 1970, so that ids are not reused after a
    /// restart.
    pub incarnation: u64,
    /// The number of the request within that incarnation.
    pub number: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.entry, self.incarnation, self.number)
    }
}

/// An idempotency key: requests with the same key, client account and service are the same request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The client account that sent the key.
    pub account: id::Account,
    /// The text of the `Idempotency-Key` header.
    pub text: Arc<str>,
}

/// The expected cost of a request in tokens; a request to a plain service counts as one token each
/// way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// The number of prompt tokens.
    pub prompt: number::Tokens,
    /// The expected number of output tokens.
    pub output: number::Tokens,
}

/// A request waiting for a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The identity of the request.
    pub id: Id,
    /// The idempotency key, if the caller sent one.
    pub key: Option<Key>,
    /// The route on which the request came in.
    pub route: id::Route,
    /// The priority tier; lower numbers are served first.
    pub tier: number::Tier,
    /// The client account that is charged.
    pub account: id::Account,
    /// Whether the request may be run again when its outcome is unknown.
    pub repeatable: bool,
    /// The expected cost.
    pub cost: Cost,
    /// Fingerprints of successively longer prompt prefixes, one per cache block, shortest first.
    pub prefix: Arc<[u64]>,
    /// The time until the caller's deadline, counted from when the message was sent.
    pub time_left: Duration,
    /// The data centre of the entry; upstreams in it are preferred.
    pub data_centre: id::DataCentre,
}

/// The outcome of a request, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream responded, and the caller received the whole response, now or earlier.
    Served,
    /// No upstream started the request.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Served => "served",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        })
    }
}

/// A complete response that is small enough to be stored for a resent key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status from the upstream.
    pub status: u16,
    /// The content type of the body, if given.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// The measurements that an entry takes of a dispatched request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// The time from dispatch to the first byte of the response.
    pub first_token: Duration,
    /// The time from the first byte of the response to the last.
    pub decode: Duration,
    /// The number of prompt tokens, as counted by the upstream.
    pub prompt: number::Tokens,
    /// The number of prompt tokens that were in the upstream's prefix cache.
    pub cached: number::Tokens,
    /// The number of output tokens.
    pub output: number::Tokens,
}
