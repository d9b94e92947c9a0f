//! Bookkeeping of what has yet to be written to the journal, and of the actions that wait for a
//! sync.
//!
//! Only one batch is in progress at a time; whatever accumulates meanwhile goes into the next. A
//! refused batch therefore leaves no gap in the journal, and a slow disk leads to larger batches.

use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::message::Body;

/// Action that is carried out after the records it depends on are synced.
#[derive(Debug, Clone)]
pub(super) enum Deferred {
    /// Tell a candidate that this node votes for it.
    GrantVote {
        /// Candidate that receives the vote.
        to: id::Instance,
        /// Term of the vote.
        term: Term,
    },
    /// Count the node's own vote, and request the votes of the other voters.
    RequestVotes {
        /// Term of the election.
        term: Term,
        /// Vote request to send.
        request: Body,
    },
    /// Take part in the agreement of the founders.
    BecomeFounder,
    /// Count the node's own vote in the agreement of the founders, and request those of the others.
    RequestBallots {
        /// Term of the candidacy.
        term: Term,
    },
    /// Tell a founder that this one votes for it.
    GrantBallot {
        /// Candidate that receives the vote.
        to: id::Instance,
        /// Term of the vote.
        term: Term,
    },
    /// Act on the first membership that this founder has accepted.
    Accept {
        /// Term in which it was accepted.
        term: Term,
        /// Founder that proposed it; none if it contains all founders and needs no proposer.
        proposer: Option<id::Instance>,
    },
}

/// Kinds of records that a batch contains.
#[derive(Debug, Clone, Default)]
pub(super) struct Batch {
    /// Whether it contains the cluster.
    pub cluster: bool,
    /// Whether it contains what a founder has accepted, unless that belongs to a cluster by now.
    pub founder: bool,
    /// Whether it contains the term and the vote.
    pub vote: bool,
    /// Whether it contains the snapshot.
    pub snapshot: bool,
    /// Index of the first entry it contains, if any; it contains all entries from there on.
    pub first: Option<Index>,
}

impl Batch {
    /// Whether the batch contains nothing.
    pub(super) fn is_empty(&self) -> bool {
        !self.cluster && !self.founder && !self.vote && !self.snapshot && self.first.is_none()
    }

    /// Adds the contents of `other`.
    fn merge(&mut self, other: &Batch) {
        self.cluster |= other.cluster;
        self.founder |= other.founder;
        self.vote |= other.vote;
        self.snapshot |= other.snapshot;
        self.first = match (self.first, other.first) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
}

/// Batch that the journal is writing.
#[derive(Debug, Clone)]
struct PendingBatch {
    /// Sequence number of the batch.
    sequence: u64,
    /// Contents of the batch.
    batch: Batch,
    /// Index of the last entry that is synced once the batch is.
    last_index: Index,
    /// Time at which the batch was passed on.
    started: Instant,
}

/// State of what the journal has synced, is writing and has yet to receive.
#[derive(Debug, Clone, Default)]
pub(super) struct Writer {
    /// Sequence number of the last batch passed on.
    sequence: u64,
    /// Contents of the next batch.
    dirty: Batch,
    /// Batch that the journal is writing, if any.
    in_flight: Option<PendingBatch>,
    /// Index of the last entry that is synced.
    synced: Index,
    /// Actions that wait for a sync, each with the sequence number of the batch it needs.
    deferred: Vec<(u64, Deferred)>,
    /// Time at which a refused batch is tried again; none unless the last batch was refused.
    retry_at: Option<Instant>,
    /// Time that a sync is expected to take.
    sync_time: Duration,
}

impl Writer {
    /// Creates the state for a log that is synced up to `synced`.
    pub(super) fn new(synced: Index) -> Self {
        Self {
            synced,
            ..Self::default()
        }
    }

    /// Returns the index of the last entry that is synced.
    pub(super) fn synced(&self) -> Index {
        self.synced
    }

    /// Returns the time that a sync is expected to take, by the latest ones; zero before the first one.
    pub(super) fn sync_time(&self) -> Duration {
        self.sync_time
    }

