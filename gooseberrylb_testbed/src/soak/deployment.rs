//! Processes of a soak test and the proxies between them. Each instance has its own port for peers,
//! derived from its host number. It listens at that port of its own address, and dials a keeper at
//! that port of the keeper's address, where a proxy listens. So each instance has a link of its own
//! to every other keeper, and two keepers have one in each direction. Entries have such links to a few
//! others.

mod membership;

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use rand::Rng;
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};

use super::history::History;
use super::platform::{FURTHER_SERVICES, StandIns};
use super::{Options, Program, lock};
use crate::fleet::signal;
use crate::proxy::{Link, OpenConnections};

/// Base of the ports for peers: the host number of an instance is added to it.
const PEER_PORT_BASE: u16 = 17_800;
/// Port at which an instance listens for operators.
const OPERATOR_PORT: u16 = 17_702;
/// Port at which a keeper tells callers the addresses of entries.
const DIRECTORY_PORT: u16 = 17_720;
/// Port at which an instance listens for callers.
const CALLER_PORT: u16 = 17_721;
/// Port at which an entry reports whether it is ready.
const READY_PORT: u16 = 17_724;
/// Port at which a keeper accepts declarations and lets them be read.
const CONTROL_PORT: u16 = 17_729;
/// Port of the list of upstreams.
const FEED_PORT: u16 = 17_730;
/// Port of an upstream in the list, at which its proxy listens.
const UPSTREAM_PORT: u16 = 17_740;
/// Port at which an upstream itself listens, behind its proxy.
const PROXIED_UPSTREAM_PORT: u16 = 17_741;

/// Beginning of the names of links to upstreams.
const TO_UPSTREAM: &str = "to upstream";

/// Data centres of the instances.
const DATA_CENTRES: [&str; 3] = ["cremona", "lodi", "mantova"];

/// Host number of the first entry. Keepers are numbered from 1.
pub const FIRST_ENTRY_HOST: u8 = 100;
/// Host number of the first stand-in.
const FIRST_STAND_IN_HOST: u8 = 200;
/// Number of upstreams that faults affect.
pub const UPSTREAM_COUNT: u8 = 4;
/// Number of other entries that an entry has a link to.
pub const MAX_DELEGATES: usize = 8;
/// Number of keepers that are named as seeds in the settings, as on the platform.
const SEED_COUNT: u8 = 3;
/// Number of keepers that can be lost for good.
pub const MAX_LOSSES: u8 = 4;
/// Time after its start during which an instance counts as lost, in seconds.
pub const CATCH_UP_S: u64 = 4;
/// Number of keepers that may be lost at once.
const MAX_LOST: usize = 1;
/// Secret of the deployment, and of its operators.
const KEY: &str = "0123456789abcdef0123456789abcdef";
/// Time that an instance has for its shutdown after SIGTERM, in seconds.
const SHUTDOWN_GRACE_S: u64 = 8;
/// Time beyond the grace period after which a terminated process is killed, as the platform does.
const KILL_MARGIN: Duration = Duration::from_secs(2);

/// Script that runs its arguments with SIGXFSZ ignored, so that a write beyond the size limit of files
/// fails instead of ending the process.
const IGNORE_SIZE_SIGNAL: &str = r#"trap '' XFSZ; exec "$0" "$@""#;

/// Process of one instance.
#[derive(Debug)]
struct Process {
    /// Host number: the last byte of its address.
    host: u8,
    /// Index of its data centre.
    data_centre: u8,
    /// Folder with its settings, data and output.
    home: PathBuf,
    /// Running process, if any.
    child: Option<Child>,
    /// Whether the process was told to stop, so that its exit is expected.
    stopping: bool,
}

