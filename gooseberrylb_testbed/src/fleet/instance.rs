//! One instance of a fleet: a real process that can be killed, frozen, restarted and stripped of
//! its disk.

use std::fs::{self, File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use async_std::task;

use super::network::Addresses;
use super::{Error, POLL_INTERVAL, signal, with_action};
use crate::http::Client;

/// How long one question about health may take.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// The line of the metrics that says that an instance holds a lease on its configuration.
const FRESH_METRIC: &str = "gooseberrylb_configuration_fresh 1";

/// The end of an instance's output that is shown when it is not healthy, in bytes.
const SHOWN_OUTPUT_BYTES: usize = 4_000;

/// One instance.
#[derive(Debug)]
pub struct Instance {
    name: String,
    home: PathBuf,
    addresses: Addresses,
    program: PathBuf,
    process: Option<Child>,
}

impl Instance {
    pub(super) fn new(name: String, home: PathBuf, addresses: Addresses, program: PathBuf) -> Self {
        Self {
            name,
            home,
            addresses,
            program,
            process: None,
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens for callers.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Where it listens for operators.
    pub fn operators(&self) -> SocketAddr {
        self.addresses.operators
    }

    /// Where it listens for other instances.
    pub fn peers(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Its settings file.
    pub fn settings(&self) -> PathBuf {
        self.home.join("settings.json")
    }

    /// Its data folder.
    pub fn data_folder(&self) -> PathBuf {
        self.home.join("data")
    }

    /// Whether it was started and not yet seen to end.
    pub fn is_started(&self) -> bool {
        self.process.is_some()
    }

    /// Its process id, while it is started.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Starts its process.
    pub fn start(&mut self) -> Result<(), Error> {
        let output = with_action("opening an output file", open_output(&self.output()))?;
        let errors = with_action("opening an output file", output.try_clone())?;
        let child = Command::new(&self.program)
            .arg("instance")
            .arg("--settings")
            .arg(self.settings())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        self.process = Some(with_action(format!("starting {}", self.name), child)?);
        Ok(())
    }

    /// Kills its process at once.
    pub fn kill(&mut self) -> Result<(), Error> {
        if let Some(mut process) = self.process.take() {
            with_action("killing an instance", process.kill())?;
            with_action("awaiting an instance's end", process.wait())?;
        }
        Ok(())
    }

    /// Asks it to stop in good order.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal("TERM")
    }

    /// Freezes it: it keeps its connections and does nothing.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal("STOP")
    }

    /// Lets it go on after a freeze.
    pub fn thaw(&self) -> Result<(), Error> {
        self.signal("CONT")
    }

    /// Kills it where it runs, and starts it again with what is on its disk.
    pub async fn restart(&mut self, timeout: Duration) -> Result<(), Error> {
        self.kill()?;
        self.start()?;
        self.wait_healthy(timeout).await
    }

    /// Loses all that is in its data folder; the instance must not run.
    pub fn wipe(&self) -> Result<(), Error> {
        let folder = self.data_folder();
        with_action("removing a data folder", fs::remove_dir_all(&folder))?;
        with_action("making a data folder", fs::create_dir_all(&folder))
    }

    /// Waits until it answers for its health.
    pub async fn wait_healthy(&mut self, timeout: Duration) -> Result<(), Error> {
        let started = Instant::now();
        let client = Client::new(self.operators(), HEALTH_TIMEOUT);
        loop {
            if matches!(client.get("/health").await, Ok(answer) if answer.status == 200) {
                return Ok(());
            }
            if started.elapsed() > timeout || self.has_ended()? {
                return Err(self.unhealthy(started.elapsed()));
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether it holds a lease on its configuration, by its own metrics: the operators' status is
    /// the leader's.
    pub async fn is_fresh(&self) -> bool {
        let client = Client::new(self.operators(), HEALTH_TIMEOUT);
        let Ok(answer) = client.get("/metrics").await else {
            return false;
        };
        let text = String::from_utf8_lossy(&answer.body);
        text.lines().any(|line| line == FRESH_METRIC)
    }

    /// Waits until its process has ended.
    pub async fn wait_exit(&mut self, timeout: Duration) -> Result<Option<ExitStatus>, Error> {
        let started = Instant::now();
        while let Some(process) = &mut self.process {
            let ended = with_action("awaiting an instance's end", process.try_wait())?;
            if ended.is_some() {
                self.process = None;
                return Ok(ended);
            }
            if started.elapsed() > timeout {
                return Err(Error::StillRunning {
                    name: self.name.clone(),
                    waited: started.elapsed(),
                });
            }
            task::sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }

    /// The end of what it wrote.
    pub fn last_output(&self) -> String {
        let output = fs::read(self.output()).unwrap_or_default();
        let from = output.len().saturating_sub(SHOWN_OUTPUT_BYTES);
        String::from_utf8_lossy(&output[from..]).into_owned()
    }

    pub(super) fn unhealthy(&self, waited: Duration) -> Error {
        Error::Unhealthy {
            name: self.name.clone(),
            waited,
            output: self.last_output(),
        }
    }

    fn output(&self) -> PathBuf {
        self.home.join("output.log")
    }

    fn has_ended(&mut self) -> Result<bool, Error> {
        let Some(process) = &mut self.process else {
            return Ok(true);
        };
        let ended = with_action("asking for an instance's end", process.try_wait())?;
        Ok(ended.is_some())
    }

    fn signal(&self, name: &str) -> Result<(), Error> {
        match self.process_id() {
            Some(id) => signal(name, id),
            None => Ok(()),
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::warn!("{} could not be killed: {error}", self.name);
        }
    }
}

fn open_output(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}
