//! Who votes.

use std::collections::BTreeMap;
use std::fmt;

use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

/// Names one data folder: a folder that is lost and made anew never votes under its old id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Folder(pub u64);

impl fmt::Display for Folder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Names one cluster, so that instances of two never mix.
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

/// The voters, and the members that catch up to become voters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The voters and the data folder that each votes with.
    pub voters: BTreeMap<id::Instance, Folder>,
    /// Members that receive the log and do not vote yet.
    pub learners: BTreeMap<id::Instance, Folder>,
}

/// One change of the membership; the leader makes one at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Send the log to an instance, so that it can catch up.
    AddLearner {
        /// The instance.
        instance: id::Instance,
        /// Its data folder.
        folder: Folder,
    },
    /// Count a learner that has caught up as a voter.
    Promote {
        /// The instance.
        instance: id::Instance,
    },
    /// Count an instance no longer, and send it the log no longer.
    Remove {
        /// The instance.
        instance: id::Instance,
    },
}

impl Membership {
    /// The number of voters that must agree.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The folder that an instance is a member with.
    pub fn folder(&self, instance: &id::Instance) -> Option<Folder> {
        let voter = self.voters.get(instance);
        voter.or_else(|| self.learners.get(instance)).copied()
    }

    /// All members and their folders.
    pub fn folders(&self) -> impl Iterator<Item = (id::Instance, Folder)> {
        let members = self.voters.iter().chain(&self.learners);
        members.map(|(instance, folder)| (instance.clone(), *folder))
    }

    /// The membership after a change, or none if the change does not apply.
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
