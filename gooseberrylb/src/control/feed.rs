//! This instance's copy of the configuration, with the latest changes for its followers.
//!
//! Changes are bounded by their number and by their size: declarations of thousands of routes may
//! change several times a second. See `docs/design/bounded-state.md`.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use gooseberrylb_config::directory::{Delta, Directory};
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Bytes, Revision};
use gooseberrylb_policy::moves::Move;
use gooseberrylb_wire::codec;
use gooseberrylb_wire::message::CatchUp;
use serde::Serialize;

/// Maximum number of changes kept. A follower that lacks more receives the whole configuration.
const MAX_CHANGES: usize = 256;

/// Total encoded size up to which changes are kept without a comparison with the size of the whole
/// configuration.
const MIN_HISTORY: Bytes = Bytes(64 * 1024);

/// Change of the configuration, kept for followers.
#[derive(Debug)]
struct Change {
    /// Change without its declaration.
    delta: Delta,
    /// Encoded size of the delta.
    size: Bytes,
}

/// Configuration and its latest changes. The revision never decreases.
#[derive(Debug, Default)]
pub struct Feed {
    directory: Arc<Directory>,
    /// Latest changes, oldest first.
    changes: VecDeque<Change>,
    /// Total size of the changes.
    history: Bytes,
    /// Revision at which the declaration last changed.
    declared: Revision,
    moves: Arc<BTreeMap<id::Version, Move>>,
}

impl Feed {
    /// Returns the current configuration.
    pub fn directory(&self) -> &Arc<Directory> {
        &self.directory
    }

    /// Returns the open moves between versions.
    pub fn moves(&self) -> &Arc<BTreeMap<id::Version, Move>> {
        &self.moves
    }

    /// Replaces the open moves.
    pub fn set_moves(&mut self, moves: BTreeMap<id::Version, Move>) {
        // Equal moves keep their allocation, since readers compare pointers to detect a change.
        if *self.moves != moves {
            self.moves = Arc::new(moves);
        }
    }

    /// Returns a hash of the moves and their steps, which is equal on all instances with the same
    /// moves.
    pub fn moves_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (version, known) in self.moves.iter() {
            (version, known.note, known.steps).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns the open moves, unless their hash equals that of the follower.
    pub fn moves_unless(&self, hash: u64) -> Option<Vec<Move>> {
        (hash != self.moves_hash()).then(|| self.moves.values().cloned().collect())
    }

    /// Replaces the configuration if `directory` is newer; returns whether it was.
    pub fn replace(&mut self, directory: &Directory) -> bool {
        if directory.revision <= self.directory.revision {
            return false;
        }
        let change = self.directory.diff(directory);
        self.record(change, directory);
        self.directory = Arc::new(directory.clone());
        true
    }

    /// Applies a change if it is based on the current configuration; returns whether it was.
    pub fn apply(&mut self, change: &Delta) -> bool {
        let mut next = (*self.directory).clone();
        if next.apply(change).is_err() || next.revision <= self.directory.revision {
            return false;
        }
        self.record(change.clone(), &next);
        self.directory = Arc::new(next);
        true
    }

    /// Returns what a follower lacks that has revision `since`.
    pub fn catch_up(&self, since: Revision) -> CatchUp {
        if since >= self.directory.revision {
            return CatchUp::None;
        }
        let changes = self.changes.iter().map(|change| &change.delta);
        let mut missing: Vec<_> = changes
            .skip_while(|delta| delta.from != since)
            .cloned()
            .collect();
        let Some(last) = missing.last_mut() else {
            return CatchUp::Whole(Box::new((*self.directory).clone()));
        };
        // A follower applies all changes that it lacks at once, so only the latest declaration is
        // kept and sent.
        if self.declared > since {
            last.set_declaration(self.directory.declaration.clone());
        }
        CatchUp::Changes(missing)
    }

    /// Keeps a change that leads to the configuration `next`.
    fn record(&mut self, mut delta: Delta, next: &Directory) {
        if delta.take_declaration().is_some() {
            self.declared = delta.to;
        }
        let size = encoded_size(&delta);
        self.history.0 = self.history.0.saturating_add(size.0);
        self.changes.push_back(Change { delta, size });
        while self.changes.len() > MAX_CHANGES || self.exceeds_whole(next) {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.history.0 -= oldest.size.0;
        }
    }

    /// Whether sending all changes kept would take more bytes than sending the configuration
    /// `whole`.
    fn exceeds_whole(&self, whole: &Directory) -> bool {
        self.history > MIN_HISTORY && self.history > encoded_size(whole)
    }
}

/// Returns the size of a value as it is sent to followers.
fn encoded_size<T: Serialize>(value: &T) -> Bytes {
    // A value that cannot be encoded cannot be sent either.
    codec::size(value).unwrap_or_default()
}

#[cfg(test)]
mod tests;
