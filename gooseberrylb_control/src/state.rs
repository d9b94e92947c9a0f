//! What the entries of the log add up to.

use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::directory;
use gooseberrylb_config::finding::Findings;
use gooseberrylb_config::id;
use gooseberrylb_config::note;
use gooseberrylb_config::number;
use gooseberrylb_policy::moves;
use gooseberrylb_policy::request::Outcome;
use serde::{Deserialize, Serialize};

/// One command, as an entry of the log carries it (in JSON, so that a later release can read it).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// An operator submits a release note.
    Submit {
        /// The note.
        note: Box<note::Note>,
        /// The instance that it was submitted at.
        via: id::Instance,
        /// When the leader received it.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// An instance starts, or its addresses change.
    Join {
        /// Its name.
        name: id::Instance,
        /// What is known of it.
        instance: directory::Instance,
        /// Its start, as milliseconds since 1970.
        incarnation: u64,
        /// When the leader heard of it.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// An instance leaves or died.
    Leave {
        /// Its name.
        name: id::Instance,
        /// The incarnation that leaves; a later one is not affected.
        incarnation: u64,
        /// Whether it still serves what it has in flight.
        draining: bool,
        /// Why.
        cause: Arc<str>,
        /// When the leader decided.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// A service's scheduler or backups change; applied only if the number is the next one.
    View {
        /// The service and region.
        cell: directory::Cell,
        /// The view.
        view: directory::View,
        /// Why.
        cause: Arc<str>,
        /// When the leader decided.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// A move takes a step; applied only if its number is the next one.
    Step(moves::Step),
    /// The leader changed.
    Lead {
        /// The leader.
        leader: id::Instance,
        /// Its term, which is also the fencing number of its orders to engines.
        term: number::Term,
        /// When it was elected.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// An entry's counts of outcomes; merged once by incarnation and number.
    Tally(Tally),
}

/// What a tally counts apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Label {
    /// The client account.
    pub account: id::Account,
    /// The tier.
    pub tier: number::Tier,
    /// The service.
    pub service: id::Service,
    /// The version that served it, where one did.
    pub version: Option<id::Version>,
    /// What became of the requests.
    pub outcome: Outcome,
    /// Whether they were refused by the system, rather than not run for another cause.
    pub refused: bool,
}

/// The counts of one row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests.
    pub requests: u64,
    /// Tokens read for them, without those that were cached.
    pub prompt_tokens: u64,
    /// Tokens written for them.
    pub output_tokens: u64,
    /// Tokens read for nothing, since no whole answer came of it.
    pub wasted_tokens: u64,
}

/// An entry's numbered report of what it counted in a window of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The entry.
    pub instance: id::Instance,
    /// Its start, as milliseconds since 1970.
    pub incarnation: u64,
    /// The tally's number in that incarnation; the first is 1.
    pub number: u64,
    /// Where the window begins: the end of the one before, or the start.
    #[serde(with = "note::time")]
    pub from: SystemTime,
    /// Where it ends.
    #[serde(with = "note::time")]
    pub to: SystemTime,
    /// Whether the entry stops in good order, so that nothing is missing behind it.
    pub last: bool,
    /// The counts.
    pub rows: Vec<(Label, Counts)>,
}

/// What applying a command came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The note is accepted, now or earlier with the same content.
    Accepted(Acceptance),
    /// The number is taken by a note with other content.
    Conflict(Acceptance),
    /// The note cannot be accepted.
    Invalid(Findings),
    /// The command took effect.
    Applied,
    /// The command was out of date and changed nothing.
    Stale,
}

/// How a note was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Its number.
    pub note: number::Note,
    /// The configuration's number with it.
    pub revision: number::Revision,
    /// The digest of its content.
    pub digest: note::Digest,
    /// Who submitted it.
    pub author: id::Author,
    /// When.
    #[serde(with = "note::time")]
    pub at: SystemTime,
}
