//! The follower's side of replication.

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::message::{Body, Position};
use super::node::{Node, Stage};
use super::transfer::Incoming;
use crate::entry::{Entry, Payload};
use crate::membership::Membership;

/// What a follower knows of its leader.
#[derive(Debug, Default)]
pub(super) struct Following {
    /// The leader.
    pub leader: Option<id::Instance>,
    /// The last entry known to be the leader's too.
    verified: Index,
    /// The last entry that the leader was told is synced.
    told: Index,
    /// The leader's last heartbeat.
    round: u64,
    /// A snapshot of which some has come.
    incoming: Option<Incoming>,
}

impl Following {
    /// Follows `leader`, of whom nothing is known yet.
    pub(super) fn new(leader: Option<id::Instance>) -> Self {
        Self {
            leader,
            ..Self::default()
        }
    }
}

/// The entries of one message.
#[derive(Debug)]
pub(super) struct Appended {
    /// Where they follow on.
    pub previous: Position,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The last entry that the leader knows to be committed.
    pub committed: Index,
    /// The leader's heartbeat.
    pub round: u64,
}

/// A part of a snapshot.
#[derive(Debug)]
pub(super) struct Part {
    /// The last entry that the snapshot covers.
    pub covers: Position,
    /// The membership there.
    pub membership: Membership,
    /// The size of the whole.
    pub size: u64,
    /// Where the part begins.
    pub offset: u64,
    /// The part.
    pub bytes: std::sync::Arc<[u8]>,
    /// The leader's heartbeat.
    pub round: u64,
}

impl Node {
    /// Takes note that `from` leads in `term`, unless that is over.
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

    /// Takes entries from the leader.
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

    /// Where the logs may agree, if they do not at `previous`.
    fn conflict(&self, previous: Position) -> Option<Index> {
        // All up to the commit index agrees, whether or not its entries are still held.
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

    /// Adds what is new of the entries; none at all if they contradict a committed one.
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

    /// Notes that the log is the leader's up to `end`.
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

    /// Tells the leader of entries that are synced since it was last told.
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

    /// Takes a part of a snapshot from the leader.
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

/// Whether the entries follow on from each other, as a correct leader sends them.
fn is_contiguous(sent: &Appended) -> bool {
    let indices = (sent.previous.index.0 + 1)..;
    sent.entries
        .iter()
        .zip(indices)
        .all(|(entry, index)| entry.index.0 == index)
}
