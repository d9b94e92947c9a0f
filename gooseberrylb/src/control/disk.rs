//! The journal thread, which writes and syncs consensus records so that a slow sync does not delay
//! heartbeats.

use std::io;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use gooseberrylb_config::clock::Clock;
use gooseberrylb_control::consensus::Record;
use gooseberrylb_control::journal::{Error, Journal};

use crate::metrics::METRICS;

/// Exit code after a journal write or sync failed; equals `EX_IOERR` of `sysexits.h`.
const EXIT_JOURNAL_FAILURE: i32 = 74;

/// Duration of a write and its sync from which on it is logged: elections and changes wait for it.
const REPORTED_DURATION: Duration = Duration::from_millis(250);

/// Batch of records to be written and synced.
pub struct Job {
    /// Sequence number with which the completion is reported.
    pub sequence: u64,
    /// Records, in the order in which they are written.
    pub records: Vec<Record>,
}

/// Result of a job.
pub enum Completion {
    /// All jobs up to this sequence number are synced.
    Synced(u64),
    /// The disk is full; no record of the job with this sequence number was written.
    Refused(u64),
}

impl Completion {
    fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}

/// Starts the journal thread; returns its job queue and its completions.
pub fn spawn(
    journal: Journal,
    clock: Arc<dyn Clock>,
) -> io::Result<(mpsc::Sender<Job>, Receiver<Completion>)> {
    let (jobs, queue) = mpsc::channel();
    let (sender, completions) = async_channel::unbounded();
    thread::Builder::new()
        .name("journal".into())
        .spawn(move || run(journal, &*clock, &queue, &sender))?;
    Ok((jobs, completions))
}

fn run(
    mut journal: Journal,
    clock: &dyn Clock,
    jobs: &mpsc::Receiver<Job>,
    completions: &Sender<Completion>,
) {
    let mut is_full = false;
    for job in jobs {
        let started = clock.now();
        let result = journal.append(&job.records);
        let took = clock.now().saturating_duration_since(started);
        let completion = completion(job.sequence, result);
        let was_full = std::mem::replace(&mut is_full, completion.is_refused());
        log_write(&completion, was_full, took);
        if completions.try_send(completion).is_err() {
            return;
        }
    }
}

/// Records how long a write took, and logs one that was slow and when the disk becomes full or has
/// space again.
fn log_write(completion: &Completion, was_full: bool, took: Duration) {
    match completion {
        Completion::Synced(_) => {
            METRICS.journal_sync_seconds.observe(took.as_secs_f64());
            if was_full {
                log::info!("the journal has space again");
            }
        }
        Completion::Refused(_) if !was_full => {
            log::warn!(
                "the journal has no space; its records are kept in memory and written later"
            );
        }
        Completion::Refused(_) => {}
    }
    if took >= REPORTED_DURATION {
        log::warn!(ms = took.as_millis() as u64; "a write of the journal was slow");
    }
}

fn completion(sequence: u64, result: Result<(), Error>) -> Completion {
    match result {
        Ok(()) => {
            METRICS.journal_syncs.with_label_values(&["synced"]).inc();
            Completion::Synced(sequence)
        }
        Err(Error::Full) => {
            METRICS.journal_syncs.with_label_values(&["full"]).inc();
            Completion::Refused(sequence)
        }
        Err(error) => {
            // After a failed sync the contents of the disk are unknown; continuing or retrying
            // could acknowledge records that are lost.
            log::error!("journal write failed; stopping the instance: {error}");
            log::logger().flush();
            std::process::exit(EXIT_JOURNAL_FAILURE);
        }
    }
}
