//! Recorded traces: the engines, accounts and routes of a service, and the requests with the times
//! at which they arrived. The types define the format of the files in `traces/`.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

use crate::engine::cache::{BLOCK_TOKENS, fnv_extend, fnv_start};
use crate::engine::model::{Job, Profile};

/// Client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: id::Account,
    /// Weight in the fair sharing between accounts.
    pub share: u32,
}

/// Route of the service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub name: id::Route,
    /// Tier of the route's requests; 1 is the highest.
    pub tier: u8,
    /// Whether requests may be run more than once.
    pub repeatable: bool,
    /// Time that callers wait for a response, in milliseconds.
    pub timeout_ms: u64,
}

impl Route {
    /// Returns the time that callers wait for a response.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Name as an upstream.
    pub name: id::Upstream,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// Speed and capacity.
    pub profile: Profile,
}

/// Period in which an engine is slow.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// Index of the engine in [`Trace::engines`].
    pub engine: usize,
    /// Start, in milliseconds since the start of the trace.
    pub from_ms: u64,
    /// End, in milliseconds since the start of the trace.
    pub to_ms: u64,
    /// Factor by which the duration of each step is multiplied.
    pub factor: f64,
}

/// Recorded request. In a file it is an array of numbers in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 8]", into = "[u64; 8]")]
pub struct Request {
    /// Arrival, in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// Index of the account in [`Trace::accounts`].
    pub account: usize,
    /// Index of the route in [`Trace::routes`].
    pub route: usize,
    /// Prompt length, in tokens.
    pub prompt: u64,
    /// Family of prompts that have a common prefix.
    pub family: u64,
    /// Length of the prefix shared with the family, in tokens.
    pub shared: u64,
    /// Maximum number of output tokens that the caller allows.
    pub max_tokens: u64,
    /// Number of output tokens that the response has.
    pub output: u64,
}

impl Request {
    /// Returns the time of arrival since the start of the trace.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }
}

impl From<[u64; 8]> for Request {
    fn from(row: [u64; 8]) -> Self {
        let [
            at_ms,
            account,
            route,
            prompt,
            family,
            shared,
            max_tokens,
            output,
        ] = row;
        Self {
            at_ms,
            account: account as usize,
            route: route as usize,
            prompt,
            family,
            shared,
            max_tokens,
            output,
        }
    }
}

impl From<Request> for [u64; 8] {
    fn from(request: Request) -> Self {
        [
            request.at_ms,
            request.account as u64,
            request.route as u64,
            request.prompt,
            request.family,
            request.shared,
            request.max_tokens,
            request.output,
        ]
    }
}

/// Recorded trace of one service in one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Name.
    pub name: String,
    /// Service.
    pub service: id::Service,
    /// Version that all engines run.
    pub version: id::Version,
    /// Region.
    pub region: id::Region,
    /// Instances. The first one is the scheduler and takes all requests, and the others are its
    /// backups.
    pub instances: Vec<id::Instance>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Periods in which engines are slow.
    pub slowdowns: Vec<Slowdown>,
    /// Requests, in order of arrival.
    pub requests: Vec<Request>,
}

impl Trace {
    /// Reads a trace from a JSON file. Fails if it has no instance or no engine, or if a request
    /// refers to an unknown account or route, or has an empty prompt.
    pub fn load(path: &Path) -> io::Result<Self> {
        let trace: Self = serde_json::from_str(&fs::read_to_string(path)?)?;
        if trace.instances.is_empty() || trace.engines.is_empty() {
            return Err(io::Error::other("the trace has no instance or no engine"));
        }
        let is_valid = |request: &Request| {
            request.account < trace.accounts.len()
                && request.route < trace.routes.len()
                && request.prompt > 0
        };
        match trace.requests.iter().position(|request| !is_valid(request)) {
            None => Ok(trace),
            Some(i) => Err(io::Error::other(format!(
                "request {i} has an unknown account or route, or an empty prompt"
            ))),
        }
    }

    /// Returns the time from the start of the trace to the last arrival.
    pub fn duration(&self) -> Duration {
        self.requests.last().map_or(Duration::ZERO, Request::at)
    }

    /// Returns the tiers of the routes without duplicates, highest first.
    pub fn tiers(&self) -> impl Iterator<Item = u8> {
        let mut tiers: Vec<u8> = self.routes.iter().map(|route| route.tier).collect();
        tiers.sort_unstable();
        tiers.dedup();
        tiers.into_iter()
    }

    /// Returns the tier of a request.
    pub fn tier(&self, number: usize) -> u8 {
        self.routes[self.requests[number].route].tier
    }

    /// Returns a request as a job for an engine.
    pub fn job(&self, number: usize) -> Job {
        let request = &self.requests[number];
        Job {
            id: Arc::from(number.to_string()),
            prompt: request.prompt,
            prefix: prefix(number as u64, request),
            output: request.output,
        }
    }

    /// Returns the factor by which the duration of an engine's steps is multiplied at `now`.
    pub fn slow_factor(&self, engine: usize, now: Duration) -> f64 {
        let now = now.as_millis() as u64;
        let is_active = |slowdown: &&Slowdown| {
            slowdown.engine == engine && slowdown.from_ms <= now && now < slowdown.to_ms
        };
        self.slowdowns
            .iter()
            .find(is_active)
            .map_or(1.0, |slowdown| slowdown.factor)
    }
}

/// Returns the fingerprints of a prompt's blocks. The blocks within the shared prefix have the same
/// fingerprints for all requests of the family.
fn prefix(number: u64, request: &Request) -> Arc<[u64]> {
    let hash = |kind: u8, owner: u64, block: u64| {
        let hash = fnv_extend(fnv_start(), &[kind]);
        fnv_extend(fnv_extend(hash, &owner.to_le_bytes()), &block.to_le_bytes())
    };
    let shared_blocks = request.shared / BLOCK_TOKENS;
    (0..request.prompt / BLOCK_TOKENS)
        .map(|block| {
            if block < shared_blocks {
                hash(0, request.family, block)
            } else {
                hash(1, number, block)
            }
        })
        .collect()
}
