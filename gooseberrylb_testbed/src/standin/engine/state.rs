//! The state of an engine stand-in: the model, its streams, what it publishes and what it logs.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use gooseberrylb_config::clock::Clock;

use super::order::{Order, Verdict};
use super::{Faults, Settings};
use crate::engine::Model;
use crate::engine::cache::{Change, count_tokens, fingerprints};
use crate::engine::model::{Action, Event, Job};
use crate::engine::text::Text;
use crate::standin::execution::{Execution, digest, unix_ms};

/// The load reports and cache events that are kept for late publication.
const KEPT: usize = 10_000;

/// What a caller asks the engine to run.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The request's name.
    pub request_id: Arc<str>,
    /// The prompt.
    pub prompt: String,
    /// The tokens to write.
    pub max_tokens: u64,
    /// The route, where the system tells it.
    pub route: Option<String>,
    /// The idempotency key, where the system tells it.
    pub key: Option<String>,
}

/// How a request fared on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It is admitted.
    Admitted,
    /// A request of that name was admitted before.
    Duplicate,
    /// It was made to fail.
    Failed,
}

/// How far a stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// More tokens are to come.
    Open,
    /// All tokens are written.
    Done,
    /// It was cancelled.
    Cancelled,
}

/// One answer, kept so that it can be resumed.
#[derive(Debug)]
pub struct Stream {
    /// Its text.
    pub text: Text,
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens of the prompt that were cached.
    pub cached_tokens: u64,
    /// The tokens written so far.
    pub written: u64,
    /// Whether more are to come.
    pub end: End,
    execution: usize,
    waiters: Vec<Sender<()>>,
}

impl Stream {
    /// Gives a receiver that is told, or closed, when the stream has grown.
    pub fn watch(&mut self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.push(sender);
        receiver
    }

    fn notify(&mut self) {
        self.waiters.clear();
    }
}

/// A load report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// The requests that run.
    pub running: usize,
    /// The requests that wait.
    pub waiting: usize,
    /// How old the report is.
    pub age: Duration,
}

/// A cache event with its number and its time.
#[derive(Debug, Clone, Copy)]
pub struct Published {
    /// Its number; a number that is missing was lost.
    pub number: u64,
    /// What changed.
    pub change: Change,
    at: Duration,
}

/// All that an engine stand-in knows.
pub struct State {
    clock: Arc<dyn Clock>,
    origin: Instant,
    model: Model,
    faults: Faults,
    faults_set: Duration,
    streams: HashMap<Arc<str>, Stream>,
    executions: Vec<Execution>,
    loads: VecDeque<(Duration, Load)>,
    events: VecDeque<Published>,
    event_number: u64,
    checks_fencing: bool,
    accepted_orders: Vec<Order>,
    received_orders: Vec<Order>,
}

impl State {
    /// Makes the state of an engine that starts now.
    pub fn new(clock: Arc<dyn Clock>, settings: &Settings) -> Self {
        Self {
            origin: clock.now(),
            clock,
            model: Model::new(settings.profile),
            faults: settings.faults.clone(),
            faults_set: Duration::ZERO,
            streams: HashMap::new(),
            executions: Vec::new(),
            loads: VecDeque::new(),
            events: VecDeque::new(),
            event_number: 0,
            checks_fencing: settings.checks_fencing,
            accepted_orders: Vec::new(),
            received_orders: Vec::new(),
        }
    }

    /// The log of what was run.
    pub fn executions(&self) -> &[Execution] {
        &self.executions
    }

    /// The orders taken.
    pub fn accepted_orders(&self) -> &[Order] {
        &self.accepted_orders
    }

    /// The orders that arrived, refused and repeated ones among them.
    pub fn received_orders(&self) -> &[Order] {
        &self.received_orders
    }

    /// The tokens of prompts read so far.
    pub fn prefilled(&self) -> u64 {
        self.model.prefilled()
    }

    /// The faults in force.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// The stream of a request, where it was admitted.
    pub fn stream(&mut self, id: &str) -> Option<&mut Stream> {
        self.streams.get_mut(id)
    }

