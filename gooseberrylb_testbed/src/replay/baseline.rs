//! The two baseline load balancers that the scheduler is compared with. Neither queues requests:
//! each engine admits requests in the order in which they arrive.

use std::time::Duration;

use gooseberrylb_policy::request;
use gooseberrylb_policy::scheduler::{CacheChange, Load};

use super::balancer::{Action, Balancer};
use super::trace::Trace;

/// Balancer that sends requests to the engines in turn.
#[derive(Debug)]
pub struct RoundRobin {
    engines: usize,
    next: usize,
}

impl RoundRobin {
    /// Returns a balancer for the engines of `trace`.
    pub fn new(trace: &Trace) -> Self {
        Self {
            engines: trace.engines.len(),
            next: 0,
        }
    }
}

impl Balancer for RoundRobin {
    fn arrive(&mut self, _now: Duration, request: usize) -> Vec<Action> {
        let engine = self.next;
        self.next = (self.next + 1) % self.engines;
        vec![Action::Dispatch { request, engine }]
    }

    fn end(&mut self, _: Duration, _: usize, _: request::Figures) -> Vec<Action> {
        Vec::new()
    }

    fn expire(&mut self, _: Duration, _: usize) -> Vec<Action> {
        Vec::new()
    }

    fn report(&mut self, _: Duration, _: usize, _: Load) -> Vec<Action> {
        Vec::new()
    }

    fn cache(&mut self, _: Duration, _: usize, _: Vec<CacheChange>) -> Vec<Action> {
        Vec::new()
    }

    fn wake(&mut self, _: Duration, _: u64) -> Vec<Action> {
        Vec::new()
    }

    fn tick(&mut self, _: Duration) -> Vec<Action> {
        Vec::new()
    }
}

/// Balancer that sends requests to the engine whose last load report, which arrives late, has the
/// fewest requests in flight. Ties are broken in round-robin order.
#[derive(Debug)]
pub struct LeastInFlight {
    reported_in_flight: Vec<u32>,
    next: usize,
}

impl LeastInFlight {
    /// Returns a balancer for the engines of `trace`.
    pub fn new(trace: &Trace) -> Self {
        Self {
            reported_in_flight: vec![0; trace.engines.len()],
            next: 0,
        }
    }
}

impl Balancer for LeastInFlight {
    fn arrive(&mut self, _now: Duration, request: usize) -> Vec<Action> {
        let engines = self.reported_in_flight.len();
        let rotation = |i: usize| (i + engines - self.next) % engines;
        let chosen = (0..engines).min_by_key(|i| (self.reported_in_flight[*i], rotation(*i)));
        let engine = chosen.unwrap_or(0);
        self.next = (engine + 1) % engines;
        vec![Action::Dispatch { request, engine }]
    }

    fn end(&mut self, _: Duration, _: usize, _: request::Figures) -> Vec<Action> {
        Vec::new()
    }

    fn expire(&mut self, _: Duration, _: usize) -> Vec<Action> {
        Vec::new()
    }

    fn report(&mut self, _: Duration, engine: usize, load: Load) -> Vec<Action> {
        self.reported_in_flight[engine] = load.running + load.waiting;
        Vec::new()
    }

    fn cache(&mut self, _: Duration, _: usize, _: Vec<CacheChange>) -> Vec<Action> {
        Vec::new()
    }

    fn wake(&mut self, _: Duration, _: u64) -> Vec<Action> {
        Vec::new()
    }

    fn tick(&mut self, _: Duration) -> Vec<Action> {
        Vec::new()
    }
}
