//! Formation of a cluster by its founders.
//!
//! Founders that are told so at the first start only agree by a majority, as described in `ballot`.
//! Founders that are told so at every start form the cluster only after all of them report that they
//! belong to none: with a new disk, one of them could help to form a second cluster.
//!
//! Each of the latter sends the others the folders that it knows. A founder forms the cluster once
//! all others have reported the same folders that it knows itself. A founder that missed the last
//! reports is brought in by those that formed the cluster, because their membership contains its
//! folder.
//!
//! A founder that learns of an existing cluster takes no part, which also prevents all others from
//! forming one: if the disks of all voters were lost, an empty configuration must not replace the
//! one that other instances still hold.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};

use super::ballot::Ballot;
use super::follower::FollowerState;
use super::message::Body;
use super::node::{Node, Stage};
use super::{FORMATION_WAIT, Identity, Persisted};
use crate::entry::{Entry, Payload};
use crate::membership::{Cluster, Folder, Membership};

/// Interval at which a founder sends its known folders to the others.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// State that a founder keeps about the other founders.
#[derive(Debug, Default)]
pub(super) struct Formation {
    /// Folders known to this founder, its own included.
    pub(super) folders: BTreeMap<id::Instance, Folder>,
    /// Folders that each of the other founders reported.
    reported: BTreeMap<id::Instance, BTreeMap<id::Instance, Folder>>,
    /// Time of the next probe; none before the first one.
    pub(super) next_probe: Option<Instant>,
    /// Existing cluster whose configuration another instance holds.
    pub(super) existing: Option<Cluster>,
    /// Agreement by a majority; none on an instance that takes no part in one.
    pub(super) ballot: Option<Ballot>,
}

impl Formation {
    /// Creates the state of an instance that knows only its own folder and what it has recorded.
    pub(super) fn new(identity: &Identity, persisted: &Persisted) -> Self {
        let own = (identity.instance.clone(), identity.folder);
        Self {
            folders: BTreeMap::from([own]),
            ballot: Ballot::at_start(identity, persisted),
            ..Self::default()
        }
    }

    /// Whether no other cluster is known to exist than the one whose first voters are `folders`.
    pub(super) fn allows(&self, folders: &BTreeMap<id::Instance, Folder>) -> bool {
        let is_same = |existing| existing == derive_cluster(folders);
        self.existing.is_none_or(is_same)
    }

    /// Records the folders that another founder reported.
    fn record_report(
        &mut self,
        from: id::Instance,
        folder: Folder,
        reported: BTreeMap<id::Instance, Folder>,
    ) {
        self.folders.insert(from.clone(), folder);
        self.reported.insert(from, reported);
    }

    /// Returns the folders of all founders, once all founders report the same ones.
    fn agreed_folders(&self, identity: &Identity) -> Option<&BTreeMap<id::Instance, Folder>> {
        let others_agree = identity
            .founders
            .iter()
            .filter(|founder| **founder != identity.instance)
            .all(|founder| self.reported.get(founder) == Some(&self.folders));
        let is_complete = identity
            .founders
            .iter()
            .all(|founder| self.folders.contains_key(founder));
        Some(&self.folders).filter(|_| others_agree && is_complete)
    }
}

impl Node {
    /// Sends the known folders to the other founders when a probe is due, and forms the cluster if
    /// it is the only founder or all founders agree.
    pub(super) fn probe_founders(&mut self) {
        if matches!(&self.stage, Stage::Unformed(formation) if formation.ballot.is_some()) {
            self.tick_ballot();
            return;
        }
        if !self.identity.founders.contains(&self.identity.instance) {
            return;
        }
        let started = self.last_contact;
        let Stage::Unformed(formation) = &mut self.stage else {
            return;
        };
        let due = formation.next_probe.unwrap_or(started + FORMATION_WAIT);
        if formation.existing.is_some() || self.now < due {
            return;
        }
        formation.next_probe = Some(self.now + PROBE_INTERVAL);
        let folders = formation.folders.clone();
        for founder in self.identity.founders.clone() {
            if founder != self.identity.instance {
                let folders = folders.clone();
                self.send(&founder, Body::Probe { folders });
            }
        }
        self.form_if_agreed();
    }

    /// Stops this node from taking part in forming a cluster, since `cluster` already exists.
    pub(super) fn block_formation(&mut self, cluster: Cluster) {
        if let Stage::Unformed(formation) = &mut self.stage {
            formation.existing = Some(cluster);
            self.form_reported();
        }
    }

    /// Returns the existing cluster that prevents this node from forming a new one.
    pub(super) fn blocked_by(&self) -> Option<Cluster> {
        match &self.stage {
            Stage::Unformed(formation) => formation.existing,
            Stage::Follower(_) | Stage::PreCandidate(_) | Stage::Candidate | Stage::Leader(_) => {
                None
            }
        }
    }

    /// Handles the folders reported by another founder that belongs to no cluster.
    pub(super) fn handle_probe(
        &mut self,
        from: id::Instance,
        folder: Folder,
        reported: BTreeMap<id::Instance, Folder>,
    ) {
        if matches!(&self.stage, Stage::Unformed(formation) if formation.ballot.is_some()) {
            self.handle_ballot_probe(&from, folder, reported);
            return;
        }
        let is_founder = self.identity.founders.contains(&from);
        let Stage::Unformed(formation) = &mut self.stage else {
            return;
        };
        if is_founder {
            formation.record_report(from, folder, reported);
        }
    }

    fn form_if_agreed(&mut self) {
        let Stage::Unformed(formation) = &self.stage else {
            return;
        };
        let Some(folders) = formation.agreed_folders(&self.identity) else {
            return;
        };
        let folders = folders.clone();
        // The others may need this final report before they can form the cluster themselves.
        self.send_probes(&folders);
        self.form(folders);
    }

    /// Forms the cluster whose first voters are `folders`, which all founders that form one agree on.
    pub(super) fn form(&mut self, folders: BTreeMap<id::Instance, Folder>) {
        let cluster = derive_cluster(&folders);
        let membership = Membership {
            voters: folders,
            learners: BTreeMap::new(),
        };
        self.log.append(Entry {
            index: Index(1),
            term: Term(1),
            payload: Payload::Membership(membership),
        });
        self.writer.mark_entries(Index(1));
        self.join_cluster(cluster);
        self.become_follower(Term(1), None);
        self.refresh_membership();
    }

    fn send_probes(&mut self, folders: &BTreeMap<id::Instance, Folder>) {
        for founder in folders.keys() {
            if *founder != self.identity.instance {
                let folders = folders.clone();
                self.send(founder, Body::Probe { folders });
            }
        }
    }

    /// Makes this node a follower in `cluster`.
    pub(super) fn join_cluster(&mut self, cluster: Cluster) {
        self.cluster = Some(cluster);
        self.writer.mark_cluster();
        self.stage = Stage::Follower(FollowerState::default());
        self.postpone_election();
    }
}

/// Derives the cluster identifier from the founders' folders, so that all founders compute the same
/// one.
pub(super) fn derive_cluster(folders: &BTreeMap<id::Instance, Folder>) -> Cluster {
    let mut hasher = blake3::Hasher::new();
    for (instance, folder) in folders {
        hasher.update(instance.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(&folder.0.to_le_bytes());
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    Cluster(u64::from_le_bytes(bytes))
}
