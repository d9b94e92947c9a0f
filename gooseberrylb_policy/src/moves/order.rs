//! Orders to engines: written so that a repeat does no harm, sent by one leader at a time, and
//! asked about when their answer was lost.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

/// How long an answer is awaited before the engine is asked about the order.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long to wait before an engine is asked again that works on an order or was not reached.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Names an order: the same wish has the same name at every leader, so that a repeat is known.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub Arc<str>);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What an engine is to do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Load a model's weights from the weight store.
    LoadModel(id::Model),
    /// Load an adapter's weights from the weight store.
    LoadAdapter(id::Adapter),
    /// Run a version, whose weights are loaded.
    Activate(id::Version),
    /// Drop a version that takes no traffic any more.
    Unload(id::Version),
}

impl Kind {
    /// Whether it draws on the weight store.
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

/// One order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Its name.
    pub id: Id,
    /// The engine.
    pub upstream: id::Upstream,
    /// What it is to do.
    pub kind: Kind,
}

impl Order {
    /// Makes the order that a note's move has for an engine.
    pub fn new(note: number::Note, upstream: id::Upstream, kind: Kind) -> Self {
        Self {
            id: Id(Arc::from(format!("note-{note}.{upstream}.{kind}"))),
            upstream,
            kind,
        }
    }
}

/// What an engine says of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It is done.
    Done,
    /// It is being worked on.
    Running,
    /// The engine has never seen it.
    Unknown,
    /// The engine refuses it.
    Refused(Arc<str>),
    /// The engine has had orders with a higher fencing number.
    Fenced(number::Fencing),
}

/// How far an order has come.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    /// It is wanted; a leader before may have sent it, so the engine is asked first.
    Planned,
    /// The engine was asked about it.
    Queried(Instant),
    /// The engine has not seen it, so it is to be sent.
    Unsent,
    /// It was sent.
    Sent(Instant),
    /// The engine works on it, or was not reached; it is asked again after a while.
    Waiting(Instant),
    /// The engine did it.
    Confirmed,
    /// The engine refused it.
    Refused(Arc<str>),
}

/// What is to be done about an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Ask the engine what became of it.
    Query(Order),
    /// Send it with the fencing number.
    Send(Order, number::Fencing),
}

/// What happens to the book of orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// An order is wanted; wanting it again is harmless.
    Request(Order),
    /// An engine answered, to a question or to the order itself.
    Answer(Id, Answer),
    /// The connection failed before an answer came, so that the order may have arrived.
    Lost(Id),
    /// Leadership ended, or its lease lapsed.
    Stop,
    /// Time has passed.
    Tick,
}

/// One leader's orders.
#[derive(Debug, Clone)]
pub struct Tracker {
    fencing: number::Fencing,
    not_before: Instant,
    stopped: bool,
    orders: BTreeMap<Id, (Order, Progress)>,
}

impl Tracker {
    /// Opens the book of a leader, which orders nothing before `orders_from`: by then the lease of
    /// every leader before it has lapsed, which engines that ignore fencing rely on.
    pub fn new(fencing: number::Fencing, not_before: Instant) -> Self {
        Self {
            fencing,
            not_before,
            stopped: false,
            orders: BTreeMap::new(),
        }
    }

    /// Takes in what happened and says what is to be sent.
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

    /// The orders that engines have confirmed.
    pub fn confirmed(&self) -> BTreeSet<Id> {
        self.orders
            .iter()
            .filter(|(_, (_, progress))| *progress == Progress::Confirmed)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// The orders that engines refused, with their reasons.
    pub fn refused(&self) -> BTreeMap<Id, Arc<str>> {
        self.orders
            .iter()
            .filter_map(|(id, (_, progress))| match progress {
                Progress::Refused(reason) => Some((id.clone(), Arc::clone(reason))),
                _ => None,
            })
            .collect()
    }

    /// Whether a leader with a higher fencing number was met or this one's lease lapsed.
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
