//! Elections: a pre-vote first, then a vote that counts only once it is synced.

use std::collections::BTreeSet;

use gooseberrylb_config::id;
use gooseberrylb_config::number::Term;

use super::follower::Following;
use super::message::{Body, Position};
use super::node::{Node, Stage};
use super::writer::Deferred;
use crate::membership::Folder;

impl Node {
    /// Whether the membership in force names this node, with its own folder, as a voter.
    fn is_voter(&self) -> bool {
        self.is_voter_with(&self.identity.instance, self.identity.folder)
    }

    /// Whether the membership in force names an instance, with this folder, as a voter.
    pub(super) fn is_voter_with(&self, instance: &id::Instance, folder: Folder) -> bool {
        self.membership.voters.get(instance) == Some(&folder)
    }

    /// Asks for pre-votes, since no leader was heard.
    pub(super) fn stand(&mut self) {
        self.postpone_election();
        // A node whose journal takes nothing could not vote for itself. One that invites others
        // into a cluster must not be able to forget who its members are.
        let has_synced_membership = self.membership_index <= self.writer.synced();
        if !self.is_voter() || self.writer.is_full() || !has_synced_membership {
            self.stage = Stage::Follower(Following::default());
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
        self.writer.touch_vote();
        self.stage = Stage::Candidate(BTreeSet::new());
        self.postpone_election();
        let request = Body::Vote {
            last: self.log.last(),
        };
        let term = self.term;
        self.writer.defer(Deferred::Campaign { term, request });
    }

    /// Counts the node's own vote, now that it is synced, and asks for the others.
    pub(super) fn campaign(&mut self, term: Term, request: &Body) {
        if term != self.term || !matches!(self.stage, Stage::Candidate(_)) {
            return;
        }
        for voter in self.other_voters() {
            self.send(&voter, request.clone());
        }
        self.count_vote(self.identity.instance.clone());
    }

    fn count_vote(&mut self, voter: id::Instance) {
        let quorum = self.membership.quorum();
        let Stage::Candidate(votes) = &mut self.stage else {
            return;
        };
        votes.insert(voter);
        if votes.len() >= quorum {
            self.become_leader();
        }
    }

    /// Answers whether the node would vote for `from`; it promises nothing.
    pub(super) fn pre_vote_wanted(
        &mut self,
        from: &id::Instance,
        folder: Folder,
        term: Term,
        last: Position,
    ) {
        let granted = term > self.term
            && !self.honours_lease()
            && last >= self.log.last()
            && self.may_vote_with(from, folder, last);
        let answer_term = if granted { term } else { self.term };
        self.send_in(answer_term, from, Body::PreVoteAnswer { granted });
    }

    /// Votes for `from`, if nothing speaks against it.
    pub(super) fn vote_wanted(
        &mut self,
        from: &id::Instance,
        folder: Folder,
        term: Term,
        last: Position,
    ) {
        if self.honours_lease() || term < self.term {
            self.send(from, Body::VoteAnswer { granted: false });
            return;
        }
        if term > self.term {
            self.follow(term, None);
        }
        let is_free = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = is_free && last >= self.log.last() && self.may_vote_with(from, folder, last);
        if !granted {
            self.send(from, Body::VoteAnswer { granted: false });
            return;
        }
        self.vote = Some(from.clone());
        self.writer.touch_vote();
        self.postpone_election();
        let to = from.clone();
        self.writer.defer(Deferred::Grant { to, term });
    }

    /// Whether the candidate's folder is one that may win. A candidate whose log goes on behind
    /// this node's may have joined there with a new folder; none stands without being a voter.
    fn may_vote_with(&self, from: &id::Instance, folder: Folder, last: Position) -> bool {
        let is_known = self.membership.folder(from).is_none_or(|f| f == folder);
        is_known || last > self.log.last()
    }

    /// Takes the answer to a pre-vote.
    pub(super) fn pre_vote_answered(&mut self, from: id::Instance, term: Term, granted: bool) {
        if granted && term == self.term.next() {
            self.count_pre_vote(from);
        }
    }

    /// Takes the answer to a vote.
    pub(super) fn vote_answered(&mut self, from: id::Instance, term: Term, granted: bool) {
        if granted && term == self.term {
            self.count_vote(from);
        }
    }
}
