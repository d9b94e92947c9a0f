//! State of an engine stand-in: the simulated engine, the output streams, the load reports and
//! cache events to publish, and the logs of requests and orders.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use gooseberrylb_config::clock::Clock;

use super::order::{Decision, Order};
use super::{Faults, Settings};
use crate::engine::Model;
use crate::engine::cache::{Change, count_tokens, fingerprints};
use crate::engine::model::{Action, Event, Job};
use crate::engine::text::Text;
use crate::standin::execution::{Execution, digest, unix_ms};

/// Maximum number of load reports, and of cache events, retained for delayed publication.
const MAX_RETAINED_REPORTS: usize = 10_000;

/// Completion request to the engine.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Id of the request.
    pub request_id: Arc<str>,
    /// Prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub max_tokens: u64,
    /// Route, if the request names it.
    pub route: Option<String>,
    /// Idempotency key, if the request has one.
    pub key: Option<String>,
}

/// Result of the admission of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request was admitted.
    Admitted,
    /// A request with that id arrived before.
    Duplicate,
    /// The request failed by a set fault.
    Failed,
}

/// Status of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStatus {
    /// More tokens will be generated.
    Open,
    /// All tokens are generated.
    Done,
    /// The request was cancelled, or failed by a set fault.
    Cancelled,
}

/// Output stream of one request, retained so that a caller can resume it.
#[derive(Debug)]
pub struct Stream {
    /// Text of the response.
    pub text: Text,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Number of tokens generated so far.
    pub generated: u64,
    /// Whether more tokens will be generated.
    pub status: StreamStatus,
    /// Index of the request in the log of executions.
    execution: usize,
    /// Senders that are dropped to wake the waiting readers.
    waiters: Vec<Sender<()>>,
}

impl Stream {
    /// Returns a receiver that is closed when the stream has more tokens or has ended.
    pub fn watch(&mut self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.push(sender);
        receiver
    }

    fn notify(&mut self) {
        self.waiters.clear();
    }
}

/// Load report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Number of running requests.
    pub running: usize,
    /// Number of requests waiting for a slot.
    pub waiting: usize,
    /// Age of the report.
    pub age: Duration,
}

/// Cache event to publish.
#[derive(Debug, Clone, Copy)]
pub struct CacheEvent {
    /// Sequence number. A gap in the numbers means that an event was lost.
    pub number: u64,
    /// Change.
    pub change: Change,
    /// Time of the change since the engine's start.
    at: Duration,
}

/// State of an engine stand-in. Times are since the engine's start.
pub struct State {
    clock: Arc<dyn Clock>,
    origin: Instant,
    model: Model,
    faults: Faults,
    /// Time when the faults were last set.
    faults_set_at: Duration,
    streams: HashMap<Arc<str>, Stream>,
    executions: Vec<Execution>,
    /// Load reports with their times, oldest first.
    loads: VecDeque<(Duration, Load)>,
    /// Cache events, oldest first.
    events: VecDeque<CacheEvent>,
    /// Number of the last cache event, including dropped ones.
    event_number: u64,
    checks_fencing: bool,
    accepted_orders: Vec<Order>,
    received_orders: Vec<Order>,
}

impl State {
    /// Returns the state of an engine that starts now.
    pub fn new(clock: Arc<dyn Clock>, settings: &Settings) -> Self {
        Self {
            origin: clock.now(),
            clock,
            model: Model::new(settings.profile),
            faults: settings.faults.clone(),
            faults_set_at: Duration::ZERO,
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

    /// Returns the log of requests, in the order of arrival.
    pub fn executions(&self) -> &[Execution] {
        &self.executions
    }

    /// Returns the accepted orders, in the order of arrival.
    pub fn accepted_orders(&self) -> &[Order] {
        &self.accepted_orders
    }

    /// Returns all received orders including refused and repeated ones, in the order of arrival.
    pub fn received_orders(&self) -> &[Order] {
        &self.received_orders
    }

    /// Returns the prompt tokens prefilled so far, without cached ones.
    pub fn prefilled(&self) -> u64 {
        self.model.prefilled()
    }

    /// Returns the current faults.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the stream of a request, if the request is known.
    pub fn stream(&mut self, id: &str) -> Option<&mut Stream> {
        self.streams.get_mut(id)
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
        self.faults_set_at = self.now();
    }

    /// Advances the model to the present. Returns the time until the current step ends, or `None`
    /// if the engine is idle.
    pub fn advance(&mut self) -> Option<Duration> {
        let now = self.now();
        self.model.set_slow_factor(self.slow_factor(now));
        let events = self.model.advance(now);
        self.record(events);
        self.model
            .next_step_end()
            .map(|end| end.saturating_sub(now))
    }

    /// Admits a request, unless its id is known or a fault makes it fail.
    pub fn admit(&mut self, completion: Completion) -> Admission {
        self.advance();
        if self.streams.contains_key(&completion.request_id) {
            return Admission::Duplicate;
        }
        let failed = self.should_fail(&completion);
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
            generated: 0,
            status: if failed {
                StreamStatus::Cancelled
            } else {
                StreamStatus::Open
            },
            execution: self.executions.len() - 1,
            waiters: Vec::new(),
        };
        self.streams.insert(completion.request_id.clone(), stream);
        if failed {
            return Admission::Failed;
        }
        let job = Job {
            id: completion.request_id,
            prompt: prompt_tokens,
            prefix: fingerprints(&completion.prompt),
            output: completion.max_tokens,
        };
        let events = self.model.admit(self.now(), job);
        self.record(events);
        Admission::Admitted
    }

    /// Cancels a request if it has not ended. Returns whether the request is known.
    pub fn cancel(&mut self, id: &str) -> bool {
        self.advance();
        let Some(stream) = self.streams.get_mut(id) else {
            return false;
        };
        if self.model.cancel(id).is_some() {
            stream.status = StreamStatus::Cancelled;
            stream.notify();
            self.executions[stream.execution].cancelled = true;
        }
        self.record_load();
        true
    }

    /// Returns the latest load report that is old enough to be published.
    pub fn load(&mut self) -> Load {
        let now = self.now();
        let cutoff = now.saturating_sub(Duration::from_millis(self.faults.load_lag_ms));
        let newest = self.loads.iter().rev().find(|(at, _)| *at <= cutoff);
        let load = newest.map(|(_, load)| *load).unwrap_or_default();
        Load {
            age: now - cutoff,
            ..load
        }
    }

    /// Returns the published cache events after number `after`.
    pub fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(self.faults.event_lag_ms);
        let cutoff = self.now().saturating_sub(lag);
        self.events
            .iter()
            .filter(|event| event.number > after && event.at <= cutoff)
            .copied()
            .collect()
    }

