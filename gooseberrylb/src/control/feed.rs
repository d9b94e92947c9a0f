//! The configuration as this instance holds it, with the last changes for those that follow it.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use gooseberrylb_config::directory::{Delta, Directory};
use gooseberrylb_config::id;
use gooseberrylb_config::number::Revision;
use gooseberrylb_policy::moves::Move;
use gooseberrylb_wire::message::News;

/// How many changes are kept; a follower that lacks more gets the whole configuration.
const MAX_CHANGES: usize = 256;

/// The configuration and its last changes; it never goes back.
#[derive(Debug, Default)]
pub struct Feed {
    directory: Arc<Directory>,
    changes: VecDeque<(Revision, Delta)>,
    moves: Arc<BTreeMap<id::Version, Move>>,
}

impl Feed {
    /// The configuration.
    pub fn directory(&self) -> &Arc<Directory> {
        &self.directory
    }

    /// The moves between versions that are watched.
    pub fn moves(&self) -> &Arc<BTreeMap<id::Version, Move>> {
        &self.moves
    }

    /// Replaces the moves by what the leader knows.
    pub fn set_moves(&mut self, moves: BTreeMap<id::Version, Move>) {
        // The same moves keep their place in memory, by which readers tell that nothing changed.
        if *self.moves != moves {
            self.moves = Arc::new(moves);
        }
    }

    /// A hash of the moves: the same for the same steps of the same moves, at every instance.
    pub fn moves_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (version, known) in self.moves.iter() {
            (version, known.note, known.steps).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// The moves, for a follower that has another hash.
    pub fn moves_unless(&self, hash: u64) -> Option<Vec<Move>> {
        (hash != self.moves_hash()).then(|| self.moves.values().cloned().collect())
    }

    /// Takes a whole configuration, if it is directory; says whether it was.
    pub fn replace(&mut self, directory: &Directory) -> bool {
        if directory.revision <= self.directory.revision {
            return false;
        }
        let change = self.directory.diff(directory);
        self.record(change);
        self.directory = Arc::new(directory.clone());
        true
    }

    /// Takes one change, if it follows what is held; says whether it did.
    pub fn apply(&mut self, change: &Delta) -> bool {
        let mut next = (*self.directory).clone();
        if next.apply(change).is_err() || next.revision <= self.directory.revision {
            return false;
        }
        self.record(change.clone());
        self.directory = Arc::new(next);
        true
    }

    /// What a follower lacks that holds `since`.
    pub fn news(&self, since: Revision) -> News {
        if since >= self.directory.revision {
            return News::None;
        }
        let first = self.changes.iter().position(|(base, _)| *base == since);
        match first {
            Some(at) => News::Changes(
                self.changes
                    .iter()
                    .skip(at)
                    .map(|(_, d)| d.clone())
                    .collect(),
            ),
            None => News::Whole(Box::new((*self.directory).clone())),
        }
    }

    fn record(&mut self, change: Delta) {
        self.changes.push_back((self.directory.revision, change));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
