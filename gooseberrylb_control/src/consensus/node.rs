//! Node of the consensus group: its state, and the order of operations within a step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Bytes, Index, Term};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ballot::is_record_of_founder;
use super::follower::FollowerState;
use super::formation::Formation;
use super::log::Log;
use super::message::{Body, Message, Position};
use super::replication::LeaderState;
use super::writer::{Batch, Deferred, Writer};
use super::{
    Identity, Input, MAX_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT, Output, Persisted, Proposal,
    Record, Rejection, Role, Status,
};
use crate::entry::{Payload, Snapshot};
use crate::membership::{Cluster, Folder, Membership};

/// Shortest and longest pause before an election that was not won is tried again: far longer than a
/// round of votes takes.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Time that a node gives another one to win an election, in addition to the syncs of votes.
const YIELD_PERIOD: Duration = Duration::from_millis(100);

/// Number of syncs that follow one another in an election: of the candidate's own vote, and of the
/// votes of the others.
const ELECTION_SYNCS: u32 = 2;

/// Longest time that the syncs of an election are given.
const MAX_VOTING_TIME: Duration = Duration::from_secs(4);

/// Maximum number of entries that a step passes on to be applied at once.
const MAX_APPLIED_ENTRIES: usize = 64;

/// Total size of these entries from which on no further one is added.
const APPLIED: Bytes = Bytes(256 * 1024);

/// Delay before the journal is tried again after it refused a batch for lack of space.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Stage of a node, with the state that applies only to that stage.
#[derive(Debug)]
pub(super) enum Stage {
    /// No cluster has been formed.
    Unformed(Formation),
    /// The node follows a leader or waits for one.
    Follower(FollowerState),
    /// The node asks whether it would win an election, before a new term disturbs the others. Holds
    /// the voters that granted the pre-vote.
    PreCandidate(BTreeSet<id::Instance>),
    /// The node requests votes.
    Candidate,
    /// The node leads.
    Leader(LeaderState),
}

/// Election of another node in whose favour this one has postponed its own.
#[derive(Debug)]
pub(super) struct Yield {
    /// Node that asked for a pre-vote.
    pub candidate: id::Instance,
    /// End of that node's log.
    pub last: Position,
    /// Time until which this node takes the election to go on.
    pub until: Instant,
}

/// Member of the consensus group, or an instance that may become one.
#[derive(Debug)]
pub struct Node {
    /// Identity and start configuration.
    pub(super) identity: Identity,
    /// Cluster that the node belongs to, if any.
    pub(super) cluster: Option<Cluster>,
    /// Current term.
    pub(super) term: Term,
    /// Candidate that the node voted for in the current term, if any.
    pub(super) vote: Option<id::Instance>,
    /// Log in memory.
    pub(super) log: Log,
    /// Bookkeeping of what the journal has written and has yet to write.
    pub(super) writer: Writer,
    /// Index of the last entry known to be committed.
    pub(super) committed: Index,
    /// Membership in force.
    pub(super) membership: Membership,
    /// Index of the entry that contains the membership in force.
    pub(super) membership_index: Index,
    /// Current stage.
    pub(super) stage: Stage,
    /// Time of the last contact from a leader. It starts as the start time, since a leader may have
    /// been in contact just before a restart.
    pub(super) last_contact: Instant,
    /// Time at which the node starts an election unless it hears from a leader.
    pub(super) election_deadline: Instant,
    /// Voters that have granted this node their votes in the current term. They may arrive when the
    /// node has begun to ask for pre-votes again.
    pub(super) votes: BTreeSet<id::Instance>,
    /// Election of another node in whose favour this one has postponed its own, if any.
    pub(super) yielded: Option<Yield>,
    /// Folders of instances that answer with a folder the membership does not list for them.
    pub(super) unexpected_folders: BTreeMap<id::Instance, Folder>,
    /// Proposals made at this node and not yet committed, by the index of their entry.
    pub(super) proposals: BTreeMap<Index, Proposal>,
    /// Time of the current step.
    pub(super) now: Instant,
    /// Outputs of the current step.
    pub(super) outputs: Vec<Output>,
    /// Index of the last entry passed on to be applied.
    pub(super) applied: Index,
    /// Role and term reported last.
    last_reported: (Role, Term),
    /// Random source of election timeouts.
    pub(super) rng: ChaCha8Rng,
}

