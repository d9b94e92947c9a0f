//! Log in memory: the latest snapshot, the entries after it, and a number of entries before it.

use std::collections::VecDeque;

use gooseberrylb_config::number::{Bytes, Index, Term};

use super::message::Position;
use super::{Persisted, RETAINED, RETAINED_ENTRIES};
use crate::entry::{Entry, Payload, Snapshot};
use crate::membership::Membership;

/// Snapshot and entries that a node holds.
#[derive(Debug, Clone, Default)]
pub(super) struct Log {
    /// Latest snapshot taken or received.
    snapshot: Option<Snapshot>,
    /// Position before the first entry held.
    base: Position,
    /// Membership at the base.
    base_membership: Membership,
    /// Entries after the base.
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates the log that the journal recovered.
    pub(super) fn new(persisted: &Persisted) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = &persisted.snapshot {
            log.reset(snapshot.clone());
        }
        log.entries.extend(persisted.entries.iter().cloned());
        log
    }

    /// Returns the position of the last entry.
    pub(super) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, position)
    }

    /// Returns the position before the first entry held.
    pub(super) fn base(&self) -> Position {
        self.base
    }

    /// Returns the latest snapshot.
    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the entry at `index`, if it is held.
    pub(super) fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term of the entry at `index`, if it is known.
    pub(super) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the position at `index`, if its term is known.
    pub(super) fn position(&self, index: Index) -> Option<Position> {
        let term = self.term(index)?;
        Some(Position { term, index })
    }

    /// Returns the entries from `from` to `to` inclusive, up to the first one that is not held.
    pub(super) fn range(&self, from: Index, to: Index) -> impl Iterator<Item = &Entry> {
        (from.0..=to.0).map_while(|index| self.entry(Index(index)))
    }

    /// Appends an entry after the last one.
    pub(super) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all entries after it.
    pub(super) fn truncate(&mut self, index: Index) {
        let keep = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Returns the latest membership recorded up to `index`, with the index of its entry.
    pub(super) fn membership(&self, index: Index) -> (Index, &Membership) {
        let named = self
            .entries
            .iter()
            .rev()
            .skip_while(|entry| entry.index > index)
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                Payload::Noop | Payload::Command(_) => None,
            });
        named.unwrap_or((self.base.index, &self.base_membership))
    }

    /// Stores a snapshot of this node's own state, and drops the covered entries except for the
    /// last ones, as many as [`RETAINED_ENTRIES`] and [`RETAINED`] allow.
    pub(super) fn compact(&mut self, snapshot: Snapshot) {
        let keep_from = self.retained_from(snapshot.index);
        while self.base.index < keep_from {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base = position(&entry);
            if let Payload::Membership(membership) = entry.payload {
                self.base_membership = membership;
            }
        }
        self.snapshot = Some(snapshot);
    }

    /// Returns the index after which entries are kept when a snapshot covers those up to `covered`.
    fn retained_from(&self, covered: Index) -> Index {
        let first = Index(covered.0.saturating_sub(RETAINED_ENTRIES));
        let mut kept = Bytes(0);
        let newest_first = self.entries.iter().rev();
        let mut candidates = newest_first
            .skip_while(|entry| entry.index > covered)
            .take_while(|entry| entry.index > first);
        let too_old = candidates.find(|entry| {
            kept.0 += entry.size().0;
            kept > RETAINED
        });
        too_old.map_or(first, |entry| entry.index)
    }

    /// Stores a snapshot received from the leader, keeping the entries after it if the log contains
    /// its last entry.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        let follows_on = self.term(snapshot.index) == Some(snapshot.term);
        if follows_on {
            self.compact(snapshot);
        } else {
            self.reset(snapshot);
        }
    }

    fn reset(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.base = Position {
            term: snapshot.term,
            index: snapshot.index,
        };
        self.base_membership = snapshot.membership.clone();
        self.snapshot = Some(snapshot);
    }
}

fn position(entry: &Entry) -> Position {
    Position {
        term: entry.term,
        index: entry.index,
    }
}
