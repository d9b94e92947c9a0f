//! Application of release notes to the directory.

use super::{Directory, Share};
use crate::{id, note};

impl Directory {
    /// Returns the directory with a note applied. The revision is unchanged; the caller increments
    /// it. The note must have passed [`Directory::check`].
    pub fn with_note(&self, note: &note::Note) -> Directory {
        let mut next = self.clone();
        for version in &note.withdrawn.versions {
            next.give_back(self, version, &note.withdrawn.versions);
        }
        next.remove_withdrawn(&note.withdrawn);
        next.upsert(&note.changed);
        next.upsert(&note.added);
        for version in &note.added.versions {
            if version.replaces.is_none() {
                next.shares.insert(version.name.clone(), Share::WHOLE);
            }
        }
        next
    }

    /// Adds the share of a withdrawn version to that of its nearest remaining predecessor.
    fn give_back(
        &mut self,
        previous: &Directory,
        version: &id::Version,
        withdrawn: &[id::Version],
    ) {
        let share = previous.share(version);
        self.shares.remove(version);
        if share == Share::NONE {
            return;
        }
        if let Some(predecessor) = previous.predecessor(version, withdrawn) {
            let total = self.share(&predecessor).0.saturating_add(share.0);
            let total = Share(total.min(Share::WHOLE.0));
            self.shares.insert(predecessor, total);
        }
    }

    /// Returns the nearest version that `version` replaced, directly or through others, and that is
    /// not withdrawn.
    fn predecessor(&self, version: &id::Version, withdrawn: &[id::Version]) -> Option<id::Version> {
        let mut current = version;
        for _ in 0..self.versions.len() {
            current = self.versions.get(current)?.replaces.as_ref()?;
            if !withdrawn.contains(current) {
                return self.versions.contains_key(current).then(|| current.clone());
            }
        }
        None
    }

    /// Removes the withdrawn items, and references to withdrawn upstreams.
    fn remove_withdrawn(&mut self, withdrawn: &note::Withdrawals) {
        for name in &withdrawn.services {
            self.services.remove(name);
            self.views.retain(|(cell, _)| cell.service != *name);
        }
        for name in &withdrawn.client_accounts {
            self.accounts.remove(name);
        }
        for name in &withdrawn.models {
            self.models.remove(name);
        }
        for name in &withdrawn.adapters {
            self.adapters.remove(name);
        }
        for name in &withdrawn.versions {
            self.versions.remove(name);
        }
        for name in &withdrawn.upstreams {
            self.upstreams.remove(name);
            for version in self.versions.values_mut() {
                version.upstreams.retain(|upstream| upstream != name);
            }
        }
    }

    /// Adds or replaces items by name.
    fn upsert(&mut self, changes: &note::Changes) {
        for service in &changes.services {
            self.services.insert(service.name.clone(), service.clone());
        }
        for account in &changes.client_accounts {
            self.accounts.insert(account.name.clone(), account.clone());
        }
        for model in &changes.models {
            self.models.insert(model.name.clone(), model.clone());
        }
        for adapter in &changes.adapters {
            self.adapters.insert(adapter.name.clone(), adapter.clone());
        }
        for upstream in &changes.upstreams {
            let name = upstream.name.clone();
            self.upstreams.insert(name, upstream.clone());
        }
        for version in &changes.versions {
            self.versions.insert(version.name.clone(), version.clone());
        }
    }
}
