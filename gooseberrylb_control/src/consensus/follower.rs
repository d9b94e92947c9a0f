//! Follower's side of replication: appending entries, installing snapshots and acknowledging what
//! is synced.

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::message::{Body, Position};
use super::node::{Node, Stage};
use super::transfer::Incoming;
use crate::entry::{Entry, Payload};
use crate::membership::Membership;

/// State that a follower keeps about its leader.
#[derive(Debug, Default)]
pub(super) struct FollowerState {
    /// Current leader, if known.
    pub leader: Option<id::Instance>,
    /// Index of the last entry known to match the leader's log.
    verified: Index,
    /// Index of the last synced entry that was acknowledged to the leader.
    acknowledged: Index,
    /// Number of the newest heartbeat received from the leader.
    round: u64,
    /// Partially received snapshot, if any.
    incoming: Option<Incoming>,
}

impl FollowerState {
    /// Creates the state of a follower that has not yet received anything from `leader`.
    pub(super) fn new(leader: Option<id::Instance>) -> Self {
        Self {
            leader,
            ..Self::default()
        }
    }
}

/// Entries of one append message.
#[derive(Debug)]
pub(super) struct AppendRequest {
    /// Position of the entry before the first one.
    pub previous: Position,
    /// Entries to append, in log order.
    pub entries: Vec<Entry>,
    /// Index of the last entry that the leader knows to be committed.
    pub committed: Index,
    /// Number of the leader's newest heartbeat.
    pub round: u64,
}

/// One part of a snapshot.
#[derive(Debug)]
pub(super) struct SnapshotPart {
    /// Position of the last entry that the snapshot covers.
    pub covers: Position,
    /// Membership at that entry.
    pub membership: Membership,
    /// Size of the whole encoded state in bytes.
    pub size: u64,
    /// Offset of this part in bytes.
    pub offset: u64,
    /// Bytes of this part.
    pub bytes: std::sync::Arc<[u8]>,
    /// Number of the leader's newest heartbeat.
    pub round: u64,
}

impl Node {
    /// Accepts `from` as the leader of `term`, which must not be earlier than the current one, and
    /// returns the follower state for it. Returns none if this node itself leads in that term.
    fn accept_leader(
        &mut self,
        from: &id::Instance,
        term: Term,
        round: u64,
    ) -> Option<&mut FollowerState> {
        let is_following = match &self.stage {
            Stage::Follower(state) => state.leader.as_ref() == Some(from),
            Stage::Unformed(_) | Stage::PreCandidate(_) | Stage::Candidate => false,
            Stage::Leader(_) if term == self.term => return None,
            Stage::Leader(_) => false,
        };
        if term > self.term || !is_following {
            self.become_follower(term, Some(from.clone()));
        }
        self.last_contact = self.now;
        self.postpone_election();
        let Stage::Follower(state) = &mut self.stage else {
            return None;
        };
        state.round = state.round.max(round);
        Some(state)
    }

    /// Handles entries or a heartbeat from the leader.
    pub(super) fn handle_append(
        &mut self,
        from: &id::Instance,
        term: Term,
        request: AppendRequest,
    ) {
        if term < self.term {
            self.send_append_answer(from, None);
            return;
        }
        if self.accept_leader(from, term, request.round).is_none() || !is_contiguous(&request) {
            return;
        }
        if let Some(agreed) = self.conflict_hint(request.previous) {
            self.send_append_answer(from, Some(agreed));
            return;
        }
        let end = Index(request.previous.index.0 + request.entries.len() as u64);
        let Some(()) = self.append_entries(request.entries) else {
            return;
        };
        let verified = self.mark_verified(end);
        self.commit(request.committed.min(verified));
        self.send_append_answer(from, None);
    }

    /// Returns the last index at which the logs may agree, if they differ at `previous`.
    fn conflict_hint(&self, previous: Position) -> Option<Index> {
        // All entries up to the commit index agree, whether or not they are still held in memory.
        if previous.index <= self.committed {
            return None;
        }
        if self.log.term(previous.index) == Some(previous.term) {
            return None;
        }
        let last = self.log.last().index;
        let mut agreed = last.min(Index(previous.index.0 - 1));
        while agreed > self.committed && self.log.term(agreed) > Some(previous.term) {
            agreed = Index(agreed.0 - 1);
        }
        Some(agreed)
    }

