//! Settings of an instance, read from one file of JSON with comments and validated as a whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use crate::finding::Findings;
use crate::id;
use crate::number::Bytes;
use crate::reader::{self, read_object};

pub mod bounds;
pub mod secret;
pub mod timing;

pub use bounds::{Bounds, Tolerance};
pub use secret::Secret;
pub use timing::{Silence, Timing};

/// Another instance that this instance may connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the peer.
    pub name: id::Instance,
    /// Address that the peer listens on for other instances.
    pub address: SocketAddr,
    /// Whether the peer is one of the voters that form the cluster at the first start.
    pub voter: bool,
}

/// Log settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Level,
    /// Log file; standard error by default.
    pub file: Option<PathBuf>,
    /// Whether JSON lines are written to standard output instead.
    pub stdout: bool,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Level::Info,
            file: None,
            stdout: false,
        }
    }
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Problems that an operator must act on.
    Error,
    /// Problems that an operator may have to act on.
    Warn,
    /// Changes of state.
    Info,
    /// Details for debugging.
    Debug,
    /// Everything.
    Trace,
}

/// Limits that keep callers from exhausting an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum time to receive the head and body of a request, in milliseconds.
    pub receive_ms: u64,
    /// Maximum time that a connection may be idle between requests, in milliseconds.
    pub idle_ms: u64,
    /// Request timeout if the caller specifies none, in milliseconds.
    pub timeout_ms: u64,
    /// How long a response to `GET /v1/addresses` may be cached, in milliseconds.
    pub addresses_ttl_ms: u64,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
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
            memory_mb: 256,
        }
    }
}

/// Default of [`Deployment::trial_share`]: a faulty release affects at most a tenth of the
/// requests.
const DEFAULT_TRIAL_SHARE: f64 = 0.1;

/// Integration with a platform that starts the processes, lists the upstreams and queries the
/// entries. See `docs/PLATFORM.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Operator addresses of some instances, which are assumed to use the same port for peers as
    /// this instance.
    pub seeds: Vec<SocketAddr>,
    /// Whether the system starts for the first time, with the seeds as its initial voters.
    pub first_start: bool,
    /// Address of an entry's readiness interface; an instance without one takes no callers.
    pub ready: Option<SocketAddr>,
    /// Address on which operators submit declarations.
    pub control: Option<SocketAddr>,
    /// Address on which callers look up entries.
    pub directory: Option<SocketAddr>,
    /// Address of the platform's list of upstreams.
    pub feed: SocketAddr,
    /// Time from SIGTERM until the process is killed, in seconds.
    pub grace_s: u64,
    /// Share of a service's requests that may be retried at another upstream.
    pub retry_share: f64,
    /// Number of retries allowed per window in addition to that share, over all instances.
    pub retry_slack: f64,
    /// Length of the window for retries, in seconds.
    pub retry_window_s: f64,
    /// Length of the window in which the use of quotas is counted, in seconds.
    pub quota_window_s: f64,
    /// Time in which an accepted change must be in force on all instances, in milliseconds.
    pub change_limit_ms: Option<u64>,
    /// Time after which an upstream that the list shows as draining must get no requests, in
    /// milliseconds.
    pub drain_limit_ms: Option<u64>,
    /// Maximum share of a service's requests that a release gets during the trial stage of a
    /// rollout.
    pub trial_share: f64,
    /// Share of a service's requests of which a second copy may be sent when the first is slow. They
    /// count as retries too.
    pub copy_share: f64,
    /// Regions of data centres, also of those without instances.
    pub data_centres: Vec<Location>,
    /// Time limits that the platform promises.
    pub bounds: Bounds,
    /// Losses that the system bears.
    pub tolerance: Tolerance,
}