/// Running deployment of a soak test. Dropping it kills its processes and removes its files.
pub struct Deployment {
    /// Second byte of all addresses.
    second_octet: u8,
    /// Third byte of all addresses.
    third_octet: u8,
    program: Program,
    /// Limits of [`Options`] that the instances are told, in milliseconds.
    change_limit_ms: u64,
    drain_limit_ms: u64,
    /// Whether disks of keepers may be full, so that their processes must survive refused writes.
    full_disks: bool,
    /// Lists of the keepers, by host number, with the times from which on the platform shows them.
    keeper_lists: Mutex<Vec<(Instant, Vec<u8>)>>,
    /// Host numbers of the entries: the last bytes of their addresses.
    pub entries: Vec<u8>,
    processes: BTreeMap<u8, Mutex<Process>>,
    /// One line for each process that exited without being told to.
    unexpected_exits: Mutex<Vec<String>>,
    links: Vec<Link>,
    /// Stand-ins for the list of upstreams and for the upstreams.
    pub stand_ins: Arc<StandIns>,
    home: tempfile::TempDir,
}

/// Returns the entries that an entry may delegate requests to: the next ones.
fn delegates_of(host: u8, entries: &[u8]) -> Vec<u8> {
    let Some(index) = entries.iter().position(|entry| *entry == host) else {
        return Vec::new();
    };
    let next = entries.iter().cycle().skip(index + 1);
    next.take(MAX_DELEGATES.min(entries.len() - 1))
        .copied()
        .collect()
}

impl Deployment {
    /// Starts the stand-ins, the proxies and all processes.
    pub fn start(options: &Options, history: Arc<History>) -> anyhow::Result<Self> {
        if options.keepers < SEED_COUNT || options.entries == 0 {
            bail!("a soak test needs at least {SEED_COUNT} keepers and one entry");
        }
        let spare_count = if options.lost_keepers { MAX_LOSSES } else { 0 };
        if options.keepers >= FIRST_ENTRY_HOST - spare_count
            || options.entries > FIRST_STAND_IN_HOST - FIRST_ENTRY_HOST
        {
            bail!(
                "a soak test can have at most 99 keepers, those that replace others among them, and 100 entries"
            );
        }
        let home = tempfile::tempdir().context("making a temporary folder")?;
        let (second_octet, third_octet) = free_network()?;
        let at = |host, port| address(second_octet, third_octet, host, port);
        let upstreams: Vec<u8> = (0..UPSTREAM_COUNT)
            .map(|i| FIRST_STAND_IN_HOST + 1 + i)
            .collect();
        let upstream_addresses = upstreams.iter().map(|host| {
            let advertised = at(*host, UPSTREAM_PORT);
            (advertised, at(*host, PROXIED_UPSTREAM_PORT))
        });
        let upstream_addresses: Vec<_> = upstream_addresses.collect();
        let further_upstreams: Vec<_> = (0..FURTHER_SERVICES.len() as u8)
            .map(|i| FIRST_STAND_IN_HOST + 1 + UPSTREAM_COUNT + i)
            .map(|host| (at(host, UPSTREAM_PORT), at(host, PROXIED_UPSTREAM_PORT)))
            .collect();
        let stand_in_addresses: Vec<_> = upstream_addresses
            .iter()
            .chain(&further_upstreams)
            .copied()
            .collect();
        let stand_ins = StandIns::start(
            at(FIRST_STAND_IN_HOST, FEED_PORT),
            &stand_in_addresses,
            history,
        )
        .context("starting the stand-ins")?;
        let keepers: Vec<u8> = (1..=options.keepers).collect();
        let entries: Vec<u8> = (0..options.entries).map(|i| FIRST_ENTRY_HOST + i).collect();
        let mut links = Vec::new();
        let link_to_upstream = |(advertised, listen): &(SocketAddr, SocketAddr)| {
            Link::start(&format!("{TO_UPSTREAM} {advertised}"), *advertised, *listen)
        };
        for addresses in &upstream_addresses {
            links.push(link_to_upstream(addresses)?);
        }
        let all: Vec<u8> = keepers.iter().chain(&entries).copied().collect();
        let link = |from: u8, to: u8| {
            let (listen, target) = (at(to, peer_port(from)), at(to, peer_port(to)));
            Link::start(&format!("{from} to {to}"), listen, target)
        };
        for from in &all {
            let delegates = delegates_of(*from, &entries);
            let others = keepers.iter().chain(&delegates);
            for to in others.filter(|to| *to != from) {
                links.push(link(*from, *to)?);
            }
        }
        // These are last, so that a seed affects the same other links as without them.
        for addresses in &further_upstreams {
            links.push(link_to_upstream(addresses)?);
        }
        let spares: Vec<u8> = (1..=spare_count).map(|i| options.keepers + i).collect();
        for spare in &spares {
            for host in &all {
                links.push(link(*host, *spare)?);
            }
            for to in keepers.iter().chain(&spares).filter(|to| *to != spare) {
                links.push(link(*spare, *to)?);
            }
        }
        fs::write(home.path().join("key"), KEY)?;
        let process = |host: &u8| {
            let process = Process {
                host: *host,
                data_centre: *host % DATA_CENTRES.len() as u8,
                home: home.path().join(host.to_string()),
                child: None,
                stopping: false,
            };
            (*host, Mutex::new(process))
        };
        let deployment = Self {
            second_octet,
            third_octet,
            program: options.program.clone(),
            change_limit_ms: options.change_limit_ms,
            drain_limit_ms: options.drain_limit_ms,
            full_disks: options.full_disks,
            processes: all.iter().chain(&spares).map(process).collect(),
            unexpected_exits: Mutex::default(),
            keeper_lists: Mutex::new(vec![(Instant::now(), keepers)]),
            entries,
            links,
            stand_ins,
            home,
        };
        for host in all {
            deployment.spawn(host, true)?;
        }
        Ok(deployment)
    }