impl Node {
    /// Creates a node from the state that its journal recovered. Its first step restores the
    /// snapshot, if there is one.
    pub fn new(identity: Identity, persisted: Persisted, now: Instant) -> Self {
        let formation = Formation::new(&identity, &persisted);
        let persisted = recovered(persisted, formation.ballot.is_some());
        let log = Log::new(&persisted);
        let covered = log.base().index;
        let synced = log.last().index;
        let stage = match persisted.cluster {
            Some(_) => Stage::Follower(FollowerState::default()),
            None => Stage::Unformed(formation),
        };
        let rng = ChaCha8Rng::seed_from_u64(identity.seed);
        let mut node = Self {
            identity,
            cluster: persisted.cluster,
            term: persisted.term,
            vote: persisted.vote,
            log,
            writer: Writer::new(synced),
            committed: covered,
            membership: Membership::default(),
            membership_index: Index(0),
            stage,
            last_contact: now,
            election_deadline: now,
            votes: BTreeSet::new(),
            yielded: None,
            unexpected_folders: BTreeMap::new(),
            proposals: BTreeMap::new(),
            now,
            outputs: Vec::new(),
            applied: covered,
            last_reported: (Role::Unformed, Term(0)),
            rng,
        };
        node.outputs.extend(persisted.snapshot.map(Output::Restore));
        node.refresh_membership();
        node.postpone_election();
        node.record_founder();
        node
    }

    /// Processes an input that occurred at `now`, and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        self.now = now.max(self.now);
        self.tick();
        match input {
            Input::Tick => self.apply_committed(),
            Input::Receive { from, message } => self.receive(from, message),
            Input::Propose { proposal, command } => {
                self.propose(proposal, Payload::Command(command));
            }
            Input::Change { proposal, change } => self.propose_change(proposal, &change),
            Input::Synced(sequence) => self.handle_synced(sequence),
            Input::Refused(sequence) => self.handle_refused(sequence),
            Input::Compact(snapshot) => self.compact(snapshot),
            Input::ClusterReported(cluster) => self.block_formation(cluster),
        }
        self.replicate();
        self.persist();
        self.report_role();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the current state for queries and metrics.
    pub fn status(&self) -> Status {
        Status {
            role: self.role(),
            term: self.term,
            leader: self.leader(),
            committed: self.committed,
            last: self.log.last().index,
            membership: self.membership.clone(),
            blocked_by: self.blocked_by(),
            granted: self.granted(),
            can_change_membership: self.can_change_membership(),
            unexpected_folders: self.unexpected_folders.clone(),
            members: self.members(),
        }
    }

    /// Whether committed entries have yet to be passed on to be applied. Each [`Input::Tick`] passes some on.
    pub fn has_unapplied(&self) -> bool {
        self.applied < self.committed
    }

    /// Returns the cluster that the node belongs to, once that is synced; others rely on the
    /// cluster's existence.
    pub fn cluster(&self) -> Option<Cluster> {
        self.cluster.filter(|_| !self.writer.is_cluster_unsynced())
    }

    /// Returns the role in the current term.
    pub fn role(&self) -> Role {
        match &self.stage {
            Stage::Unformed(_) => Role::Unformed,
            Stage::Follower(state) => Role::Follower {
                leader: state.leader.clone(),
            },
            Stage::PreCandidate(_) | Stage::Candidate => Role::Candidate,
            Stage::Leader(_) => Role::Leader,
        }
    }

    /// Returns the voters that have granted this node a vote or pre-vote, while it is a candidate.
    fn granted(&self) -> BTreeSet<id::Instance> {
        match &self.stage {
            Stage::PreCandidate(votes) => votes.clone(),
            Stage::Candidate => self.votes.clone(),
            Stage::Unformed(_) | Stage::Follower(_) | Stage::Leader(_) => BTreeSet::new(),
        }
    }

    /// Returns the current leader, if known.
    pub(super) fn leader(&self) -> Option<id::Instance> {
        match &self.stage {
            Stage::Follower(state) => state.leader.clone(),
            Stage::Leader(_) => Some(self.identity.instance.clone()),
            Stage::Unformed(_) | Stage::PreCandidate(_) | Stage::Candidate => None,
        }
    }

