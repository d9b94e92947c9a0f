//! The two balancers that the scheduler is measured against. Neither queues: engines admit what
//! they are sent in the order in which it comes.

use std::time::Duration;

use gooseberrylb_policy::request;
use gooseberrylb_policy::scheduler::{CacheChange, Load};

use super::balancer::{Action, Balancer};
use super::trace::Trace;

/// Sends requests to the engines in turn.
#[derive(Debug)]
pub struct RoundRobin {
    engines: usize,
    next: usize,
}

impl RoundRobin {
    /// Makes a balancer for the engines of `trace`.
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

    fn give_up(&mut self, _: Duration, _: usize) -> Vec<Action> {
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

/// Sends requests to the engine that reported the fewest requests in flight, some time ago.
#[derive(Debug)]
pub struct LeastInFlight {
    reported: Vec<u32>,
    next: usize,
}

impl LeastInFlight {
    /// Makes a balancer for the engines of `trace`.
    pub fn new(trace: &Trace) -> Self {
        Self {
            reported: vec![0; trace.engines.len()],
            next: 0,
        }
    }
}

impl Balancer for LeastInFlight {
    fn arrive(&mut self, _now: Duration, request: usize) -> Vec<Action> {
        let engines = self.reported.len();
        let turn = |i: usize| (i + engines - self.next) % engines;
        let chosen = (0..engines).min_by_key(|i| (self.reported[*i], turn(*i)));
        let engine = chosen.unwrap_or(0);
        self.next = (engine + 1) % engines;
        vec![Action::Dispatch { request, engine }]
    }

    fn end(&mut self, _: Duration, _: usize, _: request::Figures) -> Vec<Action> {
        Vec::new()
    }

    fn give_up(&mut self, _: Duration, _: usize) -> Vec<Action> {
        Vec::new()
    }

    fn report(&mut self, _: Duration, engine: usize, load: Load) -> Vec<Action> {
        self.reported[engine] = load.running + load.waiting;
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