/// Region of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Name of the data centre.
    pub data_centre: id::DataCentre,
    /// Region that it is in.
    pub region: id::Region,
}

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the system.
    pub name: id::Instance,
    /// Data centre that the instance is in.
    pub data_centre: id::DataCentre,
    /// Region that the instance is in.
    pub region: id::Region,
    /// Address that the instance listens on for callers.
    pub callers: SocketAddr,
    /// Address that the instance listens on for operators.
    pub operators: SocketAddr,
    /// Address that the instance listens on for other instances.
    pub peers_listen: SocketAddr,
    /// Instances that this instance may connect to; may include itself.
    pub peers: Vec<Peer>,
    /// Folder for durable state; an instance without one never votes.
    pub data_folder: Option<PathBuf>,
    /// File that holds the cluster key.
    pub cluster_key_file: PathBuf,
    /// File that holds the operator token.
    pub operator_token_file: PathBuf,
    /// Address of the weight store.
    pub weight_store: Option<SocketAddr>,
    /// Total bandwidth of the weight store in bytes per second, shared by all concurrent loads;
    /// used to estimate loading times.
    pub weight_store_bytes_per_second: Option<u64>,
    /// Log settings.
    pub log: Log,
    /// Limits on the resources that callers may use.
    pub limits: Limits,
    /// Base folder for relative paths in the settings; by default, the folder of the settings file.
    pub base_folder: Option<PathBuf>,
    /// Integration with the platform that the instance runs on, if any.
    pub deployment: Option<Deployment>,
}

read_object!(Deployment {
    seeds,
    first_start,
    ready = None,
    control = None,
    directory = None,
    feed,
    grace_s,
    retry_share,
    retry_slack,
    retry_window_s,
    quota_window_s,
    change_limit_ms = None,
    drain_limit_ms = None,
    trial_share = DEFAULT_TRIAL_SHARE,
    copy_share = 0.0,
    data_centres = Vec::new(),
    bounds = Bounds::default(),
    tolerance = Tolerance::default(),
});
read_object!(Location {
    data_centre,
    region
});
read_object!(Peer { name, address, voter = false });
read_object!(Log {
    level = Log::default().level,
    file = None,
    stdout = false,
});
read_object!(Limits {
    body_bytes = Limits::default().body_bytes,
    connections = Limits::default().connections,
    receive_ms = Limits::default().receive_ms,
    idle_ms = Limits::default().idle_ms,
    timeout_ms = Limits::default().timeout_ms,
    addresses_ttl_ms = Limits::default().addresses_ttl_ms,
    drain_ms = Limits::default().drain_ms,
    memory_mb = Limits::default().memory_mb,
});
read_object!(Settings {
    name,
    data_centre,
    region,
    callers,
    operators,
    peers_listen,
    peers = Vec::new(),
    data_folder = None,
    cluster_key_file,
    operator_token_file,
    weight_store = None,
    weight_store_bytes_per_second = None,
    log = Log::default(),
    limits = Limits::default(),
    base_folder = None,
    deployment = None,
});

impl FromStr for Level {
    type Err = UnknownLevel;

    fn from_str(text: &str) -> Result<Self, UnknownLevel> {
        match text {
            "error" => Ok(Level::Error),
            "warn" => Ok(Level::Warn),
            "info" => Ok(Level::Info),
            "debug" => Ok(Level::Debug),
            "trace" => Ok(Level::Trace),
            _ => Err(UnknownLevel),
        }
    }
}

/// Error for a text that is not the name of a [`Level`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the levels are error, warn, info, debug and trace")]
pub struct UnknownLevel;

/// Placeholders for required fields that cannot be read, so that the other fields can still be
/// checked. The placeholders themselves pass the checks.
const PLACEHOLDERS: [(&str, &str); 8] = [
    ("name", "\"unread\""),
    ("data_centre", "\"unread\""),
    ("region", "\"unread\""),
    ("callers", "\"127.0.0.1:0\""),
    ("operators", "\"127.0.0.1:0\""),
    ("peers_listen", "\"127.0.0.1:0\""),
    ("cluster_key_file", "\"unread\""),
    ("operator_token_file", "\"unread\""),
];

