//! Takes callers' requests: asks a scheduler for leave, dispatches to the granted upstream, and
//! tells each caller what truly became of its request. `docs/DESIGN.md` has the argument.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory::Cell;
use gooseberrylb_config::id;
use gooseberrylb_config::settings::Limits;
use gooseberrylb_policy::request::Id;

use crate::control::{Identity, Shared};
use crate::published::Published;
use crate::tally::Accumulator;
use crate::traffic;

pub mod account;
pub mod attempt;
pub mod budget;
pub mod cost;
pub mod dispatch;
pub mod incoming;
pub mod join;
pub mod relay;

/// How long an upstream may be silent before another connection is tried.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// What every request is served with.
pub struct Entry {
    /// Who this instance is.
    pub identity: Identity,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// The configuration.
    pub published: Published,
    /// The way to the schedulers.
    pub traffic: traffic::Handle,
    /// What became of requests, for the report.
    pub tallies: Arc<Accumulator>,
    /// The bounds on what callers may use.
    pub limits: Limits,
    /// How many retries there may be.
    pub retries: budget::Budget,
    shared: Arc<Shared>,
    next_number: AtomicU64,
}

/// A request that is held for a caller, from its head to the last byte of its answer.
pub struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.load.fetch_sub(1, Ordering::SeqCst);
        crate::metrics::METRICS.in_flight.dec();
    }
}

/// What an entry is made of.
pub struct Parts {
    /// Who this instance is.
    pub identity: Identity,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// The configuration.
    pub published: Published,
    /// The way to the schedulers.
    pub traffic: traffic::Handle,
    /// What became of requests, for the report.
    pub tallies: Arc<Accumulator>,
    /// The bounds on what callers may use.
    pub limits: Limits,
    /// Where the load is reported.
    pub shared: Arc<Shared>,
}

impl Entry {
    /// Makes the entry of an instance.
    pub fn new(parts: Parts) -> Arc<Self> {
        Arc::new(Self {
            identity: parts.identity,
            clock: parts.clock,
            published: parts.published,
            traffic: parts.traffic,
            tallies: parts.tallies,
            limits: parts.limits,
            retries: budget::Budget::default(),
            shared: parts.shared,
            next_number: AtomicU64::new(1),
        })
    }

    /// Counts a request as held until the result is dropped.
    pub fn track(&self) -> InFlight {
        self.shared.load.fetch_add(1, Ordering::SeqCst);
        crate::metrics::METRICS.in_flight.inc();
        InFlight {
            shared: self.shared.clone(),
        }
    }

    /// The requests that are held for callers.
    pub fn in_flight(&self) -> u32 {
        self.shared.load.load(Ordering::SeqCst)
    }

    fn next_id(&self) -> Id {
        Id {
            entry: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn cell(&self, service: &id::Service) -> Cell {
        Cell {
            service: service.clone(),
            region: self.identity.instance.region.clone(),
        }
    }
}
