//! Leader's side of replication: heartbeats, entries, snapshots and the commit index.
//!
//! The leader sends only entries that it has synced itself. A full disk at the leader can therefore
//! reject proposals safely: no other node has seen the withdrawn entries.

use std::collections::BTreeMap;
use std::time::Instant;

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::lease::Rounds;
use super::message::{Body, Position};
use super::node::{Node, Stage};
use super::progress::{BATCH_BYTES, BATCH_ENTRIES, Flow, Progress};
use super::transfer::Outgoing;
use super::{HEARTBEAT_INTERVAL, Proposal, Rejection};
use crate::entry::{Entry, Payload};

/// State that a leader keeps during its leadership.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Time of the election.
    pub elected: Instant,
    /// Index of the leader's first entry in this term.
    pub first: Index,
    /// Send times of the latest heartbeats.
    pub rounds: Rounds,
    /// Time at which the next heartbeat is due.
    pub due: Instant,
    /// Whether the followers have yet to be told the new commit index.
    pub announce: bool,
    /// Replication state of the other members.
    pub members: BTreeMap<id::Instance, Progress>,
}

impl Node {
    /// Makes this node the leader of the current term.
    pub(super) fn become_leader(&mut self) {
        self.stage = Stage::Leader(Leadership {
            elected: self.now,
            first: self.log.last().index.next(),
            rounds: Rounds::default(),
            due: self.now,
            announce: false,
            members: BTreeMap::new(),
        });
        self.refresh_members();
        self.append(Payload::Noop);
        self.lead();
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
        self.writer.touch_entries(index);
        if changes_membership {
            self.refresh_membership();
            self.refresh_members();
        }
        index
    }

    /// Appends a proposal to the log, or rejects it if this node is not the leader or its journal
    /// is full.
    pub(super) fn propose(&mut self, proposal: Proposal, payload: Payload) {
        if !matches!(self.stage, Stage::Leader(_)) {
            let leader = self.leader();
            self.reject(proposal, Rejection::NotLeader { leader });
            return;
        }
        if self.writer.is_full() {
            self.reject(proposal, Rejection::Full);
            return;
        }
        let index = self.append(payload);
        self.proposals.insert(index, proposal);
    }

    /// Steps down if contact with the quorum is lost; otherwise sends heartbeats when they are due.
    pub(super) fn lead(&mut self) {
        if self.is_cut_off() {
            self.follow(self.term, None);
            return;
        }
        let now = self.now;
        let Stage::Leader(leadership) = &mut self.stage else {
            return;
        };
        if now < leadership.due {
            return;
        }
        leadership.due = now + HEARTBEAT_INTERVAL;
        leadership.rounds.start(now);
        for progress in leadership.members.values_mut() {
            if progress.is_waiting() && progress.is_overdue(now) {
                progress.resend();
            }
        }
        let members: Vec<_> = leadership.members.keys().cloned().collect();
        for member in members {
            self.send_heartbeat(&member);
        }
    }

    fn send_heartbeat(&mut self, member: &id::Instance) {
        let Stage::Leader(leadership) = &self.stage else {
            return;
        };
        let Some(progress) = leadership.members.get(member) else {
            return;
        };
        let round = leadership.rounds.last();
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
        let Stage::Leader(leadership) = &mut self.stage else {
            return;
        };
        let announce = std::mem::take(&mut leadership.announce);
        let members: Vec<_> = leadership.members.keys().cloned().collect();
        for member in members {
            let sent = self.send_lacking(&member);
            if announce && !sent {
                self.send_heartbeat(&member);
            }
        }
    }

    /// Sends `member` the entries it lacks, and returns whether anything was sent.
    fn send_lacking(&mut self, member: &id::Instance) -> bool {
        let mut sent = false;
        while let Some(body) = self.next_for(member) {
            self.send(member, body);
            sent = true;
        }
        sent
    }

