//! The snapshot of the configuration that traffic reads without locks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use gooseberrylb_config::directory::{Cell, Directory, View};
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use gooseberrylb_policy::moves::Move;

/// What this instance knows of the configuration, and until when it may act on it.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The configuration.
    pub directory: Arc<Directory>,
    /// The moves between versions that are watched.
    pub moves: Arc<BTreeMap<id::Version, Move>>,
    /// The end of the freshness lease; without one, no work may be started upstream.
    pub fresh_until: Option<Instant>,
    /// The leader, as far as it is known.
    pub leader: Option<id::Instance>,
    /// The leader's term.
    pub term: number::Term,
    /// The cluster, once it is known.
    pub cluster: Option<u64>,
    /// The requests that each instance holds for callers.
    pub loads: Arc<BTreeMap<id::Instance, u32>>,
}

impl Snapshot {
    /// Whether the configuration may still be acted on.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|end| now < end)
    }

    /// The view of a cell.
    pub fn view(&self, cell: &Cell) -> Option<&View> {
        self.directory.view(cell)
    }
}

/// The place where the control thread publishes and all others read.
#[derive(Debug, Clone)]
pub struct Published(Arc<ArcSwap<Snapshot>>);

impl Default for Published {
    fn default() -> Self {
        Self::new()
    }
}

impl Published {
    /// Makes a place that holds an empty configuration that nothing may be acted on.
    pub fn new() -> Self {
        Self(Arc::new(ArcSwap::from_pointee(Snapshot {
            directory: Arc::new(Directory::default()),
            moves: Arc::new(BTreeMap::new()),
            fresh_until: None,
            leader: None,
            term: number::Term(0),
            cluster: None,
            loads: Arc::new(BTreeMap::new()),
        })))
    }

    /// Reads the newest snapshot.
    pub fn read(&self) -> Arc<Snapshot> {
        self.0.load_full()
    }

    /// Publishes a snapshot, unless its configuration is older than the one that is held: an
    /// accepted configuration never reverts.
    pub fn publish(&self, snapshot: Snapshot) -> bool {
        if snapshot.directory.revision < self.0.load().directory.revision {
            return false;
        }
        self.0.store(Arc::new(snapshot));
        true
    }
}
