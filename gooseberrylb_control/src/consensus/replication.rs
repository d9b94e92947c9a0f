//! Leader's side of replication: heartbeats, entries, snapshots and the commit index.
//!
//! The leader sends entries while it syncs them itself, so that changes go on while only its own disk
//! is full or slow: an entry is committed once enough other voters have synced it. A proposal that
//! a full disk refused is rejected only if its entry was not sent to any other node.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::lease::Rounds;
use super::message::{Body, Position};
use super::node::{Node, Stage};
use super::progress::{BATCH_BYTES, Flow, MAX_BATCH_ENTRIES, Progress};
use super::transfer::Outgoing;
use super::{HEARTBEAT_INTERVAL, Proposal, Rejection};
use crate::entry::{Entry, Payload};

/// Time without a commit, beyond twice the time that an entry takes, after which a leader whose disk
/// is full takes it that the disks of the others are full too, and refuses proposals.
const FULL_PATIENCE: Duration = Duration::from_millis(100);

/// State that a leader keeps during its leadership.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Time of the election.
    pub elected_at: Instant,
    /// Index of the leader's first entry in this term.
    pub first_index: Index,
    /// Send times of the latest heartbeats.
    pub rounds: Rounds,
    /// Time at which the next heartbeat is due.
    pub heartbeat_due: Instant,
    /// Whether the followers have yet to be told the new commit index.
    pub announce_commit: bool,
    /// Index of the last entry that was sent to any member.
    pub sent: Index,
    /// Time since which entries wait to be committed without one of them being committed, if any do.
    pub waiting_since: Option<Instant>,
    /// Entries that wait to be committed, with the times at which they were appended.
    pub waiting: VecDeque<(Index, Instant)>,
    /// Time that the last entry committed took since it was appended.
    pub commit_time: Duration,
    /// Replication state of the other members.
    pub members: BTreeMap<id::Instance, Progress>,
}

impl Node {
    /// Makes this node the leader of the current term.
    pub(super) fn become_leader(&mut self) {
        self.stage = Stage::Leader(LeaderState {
            elected_at: self.now,
            first_index: self.log.last().index.next(),
            rounds: Rounds::default(),
            heartbeat_due: self.now,
            announce_commit: false,
            sent: Index(0),
            waiting_since: None,
            waiting: VecDeque::new(),
            commit_time: Duration::ZERO,
            members: BTreeMap::new(),
        });
        self.refresh_members();
        self.append(Payload::Noop);
        self.tick_leader();
    }

