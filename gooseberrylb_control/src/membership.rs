//! Identifiers of clusters and data folders, and the set of voters and learners with its changes.

use std::collections::BTreeMap;
use std::fmt;

use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

/// Identifier of a data folder. A folder that is lost and created anew gets a new identifier, so
/// that it never votes under the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Folder(pub u64);

impl fmt::Display for Folder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifier of a cluster, which keeps the instances of different clusters from mixing.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cluster(pub u64);

impl fmt::Display for Cluster {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Voters of a cluster, and the learners that are catching up to become voters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voters, with the data folder that each one votes with.
    pub voters: BTreeMap<id::Instance, Folder>,
    /// Members that receive the log but do not vote yet, with their data folders.
    pub learners: BTreeMap<id::Instance, Folder>,
}

/// Change of a single member; the leader makes one change at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds an instance that receives the log, so that it can catch up.
    AddLearner {
        /// Instance to add.
        instance: id::Instance,
        /// Data folder of the instance.
        folder: Folder,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Learner to promote.
        instance: id::Instance,
    },
    /// Removes a voter or learner, which then receives no further entries.
    Remove {
        /// Instance to remove.
        instance: id::Instance,
    },
}

impl Membership {
    /// Returns the number of voters that must agree.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the data folder of a member, or none if `instance` is not a member.
    pub fn folder(&self, instance: &id::Instance) -> Option<Folder> {
        let voter = self.voters.get(instance);
        voter.or_else(|| self.learners.get(instance)).copied()
    }

    /// Returns all members with their data folders.
    pub fn folders(&self) -> impl Iterator<Item = (id::Instance, Folder)> {
        let members = self.voters.iter().chain(&self.learners);
        members.map(|(instance, folder)| (instance.clone(), *folder))
    }

    /// Returns the membership after `change`, or none if the change does not apply or would leave
    /// no voter.
    pub fn with_change(&self, change: &Change) -> Option<Membership> {
        let mut changed = self.clone();
        match change {
            Change::AddLearner { instance, folder } => {
                if self.folder(instance).is_some() {
                    return None;
                }
                changed.learners.insert(instance.clone(), *folder);
            }
            Change::Promote { instance } => {
                let folder = changed.learners.remove(instance)?;
                changed.voters.insert(instance.clone(), folder);
            }
            Change::Remove { instance } => {
                let voter = changed.voters.remove(instance);
                voter.or_else(|| changed.learners.remove(instance))?;
            }
        }
        (!changed.voters.is_empty()).then_some(changed)
    }
}
