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
pub(super) struct Following {
    /// Current leader, if known.
    pub leader: Option<id::Instance>,
    /// Index of the last entry known to match the leader's log.
    verified: Index,
    /// Index of the last synced entry that was acknowledged to the leader.
    told: Index,
    /// Number of the newest heartbeat received from the leader.
    round: u64,
    /// Partially received snapshot, if any.
    incoming: Option<Incoming>,
}

impl Following {
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
pub(super) struct Appended {
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
pub(super) struct Part {
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
    /// Accepts `from` as the leader of `term`, and returns the follower state for it. Returns none
    /// if this node itself leads in that term.
    fn hear(&mut self, from: &id::Instance, term: Term, round: u64) -> Option<&mut Following> {
        let follows = match &self.stage {
            Stage::Follower(following) => following.leader.as_ref() == Some(from),
            Stage::Unformed(_) | Stage::PreCandidate(_) | Stage::Candidate(_) => false,
            Stage::Leader(_) if term == self.term => return None,
            Stage::Leader(_) => false,
        };
        if term > self.term || !follows {
            self.follow(term, Some(from.clone()));
        }
        self.last_contact = self.now;
        self.postpone_election();
        let Stage::Follower(following) = &mut self.stage else {
            return None;
        };
        following.round = following.round.max(round);
        Some(following)
    }

    /// Handles entries or a heartbeat from the leader.
    pub(super) fn append_received(&mut self, from: &id::Instance, term: Term, sent: Appended) {
        if term < self.term {
            self.answer_append(from, None);
            return;
        }
        if self.hear(from, term, sent.round).is_none() || !is_contiguous(&sent) {
            return;
        }
        if let Some(agreed) = self.conflict(sent.previous) {
            self.answer_append(from, Some(agreed));
            return;
        }
        let end = Index(sent.previous.index.0 + sent.entries.len() as u64);
        let Some(()) = self.take_entries(sent.entries) else {
            return;
        };
        let verified = self.verify(end);
        self.commit(sent.committed.min(verified));
        self.answer_append(from, None);
    }

    /// Returns the last index at which the logs may agree, if they differ at `previous`.
    fn conflict(&self, previous: Position) -> Option<Index> {
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

    /// Appends the new ones among `entries`. Returns none, without appending any, if they
    /// contradict a committed entry.
    fn take_entries(&mut self, entries: Vec<Entry>) -> Option<()> {
        let known = |entry: &Entry| {
            entry.index <= self.committed || self.log.term(entry.index) == Some(entry.term)
        };
        let new: Vec<Entry> = entries.into_iter().skip_while(known).collect();
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
        self.writer.touch_entries(first);
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
    fn verify(&mut self, end: Index) -> Index {
        let Stage::Follower(following) = &mut self.stage else {
            return Index(0);
        };
        following.verified = following.verified.max(end);
        following.verified
    }

    fn answer_append(&mut self, to: &id::Instance, conflict: Option<Index>) {
        let synced = self.writer.synced();
        let (round, received) = match &mut self.stage {
            Stage::Follower(following) => {
                following.told = following.verified.min(synced);
                (following.round, following.verified)
            }
            Stage::Unformed(_)
            | Stage::PreCandidate(_)
            | Stage::Candidate(_)
            | Stage::Leader(_) => (0, Index(0)),
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
    pub(super) fn tell_synced(&mut self) {
        let synced = self.writer.synced();
        let Stage::Follower(following) = &self.stage else {
            return;
        };
        let has_news = following.verified.min(synced) > following.told;
        if let Some(leader) = following.leader.clone().filter(|_| has_news) {
            self.answer_append(&leader, None);
        }
    }

    /// Handles a part of a snapshot from the leader.
    pub(super) fn snapshot_received(&mut self, from: &id::Instance, term: Term, part: Part) {
        if term < self.term {
            self.answer_append(from, None);
            return;
        }
        let committed = self.committed;
        let Some(following) = self.hear(from, term, part.round) else {
            return;
        };
        let Part { covers, size, .. } = part;
        if covers.index <= committed {
            self.verify(covers.index);
            self.answer_part(from, covers, size);
            return;
        }
        let mut incoming = following
            .incoming
            .take()
            .filter(|incoming| incoming.is(covers, size))
            .unwrap_or_else(|| Incoming::new(covers, size));
        let received = incoming.take(part.offset, &part.bytes);
        if incoming.is_whole() {
            self.restore(incoming.into_snapshot(part.membership));
            self.verify(covers.index);
        } else {
            following.incoming = Some(incoming);
        }
        self.answer_part(from, covers, received);
    }

    fn answer_part(&mut self, to: &id::Instance, covers: Position, received: u64) {
        let Stage::Follower(following) = &self.stage else {
            return;
        };
        let round = following.round;
        let answer = Body::SnapshotAnswer {
            covers,
            received,
            round,
        };
        self.send(to, answer);
    }
}

/// Whether the entries have consecutive indices after `previous`, as a correct leader sends them.
fn is_contiguous(sent: &Appended) -> bool {
    let indices = (sent.previous.index.0 + 1)..;
    sent.entries
        .iter()
        .zip(indices)
        .all(|(entry, index)| entry.index.0 == index)
}
