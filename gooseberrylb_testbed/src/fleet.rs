//! Fleets of instances that run as real processes on loopback addresses. Tests start them, inject
//! faults and observe them.

pub mod instance;
mod network;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io};

use async_std::task;
use serde_json::{Value, json};
use thiserror::Error;

use crate::client::{Caller, Operator};
use crate::proxy::Link;

pub use instance::Instance;
use network::{Network, Ports};

/// Time within which every instance of a fleet must become healthy after its start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked while waiting for it.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Cluster key of every fleet.
const CLUSTER_KEY: &str = "6f1d2c3b4a5968778695a4b3c2d1e0f00112233445566778899aabbccddeeff0\n";

/// Operator token of every fleet.
const OPERATOR_TOKEN: &str = "testbed-operator-token-0123456789\n";

/// Error of a fleet operation.
#[derive(Debug, Error)]
pub enum Error {
    /// An operation on a file, a port or a process failed.
    #[error("{action}: {error}")]
    Io {
        /// Operation that failed.
        action: String,
        /// Error from the operating system.
        error: io::Error,
    },
    /// An instance exited or did not become healthy in time.
    #[error("instance {name} is not healthy after {waited:?}; its last output:\n{output}")]
    Unhealthy {
        /// Name of the instance.
        name: String,
        /// Time waited for the instance.
        waited: Duration,
        /// Last part of the output of the instance.
        output: String,
    },
    /// A process did not exit in time.
    #[error("instance {name} has not exited after {waited:?}")]
    StillRunning {
        /// Name of the instance.
        name: String,
        /// Time waited for the exit.
        waited: Duration,
    },
}

/// Adds the failed operation to an I/O error.
pub(crate) fn with_action<T>(action: impl Into<String>, result: io::Result<T>) -> Result<T, Error> {
    result.map_err(|error| Error::Io {
        action: action.into(),
        error,
    })
}

/// Configuration of a fleet.
#[derive(Debug, Clone)]
pub struct Builder {
    program: PathBuf,
    instances: usize,
    voters: usize,
    spares: usize,
    region: String,
    data_centres: Vec<String>,
    proxies_peers: bool,
    weight_store: Option<SocketAddr>,
    weight_rate: Option<u64>,
    limits: Value,
    log_level: String,
}

