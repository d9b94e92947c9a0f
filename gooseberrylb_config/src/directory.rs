//! Directory: the configuration in force, as produced by release notes, declarations, rollouts, the
//! platform's list of upstreams, and the membership of instances.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::declaration;
use crate::id;
use crate::note;
use crate::number;

pub mod evacuation;
pub mod rollout;

mod check;
mod delta;
mod query;
mod update;

pub use check::ActiveMove;
pub use delta::{Delta, Gap};
pub use query::VersionShare;

/// Share of a service's traffic that a version takes, in ten-thousandths ([`Share::WHOLE`] is all).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(pub u16);

impl Share {
    /// All of the traffic.
    pub const WHOLE: Share = Share(10_000);
    /// None of the traffic.
    pub const NONE: Share = Share(0);
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}%", self.0 / 100, self.0 % 100)
    }
}

/// Instance as known to the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Data centre that the instance is in.
    pub data_centre: id::DataCentre,
    /// Region that the instance is in.
    pub region: id::Region,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Whether the instance is leaving and takes no new callers.
    pub leaving: bool,
    /// Whether the instance is an entry, that is, takes requests from callers.
    #[serde(default = "takes_callers")]
    pub entry: bool,
}

/// Default of [`Instance::entry`] for stored instances from before the field existed, all of which
/// took callers.
fn takes_callers() -> bool {
    true
}

/// Scheduler of a service in a region, and the backups that keep copies of its claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of the view; a higher number fences off lower ones.
    pub number: number::View,
    /// Instance that grants upstream slots to requests.
    pub scheduler: id::Instance,
    /// Instances that must acknowledge each claim.
    pub backups: Vec<id::Instance>,
    /// First view of the unbroken sequence of views in which the scheduler has been a member. Its
    /// claims from before that view may lack some that others granted in the meantime.
    #[serde(default)]
    pub since: number::View,
    /// Start time of the scheduler's process, in milliseconds since the Unix epoch. A restarted
    /// process has no claims, so it must not act on a view that was meant for the previous process.
    #[serde(default)]
    pub incarnation: u64,
}

impl View {
    /// Creates a view whose scheduler was not a member of the previous view.
    pub fn new(number: number::View, scheduler: id::Instance, backups: Vec<id::Instance>) -> Self {
        let since = number;
        Self {
            number,
            scheduler,
            backups,
            since,
            incarnation: 0,
        }
    }
}

/// Scope of one scheduler: a service in a region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Service that is scheduled.
    pub service: id::Service,
    /// Region in which the service is scheduled.
    pub region: id::Region,
}

/// Configuration that every instance holds in memory and routes by.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Revision, incremented by each accepted change.
    pub revision: number::Revision,
    /// Services from release notes.
    pub services: BTreeMap<id::Service, note::Service>,
    /// Client accounts from release notes.
    pub accounts: BTreeMap<id::Account, note::Account>,
    /// Models from release notes.
    pub models: BTreeMap<id::Model, note::Model>,
    /// Adapters from release notes.
    pub adapters: BTreeMap<id::Adapter, note::Adapter>,
    /// Upstreams from release notes.
    pub upstreams: BTreeMap<id::Upstream, note::Upstream>,
    /// Versions from release notes.
    pub versions: BTreeMap<id::Version, note::Version>,
    /// Share of its service's traffic that each version takes; none if absent.
    pub shares: BTreeMap<id::Version, Share>,
    /// Instances known to the system.
    pub instances: BTreeMap<id::Instance, Instance>,
    /// View of each cell, as a sorted list because JSON has no structured keys.
    pub views: Vec<(Cell, View)>,
    /// Declaration in force, if one was accepted.
    #[serde(default)]
    pub declaration: Option<Arc<declaration::Text>>,
    /// Upstreams that the platform lists.
    #[serde(default)]
    pub listed: BTreeMap<id::Upstream, Arc<ListedUpstream>>,
    /// Last rollout of each service.
    #[serde(default)]
    pub rollouts: BTreeMap<id::Service, rollout::Rollout>,
}

impl Directory {
    /// Returns the instances that take requests from callers and are not leaving.
    pub fn entries(&self) -> impl Iterator<Item = (&id::Instance, &Instance)> {
        let instances = self.instances.iter();
        instances.filter(|(_, instance)| instance.entry && !instance.leaving)
    }
}

/// Maximum number of slots of an upstream. A list that names more has a mistake, and sums of slots must not
/// overflow.
pub const MAX_SLOTS: u32 = 4_096;

/// Upstream as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Service that the upstream serves.
    pub service: id::Service,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Data centre that the upstream is in.
    pub data_centre: Arc<str>,
    /// Release of the upstream's software.
    pub release: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the upstream is draining and gets no new requests.
    pub draining: bool,
}