impl Settings {
    /// Parses and validates settings without accessing the files that they refer to.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        reader::parse_with_placeholders(text, &PLACEHOLDERS, Self::check)
    }

    /// Reads the settings file at `path` and checks the files and folders that it refers to.
    /// Relative paths start at the base folder, if one is set, or else at the folder of the settings
    /// file, so that they do not depend on the working directory.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let mut findings = Findings::new();
            findings.add(
                path.display().to_string(),
                format!("cannot be read: {error}"),
            );
            findings
        })?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let settings =
            reader::parse_with_placeholders(&text, &PLACEHOLDERS, |settings: &Settings| {
                let mut findings = settings.check();
                findings.extend(settings.clone().with_base(folder).check_files());
                findings
            })?;
        Ok(settings.with_base(folder).with_seeds())
    }

    /// Adds the seeds to the peers, under their IP addresses as names. At the first start they are
    /// voters.
    fn with_seeds(mut self) -> Self {
        let Some(deployment) = &self.deployment else {
            return self;
        };
        for seed in &deployment.seeds {
            let address = SocketAddr::new(seed.ip(), self.peers_listen.port());
            let Ok(name) = id::Instance::new(&seed.ip().to_string()) else {
                continue;
            };
            if self.peers.iter().all(|peer| peer.address != address) {
                let voter = deployment.first_start;
                self.peers.push(Peer {
                    name,
                    address,
                    voter,
                });
            }
        }
        self
    }

    /// Resolves relative paths against the base folder, or `folder` if no base folder is set.
    fn with_base(mut self, folder: &Path) -> Self {
        let base = self.base_folder.clone();
        let folder = base.as_deref().unwrap_or(folder);
        self.cluster_key_file = folder.join(&self.cluster_key_file);
        self.operator_token_file = folder.join(&self.operator_token_file);
        self.data_folder = self.data_folder.map(|path| folder.join(path));
        self.log.file = self.log.file.map(|path| folder.join(path));
        self
    }

    /// Returns the peer address of another instance as far as the settings determine it: from its
    /// entry in `peers`, or on a platform from its name, which is its IP address. A restarted voter
    /// must reach the other voters before it can learn their addresses otherwise.
    pub fn peer_address(&self, name: &id::Instance) -> Option<SocketAddr> {
        let entry = self.peers.iter().find(|peer| peer.name == *name);
        let by_name = || {
            self.deployment.as_ref()?;
            let ip = name.as_str().parse().ok()?;
            Some(SocketAddr::new(ip, self.peers_listen.port()))
        };
        entry.map(|peer| peer.address).or_else(by_name)
    }

    /// Reads the cluster key, which peers authenticate to each other with.
    pub fn cluster_key(&self) -> Result<Secret, secret::Error> {
        Secret::read(&self.cluster_key_file)
    }

    /// Reads the token that operators must send.
    pub fn operator_token(&self) -> Result<Secret, secret::Error> {
        Secret::read(&self.operator_token_file)
    }

    /// Returns the errors in the settings that can be found without file access.
    fn check(&self) -> Findings {
        let mut findings = Findings::new();
        self.check_addresses(&mut findings);
        self.check_peers(&mut findings);
        self.limits.check(&mut findings);
        self.check_weight_store(&mut findings);
        self.check_deployment(&mut findings);
        findings
    }

    fn check_deployment(&self, findings: &mut Findings) {
        let Some(deployment) = &self.deployment else {
            return;
        };
        if deployment.seeds.is_empty() {
            findings.add("deployment.seeds", "an instance joins by at least one seed");
        }
        if self.name.as_str() != self.peers_listen.ip().to_string() {
            let message = "on a platform an instance is named by the IP number of peers_listen";
            findings.add("name", message);
        }
        let durations = [
            ("grace_s", deployment.grace_s as f64),
            ("retry_window_s", deployment.retry_window_s),
            ("quota_window_s", deployment.quota_window_s),
        ];
        for (name, value) in durations {
            if value <= 0.0 {
                findings.add(format!("deployment.{name}"), "this must be above zero");
            }
        }
        if !(0.0..=1.0).contains(&deployment.copy_share) {
            findings.add("deployment.copy_share", "this must be between 0 and 1");
        }
        if !(0.0..=1.0).contains(&deployment.trial_share) {
            findings.add("deployment.trial_share", "this must be between 0 and 1");
        }
    }

    fn check_addresses(&self, findings: &mut Findings) {
        let listeners = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("peers_listen", self.peers_listen),
        ];
        for (i, (place, address)) in listeners.iter().enumerate() {
            if address.ip().is_unspecified() {
                findings.add(
                    *place,
                    "the address is told to others, so it must be a definite one",
                );
            }
            let earlier = listeners[..i].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = earlier.filter(|_| address.port() != 0) {
                findings.add(*place, format!("{address} is the address of {other} too"));
            }
        }
    }

    fn check_peers(&self, findings: &mut Findings) {
        let mut names = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for (i, peer) in self.peers.iter().enumerate() {
            if let Some(first) = names.insert(&peer.name, i) {
                let message = format!("{} is the name of peers[{first}] too", peer.name);
                findings.add(format!("peers[{i}].name"), message);
            }
            let place = format!("peers[{i}].address");
            if let Some(first) = addresses.insert(peer.address, i) {
                let message = format!("{} is the address of peers[{first}] too", peer.address);
                findings.add(place.as_str(), message);
            }
            if peer.address.port() == 0 || peer.address.ip().is_unspecified() {
                findings.add(place.as_str(), "a peer needs a definite address and port");
            }
            if peer.name == self.name && peer.address != self.peers_listen {
                let message = format!("the entry of {} differs from peers_listen", self.name);
                findings.add(place.as_str(), message);
            } else if peer.name != self.name && peer.address == self.peers_listen {
                findings.add(place.as_str(), "this is the address of peers_listen too");
            }
        }
        let is_own_voter_entry = |peer: &&Peer| peer.voter && peer.name == self.name;
        if self.data_folder.is_none() && self.peers.iter().any(|peer| is_own_voter_entry(&peer)) {
            findings.add("data_folder", "a voter needs a data folder");
        }
    }

    fn check_weight_store(&self, findings: &mut Findings) {
        let place = "weight_store_bytes_per_second";
        match self.weight_store_bytes_per_second {
            Some(0) => findings.add(place, "the rate must not be zero"),
            Some(_) if self.weight_store.is_none() => {
                findings.add(place, "a rate needs the weight store that it is of");
            }
            Some(_) | None => {}
        }
    }

    /// Checks the files and folders that the settings refer to.
    fn check_files(&self) -> Findings {
        let mut findings = Findings::new();
        if let Err(error) = self.cluster_key() {
            findings.add("cluster_key_file", error.to_string());
        }
        if let Err(error) = self.operator_token() {
            findings.add("operator_token_file", error.to_string());
        }
        if let Some(folder) = &self.data_folder {
            check_writable(folder, "data_folder", &mut findings);
        }
        if let Some(folder) = self.log.file.as_deref().and_then(Path::parent) {
            check_writable(folder, "log.file", &mut findings);
        }
        findings
    }
}