    /// Returns the address at which a keeper accepts declarations and lets them be read.
    pub fn control_address(&self, host: u8) -> SocketAddr {
        self.address(host, CONTROL_PORT)
    }

    /// Returns the address at which a keeper tells callers the addresses of entries.
    pub fn directory_address(&self, host: u8) -> SocketAddr {
        self.address(host, DIRECTORY_PORT)
    }

    /// Returns the address at which an entry serves callers.
    pub fn caller_address(&self, host: u8) -> SocketAddr {
        self.address(host, CALLER_PORT)
    }

    /// Returns all proxies: between instances, and to upstreams.
    pub fn links(&self) -> &[Link] {
        &self.links
    }

    /// Returns the proxies between an instance and the others.
    pub fn links_of(&self, host: u8) -> impl Iterator<Item = &Link> {
        let (from, to) = (format!("{host} to "), format!(" to {host}"));
        let between =
            move |link: &&Link| link.name().starts_with(&from) || link.name().ends_with(&to);
        self.links.iter().filter(between)
    }

    /// Cuts entries off from all upstreams, and no others.
    pub fn cut_off(&self, hosts: &[u8], open: OpenConnections) {
        let id = |host: &u8| self.process(*host).child.as_ref().map(Child::id);
        let processes: Vec<u32> = hosts.iter().filter_map(id).collect();
        let upstreams = self.links.iter();
        let upstreams = upstreams.filter(|link| link.name().starts_with(TO_UPSTREAM));
        upstreams.for_each(|link| link.cut_off(&processes, open));
    }

    /// Ends all cuts of entries from upstreams.
    pub fn end_cut_off(&self) {
        self.links.iter().for_each(Link::end_cut_off);
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        address(self.second_octet, self.third_octet, host, port)
    }

