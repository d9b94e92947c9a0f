//! Audit trail: every change of the control state, and every refused note.

use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::note;

/// Kind of event that an entry records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A note was accepted.
    NoteAccepted,
    /// A note was refused.
    NoteRefused,
    /// A declaration was put in force.
    Declaration,
    /// A rollout was ordered or took a step.
    Rollout,
    /// A move took a step.
    MoveStep,
    /// A service's scheduler or backups changed.
    ViewChange,
    /// An instance joined, or its addresses changed.
    InstanceJoined,
    /// An instance began to leave.
    InstanceLeaving,
    /// An instance left or was declared dead.
    InstanceLeft,
    /// The set of voters changed.
    Membership,
    /// The leader changed.
    Leader,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::NoteAccepted => "note_accepted",
            Kind::NoteRefused => "note_refused",
            Kind::Declaration => "declaration",
            Kind::Rollout => "rollout",
            Kind::MoveStep => "move_step",
            Kind::ViewChange => "view_change",
            Kind::InstanceJoined => "instance_joined",
            Kind::InstanceLeaving => "instance_leaving",
            Kind::InstanceLeft => "instance_left",
            Kind::Membership => "membership",
            Kind::Leader => "leader",
        })
    }
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number; consecutive, so that a missing entry is noticed.
    pub sequence: u64,
    /// Time of the event.
    #[serde(with = "note::time")]
    pub at: SystemTime,
    /// Originator of the event: an author, an instance or the leader.
    pub actor: Arc<str>,
    /// Kind of event.
    pub kind: Kind,
    /// Object of the event, such as `note 12` or `version agronomo@2`.
    pub subject: Arc<str>,
    /// Reason for the event.
    pub cause: Arc<str>,
}

/// Response to `GET /v1/audit`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Entries of this page, oldest first.
    pub entries: Vec<Entry>,
    /// Sequence number of the oldest retained entry.
    pub oldest: u64,
    /// Cursor for the next page: the sequence number of the last entry of this page.
    pub after: u64,
    /// Whether there are entries after this page.
    pub more: bool,
}
