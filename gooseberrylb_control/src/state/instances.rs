//! Instances joining and leaving.

use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::{directory, id, note};
use serde::{Deserialize, Serialize};

use super::audit::Kind;
use super::{Reply, State};

/// Maximum number of retained instances that have left.
///
/// They are retained so that a delayed message of theirs does not add them again.
pub const MAX_LEFT_INSTANCES: usize = 2_000;

/// Instance that has joined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Start of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Time at which the instance left, if it did.
    #[serde(with = "note::time::option")]
    pub left: Option<SystemTime>,
}

impl State {
    /// Adds an instance or updates its description.
    pub(super) fn join(
        &mut self,
        name: &id::Instance,
        instance: &directory::Instance,
        incarnation: u64,
        at: SystemTime,
    ) -> Reply {
        let member = self.members.get(name);
        let known = member.map(|member| member.incarnation);
        // An instance that left may return with a lower incarnation if its clock was set back.
        let present = member.is_some_and(|member| member.left.is_none());
        if present && known.is_some_and(|known| known > incarnation) {
            return Reply::Stale;
        }
        if known == Some(incarnation) && self.directory.instances.get(name) == Some(instance) {
            return Reply::Applied;
        }
        let member = Member {
            incarnation,
            left: None,
        };
        self.members.insert(name.clone(), member);
        self.reports.start_tracking(name, incarnation, at);
        if self.directory.instances.get(name) != Some(instance) {
            let instances = &mut self.directory.instances;
            instances.insert(name.clone(), instance.clone());
            self.increment_revision();
        }
        let subject = format!("instance {name}");
        let cause = format!(
            "incarnation {incarnation} in {}, for callers at {}",
            instance.data_centre, instance.callers
        );
        self.audit
            .add(at, name.as_str(), Kind::InstanceJoined, subject, cause);
        Reply::Applied
    }

    /// Marks an instance as leaving if it is `draining`, and removes it otherwise.
    pub(super) fn leave(
        &mut self,
        name: &id::Instance,
        incarnation: u64,
        draining: bool,
        cause: &Arc<str>,
        at: SystemTime,
    ) -> Reply {
        let Some(member) = self.members.get_mut(name) else {
            return Reply::Stale;
        };
        if member.incarnation != incarnation || member.left.is_some() {
            return Reply::Stale;
        }
        let kind = if draining {
            match self.directory.instances.get_mut(name) {
                Some(instance) if !instance.leaving => instance.leaving = true,
                Some(_) | None => return Reply::Applied,
            }
            Kind::InstanceLeaving
        } else {
            member.left = Some(at);
            self.directory.instances.remove(name);
            self.reports.mark_lost(name, incarnation, cause);
            self.evict_left_instances();
            Kind::InstanceLeft
        };
        self.increment_revision();
        let subject = format!("instance {name}");
        let actor = self.leader_name();
        self.audit.add(at, actor, kind, subject, cause.clone());
        Reply::Applied
    }

    /// Drops the instances that left first, down to [`MAX_LEFT_INSTANCES`].
    fn evict_left_instances(&mut self) {
        let mut left: Vec<_> = self
            .members
            .iter()
            .filter_map(|(name, member)| member.left.map(|at| (at, name.clone())))
            .collect();
        if left.len() <= MAX_LEFT_INSTANCES {
            return;
        }
        left.sort();
        for (_, name) in left.iter().take(left.len() - MAX_LEFT_INSTANCES) {
            self.members.remove(name);
            self.reports.remove(name);
        }
    }
}
