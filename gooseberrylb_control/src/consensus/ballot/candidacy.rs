//! Candidacies of founders: votes, and the proposal of a membership.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use rand::Rng;

use super::{Accepted, Folders};
use crate::consensus::message::{Body, Position};
use crate::consensus::node::{Node, Stage};
use crate::consensus::writer::Deferred;
use crate::consensus::{MAX_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT};
use crate::entry::{Entry, Payload};
use crate::membership::{Folder, Membership};

/// Longest random addition to [`MAJORITY_WAIT`], so that founders do not become candidates together.
const MAX_STAGGER: Duration = Duration::from_millis(400);

/// Number of rounds of syncs in a candidacy: of votes, and of the accepted membership.
const SYNC_ROUNDS: u32 = 2;

/// Attempt of this founder to have a membership accepted.
#[derive(Debug, Default)]
pub(super) struct Candidacy {
    /// Founders that voted for this one, itself included.
    votes: BTreeSet<id::Instance>,
    /// Proposed membership, once a majority has voted.
    proposed: Option<Folders>,
    /// Founders that have synced the proposed membership.
    accepted_by: BTreeSet<id::Instance>,
}

impl Node {
    pub(super) fn start_candidacy_if_due(&mut self, earliest: Instant) {
        let now = self.now;
        let stagger = self.rng.random_range(Duration::ZERO..=MAX_STAGGER);
        let is_busy = self.writer.has_deferred() || self.writer.is_full();
        let own = (self.identity.instance.clone(), self.identity.folder);
        let Some(ballot) = self.ballot() else {
            return;
        };
        let due = *ballot.next_candidacy.get_or_insert(earliest + stagger);
        // A membership without this founder is left to its members.
        let is_listed = |a: &Accepted| a.folders.get(&own.0) == Some(&own.1);
        let may_propose = ballot.accepted.as_ref().is_none_or(is_listed);
        if now < due || is_busy || !may_propose || !ballot.may_succeed(now) {
            return;
        }
        ballot.candidacy = Some(Candidacy::default());
        self.term = self.term.next();
        self.vote = Some(own.0);
        self.writer.mark_vote();
        self.postpone_candidacy();
        let term = self.term;
        self.writer.defer(Deferred::RequestBallots { term });
    }

    /// Leaves another attempt, of this founder or another one, the time that it takes.
    fn postpone_candidacy(&mut self) {
        let timeout = self
            .rng
            .random_range(MIN_ELECTION_TIMEOUT..=MAX_ELECTION_TIMEOUT);
        let due = self.now + timeout + self.voting_time() * SYNC_ROUNDS;
        if let Some(ballot) = self.ballot() {
            ballot.next_candidacy = ballot.next_candidacy.max(Some(due));
        }
    }

    /// Requests the votes of the other founders, since this founder's own is synced.
    pub(in crate::consensus) fn request_ballots(&mut self, term: Term) {
        if term != self.term {
            return;
        }
        let own = self.identity.instance.clone();
        let Some(ballot) = self.ballot() else {
            return;
        };
        let last = ballot.position();
        self.send_founders(&Body::Vote { last });
        self.count_ballot(own);
    }

    /// Enters a later term, in which this founder has voted for `vote` or nobody.
    fn enter_ballot_term(&mut self, term: Term, vote: Option<id::Instance>) {
        self.term = term;
        self.vote = vote;
        self.writer.mark_vote();
        if let Some(ballot) = self.ballot() {
            ballot.candidacy = None;
        }
    }

    /// Handles another founder's request for a vote. It gets none if this founder has accepted a
    /// membership in a later term than that founder, as a majority may have.
    pub(in crate::consensus) fn handle_ballot(
        &mut self,
        from: id::Instance,
        folder: Folder,
        term: Term,
        last: Position,
    ) {
        if self.meet_founder(&from, folder).is_none() {
            return;
        }
        if term > self.term {
            self.enter_ballot_term(term, None);
        }
        let position = self
            .ballot()
            .map_or_else(Position::default, |b| b.position());
        let is_vote_available = self.vote.as_ref().is_none_or(|vote| *vote == from);
        if term < self.term || !is_vote_available || last < position {
            self.send(&from, Body::VoteAnswer { granted: false });
            return;
        }
        self.vote = Some(from.clone());
        self.writer.mark_vote();
        self.postpone_candidacy();
        self.writer.defer(Deferred::GrantBallot { to: from, term });
    }

    /// Grants a vote that is now synced, unless this node has joined a cluster meanwhile: then the
    /// answer could pass for a vote in an election of that cluster.
    pub(in crate::consensus) fn grant_ballot(&mut self, to: &id::Instance, term: Term) {
        if self.ballot().is_some() {
            self.send_in(term, to, Body::VoteAnswer { granted: true });
        }
    }

