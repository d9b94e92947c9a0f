//! Division of a large fleet into shards, each with a dispatcher of its own.
//!
//! One dispatcher decides on every request of a fleet, so its processor bounds the fleet. A fleet
//! with many entries is therefore divided by data centre: the entries and upstreams of a data
//! centre form a shard, and an instance that takes no callers dispatches it. Every instance derives
//! the same plan from the same configuration, and leader changes do not affect it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use gooseberrylb_config::directory::{Directory, Instance, ListedUpstream};
use gooseberrylb_config::id;

/// Number of entries up to which the leader dispatches the whole fleet.
pub const MAX_UNDIVIDED_ENTRIES: usize = 96;

/// One shard of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shard {
    /// Data centres of the shard's entries and upstreams. The first one names the shard, whatever
    /// becomes of the others.
    pub data_centres: Vec<id::DataCentre>,
    /// Instances that may dispatch the shard. Entries use the first, and the second while the first
    /// is silent.
    pub dispatchers: Vec<id::Instance>,
}

impl Shard {
    /// Returns the name of the shard.
    pub fn name(&self) -> &id::DataCentre {
        &self.data_centres[0]
    }
}

/// Shards of a fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    shards: Vec<Shard>,
}

impl Plan {
    /// Returns the plan for a configuration. A fleet has a single shard, which the leader
    /// dispatches, if it is small or all in one data centre, and while a rollout is in progress:
    /// a release on trial is judged by all requests together.
    pub fn new(directory: &Directory) -> Self {
        let instances = || directory.instances.iter().filter(|(_, i)| !i.leaving);
        let entries = || instances().filter(|(_, i)| i.entry);
        let data_centres: BTreeSet<_> = entries().map(|(_, i)| &i.data_centre).collect();
        let rolls_out = directory.rollouts.values().any(|r| !r.stage.is_over());
        if entries().count() <= MAX_UNDIVIDED_ENTRIES || data_centres.len() < 2 || rolls_out {
            return Self::default();
        }
        let candidates: Vec<_> = instances().filter(|(_, i)| !i.entry).collect();
        let mut plan = Self {
            shards: assign_first(&data_centres, &candidates),
        };
        plan.assign_second(&candidates);
        plan
    }

    /// Gives each shard a second dispatcher that is no other shard's first one, if there is one:
    /// first those that have one in their own data centre, so that the loss of an instance
    /// elsewhere changes nothing for them.
    fn assign_second(&mut self, candidates: &[(&id::Instance, &Instance)]) {
        for must_be_local in [true, false] {
            let mut used: BTreeSet<id::Instance> = self
                .shards
                .iter()
                .flat_map(|shard| shard.dispatchers.iter().cloned())
                .collect();
            for shard in self.shards.iter_mut().filter(|s| s.dispatchers.len() < 2) {
                let second = candidates.iter().find(|(name, instance)| {
                    let is_local = shard.data_centres.contains(&instance.data_centre);
                    !used.contains(*name) && (is_local || !must_be_local)
                });
                if let Some((name, _)) = second {
                    used.insert((*name).clone());
                    shard.dispatchers.push((*name).clone());
                }
            }
        }
    }

    /// Whether the fleet has more than one shard.
    pub fn is_divided(&self) -> bool {
        !self.shards.is_empty()
    }

    /// Returns the shards.
    pub fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// Returns the shard that an entry in a data centre belongs to; `None` if the leader dispatches
    /// the whole fleet.
    pub fn shard_of(&self, data_centre: &id::DataCentre) -> Option<&Shard> {
        let mut shards = self.shards.iter();
        shards.find(|shard| shard.data_centres.contains(data_centre))
    }

    /// Returns the shard that an instance may dispatch, if any.
    pub fn dispatched_by(&self, instance: &id::Instance) -> Option<&Shard> {
        let mut shards = self.shards.iter();
        shards.find(|shard| shard.dispatchers.contains(instance))
    }

    /// Returns the shard that an upstream belongs to; `None` if the fleet is not divided. Upstreams
    /// in a data centre without entries are spread over all shards.
    pub fn owner(&self, name: &id::Upstream, upstream: &ListedUpstream) -> Option<&Shard> {
        let is_local = |shard: &&Shard| {
            let mut data_centres = shard.data_centres.iter();
            data_centres.any(|known| known.as_str() == &*upstream.data_centre)
        };
        self.shards.iter().find(is_local).or_else(|| {
            let mut hasher = DefaultHasher::new();
            name.hash(&mut hasher);
            let position = hasher.finish().checked_rem(self.shards.len() as u64)?;
            self.shards.get(usize::try_from(position).ok()?)
        })
    }
}

/// Returns a shard for each data centre, with a first dispatcher from there if possible. Data
/// centres that are left without one share the shards of the others.
fn assign_first(
    data_centres: &BTreeSet<&id::DataCentre>,
    candidates: &[(&id::Instance, &Instance)],
) -> Vec<Shard> {
    let mut first: BTreeMap<&id::DataCentre, &id::Instance> = BTreeMap::new();
    for (name, instance) in candidates {
        if data_centres.contains(&instance.data_centre) {
            first.entry(&instance.data_centre).or_insert(name);
        }
    }
    let used: BTreeSet<_> = first.values().copied().collect();
    let mut unused = candidates.iter().filter(|(name, _)| !used.contains(name));
    let mut shards: Vec<Shard> = Vec::new();
    let mut homeless = Vec::new();
    for data_centre in data_centres {
        let local = first.get(data_centre).copied();
        match local.or_else(|| unused.next().map(|(name, _)| *name)) {
            Some(dispatcher) => shards.push(Shard {
                data_centres: vec![(*data_centre).clone()],
                dispatchers: vec![dispatcher.clone()],
            }),
            None => homeless.push((*data_centre).clone()),
        }
    }
    if shards.is_empty() {
        return shards;
    }
    let count = shards.len();
    for (n, data_centre) in homeless.into_iter().enumerate() {
        shards[n % count].data_centres.push(data_centre);
    }
    shards
}
