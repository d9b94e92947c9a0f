//! What a process has used so far, from what the system tells of it.

use std::fs;
use std::time::Duration;

use anyhow::Context;

use crate::fleet::{Fleet, Instance};

/// The ticks a second in which the system counts processor time.
const TICKS_PER_SECOND: u64 = 100;

/// The fields between the end of a program's name and its time in user mode.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// What a process has used so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time of all threads, for the program and for the system on its behalf.
    pub cpu: Duration,
    /// Memory in use now, in bytes.
    pub resident_bytes: u64,
    /// Bytes on peer links so far, both directions together.
    pub link_bytes: u64,
}

impl Usage {
    /// Reads what instance `i` of a fleet has used.
    pub fn read(fleet: &Fleet, i: usize) -> anyhow::Result<Self> {
        let instance: &Instance = &fleet.instances()[i];
        let id = instance.process_id().context("an instance does not run")?;
        let links = fleet.links_of(i).map(|link| link.forwarded_bytes());
        Ok(Self {
            cpu: cpu(id)?,
            resident_bytes: resident(id)?,
            link_bytes: links.sum(),
        })
    }

    /// Reads what every instance of a fleet has used.
    pub fn read_all(fleet: &Fleet) -> anyhow::Result<Vec<Self>> {
        (0..fleet.instances().len())
            .map(|i| Self::read(fleet, i))
            .collect()
    }
}

fn cpu(id: u32) -> anyhow::Result<Duration> {
    let text =
        fs::read_to_string(format!("/proc/{id}/stat")).context("reading a process's time")?;
    // The program's name stands in parentheses and may hold spaces.
    let (_, fields) = text.rsplit_once(')').context("a process's line is cut")?;
    let times = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_USER_TIME)
        .take(2);
    let ticks = times.map(str::parse::<u64>).sum::<Result<u64, _>>()?;
    Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}

fn resident(id: u32) -> anyhow::Result<u64> {
    let text =
        fs::read_to_string(format!("/proc/{id}/status")).context("reading a process's memory")?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("a process tells no memory")?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kilobytes * 1024)
}