    fn tick(&mut self) {
        match &self.stage {
            Stage::Unformed(_) => self.probe_founders(),
            Stage::Leader(_) => self.tick_leader(),
            Stage::Follower(_) | Stage::PreCandidate(_) | Stage::Candidate => {
                // A later election would render a vote useless that is still being synced.
                if self.now >= self.election_deadline && !self.writer.has_deferred() {
                    self.start_pre_vote();
                }
            }
        }
    }

    /// Resets the election deadline to a random timeout from now.
    pub(super) fn postpone_election(&mut self) {
        let timeout = self
            .rng
            .random_range(MIN_ELECTION_TIMEOUT..=MAX_ELECTION_TIMEOUT);
        self.election_deadline = self.now + timeout;
    }

    /// Sets the time of the next attempt of an election that begins now, in case that votes split or are
    /// withheld. It is sooner than after contact with a leader, as there is none, and the lease of
    /// an earlier one is guarded by the voters.
    pub(super) fn schedule_retry(&mut self) {
        let pause = self.rng.random_range(MIN_RETRY_PAUSE..=MAX_RETRY_PAUSE);
        self.election_deadline = self.now + pause + self.voting_time();
    }

    /// Postpones an election of its own for a while in favour of a node that has just begun one, so
    /// that votes do not split. It is too short to keep this node from leading if the other one cannot,
    /// and a candidate that asks again meanwhile does not extend it.
    pub(super) fn yield_election(&mut self, candidate: &id::Instance, last: Position) {
        let known = self.yielded.as_ref();
        if known.is_some_and(|known| known.candidate == *candidate && self.now < known.until) {
            return;
        }
        let until = self.now + YIELD_PERIOD + self.voting_time();
        self.yielded = Some(Yield {
            candidate: candidate.clone(),
            last,
            until,
        });
        self.election_deadline = self.election_deadline.max(until);
    }

    /// Returns the time that the syncs of an election take, if all disks are like this node's.
    pub(super) fn voting_time(&self) -> Duration {
        let syncs = self.writer.sync_time() * ELECTION_SYNCS;
        syncs.min(MAX_VOTING_TIME)
    }