impl Builder {
    /// Returns a configuration of three instances, all of them voters, in the three data centres of
    /// the region padana. `program` is the testbed's own binary, which also runs as an instance.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            instances: 3,
            voters: 3,
            spares: 0,
            region: "padana".into(),
            data_centres: ["cremona", "lodi", "mantova"].map(String::from).into(),
            proxies_peers: false,
            weight_store: None,
            weight_rate: None,
            limits: json!({"addresses_ttl_ms": 1_000, "drain_ms": 20_000}),
            log_level: "info".into(),
        }
    }

    /// Sets the number of instances.
    pub fn with_instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets how many of the instances, counted from the first one, are voters with a data folder.
    pub fn with_voters(mut self, voters: usize) -> Self {
        self.voters = voters;
        self
    }

    /// Sets how many of the instances after the voters have a data folder and may become voters.
    pub fn with_spares(mut self, spares: usize) -> Self {
        self.spares = spares;
        self
    }

    /// Sets the region and its data centres, to which the instances are assigned in turn.
    pub fn with_places(mut self, region: &str, data_centres: &[&str]) -> Self {
        self.region = region.into();
        self.data_centres = data_centres.iter().copied().map(String::from).collect();
        self
    }

    /// Puts a proxy on the link from each instance to every other one.
    pub fn with_proxied_peers(mut self) -> Self {
        self.proxies_peers = true;
        self
    }

    /// Sets the address of the weight store and its rate in bytes per second.
    pub fn with_weight_store(mut self, address: SocketAddr, rate: u64) -> Self {
        self.weight_store = Some(address);
        self.weight_rate = Some(rate);
        self
    }

    /// Returns the address of the weight store, if there is one.
    pub fn weight_store(&self) -> Option<SocketAddr> {
        self.weight_store
    }

    /// Sets one of the limits in the settings.
    pub fn with_limit(mut self, name: &str, value: u64) -> Self {
        self.limits[name] = value.into();
        self
    }

    /// Sets the log level of the instances.
    pub fn with_log_level(mut self, level: &str) -> Self {
        self.log_level = level.into();
        self
    }

    /// Writes the settings, starts all instances, and waits until each is healthy and holds a lease
    /// on its configuration, so that it may start requests at upstreams.
    pub async fn start(self) -> Result<Fleet, Error> {
        let folder = with_action("making a temporary folder", tempfile::tempdir())?;
        write_file(&folder.path().join("cluster.key"), CLUSTER_KEY)?;
        write_file(&folder.path().join("operator.token"), OPERATOR_TOKEN)?;
        let network = Network::new();
        let ports = (0..self.instances)
            .map(|i| with_action("finding free ports", network.ports(i)))
            .collect::<Result<Vec<Ports>, Error>>()?;
        let links = self.start_links(&ports)?;
        for i in 0..self.instances {
            self.write_settings(folder.path(), &ports, &links, i)?;
        }
        let mut instances = Vec::new();
        for (i, ports) in ports.into_iter().enumerate() {
            let home = folder.path().join(instance_name(i));
            let addresses = ports.release();
            instances.push(Instance::new(
                instance_name(i),
                home,
                addresses,
                self.program.clone(),
            ));
        }
        let mut fleet = Fleet {
            instances,
            links,
            _folder: folder,
        };
        for instance in &mut fleet.instances {
            instance.start()?;
        }
        fleet.wait_healthy(START_TIMEOUT).await?;
        fleet.wait_fresh(START_TIMEOUT).await?;
        Ok(fleet)
    }

    fn start_links(&self, ports: &[Ports]) -> Result<Vec<Arc<Link>>, Error> {
        if !self.proxies_peers {
            return Ok(Vec::new());
        }
        let mut links = Vec::new();
        for (i, from) in ports.iter().enumerate() {
            for (j, to) in ports.iter().enumerate().filter(|(j, _)| *j != i) {
                let listen = SocketAddr::new(from.addresses().peers.ip(), 0);
                let link = Link::start(&link_name(i, j), listen, to.addresses().peers);
                links.push(Arc::new(with_action("starting a proxy", link)?));
            }
        }
        Ok(links)
    }

    fn write_settings(
        &self,
        folder: &Path,
        ports: &[Ports],
        links: &[Arc<Link>],
        i: usize,
    ) -> Result<(), Error> {
        let home = folder.join(instance_name(i));
        let data = home.join("data");
        with_action("making a data folder", fs::create_dir_all(&data))?;
        let peers: Vec<Value> = (0..self.instances)
            .filter(|j| *j != i)
            .map(|j| {
                let link = links.iter().find(|link| link.name() == link_name(i, j));
                let address = link.map_or(ports[j].addresses().peers, |link| link.address());
                json!({"name": instance_name(j), "address": address, "voter": j < self.voters})
            })
            .chain([json!({
                "name": instance_name(i),
                "address": ports[i].addresses().peers,
                "voter": i < self.voters,
            })])
            .collect();
        let mut settings = json!({
            "name": instance_name(i),
            "data_centre": self.data_centres[i % self.data_centres.len()],
            "region": self.region,
            "callers": ports[i].addresses().callers,
            "operators": ports[i].addresses().operators,
            "peers_listen": ports[i].addresses().peers,
            "peers": peers,
            "cluster_key_file": folder.join("cluster.key"),
            "operator_token_file": folder.join("operator.token"),
            "log": {"level": self.log_level},
            "limits": self.limits,
        });
        if i < self.voters + self.spares {
            settings["data_folder"] = json!(data);
        }
        if let Some(store) = self.weight_store {
            settings["weight_store"] = json!(store);
            settings["weight_store_bytes_per_second"] = json!(self.weight_rate);
        }
        write_file(&home.join("settings.json"), &format!("{settings:#}\n"))
    }
}

fn write_file(path: &Path, text: &str) -> Result<(), Error> {
    with_action(format!("writing {}", path.display()), fs::write(path, text))
}

