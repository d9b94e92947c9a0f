//! The thread that writes the journal, so that a slow sync delays no heartbeat.

use std::io;
use std::sync::mpsc;
use std::thread;

use async_channel::{Receiver, Sender};
use gooseberrylb_control::consensus::Record;
use gooseberrylb_control::journal::{Error, Journal};

use crate::metrics::METRICS;

/// The exit code of an instance whose disk can no longer be trusted.
const EXIT_JOURNAL_FAILURE: i32 = 74;

/// Records to be written and synced.
pub struct Job {
    /// The number by which the end is reported.
    pub sequence: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// How a job ended.
pub enum Completion {
    /// All records up to this number are synced.
    Synced(u64),
    /// The disk is full, and nothing of this job was written.
    Refused(u64),
}

/// Starts the thread.
pub fn spawn(journal: Journal) -> io::Result<(mpsc::Sender<Job>, Receiver<Completion>)> {
    let (jobs, queue) = mpsc::channel();
    let (done, completions) = async_channel::unbounded();
    thread::Builder::new()
        .name("journal".into())
        .spawn(move || run(journal, &queue, &done))?;
    Ok((jobs, completions))
}

fn run(mut journal: Journal, jobs: &mpsc::Receiver<Job>, done: &Sender<Completion>) {
    for job in jobs {
        let result = journal.append(&job.records);
        if done.try_send(completion(job.sequence, result)).is_err() {
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
            // After a failed sync nobody can know what is on the disk: going on, or trying again,
            // could acknowledge what is lost.
            log::error!("the journal failed, so this instance stops: {error}");
            log::logger().flush();
            std::process::exit(EXIT_JOURNAL_FAILURE);
        }
    }
}
