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
/// need them.
const RESERVED_SLOTS: u32 = 2;

/// What a dispatcher reports to those of the other shards, several times a second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Free slots of each service, without those that queued requests are about to take.
    pub free: Vec<(id::Service, u32)>,
    /// Use of the accounts' quotas that this dispatcher counted.
    pub used: Vec<(id::Account, quota::Report)>,
}

/// Latest summary of another dispatcher.
#[derive(Debug)]
struct Peer {
    /// Time at which the summary was received.
    at: Instant,
    /// Free slots of each service, less those that requests were offered to since.
    free: HashMap<id::Service, u32>,
    /// Use of quotas.
    used: HashMap<id::Account, quota::Report>,
}

/// Latest summaries of all other dispatchers.
#[derive(Debug, Default)]
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

    /// Returns the number of free slots of a service in other shards.
    pub(super) fn free_slots(&self, service: &id::Service, now: Instant) -> u32 {
        self.0
            .values()
            .map(|peer| peer.offerable(service, now))
            .sum()
    }

    /// Takes a free slot from the dispatcher that has most of them, and returns its name.
    pub(super) fn take_slot(
        &mut self,
        service: &id::Service,
        now: Instant,
    ) -> Option<id::Instance> {
        let peers = self.0.iter_mut();
        let (name, peer) = peers.max_by_key(|(_, peer)| peer.offerable(service, now))?;
        if peer.offerable(service, now) == 0 {
            return None;
        }
        let free = peer.free.get_mut(service)?;
        *free -= 1;
        Some(name.clone())
    }

    /// Records that a dispatcher has no free slot of a service after all.
    pub(super) fn clear_slots(&mut self, name: &id::Instance, service: &id::Service) {
        if let Some(peer) = self.0.get_mut(name) {
            peer.free.remove(service);
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
    fn offerable(&self, service: &id::Service, now: Instant) -> u32 {
        if now >= self.at + MAX_SLOTS_AGE {
            return 0;
        }
        let free = self.free.get(service).copied().unwrap_or(0);
        free.saturating_sub(RESERVED_SLOTS)
    }
}
