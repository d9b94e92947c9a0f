//! What an instance answers to operators and callers, in the JSON of the HTTP interface that
//! `docs/INTERFACE.md` tells.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::directory::Share;
use crate::finding::Findings;
use crate::{id, note, number};

pub mod audit;
pub mod report;
pub mod status;

pub use audit::Audit;
pub use report::Report;
pub use status::Status;

/// What became of a note, or of one thing in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// Traffic is still to move.
    Moving,
    /// It is as the note says.
    Done,
    /// The traffic is where it was before.
    Reverted,
}

impl std::fmt::Display for Progress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Progress::Moving => "moving",
            Progress::Done => "done",
            Progress::Reverted => "reverted",
        })
    }
}

/// One thing that a note adds, changes or withdraws.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What is done to what, such as `added version`.
    pub what: Arc<str>,
    /// The thing's name.
    pub name: Arc<str>,
    /// What became of it.
    pub state: Progress,
    /// Why it is so.
    pub reason: Arc<str>,
    /// The share of its service's traffic, for a version whose traffic moves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// The phase of its move.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub phase: Option<Arc<str>>,
    /// The number of steps that its move has taken.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<u32>,
    /// The time by which its move is done or reverted.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "note::time::option"
    )]
    pub move_by: Option<SystemTime>,
    /// Since when it is so.
    #[serde(with = "note::time")]
    pub since: SystemTime,
}

/// An accepted note, read back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Its number.
    pub note: number::Note,
    /// Who submitted it.
    pub author: id::Author,
    /// When it was accepted.
    #[serde(with = "note::time")]
    pub at: SystemTime,
    /// The configuration's number with it.
    pub revision: number::Revision,
    /// The digest of its content.
    pub digest: note::Digest,
    /// What became of it: moving while any item is, reverted where any item is.
    pub state: Progress,
    /// Whether every live instance routes by it.
    pub in_force: bool,
    /// What it holds.
    pub items: Vec<Item>,
}

/// An accepted note in a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Its number.
    pub note: number::Note,
    /// Who submitted it.
    pub author: id::Author,
    /// When it was accepted.
    #[serde(with = "note::time")]
    pub at: SystemTime,
    /// The configuration's number with it.
    pub revision: number::Revision,
    /// What became of it.
    pub state: Progress,
    /// Whether every live instance routes by it.
    pub in_force: bool,
}

/// The answer of `GET /v1/notes`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notes {
    /// The notes by number.
    pub notes: Vec<Summary>,
}

/// The answer of `POST /v1/notes` to an accepted note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The note's number.
    pub note: number::Note,
    /// The configuration's number with it.
    pub revision: number::Revision,
    /// The digest of its content.
    pub digest: note::Digest,
}

/// The answer of `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Where to connect, best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer to a request that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// What is wrong.
    pub error: Detail,
}

/// What is wrong with a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// A word for programs, such as `unknown_service`.
    pub code: Arc<str>,
    /// A sentence for people.
    pub message: Arc<str>,
    /// All that is wrong, each with its place.
    #[serde(default)]
    pub findings: Findings,
}

impl Error {
    /// Makes an error without findings.
    pub fn new(code: impl Into<Arc<str>>, message: impl Into<Arc<str>>) -> Self {
        Self {
            error: Detail {
                code: code.into(),
                message: message.into(),
                findings: Findings::new(),
            },
        }
    }

    /// Adds what is wrong in detail.
    pub fn with_findings(mut self, findings: Findings) -> Self {
        self.error.findings = findings;
        self
    }
}
