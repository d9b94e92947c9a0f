//! The split of a service's traffic over its versions by their shares.
//!
//! A version that replaces another one is capped: it earns its share of a credit with each grant of
//! the service and spends one credit on each grant of its own, and unused credit is limited to one.
//! Over any sequence of n grants it therefore gets at most its share of n, plus one. Traffic that
//! it cannot take goes to the version that it replaces.

use std::collections::BTreeMap;

use gooseberrylb_config::directory::{Directory, Share};
use gooseberrylb_config::id;
use rand::Rng;

/// The whole traffic of a service, in the unit of shares.
const WHOLE: i64 = Share::WHOLE.0 as i64;

/// The traffic state of a version.
#[derive(Debug)]
struct Version {
    /// The share of the traffic.
    share: i64,
    /// The credit earned and not spent, in the unit of shares; [`WHOLE`] is one grant.
    credit: i64,
    /// Whether the version must never exceed its share.
    capped: bool,
    /// The upstreams that run it.
    upstreams: Vec<id::Upstream>,
}

/// The versions that take traffic and the limits on their shares.
#[derive(Debug, Default)]
pub struct Split {
    versions: BTreeMap<id::Version, Version>,
    ceilings: BTreeMap<id::Version, Ceiling>,
}

/// A limit on a version's share that takes effect ahead of the control state.
#[derive(Debug)]
struct Ceiling {
    /// The maximum share of the version.
    share: i64,
    /// The share assigned by the control state when the limit was set; the limit ends once
    /// another share is assigned.
    declared: i64,
}

impl Split {
    /// Applies the shares in force; `usable` tells which upstreams belong to the scheduler.
    pub fn update(
        &mut self,
        directory: &Directory,
        service: &id::Service,
        usable: impl Fn(&id::Upstream) -> bool,
        rng: &mut impl Rng,
    ) {
        let mut old = std::mem::take(&mut self.versions);
        self.ceilings
            .retain(|version, ceiling| share_of(directory, version) == ceiling.declared);
        for version in directory.versions.values() {
            let share = self.share(directory, &version.name);
            if version.service != *service || share == 0 {
                continue;
            }
            let upstreams: Vec<_> = version
                .upstreams
                .iter()
                .filter(|name| usable(name))
                .cloned()
                .collect();
            let capped = version.replaces.as_ref().is_some_and(|replaced| {
                directory.versions.get(replaced).is_some_and(|replaced| {
                    self.share(directory, &replaced.name) > 0
                        && replaced.upstreams.iter().any(&usable)
                })
            });
            // A random initial credit keeps the first grant from being early or late on average.
            let credit = match old.remove(&version.name) {
                Some(old) => old.credit,
                None => rng.random_range(0..WHOLE),
            };
            let state = Version {
                share,
                credit,
                capped,
                upstreams,
            };
            self.versions.insert(version.name.clone(), state);
        }
    }

    /// Lowers a version's share until the control state assigns another one.
    pub fn lower_share(&mut self, directory: &Directory, version: &id::Version, share: Share) {
        let ceiling = Ceiling {
            share: i64::from(share.0),
            declared: share_of(directory, version),
        };
        self.ceilings.insert(version.clone(), ceiling);
    }

    /// Returns the share of a version after all limits.
    fn share(&self, directory: &Directory, version: &id::Version) -> i64 {
        let reassigned: i64 = directory
            .versions
            .values()
            .filter(|successor| successor.replaces.as_ref() == Some(version))
            .map(|successor| self.withheld(directory, &successor.name))
            .sum();
        share_of(directory, version) - self.withheld(directory, version) + reassigned
    }

    /// Returns how much less a version takes than its assigned share. The version that it replaces
    /// takes the difference, so that the service stays available.
    fn withheld(&self, directory: &Directory, version: &id::Version) -> i64 {
        let share = share_of(directory, version);
        let ceiling = self.ceilings.get(version);
        ceiling.map_or(0, |ceiling| (share - ceiling.share).max(0))
    }

    /// Whether the version takes traffic on the upstream.
    pub fn allows(&self, version: &id::Version, upstream: &id::Upstream) -> bool {
        self.versions
            .get(version)
            .is_some_and(|version| version.upstreams.contains(upstream))
    }

    /// Whether any version has an upstream.
    pub fn is_served(&self) -> bool {
        self.versions
            .values()
            .any(|version| !version.upstreams.is_empty())
    }

    /// Returns the versions that may take the next grant, in order of preference.
    pub fn candidates(&self) -> Vec<(&id::Version, &[id::Upstream])> {
        let mut candidates: Vec<_> = self
            .versions
            .iter()
            .filter(|(_, version)| !version.capped || version.credit + version.share >= WHOLE)
            .collect();
        candidates.sort_by_key(|(_, version)| (!version.capped, -(version.credit + version.share)));
        candidates
            .into_iter()
            .map(|(name, version)| (name, version.upstreams.as_slice()))
            .collect()
    }

    /// Updates the credits after a grant of the version `chosen`.
    pub fn record_grant(&mut self, chosen: &id::Version) {
        let uncapped_share: i64 = self
            .versions
            .values()
            .filter(|version| !version.capped)
            .map(|version| version.share)
            .sum();
        for (name, version) in &mut self.versions {
            version.credit += version.share;
            let cost = if version.capped {
                WHOLE
            } else {
                uncapped_share
            };
            if name == chosen {
                version.credit -= cost;
            }
            version.credit = version.credit.clamp(-2 * WHOLE, WHOLE);
        }
    }
}

/// Returns the share assigned by the control state; 0 if there is none.
fn share_of(directory: &Directory, version: &id::Version) -> i64 {
    directory
        .shares
        .get(version)
        .map_or(0, |share| i64::from(share.0.min(Share::WHOLE.0)))
}
