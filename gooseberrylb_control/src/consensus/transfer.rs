//! Transfer of snapshots in parts, so that one message does not delay the heartbeats queued after
//! it.

use std::sync::Arc;

use super::message::{Body, Position};
use crate::entry::Snapshot;
use crate::membership::Membership;

/// Maximum size of one part in bytes.
const PART_BYTES: usize = 256 * 1024;

/// Snapshot being sent to a follower, one part at a time.
#[derive(Debug, Clone)]
pub(super) struct Outgoing {
    /// Snapshot to send.
    snapshot: Snapshot,
    /// Number of bytes that the follower holds.
    received: usize,
    /// Whether the next part was sent and is not yet answered.
    in_flight: bool,
}

impl Outgoing {
    /// Creates a transfer of which nothing was sent.
    pub(super) fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            received: 0,
            in_flight: false,
        }
    }

    /// Returns the position of the last entry that the snapshot covers.
    pub(super) fn covers(&self) -> Position {
        covers(&self.snapshot)
    }

    /// Returns the next part, or none while a part awaits its answer.
    pub(super) fn next(&mut self, round: u64) -> Option<Body> {
        if self.in_flight {
            return None;
        }
        self.in_flight = true;
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

    /// Records how many bytes the follower holds, and returns whether it holds the whole snapshot.
    pub(super) fn record_received(&mut self, bytes: u64) -> bool {
        let size = self.snapshot.state.len();
        self.received = usize::try_from(bytes).unwrap_or(size).min(size);
        self.in_flight = false;
        self.received == size
    }

    /// Allows the current part to be sent again.
    pub(super) fn resend(&mut self) {
        self.in_flight = false;
    }
}

/// Snapshot being received from the leader.
#[derive(Debug, Clone)]
pub(super) struct Incoming {
    /// Position of the last entry that the snapshot covers.
    covers: Position,
    /// Size of the whole encoded state in bytes.
    size: u64,
    /// Bytes received so far.
    state: Vec<u8>,
}

impl Incoming {
    /// Creates a transfer of which nothing was received.
    pub(super) fn new(covers: Position, size: u64) -> Self {
        Self {
            covers,
            size,
            state: Vec::new(),
        }
    }

    /// Whether a part for `covers` and `size` belongs to this snapshot.
    pub(super) fn matches(&self, covers: Position, size: u64) -> bool {
        self.covers == covers && self.size == size
    }

    /// Adds a part if it follows the bytes received so far and fits, and returns the number of
    /// bytes received.
    pub(super) fn add_part(&mut self, offset: u64, part: &[u8]) -> u64 {
        let remaining = self.size - self.received();
        if offset == self.received() && part.len() as u64 <= remaining {
            self.state.extend_from_slice(part);
        }
        self.received()
    }

    /// Whether the whole snapshot was received.
    pub(super) fn is_complete(&self) -> bool {
        self.received() == self.size
    }

    /// Returns the complete snapshot, with the given membership.
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

/// Returns the position of the last entry that a snapshot covers.
fn covers(snapshot: &Snapshot) -> Position {
    Position {
        term: snapshot.term,
        index: snapshot.index,
    }
}
