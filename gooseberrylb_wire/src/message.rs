//! The payloads of the calls that are not a pure machine's own types.

use std::net::SocketAddr;
use std::time::Duration;

use gooseberrylb_config::directory;
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use gooseberrylb_policy::moves::Move;
use gooseberrylb_policy::request;
use gooseberrylb_policy::scheduler;
use serde::{Deserialize, Serialize};

/// What an instance says of itself while it follows the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its name.
    pub name: id::Instance,
    /// Its start, as milliseconds since 1970.
    pub incarnation: u64,
    /// Its addresses and place.
    pub instance: directory::Instance,
    /// The data folder that it votes or could vote with.
    pub folder: Option<u64>,
    /// The revision of the configuration that it routes by.
    pub revision: number::Revision,
    /// The term of the leader that it followed last.
    pub term: number::Term,
    /// The stamp of the moves that it knows.
    pub moves: u64,
    /// The cluster that it belongs to, once it has heard of one.
    pub cluster: Option<u64>,
    /// The requests that it holds for callers.
    pub load: u32,
    /// The views that it holds all claims of, as scheduler or backup.
    pub holds: Vec<Holding>,
    /// What the instances that follow through this one said.
    pub children: Vec<Report>,
}

/// A cell's claims, as far as one instance holds them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The cell.
    pub cell: directory::Cell,
    /// The last view in which it held all claims.
    pub view: number::View,
}

/// What a follower is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Ask this instance instead.
    Ask {
        /// Its name and where it listens, as the teller knows; without one, try any. The asker may know
        /// a way of its own to it.
        instance: Option<(id::Instance, SocketAddr)>,
    },
    /// The configuration is fresh for a while.
    Fresh {
        /// The cluster.
        cluster: u64,
        /// The leader.
        leader: id::Instance,
        /// Its term.
        term: number::Term,
        /// How long the configuration may be acted on, from when the report was sent.
        lease: Duration,
        /// What the follower lacks.
        news: CatchUp,
        /// The moves between versions that are watched, where the follower knows others.
        moves: Option<Vec<Move>>,
        /// The instances' loads, for sending callers to the least loaded.
        loads: Vec<(id::Instance, u32)>,
    },
}

/// What a follower lacks of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUp {
    /// Nothing.
    None,
    /// These changes, one after the other.
    Changes(Vec<directory::Delta>),
    /// All of it.
    Whole(Box<directory::Directory>),
}

/// A request for leave to dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The cell that the request belongs to.
    pub cell: directory::Cell,
    /// The view that the entry believes in.
    pub view: number::View,
    /// The request.
    pub request: request::Request,
}

/// What an entry tells a scheduler without needing a decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The cell.
    pub cell: directory::Cell,
    /// The view that the entry believes in.
    pub view: number::View,
    /// What is told, in order.
    pub events: Vec<Event>,
}

/// The kinds of notice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request is given up undispatched.
    Withdraw(request::Id),
    /// A dispatched request ended.
    End(scheduler::End),
    /// What the entry has dispatched, told to a new scheduler.
    Resume {
        /// The entry.
        entry: id::Instance,
        /// The requests.
        running: Vec<scheduler::Running>,
    },
}

/// Whether a notice was taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Receipt {
    /// It was.
    Taken,
    /// The receiver does not schedule the cell in that view.
    NotScheduler,
}

/// Claims for a backup.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The cell.
    pub cell: directory::Cell,
    /// The view that the scheduler grants in.
    pub view: number::View,
    /// Whether the only part holds all records that there are, rather than changes.
    pub whole: bool,
    /// The records, in the order of their numbers.
    pub parts: Vec<Part>,
}

/// The records of one sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The number, which grows by one in a view.
    pub sequence: u64,
    /// The records.
    pub records: Vec<scheduler::Record>,
}

/// A backup's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Held {
    /// It holds everything up to this number.
    UpTo(u64),
    /// It has missed records and needs all of them.
    Missing,
    /// It has moved to a later view.
    Later(number::View),
    /// It is no backup of the cell, as far as it knows yet.
    NotBackup,
}
