//! Entries and snapshots of the replicated log.

use std::sync::Arc;

use gooseberrylb_config::number::{Bytes, Index, Term};
use serde::{Deserialize, Serialize};

use crate::membership::Membership;

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. It is the first entry of a new leader, which learns the commit index by
    /// committing it.
    Noop,
    /// Membership in force from this entry on.
    Membership(Membership),
    /// Encoded command for the control state.
    Command(Arc<[u8]>),
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the size of the entry's command, by which logs are bounded; the rest is small.
    pub fn size(&self) -> Bytes {
        match &self.payload {
            Payload::Noop | Payload::Membership(_) => Bytes(0),
            Payload::Command(command) => Bytes(command.len() as u64),
        }
    }
}

/// Control state up to an entry, which replaces all entries up to and including it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry covered.
    pub index: Index,
    /// Term of the last entry covered.
    pub term: Term,
    /// Membership at the last entry covered.
    pub membership: Membership,
    /// Encoded control state.
    pub state: Arc<[u8]>,
}
