//! Snapshots in parts, since one message must not hold up the heartbeats behind it for long.

use std::sync::Arc;

use super::message::{Body, Position};
use crate::entry::Snapshot;
use crate::membership::Membership;

/// The size of one part.
const PART_BYTES: usize = 256 * 1024;

/// A snapshot on its way to a follower, one part at a time.
#[derive(Debug, Clone)]
pub(super) struct Outgoing {
    /// The snapshot.
    snapshot: Snapshot,
    /// How much of it the follower holds.
    received: usize,
    /// Whether the part there was sent.
    sent: bool,
}

impl Outgoing {
    /// A snapshot of which nothing was sent.
    pub(super) fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            received: 0,
            sent: false,
        }
    }

    /// The last entry that the snapshot covers.
    pub(super) fn covers(&self) -> Position {
        covers(&self.snapshot)
    }

    /// The next part, unless it is on its way.
    pub(super) fn next(&mut self, round: u64) -> Option<Body> {
        if self.sent {
            return None;
        }
        self.sent = true;
        let state = &self.snapshot.state;
        let end = state.len().min(self.received + PART_BYTES);
        Some(Body::Snapshot {
            covers: self.covers(),
            membership: self.snapshot.membership.clone(),
            size: state.len() as u64,
            offset: self.received as u64,
            part: Arc::from(&state[self.received..end]),
            round,
        })
    }

    /// Notes how much the follower holds, and tells whether that is all.
    pub(super) fn received(&mut self, bytes: u64) -> bool {
        let size = self.snapshot.state.len();
        self.received = usize::try_from(bytes).unwrap_or(size).min(size);
        self.sent = false;
        self.received == size
    }

    /// Sends the part once more.
    pub(super) fn resend(&mut self) {
        self.sent = false;
    }
}

/// A snapshot on its way from the leader.
#[derive(Debug, Clone)]
pub(super) struct Incoming {
    /// The last entry that it covers.
    covers: Position,
    /// The size of the whole.
    size: u64,
    /// What has come of it.
    state: Vec<u8>,
}

impl Incoming {
    /// A snapshot of which nothing has come.
    pub(super) fn new(covers: Position, size: u64) -> Self {
        Self {
            covers,
            size,
            state: Vec::new(),
        }
    }

    /// Whether a part for `covers` and `size` belongs to this snapshot.
    pub(super) fn is(&self, covers: Position, size: u64) -> bool {
        self.covers == covers && self.size == size
    }

    /// Takes a part where it follows on, and gives how much has come.
    pub(super) fn take(&mut self, offset: u64, part: &[u8]) -> u64 {
        let room = self.size - self.received();
        if offset == self.received() && part.len() as u64 <= room {
            self.state.extend_from_slice(part);
        }
        self.received()
    }

    /// Whether all has come.
    pub(super) fn is_whole(&self) -> bool {
        self.received() == self.size
    }

    /// The snapshot, once all has come.
    pub(super) fn into_snapshot(self, membership: Membership) -> Snapshot {
        Snapshot {
            index: self.covers.index,
            term: self.covers.term,
            membership,
            state: self.state.into(),
        }
    }

    fn received(&self) -> u64 {
        self.state.len() as u64
    }
}

/// The last entry that a snapshot covers.
fn covers(snapshot: &Snapshot) -> Position {
    Position {
        term: snapshot.term,
        index: snapshot.index,
    }
}
