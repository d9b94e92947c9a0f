//! This instance's copy of the configuration, with the latest changes for its followers.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use gooseberrylb_config::directory::{Delta, Directory};
use gooseberrylb_config::id;
use gooseberrylb_config::number::Revision;
use gooseberrylb_policy::moves::Move;
use gooseberrylb_wire::message::CatchUp;

/// Maximum number of changes kept. A follower that lacks more receives the whole configuration.
const MAX_CHANGES: usize = 256;

/// Configuration and its latest changes. The revision never decreases.
#[derive(Debug, Default)]
pub struct Feed {
    directory: Arc<Directory>,
    /// Latest changes, each with the revision that it applies to.
    changes: VecDeque<(Revision, Delta)>,
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
        self.record(change);
        self.directory = Arc::new(directory.clone());
        true
    }

    /// Applies a change if it is based on the current configuration; returns whether it was.
    pub fn apply(&mut self, change: &Delta) -> bool {
        let mut next = (*self.directory).clone();
        if next.apply(change).is_err() || next.revision <= self.directory.revision {
            return false;
        }
        self.record(change.clone());
        self.directory = Arc::new(next);
        true
    }

    /// Returns what a follower lacks that has revision `since`.
    pub fn catch_up(&self, since: Revision) -> CatchUp {
        if since >= self.directory.revision {
            return CatchUp::None;
        }
        let first = self.changes.iter().position(|(base, _)| *base == since);
        match first {
            Some(at) => CatchUp::Changes(
                self.changes
                    .iter()
                    .skip(at)
                    .map(|(_, d)| d.clone())
                    .collect(),
            ),
            None => CatchUp::Whole(Box::new((*self.directory).clone())),
        }
    }

    fn record(&mut self, change: Delta) {
        self.changes.push_back((self.directory.revision, change));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
