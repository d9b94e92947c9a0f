//! In-memory image of a journal: the state that results from its records.

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::Error;
use crate::consensus::{Persisted, Record};
use crate::entry::{Entry, Snapshot};
use crate::membership::Cluster;

/// State of a node as recorded in its journal.
#[derive(Debug, Clone, Default)]
pub(super) struct Image {
    /// Cluster that the node belongs to, once known.
    cluster: Option<Cluster>,
    /// Current term.
    term: Term,
    /// Instance that the node voted for in the current term.
    vote: Option<id::Instance>,
    /// Latest snapshot.
    snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    entries: Vec<Entry>,
}

impl Image {
    /// Returns the state that the consensus node starts with.
    pub(super) fn persisted(&self) -> Persisted {
        Persisted {
            cluster: self.cluster,
            term: self.term,
            vote: self.vote.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    /// Returns the minimal list of records that reproduces this image.
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

    /// Checks that the entries are contiguous, without applying them.
    ///
    /// The records must not contain a snapshot.
    pub(super) fn check_contiguous(&self, records: &[Record]) -> Result<(), Error> {
        let mut next = Index(self.snapshot_index().0 + self.entries.len() as u64).next();
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

    /// Applies one record.
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
        let snapshot_index = self.snapshot_index();
        if entry.index <= snapshot_index {
            return Ok(());
        }
        let position = (entry.index.0 - snapshot_index.0 - 1) as usize;
        if position > self.entries.len() {
            return Err(Error::Gap { index: entry.index });
        }
        self.entries.truncate(position);
        self.entries.push(entry.clone());
        Ok(())
    }

    /// Applies a snapshot.
    ///
    /// Entries after the snapshot are kept only if the log contains the entry that it covers last;
    /// otherwise they belong to a log that was abandoned when the leader sent the snapshot.
    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        if snapshot.index < self.snapshot_index() {
            return;
        }
        let position = self
            .entries
            .iter()
            .position(|e| e.index == snapshot.index && e.term == snapshot.term);
        let is_same = self
            .snapshot
            .as_ref()
            .is_some_and(|s| s.index == snapshot.index && s.term == snapshot.term);
        match position {
            Some(position) => drop(self.entries.drain(..=position)),
            None if is_same => {}
            None => self.entries.clear(),
        }
        self.snapshot = Some(snapshot.clone());
    }

    /// Returns the index of the last entry covered by the snapshot.
    fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |s| s.index)
    }
}
