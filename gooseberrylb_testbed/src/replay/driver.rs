//! Discrete-event simulation of a trace: feeds requests and delayed engine reports to a balancer,
//! and runs its dispatches on simulated engines in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use gooseberrylb_config::number::Tokens;
use gooseberrylb_policy::request;
use gooseberrylb_policy::scheduler::{CacheChange, Load};

use super::balancer::{Action, Balancer};
use super::deadline;
use super::figures::{Figures, Outcome};
use super::trace::Trace;
use crate::engine::Model;
use crate::engine::cache::Change;
use crate::engine::model;

/// Interval at which engines report their load and the changes of their cache.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Delay of the reports.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Interval of the balancer's periodic tick.
const TICK: Duration = Duration::from_millis(20);

/// Every report of an engine's cache whose number is a multiple of this is lost.
const CACHE_REPORTS_PER_GAP: u64 = 40;

/// Scheduled event of the simulation. Numbers are those of requests or engines in the trace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives.
    Arrive(usize),
    /// The caller of a request stops waiting.
    Deadline(usize),
    /// The current step of an engine ends.
    StepEnd(usize),
    /// An engine's load and cache are read for a report.
    Sample(usize),
    /// A load report arrives: engine, running and waiting requests.
    Report(usize, u32, u32),
    /// A cache report arrives: engine, and blocks that were stored (`true`) or evicted (`false`).
    Cache(usize, Vec<(bool, u64)>),
    /// The loss of a cache report becomes known.
    CacheGap(usize),
    /// A wake-up that the balancer requested, with its token.
    Wake(u64),
    /// The balancer's periodic tick is due.
    Tick,
}

/// Request that runs on an engine.
#[derive(Debug, Clone, Copy, Default)]
struct InFlight {
    engine: usize,
    dispatched: Duration,
    /// Prompt tokens found in the engine's prefix cache.
    cached: u64,
    first_token: Option<Duration>,
}

/// Simulated engine with the reports that it has not sent yet.
struct Engine {
    model: Model,
    /// Time of the queued event that ends the current step.
    scheduled: Option<Duration>,
    /// Cache changes since the last report: whether a block was stored, and the block.
    changes: Vec<(bool, u64)>,
    /// Number of reports so far.
    samples: u64,
}

/// One replay of a trace with one balancer.
pub struct Driver<'a> {
    trace: &'a Trace,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Number of the last queued event, which keeps events of the same time in order.
    sequence: u64,
    engines: Vec<Engine>,
    in_flight: HashMap<usize, InFlight>,
    outcomes: HashMap<usize, Outcome>,
    /// Requests that have not ended.
    pending: usize,
    /// Tokens prefilled for requests that were then cancelled.
    wasted: u64,
    /// Requests shed while requests of a lower tier were queued.
    inversions: u64,
}

