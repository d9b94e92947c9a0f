//! Instance of a fleet: a real process that can be killed, frozen and restarted, and whose data can
//! be removed.

use std::fs::{self, File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use async_std::task;

use super::network::Addresses;
use super::{Error, POLL_INTERVAL, signal, with_action};
use crate::http::Client;

/// Timeout of a request for the health or the metrics of an instance.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Line in the metrics of an instance that holds a lease on its configuration.
const FRESH_METRIC: &str = "gooseberrylb_configuration_fresh 1";

/// Size of the last part of the output that is shown for an unhealthy instance, in bytes.
const SHOWN_OUTPUT_BYTES: usize = 4_000;

/// Instance of a fleet with its process. Dropping it kills the process.
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

    /// Returns the name of the instance.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address at which it listens for callers.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address at which it listens for operators.
    pub fn operators(&self) -> SocketAddr {
        self.addresses.operators
    }

    /// Returns the address at which it listens for other instances.
    pub fn peers(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Returns the path of its settings file.
    pub fn settings(&self) -> PathBuf {
        self.home.join("settings.json")
    }

    /// Returns the path of its data folder.
    pub fn data_folder(&self) -> PathBuf {
        self.home.join("data")
    }

    /// Whether the process was started and has not been found to have exited.
    pub fn is_started(&self) -> bool {
        self.process.is_some()
    }

    /// Returns the process id, if the process was started.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Starts the process.
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

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) -> Result<(), Error> {
        if let Some(mut process) = self.process.take() {
            with_action("killing an instance", process.kill())?;
            with_action("waiting for an instance to exit", process.wait())?;
        }
        Ok(())
    }

    /// Sends SIGTERM, so that the instance shuts down gracefully.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal("TERM")
    }

    /// Suspends the process with SIGSTOP: its connections stay open, but it does nothing.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal("STOP")
    }

    /// Resumes the process after [`Self::freeze`].
    pub fn thaw(&self) -> Result<(), Error> {
        self.signal("CONT")
    }

    /// Kills the process if it runs, starts it again with the same data, and waits until it is
    /// healthy.
    pub async fn restart(&mut self, timeout: Duration) -> Result<(), Error> {
        self.kill()?;
        self.start()?;
        self.wait_healthy(timeout).await
    }

    /// Removes all files in the data folder. The instance must not be running.
    pub fn wipe(&self) -> Result<(), Error> {
        let folder = self.data_folder();
        with_action("removing a data folder", fs::remove_dir_all(&folder))?;
        with_action("making a data folder", fs::create_dir_all(&folder))
    }

    /// Waits until the instance reports that it is healthy.
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

    /// Whether the instance holds a lease on its configuration according to its own metrics. The
    /// operators' status is not used, as it is the leader's.
    pub async fn is_fresh(&self) -> bool {
        let client = Client::new(self.operators(), HEALTH_TIMEOUT);
        let Ok(answer) = client.get("/metrics").await else {
            return false;
        };
        let text = String::from_utf8_lossy(&answer.body);
        text.lines().any(|line| line == FRESH_METRIC)
    }

    /// Waits until the process has exited. Returns its exit status, or `None` if it was not
    /// started.
    pub async fn wait_exit(&mut self, timeout: Duration) -> Result<Option<ExitStatus>, Error> {
        let started = Instant::now();
        while let Some(process) = &mut self.process {
            let ended = with_action("waiting for an instance to exit", process.try_wait())?;
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

    /// Returns the last part of the output of the instance.
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
        let ended = with_action(
            "checking whether an instance has exited",
            process.try_wait(),
        )?;
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
            log::warn!("failed to kill {}: {error}", self.name);
        }
    }
}

fn open_output(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}
