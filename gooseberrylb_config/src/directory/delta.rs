//! Deltas between two revisions of the directory, so that instances are sent changes instead of the
//! complete configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::rollout::Rollout;
use super::{Cell, Directory, Instance, ListedUpstream, Share, View};
use crate::{declaration, id, note, number};

/// Changes of one map of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "K: Serialize, V: Serialize",
    deserialize = "K: Deserialize<'de>, V: Deserialize<'de>"
))]
struct Changes<K, V> {
    /// New and changed entries.
    set: Vec<(K, V)>,
    /// Keys of removed entries.
    removed: Vec<K>,
}

impl<K: Ord + Clone, V: PartialEq + Clone> Changes<K, V> {
    /// Returns the changes that turn `older` into `newer`.
    fn between(older: &BTreeMap<K, V>, newer: &BTreeMap<K, V>) -> Self {
        let set = newer
            .iter()
            .filter(|(key, value)| older.get(key) != Some(value))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let removed = older
            .keys()
            .filter(|key| !newer.contains_key(key))
            .cloned()
            .collect();
        Self { set, removed }
    }

    /// Applies the changes to `map`.
    fn apply(&self, map: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            map.remove(key);
        }
        map.extend(self.set.iter().cloned());
    }
}

/// Changes that turn the directory of one revision into that of a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the changes apply to.
    pub from: number::Revision,
    /// Revision that the changes lead to.
    pub to: number::Revision,
    /// Changes of services.
    services: Changes<id::Service, note::Service>,
    /// Changes of client accounts.
    accounts: Changes<id::Account, note::Account>,
    /// Changes of models.
    models: Changes<id::Model, note::Model>,
    /// Changes of adapters.
    adapters: Changes<id::Adapter, note::Adapter>,
    /// Changes of upstreams.
    upstreams: Changes<id::Upstream, note::Upstream>,
    /// Changes of versions.
    versions: Changes<id::Version, note::Version>,
    /// Changes of shares.
    shares: Changes<id::Version, Share>,
    /// Changes of instances.
    instances: Changes<id::Instance, Instance>,
    /// Changes of views.
    views: Changes<Cell, View>,
    /// New declaration, if it changed.
    declaration: Option<Arc<declaration::Text>>,
    /// Changes of listed upstreams.
    listed: Changes<id::Upstream, Arc<ListedUpstream>>,
    /// Changes of rollouts.
    rollouts: Changes<id::Service, Rollout>,
}

impl Delta {
    /// Removes the new declaration and returns it.
    pub fn take_declaration(&mut self) -> Option<Arc<declaration::Text>> {
        self.declaration.take()
    }

    /// Sets the new declaration.
    pub fn set_declaration(&mut self, declaration: Option<Arc<declaration::Text>>) {
        self.declaration = declaration;
    }
}

/// Error for a delta that does not start at the directory's revision, so that the complete
/// directory must be requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the changes begin at revision {from}, and revision {have} is held")]
pub struct Gap {
    /// Revision of the directory.
    pub have: number::Revision,
    /// Revision that the delta starts at.
    pub from: number::Revision,
}

impl Directory {
    /// Returns the changes that turn this directory into `newer`.
    pub fn diff(&self, newer: &Directory) -> Delta {
        Delta {
            from: self.revision,
            to: newer.revision,
            services: Changes::between(&self.services, &newer.services),
            accounts: Changes::between(&self.accounts, &newer.accounts),
            models: Changes::between(&self.models, &newer.models),
            adapters: Changes::between(&self.adapters, &newer.adapters),
            upstreams: Changes::between(&self.upstreams, &newer.upstreams),
            versions: Changes::between(&self.versions, &newer.versions),
            shares: Changes::between(&self.shares, &newer.shares),
            instances: Changes::between(&self.instances, &newer.instances),
            views: Changes::between(&views_by_cell(self), &views_by_cell(newer)),
            declaration: newer
                .declaration
                .clone()
                .filter(|text| self.declaration.as_ref() != Some(text)),
            listed: Changes::between(&self.listed, &newer.listed),
            rollouts: Changes::between(&self.rollouts, &newer.rollouts),
        }
    }

    /// Applies changes that start at this revision. Changes that do not lead to a later revision
    /// are ignored, so that duplicate and delayed messages never revert the directory.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), Gap> {
        if delta.to <= self.revision {
            return Ok(());
        }
        if delta.from != self.revision {
            return Err(Gap {
                have: self.revision,
                from: delta.from,
            });
        }
        delta.services.apply(&mut self.services);
        delta.accounts.apply(&mut self.accounts);
        delta.models.apply(&mut self.models);
        delta.adapters.apply(&mut self.adapters);
        delta.upstreams.apply(&mut self.upstreams);
        delta.versions.apply(&mut self.versions);
        delta.shares.apply(&mut self.shares);
        delta.instances.apply(&mut self.instances);
        let mut views = views_by_cell(self);
        delta.views.apply(&mut views);
        self.views = views.into_iter().collect();
        if let Some(declaration) = &delta.declaration {
            self.declaration = Some(declaration.clone());
        }
        delta.listed.apply(&mut self.listed);
        delta.rollouts.apply(&mut self.rollouts);
        self.revision = delta.to;
        Ok(())
    }
}

/// Returns the views of a directory as a map, which deltas are computed on.
fn views_by_cell(directory: &Directory) -> BTreeMap<Cell, View> {
    directory.views.iter().cloned().collect()
}