impl<'a> Driver<'a> {
    /// Prepares a replay of the requests of `trace` with the given numbers.
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
            in_flight: HashMap::new(),
            outcomes: numbers.iter().map(|n| (*n, Outcome::default())).collect(),
            pending: numbers.len(),
            wasted: 0,
            inversions: 0,
        };
        for number in numbers {
            let recorded = &trace.requests[*number];
            driver.push(recorded.at(), Event::Arrive(*number));
            driver.push(deadline(trace, recorded), Event::Deadline(*number));
        }
        for engine in 0..trace.engines.len() {
            driver.push(Duration::ZERO, Event::Sample(engine));
        }
        driver.push(Duration::ZERO, Event::Tick);
        driver
    }

    /// Runs the simulation until every request has ended.
    pub fn run(mut self, balancer: &mut dyn Balancer) -> Figures {
        while self.pending > 0 {
            let Some(Reverse((now, _, event))) = self.queue.pop() else {
                break;
            };
            let actions = self.handle(now, event, balancer);
            self.apply(now, actions);
        }
        let tier = |number: usize| self.trace.tier(number);
        let mut outcomes: Vec<_> = self
            .outcomes
            .iter()
            .map(|(number, outcome)| (*number, tier(*number), *outcome))
            .collect();
        outcomes.sort_unstable_by_key(|(number, _, _)| *number);
        Figures {
            outcomes,
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
            Event::Deadline(number) => self.expire(now, number, balancer),
            Event::StepEnd(engine) => self.finish_step(now, engine, balancer),
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

    fn apply(&mut self, now: Duration, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { request, engine } => self.dispatch(now, request, engine),
                Action::Refuse { request, inverted } => {
                    self.inversions += u64::from(inverted);
                    self.end_request(request, |outcome| outcome.refused = true);
                }
                Action::Wake { after, token } => self.push(now + after, Event::Wake(token)),
            }
        }
    }

    /// Applies `change` to the outcome of a request, which ends it.
    fn end_request(&mut self, request: usize, change: impl FnOnce(&mut Outcome)) {
        let Some(outcome) = self.outcomes.get_mut(&request) else {
            return;
        };
        change(outcome);
        self.pending -= 1;
    }

    fn is_pending(&self, request: usize) -> bool {
        let outcome = self.outcomes[&request];
        !outcome.good && !outcome.refused
    }

    fn dispatch(&mut self, now: Duration, request: usize, engine: usize) {
        let dispatched_request = InFlight {
            engine,
            dispatched: now,
            ..InFlight::default()
        };
        self.in_flight.insert(request, dispatched_request);
        let events = self.engines[engine]
            .model
            .admit(now, self.trace.job(request));
        self.record(engine, events);
        self.schedule(engine);
    }

    /// Queues the end of an engine's current step, if it is not queued already.
    fn schedule(&mut self, engine: usize) {
        let step_end = self.engines[engine].model.next_step_end();
        if step_end != self.engines[engine].scheduled {
            self.engines[engine].scheduled = step_end;
            if let Some(step_end) = step_end {
                self.push(step_end, Event::StepEnd(engine));
            }
        }
    }

    fn finish_step(
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
        let completed = self.record(engine, events);
        self.schedule(engine);
        let mut actions = Vec::new();
        for request in completed {
            let figures = self.complete(now, request);
            actions.extend(balancer.end(now, request, figures));
        }
        actions
    }

    /// Records what an engine did. Returns the requests that it completed.
    fn record(&mut self, engine: usize, events: Vec<model::Event>) -> Vec<usize> {
        let mut completed = Vec::new();
        // The id of a job is the number of its request.
        let request_number = |id: &str| id.parse::<usize>().unwrap_or(usize::MAX);
        for event in events {
            match event.action {
                model::Action::Started { id, cached } => {
                    if let Some(dispatched_request) = self.in_flight.get_mut(&request_number(&id)) {
                        dispatched_request.cached = cached;
                    }
                }
                model::Action::Token { id, n: 0 } => {
                    self.first_token(event.at, request_number(&id))
                }
                model::Action::Token { .. } => {}
                model::Action::Done { id } => completed.push(request_number(&id)),
                model::Action::Cache(Change::Stored(block)) => {
                    self.engines[engine].changes.push((true, block));
                }
                model::Action::Cache(Change::Evicted(block)) => {
                    self.engines[engine].changes.push((false, block));
                }
            }
        }
        completed
    }

    fn first_token(&mut self, at: Duration, request: usize) {
        let arrived = self.trace.requests[request].at();
        if let Some(dispatched_request) = self.in_flight.get_mut(&request) {
            dispatched_request.first_token = Some(at);
        }
        if let Some(outcome) = self.outcomes.get_mut(&request) {
            outcome.first_token = Some(at - arrived);
        }
    }

    /// Ends a request whose response is complete. Returns the figures to report to the balancer.
    fn complete(&mut self, now: Duration, request: usize) -> request::Figures {
        self.end_request(request, |outcome| outcome.good = true);
        let dispatched_request = self.in_flight.remove(&request).unwrap_or_default();
        let recorded = &self.trace.requests[request];
        let first = dispatched_request.first_token.unwrap_or(now);
        request::Figures {
            first_token: first - dispatched_request.dispatched,
            decode: now - first,
            prompt: Tokens(recorded.prompt),
            cached: Tokens(dispatched_request.cached),
            output: Tokens(recorded.output),
        }
    }

    /// Handles the deadline of a request: cancels it on its engine if it has not ended.
    fn expire(
        &mut self,
        now: Duration,
        request: usize,
        balancer: &mut dyn Balancer,
    ) -> Vec<Action> {
        if !self.is_pending(request) {
            return Vec::new();
        }
        self.pending -= 1;
        if let Some(dispatched_request) = self.in_flight.remove(&request) {
            let model = &mut self.engines[dispatched_request.engine].model;
            if let Some(progress) = model.cancel(&request.to_string()) {
                self.wasted += progress.prefilled;
            }
        }
        balancer.expire(now, request)
    }

    /// Reads an engine's load and cache changes, and queues their reports and the next reading.
    fn sample(&mut self, now: Duration, engine: usize) {
        let reporting = &mut self.engines[engine];
        reporting.samples += 1;
        let lost = reporting.samples.is_multiple_of(CACHE_REPORTS_PER_GAP);
        let running = reporting.model.running() as u32;
        let waiting = reporting.model.waiting() as u32;
        let changes = std::mem::take(&mut reporting.changes);
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
