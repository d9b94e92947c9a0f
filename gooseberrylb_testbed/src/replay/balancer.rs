//! Interface of the load balancers that a replay compares. The driver reports events to a balancer,
//! which returns the actions to take.

use std::time::Duration;

use gooseberrylb_policy::request;
use gooseberrylb_policy::scheduler::{CacheChange, Load};

/// Action that a balancer asks the driver to take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Sends a request to an engine.
    Dispatch {
        /// Number of the request in the trace.
        request: usize,
        /// Index of the engine in the trace.
        engine: usize,
    },
    /// Tells the caller that its request was not run.
    Refuse {
        /// Number of the request in the trace.
        request: usize,
        /// Whether the request was shed while requests of a lower tier were queued.
        inverted: bool,
    },
    /// Calls [`Balancer::wake`] after a delay.
    Wake {
        /// Delay from now.
        after: Duration,
        /// Value passed to [`Balancer::wake`].
        token: u64,
    },
}

/// Load balancer that chooses an engine for each request. All times are since the start of the
/// trace.
pub trait Balancer {
    /// Handles the arrival of a request.
    fn arrive(&mut self, now: Duration, request: usize) -> Vec<Action>;

    /// Handles the completion of a dispatched request.
    fn end(&mut self, now: Duration, request: usize, figures: request::Figures) -> Vec<Action>;

    /// Handles the end of a caller's wait for a request, whether it was dispatched or not.
    fn expire(&mut self, now: Duration, request: usize) -> Vec<Action>;

    /// Handles a delayed load report of an engine.
    fn report(&mut self, now: Duration, engine: usize, load: Load) -> Vec<Action>;

    /// Handles a delayed report of changes to an engine's prefix cache.
    fn cache(&mut self, now: Duration, engine: usize, changes: Vec<CacheChange>) -> Vec<Action>;

    /// Handles a wake-up requested with [`Action::Wake`].
    fn wake(&mut self, now: Duration, token: u64) -> Vec<Action>;

    /// Handles a periodic tick.
    fn tick(&mut self, now: Duration) -> Vec<Action>;
}
