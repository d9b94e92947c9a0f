//! Payloads of Cap'n Proto calls that are not types of `gooseberrylb_control` or
//! `gooseberrylb_policy`.

use std::net::SocketAddr;
use std::time::Duration;

use gooseberrylb_config::directory;
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use gooseberrylb_policy::moves::Move;
use gooseberrylb_policy::request;
use gooseberrylb_policy::scheduler;
use serde::{Deserialize, Serialize};

/// Report of an instance to the leader or a relay that it follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the instance.
    pub name: id::Instance,
    /// Time at which the instance started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Addresses and location of the instance.
    pub instance: directory::Instance,
    /// Data folder with which the instance votes or could vote, if any.
    pub folder: Option<u64>,
    /// Revision of the configuration that the instance uses.
    pub revision: number::Revision,
    /// Term of the last leader that the instance followed.
    pub term: number::Term,
    /// Hash of the moves that the instance knows.
    pub moves: u64,
    /// Cluster that the instance belongs to, once it is known.
    pub cluster: Option<u64>,
    /// Number of requests that the instance holds for callers.
    pub load: u32,
    /// Cells of which the instance holds all claims, as scheduler or backup.
    pub holds: Vec<Holding>,
    /// Reports of the instances that follow through this one.
    pub children: Vec<Report>,
}

/// View of a cell in which an instance holds all claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Cell whose claims are held.
    pub cell: directory::Cell,
    /// Last view in which the instance held all claims.
    pub view: number::View,
}

/// Answer to a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The follower should report to another instance.
    Ask {
        /// Name of that instance and its address as known to the sender; `None` to try any
        /// instance. The follower may know another address of it, which it prefers.
        instance: Option<(id::Instance, SocketAddr)>,
    },
    /// The follower may act on the configuration until the lease ends.
    Fresh {
        /// Cluster of the sender.
        cluster: u64,
        /// Name of the leader.
        leader: id::Instance,
        /// Term of the leader.
        term: number::Term,
        /// Time for which the configuration may be acted on, counted from when the report was sent.
        lease: Duration,
        /// Configuration that the follower lacks.
        news: CatchUp,
        /// Moves between versions under way, if the follower knows others.
        moves: Option<Vec<Move>>,
        /// Load of each instance that has any, for directing callers to the least loaded ones.
        loads: Vec<(id::Instance, u32)>,
    },
}

/// Part of the configuration that a follower lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUp {
    /// Nothing; the follower has the latest revision.
    None,
    /// Changes to apply in this order.
    Changes(Vec<directory::Delta>),
    /// The whole configuration.
    Whole(Box<directory::Directory>),
}

/// Request of an entry to a scheduler for permission to dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Cell that the request belongs to.
    pub cell: directory::Cell,
    /// View that the entry considers current.
    pub view: number::View,
    /// Request to dispatch.
    pub request: request::Request,
}

/// Events that an entry reports to a scheduler and that need no decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Cell that the events belong to.
    pub cell: directory::Cell,
    /// View that the entry considers current.
    pub view: number::View,
    /// Events in the order in which they happened.
    pub events: Vec<Event>,
}

/// Event at an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request is withdrawn before its dispatch.
    Withdraw(request::Id),
    /// A dispatched request ended.
    End(scheduler::End),
    /// Reports the running requests of an entry to a new scheduler.
    Resume {
        /// Name of the entry.
        entry: id::Instance,
        /// Requests that the entry has dispatched and that have not ended.
        running: Vec<scheduler::Running>,
    },
}

/// Answer of a scheduler to a [`Notice`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Receipt {
    /// The events were applied.
    Taken,
    /// The receiver does not schedule the cell in that view.
    NotScheduler,
}

/// Records of claims that a scheduler sends to a backup.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Cell that the claims belong to.
    pub cell: directory::Cell,
    /// View in which the scheduler grants.
    pub view: number::View,
    /// Whether the batch consists of one part with all records, rather than of changes.
    pub whole: bool,
    /// Parts in the order of their sequence numbers.
    pub parts: Vec<Part>,
}

/// Records of one sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Sequence number, which increases by one with each part of a view.
    pub sequence: u64,
    /// Records of claims that changed, or of all claims.
    pub records: Vec<scheduler::Record>,
}

/// Answer of a backup to a [`Batch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Held {
    /// The backup holds all records up to this sequence number.
    UpTo(u64),
    /// The backup has missed records and has to be sent all of them.
    Missing,
    /// The backup is in this later view.
    Later(number::View),
    /// The instance is no backup of the cell according to its current configuration.
    NotBackup,
}