/// Returns the name of instance `i`.
fn instance_name(i: usize) -> String {
    format!("entry-{}", i + 1)
}

/// Returns the name of the link from instance `i` to instance `j`.
fn link_name(i: usize, j: usize) -> String {
    format!("{}-to-{}", instance_name(i), instance_name(j))
}

/// Running fleet. Dropping it kills all processes and removes its files.
#[derive(Debug)]
pub struct Fleet {
    instances: Vec<Instance>,
    links: Vec<Arc<Link>>,
    _folder: tempfile::TempDir,
}

impl Fleet {
    /// Returns all instances.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Returns one instance for fault injection.
    pub fn instance_mut(&mut self, i: usize) -> &mut Instance {
        &mut self.instances[i]
    }

    /// Returns the proxies on the links between instances.
    pub fn links(&self) -> &[Arc<Link>] {
        &self.links
    }

    /// Returns the proxy on the link from instance `i` to instance `j`.
    pub fn link(&self, i: usize, j: usize) -> Option<&Arc<Link>> {
        let name = link_name(i, j);
        self.links.iter().find(|link| link.name() == name)
    }

    /// Returns the proxies on the links from and to instance `i`.
    pub fn links_of(&self, i: usize) -> impl Iterator<Item = &Arc<Link>> {
        let (from, to) = (
            format!("{}-to-", instance_name(i)),
            format!("-to-{}", instance_name(i)),
        );
        self.links
            .iter()
            .filter(move |link| link.name().starts_with(&from) || link.name().ends_with(&to))
    }

    /// Returns a caller that asks all instances for addresses.
    pub fn caller(&self, account: &str) -> Caller {
        Caller::new(
            account,
            self.instances.iter().map(Instance::callers).collect(),
        )
    }

    /// Returns an operator client that tries the instances in turn.
    pub fn operator(&self) -> Operator {
        let addresses = self.instances.iter().map(Instance::operators).collect();
        Operator::new(addresses, OPERATOR_TOKEN.trim())
    }

    /// Returns the operator token.
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN.trim()
    }

    /// Returns the last part of the output of each instance, for the message of a failing test.
    pub fn output(&self) -> String {
        let outputs = self.instances.iter();
        outputs
            .map(|i| format!("{}:\n{}\n", i.name(), i.last_output()))
            .collect()
    }

    /// Waits until every started instance is healthy.
    pub async fn wait_healthy(&mut self, timeout: Duration) -> Result<(), Error> {
        for instance in self.instances.iter_mut().filter(|i| i.is_started()) {
            instance.wait_healthy(timeout).await?;
        }
        Ok(())
    }

    /// Waits until every started instance holds a lease on its configuration.
    pub async fn wait_fresh(&self, timeout: Duration) -> Result<(), Error> {
        for instance in self.instances.iter().filter(|i| i.is_started()) {
            if !wait_until(timeout, async || instance.is_fresh().await).await {
                return Err(instance.unhealthy(timeout));
            }
        }
        Ok(())
    }

    /// Terminates all instances at once, and waits until they have exited.
    pub async fn stop(mut self, timeout: Duration) -> Result<(), Error> {
        for instance in &self.instances {
            instance.terminate()?;
        }
        for instance in &mut self.instances {
            instance.wait_exit(timeout).await?;
        }
        Ok(())
    }
}

/// Waits until `condition` holds. Returns whether it did within `timeout`.
pub async fn wait_until(timeout: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let started = Instant::now();
    loop {
        if condition().await {
            return true;
        }
        if started.elapsed() > timeout {
            return false;
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a signal to a process by its id, with the system's `kill` command.
pub(crate) fn signal(name: &str, id: u32) -> Result<(), Error> {
    let mut kill = Command::new("kill");
    let status = kill.arg(format!("-{name}")).arg(id.to_string()).status();
    let status = with_action("running kill", status)?;
    if status.success() {
        return Ok(());
    }
    let error = io::Error::other(format!("kill -{name} {id} ended with {status}"));
    with_action("sending a signal", Err(error))
}