    /// Enters `term` if it is later than the current one, and becomes a follower of `leader`.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<id::Instance>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.votes.clear();
            self.writer.mark_vote();
        }
        self.abandon_proposals();
        self.stage = Stage::Follower(FollowerState::new(leader));
        self.postpone_election();
    }

    fn abandon_proposals(&mut self) {
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            self.reject(proposal, Rejection::Uncertain);
        }
    }

    /// Reports that a proposal was not accepted.
    pub(super) fn reject(&mut self, proposal: Proposal, reason: Rejection) {
        self.outputs.push(Output::Rejected { proposal, reason });
    }

    /// Sends `body` with the current term.
    pub(super) fn send(&mut self, to: &id::Instance, body: Body) {
        self.send_in(self.term, to, body);
    }

    /// Sends `body` with the given term.
    pub(super) fn send_in(&mut self, term: Term, to: &id::Instance, body: Body) {
        let message = Message {
            cluster: self.cluster,
            folder: self.identity.folder,
            addressee: self.addressee(to, &body),
            term,
            body,
        };
        let to = to.clone();
        self.outputs.push(Output::Send { to, message });
    }

    /// Returns the folder that a request is addressed to. An answer is addressed to none: its
    /// receiver may hold another folder than an outdated membership lists.
    fn addressee(&self, to: &id::Instance, body: &Body) -> Option<Folder> {
        self.membership.folder(to).filter(|_| !body.is_answer())
    }

    /// Updates the membership from the log, after entries were appended or dropped.
    pub(super) fn refresh_membership(&mut self) {
        let (index, membership) = self.log.membership(self.log.last().index);
        let membership = membership.clone();
        self.membership_index = index;
        self.membership = membership;
        let known = &self.membership;
        self.unexpected_folders
            .retain(|instance, folder| known.folder(instance) != Some(*folder));
    }

    /// Advances the commit index to `index`, and passes newly committed entries on to be applied.
    pub(super) fn commit(&mut self, index: Index) {
        self.committed = self.committed.max(index);
        self.apply_committed();
    }

    /// Passes committed entries on to be applied: one batch, as heartbeats have to be sent and
    /// answered between the entries of a whole log.
    fn apply_committed(&mut self) {
        let mut size = Bytes(0);
        for _ in 0..MAX_APPLIED_ENTRIES {
            if !self.has_unapplied() || size >= APPLIED {
                return;
            }
            let Some(entry) = self.log.entry(self.applied.next()) else {
                return;
            };
            let entry = entry.clone();
            size.0 += entry.size().0;
            let index = entry.index;
            self.applied = index;
            self.outputs.push(Output::Apply(entry));
            if let Some(proposal) = self.proposals.remove(&index) {
                self.outputs.push(Output::Accepted { proposal, index });
            }
        }
    }

    /// Replaces the control state and the log before it with a snapshot from the leader.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        let follows_on = self.log.term(snapshot.index) == Some(snapshot.term);
        if !follows_on {
            self.writer.log_replaced();
        }
        self.committed = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(snapshot.clone());
        self.writer.mark_snapshot();
        self.refresh_membership();
        self.outputs.push(Output::Restore(snapshot));
    }

    fn compact(&mut self, snapshot: Snapshot) {
        let covered = self.log.snapshot().map_or(Index(0), |s| s.index);
        let is_new = snapshot.index > covered && snapshot.index <= self.applied;
        let Some(term) = self.log.term(snapshot.index).filter(|_| is_new) else {
            return;
        };
        let membership = self.log.membership(snapshot.index).1.clone();
        self.log.compact(Snapshot {
            term,
            membership,
            ..snapshot
        });
        self.writer.mark_snapshot();
    }

    fn handle_synced(&mut self, sequence: u64) {
        for action in self.writer.synced_to(sequence, self.now) {
            match action {
                Deferred::GrantVote { to, term } => {
                    self.postpone_election();
                    self.send_in(term, &to, Body::VoteAnswer { granted: true });
                }
                Deferred::RequestVotes { term, request } => self.request_votes(term, &request),
                Deferred::BecomeFounder => self.become_founder(),
                Deferred::RequestBallots { term } => self.request_ballots(term),
                Deferred::GrantBallot { to, term } => self.grant_ballot(&to, term),
                Deferred::Accept { term, proposer } => self.confirm_acceptance(term, proposer),
            }
        }
        self.acknowledge_synced();
        self.advance_commit();
    }

    fn handle_refused(&mut self, sequence: u64) {
        if self.writer.refused(sequence, self.now + FULL_RETRY_DELAY) {
            self.withdraw_unsynced();
        }
    }

    fn persist(&mut self) {
        let last = self.log.last().index;
        let Some((sequence, batch)) = self.writer.next_batch(self.now, last) else {
            return;
        };
        let records = self.records(&batch);
        self.outputs.push(Output::Persist { sequence, records });
    }

    /// Returns the records of a batch in the order in which they are to be written.
    fn records(&self, batch: &Batch) -> Vec<Record> {
        let mut records = Vec::new();
        let mut first = batch.first;
        if let Some(snapshot) = self.log.snapshot().filter(|_| batch.snapshot) {
            records.push(Record::Snapshot(snapshot.clone()));
            first = first.map(|first| first.max(snapshot.index.next()));
        }
        if let Stage::Unformed(formation) = &self.stage {
            let ballot = formation.ballot.as_ref().filter(|_| batch.founder);
            records.extend(ballot.map(|ballot| Record::Entry(ballot.record())));
        }
        if let Some(first) = first {
            let entries = self.log.range(first, self.log.last().index);
            records.extend(entries.cloned().map(Record::Entry));
        }
        if batch.vote {
            records.push(Record::Vote {
                term: self.term,
                vote: self.vote.clone(),
            });
        }
        records.extend(self.cluster.filter(|_| batch.cluster).map(Record::Cluster));
        records
    }

    fn report_role(&mut self) {
        let current = (self.role(), self.term);
        if current != self.last_reported {
            self.last_reported = current.clone();
            let (role, term) = current;
            self.outputs.push(Output::Role { role, term });
        }
    }
}

/// Returns the part of the journal's records that a start relies on. Without a cluster, that is the term and
/// the vote of a founder; in a cluster, what the founder recorded before it joined is no entry of the log.
fn recovered(mut persisted: Persisted, is_founder: bool) -> Persisted {
    if persisted.cluster.is_some() {
        if persisted.entries.first().is_some_and(is_record_of_founder) {
            persisted.entries.clear();
        }
        return persisted;
    }
    if !is_founder {
        return Persisted::default();
    }
    Persisted {
        term: persisted.term,
        vote: persisted.vote,
        ..Persisted::default()
    }
}
