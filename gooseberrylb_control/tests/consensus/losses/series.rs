//! Series of losses that a deployment allows, and the player that checks its promises.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gooseberrylb_config::id;
use gooseberrylb_config::settings::Silence;
use gooseberrylb_control::membership::Folder;
use gooseberrylb_control::repair::Goal;
use rand::Rng;

use super::ROUND;
use crate::simulation::{Conditions, Delays, Simulation, TICK, instance};

mod checks;

/// Longest time without a leader, from the loss or from when all machines are back.
const RECOVERY_MS: u64 = 12_000;

/// Longest time until a change is accepted while the core is stable.
const ACCEPTANCE_MS: u64 = 4_000;

/// Time after the last disturbance from which on the core is stable.
const CONTACT_MS: u64 = 3_000;

/// Maximum number of changes in one round of the leader's tasks.
const MAX_CHANGES: usize = 8;

/// Delays of the product's reports.
const DELAYS: Delays = Delays {
    first_report: Duration::from_millis(300),
    silence: Duration::from_millis(3_500),
};

/// Machine that an event happens to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Leader, if there is one and it does not count as lost; otherwise the first machine.
    Leader,
    /// Machine of this number, modulo their number, among those that do not count as lost.
    Nth(usize),
}

/// Loss of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The machine is gone for good; a successor under another name starts `after` ms later.
    Replaced { after: u64 },
    /// A successor starts now, and the machine is gone for good `lead` ms later.
    Planned { lead: u64 },
    /// The process starts again on an empty disk after `down` ms.
    Wiped { down: u64 },
    /// The process does not run for `time` ms.
    Frozen { time: u64 },
    /// The machine reaches no other for `time` ms.
    Cut { time: u64 },
    /// The process starts again after `down` ms.
    Restarted { down: u64 },
}

/// Step of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A machine is lost as soon as that is allowed, and `pause` ms later.
    Lose {
        loss: Loss,
        target: Target,
        pause: u64,
    },
    /// All processes are killed `pause` ms after the last event, and each is back within `down` ms.
    KillAll { pause: u64, down: u64 },
    /// The machines are split into two halves for `time` ms, `pause` ms after the last event.
    Split { pause: u64, time: u64 },
    /// The last loss, as soon as that is allowed: as many disks as the deployment allows, and at the
    /// same moment the power of all others if `power` says so.
    End { power: bool, down: u64 },
}

/// Promises that a player checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Checks {
    /// There is a leader, changes are accepted, nothing accepted is lost, and no vote is lost without need.
    Service,
    /// These, and that the votes are those of the machines that count, `catch_up` after each loss.
    Votes,
}

/// Deployment, and what happens to it.
#[derive(Debug, Clone)]
pub struct Series {
    pub seed: u64,
    pub voters: usize,
    /// Number of machines that may be lost at once.
    pub losses: usize,
    pub catch_up_ms: u64,
    pub conditions: Conditions,
    /// Whether a machine stops counting `catch_up` after the start of its successor even if it is removed
    /// later than the successor starts.
    pub counts_from_successor: bool,
    pub events: Vec<Event>,
}

/// Something that is due at a time.
#[derive(Debug, Clone)]
enum Action {
    Start(id::Instance),
    Add(id::Instance),
    /// The instance is gone for good, and counts as lost until `catch_up` after this time.
    Remove(id::Instance, u64),
    Rejoin(id::Instance),
    EndSplit,
    /// The instance is to have a vote, if it still has this folder.
    CheckVoter(id::Instance),
    /// The instance is to have none with this folder.
    CheckGone(id::Instance, Folder),
}

/// Plays a series.
///
/// A machine counts as lost while it is down, frozen or cut off, and for `catch_up` after it is back
/// or, for a machine that is gone, after its successor starts; it is lost at least while nothing has
/// taken its place. At most `losses` machines count as lost when another one is lost. All processes may
/// be killed at any time, whatever counts as lost: that needs no place among the losses, but each
/// machine that starts again then counts as lost until `catch_up` after that, as after any other
/// return, so that the next loss waits for the last of them. A machine that is removed after its successor
/// has started counts until `catch_up` after its removal: where it did not, two machines could go at the same
/// moment, and of three voters and a successor the two that are left are no quorum. A split is no loss. A loss during a split,
/// and during the time after a kill, is more than the deployment bears at once: nothing acknowledged may
/// be lost then, and service is only due `recovery` after all machines are back.
pub struct Player<'a> {
    series: &'a Series,
    checks: Checks,
    sim: Simulation,
    actions: Vec<(u64, Action)>,
    /// Time until which each machine counts as lost.
    lost: BTreeMap<id::Instance, u64>,
    /// Machines that are gone for good.
    gone: BTreeSet<id::Instance>,
    cut: BTreeSet<id::Instance>,
    /// One half of the machines, during a split.
    half: Option<BTreeSet<id::Instance>>,
    /// Time until which no loss may begin, as all machines count as lost.
    all_lost_until: u64,
    /// Time until which the machines count as lost that the last split has cut from others.
    split_counts_until: u64,
    /// Time from which on the votes must be as promised.
    votes_due: u64,
    /// Number of times that each machine was out of contact, by which it may have lost its vote.
    absences: BTreeMap<id::Instance, usize>,
    /// Time from which on the absence of a leader counts.
    leader_due: u64,
    last_disturbance: u64,
    /// Start of the change that is tried, and the numbers of its proposals.
    attempt: Option<(u64, Vec<u64>)>,
    name_count: usize,
}

