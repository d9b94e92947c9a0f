//! Elections: a pre-vote first, then a vote that counts only after it is synced to disk.

use std::collections::BTreeSet;

use gooseberrylb_config::id;
use gooseberrylb_config::number::Term;

use super::follower::FollowerState;
use super::message::{Body, Position};
use super::node::{Node, Stage, Yield};
use super::writer::Deferred;
use crate::membership::Folder;

impl Node {
    /// Whether the membership in force lists this node, with its current folder, as a voter.
    fn is_voter(&self) -> bool {
        self.is_voter_with(&self.identity.instance, self.identity.folder)
    }

    /// Whether the membership in force lists `instance`, with `folder`, as a voter.
    pub(super) fn is_voter_with(&self, instance: &id::Instance, folder: Folder) -> bool {
        self.membership.voters.get(instance) == Some(&folder)
    }

    /// Starts an election with a pre-vote, after an election timeout without contact from a leader.
    pub(super) fn start_pre_vote(&mut self) {
        // The vote for itself would break the lease that it has acknowledged.
        if self.must_honour_lease() {
            return;
        }
        self.schedule_retry();
        // A node whose journal is full could not vote for itself. A node that brings others into a
        // cluster must have synced the membership, or it could forget who the members are.
        let has_synced_membership = self.membership_index <= self.writer.synced();
        if !self.is_voter() || self.writer.is_full() || !has_synced_membership {
            self.stage = Stage::Follower(FollowerState::default());
            return;
        }
        self.stage = Stage::PreCandidate(BTreeSet::new());
        let last = self.log.last();
        let term = self.term.next();
        for voter in self.other_voters() {
            self.send_in(term, &voter, Body::PreVote { last });
        }
        self.count_pre_vote(self.identity.instance.clone());
    }

    fn other_voters(&self) -> Vec<id::Instance> {
        let voters = self.membership.voters.keys();
        voters
            .filter(|voter| **voter != self.identity.instance)
            .cloned()
            .collect()
    }

    fn count_pre_vote(&mut self, voter: id::Instance) {
        let quorum = self.membership.quorum();
        let Stage::PreCandidate(votes) = &mut self.stage else {
            return;
        };
        votes.insert(voter);
        if votes.len() >= quorum {
            self.start_election();
        }
    }

    fn start_election(&mut self) {
        self.term = self.term.next();
        self.vote = Some(self.identity.instance.clone());
        self.votes.clear();
        self.writer.mark_vote();
        self.stage = Stage::Candidate;
        self.schedule_retry();
        let request = Body::Vote {
            last: self.log.last(),
        };
        let term = self.term;
        self.writer.defer(Deferred::RequestVotes { term, request });
    }

    /// Counts the node's own vote, which is now synced, and requests the votes of the other voters.
    pub(super) fn request_votes(&mut self, term: Term, request: &Body) {
        if term != self.term || !matches!(self.stage, Stage::Candidate) {
            return;
        }
        self.schedule_retry();
        for voter in self.other_voters() {
            self.send(&voter, request.clone());
        }
        self.count_vote(self.identity.instance.clone());
    }

    fn count_vote(&mut self, voter: id::Instance) {
        match self.stage {
            Stage::PreCandidate(_) | Stage::Candidate => {}
            Stage::Unformed(_) | Stage::Follower(_) | Stage::Leader(_) => return,
        }
        self.votes.insert(voter);
        if self.votes.len() >= self.membership.quorum() {
            self.become_leader();
        }
    }

    /// Answers a pre-vote request: whether this node would vote for `from`. The answer binds it to
    /// nothing.
    pub(super) fn handle_pre_vote(
        &mut self,
        from: &id::Instance,
        folder: Folder,
        term: Term,
        last: Position,
    ) {
        let granted = term > self.term
            && !self.must_honour_lease()
            && !self.supports_other(from, last)
            && last >= self.log.last()
            && self.may_vote_for_folder(from, folder, last);
        if granted {
            self.yield_election(from, last);
        }
        let answer_term = if granted { term } else { self.term };
        self.send_in(answer_term, from, Body::PreVoteAnswer { granted });
    }

    /// Whether this node takes part in an election that another node than `candidate` may still win: a
    /// further one would take the votes from it. A candidate whose log is ahead is not held back, since
    /// the other one may be unable to win.
    fn supports_other(&self, candidate: &id::Instance, last: Position) -> bool {
        let goes_first = |other: &Yield| {
            other.candidate != *candidate && self.now < other.until && last <= other.last
        };
        self.writer.has_deferred() || self.yielded.as_ref().is_some_and(goes_first)
    }

    /// Handles a vote request, and grants the vote once it is synced unless a lease, the term, an
    /// earlier vote, the log or the folder forbids it.
    pub(super) fn handle_vote(
        &mut self,
        from: &id::Instance,
        folder: Folder,
        term: Term,
        last: Position,
    ) {
        if self.must_honour_lease() || term < self.term {
            self.send(from, Body::VoteAnswer { granted: false });
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let is_vote_available = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = is_vote_available
            && last >= self.log.last()
            && self.may_vote_for_folder(from, folder, last);
        if !granted {
            self.send(from, Body::VoteAnswer { granted: false });
            return;
        }
        self.vote = Some(from.clone());
        self.writer.mark_vote();
        self.postpone_election();
        let to = from.clone();
        self.writer.defer(Deferred::GrantVote { to, term });
    }

    /// Whether a candidate with this folder may win an election. A candidate whose log is ahead of
    /// this node's may have joined with a new folder in an entry that this node lacks; a node that
    /// is no voter does not become a candidate.
    fn may_vote_for_folder(&self, from: &id::Instance, folder: Folder, last: Position) -> bool {
        let folder_matches = self.membership.folder(from).is_none_or(|f| f == folder);
        folder_matches || last > self.log.last()
    }

    /// Handles the answer to a pre-vote request.
    pub(super) fn handle_pre_vote_answer(&mut self, from: id::Instance, term: Term, granted: bool) {
        if granted && term == self.term.next() {
            self.count_pre_vote(from);
        }
    }

    /// Handles the answer to a vote request.
    pub(super) fn handle_vote_answer(&mut self, from: id::Instance, term: Term, granted: bool) {
        if granted && term == self.term {
            self.count_vote(from);
        }
    }
}
