//! Automatic repair of the membership: replaces lost voters without an operator.
//!
//! [`next_change`] is a pure function of the leader's [`Status`] and the reported data folders.
//! A spare instance is first added as a learner, then promoted to voter. A lost voter is removed once
//! it has been silent for long enough, as long as enough voters remain. `docs/design/lost-voters.md`
//! describes what the [`Goal`] is derived from.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use crate::consensus::Status;
use crate::membership::{Change, Folder, Membership};

pub use goal::{Goal, Size};
pub use health::Health;

mod goal;
mod health;

/// Silence after which a learner counts as lost. A learner has no vote, so that nothing depends on it.
pub const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// Reachability of an instance as seen by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// In contact without interruption.
    Alive {
        /// Start of the uninterrupted contact.
        since: Instant,
        /// Time of the last report.
        last: Instant,
    },
    /// Out of contact.
    Silent,
}

/// Data folder of an instance, and the reachability of that instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disk {
    /// Id of the data folder, as of the last contact.
    pub folder: Folder,
    /// Reachability of the instance.
    pub liveness: Liveness,
    /// Whether the instance has reported that it is about to stop.
    pub leaving: bool,
}

/// Membership change that is due, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Repair {
    /// Change to propose.
    pub change: Change,
    /// Cause of the change.
    pub cause: Cause,
}

/// Cause of a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The member has another data folder than the one in the membership.
    Replaced,
    /// The learner holds the log.
    CaughtUp,
    /// The member has left heartbeats unanswered for this time.
    Silent(Duration),
    /// The voter is about to stop.
    Leaving,
    /// There are enough voters without the learner.
    Unneeded,
    /// The instance has a disk and no vote.
    Spare,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Replaced => f.write_str("its data folder was replaced"),
            Self::CaughtUp => f.write_str("it has caught up"),
            Self::Silent(silence) => write!(f, "no answer for {} ms", silence.as_millis()),
            Self::Leaving => f.write_str("it is about to stop"),
            Self::Unneeded => f.write_str("enough voters answer without it"),
            Self::Spare => f.write_str("it has a disk and no vote"),
        }
    }
}

/// Inputs of one repair decision.
struct Planner<'a> {
    /// Status of the leader's node.
    status: &'a Status,
    /// Data folders by instance, as reported.
    disks: &'a BTreeMap<id::Instance, Disk>,
    /// What the repair aims at.
    goal: &'a Goal,
    /// Voters that answer, and those that do not.
    health: Health,
    /// Current time.
    now: Instant,
}

/// Returns the membership change that the leader should make now, if any.
pub fn next_change(
    status: &Status,
    disks: &BTreeMap<id::Instance, Disk>,
    goal: &Goal,
    now: Instant,
) -> Option<Repair> {
    if !status.can_change_membership {
        return None;
    }
    let planner = Planner {
        status,
        disks,
        goal,
        health: Health::new(status, goal.urgent_silence),
        now,
    };
    planner
        .remove_replaced()
        .or_else(|| planner.promote())
        .or_else(|| planner.remove_lost_voter())
        .or_else(|| planner.add())
        .or_else(|| planner.remove_learner())
}

