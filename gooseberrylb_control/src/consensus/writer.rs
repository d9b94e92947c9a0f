//! What is yet to be written to the journal, and what waits until it is synced.
//!
//! One batch is under way at a time, and what comes up meanwhile goes into the next. So a refused
//! batch leaves no gap in the journal, and a slow disk makes for larger batches.

use std::time::Instant;

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::message::Body;

/// What is done once the journal has synced what it relies on.
#[derive(Debug, Clone)]
pub(super) enum Deferred {
    /// Tell a candidate that it has this node's vote.
    Grant {
        /// The candidate.
        to: id::Instance,
        /// The term of the vote.
        term: Term,
    },
    /// Count the node's own vote and ask the others for theirs.
    Campaign {
        /// The term of the election.
        term: Term,
        /// The request for a vote.
        request: Body,
    },
}

/// What a batch holds.
#[derive(Debug, Clone, Default)]
pub(super) struct Batch {
    /// Whether it holds the cluster.
    pub cluster: bool,
    /// Whether it holds the term and vote.
    pub vote: bool,
    /// Whether it holds the snapshot.
    pub snapshot: bool,
    /// The first entry that it holds, if any.
    pub first: Option<Index>,
}

impl Batch {
    /// Whether it holds nothing.
    pub(super) fn is_empty(&self) -> bool {
        !self.cluster && !self.vote && !self.snapshot && self.first.is_none()
    }

    /// Adds what `other` holds.
    fn merge(&mut self, other: &Batch) {
        self.cluster |= other.cluster;
        self.vote |= other.vote;
        self.snapshot |= other.snapshot;
        self.first = match (self.first, other.first) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
}

/// A batch that the journal is writing.
#[derive(Debug, Clone)]
struct Flight {
    /// Its number.
    sequence: u64,
    /// What it holds.
    batch: Batch,
    /// The last entry of the log that will be synced with it.
    top: Index,
}

/// Keeps account of what the journal has, is given and waits for.
#[derive(Debug, Clone, Default)]
pub(super) struct Writer {
    /// The number of the last batch given.
    sequence: u64,
    /// What the next batch is to hold.
    dirty: Batch,
    /// The batch under way.
    flight: Option<Flight>,
    /// The last entry that is synced.
    synced: Index,
    /// What waits for the sync of a batch, by the batch's number.
    deferred: Vec<(u64, Deferred)>,
    /// When a refused batch is tried again.
    retry: Option<Instant>,
}

impl Writer {
    /// A writer for a log that is on disk up to `synced`.
    pub(super) fn new(synced: Index) -> Self {
        Self {
            synced,
            ..Self::default()
        }
    }

    /// The last entry that is synced.
    pub(super) fn synced(&self) -> Index {
        self.synced
    }

    /// Whether the cluster is yet to be synced.
    pub(super) fn owes_cluster(&self) -> bool {
        let is_in_flight = self.flight.as_ref().is_some_and(|f| f.batch.cluster);
        self.dirty.cluster || is_in_flight
    }

    /// Whether the journal refused the last batch for want of space.
    pub(super) fn is_full(&self) -> bool {
        self.retry.is_some()
    }

    /// Notes that the cluster is to be written.
    pub(super) fn touch_cluster(&mut self) {
        self.dirty.cluster = true;
    }

    /// Notes that the term and vote are to be written.
    pub(super) fn touch_vote(&mut self) {
        self.dirty.vote = true;
    }

    /// Notes that the snapshot is to be written.
    pub(super) fn touch_snapshot(&mut self) {
        self.dirty.snapshot = true;
    }

    /// Notes that the entries from `index` on are to be written.
    pub(super) fn touch_entries(&mut self, index: Index) {
        let first = self.dirty.first.map_or(index, |first| first.min(index));
        self.dirty.first = Some(first);
    }

    /// Notes that the entry at `index` and all behind it are no longer what was written.
    pub(super) fn truncated(&mut self, index: Index) {
        let top = Index(index.0.saturating_sub(1));
        self.synced = self.synced.min(top);
        if let Some(flight) = &mut self.flight {
            flight.top = flight.top.min(top);
        }
    }

    /// Notes that a received snapshot up to `index` has replaced the whole log.
    pub(super) fn replaced(&mut self) {
        self.synced = Index(0);
        self.dirty.first = None;
        if let Some(flight) = &mut self.flight {
            flight.top = Index(0);
        }
    }

    /// Puts off `action` until all noted so far is synced.
    pub(super) fn defer(&mut self, action: Deferred) {
        self.deferred.push((self.sequence + 1, action));
    }

    /// The next batch and its number, if there is one and none is under way.
    pub(super) fn next(&mut self, now: Instant, last: Index) -> Option<(u64, Batch)> {
        if self.flight.is_some() || self.retry.is_some_and(|retry| now < retry) {
            return None;
        }
        if self.dirty.is_empty() {
            // What was refused has been withdrawn, so that only new records can try again.
            self.retry = None;
            return None;
        }
        let batch = std::mem::take(&mut self.dirty);
        self.sequence += 1;
        self.flight = Some(Flight {
            sequence: self.sequence,
            batch: batch.clone(),
            top: last,
        });
        Some((self.sequence, batch))
    }

    /// Takes note that a batch is synced, and gives what waited for it.
    pub(super) fn synced_to(&mut self, sequence: u64) -> Vec<Deferred> {
        let Some(flight) = self.flight.take_if(|flight| flight.sequence <= sequence) else {
            return Vec::new();
        };
        self.retry = None;
        self.synced = self.synced.max(flight.top);
        let ready = flight.sequence;
        let (due, rest) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|(needs, _)| *needs <= ready);
        self.deferred = rest;
        due.into_iter().map(|(_, action)| action).collect()
    }

    /// Takes note that a batch was refused, to be tried again at `retry`.
    pub(super) fn refused(&mut self, sequence: u64, retry: Instant) -> bool {
        let Some(flight) = self.flight.take_if(|flight| flight.sequence == sequence) else {
            return false;
        };
        self.dirty.merge(&flight.batch);
        self.retry = Some(retry);
        true
    }

    /// Forgets the entries from `index` on that were to be written.
    pub(super) fn forget_entries(&mut self, index: Index) {
        self.dirty.first = self.dirty.first.filter(|first| *first < index);
    }
}
