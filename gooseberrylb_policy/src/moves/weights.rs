//! Model and adapter weights that engines must load before a version takes traffic, and the time
//! that loading takes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_config::note;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

use crate::moves::Move;
use crate::moves::order::{self, Kind, Order};

/// A data rate in bytes per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(pub u64);

impl Rate {
    /// Returns the time that a transfer takes at this rate.
    pub fn time_for(self, bytes: number::Bytes) -> Duration {
        Duration::from_secs_f64(bytes.0 as f64 / self.0.max(1) as f64)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim_end_matches("B/s").trim_end().parse().map(Self)
    }
}

/// The leader's view of the weight store and of the orders to engines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// The total rate of the weight store, shared by all concurrent loads. Loading is assumed to
    /// take no time if it is unknown.
    pub rate: Option<Rate>,
    /// The orders that engines have confirmed.
    pub confirmed: BTreeSet<order::Id>,
    /// The orders that engines refused, with their reasons.
    pub refused: BTreeMap<order::Id, Arc<str>>,
}

impl State {
    /// Returns the time to load all weights of a move if nothing else uses the weight store.
    pub fn load_time(&self, mv: &Move, directory: &Directory) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let bytes = directory
            .versions
            .get(&mv.version)
            .map_or(0, |version| total_bytes(version, directory));
        rate.time_for(number::Bytes(bytes))
    }

    /// Returns the next order for each engine that is not yet ready to run the version.
    pub fn pending_orders(&self, mv: &Move, directory: &Directory) -> Vec<Order> {
        let Some(version) = directory.versions.get(&mv.version) else {
            return Vec::new();
        };
        engines(version, directory)
            .filter_map(|upstream| self.next_order(mv, version, upstream))
            .collect()
    }

    /// Returns the first order of a move that an engine refused, with its reason.
    pub fn refusal(&self, mv: &Move, directory: &Directory) -> Option<(Order, Arc<str>)> {
        self.pending_orders(mv, directory)
            .into_iter()
            .find_map(|order| {
                let reason = self.refused.get(&order.id)?;
                Some((order, Arc::clone(reason)))
            })
    }

    fn next_order(
        &self,
        mv: &Move,
        version: &note::Version,
        upstream: &id::Upstream,
    ) -> Option<Order> {
        order_kinds(version)
            .into_iter()
            .map(|kind| Order::new(mv.note, upstream.clone(), kind))
            .find(|order| !self.confirmed.contains(&order.id))
    }
}

/// Returns the operations that bring a version into service, in order. The list is empty for a
/// version without weights.
fn order_kinds(version: &note::Version) -> Vec<Kind> {
    let model = version.model.clone().map(Kind::LoadModel);
    let adapter = version.adapter.clone().map(Kind::LoadAdapter);
    let mut kinds: Vec<Kind> = model.into_iter().chain(adapter).collect();
    if !kinds.is_empty() {
        kinds.push(Kind::Activate(version.name.clone()));
    }
    kinds
}

fn engines<'a>(
    version: &'a note::Version,
    directory: &'a Directory,
) -> impl Iterator<Item = &'a id::Upstream> {
    version.upstreams.iter().filter(|name| {
        directory
            .upstreams
            .get(*name)
            .is_some_and(|upstream| upstream.kind == note::Kind::Engine)
    })
}

fn total_bytes(version: &note::Version, directory: &Directory) -> u64 {
    let model = version
        .model
        .as_ref()
        .and_then(|name| directory.models.get(name))
        .map_or(0, |model| model.bytes.0);
    let adapter = version
        .adapter
        .as_ref()
        .and_then(|name| directory.adapters.get(name))
        .map_or(0, |adapter| adapter.bytes.0);
    let bytes_per_engine = model.saturating_add(adapter);
    bytes_per_engine.saturating_mul(engines(version, directory).count() as u64)
}
