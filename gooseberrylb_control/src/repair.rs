//! Which membership change is due next, so that lost voters are replaced without an operator.
//!
//! Pure: the leader's [`Status`] and what is known of the disks go in, one [`Change`] comes out.
//! A spare first learns, then votes, and only then does the lost voter go, as long as the quorum
//! bears that; so a second loss right after a repair finds as many voters as before.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use crate::consensus::Status;
use crate::membership::{Change, Folder, Membership};

/// How long a voter may be silent before it is replaced.
pub const VOTER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a spare must have been heard before it is taken, so that no instance that keeps
/// failing is.
pub const MIN_SPARE_UPTIME: Duration = Duration::from_secs(2);

/// Whether an instance is heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It has been heard without a gap.
    Alive {
        /// Since when.
        since: Instant,
    },
    /// It has not been heard.
    Silent {
        /// Since when.
        since: Instant,
    },
}

/// An instance with a data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disk {
    /// The folder that it has now, or had when it was last heard.
    pub folder: Folder,
    /// Whether it is heard.
    pub liveness: Liveness,
}

/// What stands in the way of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// It has another folder than it is a member with.
    Replaced,
    /// It has been silent past the threshold.
    Lost,
}

/// The leader's view of the members and spares at one time.
struct View<'a> {
    /// What the leader's node tells.
    status: &'a Status,
    /// The instances with disks.
    disks: &'a BTreeMap<id::Instance, Disk>,
    /// The number of voters wanted.
    target: usize,
    /// The time.
    now: Instant,
}

/// The change that the leader is to make now, if any.
pub fn next_change(
    status: &Status,
    disks: &BTreeMap<id::Instance, Disk>,
    target: usize,
    now: Instant,
) -> Option<Change> {
    if !status.can_change_membership {
        return None;
    }
    let view = View {
        status,
        disks,
        target,
        now,
    };
    view.remove_replaced()
        .or_else(|| view.promote())
        .or_else(|| view.remove_surplus())
        .or_else(|| view.remove_failed_learner())
        .or_else(|| view.add())
}

impl View<'_> {
    fn membership(&self) -> &Membership {
        &self.status.membership
    }

    fn fault(&self, instance: &id::Instance, folder: Folder) -> Option<Fault> {
        let answers = self.status.unexpected_folders.get(instance);
        let disk = self.disks.get(instance);
        let known = answers.copied().or(disk.map(|disk| disk.folder));
        if known.is_some_and(|known| known != folder) {
            return Some(Fault::Replaced);
        }
        match disk.map(|disk| disk.liveness) {
            Some(Liveness::Silent { since }) if self.now >= since + VOTER_TIMEOUT => {
                Some(Fault::Lost)
            }
            Some(Liveness::Silent { .. } | Liveness::Alive { .. }) | None => None,
        }
    }

    /// The voters with a fault, those with a new folder first.
    fn faulty_voters(&self) -> Vec<(&id::Instance, Fault)> {
        let voters = self.membership().voters.iter();
        let faults = voters.filter_map(|(name, folder)| Some((name, self.fault(name, *folder)?)));
        let (mut replaced, lost): (Vec<_>, Vec<_>) =
            faults.partition(|(_, fault)| *fault == Fault::Replaced);
        replaced.extend(lost);
        replaced
    }

    /// A member whose folder is gone goes at once: its old vote can never come back, and it may
    /// only learn under the new folder once the old one is no member.
    fn remove_replaced(&self) -> Option<Change> {
        let gone = |(name, folder): (&id::Instance, &Folder)| {
            self.fault(name, *folder) == Some(Fault::Replaced)
        };
        let membership = self.membership();
        let learner = membership.learners.iter().find(|member| gone(*member));
        let voter = membership.voters.iter().find(|member| gone(*member));
        let instance = learner.or(voter)?.0.clone();
        Some(Change::Remove { instance })
    }

    /// A learner that has caught up votes, where a voter is lacking or lost.
    fn promote(&self) -> Option<Change> {
        if !self.is_short() {
            return None;
        }
        let is_ready = |name: &&id::Instance| {
            let member = self.status.members.get(*name);
            member.is_some_and(|member| member.caught_up)
        };
        let instance = self.membership().learners.keys().find(is_ready)?.clone();
        Some(Change::Promote { instance })
    }

    /// A lost voter goes once enough others vote in its place.
    fn remove_surplus(&self) -> Option<Change> {
        if self.membership().voters.len() <= self.target {
            return None;
        }
        let instance = self.faulty_voters().first()?.0.clone();
        Some(Change::Remove { instance })
    }

    /// A learner that is lost, or no longer needed, gives way.
    fn remove_failed_learner(&self) -> Option<Change> {
        let is_short = self.is_short();
        let is_of_no_use = |(name, folder): &(&id::Instance, &Folder)| {
            !is_short || self.fault(name, **folder).is_some()
        };
        let instance = self.membership().learners.iter().find(is_of_no_use)?.0;
        let instance = instance.clone();
        Some(Change::Remove { instance })
    }

    /// A spare learns, where a voter is lacking or lost and no other learns already.
    fn add(&self) -> Option<Change> {
        if !self.is_short() || !self.membership().learners.is_empty() {
            return None;
        }
        let is_spare = |(name, disk): &(&id::Instance, &Disk)| {
            let is_tried = match disk.liveness {
                Liveness::Alive { since } => self.now >= since + MIN_SPARE_UPTIME,
                Liveness::Silent { .. } => false,
            };
            is_tried && self.membership().folder(name).is_none()
        };
        let (instance, disk) = self.disks.iter().find(is_spare)?;
        Some(Change::AddLearner {
            instance: instance.clone(),
            folder: disk.folder,
        })
    }

    /// Whether fewer voters than wanted are without fault.
    fn is_short(&self) -> bool {
        let sound = self.membership().voters.len() - self.faulty_voters().len();
        sound < self.target
    }
}
