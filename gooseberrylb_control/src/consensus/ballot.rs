//! Agreement of a majority of founders on the first membership, at a first start in which founders may
//! be lost. `docs/design/first-start.md` describes the protocol and what was weighed.
//!
//! The agreement is on a single value, so that it needs no log: a founder that a majority has voted for
//! in a term proposes the membership that was accepted in the latest term, or else the founders that it
//! knows. Term 0 belongs to no candidate: the only membership that is accepted in it is that of all
//! founders. What a founder has voted for or accepted is synced before it answers. Votes and proposals
//! travel as the messages of elections and replication without a cluster, which members ignore.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::formation::{PROBE_INTERVAL, derive_cluster};
use super::message::{Body, Position};
use super::node::{Node, Stage};
use super::writer::Deferred;
use super::{FORMATION_WAIT, Identity, MAJORITY_WAIT, Persisted};
use crate::entry::{Entry, Payload};
use crate::membership::{Folder, Membership};

use candidacy::Candidacy;

mod candidacy;

/// Time without any message after which a founder counts as lost. It covers several probes.
const HEARD_WITHIN: Duration = Duration::from_secs(1);

/// Folders of the voters of a membership.
type Folders = BTreeMap<id::Instance, Folder>;

/// Membership that a founder has accepted.
#[derive(Debug, Clone)]
struct Accepted {
    /// Term in which it was proposed.
    term: Term,
    /// Voters of the membership.
    folders: Folders,
    /// Whether it is synced.
    is_synced: bool,
}

/// State that a founder keeps about the agreement.
#[derive(Debug)]
pub(super) struct Ballot {
    /// Names of all founders.
    founders: BTreeSet<id::Instance>,
    /// Whether it is synced that this node is a founder. Before, it neither sends nor answers anything.
    is_recorded: bool,
    /// Times at which the other founders were last heard of while they belonged to no cluster.
    heard: BTreeMap<id::Instance, Instant>,
    /// Membership accepted in the latest term, if any.
    accepted: Option<Accepted>,
    /// Founders that have synced the membership of all founders in term 0.
    unanimous: BTreeSet<id::Instance>,
    /// Attempt in the current term, if this founder makes one.
    candidacy: Option<Candidacy>,
    /// Time of the next attempt; none before it is first determined.
    next_candidacy: Option<Instant>,
}

impl Ballot {
    /// Creates the state of a founder that starts for the first time.
    fn new(founders: &[id::Instance]) -> Self {
        Self {
            founders: founders.iter().cloned().collect(),
            is_recorded: false,
            heard: BTreeMap::new(),
            accepted: None,
            unanimous: BTreeSet::new(),
            candidacy: None,
            next_candidacy: None,
        }
    }

    /// Returns the state at a start: as recorded, or new if the node is told that it is a founder.
    pub(super) fn at_start(identity: &Identity, persisted: &Persisted) -> Option<Self> {
        let recorded = persisted.entries.first().and_then(recorded_founders);
        let Some((founders, accepted)) = recorded else {
            let is_founder = identity.founders.contains(&identity.instance);
            return (identity.first_start && is_founder).then(|| Self::new(&identity.founders));
        };
        let mut ballot = Self::new(&founders);
        ballot.is_recorded = true;
        ballot.accepted = accepted;
        ballot.note_unanimity(&identity.instance);
        Some(ballot)
    }

    /// Returns the entry that records the founders and the accepted membership.
    pub(super) fn record(&self) -> Entry {
        let names = self.founders.iter().cloned();
        let accepted = self.accepted.as_ref();
        Entry {
            index: Index(1),
            term: accepted.map_or(Term(0), |accepted| accepted.term),
            payload: Payload::Membership(Membership {
                voters: accepted.map_or_else(Folders::new, |accepted| accepted.folders.clone()),
                learners: names.map(|name| (name, Folder(0))).collect(),
            }),
        }
    }

    fn majority(&self) -> usize {
        self.founders.len() / 2 + 1
    }

    /// Returns the position of the accepted membership, by which founders compare how recent it is.
    fn position(&self) -> Position {
        self.accepted
            .as_ref()
            .map_or_else(Position::default, |accepted| Position {
                term: accepted.term,
                index: Index(1),
            })
    }

    /// Counts this founder's own acceptance in term 0, if there is one.
    fn note_unanimity(&mut self, own: &id::Instance) {
        let is_unanimous = |accepted: &&Accepted| accepted.term == Term(0) && accepted.is_synced;
        if self.accepted.as_ref().filter(is_unanimous).is_some() {
            self.unanimous.insert(own.clone());
        }
    }

