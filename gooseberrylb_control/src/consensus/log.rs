//! The log in memory: a snapshot and the entries since, with some from before it.

use std::collections::VecDeque;

use gooseberrylb_config::number::{Index, Term};

use super::message::Position;
use super::{Persisted, RETAINED_ENTRIES};
use crate::entry::{Entry, Payload, Snapshot};
use crate::membership::Membership;

/// The entries that a node holds.
#[derive(Debug, Clone, Default)]
pub(super) struct Log {
    /// The last snapshot taken or received.
    snapshot: Option<Snapshot>,
    /// The position before the first entry.
    base: Position,
    /// The membership at the base.
    base_membership: Membership,
    /// The entries behind the base.
    entries: VecDeque<Entry>,
}

impl Log {
    /// The log that the journal recovered.
    pub(super) fn new(persisted: &Persisted) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = &persisted.snapshot {
            log.reset(snapshot.clone());
        }
        log.entries.extend(persisted.entries.iter().cloned());
        log
    }

    /// The position of the last entry.
    pub(super) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, position)
    }

    /// The position before the first entry.
    pub(super) fn base(&self) -> Position {
        self.base
    }

    /// The last snapshot.
    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The entry at `index`, if it is held.
    pub(super) fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term of the entry at `index`, if it is known.
    pub(super) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The position at `index`, if it is known.
    pub(super) fn position(&self, index: Index) -> Option<Position> {
        let term = self.term(index)?;
        Some(Position { term, index })
    }

    /// The entries from `from` up to and with `to`, as far as they are held.
    pub(super) fn range(&self, from: Index, to: Index) -> impl Iterator<Item = &Entry> {
        (from.0..=to.0).map_while(|index| self.entry(Index(index)))
    }

    /// Adds an entry behind the last one.
    pub(super) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all behind it.
    pub(super) fn truncate(&mut self, index: Index) {
        let keep = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// The membership that the log has last named up to `index`, and where.
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

    /// Takes a snapshot of this node's own state and drops what it covers, but for a tail.
    pub(super) fn compact(&mut self, snapshot: Snapshot) {
        let keep_from = snapshot.index.0.saturating_sub(RETAINED_ENTRIES);
        while self.base.index.0 < keep_from {
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

    /// Takes a snapshot received from the leader; entries that follow on from it stay.
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
