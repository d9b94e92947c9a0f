//! Counters and statistics of a scheduler, for metrics and reports.

use std::collections::BTreeMap;

use gooseberrylb_config::id;
use gooseberrylb_config::number::Tier;

use super::machine::Scheduler;
use super::queue::Sum;
use super::{Decision, End, Grant, Refusal};
use crate::request::Outcome;

/// Counts since the scheduler was created.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Grants by version.
    pub granted: BTreeMap<id::Version, u64>,
    /// Refusals by tier and reason.
    pub refused: BTreeMap<(Tier, Refusal), u64>,
    /// Requests that were told to join another request's stream.
    pub joined: u64,
    /// Requests answered with an end: that of their key, or an unknown one if it was not known in
    /// time.
    pub answered_ended: u64,
    /// Dispatched requests by outcome.
    pub ended: BTreeMap<Outcome, u64>,
    /// Dispatched requests whose upstream failed.
    pub failed: u64,
}

impl Counters {
    pub(super) fn granted(&mut self, grant: &Grant) {
        *self.granted.entry(grant.version.clone()).or_default() += 1;
    }

    pub(super) fn refused(&mut self, tier: Tier, reason: Refusal) {
        *self.refused.entry((tier, reason)).or_default() += 1;
    }

    pub(super) fn decided(&mut self, decision: &Decision) {
        match decision {
            Decision::Join { .. } => self.joined += 1,
            Decision::Ended { .. } => self.answered_ended += 1,
            Decision::Grant(_) | Decision::Refuse { .. } => {}
        }
    }

    pub(super) fn ended(&mut self, end: &End) {
        *self.ended.entry(end.outcome).or_default() += 1;
        self.failed += u64::from(end.failed);
    }
}

/// A snapshot of a scheduler's state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// The totals of the waiting requests, by tier.
    pub waiting: BTreeMap<Tier, Sum>,
    /// The number of requests that hold a slot, by upstream.
    pub in_flight: BTreeMap<id::Upstream, u32>,
    /// The current concurrency limit of each upstream.
    pub limits: BTreeMap<id::Upstream, u32>,
    /// The upstreams that failed and have not recovered yet.
    pub ejected: Vec<id::Upstream>,
    /// The number of known keys.
    pub claims: usize,
    /// Whether the scheduler is still waiting for entries to report their running requests.
    pub recovering: bool,
    /// The counters.
    pub counters: Counters,
}

impl Scheduler {
    /// Returns a snapshot of the current state.
    pub fn stats(&self) -> Stats {
        let upstreams = || self.fleet.upstreams();
        Stats {
            waiting: self.queue.by_tier().collect(),
            in_flight: upstreams()
                .map(|(name, upstream)| (name.clone(), upstream.in_flight))
                .collect(),
            limits: upstreams()
                .map(|(name, upstream)| (name.clone(), upstream.limit()))
                .collect(),
            ejected: upstreams()
                .filter(|(_, upstream)| upstream.needs_probe())
                .map(|(name, _)| name.clone())
                .collect(),
            claims: self.claims.count(),
            recovering: self.recovery.is_some(),
            counters: self.counters.clone(),
        }
    }
}
