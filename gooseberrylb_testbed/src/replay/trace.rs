//! Recorded traces: which requests came when, to which engines.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

use crate::engine::cache::{BLOCK_TOKENS, fnv_extend, fnv_start};
use crate::engine::model::{Job, Profile};

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: id::Account,
    /// Its share.
    pub share: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: id::Route,
    /// The importance of its requests; 1 is the highest.
    pub tier: u8,
    /// Whether its requests may run twice.
    pub repeatable: bool,
    /// How long its callers wait, in milliseconds.
    pub timeout_ms: u64,
}

impl Route {
    /// How long its callers wait.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// An engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Its name.
    pub name: id::Upstream,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// What it can do.
    pub profile: Profile,
}

/// A time in which an engine is slow.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// The engine's position.
    pub engine: usize,
    /// When it begins, in milliseconds.
    pub from_ms: u64,
    /// When it ends, in milliseconds.
    pub to_ms: u64,
    /// How many times as long a step takes.
    pub factor: f64,
}

/// One request. In a file it is a row of numbers in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 8]", into = "[u64; 8]")]
pub struct Entry {
    /// When it came, in milliseconds.
    pub at_ms: u64,
    /// The position of its account.
    pub account: usize,
    /// The position of its route.
    pub route: usize,
    /// The tokens of its prompt.
    pub prompt: u64,
    /// The family of prompts that it shares a beginning with.
    pub family: u64,
    /// The tokens of that beginning.
    pub shared: u64,
    /// The tokens that the caller allows for the answer.
    pub max_tokens: u64,
    /// The tokens that the answer has.
    pub output: u64,
}

impl Entry {
    /// When it came.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }
}

impl From<[u64; 8]> for Entry {
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

impl From<Entry> for [u64; 8] {
    fn from(entry: Entry) -> Self {
        [
            entry.at_ms,
            entry.account as u64,
            entry.route as u64,
            entry.prompt,
            entry.family,
            entry.shared,
            entry.max_tokens,
            entry.output,
        ]
    }
}

/// A recorded trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Its name.
    pub name: String,
    /// The service.
    pub service: id::Service,
    /// The version that all engines run.
    pub version: id::Version,
    /// The region.
    pub region: id::Region,
    /// The instances; the first one schedules and takes all requests, the others hold its claims.
    pub instances: Vec<id::Instance>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The times in which engines are slow.
    pub slowdowns: Vec<Slowdown>,
    /// The requests, in the order in which they came.
    pub requests: Vec<Entry>,
}

impl Trace {
    /// Reads a trace from a file.
    pub fn load(path: &Path) -> io::Result<Self> {
        let trace: Self = serde_json::from_str(&fs::read_to_string(path)?)?;
        if trace.instances.is_empty() || trace.engines.is_empty() {
            return Err(io::Error::other("a trace needs an instance and an engine"));
        }
        let known = |entry: &Entry| {
            entry.account < trace.accounts.len()
                && entry.route < trace.routes.len()
                && entry.prompt > 0
        };
        match trace.requests.iter().position(|entry| !known(entry)) {
            None => Ok(trace),
            Some(i) => Err(io::Error::other(format!(
                "request {i} is not of this trace"
            ))),
        }
    }

    /// How long requests came.
    pub fn duration(&self) -> Duration {
        self.requests.last().map_or(Duration::ZERO, Entry::at)
    }

    /// The tiers, highest first.
    pub fn tiers(&self) -> impl Iterator<Item = u8> {
        let mut tiers: Vec<u8> = self.routes.iter().map(|route| route.tier).collect();
        tiers.sort_unstable();
        tiers.dedup();
        tiers.into_iter()
    }

    /// The tier of a request.
    pub fn tier(&self, number: usize) -> u8 {
        self.routes[self.requests[number].route].tier
    }

    /// A request as an engine sees it.
    pub fn job(&self, number: usize) -> Job {
        let entry = &self.requests[number];
        Job {
            id: Arc::from(number.to_string()),
            prompt: entry.prompt,
            prefix: prefix(number as u64, entry),
            output: entry.output,
        }
    }

    /// How many times as long the steps of an engine take at `now`.
    pub fn slow_factor(&self, engine: usize, now: Duration) -> f64 {
        let now = now.as_millis() as u64;
        let active =
            |slow: &&Slowdown| slow.engine == engine && slow.from_ms <= now && now < slow.to_ms;
        self.slowdowns
            .iter()
            .find(active)
            .map_or(1.0, |slow| slow.factor)
    }
}

/// The fingerprints of a prompt's beginnings, of which those of its family's part are shared.
fn prefix(number: u64, entry: &Entry) -> Arc<[u64]> {
    let hash = |kind: u8, owner: u64, block: u64| {
        let hash = fnv_extend(fnv_start(), &[kind]);
        fnv_extend(fnv_extend(hash, &owner.to_le_bytes()), &block.to_le_bytes())
    };
    let shared = entry.shared / BLOCK_TOKENS;
    (0..entry.prompt / BLOCK_TOKENS)
        .map(|block| {
            if block < shared {
                hash(0, entry.family, block)
            } else {
                hash(1, number, block)
            }
        })
        .collect()
}