    fn next_for(&mut self, member: &id::Instance) -> Option<Body> {
        let synced = self.writer.synced();
        let Stage::Leader(leadership) = &mut self.stage else {
            return None;
        };
        let round = leadership.rounds.last();
        let progress = leadership.members.get_mut(member)?;
        if let Flow::Installing(outgoing) = &mut progress.flow {
            let part = outgoing.next(round)?;
            progress.sent(Index(0), 0, self.now);
            return Some(part);
        }
        let next = progress.next;
        let Some(previous) = self.log.position(Index(next.0 - 1)) else {
            let snapshot = self.log.snapshot()?.clone();
            progress.install(Outgoing::new(snapshot));
            return self.next_for(member);
        };
        let is_probe = matches!(progress.flow, Flow::Probing);
        if !progress.may_send() || (next > synced && !is_probe) {
            return None;
        }
        let (entries, bytes) = batch(self.log.range(next, synced));
        let last = entries.last().map_or(previous.index, |entry| entry.index);
        progress.sent(last, bytes, self.now);
        Some(Body::Append {
            previous,
            entries,
            committed: self.committed,
            round,
        })
    }

    /// Handles a follower's answer to entries or a heartbeat.
    pub(super) fn append_answered(
        &mut self,
        from: &id::Instance,
        term: Term,
        round: u64,
        matched: Index,
        received: Index,
        conflict: Option<Index>,
    ) {
        let now = self.now;
        let Some(progress) = self.answering(from, term, round) else {
            return;
        };
        match conflict {
            Some(agreed) => progress.conflicted(agreed),
            None => progress.accepted(matched, received, now),
        }
        self.advance_commit();
    }

    /// Handles a follower's answer to a part of a snapshot.
    pub(super) fn snapshot_answered(
        &mut self,
        from: &id::Instance,
        term: Term,
        round: u64,
        covers: Position,
        received: u64,
    ) {
        let now = self.now;
        let Some(progress) = self.answering(from, term, round) else {
            return;
        };
        let Flow::Installing(outgoing) = &mut progress.flow else {
            return;
        };
        if outgoing.covers() == covers && outgoing.received(received) {
            progress.installed(covers.index, now);
        }
    }

    /// Records the answer to heartbeat `round`, and returns the sender's replication state. Returns
    /// none unless this node leads in `term` and `from` is a member.
    fn answering(&mut self, from: &id::Instance, term: Term, round: u64) -> Option<&mut Progress> {
        let Stage::Leader(leadership) = &mut self.stage else {
            return None;
        };
        if term != self.term {
            return None;
        }
        let progress = leadership.members.get_mut(from)?;
        if let Some(started) = leadership.rounds.started(round) {
            progress.answered(started);
        }
        Some(progress)
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current term.
    pub(super) fn advance_commit(&mut self) {
        let Stage::Leader(leadership) = &mut self.stage else {
            return;
        };
        let synced = self.writer.synced();
        let matched = |voter: &id::Instance| {
            if *voter == self.identity.instance {
                return synced;
            }
            leadership
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
        leadership.announce = true;
        self.commit(agreed);
        self.step_down_if_removed();
    }

    fn step_down_if_removed(&mut self) {
        let is_settled = self.membership_index <= self.committed;
        let is_voter = self.is_voter_with(&self.identity.instance, self.identity.folder);
        if is_settled && !is_voter {
            // The others learn of the commit first, so that they can elect a new leader without
            // delay.
            self.replicate();
            self.follow(self.term, None);
        }
    }

    /// Removes from the log the entries that the journal refused; no other node has seen them.
    pub(super) fn withdraw_unsynced(&mut self) {
        let Stage::Leader(leadership) = &self.stage else {
            return;
        };
        let first = self.writer.synced().max(leadership.first).next();
        self.log.truncate(first);
        self.writer.truncated(first);
        self.writer.forget_entries(first);
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
fn batch<'a>(entries: impl Iterator<Item = &'a Entry>) -> (Vec<Entry>, usize) {
    let mut chosen = Vec::new();
    let mut bytes = 0;
    for entry in entries.take(BATCH_ENTRIES) {
        if bytes >= BATCH_BYTES {
            break;
        }
        bytes += size(entry);
        chosen.push(entry.clone());
    }
    (chosen, bytes)
}

fn size(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Noop | Payload::Membership(_) => 0,
        Payload::Command(command) => command.len(),
    }
}
