//! Checks that a new scheduler holds every claim that was ever granted.
//!
//! The only exception is a plan that reports the claims as lost. The property is checked over
//! random histories of crashes, restarts, delayed reports and syncs.

use std::collections::{BTreeMap, BTreeSet};

use gooseberrylb_config::directory::{Cell, View};
use gooseberrylb_config::{id, number};
use gooseberrylb_control::views::{self, Candidate, Candidates, Members};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of random histories; the index of a history is its seed.
const HISTORIES: u64 = 512;
/// Number of steps per history.
const STEPS: usize = 400;
const INSTANCES: usize = 6;

/// Instance of the model, with the content of its memory.
struct Instance {
    name: id::Instance,
    data_centre: id::DataCentre,
    incarnation: u64,
    alive: bool,
    leaving: bool,
    /// Latest view in which it held all claims, as last reported to the leader.
    reported: Option<number::View>,
    /// Latest view in which it held all claims.
    holds: Option<number::View>,
    /// Claims in memory.
    claims: BTreeSet<u64>,
}

/// Model of one cell, its instances and the plans of the leader.
struct Model {
    rng: StdRng,
    cell: Cell,
    instances: Vec<Instance>,
    view: Option<View>,
    members: Members,
    /// Backups that are synced in the current view.
    synced: BTreeSet<id::Instance>,
    /// Claims granted so far and not reported as lost.
    granted: BTreeSet<u64>,
    next_claim: u64,
    /// Number of plans that reported the claims as lost.
    losses: u64,
    /// Number of plans with a new scheduler.
    successions: u64,
}

fn name(text: String) -> id::Instance {
    id::Instance::new(&text).unwrap()
}