    /// Handles the answer to a request for a vote.
    pub(in crate::consensus) fn handle_ballot_answer(
        &mut self,
        from: id::Instance,
        folder: Folder,
        term: Term,
        granted: bool,
    ) {
        if self.meet_founder(&from, folder).is_none() {
            return;
        }
        if term > self.term {
            self.enter_ballot_term(term, None);
        } else if granted && term == self.term {
            self.count_ballot(from);
        }
    }

    /// Counts a vote, and proposes a membership once a majority has voted for this founder.
    fn count_ballot(&mut self, voter: id::Instance) {
        let term = self.term;
        let Stage::Unformed(formation) = &mut self.stage else {
            return;
        };
        let known = &formation.folders;
        let Some(ballot) = &mut formation.ballot else {
            return;
        };
        let majority = ballot.majority();
        let Some(candidacy) = &mut ballot.candidacy else {
            return;
        };
        candidacy.votes.insert(voter);
        if candidacy.votes.len() < majority || candidacy.proposed.is_some() {
            return;
        }
        let accepted = ballot.accepted.as_ref();
        let folders = accepted.map_or_else(|| known.clone(), |a| a.folders.clone());
        candidacy.proposed = Some(folders.clone());
        if !formation.allows(&folders) {
            return;
        }
        let own = self.identity.instance.clone();
        self.send_founders(&proposal(term, folders.clone()));
        self.accept(term, folders, Some(own));
    }

    /// Handles the membership that another founder proposes after a majority has voted for it.
    pub(in crate::consensus) fn handle_ballot_proposal(
        &mut self,
        from: id::Instance,
        folder: Folder,
        term: Term,
        entries: &[Entry],
    ) {
        if self.meet_founder(&from, folder).is_none() {
            return;
        }
        let Some(folders) = proposed_folders(entries, term) else {
            return;
        };
        if term < self.term {
            self.send(&from, Body::VoteAnswer { granted: false });
            return;
        }
        let Stage::Unformed(formation) = &self.stage else {
            return;
        };
        let is_allowed = formation.allows(&folders);
        let Some(ballot) = self.ballot() else {
            return;
        };
        if !is_allowed || !ballot.is_valid(&folders) {
            return;
        }
        let known = ballot.accepted.as_ref().filter(|a| a.term == term);
        match known.map(|accepted| accepted.is_synced) {
            Some(true) => self.send_acceptance(&from, term),
            Some(false) => {}
            None => {
                if term > self.term {
                    self.enter_ballot_term(term, Some(from.clone()));
                }
                self.postpone_candidacy();
                self.accept(term, folders, Some(from));
            }
        }
    }

    /// Handles the answer of a founder that has synced the membership that this one proposed in `term`.
    pub(in crate::consensus) fn handle_ballot_acceptance(
        &mut self,
        from: id::Instance,
        folder: Folder,
        term: Term,
        matched: Index,
    ) {
        if self.meet_founder(&from, folder).is_some() && matched == Index(1) {
            self.count_acceptance(from, term);
        }
    }

    /// Counts the acceptance of the membership proposed in `term`, and forms the cluster once a majority
    /// has accepted it.
    pub(super) fn count_acceptance(&mut self, founder: id::Instance, term: Term) {
        let is_current = term == self.term;
        let Some(ballot) = self.ballot().filter(|_| is_current) else {
            return;
        };
        let majority = ballot.majority();
        let Some(candidacy) = &mut ballot.candidacy else {
            return;
        };
        let Some(folders) = candidacy.proposed.clone() else {
            return;
        };
        candidacy.accepted_by.insert(founder);
        if candidacy.accepted_by.len() >= majority {
            self.form_agreed(folders);
        }
    }
}

fn proposal(term: Term, folders: Folders) -> Body {
    let membership = Membership {
        voters: folders,
        learners: BTreeMap::new(),
    };
    let entry = Entry {
        index: Index(1),
        term,
        payload: Payload::Membership(membership),
    };
    Body::Append {
        previous: Position::default(),
        entries: vec![entry],
        committed: Index(0),
        round: 0,
    }
}

/// Returns the voters of the membership proposed in `term`, if `entries` are such a proposal.
fn proposed_folders(entries: &[Entry], term: Term) -> Option<Folders> {
    let [entry] = entries else {
        return None;
    };
    let Payload::Membership(membership) = &entry.payload else {
        return None;
    };
    let is_proposal = entry.index == Index(1) && entry.term == term && term > Term(0);
    (is_proposal && membership.learners.is_empty()).then(|| membership.voters.clone())
}