/// Name of the file that is created and removed to check whether a folder is writable.
const PROBE_FILE: &str = ".gooseberrylb-probe";

/// Adds a finding if `folder` does not exist or is not writable.
fn check_writable(folder: &Path, place: &str, findings: &mut Findings) {
    let path = folder.display();
    if !folder.is_dir() {
        findings.add(place, format!("there is no folder {path}"));
        return;
    }
    let probe = folder.join(PROBE_FILE);
    let written = std::fs::write(&probe, b"").and_then(|()| std::fs::remove_file(&probe));
    if let Err(error) = written {
        findings.add(
            place,
            format!("the folder {path} cannot be written to: {error}"),
        );
    }
}

impl Limits {
    /// Returns the memory that the process may use.
    pub fn memory(&self) -> Bytes {
        Bytes(self.memory_mb.saturating_mul(1_000_000))
    }

    fn check(&self, findings: &mut Findings) {
        let limits = [
            ("body_bytes", self.body_bytes as u64),
            ("connections", self.connections as u64),
            ("receive_ms", self.receive_ms),
            ("idle_ms", self.idle_ms),
            ("timeout_ms", self.timeout_ms),
            ("addresses_ttl_ms", self.addresses_ttl_ms),
            ("drain_ms", self.drain_ms),
            ("memory_mb", self.memory_mb),
        ];
        for (name, value) in limits {
            if value == 0 {
                findings.add(format!("limits.{name}"), "the limit must not be zero");
            }
        }
    }
}