    /// Appends an entry of the current term, and returns its index.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index.next();
        let changes_membership = matches!(payload, Payload::Membership(_));
        self.log.append(Entry {
            index,
            term: self.term,
            payload,
        });
        self.writer.mark_entries(index);
        if let Stage::Leader(state) = &mut self.stage {
            state.waiting_since.get_or_insert(self.now);
            state.waiting.push_back((index, self.now));
        }
        if changes_membership {
            self.refresh_membership();
            self.refresh_members();
        }
        index
    }

    /// Appends a proposal to the log, or rejects it if this node is not the leader or too many disks
    /// are full.
    pub(super) fn propose(&mut self, proposal: Proposal, payload: Payload) {
        if !matches!(self.stage, Stage::Leader(_)) {
            let leader = self.leader();
            self.reject(proposal, Rejection::NotLeader { leader });
            return;
        }
        if self.writer.is_full() && self.is_commit_overdue() {
            self.reject(proposal, Rejection::Full);
            return;
        }
        let index = self.append(payload);
        self.proposals.insert(index, proposal);
    }

    /// Whether entries have waited to be committed for longer than commits take. See [`FULL_PATIENCE`].
    fn is_commit_overdue(&self) -> bool {
        let Stage::Leader(state) = &self.stage else {
            return false;
        };
        let overdue = |since: Instant| self.now >= since + FULL_PATIENCE + state.commit_time * 2;
        state.waiting_since.is_some_and(overdue)
    }

    /// Steps down if contact with the quorum is lost; otherwise sends heartbeats when they are due.
    pub(super) fn tick_leader(&mut self) {
        if self.has_lost_quorum() {
            self.become_follower(self.term, None);
            return;
        }
        let now = self.now;
        let Stage::Leader(state) = &mut self.stage else {
            return;
        };
        if now < state.heartbeat_due {
            return;
        }
        state.heartbeat_due = now + HEARTBEAT_INTERVAL;
        state.rounds.start(now);
        for progress in state.members.values_mut() {
            if progress.is_awaiting_answer() && progress.is_overdue(now) {
                progress.rewind();
            }
        }
        let members: Vec<_> = state.members.keys().cloned().collect();
        for member in members {
            self.send_heartbeat(&member);
        }
    }

    fn send_heartbeat(&mut self, member: &id::Instance) {
        let Stage::Leader(state) = &self.stage else {
            return;
        };
        let Some(progress) = state.members.get(member) else {
            return;
        };
        let round = state.rounds.last();
        let previous = match progress.flow {
            Flow::Probing => Index(progress.next.0 - 1),
            Flow::Streaming | Flow::Installing(_) => progress.matched,
        };
        let heartbeat = Body::Append {
            previous: self.log.position(previous).unwrap_or_default(),
            entries: Vec::new(),
            committed: self.committed,
            round,
        };
        self.send(member, heartbeat);
    }

    /// Sends each member the entries it lacks, within the limits of the send window.
    pub(super) fn replicate(&mut self) {
        let Stage::Leader(state) = &mut self.stage else {
            return;
        };
        let announce_commit = std::mem::take(&mut state.announce_commit);
        let members: Vec<_> = state.members.keys().cloned().collect();
        for member in members {
            let sent = self.send_missing(&member);
            if announce_commit && !sent {
                self.send_heartbeat(&member);
            }
        }
    }

    /// Sends `member` the entries it lacks, and returns whether anything was sent.
    fn send_missing(&mut self, member: &id::Instance) -> bool {
        let mut sent = false;
        while let Some(body) = self.next_message(member) {
            self.send(member, body);
            sent = true;
        }
        sent
    }

    fn next_message(&mut self, member: &id::Instance) -> Option<Body> {
        let end = self.log.last().index;
        let Stage::Leader(state) = &mut self.stage else {
            return None;
        };
        let round = state.rounds.last();
        let progress = state.members.get_mut(member)?;
        if let Flow::Installing(outgoing) = &mut progress.flow {
            let part = outgoing.next(round)?;
            progress.record_sent(Index(0), 0, self.now);
            return Some(part);
        }
        let next = progress.next;
        let Some(previous) = self.log.position(Index(next.0 - 1)) else {
            let snapshot = self.log.snapshot()?.clone();
            progress.start_installing(Outgoing::new(snapshot));
            return self.next_message(member);
        };
        let is_probe = matches!(progress.flow, Flow::Probing);
        if !progress.may_send() || (next > end && !is_probe) {
            return None;
        }
        let (entries, bytes) = next_batch(self.log.range(next, end));
        let last = entries.last().map_or(previous.index, |entry| entry.index);
        state.sent = state.sent.max(last);
        progress.record_sent(last, bytes, self.now);
        Some(Body::Append {
            previous,
            entries,
            committed: self.committed,
            round,
        })
    }

    /// Handles a follower's answer to entries or a heartbeat.
    pub(super) fn handle_append_answer(
        &mut self,
        from: &id::Instance,
        term: Term,
        round: u64,
        matched: Index,
        received: Index,
        conflict: Option<Index>,
    ) {
        let now = self.now;
        let Some(progress) = self.answering_progress(from, term, round) else {
            return;
        };
        match conflict {
            Some(agreed) => progress.record_conflict(agreed),
            None => progress.record_match(matched, received, now),
        }
        self.advance_commit();
    }

    /// Handles a follower's answer to a part of a snapshot.
    pub(super) fn handle_snapshot_answer(
        &mut self,
        from: &id::Instance,
        term: Term,
        round: u64,
        covers: Position,
        received: u64,
    ) {
        let now = self.now;
        let Some(progress) = self.answering_progress(from, term, round) else {
            return;
        };
        let Flow::Installing(outgoing) = &mut progress.flow else {
            return;
        };
        if outgoing.covers() == covers && outgoing.record_received(received) {
            progress.finish_installing(covers.index, now);
        }
    }

    /// Records the answer to heartbeat `round`, and returns the sender's replication state. Returns
    /// none unless this node leads in `term` and `from` is a member.
    fn answering_progress(
        &mut self,
        from: &id::Instance,
        term: Term,
        round: u64,
    ) -> Option<&mut Progress> {
        let Stage::Leader(state) = &mut self.stage else {
            return None;
        };
        if term != self.term {
            return None;
        }
        let progress = state.members.get_mut(from)?;
        if let Some(sent_at) = state.rounds.sent_at(round) {
            progress.record_answer(sent_at);
        }
        Some(progress)
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current term.
    pub(super) fn advance_commit(&mut self) {
        let Stage::Leader(state) = &mut self.stage else {
            return;
        };
        let synced = self.writer.synced();
        let matched = |voter: &id::Instance| {
            if *voter == self.identity.instance {
                return synced;
            }
            state
                .members
                .get(voter)
                .map_or(Index(0), |progress| progress.matched)
        };
        let mut indices: Vec<Index> = self.membership.voters.keys().map(matched).collect();
        indices.sort_unstable();
        indices.reverse();
        let Some(agreed) = indices.get(self.membership.quorum() - 1).copied() else {
            return;
        };
        // An entry of an earlier term may still be replaced, no matter how many voters hold it.
        if agreed <= self.committed || self.log.term(agreed) != Some(self.term) {
            return;
        }
        state.announce_commit = true;
        while let Some((_, appended)) = state.waiting.pop_front_if(|(index, _)| *index <= agreed) {
            state.commit_time = self.now.saturating_duration_since(appended);
        }
        state.waiting_since = (agreed < self.log.last().index).then_some(self.now);
        self.commit(agreed);
        self.step_down_if_removed();
    }

    fn step_down_if_removed(&mut self) {
        let is_membership_committed = self.membership_index <= self.committed;
        let is_voter = self.is_voter_with(&self.identity.instance, self.identity.folder);
        if is_membership_committed && !is_voter {
            // The others learn of the commit first, so that they can elect a new leader without
            // delay.
            self.replicate();
            self.become_follower(self.term, None);
        }
    }

    /// Removes from the log the entries that the journal refused and no other node has seen. The
    /// others, and the leader's first entry of the term, stay and are written again.
    pub(super) fn withdraw_unsynced(&mut self) {
        let Stage::Leader(state) = &mut self.stage else {
            return;
        };
        let kept = self.writer.synced().max(state.first_index).max(state.sent);
        if kept <= self.committed {
            state.waiting_since = None;
        }
        state.waiting.retain(|(index, _)| *index <= kept);
        let first = kept.next();
        self.log.truncate(first);
        self.writer.truncated(first);
        self.writer.discard_entries(first);
        for (_, proposal) in self.proposals.split_off(&first) {
            self.reject(proposal, Rejection::Full);
        }
        if first <= self.membership_index {
            self.refresh_membership();
            self.refresh_members();
        }
    }
}

/// Returns the entries that fit into one message, and their size in bytes.
fn next_batch<'a>(entries: impl Iterator<Item = &'a Entry>) -> (Vec<Entry>, usize) {
    let mut chosen = Vec::new();
    let mut bytes = 0;
    for entry in entries.take(MAX_BATCH_ENTRIES) {
        if bytes >= BATCH_BYTES {
            break;
        }
        bytes += entry.size().0 as usize;
        chosen.push(entry.clone());
    }
    (chosen, bytes)
}
