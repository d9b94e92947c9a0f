//! Regions in which requests may run, where routes and accounts name them. See
//! `docs/design/homes.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::declaration::{Account, Route};
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;

use super::Core;

/// `Retry-After` of requests that have no upstream in the regions that they are restricted to; about the
/// interval at which the list of upstreams is read.
pub const NO_UPSTREAM_PAUSE: Duration = Duration::from_secs(1);

/// Regions to which a request is restricted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Homes(Vec<Arc<str>>);

impl Homes {
    /// Returns the regions that both the route and the account allow; `None` if neither names any.
    pub fn new(route: &Route, account: Option<&Account>) -> Option<Self> {
        let of_account = account.map_or(&[][..], |account| &account.homes);
        Self::common(&route.homes, of_account)
    }

    /// Returns the regions in both lists, of which an empty one allows all.
    fn common(of_route: &[Arc<str>], of_account: &[Arc<str>]) -> Option<Self> {
        match (of_route, of_account) {
            ([], []) => None,
            (only, []) | ([], only) => Some(Self(only.to_vec())),
            (route, account) => {
                let both = route.iter().filter(|home| account.contains(home));
                Some(Self(both.cloned().collect()))
            }
        }
    }

    /// Whether a region is a home.
    pub fn contains(&self, region: &str) -> bool {
        self.0.iter().any(|home| **home == *region)
    }

    /// Returns the upstreams of a service outside the homes, or `None` if no usable one is left.
    /// An upstream whose region is not known counts as outside.
    pub fn excluded(
        &self,
        core: &Core,
        directory: &Directory,
        service: &id::Service,
    ) -> Option<Vec<id::Upstream>> {
        let listed = directory.listed.iter();
        let listed = listed.filter(|(_, upstream)| upstream.service == *service);
        // A service has far more upstreams than data centres.
        let mut known: HashMap<&str, bool> = HashMap::new();
        let mut is_home = |data_centre| {
            *known.entry(data_centre).or_insert_with(|| {
                let region = region_of(core, directory, data_centre);
                region.is_some_and(|region| self.contains(region.as_str()))
            })
        };
        let (inside, outside): (Vec<_>, Vec<_>) =
            listed.partition(|(_, upstream)| is_home(&upstream.data_centre));
        let is_usable = inside.iter().any(|(_, upstream)| !upstream.draining);
        is_usable.then(|| outside.into_iter().map(|(name, _)| name.clone()).collect())
    }
}

/// Returns the region of a data centre, from the settings or the instances there.
fn region_of(core: &Core, directory: &Directory, data_centre: &str) -> Option<id::Region> {
    let deployment = core.settings.deployment.as_ref();
    let mut locations = deployment
        .into_iter()
        .flat_map(|deployment| &deployment.data_centres);
    let location = locations.find(|location| location.data_centre.as_str() == data_centre);
    let by_instances = || {
        let mut instances = directory.instances.values();
        let there = instances.find(|instance| instance.data_centre.as_str() == data_centre);
        there.map(|instance| instance.region.clone())
    };
    location
        .map(|location| location.region.clone())
        .or_else(by_instances)
}

#[cfg(test)]
mod tests;
