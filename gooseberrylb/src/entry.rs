//! The entry role: an instance that takes requests from callers.
//!
//! For each request, the entry obtains a grant from the scheduler of the service's cell, dispatches
//! the request to the granted upstream and reports the actual outcome to the caller. The reasoning
//! is in `docs/DESIGN.md`.

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

/// Longest silence of an engine before its stream is retried on another connection.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all requests of an entry.
pub struct Entry {
    /// Identity of this instance.
    pub identity: Identity,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Latest published configuration.
    pub published: Published,
    /// Handle for messages to the schedulers.
    pub traffic: traffic::Handle,
    /// Counts of requests and tokens for the usage report.
    pub tallies: Arc<Accumulator>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Budget for retries.
    pub retries: budget::Budget,
    shared: Arc<Shared>,
    next_number: AtomicU64,
}

/// Counts one request as in flight, from its head to the last byte of its response, until dropped.
pub struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.load.fetch_sub(1, Ordering::SeqCst);
        crate::metrics::METRICS.in_flight.dec();
    }
}

/// Dependencies of an [`Entry`].
pub struct Parts {
    /// Identity of this instance.
    pub identity: Identity,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Latest published configuration.
    pub published: Published,
    /// Handle for messages to the schedulers.
    pub traffic: traffic::Handle,
    /// Counts of requests and tokens for the usage report.
    pub tallies: Arc<Accumulator>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// State shared with the control thread, where the number of requests in flight is kept.
    pub shared: Arc<Shared>,
}

impl Entry {
    /// Returns the entry of an instance.
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

    /// Counts a request as in flight until the returned value is dropped.
    pub fn track(&self) -> InFlight {
        self.shared.load.fetch_add(1, Ordering::SeqCst);
        crate::metrics::METRICS.in_flight.inc();
        InFlight {
            shared: self.shared.clone(),
        }
    }

    /// Returns the number of requests in flight.
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