    /// Whether so many founders were heard of lately that a candidacy may succeed. Terms must not grow on a
    /// founder that is cut off, or that is left out of a cluster whose members do not answer it.
    fn may_succeed(&self, now: Instant) -> bool {
        let is_recent = |heard: &&Instant| now < **heard + HEARD_WITHIN;
        self.heard.values().filter(is_recent).count() + 1 >= self.majority()
    }

    /// Whether `folders` may be a first membership.
    fn is_valid(&self, folders: &Folders) -> bool {
        folders.len() >= self.majority() && folders.keys().all(|name| self.founders.contains(name))
    }
}

/// Whether `entry` is what a founder recorded before there was a cluster, and no entry of a log.
pub(super) fn is_record_of_founder(entry: &Entry) -> bool {
    recorded_founders(entry).is_some()
}

/// Returns the founders and the accepted membership that a founder recorded in `entry`. Only there are
/// learners without a folder.
fn recorded_founders(entry: &Entry) -> Option<(Vec<id::Instance>, Option<Accepted>)> {
    let Payload::Membership(Membership { voters, learners }) = &entry.payload else {
        return None;
    };
    let is_record = !learners.is_empty() && learners.values().all(|folder| *folder == Folder(0));
    if entry.index != Index(1) || !is_record {
        return None;
    }
    let accepted = (!voters.is_empty()).then(|| Accepted {
        term: entry.term,
        folders: voters.clone(),
        is_synced: true,
    });
    Some((learners.keys().cloned().collect(), accepted))
}

impl Node {
    /// Returns the state of the agreement, while this node is a founder that belongs to no cluster and
    /// has synced that it is one.
    fn ballot(&mut self) -> Option<&mut Ballot> {
        let Stage::Unformed(formation) = &mut self.stage else {
            return None;
        };
        formation
            .ballot
            .as_mut()
            .filter(|ballot| ballot.is_recorded)
    }

    /// Records that this node is a founder before anything depends on it: later starts do not tell.
    pub(super) fn record_founder(&mut self) {
        let Stage::Unformed(formation) = &self.stage else {
            return;
        };
        if formation
            .ballot
            .as_ref()
            .is_some_and(|ballot| !ballot.is_recorded)
        {
            self.writer.mark_founder();
            self.writer.defer(Deferred::BecomeFounder);
        }
    }

    /// Takes part in the agreement from now on, since it is synced that this node is a founder.
    pub(super) fn become_founder(&mut self) {
        if let Stage::Unformed(formation) = &mut self.stage
            && let Some(ballot) = &mut formation.ballot
        {
            ballot.is_recorded = true;
        }
    }

    /// Sends probes, accepts the membership of all founders once they are known, and becomes a candidate
    /// if no cluster was formed in time.
    pub(super) fn tick_ballot(&mut self) {
        let started = self.last_contact;
        let now = self.now;
        if self.ballot().is_none() {
            return;
        }
        // A founder that is kept out announces itself all the same, since its vote may be needed to form the
        // cluster that keeps it out.
        self.probe_if_due();
        if self.is_kept_out() {
            return;
        }
        if now >= started + FORMATION_WAIT {
            self.accept_all_founders();
        }
        self.start_candidacy_if_due(started + MAJORITY_WAIT);
    }

    /// Whether another cluster exists than the one that this founder has helped to form.
    fn is_kept_out(&self) -> bool {
        let Stage::Unformed(formation) = &self.stage else {
            return true;
        };
        let accepted = formation.ballot.as_ref().and_then(|b| b.accepted.as_ref());
        formation.existing.is_some_and(|existing| {
            accepted.is_none_or(|accepted| derive_cluster(&accepted.folders) != existing)
        })
    }

    fn probe_if_due(&mut self) {
        let now = self.now;
        let Stage::Unformed(formation) = &mut self.stage else {
            return;
        };
        if formation.next_probe.is_none_or(|due| now >= due) {
            formation.next_probe = Some(now + PROBE_INTERVAL);
            self.probe_in_ballot();
        }
    }

    /// Sends the other founders this founder's folder. A report of the folders of all founders says that
    /// this founder has synced their membership in term 0.
    fn probe_in_ballot(&mut self) {
        let own = self.identity.instance.clone();
        let folder = self.identity.folder;
        let Some(ballot) = self.ballot() else {
            return;
        };
        let accepted = ballot.accepted.as_ref();
        let folders = accepted
            .filter(|_| ballot.unanimous.contains(&own))
            .map_or_else(|| BTreeMap::from([(own, folder)]), |a| a.folders.clone());
        self.send_founders(&Body::Probe { folders });
    }

