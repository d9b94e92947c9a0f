//! JSON bodies of an instance's responses to operators and callers. See `docs/INTERFACE.md` for the
//! HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::directory::Share;
use crate::finding::Findings;
use crate::{id, note, number};

pub mod audit;
pub mod placement;
pub mod report;
pub mod status;

pub use audit::Audit;
pub use report::Report;
pub use status::Status;

/// State of a note or of one item in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// Traffic has not finished moving.
    Moving,
    /// The note is fully applied.
    Done,
    /// The traffic is back where it was before the note.
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
    /// Operation and kind of thing, such as `added version`.
    pub what: Arc<str>,
    /// Name of the thing.
    pub name: Arc<str>,
    /// State of the item.
    pub state: Progress,
    /// Reason for the state.
    pub reason: Arc<str>,
    /// Share of the service's traffic, for a version whose traffic moves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// Phase of the version's move.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub phase: Option<Arc<str>>,
    /// Number of steps that the version's move has taken.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<u32>,
    /// Deadline by which the version's move is done or reverted.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "note::time::option"
    )]
    pub move_by: Option<SystemTime>,
    /// Time of the last change of state.
    #[serde(with = "note::time")]
    pub since: SystemTime,
}

/// Accepted note with its state: the response to `GET /v1/notes/NUMBER`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Number of the note.
    pub note: number::Note,
    /// Operator who submitted the note.
    pub author: id::Author,
    /// Time at which the note was accepted.
    #[serde(with = "note::time")]
    pub at: SystemTime,
    /// Revision of the configuration that the note produced.
    pub revision: number::Revision,
    /// Digest of the note's content.
    pub digest: note::Digest,
    /// State of the note: moving while any item is moving, else reverted if any item is reverted.
    pub state: Progress,
    /// Whether every live instance routes by the note.
    pub in_force: bool,
    /// Items of the note.
    pub items: Vec<Item>,
}

/// Accepted note in a list of notes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of the note.
    pub note: number::Note,
    /// Operator who submitted the note.
    pub author: id::Author,
    /// Time at which the note was accepted.
    #[serde(with = "note::time")]
    pub at: SystemTime,
    /// Revision of the configuration that the note produced.
    pub revision: number::Revision,
    /// State of the note.
    pub state: Progress,
    /// Whether every live instance routes by the note.
    pub in_force: bool,
}

/// Response to `GET /v1/notes`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notes {
    /// Accepted notes, ordered by number.
    pub notes: Vec<Summary>,
}

/// Response to `POST /v1/notes` for an accepted note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Number of the note.
    pub note: number::Note,
    /// Revision of the configuration that the note produced.
    pub revision: number::Revision,
    /// Digest of the note's content.
    pub digest: note::Digest,
}

/// Response to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Addresses to connect to, best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the response may be cached, in milliseconds.
    pub ttl_ms: u64,
}

/// Response to a refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Description of the error.
    pub error: Detail,
}

/// Description of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// Machine-readable code, such as `unknown_service`.
    pub code: Arc<str>,
    /// Human-readable message.
    pub message: Arc<str>,
    /// Findings about the input, each with its place.
    #[serde(default)]
    pub findings: Findings,
}

impl Error {
    /// Creates an error without findings.
    pub fn new(code: impl Into<Arc<str>>, message: impl Into<Arc<str>>) -> Self {
        Self {
            error: Detail {
                code: code.into(),
                message: message.into(),
                findings: Findings::new(),
            },
        }
    }

    /// Sets the findings of the error.
    pub fn with_findings(mut self, findings: Findings) -> Self {
        self.error.findings = findings;
        self
    }
}
