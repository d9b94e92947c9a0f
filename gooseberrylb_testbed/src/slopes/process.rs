//! Resource usage of the instances' processes, read from `/proc` and from their links.

use std::fs;
use std::time::Duration;

use anyhow::Context;

use crate::fleet::{Fleet, Instance};

/// Clock ticks per second of the processor times in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;

/// Number of fields of `/proc/PID/stat` between the program's name and its time in user mode.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Resource usage of a process since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time of all threads, in user and system mode.
    pub cpu: Duration,
    /// Resident memory at present, in bytes.
    pub resident_bytes: u64,
    /// Bytes forwarded on peer links so far, both directions together; 0 without proxied links.
    pub link_bytes: u64,
}

impl Usage {
    /// Reads the usage of instance `i` of a fleet.
    pub fn read(fleet: &Fleet, i: usize) -> anyhow::Result<Self> {
        let instance: &Instance = &fleet.instances()[i];
        let id = instance.process_id().context("an instance does not run")?;
        let links = fleet.links_of(i).map(|link| link.forwarded_bytes());
        Ok(Self {
            cpu: cpu_time(id)?,
            resident_bytes: resident_memory(id)?,
            link_bytes: links.sum(),
        })
    }

    /// Reads the usage of every instance of a fleet, in their order.
    pub fn read_all(fleet: &Fleet) -> anyhow::Result<Vec<Self>> {
        (0..fleet.instances().len())
            .map(|i| Self::read(fleet, i))
            .collect()
    }
}

/// Returns the processor time of a process, in user and system mode.
fn cpu_time(id: u32) -> anyhow::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{id}/stat"))
        .context("reading a process's processor time")?;
    // The program's name is in parentheses and may contain spaces.
    let (_, fields) = text
        .rsplit_once(')')
        .context("the stat line of a process is incomplete")?;
    let times = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_USER_TIME)
        .take(2);
    let ticks = times.map(str::parse::<u64>).sum::<Result<u64, _>>()?;
    Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of a process, in bytes.
fn resident_memory(id: u32) -> anyhow::Result<u64> {
    let text =
        fs::read_to_string(format!("/proc/{id}/status")).context("reading a process's memory")?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("a process tells no memory")?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kilobytes * 1024)
}
