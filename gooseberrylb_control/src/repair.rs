//! Automatic repair of the membership: replaces lost voters without an operator.
//!
//! [`next_change`] is a pure function of the leader's [`Status`] and the reported data folders.
//! A spare instance is first added as a learner, then promoted to voter, and only then is the lost
//! voter removed, as long as the quorum allows it. A second loss right after a repair therefore
//! meets as many voters as the first one did.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use crate::consensus::Status;
use crate::membership::{Change, Folder, Membership};

pub use health::Health;

mod health;

/// Time without contact after which a voter counts as lost.
pub const VOTER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a spare must have been alive before it is added, so that an instance that keeps
/// failing is not chosen.
pub const MIN_SPARE_UPTIME: Duration = Duration::from_secs(2);

/// Reachability of an instance as seen by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// In contact without interruption.
    Alive {
        /// Start of the uninterrupted contact.
        since: Instant,
    },
    /// Out of contact.
    Silent {
        /// Time since which there has been no contact.
        since: Instant,
    },
}

/// Data folder of an instance, and the reachability of that instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disk {
    /// Id of the data folder, as of the last contact.
    pub folder: Folder,
    /// Reachability of the instance.
    pub liveness: Liveness,
}

/// Reason why a member cannot take part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The instance has another data folder than the one in the membership.
    Replaced,
    /// The instance has been out of contact for [`VOTER_TIMEOUT`].
    Lost,
}

/// Inputs of one repair decision.
struct Planner<'a> {
    /// Status of the leader's node.
    status: &'a Status,
    /// Data folders by instance.
    disks: &'a BTreeMap<id::Instance, Disk>,
    /// Target number of voters.
    target: usize,
    /// Current time.
    now: Instant,
}

/// Returns the membership change that the leader should make now, if any.
pub fn next_change(
    status: &Status,
    disks: &BTreeMap<id::Instance, Disk>,
    target: usize,
    now: Instant,
) -> Option<Change> {
    if !status.can_change_membership {
        return None;
    }
    let planner = Planner {
        status,
        disks,
        target,
        now,
    };
    planner
        .remove_replaced()
        .or_else(|| planner.promote())
        .or_else(|| planner.remove_surplus_voter())
        .or_else(|| planner.remove_failed_learner())
        .or_else(|| planner.add())
}

impl Planner<'_> {
    fn membership(&self) -> &Membership {
        &self.status.membership
    }

    /// Returns the fault of a member that is registered with `folder`, if any.
    fn fault(&self, instance: &id::Instance, folder: Folder) -> Option<Fault> {
        let reported = self.status.unexpected_folders.get(instance);
        let disk = self.disks.get(instance);
        let actual = reported.copied().or(disk.map(|disk| disk.folder));
        if actual.is_some_and(|actual| actual != folder) {
            return Some(Fault::Replaced);
        }
        match disk.map(|disk| disk.liveness) {
            Some(Liveness::Silent { since }) if self.now >= since + VOTER_TIMEOUT => {
                Some(Fault::Lost)
            }
            Some(Liveness::Silent { .. } | Liveness::Alive { .. }) | None => None,
        }
    }

    /// Returns the voters with a fault, those with a replaced folder first.
    fn faulty_voters(&self) -> Vec<(&id::Instance, Fault)> {
        let voters = self.membership().voters.iter();
        let faults = voters.filter_map(|(name, folder)| Some((name, self.fault(name, *folder)?)));
        let (mut replaced, lost): (Vec<_>, Vec<_>) =
            faults.partition(|(_, fault)| *fault == Fault::Replaced);
        replaced.extend(lost);
        replaced
    }

    /// Removes a member whose data folder was replaced.
    ///
    /// The removal is immediate: the votes stored in the old folder are gone for good, and the
    /// instance can only become a learner with its new folder once the old one is not a member.
    fn remove_replaced(&self) -> Option<Change> {
        let is_replaced = |(name, folder): (&id::Instance, &Folder)| {
            self.fault(name, *folder) == Some(Fault::Replaced)
        };
        let membership = self.membership();
        let learner = membership
            .learners
            .iter()
            .find(|member| is_replaced(*member));
        let voter = membership.voters.iter().find(|member| is_replaced(*member));
        let instance = learner.or(voter)?.0.clone();
        Some(Change::Remove { instance })
    }

    /// Promotes a learner that has caught up, if a voter is missing or faulty.
    fn promote(&self) -> Option<Change> {
        if !self.lacks_voters() {
            return None;
        }
        let is_ready = |name: &&id::Instance| {
            let member = self.status.members.get(*name);
            member.is_some_and(|member| member.caught_up)
        };
        let instance = self.membership().learners.keys().find(is_ready)?.clone();
        Some(Change::Promote { instance })
    }

    /// Removes a faulty voter once there are more voters than the target.
    fn remove_surplus_voter(&self) -> Option<Change> {
        if self.membership().voters.len() <= self.target {
            return None;
        }
        let instance = self.faulty_voters().first()?.0.clone();
        Some(Change::Remove { instance })
    }

    /// Removes a learner that is faulty or no longer needed.
    fn remove_failed_learner(&self) -> Option<Change> {
        let lacks_voters = self.lacks_voters();
        let is_unneeded = |(name, folder): &(&id::Instance, &Folder)| {
            !lacks_voters || self.fault(name, **folder).is_some()
        };
        let instance = self.membership().learners.iter().find(is_unneeded)?.0;
        let instance = instance.clone();
        Some(Change::Remove { instance })
    }

    /// Adds a spare as a learner, if a voter is missing or faulty and there is no learner yet.
    fn add(&self) -> Option<Change> {
        if !self.lacks_voters() || !self.membership().learners.is_empty() {
            return None;
        }
        let is_spare = |(name, disk): &(&id::Instance, &Disk)| {
            let is_stable = match disk.liveness {
                Liveness::Alive { since } => self.now >= since + MIN_SPARE_UPTIME,
                Liveness::Silent { .. } => false,
            };
            is_stable && self.membership().folder(name).is_none()
        };
        let (instance, disk) = self.disks.iter().find(is_spare)?;
        Some(Change::AddLearner {
            instance: instance.clone(),
            folder: disk.folder,
        })
    }

    /// Whether fewer voters than the target are without a fault.
    fn lacks_voters(&self) -> bool {
        let healthy = self.membership().voters.len() - self.faulty_voters().len();
        healthy < self.target
    }
}
