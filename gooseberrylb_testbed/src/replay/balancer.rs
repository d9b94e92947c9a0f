//! What is compared: something that chooses an engine for each request.

use std::time::Duration;

use gooseberrylb_policy::request;
use gooseberrylb_policy::scheduler::{CacheChange, Load};

/// What a balancer wants done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Send a request to an engine.
    Dispatch {
        /// The request's number in the trace.
        request: usize,
        /// The engine's position.
        engine: usize,
    },
    /// Tell a request's caller that it was not run.
    Refuse {
        /// The request's number in the trace.
        request: usize,
        /// Whether it was refused though less important requests were waiting.
        inverted: bool,
    },
    /// Wake the balancer after a time.
    Wake {
        /// The time.
        after: Duration,
        /// What the balancer is told then.
        token: u64,
    },
}

/// Chooses engines for requests. Time is counted from the beginning of the trace.
pub trait Balancer {
    /// A request came.
    fn arrive(&mut self, now: Duration, request: usize) -> Vec<Action>;

    /// A dispatched request ended.
    fn end(&mut self, now: Duration, request: usize, figures: request::Figures) -> Vec<Action>;

    /// A caller gave up a request, dispatched or not.
    fn give_up(&mut self, now: Duration, request: usize) -> Vec<Action>;

    /// An engine's load report came, late.
    fn report(&mut self, now: Duration, engine: usize, load: Load) -> Vec<Action>;

    /// News of an engine's prefix cache came, late.
    fn cache(&mut self, now: Duration, engine: usize, changes: Vec<CacheChange>) -> Vec<Action>;

    /// A wake-up that it asked for came.
    fn wake(&mut self, now: Duration, token: u64) -> Vec<Action>;

    /// Time has passed.
    fn tick(&mut self, now: Duration) -> Vec<Action>;
}
