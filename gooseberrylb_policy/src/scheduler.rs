//! Scheduling of one service in one region: grants upstreams to waiting requests.
//!
//! [`Scheduler`] tracks every waiting request and every slot of its service, so tier order, fair
//! shares and slots in use are exact without waiting for load reports. [`Backup`] holds a replica
//! of its claims on another instance. `docs/DESIGN.md` explains why a key is never granted twice.
//!
//! The scheduler relies on the following behaviour of entries, the instances that hold the callers'
//! connections:
//!
//! - An entry dispatches a request at most once per [`Input::Enqueue`] it sends, and enqueues it
//!   again under the same id only while it is not dispatched or after the dispatch is proved not to
//!   have run.
//!
//! - It withdraws a request that it abandons while waiting, that is granted after it abandoned it,
//!   or that is refused after being enqueued more than once. Only the withdrawal tells the
//!   scheduler that an earlier grant, which may have crossed the message, was not used.
//!
//! - It retries a request on another upstream under the same id, since a new id with the same key
//!   would be told to join the dispatch whose end is still in transit.
//!
//! - After a view change it first reports its running requests to the new scheduler, then enqueues
//!   its waiting requests again.

use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::directory::{Directory, Share};
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

mod backup;
mod call;
mod claim;
mod copy;
mod enqueue;
mod finish;
mod fleet;
mod group;
mod limits;
mod machine;
mod prefix;
mod queue;
mod rate;
mod shed;
mod stats;
mod takeover;
mod upstream;
mod versions;

pub use backup::{Acknowledgement, Backup, CopyError};
pub use limits::Limits;
pub use machine::Scheduler;
pub use queue::Sum;
pub use stats::{Counters, Stats};

use crate::request::{Answer, Figures, Id, Key, Outcome, Request};

/// The identity of a grant: its view and its number within that view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The view that made the grant.
    pub view: number::View,
    /// The number of the grant within its view.
    pub number: u64,
}

/// A permission to dispatch a request once, to one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The identity of this grant.
    pub ticket: Ticket,
    /// The upstream to dispatch to.
    pub upstream: id::Upstream,
    /// The version that the upstream runs.
    pub version: id::Version,
}

/// The reason why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue is full of requests of the same or a higher tier.
    Shed,
    /// The request cannot finish by its deadline.
    TooLate,
    /// No upstream of the service takes traffic.
    NoUpstream,
    /// This instance does not schedule the service now, or cannot tell a new key from a resent one
    /// because claims were lost.
    NotScheduler,
    /// The claim cannot be recorded: the backups do not acknowledge claims, or the claim table is
    /// full.
    NoBackup,
}

/// The scheduler's answer to an enqueued request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may be dispatched.
    Grant(Grant),
    /// The request is refused and was not run.
    Refuse {
        /// The reason for the refusal.
        reason: Refusal,
        /// The time after which the caller may try again.
        retry_after: Duration,
    },
    /// A request with the same key is running; its stream can be joined at the upstream.
    Join {
        /// The grant of the running request.
        grant: Grant,
        /// The id of the running request, which identifies the stream.
        id: Id,
    },
    /// A request with the same key has already ended.
    Ended {
        /// The outcome of that request.
        outcome: Outcome,
        /// The version that served it, if known.
        version: Option<id::Version>,
        /// The upstream that served it, if known.
        upstream: Option<id::Upstream>,
        /// The response, if it was small enough to be stored.
        answer: Option<Answer>,
    },
}

/// The end of a dispatched request, as seen by its entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub id: Id,
    /// The ticket of the grant under which it was dispatched.
    pub ticket: Ticket,
    /// The outcome reported to the caller.
    pub outcome: Outcome,
    /// Whether the upstream is at fault: it failed, broke off the response or timed out.
    pub failed: bool,
    /// Whether the caller disconnected, in which case the figures do not describe the upstream.
    pub cancelled: bool,
    /// The measurements taken by the entry.
    pub figures: Figures,
    /// The response, if it is small enough to be stored for a resent key.
    pub answer: Option<Answer>,
}

/// A request that was dispatched under an earlier scheduler, reported to a new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub request: Request,
    /// The grant under which it was dispatched.
    pub grant: Grant,
}

/// The state of an idempotency key, whose request must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The key is granted; its request may have been dispatched.
    Granted {
        /// The request that holds the key.
        id: Id,
        /// The grant of that request.
        grant: Grant,
    },
    /// The request did not run, or may be run again, so the key is free.
    Released,
    /// The request ended.
    Ended {
        /// The outcome of the request.
        outcome: Outcome,
        /// The version that served it, if known.
        version: Option<id::Version>,
        /// The upstream that served it, if known.
        upstream: Option<id::Upstream>,
        /// The response, if it was stored.
        answer: Option<Answer>,
    },
}

/// A change to one claim, which every backup must hold before it takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key that changed.
    pub key: Key,
    /// The new claim on the key.
    pub claim: Claim,
}

/// A load report from an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests that the engine is running.
    pub running: u32,
    /// The number of requests that the engine has admitted but not started.
    pub waiting: u32,
    /// The age of the report.
    pub age: Duration,
}

/// A change to an engine's prefix cache; events may arrive late or be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// The engine has cached the block.
    Stored(u64),
    /// The engine has evicted the block.
    Evicted(u64),
    /// Events were missed, so the known contents of the cache are invalid.
    Gap,
}

/// An event fed into a scheduler.
#[derive(Debug, Clone)]
pub enum Input {
    /// An entry asks to dispatch a request. Enqueuing the same id again is harmless and tells the
    /// scheduler that the request is not dispatched.
    Enqueue(Request),
    /// An entry abandons a request that it has not dispatched and will not dispatch, even if
    /// granted.
    Withdraw(Id),
    /// A dispatched request ended.
    End(End),
    /// An entry reports its running requests after this scheduler took over.
    Resume {
        /// The reporting entry.
        entry: id::Instance,
        /// The requests that the entry has dispatched and that have not ended.
        running: Vec<Running>,
    },
    /// An instance is known to have died; its requests no longer wait, and their ends will not be
    /// reported.
    Died(id::Instance),
    /// The configuration changed.
    Directory(Arc<Directory>),
    /// Limits the share of a version that performs badly, until the control state assigns it
    /// another share. A share can only be lowered this way.
    LowerShare(id::Version, Share),
    /// Limits the number of requests running at once on a version that has little evidence yet;
    /// `None` lifts the limit.
    Quota(id::Version, Option<u32>),
    /// An engine reported its load.
    Load(id::Upstream, Load),
    /// An engine's prefix cache changed.
    Cache(id::Upstream, Vec<CacheChange>),
    /// Every backup of the view holds all records up to this sequence number.
    Acknowledged(u64),
    /// Time has passed; waiting requests are checked against their deadlines.
    Tick,
}

/// An action requested by a scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the decision to the request's entry.
    Decide(Id, Decision),
    /// Copy the records to every backup, then feed [`Input::Acknowledged`] with the sequence
    /// number.
    Copy {
        /// The sequence number of the batch; numbers are consecutive.
        sequence: u64,
        /// The claim records of the batch.
        records: Vec<Record>,
    },
}
