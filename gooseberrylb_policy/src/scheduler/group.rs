//! Groups of requests with the same idempotency key: one is the leader, the others wait for its
//! result.

use std::collections::BTreeMap;

use crate::request::{Id, Key};

/// The requests with one key.
#[derive(Debug, Default)]
pub struct Group {
    /// The request that is queued or running.
    pub leader: Option<Id>,
    /// The requests that wait for the leader, in order of arrival.
    pub attached: Vec<Id>,
}

/// The groups by key.
#[derive(Debug, Default)]
pub struct Groups {
    groups: BTreeMap<Key, Group>,
}

impl Groups {
    /// Returns the leader of the key's group, if any.
    pub fn leader(&self, key: &Key) -> Option<&Id> {
        self.groups.get(key)?.leader.as_ref()
    }

    /// Returns the number of requests attached to the key.
    pub fn attached_count(&self, key: &Key) -> usize {
        self.groups.get(key).map_or(0, |group| group.attached.len())
    }

    /// Makes the request the leader of the key's group.
    pub fn set_leader(&mut self, key: &Key, id: Id) {
        self.groups.entry(key.clone()).or_default().leader = Some(id);
    }

    /// Attaches a request to the key's group.
    pub fn attach(&mut self, key: &Key, id: Id) {
        self.groups
            .entry(key.clone())
            .or_default()
            .attached
            .push(id);
    }

    /// Removes a request from the key's group, whether it is the leader or attached.
    pub fn remove(&mut self, key: &Key, id: &Id) {
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        if group.leader.as_ref() == Some(id) {
            group.leader = None;
        }
        group.attached.retain(|attached| attached != id);
        if group.leader.is_none() && group.attached.is_empty() {
            self.groups.remove(key);
        }
    }

    /// Returns the first attached request if the group has no leader.
    pub fn next_leader(&self, key: &Key) -> Option<Id> {
        let group = self.groups.get(key)?;
        match group.leader {
            Some(_) => None,
            None => group.attached.first().cloned(),
        }
    }

    /// Removes and returns all attached requests.
    pub fn take_attached(&mut self, key: &Key) -> Vec<Id> {
        let Some(group) = self.groups.get_mut(key) else {
            return Vec::new();
        };
        let attached = std::mem::take(&mut group.attached);
        if group.leader.is_none() {
            self.groups.remove(key);
        }
        attached
    }
}
