//! Messages between entries and a dispatcher, and the configuration of a dispatcher.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

use super::Rates;
use crate::quota::Usage;

/// Identifies a request, or one attempt of it, across all entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Entry that holds the request.
    pub entry: id::Instance,
    /// Start time of the entry's process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Number of the attempt at that entry; each retry has its own.
    pub number: u64,
}

/// Scheduling priority, lowest value first: the account's rank decides, and between equal accounts
/// the route's.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// Rank of the account, or of the route if the account has none.
    pub account: u8,
    /// Rank of the route.
    pub route: u8,
}

impl Rank {
    /// Returns the rank of requests of an account by a route. An account without a rank takes that of the
    /// route.
    pub fn new(account: Option<u8>, route: u8) -> Self {
        Self {
            account: account.unwrap_or(route),
            route,
        }
    }
}

impl From<u8> for Rank {
    fn from(rank: u8) -> Self {
        Self::new(None, rank)
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.account, self.route)
    }
}

/// A request that needs an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Key of the attempt.
    pub key: Key,
    /// Service that the request is for.
    pub service: id::Service,
    /// Route that the request came by.
    pub route: Arc<str>,
    /// Account that is charged, if it has a quota.
    pub account: Option<id::Account>,
    /// Units charged to the quota; 0 for a retry.
    pub units: f64,
    /// Weight of the account in fair queueing, such as its quota per second; 1 without an account.
    pub weight: f64,
    /// Priority of the request; the lowest rank is served first.
    pub rank: Rank,
    /// Data centre of the entry.
    pub data_centre: Arc<str>,
    /// Length of the prompt, in tokens; 0 for plain calls.
    pub prompt: u64,
    /// Expected number of events in the response; 0 for plain calls.
    pub events: u64,
    /// Time left in which the response, or its first event, is on time.
    pub objective: Duration,
    /// Longest time for which it is worth queueing the request for an upstream.
    pub hold: Duration,
    /// Time left until the caller stops waiting for the response.
    pub patience: Duration,
    /// Upstreams that the request must not go to.
    pub excluded: Vec<id::Upstream>,
}

/// What an upstream is asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// An attempt of the request.
    #[default]
    Attempt,
    /// A copy of a request whose response is slow. It is granted at once or not at all.
    Copy,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The account has used up its quota.
    Quota,
    /// The upstreams cannot run the request in time.
    Busy,
    /// The service has no usable upstream.
    NoUpstream,
    /// A part of the prompt crashes upstreams. Entries decide this themselves.
    Prompt,
    /// The request crashes upstreams. Entries decide this themselves.
    Crashing,
}

/// The dispatcher's decision on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The request goes to this upstream, which has a free slot for it.
    Grant(id::Upstream),
    /// The request is queued; [`Dispatcher::poll`](super::Dispatcher::poll) returns the final decision.
    Wait,
    /// The request is refused, and the caller may retry after this time.
    Refuse(Reason, Duration),
    /// The dispatcher does not know the request, so the entry decides itself.
    Unknown,
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The response was complete.
    Served {
        /// Time to the first byte of the response body.
        first: Duration,
        /// Time from the first byte to the end.
        rest: Duration,
        /// Number of events received.
        events: u64,
    },
    /// The upstream reported that it had no room.
    Full,
    /// The upstream failed, or could not be reached.
    Failed,
    /// The caller left, or the grant was not used.
    Dropped,
    /// The upstream's host refused the connection: nothing listens there.
    Refused,
}

/// A request that an entry has in flight at an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// Key of the attempt.
    pub key: Key,
    /// Service that the request is for.
    pub service: id::Service,
    /// Upstream that runs it.
    pub upstream: id::Upstream,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Longest time that the request may still take.
    pub patience: Duration,
}

/// Units charged to an account's quota by a request that an entry placed without the dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Charge {
    /// Key of the attempt; an entry reports its charges in the order of their numbers.
    pub key: Key,
    /// Account that is charged.
    pub account: id::Account,
    /// Units charged.
    pub units: f64,
    /// Time since the request was placed.
    pub age: Duration,
}

/// What an entry reports to the dispatcher, apart from its requests for a placement.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// All requests that the entry has in flight, sent to a dispatcher that is new to the entry.
    pub running: Option<(id::Instance, Vec<Running>)>,
    /// Requests in flight that the entry placed without the dispatcher, in addition to those that
    /// the dispatcher knows.
    pub started: Vec<Running>,
    /// Charges of requests that the entry placed without the dispatcher; resent until
    /// acknowledged.
    pub charges: Vec<Charge>,
    /// Requests that ended, with their outcomes.
    pub ended: Vec<(Key, Outcome)>,
    /// Requests whose upstream has been silent for longer than expected.
    pub silent: Vec<Key>,
    /// Upstream rates that the entry measured, sent to a dispatcher that is new to the entry.
    pub rates: Vec<(id::Service, id::Upstream, Rates)>,
    /// Use of quotas by requests of this entry, sent to a dispatcher that is new to the entry,
    /// once the entry has run for a whole window.
    pub spent: Option<(id::Instance, Vec<(id::Account, Usage)>)>,
}

impl Notice {
    /// Whether the notice reports nothing.
    pub fn is_empty(&self) -> bool {
        let Self {
            running,
            started,
            charges,
            ended,
            silent,
            rates,
            spent,
        } = self;
        running.is_none()
            && started.is_empty()
            && charges.is_empty()
            && ended.is_empty()
            && silent.is_empty()
            && rates.is_empty()
            && spent.is_none()
    }
}

/// An upstream as configured in the dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: id::Upstream,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Version of its software.
    pub release: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Part of the limit that the upstream may name which this dispatcher uses, from 0 to 1.
    pub limit_part: f64,
}

/// Quota of an account.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// Account that the quota belongs to.
    pub account: id::Account,
    /// Sustained rate, in units per second.
    pub per_second: f64,
    /// Units that may be used in a window on top of the rate.
    pub burst: f64,
    /// Length of the sliding window in which use is counted.
    pub window: Duration,
}

/// Longest time that a message may state. Clocks have a range, and a time beyond it in a message of
/// another instance must not end the process.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

impl Request {
    /// Returns the request with its times within what clocks can count.
    pub(super) fn bounded(self) -> Self {
        Self {
            objective: self.objective.min(MAX_TIME),
            hold: self.hold.min(MAX_TIME),
            patience: self.patience.min(MAX_TIME),
            ..self
        }
    }
}

impl Outcome {
    /// Returns the outcome with its times within what clocks can count.
    fn bounded(self) -> Self {
        match self {
            Self::Served {
                first,
                rest,
                events,
            } => Self::Served {
                first: first.min(MAX_TIME),
                rest: rest.min(MAX_TIME),
                events,
            },
            Self::Full | Self::Failed | Self::Dropped | Self::Refused => self,
        }
    }
}

impl Notice {
    /// Returns the notice with its times within what clocks can count.
    pub(super) fn bounded(mut self) -> Self {
        let running = self.running.iter_mut().flat_map(|(_, running)| running);
        for run in running.chain(&mut self.started) {
            run.patience = run.patience.min(MAX_TIME);
        }
        for (_, outcome) in &mut self.ended {
            *outcome = outcome.bounded();
        }
        self
    }
}
