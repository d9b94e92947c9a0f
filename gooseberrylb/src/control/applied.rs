//! Position up to which the log is applied, and when a snapshot has to replace the entries before
//! it.
//!
//! The entries since the last snapshot are held in memory and on disk, and are applied again at a
//! start, so they are bounded by their size as well as by their number. See
//! `docs/design/bounded-state.md`.

use gooseberrylb_config::number::{Bytes, Index, Term};
use gooseberrylb_control::entry::{Entry, Payload, Snapshot};
use gooseberrylb_control::membership::Membership;

/// Maximum number of entries applied between two snapshots.
const MAX_ENTRIES: u64 = 1_000;

/// Total size of the entries applied since the last snapshot at which the next one is due, unless the
/// last snapshot was larger.
const MIN_LOG: Bytes = Bytes(4 * 1024 * 1024);

/// Last applied position of the log.
#[derive(Debug, Clone, Default)]
pub struct Applied {
    /// Index of the last applied entry.
    index: Index,
    /// Term of the last applied entry.
    term: Term,
    /// Membership as of that entry.
    membership: Membership,
    /// Index of the last snapshot.
    snapshot: Index,
    /// Size of the state in the last snapshot.
    snapshot_size: Bytes,
    /// Total size of the entries applied since the last snapshot.
    log_size: Bytes,
}

impl Applied {
    /// Returns the position of a snapshot that was restored.
    pub fn restored(snapshot: &Snapshot) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            snapshot: snapshot.index,
            snapshot_size: Bytes(snapshot.state.len() as u64),
            log_size: Bytes(0),
        }
    }

    /// Records an entry that is applied.
    pub fn record(&mut self, entry: &Entry) {
        self.index = entry.index;
        self.term = entry.term;
        self.log_size.0 += entry.size().0;
        if let Payload::Membership(membership) = &entry.payload {
            self.membership = membership.clone();
        }
    }

    /// Whether a snapshot is due. A state larger than the log since its last snapshot would cost
    /// more to write than it saves.
    pub fn is_snapshot_due(&self) -> bool {
        self.index.0 >= self.snapshot.0 + MAX_ENTRIES
            || self.log_size >= MIN_LOG.max(self.snapshot_size)
    }

    /// Returns a snapshot at this position with the encoded `state`, and records it as the last one.
    pub fn take_snapshot(&mut self, state: Vec<u8>) -> Snapshot {
        let snapshot = Snapshot {
            index: self.index,
            term: self.term,
            membership: self.membership.clone(),
            state: state.into(),
        };
        *self = Self::restored(&snapshot);
        snapshot
    }
}

#[cfg(test)]
mod tests;
