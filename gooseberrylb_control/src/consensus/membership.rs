//! Membership changes, made by the leader one at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use gooseberrylb_config::id;

use super::node::{Node, Stage};
use super::progress::Progress;
use super::{MIN_ELECTION_TIMEOUT, Member, Proposal, Rejection};
use crate::entry::Payload;
use crate::membership::{Change, Membership};

impl Node {
    /// Proposes a membership change, or rejects it if it is not safe now.
    pub(super) fn propose_change(&mut self, proposal: Proposal, change: &Change) {
        if !matches!(self.stage, Stage::Leader(_)) {
            let leader = self.leader();
            self.reject(proposal, Rejection::NotLeader { leader });
            return;
        }
        match self.membership_after(change) {
            Some(membership) => self.propose(proposal, Payload::Membership(membership)),
            None => self.reject(proposal, Rejection::NotReady),
        }
    }

    /// Whether a membership change may be made now. The leader must have committed an entry of its
    /// own term; otherwise two leaders could each make a change unknown to the other.
    pub(super) fn can_change_membership(&self) -> bool {
        let Stage::Leader(state) = &self.stage else {
            return false;
        };
        self.committed >= state.first_index && self.membership_index <= self.committed
    }

    /// Returns the membership after `change`, or none if the change is not allowed now.
    fn membership_after(&self, change: &Change) -> Option<Membership> {
        if !self.can_change_membership() {
            return None;
        }
        if let Change::Promote { instance } = change {
            self.members().get(instance).filter(|m| m.caught_up)?;
        }
        let changed = self.membership.with_change(change)?;
        self.can_reach_quorum(&changed).then_some(changed)
    }

    /// Whether enough voters of `membership` are in contact to commit it.
    fn can_reach_quorum(&self, membership: &Membership) -> bool {
        let members = self.members();
        let is_reachable = |voter: &id::Instance| {
            let is_self = *voter == self.identity.instance;
            is_self || members.get(voter).is_some_and(|m| self.is_in_contact(m))
        };
        let reachable = membership.voters.keys().filter(|v| is_reachable(v)).count();
        reachable >= membership.quorum()
    }

    fn is_in_contact(&self, member: &Member) -> bool {
        member
            .last_contact
            .is_some_and(|contact| self.now < contact + MIN_ELECTION_TIMEOUT)
    }

    /// Returns the replication state of the other members.
    pub(super) fn members(&self) -> BTreeMap<id::Instance, Member> {
        let Stage::Leader(state) = &self.stage else {
            return BTreeMap::new();
        };
        let heard = self.quorum_contact().unwrap_or(state.elected_at);
        let member = |progress: &Progress| {
            let last_contact = progress.last_contact.unwrap_or(progress.since);
            self.member(progress, heard.saturating_duration_since(last_contact))
        };
        state
            .members
            .iter()
            .map(|(instance, progress)| (instance.clone(), member(progress)))
            .collect()
    }

    fn member(&self, progress: &Progress, silence: Duration) -> Member {
        let mut member = Member {
            matched: progress.matched,
            last_contact: progress.last_contact,
            silence,
            caught_up: false,
        };
        let holds_committed = progress.matched >= self.committed;
        member.caught_up = holds_committed && self.is_in_contact(&member);
        member
    }

    /// Adds and removes replication states so that they match the membership in force.
    pub(super) fn refresh_members(&mut self) {
        let last = self.log.last().index;
        let folders: BTreeMap<_, _> = self.membership.folders().collect();
        let own = &self.identity.instance;
        let Stage::Leader(state) = &mut self.stage else {
            return;
        };
        let members = &mut state.members;
        members.retain(|instance, progress| folders.get(instance) == Some(&progress.folder));
        for (instance, folder) in folders {
            if instance != *own && !members.contains_key(&instance) {
                members.insert(instance, Progress::new(folder, last, self.now));
            }
        }
    }
}
