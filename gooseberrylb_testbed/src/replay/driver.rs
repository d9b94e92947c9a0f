//! Runs a trace against modelled engines in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use gooseberrylb_config::number::Tokens;
use gooseberrylb_policy::request;
use gooseberrylb_policy::scheduler::{CacheChange, Load};

use super::balancer::{Action, Balancer};
use super::deadline;
use super::figures::{Fate, Figures};
use super::trace::Trace;
use crate::engine::Model;
use crate::engine::cache::Change;
use crate::engine::model;

/// How often engines report their load and their cache.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How late the reports come.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// How often a balancer is told that time has passed.
const TICK: Duration = Duration::from_millis(20);

/// Every so manieth report of a cache is lost.
const CACHE_GAP: u64 = 40;

/// What happens at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Deadline(usize),
    Engine(usize),
    Sample(usize),
    Report(usize, u32, u32),
    Cache(usize, Vec<(bool, u64)>),
    CacheGap(usize),
    Wake(u64),
    Tick,
}

/// A dispatched request.
#[derive(Debug, Clone, Copy, Default)]
struct Flight {
    engine: usize,
    dispatched: Duration,
    cached: u64,
    first_token: Option<Duration>,
}

struct Engine {
    model: Model,
    /// The time of the event that ends its current step.
    scheduled: Option<Duration>,
    changes: Vec<(bool, u64)>,
    samples: u64,
}

/// One replay.
pub struct Driver<'a> {
    trace: &'a Trace,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    flights: HashMap<usize, Flight>,
    fates: HashMap<usize, Fate>,
    open: usize,
    wasted: u64,
    inversions: u64,
}

impl<'a> Driver<'a> {
    /// Prepares a replay of the requests of `trace` with these numbers.
    pub fn new(trace: &'a Trace, numbers: &[usize]) -> Self {
        let engine = |engine: &super::trace::Engine| Engine {
            model: Model::new(engine.profile),
            scheduled: None,
            changes: Vec::new(),
            samples: 0,
        };
        let mut driver = Self {
            trace,
            queue: BinaryHeap::new(),
            sequence: 0,
            engines: trace.engines.iter().map(engine).collect(),
            flights: HashMap::new(),
            fates: numbers.iter().map(|n| (*n, Fate::default())).collect(),
            open: numbers.len(),
            wasted: 0,
            inversions: 0,
        };
        for number in numbers {
            let entry = &trace.requests[*number];
            driver.push(entry.at(), Event::Arrive(*number));
            driver.push(deadline(trace, entry), Event::Deadline(*number));
        }
        for engine in 0..trace.engines.len() {
            driver.push(Duration::ZERO, Event::Sample(engine));
        }
        driver.push(Duration::ZERO, Event::Tick);
        driver
    }

