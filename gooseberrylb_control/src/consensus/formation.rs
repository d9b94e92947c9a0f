//! How the founders form a cluster: only when all of them say that they have none.
//!
//! Each founder tells the others which folders it knows of. A founder forms the cluster once all
//! others have told it of the same folders as it knows itself. One that missed the last answers
//! is brought in by those that formed it, since their membership names its folder.
//!
//! A founder that hears of a cluster takes no part, which keeps all others from forming one too:
//! if the disks of all voters were lost, what other instances still hold must not be replaced by
//! an empty configuration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::follower::Following;
use super::message::Body;
use super::node::{Node, Stage};
use super::{FORMATION_WAIT, Identity};
use crate::entry::{Entry, Payload};
use crate::membership::{Cluster, Folder, Membership};

/// How often the founders are asked.
const PROBE: Duration = Duration::from_millis(100);

/// What a founder knows of the others.
#[derive(Debug, Default)]
pub(super) struct Formation {
    /// The folders known.
    folders: BTreeMap<id::Instance, Folder>,
    /// The folders that each other founder has told of.
    told: BTreeMap<id::Instance, BTreeMap<id::Instance, Folder>>,
    /// When the founders are asked again.
    due: Option<Instant>,
    /// A cluster that another instance holds a configuration of.
    known: Option<Cluster>,
}

impl Formation {
    /// Nothing is known but the founder's own folder.
    pub(super) fn new(identity: &Identity) -> Self {
        let own = (identity.instance.clone(), identity.folder);
        Self {
            folders: BTreeMap::from([own]),
            ..Self::default()
        }
    }

    /// Takes note of what another founder knows.
    fn note(&mut self, from: id::Instance, folder: Folder, told: BTreeMap<id::Instance, Folder>) {
        self.folders.insert(from.clone(), folder);
        self.told.insert(from, told);
    }

    /// The folders of all founders, once all agree on them.
    fn agreed(&self, identity: &Identity) -> Option<&BTreeMap<id::Instance, Folder>> {
        let others_agree = identity
            .founders
            .iter()
            .filter(|founder| **founder != identity.instance)
            .all(|founder| self.told.get(founder) == Some(&self.folders));
        let is_whole = identity
            .founders
            .iter()
            .all(|founder| self.folders.contains_key(founder));
        Some(&self.folders).filter(|_| others_agree && is_whole)
    }
}

impl Node {
    /// Asks the other founders, and forms the cluster if it stands alone.
    pub(super) fn probe_founders(&mut self) {
        if !self.identity.founders.contains(&self.identity.instance) {
            return;
        }
        let started = self.last_contact;
        let Stage::Unformed(formation) = &mut self.stage else {
            return;
        };
        let due = formation.due.unwrap_or(started + FORMATION_WAIT);
        if formation.known.is_some() || self.now < due {
            return;
        }
        formation.due = Some(self.now + PROBE);
        let folders = formation.folders.clone();
        for founder in self.identity.founders.clone() {
            if founder != self.identity.instance {
                let folders = folders.clone();
                self.send(&founder, Body::Probe { folders });
            }
        }
        self.form_if_agreed();
    }

    /// Takes no part in forming a cluster, since there is one.
    pub(super) fn block_formation(&mut self, cluster: Cluster) {
        if let Stage::Unformed(formation) = &mut self.stage {
            formation.known = Some(cluster);
        }
    }

    /// The cluster that keeps this node from forming one.
    pub(super) fn blocked_by(&self) -> Option<Cluster> {
        match &self.stage {
            Stage::Unformed(formation) => formation.known,
            Stage::Follower(_)
            | Stage::PreCandidate(_)
            | Stage::Candidate(_)
            | Stage::Leader(_) => None,
        }
    }

    /// Takes note of what another founder without a cluster knows.
    pub(super) fn probed(
        &mut self,
        from: id::Instance,
        folder: Folder,
        told: BTreeMap<id::Instance, Folder>,
    ) {
        let is_founder = self.identity.founders.contains(&from);
        let Stage::Unformed(formation) = &mut self.stage else {
            return;
        };
        if is_founder {
            formation.note(from, folder, told);
        }
    }

    fn form_if_agreed(&mut self) {
        let Stage::Unformed(formation) = &self.stage else {
            return;
        };
        let Some(folders) = formation.agreed(&self.identity) else {
            return;
        };
        let membership = Membership {
            voters: folders.clone(),
            learners: BTreeMap::new(),
        };
        let cluster = name_cluster(&membership.voters);
        // A last word to those who wait for it before they form the cluster in their turn.
        self.tell_founders(&membership.voters);
        self.log.append(Entry {
            index: Index(1),
            term: Term(1),
            payload: Payload::Membership(membership),
        });
        self.writer.touch_entries(Index(1));
        self.join(cluster);
        self.follow(Term(1), None);
        self.refresh_membership();
    }

    fn tell_founders(&mut self, folders: &BTreeMap<id::Instance, Folder>) {
        for founder in folders.keys() {
            if *founder != self.identity.instance {
                let folders = folders.clone();
                self.send(founder, Body::Probe { folders });
            }
        }
    }

    /// Belongs to `cluster` from now on.
    pub(super) fn join(&mut self, cluster: Cluster) {
        self.cluster = Some(cluster);
        self.writer.touch_cluster();
        self.stage = Stage::Follower(Following::default());
        self.postpone_election();
    }
}

/// The name that all founders give to the cluster of these folders.
fn name_cluster(folders: &BTreeMap<id::Instance, Folder>) -> Cluster {
    let mut hasher = blake3::Hasher::new();
    for (instance, folder) in folders {
        hasher.update(instance.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(&folder.0.to_le_bytes());
    }
    let mut name = [0; 8];
    hasher.finalize_xof().fill(&mut name);
    Cluster(u64::from_le_bytes(name))
}
