//! What the dispatchers of the other shards reported: free slots, to which queued requests are
//! offered, and use of quotas, which hold for the whole fleet.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

use crate::quota;

/// Age from which on reported slots are taken for occupied.
const MAX_SLOTS_AGE: Duration = Duration::from_millis(400);

/// Number of free slots that are left to the shard that reported them, as its own next requests
/// need them. A shard without an upstream of its own is left none.
const RESERVED_SLOTS: u32 = 2;

/// What a dispatcher reports to those of the other shards, several times a second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Free slots of each service that has upstreams in the shard, without those that queued requests
    /// are about to take.
    pub free: Vec<(id::Service, u32)>,
    /// Use of the accounts' quotas by this dispatcher's entries, also from before it began to count.
    pub used: Vec<(id::Account, quota::Report)>,
}

/// Upstreams of a service in other shards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Capacity {
    /// Whether any other shard has upstreams of the service.
    pub(super) exists: bool,
    /// Free slots that requests may be offered to.
    pub(super) free: u32,
}

/// Latest summary of another dispatcher.
#[derive(Debug, Clone)]
struct Peer {
    /// Time at which the summary was received.
    at: Instant,
    /// Free slots of each service, less those that requests were offered to since.
    free: HashMap<id::Service, u32>,
    /// Use of quotas.
    used: HashMap<id::Account, quota::Report>,
}

/// Latest summaries of all other dispatchers.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers(BTreeMap<id::Instance, Peer>);

impl Peers {
    /// Replaces the summary of a dispatcher.
    pub(super) fn adopt(&mut self, from: &id::Instance, summary: Summary, now: Instant) {
        let peer = Peer {
            at: now,
            free: summary.free.into_iter().collect(),
            used: summary.used.into_iter().collect(),
        };
        self.0.insert(from.clone(), peer);
    }

    /// Returns what other shards have of a service. With `has_own`, the shard that asks has
    /// upstreams of its own.
    pub(super) fn capacity(&self, service: &id::Service, has_own: bool, now: Instant) -> Capacity {
        let peers = self.0.values();
        let reports = peers.filter_map(|peer| peer.offerable(service, has_own, now));
        reports.fold(Capacity::default(), |sum, free| Capacity {
            exists: true,
            free: sum.free + free,
        })
    }

    /// Takes a free slot from the dispatcher that has most of them, and returns its name.
    pub(super) fn take_slot(
        &mut self,
        service: &id::Service,
        has_own: bool,
        now: Instant,
    ) -> Option<id::Instance> {
        let offerable = |peer: &Peer| peer.offerable(service, has_own, now).unwrap_or(0);
        let peers = self.0.iter_mut();
        let (name, peer) = peers.max_by_key(|(_, peer)| offerable(peer))?;
        if offerable(peer) == 0 {
            return None;
        }
        let free = peer.free.get_mut(service)?;
        *free -= 1;
        Some(name.clone())
    }

    /// Records that a dispatcher has no free slot of a service after all.
    pub(super) fn clear_slots(&mut self, name: &id::Instance, service: &id::Service) {
        let peer = self.0.get_mut(name);
        if let Some(free) = peer.and_then(|peer| peer.free.get_mut(service)) {
            *free = 0;
        }
    }

    /// Returns the estimated use of an account's quota by other shards within `window`.
    pub(super) fn used(&self, account: &id::Account, window: Duration, now: Instant) -> f64 {
        let reports = self.0.values().filter_map(|peer| {
            let report = peer.used.get(account)?;
            Some(report.estimate(now.saturating_duration_since(peer.at), window))
        });
        reports.sum()
    }
}

impl Peer {
    /// Returns the free slots of a service that another shard may take; `None` if this one has no
    /// upstream of the service or its report is too old.
    fn offerable(&self, service: &id::Service, has_own: bool, now: Instant) -> Option<u32> {
        let free = *self.free.get(service)?;
        let reserved = if has_own { RESERVED_SLOTS } else { 0 };
        (now < self.at + MAX_SLOTS_AGE).then(|| free.saturating_sub(reserved))
    }
}