    fn process(&self, host: u8) -> MutexGuard<'_, Process> {
        lock(&self.processes[&host])
    }

    /// Starts a process unless it is running.
    pub fn spawn(&self, host: u8, first_start: bool) -> anyhow::Result<()> {
        let mut process = self.process(host);
        if process.child.is_some() {
            return Ok(());
        }
        fs::create_dir_all(process.home.join("data"))?;
        let file = process.home.join("settings.json");
        fs::write(&file, self.settings(&process, first_start))?;
        // The output passes through a pipe, which a full disk does not affect.
        let (mut reader, writer) = io::pipe()?;
        let mut output = OpenOptions::new()
            .create(true)
            .append(true)
            .open(process.home.join("output"))?;
        thread::spawn(move || io::copy(&mut reader, &mut output));
        self.stand_ins.record_start(host);
        let program = &self.program.path;
        let mut command = match self.full_disks {
            true => {
                let mut shell = Command::new("sh");
                shell.args(["-c", IGNORE_SIZE_SIGNAL]).arg(program);
                shell
            }
            false => Command::new(program),
        };
        let child = command
            .args(["instance", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(writer.try_clone()?)
            .stderr(writer)
            .spawn()
            .context("starting an instance")?;
        process.child = Some(child);
        process.stopping = false;
        Ok(())
    }

    /// Kills a process if it is running.
    pub fn kill(&self, host: u8) -> anyhow::Result<()> {
        let mut process = self.process(host);
        self.record_exit(&mut process)?;
        if let Some(mut child) = process.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends SIGTERM to a process, and kills it if it has not exited once its grace period is over.
    pub fn terminate(&self, host: u8) -> anyhow::Result<()> {
        self.process(host).stopping = true;
        self.signal(host, "TERM")?;
        let end = Instant::now() + Duration::from_secs(SHUTDOWN_GRACE_S) + KILL_MARGIN;
        while Instant::now() < end {
            let mut process = self.process(host);
            let ended = match &mut process.child {
                Some(child) => child.try_wait()?.is_some(),
                None => true,
            };
            if ended {
                process.child = None;
                return Ok(());
            }
            drop(process);
            thread::sleep(Duration::from_millis(20));
        }
        self.kill(host)
    }

    /// Sends a signal to a process if it is running.
    pub fn signal(&self, host: u8, name: &str) -> anyhow::Result<()> {
        let mut process = self.process(host);
        self.record_exit(&mut process)?;
        match &process.child {
            Some(child) => Ok(signal(name, child.id())?),
            None => Ok(()),
        }
    }

    /// Refuses all writes of an instance to files, as on a full disk, or lifts that.
    pub fn set_disk_full(&self, host: u8, is_full: bool) -> anyhow::Result<()> {
        let mut process = self.process(host);
        self.record_exit(&mut process)?;
        let Some(child) = &process.child else {
            return Ok(());
        };
        let maximum = getrlimit(Resource::Fsize).maximum;
        let current = if is_full { Some(0) } else { maximum };
        let limit = Rlimit { current, maximum };
        prlimit(Some(Pid::from_child(child)), Resource::Fsize, limit)
            .context("limiting the size of files")?;
        Ok(())
    }

    /// Removes all data of a keeper, which must not be running.
    pub fn wipe(&self, host: u8) -> anyhow::Result<()> {
        let folder = self.process(host).home.join("data");
        match folder.exists() {
            true => fs::remove_dir_all(&folder).context("removing a data folder"),
            false => Ok(()),
        }
    }

    /// Appends random bytes to the newest journal file of a keeper, as a torn write may leave them.
    /// The keeper must not be running.
    pub fn append_torn_write(&self, host: u8, rng: &mut impl Rng) -> anyhow::Result<()> {
        let folder = self.process(host).home.join("data");
        if !folder.exists() {
            // A wipe has just removed the data.
            return Ok(());
        }
        let Some(newest) = newest_file(&folder)? else {
            return Ok(());
        };
        let garbage: Vec<u8> = (0..rng.random_range(1..40)).map(|_| rng.random()).collect();
        let mut file = OpenOptions::new().append(true).open(newest)?;
        Ok(io::Write::write_all(&mut file, &garbage)?)
    }

    /// Records the exit of a process, as unexpected unless it was told to stop.
    fn record_exit(&self, process: &mut Process) -> anyhow::Result<()> {
        let ended = process.child.as_mut().map(Child::try_wait);
        if let Some(status) = ended.transpose()?.flatten() {
            process.child = None;
            if process.stopping {
                return Ok(());
            }
            let line = format!("instance {} exited unexpectedly: {status}", process.host);
            lock(&self.unexpected_exits).push(line);
        }
        Ok(())
    }

    /// Returns a line for each process that exited without being told to.
    pub fn unexpected_exits(&self) -> Vec<String> {
        for process in self.processes.values() {
            let mut process = lock(process);
            if let Err(error) = self.record_exit(&mut process) {
                log::warn!("cannot determine whether a process has exited: {error:#}");
            }
        }
        lock(&self.unexpected_exits).clone()
    }

    /// Copies the output of all processes to `folder`.
    pub fn copy_logs(&self, folder: &Path) -> anyhow::Result<()> {
        fs::create_dir_all(folder)?;
        for process in self.processes.values() {
            let process = lock(process);
            if !process.home.exists() {
                continue;
            }
            let to = folder.join(format!("{}.log", process.host));
            fs::copy(process.home.join("output"), to).context("copying a log")?;
        }
        Ok(())
    }

    /// Returns the settings of an instance. `first_start` tells it that the deployment is new.
    fn settings(&self, process: &Process, first_start: bool) -> String {
        let (host, home) = (process.host, &process.home);
        let at = |port| self.address(host, port);
        let seeds = self.seeds();
        let seeds = seeds.iter().map(|host| self.control_address(*host));
        let seeds: Vec<_> = seeds.map(|address| address.to_string()).collect();
        let is_keeper = host < FIRST_ENTRY_HOST;
        let mut deployment = serde_json::json!({
            "seeds": seeds, "first_start": first_start,
            "feed": self.address(FIRST_STAND_IN_HOST, FEED_PORT),
            "grace_s": SHUTDOWN_GRACE_S, "retry_share": 0.2, "retry_slack": 50,
            "retry_window_s": 10, "quota_window_s": 8,
            "change_limit_ms": self.change_limit_ms, "drain_limit_ms": self.drain_limit_ms,
        });
        if self.program.knows_bounds {
            deployment["bounds"] = serde_json::json!({ "catch_up_s": CATCH_UP_S });
            deployment["tolerance"] = serde_json::json!({ "machines": MAX_LOST });
        }
        match is_keeper {
            true => {
                deployment["control"] = at(CONTROL_PORT).to_string().into();
                deployment["directory"] = at(DIRECTORY_PORT).to_string().into();
            }
            false => deployment["ready"] = at(READY_PORT).to_string().into(),
        }
        let mut settings = serde_json::json!({
            "name": at(0).ip(), "data_centre": DATA_CENTRES[usize::from(process.data_centre)],
            "region": "padana", "callers": at(CALLER_PORT), "operators": at(OPERATOR_PORT),
            "peers_listen": at(peer_port(host)),
            "cluster_key_file": self.home.path().join("key"),
            "operator_token_file": self.home.path().join("key"),
            "log": { "level": "info", "stdout": true },
            "deployment": deployment,
        });
        if is_keeper {
            settings["data_folder"] = home.join("data").display().to_string().into();
        }
        settings.to_string()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.processes.values() {
            let mut process = lock(process);
            if let Some(mut child) = process.child.take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
    }
}

/// Returns the port at which an instance listens for its peers, and at which it dials them.
fn peer_port(host: u8) -> u16 {
    PEER_PORT_BASE + u16::from(host)
}

fn address(second_octet: u8, third_octet: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(
        Ipv4Addr::new(127, second_octet, third_octet, host).into(),
        port,
    )
}

/// Finds a subnet of the loopback range in which nobody listens. Returns the second and the third
/// byte of its addresses.
fn free_network() -> anyhow::Result<(u8, u8)> {
    let id = std::process::id();
    for attempt in 0..100 {
        let number = id.wrapping_mul(31).wrapping_add(attempt);
        let (second_octet, third_octet) = (10 + (number % 200) as u8, (number / 200 % 250) as u8);
        let listener =
            std::net::TcpListener::bind(address(second_octet, third_octet, 1, CONTROL_PORT));
        let feed = std::net::TcpListener::bind(address(
            second_octet,
            third_octet,
            FIRST_STAND_IN_HOST,
            FEED_PORT,
        ));
        if listener.is_ok() && feed.is_ok() {
            return Ok((second_octet, third_octet));
        }
    }
    bail!("found no free subnet of the loopback range")
}

/// Returns the most recently modified journal file in `folder` and its subfolders.
fn newest_file(folder: &Path) -> io::Result<Option<PathBuf>> {
    let mut newest = None;
    let mut folders = vec![folder.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            if entry.file_type()?.is_dir() {
                folders.push(entry.path());
                continue;
            }
            let changed = File::open(entry.path())?.metadata()?.modified()?;
            let is_journal = entry.path().extension().is_some_and(|e| e == "journal");
            if is_journal && newest.as_ref().is_none_or(|(at, _)| changed > *at) {
                newest = Some((changed, entry.path()));
            }
        }
    }
    Ok(newest.map(|(_, path)| path))
}
