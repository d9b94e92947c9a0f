//! An instance's settings, read from one file of JSON with comments and checked as a whole.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::id;

/// Another instance that this one may call on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The peer's name.
    pub name: id::Instance,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// Whether it is one of the voters that form the cluster at first start.
    #[serde(default)]
    pub voter: bool,
}

/// What is logged, and where to.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least severe level written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Level,
    /// The file written to; standard error where none is named.
    pub file: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Level::Info,
            file: None,
        }
    }
}

/// How severe a log line is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// What an operator must act on.
    Error,
    /// What an operator may have to act on.
    Warn,
    /// Changes of state.
    Info,
    /// What helps to find a fault.
    Debug,
    /// Everything.
    Trace,
}

/// The bounds that keep an instance from being exhausted by its callers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest request body accepted, in bytes.
    pub body_bytes: usize,
    /// The most callers' connections open at once.
    pub connections: usize,
    /// How long a caller may take to send a request's head and body, in milliseconds.
    pub receive_ms: u64,
    /// How long a connection may stay idle between requests, in milliseconds.
    pub idle_ms: u64,
    /// How long a request may take where the caller names no limit, in milliseconds.
    pub timeout_ms: u64,
    /// How long an answer of `GET /v1/addresses` may be kept, in milliseconds.
    pub addresses_ttl_ms: u64,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            connections: 4096,
            receive_ms: 10_000,
            idle_ms: 60_000,
            timeout_ms: 120_000,
            addresses_ttl_ms: 5_000,
            drain_ms: 120_000,
        }
    }
}

/// The settings of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's name, unlike that of every other instance.
    pub name: id::Instance,
    /// The data centre that it is in.
    pub data_centre: id::DataCentre,
    /// The region that it is in.
    pub region: id::Region,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// Where it listens for other instances.
    pub peers_listen: SocketAddr,
    /// The instances that it may call on; its own entry may stand among them.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The folder for durable state; an instance without one never votes.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// The file that holds the cluster's key.
    pub cluster_key_file: PathBuf,
    /// The file that holds the operators' token.
    pub operator_token_file: PathBuf,
    /// Where the weight store listens.
    #[serde(default)]
    pub weight_store: Option<SocketAddr>,
    /// What is logged, and where to.
    #[serde(default)]
    pub log: Log,
    /// The bounds on what callers may use.
    #[serde(default)]
    pub limits: Limits,
}
