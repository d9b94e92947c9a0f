//! The journal thread, which writes and syncs consensus records so that a slow sync does not delay
//! heartbeats.

use std::io;
use std::sync::mpsc;
use std::thread;

use async_channel::{Receiver, Sender};
use gooseberrylb_control::consensus::Record;
use gooseberrylb_control::journal::{Error, Journal};

use crate::metrics::METRICS;

/// Exit code after a journal write or sync failed; equals `EX_IOERR` of `sysexits.h`.
const EXIT_JOURNAL_FAILURE: i32 = 74;

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

/// Starts the journal thread; returns its job queue and its completions.
pub fn spawn(journal: Journal) -> io::Result<(mpsc::Sender<Job>, Receiver<Completion>)> {
    let (jobs, queue) = mpsc::channel();
    let (sender, completions) = async_channel::unbounded();
    thread::Builder::new()
        .name("journal".into())
        .spawn(move || run(journal, &queue, &sender))?;
    Ok((jobs, completions))
}

fn run(mut journal: Journal, jobs: &mpsc::Receiver<Job>, completions: &Sender<Completion>) {
    for job in jobs {
        let result = journal.append(&job.records);
        if completions
            .try_send(completion(job.sequence, result))
            .is_err()
        {
            return;
        }
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