    /// Whether a block is in the prefix cache.
    pub fn holds(&self, block: u64) -> bool {
        self.model.cache().hits(&[block]) == 1
    }

    /// Adds blocks exported by another engine to the prefix cache.
    pub fn import(&mut self, blocks: &[u64]) {
        let now = self.now();
        let events = self.model.import(now, blocks);
        self.record(events);
    }

    /// Accepts an order, unless it is known, or its fencing number is outdated and this engine
    /// checks fencing.
    pub fn order(&mut self, order: Order) -> Decision {
        self.received_orders.push(order.clone());
        if let Some(known) = self
            .accepted_orders
            .iter()
            .find(|o| o.order_id == order.order_id)
        {
            return Decision::Known(known.clone());
        }
        let highest = self.accepted_orders.iter().map(|o| o.fencing).max();
        match highest {
            Some(highest) if self.checks_fencing && order.fencing < highest => {
                Decision::Outdated(highest)
            }
            _ => {
                self.accepted_orders.push(order.clone());
                Decision::Accepted(order)
            }
        }
    }

    /// Returns an accepted order for modification.
    pub fn find_order(&mut self, order_id: &str) -> Option<&mut Order> {
        self.accepted_orders
            .iter_mut()
            .find(|o| o.order_id == order_id)
    }

    fn now(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.origin)
    }

    /// Whether the delay after which faults take effect has passed.
    fn faults_active(&self, now: Duration) -> bool {
        now >= self.faults_set_at + Duration::from_millis(self.faults.after_ms)
    }

    fn slow_factor(&self, now: Duration) -> f64 {
        if self.faults_active(now) {
            self.faults.slow_factor
        } else {
            1.0
        }
    }

    /// Whether the set faults make a request fail. The choice depends only on its id, so that tests
    /// are reproducible.
    fn should_fail(&self, completion: &Completion) -> bool {
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
        let draw = Text::new(&completion.request_id, "failure").unit_random();
        rate.is_some_and(|rate| draw < *rate)
    }

    /// Records events of the model in the streams, logs and cache events.
    fn record(&mut self, events: Vec<Event>) {
        for event in events {
            match event.action {
                Action::Started { id, cached } => self.record_start(&id, cached),
                Action::Token { id, n } => self.record_token(&id, n),
                Action::Done { id } => self.record_done(&id),
                Action::Cache(change) => self.publish(event.at, change),
            }
        }
        self.record_load();
    }

    fn record_start(&mut self, id: &str, cached: u64) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.cached_tokens = cached;
            self.executions[stream.execution].cached_tokens = cached;
        }
    }

    fn record_token(&mut self, id: &str, n: u64) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.generated = n + 1;
            stream.notify();
            self.executions[stream.execution].output_tokens = n + 1;
        }
    }

    fn record_done(&mut self, id: &str) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.status = StreamStatus::Done;
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
        self.events.push_back(CacheEvent { number, change, at });
        if self.events.len() > MAX_RETAINED_REPORTS {
            self.events.pop_front();
        }
    }

    fn record_load(&mut self) {
        let load = Load {
            running: self.model.running(),
            waiting: self.model.waiting(),
            age: Duration::ZERO,
        };
        self.loads.push_back((self.now(), load));
        if self.loads.len() > MAX_RETAINED_REPORTS {
            self.loads.pop_front();
        }
    }
}