    /// Sets the faults from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
        self.faults_set = self.now();
    }

    /// Brings the model up to now, and gives the time until it has something to do.
    pub fn advance(&mut self) -> Option<Duration> {
        let now = self.now();
        self.model.set_slow_factor(self.slow_factor(now));
        let events = self.model.advance(now);
        self.record(events);
        self.model.wake().map(|wake| wake.saturating_sub(now))
    }

    /// Takes a request.
    pub fn admit(&mut self, completion: Completion) -> Arrival {
        self.advance();
        if self.streams.contains_key(&completion.request_id) {
            return Arrival::Duplicate;
        }
        let failed = self.fails(&completion);
        let prompt_tokens = count_tokens(&completion.prompt);
        self.executions.push(Execution {
            request_id: Some(completion.request_id.to_string()),
            key: completion.key.clone(),
            route: completion.route.clone(),
            started_at: unix_ms(self.clock.wall()),
            failed,
            prompt_tokens,
            body_digest: digest(completion.prompt.as_bytes()),
            ..Execution::default()
        });
        let stream = Stream {
            text: Text::new(&completion.request_id, &completion.prompt),
            prompt_tokens,
            cached_tokens: 0,
            written: 0,
            end: if failed { End::Cancelled } else { End::Open },
            execution: self.executions.len() - 1,
            waiters: Vec::new(),
        };
        self.streams.insert(completion.request_id.clone(), stream);
        if failed {
            return Arrival::Failed;
        }
        let job = Job {
            id: completion.request_id,
            prompt: prompt_tokens,
            prefix: fingerprints(&completion.prompt),
            output: completion.max_tokens,
        };
        let events = self.model.admit(self.now(), job);
        self.record(events);
        Arrival::Admitted
    }

    /// Cancels a request that has not ended; `false` where it was never admitted.
    pub fn cancel(&mut self, id: &str) -> bool {
        self.advance();
        let Some(stream) = self.streams.get_mut(id) else {
            return false;
        };
        if self.model.cancel(id).is_some() {
            stream.end = End::Cancelled;
            stream.notify();
            self.executions[stream.execution].cancelled = true;
        }
        self.sample_load();
        true
    }

    /// The newest load report that is old enough to be published.
    pub fn load(&mut self) -> Load {
        let now = self.now();
        let visible = now.saturating_sub(Duration::from_millis(self.faults.load_lag_ms));
        let taken = self.loads.iter().rev().find(|(at, _)| *at <= visible);
        let load = taken.map(|(_, load)| *load).unwrap_or_default();
        Load {
            age: now - visible,
            ..load
        }
    }

    /// The published cache events behind number `after`.
    pub fn cache_events(&self, after: u64) -> Vec<Published> {
        let lag = Duration::from_millis(self.faults.event_lag_ms);
        let visible = self.now().saturating_sub(lag);
        self.events
            .iter()
            .filter(|event| event.number > after && event.at <= visible)
            .copied()
            .collect()
    }

    /// Whether the prefix cache holds a block.
    pub fn holds(&self, block: u64) -> bool {
        self.model.cache().hits(&[block]) == 1
    }

    /// Holds blocks that another engine exported.
    pub fn import(&mut self, blocks: &[u64]) {
        let now = self.now();
        let events = self.model.import(now, blocks);
        self.record(events);
    }

    /// Takes an order, unless its fencing number is old and this engine checks.
    pub fn order(&mut self, order: Order) -> Verdict {
        self.received_orders.push(order.clone());
        if let Some(known) = self
            .accepted_orders
            .iter()
            .find(|o| o.order_id == order.order_id)
        {
            return Verdict::Known(known.clone());
        }
        let highest = self.accepted_orders.iter().map(|o| o.fencing).max();
        match highest {
            Some(highest) if self.checks_fencing && order.fencing < highest => {
                Verdict::Old(highest)
            }
            _ => {
                self.accepted_orders.push(order.clone());
                Verdict::Taken(order)
            }
        }
    }

    /// Gives an order for change.
    pub fn find_order(&mut self, order_id: &str) -> Option<&mut Order> {
        self.accepted_orders
            .iter_mut()
            .find(|o| o.order_id == order_id)
    }

    fn now(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.origin)
    }

    fn faults_active(&self, now: Duration) -> bool {
        now >= self.faults_set + Duration::from_millis(self.faults.after_ms)
    }

    fn slow_factor(&self, now: Duration) -> f64 {
        if self.faults_active(now) {
            self.faults.slow_factor
        } else {
            1.0
        }
    }

    /// Whether a request is made to fail; drawn from its name, so that a test repeats.
    fn fails(&self, completion: &Completion) -> bool {
        let load = self.model.running() + self.model.waiting();
        if !self.faults_active(self.now()) || load < self.faults.above_load {
            return false;
        }
        let rates = &self.faults.failure_rates;
        let rate = completion
            .route
            .as_ref()
            .and_then(|route| rates.get(route))
            .or_else(|| rates.get("*"));
        let draw = Text::new(&completion.request_id, "failure").draw();
        rate.is_some_and(|rate| draw < *rate)
    }

    fn record(&mut self, events: Vec<Event>) {
        for event in events {
            match event.action {
                Action::Started { id, cached } => self.record_start(&id, cached),
                Action::Token { id, n } => self.record_token(&id, n),
                Action::Done { id } => self.record_done(&id),
                Action::Cache(change) => self.publish(event.at, change),
            }
        }
        self.sample_load();
    }

    fn record_start(&mut self, id: &str, cached: u64) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.cached_tokens = cached;
            self.executions[stream.execution].cached_tokens = cached;
        }
    }

    fn record_token(&mut self, id: &str, n: u64) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.written = n + 1;
            stream.notify();
            self.executions[stream.execution].output_tokens = n + 1;
        }
    }

    fn record_done(&mut self, id: &str) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.end = End::Done;
            stream.notify();
            self.executions[stream.execution].finished = true;
        }
    }

    fn publish(&mut self, at: Duration, change: Change) {
        self.event_number += 1;
        let number = self.event_number;
        let every = self.faults.event_gap_every;
        if every > 0 && number.is_multiple_of(every) {
            return;
        }
        self.events.push_back(Published { number, change, at });
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    fn sample_load(&mut self) {
        let load = Load {
            running: self.model.running(),
            waiting: self.model.waiting(),
            age: Duration::ZERO,
        };
        self.loads.push_back((self.now(), load));
        if self.loads.len() > KEPT {
            self.loads.pop_front();
        }
    }
}