    /// Runs until every request has ended.
    pub fn run(mut self, balancer: &mut dyn Balancer) -> Figures {
        while self.open > 0 {
            let Some(Reverse((now, _, event))) = self.queue.pop() else {
                break;
            };
            let actions = self.handle(now, event, balancer);
            self.act(now, actions);
        }
        let tier = |number: usize| self.trace.tier(number);
        let mut fates: Vec<_> = self
            .fates
            .iter()
            .map(|(number, fate)| (*number, tier(*number), *fate))
            .collect();
        fates.sort_unstable_by_key(|(number, _, _)| *number);
        Figures {
            fates,
            prefilled: self.engines.iter().map(|e| e.model.prefilled()).sum(),
            wasted: self.wasted,
            inversions: self.inversions,
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, now: Duration, event: Event, balancer: &mut dyn Balancer) -> Vec<Action> {
        match event {
            Event::Arrive(number) => balancer.arrive(now, number),
            Event::Deadline(number) => self.give_up(now, number, balancer),
            Event::Engine(engine) => self.end_step(now, engine, balancer),
            Event::Sample(engine) => {
                self.sample(now, engine);
                Vec::new()
            }
            Event::Report(engine, running, waiting) => {
                let age = REPORT_LAG;
                let load = Load {
                    running,
                    waiting,
                    age,
                };
                balancer.report(now, engine, load)
            }
            Event::Cache(engine, changes) => {
                let changes = changes.into_iter().map(|(stored, block)| match stored {
                    true => CacheChange::Stored(block),
                    false => CacheChange::Evicted(block),
                });
                balancer.cache(now, engine, changes.collect())
            }
            Event::CacheGap(engine) => balancer.cache(now, engine, vec![CacheChange::Gap]),
            Event::Wake(token) => balancer.wake(now, token),
            Event::Tick => {
                self.push(now + TICK, Event::Tick);
                balancer.tick(now)
            }
        }
    }

    fn act(&mut self, now: Duration, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { request, engine } => self.dispatch(now, request, engine),
                Action::Refuse { request, inverted } => {
                    self.inversions += u64::from(inverted);
                    self.settle(request, |fate| fate.refused = true);
                }
                Action::Wake { after, token } => self.push(now + after, Event::Wake(token)),
            }
        }
    }

    fn settle(&mut self, request: usize, change: impl FnOnce(&mut Fate)) {
        let Some(fate) = self.fates.get_mut(&request) else {
            return;
        };
        change(fate);
        self.open -= 1;
    }

    fn is_open(&self, request: usize) -> bool {
        let fate = self.fates[&request];
        !fate.good && !fate.refused
    }

    fn dispatch(&mut self, now: Duration, request: usize, engine: usize) {
        let flight = Flight {
            engine,
            dispatched: now,
            ..Flight::default()
        };
        self.flights.insert(request, flight);
        let events = self.engines[engine]
            .model
            .admit(now, self.trace.job(request));
        self.record(engine, events);
        self.schedule(engine);
    }

    fn schedule(&mut self, engine: usize) {
        let wake = self.engines[engine].model.wake();
        if wake != self.engines[engine].scheduled {
            self.engines[engine].scheduled = wake;
            if let Some(wake) = wake {
                self.push(wake, Event::Engine(engine));
            }
        }
    }

    fn end_step(
        &mut self,
        now: Duration,
        engine: usize,
        balancer: &mut dyn Balancer,
    ) -> Vec<Action> {
        if self.engines[engine].scheduled != Some(now) {
            return Vec::new();
        }
        let factor = self.trace.slow_factor(engine, now);
        self.engines[engine].model.set_slow_factor(factor);
        let events = self.engines[engine].model.advance(now);
        let done = self.record(engine, events);
        self.schedule(engine);
        let mut actions = Vec::new();
        for request in done {
            let figures = self.finish(now, request);
            actions.extend(balancer.end(now, request, figures));
        }
        actions
    }

    /// Notes what an engine did, and gives the requests that it ended.
    fn record(&mut self, engine: usize, events: Vec<model::Event>) -> Vec<usize> {
        let mut done = Vec::new();
        // A job is named by its request's number.
        let number = |id: &str| id.parse::<usize>().unwrap_or(usize::MAX);
        for event in events {
            match event.action {
                model::Action::Started { id, cached } => {
                    if let Some(flight) = self.flights.get_mut(&number(&id)) {
                        flight.cached = cached;
                    }
                }
                model::Action::Token { id, n: 0 } => self.first_token(event.at, number(&id)),
                model::Action::Token { .. } => {}
                model::Action::Done { id } => done.push(number(&id)),
                model::Action::Cache(Change::Stored(block)) => {
                    self.engines[engine].changes.push((true, block));
                }
                model::Action::Cache(Change::Evicted(block)) => {
                    self.engines[engine].changes.push((false, block));
                }
            }
        }
        done
    }

    fn first_token(&mut self, at: Duration, request: usize) {
        let arrived = self.trace.requests[request].at();
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.first_token = Some(at);
        }
        if let Some(fate) = self.fates.get_mut(&request) {
            fate.first_token = Some(at - arrived);
        }
    }

    fn finish(&mut self, now: Duration, request: usize) -> request::Figures {
        self.settle(request, |fate| fate.good = true);
        let flight = self.flights.remove(&request).unwrap_or_default();
        let entry = &self.trace.requests[request];
        let first = flight.first_token.unwrap_or(now);
        request::Figures {
            first_token: first - flight.dispatched,
            decode: now - first,
            prompt: Tokens(entry.prompt),
            cached: Tokens(flight.cached),
            output: Tokens(entry.output),
        }
    }

    fn give_up(
        &mut self,
        now: Duration,
        request: usize,
        balancer: &mut dyn Balancer,
    ) -> Vec<Action> {
        if !self.is_open(request) {
            return Vec::new();
        }
        self.open -= 1;
        if let Some(flight) = self.flights.remove(&request) {
            let model = &mut self.engines[flight.engine].model;
            if let Some(progress) = model.cancel(&request.to_string()) {
                self.wasted += progress.prefilled;
            }
        }
        balancer.give_up(now, request)
    }

    fn sample(&mut self, now: Duration, engine: usize) {
        let sampled = &mut self.engines[engine];
        sampled.samples += 1;
        let lost = sampled.samples.is_multiple_of(CACHE_GAP);
        let running = sampled.model.running() as u32;
        let waiting = sampled.model.waiting() as u32;
        let changes = std::mem::take(&mut sampled.changes);
        let at = now + REPORT_LAG;
        self.push(at, Event::Report(engine, running, waiting));
        if lost {
            self.push(at, Event::CacheGap(engine));
        } else if !changes.is_empty() {
            self.push(at, Event::Cache(engine, changes));
        }
        self.push(now + REPORT_INTERVAL, Event::Sample(engine));
    }
}
