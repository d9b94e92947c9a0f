//! What the records in a journal add up to.

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::Error;
use crate::consensus::{Persisted, Record};
use crate::entry::{Entry, Snapshot};
use crate::membership::Cluster;

/// The state of a node as its journal holds it.
#[derive(Debug, Clone, Default)]
pub(super) struct Image {
    /// The cluster.
    cluster: Option<Cluster>,
    /// The term.
    term: Term,
    /// The vote in it.
    vote: Option<id::Instance>,
    /// The last snapshot.
    snapshot: Option<Snapshot>,
    /// The entries behind it.
    entries: Vec<Entry>,
}

impl Image {
    /// What a node starts with.
    pub(super) fn persisted(&self) -> Persisted {
        Persisted {
            cluster: self.cluster,
            term: self.term,
            vote: self.vote.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    /// The fewest records that add up to the same.
    pub(super) fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        records.extend(self.snapshot.clone().map(Record::Snapshot));
        records.extend(self.entries.iter().cloned().map(Record::Entry));
        records.push(Record::Vote {
            term: self.term,
            vote: self.vote.clone(),
        });
        records.extend(self.cluster.map(Record::Cluster));
        records
    }

    /// Checks that entries follow on, without applying them; for records without a snapshot.
    pub(super) fn check(&self, records: &[Record]) -> Result<(), Error> {
        let mut next = Index(self.covered().0 + self.entries.len() as u64).next();
        for record in records {
            if let Record::Entry(entry) = record {
                if entry.index > next {
                    return Err(Error::Gap { index: entry.index });
                }
                next = entry.index.next();
            }
        }
        Ok(())
    }

    /// Adds a record.
    pub(super) fn apply(&mut self, record: &Record) -> Result<(), Error> {
        match record {
            Record::Vote { term, vote } => {
                self.term = *term;
                self.vote = vote.clone();
            }
            Record::Cluster(cluster) => self.cluster = Some(*cluster),
            Record::Entry(entry) => self.apply_entry(entry)?,
            Record::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        }
        Ok(())
    }

    fn apply_entry(&mut self, entry: &Entry) -> Result<(), Error> {
        let covered = self.covered();
        if entry.index <= covered {
            return Ok(());
        }
        let place = (entry.index.0 - covered.0 - 1) as usize;
        if place > self.entries.len() {
            return Err(Error::Gap { index: entry.index });
        }
        self.entries.truncate(place);
        self.entries.push(entry.clone());
        Ok(())
    }

    /// Takes a snapshot. Entries behind it stay only where the log led up to it: else they are of
    /// a log that was given up when the leader sent the snapshot.
    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        if snapshot.index < self.covered() {
            return;
        }
        let place = self
            .entries
            .iter()
            .position(|e| e.index == snapshot.index && e.term == snapshot.term);
        let is_same = self
            .snapshot
            .as_ref()
            .is_some_and(|s| s.index == snapshot.index && s.term == snapshot.term);
        match place {
            Some(place) => drop(self.entries.drain(..=place)),
            None if is_same => {}
            None => self.entries.clear(),
        }
        self.snapshot = Some(snapshot.clone());
    }

    /// The last entry that the snapshot covers.
    fn covered(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |s| s.index)
    }
}
