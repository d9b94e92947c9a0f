//! Requests that share a key: one leads, the others wait for what becomes of it.

use std::collections::BTreeMap;

use crate::request::{Id, Key};

/// The requests of one key.
#[derive(Debug, Default)]
pub struct Group {
    /// The one that is in the queue or runs.
    pub leader: Option<Id>,
    /// The ones that wait for it, in the order in which they came.
    pub attached: Vec<Id>,
}

/// The requests of all keys that have any.
#[derive(Debug, Default)]
pub struct Groups {
    groups: BTreeMap<Key, Group>,
}

impl Groups {
    /// The request that leads a key's group.
    pub fn leader(&self, key: &Key) -> Option<&Id> {
        self.groups.get(key)?.leader.as_ref()
    }

    /// How many requests are attached to a key.
    pub fn attached_count(&self, key: &Key) -> usize {
        self.groups.get(key).map_or(0, |group| group.attached.len())
    }

    /// Makes a request the leader.
    pub fn set_leader(&mut self, key: &Key, id: Id) {
        self.groups.entry(key.clone()).or_default().leader = Some(id);
    }

    /// Attaches a request.
    pub fn attach(&mut self, key: &Key, id: Id) {
        self.groups
            .entry(key.clone())
            .or_default()
            .attached
            .push(id);
    }

    /// Removes a request, whatever it was.
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

    /// The first attached request, where none leads.
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
