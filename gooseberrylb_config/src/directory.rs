//! The configuration in force: what release notes have added up to.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::declaration;
use crate::id;
use crate::note;
use crate::number;

pub mod rollout;

mod check;
mod delta;
mod query;
mod update;

pub use check::ActiveMove;
pub use delta::{Delta, Gap};
pub use query::VersionShare;

/// The share of a service's traffic that a version takes, in parts of [`Share::WHOLE`].
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

/// One instance as the control state knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The data centre that it is in.
    pub data_centre: id::DataCentre,
    /// The region that it is in.
    pub region: id::Region,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where other instances reach it.
    pub peers: SocketAddr,
    /// Whether it is leaving and takes no new callers.
    pub leaving: bool,
    /// Whether it takes callers at all.
    #[serde(default = "takes_callers")]
    pub entry: bool,
}

/// Instances that were stored before some took no callers all took them.
fn takes_callers() -> bool {
    true
}

/// Who schedules a service in a region, and who keeps copies of its claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The number of the view; a higher one fences off a lower one.
    pub number: number::View,
    /// The instance that grants.
    pub scheduler: id::Instance,
    /// The instances that must acknowledge each claim.
    pub backups: Vec<id::Instance>,
    /// The first of the unbroken row of views that the scheduler has been a member of; claims that
    /// it holds from before may lack some that others granted meanwhile.
    #[serde(default)]
    pub since: number::View,
    /// The start of the scheduler's process, as milliseconds since 1970: after a restart it has no
    /// claims, so it must not act on a view that was meant for the process before.
    #[serde(default)]
    pub incarnation: u64,
}

impl View {
    /// Makes a view whose scheduler has been a member from this view on only.
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

/// Names one scheduler's domain: a service in a region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
}

/// The configuration that every instance holds in memory and routes by.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Its number, raised by each accepted change.
    pub revision: number::Revision,
    /// The services.
    pub services: BTreeMap<id::Service, note::Service>,
    /// The client accounts.
    pub accounts: BTreeMap<id::Account, note::Account>,
    /// The models.
    pub models: BTreeMap<id::Model, note::Model>,
    /// The adapters.
    pub adapters: BTreeMap<id::Adapter, note::Adapter>,
    /// The upstreams.
    pub upstreams: BTreeMap<id::Upstream, note::Upstream>,
    /// The versions.
    pub versions: BTreeMap<id::Version, note::Version>,
    /// The share of its service's traffic that each version takes; without an entry, none.
    pub shares: BTreeMap<id::Version, Share>,
    /// The instances known to the system.
    pub instances: BTreeMap<id::Instance, Instance>,
    /// The view of each scheduler's domain, as a list since JSON has no structured keys.
    pub views: Vec<(Cell, View)>,
    /// The operator's declaration of routes, where one was accepted.
    #[serde(default)]
    pub declaration: Option<Arc<declaration::Text>>,
    /// The upstreams that the platform lists.
    #[serde(default)]
    pub listed: BTreeMap<id::Upstream, Arc<ListedUpstream>>,
    /// The last rollout of each service.
    #[serde(default)]
    pub rollouts: BTreeMap<id::Service, rollout::Rollout>,
}

/// An upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// The service that it serves.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: Arc<str>,
    /// The version of its software.
    pub release: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is to get no new requests.
    pub draining: bool,
}
