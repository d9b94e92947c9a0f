//! Queued and running requests of one service, and the order in which queued ones are granted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use crate::decay;
use crate::dispatch::fairness::VirtualTime;
use crate::dispatch::{Rank, Request};

/// Arrivals of requests, for their moving rate; bursts last for seconds.
pub(super) type Arrivals = decay::Count<1_000>;

/// A request that runs on an upstream.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    /// Upstream that runs the request.
    pub(super) upstream: id::Upstream,
    /// Time of the grant.
    pub(super) since: Instant,
    /// Length of the prompt, in tokens.
    pub(super) prompt: u64,
    /// Tokens that the request is expected to hold.
    pub(super) tokens: u64,
    /// Route of the request, if this dispatcher granted it.
    pub(super) route: Option<Arc<str>>,
    /// Prefill time of the prompts ahead of it when it was granted.
    pub(super) prefill_wait: Duration,
    /// Whether the upstream was reported silent on this request.
    pub(super) silent: bool,
    /// Time after which nobody waits for the request, so that its slot is freed even if its end is
    /// never reported.
    pub(super) expires: Instant,
}

/// A queued request.
#[derive(Debug, Clone)]
pub(super) struct Queued {
    /// Request that waits.
    pub(super) request: Request,
    /// Time at which it was queued.
    pub(super) since: Instant,
    /// Whether it is offered to the dispatcher of another shard.
    pub(super) offered: bool,
}

impl Queued {
    /// Returns the time at which the request is late, or is not held any longer if it is late already.
    pub(super) fn deadline(&self) -> Instant {
        let on_time = self.since + self.request.objective;
        on_time.min(self.since + self.request.hold)
    }
}

/// Position in the queue: by priority, then by fair queueing among accounts, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub(super) priority: Priority,
    pub(super) start: VirtualTime,
    pub(super) number: u64,
}

/// Order of precedence: the account's rank, then the route's. A late request has already lost most
/// of its value, so it ranks one lower, behind those of that rank that can still be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Priority {
    /// Rank of the account.
    pub(super) account: u8,
    /// Rank of the route, plus 1 for a late request.
    pub(super) route: u8,
    /// Whether the request can no longer be in time.
    pub(super) late: bool,
}

impl Priority {
    pub(super) fn new(rank: Rank, late: bool) -> Self {
        Self {
            account: rank.account,
            route: rank.route.saturating_add(u8::from(late)),
            late,
        }
    }
}
