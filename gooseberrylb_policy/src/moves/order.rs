//! Orders to engines, which load, activate and unload versions.
//!
//! Orders are idempotent, are sent by one leader at a time under a fencing number, and are queried
//! when their answer was lost.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

/// Time to wait for an answer before the engine is queried about the order.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time before an engine that is still working or was unreachable is queried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The identifier of an order. Every leader derives the same identifier for the same order, so
/// engines recognise a repeat.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub Arc<str>);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The operation that an engine has to perform.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Load the weights of a model from the weight store.
    LoadModel(id::Model),
    /// Load the weights of an adapter from the weight store.
    LoadAdapter(id::Adapter),
    /// Run a version whose weights are loaded.
    Activate(id::Version),
    /// Drop a version that takes no traffic any more.
    Unload(id::Version),
}

impl Kind {
    /// Whether the operation reads from the weight store.
    pub fn is_load(&self) -> bool {
        match self {
            Kind::LoadModel(_) | Kind::LoadAdapter(_) => true,
            Kind::Activate(_) | Kind::Unload(_) => false,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::LoadModel(model) => write!(f, "load-model-{model}"),
            Kind::LoadAdapter(adapter) => write!(f, "load-adapter-{adapter}"),
            Kind::Activate(version) => write!(f, "activate-{version}"),
            Kind::Unload(version) => write!(f, "unload-{version}"),
        }
    }
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The identifier of the order.
    pub id: Id,
    /// The engine that receives it.
    pub upstream: id::Upstream,
    /// The operation to perform.
    pub kind: Kind,
}

impl Order {
    /// Creates the order of a note's move for an engine.
    pub fn new(note: number::Note, upstream: id::Upstream, kind: Kind) -> Self {
        Self {
            id: Id(Arc::from(format!("note-{note}.{upstream}.{kind}"))),
            upstream,
            kind,
        }
    }
}

/// The state of an order as reported by the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The operation is complete.
    Done,
    /// The operation is in progress.
    Running,
    /// The engine has never received the order.
    Unknown,
    /// The engine rejected the order, with the reason.
    Refused(Arc<str>),
    /// The engine has received orders with a higher fencing number.
    Fenced(number::Fencing),
}

/// The state of an order as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    /// Requested but not handled yet. A previous leader may have sent it, so the engine is queried
    /// first.
    Planned,
    /// The engine was queried at this time.
    Queried(Instant),
    /// The engine has not received the order, so it has to be sent.
    Unsent,
    /// The order was sent at this time.
    Sent(Instant),
    /// The engine was still working or unreachable at this time, and is queried again after
    /// [`RETRY_INTERVAL`].
    Waiting(Instant),
    /// The engine has completed the order.
    Confirmed,
    /// The engine rejected the order, with the reason.
    Refused(Arc<str>),
}

/// A message to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Query the state of an order.
    Query(Order),
    /// Send the order with the fencing number.
    Send(Order, number::Fencing),
}

/// An event that the tracker handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// An order is needed; repeating the request has no effect.
    Request(Order),
    /// An engine answered a query or the order itself.
    Answer(Id, Answer),
    /// The connection failed before an answer arrived, so the order may have been received.
    Lost(Id),
    /// Leadership ended or its lease lapsed.
    Stop,
    /// Time has passed.
    Tick,
}

/// Tracks the orders of one leader until engines confirm or refuse them.
#[derive(Debug, Clone)]
pub struct Tracker {
    /// The leader's fencing number.
    fencing: number::Fencing,
    /// The time before which nothing is sent.
    not_before: Instant,
    /// Whether this leader may no longer send messages.
    stopped: bool,
    /// The requested orders and their progress.
    orders: BTreeMap<Id, (Order, Progress)>,
}

impl Tracker {
    /// Creates the tracker of a leader, which sends nothing before `not_before`. By then the leases
    /// of all previous leaders have lapsed, which engines that ignore fencing numbers depend on.
    pub fn new(fencing: number::Fencing, not_before: Instant) -> Self {
        Self {
            fencing,
            not_before,
            stopped: false,
            orders: BTreeMap::new(),
        }
    }

    /// Handles an event and returns the messages to send.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Message> {
        match input {
            Input::Request(order) => self.request(order),
            Input::Answer(id, answer) => self.handle_answer(now, &id, answer),
            Input::Lost(id) => self.mark_lost(now, &id),
            Input::Stop => self.stopped = true,
            Input::Tick => {}
        }
        if self.stopped || now < self.not_before {
            return Vec::new();
        }
        self.due_messages(now)
    }

    /// Returns the orders that engines have confirmed.
    pub fn confirmed(&self) -> BTreeSet<Id> {
        self.orders
            .iter()
            .filter(|(_, (_, progress))| *progress == Progress::Confirmed)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the orders that engines refused, with their reasons.
    pub fn refused(&self) -> BTreeMap<Id, Arc<str>> {
        self.orders
            .iter()
            .filter_map(|(id, (_, progress))| match progress {
                Progress::Refused(reason) => Some((id.clone(), Arc::clone(reason))),
                _ => None,
            })
            .collect()
    }

    /// Whether an engine reported a higher fencing number or this leader's lease lapsed.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    fn request(&mut self, order: Order) {
        self.orders
            .entry(order.id.clone())
            .or_insert((order, Progress::Planned));
    }

    fn handle_answer(&mut self, now: Instant, id: &Id, answer: Answer) {
        let Some((_, progress)) = self.orders.get(id) else {
            return;
        };
        let next = match (progress, answer) {
            (Progress::Confirmed, _) => return,
            (_, Answer::Done) => Progress::Confirmed,
            (_, Answer::Running) => Progress::Waiting(now),
            (_, Answer::Refused(reason)) => Progress::Refused(reason),
            (Progress::Queried(_), Answer::Unknown) => Progress::Unsent,
            (_, Answer::Unknown) => return,
            (_, Answer::Fenced(fencing)) => {
                self.stopped |= fencing > self.fencing;
                Progress::Waiting(now)
            }
        };
        self.set_progress(id, next);
    }

    fn mark_lost(&mut self, now: Instant, id: &Id) {
        let Some((_, progress)) = self.orders.get(id) else {
            return;
        };
        if *progress != Progress::Confirmed {
            self.set_progress(id, Progress::Waiting(now));
        }
    }

    fn set_progress(&mut self, id: &Id, next: Progress) {
        if let Some((_, progress)) = self.orders.get_mut(id) {
            *progress = next;
        }
    }

    fn due_messages(&mut self, now: Instant) -> Vec<Message> {
        let mut messages = Vec::new();
        for (order, progress) in self.orders.values_mut() {
            if let Some(message) = advance(now, self.fencing, order, progress) {
                messages.push(message);
            }
        }
        messages
    }
}

fn advance(
    now: Instant,
    fencing: number::Fencing,
    order: &Order,
    progress: &mut Progress,
) -> Option<Message> {
    let since = |at: &Instant| now.saturating_duration_since(*at);
    match progress {
        Progress::Unsent => {
            *progress = Progress::Sent(now);
            Some(Message::Send(order.clone(), fencing))
        }
        Progress::Queried(at) | Progress::Sent(at) if since(at) < ANSWER_TIMEOUT => None,
        Progress::Waiting(at) if since(at) < RETRY_INTERVAL => None,
        Progress::Confirmed | Progress::Refused(_) => None,
        Progress::Planned | Progress::Queried(_) | Progress::Sent(_) | Progress::Waiting(_) => {
            *progress = Progress::Queried(now);
            Some(Message::Query(order.clone()))
        }
    }
}