    /// Appends the new ones among `entries`. Returns none, without appending any, if they do not
    /// follow on from the log.
    fn append_entries(&mut self, entries: Vec<Entry>) -> Option<()> {
        let is_known = |entry: &Entry| {
            entry.index <= self.committed || self.log.term(entry.index) == Some(entry.term)
        };
        let new: Vec<Entry> = entries.into_iter().skip_while(is_known).collect();
        let Some(first) = new.first().map(|entry| entry.index) else {
            return Some(());
        };
        if first <= self.log.last().index {
            self.log.truncate(first);
            self.writer.truncated(first);
        }
        if first != self.log.last().index.next() {
            return None;
        }
        self.writer.mark_entries(first);
        let changes_membership = first <= self.membership_index
            || new
                .iter()
                .any(|entry| matches!(entry.payload, Payload::Membership(_)));
        for entry in new {
            self.log.append(entry);
        }
        if changes_membership {
            self.refresh_membership();
        }
        Some(())
    }

    /// Records that the log matches the leader's up to `end`, and returns the last index known to
    /// match.
    fn mark_verified(&mut self, end: Index) -> Index {
        let Stage::Follower(state) = &mut self.stage else {
            return Index(0);
        };
        state.verified = state.verified.max(end);
        state.verified
    }

    fn send_append_answer(&mut self, to: &id::Instance, conflict: Option<Index>) {
        let synced = self.writer.synced();
        let (round, received) = match &mut self.stage {
            Stage::Follower(state) => {
                state.acknowledged = state.verified.min(synced);
                (state.round, state.verified)
            }
            Stage::Unformed(_) | Stage::PreCandidate(_) | Stage::Candidate | Stage::Leader(_) => {
                (0, Index(0))
            }
        };
        let answer = Body::AppendAnswer {
            round,
            matched: received.min(synced),
            received,
            conflict,
        };
        self.send(to, answer);
    }

    /// Acknowledges the entries that were synced since the last acknowledgement to the leader.
    pub(super) fn acknowledge_synced(&mut self) {
        let synced = self.writer.synced();
        let Stage::Follower(state) = &self.stage else {
            return;
        };
        let has_unacknowledged = state.verified.min(synced) > state.acknowledged;
        if let Some(leader) = state.leader.clone().filter(|_| has_unacknowledged) {
            self.send_append_answer(&leader, None);
        }
    }

    /// Handles a part of a snapshot from the leader.
    pub(super) fn handle_snapshot_part(
        &mut self,
        from: &id::Instance,
        term: Term,
        part: SnapshotPart,
    ) {
        if term < self.term {
            self.send_append_answer(from, None);
            return;
        }
        let committed = self.committed;
        let Some(state) = self.accept_leader(from, term, part.round) else {
            return;
        };
        let SnapshotPart { covers, size, .. } = part;
        if covers.index <= committed {
            self.mark_verified(covers.index);
            self.send_snapshot_answer(from, covers, size);
            return;
        }
        let mut incoming = state
            .incoming
            .take()
            .filter(|incoming| incoming.matches(covers, size))
            .unwrap_or_else(|| Incoming::new(covers, size));
        let received = incoming.add_part(part.offset, &part.bytes);
        if incoming.is_complete() {
            self.restore(incoming.into_snapshot(part.membership));
            self.mark_verified(covers.index);
        } else {
            state.incoming = Some(incoming);
        }
        self.send_snapshot_answer(from, covers, received);
    }

    fn send_snapshot_answer(&mut self, to: &id::Instance, covers: Position, received: u64) {
        let Stage::Follower(state) = &self.stage else {
            return;
        };
        let round = state.round;
        let answer = Body::SnapshotAnswer {
            covers,
            received,
            round,
        };
        self.send(to, answer);
    }
}

/// Whether the entries have consecutive indices after `previous`, as a correct leader sends them.
fn is_contiguous(request: &AppendRequest) -> bool {
    let indices = (request.previous.index.0 + 1)..;
    request
        .entries
        .iter()
        .zip(indices)
        .all(|(entry, index)| entry.index.0 == index)
}
