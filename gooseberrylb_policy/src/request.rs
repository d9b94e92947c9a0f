//! A caller's request as the scheduler sees it: without its body.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::id;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

/// Names a request: unique over all instances and their restarts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The instance that holds the caller's connection.
    pub entry: id::Instance,
    /// The entry's start, as milliseconds since 1970, so that a restart reuses no id.
    pub incarnation: u64,
    /// The request's number in that incarnation.
    pub number: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.entry, self.incarnation, self.number)
    }
}

/// What a caller says makes two requests the same, within its client account and service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The client account.
    pub account: id::Account,
    /// The text of the `Idempotency-Key` header.
    pub text: Arc<str>,
}

/// What a request is expected to take, in tokens; a plain request counts as one token each way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// The tokens to be read before the first one is written.
    pub prompt: number::Tokens,
    /// The tokens expected to be written.
    pub output: number::Tokens,
}

/// A request that waits to be granted an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its name.
    pub id: Id,
    /// What makes it the same as another, where the caller said so.
    pub key: Option<Key>,
    /// The route that it came by.
    pub route: id::Route,
    /// Its importance.
    pub tier: number::Tier,
    /// The account that it is charged to.
    pub account: id::Account,
    /// Whether it may be run again after an uncertain end.
    pub repeatable: bool,
    /// What it is expected to take.
    pub cost: Cost,
    /// Fingerprints of ever longer beginnings of its prompt, shortest first, one a block.
    pub prefix: Arc<[u64]>,
    /// How long its caller goes on waiting, counted from when the message was sent.
    pub time_left: Duration,
    /// The data centre of its entry, to which nearer upstreams are preferred.
    pub data_centre: id::DataCentre,
}

/// What became of a request, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream answered, and the caller has or had the whole answer.
    Served,
    /// No upstream started it.
    NotRun,
    /// An upstream may have run it.
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

/// A whole answer that is small enough to be kept for a resent key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The upstream's status.
    pub status: u16,
    /// The type of the body.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// What an entry measured of a request that was dispatched.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// From dispatch to the first byte of the answer.
    pub first_token: Duration,
    /// From the first byte of the answer to the last.
    pub decode: Duration,
    /// The prompt's tokens, as the upstream counted them.
    pub prompt: number::Tokens,
    /// The prompt's tokens that the upstream had cached.
    pub cached: number::Tokens,
    /// The tokens written.
    pub output: number::Tokens,
}
