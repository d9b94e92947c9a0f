//! Snapshot of the configuration, published by the control thread and read by all others without
//! locks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use gooseberrylb_config::directory::{Cell, Directory, View};
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use gooseberrylb_policy::moves::Move;

/// Configuration known to this instance, and the end of the lease to act on it.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Current configuration.
    pub directory: Arc<Directory>,
    /// Moves between versions in progress.
    pub moves: Arc<BTreeMap<id::Version, Move>>,
    /// End of the freshness lease; without a lease, no work may be started upstream.
    pub fresh_until: Option<Instant>,
    /// Leader, if known.
    pub leader: Option<id::Instance>,
    /// Term of the leader.
    pub term: number::Term,
    /// Id of the cluster, once known.
    pub cluster: Option<u64>,
    /// Number of requests in flight at each instance.
    pub loads: Arc<BTreeMap<id::Instance, u32>>,
}

impl Snapshot {
    /// Whether the lease on the configuration is still valid at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|end| now < end)
    }

    /// Returns the view of a cell.
    pub fn view(&self, cell: &Cell) -> Option<&View> {
        self.directory.view(cell)
    }
}

/// Shared cell for the latest snapshot.
#[derive(Debug, Clone)]
pub struct Published(Arc<ArcSwap<Snapshot>>);

impl Default for Published {
    fn default() -> Self {
        Self::new()
    }
}

impl Published {
    /// Creates a cell with an empty configuration without a lease.
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

    /// Returns the latest snapshot.
    pub fn read(&self) -> Arc<Snapshot> {
        self.0.load_full()
    }

    /// Publishes a snapshot and returns `true`, or returns `false` if its configuration is older
    /// than the published one: an accepted configuration never reverts.
    pub fn publish(&self, snapshot: Snapshot) -> bool {
        if snapshot.directory.revision < self.0.load().directory.revision {
            return false;
        }
        self.0.store(Arc::new(snapshot));
        true
    }
}
