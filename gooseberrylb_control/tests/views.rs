//! Whoever becomes scheduler holds every claim that was ever granted on, unless the plan says that
//! the claims were lost: checked over random histories of deaths, restarts, lags and syncs.

use std::collections::{BTreeMap, BTreeSet};

use gooseberrylb_config::directory::{Cell, View};
use gooseberrylb_config::{id, number};
use gooseberrylb_control::views::{self, Candidate, Candidates, Members};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HISTORIES: u64 = 512;
const STEPS: usize = 400;
const INSTANCES: usize = 6;

/// One instance of the model, with what its memory holds.
struct Instance {
    name: id::Instance,
    data_centre: id::DataCentre,
    incarnation: u64,
    alive: bool,
    leaving: bool,
    /// What the leader last heard it hold.
    reported: Option<number::View>,
    holds: Option<number::View>,
    claims: BTreeSet<u64>,
}

struct World {
    rng: StdRng,
    cell: Cell,
    instances: Vec<Instance>,
    view: Option<View>,
    members: Members,
    /// The backups that are synced in the current view.
    synced: BTreeSet<id::Instance>,
    granted: BTreeSet<u64>,
    next_claim: u64,
    losses: u64,
    successions: u64,
}

fn name(text: String) -> id::Instance {
    id::Instance::new(&text).unwrap()
}

impl World {
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

    fn plan(&mut self) {
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
        let heir = plan.view.scheduler.clone();
        let is_new = before.is_none_or(|before| before.scheduler != heir);
        self.successions += u64::from(is_new);
        if plan.claims_lost {
            self.instance(&heir).claims.clear();
        }
        let granted = self.granted.clone();
        let held = self.instance(&heir).claims.clone();
        assert!(
            held.is_superset(&granted),
            "{heir} became scheduler of view {} ({}) without claims {:?}",
            plan.view.number,
            plan.cause,
            granted.difference(&held).collect::<Vec<_>>()
        );
        self.view = Some(plan.view);
        self.forget_outside();
    }

    /// What is no member any more forgets its claims once it hears of the view.
    fn forget_outside(&mut self) {
        let members: BTreeSet<_> = self.members.keys().cloned().collect();
        for instance in &mut self.instances {
            if !members.contains(&instance.name) && self.rng.random_bool(0.7) {
                instance.holds = None;
                instance.claims.clear();
            }
        }
    }

    /// Whether the scheduler runs, and is the process that the view was made for: one that was
    /// restarted since would sync its backups with nothing.
    fn schedules(&mut self, view: &View) -> bool {
        let start = self.members[&view.scheduler].incarnation;
        let scheduler = self.instance(&view.scheduler);
        scheduler.alive && scheduler.incarnation == start
    }

    /// The scheduler syncs one backup, which forgets all that it held before.
    fn sync(&mut self) {
        let Some(view) = self.view.clone() else {
            return;
        };
        if !self.schedules(&view) {
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

    /// A claim is granted on once every backup of the view holds it.
    fn grant(&mut self) {
        let Some(view) = self.view.clone() else {
            return;
        };
        if !self.schedules(&view) {
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

    fn harm(&mut self) {
        let chosen = self.rng.random_range(0..INSTANCES);
        let act = self.rng.random_range(0..4);
        let instance = &mut self.instances[chosen];
        match act {
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

    fn report(&mut self) {
        for instance in &mut self.instances {
            if self.rng.random_bool(0.6) {
                instance.reported = instance.holds;
            }
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..12) {
            0 => self.harm(),
            1..=3 => self.sync(),
            4..=6 => self.grant(),
            7..=9 => self.report(),
            _ => self.plan(),
        }
    }
}

#[test]
fn every_new_scheduler_holds_every_claim() {
    let mut successions = 0;
    let mut losses = 0;
    for seed in 0..HISTORIES {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        successions += world.successions;
        losses += world.losses;
    }
    // The histories do reach what they are meant for.
    assert!(successions > HISTORIES, "{successions} successions");
    assert!(
        losses < successions,
        "{losses} losses in {successions} successions"
    );
}
