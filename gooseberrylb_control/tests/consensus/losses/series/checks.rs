//! Promises of a deployment, as a player checks them.

use std::collections::BTreeMap;

use gooseberrylb_config::id;
use gooseberrylb_control::membership::{Folder, Membership};

use super::{ACCEPTANCE_MS, CONTACT_MS, Player, RECOVERY_MS};

impl Player<'_> {
    pub(super) fn check_voter(&self, machine: &id::Instance) {
        let host = &self.sim.hosts[machine];
        let is_running = host.node.is_some() && host.frozen_until_ms <= self.sim.now_ms;
        let lost_until = self.lost.get(machine);
        let is_lost = lost_until.is_some_and(|end| *end > self.sim.now_ms);
        if !is_running || is_lost || self.cut.contains(machine) {
            return;
        }
        let vote = self.sim.membership().voters.get(machine).copied();
        let has_vote = vote == Some(host.disk.folder);
        assert!(has_vote, "{machine} has no vote: {}", self.context());
    }

    pub(super) fn check_gone(&self, machine: &id::Instance, folder: Folder) {
        let vote = self.sim.membership().voters.get(machine).copied();
        let keeps_vote = vote == Some(folder);
        assert!(!keeps_vote, "{machine} keeps its vote: {}", self.context());
    }

    fn context(&self) -> String {
        let voters: Vec<_> = self.sim.membership().voters.into_keys().collect();
        let leader = self.sim.leader();
        let now = self.sim.now_ms;
        format!(
            "at {now} ms, leader {leader:?}, voters {voters:?}, {:?}",
            self.series
        )
    }

    fn has_leader(&self) -> bool {
        let Some(leader) = self.sim.leader() else {
            return false;
        };
        let is_frozen = self.sim.hosts[&leader].frozen_until_ms > self.sim.now_ms;
        !is_frozen && self.sim.node(&leader).holds_lease(self.sim.now())
    }

    pub(super) fn check_leader(&mut self) {
        let now = self.sim.now_ms;
        if self.has_leader() {
            self.leader_due = self.leader_due.max(now);
        }
        let is_late = now > self.leader_due + RECOVERY_MS;
        assert!(!is_late, "there is no leader: {}", self.context());
    }

    /// Tries a change while the core is stable.
    pub(super) fn check_acceptance(&mut self) {
        let now = self.sim.now_ms;
        let is_stable = now >= self.last_disturbance + CONTACT_MS && self.half.is_none();
        let Some(leader) = self.sim.leader().filter(|_| self.has_leader()) else {
            if is_stable && self.attempt.is_none() {
                self.attempt = Some((now, Vec::new()));
            }
            self.check_attempt();
            return;
        };
        let number = self.sim.propose(&leader);
        match &mut self.attempt {
            Some((_, numbers)) => numbers.push(number),
            None if is_stable => self.attempt = Some((now, vec![number])),
            None => {}
        }
        self.check_attempt();
    }

    fn check_attempt(&mut self) {
        let Some((since, numbers)) = &self.attempt else {
            return;
        };
        let accepted = &self.sim.acknowledged;
        if numbers.iter().any(|number| accepted.contains_key(number)) {
            self.attempt = None;
            return;
        }
        let is_late = self.sim.now_ms > since + ACCEPTANCE_MS;
        let is_calm = self.series.conditions.loss_percent == 0;
        assert!(
            !(is_late && is_calm),
            "no change is accepted: {}",
            self.context()
        );
    }

    /// Checks that everything acknowledged is read back, and that no machine has lost its vote more often
    /// than it was out of contact.
    pub(super) fn finish(&mut self) {
        assert!(self.has_leader(), "no leader: {}", self.context());
        let leader = self.sim.leader().expect("there is a leader");
        let committed = self.sim.node(&leader).status().committed;
        let acknowledged = self.sim.acknowledged.values().max();
        assert!(
            acknowledged.is_some_and(|index| *index <= committed),
            "an accepted change is not read back: {}",
            self.context()
        );
        self.sim.check_acknowledged();
        for (machine, removals) in self.removals() {
            let absences = self.absences.get(&machine).copied().unwrap_or_default();
            assert!(
                removals <= absences,
                "{machine} lost its vote {removals} times, and was away {absences} times: {}",
                self.context()
            );
        }
    }

    /// Returns how often each machine has lost its vote.
    fn removals(&self) -> BTreeMap<id::Instance, usize> {
        let mut removals = BTreeMap::new();
        let mut previous = Membership::default();
        for membership in self.sim.memberships() {
            for (name, folder) in &previous.voters {
                if membership.voters.get(name) != Some(folder) {
                    *removals.entry(name.clone()).or_default() += 1;
                }
            }
            previous = membership;
        }
        removals
    }
}
