//! Declarations: an operator's complete routing configuration, under a version that only increases.
//!
//! The control state stores the operator's text, so that it is read back exactly as it was sent;
//! every instance decodes it with the same [dialect](crate::dialect). See `docs/PLATFORM.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use text::Text;

mod text;

use crate::finding::Findings;
use crate::id;

/// Rule for retrying a route's requests at another upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retry {
    /// Requests may run any number of times.
    Any,
    /// Requests may run at most once.
    Never,
    /// Streams may be resumed at another upstream after the last event that was relayed.
    Resume,
}

/// Service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: id::Service,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Handling of the requests for one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that requests are addressed to.
    pub host: Arc<str>,
    /// Prefix of the request paths.
    pub prefix: Arc<str>,
    /// Rule for retries.
    pub retry: Retry,
    /// Whether responses are streams of events.
    pub streams: bool,
    /// Maximum duration of a request.
    pub time_limit: Duration,
    /// Latency objective for a response, or for the first event of a stream.
    pub objective: Duration,
    /// Latency objective for the gap between two events of a stream.
    pub gap: Duration,
    /// Priority of the requests; 0 is served first.
    pub rank: u8,
    /// Services that take the requests.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted.
    pub anonymous: bool,
    /// Regions in which the requests may run; all if there are none.
    pub homes: Vec<Arc<str>>,
}

/// Declared properties of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Maximum number of connections to one upstream from all instances together.
    pub max_connections: u32,
    /// Number of tokens per stream event, for engines.
    pub stride: Option<u32>,
    /// Number of tokens that one engine holds for its requests, if stated.
    pub memory: Option<u64>,
    /// How upstreams start, if they tolerate fewer requests then.
    pub warm_up: Option<WarmUp>,
}

/// Start of an upstream, during which it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Requests per second that a cold upstream tolerates from all instances together.
    pub per_second: f64,
    /// Time for which an upstream is cold after it started.
    pub duration: Duration,
}

/// Rate limit of a client account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Unit in which use is counted.
    pub unit: Unit,
    /// Units per second, over all instances.
    pub per_second: f64,
    /// Units that may be used in a burst in addition to the rate.
    pub burst: f64,
}

/// Unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Prompt and output tokens.
    Tokens {
        /// Tokens charged for a request that states no token counts.
        plain: u64,
    },
}

/// Client account that is identified by API keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: id::Account,
    /// API keys of the account.
    pub keys: Vec<Arc<str>>,
    /// Priority of the account's requests, overriding that of the route.
    pub rank: Option<u8>,
    /// Rate limit of the account; unlimited if not set.
    pub quota: Option<Quota>,
    /// Regions in which the account's requests may run; all if there are none.
    pub homes: Vec<Arc<str>>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_time: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// Decoded declaration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declaration {
    /// Version assigned by the operator.
    pub version: u64,
    /// Routes of the declaration.
    pub routes: Vec<Arc<Route>>,
    /// Declared services.
    pub services: BTreeMap<id::Service, Service>,
    /// Client accounts; if there are none, requests need no API key.
    pub accounts: Vec<Arc<Account>>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

impl Declaration {
    /// Returns the errors that keep the declaration from being accepted.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::new();
        let mut prefixes = BTreeSet::new();
        for (i, route) in self.routes.iter().enumerate() {
            let place = |field: &str| format!("routes[{i}] ({}).{field}", route.name);
            if !prefixes.insert((&route.host, &route.prefix)) {
                findings.add(place("prefix"), "another route has this host and prefix");
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                findings.add(place("targets"), "the weights add up to nothing");
            }
            for target in &route.targets {
                if !self.services.contains_key(&target.service) {
                    let message = format!("there is no service {}", target.service);
                    findings.add(place("targets"), message);
                }
            }
            if route.time_limit.is_zero() {
                findings.add(place("time_limit"), "the time limit must not be zero");
            }
        }
        let mut keys: HashMap<&str, &id::Account> = HashMap::new();
        for (i, account) in self.accounts.iter().enumerate() {
            for key in &account.keys {
                let holder = keys.insert(key, &account.name);
                if let Some(holder) = holder.filter(|holder| **holder != account.name) {
                    let message = format!("{} and {holder} share a key", account.name);
                    findings.add(format!("accounts[{i}].keys"), message);
                }
            }
        }
        findings
    }
}

/// Declaration with lookup tables for routes and API keys.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Indexed declaration.
    pub declaration: Declaration,
    routes_by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    accounts_by_key: HashMap<Arc<str>, Arc<Account>>,
}

impl Table {
    /// Builds the lookup tables of a declaration.
    pub fn new(declaration: Declaration) -> Self {
        let mut routes_by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in &declaration.routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            let prefixes = routes_by_host.entry(host).or_default();
            prefixes.insert(route.prefix.clone(), route.clone());
        }
        let accounts = declaration.accounts.iter();
        let keys = accounts.flat_map(|account| {
            let keys = account.keys.iter();
            keys.map(|key| (key.clone(), account.clone()))
        });
        Self {
            accounts_by_key: keys.collect(),
            routes_by_host,
            declaration,
        }
    }

    /// Returns the route for a host and path: the one with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = match self.routes_by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self
                .routes_by_host
                .get(host.to_ascii_lowercase().as_str())?,
        };
        let prefix_ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        prefix_ends
            .filter_map(|end| prefixes.get(path.get(..end)?))
            .next()
    }

    /// Returns the regions in which some request to a host may run; none if a route of the host names
    /// no regions.
    pub fn homes_of_host(&self, host: &str) -> BTreeSet<Arc<str>> {
        let prefixes = self.routes_by_host.get(host.to_ascii_lowercase().as_str());
        let routes: Vec<_> = prefixes.into_iter().flat_map(HashMap::values).collect();
        if routes.iter().any(|route| route.homes.is_empty()) {
            return BTreeSet::new();
        }
        let homes = routes.iter().flat_map(|route| route.homes.iter().cloned());
        homes.collect()
    }

    /// Returns the client account of an API key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts_by_key.get(key)
    }

    /// Whether requests need an API key.
    pub fn needs_keys(&self) -> bool {
        !self.declaration.accounts.is_empty()
    }
}