    /// Sends `body` to all other founders.
    fn send_founders(&mut self, body: &Body) {
        let own = self.identity.instance.clone();
        let Some(ballot) = self.ballot() else {
            return;
        };
        for founder in ballot.founders.clone() {
            if founder != own {
                self.send(&founder, body.clone());
            }
        }
    }

    /// Records the folder of another founder. Returns none if `from` is no founder, or has another folder
    /// than before: a founder whose disk was lost has no say any more.
    fn meet_founder(&mut self, from: &id::Instance, folder: Folder) -> Option<()> {
        let now = self.now;
        let ballot = self.ballot()?;
        ballot.founders.get(from)?;
        ballot.heard.insert(from.clone(), now);
        let Stage::Unformed(formation) = &mut self.stage else {
            return None;
        };
        let known = formation.folders.entry(from.clone()).or_insert(folder);
        (*known == folder).then_some(())
    }

    /// Handles a report of another founder.
    pub(super) fn handle_ballot_probe(
        &mut self,
        from: &id::Instance,
        folder: Folder,
        reported: Folders,
    ) {
        if self.meet_founder(from, folder).is_none() {
            return;
        }
        let own = (self.identity.instance.clone(), self.identity.folder);
        let Stage::Unformed(formation) = &mut self.stage else {
            return;
        };
        let Some(ballot) = &mut formation.ballot else {
            return;
        };
        let is_of_all = reported.keys().eq(&ballot.founders);
        if is_of_all && reported.get(&own.0) == Some(&own.1) {
            ballot.unanimous.insert(from.clone());
            formation.folders = reported;
            self.form_if_unanimous();
        }
    }

    /// Accepts the membership of all founders, unless a candidate has been voted for.
    fn accept_all_founders(&mut self) {
        let is_initial = self.term == Term(0);
        let Stage::Unformed(formation) = &self.stage else {
            return;
        };
        let Some(ballot) = &formation.ballot else {
            return;
        };
        let folders = formation.folders.clone();
        let knows_all = folders.keys().eq(&ballot.founders);
        if is_initial && ballot.accepted.is_none() && knows_all {
            self.accept(Term(0), folders, None);
        }
    }

    /// Accepts a membership in `term`, and tells its proposer once that is synced.
    fn accept(&mut self, term: Term, folders: Folders, proposer: Option<id::Instance>) {
        let Some(ballot) = self.ballot() else {
            return;
        };
        ballot.accepted = Some(Accepted {
            term,
            folders,
            is_synced: false,
        });
        self.writer.mark_founder();
        self.writer.defer(Deferred::Accept { term, proposer });
    }

    /// Acts on the membership accepted in `term`, which is now synced.
    pub(super) fn confirm_acceptance(&mut self, term: Term, proposer: Option<id::Instance>) {
        let own = self.identity.instance.clone();
        let Some(ballot) = self.ballot() else {
            return;
        };
        let Some(accepted) = ballot.accepted.as_mut().filter(|a| a.term == term) else {
            return;
        };
        accepted.is_synced = true;
        match proposer {
            None => {
                ballot.note_unanimity(&own);
                self.probe_in_ballot();
                self.form_if_unanimous();
            }
            Some(proposer) if proposer == own => self.count_acceptance(own, term),
            Some(proposer) => self.send_acceptance(&proposer, term),
        }
    }

    fn send_acceptance(&mut self, proposer: &id::Instance, term: Term) {
        let answer = Body::AppendAnswer {
            round: 0,
            matched: Index(1),
            received: Index(1),
            conflict: None,
        };
        self.send_in(term, proposer, answer);
    }

    /// Forms the cluster of all founders once a majority has synced its membership in term 0.
    fn form_if_unanimous(&mut self) {
        let Stage::Unformed(formation) = &self.stage else {
            return;
        };
        let Some(ballot) = &formation.ballot else {
            return;
        };
        if ballot.unanimous.len() >= ballot.majority() {
            let folders = formation.folders.clone();
            self.form_agreed(folders);
        }
    }

    /// Forms the cluster whose membership a majority has accepted, if this node is a member.
    fn form_agreed(&mut self, folders: Folders) {
        let is_member = folders.get(&self.identity.instance) == Some(&self.identity.folder);
        let Stage::Unformed(formation) = &self.stage else {
            return;
        };
        if is_member && formation.allows(&folders) {
            self.form(folders);
        }
    }

    /// Forms the cluster that another instance reports, if its membership is the one that this founder
    /// has accepted: then a majority has.
    pub(super) fn form_reported(&mut self) {
        let Some(ballot) = self.ballot() else {
            return;
        };
        if let Some(accepted) = ballot.accepted.clone()
            && !self.is_kept_out()
        {
            self.form_agreed(accepted.folders);
        }
    }
}
