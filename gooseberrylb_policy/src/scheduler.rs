//! Grants upstreams to requests of one service in one region.
//!
//! [`Scheduler`] holds every waiting request and every slot of its service, so that tier order,
//! fair shares and slots in use are exact and no load report has to be waited for. [`Backup`]
//! holds a copy of its claims on another instance. `docs/DESIGN.md` has the argument why a key
//! is never granted twice.
//!
//! It rests on what entries do. An entry dispatches a request once for each time that it asked for
//! leave, and asks again under the same id only while the request is not dispatched or after it is
//! proved not to have run. It withdraws a request that it gives up while it waits, that is granted
//! after it gave up, or that is refused after it was asked for more than once: only this tells the
//! scheduler that an earlier grant, which may have crossed the message, was not used. It tries a
//! request elsewhere under the same id, since another id with the same key would be told to join the
//! dispatch whose end is still on its way. To a new view's scheduler it first tells all that it runs,
//! then asks again for all that waits.

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

/// Numbers a grant within the view that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The view.
    pub view: number::View,
    /// The grant's number in it.
    pub number: u64,
}

/// Leave to dispatch a request, once, to one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The grant's number.
    pub ticket: Ticket,
    /// The upstream.
    pub upstream: id::Upstream,
    /// The version that the upstream runs.
    pub version: id::Version,
}

/// Why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue is full of work that is as important or more.
    Shed,
    /// It could not be finished by its deadline.
    TooLate,
    /// No upstream takes the route's traffic.
    NoUpstream,
    /// This instance schedules the service no longer, or not yet.
    NotScheduler,
    /// The claims cannot be copied to the backups, so nothing that must run once may start.
    NoBackup,
}

/// The answer to an entry's request for leave to dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Dispatch it.
    Grant(Grant),
    /// It is refused, and was not run.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// The same key runs already: its stream can be joined at the upstream.
    Join {
        /// The grant that it runs under.
        grant: Grant,
        /// The request that it runs as, which names the stream.
        id: Id,
    },
    /// The same key has ended already.
    Ended {
        /// How.
        outcome: Outcome,
        /// The version that served it.
        version: Option<id::Version>,
        /// The upstream that served it.
        upstream: Option<id::Upstream>,
        /// The answer, where it was small enough to be kept.
        answer: Option<Answer>,
    },
}

/// How a dispatched request ended, as its entry saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub id: Id,
    /// The grant that it was dispatched under.
    pub ticket: Ticket,
    /// What its caller was told.
    pub outcome: Outcome,
    /// Whether the upstream is to blame: it failed, broke off or stayed silent.
    pub failed: bool,
    /// Whether the caller hung up, so that the figures say nothing of the upstream.
    pub cancelled: bool,
    /// What was measured.
    pub figures: Figures,
    /// The answer, where it is small enough to be kept for a resent key.
    pub answer: Option<Answer>,
}

/// A request that its entry dispatched earlier, told to a new scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub request: Request,
    /// The grant that it was dispatched under.
    pub grant: Grant,
}

/// What is known of a key that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// A grant was made; the request may have been dispatched.
    Granted {
        /// The request.
        id: Id,
        /// The grant.
        grant: Grant,
    },
    /// The request was handed back undispatched, so the key is free.
    Released,
    /// The request ended.
    Ended {
        /// How.
        outcome: Outcome,
        /// The version that served it.
        version: Option<id::Version>,
        /// The upstream that served it.
        upstream: Option<id::Upstream>,
        /// The answer, where it was kept.
        answer: Option<Answer>,
    },
}

/// A change of claims, to be held by every backup before it takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// What is now known of it.
    pub claim: Claim,
}

/// What an engine says of itself, some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests that it runs.
    pub running: u32,
    /// The requests that it has admitted and not started.
    pub waiting: u32,
    /// How old the report is.
    pub age: Duration,
}

/// A change of an engine's prefix cache, which may come late or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// The engine holds the block.
    Stored(u64),
    /// The engine dropped the block.
    Evicted(u64),
    /// Events were missed: nothing that is known of the engine's cache is sure.
    Gap,
}

/// What happens to a scheduler.
#[derive(Debug, Clone)]
pub enum Input {
    /// An entry asks for leave to dispatch a request; asking again with the same id is harmless and
    /// says that the request is not dispatched.
    Enqueue(Request),
    /// An entry gives up a request that it has not dispatched and will not, granted or not.
    Withdraw(Id),
    /// A dispatched request ended.
    End(End),
    /// An entry tells what it runs and waits with, after this scheduler took over.
    Resume {
        /// The entry.
        entry: id::Instance,
        /// What it has dispatched.
        running: Vec<Running>,
    },
    /// An instance is known to have died: its requests neither wait nor end any more.
    Died(id::Instance),
    /// The configuration changed.
    Directory(Arc<Directory>),
    /// A version looks bad: it takes no more than this share until the control state gives it
    /// another one. It only ever lowers.
    LowerShare(id::Version, Share),
    /// No more than so many requests may run at once on a version of which little is known; any
    /// number may where none is given.
    Quota(id::Version, Option<u32>),
    /// An engine reported its load.
    Load(id::Upstream, Load),
    /// An engine's prefix cache changed.
    Cache(id::Upstream, Vec<CacheChange>),
    /// Every backup of the view holds all records up to this sequence number.
    Acknowledged(u64),
    /// Time has passed.
    Tick,
}

/// What a scheduler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Tell the entry of a request what to do with it.
    Decide(Id, Decision),
    /// Have every backup hold the records, then feed [`Input::Acknowledged`] with the sequence number.
    Copy {
        /// The number of this batch; numbers grow by one.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
}
