//! What the leader knows of the disks: only what the reports of the instances tell it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::Term;
use gooseberrylb_control::repair::{self, Disk, Liveness, Repair};

use super::Simulation;

/// How late the leader learns what has happened to the instances.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delays {
    /// Time from the start of an instance, and from the election of the leader, to the first report.
    pub first_report: Duration,
    /// Time without a report after which an instance counts as silent.
    pub silence: Duration,
}

/// Contact of the leader with an instance.
#[derive(Debug, Clone, Copy)]
struct Contact {
    /// Disk as of the last report.
    disk: Disk,
    /// Time of the last report.
    last: Instant,
}

/// Reports that the leader has received in its term.
#[derive(Debug, Default)]
pub struct Observation {
    /// How late the reports arrive.
    pub delays: Delays,
    /// Term of the leader.
    term: Term,
    /// Time since which the leader observes.
    since: Option<Instant>,
    contacts: BTreeMap<id::Instance, Contact>,
}

impl Simulation {
    /// Makes the leader propose the change that the repair policy selects, and returns whether there is one.
    pub fn repair(&mut self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        if self.hosts[&leader].frozen_until_ms > self.now_ms {
            return false;
        }
        let status = self.node(&leader).status();
        self.observe(&leader, status.term);
        let known = self.observation.contacts.iter();
        let disks = known.map(|(name, contact)| (name.clone(), contact.disk));
        let due = repair::next_change(&status, &disks.collect(), &self.goal, self.now());
        let Some(Repair { change, .. }) = due else {
            return false;
        };
        self.change(&leader, change);
        true
    }

    /// Whether the leader may make a membership change now.
    pub fn may_repair(&self) -> bool {
        let leader = self.leader();
        leader.is_some_and(|leader| self.node(&leader).status().can_change_membership)
    }

    /// Passes the leader the reports of the instances that reach it.
    fn observe(&mut self, leader: &id::Instance, term: Term) {
        let now = self.now();
        // A new leader knows nothing of what an earlier one has observed.
        if term != self.observation.term {
            self.observation.term = term;
            self.observation.since = None;
            self.observation.contacts.clear();
        }
        let since = *self.observation.since.get_or_insert(now);
        let delays = self.observation.delays;
        if now < since + delays.first_report {
            return;
        }
        for name in self.hosts.keys().cloned().collect::<Vec<_>>() {
            let contact = self.observation.contacts.get(&name).copied();
            if self.reports_to(&name, leader) {
                let since = match contact.map(|contact| contact.disk.liveness) {
                    Some(Liveness::Alive { since, .. }) => since,
                    Some(Liveness::Silent) | None => now,
                };
                let folder = self.hosts[&name].disk.folder;
                let liveness = Liveness::Alive { since, last: now };
                let disk = Disk {
                    folder,
                    liveness,
                    leaving: self.hosts[&name].leaving,
                };
                let contact = Contact { disk, last: now };
                self.observation.contacts.insert(name, contact);
            } else if let Some(contact) = self.observation.contacts.get_mut(&name)
                && now >= contact.last + delays.silence
            {
                contact.disk.liveness = Liveness::Silent;
            }
        }
    }

    /// Whether the reports of an instance reach the leader now.
    fn reports_to(&self, name: &id::Instance, leader: &id::Instance) -> bool {
        let host = &self.hosts[name];
        let is_running = host.node.is_some() && host.frozen_until_ms <= self.now_ms;
        let first_report_ms = self.observation.delays.first_report.as_millis() as u64;
        let is_cut = self.blocked_links.contains(&(name.clone(), leader.clone()));
        is_running && !is_cut && self.now_ms >= host.started_ms + first_report_ms
    }
}