fn name(number: usize) -> id::Instance {
    instance(&format!("m{number:02}"))
}

impl<'a> Player<'a> {
    fn new(series: &'a Series, checks: Checks) -> Self {
        let names: Vec<_> = (0..series.voters).map(|n| format!("m{n:02}")).collect();
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let mut sim = Simulation::new(series.seed, &names, series.voters);
        let catch_up = Duration::from_millis(series.catch_up_ms);
        sim.goal = Goal::every_disk(series.losses, Silence::within(catch_up));
        sim.observation.delays = DELAYS;
        Self {
            series,
            checks,
            sim,
            actions: Vec::new(),
            lost: BTreeMap::new(),
            gone: BTreeSet::new(),
            cut: BTreeSet::new(),
            half: None,
            all_lost_until: 0,
            split_counts_until: 0,
            votes_due: 0,
            absences: BTreeMap::new(),
            leader_due: 0,
            last_disturbance: 0,
            attempt: None,
            name_count: series.voters,
        }
    }

    /// Plays the series, and fails the test if a promise is broken.
    pub fn play(series: &'a Series, checks: Checks) {
        let mut player = Self::new(series, checks);
        player.start();
        for event in &series.events {
            player.handle(*event);
        }
        player.finish();
    }

    fn start(&mut self) {
        let ready = |sim: &Simulation| {
            let leader = sim.leader();
            leader.is_some_and(|leader| sim.node(&leader).holds_lease(sim.now()))
        };
        let recovery = Duration::from_millis(RECOVERY_MS);
        self.sim.run_until(recovery, "a leader is elected", ready);
        self.sim.conditions = self.series.conditions;
        self.disturb();
        self.advance_to(self.sim.now_ms + CONTACT_MS);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Lose {
                loss,
                target,
                pause,
            } => {
                let places = self.series.losses.saturating_sub(1);
                self.wait_for_losses(places);
                self.advance_to(self.sim.now_ms + pause);
                let machine = self.machine(target);
                self.lose(loss, machine);
            }
            Event::KillAll { pause, down } => {
                self.advance_to(self.sim.now_ms + pause);
                self.kill_all(down, &BTreeSet::new());
            }
            Event::Split { pause, time } => {
                self.advance_to(self.sim.now_ms + pause);
                if self.half.is_none() {
                    self.split(time);
                }
            }
            Event::End { power, down } => self.end(power, down),
        }
    }

    /// Waits until at most `limit` machines count as lost.
    fn wait_for_losses(&mut self, limit: usize) {
        let mut ends: Vec<u64> = self.lost.values().copied().collect();
        ends.sort_unstable();
        let last = ends.len().checked_sub(limit + 1).map_or(0, |n| ends[n]);
        self.advance_to(last.max(self.all_lost_until));
        let now = self.sim.now_ms;
        self.lost.retain(|_, end| *end > now);
        assert!(self.lost.len() <= limit, "the series is not allowed");
    }

    fn machine(&self, target: Target) -> id::Instance {
        let sound = |name: &&id::Instance| {
            !self.lost.contains_key(*name) && self.sim.hosts[*name].node.is_some()
        };
        let names: Vec<_> = self.sim.hosts.keys().filter(sound).cloned().collect();
        let nth = |n: usize| names[n % names.len()].clone();
        match target {
            Target::Leader => {
                let leader = self.sim.leader().filter(|leader| names.contains(leader));
                leader.unwrap_or_else(|| nth(0))
            }
            Target::Nth(n) => nth(n),
        }
    }

    fn lose(&mut self, loss: Loss, machine: id::Instance) {
        self.disturb();
        *self.absences.entry(machine.clone()).or_default() += 1;
        let now = self.sim.now_ms;
        let mut back = now;
        match loss {
            Loss::Replaced { after } => {
                back += after;
                let successor = self.new_name();
                self.remove(&machine, back);
                self.actions.push((back, Action::Add(successor)));
            }
            Loss::Planned { lead } => {
                let successor = self.new_name();
                self.add(&successor);
                let at = now + lead;
                if !self.series.counts_from_successor {
                    back = at;
                }
                let removal = Action::Remove(machine.clone(), back);
                self.actions.push((at, removal));
            }
            Loss::Wiped { down } => {
                back += down;
                let folder = self.sim.hosts[&machine].disk.folder;
                self.sim.lose_disk(&machine);
                let check = Action::CheckGone(machine.clone(), folder);
                self.actions.push((back + self.series.catch_up_ms, check));
                self.actions.push((back, Action::Start(machine.clone())));
            }
            Loss::Frozen { time } => {
                back += time;
                let host = self.sim.hosts.get_mut(&machine);
                host.expect("the machine exists").frozen_until_ms = back;
                self.actions.push((back, Action::Rejoin(machine.clone())));
            }
            Loss::Cut { time } => {
                back += time;
                self.cut.insert(machine.clone());
                self.update_links();
                self.actions.push((back, Action::Rejoin(machine.clone())));
            }
            Loss::Restarted { down } => {
                back += down;
                self.sim.crash(&machine);
                self.actions.push((back, Action::Start(machine.clone())));
            }
        }
        let end = back + self.series.catch_up_ms;
        self.lost.insert(machine, end);
        if now < self.split_counts_until {
            // More than the deployment bears at once, so that the vote may wait for a leader.
            self.suspend_until(end.max(self.split_counts_until) - self.series.catch_up_ms);
            self.votes_due = self
                .votes_due
                .max(self.leader_due + RECOVERY_MS + self.series.catch_up_ms);
        }
    }

    fn new_name(&mut self) -> id::Instance {
        self.name_count += 1;
        name(self.name_count - 1)
    }

    fn add(&mut self, successor: &id::Instance) {
        self.disturb();
        self.sim.add_host(successor);
        self.update_links();
        self.expect_vote(successor);
    }

    /// Expects that the machine has a vote `catch_up` from now.
    fn expect_vote(&mut self, machine: &id::Instance) {
        let due = self.sim.now_ms + self.series.catch_up_ms;
        let check = Action::CheckVoter(machine.clone());
        self.actions.push((due, check));
    }

    /// Ends a machine for good, which counts as lost until `catch_up` after `back`.
    fn remove(&mut self, machine: &id::Instance, back: u64) {
        self.disturb();
        self.sim.crash(machine);
        self.gone.insert(machine.clone());
        let folder = self.sim.hosts[machine].disk.folder;
        let due = back + self.series.catch_up_ms;
        let check = Action::CheckGone(machine.clone(), folder);
        self.actions.push((due.max(self.sim.now_ms), check));
    }

    /// Ends all processes at the same moment; those of `wiped` start with empty disks.
    fn kill_all(&mut self, down: u64, wiped: &BTreeSet<id::Instance>) {
        self.disturb();
        let now = self.sim.now_ms;
        let mut last = now;
        for name in self.sim.hosts.keys().cloned().collect::<Vec<_>>() {
            if wiped.contains(&name) {
                self.sim.lose_disk(&name);
            } else if self.sim.hosts[&name].node.is_some() {
                self.sim.crash(&name);
            } else {
                continue;
            }
            *self.absences.entry(name.clone()).or_default() += 1;
            let host = self.sim.hosts.get_mut(&name).expect("the machine exists");
            host.frozen_until_ms = 0;
            let back = now + self.sim.rng.random_range(0..=down);
            last = last.max(back);
            self.actions.push((back, Action::Start(name)));
        }
        self.suspend_until(last);
        self.all_lost_until = self.all_lost_until.max(last + self.series.catch_up_ms);
    }

    /// Service may be suspended until all machines are back at `back`. What is lost now counts as lost until
    /// `catch_up` after that, and so do the votes.
    fn suspend_until(&mut self, back: u64) {
        let end = back + self.series.catch_up_ms;
        self.votes_due = self.votes_due.max(end);
        self.leader_due = self.leader_due.max(back);
        for lost in self.lost.values_mut() {
            *lost = end.max(*lost);
        }
    }

    fn split(&mut self, time: u64) {
        self.disturb();
        let names: Vec<_> = self.sim.hosts.keys().cloned().collect();
        let half: BTreeSet<_> = names
            .iter()
            .filter(|_| self.sim.rng.random())
            .cloned()
            .collect();
        self.half = Some(half);
        for name in names {
            *self.absences.entry(name).or_default() += 1;
        }
        self.update_links();
        let end = self.sim.now_ms + time;
        self.actions.push((end, Action::EndSplit));
        self.suspend_until(end);
        self.split_counts_until = end + self.series.catch_up_ms;
    }

    fn update_links(&mut self) {
        let names: Vec<_> = self.sim.hosts.keys().cloned().collect();
        self.sim.blocked_links.clear();
        for cut in &self.cut {
            self.sim.isolate(cut);
        }
        let Some(half) = &self.half else {
            return;
        };
        for one in names.iter().filter(|name| half.contains(*name)) {
            for other in names.iter().filter(|name| !half.contains(*name)) {
                self.sim.disconnect(one, other);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start(machine) => {
                if self.gone.contains(&machine) || self.sim.hosts[&machine].node.is_some() {
                    return;
                }
                self.disturb();
                self.sim.start(&machine);
                self.expect_vote(&machine);
            }
            Action::Add(successor) => self.add(&successor),
            Action::Remove(machine, back) => self.remove(&machine, back),
            Action::Rejoin(machine) => {
                self.disturb();
                self.cut.remove(&machine);
                self.update_links();
                self.expect_vote(&machine);
            }
            Action::EndSplit => {
                self.disturb();
                self.half = None;
                self.update_links();
                let running: Vec<_> = self.running().cloned().collect();
                for machine in running {
                    self.expect_vote(&machine);
                }
            }
            Action::CheckVoter(_) | Action::CheckGone(..) if self.checks == Checks::Service => {}
            Action::CheckVoter(_) | Action::CheckGone(..) if self.sim.now_ms < self.votes_due => {
                self.actions.push((self.votes_due, action));
            }
            Action::CheckVoter(machine) => self.check_voter(&machine),
            Action::CheckGone(machine, folder) => self.check_gone(&machine, folder),
        }
    }

    fn running(&self) -> impl Iterator<Item = &id::Instance> {
        let hosts = self.sim.hosts.iter();
        hosts.filter_map(|(name, host)| host.node.is_some().then_some(name))
    }

    fn disturb(&mut self) {
        self.last_disturbance = self.sim.now_ms;
        self.attempt = None;
    }

    /// Advances time to `end`, with all that is due before or then.
    fn advance_to(&mut self, end: u64) {
        loop {
            let first = self.actions.iter().map(|(due, _)| *due).min();
            if let Some(first) = first.filter(|first| *first <= end) {
                self.run_to(first);
                let (due, later) = std::mem::take(&mut self.actions)
                    .into_iter()
                    .partition::<Vec<_>, _>(|(due, _)| *due <= first);
                self.actions = later;
                // What the series promises is checked before the next disturbance.
                let is_check = |action: &Action| {
                    matches!(action, Action::CheckVoter(_) | Action::CheckGone(..))
                };
                let (checks, rest): (Vec<_>, Vec<_>) =
                    due.into_iter().partition(|(_, action)| is_check(action));
                for (_, action) in checks.into_iter().chain(rest) {
                    self.perform(action);
                }
            } else {
                self.run_to(end);
                return;
            }
        }
    }

    /// Advances time to `end` in rounds of the leader's tasks. In a round, the leader makes one change after
    /// the other, as the product does.
    fn run_to(&mut self, end: u64) {
        while self.sim.now_ms < end {
            let round_end = end.min(self.sim.now_ms + ROUND.as_millis() as u64);
            let mut changes = MAX_CHANGES;
            while self.sim.now_ms < round_end {
                if changes > 0 && self.sim.may_repair() {
                    changes = match self.sim.repair() {
                        true => changes - 1,
                        false => 0,
                    };
                }
                self.sim.run(TICK);
            }
            self.check_leader();
            self.check_acceptance();
        }
    }

    /// The disks that may be lost at once are lost, right after a change was accepted.
    fn end(&mut self, power: bool, down: u64) {
        self.wait_for_losses(0);
        let leader = self.machine(Target::Leader);
        let first = self.sim.rng.random_range(0..16);
        let others = (first..).map(|n| self.machine(Target::Nth(n)));
        let others = others.filter(|machine| *machine != leader);
        let others: Vec<_> = others.take(self.series.losses - 1).collect();
        let wiped: BTreeSet<_> = others.into_iter().chain([leader]).collect();
        if !power {
            for machine in wiped.clone() {
                self.lose(Loss::Wiped { down }, machine);
            }
        }
        if power {
            self.kill_all(down, &wiped);
        }
        let last = self.actions.iter().map(|(due, _)| *due).max();
        let last = last.unwrap_or_default().max(self.leader_due);
        let end = last.max(self.sim.now_ms) + RECOVERY_MS + CONTACT_MS + ACCEPTANCE_MS;
        self.advance_to(end);
    }
}