    /// Whether a vote of this node is being synced.
    pub(super) fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Whether the cluster has yet to be synced.
    pub(super) fn is_cluster_unsynced(&self) -> bool {
        let is_being_written = self.in_flight.as_ref().is_some_and(|f| f.batch.cluster);
        self.dirty.cluster || is_being_written
    }

    /// Whether the journal refused the last batch for lack of space.
    pub(super) fn is_full(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Marks the cluster to be written.
    pub(super) fn mark_cluster(&mut self) {
        self.dirty.cluster = true;
    }

    /// Marks what a founder has accepted to be written.
    pub(super) fn mark_founder(&mut self) {
        self.dirty.founder = true;
    }

    /// Marks the term and the vote to be written.
    pub(super) fn mark_vote(&mut self) {
        self.dirty.vote = true;
    }

    /// Marks the snapshot to be written.
    pub(super) fn mark_snapshot(&mut self) {
        self.dirty.snapshot = true;
    }

    /// Marks the entries from `index` on to be written.
    pub(super) fn mark_entries(&mut self, index: Index) {
        let first = self.dirty.first.map_or(index, |first| first.min(index));
        self.dirty.first = Some(first);
    }

    /// Records that the entry at `index` and all entries after it were dropped, and are no longer
    /// what the journal holds.
    pub(super) fn truncated(&mut self, index: Index) {
        let last_index = Index(index.0.saturating_sub(1));
        self.synced = self.synced.min(last_index);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last_index = in_flight.last_index.min(last_index);
        }
    }

    /// Records that a received snapshot replaced the whole log.
    pub(super) fn log_replaced(&mut self) {
        self.synced = Index(0);
        self.dirty.first = None;
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last_index = Index(0);
        }
    }

    /// Defers `action` until everything marked so far is synced.
    pub(super) fn defer(&mut self, action: Deferred) {
        self.deferred.push((self.sequence + 1, action));
    }

    /// Returns the next batch and its sequence number, or none if there is nothing to write, a
    /// batch is in progress or the retry time has not come.
    pub(super) fn next_batch(&mut self, now: Instant, last: Index) -> Option<(u64, Batch)> {
        if self.in_flight.is_some() || self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return None;
        }
        if self.dirty.is_empty() {
            // The refused entries were withdrawn, so that only new records can trigger another
            // attempt.
            self.retry_at = None;
            return None;
        }
        let batch = std::mem::take(&mut self.dirty);
        self.sequence += 1;
        self.in_flight = Some(PendingBatch {
            sequence: self.sequence,
            batch: batch.clone(),
            last_index: last,
            started: now,
        });
        Some((self.sequence, batch))
    }

    /// Records that all batches up to `sequence` are synced, and returns the actions that waited
    /// for them.
    pub(super) fn synced_to(&mut self, sequence: u64, now: Instant) -> Vec<Deferred> {
        let Some(in_flight) = self
            .in_flight
            .take_if(|in_flight| in_flight.sequence <= sequence)
        else {
            return Vec::new();
        };
        self.retry_at = None;
        let took = now.saturating_duration_since(in_flight.started);
        self.sync_time = took.max(self.sync_time / 2);
        self.synced = self.synced.max(in_flight.last_index);
        let ready = in_flight.sequence;
        let (due, rest) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|(required, _)| *required <= ready);
        self.deferred = rest;
        due.into_iter().map(|(_, action)| action).collect()
    }

    /// Records that a batch was refused and is to be tried again at `retry_at`; returns whether
    /// that batch was in progress.
    pub(super) fn refused(&mut self, sequence: u64, retry_at: Instant) -> bool {
        let Some(in_flight) = self
            .in_flight
            .take_if(|in_flight| in_flight.sequence == sequence)
        else {
            return false;
        };
        self.dirty.merge(&in_flight.batch);
        self.retry_at = Some(retry_at);
        true
    }

    /// Removes the entries from `index` on from what has yet to be written.
    pub(super) fn discard_entries(&mut self, index: Index) {
        self.dirty.first = self.dirty.first.filter(|first| *first < index);
    }
}