impl Planner<'_> {
    fn membership(&self) -> &Membership {
        &self.status.membership
    }

    /// Whether the instance has another data folder than `folder`, with which it is a member.
    fn is_replaced(&self, instance: &id::Instance, folder: Folder) -> bool {
        let reported = self.status.unexpected_folders.get(instance).copied();
        let actual = reported.or(self.disks.get(instance).map(|disk| disk.folder));
        actual.is_some_and(|actual| actual != folder)
    }

    /// Removes a member whose data folder was replaced.
    ///
    /// The removal is immediate: the votes stored in the old folder are gone for good, and the
    /// instance can only become a learner with its new folder once the old one is not a member.
    fn remove_replaced(&self) -> Option<Repair> {
        let members = self.membership();
        let mut members = members.learners.iter().chain(&members.voters);
        let (instance, _) = members.find(|(name, folder)| self.is_replaced(name, **folder))?;
        Some(removal(instance, Cause::Replaced))
    }

    /// Promotes a learner that has caught up, if a further voter is wanted.
    fn promote(&self) -> Option<Repair> {
        if self.wanted() == 0 {
            return None;
        }
        let is_ready = |name: &&id::Instance| {
            let member = self.status.members.get(*name);
            member.is_some_and(|member| member.caught_up)
        };
        let instance = self.membership().learners.keys().find(is_ready)?.clone();
        Some(Repair {
            change: Change::Promote { instance },
            cause: Cause::CaughtUp,
        })
    }

    /// Removes the voter that has been silent for longest, if that is long enough and enough voters remain;
    /// or one that is about to stop, if too few losses are borne without it.
    ///
    /// The number of voters that may be lost never falls by that, and with the next new voter it rises. What is
    /// accepted afterwards is stored by fewer voters, so the last ones keep their votes.
    fn remove_lost_voter(&self) -> Option<Repair> {
        if self.membership().voters.len() <= self.goal.min_voters() {
            return None;
        }
        let leaving = self.leaving_voters();
        let is_urgent = self.health.losses_borne() < self.goal.losses + leaving.len();
        let limit = match is_urgent {
            true => self.goal.urgent_silence,
            false => self.goal.silence,
        };
        let silent = self.health.silent.first();
        let lost = silent.filter(|(_, silence)| *silence >= limit);
        let lost = lost.map(|(voter, silence)| removal(voter, Cause::Silent(*silence)));
        let leaving = leaving.first().filter(|_| is_urgent);
        lost.or_else(|| leaving.map(|voter| removal(voter, Cause::Leaving)))
    }

    /// Returns the voters that answer and have reported that they are about to stop.
    fn leaving_voters(&self) -> Vec<&id::Instance> {
        let is_leaving = |voter: &&id::Instance| {
            let is_silent = self
                .health
                .silent
                .iter()
                .any(|(silent, _)| silent == *voter);
            !is_silent && self.disks.get(*voter).is_some_and(|disk| disk.leaving)
        };
        self.membership().voters.keys().filter(is_leaving).collect()
    }

    /// Removes a learner that is lost or not needed.
    fn remove_learner(&self) -> Option<Repair> {
        let learners = self.membership().learners.keys();
        let mut removals = learners.filter_map(|learner| {
            let silence = self.status.members.get(learner).map(|m| m.silence);
            match silence.filter(|silence| *silence >= LEARNER_TIMEOUT) {
                Some(silence) => Some(removal(learner, Cause::Silent(silence))),
                None if self.wanted() == 0 => Some(removal(learner, Cause::Unneeded)),
                None => None,
            }
        });
        removals.next()
    }

    /// Adds a spare as a learner, if more voters are wanted than there are learners.
    fn add(&self) -> Option<Repair> {
        if self.wanted() <= self.membership().learners.len() {
            return None;
        }
        let is_spare = |(name, disk): &(&id::Instance, &Disk)| {
            let is_stable = match disk.liveness {
                // A voter that has just lost its vote may still count as alive by an older report.
                Liveness::Alive { since, last } => {
                    self.now >= since + self.goal.spare_uptime
                        && self.now < last + self.goal.urgent_silence
                }
                Liveness::Silent => false,
            };
            is_stable && !disk.leaving && self.membership().folder(name).is_none()
        };
        let (instance, disk) = self.disks.iter().find(is_spare)?;
        Some(Repair {
            change: Change::AddLearner {
                instance: instance.clone(),
                folder: disk.folder,
            },
            cause: Cause::Spare,
        })
    }

    /// Returns the number of voters that are wanted beside those that answer.
    fn wanted(&self) -> usize {
        match self.goal.size {
            Size::EveryDisk => usize::MAX,
            Size::Fixed(size) => size.saturating_sub(self.health.answering()),
        }
    }
}

fn removal(instance: &id::Instance, cause: Cause) -> Repair {
    Repair {
        change: Change::Remove {
            instance: instance.clone(),
        },
        cause,
    }
}
