//! Declarations: the whole of what an operator wants routed, under a version that only grows.
//!
//! The control state keeps the operator's text, so that it is read back as it was sent; every
//! instance decodes it by the same [dialect](crate::dialect). See `docs/PLATFORM.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use text::Text;

mod text;

use crate::finding::Findings;
use crate::id;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retry {
    /// A request may run any number of times.
    Any,
    /// A request may run once at most.
    Never,
    /// A stream may be taken up by another upstream behind the last event that was passed on.
    Resume,
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its weight against the route's other targets.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// What their paths begin with.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub retry: Retry,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// How long a request may be kept waiting.
    pub time_limit: Duration,
    /// Within which time an answer, or a stream's first event, is on time.
    pub objective: Duration,
    /// The longest pause between two events that is on time.
    pub gap: Duration,
    /// The rank among requests; 0 is served first.
    pub rank: u8,
    /// The services that take the requests.
    pub targets: Vec<Target>,
    /// The most upstreams that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// What is declared of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The most connections that an upstream takes from all instances.
    pub max_connections: u32,
    /// The tokens that one event of a stream holds, for engines.
    pub stride: Option<u32>,
}

/// What a client account may use in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What counts against it.
    pub unit: Unit,
    /// The units a second, over all instances.
    pub per_second: f64,
    /// The units that may be used at once beside the rate.
    pub burst: f64,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompts and outputs; a request that names none counts as so many.
    Tokens {
        /// What a request counts that names no tokens.
        plain: u64,
    },
}

/// A client account that shows a key.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The account's name.
    pub name: id::Account,
    /// The keys that name it.
    pub keys: Vec<Arc<str>>,
    /// The rank of its requests in place of the routes'.
    pub rank: Option<u8>,
    /// What it may use; without one, any amount.
    pub quota: Option<Quota>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to come.
    pub head_time: Duration,
    /// How long a connection may stay idle between requests.
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

/// A decoded declaration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declaration {
    /// The operator's version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
    /// The accounts; where there are none, requests need no key.
    pub accounts: Vec<Arc<Account>>,
    /// The limits.
    pub limits: Limits,
}

impl Declaration {
    /// All that keeps the declaration from being put in force.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::new();
        let mut places = BTreeSet::new();
        for (i, route) in self.routes.iter().enumerate() {
            let at = |field: &str| format!("routes[{i}] ({}).{field}", route.name);
            if !places.insert((&route.host, &route.prefix)) {
                findings.add(at("prefix"), "another route has this host and prefix");
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                findings.add(at("targets"), "the weights add up to nothing");
            }
            for target in &route.targets {
                if !self.services.contains_key(&target.service) {
                    let message = format!("there is no service {}", target.service);
                    findings.add(at("targets"), message);
                }
            }
            if route.time_limit.is_zero() {
                findings.add(at("time_limit"), "the time limit must not be zero");
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

/// A declaration with its routes and keys indexed.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The declaration.
    pub declaration: Declaration,
    places: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Account>>,
}

impl Table {
    /// Indexes a declaration.
    pub fn new(declaration: Declaration) -> Self {
        let mut places: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in &declaration.routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            let prefixes = places.entry(host).or_default();
            prefixes.insert(route.prefix.clone(), route.clone());
        }
        let accounts = declaration.accounts.iter();
        let keys = accounts.flat_map(|account| {
            let keys = account.keys.iter();
            keys.map(|key| (key.clone(), account.clone()))
        });
        Self {
            keys: keys.collect(),
            places,
            declaration,
        }
    }

    /// The route of a host and path: the one with the longest prefix that the path begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = match self.places.get(host) {
            Some(prefixes) => prefixes,
            None => self.places.get(host.to_ascii_lowercase().as_str())?,
        };
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| prefixes.get(path.get(..end)?)).next()
    }

    /// The account that a key names.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// Whether requests need a key.
    pub fn needs_keys(&self) -> bool {
        !self.declaration.accounts.is_empty()
    }
}