impl Model {
    fn new(seed: u64) -> Self {
        let instance = |i: usize| Instance {
            name: name(format!("entry-{i}")),
            data_centre: id::DataCentre::new(&format!("dc-{}", i % 3)).unwrap(),
            incarnation: 1,
            alive: true,
            leaving: false,
            reported: None,
            holds: None,
            claims: BTreeSet::new(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            cell: Cell {
                service: id::Service::new("comando").unwrap(),
                region: id::Region::new("padana").unwrap(),
            },
            instances: (0..INSTANCES).map(instance).collect(),
            view: None,
            members: BTreeMap::new(),
            synced: BTreeSet::new(),
            granted: BTreeSet::new(),
            next_claim: 0,
            losses: 0,
            successions: 0,
        }
    }

    fn candidates(&self) -> Candidates {
        let alive = self.instances.iter().filter(|i| i.alive);
        alive
            .map(|i| {
                let candidate = Candidate {
                    incarnation: i.incarnation,
                    data_centre: i.data_centre.clone(),
                    region: self.cell.region.clone(),
                    leaving: i.leaving,
                    holds: i.reported,
                };
                (i.name.clone(), candidate)
            })
            .collect()
    }

    fn instance(&mut self, wanted: &id::Instance) -> &mut Instance {
        let mut known = self.instances.iter_mut();
        known.find(|i| i.name == *wanted).unwrap()
    }

    /// Installs the next planned view, and checks that a new scheduler holds every granted claim.
    fn install_plan(&mut self) {
        let current = self.view.as_ref().map(|view| (view, &self.members));
        let Some(plan) = views::plan(&self.cell, current, &self.candidates()) else {
            return;
        };
        let before = self.view.take();
        let starts: BTreeMap<_, _> = self
            .instances
            .iter()
            .map(|i| (i.name.clone(), i.incarnation))
            .collect();
        self.members = views::next_members(&self.members, &plan.view, |name| starts[name]);
        self.synced.clear();
        if plan.claims_lost {
            self.losses += 1;
            self.granted.clear();
        }
        let scheduler = plan.view.scheduler.clone();
        let is_new = before.is_none_or(|before| before.scheduler != scheduler);
        self.successions += u64::from(is_new);
        if plan.claims_lost {
            self.instance(&scheduler).claims.clear();
        }
        let granted = self.granted.clone();
        let held = self.instance(&scheduler).claims.clone();
        assert!(
            held.is_superset(&granted),
            "{scheduler} became scheduler of view {} ({}) without claims {:?}",
            plan.view.number,
            plan.cause,
            granted.difference(&held).collect::<Vec<_>>()
        );
        self.view = Some(plan.view);
        self.clear_former_members();
    }

    /// Clears the claims of some instances that are no longer members.
    ///
    /// An instance does so when it learns of the new view.
    fn clear_former_members(&mut self) {
        let members: BTreeSet<_> = self.members.keys().cloned().collect();
        for instance in &mut self.instances {
            if !members.contains(&instance.name) && self.rng.random_bool(0.7) {
                instance.holds = None;
                instance.claims.clear();
            }
        }
    }

    /// Whether the scheduler is alive and has not restarted since it joined.
    ///
    /// A restarted scheduler has no claims and would sync its backups with nothing.
    fn is_scheduler_running(&mut self, view: &View) -> bool {
        let start = self.members[&view.scheduler].incarnation;
        let scheduler = self.instance(&view.scheduler);
        scheduler.alive && scheduler.incarnation == start
    }

    /// Syncs some backups from the scheduler, which replaces the claims that they held before.
    fn sync_backups(&mut self) {
        let Some(view) = self.view.clone() else {
            return;
        };
        if !self.is_scheduler_running(&view) {
            return;
        }
        let claims = self.instance(&view.scheduler).claims.clone();
        for backup in &view.backups {
            if self.instance(backup).alive && self.rng.random_bool(0.5) {
                let instance = self.instance(backup);
                instance.claims = claims.clone();
                instance.holds = Some(view.number);
                self.synced.insert(backup.clone());
            }
        }
        if view
            .backups
            .iter()
            .all(|backup| self.synced.contains(backup))
        {
            self.instance(&view.scheduler).holds = Some(view.number);
        }
    }

    /// Grants a claim, provided that every backup of the view is alive and synced.
    fn grant_claim(&mut self) {
        let Some(view) = self.view.clone() else {
            return;
        };
        if !self.is_scheduler_running(&view) {
            return;
        }
        let mut all = std::iter::once(&view.scheduler).chain(&view.backups);
        let alive = all.all(|name| self.instances.iter().any(|i| i.name == *name && i.alive));
        let synced = view
            .backups
            .iter()
            .all(|backup| self.synced.contains(backup));
        if !alive || !synced {
            return;
        }
        let claim = self.next_claim;
        self.next_claim += 1;
        for member in std::iter::once(&view.scheduler).chain(&view.backups) {
            self.instance(member).claims.insert(claim);
        }
        self.granted.insert(claim);
    }

    /// Stops or restarts a random instance, or changes whether it is leaving.
    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..INSTANCES);
        let fault = self.rng.random_range(0..4);
        let instance = &mut self.instances[index];
        match fault {
            0 => instance.alive = false,
            1 => {
                instance.alive = true;
                instance.leaving = false;
                instance.incarnation += 1;
                instance.holds = None;
                instance.reported = None;
                instance.claims.clear();
                let name = instance.name.clone();
                self.synced.remove(&name);
            }
            2 => instance.leaving = true,
            _ => instance.leaving = false,
        }
    }

    /// Delivers the reports of some instances to the leader.
    fn deliver_reports(&mut self) {
        for instance in &mut self.instances {
            if self.rng.random_bool(0.6) {
                instance.reported = instance.holds;
            }
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..12) {
            0 => self.inject_fault(),
            1..=3 => self.sync_backups(),
            4..=6 => self.grant_claim(),
            7..=9 => self.deliver_reports(),
            _ => self.install_plan(),
        }
    }
}

#[test]
fn every_new_scheduler_holds_every_claim() {
    let mut successions = 0;
    let mut losses = 0;
    for seed in 0..HISTORIES {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        successions += model.successions;
        losses += model.losses;
    }
    // Ensures that the histories contain successions, and not only ones that lose the claims.
    assert!(successions > HISTORIES, "{successions} successions");
    assert!(
        losses < successions,
        "{losses} losses in {successions} successions"
    );
}
